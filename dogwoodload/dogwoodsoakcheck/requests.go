package dogwoodsoakcheck

import (
	"fmt"
	"slices"
	"time"
)

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

// cutByChange looks for requests that ended without an answer beside a change.
func cutByChange(judged *judged) []Finding {
	return judged.byCall(func(call *Call) string {
		change := judged.changeBeside(call)
		if change == nil || !judged.cutUnbroken(call) {
			return ""
		}
		return fmt.Sprintf("was cut by %s after %s, beside a change for %s that was sent %s before: %s", call.Daemon,
			call.Ended.Sub(call.Sent).Round(time.Millisecond), change.Daemon, call.Ended.Sub(change.From).Round(time.Millisecond), call.Error)
	})
}

// cutWithoutCause looks for those that nothing explains, not even a change.
func cutWithoutCause(judged *judged) []Finding {
	return judged.byCall(func(call *Call) string {
		if judged.changeBeside(call) != nil || !judged.cutUnbroken(call) {
			return ""
		}
		return fmt.Sprintf("was cut by %s after %s: %s", call.Daemon, call.Ended.Sub(call.Sent).Round(time.Millisecond), call.Error)
	})
}

// changeBeside is the latest change while which a request was under way, nil if there is none.
func (judged *judged) changeBeside(call *Call) *Change {
	var latest *Change
	for i := range judged.Changes {
		change := &judged.Changes[i]
		bound := judged.bounds.Configuration
		if change.Daemon == Everybody {
			bound += judged.bounds.TextSlack
		}
		concerned := change.Daemon == call.Daemon || change.Daemon == Everybody
		beside := call.Sent.Before(change.To.Add(bound)) && call.Ended.After(change.From)
		if concerned && beside && (latest == nil || change.From.After(latest.From)) {
			latest = change
		}
	}
	return latest
}

// cutUnbroken is true for a request that ended without an answer although its daemon had all it needs
// and nothing was broken on its way.
func (judged *judged) cutUnbroken(call *Call) bool {
	return !call.Whole && !judged.brokenOtherwise(call) && judged.calm(call.Daemon, call.Sent, call.Ended, judged.bounds.Stability)
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
