// Package dogwoodentry decides which of the system's addresses a caller is told to use.
//
// Load pattern: there is no balancer, so callers spread as they are told, and keep what
// they were told for a while. A caller gets a few live addresses that aren't leaving, its
// own data centre's first, drawn by chance with weights by free capacity. Without the
// chance all callers that ask between two reports go to the same daemon; without the
// second address a daemon's death cuts its callers off until they ask again.
package dogwoodentry

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Addresses is how many addresses a caller is told: with three, one may die and one may
// be silent before the caller needs a new answer.
const Addresses = 3

// Member is a daemon that callers may use.
type Member struct {
	Serve netip.AddrPort
	Place dogwoodfleet.Place
	// Leaving is true for a daemon that shuts down or whose place was taken out.
	Leaving bool
	// Load is the requests it holds; 0 if unknown.
	Load int
	// Cores is the processor that the daemon has; 0 if unknown.
	Cores float64
}

// Choose returns at most count addresses, the best first. The place is the caller's if it
// is known, else the daemon's that was asked.
func Choose(members []Member, place dogwoodfleet.Place, count int, random *rand.Rand) []netip.AddrPort {
	type drawn struct {
		member   *Member
		distance int
		key      float64
	}
	largest := 0.0
	for _, member := range members {
		if !member.Leaving {
			largest = max(largest, member.cores())
		}
	}
	draws := make([]drawn, 0, len(members))
	for i := range members {
		member := &members[i]
		if member.Leaving || !member.Serve.IsValid() {
			continue
		}
		// Weighted sampling without replacement: the highest u^(1/w), here as log(u)/w with
		// the weight cores/(load+1).
		key := math.Log(1-random.Float64()) * float64(member.Load+1) / member.cores()
		draw := drawn{member: member, distance: distance(place, member.Place), key: key}
		if random.Float64() > member.cores()/largest {
			// A caller uses all that it is told alike. Where a data centre has no more daemons than
			// a caller is told, a small one would get as much as a large one, four times what it
			// bears; so a caller is told of it as seldom as it is smaller.
			draw.distance += seldom
		}
		draws = append(draws, draw)
	}
	slices.SortFunc(draws, func(one, other drawn) int {
		return cmp.Or(cmp.Compare(one.distance, other.distance), cmp.Compare(other.key, one.key))
	})
	addresses := make([]netip.AddrPort, 0, count)
	for _, draw := range draws[:min(count, len(draws))] {
		addresses = append(addresses, draw.member.Serve)
	}
	return addresses
}

// seldom is a distance beyond all others.
const seldom = 10

func (member *Member) cores() float64 {
	if member.Cores <= 0 {
		return 1
	}
	return member.Cores
}

func distance(one, other dogwoodfleet.Place) int {
	switch {
	case one.Region != other.Region:
		return 2
	case one.DataCentre != other.DataCentre:
		return 1
	default:
		return 0
	}
}
