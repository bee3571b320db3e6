package dogwoodsoakcheck

import (
	"slices"
	"time"
)

// Finding is a promise that was broken.
type Finding struct {
	Check  string
	Detail string
	// RequestID is empty for what concerns no single request.
	RequestID string
	At        time.Time
}

// check looks for one broken promise.
type check struct {
	name string
	look func(judged *judged) []Finding
}

// checks are all checks in the order of their report.
var checks = []check{
	{"TwiceRun", twiceRun},
	{"FalseNotRun", falseNotRun},
	{"WrongAnswer", wrongAnswer},
	{"UnaskedRun", unaskedRun},
	{"KeyPassedOn", keyPassedOn},
	{"WithdrawnKeyRan", withdrawnKeyRan},
	{"SentAfterLeaving", sentAfterLeaving},
	{"SentAfterTakeOut", sentAfterTakeOut},
	{"RetryBudget", retryBudget},
	{"ColdLimit", coldLimit},
	{"MemoryHeld", memoryHeld},
	{"AnsweredLate", answeredLate},
	{"CutByStop", cutByStop},
	{"CutByChange", cutByChange},
	{"CutWithoutCause", cutWithoutCause},
	{"StopTooLong", stopTooLong},
	{"NotRecovered", notRecovered},
	{"ProcessDied", processDied},
}

// Names lists the checks.
func Names() []string {
	names := make([]string, len(checks))
	for i, check := range checks {
		names[i] = check.name
	}
	return names
}

// judged is a history with what the checks look up in it.
type judged struct {
	*History
	bounds Bounds
	// calls are by id.
	calls map[string]*Call
	// runs and arrivals are by request, in order of time.
	runs, arrivals map[string][]*Arrival
}

// Check returns all broken promises of a history.
func Check(history *History, bounds Bounds) []Finding {
	judged := &judged{
		History: history, bounds: bounds,
		calls: map[string]*Call{}, runs: map[string][]*Arrival{}, arrivals: map[string][]*Arrival{},
	}
	slices.SortFunc(history.Arrivals, func(one, other Arrival) int { return one.At.Compare(other.At) })
	slices.SortFunc(history.Calls, func(one, other Call) int { return one.Sent.Compare(other.Sent) })
	for i := range history.Calls {
		judged.calls[history.Calls[i].ID] = &history.Calls[i]
	}
	for i := range history.Arrivals {
		arrival := &history.Arrivals[i]
		judged.arrivals[arrival.RequestID] = append(judged.arrivals[arrival.RequestID], arrival)
		if arrival.Ran {
			judged.runs[arrival.RequestID] = append(judged.runs[arrival.RequestID], arrival)
		}
	}
	var findings []Finding
	for _, check := range checks {
		found := check.look(judged)
		for i := range found {
			found[i].Check = check.name
		}
		findings = append(findings, found...)
	}
	return findings
}

// byCall runs a look at each call.
func (judged *judged) byCall(look func(call *Call) string) []Finding {
	var findings []Finding
	for i := range judged.Calls {
		call := &judged.Calls[i]
		if detail := look(call); detail != "" {
			findings = append(findings, Finding{Detail: detail, RequestID: call.ID, At: call.Sent})
		}
	}
	return findings
}

// byArrival runs a look at each arrival of a known call.
func (judged *judged) byArrival(look func(arrival *Arrival, call *Call) string) []Finding {
	var findings []Finding
	for i := range judged.Arrivals {
		arrival := &judged.Arrivals[i]
		call := judged.calls[arrival.RequestID]
		if call == nil {
			continue // unaskedRun reports it
		}
		if detail := look(arrival, call); detail != "" {
			findings = append(findings, Finding{Detail: detail, RequestID: arrival.RequestID, At: arrival.At})
		}
	}
	return findings
}
