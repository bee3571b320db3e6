// Package dogwoodmemory accounts for an engine's KV cache memory, in tokens.
//
// Load pattern: prompts of a thousand to a million tokens share an engine, and a few long
// prompts fill its memory. Admission depends on how much memory is held now, but the engine's
// own report is a second old. Each request therefore has a hold from its grant until the
// engine is known to have released the memory.
//
// Grants based on the delayed report alone would give an engine several times its memory in
// the second before a burst shows up, and the engine would queue or evict. Memory would also
// leak: a failed entry daemon leaves a stream that nobody reads, a cancel can be lost, and an
// owner can fail together with its state. The ledger is therefore reconciled with the
// engine's list, which includes every running request regardless of its sender. Streams
// without a hold are cancelled.
//
// Reconciliation must not free memory that is in use. Three races threaten that: the
// engine's answer is older than the ledger, a renewal arrives late, and a granted request has
// not reached the engine yet. The rules are:
//
//   - An answer only counts for events before it was requested.
//   - An expired hold still counts, and can be renewed, until Reconcile returns the request for
//     cancelling.
//   - Memory is granted again only after a later answer no longer lists the request, or after
//     the engine process is gone.
package dogwoodmemory

import (
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("memory")

const (
	// ExpiryGrace is how long a hold is kept after its lease expires. Process pauses and broken
	// connections between daemons commonly last some seconds, and cancelling a stream that its
	// caller still reads is worse than holding an engine's memory for ten seconds longer.
	ExpiryGrace = 10 * time.Second
	// UnclaimedGrace is how long a stream without a hold may run before it is cancelled. After
	// a change of owner, entry daemons announce their holds within a few one-second
	// heartbeats. An entry daemon that finds no owner retries for as long as this grace.
	UnclaimedGrace = 30 * time.Second
	// DrainGrace is how long the entry daemon that ended a request has to cancel it.
	DrainGrace = 5 * time.Second
	// InFlightGrace is how long a request that its holder ended may still be in transit to the
	// engine. The engine client's timeout for connecting is two seconds.
	InFlightGrace = 2 * time.Second
	// endedTTL is how long an ended request is remembered, so that an answer requested
	// before the end does not bring it back. A query to an engine times out after two seconds.
	endedTTL = 10 * time.Second
)

// phase is the lifecycle phase of a hold.
type phase int

const (
	live phase = iota
	// draining: the holder ended the request, and the engine may still run it.
	draining
	// cancelling: the request was returned for cancelling, and the hold can't be renewed.
	cancelling
)

type hold struct {
	tokens  int
	holder  dogwoodfleet.InstanceID
	expires time.Time
	phase   phase
	// since is when the current phase began.
	since time.Time
	// seenInstance is the engine process that last listed the request; empty if none has.
	seenInstance dogwoodfleet.InstanceID
}

// unclaimed is a request that the engine lists and that has no hold.
type unclaimed struct {
	tokens   int
	reserved bool
	since    time.Time
}

// Ledger accounts for the memory of one engine. It is not safe for concurrent use.
type Ledger struct {
	memory    int
	instance  dogwoodfleet.InstanceID
	lastAsked time.Time
	holds     map[dogwoodfleet.RequestID]*hold
	unclaimed map[dogwoodfleet.RequestID]unclaimed
	ended     map[dogwoodfleet.RequestID]time.Time
	used      int
}

// New returns an empty ledger for an engine whose memory is unknown.
func New() *Ledger {
	return &Ledger{
		holds:     map[dogwoodfleet.RequestID]*hold{},
		unclaimed: map[dogwoodfleet.RequestID]unclaimed{},
		ended:     map[dogwoodfleet.RequestID]time.Time{},
	}
}

// InsufficientMemory reports that a hold does not fit into the memory that is free now.
type InsufficientMemory struct{ Free int }

func (insufficient *InsufficientMemory) Error() string {
	return fmt.Sprintf("memory: %d tokens are free", insufficient.Free)
}

// Hold is memory reserved for a request.
type Hold struct {
	Request dogwoodfleet.RequestID
	// Holder is the daemon that renews the hold.
	Holder  dogwoodfleet.InstanceID
	Tokens  int
	Expires time.Time
}

// Memory returns the engine's memory in tokens, or 0 if it is unknown.
func (ledger *Ledger) Memory() int { return ledger.memory }

// Used returns the number of tokens in use, including unclaimed streams.
func (ledger *Ledger) Used() int { return ledger.used }

// Free returns the number of tokens that can still be granted. It is 0 or less if none are
// free or the engine's memory is unknown.
func (ledger *Ledger) Free() int { return ledger.memory - ledger.used }

// SetMemory sets the engine's memory, for use before its first report.
func (ledger *Ledger) SetMemory(tokens int) { ledger.memory = tokens }

// Reserve adds a hold for a request that is about to be sent. It returns *InsufficientMemory if the hold
// does not fit.
func (ledger *Ledger) Reserve(wanted Hold, now time.Time) error {
	if hold := ledger.holds[wanted.Request]; hold != nil {
		return Error.New("request %s already has a hold", wanted.Request)
	}
	if wanted.Tokens > ledger.Free() {
		return &InsufficientMemory{Free: ledger.Free()}
	}
	ledger.addHold(wanted, now)
	return nil
}

// Claim takes over a hold that another owner granted. The memory is already in use, so Claim
// does not check whether it fits. It returns false if the request was returned for cancelling.
func (ledger *Ledger) Claim(wanted Hold, now time.Time) bool {
	if hold := ledger.holds[wanted.Request]; hold != nil {
		return ledger.Renew(wanted.Request, wanted.Expires)
	}
	if seen, found := ledger.unclaimed[wanted.Request]; found {
		ledger.used -= seen.tokens
		wanted.Tokens = max(wanted.Tokens, seen.tokens)
		delete(ledger.unclaimed, wanted.Request)
	}
	ledger.addHold(wanted, now)
	return true
}

func (ledger *Ledger) addHold(wanted Hold, now time.Time) {
	delete(ledger.ended, wanted.Request)
	ledger.used += wanted.Tokens
	ledger.holds[wanted.Request] = &hold{
		tokens:  wanted.Tokens,
		holder:  wanted.Holder,
		expires: wanted.Expires,
		since:   now,
	}
}

// Renew extends a hold, including one that has expired. It returns false if the request has no
// hold or is draining or being cancelled; the holder must then end the stream.
func (ledger *Ledger) Renew(request dogwoodfleet.RequestID, expires time.Time) bool {
	hold := ledger.holds[request]
	if hold == nil || hold.phase != live {
		return false
	}
	if expires.After(hold.expires) {
		hold.expires = expires
	}
	return true
}

// Finish ends the hold of a request that the engine reported as finished, and frees its memory.
func (ledger *Ledger) Finish(request dogwoodfleet.RequestID, now time.Time) {
	if hold := ledger.holds[request]; hold != nil {
		ledger.removeHold(request, hold, now)
	}
}

// Drain ends the hold of a request that may still run because its caller left or the
// connection was lost. The memory is freed once the engine no longer lists the request.
func (ledger *Ledger) Drain(request dogwoodfleet.RequestID, now time.Time) {
	if hold := ledger.holds[request]; hold != nil && hold.phase == live {
		hold.phase, hold.since = draining, now
	}
}

func (ledger *Ledger) removeHold(request dogwoodfleet.RequestID, hold *hold, now time.Time) {
	ledger.used -= hold.tokens
	delete(ledger.holds, request)
	ledger.ended[request] = now
}
