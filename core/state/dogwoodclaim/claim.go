// Package dogwoodclaim makes a call that may not be repeated run at most once.
//
// Before such a call is sent, its entry inserts a row for (customer, service, idempotency
// key) that carries the random id of this try. Only the try whose id stands in the row may
// be sent. Nobody ever takes a row over: a holder that was paused and wakes finds that it
// still is the only one, and a holder that died leaves a call whose outcome is unknown and
// which is not run again. A lost answer to the insert is settled by inserting again and
// reading back whose id stands there. A row is removed only by its holder, and only when
// the call certainly was not and will not be sent.
//
// Without it, a caller that resends a reservation through another entry after a broken
// connection has it run twice.
package dogwoodclaim

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/zeebo/errs"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/state/dogwoodtable"
)

// Error is the class of this package's errors.
var Error = errs.Class("claim")

const (
	// Table is where claims are kept.
	Table = "claims"
	// DefaultKeepFor is how long a claim is kept: far longer than any deadline (hours) and
	// than callers resend, so that no resend finds its key free. After it, the key is new.
	DefaultKeepFor = 24 * time.Hour
	// takeWithin bounds all tries of one Take. The store answers in some ten milliseconds;
	// a caller with a longer deadline is better told "not run" than kept waiting.
	takeWithin = 3 * time.Second
	// finishWithin bounds the direct tries of Finish and Free; after it they go on in Run.
	finishWithin = 2 * time.Second
	// inlineLimit is the largest answer kept in the row; larger ones go to the object store.
	inlineLimit = 32 << 10
	// rememberedClaims and rememberedLimit bound the claims of this daemon, and the bodies of
	// their answers, that are answered from memory while the store is down: 16 MB at most.
	rememberedClaims = 4096
	rememberedLimit  = 4 << 10
	firstBackoff     = 10 * time.Millisecond
	longestBackoff   = 200 * time.Millisecond
)

// Store is what claims need of the table service.
type Store interface {
	Read(ctx context.Context, table, key string) (dogwoodtable.Row, bool, error)
	Commit(ctx context.Context, writes ...dogwoodtable.Write) ([]uint64, error)
}

// Objects is what claims need of the object store.
type Objects interface {
	PutObject(ctx context.Context, name string, body []byte) error
	GetObject(ctx context.Context, name string) ([]byte, bool, error)
}

// Key names a call that may run once. Key.Key is the caller's Idempotency-Key.
type Key struct {
	Customer dogwoodfleet.Customer
	Service  dogwoodfleet.Service
	Key      string
}

// Answer is what the endpoint answered, kept for callers that send the call again.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Outcome is what a try to claim found.
type Outcome string

// The outcomes.
const (
	// Fresh: this try, and no other, may send the call now.
	Fresh Outcome = "Fresh"
	// Answered: the call was run before; its answer is given.
	Answered Outcome = "Answered"
	// Running: another try holds the claim and its daemon lives.
	Running Outcome = "Running"
	// OutcomeUnknown: another try may have run the call and its answer can't be had. The
	// call is not run again.
	OutcomeUnknown Outcome = "OutcomeUnknown"
	// Mismatch: the key was used for a call with another body.
	Mismatch Outcome = "Mismatch"
)

// Taken is the result of Take.
type Taken struct {
	Outcome Outcome
	// Answer is set for Answered.
	Answer *Answer
	// Holder is the daemon whose try holds the claim, unless Fresh.
	Holder dogwoodfleet.InstanceID
}

// Unavailable tells that the store did not let this try claim the call in time. This try
// was not sent.
type Unavailable struct {
	Cause error
	// EarlierUnknown is true if an earlier try under the same key may have been sent by a
	// daemon that can't be asked. Without it, no daemon has sent the call.
	EarlierUnknown bool
}

func (unavailable *Unavailable) Error() string {
	return fmt.Sprintf("claim not possible: %v", unavailable.Cause)
}

func (unavailable *Unavailable) Unwrap() error { return unavailable.Cause }

// Postponed tells that the claim's end is not stored yet. Run goes on trying.
type Postponed struct {
	Cause error
}

func (postponed *Postponed) Error() string {
	return fmt.Sprintf("claim's end not stored yet: %v", postponed.Cause)
}

func (postponed *Postponed) Unwrap() error { return postponed.Cause }

// Options configure claims.
type Options struct {
	Store   Store
	Objects Objects
	// Self is this start of the daemon.
	Self dogwoodfleet.InstanceID
	// Alive tells whether a daemon's instance lives as far as the members know.
	Alive func(instance dogwoodfleet.InstanceID) bool
	// Witnesses is nil where there is no other daemon.
	Witnesses Witnesses
	// KeepFor is 0 for DefaultKeepFor.
	KeepFor time.Duration
	// Logger is nil for none.
	Logger hclog.Logger
}

// Claims takes and ends claims for one daemon. It is safe for concurrent use. Run must be
// running.
type Claims struct {
	options Options
	commits *committer
	repairs *repairs

	mutex sync.Mutex
	// held are the claims that this daemon won and whose end is not stored yet.
	held map[string]*claim
	// remembered are this daemon's claims by row key, for answers while the store is down.
	remembered *lru.Cache[string, record]
	// sent are the same claims and many older ones, without what became of them.
	sent *sentMemory
}

// claim is a claim that this daemon holds.
type claim struct {
	version uint64
	record  record
	// uncertain is true if an insert of this try was sent whose answer was lost. It may
	// still be on its way.
	uncertain bool
}

// New returns claims. Start Run before the first Take.
func New(options Options) *Claims {
	if options.KeepFor == 0 {
		options.KeepFor = DefaultKeepFor
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	remembered, err := lru.New[string, record](rememberedClaims)
	if err != nil {
		panic(Error.Wrap(err)) // only for a size below one
	}
	claims := &Claims{
		options:    options,
		commits:    newCommitter(options.Store),
		held:       map[string]*claim{},
		remembered: remembered,
		sent:       newSentMemory(),
	}
	claims.repairs = newRepairs(claims)
	return claims
}

// Run commits writes in groups and stores the ends of claims that could not be stored at
// once. It returns when the context ends.
func (claims *Claims) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { claims.commits.run(ctx) })
	group.Go(func() { claims.repairs.run(ctx) })
	group.Wait()
	return nil
}

// Take claims the call for a try. Only after Fresh may the try be sent, and only within
// its deadline. The try's id must be random and used once. The error is *Unavailable: the
// try must not be sent.
func (claims *Claims) Take(
	ctx context.Context, key Key, digest dogwoodfleet.Digest, try string,
) (Taken, error) {
	ctx, cancel := context.WithTimeout(ctx, takeWithin)
	defer cancel()
	wanted := newRecord(key, digest, try, claims.options.Self)
	insert := dogwoodtable.Write{
		Table:   Table,
		Key:     key.row(),
		Value:   wanted.encode(),
		KeepFor: claims.options.KeepFor,
	}
	attempt := attempt{row: insert.Key, wanted: wanted}
	wait := dogwoodkernel.Backoff{First: firstBackoff, Longest: longestBackoff}
	for {
		again, err := claims.tryTake(ctx, insert, &attempt)
		if !again || wait.Sleep(ctx) != nil {
			return claims.settle(ctx, &attempt, err)
		}
	}
}

// attempt is what a Take has learnt so far.
type attempt struct {
	row    string
	wanted record
	taken  Taken
	// uncertain is true once the answer to an insert was lost.
	uncertain bool
	// claimed is true once an insert met a row.
	claimed bool
}

// tryTake inserts once and reads back on a conflict. It asks for another round when the
// answer was lost, or when the read shows none of what the insert met.
func (claims *Claims) tryTake(
	ctx context.Context, insert dogwoodtable.Write, attempt *attempt,
) (again bool, err error) {
	version, err := claims.commits.commit(ctx, insert)
	if err == nil {
		claims.hold(attempt, version)
		return false, nil
	}
	if dogwoodtable.AsConflict(err) == nil {
		attempt.uncertain = attempt.uncertain || dogwoodtable.IsUnknown(err)
		return dogwoodtable.IsUnknown(err), err
	}
	attempt.claimed = true
	row, found, err := claims.options.Store.Read(ctx, Table, insert.Key)
	if err != nil {
		return dogwoodtable.IsUnknown(err), err
	}
	if !found {
		// An old read, or the holder freed it just now.
		return true, Error.New("row %s was there and is not", insert.Key)
	}
	present, err := decodeRecord(row.Value)
	if err != nil {
		// A row that can't be read is a claim all the same.
		attempt.taken = Taken{Outcome: OutcomeUnknown}
		return false, nil //nolint:nilerr // the outcome tells it
	}
	if present.Try == attempt.wanted.Try {
		// The insert's answer was lost and the insert was not.
		claims.hold(attempt, row.Version)
		return false, nil
	}
	attempt.taken = claims.judge(ctx, present, attempt.wanted.Digest)
	return false, nil
}

// settle ends a Take. A try that won't be sent but whose insert may be in the store, or
// may yet come there, is freed in the background, or its key would stay blocked.
func (claims *Claims) settle(ctx context.Context, attempt *attempt, err error) (Taken, error) {
	if attempt.taken.Outcome != Fresh && attempt.uncertain {
		claims.repairs.free(attempt.row, attempt.wanted.Try)
	}
	if attempt.taken.Outcome != "" {
		return attempt.taken, nil
	}
	known, certain := claims.askWitnesses(ctx, Question{Row: attempt.row, Digest: attempt.wanted.Digest})
	if known.Outcome != "" {
		return known, nil
	}
	if attempt.claimed && !attempt.uncertain {
		// Another try's row is there and can't be read: that try may have run the call, so
		// that "not run" would mislead.
		return Taken{Outcome: OutcomeUnknown}, nil
	}
	return Taken{}, &Unavailable{Cause: Error.Wrap(err), EarlierUnknown: !certain}
}

// judge tells what another try's claim means for this one.
func (claims *Claims) judge(ctx context.Context, present record, digest string) Taken {
	taken := Taken{Holder: present.Holder}
	switch {
	case present.Digest != digest:
		taken.Outcome = Mismatch
	case present.State == stateAnswered:
		taken.Answer = claims.answerOf(ctx, present)
		taken.Outcome = Answered
		if taken.Answer == nil {
			taken.Outcome = OutcomeUnknown
		}
	case claims.heldAnswer(present.Try) != nil:
		// This daemon has the answer and the store does not have it yet.
		taken.Outcome, taken.Answer = Answered, claims.heldAnswer(present.Try)
	case present.Holder == claims.options.Self, claims.options.Alive(present.Holder):
		taken.Outcome = Running
	default:
		taken.Outcome = OutcomeUnknown
	}
	return taken
}

// answerOf returns a stored answer, or nil if the object store does not give it now.
func (claims *Claims) answerOf(ctx context.Context, present record) *Answer {
	if present.Object == "" {
		return present.Answer
	}
	body, found, err := claims.options.Objects.GetObject(ctx, present.Object)
	if err != nil || !found {
		claims.options.Logger.Warn("Stored answer can't be read.", "object", present.Object, "error", err)
		return nil
	}
	return &Answer{Status: present.Answer.Status, Header: present.Answer.Header, Body: body}
}

func (claims *Claims) hold(attempt *attempt, version uint64) {
	attempt.taken = Taken{Outcome: Fresh}
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	claims.held[attempt.wanted.Try] = &claim{
		version: version, record: attempt.wanted, uncertain: attempt.uncertain,
	}
	claims.remembered.Add(attempt.row, attempt.wanted)
	claims.sent.add(attempt.row)
}

func (claims *Claims) heldAnswer(try string) *Answer {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	if held, ok := claims.held[try]; ok {
		return held.record.Answer
	}
	return nil
}

// recall answers from this daemon's memory when the store can't be asked, so that a
// caller who resends here during an outage is not told "not run" of what was run.
func (claims *Claims) recall(row, digest string) (Taken, bool) {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	known, ok := claims.remembered.Get(row)
	if !ok {
		return Taken{}, false
	}
	taken := Taken{Holder: known.Holder, Outcome: Running}
	switch {
	case known.Digest != digest:
		taken.Outcome = Mismatch
	case known.State == stateAnswered && known.Answer != nil:
		taken.Outcome, taken.Answer = Answered, known.Answer
	case known.State == stateAnswered:
		taken.Outcome = OutcomeUnknown
	}
	return taken, true
}

// errNotHeld tells of Finish or Free for a try that does not hold its claim.
var errNotHeld = errors.New("this try holds no claim")
