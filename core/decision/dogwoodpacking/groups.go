package dogwoodpacking

import (
	"math"
	"time"
)

// Load pattern: several daemons place hundreds of requests a second in one pool, and each learns
// of the others' requests some milliseconds late. If all of them pack answers on the fullest
// engine, they choose the same one at the same moment and exceed its slots. The engines are
// therefore divided into groups, and each daemon fills its own group first. There are as many
// groups as prompts within collisionWindow, but no more than daemons, and no more than the
// number of engines that the answers fill. At some tens of prompts a second, two rarely collide,
// and a single group packs better.

// collisionWindow is the window in which the prompts are counted to get the number of groups. It
// is ten times the delay of an announcement, so that about one prompt in ten collides with another.
const collisionWindow = 20 * time.Millisecond

// minStorm is the number of own repeats in collisionWindow from which the other daemons are taken to place as many. When a data centre is
// lost, each daemon places all answers that broke off there within some milliseconds. Counted over a second they looked like
// ordinary traffic, and all daemons filled the same few engines. A single repeat comes by chance. First tries don't count: bursts of one
// daemon's callers are no sign of what the others do.
const minStorm = 2

// groupCount returns the number of groups for engines that hold the given number of requests.
func (board *Board) groupCount(now time.Time, request *PlacementRequest, requestCount, slots int) int {
	packed := max(packShare*float64(slots), 1)
	engines := int(math.Ceil(float64(requestCount+1) / packed))
	prompts := int(float64(board.promptSends.countRecent(now)) * collisionWindow.Seconds() / rateWindow.Seconds())
	prompts = max(prompts, board.repeatStorm(now, request))
	return max(min(engines, prompts, board.senders.Count), 1)
}

// repeatStorm estimates the number of prompts within collisionWindow while all daemons repeat requests at the same moment, which the
// request is one of; 0 if they don't. The other daemons' announcements may not have arrived.
func (board *Board) repeatStorm(now time.Time, request *PlacementRequest) int {
	own := board.ownRepeats.countWithin(now, collisionWindow)
	if request.isRepeated() {
		own++
	}
	if own < minStorm {
		return 0
	}
	return max(board.promptSends.countWithin(now, collisionWindow), own*board.senders.Count)
}

// inOwnGroup reports whether an engine belongs to this daemon's group. When the number of groups
// changes by one, few engines move to another group.
func (board *Board) inOwnGroup(state *endpointState, groups int) bool {
	if state.groupCount != groups {
		state.groupCount, state.group = groups, groupOf(state.hash, groups)
	}
	return state.group == board.senders.Index%groups
}

// groupOf returns the group with the highest weight for an endpoint (rendezvous hashing).
func groupOf(hash uint64, groups int) int {
	best, bestWeight := 0, uint64(0)
	for group := range groups {
		if weight := mix(hash + uint64(group)*0x9e3779b97f4a7c15); weight >= bestWeight {
			best, bestWeight = group, weight
		}
	}
	return best
}

// mix is the finalizer of SplitMix64. It spreads the bits of a sum over the whole hash.
func mix(value uint64) uint64 {
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}
