package dogwoodretry

import (
	"sync"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// burstPart is the part of a daemon's share of the allowance that may be spent at once.
	burstPart = 0.65
	// refillPart is the part that is added in the course of a window, so that daemons with few requests, and those
	// that have just started, get retries too. The rest is for retries that are delayed on their way to endpoints, and
	// arrive together with later ones.
	refillPart = 0.2
	// laterPart is the part of what first tries earn that can be spent later, when endpoints fail.
	laterPart = 0.5
	// shareInterval is how often the daemon's share is determined again at most.
	shareInterval = 250 * time.Millisecond
	// whole is a whole retry, less what sums of fractions may lose.
	whole = 1 - 1e-9
)

// Terms are what a retry budget that covers all daemons of a fleet grants to a service: in any Window, Ratio retries for each
// first try, and Allowance retries in addition.
type Terms struct {
	Ratio, Allowance float64
	// Window is taken for MinWindow if it is shorter.
	Window time.Duration
}

// SharedBudget is one daemon's part of a retry budget that covers all daemons of a fleet.
//
// The daemon keeps a ledger for each service. A process sends in any window at most its share of the allowance and the retries that
// its own first tries have earned, those of that window by one part and those of the window that began half a window earlier by the
// other. This is checked as a retry is taken and again as it is sent, since what was earned for it may lie too far back by then.
// Since a process begins with nothing, this holds for the processes of a VM together
// whenever they end and start: what a process had spent needs to be known to none after it. The budget is kept as long as
// the shares of the processes that run at the same time add up to no more than the allowance.
//
// The terms may change. A lower ratio or allowance also cuts what was earned and is not spent, a higher ratio is earned by first tries
// from then on, and with another window the process begins with nothing again.
type SharedBudget struct {
	getTerms func() Terms
	getShare func(allowance float64) float64

	mutex sync.Mutex
	terms Terms
	// share is the daemon's share of the allowance, as determined at sharedAt.
	share    float64
	sharedAt time.Time
	ledgers  map[dogwoodfleet.Service]*ledger
	// idle is the ledger of a service without requests.
	idle ledger
}

// NewSharedBudget returns the budget of a process that starts now. Terms returns the present terms, which are in force from the
// next call on, and share this daemon's share of an allowance, in retries per window.
func NewSharedBudget(now time.Time, terms func() Terms, share func(allowance float64) float64) *SharedBudget {
	shared := &SharedBudget{getTerms: terms, getShare: share, ledgers: map[dogwoodfleet.Service]*ledger{}}
	shared.terms = shared.presentTerms()
	shared.idle = newLedger(now, shared.terms)
	return shared
}

// First records the first try of a request.
func (shared *SharedBudget) First(now time.Time, service dogwoodfleet.Service) {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	ledger, _ := shared.ledger(now, service)
	ledger.earn()
}

// Take takes one retry from this daemon's part, or returns nil if that is used up.
func (shared *SharedBudget) Take(now time.Time, service dogwoodfleet.Service) *Retry {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	ledger, limits := shared.ledger(now, service)
	if ledger.available(&limits) < whole {
		return nil
	}
	ledger.pending++
	return &Retry{budget: shared, ledger: ledger}
}

// Allows reports whether Take would succeed now.
func (shared *SharedBudget) Allows(now time.Time, service dogwoodfleet.Service) bool {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	ledger, limits := shared.ledger(now, service)
	return ledger.available(&limits) >= whole
}

// Left returns the number of retries left to the service that has the fewest left.
func (shared *SharedBudget) Left(now time.Time) float64 {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	limits := shared.limits(now)
	shared.idle.advance(now, &limits)
	least := shared.idle.available(&limits)
	for _, ledger := range shared.ledgers {
		ledger.advance(now, &limits)
		least = min(least, ledger.available(&limits))
	}
	return least
}

// ledger returns the ledger of a service as it is now, and its limits. The caller holds the mutex.
func (shared *SharedBudget) ledger(now time.Time, service dogwoodfleet.Service) (*ledger, limits) {
	limits := shared.limits(now)
	ledger := shared.ledgers[service]
	if ledger == nil {
		idle := shared.idle
		ledger = &idle
		shared.ledgers[service] = ledger
	}
	ledger.advance(now, &limits)
	return ledger, limits
}

// limits returns the present limits. With a share of at least one retry it must be possible to make one. The burst and what time adds
// in a window are together no more than the share.
func (shared *SharedBudget) limits(now time.Time) limits {
	shared.follow(now)
	if now.Sub(shared.sharedAt) >= shareInterval {
		shared.share, shared.sharedAt = shared.getShare(shared.terms.Allowance), now
	}
	burst := max(burstPart*shared.share, min(shared.share, 1))
	return limits{ratio: shared.terms.Ratio, burst: burst, perSlot: min(refillPart*shared.share, shared.share-burst) / slotsPerWindow}
}

// follow applies the terms if they have changed.
func (shared *SharedBudget) follow(now time.Time) {
	before, terms := shared.terms, shared.presentTerms()
	if terms == before {
		return
	}
	shared.terms, shared.sharedAt = terms, time.Time{}
	change := func(ledger *ledger) { ledger.lowerRatio(terms.Ratio) }
	if terms.Window != before.Window {
		change = func(ledger *ledger) { ledger.restart(now, terms) }
	}
	change(&shared.idle)
	for _, ledger := range shared.ledgers {
		change(ledger)
	}
}

func (shared *SharedBudget) presentTerms() Terms {
	terms := shared.getTerms()
	terms.Window = max(terms.Window, MinWindow)
	return terms
}

// retryState is what has become of a retry that was taken.
type retryState int

const (
	retryPending retryState = iota
	retrySent
	retryReturned
)

// Retry is a retry that was taken from a budget. It is sent or returned once; a nil Retry needs neither. It is not safe for
// concurrent use.
type Retry struct {
	budget *SharedBudget
	ledger *ledger
	state  retryState
	// sentIn is the slot in which it was sent, of a ledger that began at epoch.
	sentIn int
	epoch  time.Time
}

// Send records that the retry is being sent. It returns false if that would exceed the budget by now, because what was earned
// for the retry lies too far back; the retry stays pending then. A nil Retry stands for a first try, which can always be sent.
func (retry *Retry) Send(now time.Time) bool {
	if retry == nil {
		return true
	}
	if retry.state != retryPending {
		return retry.state == retrySent
	}
	retry.budget.mutex.Lock()
	defer retry.budget.mutex.Unlock()
	limits := retry.budget.limits(now)
	retry.ledger.advance(now, &limits)
	if retry.ledger.left(&limits) < whole {
		return false
	}
	retry.state, retry.sentIn, retry.epoch = retrySent, retry.ledger.send(), retry.ledger.epoch
	return true
}

// Unsend records that the retry reached no endpoint after all and is to be sent again.
func (retry *Retry) Unsend() {
	if retry == nil || retry.state != retrySent {
		return
	}
	retry.budget.mutex.Lock()
	defer retry.budget.mutex.Unlock()
	retry.state = retryPending
	retry.ledger.unsend(retry.epoch, retry.sentIn)
}

// Return gives the retry back if it was not sent.
func (retry *Retry) Return() {
	if retry == nil || retry.state != retryPending {
		return
	}
	retry.budget.mutex.Lock()
	defer retry.budget.mutex.Unlock()
	retry.state = retryReturned
	retry.ledger.pending--
}
