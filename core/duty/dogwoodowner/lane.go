package dogwoodowner

import (
	"slices"
	"time"

	"dogwoodmux.example/core/decision/dogwoodadmission"
	"dogwoodmux.example/core/decision/dogwoodownership"
	"dogwoodmux.example/core/decision/dogwoodprefix"
	"dogwoodmux.example/core/decision/dogwoodrouting"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

// laneKey identifies a lane. The model is empty for endpoints whose models aren't known.
type laneKey struct {
	service dogwoodfleet.Service
	model   dogwoodfleet.Model
}

// lane holds the endpoints that serve one model of one service, and the queues of the requests
// that wait for them.
type lane struct {
	owner     *Owner
	key       laneKey
	rates     dogwoodadmission.Rates
	queue     *dogwoodadmission.Queue
	endpoints []*endpoint
	// suspects wait for an empty endpoint, each to run alone on it.
	suspects []*waiter
	// members wait for the endpoint that their gang needs.
	members []*waiter
	// baselineQueue holds all waiters under the baseline policy.
	baselineQueue []*waiter

	// candidates and candidateEndpoints are buffers that each choice of an endpoint reuses.
	candidates         []dogwoodrouting.Candidate
	candidateEndpoints []*endpoint // the endpoint of each candidate
	// now is the time of the current pass over the queue; picked and pickedHitTokens are the
	// result of placeWork. place and placeFunc hold placeWork and tryPlace as function values.
	now             time.Time
	picked          *endpoint
	pickedHitTokens int
	place           func(*dogwoodadmission.Work) bool
	placeFunc       func(*dogwoodadmission.Work) bool
}

func newLane(owner *Owner, key laneKey) *lane {
	lane := &lane{owner: owner, key: key}
	lane.queue = dogwoodadmission.NewQueue(&lane.rates, dogwoodadmission.MaxWaiting, owner.weightLocked)
	lane.place, lane.placeFunc = lane.placeWork, lane.tryPlace
	return lane
}

func (lane *lane) add(state *endpoint) {
	lane.endpoints = append(lane.endpoints, state)
}

func (lane *lane) inForceCount() int {
	count := 0
	for _, state := range lane.endpoints {
		if state.description.InForce {
			count++
		}
	}
	return count
}

func (lane *lane) waitingCount() int {
	return lane.queue.Len() + len(lane.suspects) + len(lane.members) + len(lane.baselineQueue)
}

// usableTokens returns the largest memory that one request may reserve on an endpoint in force,
// and the largest total memory of one. Both are 0 if the memory of any of them is unknown.
func (lane *lane) usableTokens() (usable, largest int) {
	for _, state := range lane.endpoints {
		if !state.description.InForce {
			continue
		}
		if state.description.MemoryTokens == 0 {
			return 0, 0
		}
		usable = max(usable, state.usableTokens())
		largest = max(largest, state.description.MemoryTokens)
	}
	return usable, largest
}

// capacity returns how much work the lane's endpoints can run now. Endpoints that just failed,
// or that a suspect runs on or waits for, don't count; otherwise work would be admitted that
// waits for them until its deadline.
func (lane *lane) capacity(now time.Time) dogwoodadmission.Capacity {
	var capacity dogwoodadmission.Capacity
	for _, state := range lane.endpoints {
		if !state.serving(now) {
			continue
		}
		limit := state.limit(now)
		capacity.Slots += limit
		capacity.LongSlots += max(1, limit/longSlotsDivisor)
	}
	return capacity
}

// anyFree reports whether an endpoint has a free slot or is reserved for a waiter.
func (lane *lane) anyFree(now time.Time) bool {
	for _, state := range lane.endpoints {
		if state.hasFreeSlot(now) || state.reservation != nil {
			return true
		}
	}
	return false
}

// grantWaiting grants slots to waiting work as far as possible, and reserves an endpoint for long
// work that remains.
func (lane *lane) grantWaiting(now time.Time) {
	if lane.owner.baseline() {
		lane.grantBaseline(now)
		return
	}
	lane.grantSuspects(now)
	lane.grantMembers(now)
	lane.now = now
	for lane.queue.Len() > 0 && lane.anyFree(now) {
		work := lane.queue.Next(lane.placeFunc)
		if work == nil {
			break
		}
		waiter := work.Value.(*waiter)
		if waiter.placementPanic != nil {
			lane.queue.Remove(work)
			waiter.reject(refusalPanic(waiter.placementPanic))
			continue
		}
		if now.After(work.LatestStart()) {
			lane.queue.Expire(now, work)
			waiter.reject(refusalDeadline())
			continue
		}
		lane.queue.Take(now, work)
		lane.grant(now, waiter, lane.picked, lane.pickedHitTokens, false)
	}
	lane.reserveForLong(now)
}

// tryPlace calls place. It returns true for work on which that panics, which grantWaiting then rejects: if the work
// stayed in the queue, the panic would come again in the goroutines of all other requests.
func (lane *lane) tryPlace(work *dogwoodadmission.Work) bool {
	placed := false
	err := dogwoodkernel.Recovered(func() error {
		placed = lane.place(work)
		return nil
	})
	if err != nil {
		work.Value.(*waiter).placementPanic = err
		return true
	}
	return placed
}

// placeWork picks an endpoint for the work and reports whether there is one. It also returns
// true for work that is too late, which grantWaiting then rejects.
func (lane *lane) placeWork(work *dogwoodadmission.Work) bool {
	if lane.now.After(work.LatestStart()) {
		return true
	}
	waiter := work.Value.(*waiter)
	request := &waiter.acquireRequest.Request
	lane.candidates = lane.candidates[:0]
	lane.candidateEndpoints = lane.candidateEndpoints[:0]
	required := lane.owner.requiredEndpointLocked(waiter)
	for _, state := range lane.endpoints {
		if required != nil && state != required || !state.fits(lane.now, waiter) || !waiter.accepts(state) {
			continue
		}
		lane.candidateEndpoints = append(lane.candidateEndpoints, state)
		lane.candidates = append(lane.candidates, dogwoodrouting.Candidate{
			InFlight: state.running + state.unknownStreams, Limit: state.limit(lane.now),
			PendingPromptTokens: state.aheadTokens(lane.now),
			HitTokens:           lane.owner.prefixes.Hits(state.description.ID, request.Blocks) * (dogwoodprefix.BlockBytes / bytesPerToken),
			PerToken:            state.limiter.PerToken(), Slowness: state.limiter.Slowness(), MeasuredAt: state.limiter.MeasuredAt(),
			Distance: dogwoodownership.Distance(request.Origin, state.description.Place),
		})
	}
	index := dogwoodrouting.Pick(lane.now, lane.candidates, request.PromptTokens, lane.owner.random)
	if index < 0 {
		return false
	}
	lane.picked, lane.pickedHitTokens = lane.candidateEndpoints[index], lane.candidates[index].HitTokens
	return true
}

// bytesPerToken is the estimated number of bytes in a token.
const bytesPerToken = 4

// reservedEndpointsDivisor limits reservations for long work: none is added once one in this many
// of a lane's endpoints, and at least one endpoint, is reserved for any waiter.
const reservedEndpointsDivisor = 4

// reserveForLong reserves an endpoint for the first long work in the queue. It is called when
// that work fits no endpoint.
func (lane *lane) reserveForLong(now time.Time) {
	head := lane.queue.NextLong()
	if head == nil {
		return
	}
	waiter := head.Value.(*waiter)
	reserved := 0
	var best *endpoint
	for _, state := range lane.endpoints {
		if state.reservation != nil {
			reserved++
			if state.reservation.waiter == waiter {
				return
			}
			continue
		}
		eligible := state.description.InForce && !state.alone && waiter.accepts(state) && waiter.tokens <= state.description.MemoryTokens &&
			state.runningLong < max(1, state.limit(now)/longSlotsDivisor)
		if eligible && (best == nil || state.memory.Free() > best.memory.Free()) {
			best = state
		}
	}
	if best == nil || reserved >= max(1, len(lane.endpoints)/reservedEndpointsDivisor) {
		return
	}
	best.reservation = &reservation{waiter: waiter, tokens: waiter.tokens}
	waiter.reserved = best
}

// grant grants a slot on the endpoint to the waiter.
func (lane *lane) grant(now time.Time, waiter *waiter, state *endpoint, hitTokens int, alone bool) {
	owner := lane.owner
	owner.lastGrantNumber++
	held := &grant{
		Grant: Grant{
			ID:       GrantID{Owner: owner.options.Self, Number: owner.lastGrantNumber},
			Endpoint: state.description, Priority: lane.priority(waiter.acquireRequest.Request.PromptTokens),
			ReservedTokens: waiter.tokens, Lease: GrantLease, Alone: alone,
		},
		endpoint: state, lane: lane, waiter: waiter, holder: waiter.acquireRequest.Holder, request: waiter.acquireRequest.Request,
		tokens: waiter.tokens, long: waiter.long, member: waiter.acquireRequest.Pin != "", permits: waiter.permits, grantedAt: now, renewedAt: now.Add(max(0, waiter.acquireRequest.Hold-GrantLease)),
	}
	state.addGrant(now, held, hitTokens)
	held.waiter = nil
	waiter.stopWaiting()
	owner.grants[held.ID] = held
	owner.byRequest[held.request.ID] = held
	owner.trackRunLocked(held)
	owner.prefixes.AddExpected(state.description.ID, held.request.Blocks)
	waiter.outcomes <- outcome{grant: held.Grant}
}

func (lane *lane) priority(promptTokens int) dogwoodfleet.Priority {
	class := dogwoodadmission.ClassOf(promptTokens)
	switch {
	case lane.owner.baseline():
		return dogwoodfleet.PriorityNormal
	case class.Long():
		return dogwoodfleet.PriorityLong
	case class <= 1:
		return dogwoodfleet.PriorityShort
	default:
		return dogwoodfleet.PriorityNormal
	}
}

// remove removes a waiter from its queue and cancels its reservation.
func (lane *lane) remove(removed *waiter) {
	lane.queue.Remove(&removed.Work)
	isRemoved := func(waiter *waiter) bool { return waiter == removed }
	lane.suspects = slices.DeleteFunc(lane.suspects, isRemoved)
	lane.members = slices.DeleteFunc(lane.members, isRemoved)
	lane.baselineQueue = slices.DeleteFunc(lane.baselineQueue, isRemoved)
	removed.stopWaiting()
}

// rejectAll rejects all waiters and empties the lane's queues.
func (lane *lane) rejectAll(refusal func(request *dogwoodfleet.Request) *Refusal) {
	for _, waiter := range slices.Concat(lane.suspects, lane.members, lane.baselineQueue) {
		waiter.reject(refusal(&waiter.acquireRequest.Request))
	}
	lane.suspects, lane.members, lane.baselineQueue = nil, nil, nil
	anything := func(*dogwoodadmission.Work) bool { return true }
	for work := lane.queue.Next(anything); work != nil; work = lane.queue.Next(anything) {
		lane.queue.Remove(work)
		waiter := work.Value.(*waiter)
		waiter.reject(refusal(&waiter.acquireRequest.Request))
	}
}
