package dogwoodtopology

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

var topologies = []Topology{Mesh{}, Ring{}, Tree{Fanout: 2}, Tree{Fanout: 4}, Hypercube{}}

func TestEdgesGoBothWays(t *testing.T) {
	for _, topology := range topologies {
		for count := 1; count <= 70; count++ {
			for self := range count {
				for _, neighbour := range topology.Neighbours(self, count) {
					if neighbour == self || neighbour < 0 || neighbour >= count {
						t.Fatalf("%s: neighbour of %d among %d: got %d", topology.Name(), self, count, neighbour)
					}
					if !slices.Contains(topology.Neighbours(neighbour, count), self) {
						t.Errorf("%s: %d among %d lists %d: got one direction, want both", topology.Name(), self, count, neighbour)
					}
				}
			}
		}
	}
}

func TestParentsFormTreesOfNeighbours(t *testing.T) {
	for _, topology := range topologies {
		for _, count := range []int{2, 3, 7, 8, 25, 65} {
			for root := range count {
				for self := range count {
					checkPathToRoot(t, topology, self, root, count)
				}
			}
		}
	}
}

func checkPathToRoot(t *testing.T, topology Topology, self, root, count int) {
	t.Helper()
	steps := 0
	for member := self; member != root; steps++ {
		parent := topology.Parent(member, root, count)
		if !slices.Contains(topology.Neighbours(member, count), parent) {
			t.Fatalf("%s: parent of %d towards %d among %d: got %d, want a neighbour", topology.Name(), member, root, count, parent)
		}
		if steps > count {
			t.Fatalf("%s: path from %d to %d among %d: got a cycle", topology.Name(), self, root, count)
		}
		member = parent
	}
}

// The expected labels are from section 3.2 of the paper that Hypercube refers to.
func TestGrayLabels(t *testing.T) {
	labels := []uint{0b000, 0b001, 0b011, 0b010, 0b110, 0b111, 0b101, 0b100}
	for i, want := range labels {
		if got := gray(uint(i)); got != want {
			t.Errorf("label of %d: got %03b, want %03b", i, got, want)
		}
		if got := position(want); got != uint(i) {
			t.Errorf("position of %03b: got %d, want %d", want, got, i)
		}
	}
}

// A daemon accepts a change after another one died but before the death is detected. If the change
// were propagated along one tree only, the daemons behind the dead one would keep the old
// state until the next poll. Flooding over the same edges reaches them.
func TestFloodReachesAllDespiteLostMember(t *testing.T) {
	const seed = 7
	random := rand.New(rand.NewPCG(seed, seed))
	for _, topology := range []Topology{Mesh{}, Ring{}, Hypercube{}} {
		for _, count := range []int{8, 25, 500} {
			lost := map[int]bool{random.IntN(count): true}
			got := ComputeLoad(topology, count, lost).Flood.Reached
			if got != 1 {
				t.Errorf("%s of %d with %v lost (seed %d): reached got %v, want 1", topology.Name(), count, lost, seed, got)
			}
		}
	}
}

func TestNeighboursSortsAndAddsSelf(t *testing.T) {
	tests := []struct {
		name    string
		self    string
		members []string
		want    []string
	}{
		{"alone", "a", nil, []string{}},
		{"duplicate and unsorted", "b", []string{"c", "a", "b", "a"}, []string{"a", "c"}},
		{"self not in members", "b", []string{"c", "a"}, []string{"a", "c"}},
	}
	for _, test := range tests {
		if got := Neighbours(test.self, test.members); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

func TestForSwitchesFromMeshToHypercube(t *testing.T) {
	tests := []struct {
		count int
		want  string
	}{{1, "mesh"}, {MeshLimit, "mesh"}, {MeshLimit + 1, "hypercube"}, {500, "hypercube"}}
	for _, test := range tests {
		if got := For(test.count).Name(); got != test.want {
			t.Errorf("%d members: got %s, want %s", test.count, got, test.want)
		}
	}
}

func BenchmarkTopology(b *testing.B) {
	const seed = 1
	for _, topology := range topologies {
		name := topology.Name()
		if tree, ok := topology.(Tree); ok {
			name = fmt.Sprintf("tree%d", tree.Fanout)
		}
		for _, count := range []int{8, 25, 500} {
			for _, losses := range []int{0, max(1, count/50)} {
				b.Run(fmt.Sprintf("%s/members=%d/lost=%d", name, count, losses), func(b *testing.B) {
					lost := map[int]bool{}
					random := rand.New(rand.NewPCG(seed, uint64(count)))
					for len(lost) < losses {
						lost[random.IntN(count)] = true
					}
					load := ComputeLoad(topology, count, lost)
					for b.Loop() {
						topology.Neighbours(count/2, count)
					}
					b.ReportMetric(load.EdgesMean, "edges")
					b.ReportMetric(load.Balance, "edges-max/mean")
					b.ReportMetric(load.Tree.SentMax/load.Tree.SentMean, "tree-sent-max/mean")
					b.ReportMetric(load.Tree.HopsMean, "tree-hops")
					b.ReportMetric(float64(load.Tree.HopsMax), "tree-hops-max")
					b.ReportMetric(100*load.Tree.Reached, "tree-reached-%")
					b.ReportMetric(load.Flood.Messages, "flood-messages")
					b.ReportMetric(load.Flood.SentMax/load.Flood.SentMean, "flood-sent-max/mean")
					b.ReportMetric(float64(load.Flood.HopsMax), "flood-hops-max")
					b.ReportMetric(100*load.Flood.Reached, "flood-reached-%")
				})
			}
		}
	}
}
