package dogwoodcopy

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/dogwoodprogress"
)

// Guards against a large text that is transferred from the beginning again and again because the answer with it takes
// longer than one without, and against another daemon that is silent or slow and is noticed late.
func TestTransferEndsWithoutProgress(t *testing.T) {
	const (
		rate = 100 << 10 // bytes a second
		part = 10 * time.Millisecond
	)
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
		{name: "slow", rate: rate / 4, takes: time.Minute, want: ErrSilent, wantAfter: 1210 * time.Millisecond},
		{name: "slow with patience", rate: rate / 4, patience: 8 * time.Second, takes: 7 * time.Second, wantAfter: 7 * time.Second},
		{name: "slow beyond patience", rate: rate / 4, patience: 8 * time.Second, takes: time.Minute, want: ErrSilent, wantAfter: 8410 * time.Millisecond},
		{name: "endless", rate: rate, takes: time.Minute, want: ErrSilent, wantAfter: 30 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				transfer := Transfer{First: 800 * time.Millisecond, Step: 400 * time.Millisecond, Patience: test.patience}
				err := transfer.Run(t.Context(), func(ctx context.Context) error {
					for time.Since(begun) < test.takes {
						select {
						case <-time.After(part):
						case <-ctx.Done():
							return ctx.Err()
						}
						if test.rate > 0 && (test.stopped == 0 || time.Since(begun) <= test.stopped) {
							dogwoodprogress.FromContext(ctx).Received(int(test.rate * part.Seconds()))
						}
					}
					return nil
				})
				if got := time.Since(begun); !errors.Is(err, test.want) || got != test.wantAfter {
					t.Errorf("got %v after %s, want %v after %s", err, got, test.want, test.wantAfter)
				}
			})
		})
	}
}
