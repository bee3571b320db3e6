package dogwoodpacking

import "time"

// Load pattern: the engines of a data centre end at once, and their entries stay in the store for some seconds. They have no requests and
// look ideal to every prompt that needs an idle engine. Each second, when they are no longer avoided, all requests that wait were
// sent there one after the other, and long prompts blocked sound engines while these waited for parts from the others.

// unprovenFor is how long an engine that could not be reached counts as down after it is no longer avoided, unless it answers before. The
// entries of most dead engines leave the store in that time. In a large fleet a daemon sends few requests: without a bound, engines
// that were back got one request at a time of each daemon for 30 s.
const unprovenFor = 3 * time.Second

// isProven reports whether an engine has answered since it could not be reached, or has not failed for unprovenFor. One that has not is
// probably still down: it gets one request at a time, and no part of a prompt, which would block the other engines of the prompt until
// they give up.
func (state *endpointState) isProven(now time.Time) bool {
	return !state.health.unreachable || !now.Before(state.health.avoidUntil.Add(unprovenFor))
}

// addProbe adds to the healthy candidates one engine that has not answered since it could not be reached, if the request may try one:
// only its first try may, while this daemon has no other request there. The caller holds the mutex.
func (board *Board) addProbe(now time.Time, request *PlacementRequest, available, healthy []*endpointState) []*endpointState {
	if len(request.Avoid) > 0 {
		return healthy
	}
	var probe *endpointState
	for _, state := range available {
		switch {
		case state.isProven(now):
		case board.ownRequests(state) > 0:
			return healthy
		case probe == nil && !state.isAvoided(now):
			probe = state
		}
	}
	if probe == nil {
		return healthy
	}
	return append(healthy, probe)
}
