package dogwoodsoakcheck

import (
	"fmt"
)

func stopTooLong(analysis *analysis) []Finding {
	var findings []Finding
	for _, stop := range analysis.Stops {
		if stop.Killed {
			findings = append(findings, Finding{Detail: stop.Daemon + " had not ended by the end of its grace", At: stop.From})
		}
	}
	return findings
}

func notRecovered(analysis *analysis) []Finding {
	from := analysis.Calm.Add(analysis.bounds.Recovery)
	sent, served := 0, 0
	for i := range analysis.Calls {
		call := &analysis.Calls[i]
		if !call.Sent.After(from) || !analysis.Planned.IsZero() && call.Sent.After(analysis.Planned) {
			continue
		}
		sent++
		if call.Served() {
			served++
		}
	}
	if sent > 0 && float64(served) >= analysis.bounds.ServedShare*float64(sent) {
		return nil
	}
	return []Finding{{Detail: fmt.Sprintf("%d of %d requests were served that were sent %s after the last fault or later", served, sent, analysis.bounds.Recovery), At: from}}
}

func processDied(analysis *analysis) []Finding {
	var findings []Finding
	for _, death := range analysis.Deaths {
		findings = append(findings, Finding{Detail: death.Process + " ended by itself: " + death.Error})
	}
	return findings
}
