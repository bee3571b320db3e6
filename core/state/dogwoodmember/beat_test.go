package dogwoodmember

import (
	"net/netip"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// After a power failure all daemons start. A daemon that is up a moment before another gets no answer at
// the listed address. If it probed again only after seconds, it would consider the other missing in the
// meantime, promote leaves to hubs in its place, and place requests without knowing its work.
func TestStartingDaemonProbesOthersAgainSoon(t *testing.T) {
	place := dogwoodfleet.Place{Region: "r", DataCentre: "a"}
	members := New(Options{Self: Member{VM: "one", Place: place}})
	members.SetListed([]dogwoodfleet.ListedVM{
		{Name: "one", Place: place, Peer: netip.MustParseAddrPort("10.0.0.1:1")},
		{Name: "other", Place: place, Peer: netip.MustParseAddrPort("10.0.0.2:1")},
	})
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	countProbes := func(from, until time.Duration) int {
		count := 0
		for at := from; at < until; at += HeartbeatInterval {
			_, targets := members.NextHeartbeat(start.Add(at))
			count += len(targets)
		}
		return count
	}
	if got, want := countProbes(0, time.Second), 2; got != want {
		t.Errorf("got %d probes in the first second, want %d, one per heartbeat", got, want)
	}
	countProbes(time.Second, 10*time.Second)
	// A daemon that never answers must cost little while it is listed.
	if got, want := countProbes(10*time.Second, 30*time.Second), 10; got > want {
		t.Errorf("got %d probes in twenty seconds, want %d at most", got, want)
	}
}
