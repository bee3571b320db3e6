package dogwoodsuspects

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

// Refused means that a request may not run, since endpoints ended under its copies or under prompts with the same part.
type Refused struct {
	// RetryAfter is how long the request stays refused.
	RetryAfter time.Duration
	// Convicted is false for a suspect that got no permit in time.
	Convicted bool
	// Part is the part of the prompt that is refused; empty if it is the request.
	Part dogwoodfleet.PromptPart
}

// Error says why the request is refused.
func (refused *Refused) Error() string {
	switch {
	case refused.Convicted && refused.Part != "":
		return fmt.Sprintf("endpoints ended under prompts with the part %s; they are refused for %s", refused.Part, refused.RetryAfter.Round(time.Second))
	case refused.Convicted:
		return fmt.Sprintf("endpoints ended under this request; it is refused for %s", refused.RetryAfter.Round(time.Second))
	case refused.Part != "":
		return fmt.Sprintf("endpoints ended under prompts with the part %s, and another one is being tried", refused.Part)
	default:
		return "an endpoint ended under this request, and another copy of it is being tried"
	}
}

// Permit allows one run of a request. A nil Permit is valid for a request that needs none.
type Permit struct {
	duty    *Duty
	subject *dogwoodsuspect.Subject
	// gates are the digests for which hubs gave permits: the request's, a part's or both.
	gates []dogwoodfleet.Digest
	// own is true if the request is a suspect by its own runs alone, which needs no hub. unreachable are the hubs that did not
	// answer when a permit was requested.
	own         bool
	unreachable []dogwoodfleet.InstanceID
}

// IsTrial reports whether the request runs as a suspect.
func (permit *Permit) IsTrial() bool { return permit != nil }

// IsPartTrial reports whether the request runs to try a part of its prompt.
func (permit *Permit) IsPartTrial() bool {
	return permit != nil && slices.ContainsFunc(permit.gates, func(gate dogwoodfleet.Digest) bool { return gate != permit.subject.Digest })
}

// Return returns the permit after the run, or if there is none. It does not wait for the hub.
func (permit *Permit) Return(ctx context.Context) {
	if permit == nil {
		return
	}
	for _, gate := range permit.gates {
		request := dogwoodsuspect.PermitRequest{Digest: gate, Request: permit.subject.Request, Ended: true}
		permit.duty.background.Go(func() error {
			if _, _, err := permit.duty.askForPermit(context.WithoutCancel(ctx), request, permit.unreachable); err != nil {
				permit.duty.options.Logger.Debug("A permit could not be returned and will expire.", "digest", gate.String(), "error", err)
			}
			return nil
		})
	}
}

// holds reports whether the permit is for a gate.
func (permit *Permit) holds(gate dogwoodfleet.Digest) bool {
	return permit != nil && (slices.Contains(permit.gates, gate) || permit.own && gate == permit.subject.Digest)
}

// verdict is what is known of a request before it runs.
type verdict struct {
	standing dogwoodsuspect.Standing
	// gate is the digest for which a suspect needs a permit.
	gate dogwoodfleet.Digest
	// until is the end of a refusal, and part the one that is refused, empty if it is the request.
	until time.Time
	part  dogwoodfleet.PromptPart
	// unsettled is how much longer a conviction may turn out to be wrong.
	unsettled time.Duration
}

// judgeSubject returns what is known of a request, apart from the gates for which it holds a permit.
func (duty *Duty) judgeSubject(subject *dogwoodsuspect.Subject, permit *Permit) verdict {
	if refusal, standing := duty.partStanding(subject); standing != dogwoodsuspect.Clear {
		gate := dogwoodsuspect.PartGate(refusal.Part)
		if standing == dogwoodsuspect.Convicted || !permit.holds(gate) {
			return verdict{standing: standing, gate: gate, until: refusal.Until, part: refusal.Part}
		}
	}
	standing, until := duty.digestStanding(subject.Digest)
	switch {
	case standing == dogwoodsuspect.Convicted:
		return verdict{standing: standing, until: until, unsettled: duty.unsettled(subject.Digest)}
	case standing == dogwoodsuspect.Suspect && !permit.holds(subject.Digest):
		return verdict{standing: standing, gate: subject.Digest}
	}
	return verdict{}
}

// Admit waits until a request may run. It returns the permit of a suspect, nil for a request that needs none, or a
// *Refused error. It returns the context's error if that ends first.
func (duty *Duty) Admit(ctx context.Context, subject *dogwoodsuspect.Subject) (*Permit, error) {
	if err := duty.knowledge.await(ctx); err != nil {
		return nil, err
	}
	if duty.judgeSubject(subject, nil).standing == dogwoodsuspect.Clear {
		return nil, nil
	}
	permit := &Permit{duty: duty, subject: subject}
	err := duty.awaitPermit(ctx, permit)
	var refused *Refused
	switch {
	case errors.As(err, &refused):
		counters.Add("Refused", 1)
	case err == nil && permit.isNeeded():
		counters.Add("Trials", 1)
		return permit, nil
	}
	if err != nil {
		permit.Return(ctx)
	}
	return nil, err
}

// isNeeded reports whether the request still is a suspect.
func (permit *Permit) isNeeded() bool { return permit.own || len(permit.gates) > 0 }

// awaitPermit waits until a suspect has a permit, is cleared or is refused. If a hub does not answer, it asks the one that
// would be the gate's home without it, as all daemons do that can't reach it.
func (duty *Duty) awaitPermit(ctx context.Context, permit *Permit) error {
	subject := permit.subject
	for giveUp := time.Now().Add(maxSuspectWait); time.Now().Before(giveUp); {
		verdict := duty.judgeSubject(subject, permit)
		switch {
		case verdict.standing == dogwoodsuspect.Clear:
			return nil
		case verdict.standing == dogwoodsuspect.Convicted && verdict.unsettled > 0:
			if !dogwoodkernel.Sleep(ctx, verdict.unsettled) {
				return ctx.Err()
			}
			continue
		case verdict.standing == dogwoodsuspect.Convicted:
			return &Refused{RetryAfter: time.Until(verdict.until), Convicted: true, Part: verdict.part}
		case verdict.part == "" && duty.isOwnRetry(subject.Digest, subject.Request):
			permit.own = true
			continue
		}
		ask := dogwoodsuspect.PermitRequest{Digest: verdict.gate, Request: subject.Request, Lease: trialLease}
		if verdict.part != "" {
			ask.Customer, ask.Parts = subject.Customer, subject.Parts
		}
		home, response, err := duty.askForPermit(ctx, ask, permit.unreachable)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			duty.options.Logger.Debug("A hub gives no permits.", "peer", home, "digest", verdict.gate.String(), "error", err)
			permit.unreachable = append(permit.unreachable, home)
			continue
		case response.Allowed:
			permit.gates = append(permit.gates, verdict.gate)
			continue
		case response.Standing == dogwoodsuspect.Convicted:
			return &Refused{RetryAfter: dogwoodsuspect.ProvisionalTTL, Convicted: true, Part: verdict.part}
		}
		counters.Add("Waited", 1)
		if !dogwoodkernel.Sleep(ctx, response.Again) {
			return ctx.Err()
		}
	}
	verdict := duty.judgeSubject(subject, permit)
	return &Refused{RetryAfter: dogwoodkernel.Jittered(waitRetryAfter), Part: verdict.part}
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

// StillAdmitted reports whether a request that waited after Admit may run now: it may have become a suspect meanwhile, or been
// refused.
func (duty *Duty) StillAdmitted(permit *Permit, subject *dogwoodsuspect.Subject) bool {
	return duty.judgeSubject(subject, permit).standing == dogwoodsuspect.Clear
}
