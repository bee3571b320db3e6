// Package dogwoodcopy is a daemon's copy of one table of a store, with as much history as
// it takes to tell others what has changed since they were told last.
//
// Load pattern: a few rows change at a time, and every daemon must know of each within
// moments. If each daemon asks the store for each change, the store is asked as often as
// there are daemons times changes; with a copy a few daemons ask, and tell the others.
package dogwoodcopy

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// mostDeleted is how many deleted rows are remembered: more than a fleet of endpoints
// replaces in the minutes for which a daemon that asks may have been away.
const mostDeleted = 1000

// Row is one row at its last change.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

// Answer is what was told of a table.
type Answer struct {
	// Whole means that Rows are all rows; else they are those that changed.
	Whole bool
	Rows  []Row
	// Version is that of the table as it was told; ask for changes after it.
	Version int64
	// Proven is the moment as of which the answer holds, on a clock that goes on while the
	// machine is suspended.
	Proven time.Duration
}

// Copy is a copy of a table. It is safe for concurrent use.
type Copy struct {
	mutex   sync.Mutex
	rows    map[string]Row // deleted ones too
	deleted int
	// since is the version from which on the changes are complete; -1 before the first answer.
	since   int64
	version int64
	// proven is when the store itself last proved the copy, heard when anyone did.
	proven, heard time.Duration
	direct        bool
	// took is closed at the next answer.
	took chan struct{}
}

// New returns a copy of which nothing is known.
func New() *Copy {
	return &Copy{rows: map[string]Row{}, since: -1, version: -1, took: make(chan struct{})}
}

// Take takes in an answer. Direct means that it came from the store itself: only such an
// answer is a proof that may be passed on, or two daemons could prove to each other what
// neither knows.
func (table *Copy) Take(answer Answer, direct bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if answer.Whole {
		clear(table.rows)
		table.deleted, table.since = 0, answer.Version
	}
	for _, row := range answer.Rows {
		table.put(row)
	}
	if direct {
		table.proven, table.direct = answer.Proven, true
	}
	table.heard = max(table.heard, answer.Proven)
	if answer.Version > table.version || answer.Whole {
		table.version = answer.Version
	}
	if table.deleted > mostDeleted {
		table.forget()
	}
	close(table.took)
	table.took = make(chan struct{})
}

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
	table.rows[row.Key] = row
}

// forget drops all deleted rows: who asks for changes from before is told the whole table.
func (table *Copy) forget() {
	for key, row := range table.rows {
		if row.Deleted {
			delete(table.rows, key)
		}
	}
	table.deleted, table.since = 0, table.version
}

// Since returns what changed after a version, or the whole table where that is not known
// any more, and a channel that is closed at the next answer. It is proven as of the store's
// own last word. It returns false if the store has never proved the copy itself.
func (table *Copy) Since(version int64) (Answer, <-chan struct{}, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	answer := table.after(version)
	answer.Proven = table.proven
	return answer, table.took, table.direct && table.since >= 0
}

// Latest is Since as of the last proof from anyone. It must be told only to daemons that tell
// nobody else, or two could prove to each other what neither knows. It returns false before
// the first answer.
func (table *Copy) Latest(version int64) (Answer, <-chan struct{}, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	answer := table.after(version)
	answer.Proven = table.heard
	return answer, table.took, table.since >= 0
}

// Known returns the version of the copy, -1 before the first answer, and when anyone last
// proved it.
func (table *Copy) Known() (version int64, proven time.Duration) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.version, table.heard
}

// after lists what changed after a version. The caller holds the mutex.
func (table *Copy) after(version int64) Answer {
	answer := Answer{Whole: version < table.since, Version: table.version}
	for _, row := range table.rows {
		if answer.Whole && !row.Deleted || !answer.Whole && row.Version > version {
			answer.Rows = append(answer.Rows, row)
		}
	}
	slices.SortFunc(answer.Rows, func(one, other Row) int { return cmp.Compare(one.Version, other.Version) })
	return answer
}
