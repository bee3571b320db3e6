package dogwoodsoakcheck

import (
	"fmt"
	"slices"
	"time"
)

func daemonMemory(analysis *analysis) []Finding {
	var findings []Finding
	for _, memory := range analysis.Memory {
		if memory.Bytes > analysis.bounds.DaemonMemory {
			findings = append(findings, Finding{Detail: fmt.Sprintf("%s held %d bytes, %d allowed", memory.Daemon, memory.Bytes, analysis.bounds.DaemonMemory), At: memory.At})
		}
	}
	return findings
}

func daemonDescriptors(analysis *analysis) []Finding {
	var findings []Finding
	for _, descriptors := range analysis.Descriptors {
		if descriptors.Open > analysis.bounds.DaemonDescriptors {
			findings = append(findings, Finding{
				Detail: fmt.Sprintf("%s had %d descriptors open, %d allowed", descriptors.Daemon, descriptors.Open, analysis.bounds.DaemonDescriptors), At: descriptors.At,
			})
		}
	}
	return findings
}

// ownFaultMargin is how long before an endpoint's end the fault that stands for this end may begin: the soak sees the end of a
// process up to this time later, and dates the fault back.
const ownFaultMargin = 200 * time.Millisecond

// endpointMemory finds endpoints that the requests they held ended. Requests that were delayed on the way arrive together, which
// no daemon can prevent.
func endpointMemory(analysis *analysis) []Finding {
	var findings []Finding
	for _, ended := range analysis.OutOfMemory {
		sound := analysis.noFault(ended.At.Add(-analysis.bounds.Stability), ended.At.Add(-ownFaultMargin), func(fault *Fault) bool {
			return fault.FromEndpoints || fault.Endpoint == ended.Endpoint
		})
		if sound {
			findings = append(findings, Finding{
				Detail:    fmt.Sprintf("%s was ended by requests that took %d bytes, of %d", ended.Endpoint, ended.Held, ended.Bound),
				RequestID: ended.RequestID, At: ended.At,
			})
		}
	}
	return findings
}

// slowAnswer finds answers that an endpoint cut off because its daemon did not read them, and answers to slow callers that the
// endpoint had written completely, that are small enough to be held, and that were cut all the same.
func slowAnswer(analysis *analysis) []Finding {
	var findings []Finding
	for i := range analysis.Written {
		written := &analysis.Written[i]
		call := analysis.calls[written.RequestID]
		if call == nil {
			continue // unaskedRun reports it
		}
		since := written.At.Add(-analysis.bounds.Stability)
		switch {
		case written.Unread && analysis.daemonUnaffected(call.Daemon, since, written.At, analysis.bounds.Stability) && analysis.endpointUnaffected(written.Endpoint, since, written.At):
			findings = append(findings, Finding{Detail: written.Endpoint + " cut off the answer, which stayed unread by " + call.Daemon, RequestID: call.ID, At: written.At})
		case !written.Unread && call.Slow && analysis.cutWhileUnaffected(call):
			findings = append(findings, Finding{
				Detail:    fmt.Sprintf("%s wrote the whole answer, and the caller's was cut by %s after %s: %s", written.Endpoint, call.Daemon, call.Ended.Sub(call.Sent).Round(time.Millisecond), call.Error),
				RequestID: call.ID, At: written.At,
			})
		}
	}
	return findings
}

// answerWritten reports whether an endpoint has written the whole large answer to a request.
func (analysis *analysis) answerWritten(call *Call) bool {
	return slices.ContainsFunc(analysis.Written, func(written Written) bool { return written.RequestID == call.ID && !written.Unread })
}
