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

// stormFactor is how many times the usual number of prompts in collisionWindow make a storm. When a data centre is lost, each daemon
// places all answers that broke off there within some milliseconds. Counted over a second they looked like ordinary
// traffic, and all daemons filled the same few engines.
const stormFactor = 3

// minStorm is the number of own prompts in collisionWindow from which the other daemons are taken to place as many. Fewer come together
// by chance.
const minStorm = 4

// groupCount returns the number of groups for engines that hold the given number of requests.
func (board *Board) groupCount(now time.Time, requestCount, slots int) int {
	packed := max(packShare*float64(slots), 1)
	engines := int(math.Ceil(float64(requestCount+1) / packed))
	prompts := int(float64(board.promptSends.countRecent(now)) * collisionWindow.Seconds() / rateWindow.Seconds())
	if storm := board.recentPrompts(now); storm > stormFactor*(prompts+1) {
		prompts = storm
	}
	return max(min(engines, prompts, board.senders.Count), 1)
}

// recentPrompts estimates the number of prompts within collisionWindow. The other daemons' announcements may not have arrived: in a storm
// these are taken to place as many as this one.
func (board *Board) recentPrompts(now time.Time) int {
	own := board.ownPromptSends.countWithin(now, collisionWindow)
	if own < minStorm {
		own = 0
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
