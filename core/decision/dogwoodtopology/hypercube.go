package dogwoodtopology

import (
	"math/bits"
	"slices"
)

// Hypercube places the members on the corners of a hypercube in Gray code order, with an edge
// between two labels that differ in one bit. The number of dimensions is the binary logarithm of
// the number of members, rounded up. The order keeps the cube compact when the number of members
// isn't a power of two, and embedded trees contain only existing members. See Jörg Liebeherr and
// Bhupinder S. Sethi, "A Scalable Control Topology for Multicast Communications", sections 3.2
// and 3.3.
type Hypercube struct{}

// Name returns "hypercube".
func (hypercube Hypercube) Name() string { return "hypercube" }

// Neighbours returns the members whose labels differ from the label of self in one bit.
func (hypercube Hypercube) Neighbours(self, count int) []int {
	if count < 2 {
		return nil
	}
	var neighbours []int
	label := gray(uint(self))
	for bit := range bits.Len(uint(count - 1)) {
		neighbour := int(position(label ^ 1<<bit))
		if neighbour < count {
			neighbours = append(neighbours, neighbour)
		}
	}
	slices.Sort(neighbours)
	return neighbours
}

// Parent implements the procedure Parent in figure 4 of the paper: it flips the lowest differing
// bit if self comes before root in the order, and the highest otherwise.
func (hypercube Hypercube) Parent(self, root, _ int) int {
	label := gray(uint(self))
	differing := label ^ gray(uint(root))
	if self < root {
		return int(position(label ^ 1<<bits.TrailingZeros(differing)))
	}
	return int(position(label ^ 1<<(bits.Len(differing)-1)))
}

// gray returns the Gray code label of the member at an index.
func gray(index uint) uint { return index ^ index>>1 }

// position is the inverse of gray.
func position(label uint) uint {
	for shift := 1; shift < bits.UintSize; shift *= 2 {
		label ^= label >> shift
	}
	return label
}
