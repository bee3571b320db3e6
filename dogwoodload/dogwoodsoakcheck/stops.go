package dogwoodsoakcheck

import (
	"fmt"
	"time"
)

// cutByStop finds requests that a daemon had read before it ended in order and that ended without a complete answer or refusal. A
// request has been read if an endpoint received it, or if it ended later than StopSlack after its last byte was sent: a later one
// may cross the end of its connection.
func cutByStop(analysis *analysis) []Finding {
	return analysis.checkCalls(func(call *Call) string {
		if call.Whole || call.Written.IsZero() {
			return ""
		}
		if len(analysis.arrivals[call.ID]) == 0 && call.Ended.Sub(call.Written) <= analysis.bounds.StopSlack {
			return ""
		}
		for i := range analysis.Stops {
			stop := &analysis.Stops[i]
			concurrent := stop.Daemon == call.Daemon && call.Ended.After(stop.From) && (stop.To.IsZero() || call.Sent.Before(stop.To))
			if concurrent && !stop.Killed && !analysis.mayBeCut(call, stop) {
				return fmt.Sprintf("was cut by the shutdown of %s %s after it was sent and %s after the signal, while %s: %s", call.Daemon,
					call.Ended.Sub(call.Sent).Round(time.Millisecond), call.Ended.Sub(stop.From).Round(time.Millisecond), analysis.stateAtEnd(call), call.Error)
			}
		}
		return ""
	})
}

// mayBeCut reports whether something other than a shutdown may have ended a request, or the shutdown may have since its endpoint was
// still at work on it late in the grace period.
func (analysis *analysis) mayBeCut(call *Call, stop *Stop) bool {
	if analysis.endedByCaller(call) || !analysis.noUnplannedFault(call) {
		return true
	}
	run := analysis.lastRun(call)
	if run == nil {
		return false
	}
	lastSixth := stop.From.Add(analysis.bounds.Grace * 5 / 6)
	if (run.Until.IsZero() || run.Until.After(lastSixth)) && !call.Sent.After(stop.From.Add(analysis.bounds.AcceptsFor)) && call.Ended.After(lastSixth) {
		return true
	}
	from := run.At
	if earliest := call.Ended.Add(-analysis.bounds.RefusalSlack); call.Status == 0 && from.Before(earliest) {
		from = earliest // no answer had begun, so the daemon could refuse it or say that it may have run
	}
	return !analysis.endpointUnaffected(run.Endpoint, from, call.Ended)
}

// lastRun returns the last run of a request, or nil.
func (analysis *analysis) lastRun(call *Call) *Arrival {
	runs := analysis.runs[call.ID]
	if len(runs) == 0 {
		return nil
	}
	return runs[len(runs)-1]
}

// stateAtEnd describes where a request was when it ended.
func (analysis *analysis) stateAtEnd(call *Call) string {
	run := analysis.lastRun(call)
	switch {
	case run == nil && len(analysis.arrivals[call.ID]) == 0:
		return "no endpoint had received it"
	case run == nil:
		return "no endpoint had admitted it"
	case run.Until.IsZero():
		return run.Endpoint + " had ended"
	case run.Until.Before(call.Ended.Add(-analysis.bounds.StopSlack)):
		return fmt.Sprintf("%s had done its work %s before", run.Endpoint, call.Ended.Sub(run.Until).Round(time.Millisecond))
	default:
		return run.Endpoint + " was at work on it"
	}
}
