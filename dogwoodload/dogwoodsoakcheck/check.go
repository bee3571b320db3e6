package dogwoodsoakcheck

import (
	"slices"
	"time"
)

// Finding is a violation of a promise, found by a check.
type Finding struct {
	Check  string
	Detail string
	// RequestID is empty if the finding concerns no single request.
	RequestID string
	At        time.Time
}

// check finds the violations of one promise.
type check struct {
	name string
	run  func(analysis *analysis) []Finding
}

// checks lists all checks in the order in which they are reported.
var checks = []check{
	{"TwiceRun", twiceRun},
	{"FalseNotRun", falseNotRun},
	{"WrongAnswer", wrongAnswer},
	{"UnaskedRun", unaskedRun},
	{"KeyPassedOn", keyPassedOn},
	{"WithdrawnKeyRan", withdrawnKeyRan},
	{"OldText", oldText},
	{"Denied", denied},
	{"SentAfterLeaving", sentAfterLeaving},
	{"SentAfterAnswer", sentAfterAnswer},
	{"SentAfterTakeOut", sentAfterTakeOut},
	{"SentInBackoff", sentInBackoff},
	{"RetryBudget", retryBudget},
	{"ColdLimit", coldLimit},
	{"NamedLimit", namedLimit},
	{"CrashRetries", crashRetries},
	{"MemoryHeld", memoryHeld},
	{"DaemonMemory", daemonMemory},
	{"DaemonDescriptors", daemonDescriptors},
	{"EndpointMemory", endpointMemory},
	{"SlowAnswer", slowAnswer},
	{"Starved", starved},
	{"AnsweredLate", answeredLate},
	{"CutByStop", cutByStop},
	{"CutByChange", cutByChange},
	{"CutWithoutCause", cutWithoutCause},
	{"StopTooLong", stopTooLong},
	{"NotRecovered", notRecovered},
	{"ProcessDied", processDied},
}

// Names returns the names of all checks.
func Names() []string {
	names := make([]string, len(checks))
	for i, check := range checks {
		names[i] = check.name
	}
	return names
}

// analysis is a history with the indexes that the checks use.
type analysis struct {
	*History
	bounds Bounds
	// calls is indexed by request ID.
	calls map[string]*Call
	// runs and arrivals are indexed by request ID, in order of time.
	runs, arrivals map[string][]*Arrival
}

// Check runs all checks on a history and returns their findings. It sorts the calls and arrivals by time.
func Check(history *History, bounds Bounds) []Finding {
	analysis := &analysis{
		History: history, bounds: bounds,
		calls: map[string]*Call{}, runs: map[string][]*Arrival{}, arrivals: map[string][]*Arrival{},
	}
	slices.SortFunc(history.Arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
	slices.SortFunc(history.Calls, func(a, b Call) int { return a.Sent.Compare(b.Sent) })
	for i := range history.Calls {
		analysis.calls[history.Calls[i].ID] = &history.Calls[i]
	}
	for i := range history.Arrivals {
		arrival := &history.Arrivals[i]
		analysis.arrivals[arrival.RequestID] = append(analysis.arrivals[arrival.RequestID], arrival)
		if arrival.Ran {
			analysis.runs[arrival.RequestID] = append(analysis.runs[arrival.RequestID], arrival)
		}
	}
	var findings []Finding
	for _, check := range checks {
		found := check.run(analysis)
		for i := range found {
			found[i].Check = check.name
		}
		findings = append(findings, found...)
	}
	return findings
}

// checkCalls calls inspect for each call and returns a finding for each detail that is not empty.
func (analysis *analysis) checkCalls(inspect func(call *Call) string) []Finding {
	var findings []Finding
	for i := range analysis.Calls {
		call := &analysis.Calls[i]
		if detail := inspect(call); detail != "" {
			findings = append(findings, Finding{Detail: detail, RequestID: call.ID, At: call.Sent})
		}
	}
	return findings
}

// checkArrivals calls inspect for each arrival whose call is known, as checkCalls does for calls.
func (analysis *analysis) checkArrivals(inspect func(arrival *Arrival, call *Call) string) []Finding {
	var findings []Finding
	for i := range analysis.Arrivals {
		arrival := &analysis.Arrivals[i]
		call := analysis.calls[arrival.RequestID]
		if call == nil {
			continue // unaskedRun reports it
		}
		if detail := inspect(arrival, call); detail != "" {
			findings = append(findings, Finding{Detail: detail, RequestID: arrival.RequestID, At: arrival.At})
		}
	}
	return findings
}
