package dogwoodrelay

import (
	"fmt"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodwaiting"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodlog"
)

// maxRankLabel is the largest rank with a counter of its own. Ranks come from the operators' text and are not bounded there.
const maxRankLabel = 9

// lateness tracks the delays of a stream that count for its caller.
type lateness struct {
	// firstEvent is the time from the request's arrival to the first event; zero before it.
	firstEvent time.Duration
	lastAt     time.Time
	// longestPause is the longest time between two events, and pausedAt the endpoint that sent the second of them.
	longestPause time.Duration
	pausedAt     dogwoodfleet.EndpointID
}

// record records the arrival of an event.
func (lateness *lateness) record(now, arrived time.Time, endpoint dogwoodfleet.EndpointID) {
	if lateness.lastAt.IsZero() {
		lateness.firstEvent = now.Sub(arrived)
	} else if pause := now.Sub(lateness.lastAt); pause > lateness.longestPause {
		lateness.longestPause, lateness.pausedAt = pause, endpoint
	}
	lateness.lastAt = now
}

// reportLateness logs and counts a stream that was answered later than its route allows.
func (attempt *attempt) reportLateness() {
	request, lateness := attempt.request, &attempt.lateness
	route := request.Route
	lateFirst := route.Aim > 0 && lateness.firstEvent > route.Aim
	latePause := route.Pause > 0 && lateness.longestPause > route.Pause
	if !request.isStreamed() || lateness.lastAt.IsZero() {
		return
	}
	label := fmt.Sprintf("Rank%dRoute%d", boundedRank(request.Rank), boundedRank(route.Rank))
	counters.Add("Streams"+label, 1)
	if !lateFirst && !latePause {
		return
	}
	counters.Add("LateStreams"+label, 1)
	attempt.relay.options.Logger.Info(dogwoodlog.Late, "request", request.ID, "rank", request.Rank, "routerank", route.Rank, "prompt", request.Prompt, "tries", attempt.tries,
		"firstevent", lateness.firstEvent, "aim", route.Aim, "longestpause", lateness.longestPause, "pause", route.Pause, "pausedat", lateness.pausedAt)
}

// boundedRank returns the rank under which a request is counted.
func boundedRank(rank int) int {
	return min(max(rank, 0), maxRankLabel)
}

// reportYield counts and logs once that a request waits for engines that more urgent requests need.
func (attempt *attempt) reportYield(placementRequest *dogwoodpacking.PlacementRequest) {
	if attempt.yielded {
		return
	}
	attempt.yielded = true
	counters.Add("Yielded", 1)
	attempt.relay.options.Logger.Info(dogwoodlog.Yields, "request", attempt.request.ID, "rank", attempt.request.Rank, "routerank", attempt.request.Route.Rank, "prompt", placementRequest.Prompt)
}

// reportMinimum counts and logs that a request got a slot for its rank's minimum.
func (attempt *attempt) reportMinimum(use dogwoodwaiting.MinimumUse) {
	request := attempt.request
	counters.Add(fmt.Sprintf("MinimumStartsRank%d", boundedRank(request.Rank)), 1)
	attempt.relay.options.Logger.Info(dogwoodlog.Minimum, "request", request.ID, "rank", request.Rank, "routerank", request.Route.Rank, "used", use.Used, "urgent", use.Urgent)
}
