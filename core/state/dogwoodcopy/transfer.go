package dogwoodcopy

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/dogwoodkernel"
)

const (
	// MinTransferStep is the number of bytes that must arrive within a step of a transfer to count as a part of an
	// answer. It is more than the answers to pings and heartbeats.
	MinTransferStep = 4 << 10
	// minBytesPerSecond is the rate below which a transfer takes too long to be worth the wait, as for the store's
	// own answers.
	minBytesPerSecond = 64 << 10
	// rateSteps is the number of steps over which the rate is measured.
	rateSteps = 3
	// maxTransfer bounds a transfer at any rate.
	maxTransfer = 30 * time.Second
)

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

// Run makes a call and ends it with ErrSilent if its answer does not arrive. received returns the bytes that
// have arrived from the called daemon.
func (transfer Transfer) Run(ctx context.Context, received func() uint64, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	var group errgroup.Group
	group.Go(func() error {
		if transfer.awaitSilence(ctx, received) {
			cancel(ErrSilent)
		}
		return nil
	})
	err := call(ctx)
	if err != nil && errors.Is(context.Cause(ctx), ErrSilent) {
		err = Error.Wrap(ErrSilent)
	}
	cancel(nil)
	_ = group.Wait() // the wait returns no error
	return err
}

// awaitSilence waits until the answer does not arrive. It returns false if the context ends before.
func (transfer Transfer) awaitSilence(ctx context.Context, received func() uint64) bool {
	begun, before := time.Now(), received()
	var latest [rateSteps]uint64 // what had arrived at the end of each of the latest steps
	rateBytes := uint64(minBytesPerSecond * (rateSteps * transfer.Step).Seconds())
	limit := transfer.First
	for steps := 0; dogwoodkernel.Sleep(ctx, limit); steps++ {
		now, taken := received(), time.Since(begun)
		isSlow := taken > transfer.Patience && steps >= rateSteps && now < latest[steps%rateSteps]+rateBytes
		if now < before+MinTransferStep || isSlow || taken > maxTransfer {
			return true
		}
		before, latest[steps%rateSteps], limit = now, now, transfer.Step
	}
	return false
}
