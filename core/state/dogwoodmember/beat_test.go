package dogwoodmember

import (
	"net/netip"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Power comes back everywhere. A daemon that is up a moment before another finds nobody at the address
// that is listed. If it tries again only after seconds, it takes the other for missing meanwhile, has
// leaves become hubs in its place, and places requests without knowing of its work.
func TestADaemonThatStartsWithOthersTriesThemAgainSoon(t *testing.T) {
	place := dogwoodfleet.Place{Region: "r", DataCentre: "a"}
	members := New(Options{Self: Member{VM: "one", Place: place}})
	members.SetListed([]dogwoodfleet.ListedVM{
		{Name: "one", Place: place, Peer: netip.MustParseAddrPort("10.0.0.1:1")},
		{Name: "other", Place: place, Peer: netip.MustParseAddrPort("10.0.0.2:1")},
	})
	begun := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	tries := func(from, until time.Duration) int {
		count := 0
		for at := from; at < until; at += BeatEvery {
			_, targets := members.NextBeat(begun.Add(at))
			count += len(targets)
		}
		return count
	}
	if got, want := tries(0, time.Second), 2; got != want {
		t.Errorf("got %d tries in the first second, want %d, one a beat", got, want)
	}
	tries(time.Second, 10*time.Second)
	// One that never answers costs little for as long as it is listed.
	if got, want := tries(10*time.Second, 30*time.Second), 10; got > want {
		t.Errorf("got %d tries in twenty seconds, want %d at most", got, want)
	}
}
