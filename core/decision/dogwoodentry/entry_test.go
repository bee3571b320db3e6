package dogwoodentry

import (
	"math/rand/v2"
	"net/netip"
	"testing"

	"dogwoodmux.example/core/dogwoodfleet"
)

func memberOf(port uint16, centre dogwoodfleet.DataCentre, load int) Member {
	return Member{
		Serve: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port),
		Place: dogwoodfleet.Place{Region: "r", DataCentre: centre}, Load: load,
	}
}

func TestChoose(t *testing.T) {
	leaving := memberOf(3, "a", 0)
	leaving.Leaving = true
	members := []Member{memberOf(1, "b", 0), memberOf(2, "a", 0), leaving, memberOf(4, "a", 0), memberOf(5, "c", 0)}
	for range 50 {
		got := Choose(members, dogwoodfleet.Place{Region: "r", DataCentre: "a"}, Addresses, rand.New(rand.NewPCG(1, 1)))
		if len(got) != Addresses {
			t.Fatalf("got %d addresses, want %d", len(got), Addresses)
		}
		for i, address := range got {
			near := address.Port() == 2 || address.Port() == 4
			if address.Port() == 3 || near != (i < 2) {
				t.Fatalf("got %v, want both near ones first and none that leaves", got)
			}
		}
	}
}

// A thousand callers ask between two reports. If all were told the emptiest daemon first
// it would get all of them.
func TestCallersAreSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	members := []Member{memberOf(1, "a", 9), memberOf(2, "a", 9), memberOf(3, "a", 4)}
	first := map[uint16]int{}
	const callers = 4000
	for range callers {
		first[Choose(members, members[0].Place, Addresses, random)[0].Port()]++
	}
	for port, want := range map[uint16]int{1: callers / 4, 2: callers / 4, 3: callers / 2} {
		if got := first[port]; got < want*8/10 || got > want*12/10 {
			t.Errorf("told first %d: got %d of %d, want about %d", port, got, callers, want)
		}
	}
}

// Callers move to a data centre that has one large and one small daemon for them. Each caller
// is told of both and uses them alike, so that the small one got half of all, twice what it
// bears, and its callers waited half a second. It must get as much less as it is smaller.
func TestASmallDaemonGetsItsShare(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	members := []Member{memberOf(1, "a", 0), memberOf(2, "a", 0), memberOf(3, "b", 0), memberOf(4, "b", 0)}
	for i, cores := range []float64{0.8, 0.2, 0.8, 0.8} {
		members[i].Cores = cores
	}
	used := map[uint16]float64{}
	const callers = 4000
	for range callers {
		told := Choose(members, members[0].Place, Addresses, random)
		if len(told) != Addresses || told[0].Port() > 2 {
			t.Fatalf("got %v, want %d addresses, a near one first", told, Addresses)
		}
		for _, address := range told {
			used[address.Port()] += 1.0 / Addresses
		}
	}
	if got := used[2] / used[1]; got < 0.2 || got > 0.35 {
		t.Errorf("got %.2f times as many callers for a quarter of the cores, want about a quarter", got)
	}
}
