package dogwoodsuspects

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

// Refused means that a request may not run, since endpoints ended under its copies.
type Refused struct {
	// RetryAfter is how long the request stays refused.
	RetryAfter time.Duration
	// Convicted is false for a suspect that got no permit in time.
	Convicted bool
}

// Error says why the request is refused.
func (refused *Refused) Error() string {
	if refused.Convicted {
		return fmt.Sprintf("endpoints ended under this request; it is refused for %s", refused.RetryAfter.Round(time.Second))
	}
	return "an endpoint ended under this request, and another copy of it is being tried"
}

// Permit allows one run of a request. A nil Permit is valid for a request that needs none.
type Permit struct {
	duty    *Duty
	digest  dogwoodfleet.Digest
	request dogwoodfleet.RequestID
	// own is true if no hub gave the permit. unreachable are the hubs that did not answer when it was requested.
	own         bool
	unreachable []dogwoodfleet.InstanceID
}

// IsTrial reports whether the request runs as a suspect.
func (permit *Permit) IsTrial() bool { return permit != nil }

// Return returns the permit after the run, or if there is none. It does not wait for the hub.
func (permit *Permit) Return(ctx context.Context) {
	if permit == nil || permit.own {
		return
	}
	request := dogwoodsuspect.PermitRequest{Digest: permit.digest, Request: permit.request, Ended: true}
	permit.duty.background.Go(func() error {
		if _, _, err := permit.duty.askForPermit(context.WithoutCancel(ctx), request, permit.unreachable); err != nil {
			permit.duty.options.Logger.Debug("A permit could not be returned and will expire.", "digest", permit.digest.String(), "error", err)
		}
		return nil
	})
}

// Admit waits until a request may run. It returns the permit of a suspect, nil for a request that needs none, or a
// *Refused error. It returns the context's error if that ends first.
func (duty *Duty) Admit(ctx context.Context, digest dogwoodfleet.Digest, request dogwoodfleet.RequestID) (*Permit, error) {
	if err := duty.knowledge.await(ctx); err != nil {
		return nil, err
	}
	standing, _ := duty.standing(digest)
	if standing == dogwoodsuspect.Clear {
		return nil, nil
	}
	permit, err := duty.awaitPermit(ctx, digest, request)
	var refused *Refused
	switch {
	case errors.As(err, &refused):
		counters.Add("Refused", 1)
	case permit != nil:
		counters.Add("Trials", 1)
	}
	return permit, err
}

// awaitPermit waits until a suspect gets a permit, is cleared or is refused. If a hub does not answer, it asks the one that
// would be the digest's home without it, as all daemons do that can't reach it.
func (duty *Duty) awaitPermit(ctx context.Context, digest dogwoodfleet.Digest, request dogwoodfleet.RequestID) (*Permit, error) {
	permit := &Permit{duty: duty, digest: digest, request: request}
	ask := dogwoodsuspect.PermitRequest{Digest: digest, Request: request, Lease: trialLease}
	for giveUp := time.Now().Add(maxSuspectWait); time.Now().Before(giveUp); {
		switch standing, until := duty.standing(digest); {
		case standing == dogwoodsuspect.Clear:
			return nil, nil
		case standing == dogwoodsuspect.Convicted && duty.unsettled(digest) > 0:
			if !dogwoodkernel.Sleep(ctx, duty.unsettled(digest)) {
				return nil, ctx.Err()
			}
			continue
		case standing == dogwoodsuspect.Convicted:
			return nil, &Refused{RetryAfter: time.Until(until), Convicted: true}
		case duty.isOwnRetry(digest, request):
			permit.own = true
			return permit, nil
		}
		home, response, err := duty.askForPermit(ctx, ask, permit.unreachable)
		switch {
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case err != nil:
			duty.options.Logger.Debug("A hub gives no permits.", "peer", home, "digest", digest.String(), "error", err)
			permit.unreachable = append(permit.unreachable, home)
			continue
		case response.Allowed:
			return permit, nil
		case response.Standing == dogwoodsuspect.Convicted:
			return nil, &Refused{RetryAfter: dogwoodsuspect.ProvisionalTTL, Convicted: true}
		}
		counters.Add("Waited", 1)
		if !dogwoodkernel.Sleep(ctx, response.Again) {
			return nil, ctx.Err()
		}
	}
	return nil, &Refused{RetryAfter: dogwoodkernel.Jittered(waitRetryAfter)}
}

func (duty *Duty) askForPermit(ctx context.Context, ask dogwoodsuspect.PermitRequest, unreachable []dogwoodfleet.InstanceID) (dogwoodfleet.InstanceID, dogwoodsuspect.PermitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	return duty.exchange.RequestPermit(ctx, ask, unreachable...)
}

// isOwnRetry reports whether the digest is a suspect because of earlier runs of the request alone. A leaf can't tell: it gets
// no notices of other runs.
func (duty *Duty) isOwnRetry(digest dogwoodfleet.Digest, request dogwoodfleet.RequestID) bool {
	if isLeaf, _ := duty.options.Role(); isLeaf {
		return false
	}
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	return duty.ledger.StruckOnlyBy(digest, request)
}

// StillAdmitted reports whether a request that waited after Admit may run now: its digest may have become a suspect
// meanwhile, or convicted.
func (duty *Duty) StillAdmitted(permit *Permit, digest dogwoodfleet.Digest) bool {
	standing, _ := duty.standing(digest)
	return standing == dogwoodsuspect.Clear || standing == dogwoodsuspect.Suspect && permit != nil
}
