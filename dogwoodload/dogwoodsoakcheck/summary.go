package dogwoodsoakcheck

import (
	"time"
)

// Summary is what a soak did, in counts.
type Summary struct {
	Sent, Served, RefusedNotRun, Failed, Broken int
	// Runs are the requests that endpoints began to work on, repeats included.
	Runs int
	// LongestEnd is how much after its time limit the latest request ended; negative if none did.
	LongestEnd time.Duration
}

// Summarise counts.
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
