// Package dogwoodsoakcheck judges a soak by what its callers received and its endpoints saw. It hears
// no daemon, and touches nothing.
package dogwoodsoakcheck

import (
	"time"
)

// Bounds are the figures that must hold.
type Bounds struct {
	// Stability is how long a daemon must have been without a fault to be bound by a time limit.
	Stability time.Duration
	// Revoke, Drain and TakeOut bound the time from a change to the last request that it forbids.
	Revoke, Drain, TakeOut time.Duration
	// RetryRatio and RetryAllowance bound an endpoint's repeated arrivals within RetryWindow.
	RetryRatio, RetryAllowance float64
	RetryWindow                time.Duration
	// ColdPerSecond is what a cold endpoint bears, ColdOvershoot and ColdSlack what may come beyond.
	ColdPerSecond, ColdOvershoot, ColdSlack float64
	// AnswerSlack is how much later than its time limit a request may end.
	AnswerSlack time.Duration
	// Configuration is how long after a change a daemon still takes it in; TextSlack comes on top for the
	// operators' rows.
	Configuration, TextSlack time.Duration
	// TakesFor is how long after the signal to stop a daemon still takes requests, StopSlack by how much
	// a request may cross its end.
	TakesFor, StopSlack time.Duration
	// Recovery is the time after the last fault by which requests are served again, ServedShare how
	// many of them at least.
	Recovery    time.Duration
	ServedShare float64
}

// CallKind is what a caller asked for.
type CallKind string

// The kinds of calls.
const (
	// Once must not run more than once.
	Once CallKind = "Once"
	// Lookup may run more than once.
	Lookup CallKind = "Lookup"
	// Prompt is answered by a stream that may go on elsewhere.
	Prompt CallKind = "Prompt"
)

// Call is a request as its caller saw it.
type Call struct {
	ID      string
	Kind    CallKind
	Service string
	Key     string
	// Daemon is the daemon that the caller connected to.
	Daemon      string
	Sent, Ended time.Time
	// Wait is how long the caller was ready to wait.
	Wait time.Duration
	// Status is 0 if no answer began.
	Status int
	// NotRun is true if the answer promises that the request has not run and never will.
	NotRun bool
	// Whole is true if the answer ended as a complete one does, Sealed if an endpoint gave it.
	Whole, Sealed bool
	// Wrong says what is wrong with an answer that looks whole; it is empty for a right one.
	Wrong string
	// Error is why there is no whole answer.
	Error string
}

// Served is true for a whole answer of an endpoint.
func (call *Call) Served() bool {
	return call.Status == 200 && call.Whole && call.Sealed && call.Wrong == ""
}

// Arrival is a request as an endpoint saw it.
type Arrival struct {
	Endpoint, DataCentre, Service string
	RequestID                     string
	At                            time.Time
	Ran, Cold, KeySeen            bool
}

// Fault is a span in which a daemon, or all of them, did not have what they need, or in which an
// endpoint got or answered requests later than they were sent.
type Fault struct {
	// Daemon is whom it hit, everybody for all daemons; it is empty for a fault of an endpoint.
	Daemon   string
	Endpoint string
	From, To time.Time
	// Planned is true for a graceful shutdown.
	Planned bool
}

// Everybody is named by faults that all daemons feel.
const Everybody = "everybody"

// Withdrawal is a key that was taken away and given back.
type Withdrawal struct {
	Key string
	// From is when the store had accepted it, To when it was about to be given back.
	From, To time.Time
}

// TakeOut is a data centre that was taken out and brought back.
type TakeOut struct {
	DataCentre string
	From, To   time.Time
}

// Change is a change of the operators' rows or of a daemon's settings.
type Change struct {
	// Daemon is whom it reaches, everybody for the operators' rows.
	Daemon string
	// From is when it was about to be sent, To when the store had accepted it or the daemon was signalled.
	From, To time.Time
}

// Leaving is an endpoint that said it would leave, or whose entry is gone for good.
type Leaving struct {
	Endpoint string
	At       time.Time
}

// Stop is a graceful shutdown of a daemon.
type Stop struct {
	Daemon string
	// From is the signal, To the end of the process.
	From, To time.Time
	// Killed is true if it did not end within its grace.
	Killed bool
}

// Held is memory that an engine still has set aside after all load has ended.
type Held struct {
	Endpoint string
	Tokens   int
}

// Death is a process that ended although nobody had ended it.
type Death struct {
	Process string
	Error   string
}

// History is all that a soak saw.
type History struct {
	Calls       []Call
	Arrivals    []Arrival
	Faults      []Fault
	Withdrawals []Withdrawal
	TakeOuts    []TakeOut
	Changes     []Change
	Leavings    []Leaving
	Stops       []Stop
	Held        []Held
	Deaths      []Death
	// Calm is when the last fault was over.
	Calm time.Time
}

// calm is true if a daemon had all it needs for the whole time before a moment in which its bounds
// begin to hold, and until then.
func (history *History) calm(daemon string, from, until time.Time, stability time.Duration) bool {
	return history.free(from.Add(-stability), until, func(fault *Fault) bool {
		return fault.Daemon == daemon || fault.Daemon == Everybody
	})
}

// prompt is true if nothing held requests up on their way to an endpoint.
func (history *History) prompt(endpoint string, from, until time.Time) bool {
	return history.free(from, until, func(fault *Fault) bool { return fault.Endpoint == endpoint })
}

func (history *History) free(from, until time.Time, concerns func(fault *Fault) bool) bool {
	for i := range history.Faults {
		fault := &history.Faults[i]
		if concerns(fault) && fault.From.Before(until) && fault.To.After(from) {
			return false
		}
	}
	return true
}
