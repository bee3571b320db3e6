package dogwoodreader

import (
	"time"

	"dogwoodmux.example/core/state/dogwoodcopy"
)

// Question asks a reader for the changes of a table.
type Question struct {
	Table string
	After int64
}

// Told is a reader's answer.
type Told struct {
	dogwoodcopy.Told
	// Stale means that the reader has not heard from the store lately and tells nothing.
	Stale bool
}

// Receiver returns what other daemons call, to be registered as Name.
func (reader *Reader) Receiver() *Receiver {
	return &Receiver{reader: reader}
}

// Receiver answers other daemons.
type Receiver struct {
	reader *Reader
}

// Changes answers as soon as the table has changed after the version or the store has proved
// it anew, or after holdFor.
func (receiver *Receiver) Changes(question Question, told *Told) error {
	reader := receiver.reader
	clock, table := reader.options.Clock, reader.table(question.Table)
	arrived := clock()
	timer := time.NewTimer(min(holdFor, max(reader.staleIn(question.Table), 0)))
	defer timer.Stop()
	first, _, _ := table.Since(question.After)
	for over := false; ; {
		answer, took, ok := table.Since(question.After)
		if !ok || reader.staleIn(question.Table) <= 0 {
			*told = Told{Stale: true}
			return nil
		}
		if over || answer.Whole || len(answer.Rows) > 0 || answer.Proven > first.Proven {
			*told = Told{Told: dogwoodcopy.Tell(answer, arrived)}
			return nil
		}
		select {
		case <-took:
		case <-timer.C:
			over = true
		}
	}
}
