package dogwoodboard

import (
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
)

// limits returns what each node knows of the endpoint's limit.
func limits(nodes []*node) []dogwoodpacking.NamedLimit {
	known := make([]dogwoodpacking.NamedLimit, len(nodes))
	for i, node := range nodes {
		for _, limit := range node.board.Limits() {
			known[i] = limit.Limit
		}
	}
	return known
}

func checkLimits(t *testing.T, nodes []*node, when string, want dogwoodpacking.NamedLimit) {
	t.Helper()
	for i, got := range limits(nodes) {
		if got != want {
			t.Errorf("%s, node %d: got %+v, want %+v", when, i, got, want)
		}
	}
}

// Guards against daemons that learn of a limit, or that it was taken back, only from answers of their own: they send the
// endpoint their full share until then, or never again since the others use it up.
func TestLimitIsKnownToAllDaemons(t *testing.T) {
	named := dogwoodpacking.NamedLimit{Named: true, PerSecond: 2}
	runMesh(t, 3, func(t *testing.T, nodes []*node, mesh *mesh) {
		nodes[0].duty.SetLimit(time.Now(), "e", named)
		time.Sleep(5 * time.Millisecond)
		checkLimits(t, nodes, "named", named)
		mesh.setCut(true)
		nodes[1].duty.SetLimit(time.Now().Add(time.Millisecond), "e", dogwoodpacking.NamedLimit{})
		time.Sleep(2 * announceTimeout)
		mesh.setCut(false)
		time.Sleep(2 * failureBackoff)
		checkLimits(t, nodes, "taken back while the daemons were cut off", dogwoodpacking.NamedLimit{})
	})
}

// Guards against a daemon that knows of no limit because it was not there when that was announced.
func TestAllLimitsFollowAFailedAnnouncement(t *testing.T) {
	named := dogwoodpacking.NamedLimit{Named: true, PerSecond: 2}
	runMesh(t, 2, func(t *testing.T, nodes []*node, mesh *mesh) {
		now := time.Now()
		nodes[0].board.SetLimit(now, now, "e", named) // not announced
		time.Sleep(announceInterval)
		mesh.setCut(true)
		nodes[0].place("w")
		time.Sleep(announceTimeout)
		mesh.setCut(false)
		time.Sleep(2 * failureBackoff)
		checkLimits(t, nodes, "after the failure", named)
	})
}

// Guards against limits that a leaf's hub does not pass on, in either direction.
func TestLeafSharesLimits(t *testing.T) {
	named := dogwoodpacking.NamedLimit{Named: true, PerSecond: 2}
	runMesh(t, 3, func(t *testing.T, nodes []*node, mesh *mesh) {
		mesh.makeLeaf()
		nodes[2].duty.SetLimit(time.Now(), "e", named)
		time.Sleep(10 * time.Millisecond)
		checkLimits(t, nodes, "heard by the leaf", named)
		nodes[1].duty.SetLimit(time.Now().Add(time.Millisecond), "e", dogwoodpacking.NamedLimit{Named: true, PerSecond: 3})
		nodes[2].placePrompt("w", 1000)
		time.Sleep(2 * viewInterval)
		checkLimits(t, nodes, "heard by another hub", dogwoodpacking.NamedLimit{Named: true, PerSecond: 3})
		time.Sleep(2 * viewIdleTimeout)
		nodes[1].duty.SetLimit(time.Now().Add(time.Millisecond), "e", dogwoodpacking.NamedLimit{})
		nodes[2].place("call")
		time.Sleep(2 * viewInterval)
		checkLimits(t, nodes, "taken back, and the leaf has only plain calls", dogwoodpacking.NamedLimit{})
	})
}
