package dogwoodsoakcheck

import (
	"fmt"
	"slices"
	"time"
)

// retryBudget counts the repeated arrivals at each service, over all daemons, in every window that ends with one of
// them. All arrivals of a request after its first are repeated ones.
func retryBudget(analysis *analysis) []Finding {
	repeats := map[string][]time.Time{}
	for i := range analysis.Arrivals {
		arrival := &analysis.Arrivals[i]
		if analysis.arrivals[arrival.RequestID][0] != arrival {
			repeats[arrival.Service] = append(repeats[arrival.Service], arrival.At)
		}
	}
	var findings []Finding
	for service, moments := range repeats {
		for i, moment := range moments {
			window := analysis.bounds.RetryWindow
			first, _ := slices.BinarySearchFunc(moments, moment.Add(-window), time.Time.Compare)
			count := i - first + 1
			allowed := analysis.bounds.RetryRatio*float64(analysis.maxRequests(service, moment)) + analysis.bounds.RetryAllowance
			if float64(count) > allowed {
				findings = append(findings, Finding{Detail: fmt.Sprintf("%d repeats at %s within %s, %.0f allowed", count, service, window, allowed), At: moment})
				break // one finding for each service is enough
			}
		}
	}
	return findings
}

// maxRequests returns the largest number of a service's requests in one of three windows, which end at moment, half
// a window before it and a whole window before it.
func (analysis *analysis) maxRequests(service string, moment time.Time) int {
	window, maxCount := analysis.bounds.RetryWindow, 0
	for _, offset := range []time.Duration{0, window / 2, window} {
		count, until := 0, moment.Add(-offset)
		for i := range analysis.Calls {
			call := &analysis.Calls[i]
			if call.Service == service && call.Sent.After(until.Add(-window)) && !call.Sent.After(until) {
				count++
			}
		}
		maxCount = max(maxCount, count)
	}
	return maxCount
}

func coldLimit(analysis *analysis) []Finding {
	recent := map[string][]time.Time{}
	allowed := analysis.bounds.ColdPerSecond*analysis.bounds.ColdOvershoot + analysis.bounds.ColdSlack
	var findings []Finding
	for i := range analysis.Arrivals {
		arrival := &analysis.Arrivals[i]
		if !arrival.Cold || !analysis.endpointUnaffected(arrival.Endpoint, arrival.At.Add(-time.Second), arrival.At) {
			continue // requests that were delayed on their way arrive together
		}
		recentArrivals := slices.DeleteFunc(recent[arrival.Endpoint], func(moment time.Time) bool { return arrival.At.Sub(moment) >= time.Second })
		recent[arrival.Endpoint] = append(recentArrivals, arrival.At)
		if count := len(recent[arrival.Endpoint]); float64(count) > allowed {
			findings = append(findings, Finding{Detail: fmt.Sprintf("%d requests within a second reached %s, which was cold and bears %.1f", count, arrival.Endpoint, allowed), RequestID: arrival.RequestID, At: arrival.At})
		}
	}
	return findings
}

func memoryHeld(analysis *analysis) []Finding {
	var findings []Finding
	for _, held := range analysis.Held {
		if held.Tokens > 0 {
			findings = append(findings, Finding{Detail: fmt.Sprintf("%s has memory for %d tokens set aside after all requests have ended", held.Endpoint, held.Tokens)})
		}
	}
	return findings
}

// namedLimit counts the requests at each endpoint while it names a limit, from Stability after it first did. Requests of
// daemons that had a fault shortly before are not counted, nor is anything while the way to the endpoint is disturbed:
// requests that were delayed arrive together.
func namedLimit(analysis *analysis) []Finding {
	var findings []Finding
	for i := range analysis.Limits {
		if finding := analysis.checkLimit(&analysis.Limits[i]); finding != nil {
			findings = append(findings, *finding)
		}
	}
	return findings
}

// checkLimit returns the first finding of one period in which an endpoint named a limit, or nil.
func (analysis *analysis) checkLimit(limit *Limit) *Finding {
	from, window := limit.From.Add(analysis.bounds.Stability), analysis.bounds.LimitWindow
	allowed := analysis.bounds.LimitOvershoot*limit.PerSecond*window.Seconds() + analysis.bounds.LimitSlack
	var recent []time.Time
	for i := range analysis.Arrivals {
		arrival := &analysis.Arrivals[i]
		if arrival.Endpoint != limit.Endpoint || arrival.At.Before(from) || arrival.At.After(limit.To) || !analysis.isBoundByLimit(arrival) {
			continue
		}
		recent = slices.DeleteFunc(recent, func(moment time.Time) bool { return arrival.At.Sub(moment) >= window })
		recent = append(recent, arrival.At)
		if float64(len(recent)) > allowed {
			return &Finding{
				Detail: fmt.Sprintf("%d requests within %s reached %s, which names a limit of %v a second; %.1f allowed",
					len(recent), window, limit.Endpoint, limit.PerSecond, allowed),
				RequestID: arrival.RequestID, At: arrival.At,
			}
		}
	}
	return nil
}

// isBoundByLimit reports whether the daemon that sent a request is bound by the limit that its endpoint names. A fault of
// the store excuses none: limits come with answers.
func (analysis *analysis) isBoundByLimit(arrival *Arrival) bool {
	call := analysis.calls[arrival.RequestID]
	if call == nil {
		return false
	}
	ownFault := func(fault *Fault) bool { return fault.Daemon == call.Daemon }
	return analysis.noFault(call.Sent.Add(-analysis.bounds.Stability), arrival.At, ownFault) &&
		analysis.endpointUnaffected(arrival.Endpoint, arrival.At.Add(-analysis.bounds.LimitWindow), arrival.At)
}
