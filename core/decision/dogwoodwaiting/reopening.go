package dogwoodwaiting

import (
	"slices"
	"time"

	"dogwoodmux.example/core/decision/dogwoodshare"
	"dogwoodmux.example/core/dogwoodfleet"
)

// Load pattern: all endpoints of a service have asked for a back-off, and more requests wait for its end than get slots soon after
// it, since the endpoints are filled slowly then. Those at the end of the line would wait until their time is over, and be refused
// all the same.

// Reopening is how an endpoint that has asked for a back-off takes requests again: one at once, and more until all its slots are in
// use at the end of the ramp.
type Reopening struct {
	At    time.Time
	Slots int
	Ramp  time.Duration
}

// Waiter is a request that waits for a slot at most until a time.
type Waiter struct {
	Request *Request
	Until   time.Time
}

// candidate is a waiter that may get a slot in time.
type candidate struct {
	*Waiter
	// certain is true if there is a slot for it whatever overtakes it.
	certain bool
}

// TooLate reports, for each waiter of a service all of whose endpoints have asked for a back-off, whether it is known to get no slot
// in time: the slots until then are for waiters that go before it all the time.
//
// A slot serves one waiter after the other, each for shortestRun at least. If that is not known, which is 0, a slot that has opened
// may serve any number of them. Slots that other requests hold are taken for free. turn is that of the service (Minimums.Turn).
func TooLate(waiters []Waiter, reopenings []Reopening, shortestRun time.Duration, turn float64) []bool {
	reopenings = slices.SortedFunc(slices.Values(reopenings), func(a, b Reopening) int { return a.At.Compare(b.At) })
	first := reopenings[0].At
	order := make([]int, len(waiters))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return Compare(first, waiters[a].Request, waiters[b].Request) })
	tooLate := make([]bool, len(waiters))
	var candidates []candidate
	// counted is the time for which servable is counted. It is counted again only for a waiter that it does not decide.
	var counted time.Time
	servable := 0
	for _, i := range order {
		waiter := &waiters[i]
		if waiter.Until.Before(counted) || servable <= len(candidates) {
			counted, servable = waiter.Until, countServable(reopenings, waiter.Until, shortestRun, len(waiters))
		}
		isCertain := servable > len(candidates)
		if !isCertain && !keepsMinimum(candidates, waiter, servable, turn) && hasAhead(candidates, first, waiter, servable) {
			tooLate[i] = true
			continue
		}
		candidates = append(candidates, candidate{Waiter: waiter, certain: isCertain})
	}
	return tooLate
}

// keepsMinimum reports whether the minimum of the waiter's rank may give it one of the slots that more urgent requests would take.
func keepsMinimum(candidates []candidate, waiter *Waiter, servable int, turn float64) bool {
	same, mostUrgent := 0, waiter.Request.Rank
	for i := range candidates {
		mostUrgent = min(mostUrgent, candidates[i].Request.Rank)
		if candidates[i].Request.Rank == waiter.Request.Rank {
			same++
		}
	}
	lower := 0
	for i := range candidates {
		if candidates[i].Request.Rank > mostUrgent {
			lower++
		}
	}
	if same == 0 && waiter.Request.Rank > mostUrgent && float64(lower+1) <= turn+minOffer*float64(servable) {
		return true // it is due if nothing of its rank was started, and one of the slots is for the ranks that are
	}
	return same < len(candidates) && float64(same+1) <= dogwoodshare.MinRankShare*float64(servable)
}

// countServable counts the requests that can get a slot before a time, up to a maximum.
func countServable(reopenings []Reopening, until time.Time, shortestRun time.Duration, atMost int) int {
	count := 0
	for _, reopening := range reopenings {
		if !reopening.At.Before(until) {
			break
		}
		for slot := range reopening.Slots {
			opens := reopening.At.Add(reopening.Ramp * time.Duration(slot) / time.Duration(reopening.Slots))
			if count >= atMost || !opens.Before(until) {
				break
			}
			if shortestRun <= 0 {
				return atMost
			}
			count += 1 + int(until.Sub(opens)/shortestRun)
		}
	}
	return min(count, atMost)
}

// hasAhead reports whether a number of candidates take a slot before the waiter can.
func hasAhead(candidates []candidate, first time.Time, waiter *Waiter, count int) bool {
	for i := range candidates {
		if count == 0 {
			break
		}
		candidate := &candidates[i]
		staysAsLong := candidate.certain || !candidate.Until.Before(waiter.Until)
		if staysAsLong && candidate.Request.takesAnySlotOf(waiter.Request) && staysAhead(first, waiter.Until, candidate.Request, waiter.Request) {
			count--
		}
	}
	return count == 0
}

// takesAnySlotOf reports whether the request takes each slot that another one would. A longer prompt may need more memory than is
// free, and one with another aim may wait for a better placement.
func (request *Request) takesAnySlotOf(other *Request) bool {
	return request.Prompt == 0 || request.Prompt <= other.Prompt && request.Aim == other.Aim && request.Pause == other.Pause
}

// staysAhead reports whether a goes before b at all times from one to another. The order of two requests changes only when one of
// them can't meet its aim any more.
func staysAhead(from, to time.Time, a, b *Request) bool {
	if Compare(from, a, b) > 0 {
		return false
	}
	for _, latestStart := range []time.Time{a.latestStart(), b.latestStart()} {
		if !latestStart.Before(from) && latestStart.Before(to) && Compare(latestStart.Add(1), a, b) > 0 {
			return false
		}
	}
	return true
}

// runsPerGeneration is the number of runs after which the shortest of the runs before is forgotten.
const runsPerGeneration = 64

// ShortestRuns keeps how long the shortest of the latest runs of each service held its slot: of the latest 64 at least. It is not
// safe for concurrent use.
type ShortestRuns struct {
	services map[dogwoodfleet.Service]*shortestRuns
}

// shortestRuns holds the shortest run of this generation and of the one before; 0 for none.
type shortestRuns struct {
	latest, before time.Duration
	runs           int
}

// Record records a run that has ended.
func (shortest *ShortestRuns) Record(service dogwoodfleet.Service, held time.Duration) {
	if shortest.services == nil {
		shortest.services = map[dogwoodfleet.Service]*shortestRuns{}
	}
	runs := shortest.services[service]
	if runs == nil {
		runs = &shortestRuns{}
		shortest.services[service] = runs
	}
	if runs.runs == runsPerGeneration {
		runs.before, runs.latest, runs.runs = runs.latest, 0, 0
	}
	held = max(held, 1) // a run of no measurable time is known all the same
	if runs.runs == 0 || held < runs.latest {
		runs.latest = held
	}
	runs.runs++
}

// Of returns the shortest of the latest runs of a service, 0 if none is known.
func (shortest *ShortestRuns) Of(service dogwoodfleet.Service) time.Duration {
	runs := shortest.services[service]
	switch {
	case runs == nil:
		return 0
	case runs.before == 0:
		return runs.latest
	default:
		return min(runs.latest, runs.before)
	}
}
