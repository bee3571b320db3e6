package dogwoodpacking

import (
	"time"

	"dogwoodmux.example/core/decision/dogwoodwaiting"
	"dogwoodmux.example/core/dogwoodfleet"
)

// Load pattern: an endpoint that is short of capacity turns requests away and asks a daemon to send none for a while. A
// daemon that goes on, or that starts with all that has waited when the time is over, keeps it short.

const (
	// MaxBackoff bounds the time for which an endpoint is taken to ask for no requests. Its process rarely lives as long.
	MaxBackoff = time.Hour
	// backoffRamp is the time after a back-off in which the endpoint's part for this daemon grows to all of its slots.
	backoffRamp = time.Second
	// maxBackoffs bounds the endpoints whose back-offs are kept.
	maxBackoffs = 1000
)

// endpointInstance identifies one process of an endpoint.
type endpointInstance struct {
	id       dogwoodfleet.EndpointID
	instance dogwoodfleet.InstanceID
}

func instanceOf(endpoint *dogwoodfleet.Endpoint) endpointInstance {
	return endpointInstance{id: endpoint.ID, instance: endpoint.Instance}
}

// Backoff records that an endpoint has asked this daemon for no requests until a time. It is kept while the endpoint's entry
// is missing, and ends with the endpoint's process. An earlier request for a longer back-off stands. It returns true if the
// endpoint was not backed off before.
func (board *Board) Backoff(now time.Time, endpoint *dogwoodfleet.Endpoint, until time.Time) (began bool) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if latest := now.Add(MaxBackoff); until.After(latest) {
		until = latest
	}
	known := board.backoffs[instanceOf(endpoint)]
	if !until.After(known) || !until.After(now) {
		return false
	}
	if known.IsZero() {
		board.dropBackoffs(now)
	}
	board.backoffs[instanceOf(endpoint)] = until
	board.notifyChange()
	return !known.After(now)
}

// dropBackoffs drops back-offs that are over, and if there are too many the one that ends first. The caller holds the mutex.
func (board *Board) dropBackoffs(now time.Time) {
	var first endpointInstance
	for instance, until := range board.backoffs {
		if now.After(until.Add(backoffRamp)) {
			delete(board.backoffs, instance)
		} else if end, ok := board.backoffs[first]; !ok || until.Before(end) {
			first = instance
		}
	}
	if len(board.backoffs) >= maxBackoffs {
		delete(board.backoffs, first)
	}
}

// backoffAdmits reports whether an endpoint's back-off, if it has asked for one, allows one more request of this daemon. After a
// back-off, its part for this daemon grows from one request to all slots. The caller holds the mutex.
func (board *Board) backoffAdmits(state *endpointState, now time.Time) bool {
	if len(board.backoffs) == 0 {
		return true
	}
	until, ok := board.backoffs[instanceOf(&state.Endpoint.Endpoint)]
	if !ok {
		return true
	}
	over := now.Sub(until)
	if over < 0 {
		return false
	}
	return over >= backoffRamp || float64(board.ownRequests(state)) < max(float64(state.capacity())*over.Seconds()/backoffRamp.Seconds(), 1)
}

// ownRequests returns the number of this daemon's requests at an endpoint. The caller holds the mutex.
func (board *Board) ownRequests(state *endpointState) int {
	count := 0
	for _, work := range state.work {
		if string(work.Holder) == board.owner {
			count++
		}
	}
	return count
}

// Reopenings returns how each of a service's endpoints in force takes requests again if all of them have asked for none now; else
// nil.
func (board *Board) Reopenings(now time.Time, service dogwoodfleet.Service) []dogwoodwaiting.Reopening {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if len(board.backoffs) == 0 {
		return nil
	}
	var reopenings []dogwoodwaiting.Reopening
	for _, state := range board.endpoints {
		if state.Service != service || !state.takesRequests() {
			continue
		}
		until := board.backoffs[instanceOf(&state.Endpoint.Endpoint)]
		if !until.After(now) {
			return nil
		}
		reopenings = append(reopenings, dogwoodwaiting.Reopening{At: until, Slots: max(state.capacity(), 1), Ramp: backoffRamp})
	}
	return reopenings
}

// CountBackedOff returns the number of known endpoints that have asked this daemon for no requests now.
func (board *Board) CountBackedOff(now time.Time) int {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	count := 0
	for _, state := range board.endpoints {
		if board.isBackedOff(now, &state.Endpoint.Endpoint) {
			count++
		}
	}
	return count
}
