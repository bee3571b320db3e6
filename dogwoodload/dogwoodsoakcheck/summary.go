package dogwoodsoakcheck

import (
	"time"
)

// Summary counts the requests of a soak by outcome.
type Summary struct {
	Sent, Served, RefusedNotRun, Failed, Broken int
	// Runs counts the runs at endpoints, including repeated ones of one request.
	Runs int
	// LongestEnd is the largest time by which a request ended after its time limit; it is negative if all ended
	// before theirs.
	LongestEnd time.Duration
}

// Summarise returns the counts of a history.
func Summarise(history *History) Summary {
	summary := Summary{LongestEnd: -time.Hour}
	for i := range history.Calls {
		call := &history.Calls[i]
		summary.Sent++
		summary.LongestEnd = max(summary.LongestEnd, call.Ended.Sub(call.Sent)-call.Wait)
		switch {
		case call.Served():
			summary.Served++
		case call.NotRun:
			summary.RefusedNotRun++
		case call.Whole:
			summary.Failed++
		default:
			summary.Broken++
		}
	}
	for i := range history.Arrivals {
		if history.Arrivals[i].Ran {
			summary.Runs++
		}
	}
	return summary
}
