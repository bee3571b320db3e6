package dogwoodhub

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Fleets of 20, 300 and 500 daemons start for the first time, with an empty store. The large
// daemons must become hubs, two in each data centre, and all others must follow one. Each daemon
// may make only a few calls to the store; one that read the store by itself made some dozens.
func TestFleetStarts(t *testing.T) {
	tests := []struct {
		name                  string
		centres, large, small int
		wantHubs              int
	}{
		{name: "20 daemons", centres: 5, large: 2, small: 2, wantHubs: 10},
		{name: "300 daemons", centres: 5, large: 3, small: 57, wantHubs: 10},
		{name: "500 daemons", centres: 5, large: 3, small: 97, wantHubs: 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runFleet(t, test.centres, test.large, test.small, func(t *testing.T, fleet *testFleet) {
				if got := fleet.staleNodes(); len(got) > 0 {
					t.Errorf("got %d daemons without updates, want none: %v", len(got), got)
				}
				hubs := fleet.hubs()
				if len(hubs) < test.wantHubs || len(hubs) > test.wantHubs*3/2 {
					t.Errorf("got %d hubs, want %d and at most half as many again", len(hubs), test.wantHubs)
				}
				if got, most := fleet.storeCallsMade(), 2*len(fleet.nodes); got > most {
					t.Errorf("got %d calls to the store, want at most %d", got, most)
				}
			})
		})
	}
}

// The cost of a leaf must not grow with the fleet: one poll for each update, and no calls to the
// store.
func TestLeafCostIsIndependentOfFleetSize(t *testing.T) {
	const seconds = 10
	for _, small := range []int{10, 97} {
		runFleet(t, 5, 3, small, func(t *testing.T, fleet *testFleet) {
			calls, storeCalls := fleet.callsMade(), fleet.storeCallsMade()
			time.Sleep(seconds * time.Second)
			leaves := len(fleet.nodes) - len(fleet.hubs())
			// The hubs of this fleet read the store twice a second, each time with a new confirmation.
			if got, most := float64(fleet.callsMade()-calls)/seconds/float64(leaves), 2.5; got > most {
				t.Errorf("%d daemons: got %.1f calls a second of each leaf, want at most %.1f", len(fleet.nodes), got, most)
			}
			if got := fleet.storeCallsMade() - storeCalls; got > 0 {
				t.Errorf("%d daemons: got %d calls to the list of hubs, want none", len(fleet.nodes), got)
			}
		})
	}
}

// All daemons lose power at once. Afterwards the same ones must be hubs again, the others must
// follow them within two seconds, and each must read the list about once: the store would reject
// three hundred daemons that read it continually in search of hubs.
func TestSameHubsReturnAfterPowerLoss(t *testing.T) {
	runFleet(t, 5, 3, 57, func(t *testing.T, fleet *testFleet) {
		before := fleet.hubs()
		for _, node := range fleet.nodes {
			node.kill()
		}
		time.Sleep(3 * time.Second)
		calls := fleet.storeCallsMade()
		fleet.startAll()
		time.Sleep(2 * time.Second)
		if got := fleet.staleNodes(); len(got) > 0 {
			t.Errorf("got %d daemons without updates after 2 s, want none: %v", len(got), got)
		}
		if got, want := vms(fleet.hubs()), vms(before); !slices.Equal(got, want) {
			t.Errorf("got hubs %v, want %v as before", got, want)
		}
		if got, most := fleet.storeCallsMade()-calls, len(fleet.nodes)+10; got > most {
			t.Errorf("got %d calls to the store, want at most %d", got, most)
		}
	})
}

// All hubs of one data centre die, or all hubs of the fleet. The leaves must receive updates
// again within four seconds, each data centre must have hubs again, and the daemons must make
// about two calls to the store each at most.
func TestLeavesReplaceFailedHubs(t *testing.T) {
	tests := []struct {
		name  string
		fails func(centre dogwoodfleet.DataCentre) bool
	}{
		{"the hubs of a data centre", func(centre dogwoodfleet.DataCentre) bool { return centre == "0" }},
		{"all hubs", func(dogwoodfleet.DataCentre) bool { return true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runFleet(t, 5, 3, 37, func(t *testing.T, fleet *testFleet) {
				calls := fleet.storeCallsMade()
				for _, node := range fleet.nodes {
					if node.isHub() && test.fails(node.daemon().Place.DataCentre) {
						node.kill()
					}
				}
				time.Sleep(4 * time.Second)
				if got := fleet.staleNodes(); len(got) > 0 {
					t.Errorf("got %d daemons without updates after 4 s, want none: %v", len(got), got)
				}
				time.Sleep(3 * time.Second)
				for _, centre := range []dogwoodfleet.DataCentre{"0", "1", "2", "3", "4"} {
					if got := len(hubsIn(fleet, centre)); got < 2 || got > 6 {
						t.Errorf("data centre %s: got %d hubs, want two to six", centre, got)
					}
				}
				if got, most := fleet.storeCallsMade()-calls, 2*len(fleet.nodes)+20; got > most {
					t.Errorf("got %d calls to the store, want at most %d", got, most)
				}
			})
		})
	}
}

// A hub freezes, and a key is withdrawn at that moment. Its leaves must still receive the
// withdrawal within three seconds and must not treat their old confirmation as a new one.
func TestLeavesSwitchFromFrozenHub(t *testing.T) {
	runFleet(t, 3, 3, 10, func(t *testing.T, fleet *testFleet) {
		frozen := hubsIn(fleet, "0")[0]
		for _, node := range fleet.nodes {
			if node.daemon().VM == frozen.VM {
				node.mutex.Lock()
				node.frozen = true
				node.mutex.Unlock()
			}
		}
		var withdrawn int64
		fleet.update(func(fleet *testFleet) {
			fleet.version++
			withdrawn = fleet.version
		})
		time.Sleep(3 * time.Second)
		for _, node := range fleet.nodes {
			if version, age := node.Position(tableNames[0]); node.daemon().VM != frozen.VM && (version < withdrawn || age > 2*time.Second) {
				t.Errorf("%s: got version %d confirmed %s ago, want %d", node.daemon().VM, version, age, withdrawn)
			}
		}
	})
}

// The store is unreachable for all daemons. The confirmation at each leaf must age with the
// outage, or the leaf would accept withdrawn keys. Leaves must keep following their hubs and must
// not call the store.
func TestConfirmationsAgeDuringStoreOutage(t *testing.T) {
	runFleet(t, 3, 3, 10, func(t *testing.T, fleet *testFleet) {
		before := len(fleet.hubs())
		fleet.update(func(fleet *testFleet) { fleet.storeDown = true })
		calls, begun := fleet.storeCallsMade(), time.Now()
		const outage = 20 * time.Second
		time.Sleep(outage)
		for _, node := range fleet.nodes {
			if _, age := node.Position(tableNames[0]); age < time.Since(begun)-10*time.Millisecond {
				t.Errorf("%s: got a confirmation of age %s after an outage of %s", node.daemon().VM, age, outage)
			}
		}
		if got := fleet.storeCallsMade() - calls; got > 0 || len(fleet.hubs()) != before {
			t.Errorf("got %d calls to the store and %d hubs, want none and %d as before", got, len(fleet.hubs()), before)
		}
	})
}

// A burst of requests needs more hubs than there are, pauses, and ends. Small daemons must be
// promoted within seconds, stay hubs during the pause, and be leaves again minutes after the end.
func TestHubCountFollowsLoad(t *testing.T) {
	runFleet(t, 3, 2, 18, func(t *testing.T, fleet *testFleet) {
		before := len(fleet.hubs())
		fleet.update(func(fleet *testFleet) { fleet.rate = 500 })
		time.Sleep(12 * time.Second)
		during := len(fleet.hubs())
		if during <= before {
			t.Errorf("got %d hubs in a burst, want more than the %d before", during, before)
		}
		fleet.update(func(fleet *testFleet) { fleet.rate = 0 })
		time.Sleep(3 * time.Second)
		if got := len(fleet.hubs()); got < during {
			t.Errorf("got %d hubs in a pause, want the %d of the burst", got, during)
		}
		time.Sleep(5 * time.Minute)
		if got := len(fleet.hubs()); got > before+3 {
			t.Errorf("got %d hubs minutes after a burst, want about the %d before", got, before)
		}
		if got := fleet.staleNodes(); len(got) > 0 {
			t.Errorf("got %d daemons without updates, want none: %v", len(got), got)
		}
	})
}

// Hubs are missing, and the store rejects the best leaf. That leaf must keep following its hub
// instead of waiting for the store while its confirmation ages, and another leaf must become a
// hub.
func TestLeafRejectedByStoreStaysLeaf(t *testing.T) {
	runFleet(t, 3, 3, 10, func(t *testing.T, fleet *testFleet) {
		var best *node
		for _, node := range fleet.nodes {
			if node.daemon().Cores > 0.5 && !node.isHub() && node.daemon().Place.DataCentre == "0" {
				best = node
			}
		}
		best.mutex.Lock()
		best.storeRejects = true
		best.mutex.Unlock()
		before := len(hubsIn(fleet, "0"))
		fleet.update(func(fleet *testFleet) { fleet.rate = 400 })
		time.Sleep(8 * time.Second)
		if _, age := best.Position(tableNames[0]); best.isHub() || age > 2*time.Second {
			t.Errorf("got hub %v with a confirmation %s old, want a leaf that follows a hub", best.isHub(), age)
		}
		if got := len(hubsIn(fleet, "0")); got <= before {
			t.Errorf("got %d hubs, want more than the %d before", got, before)
		}
	})
}

// A daemon of another software version polls for tables that don't exist or reports a position
// from the future. It must get an answer without rows, and the hub must record nothing about it
// except that it is alive.
func TestFollowAnswersInvalidPolls(t *testing.T) {
	runFleet(t, 3, 2, 5, func(t *testing.T, fleet *testFleet) {
		index := slices.IndexFunc(fleet.nodes, (*node).isHub)
		hub := fleet.nodes[index].hub
		tests := []struct {
			name    string
			request FollowRequest
		}{
			{"empty poll", FollowRequest{}},
			{"unknown tables", FollowRequest{Tables: []Position{{Table: "a"}, {Table: "b"}, {Table: "c"}}}},
			{"future position", FollowRequest{Tables: []Position{{Table: tableNames[0], After: 1 << 60, Age: -time.Hour}}}},
		}
		for _, test := range tests {
			var news News
			if err := hub.Receiver().Follow(test.request, &news); err != nil {
				t.Errorf("%s: got %v, want an answer", test.name, err)
			}
			for _, table := range news.Tables {
				if table.Table != tableNames[0] || len(table.Answer.Rows) > 0 {
					t.Errorf("%s: got update %+v, want none", test.name, table)
				}
			}
		}
		synctest.Wait()
	})
}
