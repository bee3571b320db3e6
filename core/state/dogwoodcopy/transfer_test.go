package dogwoodcopy

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a large text that is transferred from the beginning again and again because the answer with it takes
// longer than one without, and against another daemon that is silent or slow and is noticed late.
func TestTransferEndsWithoutProgress(t *testing.T) {
	const rate = 100 << 10 // bytes a second
	tests := []struct {
		name     string
		patience time.Duration
		rate     float64 // bytes a second
		// The answer takes a time, and its parts stop arriving after stopped; 0 for never.
		takes, stopped time.Duration
		want           error
		wantAfter      time.Duration
	}{
		{name: "small", takes: 700 * time.Millisecond, wantAfter: 700 * time.Millisecond},
		{name: "large", rate: rate, takes: 20 * time.Second, wantAfter: 20 * time.Second},
		{name: "silent", takes: time.Minute, want: ErrSilent, wantAfter: 800 * time.Millisecond},
		{name: "silent in the middle", rate: rate, takes: time.Minute, stopped: 2 * time.Second, want: ErrSilent, wantAfter: 2400 * time.Millisecond},
		{name: "slow", rate: rate / 4, takes: time.Minute, want: ErrSilent, wantAfter: 2 * time.Second},
		{name: "slow with patience", rate: rate / 4, patience: 8 * time.Second, takes: 7 * time.Second, wantAfter: 7 * time.Second},
		{name: "slow beyond patience", rate: rate / 4, patience: 8 * time.Second, takes: time.Minute, want: ErrSilent, wantAfter: 8400 * time.Millisecond},
		{name: "endless", rate: rate, takes: time.Minute, want: ErrSilent, wantAfter: 30400 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				received := func() uint64 {
					passed := time.Since(begun)
					if test.stopped > 0 {
						passed = min(passed, test.stopped)
					}
					return uint64(test.rate * passed.Seconds())
				}
				transfer := Transfer{First: 800 * time.Millisecond, Step: 400 * time.Millisecond, Patience: test.patience}
				err := transfer.Run(t.Context(), received, func(ctx context.Context) error {
					select {
					case <-time.After(test.takes):
						return nil
					case <-ctx.Done():
						return ctx.Err()
					}
				})
				if got := time.Since(begun); !errors.Is(err, test.want) || got != test.wantAfter {
					t.Errorf("got %v after %s, want %v after %s", err, got, test.want, test.wantAfter)
				}
			})
		})
	}
}
