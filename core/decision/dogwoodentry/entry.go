// Package dogwoodentry selects the daemon addresses that are returned to a caller.
//
// Load pattern: there is no load balancer, so the addresses returned to callers determine how load
// is distributed, and callers use them for a while. A caller gets a few addresses of live daemons
// that aren't leaving, those in its own data centre first, selected at random with weights by free
// capacity. Without randomness, all callers that ask between two load reports would go to the same
// daemon. Without a second address, callers of a daemon that dies would have no daemon until they
// ask again.
package dogwoodentry

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Addresses is the number of addresses returned to a caller. With three, one daemon can die and
// another stop responding before the caller has to ask again.
const Addresses = 3

// Member is a daemon that callers may use.
type Member struct {
	Serve netip.AddrPort
	Place dogwoodfleet.Place
	// Leaving is true for a daemon that is shutting down or whose place was taken out of service.
	Leaving bool
	// Unready is true for a daemon that is alive but can't serve now, for example without the store.
	Unready bool
	// Load is the number of requests in progress; 0 if unknown.
	Load int
	// Cores is the number of cores; 0 if unknown.
	Cores float64
}

// Choose returns at most count addresses, the preferred ones first. place is the place of the
// caller or, if unknown, of the daemon that was asked. If no daemon is ready, it chooses among those that are
// not: they tell callers when to come back, and serve them again the moment they are ready. Callers without an
// address fail and ask again late.
func Choose(members []Member, place dogwoodfleet.Place, count int, random *rand.Rand) []netip.AddrPort {
	ready := slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return member.Unready })
	if chosen := choose(ready, place, count, random); len(chosen) > 0 {
		return chosen
	}
	return choose(members, place, count, random)
}

func choose(members []Member, place dogwoodfleet.Place, count int, random *rand.Rand) []netip.AddrPort {
	type sample struct {
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
	samples := make([]sample, 0, len(members))
	for i := range members {
		member := &members[i]
		if member.Leaving || !member.Serve.IsValid() {
			continue
		}
		// Weighted sampling without replacement takes the highest u^(1/w), computed here as
		// log(u)/w with the weight w = cores/(load+1).
		key := math.Log(1-random.Float64()) * float64(member.Load+1) / member.cores()
		drawn := sample{member: member, distance: distance(place, member.Place), key: key}
		if random.Float64() > member.cores()/largest {
			// Callers spread their requests evenly over the returned addresses. In a data centre
			// with no more daemons than addresses, a small daemon would get as many requests as a
			// large one, four times what it can handle. Therefore an address is moved behind the
			// others with probability 1 - cores/largest.
			drawn.distance += deferredDistance
		}
		samples = append(samples, drawn)
	}
	slices.SortFunc(samples, func(a, b sample) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.key, a.key))
	})
	addresses := make([]netip.AddrPort, 0, count)
	for _, chosen := range samples[:min(count, len(samples))] {
		addresses = append(addresses, chosen.member.Serve)
	}
	return addresses
}

// deferredDistance is added to a distance to sort an address behind those without it. It exceeds
// every result of distance.
const deferredDistance = 10

func (member *Member) cores() float64 {
	if member.Cores <= 0 {
		return 1
	}
	return member.Cores
}

// distance returns 0 for places in the same data centre, 1 within a region and 2 otherwise.
func distance(a, b dogwoodfleet.Place) int {
	switch {
	case a.Region != b.Region:
		return 2
	case a.DataCentre != b.DataCentre:
		return 1
	default:
		return 0
	}
}
