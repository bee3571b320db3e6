// Package dogwoodtopology decides which daemons exchange heartbeats and along which edges
// changes are propagated.
//
// Load pattern: every daemon must detect the death of another one and receive an accepted change
// within seconds, while its control traffic is limited to 3 KB per second. In a full mesh the cost
// per daemon grows with the number of members, so beyond a few dozen members heartbeats alone
// exceed that limit. Without a sparser topology, heartbeats would have to be less frequent and
// detection slower.
//
// Every member computes the same edges from the same sorted list of members; there is no
// coordinator. While lists differ because only some members have learned of a new one, an edge
// can be one-sided. Neighbours is therefore a hint about which members to call, and a member
// answers calls from daemons that aren't in its list as usual.
//
// docs/design/topology.md has the measurements that this design is based on. The benchmarks of
// this package print them.
package dogwoodtopology

import (
	"cmp"
	"slices"
)

// Topology defines the edges between members, which are numbered from 0 to count-1. All methods
// are pure. Edges are undirected: if b is a neighbour of a, then a is a neighbour of b.
type Topology interface {
	// Name returns the topology's name in reports.
	Name() string
	// Neighbours returns the members that self has an edge to, in ascending order.
	Neighbours(self, count int) []int
	// Parent returns the neighbour of self that is next on the path to root. The edges from each
	// member to its parent form a tree. self must not be root.
	Parent(self, root, count int) int
}

// MeshLimit is the maximum number of members for which the full mesh is used. One heartbeat per
// second and its answer take 178 bytes of net/rpc and 156 bytes of TCP and IP headers per edge.
// At this rate 9 edges, as in a mesh of 10 members, are the first to exceed 3 KB per second
// (docs/design/topology.md).
const MeshLimit = 9

// For returns the topology to use for count members.
func For(count int) Topology {
	if count <= MeshLimit {
		return Mesh{}
	}
	return Hypercube{}
}

// Neighbours returns the members that self exchanges heartbeats with in the topology that For
// returns. Members don't need to be sorted or distinct, or to include self.
func Neighbours[Member cmp.Ordered](self Member, members []Member) []Member {
	return neighboursIn(nil, self, members)
}

// NeighboursIn is like Neighbours but uses the given topology.
func NeighboursIn[Member cmp.Ordered](topology Topology, self Member, members []Member) []Member {
	return neighboursIn(topology, self, members)
}

func neighboursIn[Member cmp.Ordered](topology Topology, self Member, members []Member) []Member {
	sorted, position := sortedWithSelf(self, members)
	if topology == nil {
		topology = For(len(sorted))
	}
	positions := topology.Neighbours(position, len(sorted))
	neighbours := make([]Member, len(positions))
	for i, neighbour := range positions {
		neighbours[i] = sorted[neighbour]
	}
	return neighbours
}

// Children returns the members to which self forwards a message from root along the tree that is
// rooted at root. The tree takes one message per member, but doesn't reach the members behind a
// lost one. Load compares it with flooding.
func Children(topology Topology, self, root, count int) []int {
	var children []int
	for _, neighbour := range topology.Neighbours(self, count) {
		if neighbour != root && topology.Parent(neighbour, root, count) == self {
			children = append(children, neighbour)
		}
	}
	return children
}

// sortedWithSelf returns the distinct members including self in sorted order, and the position of
// self.
func sortedWithSelf[Member cmp.Ordered](self Member, members []Member) ([]Member, int) {
	sorted := append(slices.Clone(members), self)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	position, _ := slices.BinarySearch(sorted, self)
	return sorted, position
}
