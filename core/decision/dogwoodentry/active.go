package dogwoodentry

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// fewestActive is the least number of daemons that callers are spread over: one that dies
	// takes a twelfth of the requests with it. All daemons of a smaller fleet are active.
	fewestActive = 12
	// coresPerRequest is the processor time that a request takes, in seconds of a core: 6.5 ms
	// with all that a daemon does besides, measured with 8 daemons at 60 requests a second.
	coresPerRequest = 0.0065
	// aimedUse is the part of their processors that the active daemons use for requests: the
	// load may double, and a third of the daemons die, before one waits for its processor.
	aimedUse = 0.25
)

// Active chooses the daemons that callers are told to use, by their addresses.
//
// Load pattern: a fleet with far more daemons than its requests need, most of them small.
// Each daemon that places requests tells every other one of each, so the announcements grow
// with the square of the daemons that take callers, and nothing is won by spreading a hundred
// requests a second over sixty of them. So callers go to as many daemons as their requests
// need, the largest first, evenly over the data centres; the others stand by, know the
// pool's state to some hundred milliseconds, and take over as soon as one is missing.
//
// All daemons choose the same ones from the same members; while their lists differ for a
// moment, callers are spread over a few more daemons than needed.
func Active(members []Member, requestsPerSecond float64) map[netip.AddrPort]bool {
	active := make(map[netip.AddrPort]bool, len(members))
	centres, usable := byPlace(members)
	for _, inCentre := range centres {
		chosen := inCentre
		if usable > fewestActive {
			chosen = enough(inCentre, ceilDivide(fewestActive, len(centres)), requestsPerSecond/float64(len(centres)))
		}
		for _, member := range chosen {
			active[member.Serve] = true
		}
	}
	return active
}

// byPlace sorts the daemons that may be used by data centre, and counts them.
func byPlace(members []Member) (centres map[dogwoodfleet.Place][]Member, usable int) {
	centres = map[dogwoodfleet.Place][]Member{}
	for _, member := range members {
		if !member.Leaving && member.Serve.IsValid() {
			centres[member.Place] = append(centres[member.Place], member)
			usable++
		}
	}
	return centres, usable
}

// enough returns the largest daemons of a data centre, as many as its requests need and no
// fewer than least.
func enough(members []Member, least int, requestsPerSecond float64) []Member {
	slices.SortFunc(members, func(one, other Member) int {
		return cmp.Or(cmp.Compare(other.Cores, one.Cores), cmp.Compare(rank(one), rank(other)))
	})
	needed := requestsPerSecond * coresPerRequest / aimedUse
	for i, member := range members {
		if i >= least && needed <= 0 {
			return members[:i]
		}
		needed -= member.Cores
	}
	return members
}

// rank orders daemons of one size, the same at each daemon.
func rank(member Member) uint64 {
	return xxhash.Sum64String(member.Serve.String())
}

func ceilDivide(count, parts int) int {
	return (count + parts - 1) / parts
}
