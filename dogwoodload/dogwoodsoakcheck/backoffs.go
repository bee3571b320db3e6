package dogwoodsoakcheck

import (
	"fmt"
	"time"
)

// sentInBackoff counts the requests that a daemon sent to an endpoint while that had asked it for a back-off, from BackoffDelay after it
// did. Faults of the daemon and of the way to the endpoint excuse them.
func sentInBackoff(analysis *analysis) []Finding {
	var findings []Finding
	for i := range analysis.Arrivals {
		asked := &analysis.Arrivals[i]
		if !asked.AskedBackoff {
			continue
		}
		from, until := asked.At.Add(analysis.bounds.BackoffDelay), asked.At.Add(analysis.bounds.Backoff)
		count := 0
		for j := i + 1; j < len(analysis.Arrivals) && analysis.Arrivals[j].At.Before(until); j++ {
			if later := &analysis.Arrivals[j]; later.At.After(from) && analysis.isFromSame(asked, later) {
				count++
			}
		}
		if count > analysis.bounds.BackoffLimit && analysis.bothUnaffected(asked, asked.At, until) {
			findings = append(findings, Finding{
				Detail:    fmt.Sprintf("%d requests reached %s in the %s for which it had asked for none", count, asked.Endpoint, analysis.bounds.Backoff),
				RequestID: asked.RequestID, At: asked.At,
			})
		}
	}
	return findings
}

// sentAfterAnswer finds requests that were sent later than Drain after their daemon had passed on an answer in which the
// endpoint said that it leaves.
func sentAfterAnswer(analysis *analysis) []Finding {
	type link struct{ daemon, endpoint string }
	said := map[link]*Arrival{}
	return analysis.checkArrivals(func(arrival *Arrival, call *Call) string {
		link := link{call.Daemon, arrival.Endpoint}
		first := said[link]
		if first == nil {
			if arrival.SaidLeaving && call.Served() && len(analysis.arrivals[call.ID]) == 1 {
				said[link] = arrival
			}
			return ""
		}
		passedOn := analysis.calls[first.RequestID].Ended
		if call.Sent.Before(passedOn.Add(analysis.bounds.Drain)) || !analysis.bothUnaffected(first, first.At, arrival.At) {
			return ""
		}
		return fmt.Sprintf("%s had said that it leaves in an answer that %s passed on %s before", arrival.Endpoint, call.Daemon, call.Sent.Sub(passedOn))
	})
}

// isFromSame reports whether two arrivals at one endpoint came through the same daemon.
func (analysis *analysis) isFromSame(one, other *Arrival) bool {
	first, second := analysis.calls[one.RequestID], analysis.calls[other.RequestID]
	return one.Endpoint == other.Endpoint && first != nil && second != nil && first.Daemon == second.Daemon
}

// bothUnaffected reports whether in a period, and Stability before it, there was no fault of the daemon that sent a request,
// nor of the way to its endpoint. A fault of the store excuses neither: both learn from answers.
func (analysis *analysis) bothUnaffected(arrival *Arrival, from, until time.Time) bool {
	call := analysis.calls[arrival.RequestID]
	return analysis.noFault(from.Add(-analysis.bounds.Stability), until, func(fault *Fault) bool {
		return fault.Daemon == call.Daemon || fault.Endpoint == arrival.Endpoint
	})
}
