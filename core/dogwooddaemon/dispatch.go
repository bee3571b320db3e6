package dogwooddaemon

import (
	"context"
	"errors"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/duty/dogwooddispatch"
	"dogwoodmux.example/core/duty/dogwoodquotas"
	"dogwoodmux.example/core/edge/dogwoodengine"
	"dogwoodmux.example/core/state/dogwoodclaim"
)

func init() {
	dogwoodkernel.Register(dogwoodkernel.NewPlugin(pluginDispatch, []string{pluginOwner, pluginClaims, pluginQuotas}, startDispatch))
}

func startDispatch(_ context.Context, kernel *dogwoodkernel.Kernel, environment *environment) (*dogwoodkernel.ValuePart[*dogwooddispatch.Dispatcher], error) {
	needs := dogwoodkernel.Needs{Kernel: kernel}
	ownership := dogwoodkernel.Need[*ownership](&needs, pluginOwner)
	changes := dogwoodkernel.Need[*changes](&needs, pluginChanges)
	client := dogwoodkernel.Need[*dogwoodengine.Client](&needs, pluginEngine)
	claims := dogwoodkernel.Need[*dogwoodclaim.Claims](&needs, pluginClaims)
	quotas := dogwoodkernel.Need[*dogwoodquotas.Quotas](&needs, pluginQuotas)
	if needs.Err != nil {
		return nil, needs.Err
	}
	dispatcher := dogwooddispatch.New(dogwooddispatch.Options{
		Self: environment.instance, Place: environment.place, Text: changes.Text, Slots: quotas.Limited(ownership.owners),
		Engines: dispatchEngines{client: client}, Services: dispatchServices{client: ownership.serviceClient}, Claims: dispatchClaims{claims: claims},
		Down: ownership.owners.Down, Logger: kernel.Named(pluginDispatch),
	})
	return &dogwoodkernel.ValuePart[*dogwooddispatch.Dispatcher]{Value: dispatcher}, nil
}

// dispatchClaims adapts the claims and their outcomes to the dispatcher.
type dispatchClaims struct {
	claims *dogwoodclaim.Claims
}

func claimKey(key dogwooddispatch.ClaimKey) dogwoodclaim.Key {
	return dogwoodclaim.Key{Customer: key.Customer, Service: key.Service, Key: key.Key}
}

// Take claims a key for an attempt.
func (claims dispatchClaims) Take(ctx context.Context, key dogwooddispatch.ClaimKey, digest dogwoodfleet.Digest, attempt string) (dogwooddispatch.Claim, error) {
	taken, err := claims.claims.Take(ctx, claimKey(key), digest, attempt)
	var unavailable *dogwoodclaim.Unavailable
	if errors.As(err, &unavailable) && unavailable.EarlierUnknown {
		return dogwooddispatch.Claim{}, &dogwooddispatch.EarlierUnknown{Cause: err}
	}
	if err != nil {
		return dogwooddispatch.Claim{}, Error.Wrap(err)
	}
	claim := dogwooddispatch.Claim{State: dogwooddispatch.ClaimUnknown}
	switch taken.Outcome {
	case dogwoodclaim.Fresh:
		claim.State = dogwooddispatch.ClaimFresh
	case dogwoodclaim.Answered:
		if taken.Answer != nil {
			claim.State = dogwooddispatch.ClaimAnswered
			claim.Answer = &dogwooddispatch.WholeAnswer{Status: taken.Answer.Status, Header: taken.Answer.Header, Body: taken.Answer.Body}
		}
	case dogwoodclaim.Running:
		claim.State = dogwooddispatch.ClaimRunning
	case dogwoodclaim.Mismatch:
		claim.State = dogwooddispatch.ClaimMismatch
	default: // dogwoodclaim.OutcomeUnknown
	}
	return claim, nil
}

// Finish stores an attempt's answer.
func (claims dispatchClaims) Finish(ctx context.Context, key dogwooddispatch.ClaimKey, attempt string, answer *dogwooddispatch.WholeAnswer) error {
	stored := dogwoodclaim.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
	return Error.Wrap(claims.claims.Finish(ctx, claimKey(key), attempt, stored))
}

// Free releases a key.
func (claims dispatchClaims) Free(ctx context.Context, key dogwooddispatch.ClaimKey, attempt string) error {
	return Error.Wrap(claims.claims.Free(ctx, claimKey(key), attempt))
}
