package dogwoodkernel

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for the duration. It returns false if the context ends first.
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

// Jittered returns a random duration between half and one and a half times the mean, so that
// waits that start together end at different times.
func Jittered(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}

// Backoff is an exponential backoff with jitter, so that callers that fail together retry at
// different times.
type Backoff struct {
	// First is the mean of the first wait, and Longest is the largest mean of any wait.
	First, Longest time.Duration
	nextMean       time.Duration
}

// Sleep waits and doubles the next mean wait. It returns the context's error if the context
// ends first.
func (backoff *Backoff) Sleep(ctx context.Context) error {
	if backoff.nextMean == 0 {
		backoff.nextMean = backoff.First
	}
	wait := Jittered(backoff.nextMean)
	backoff.nextMean = min(2*backoff.nextMean, backoff.Longest)
	if !Sleep(ctx, wait) {
		return ctx.Err()
	}
	return nil
}

// Reset sets the mean of the next wait to First.
func (backoff *Backoff) Reset() {
	backoff.nextMean = 0
}
