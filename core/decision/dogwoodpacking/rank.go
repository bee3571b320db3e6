package dogwoodpacking

import (
	"math"
	"time"

	"dogwoodmux.example/core/decision/dogwoodenginetime"
	"dogwoodmux.example/core/decision/dogwoodshare"
	"dogwoodmux.example/core/dogwoodfleet"
)

// Load pattern: engines are lost for some seconds, while prompts of a less urgent rank need half of all engine time. An
// engine that prefills such a prompt is of no use to short prompts for seconds. Each long prompt weighs as much as twenty short
// ones, so that without ranks it is placed on engines that decode short prompts' answers, or takes the engines that these need next.
//
// Therefore a rank may take engines only beyond those that the requests of more urgent ranks need now, wherever these were
// placed from. Gaps at engines that hold more urgent requests are free to use, as long as no pause and no first token there
// becomes late. Each rank may take a minimum, so that none starves. A rank without a more urgent one is placed without regard to ranks.

const (
	// rankHeadroom is the factor by which the engines kept for more urgent ranks exceed those that their requests fill. Those
	// requests last two seconds and long prompts longer, so an engine must be kept for requests that arrive later.
	rankHeadroom = 1.1
	// peakHalfLife is the half-life of a peak of the requests of a rank, about as long as a short prompt's answer takes.
	peakHalfLife = 2 * time.Second
	// rankDiscount is the factor for harm to less urgent requests.
	rankDiscount = 0.25
	// unlimitedEngines is the allowance of a rank without a more urgent one.
	unlimitedEngines = math.MaxInt
)

// serviceRank is a rank of one service's requests.
type serviceRank struct {
	service dogwoodfleet.Service
	rank    int
}

// rankCount counts the requests of a rank that are assigned to endpoints.
type rankCount struct {
	count int
	// peak is the count, or an earlier and larger one that decays. When endpoints are lost, their requests are assigned again within
	// some milliseconds, in which the count falls.
	peak   float64
	peakAt time.Time
}

// add counts one more request.
func (rankCount *rankCount) add(now time.Time) {
	rankCount.count++
	rankCount.peak = max(float64(rankCount.count), rankCount.recentPeak(now))
	rankCount.peakAt = now
}

// recentPeak returns the peak as it has decayed.
func (rankCount *rankCount) recentPeak(now time.Time) float64 {
	if rankCount.peak == 0 {
		return 0
	}
	return rankCount.peak * math.Exp2(-float64(now.Sub(rankCount.peakAt))/float64(peakHalfLife))
}

// rankCount returns the count of a request's rank. The caller holds the mutex.
func (board *Board) rankCount(work *Work) *rankCount {
	key := serviceRank{service: work.Service, rank: work.Rank}
	counted := board.rankCounts[key]
	if counted == nil {
		counted = &rankCount{}
		board.rankCounts[key] = counted
	}
	return counted
}

// urgentRequests returns the number of requests of more urgent ranks. The caller holds the mutex.
func (board *Board) urgentRequests(now time.Time, request *PlacementRequest) float64 {
	requests := 0.0
	for key, counted := range board.rankCounts {
		if key.service == request.Service && key.rank < request.Rank {
			requests += max(counted.recentPeak(now), float64(counted.count))
		}
	}
	return requests
}

// urgentCount returns the number of requests of more urgent ranks that are assigned now. The caller holds the mutex.
func (board *Board) urgentCount(request *PlacementRequest) int {
	count := 0
	for key, counted := range board.rankCounts {
		if key.service == request.Service && key.rank < request.Rank {
			count += counted.count
		}
	}
	return count
}

// yields reports whether a prompt has to leave engines to more urgent ones. Short prompts, which take an engine some milliseconds, do
// not, and neither does the rest of an answer that its caller has begun to receive. The caller holds the mutex.
func (board *Board) yields(now time.Time, request *PlacementRequest) bool {
	if request.Resumed || request.Prompt < dogwoodenginetime.LongPrompt {
		return false
	}
	return board.urgentRequests(now, request) >= 1
}

// rankDemand is what a service's requests need of its engines, as seen from one rank.
type rankDemand struct {
	// yields is false for prompts that leave no engines to others.
	yields bool
	// engines counts the engines that take requests, and needed those that more urgent requests need of them.
	engines int
	needed  float64
	// neededNow is needed without the peak of urgent requests that is over.
	neededNow float64
	// own and rest count the engines without more urgent requests that prefill for the rank, and for less urgent ones.
	own, rest int
	// seenShare is the share of the daemons whose work is counted.
	seenShare float64
	// minEngines is the number of engines whose memory the prompt needs.
	minEngines int
}

// allowance returns on how many more engines without more urgent requests a prompt may be prefilled.
func (demand *rankDemand) allowance() int {
	if !demand.yields {
		return unlimitedEngines
	}
	left := float64(demand.engines) - (rankHeadroom*demand.needed+float64(demand.own+demand.rest))/demand.seenShare
	return max(int(left), demand.minimum()-demand.own, 0)
}

// attainable returns the most engines on which a prompt may be prefilled while it waits: those that it may take now, or once the peak of
// urgent requests is over and the running prefills of its rank and of less urgent ones have ended, or its minimum.
func (demand *rankDemand) attainable() int {
	left := float64(demand.engines) - rankHeadroom*demand.neededNow/demand.seenShare
	return max(demand.allowance(), int(left), demand.minimum())
}

// minimum returns the number of engines, one at least, on which the rank may prefill whatever more urgent ranks need. It includes all engines whose
// memory the prompt needs: with fewer, such a prompt could never be placed in a small pool.
func (demand *rankDemand) minimum() int {
	return max(int(dogwoodshare.MinRankShare*demand.seenShare*float64(demand.engines)), demand.minEngines, 1)
}

// rankDemand counts the demand for a service's engines without the given work; except may be nil. The caller holds the mutex.
func (board *Board) rankDemand(now time.Time, request *PlacementRequest, except map[WorkID]bool) rankDemand {
	if !board.yields(now, request) {
		return rankDemand{}
	}
	demand := rankDemand{yields: true, seenShare: board.seenShare}
	slots, prefill := 1, 0.0
	for _, state := range board.ranked {
		if state.Service != request.Service || state.Engine == nil || state.Slots <= 0 || !state.takesRequests() || !state.isProven(now) || board.isBackedOff(now, &state.Endpoint.Endpoint) {
			continue
		}
		demand.engines++
		demand.minEngines = max(demand.minEngines, minEngines(request.Prompt+request.Answer, state))
		slots = max(slots, state.Slots)
		prefill += state.urgentPrefill(request.Rank)
		switch own, rest := state.prefillsFor(request.Rank, except); {
		case own:
			demand.own++
		case rest:
			demand.rest++
		}
	}
	packed := packShare * float64(slots)
	demand.needed = board.urgentRequests(now, request)/packed + prefill
	demand.neededNow = float64(board.urgentCount(request))/packed + prefill
	return demand
}

// urgentPrefill returns the number of engines that prefill in time the prompts without a first token that are more urgent than a rank.
func (state *endpointState) urgentPrefill(rank int) float64 {
	engines := 0.0
	for _, work := range state.work {
		if work.Rank < rank && !work.Writing && work.Aim > 0 {
			engines += float64(work.Reading) * float64(1+len(work.Helpers)) / (aimShare * float64(work.Aim))
		}
	}
	return engines
}

// prefillsFor reports whether an engine without more urgent requests prefills for a rank, or for less urgent ones, work in except aside.
func (state *endpointState) prefillsFor(rank int, except map[WorkID]bool) (own, rest bool) {
	if state.hasMoreUrgent(rank) {
		return false, false
	}
	for _, list := range []workList{state.work, state.helpedWork} {
		for _, work := range list {
			if work.Writing || len(except) > 0 && except[work.ID] {
				continue
			}
			own = own || work.Rank == rank
			rest = rest || work.Rank > rank
		}
	}
	return own, rest
}

// isTakenBy reports whether a part for a rank takes the engine from more urgent ranks: it holds none of their requests and prefills
// neither for this rank nor for less urgent ones, work in except aside.
func (state *endpointState) isTakenBy(rank int, except map[WorkID]bool) bool {
	own, rest := state.prefillsFor(rank, except)
	return !own && !rest && !state.hasMoreUrgent(rank)
}

// hasMoreUrgent reports whether an engine holds requests that are more urgent than a rank.
func (state *endpointState) hasMoreUrgent(rank int) bool {
	for _, work := range state.work {
		if work.Rank < rank {
			return true
		}
	}
	return false
}

// rankWeight returns the factor for harm to a request by the one that is placed, which is smaller for less urgent requests.
func (search *search) rankWeight(harmed *Work) float64 {
	if harmed.Rank > search.request.Rank {
		return rankDiscount
	}
	return 1
}

// canEnd reports whether a prompt can be answered until its deadline if it is prefilled by as many engines as it may take while it waits. Those
// that it may take now don't decide: the largest prompts need most engines, which are free only at times. Prompts that wait for more urgent ones and can't end are refused while their callers can still do something else.
func (search *search) canEnd() bool {
	if search.allowance == unlimitedEngines || search.request.Until.IsZero() {
		return true
	}
	engine := search.engines[0].state.Engine
	parts := min(search.attainable, 1+maxHelpers)
	passes := search.request.Answer / max(engine.Stride, 1)
	decode := time.Duration(passes) * engine.PassTime(1, search.request.Prompt)
	return search.now.Add(engine.PrefillTime(search.request.Prompt, parts) + decode).Before(search.request.Until)
}

// isHeldUp reports whether a prompt that found no placement would have one without more urgent requests: these need engines that it
// could take, or hold most engines. Otherwise it waits for the same reasons and as long as prompts that yield to none.
func (search *search) isHeldUp() bool {
	if search.allowance == unlimitedEngines {
		return false
	}
	taken, urgent := 0, 0
	for i := range search.engines {
		if search.engines[i].taken {
			taken++
		}
		if search.engines[i].hasUrgent {
			urgent++
		}
	}
	return search.allowance < min(taken, 1+maxHelpers) || 2*urgent >= len(search.engines)
}
