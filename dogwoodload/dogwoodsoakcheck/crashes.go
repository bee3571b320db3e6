package dogwoodsoakcheck

import (
	"fmt"
	"slices"
	"time"
)

// crashRetries finds requests, and prompts with a part, that go on reaching endpoints although they have crashed several. Daemons that had a fault
// shortly before are not counted: they may not have learned of it.
func crashRetries(analysis *analysis) []Finding {
	crashes := map[Crashing][]time.Time{}
	for _, crash := range analysis.Crashes {
		if call := analysis.calls[crash.RequestID]; call != nil {
			crashes[call.Crashing] = append(crashes[call.Crashing], crash.At)
		}
	}
	late := map[Crashing][]*Arrival{}
	for i := range analysis.Arrivals {
		arrival := &analysis.Arrivals[i]
		call := analysis.calls[arrival.RequestID]
		if call == nil || call.Crashing == (Crashing{}) || len(crashes[call.Crashing]) < call.Crashing.crashesToLearn(&analysis.bounds) {
			continue
		}
		slices.SortFunc(crashes[call.Crashing], time.Time.Compare)
		learned := crashes[call.Crashing][call.Crashing.crashesToLearn(&analysis.bounds)-1].Add(analysis.bounds.Stability)
		if arrival.At.After(learned) && analysis.daemonUnaffected(call.Daemon, call.Sent, arrival.At, analysis.bounds.Stability) {
			late[call.Crashing] = append(late[call.Crashing], arrival)
		}
	}
	var findings []Finding
	for crashing, arrivals := range late {
		if len(arrivals) > analysis.bounds.LateRetries {
			findings = append(findings, Finding{
				Detail: fmt.Sprintf("%d %s reached endpoints later than %s after crash %d, %d allowed; %d crashed in all",
					len(arrivals), crashing, analysis.bounds.Stability, crashing.crashesToLearn(&analysis.bounds), analysis.bounds.LateRetries, len(crashes[crashing])),
				RequestID: arrivals[0].RequestID, At: arrivals[0].At,
			})
		}
	}
	return findings
}
