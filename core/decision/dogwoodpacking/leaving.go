package dogwoodpacking

import (
	"maps"
	"slices"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// maxLeaving bounds the endpoints that are kept as leaving. Beyond that, those are dropped that said so first.
const maxLeaving = 1000

// Leave records that an endpoint has said that it leaves. It gets no new request of this daemon, whatever its entry says,
// until its process is gone. It returns true if that was not known.
func (board *Board) Leave(now time.Time, endpoint *dogwoodfleet.Endpoint) bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	instance := instanceOf(endpoint)
	if _, known := board.leaving[instance]; known {
		return false
	}
	if len(board.leaving) >= maxLeaving {
		delete(board.leaving, slices.MinFunc(slices.Collect(maps.Keys(board.leaving)), func(a, b endpointInstance) int {
			return board.leaving[a].Compare(board.leaving[b])
		}))
	}
	board.leaving[instance] = now
	board.setLeaving(board.endpoints[endpoint.ID])
	board.notifyChange()
	return true
}

// setLeaving marks an endpoint that has said that it leaves; nil for none. The caller holds the mutex.
func (board *Board) setLeaving(state *endpointState) {
	if state == nil {
		return
	}
	_, state.leaving = board.leaving[instanceOf(&state.Endpoint.Endpoint)]
}
