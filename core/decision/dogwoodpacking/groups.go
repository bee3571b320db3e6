package dogwoodpacking

import (
	"math"
	"time"
)

// Load pattern: several daemons place hundreds of requests a second in one pool, and each hears
// of the others' some milliseconds late. All that pack answers on the fullest engine go to the
// same one at the same moment, beyond its slots. So the engines are divided into groups, and each
// daemon packs into its own group first: as many groups as there are prompts within groupSpan,
// and no more than daemons, or engines' worth of answers. At some tens of prompts a second two
// seldom meet, and one group for all packs better.

// groupSpan is the time that has one more group for each prompt within it: ten times that of an
// announcement, so that one in ten meets another.
const groupSpan = 20 * time.Millisecond

// groups is into how many groups the engines are divided that hold so many requests.
func (board *Board) groups(now time.Time, held, slots int) int {
	packed := max(packShare*float64(slots), 1)
	engines := int(math.Ceil(float64(held+1) / packed))
	prompts := int(float64(board.prompts.recent(now)) * groupSpan.Seconds() / coldSpan.Seconds())
	return max(min(engines, prompts, board.senders.Count), 1)
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
