package dogwoodsoakcheck

import (
	"fmt"
)

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
