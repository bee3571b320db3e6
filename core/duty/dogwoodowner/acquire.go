package dogwoodowner

import (
	"context"
	"errors"
	"slices"
	"time"

	"dogwoodmux.example/core/decision/dogwoodadmission"
	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
)

// waiter is an acquire request that waits for a slot.
type waiter struct {
	dogwoodadmission.Work
	acquireRequest AcquireRequest
	tokens         int // memory to reserve
	long           bool
	suspect        bool
	// gates are the digests for which a suspect needs permits, its own, a part's or both, and permits those that it has.
	gates, permits []dogwoodfleet.Digest
	subject        *dogwoodsuspect.Subject // nil until promptSubject has made it
	lane           *lane
	reserved       *endpoint // the endpoint that is being cleared for this waiter
	outcomes       chan outcome
	// placementPanic is the panic of its placement; nil for none.
	placementPanic error
}

// outcome is the result of an acquire request: a grant, or a refusal if that isn't nil.
type outcome struct {
	grant   Grant
	refusal *Refusal
}

// reject ends the wait with a refusal. The channel's buffer holds the waiter's only outcome,
// so the send doesn't block.
func (waiter *waiter) reject(refusal *Refusal) {
	waiter.stopWaiting()
	waiter.outcomes <- outcome{refusal: refusal}
}

// stopWaiting removes what the owner keeps of a waiter beside its place in a queue.
func (waiter *waiter) stopWaiting() {
	waiter.lane.owner.partWaiters.remove(waiter)
	if waiter.reserved != nil && waiter.reserved.reservation != nil && waiter.reserved.reservation.waiter == waiter {
		waiter.reserved.reservation = nil
	}
	waiter.reserved = nil
}

// accepts reports whether the waiter allows the endpoint and the endpoint has the adapter that
// it needs. Endpoints to avoid are accepted if they are as many as the lane has in force.
func (waiter *waiter) accepts(state *endpoint) bool {
	if waiter.acquireRequest.Pin != "" {
		return state.description.ID == waiter.acquireRequest.Pin
	}
	adapter := waiter.acquireRequest.Request.Adapter
	if adapter != "" && len(state.description.Adapters) > 0 && !slices.Contains(state.description.Adapters, adapter) {
		return false
	}
	return !slices.Contains(waiter.acquireRequest.Avoid, state.description.ID) || waiter.lane.inForceCount() <= len(waiter.acquireRequest.Avoid)
}

func refusalNoEndpoint() *Refusal {
	return &Refusal{
		Reason: dogwoodfleet.ReasonNoEndpoint, NotRun: true, RetryAfter: dogwoodadmission.MinRetryAfter,
		Detail: "this owner has no endpoint in force for it",
	}
}

func refusalDeadline() *Refusal {
	return &Refusal{
		Reason: dogwoodfleet.ReasonDeadline, NotRun: true, RetryAfter: dogwoodadmission.MinRetryAfter,
		Detail: "it waited too long to finish by its deadline",
	}
}

func refusalPanic(cause error) *Refusal {
	return &Refusal{Reason: dogwoodfleet.ReasonInternal, NotRun: true, Detail: "its placement failed: " + cause.Error()}
}

func refusalCancelled() *Refusal {
	return &Refusal{Reason: dogwoodfleet.ReasonCancelled, NotRun: true, Detail: "withdrawn while it waited"}
}

func refusalSuspect(now, until time.Time) *Refusal {
	return &Refusal{
		Reason: dogwoodfleet.ReasonSuspect, NotRun: true, RetryAfter: max(until.Sub(now), dogwoodadmission.MinRetryAfter),
		Detail: "endpoints died running it",
	}
}

// Acquire waits until a slot is granted. If no slot will be free in time it returns a
// *Refusal, at once if that can be predicted. The end of the context withdraws the request.
func (owner *Owner) Acquire(ctx context.Context, acquireRequest AcquireRequest) (Grant, error) {
	deadline := time.Now().Add(acquireRequest.Budget)
	for {
		granted, refusal := owner.acquire(ctx, acquireRequest)
		if refusal == nil {
			return granted, nil
		}
		if refusal != acquireAgain {
			return Grant{}, refusal
		}
		acquireRequest.Budget = time.Until(deadline)
	}
}

func (owner *Owner) acquire(ctx context.Context, acquireRequest AcquireRequest) (Grant, *Refusal) {
	waiter, refusal := owner.prepare(acquireRequest)
	switch {
	case refusal != nil:
		return Grant{}, refusal
	case waiter == nil:
		return owner.acquireGang(ctx, acquireRequest)
	case waiter.suspect:
		owner.awaitPartDecision(ctx, waiter)
		if refusal := owner.awaitPermits(ctx, waiter); refusal != nil {
			owner.returnPermit(ctx, waiter)
			return Grant{}, refusal
		}
	}
	if refusal := owner.enqueue(waiter); refusal != nil {
		owner.returnPermit(ctx, waiter)
		return Grant{}, refusal
	}
	granted, refusal := owner.await(ctx, waiter)
	if refusal != nil {
		owner.returnPermit(ctx, waiter)
		return Grant{}, refusal
	}
	return granted, nil
}

// prepare checks an acquire request and returns its waiter or a refusal; it returns neither if a
// gang is needed.
func (owner *Owner) prepare(acquireRequest AcquireRequest) (*waiter, *Refusal) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	request := &acquireRequest.Request
	request.Arrived, request.Deadline = now, now.Add(acquireRequest.Budget)
	lane := owner.findLaneLocked(request)
	if lane == nil || lane.inForceCount() == 0 || acquireRequest.Pin != "" && !owner.ownsLocked(acquireRequest.Pin) {
		return nil, refusalNoEndpoint()
	}
	prepared := &waiter{
		Work: dogwoodadmission.Work{
			Customer: request.Customer, PromptTokens: request.PromptTokens, MaxTokens: request.MaxTokens,
			Arrived: request.Arrived, Deadline: request.Deadline,
		},
		acquireRequest: acquireRequest, tokens: request.Tokens(), lane: lane, outcomes: make(chan outcome, 1),
		long: dogwoodadmission.ClassOf(request.PromptTokens).Long(),
	}
	prepared.Value = prepared
	if owner.baseline() {
		return prepared, nil
	}
	if refusal := owner.checkSuspectLocked(now, prepared); refusal != nil {
		return nil, refusal
	}
	if usable, largest := lane.usableTokens(); usable > 0 && prepared.tokens > usable && acquireRequest.Pin == "" {
		if owner.options.Gangs != nil {
			return nil, nil
		}
		if prepared.tokens > largest {
			return nil, refusalTooLarge(prepared.tokens, largest)
		}
	}
	return prepared, nil
}

// checkSuspectLocked sets the gates of a suspect, or returns the refusal of a request that is convicted or has a refused part.
func (owner *Owner) checkSuspectLocked(now time.Time, prepared *waiter) *Refusal {
	request := &prepared.acquireRequest.Request
	standing, until := owner.suspects.Standing(now, request.Digest)
	if standing == dogwoodsuspect.Convicted {
		return refusalSuspect(now, until)
	}
	partRefusal, partStanding := owner.partStandingLocked(now, prepared)
	if partStanding == dogwoodsuspect.Convicted {
		counters.Add("Refused", 1)
		return refusalPart(now, partRefusal)
	}
	if prepared.acquireRequest.Pin != "" {
		return nil
	}
	if partStanding == dogwoodsuspect.Suspect {
		prepared.gates = append(prepared.gates, dogwoodsuspect.PartGate(partRefusal.Part))
	}
	if standing == dogwoodsuspect.Suspect {
		prepared.gates = append(prepared.gates, request.Digest)
	}
	prepared.suspect = len(prepared.gates) > 0
	return nil
}

func (owner *Owner) ownsLocked(id dogwoodfleet.EndpointID) bool {
	state := owner.endpoints[id]
	return state != nil && state.description.InForce
}

// enqueue adds the waiter to one of its lane's queues, or returns why it isn't admitted.
func (owner *Owner) enqueue(arrived *waiter) *Refusal {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	lane := arrived.lane
	if !owner.baseline() {
		// A part of its prompt may have been refused while it waited for a permit.
		if refusal := owner.partRefusalLocked(now, arrived); refusal != nil {
			return refusal
		}
	}
	switch {
	case owner.baseline():
		lane.baselineQueue = append(lane.baselineQueue, arrived)
	case arrived.suspect:
		lane.suspects = append(lane.suspects, arrived)
		owner.partWaiters.add(arrived)
	case arrived.acquireRequest.Pin != "":
		lane.members = append(lane.members, arrived)
	default:
		verdict := lane.queue.Offer(now, &arrived.Work, lane.capacity(now))
		if verdict.Shed != nil {
			shed := verdict.Shed.Value.(*waiter)
			shed.reject(&Refusal{
				Reason: dogwoodfleet.ReasonShare, NotRun: true, RetryAfter: dogwoodadmission.RetryAfter(verdict.Wait),
				Detail: "the queue is full and its customer is furthest over its share",
			})
		}
		if !verdict.Admitted {
			return &Refusal{
				Reason: verdict.Reason, NotRun: true, RetryAfter: verdict.RetryAfter,
				Detail: "predicted wait " + verdict.Wait.Round(time.Millisecond).String(),
			}
		}
		owner.partWaiters.add(arrived)
	}
	lane.grantWaiting(now)
	return nil
}

// await waits for the outcome, at most until the latest start that can meet the deadline.
func (owner *Owner) await(ctx context.Context, waiter *waiter) (Grant, *Refusal) {
	select {
	case outcome := <-waiter.outcomes:
		return outcome.grant, outcome.refusal
	default:
	}
	latest := waiter.LatestStart()
	timer := time.NewTimer(time.Until(latest))
	defer timer.Stop()
	refusal := refusalDeadline()
	select {
	case outcome := <-waiter.outcomes:
		return outcome.grant, outcome.refusal
	case <-timer.C:
	case <-ctx.Done():
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			refusal = refusalCancelled()
		}
	}
	return owner.withdraw(waiter, refusal)
}

// withdraw removes the waiter from its queue. A grant that was made meanwhile is returned to
// the caller, or released if the caller is gone.
func (owner *Owner) withdraw(waiter *waiter, refusal *Refusal) (Grant, *Refusal) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	if refusal.Reason == dogwoodfleet.ReasonDeadline {
		waiter.lane.queue.Expire(time.Now(), &waiter.Work)
	}
	waiter.lane.remove(waiter)
	select {
	case outcome := <-waiter.outcomes:
		if outcome.refusal != nil || refusal.Reason != dogwoodfleet.ReasonCancelled {
			return outcome.grant, outcome.refusal
		}
		now := time.Now()
		if grant := owner.grants[outcome.grant.ID]; grant != nil {
			owner.removeGrantLocked(grant.ID, grant, false)
		}
		owner.grantWaitingLocked(now)
	default:
		waiter.lane.grantWaiting(time.Now())
	}
	return Grant{}, refusal
}
