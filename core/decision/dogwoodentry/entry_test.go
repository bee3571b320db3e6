package dogwoodentry

import (
	"math/rand/v2"
	"net/netip"
	"testing"

	"dogwoodmux.example/core/dogwoodfleet"
)

func newMember(port uint16, dataCentre dogwoodfleet.DataCentre, load int) Member {
	return Member{
		Serve: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port),
		Place: dogwoodfleet.Place{Region: "r", DataCentre: dataCentre}, Load: load,
	}
}

func TestChoose(t *testing.T) {
	leaving := newMember(3, "a", 0)
	leaving.Leaving = true
	members := []Member{newMember(1, "b", 0), newMember(2, "a", 0), leaving, newMember(4, "a", 0), newMember(5, "c", 0)}
	for range 50 {
		got := Choose(members, dogwoodfleet.Place{Region: "r", DataCentre: "a"}, Addresses, rand.New(rand.NewPCG(1, 1)))
		if len(got) != Addresses {
			t.Fatalf("got %d addresses, want %d", len(got), Addresses)
		}
		for i, address := range got {
			near := address.Port() == 2 || address.Port() == 4
			if address.Port() == 3 || near != (i < 2) {
				t.Fatalf("got %v, want both near members first and none that is leaving", got)
			}
		}
	}
}

// If all callers that ask between two load reports got the least loaded daemon's address first,
// that daemon would get all of them.
func TestCallersAreSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	members := []Member{newMember(1, "a", 9), newMember(2, "a", 9), newMember(3, "a", 4)}
	first := map[uint16]int{}
	const callers = 4000
	for range callers {
		first[Choose(members, members[0].Place, Addresses, random)[0].Port()]++
	}
	for port, want := range map[uint16]int{1: callers / 4, 2: callers / 4, 3: callers / 2} {
		if got := first[port]; got < want*8/10 || got > want*12/10 {
			t.Errorf("port %d as first address: got %d of %d callers, want about %d", port, got, callers, want)
		}
	}
}

// Callers move to a data centre with one large and one small daemon. When every caller got both
// addresses and used them evenly, the small daemon received half of the requests, twice what it
// can handle, and its callers waited half a second. It must get a share proportional to its size.
func TestSmallDaemonGetsProportionalShare(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	members := []Member{newMember(1, "a", 0), newMember(2, "a", 0), newMember(3, "b", 0), newMember(4, "b", 0)}
	for i, cores := range []float64{0.8, 0.2, 0.8, 0.8} {
		members[i].Cores = cores
	}
	used := map[uint16]float64{}
	const callers = 4000
	for range callers {
		addresses := Choose(members, members[0].Place, Addresses, random)
		if len(addresses) != Addresses || addresses[0].Port() > 2 {
			t.Fatalf("got %v, want %d addresses, a near one first", addresses, Addresses)
		}
		for _, address := range addresses {
			used[address.Port()] += 1.0 / Addresses
		}
	}
	if got := used[2] / used[1]; got < 0.2 || got > 0.35 {
		t.Errorf("got %.2f times as many callers for a quarter of the cores, want about a quarter", got)
	}
}

// The store is away and no daemon may serve keyed requests. Callers that were given no address could not connect,
// and asked again only seconds after the store was back. They must get the daemons that are alive, none that is
// leaving, and none of these while another one is ready.
func TestCallersGetUnreadyDaemonsIfNoneIsReady(t *testing.T) {
	unready, leaving := newMember(1, "a", 0), newMember(2, "a", 0)
	unready.Unready, leaving.Leaving = true, true
	tests := []struct {
		name    string
		members []Member
		want    uint16
	}{
		{"none is ready", []Member{unready, leaving}, 1},
		{"a remote one is ready", []Member{unready, leaving, newMember(3, "b", 0)}, 3},
	}
	for _, test := range tests {
		got := Choose(test.members, unready.Place, Addresses, rand.New(rand.NewPCG(1, 1)))
		if len(got) != 1 || got[0].Port() != test.want {
			t.Errorf("%s: got %v, want port %d alone", test.name, got, test.want)
		}
	}
}
