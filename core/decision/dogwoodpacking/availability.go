package dogwoodpacking

import (
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Besides its free slots, these conditions decide whether an endpoint gets a request:
//
//   - takesRequests: it is in force and has not said that it leaves;
//   - isBackedOff: it has asked this daemon for no requests for now;
//   - admits: its back-off, its named limit and its cold limit allow one more request;
//   - isAvoided: it could not be reached, or failed, a moment ago;
//   - isProven: it is not taken for down.
//
// The first three forbid a request. The other two only prefer other endpoints.

// takesRequests reports whether an endpoint is in force and has not said that it leaves.
func (state *endpointState) takesRequests() bool {
	return state.InForce && !state.leaving
}

// isBackedOff reports whether an endpoint has asked this daemon for no requests now. The caller holds the mutex.
func (board *Board) isBackedOff(now time.Time, endpoint *dogwoodfleet.Endpoint) bool {
	return len(board.backoffs) > 0 && now.Before(board.backoffs[instanceOf(endpoint)])
}

// isAvoided reports whether an endpoint gets no requests for a while as long as others are available.
func (state *endpointState) isAvoided(now time.Time) bool {
	return now.Before(state.health.avoidUntil)
}

// IsOpen reports whether a request may be sent to an endpoint now: it is in force and has neither said that it leaves nor asked for a
// back-off.
func (board *Board) IsOpen(now time.Time, endpoint *dogwoodfleet.Endpoint) bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	state := board.endpoints[endpoint.ID]
	return state != nil && state.Instance == endpoint.Instance && state.takesRequests() && !board.isBackedOff(now, endpoint)
}
