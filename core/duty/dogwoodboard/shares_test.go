package dogwoodboard

import (
	"fmt"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodshare"
	"dogwoodmux.example/core/dogwoodfleet"
)

func (node *node) placeFor(customer dogwoodfleet.Customer, id string) {
	now := time.Now()
	node.duty.Place(now, &dogwoodpacking.PlacementRequest{ID: dogwoodpacking.WorkID(id), Service: "s", Customer: customer, Until: now.Add(10 * time.Second)})
}

func (node *node) used(customer dogwoodfleet.Customer) time.Duration {
	return node.duty.Standings(time.Now(), []dogwoodshare.Claim{{Service: "s", Customer: customer}})[0].Used
}

// Guards against daemons that judge customers by their own requests alone: a customer that sends through many daemons would
// be within its share at each.
func TestUseIsKnownToAllDaemons(t *testing.T) {
	const requests, want = 20, 20 * dogwoodshare.UnknownTime
	tests := []struct {
		name string
		act  func(nodes []*node, mesh *mesh)
		// want is the use that each of the three daemons knows of; daemon 2 may be a leaf.
		want [3]time.Duration
	}{
		{"announced to hubs", func([]*node, *mesh) { time.Sleep(5 * time.Millisecond) }, [3]time.Duration{want, want, want}},
		{"ended since", func(nodes []*node, _ *mesh) {
			time.Sleep(5 * time.Millisecond)
			for i := range requests {
				nodes[0].duty.End(dogwoodpacking.WorkID(fmt.Sprint("w", i)))
			}
			time.Sleep(announceInterval)
		}, [3]time.Duration{want, want, want}},
		{"links broken and back", func(_ []*node, mesh *mesh) {
			time.Sleep(5 * time.Millisecond)
			mesh.setCut(true)
			time.Sleep(announceTimeout)
			mesh.setCut(false)
			time.Sleep(2 * failureBackoff)
		}, [3]time.Duration{want, want, want}},
		{"cut off before", func(_ []*node, _ *mesh) {}, [3]time.Duration{want, 0, 0}},
		{"forgotten", func([]*node, *mesh) { time.Sleep(dogwoodshare.Window + time.Second) }, [3]time.Duration{0, 0, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runMesh(t, 3, func(t *testing.T, nodes []*node, mesh *mesh) {
				for i := range requests {
					nodes[0].placeFor("a", fmt.Sprint("w", i))
				}
				test.act(nodes, mesh)
				for i, node := range nodes {
					if got := node.used("a"); got != test.want[i] {
						t.Errorf("daemon %d: got %s used, want %s", i, got, test.want[i])
					}
				}
			})
		})
	}
}

// Guards against a leaf that doesn't learn of the others' use with its view, or counts it again with each view, and against
// hubs that don't learn of a leaf's.
func TestLeafKnowsTheUseOfRunningWork(t *testing.T) {
	runMesh(t, 3, func(t *testing.T, nodes []*node, mesh *mesh) {
		mesh.makeLeaf()
		nodes[0].placeFor("a", "w0")
		nodes[1].placeFor("b", "w1")
		for i := range 3 { // each prompt asks for the view
			nodes[2].placePrompt(fmt.Sprint("p", i), 1_000)
			time.Sleep(viewInterval)
		}
		nodes[2].placeFor("c", "w2")
		time.Sleep(20 * time.Millisecond)
		for i, node := range nodes {
			for _, customer := range []dogwoodfleet.Customer{"a", "b", "c"} {
				if got, want := node.used(customer), dogwoodshare.UnknownTime; got != want {
					t.Errorf("daemon %d: got %s used by %s, want %s", i, got, customer, want)
				}
			}
		}
	})
}

// Guards against a placement that never ran and still counts at some daemons: at those to which a leaf's hub forwards, or at one that
// the announcement did not reach at first.
func TestPlacementThatNeverRanCountsNowhere(t *testing.T) {
	tests := []struct {
		name string
		// from is the daemon that places; daemon 2 is a leaf.
		from   int
		cancel func(duty *Duty, mesh *mesh)
	}{
		{"a hub's", 0, func(duty *Duty, _ *mesh) { duty.Cancel("w") }},
		{"a leaf's", 2, func(duty *Duty, _ *mesh) { duty.Cancel("w") }},
		{"while the links are broken", 0, func(duty *Duty, mesh *mesh) {
			mesh.setCut(true)
			duty.Cancel("w")
			time.Sleep(2 * announceTimeout)
			mesh.setCut(false)
		}},
		{"a leaf's while the links are broken", 2, func(duty *Duty, mesh *mesh) {
			mesh.setCut(true)
			duty.Cancel("w")
			time.Sleep(2 * announceTimeout)
			mesh.setCut(false)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runMesh(t, 3, func(t *testing.T, nodes []*node, mesh *mesh) {
				mesh.makeLeaf()
				nodes[test.from].placeFor("a", "w")
				nodes[test.from].placeFor("b", "ran")
				time.Sleep(20 * time.Millisecond)
				test.cancel(nodes[test.from].duty, mesh)
				nodes[test.from].duty.End("ran")
				time.Sleep(2 * failureBackoff)
				for i, node := range nodes {
					if i == 2 && test.from != 2 {
						continue // a leaf without requests fetches no view
					}
					if got := node.used("a"); got != 0 {
						t.Errorf("daemon %d: got %s used, want 0", i, got)
					}
					if got, want := node.used("b"), dogwoodshare.UnknownTime; got != want {
						t.Errorf("daemon %d: got %s used by what ran, want %s", i, got, want)
					}
				}
			})
		})
	}
}
