// Package dogwoodring provides bounded queues between goroutines.
package dogwoodring

import (
	"context"
	"expvar"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("ring")

// WhenFull is what a ring does with a value that is added when it is full.
type WhenFull int

// The behaviors of a full ring.
const (
	// Reject keeps the queued values and rejects the new one; Put returns false.
	Reject WhenFull = iota
	// DropOldest drops the value queued longest.
	DropOldest
	// Wait blocks the writer until there is room. Use it only with PutWait.
	Wait
)

// ringsFull counts, by the ring's name, the values that were rejected, dropped or delayed.
var ringsFull = expvar.NewMap("RingsFull")

// Ring is a bounded queue between goroutines. Without a bound, a burst that is faster than the
// reader would grow the queue until the process runs out of memory. A full ring rejects new
// values, drops the oldest or blocks the writer, as set in New, and counts this in RingsFull.
type Ring[T any] struct {
	name     string
	values   chan T
	whenFull WhenFull
}

// New returns an empty ring that holds up to size values. RingsFull counts under its name.
func New[T any](name string, size int, whenFull WhenFull) *Ring[T] {
	return &Ring[T]{name: name, values: make(chan T, size), whenFull: whenFull}
}

// Put adds a value without blocking. It returns false if the value was rejected.
func (ring *Ring[T]) Put(value T) bool {
	for {
		select {
		case ring.values <- value:
			return true
		default:
		}
		ringsFull.Add(ring.name, 1)
		if ring.whenFull != DropOldest {
			return false
		}
		select {
		case <-ring.values:
		default:
		}
	}
}

// PutWait adds a value. If the ring is full, it waits for room until the context ends.
func (ring *Ring[T]) PutWait(ctx context.Context, value T) error {
	if ring.Put(value) {
		return nil
	}
	select {
	case ring.values <- value:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Close closes the channel that Values returns. Only the single writer of a ring may call it.
func (ring *Ring[T]) Close() {
	close(ring.values)
}

// Take removes and returns a value. It waits for one until the context ends.
func (ring *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case value := <-ring.values:
		return value, nil
	case <-ctx.Done():
		var zero T
		return zero, Error.Wrap(ctx.Err())
	}
}

// Values returns the ring's channel, for a reader that selects on several channels.
func (ring *Ring[T]) Values() <-chan T {
	return ring.values
}

// Len returns the number of queued values.
func (ring *Ring[T]) Len() int {
	return len(ring.values)
}
