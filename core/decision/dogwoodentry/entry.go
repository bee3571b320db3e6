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
	draws := make([]drawn, 0, len(members))
	for i := range members {
		member := &members[i]
		if member.Leaving || !member.Serve.IsValid() {
			continue
		}
		// Weighted sampling without replacement: the highest u^(1/w), here as log(u)/w with
		// the weight cores/(load+1).
		cores := member.Cores
		if cores <= 0 {
			cores = 1
		}
		key := math.Log(1-random.Float64()) * float64(member.Load+1) / cores
		draws = append(draws, drawn{member: member, distance: distance(place, member.Place), key: key})
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
