package dogwoodsoakcheck

import (
	"fmt"
	"slices"
	"time"
)

// Finding is a promise that was broken.
type Finding struct {
	Check  string
	Detail string
	// RequestID is empty for what concerns no single request.
	RequestID string
	At        time.Time
}

// check looks for one broken promise.
type check struct {
	name string
	look func(judged *judged) []Finding
}

// checks are all checks in the order of their report.
var checks = []check{
	{"TwiceRun", twiceRun},
	{"FalseNotRun", falseNotRun},
	{"WrongAnswer", wrongAnswer},
	{"UnaskedRun", unaskedRun},
	{"KeyPassedOn", keyPassedOn},
	{"WithdrawnKeyRan", withdrawnKeyRan},
	{"SentAfterLeaving", sentAfterLeaving},
	{"SentAfterTakeOut", sentAfterTakeOut},
	{"RetryBudget", retryBudget},
	{"ColdLimit", coldLimit},
	{"MemoryHeld", memoryHeld},
	{"AnsweredLate", answeredLate},
	{"CutByStop", cutByStop},
	{"StopTooLong", stopTooLong},
	{"NotRecovered", notRecovered},
	{"ProcessDied", processDied},
}

// Names lists the checks.
func Names() []string {
	names := make([]string, len(checks))
	for i, check := range checks {
		names[i] = check.name
	}
	return names
}

// judged is a history with what the checks look up in it.
type judged struct {
	*History
	bounds Bounds
	// calls are by id.
	calls map[string]*Call
	// runs and arrivals are by request, in order of time.
	runs, arrivals map[string][]*Arrival
}

// Check returns all broken promises of a history.
func Check(history *History, bounds Bounds) []Finding {
	judged := &judged{
		History: history, bounds: bounds,
		calls: map[string]*Call{}, runs: map[string][]*Arrival{}, arrivals: map[string][]*Arrival{},
	}
	slices.SortFunc(history.Arrivals, func(one, other Arrival) int { return one.At.Compare(other.At) })
	slices.SortFunc(history.Calls, func(one, other Call) int { return one.Sent.Compare(other.Sent) })
	for i := range history.Calls {
		judged.calls[history.Calls[i].ID] = &history.Calls[i]
	}
	for i := range history.Arrivals {
		arrival := &history.Arrivals[i]
		judged.arrivals[arrival.RequestID] = append(judged.arrivals[arrival.RequestID], arrival)
		if arrival.Ran {
			judged.runs[arrival.RequestID] = append(judged.runs[arrival.RequestID], arrival)
		}
	}
	var findings []Finding
	for _, check := range checks {
		found := check.look(judged)
		for i := range found {
			found[i].Check = check.name
		}
		findings = append(findings, found...)
	}
	return findings
}

// byCall runs a look at each call.
func (judged *judged) byCall(look func(call *Call) string) []Finding {
	var findings []Finding
	for i := range judged.Calls {
		call := &judged.Calls[i]
		if detail := look(call); detail != "" {
			findings = append(findings, Finding{Detail: detail, RequestID: call.ID, At: call.Sent})
		}
	}
	return findings
}

// byArrival runs a look at each arrival of a known call.
func (judged *judged) byArrival(look func(arrival *Arrival, call *Call) string) []Finding {
	var findings []Finding
	for i := range judged.Arrivals {
		arrival := &judged.Arrivals[i]
		call := judged.calls[arrival.RequestID]
		if call == nil {
			continue // unaskedRun reports it
		}
		if detail := look(arrival, call); detail != "" {
			findings = append(findings, Finding{Detail: detail, RequestID: arrival.RequestID, At: arrival.At})
		}
	}
	return findings
}

func twiceRun(judged *judged) []Finding {
	return judged.byCall(func(call *Call) string {
		runs := judged.runs[call.ID]
		if call.Kind != Once || len(runs) < 2 {
			return ""
		}
		return fmt.Sprintf("ran %d times, first on %s and then on %s", len(runs), runs[0].Endpoint, runs[1].Endpoint)
	})
}

func falseNotRun(judged *judged) []Finding {
	return judged.byCall(func(call *Call) string {
		runs := judged.runs[call.ID]
		if call.Kind != Once || !call.NotRun || len(runs) == 0 {
			return ""
		}
		return fmt.Sprintf("status %d promises that it has not run, but it ran on %s", call.Status, runs[0].Endpoint)
	})
}

func wrongAnswer(judged *judged) []Finding {
	return judged.byCall(func(call *Call) string {
		switch {
		case !call.Whole || call.Status != 200:
			return ""
		case !call.Sealed:
			return "a success that no endpoint gave"
		default:
			return call.Wrong
		}
	})
}

func unaskedRun(judged *judged) []Finding {
	var findings []Finding
	for i := range judged.Arrivals {
		arrival := &judged.Arrivals[i]
		if arrival.Ran && judged.calls[arrival.RequestID] == nil {
			findings = append(findings, Finding{Detail: "ran on " + arrival.Endpoint + ", but no caller sent it", RequestID: arrival.RequestID, At: arrival.At})
		}
	}
	return findings
}

func keyPassedOn(judged *judged) []Finding {
	return judged.byArrival(func(arrival *Arrival, _ *Call) string {
		if !arrival.KeySeen {
			return ""
		}
		return arrival.Endpoint + " was shown the caller's key"
	})
}

// withdrawnKeyRan excuses no fault: a daemon that hears nothing has to refuse.
func withdrawnKeyRan(judged *judged) []Finding {
	return judged.byArrival(func(arrival *Arrival, call *Call) string {
		for _, withdrawal := range judged.Withdrawals {
			late := call.Sent.Sub(withdrawal.From.Add(judged.bounds.Revoke))
			if arrival.Ran && call.Key == withdrawal.Key && late > 0 && call.Sent.Before(withdrawal.To) {
				return fmt.Sprintf("sent %s after the bound with a key that was withdrawn, and ran on %s", late.Round(time.Millisecond), arrival.Endpoint)
			}
		}
		return ""
	})
}

// inTouch is true if the daemon could hear of a change since it was made, and if what it sent could
// reach the endpoint at once.
func (judged *judged) inTouch(daemon string, arrival *Arrival, changed time.Time) bool {
	stability := judged.bounds.Stability
	return judged.calm(daemon, changed, arrival.At, stability) &&
		judged.prompt(arrival.Endpoint, arrival.At.Add(-stability), arrival.At)
}

func sentAfterLeaving(judged *judged) []Finding {
	return judged.byArrival(func(arrival *Arrival, call *Call) string {
		for _, leaving := range judged.Leavings {
			bound := leaving.At.Add(judged.bounds.Drain)
			if leaving.Endpoint != arrival.Endpoint || !arrival.At.After(bound) {
				continue
			}
			if judged.inTouch(call.Daemon, arrival, leaving.At) {
				return fmt.Sprintf("reached %s %s after the bound", arrival.Endpoint, arrival.At.Sub(bound).Round(time.Millisecond))
			}
		}
		return ""
	})
}

func sentAfterTakeOut(judged *judged) []Finding {
	return judged.byArrival(func(arrival *Arrival, call *Call) string {
		for _, takeOut := range judged.TakeOuts {
			bound := takeOut.From.Add(judged.bounds.TakeOut)
			if takeOut.DataCentre != arrival.DataCentre || !arrival.At.After(bound) || !arrival.At.Before(takeOut.To) {
				continue
			}
			if judged.inTouch(call.Daemon, arrival, takeOut.From) {
				return fmt.Sprintf("reached %s in %s, which was taken out %s before", arrival.Endpoint, takeOut.DataCentre, arrival.At.Sub(takeOut.From).Round(time.Millisecond))
			}
		}
		return ""
	})
}

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

func answeredLate(judged *judged) []Finding {
	return judged.byCall(func(call *Call) string {
		over := call.Ended.Sub(call.Sent) - call.Wait - judged.bounds.AnswerSlack
		if over <= 0 || !judged.calm(call.Daemon, call.Sent, call.Ended, judged.bounds.Stability) {
			return ""
		}
		return fmt.Sprintf("had neither an answer nor an end %s after its time limit of %s", (over + judged.bounds.AnswerSlack).Round(time.Millisecond), call.Wait)
	})
}

// cutByStop looks for requests that a daemon had taken before or just after its signal to stop, and that
// ended without an answer although nothing else was broken on their way.
func cutByStop(judged *judged) []Finding {
	return judged.byCall(func(call *Call) string {
		if call.Whole {
			return ""
		}
		for _, stop := range judged.Stops {
			taken := stop.Daemon == call.Daemon && call.Sent.Before(stop.From.Add(judged.bounds.TakesFor)) && call.Ended.After(stop.From)
			if taken && !stop.Killed && !judged.brokenOtherwise(call) {
				return fmt.Sprintf("was cut by the shutdown of %s, %s after the signal: %s", call.Daemon, call.Ended.Sub(stop.From).Round(time.Millisecond), call.Error)
			}
		}
		return ""
	})
}

// brokenOtherwise is true if something else than a shutdown may have ended a request.
func (judged *judged) brokenOtherwise(call *Call) bool {
	if call.Ended.Sub(call.Sent) >= call.Wait {
		return true
	}
	if !judged.free(call.Sent.Add(-judged.bounds.Stability), call.Ended, func(fault *Fault) bool {
		return !fault.Planned && (fault.Daemon == call.Daemon || fault.Daemon == Everybody)
	}) {
		return true
	}
	return slices.ContainsFunc(judged.arrivals[call.ID], func(arrival *Arrival) bool {
		return !judged.prompt(arrival.Endpoint, call.Sent, call.Ended)
	})
}

func stopTooLong(judged *judged) []Finding {
	var findings []Finding
	for _, stop := range judged.Stops {
		if stop.Killed {
			findings = append(findings, Finding{Detail: stop.Daemon + " had not ended by the end of its grace", At: stop.From})
		}
	}
	return findings
}

func notRecovered(judged *judged) []Finding {
	from := judged.Calm.Add(judged.bounds.Recovery)
	sent, served := 0, 0
	for i := range judged.Calls {
		call := &judged.Calls[i]
		if !call.Sent.After(from) {
			continue
		}
		sent++
		if call.Served() {
			served++
		}
	}
	if sent > 0 && float64(served) >= judged.bounds.ServedShare*float64(sent) {
		return nil
	}
	return []Finding{{Detail: fmt.Sprintf("%d of %d requests were served that were sent %s after the last fault or later", served, sent, judged.bounds.Recovery), At: from}}
}

func processDied(judged *judged) []Finding {
	var findings []Finding
	for _, death := range judged.Deaths {
		findings = append(findings, Finding{Detail: death.Process + " ended by itself: " + death.Error})
	}
	return findings
}

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
