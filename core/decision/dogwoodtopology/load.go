package dogwoodtopology

// Load holds the exact cost of a topology and how well it propagates messages.
type Load struct {
	Topology string
	Members  int
	Lost     int
	// EdgesMean and EdgesMax are edges per present member. Heartbeats are sent in both directions
	// of each edge.
	EdgesMean float64
	EdgesMax  int
	// Balance is EdgesMax divided by EdgesMean.
	Balance float64
	// Tree is the result of propagation along the tree, Flood the result of flooding.
	Tree  Spread
	Flood Spread
}

// Spread describes how messages propagate if each present member in turn, the root, sends one to
// all others.
type Spread struct {
	// Messages is the mean number of messages sent per root.
	Messages float64
	// SentMean and SentMax are messages sent by a member, averaged over all roots.
	SentMean, SentMax float64
	// Reached is the share of present members that receive the message, averaged over all roots.
	Reached float64
	// HopsMean and HopsMax are the number of edges from the root to a member that receives the
	// message.
	HopsMean float64
	HopsMax  int
}

// ComputeLoad computes the load of a topology with count members, some of which are lost. Lost members
// are still in every member's list, as in the seconds before a loss is detected, but neither
// forward nor answer.
func ComputeLoad(topology Topology, count int, lost map[int]bool) Load {
	load := Load{Topology: topology.Name(), Members: count, Lost: len(lost)}
	present := 0
	for member := range count {
		if lost[member] {
			continue
		}
		present++
		edges := len(topology.Neighbours(member, count))
		load.EdgesMean += float64(edges)
		load.EdgesMax = max(load.EdgesMax, edges)
	}
	load.EdgesMean /= float64(present)
	load.Balance = float64(load.EdgesMax) / load.EdgesMean
	load.Tree = measureSpread(count, lost, func(self, root, _ int) []int {
		return Children(topology, self, root, count)
	})
	load.Flood = measureSpread(count, lost, func(self, _, sender int) []int {
		return without(topology.Neighbours(self, count), sender)
	})
	return load
}

// recipientsFunc returns the members to which self forwards a message from sender; sender is -1 if
// self is the root.
type recipientsFunc func(self, root, sender int) []int

// measureSpread propagates one message from every present member and returns the combined result.
func measureSpread(count int, lost map[int]bool, recipients recipientsFunc) Spread {
	sent := make([]int, count)
	var result Spread
	roots, reached, hops := 0, 0, 0
	for root := range count {
		if lost[root] {
			continue
		}
		roots++
		for _, distance := range propagate(root, count, lost, recipients, sent) {
			if distance > 0 {
				reached++
				hops += distance
				result.HopsMax = max(result.HopsMax, distance)
			}
		}
	}
	total, maxSent := 0, 0
	for _, messages := range sent {
		total += messages
		maxSent = max(maxSent, messages)
	}
	result.Messages = float64(total) / float64(roots)
	result.SentMean = result.Messages / float64(roots)
	result.SentMax = float64(maxSent) / float64(roots)
	if reached > 0 {
		result.Reached = float64(reached) / float64(roots*(roots-1))
		result.HopsMean = float64(hops) / float64(reached)
	}
	return result
}

// propagate forwards one message from root in breadth-first order and adds the messages sent by
// each member to sent. It returns each member's distance from root: 0 for root and -1 for members
// that the message doesn't reach.
func propagate(root, count int, lost map[int]bool, recipients recipientsFunc, sent []int) []int {
	distances := make([]int, count)
	senders := make([]int, count)
	for member := range count {
		distances[member], senders[member] = -1, -1
	}
	distances[root] = 0
	queue := []int{root}
	for len(queue) > 0 {
		self := queue[0]
		queue = queue[1:]
		for _, recipient := range recipients(self, root, senders[self]) {
			sent[self]++
			if lost[recipient] || distances[recipient] >= 0 {
				continue
			}
			distances[recipient], senders[recipient] = distances[self]+1, self
			queue = append(queue, recipient)
		}
	}
	return distances
}

func without(members []int, excluded int) []int {
	remaining := make([]int, 0, len(members))
	for _, member := range members {
		if member != excluded {
			remaining = append(remaining, member)
		}
	}
	return remaining
}
