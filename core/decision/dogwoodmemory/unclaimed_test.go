package dogwoodmemory

import (
	"testing"
	"time"
)

// Guards against holding the memory of a long request for too long. The daemon that fails was both
// the entry daemon of a million-token request and the owner of one of its engines, so the engine's
// new owner finds a stream that no daemon announces. The new owner must wait for the announcement
// while the holder may be alive, but only as long as for an expired lease once the holder is known
// to be dead.
func TestStreamOfDeadHolderIsCancelledSooner(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	tests := []struct {
		name       string
		holderGone bool
		after      time.Duration
		want       int
	}{
		{"holder may be alive, after ExpiryGrace", false, ExpiryGrace, 0},
		{"holder may be alive, after UnclaimedGrace", false, UnclaimedGrace, 1},
		{"holder is dead, after ExpiryGrace", true, ExpiryGrace, 1},
		{"holder is dead, before ExpiryGrace", true, ExpiryGrace - time.Second, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ledger := New()
			report := Report{
				Asked: start, Instance: "engine-1.a", MemoryTokens: 400_000,
				Listed: []Listed{{Request: "entry-1.a-7", Tokens: 340_000, HolderGone: test.holderGone}},
			}
			ledger.Reconcile(report, start)
			report.Asked = start.Add(test.after)
			if got := len(ledger.Reconcile(report, report.Asked)); got != test.want {
				t.Errorf("got %d orphans after %s, want %d", got, test.after, test.want)
			}
		})
	}
}
