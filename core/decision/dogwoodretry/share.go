package dogwoodretry

import (
	"sync"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Shared is one daemon's share of a retry budget that covers all daemons. In any window a
// service gets at most Ratio retries for each of its requests, plus a fixed allowance. Each
// daemon counts only the requests that it accepted, so the parts that come from the ratio
// add up without coordination; the allowance is divided by the number of daemons. Separate
// budgets for each daemon would together exceed the limit.
type Shared struct {
	// Ratio is the number of retries allowed for each first request.
	Ratio float64
	// Allowance is the number of retries allowed in a window in addition to Ratio, summed
	// over all daemons.
	Allowance float64
	// Window is the period over which first requests and retries are counted.
	Window time.Duration

	mutex    sync.Mutex
	services map[dogwoodfleet.Service]*attempts
}

// attempts holds the times of a service's first requests and retries in the last window.
type attempts struct {
	first, retries []time.Time
}

// First records a first request of a caller.
func (shared *Shared) First(now time.Time, service dogwoodfleet.Service) {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	attempts := shared.attempts(now, service)
	attempts.first = append(attempts.first, now)
}

// Take takes one retry from this daemon's share, or returns false if the share is used up.
func (shared *Shared) Take(now time.Time, service dogwoodfleet.Service, daemons int) bool {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	attempts := shared.attempts(now, service)
	if shared.remaining(attempts, daemons) < 1 {
		return false
	}
	attempts.retries = append(attempts.retries, now)
	return true
}

// Return gives back a retry that was taken but not made.
func (shared *Shared) Return(now time.Time, service dogwoodfleet.Service) {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	attempts := shared.attempts(now, service)
	if last := len(attempts.retries) - 1; last >= 0 {
		attempts.retries = attempts.retries[:last]
	}
}

// Allows reports whether Take would succeed now.
func (shared *Shared) Allows(now time.Time, service dogwoodfleet.Service, daemons int) bool {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	return shared.remaining(shared.attempts(now, service), daemons) >= 1
}

// Left returns the number of retries left to the service that has the fewest left.
func (shared *Shared) Left(now time.Time, daemons int) float64 {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	least := shared.remaining(&attempts{}, daemons)
	for service := range shared.services {
		least = min(least, shared.remaining(shared.attempts(now, service), daemons))
	}
	return least
}

func (shared *Shared) remaining(attempts *attempts, daemons int) float64 {
	allowed := shared.Ratio*float64(len(attempts.first)) + shared.Allowance/float64(max(daemons, 1))
	return allowed - float64(len(attempts.retries))
}

func (shared *Shared) attempts(now time.Time, service dogwoodfleet.Service) *attempts {
	if shared.services == nil {
		shared.services = map[dogwoodfleet.Service]*attempts{}
	}
	found := shared.services[service]
	if found == nil {
		found = &attempts{}
		shared.services[service] = found
	}
	found.first = dropBefore(found.first, now.Add(-shared.Window))
	found.retries = dropBefore(found.retries, now.Add(-shared.Window))
	return found
}

func dropBefore(times []time.Time, start time.Time) []time.Time {
	expired := 0
	for expired < len(times) && times[expired].Before(start) {
		expired++
	}
	return append(times[:0], times[expired:]...)
}
