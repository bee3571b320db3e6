// Package dogwoodsoakcheck checks a soak test against the promises of the daemons, using what callers received
// and endpoints recorded. It uses no data from the daemons and has no side effects.
package dogwoodsoakcheck

import (
	"slices"
	"time"
)

// Bounds are the limits that the checks apply.
type Bounds struct {
	// Stability is how long a daemon must have been without a fault before time limits apply to it.
	Stability time.Duration
	// Revoke, Drain and TakeOut bound the time from a change to the last request that it forbids.
	Revoke, Drain, TakeOut time.Duration
	// RetryRatio and RetryAllowance bound the repeated arrivals at a service within RetryWindow.
	RetryRatio, RetryAllowance float64
	RetryWindow                time.Duration
	// ColdPerSecond is the rate that a cold endpoint can take. The checks allow this rate times ColdOvershoot
	// plus ColdSlack.
	ColdPerSecond, ColdOvershoot, ColdSlack float64
	// An endpoint that names a limit may get in LimitWindow what that allows times LimitOvershoot, plus LimitSlack.
	LimitWindow                time.Duration
	LimitOvershoot, LimitSlack float64
	// An endpoint that asks a daemon for Backoff may get BackoffLimit requests from it from BackoffDelay on.
	Backoff, BackoffDelay time.Duration
	BackoffLimit          int
	// LateRetries is how often a request that crashes endpoints may reach them later than Stability after it has
	// crashed as many as CrashesToLearn, and how often prompts with a part that does so may after PartCrashesToLearn.
	CrashesToLearn, PartCrashesToLearn, LateRetries int
	// AnswerSlack is how long after its time limit a request may end.
	AnswerSlack time.Duration
	// DeliverySlack is how long after its time limit an answer that was ready may still be delivered to a caller that reads slowly.
	DeliverySlack time.Duration
	// ChangeWindow is how long after a change a daemon may still be applying it. For the operators' rows,
	// TextSlack is added.
	ChangeWindow, TextSlack time.Duration
	// Grace is the time from the signal to stop until a daemon must have ended. In its last sixth it may cut requests on which an
	// endpoint is still at work and that were sent up to AcceptsFor after the signal.
	Grace, AcceptsFor time.Duration
	// StopSlack is how long before the end of its connection a request must have been sent to count as read by a daemon that stops.
	StopSlack time.Duration
	// RefusalSlack is how long after the fault of an endpoint a request that had no answer yet may end without one.
	RefusalSlack time.Duration
	// Recovery is the time after the last fault by which requests must be served again, ServedShare the
	// minimum share of them.
	Recovery    time.Duration
	ServedShare float64
	// DaemonMemory bounds the resident set of a daemon's process, in bytes.
	DaemonMemory int
	// DaemonDescriptors bounds the open descriptors of a daemon's process.
	DaemonDescriptors int
	// AnswerBuffer is the size of answers up to which a caller that reads slowly must not be cut; a larger one may visibly be.
	AnswerBuffer int
	// Within each StarvationWindow in which nothing is wrong, each customer and each rank that sends StarvationCalls prompts or
	// more gets StarvationShare of them served, or StarvationServed prompts.
	StarvationWindow                  time.Duration
	StarvationCalls, StarvationServed int
	StarvationShare                   float64
}

// CallKind is the kind of a call; it determines whether the call may run more than once.
type CallKind string

// The kinds of calls.
const (
	// Once must not run more than once.
	Once CallKind = "Once"
	// Lookup may run more than once.
	Lookup CallKind = "Lookup"
	// Prompt is answered by a stream that may be resumed at another endpoint.
	Prompt CallKind = "Prompt"
)

// Call is a request as recorded by its caller.
type Call struct {
	ID      string
	Kind    CallKind
	Service string
	Key     string
	// Daemon is the daemon that the caller connected to.
	Daemon      string
	Sent, Ended time.Time
	// Written is when the caller had sent the last byte of the request; zero if it had not.
	Written time.Time
	// Wait is the time limit that the caller set.
	Wait time.Duration
	// Status is 0 if no answer began.
	Status int
	// NotRun is true if the answer promises that the request has not run and never will.
	NotRun bool
	// Whole is true if the answer ended as a complete one does, Sealed if it came from an endpoint.
	Whole, Sealed bool
	// Wrong describes the error in an answer that looks complete; it is empty for a correct answer.
	Wrong string
	// Error is the reason why there is no complete answer.
	Error string
	// RouteOf is the version of the text that alone has the call's route; 0 for a route that all have.
	RouteOf int64
	// Crashing is what crashes each endpoint that runs the call; empty for other calls.
	Crashing Crashing
	// Slow is true if the caller read the answer slowly. Paused is the sum of the times for which it did not read: the kernel may
	// hold what the daemon has written long before, so that the end is seen later by this time. LargeBytes is the least size of
	// the answer that it asked for.
	Slow       bool
	Paused     time.Duration
	LargeBytes int
}

// Crashing identifies a request or a part of prompts that crashes endpoints.
type Crashing struct {
	// Target is that of a request of which copies are sent, Part the ID of a part of prompts of which no two are alike. One of
	// them is empty.
	Target, Part string
}

// crashesToLearn returns how many endpoints may crash before daemons must know.
func (crashing Crashing) crashesToLearn(bounds *Bounds) int {
	if crashing.Part != "" {
		return bounds.PartCrashesToLearn
	}
	return bounds.CrashesToLearn
}

func (crashing Crashing) String() string {
	if crashing.Part != "" {
		return "prompts with part " + crashing.Part
	}
	return "copies of " + crashing.Target
}

// Served reports whether an endpoint answered the call completely and correctly.
func (call *Call) Served() bool {
	return call.Status == 200 && call.Whole && call.Sealed && call.Wrong == ""
}

// Arrival is a request as recorded by the endpoint that received it.
type Arrival struct {
	Endpoint, DataCentre, Service string
	RequestID                     string
	At                            time.Time
	// Until is when the endpoint had ended its work on the request; zero if it was rejected, or if the endpoint ended before.
	Until              time.Time
	Ran, Cold, KeySeen bool
	// AskedBackoff is true if the endpoint turned the request away and asked for a back-off, SaidLeaving if it said that it leaves.
	AskedBackoff, SaidLeaving bool
}

// Crash is an endpoint that a request crashed.
type Crash struct {
	Endpoint, RequestID string
	At                  time.Time
}

// Limit is a period in which an endpoint named a limit in its answers.
type Limit struct {
	Endpoint  string
	PerSecond float64
	From, To  time.Time
}

// Written is the end of a large answer at its endpoint.
type Written struct {
	Endpoint, RequestID string
	At                  time.Time
	// Unread is true if the endpoint cut the answer off because it stayed unread; otherwise it wrote the answer completely.
	Unread bool
}

// OutOfMemory is the end of an endpoint by the requests that it held.
type OutOfMemory struct {
	Endpoint, RequestID string
	Held, Bound         int
	At                  time.Time
}

// Memory is the largest resident set of a daemon's process that was seen.
type Memory struct {
	Daemon string
	Bytes  int
	At     time.Time
}

// Descriptors is the largest number of open descriptors of a daemon's process that was seen.
type Descriptors struct {
	Daemon string
	Open   int
	At     time.Time
}

// Span is a period in which something was wrong, whether the checks count it as a fault or not.
type Span struct{ From, To time.Time }

// Ranks are the ranks of the customers of some keys while a text that gives them was in force everywhere.
type Ranks struct {
	Span
	OfKey map[string]int
}

// Fault is a period in which one or all daemons lacked something that they depend on, or in which requests
// to an endpoint, or its answers, were delayed.
type Fault struct {
	// Daemon is the affected daemon, or AllDaemons; it is empty for a fault of an endpoint.
	Daemon   string
	Endpoint string
	From, To time.Time
	// Planned is true for a graceful shutdown, FromEndpoints for a daemon that reaches no endpoint but still all else.
	Planned, FromEndpoints bool
}

// AllDaemons stands for all daemons where a fault or a change names the one that it affects.
const AllDaemons = "everybody"

// Withdrawal is a key that was withdrawn and later restored.
type Withdrawal struct {
	Key string
	// From is when the store had accepted the withdrawal, To is just before the key was restored.
	From, To time.Time
}

// TakeOut is a data centre that was taken out of service and brought back.
type TakeOut struct {
	DataCentre string
	From, To   time.Time
}

// Change is a change of the operators' rows or of a daemon's settings.
type Change struct {
	// Daemon is the daemon whose settings changed, or AllDaemons for the operators' rows.
	Daemon string
	// From is just before the change was sent, To when the store had accepted it or the daemon was signalled.
	From, To time.Time
}

// Text is a version of the operators' text.
type Text struct {
	Version int64
	// From is just before it was sent, To when the store had accepted it.
	From, To time.Time
	// Withdrawn are the keys that no customer has.
	Withdrawn []string
}

// allows reports whether a daemon that goes by the text lets a call pass.
func (text *Text) allows(call *Call) bool {
	return text.hasRoute(call) && !slices.Contains(text.Withdrawn, call.Key)
}

func (text *Text) hasRoute(call *Call) bool {
	return call.RouteOf == 0 || call.RouteOf == text.Version
}

// Leaving is an endpoint that announced that it leaves, or whose entry was removed for good.
type Leaving struct {
	Endpoint string
	At       time.Time
}

// Stop is a graceful shutdown of a daemon.
type Stop struct {
	Daemon string
	// From is the time of the signal, To the end of the process.
	From, To time.Time
	// Killed is true if the process did not end within its grace period.
	Killed bool
}

// Held is memory that an engine still has reserved after all load has ended.
type Held struct {
	Endpoint string
	Tokens   int
}

// Death is a process that ended although the soak had not ended it.
type Death struct {
	Process string
	Error   string
}

// History is everything that a soak recorded.
type History struct {
	Calls       []Call
	Arrivals    []Arrival
	Crashes     []Crash
	Limits      []Limit
	Faults      []Fault
	Withdrawals []Withdrawal
	TakeOuts    []TakeOut
	Changes     []Change
	Texts       []Text
	Leavings    []Leaving
	Stops       []Stop
	Held        []Held
	Deaths      []Death
	Written     []Written
	OutOfMemory []OutOfMemory
	Memory      []Memory
	Descriptors []Descriptors
	Wrong       []Span
	Ranks       []Ranks
	// Calm is the time when the last fault ended, Planned that from which daemons were only shut down and changed; zero for never.
	Calm, Planned time.Time
}

// daemonUnaffected reports whether no fault affected a daemon between from, less stability, and until.
func (history *History) daemonUnaffected(daemon string, from, until time.Time, stability time.Duration) bool {
	return history.noFault(from.Add(-stability), until, func(fault *Fault) bool {
		return fault.Daemon == daemon || fault.Daemon == AllDaemons
	})
}

// endpointUnaffected reports whether no fault delayed requests to an endpoint between from and until.
func (history *History) endpointUnaffected(endpoint string, from, until time.Time) bool {
	return history.noFault(from, until, func(fault *Fault) bool { return fault.Endpoint == endpoint })
}

// noFault reports whether no fault that matches overlaps the period between from and until.
func (history *History) noFault(from, until time.Time, matches func(fault *Fault) bool) bool {
	for i := range history.Faults {
		fault := &history.Faults[i]
		if matches(fault) && fault.From.Before(until) && fault.To.After(from) {
			return false
		}
	}
	return true
}
