package dogwoodprogress

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a rule that ends an answer that arrives, or notices late that one does not.
func TestCallEndsWithoutProgress(t *testing.T) {
	const tick = 100 * time.Millisecond
	store := Limits{First: 2200 * time.Millisecond, Step: 1200 * time.Millisecond, StepBytes: 1}
	hub := Limits{First: 1600 * time.Millisecond, Step: 400 * time.Millisecond, StepBytes: 4 << 10, Patience: 8 * time.Second}
	tests := []struct {
		name   string
		limits Limits
		// received returns how many bytes arrive at a tick, the first of which is at 100 ms.
		received func(at time.Duration) int
		// postponed is the time in which another answer arrived.
		postponed time.Duration
		want      error
		wantAfter time.Duration
	}{
		{name: "nothing", limits: store, received: func(time.Duration) int { return 0 }, want: ErrSilent, wantAfter: 2200 * time.Millisecond},
		{
			name: "nothing behind another answer", limits: store, received: func(time.Duration) int { return 0 }, postponed: 3 * time.Second,
			want: ErrSilent, wantAfter: 5200 * time.Millisecond,
		},
		{name: "a byte at a time", limits: store, received: func(time.Duration) int { return 1 }, want: ErrSlow, wantAfter: 1300 * time.Millisecond},
		{name: "too few bytes", limits: store, received: func(time.Duration) int { return 6_000 }, want: ErrSlow, wantAfter: 1300 * time.Millisecond},
		{name: "enough bytes", limits: store, received: func(time.Duration) int { return 8_000 }, want: ErrSlow, wantAfter: maxDuration},
		{name: "a pause of 1.1 s", limits: store, received: func(at time.Duration) int {
			if at == tick || at == 1200*time.Millisecond {
				return 100_000
			}
			return 0
		}, want: ErrSilent, wantAfter: 2400 * time.Millisecond},
		{name: "bytes from a hub at any rate", limits: hub, received: func(time.Duration) int { return 2_048 }, want: ErrSlow, wantAfter: 8500 * time.Millisecond},
		{name: "too few bytes in a step from a hub", limits: hub, received: func(time.Duration) int { return 800 }, want: ErrSilent, wantAfter: 500 * time.Millisecond},
		{name: "enough bytes from a hub", limits: hub, received: func(time.Duration) int { return 8_000 }, want: ErrSlow, wantAfter: maxDuration},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				ctx, stop := Watch(t.Context(), test.limits)
				defer stop()
				if test.postponed > 0 {
					FromContext(ctx).Postpone(test.postponed)
				}
				for ctx.Err() == nil && time.Since(begun) < time.Minute {
					select {
					case <-time.After(tick):
						if count := test.received(time.Since(begun)); count > 0 {
							FromContext(ctx).Received(count)
							FromContext(ctx).Postpone(time.Minute) // has no effect on an answer that has begun
						}
					case <-ctx.Done():
					}
				}
				if got := time.Since(begun); !errors.Is(context.Cause(ctx), test.want) || got != test.wantAfter {
					t.Errorf("got %v after %s, want %v after %s", context.Cause(ctx), got, test.want, test.wantAfter)
				}
			})
		})
	}
}
