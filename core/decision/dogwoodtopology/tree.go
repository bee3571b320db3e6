package dogwoodtopology

// Tree is a single shared tree in which a member has up to Fanout children. It is re-rooted at
// the member that sends a message. It has the fewest edges, but inner members carry the most
// traffic, and the loss of a member with children partitions the tree.
type Tree struct {
	// Fanout is the maximum number of children of a member, at least 2.
	Fanout int
}

// Name returns "tree".
func (tree Tree) Name() string { return "tree" }

// Neighbours returns the parent and the children of self in the tree rooted at member 0.
func (tree Tree) Neighbours(self, count int) []int {
	var neighbours []int
	if self > 0 {
		neighbours = append(neighbours, (self-1)/tree.Fanout)
	}
	first := self*tree.Fanout + 1
	for child := first; child < min(first+tree.Fanout, count); child++ {
		neighbours = append(neighbours, child)
	}
	return neighbours
}

// Parent returns the child of self whose subtree contains root, or else the parent of self in the
// tree rooted at member 0.
func (tree Tree) Parent(self, root, _ int) int {
	descendant := root
	for descendant > self {
		parent := (descendant - 1) / tree.Fanout
		if parent == self {
			return descendant
		}
		descendant = parent
	}
	return (self - 1) / tree.Fanout
}
