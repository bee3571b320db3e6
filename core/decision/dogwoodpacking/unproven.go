package dogwoodpacking

import "time"

// Load pattern: the engines of a data centre end at once, and their entries stay in the store for some seconds. They have no requests and
// look ideal to every prompt that needs an idle engine. Each second, when they are no longer avoided, all requests that wait were
// sent there one after the other, and long prompts blocked sound engines while these waited for parts from the others.

// isProven reports whether an engine has answered since it could not be reached. One that has not is probably still down: it gets one
// request at a time, and no part of a prompt, which would block the other engines of the prompt until they give up.
func (state *endpointState) isProven() bool {
	return !state.health.unreachable
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
		case state.isProven():
		case board.ownRequests(state) > 0:
			return healthy
		case probe == nil && !now.Before(state.health.avoidUntil):
			probe = state
		}
	}
	if probe == nil {
		return healthy
	}
	return append(healthy, probe)
}
