package dogwoodrelay

import (
	"context"
	"slices"
	"sync"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodwaiting"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

// placeAgain is the mean time between two looks for places without a sign of one: other
// daemons and limits of a second free places without one.
const placeAgain = 20 * time.Millisecond

// line holds the attempts that wait for a place.
type line struct {
	places Places

	mutex   sync.Mutex
	waiters []*waiter
}

// waiter is an attempt that waits. It is told once.
type waiter struct {
	request dogwoodwaiting.Request
	ask     *dogwoodpacking.Ask
	told    chan told
	// last is why it had no place when it was last looked at.
	last dogwoodpacking.Refusal
}

type told struct {
	placement dogwoodpacking.Placement
	refusal   dogwoodpacking.Refusal
}

// join adds a waiter behind or before the others and looks for places.
func (line *line) join(waiter *waiter) {
	line.mutex.Lock()
	defer line.mutex.Unlock()
	line.waiters = append(line.waiters, waiter)
	line.look(time.Now())
}

// leave removes a waiter. It returns false if the waiter was told already.
func (line *line) leave(waiter *waiter) bool {
	line.mutex.Lock()
	defer line.mutex.Unlock()
	at := slices.Index(line.waiters, waiter)
	if at < 0 {
		return false
	}
	line.waiters = slices.Delete(line.waiters, at, at+1)
	return true
}

// look gives places to those who wait, in their order. The caller holds the mutex.
func (line *line) look(now time.Time) {
	slices.SortStableFunc(line.waiters, func(one, other *waiter) int {
		return dogwoodwaiting.Compare(now, &one.request, &other.request)
	})
	full := map[dogwoodfleet.Service]bool{}
	line.waiters = slices.DeleteFunc(line.waiters, func(waiter *waiter) bool {
		if full[waiter.ask.Service] {
			return false
		}
		placement, refusal := line.places.Place(now, waiter.ask)
		waiter.last = refusal
		switch refusal {
		case dogwoodpacking.Full:
			// A prompt that needs the memory of several engines may find none where others do.
			full[waiter.ask.Service] = waiter.ask.Prompt == 0
			return false
		case dogwoodpacking.NoEndpoint:
			return false
		case dogwoodpacking.Placed, dogwoodpacking.TooLarge:
		}
		waiter.told <- told{placement: placement, refusal: refusal}
		return true
	})
}

// run looks for places whenever one may have come free, until the context ends.
func (line *line) run(ctx context.Context) error {
	timer := time.NewTimer(dogwoodkernel.Jittered(placeAgain))
	defer timer.Stop()
	for {
		changed := line.places.Changed()
		line.mutex.Lock()
		if len(line.waiters) > 0 {
			line.look(time.Now())
		}
		line.mutex.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-timer.C:
			timer.Reset(dogwoodkernel.Jittered(placeAgain))
		}
	}
}
