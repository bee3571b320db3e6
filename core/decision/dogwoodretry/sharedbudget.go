package dogwoodretry

import (
	"sync"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// SharedBudget is one daemon's share of a retry budget that covers all daemons. In any window a
// service gets at most Ratio retries for each first try, plus a fixed allowance. Each
// daemon counts only the requests that it accepted, so the retries allowed by the ratio need
// no coordination; the allowance is divided by the number of daemons. Separate budgets for
// each daemon would together exceed the limit.
type SharedBudget struct {
	// Ratio is the number of retries allowed for each first try.
	Ratio float64
	// Allowance is the number of retries allowed in a window in addition to Ratio, summed
	// over all daemons.
	Allowance float64
	// Window is the period over which first tries and retries are counted.
	Window time.Duration

	mutex    sync.Mutex
	services map[dogwoodfleet.Service]*tries
}

// tries holds the times of a service's first tries and retries in the last window.
type tries struct {
	first, retries []time.Time
}

// First records the first try of a request.
func (shared *SharedBudget) First(now time.Time, service dogwoodfleet.Service) {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	tries := shared.tries(now, service)
	tries.first = append(tries.first, now)
}

// Take takes one retry from this daemon's share, or returns false if the share is used up.
func (shared *SharedBudget) Take(now time.Time, service dogwoodfleet.Service, daemons int) bool {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	tries := shared.tries(now, service)
	if shared.remaining(tries, daemons) < 1 {
		return false
	}
	tries.retries = append(tries.retries, now)
	return true
}

// Return gives back a retry that was taken but not made.
func (shared *SharedBudget) Return(now time.Time, service dogwoodfleet.Service) {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	tries := shared.tries(now, service)
	if last := len(tries.retries) - 1; last >= 0 {
		tries.retries = tries.retries[:last]
	}
}

// Allows reports whether Take would succeed now.
func (shared *SharedBudget) Allows(now time.Time, service dogwoodfleet.Service, daemons int) bool {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	return shared.remaining(shared.tries(now, service), daemons) >= 1
}

// Left returns the number of retries left to the service that has the fewest left.
func (shared *SharedBudget) Left(now time.Time, daemons int) float64 {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	least := shared.remaining(&tries{}, daemons)
	for service := range shared.services {
		least = min(least, shared.remaining(shared.tries(now, service), daemons))
	}
	return least
}

func (shared *SharedBudget) remaining(tries *tries, daemons int) float64 {
	allowed := shared.Ratio*float64(len(tries.first)) + shared.Allowance/float64(max(daemons, 1))
	return allowed - float64(len(tries.retries))
}

func (shared *SharedBudget) tries(now time.Time, service dogwoodfleet.Service) *tries {
	if shared.services == nil {
		shared.services = map[dogwoodfleet.Service]*tries{}
	}
	found := shared.services[service]
	if found == nil {
		found = &tries{}
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
