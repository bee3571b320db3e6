package dogwoodreader

import (
	"time"

	"dogwoodmux.example/core/state/dogwoodcopy"
)

// Query is a query to a reader for the changes of a table after a version.
type Query struct {
	Table string
	After int64
	// Compressed allows the answer to contain compressed values.
	Compressed bool
}

// Told is a reader's answer.
type Told struct {
	dogwoodcopy.Told
	// Stale is true if the reader has no recent answer from the store; the answer is then empty.
	Stale bool
}

// Receiver returns the RPC receiver that other daemons call; register it as Name.
func (reader *Reader) Receiver() *Receiver {
	return &Receiver{reader: reader}
}

// Receiver answers the queries of other daemons.
type Receiver struct {
	reader *Reader
}

// Changes answers as soon as the table has changed after the version or the store has confirmed
// it again, and after maxHold at the latest.
func (receiver *Receiver) Changes(query Query, told *Told) error {
	reader := receiver.reader
	clock, table := reader.options.Clock, reader.copyOf(query.Table)
	arrived := clock()
	timer := time.NewTimer(min(maxHold, max(reader.freshFor(query.Table), 0)))
	defer timer.Stop()
	first, _, _ := table.Since(query.After)
	for expired := false; ; {
		answer, updated, ok := table.Since(query.After)
		if !ok || reader.freshFor(query.Table) <= 0 {
			*told = Told{Stale: true}
			return nil
		}
		if expired || answer.Whole || len(answer.Rows) > 0 || answer.Proven > first.Proven {
			*told = Told{Told: dogwoodcopy.Tell(answer, arrived, query.Compressed)}
			return nil
		}
		select {
		case <-updated:
		case <-timer.C:
			expired = true
		}
	}
}
