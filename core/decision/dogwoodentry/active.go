package dogwoodentry

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// fewestActive is the least number of daemons of the usual size that callers are spread
	// over: one that dies takes a twelfth of the requests with it. A larger one counts as
	// several. All daemons of a smaller fleet are active.
	fewestActive = 12
	// usualCores is the processor of a daemon of the usual size.
	usualCores = 0.4
	// coresPerRequest is the processor time that a request takes, in seconds of a core: 6.5 ms
	// with all that a daemon does besides, measured with 8 daemons at 60 requests a second.
	coresPerRequest = 0.0065
	// aimedUse is the part of their processors that the active daemons use for requests: the
	// load may double before one waits for its processor.
	aimedUse = 0.4
)

// Active chooses the daemons that callers are told to use, by their addresses.
//
// Load pattern: a fleet with far more daemons than its requests need, most of them small.
// Each daemon that places requests tells every other one of each, so the announcements grow
// with the square of the daemons that take callers, and nothing is won by spreading a hundred
// requests a second over sixty of them. So callers go to as many daemons as their requests
// need, the largest first, evenly over the data centres; the others stand by, know the
// pool's state of a second ago, and take over as soon as one is missing.
//
// All daemons choose the same ones from the same members; while their lists differ for a
// moment, callers are spread over a few more daemons than needed.
func Active(members []Member, requestsPerSecond float64) map[netip.AddrPort]bool {
	active := make(map[netip.AddrPort]bool, len(members))
	centres, usable := byPlace(members)
	for _, inCentre := range centres {
		chosen := inCentre
		if usable > fewestActive {
			chosen = enough(inCentre, fewestActive/float64(len(centres)), requestsPerSecond/float64(len(centres)))
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
// fewer than least of the usual size.
func enough(members []Member, least, requestsPerSecond float64) []Member {
	members = largest(members, len(members))
	needed := requestsPerSecond * coresPerRequest / aimedUse
	for i, member := range members {
		if least <= 0 && needed <= 0 {
			return members[:i]
		}
		least -= max(member.Cores/usualCores, 1)
		needed -= member.Cores
	}
	return members
}

// largest returns so many of the largest daemons, the first of them first.
func largest(members []Member, count int) []Member {
	slices.SortFunc(members, func(one, other Member) int {
		return cmp.Or(cmp.Compare(other.Cores, one.Cores), cmp.Compare(rank(one), rank(other)))
	})
	return members[:min(count, len(members))]
}

// rank orders daemons of one size, the same at each daemon.
func rank(member Member) uint64 {
	return xxhash.Sum64String(member.Serve.String())
}

// activeShare is the part of what all daemons may do together that the active ones may; the
// rest is for callers who still use the address of one that stands by.
const activeShare = 0.8

// Sharers is by how many daemons an allowance for all is divided to get one daemon's part.
// Divided evenly, a hundred repeats are one or two for each of sixty daemons, and the few
// that take nearly all requests refuse what the others could still try again.
func Sharers(daemons, active int, isActive bool) int {
	idle := daemons - active
	switch {
	case idle <= 0 || active <= 0:
		return max(daemons, 1)
	case isActive:
		return int(math.Ceil(float64(active) / activeShare))
	default:
		return int(math.Ceil(float64(idle) / (1 - activeShare)))
	}
}
