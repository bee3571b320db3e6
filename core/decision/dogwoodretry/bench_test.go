package dogwoodretry

import (
	"testing"
	"time"
)

// newBusyBudget returns a budget whose ledger holds windows of first tries and retries.
func newBusyBudget(now time.Time) (*SharedBudget, time.Time) {
	shared := newOldBudget(now, 0.2, 10)
	for number := range 4000 {
		now = now.Add(5 * time.Millisecond)
		shared.First(now, "s")
		if number%7 == 0 {
			shared.Take(now, "s").Send(now)
		}
	}
	return shared, now
}

// The figures of First and Take stand in docs/design/dogwoodretry.md: each request of a daemon costs one of First.
func BenchmarkFirst(b *testing.B) {
	shared, now := newBusyBudget(time.Now())
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		shared.First(now, "s")
	}
}

func BenchmarkTake(b *testing.B) {
	shared, now := newBusyBudget(time.Now())
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		shared.Take(now, "s").Return()
	}
}
