package dogwoodsoakcheck

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// served counts the prompts of a customer or a rank in a window.
type served struct{ sent, served int }

// starvationStep is the time between the beginnings of two windows.
const starvationStep = time.Second

// starved finds customers and ranks of which too little is served in a window in which nothing is wrong, while enough is served of
// another one; if nothing is served, notRecovered says so. Prompts that crash engines and slow callers' are not counted.
func starved(analysis *analysis) []Finding {
	if len(analysis.Calls) == 0 {
		return nil
	}
	var findings []Finding
	reported := map[string]bool{}
	window := analysis.bounds.StarvationWindow
	last := analysis.Calls[len(analysis.Calls)-1].Sent
	for from := analysis.Calls[0].Sent; !from.Add(window).After(last); from = from.Add(starvationStep) {
		if analysis.somethingWrong(from, from.Add(window)) {
			continue
		}
		counts := analysis.countServed(from, from.Add(window))
		if !slices.ContainsFunc(slices.Collect(maps.Values(counts)), analysis.servedEnough) {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			count := counts[name]
			if count.sent >= analysis.bounds.StarvationCalls && !analysis.servedEnough(count) && !reported[name] {
				reported[name] = true // one finding for each is enough
				findings = append(findings, Finding{Detail: fmt.Sprintf("%d of %d prompts of %s were served that were sent within %s, and nothing was wrong", count.served, count.sent, name, window), At: from})
			}
		}
	}
	return findings
}

func (analysis *analysis) servedEnough(count served) bool {
	return count.served >= min(analysis.bounds.StarvationServed, int(math.Ceil(analysis.bounds.StarvationShare*float64(count.sent))))
}

// somethingWrong reports whether anything was wrong between from, less Stability, and until, or while the prompts sent then were
// under way.
func (analysis *analysis) somethingWrong(from, until time.Time) bool {
	from, until = from.Add(-analysis.bounds.Stability), until.Add(analysis.bounds.Stability)
	overlaps := func(span Span) bool { return span.From.Before(until) && span.To.After(from) }
	return slices.ContainsFunc(analysis.Wrong, overlaps) || !analysis.noFault(from, until, func(*Fault) bool { return true })
}

// countServed counts the prompts sent between two times by customer, and by rank if the ranks are the same from one to the other.
func (analysis *analysis) countServed(from, until time.Time) map[string]served {
	ranks := map[string]int{}
	for _, candidate := range analysis.Ranks {
		if !candidate.From.After(from) && !candidate.To.Before(until) {
			ranks = candidate.OfKey
		}
	}
	counts := map[string]served{}
	add := func(name string, call *Call) {
		count := counts[name]
		count.sent++
		if call.Served() {
			count.served++
		}
		counts[name] = count
	}
	for i := range analysis.Calls {
		call := &analysis.Calls[i]
		if call.Kind != Prompt || call.Slow || call.Crashing != (Crashing{}) || call.Sent.Before(from) || !call.Sent.Before(until) {
			continue
		}
		add("the customer of "+call.Key, call)
		if rank, ok := ranks[call.Key]; ok {
			add(fmt.Sprintf("rank %d", rank), call)
		}
	}
	return counts
}
