package dogwoodpacking

import "math"

// Load pattern: several daemons place hundreds of requests a second in one pool, and each hears
// of the others' some milliseconds late. All that pack answers on the fullest engine go to the
// same one at the same moment, beyond its slots. So the engines are divided into groups, as
// many as there are engines' worth of answers, and each daemon packs into its own group first.
// A pool with few answers is one group for all, as packing wants it.

// groups is into how many groups the engines are divided that hold so many requests.
func (board *Board) groups(held, slots int) int {
	packed := max(packShare*float64(slots), 1)
	engines := int(math.Ceil(float64(held+1) / packed))
	return min(max(engines, 1), board.senders.Count)
}

// isOwn tells whether an engine is of this daemon's group. When the number of groups changes
// by one, few engines change theirs.
func (board *Board) isOwn(place *place, groups int) bool {
	if place.groups != groups {
		place.groups, place.group = groups, groupOf(place.hash, groups)
	}
	return place.group == board.senders.Index%groups
}

// groupOf is the group with the highest weight for an endpoint.
func groupOf(hash uint64, groups int) int {
	best, bestWeight := 0, uint64(0)
	for group := range groups {
		if weight := mix(hash + uint64(group)*0x9e3779b97f4a7c15); weight >= bestWeight {
			best, bestWeight = group, weight
		}
	}
	return best
}

// mix is the finalizer of SplitMix64: it makes a good hash of a sum.
func mix(value uint64) uint64 {
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}
