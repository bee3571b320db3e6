package dogwoodsoakcheck

import (
	"fmt"
	"time"
)

// withdrawnKeyRan finds requests that ran although their key had been withdrawn. This applies during faults, too: a
// daemon without updates has to reject requests. A request that reaches its daemon only after the key was restored
// may run.
func withdrawnKeyRan(analysis *analysis) []Finding {
	return analysis.checkArrivals(func(arrival *Arrival, call *Call) string {
		for _, withdrawal := range analysis.Withdrawals {
			late := call.Sent.Sub(withdrawal.From.Add(analysis.bounds.Revoke))
			if arrival.Ran && call.Key == withdrawal.Key && late > 0 && call.Sent.Before(withdrawal.To) && !analysis.delayedUntil(withdrawal.To, arrival, call) {
				return fmt.Sprintf("sent %s after the bound with a key that was withdrawn, and ran on %s", late.Round(time.Millisecond), arrival.Endpoint)
			}
		}
		return ""
	})
}

// delayedUntil reports whether a fault may have delayed a request on its way to its daemon until after moment.
func (analysis *analysis) delayedUntil(moment time.Time, arrival *Arrival, call *Call) bool {
	return arrival.At.After(moment) && !analysis.noFault(moment, arrival.At, func(fault *Fault) bool {
		return fault.Daemon == call.Daemon && !fault.Planned
	})
}

// boundApplies reports whether the time limit after a change applies to an arrival: the daemon could learn of
// the change as soon as it was made, and nothing delayed requests to the endpoint.
func (analysis *analysis) boundApplies(daemon string, arrival *Arrival, changedAt time.Time) bool {
	stability := analysis.bounds.Stability
	return analysis.daemonUnaffected(daemon, changedAt, arrival.At, stability) &&
		analysis.endpointUnaffected(arrival.Endpoint, arrival.At.Add(-stability), arrival.At)
}

func sentAfterLeaving(analysis *analysis) []Finding {
	return analysis.checkArrivals(func(arrival *Arrival, call *Call) string {
		for _, leaving := range analysis.Leavings {
			bound := leaving.At.Add(analysis.bounds.Drain)
			if leaving.Endpoint != arrival.Endpoint || !arrival.At.After(bound) {
				continue
			}
			if analysis.boundApplies(call.Daemon, arrival, leaving.At) {
				return fmt.Sprintf("reached %s %s after the bound", arrival.Endpoint, arrival.At.Sub(bound).Round(time.Millisecond))
			}
		}
		return ""
	})
}

func sentAfterTakeOut(analysis *analysis) []Finding {
	return analysis.checkArrivals(func(arrival *Arrival, call *Call) string {
		for _, takeOut := range analysis.TakeOuts {
			bound := takeOut.From.Add(analysis.bounds.TakeOut)
			if takeOut.DataCentre != arrival.DataCentre || !arrival.At.After(bound) || !arrival.At.Before(takeOut.To) {
				continue
			}
			if analysis.boundApplies(call.Daemon, arrival, takeOut.From) {
				return fmt.Sprintf("reached %s in %s, which was taken out %s before", arrival.Endpoint, takeOut.DataCentre, arrival.At.Sub(takeOut.From).Round(time.Millisecond))
			}
		}
		return ""
	})
}
