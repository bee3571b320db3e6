// Package dogwoodwaiting orders the requests that wait for a slot while all endpoints are
// full, and bounds how long they wait.
//
// Load pattern: for some seconds a burst brings slightly more requests than the endpoints
// can run. In order of arrival every request would wait for the full length of the queue,
// and none would meet its aim until the burst ends. Therefore requests that can still meet
// their aim go first, in the order in which they must start; those already late use the
// remaining slots, oldest first. Nearly as many are served, and most of them in time.
//
// Long prompts go before short ones. They are one in twenty and take one slot each like any
// other request, but in a burst of short prompts, whose latest start always comes sooner,
// they would never get a slot.
//
// Among requests of one length class, those of customers that have used more than their share go after the others, the
// smallest excess first (dogwoodshare). All of them would otherwise wait behind the customer that sends the most.
//
// All this holds among requests of one rank. The operators' ranks go first: a request waits behind all
// of a more urgent rank, except that each rank keeps a minimum of the engine time (Minimums).
package dogwoodwaiting

import (
	"cmp"
	"time"

	"dogwoodmux.example/core/decision/dogwoodenginetime"
)

const (
	// serviceShare is the fraction of its aim that a request needs after it has got a slot.
	// With less time left it would be late in any case.
	serviceShare = 0.5
	// deadlineShare is the fraction of the time to its deadline that a request may wait. A
	// rejected caller needs the rest for its next attempt.
	deadlineShare = 0.3
	// toleratedAims and toleratedPauses are the multiples of its aim and of its longest pause
	// that the caller of a stream waits for the first event before it gives up. The larger
	// product counts, and at least minTolerance. A caller that gives up costs a second
	// attempt and the work on the first.
	toleratedAims   = 4
	toleratedPauses = 8
	minTolerance    = 2 * time.Second
	// toleranceShare is the fraction of the caller's tolerance for which a request waits for
	// a slot, so that it is rejected or its prefill begins before the caller gives up.
	toleranceShare = 0.55
	// yieldShare is the fraction of its time limit for which a prompt waits for engines that more urgent ones need. Longer
	// waits leave too little time for another attempt or for a long prefill.
	yieldShare = 0.5
	// yieldToleranceShare is the fraction of the caller's tolerance for such a wait. The rest is for the prefill.
	yieldToleranceShare = 0.85
)

// Request is a waiting request.
type Request struct {
	Arrived    time.Time
	Deadline   time.Time
	Aim, Pause time.Duration
	// Prompt is the length of the prompt in tokens, or 0 for plain calls.
	Prompt int
	// Rank is the operators' rank of the request; 0 goes first.
	Rank int
	// Excess is the recent engine time of the request's customer as a multiple of its share; at most 1 within the share.
	Excess float64
	// Begun is true if the caller has received part of the answer already.
	Begun bool
}

// latestStart returns the latest time at which the request can get a slot and meet its aim.
func (request *Request) latestStart() time.Time {
	return request.Arrived.Add(time.Duration((1 - serviceShare) * float64(request.Aim)))
}

// Compare compares two waiting requests by the order in which to serve them. The result is
// negative if the first goes before the second.
func Compare(now time.Time, a, b *Request) int {
	if a.Begun != b.Begun { // a partial answer is useless to its caller, and its rest is written soon
		if a.Begun {
			return -1
		}
		return 1
	}
	if a.Rank != b.Rank {
		return cmp.Compare(a.Rank, b.Rank)
	}
	if aLong, bLong := a.Prompt >= dogwoodenginetime.LongPrompt, b.Prompt >= dogwoodenginetime.LongPrompt; aLong != bLong {
		if aLong {
			return -1
		}
		return 1
	}
	if aExcess, bExcess := max(a.Excess, 1), max(b.Excess, 1); aExcess != bExcess && !a.Begun {
		return cmp.Compare(aExcess, bExcess)
	}
	aLate, bLate := now.After(a.latestStart()), now.After(b.latestStart())
	switch {
	case aLate != bLate && bLate:
		return -1
	case aLate != bLate:
		return 1
	case aLate:
		return a.Arrived.Compare(b.Arrived)
	default:
		return cmp.Or(a.latestStart().Compare(b.latestStart()), a.Arrived.Compare(b.Arrived))
	}
}

// CallerTimeLeft returns how much longer the caller waits for the first event before it gives up.
func CallerTimeLeft(now time.Time, request *Request) time.Duration {
	untilDeadline := request.Deadline.Sub(now)
	if request.Pause <= 0 || request.Begun {
		return untilDeadline
	}
	return min(untilDeadline, request.tolerance()-now.Sub(request.Arrived))
}

// tolerance returns how long after the request's arrival the caller of a stream waits for the
// first event.
func (request *Request) tolerance() time.Duration {
	return max(toleratedAims*request.Aim, toleratedPauses*request.Pause, minTolerance)
}

// MaxYield returns how much longer a request may wait for endpoints that more urgent ones need. With a long time limit and a short
// aim, its caller gives up before.
func MaxYield(now time.Time, request *Request) time.Duration {
	maxYield := time.Duration(yieldShare * float64(request.Deadline.Sub(request.Arrived)))
	if request.Pause > 0 {
		maxYield = min(maxYield, time.Duration(yieldToleranceShare*float64(request.tolerance())))
	}
	return maxYield - now.Sub(request.Arrived)
}

// MaxWait returns how much longer the request may wait for a slot.
func MaxWait(now time.Time, request *Request) time.Duration {
	maxWait := time.Duration(deadlineShare * float64(request.Deadline.Sub(now)))
	switch {
	case request.Pause <= 0:
		return maxWait
	case request.Begun:
		return max(toleratedPauses*request.Pause, minTolerance)
	default:
		return min(maxWait, time.Duration(toleranceShare*float64(request.tolerance()))-now.Sub(request.Arrived))
	}
}
