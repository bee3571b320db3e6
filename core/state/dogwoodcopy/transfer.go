package dogwoodcopy

import (
	"context"
	"errors"
	"time"

	"dogwoodmux.example/core/dogwoodprogress"
)

// MinTransferStep is the number of bytes that must arrive within a step of a transfer to count as a part of an answer.
const MinTransferStep = 4 << 10

// ErrSilent means that another daemon sent neither an answer in time nor enough parts of one.
var ErrSilent = errors.New("no answer in time")

// Transfer bounds an answer of another daemon, which may contain a large text, by its progress. A limit in total would
// end each transfer of such a text over a narrow link, and each new one begins with the first byte.
type Transfer struct {
	// First is the time within which an answer or a part of one must arrive.
	First time.Duration
	// Step is the time within which each further part must arrive.
	Step time.Duration
	// Patience is the time for which parts of any rate suffice.
	Patience time.Duration
}

// Run makes a call and ends it with ErrSilent if its answer does not arrive. The bytes of the answer are reported to
// the progress in the call's context.
func (transfer Transfer) Run(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, stop := dogwoodprogress.Watch(ctx, dogwoodprogress.Limits{
		First: transfer.First, Step: transfer.Step, StepBytes: MinTransferStep, Patience: transfer.Patience,
	})
	defer stop()
	err := call(ctx)
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, dogwoodprogress.ErrSilent) || errors.Is(cause, dogwoodprogress.ErrSlow)) {
		err = Error.Wrap(ErrSilent)
	}
	return err
}
