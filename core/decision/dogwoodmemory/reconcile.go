package dogwoodmemory

import (
	"cmp"
	"slices"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Listed is one request in an engine's list of the requests that hold its memory.
type Listed struct {
	Request dogwoodfleet.RequestID
	Tokens  int
	// Reserved is true for memory that is reserved for a request not yet running. The engine
	// frees it when its lease expires, so it is never returned for cancelling.
	Reserved bool
	// HolderGone is true if the daemon that sent the request is known to be dead, so that no
	// daemon can announce its hold any more.
	HolderGone bool
}

// Report is an engine's list of the requests that hold its memory.
type Report struct {
	// Asked is when the list was requested; the answer is at least as recent.
	Asked    time.Time
	Instance dogwoodfleet.InstanceID
	// MemoryTokens is the engine's total memory; 0 if it was not reported.
	MemoryTokens int
	Listed       []Listed
}

// Why is the reason for cancelling a stream.
type Why string

// The reasons for cancelling.
const (
	// WhyLapsed means that the holder stopped renewing the hold.
	WhyLapsed Why = "Lapsed"
	// WhyEnded means that the holder ended the request and its cancel did not take effect.
	WhyEnded Why = "Ended"
	// WhyUnclaimed means that no daemon has announced a hold for the stream.
	WhyUnclaimed Why = "Unclaimed"
)

// Orphan is a request to be cancelled at the engine.
type Orphan struct {
	Request dogwoodfleet.RequestID
	Tokens  int
	Why     Why
}

// Reconcile updates the ledger from the engine's list and returns the requests to cancel,
// ordered by request. An orphan is returned again for each report that still lists it.
func (ledger *Ledger) Reconcile(report Report, now time.Time) []Orphan {
	if !report.Asked.After(ledger.lastAsked) {
		// If answers arrive out of order, the older one would re-add requests that have ended.
		return nil
	}
	ledger.lastAsked = report.Asked
	ledger.instance = report.Instance
	if report.MemoryTokens > 0 {
		ledger.memory = report.MemoryTokens
	}
	listed := make(map[dogwoodfleet.RequestID]Listed, len(report.Listed))
	for _, entry := range report.Listed {
		listed[entry.Request] = entry
	}
	ledger.freeUnlisted(listed, now)
	orphans := ledger.checkHolds(listed, now)
	orphans = append(orphans, ledger.checkUnclaimed(listed, now)...)
	ledger.pruneEnded(now)
	slices.SortFunc(orphans, func(left, right Orphan) int { return cmp.Compare(left.Request, right.Request) })
	return orphans
}

// freeUnlisted removes the holds of unlisted requests that ran in an earlier engine process,
// have ended or have expired.
func (ledger *Ledger) freeUnlisted(listed map[dogwoodfleet.RequestID]Listed, now time.Time) {
	for request, hold := range ledger.holds {
		if _, found := listed[request]; found {
			continue
		}
		ranInDeadProcess := hold.seenInstance != "" && hold.seenInstance != ledger.instance
		ended := hold.phase != live && hold.since.Add(arrivalGrace(hold)).Before(ledger.lastAsked)
		expired := hold.expires.Add(ExpiryGrace).Before(ledger.lastAsked)
		if ranInDeadProcess || ended || expired {
			ledger.removeHold(request, hold, now)
		}
	}
}

// arrivalGrace returns how long the request may still be in transit to the engine. It is zero
// once an engine has listed the request.
func arrivalGrace(hold *hold) time.Duration {
	if hold.seenInstance == "" {
		return InFlightGrace
	}
	return 0
}

// checkHolds returns the listed requests whose holds have expired or ended, and raises each hold
// to the number of tokens that the engine lists.
func (ledger *Ledger) checkHolds(listed map[dogwoodfleet.RequestID]Listed, now time.Time) []Orphan {
	var orphans []Orphan
	for request, hold := range ledger.holds {
		entry, found := listed[request]
		if !found {
			continue
		}
		hold.seenInstance = ledger.instance
		if entry.Tokens > hold.tokens {
			// The prompt was longer than estimated.
			ledger.used += entry.Tokens - hold.tokens
			hold.tokens = entry.Tokens
		}
		why := WhyEnded
		switch {
		case hold.phase == live && now.After(hold.expires.Add(ExpiryGrace)):
			why = WhyLapsed
		case hold.phase == live, hold.phase == draining && now.Sub(hold.since) < DrainGrace:
			continue
		}
		if hold.phase != cancelling {
			hold.phase, hold.since = cancelling, now
		}
		orphans = append(orphans, Orphan{Request: request, Tokens: hold.tokens, Why: why})
	}
	return orphans
}

// checkUnclaimed counts the memory of listed requests without a hold and returns those to cancel.
func (ledger *Ledger) checkUnclaimed(listed map[dogwoodfleet.RequestID]Listed, now time.Time) []Orphan {
	var orphans []Orphan
	before := ledger.unclaimed
	ledger.unclaimed = map[dogwoodfleet.RequestID]unclaimed{}
	for _, seen := range before {
		ledger.used -= seen.tokens
	}
	for request, entry := range listed {
		endedAt, ended := ledger.ended[request]
		if ledger.holds[request] != nil || ended && !endedAt.Before(ledger.lastAsked) {
			continue
		}
		seen := unclaimed{tokens: entry.Tokens, reserved: entry.Reserved, since: now}
		if earlier, found := before[request]; found && earlier.reserved == entry.Reserved {
			seen.since = earlier.since
		}
		ledger.used += seen.tokens
		ledger.unclaimed[request] = seen
		grace := UnclaimedGrace
		if entry.HolderGone {
			// If an owner dies together with the entry daemon, the new owner has no record of
			// that daemon's streams. It waits as long as for an expired lease.
			grace = ExpiryGrace
		}
		if !seen.reserved && (ended || now.Sub(seen.since) >= grace) {
			orphans = append(orphans, Orphan{Request: request, Tokens: seen.tokens, Why: WhyUnclaimed})
		}
	}
	return orphans
}

func (ledger *Ledger) pruneEnded(now time.Time) {
	for request, at := range ledger.ended {
		if now.Sub(at) > endedTTL {
			delete(ledger.ended, request)
		}
	}
}
