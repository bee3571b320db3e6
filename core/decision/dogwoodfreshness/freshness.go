// Package dogwoodfreshness tracks when the platform's store last confirmed that a daemon's state
// is current.
//
// A daemon that is cut off from the store keeps using its last known state: it would accept a
// withdrawn key and send requests to an endpoint that has left. Each answer of the store confirms
// the state as of the time when the query was sent; an unanswered query confirms nothing. The age
// of the last confirmation therefore bounds how long changes may have gone unnoticed. A request
// that must not run on a withdrawn key is rejected once that age approaches the bound.
//
// Ages are measured on a clock that continues while the machine is suspended. With a monotonic
// clock that stops during suspension, a daemon that resumes after a minute would appear up to date.
package dogwoodfreshness

import (
	"sync"
	"time"
)

// Clock returns the time since an arbitrary fixed point, including time spent suspended.
type Clock func() time.Duration

// Tracker tracks the time of the store's last confirmation. It is safe for concurrent use.
type Tracker struct {
	clock Clock

	mutex       sync.Mutex
	confirmed   bool
	confirmedAt time.Duration
}

// New returns a Tracker without any confirmation.
func New(clock Clock) *Tracker {
	return &Tracker{clock: clock}
}

// Now returns the current time of the clock. Callers take it before they query the store and pass
// it to Confirm once the store has answered.
func (tracker *Tracker) Now() time.Duration {
	return tracker.clock()
}

// Confirm records that the store answered a query that was sent at asked. A query older than the last
// confirmation has no effect.
func (tracker *Tracker) Confirm(asked time.Duration) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if !tracker.confirmed || asked > tracker.confirmedAt {
		tracker.confirmed, tracker.confirmedAt = true, asked
	}
}

// Age returns the age of the last confirmation, and false if there was none.
func (tracker *Tracker) Age() (time.Duration, bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.clock() - tracker.confirmedAt, tracker.confirmed
}

// Within reports whether the last confirmation is younger than the bound.
func (tracker *Tracker) Within(bound time.Duration) bool {
	age, proven := tracker.Age()
	return proven && age < bound
}
