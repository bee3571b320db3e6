package dogwoodsoakcheck

import (
	"fmt"
	"slices"
	"time"
)

// crashRetries finds requests that go on reaching endpoints although they have crashed several. Daemons that had a fault
// shortly before are not counted: they may not have learned of it.
func crashRetries(analysis *analysis) []Finding {
	crashes := map[string][]time.Time{}
	for _, crash := range analysis.Crashes {
		if call := analysis.calls[crash.RequestID]; call != nil {
			crashes[call.Crashing] = append(crashes[call.Crashing], crash.At)
		}
	}
	late := map[string][]*Arrival{}
	for i := range analysis.Arrivals {
		arrival := &analysis.Arrivals[i]
		call := analysis.calls[arrival.RequestID]
		if call == nil || call.Crashing == "" || len(crashes[call.Crashing]) < analysis.bounds.CrashesToLearn {
			continue
		}
		slices.SortFunc(crashes[call.Crashing], time.Time.Compare)
		learned := crashes[call.Crashing][analysis.bounds.CrashesToLearn-1].Add(analysis.bounds.Stability)
		if arrival.At.After(learned) && analysis.daemonUnaffected(call.Daemon, call.Sent, arrival.At, analysis.bounds.Stability) {
			late[call.Crashing] = append(late[call.Crashing], arrival)
		}
	}
	var findings []Finding
	for target, arrivals := range late {
		if len(arrivals) > analysis.bounds.LateRetries {
			findings = append(findings, Finding{
				Detail: fmt.Sprintf("%d copies of %s reached endpoints later than %s after the third crash, %d allowed; %d crashed in all",
					len(arrivals), target, analysis.bounds.Stability, analysis.bounds.LateRetries, len(crashes[target])),
				RequestID: arrivals[0].RequestID, At: arrivals[0].At,
			})
		}
	}
	return findings
}
