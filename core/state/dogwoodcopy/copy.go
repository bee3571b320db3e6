// Package dogwoodcopy holds a daemon's copy of one table of a store, with enough history to
// send other daemons only what has changed since their last query.
//
// Load pattern: a few rows change at a time, and every daemon must learn of each change
// within moments. If every daemon queried the store for each change, the number of queries
// would be the number of daemons times the number of changes. With a copy, a few daemons
// query the store and send the changes to the others.
package dogwoodcopy

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/klauspost/compress/s2"
)

// maxDeletedRows bounds the deleted rows that a copy holds. It is more than the number of
// endpoints that a fleet replaces in the minutes for which a querying daemon may be away.
const maxDeletedRows = 1000

// Row is a row as of its last change.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool
	// Compressed is the compressed value of a row that is on its way to another daemon; Value is then empty.
	Compressed []byte
	// compressed returns the compressed value, which is computed once; nil if the value is small.
	compressed func() []byte
}

// Answer is the answer to a query for a table or its changes.
type Answer struct {
	// Whole is true if Rows are all rows of the table; otherwise they are the changed ones.
	Whole bool
	Rows  []Row
	// Version is the version of the table in this answer; the next query is for changes
	// after it.
	Version int64
	// Base is the version after which Rows are the changes; it has no meaning for whole answers.
	Base int64
	// Proven is the time as of which the answer is confirmed to be current, on a clock that
	// also advances while the machine is suspended.
	Proven time.Duration
}

// Copy is a copy of a table. It is safe for concurrent use.
type Copy struct {
	mutex   sync.Mutex
	rows    map[string]Row // includes deleted rows
	deleted int
	// historyStart is the version after which all changes are known; -1 before the first answer.
	historyStart int64
	version      int64
	// storeConfirmed is the time as of which the store itself last confirmed the copy,
	// lastConfirmed the latest time as of which the store or a peer did.
	storeConfirmed, lastConfirmed time.Duration
	hasStoreAnswer                bool
	// updated is closed at the next answer.
	updated chan struct{}
}

// New returns an empty copy of a table whose rows are not known yet.
func New() *Copy {
	return &Copy{rows: map[string]Row{}, historyStart: -1, version: -1, updated: make(chan struct{})}
}

// Apply applies an answer. If fromStore is true, it came from the store itself. Only such an
// answer is a confirmation that may be forwarded; otherwise two daemons could confirm to each
// other what neither has learned from the store.
func (table *Copy) Apply(answer Answer, fromStore bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if !answer.Whole && answer.Base > max(table.version, 0) {
		// The table was replaced by an older one since the query, so that changes before these are missing. If the answer counted,
		// the old rows would be confirmed as the new version.
		return
	}
	if answer.Whole {
		clear(table.rows)
		table.deleted, table.historyStart = 0, answer.Version
	}
	for _, row := range answer.Rows {
		if answer.Whole || row.Version > table.historyStart { // an older row that is missing was deleted
			table.put(row)
		}
	}
	if fromStore {
		table.storeConfirmed, table.hasStoreAnswer = answer.Proven, true
	}
	if answer.Whole && answer.Version < table.version {
		// A read that took long returns an older table than a peer has told meanwhile. Only the peer's was confirmed since.
		table.lastConfirmed = answer.Proven
	} else {
		table.lastConfirmed = max(table.lastConfirmed, answer.Proven)
	}
	if answer.Version > table.version || answer.Whole {
		table.version = answer.Version
	}
	if table.deleted > maxDeletedRows {
		table.dropDeleted()
	}
	close(table.updated)
	table.updated = make(chan struct{})
}

// put stores a row unless a later version of it is known. The caller holds the mutex.
func (table *Copy) put(row Row) {
	before, known := table.rows[row.Key]
	if known && before.Version > row.Version {
		return
	}
	if known && before.Deleted {
		table.deleted--
	}
	if row.Deleted {
		table.deleted++
	}
	if value := row.Value; len(value) >= minCompressedBytes {
		row.compressed = sync.OnceValue(func() []byte { return s2.Encode(nil, value) })
	}
	table.rows[row.Key] = row
}

// dropDeleted drops all deleted rows. Queries for changes after an older version then get the
// whole table. The caller holds the mutex.
func (table *Copy) dropDeleted() {
	for key, row := range table.rows {
		if row.Deleted {
			delete(table.rows, key)
		}
	}
	table.deleted, table.historyStart = 0, table.version
}

// Since returns the changes after a version, or the whole table if these are no longer known,
// and a channel that is closed at the next answer. The returned answer is confirmed as of the last
// answer from the store itself. Since returns false if the store itself has never confirmed the
// copy.
func (table *Copy) Since(version int64) (Answer, <-chan struct{}, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	answer := table.changesAfter(version)
	answer.Proven = table.storeConfirmed
	return answer, table.updated, table.hasStoreAnswer && table.historyStart >= 0
}

// Latest is like Since, but the returned answer is confirmed as of the last answer from the store
// or a peer. It must be sent only to daemons that don't forward it; otherwise two daemons could
// confirm to each other what neither has learned from the store. Latest returns false before the
// first answer.
func (table *Copy) Latest(version int64) (Answer, <-chan struct{}, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	answer := table.changesAfter(version)
	answer.Proven = table.lastConfirmed
	return answer, table.updated, table.historyStart >= 0
}

// Known returns the version of the copy, -1 before the first answer, and the time as of which
// the store or a peer last confirmed it.
func (table *Copy) Known() (version int64, confirmed time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.version, table.lastConfirmed
}

// changesAfter returns the changes after a version, or the whole table if these are no longer
// known. The caller holds the mutex.
func (table *Copy) changesAfter(version int64) Answer {
	answer := Answer{Whole: version < table.historyStart, Version: table.version}
	for _, row := range table.rows {
		if answer.Whole && !row.Deleted || !answer.Whole && row.Version > version {
			answer.Rows = append(answer.Rows, row)
		}
	}
	slices.SortFunc(answer.Rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	return answer
}
