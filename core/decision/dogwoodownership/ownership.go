// Package dogwoodownership decides which daemon is the owner of an endpoint: the one that
// queues requests for it, grants its slots and monitors its health.
//
// Load pattern: daemons start and stop throughout the day (1,200 restarts at the planned
// size). Without a stable choice every restart would move every queue. With rendezvous
// (highest random weight) hashing, a change of one of n daemons moves only the 1/n of the
// endpoints that it owned. Daemons that have the same view of which daemons are alive choose
// the same owner without communicating. Two daemons may disagree for one heartbeat interval.
// This does no harm, since a new owner at first grants nothing, and then no more than the cold
// limit for a while (see dogwoodowner).
package dogwoodownership

import (
	"github.com/cespare/xxhash/v2"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Member is a daemon that may own endpoints.
type Member struct {
	Instance dogwoodfleet.InstanceID
	Place    dogwoodfleet.Place
	// Leaving is true for a daemon that is shutting down. It is assigned no endpoint.
	Leaving bool
}

// Owner returns the index in alive of the endpoint's owner: the member with the highest
// hash among those in the endpoint's data centre, else in its region, else among all. It
// returns -1 if every member is leaving or alive is empty.
func Owner(endpoint *dogwoodfleet.Endpoint, alive []Member) int {
	best, bestDistance, bestScore := -1, 0, uint64(0)
	endpointHash := xxhash.Sum64String(string(endpoint.ID))
	for i := range alive {
		member := &alive[i]
		if member.Leaving {
			continue
		}
		distance := Distance(endpoint.Place, member.Place)
		score := mix(endpointHash ^ xxhash.Sum64String(string(member.Instance)))
		if best < 0 || distance < bestDistance || distance == bestDistance && score > bestScore {
			best, bestDistance, bestScore = i, distance, score
		}
	}
	return best
}

// Home returns the index of the member that holds the shared state of a key, selected by the
// highest hash, or -1 if there are no members. Leaving members keep their keys until they
// have left, since the state that they hold expires.
func Home(key string, members []Member) int {
	best, bestScore := -1, uint64(0)
	keyHash := xxhash.Sum64String(key)
	for i := range members {
		if score := mix(keyHash ^ xxhash.Sum64String(string(members[i].Instance))); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// Distance returns 0 within a data centre, 1 within a region and 2 across regions.
func Distance(a, b dogwoodfleet.Place) int {
	switch {
	case a.Region != b.Region:
		return 2
	case a.DataCentre != b.DataCentre:
		return 1
	default:
		return 0
	}
}

// mix applies the xorshift* finaliser to the combined hash, so that each endpoint ranks the
// members in a different order.
func mix(value uint64) uint64 {
	value ^= value >> 12
	value ^= value << 25
	value ^= value >> 27
	return value * 2685821657736338717
}
