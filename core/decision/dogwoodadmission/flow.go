package dogwoodadmission

import (
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// account tracks one customer's waiting work in both bands.
type account struct {
	customer    dogwoodfleet.Customer
	weight      float64
	cost        float64 // of all waiting work
	waiting     int
	flows       [2]flow // short and long
	activeIndex int     // in Queue.active, or -1
}

// flow holds a customer's waiting work in one band.
type flow struct {
	account   *account
	startTag  float64 // virtual start time of its next work
	heapIndex int     // index in band.flows, or -1
	lists     [Classes]list
	service   [Classes]time.Duration // expected service time of the waiting work
	waiting   int
}

// leastRanked returns the flow's work with the lowest rank, which is served next.
func (flow *flow) lowestRanked() *Work {
	var best *Work
	for i := range flow.lists {
		work := flow.lists[i].first
		if work != nil && (best == nil || work.rank.Before(best.rank)) {
			best = work
		}
	}
	return best
}

// newest returns the flow's work that arrived last.
func (flow *flow) newest() *Work {
	var newest *Work
	for i := range flow.lists {
		work := flow.lists[i].last
		if work != nil && (newest == nil || work.Arrived.After(newest.Arrived)) {
			newest = work
		}
	}
	return newest
}

// serviceAhead returns the expected service time of the flow's waiting work that goes before
// new work of the given rank. It assumes that ranks within a class are evenly spread.
func (flow *flow) serviceAhead(rank time.Time) time.Duration {
	var sum time.Duration
	for i := range flow.lists {
		list := &flow.lists[i]
		switch {
		case list.first == nil || rank.Before(list.first.rank):
		case !rank.Before(list.last.rank):
			sum += flow.service[i]
		default:
			part := float64(rank.Sub(list.first.rank)) / float64(list.last.rank.Sub(list.first.rank))
			sum += time.Duration(part * float64(flow.service[i]))
		}
	}
	return sum
}

// band is a start-time fair queue over customers. The flow with the smallest start tag is
// served next, and serving work advances its tag by cost divided by weight. A flow that was
// idle starts at the band's virtual time or later, so that it accumulates no credit.
type band struct {
	flows       []*flow // a heap by tag
	virtualTime float64
	weight      float64 // sum over flows
	service     time.Duration
	// servedPerShare is the served cost divided by the band's share. The band with the
	// lower value is served first.
	servedPerShare float64
	share          float64
}

func (band *band) push(flow *flow) {
	flow.heapIndex = len(band.flows)
	band.flows = append(band.flows, flow)
	band.up(flow.heapIndex)
}

func (band *band) removeAt(index int) {
	removed := band.flows[index]
	last := len(band.flows) - 1
	band.swap(index, last)
	band.flows[last] = nil
	band.flows = band.flows[:last]
	removed.heapIndex = -1
	if index < last {
		band.fix(index)
	}
}

func (band *band) fix(index int) {
	if !band.down(index) {
		band.up(index)
	}
}

func (band *band) up(index int) {
	for index > 0 {
		parent := (index - 1) / 2
		if band.flows[parent].startTag <= band.flows[index].startTag {
			return
		}
		band.swap(parent, index)
		index = parent
	}
}

func (band *band) down(index int) bool {
	start := index
	for {
		child := 2*index + 1
		if child >= len(band.flows) {
			break
		}
		if right := child + 1; right < len(band.flows) && band.flows[right].startTag < band.flows[child].startTag {
			child = right
		}
		if band.flows[index].startTag <= band.flows[child].startTag {
			break
		}
		band.swap(index, child)
		index = child
	}
	return index > start
}

func (band *band) swap(i, j int) {
	band.flows[i], band.flows[j] = band.flows[j], band.flows[i]
	band.flows[i].heapIndex = i
	band.flows[j].heapIndex = j
}
