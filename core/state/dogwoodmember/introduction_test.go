package dogwoodmember

import (
	"net/netip"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Daemons start together. One of them has not read the platform's list yet when another
// introduces itself, and its next tick comes before the first heartbeat. If the tick dropped
// the other daemon, it would wrongly be recorded as lost, and for a day calls that certainly
// were not run would be reported as "outcome unknown".
func TestIntroducedDaemonIsNotDroppedAtOnce(t *testing.T) {
	members := New(Options{Self: Member{VM: "a", Instance: "a.1", Started: time.Now()}})
	other := Member{
		VM: "b", Instance: "b.1", Place: dogwoodfleet.Place{Region: "r"}, Peer: netip.MustParseAddrPort("10.0.0.2:1"), Started: time.Now(),
	}
	members.Introduce(Introduction{Members: []Member{other}})
	now := time.Now()
	members.Tick(now)
	if got := members.Lost(); !got.IsZero() {
		t.Errorf("got a daemon lost at %s, want none", got)
	}
	members.Tick(now.Add(peerTTL + time.Second))
	if got := members.Lost(); got.IsZero() {
		t.Error("got no daemon lost long after, want that it is dropped")
	}
}
