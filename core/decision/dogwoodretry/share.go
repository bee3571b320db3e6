package dogwoodretry

import (
	"sync"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Shared is one daemon's share of a retry budget that holds for all daemons together. In
// any window each service may get no more repeats than a ratio of its requests and a fixed
// allowance. Each daemon counts the requests that it took itself, so the ratios add up to
// the whole by themselves; the allowance is divided by the number of daemons. Without it
// daemons that each keep within a budget of their own exceed it together.
type Shared struct {
	// Ratio is repeats over first requests.
	Ratio float64
	// Allowance is the number of repeats allowed in a window besides, over all daemons.
	Allowance float64
	// Window is the span over which both are counted.
	Window time.Duration

	mutex    sync.Mutex
	services map[dogwoodfleet.Service]*counts
}

// counts are the moments of first requests and repeats within the last window.
type counts struct {
	first, repeats []time.Time
}

// First counts a request of a caller.
func (shared *Shared) First(now time.Time, service dogwoodfleet.Service) {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	counts := shared.counts(now, service)
	counts.first = append(counts.first, now)
}

// Take takes one repeat from this daemon's share, or returns false if it is used up.
func (shared *Shared) Take(now time.Time, service dogwoodfleet.Service, daemons int) bool {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	counts := shared.counts(now, service)
	if shared.left(counts, daemons) < 1 {
		return false
	}
	counts.repeats = append(counts.repeats, now)
	return true
}

// Return gives back a repeat that was taken and not made.
func (shared *Shared) Return(now time.Time, service dogwoodfleet.Service) {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	counts := shared.counts(now, service)
	if last := len(counts.repeats) - 1; last >= 0 {
		counts.repeats = counts.repeats[:last]
	}
}

// Allows tells whether Take would take a repeat now.
func (shared *Shared) Allows(now time.Time, service dogwoodfleet.Service, daemons int) bool {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	return shared.left(shared.counts(now, service), daemons) >= 1
}

// Left is how many repeats the service with the fewest left may still get now.
func (shared *Shared) Left(now time.Time, daemons int) float64 {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	least := shared.left(&counts{}, daemons)
	for service := range shared.services {
		least = min(least, shared.left(shared.counts(now, service), daemons))
	}
	return least
}

func (shared *Shared) left(counts *counts, daemons int) float64 {
	allowed := shared.Ratio*float64(len(counts.first)) + shared.Allowance/float64(max(daemons, 1))
	return allowed - float64(len(counts.repeats))
}

func (shared *Shared) counts(now time.Time, service dogwoodfleet.Service) *counts {
	if shared.services == nil {
		shared.services = map[dogwoodfleet.Service]*counts{}
	}
	found := shared.services[service]
	if found == nil {
		found = &counts{}
		shared.services[service] = found
	}
	found.first = dropBefore(found.first, now.Add(-shared.Window))
	found.repeats = dropBefore(found.repeats, now.Add(-shared.Window))
	return found
}

func dropBefore(moments []time.Time, start time.Time) []time.Time {
	old := 0
	for old < len(moments) && moments[old].Before(start) {
		old++
	}
	return append(moments[:0], moments[old:]...)
}
