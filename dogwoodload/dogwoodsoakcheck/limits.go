package dogwoodsoakcheck

import (
	"fmt"
	"slices"
	"time"
)

// retryBudget counts arrivals beyond the first of each request, over all daemons, in each window that
// ends with such an arrival.
func retryBudget(judged *judged) []Finding {
	repeats := map[string][]time.Time{}
	for i := range judged.Arrivals {
		arrival := &judged.Arrivals[i]
		if judged.arrivals[arrival.RequestID][0] != arrival {
			repeats[arrival.Service] = append(repeats[arrival.Service], arrival.At)
		}
	}
	var findings []Finding
	for service, moments := range repeats {
		for i, moment := range moments {
			window := judged.bounds.RetryWindow
			first, _ := slices.BinarySearchFunc(moments, moment.Add(-window), time.Time.Compare)
			count := i - first + 1
			allowed := judged.bounds.RetryRatio*float64(judged.requests(service, moment)) + judged.bounds.RetryAllowance
			if float64(count) > allowed {
				findings = append(findings, Finding{Detail: fmt.Sprintf("%d repeats at %s within %s, %.0f allowed", count, service, window, allowed), At: moment})
				break // the first of a burst says it
			}
		}
	}
	return findings
}

// requests counts a service's requests in the window before a moment, or in the window before that,
// or in the one between, whichever has most.
func (judged *judged) requests(service string, moment time.Time) int {
	window, most := judged.bounds.RetryWindow, 0
	for _, back := range []time.Duration{0, window / 2, window} {
		count, until := 0, moment.Add(-back)
		for i := range judged.Calls {
			call := &judged.Calls[i]
			if call.Service == service && call.Sent.After(until.Add(-window)) && !call.Sent.After(until) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func coldLimit(judged *judged) []Finding {
	recent := map[string][]time.Time{}
	allowed := judged.bounds.ColdPerSecond*judged.bounds.ColdOvershoot + judged.bounds.ColdSlack
	var findings []Finding
	for i := range judged.Arrivals {
		arrival := &judged.Arrivals[i]
		if !arrival.Cold || !judged.prompt(arrival.Endpoint, arrival.At.Add(-time.Second), arrival.At) {
			continue // what was held up on its way arrives at once
		}
		kept := slices.DeleteFunc(recent[arrival.Endpoint], func(moment time.Time) bool { return arrival.At.Sub(moment) >= time.Second })
		recent[arrival.Endpoint] = append(kept, arrival.At)
		if count := len(recent[arrival.Endpoint]); float64(count) > allowed {
			findings = append(findings, Finding{Detail: fmt.Sprintf("%d requests within a second reached %s, which was cold and bears %.1f", count, arrival.Endpoint, allowed), RequestID: arrival.RequestID, At: arrival.At})
		}
	}
	return findings
}

func memoryHeld(judged *judged) []Finding {
	var findings []Finding
	for _, held := range judged.Held {
		if held.Tokens > 0 {
			findings = append(findings, Finding{Detail: fmt.Sprintf("%s has memory for %d tokens set aside after all requests have ended", held.Endpoint, held.Tokens)})
		}
	}
	return findings
}
