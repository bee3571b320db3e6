// Package dogwoodhubs decides which daemons of a fleet are hubs.
//
// Load pattern: a fleet with far more daemons than its requests need, most of them small. If
// each daemon keeps a link to every other, tells it of its work and hears whether it lives,
// what one daemon pays grows with the fleet, and the fleet pays its square. So a few daemons
// of each data centre, the largest, are hubs: callers are told to use these, they alone place
// requests, know each other and follow the store. Every other daemon is a leaf, with a link to
// one hub that tells it what the store told and which daemons callers may use. A leaf serves
// callers who still come to it, and takes a hub's place as soon as hubs are missing.
//
// Hubs grow with the requests and, by mostLeaves, with the daemons; a leaf's cost with neither.
package dogwoodhubs

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// smallFleet is the number of daemons up to which all are hubs. So many are the fewest of
	// the usual size that a larger fleet has, over all data centres: one that dies takes a
	// twelfth of the requests with it. A larger daemon counts as several.
	smallFleet = 12
	// leastInCentre is the least number of hubs of a data centre, so that its leaves and
	// callers have another one when one dies.
	leastInCentre = 2
	// usualCores is the processor of a daemon of the usual size, and of one that does not say.
	usualCores = 0.4
	// coresPerRequest is the processor time that a request takes, in seconds of a core.
	coresPerRequest = 0.0065
	// aimedUse is the part of their processors that hubs use for requests: the load may double
	// before one waits for its processor.
	aimedUse = 0.4
	// mostLeaves is how many leaves a hub has at most, if there are enough daemons: a hub that
	// dies has so many daemons look for another one.
	mostLeaves = 50
	// joinPause is the mean pause of a daemon with one core before it offers itself as a hub:
	// longer than the store takes to tell it of one that was sooner. Smaller daemons wait longer.
	joinPause = 100 * time.Millisecond
	// leastCores is the processor below which a daemon waits no longer for its smallness.
	leastCores = 0.04
	// readersAsked is how many hubs a hub may ask for what the store holds, one after the other.
	readersAsked = 3
)

// Daemon is a daemon as far as its part in the fleet goes.
type Daemon struct {
	VM       dogwoodfleet.VM
	Instance dogwoodfleet.InstanceID
	Place    dogwoodfleet.Place
	// Serve is where callers connect, Peer where daemons do.
	Serve, Peer netip.AddrPort
	// Cores is the processor that it has; 0 if unknown.
	Cores float64
	// Away is true while callers must not be told to use it.
	Away bool
}

// Needs are what the hubs of one data centre must bear.
type Needs struct {
	// DataCentres is how many there are.
	DataCentres int
	// RequestsPerSecond come to the hubs of this data centre.
	RequestsPerSecond float64
	// Leaves are in this data centre, Daemons in the whole fleet, hubs included.
	Leaves, Daemons int
	// Settled is true once all daemons that live have been counted. Until then a large fleet
	// that starts looks like a small one.
	Settled bool
}

// Enough reports whether these hubs of a data centre bear what it needs.
func Enough(hubs []Daemon, needs Needs) bool {
	if needs.Leaves == 0 {
		return true // there is nobody else
	}
	if needs.Settled && isSmall(needs.Daemons) || len(hubs) < leastInCentre || len(hubs)*mostLeaves < needs.Leaves {
		return false
	}
	share := 1 / float64(max(needs.DataCentres, 1))
	weight, cores := 0.0, 0.0
	for _, hub := range hubs {
		weight += max(hub.cores()/usualCores, 1)
		cores += hub.cores()
	}
	return weight >= smallFleet*share && cores >= needs.RequestsPerSecond*coresPerRequest/aimedUse
}

// isSmall reports whether a fleet is so small that all its daemons are hubs.
func isSmall(daemons int) bool {
	return daemons <= smallFleet
}

// Spare reports whether a hub is the last of its data centre and the others suffice without
// it, also for half as many requests and leaves again.
func Spare(self Daemon, hubs []Daemon, needs Needs) bool {
	others := slices.DeleteFunc(slices.Clone(hubs), func(hub Daemon) bool { return hub.Instance == self.Instance })
	for _, other := range others {
		if Compare(other, self) > 0 {
			return false
		}
	}
	const margin = 1.5
	needs.RequestsPerSecond *= margin
	needs.Leaves = int(margin*float64(needs.Leaves)) + 1
	return Enough(others, needs)
}

// Compare orders daemons by who ought to be a hub first: the larger ones, among equals any,
// but the same at each daemon.
func Compare(one, other Daemon) int {
	return cmp.Or(cmp.Compare(other.cores(), one.cores()), cmp.Compare(one.rank(), other.rank()))
}

// JoinPause is the mean time that a daemon which found no hub waits before it offers itself.
// The largest are first, and those that come later find them.
func JoinPause(cores float64) time.Duration {
	return time.Duration(float64(joinPause) / max(Daemon{Cores: cores}.cores(), leastCores))
}

// Readers returns the hubs that one of them asks for what the store holds, the best first;
// none if it is to ask the store itself. All ask the same one, which asks the store, so that
// the store is asked no more often by a large fleet than by one daemon. Those that are next
// stand in other data centres and take its place in turn when it fails. In a small fleet each
// asks the store.
func Readers(hubs []Daemon, self Daemon, daemons int) []Daemon {
	if isSmall(daemons) {
		return nil
	}
	var readers []Daemon
	for _, hub := range readingOrder(hubs) {
		if hub.Instance == self.Instance || len(readers) == readersAsked {
			break
		}
		readers = append(readers, hub)
	}
	return readers
}

// readingOrder puts the first hub of each data centre before the second ones.
func readingOrder(hubs []Daemon) []Daemon {
	ordered := slices.SortedFunc(slices.Values(hubs), Compare)
	turn := make(map[dogwoodfleet.InstanceID]int, len(ordered))
	inCentre := map[dogwoodfleet.Place]int{}
	for _, hub := range ordered {
		turn[hub.Instance] = inCentre[hub.Place]
		inCentre[hub.Place]++
	}
	slices.SortStableFunc(ordered, func(one, other Daemon) int {
		return cmp.Or(cmp.Compare(turn[one.Instance], turn[other.Instance]), cmp.Compare(one.rank(), other.rank()))
	})
	return ordered
}

func (daemon Daemon) cores() float64 {
	if daemon.Cores <= 0 {
		return usualCores
	}
	return daemon.Cores
}

func (daemon Daemon) rank() uint64 {
	return xxhash.Sum64String(daemon.Serve.String())
}
