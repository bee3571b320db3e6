package dogwoodtopology

// Mesh connects every member to every other one. All members detect a loss directly and no
// message needs forwarding, but the cost per member grows with the number of members.
type Mesh struct{}

// Name returns "mesh".
func (mesh Mesh) Name() string { return "mesh" }

// Neighbours returns all members except self.
func (mesh Mesh) Neighbours(self, count int) []int {
	neighbours := make([]int, 0, max(count-1, 0))
	for member := range count {
		if member != self {
			neighbours = append(neighbours, member)
		}
	}
	return neighbours
}

// Parent returns root.
func (mesh Mesh) Parent(_, root, _ int) int { return root }
