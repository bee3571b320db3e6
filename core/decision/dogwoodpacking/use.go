package dogwoodpacking

import (
	"time"

	"dogwoodmux.example/core/decision/dogwoodenginetime"
	"dogwoodmux.example/core/dogwoodfleet"
)

// EngineUse is what the engines of a service are used for. An engine may both prefill and decode.
type EngineUse struct {
	// InForce counts the engines that may get work, Prefilling and Decoding those of them with prompts without a first token, also as
	// helpers, and with answers.
	InForce, Prefilling, Decoding int
	// Urgent is the number of engines that are kept for all ranks but the least urgent one; 0 while requests of only one rank come.
	Urgent float64
}

// EngineUses returns how the engines of each service are used.
func (board *Board) EngineUses(now time.Time) map[dogwoodfleet.Service]EngineUse {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	uses := map[dogwoodfleet.Service]EngineUse{}
	for _, state := range board.endpoints {
		if state.Engine == nil || !state.takesRequests() {
			continue
		}
		use := uses[state.Service]
		use.InForce++
		if state.hasWaiting() || state.helpsNow() {
			use.Prefilling++
		}
		if state.isDecoding() {
			use.Decoding++
		}
		uses[state.Service] = use
	}
	for service, use := range uses {
		demand := board.rankDemand(now, &PlacementRequest{Service: service, Rank: board.leastUrgentRank(now, service), Prompt: dogwoodenginetime.LongPrompt}, nil)
		if demand.yields {
			use.Urgent = rankHeadroom * demand.needed / demand.seenShare
			uses[service] = use
		}
	}
	return uses
}

// leastUrgentRank returns the least urgent rank of the recent requests for a service. The caller holds the mutex.
func (board *Board) leastUrgentRank(now time.Time, service dogwoodfleet.Service) int {
	least, found := 0, false
	for key, counted := range board.rankCounts {
		if key.service == service && counted.recentPeak(now) >= 1 && (!found || key.rank > least) {
			least, found = key.rank, true
		}
	}
	return least
}

// helpsNow reports whether the engine prefills a part of another engine's prompt.
func (state *endpointState) helpsNow() bool {
	for _, work := range state.helpedWork {
		if !work.Writing {
			return true
		}
	}
	return false
}

func (state *endpointState) isDecoding() bool {
	for _, work := range state.work {
		if work.Writing {
			return true
		}
	}
	return false
}
