package dogwoodowner

import (
	"context"
	"slices"
	"time"

	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// notifyTimeout bounds how long a failure is withheld from its caller while the other owners
	// are notified: about a hundred round trips within a region.
	notifyTimeout = 300 * time.Millisecond
	// permitRetryInterval is the delay before another permit request if the digest's home can't be
	// reached.
	permitRetryInterval = 200 * time.Millisecond
)

// unprovenRun counts the live grants of a digest of which no run has finished yet, and holds the
// endpoint on which they run.
type unprovenRun struct {
	endpoint *endpoint
	count    int
}

// peerUpdate is what the other owners are notified of once the lock is released.
type peerUpdate struct {
	notices         []dogwoodsuspect.Notice
	returnedPermits []dogwoodsuspect.PermitRequest
}

// trackRunLocked records on which endpoint an unproven digest runs.
func (owner *Owner) trackRunLocked(grant *grant) {
	digest := grant.request.Digest
	if digest == (dogwoodfleet.Digest{}) || owner.baseline() || owner.suspects.Proven(digest) {
		return
	}
	run := owner.unprovenRuns[digest]
	owner.unprovenRuns[digest] = unprovenRun{endpoint: grant.endpoint, count: run.count + 1}
}

// untrackRunLocked removes a grant from the records of its request and its digest.
func (owner *Owner) untrackRunLocked(grant *grant) {
	if owner.byRequest[grant.request.ID] == grant {
		delete(owner.byRequest, grant.request.ID)
	}
	run, ok := owner.unprovenRuns[grant.request.Digest]
	if !ok {
		return
	}
	run.count--
	if run.count <= 0 {
		delete(owner.unprovenRuns, grant.request.Digest)
		return
	}
	owner.unprovenRuns[grant.request.Digest] = run
}

// requiredEndpointLocked returns the endpoint on which an identical request runs, or nil. It
// applies until a run of that digest has finished. Copies are granted only that endpoint: a crashing request that is
// sent several times at the same moment then takes down one endpoint and not one for each copy.
func (owner *Owner) requiredEndpointLocked(waiter *waiter) *endpoint {
	if waiter.acquireRequest.Pin != "" {
		return nil
	}
	run, ok := owner.unprovenRuns[waiter.acquireRequest.Request.Digest]
	if !ok || owner.suspects.Proven(waiter.acquireRequest.Request.Digest) || !run.endpoint.description.InForce {
		return nil
	}
	return run.endpoint
}

// judgeReleaseLocked records what a release shows about suspects and returns the update for
// the peers, or nil.
func (owner *Owner) judgeReleaseLocked(now time.Time, grant *grant, release Release) *peerUpdate {
	if grant.request.Digest == (dogwoodfleet.Digest{}) {
		return nil
	}
	run := dogwoodsuspect.Run{Digest: grant.request.Digest, Request: grant.request.ID, Alone: grant.Alone}
	var notices []dogwoodsuspect.Notice
	switch release.Result {
	case dogwoodfleet.ResultDied:
		notices = owner.suspects.Died(now, grant.endpoint.description.ID, []dogwoodsuspect.Run{run})
		owner.evictSuspectsLocked(now, grant.request.Digest)
	case dogwoodfleet.ResultDone:
		notices = owner.suspects.Finished(now, run)
	case dogwoodfleet.ResultCancelled, dogwoodfleet.ResultRefused, dogwoodfleet.ResultTimedOut, dogwoodfleet.ResultFailed:
	}
	update := &peerUpdate{notices: append(notices, owner.judgePartsLocked(now, grant, release)...)}
	if grant.Alone {
		permits := grant.permits
		if len(permits) == 0 {
			permits = []dogwoodfleet.Digest{run.Digest} // another owner made the grant
		}
		update.returnedPermits = returnedPermits(permits, run.Request)
	}
	if len(update.notices)+len(update.returnedPermits) == 0 {
		return nil
	}
	return update
}

func returnedPermits(permits []dogwoodfleet.Digest, request dogwoodfleet.RequestID) []dogwoodsuspect.PermitRequest {
	var returned []dogwoodsuspect.PermitRequest
	for _, permit := range permits {
		returned = append(returned, dogwoodsuspect.PermitRequest{Digest: permit, Request: request, Ended: true})
	}
	return returned
}

// evictSuspectsLocked removes the copies of a digest that just got a strike from the queues,
// which they entered while the digest was clear. Their calls are queued anew as suspects, or
// rejected if the digest is convicted.
func (owner *Owner) evictSuspectsLocked(now time.Time, digest dogwoodfleet.Digest) {
	standing, until := owner.suspects.Standing(now, digest)
	if standing == dogwoodsuspect.Clear {
		return
	}
	for _, lane := range owner.laneList {
		for _, work := range lane.queue.All() {
			waiter := work.Value.(*waiter)
			if waiter.acquireRequest.Request.Digest != digest {
				continue
			}
			lane.queue.Remove(work)
			owner.hasEvicted = true
			if standing == dogwoodsuspect.Convicted {
				waiter.reject(refusalSuspect(now, until))
				continue
			}
			waiter.reject(acquireAgain)
		}
	}
}

// acquireAgain makes a waiting Acquire call start over: its request became a suspect, or other
// endpoints serve it now. Acquire never returns it.
var acquireAgain = &Refusal{Reason: dogwoodfleet.ReasonSuspect, NotRun: true, Detail: "its endpoints or its standing changed while it waited"}

// notifyPeers sends the update. Notices that don't arrive in time are covered by the next
// strike, and a daemon that starts gets them from Notices.
func (owner *Owner) notifyPeers(ctx context.Context, update peerUpdate) {
	peers := owner.options.Suspects
	if peers == nil {
		for _, returned := range update.returnedPermits {
			owner.Judge(returned)
		}
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), notifyTimeout)
	defer cancel()
	if len(update.notices) > 0 {
		peers.Notify(ctx, update.notices)
	}
	for _, returned := range update.returnedPermits {
		_, _ = peers.RequestPermit(ctx, returned) // a permit whose return is lost expires with its lease
	}
}

// awaitPermits waits until the homes of the waiter's gates grant the permits to run the suspect. All owners ask in the same order,
// that of a part first, so that no two suspects wait for each other.
func (owner *Owner) awaitPermits(ctx context.Context, waiter *waiter) *Refusal {
	for _, gate := range waiter.gates {
		// The permit counts from the first request on: one whose grant is lost on its way would block the part until its lease ends.
		waiter.permits = append(waiter.permits, gate)
		if refusal := owner.awaitPermit(ctx, waiter, gate); refusal != nil {
			return refusal
		}
	}
	return nil
}

// awaitPermit waits until the gate's home grants its permit.
func (owner *Owner) awaitPermit(ctx context.Context, waiter *waiter, gate dogwoodfleet.Digest) *Refusal {
	request := &waiter.acquireRequest.Request
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return refusalCancelled()
		case <-timer.C:
		}
		now := time.Now()
		if !now.Before(request.Deadline) {
			return refusalDeadline()
		}
		permitRequest := dogwoodsuspect.PermitRequest{Digest: gate, Request: request.ID, Lease: request.Deadline.Sub(now) + GrantLease}
		refusedFor := dogwoodsuspect.ConvictionTTL
		if gate != request.Digest {
			permitRequest.Customer, permitRequest.Parts = request.Customer, newSubject(request).Parts
			refusedFor = dogwoodsuspect.ProvisionalTTL
		}
		answer, err := owner.requestPermit(ctx, permitRequest)
		switch {
		case err != nil:
			timer.Reset(permitRetryInterval)
		case answer.Standing == dogwoodsuspect.Convicted:
			return refusalSuspect(now, now.Add(refusedFor))
		case answer.Allowed:
			return nil
		default:
			timer.Reset(answer.Again)
		}
	}
}

// requestPermit requests a permit from the digest's home.
func (owner *Owner) requestPermit(ctx context.Context, permitRequest dogwoodsuspect.PermitRequest) (dogwoodsuspect.PermitResponse, error) {
	if owner.options.Suspects == nil {
		return owner.Judge(permitRequest), nil
	}
	answer, err := owner.options.Suspects.RequestPermit(ctx, permitRequest)
	return answer, Error.Wrap(err)
}

// returnPermit returns the permit of a suspect that didn't run.
func (owner *Owner) returnPermit(ctx context.Context, waiter *waiter) {
	if len(waiter.permits) == 0 {
		return
	}
	owner.notifyPeers(ctx, peerUpdate{returnedPermits: returnedPermits(waiter.permits, waiter.acquireRequest.Request.ID)})
}

// Judge decides, as the digest's home, on a request for a permit or its return.
func (owner *Owner) Judge(permitRequest dogwoodsuspect.PermitRequest) dogwoodsuspect.PermitResponse {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	if len(permitRequest.Parts) > 0 {
		// The asking owner may not know yet how the last trial of the part ended.
		subject := &dogwoodsuspect.Subject{Customer: permitRequest.Customer, Parts: permitRequest.Parts}
		if _, standing := owner.refusedParts.Strictest(now, subject); standing != dogwoodsuspect.Suspect {
			return dogwoodsuspect.PermitResponse{Allowed: standing == dogwoodsuspect.Clear, Standing: standing}
		}
	}
	return owner.suspects.Judge(now, permitRequest)
}

// Learn applies the notices of other owners.
func (owner *Owner) Learn(notices []dogwoodsuspect.Notice) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	owner.suspects.Learn(now, notices)
	owner.parts.Learn(now, notices)
	if slices.ContainsFunc(notices, func(notice dogwoodsuspect.Notice) bool { return len(notice.Parts) > 0 }) {
		owner.recordAnnouncedLocked(notices)
		owner.parts.LearnOthers(now, notices)
		owner.updatePartsLocked(now)
	}
	for i := range notices {
		owner.evictSuspectsLocked(now, notices[i].Digest)
	}
	owner.grantEvictedLocked(now)
}

// Notices returns the notices on all current suspects, for a daemon that just started.
func (owner *Owner) Notices() []dogwoodsuspect.Notice {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	return append(owner.suspects.Notices(now), owner.parts.Notices(now)...)
}

// Convictions lists the digests whose requests are rejected now.
func (owner *Owner) Convictions() []dogwoodsuspect.ConvictedDigest {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	return owner.suspects.Convictions(time.Now())
}

// LiftConviction clears a digest on an operator's request, here and at all other owners.
func (owner *Owner) LiftConviction(ctx context.Context, digest dogwoodfleet.Digest) {
	owner.mutex.Lock()
	notices := owner.suspects.Lift(time.Now(), digest)
	owner.mutex.Unlock()
	owner.notifyPeers(ctx, peerUpdate{notices: notices})
}

// suspectEndpointsDivisor limits suspects to one in this many of a lane's endpoints at once, but
// at least one endpoint. The harmless suspects of a whole failed rack then leave the rest to
// ordinary work.
const suspectEndpointsDivisor = 4

// grantSuspects grants empty endpoints to waiting suspects, and reserves one for the next
// suspect if none is empty.
func (lane *lane) grantSuspects(now time.Time) {
	for len(lane.suspects) > 0 {
		suspect := lane.suspects[0]
		state := lane.emptyEndpoint(now, suspect)
		if state == nil {
			return
		}
		lane.suspects = slices.Delete(lane.suspects, 0, 1)
		lane.grant(now, suspect, state, 0, true)
	}
}

// emptyEndpoint returns an endpoint on which nothing runs, or nil. If there is none it reserves
// the one that will probably be empty soonest: with the fewest long prompts, then with the
// fewest grants.
func (lane *lane) emptyEndpoint(now time.Time, suspect *waiter) *endpoint {
	if lane.suspectEndpointCount(suspect) >= max(1, lane.inForceCount()/suspectEndpointsDivisor) {
		return nil
	}
	var clearing *endpoint
	for _, state := range lane.endpoints {
		if !state.fitsSuspect(now, suspect) {
			continue
		}
		if state.running+state.unknownStreams == 0 {
			return state
		}
		if clearing == nil || state.runningLong < clearing.runningLong || state.runningLong == clearing.runningLong && state.running < clearing.running {
			clearing = state
		}
	}
	if suspect.reserved == nil && clearing != nil {
		clearing.reservation = &reservation{waiter: suspect, tokens: suspect.tokens}
		suspect.reserved = clearing
	}
	return nil
}

// suspectEndpointCount counts the endpoints on which suspects run or that are reserved for
// suspects other than the given one.
func (lane *lane) suspectEndpointCount(suspect *waiter) int {
	taken := 0
	for _, state := range lane.endpoints {
		reserved := state.reservation != nil && state.reservation.waiter.suspect && state.reservation.waiter != suspect
		if state.alone || reserved {
			taken++
		}
	}
	return taken
}

// fitsSuspect reports whether the endpoint can run the suspect once it is empty.
func (endpoint *endpoint) fitsSuspect(now time.Time, suspect *waiter) bool {
	unreserved := endpoint.reservation == nil || endpoint.reservation.waiter == suspect
	largeEnough := endpoint.description.MemoryTokens == 0 || suspect.tokens <= endpoint.description.MemoryTokens
	return endpoint.ready(now) && unreserved && largeEnough && suspect.accepts(endpoint)
}
