package dogwoodreader

import (
	"time"

	"dogwoodmux.example/core/state/dogwoodcopy"
)

// Question is a query to a reader for the changes of a table after a version.
type Query struct {
	Table string
	After int64
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
func (receiver *Receiver) Changes(question Query, told *Told) error {
	reader := receiver.reader
	clock, table := reader.options.Clock, reader.copyOf(question.Table)
	arrived := clock()
	timer := time.NewTimer(min(maxHold, max(reader.freshFor(question.Table), 0)))
	defer timer.Stop()
	first, _, _ := table.Since(question.After)
	for expired := false; ; {
		answer, updated, ok := table.Since(question.After)
		if !ok || reader.freshFor(question.Table) <= 0 {
			*told = Told{Stale: true}
			return nil
		}
		if expired || answer.Whole || len(answer.Rows) > 0 || answer.Proven > first.Proven {
			*told = Told{Told: dogwoodcopy.Tell(answer, arrived)}
			return nil
		}
		select {
		case <-updated:
		case <-timer.C:
			expired = true
		}
	}
}
