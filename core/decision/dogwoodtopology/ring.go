package dogwoodtopology

import "slices"

// Ring is a ring with chords: each member has edges to the members 1, 2, 4, 8, ... positions
// before and after it. Every member has the same number of edges, about twice the binary
// logarithm of the number of members.
type Ring struct{}

// Name returns "ring".
func (ring Ring) Name() string { return "ring" }

// Neighbours returns the members at a distance of a power of two in either direction.
func (ring Ring) Neighbours(self, count int) []int {
	var neighbours []int
	for step := 1; step <= count/2; step *= 2 {
		neighbours = append(neighbours, (self+step)%count, (self-step+count)%count)
	}
	slices.Sort(neighbours)
	return slices.Compact(neighbours)
}

// Parent returns the neighbour over the longest chord that doesn't go past root, in the direction
// in which root is closer.
func (ring Ring) Parent(self, root, count int) int {
	forward := (root - self + count) % count
	backward := count - forward
	if forward <= backward {
		return (self + longestStep(forward)) % count
	}
	return (self - longestStep(backward) + count) % count
}

// longestStep returns the largest power of two that is at most distance.
func longestStep(distance int) int {
	step := 1
	for step*2 <= distance {
		step *= 2
	}
	return step
}
