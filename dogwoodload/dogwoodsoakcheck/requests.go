package dogwoodsoakcheck

import (
	"fmt"
	"slices"
	"time"
)

func twiceRun(analysis *analysis) []Finding {
	return analysis.checkCalls(func(call *Call) string {
		runs := analysis.runs[call.ID]
		if call.Kind != Once || len(runs) < 2 {
			return ""
		}
		return fmt.Sprintf("ran %d times, first on %s and then on %s", len(runs), runs[0].Endpoint, runs[1].Endpoint)
	})
}

func falseNotRun(analysis *analysis) []Finding {
	return analysis.checkCalls(func(call *Call) string {
		runs := analysis.runs[call.ID]
		if call.Kind != Once || !call.NotRun || len(runs) == 0 {
			return ""
		}
		return fmt.Sprintf("status %d promises that it has not run, but it ran on %s", call.Status, runs[0].Endpoint)
	})
}

func wrongAnswer(analysis *analysis) []Finding {
	return analysis.checkCalls(func(call *Call) string {
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

func unaskedRun(analysis *analysis) []Finding {
	var findings []Finding
	for i := range analysis.Arrivals {
		arrival := &analysis.Arrivals[i]
		if arrival.Ran && analysis.calls[arrival.RequestID] == nil {
			findings = append(findings, Finding{Detail: "ran on " + arrival.Endpoint + ", but no caller sent it", RequestID: arrival.RequestID, At: arrival.At})
		}
	}
	return findings
}

func keyPassedOn(analysis *analysis) []Finding {
	return analysis.checkArrivals(func(arrival *Arrival, _ *Call) string {
		if !arrival.KeySeen {
			return ""
		}
		return arrival.Endpoint + " was shown the caller's key"
	})
}

func answeredLate(analysis *analysis) []Finding {
	return analysis.checkCalls(func(call *Call) string {
		late, allowed := call.Ended.Sub(call.Sent)-call.Wait, analysis.bounds.AnswerSlack
		if call.Slow {
			allowed += call.Paused + analysis.bounds.DeliverySlack
		}
		if late <= allowed || !analysis.daemonUnaffected(call.Daemon, call.Sent, call.Ended, analysis.bounds.Stability) {
			return ""
		}
		return fmt.Sprintf("had neither an answer nor an end %s after its time limit of %s", late.Round(time.Millisecond), call.Wait)
	})
}

// cutByChange finds requests that ended without an answer during a change, although no fault explains it.
func cutByChange(analysis *analysis) []Finding {
	return analysis.checkCalls(func(call *Call) string {
		change := analysis.concurrentChange(call)
		if change == nil || !analysis.cutWithoutFault(call) {
			return ""
		}
		return fmt.Sprintf("was cut by %s after %s, beside a change for %s that was sent %s before: %s", call.Daemon,
			call.Ended.Sub(call.Sent).Round(time.Millisecond), change.Daemon, call.Ended.Sub(change.From).Round(time.Millisecond), call.Error)
	})
}

// cutWithoutCause finds requests that ended without an answer although neither a fault nor a change explains it.
func cutWithoutCause(analysis *analysis) []Finding {
	return analysis.checkCalls(func(call *Call) string {
		if analysis.concurrentChange(call) != nil || !analysis.cutWithoutFault(call) {
			return ""
		}
		return fmt.Sprintf("was cut by %s after %s: %s", call.Daemon, call.Ended.Sub(call.Sent).Round(time.Millisecond), call.Error)
	})
}

// concurrentChange returns the latest change that overlaps a request, or nil.
func (analysis *analysis) concurrentChange(call *Call) *Change {
	var latest *Change
	for i := range analysis.Changes {
		change := &analysis.Changes[i]
		bound := analysis.bounds.ChangeWindow
		if change.Daemon == AllDaemons {
			bound += analysis.bounds.TextSlack
		}
		affected := change.Daemon == call.Daemon || change.Daemon == AllDaemons
		concurrent := call.Sent.Before(change.To.Add(bound)) && call.Ended.After(change.From)
		if affected && concurrent && (latest == nil || change.From.After(latest.From)) {
			latest = change
		}
	}
	return latest
}

// cutWithoutFault reports whether a request ended without an answer although no fault affected its daemon or an
// endpoint that it reached.
func (analysis *analysis) cutWithoutFault(call *Call) bool {
	if call.Slow && analysis.answerWritten(call) {
		return false // slowAnswer reports it
	}
	return analysis.cutWhileUnaffected(call)
}

// cutWhileUnaffected reports whether a request ended without an answer although no fault affected it.
func (analysis *analysis) cutWhileUnaffected(call *Call) bool {
	return !call.Whole && !analysis.hasOtherCause(call) && analysis.daemonUnaffected(call.Daemon, call.Sent, call.Ended, analysis.bounds.Stability)
}

// endedByCaller reports whether a request ended at its time limit, or asked for an answer that may be cut since its caller read slowly.
func (analysis *analysis) endedByCaller(call *Call) bool {
	return call.Ended.Sub(call.Sent) >= call.Wait || call.Slow && call.LargeBytes > analysis.bounds.AnswerBuffer
}

// noUnplannedFault reports whether no fault but a shutdown affected a request's daemon.
func (analysis *analysis) noUnplannedFault(call *Call) bool {
	return analysis.noFault(call.Sent.Add(-analysis.bounds.Stability), call.Ended, func(fault *Fault) bool {
		return !fault.Planned && (fault.Daemon == call.Daemon || fault.Daemon == AllDaemons)
	})
}

// hasOtherCause reports whether something other than a graceful shutdown may have ended a request.
func (analysis *analysis) hasOtherCause(call *Call) bool {
	if analysis.endedByCaller(call) || !analysis.noUnplannedFault(call) {
		return true
	}
	return slices.ContainsFunc(analysis.arrivals[call.ID], func(arrival *Arrival) bool {
		return !analysis.endpointUnaffected(arrival.Endpoint, call.Sent, call.Ended)
	})
}
