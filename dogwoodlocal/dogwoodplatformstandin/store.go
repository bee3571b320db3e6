// Package dogwoodplatformstandin replaces the platform's services in tests and in local
// deployments: tables, objects, the VM list and the weight store, with the faults that the
// real services have. Store holds tables and objects in memory, for calls within a process;
// Platform serves all services over HTTP as docs/PLATFORM.md describes.
package dogwoodplatformstandin

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"dogwoodmux.example/core/state/dogwoodtable"
)

// Error is the class of this package's errors.
var Error = errs.Class("platform stand-in")

// Store is an in-memory table and object service. It has the methods of a client of the
// real service, so that state machines can be tested against it without a network. It is
// safe for concurrent use.
type Store struct {
	mutex        sync.Mutex
	random       *rand.Rand
	version      uint64
	tables       map[string]map[string][]revision // by table and key, oldest first
	objects      map[string][]byte
	faults       Faults
	down         bool
	reads        int
	writes       int
	receivedRows int
}

// revision is one state of a row. Older revisions are kept for stale reads.
type revision struct {
	version uint64
	value   []byte
	deleted bool
	expires time.Time // zero if it never expires
}

// Faults configure which shares of calls, from 0 to 1, go wrong and how long calls take.
type Faults struct {
	// LoseRequests is the share of calls that fail before they begin (Unavailable).
	LoseRequests float64
	// LoseAnswers is the share of calls whose answer is lost (Unknown) after a write took
	// effect.
	LoseAnswers float64
	// LateWrites is the share of calls whose answer is lost (Unknown) while a write takes
	// effect only later, after a random time up to MaxLateness.
	LateWrites  float64
	MaxLateness time.Duration
	// StaleReads is the share of reads that return an older state of the row or table.
	StaleReads float64
	// Delay bounds the duration of a call; each call takes a random time up to it.
	Delay time.Duration
}

// NewStore returns an empty store without faults.
func NewStore(seed uint64) *Store {
	return &Store{
		random:  rand.New(rand.NewPCG(seed, 0)),
		tables:  map[string]map[string][]revision{},
		objects: map[string][]byte{},
	}
}

// SetFaults replaces all faults.
func (store *Store) SetFaults(faults Faults) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.faults = faults
}

// SetDown makes every call fail before it begins (true) or ends the outage (false).
func (store *Store) SetDown(down bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.down = down
}

// Reads returns the number of reads received, also of those that failed.
func (store *Store) Reads() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.reads
}

// Writes returns the number of write calls received and the number of rows in them, also
// of those that failed.
func (store *Store) Writes() (calls, rows int) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.writes, store.receivedRows
}

// Read returns a row and whether it exists.
func (store *Store) Read(ctx context.Context, table, key string) (dogwoodtable.Row, bool, error) {
	stale, err := store.beginRead(ctx)
	if err != nil {
		return dogwoodtable.Row{}, false, err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	found, ok := revisionAt(store.tables[table][key], store.snapshotVersion(stale), time.Now())
	if !ok {
		return dogwoodtable.Row{}, false, nil
	}
	return dogwoodtable.Row{Key: key, Version: found.version, Value: slices.Clone(found.value)}, true, nil
}

// List returns the rows of a range, sorted by key.
func (store *Store) List(ctx context.Context, selection dogwoodtable.Range) ([]dogwoodtable.Row, error) {
	stale, err := store.beginRead(ctx)
	if err != nil {
		return nil, err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	version, now := store.snapshotVersion(stale), time.Now()
	var rows []dogwoodtable.Row
	for key, revisions := range store.tables[selection.Table] {
		if key <= selection.After || (selection.Through != "" && key > selection.Through) {
			continue
		}
		if found, ok := revisionAt(revisions, version, now); ok {
			rows = append(rows, dogwoodtable.Row{Key: key, Version: found.version, Value: slices.Clone(found.value)})
		}
	}
	slices.SortFunc(rows, func(a, b dogwoodtable.Row) int { return strings.Compare(a.Key, b.Key) })
	if selection.Limit > 0 && len(rows) > selection.Limit {
		rows = rows[:selection.Limit]
	}
	return rows, nil
}

// Commit applies all writes or none and returns the new version of each row.
func (store *Store) Commit(ctx context.Context, writes ...dogwoodtable.Write) ([]uint64, error) {
	store.mutex.Lock()
	store.writes++
	store.receivedRows += len(writes)
	outcome, delay, late := store.drawOutcome()
	store.mutex.Unlock()
	if err := sleep(ctx, delay/2); err != nil {
		return nil, &dogwoodtable.Unavailable{Cause: err}
	}
	switch outcome {
	case outcomeUnavailable:
		return nil, &dogwoodtable.Unavailable{Cause: Error.New("down")}
	case outcomeWrittenLate:
		// The write takes effect after the call ended, as that of a delayed packet would.
		time.AfterFunc(late, func() { _, _ = store.apply(writes) })
		return nil, lostAnswer(ctx, delay)
	case outcomeAnswerLost:
		_, _ = store.apply(writes)
		return nil, lostAnswer(ctx, delay)
	case outcomeAnswered:
	}
	versions, err := store.apply(writes)
	if waited := sleep(ctx, delay/2); waited != nil {
		return nil, &dogwoodtable.Unknown{Cause: waited}
	}
	return versions, err
}

// PutObject stores an object.
func (store *Store) PutObject(ctx context.Context, name string, body []byte) error {
	store.mutex.Lock()
	outcome, delay, _ := store.drawOutcome()
	store.mutex.Unlock()
	if err := sleep(ctx, delay); err != nil || outcome == outcomeUnavailable {
		return &dogwoodtable.Unavailable{Cause: Error.New("down")}
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.objects[name] = slices.Clone(body)
	if outcome != outcomeAnswered {
		return &dogwoodtable.Unknown{Cause: Error.New("answer lost")}
	}
	return nil
}

// GetObject returns an object and whether it exists.
func (store *Store) GetObject(ctx context.Context, name string) ([]byte, bool, error) {
	if _, err := store.beginRead(ctx); err != nil {
		return nil, false, err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	body, ok := store.objects[name]
	return slices.Clone(body), ok, nil
}

// outcome is what happens to a call.
type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeUnavailable
	outcomeAnswerLost
	outcomeWrittenLate
)

func (store *Store) drawOutcome() (outcome, time.Duration, time.Duration) {
	var delay, late time.Duration
	if store.faults.Delay > 0 {
		delay = time.Duration(store.random.Int64N(int64(store.faults.Delay)))
	}
	if store.faults.MaxLateness > 0 {
		late = time.Duration(store.random.Int64N(int64(store.faults.MaxLateness)))
	}
	if store.down {
		return outcomeUnavailable, delay, late
	}
	chance := store.random.Float64()
	for _, fault := range []struct {
		share   float64
		outcome outcome
	}{
		{store.faults.LoseRequests, outcomeUnavailable},
		{store.faults.LoseAnswers, outcomeAnswerLost},
		{store.faults.LateWrites, outcomeWrittenLate},
	} {
		if chance < fault.share {
			return fault.outcome, delay, late
		}
		chance -= fault.share
	}
	return outcomeAnswered, delay, late
}

// beginRead delays or fails a read according to the faults, and reports whether the read
// returns a stale state.
func (store *Store) beginRead(ctx context.Context) (stale bool, err error) {
	store.mutex.Lock()
	store.reads++
	outcome, delay, _ := store.drawOutcome()
	stale = store.random.Float64() < store.faults.StaleReads
	store.mutex.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return false, &dogwoodtable.Unavailable{Cause: err}
	}
	if outcome == outcomeUnavailable {
		return false, &dogwoodtable.Unavailable{Cause: Error.New("down")}
	}
	if outcome != outcomeAnswered {
		return false, lostAnswer(ctx, delay)
	}
	return stale, nil
}

// snapshotVersion returns the newest version that a read may see; for a stale read it is a
// random older one.
func (store *Store) snapshotVersion(stale bool) uint64 {
	if !stale || store.version == 0 {
		return store.version
	}
	return store.random.Uint64N(store.version)
}

func revisionAt(revisions []revision, version uint64, now time.Time) (revision, bool) {
	for _, found := range slices.Backward(revisions) {
		if found.version > version {
			continue
		}
		expired := !found.expires.IsZero() && !now.Before(found.expires)
		return found, !found.deleted && !expired
	}
	return revision{}, false
}

func (store *Store) apply(writes []dogwoodtable.Write) ([]uint64, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	now := time.Now()
	var failed []int
	for i, write := range writes {
		current, exists := revisionAt(store.tables[write.Table][write.Key], store.version, now)
		if (write.Version == 0 && exists) || (write.Version != 0 && (!exists || current.version != write.Version)) {
			failed = append(failed, i)
		}
	}
	if len(failed) > 0 {
		return nil, &dogwoodtable.Conflict{Failed: failed}
	}
	versions := make([]uint64, 0, len(writes))
	for _, write := range writes {
		store.version++
		written := revision{version: store.version, value: slices.Clone(write.Value), deleted: write.Delete}
		if write.KeepFor > 0 {
			written.expires = now.Add(write.KeepFor)
		}
		if store.tables[write.Table] == nil {
			store.tables[write.Table] = map[string][]revision{}
		}
		store.tables[write.Table][write.Key] = appendRevision(store.tables[write.Table][write.Key], written)
		versions = append(versions, store.version)
	}
	return versions, nil
}

// maxRevisions bounds the stored revisions of a row, and so the age of stale reads.
const maxRevisions = 8

func appendRevision(revisions []revision, written revision) []revision {
	if len(revisions) >= maxRevisions {
		revisions = slices.Clone(revisions[1:])
	}
	return append(revisions, written)
}

func lostAnswer(ctx context.Context, delay time.Duration) error {
	if err := sleep(ctx, delay); err != nil {
		return &dogwoodtable.Unknown{Cause: err}
	}
	return &dogwoodtable.Unknown{Cause: Error.New("answer lost")}
}

func sleep(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
