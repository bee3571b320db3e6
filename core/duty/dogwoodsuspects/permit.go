package dogwoodsuspects

import (
	"context"
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
}

// IsTrial reports whether the request runs as a suspect.
func (permit *Permit) IsTrial() bool { return permit != nil }

// Return returns the permit after the run, or if there is none.
func (permit *Permit) Return(ctx context.Context) {
	if permit == nil {
		return
	}
	request := dogwoodsuspect.PermitRequest{Digest: permit.digest, Request: permit.request, Ended: true}
	if _, err := permit.duty.requestPermit(context.WithoutCancel(ctx), request); err != nil {
		permit.duty.options.Logger.Debug("A permit could not be returned and will expire.", "digest", permit.digest.String(), "error", err)
	}
}

// Admit waits until a request may run. It returns the permit of a suspect, nil for a request that needs none, or a
// *Refused error. It returns the context's error if that ends first.
func (duty *Duty) Admit(ctx context.Context, digest dogwoodfleet.Digest, request dogwoodfleet.RequestID) (*Permit, error) {
	standing, until := duty.standing(digest)
	if standing == dogwoodsuspect.Clear {
		return nil, nil
	}
	giveUp := time.Now().Add(maxSuspectWait)
	for {
		if standing == dogwoodsuspect.Convicted {
			counters.Add("Refused", 1)
			return nil, &Refused{RetryAfter: time.Until(until), Convicted: true}
		}
		response, err := duty.requestPermit(ctx, dogwoodsuspect.PermitRequest{Digest: digest, Request: request, Lease: trialLease})
		pause := permitRetryInterval
		switch {
		case err != nil:
			duty.options.Logger.Debug("The home of a suspect could not be asked.", "digest", digest.String(), "error", err)
		case response.Allowed:
			counters.Add("Trials", 1)
			return &Permit{duty: duty, digest: digest, request: request}, nil
		case response.Standing == dogwoodsuspect.Convicted:
			counters.Add("Refused", 1)
			return nil, &Refused{RetryAfter: dogwoodsuspect.ProvisionalTTL, Convicted: true}
		default:
			pause = response.Again
		}
		if time.Now().Add(pause).After(giveUp) {
			counters.Add("Refused", 1)
			return nil, &Refused{RetryAfter: dogwoodkernel.Jittered(waitRetryAfter)}
		}
		counters.Add("Waited", 1)
		if !dogwoodkernel.Sleep(ctx, pause) {
			return nil, ctx.Err()
		}
		if standing, until = duty.standing(digest); standing == dogwoodsuspect.Clear {
			return nil, nil
		}
	}
}

// StillAdmitted reports whether a request that waited after Admit may run now: its digest may have become a suspect
// meanwhile, or convicted.
func (duty *Duty) StillAdmitted(permit *Permit, digest dogwoodfleet.Digest) bool {
	standing, _ := duty.standing(digest)
	return standing == dogwoodsuspect.Clear || standing == dogwoodsuspect.Suspect && permit != nil
}
