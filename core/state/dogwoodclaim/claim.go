// Package dogwoodclaim ensures that a call that must not be repeated runs at most once.
//
// Before such a call is sent, its entry daemon inserts a row for (customer, service,
// idempotency key) that carries the random id of this attempt. Only the attempt whose id
// is in the row may be sent. A row never changes its holder: a holder that was paused and
// resumes is still the only one, and the call of a holder that died has an unknown outcome
// and is not run again. If the answer to the insert is lost, the insert is repeated and
// the id in the row is read back. A row is removed only by its holder, and only when the
// call was certainly not sent and will not be.
//
// Without claims, a reservation that a caller resends through another entry daemon after a
// broken connection would run twice.
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
	// Table is the table that holds the claims.
	Table = "claims"
	// DefaultKeepFor is the time after which a claim expires and its key is free again. It
	// is far longer than any deadline (hours) and than the time in which callers resend, so
	// that no resend finds its key free.
	DefaultKeepFor = 24 * time.Hour
	// takeTimeout bounds one Take with all its inserts. The store answers in some ten
	// milliseconds; for a caller with a longer deadline, an early "not run" is better than
	// a long wait.
	takeTimeout = 3 * time.Second
	// finishTimeout bounds the writes that Finish and Free wait for; Run retries them after that.
	finishTimeout = 2 * time.Second
	// maxInlineBody is the largest body, in bytes, that is stored in the row; larger ones go
	// to the object store.
	maxInlineBody = 32 << 10
	// maxRecentClaims bounds the number of this daemon's claims that are answered from memory
	// while the store is down, and maxRecentBody the bytes of each answer's body: 16 MB at
	// most.
	maxRecentClaims = 4096
	maxRecentBody   = 4 << 10
	minBackoff      = 10 * time.Millisecond
	maxBackoff      = 200 * time.Millisecond
)

// Store is the part of the table service that claims use.
type Store interface {
	Read(ctx context.Context, table, key string) (dogwoodtable.Row, bool, error)
	Commit(ctx context.Context, writes ...dogwoodtable.Write) ([]uint64, error)
}

// Objects is the part of the object store that claims use.
type Objects interface {
	PutObject(ctx context.Context, name string, body []byte) error
	GetObject(ctx context.Context, name string) ([]byte, bool, error)
}

// Key identifies a call that may run only once. Key.Key is the caller's Idempotency-Key.
type Key struct {
	Customer dogwoodfleet.Customer
	Service  dogwoodfleet.Service
	Key      string
}

// Answer is the endpoint's answer, stored for callers that send the call again.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Outcome is the result of claiming a call.
type Outcome string

// The outcomes.
const (
	// Fresh: only this attempt may send the call now.
	Fresh Outcome = "Fresh"
	// Answered: the call ran before, and its answer is returned.
	Answered Outcome = "Answered"
	// Running: another attempt holds the claim, and its daemon is alive.
	Running Outcome = "Running"
	// OutcomeUnknown: another attempt may have run the call, and its answer is not available.
	// The call is not run again.
	OutcomeUnknown Outcome = "OutcomeUnknown"
	// Mismatch: the key was used for a call with a different body.
	Mismatch Outcome = "Mismatch"
)

// Taken is the result of Take.
type Taken struct {
	Outcome Outcome
	// Answer is set for Answered.
	Answer *Answer
	// Holder is the daemon whose attempt holds the claim. It is empty for Fresh, and where
	// the row can't be read.
	Holder dogwoodfleet.InstanceID
}

// Unavailable reports that this attempt could not claim the call at the store in time. The
// attempt was not sent.
type Unavailable struct {
	Cause error
	// EarlierUnknown is true if an earlier attempt under the same key may have been sent by a
	// daemon that can't report it. If it is false, no daemon has sent the call.
	EarlierUnknown bool
}

func (unavailable *Unavailable) Error() string {
	return fmt.Sprintf("claim not possible: %v", unavailable.Cause)
}

func (unavailable *Unavailable) Unwrap() error { return unavailable.Cause }

// Postponed reports that the end of a claim (its answer, or the removal of its row) is not
// stored yet. Run retries it.
type Postponed struct {
	Cause error
}

func (postponed *Postponed) Error() string {
	return fmt.Sprintf("claim's end not stored yet: %v", postponed.Cause)
}

func (postponed *Postponed) Unwrap() error { return postponed.Cause }

// Options configures Claims.
type Options struct {
	Store   Store
	Objects Objects
	// Self is this instance of the daemon.
	Self dogwoodfleet.InstanceID
	// Alive reports whether the members list a daemon's instance as alive.
	Alive func(instance dogwoodfleet.InstanceID) bool
	// Peers queries the other daemons. It is nil if there are none.
	Peers Peers
	// KeepFor is the time after which a claim expires; 0 means DefaultKeepFor.
	KeepFor time.Duration
	// Logger may be nil to disable logging.
	Logger hclog.Logger
}

// Claims takes and ends claims for one daemon. It is safe for concurrent use. It needs Run
// to be running.
type Claims struct {
	options Options
	commits *committer
	retries *retryQueue

	mutex sync.Mutex
	// held are the claims of this daemon whose end is not stored yet, by attempt id.
	held map[string]*claim
	// recent holds this daemon's latest claims by row key, to answer while the store is down.
	recent *lru.Cache[string, record]
	// history holds the row keys of these and of many older claims, without their outcomes.
	history *rowHistory
}

// claim is a claim that this daemon holds.
type claim struct {
	version uint64
	record  record
	// uncertain is true if the answer to an insert of this attempt was lost. The insert may
	// still reach the store.
	uncertain bool
}

// New returns Claims. Run must be started before the first Take.
func New(options Options) *Claims {
	if options.KeepFor == 0 {
		options.KeepFor = DefaultKeepFor
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	recent, err := lru.New[string, record](maxRecentClaims)
	if err != nil {
		panic(Error.Wrap(err)) // only for a size below one
	}
	claims := &Claims{
		options: options,
		commits: newCommitter(options.Store),
		held:    map[string]*claim{},
		recent:  recent,
		history: newRowHistory(),
	}
	claims.retries = newRetryQueue(claims)
	return claims
}

// Run commits writes in groups and retries the ends of claims that could not be stored. It
// returns when the context ends.
func (claims *Claims) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { claims.commits.run(ctx) })
	group.Go(func() { claims.retries.run(ctx) })
	group.Wait()
	return nil
}

// Take claims the call for an attempt, which may be sent only if the outcome is Fresh and
// only within its deadline. The attempt's id must be random and used once. The error is
// *Unavailable; the attempt must not be sent then.
func (claims *Claims) Take(
	ctx context.Context, key Key, digest dogwoodfleet.Digest, attemptID string,
) (Taken, error) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	wanted := newRecord(key, digest, attemptID, claims.options.Self)
	insert := dogwoodtable.Write{
		Table:   Table,
		Key:     key.row(),
		Value:   wanted.encode(),
		KeepFor: claims.options.KeepFor,
	}
	progress := takeProgress{row: insert.Key, wanted: wanted}
	wait := dogwoodkernel.Backoff{First: minBackoff, Longest: maxBackoff}
	for {
		retryable, err := claims.takeOnce(ctx, insert, &progress)
		if !retryable || wait.Sleep(ctx) != nil {
			return claims.concludeTake(ctx, &progress, err)
		}
	}
}

// takeProgress is the state of one Take.
type takeProgress struct {
	row    string
	wanted record
	taken  Taken
	// uncertain is true once the answer to an insert was lost.
	uncertain bool
	// conflicted is true once an insert failed because the row existed.
	conflicted bool
}

// takeOnce inserts the row once and reads it back on a conflict. It returns retryable if
// the insert or the read must be repeated: the answer was lost, or the read did not show
// the row that the insert conflicted with.
func (claims *Claims) takeOnce(
	ctx context.Context, insert dogwoodtable.Write, progress *takeProgress,
) (retryable bool, err error) {
	version, err := claims.commits.commit(ctx, insert)
	if err == nil {
		claims.hold(progress, version)
		return false, nil
	}
	if dogwoodtable.AsConflict(err) == nil {
		progress.uncertain = progress.uncertain || dogwoodtable.IsUnknown(err)
		return dogwoodtable.IsUnknown(err), err
	}
	progress.conflicted = true
	row, found, err := claims.options.Store.Read(ctx, Table, insert.Key)
	if err != nil {
		return dogwoodtable.IsUnknown(err), err
	}
	if !found {
		// The read was stale, or the holder has just removed the row.
		return true, Error.New("row %s was there and is not", insert.Key)
	}
	present, err := decodeRecord(row.Value)
	if err != nil {
		// A row that can't be decoded is still a claim.
		progress.taken = Taken{Outcome: OutcomeUnknown}
		return false, nil //nolint:nilerr // the outcome reports it
	}
	if present.Try == progress.wanted.Try {
		// The insert took effect, although its answer was lost.
		claims.hold(progress, row.Version)
		return false, nil
	}
	progress.taken = claims.classify(ctx, present, progress.wanted.Digest)
	return false, nil
}

// concludeTake returns the result of a Take. If the attempt won't be sent but its insert may
// have reached the store, or may reach it later, the row is removed in the background;
// otherwise its key would stay blocked.
func (claims *Claims) concludeTake(ctx context.Context, progress *takeProgress, err error) (Taken, error) {
	if progress.taken.Outcome != Fresh && progress.uncertain {
		claims.retries.addFree(progress.row, progress.wanted.Try)
	}
	if progress.taken.Outcome != "" {
		return progress.taken, nil
	}
	known, certain := claims.queryPeers(ctx, RecallQuery{Row: progress.row, Digest: progress.wanted.Digest})
	if known.Outcome != "" {
		return known, nil
	}
	if progress.conflicted && !progress.uncertain {
		// Another attempt's row exists but could not be read. That attempt may have run the
		// call, so "not run" could be wrong.
		return Taken{Outcome: OutcomeUnknown}, nil
	}
	return Taken{}, &Unavailable{Cause: Error.Wrap(err), EarlierUnknown: !certain}
}

// classify returns the outcome for an attempt whose call is claimed by another attempt.
func (claims *Claims) classify(ctx context.Context, present record, digest string) Taken {
	taken := Taken{Holder: present.Holder}
	switch {
	case present.Digest != digest:
		taken.Outcome = Mismatch
	case present.State == stateAnswered:
		taken.Answer = claims.loadAnswer(ctx, present)
		taken.Outcome = Answered
		if taken.Answer == nil {
			taken.Outcome = OutcomeUnknown
		}
	case claims.heldAnswer(present.Try) != nil:
		// This daemon has the answer, but the store does not have it yet.
		taken.Outcome, taken.Answer = Answered, claims.heldAnswer(present.Try)
	case present.Holder == claims.options.Self, claims.options.Alive(present.Holder):
		taken.Outcome = Running
	default:
		taken.Outcome = OutcomeUnknown
	}
	return taken
}

// loadAnswer returns the answer of a record, or nil if the object store can't return it now.
func (claims *Claims) loadAnswer(ctx context.Context, present record) *Answer {
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

// hold records that this daemon holds the claim.
func (claims *Claims) hold(progress *takeProgress, version uint64) {
	progress.taken = Taken{Outcome: Fresh}
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	claims.held[progress.wanted.Try] = &claim{
		version: version, record: progress.wanted, uncertain: progress.uncertain,
	}
	claims.recent.Add(progress.row, progress.wanted)
	claims.history.add(progress.row)
}

func (claims *Claims) heldAnswer(attemptID string) *Answer {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	if held, ok := claims.held[attemptID]; ok {
		return held.record.Answer
	}
	return nil
}

// lookupRecent returns the outcome from this daemon's memory while the store can't be
// queried, so that a caller that resends during an outage does not get "not run" for a call
// that ran.
func (claims *Claims) lookupRecent(row, digest string) (Taken, bool) {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	known, ok := claims.recent.Get(row)
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

// errNotHeld is the error of Finish and Free for an attempt that does not hold its claim.
var errNotHeld = errors.New("this attempt holds no claim")
