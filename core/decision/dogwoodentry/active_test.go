package dogwoodentry

import (
	"math"
	"net/netip"
	"testing"

	"dogwoodmux.example/core/dogwoodfleet"
)

// fleetOf returns daemons in three data centres: in each two of 0.8 cores, the others of
// 0.192.
func fleetOf(perCentre int) []Member {
	var members []Member
	for c, centre := range []dogwoodfleet.DataCentre{"a", "b", "c"} {
		for i := range perCentre {
			member := memberOf(uint16(1000*(c+1)+i), centre, 0)
			member.Cores = 0.192
			if i < 2 {
				member.Cores = 0.8
			}
			members = append(members, member)
		}
	}
	return members
}

func countByCentre(members []Member, active map[netip.AddrPort]bool) (byCentre map[dogwoodfleet.DataCentre]int, cores float64) {
	byCentre = map[dogwoodfleet.DataCentre]int{}
	for _, member := range members {
		if active[member.Serve] {
			byCentre[member.Place.DataCentre]++
			cores += member.Cores
		}
	}
	return byCentre, cores
}

// Sixty daemons each told every other of two requests a second; announcements took more
// processor than the requests, and small VMs fell behind with them.
func TestAsManyDaemonsTakeCallersAsTheirRequestsNeed(t *testing.T) {
	tests := []struct {
		name      string
		perCentre int
		rate      float64
		want      int // in each data centre
	}{
		{name: "a small fleet, all", perCentre: 3, rate: 60, want: 3},
		{name: "as many as the fewest, all", perCentre: 4, rate: 0, want: 4},
		{name: "idle, the large ones", perCentre: 20, rate: 0, want: 2},
		{name: "as much as the large ones bear", perCentre: 20, rate: 290, want: 2},
		{name: "a little more, a small one besides", perCentre: 20, rate: 310, want: 3},
		{name: "more than all bear", perCentre: 20, rate: 10_000, want: 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			members := fleetOf(test.perCentre)
			active := Active(members, test.rate)
			byCentre, cores := countByCentre(members, active)
			for _, centre := range []dogwoodfleet.DataCentre{"a", "b", "c"} {
				if got := byCentre[centre]; got != test.want {
					t.Errorf("data centre %s: got %d active, want %d", centre, got, test.want)
				}
			}
			needed := math.Min(test.rate*coresPerRequest/aimedUse, float64(3*test.perCentre-6)*0.192+4.8)
			if cores < needed-1e-9 {
				t.Errorf("got %.2f cores, want at least %.2f", cores, needed)
			}
			if got := active[members[0].Serve]; !got {
				t.Error("got a large daemon that is not active, want the largest first")
			}
		})
	}
}

// A data centre is lost and the large daemons of another one shut down. The same number of
// daemons must take callers as before, of those that are left.
func TestOthersTakeOverForDaemonsThatAreMissing(t *testing.T) {
	var left []Member
	for i, member := range fleetOf(20) {
		if member.Place.DataCentre == "c" {
			continue
		}
		member.Leaving = member.Place.DataCentre == "b" && i%20 < 2
		left = append(left, member)
	}
	active := Active(left, 100)
	byCentre, _ := countByCentre(left, active)
	// In a the two large ones count as four, in b all are small.
	if got, want := byCentre["b"], fewestActive/2; got != want || byCentre["a"] != want-2 {
		t.Errorf("got %v active, want %d in b and %d in a", byCentre, want, want-2)
	}
	for _, member := range left {
		if member.Leaving && active[member.Serve] {
			t.Error("got a daemon that leaves, want none")
		}
	}
}

// Daemons list each other in another order, and must choose alike.
func TestAllDaemonsChooseTheSame(t *testing.T) {
	members := fleetOf(20)
	want := Active(members, 150)
	reversed := make([]Member, 0, len(members))
	for i := range members {
		reversed = append(reversed, members[len(members)-1-i])
	}
	got := Active(reversed, 150)
	for address := range want {
		if !got[address] {
			t.Errorf("got that %s is not active, want the same daemons in any order", address)
		}
	}
}

// Sixty daemons each asked the store, which is paid for by the call. Two in each data centre
// must do so, each as many others asking it, and a daemon that is alone asks the store.
func TestAFewDaemonsReadTheStore(t *testing.T) {
	members := fleetOf(20)
	asked := map[netip.AddrPort]int{}
	direct := 0
	for _, member := range members {
		readers := Readers(members, member.Serve, member.Place)
		if len(readers) == 0 {
			direct++
			continue
		}
		if got, want := len(readers), 3*readersInCentre; got != want {
			t.Fatalf("got %d readers, want %d", got, want)
		}
		asked[readers[0]]++
	}
	if got, want := direct, 3*readersInCentre; got != want {
		t.Errorf("got %d daemons that read the store, want %d", got, want)
	}
	for reader, count := range asked {
		if most := 16; count > most {
			t.Errorf("got %d daemons that ask %s, want at most %d", count, reader, most)
		}
	}
	small := fleetOf(4)
	if got := Readers(small, small[0].Serve, small[0].Place); len(got) != 0 {
		t.Errorf("got readers %v in a small fleet, want none", got)
	}
}

// Engines fail, and six daemons of sixty have nearly all requests. They must be able to try
// again most of what all may together, and the parts of all daemons must never add up to more.
func TestPartsOfAnAllowanceAddUpToNoMore(t *testing.T) {
	tests := []struct {
		name            string
		daemons, active int
		wantActive      int
	}{
		{name: "all are active", daemons: 8, active: 8, wantActive: 8},
		{name: "none known", daemons: 8, active: 0, wantActive: 8},
		{name: "few of many", daemons: 61, active: 6, wantActive: 8},
		{name: "most", daemons: 20, active: 19, wantActive: 24},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Sharers(test.daemons, test.active, true); got != test.wantActive {
				t.Errorf("got a part of 1/%d for an active daemon, want 1/%d", got, test.wantActive)
			}
			sum := float64(test.active)/float64(Sharers(test.daemons, test.active, true)) +
				float64(test.daemons-test.active)/float64(Sharers(test.daemons, test.active, false))
			if sum > 1+1e-9 {
				t.Errorf("got parts that add up to %.2f, want at most 1", sum)
			}
		})
	}
}
