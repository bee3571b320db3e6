package dogwoodkernel

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits, and returns false if the context ended before the time was over.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Jittered spreads a wait by half both ways, so that those who begin to wait together don't
// end together.
func Jittered(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}

// Backoff waits longer after each failure, by chance, so that writers that met each other
// do not meet again.
type Backoff struct {
	// First and Longest are mean waits.
	First, Longest time.Duration
	next           time.Duration
}

// Sleep waits, or returns the context's error when it ends first.
func (backoff *Backoff) Sleep(ctx context.Context) error {
	if backoff.next == 0 {
		backoff.next = backoff.First
	}
	wait := Jittered(backoff.next)
	backoff.next = min(2*backoff.next, backoff.Longest)
	if !Sleep(ctx, wait) {
		return ctx.Err()
	}
	return nil
}

// Reset has the next wait be the first again.
func (backoff *Backoff) Reset() {
	backoff.next = 0
}
