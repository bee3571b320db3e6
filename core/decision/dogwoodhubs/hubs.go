// Package dogwoodhubs decides which daemons of a fleet are hubs.
//
// Load pattern: a fleet has far more daemons than its requests need, most of them small. If each
// daemon kept a connection to every other one to exchange load reports and heartbeats, the cost
// per daemon would grow linearly with the fleet and the total cost quadratically. Therefore a few
// of the largest daemons of each data centre are hubs: callers are directed to them, and only hubs
// assign requests to endpoints, connect to each other and watch the store. Every other daemon is a
// leaf with a connection to one hub, which forwards the store's updates and the list of daemons
// that callers may use. A leaf still serves callers that connect to it, and is promoted to a hub
// when there are too few hubs.
//
// The number of hubs grows with the request rate and, because of maxLeavesPerHub, with the number
// of daemons. The cost of a leaf depends on neither.
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
	// smallFleetSize is the number of daemons up to which all are hubs. It is also the minimum
	// number of hubs of typical size in a larger fleet, over all data centres, so that the death of
	// a typical one affects at most a twelfth of the requests. A larger daemon counts as several.
	smallFleetSize = 12
	// minHubsPerDataCentre is the minimum number of hubs in a data centre, so that its leaves and
	// callers can fail over when one dies.
	minHubsPerDataCentre = 2
	// typicalCores is the number of cores of a daemon of typical size. It is assumed for daemons
	// that report none.
	typicalCores = 0.4
	// coresPerRequest is the CPU time per request in core-seconds.
	coresPerRequest = 0.0065
	// targetUtilization is the share of CPU that hubs use for requests, so that the load can double
	// before requests wait for CPU.
	targetUtilization = 0.4
	// maxLeavesPerHub is the maximum number of leaves per hub if there are enough daemons. It bounds
	// how many daemons look for another hub at once when one dies.
	maxLeavesPerHub = 50
	// baseJoinDelay is the mean delay before a daemon with one core offers itself as a hub. It is
	// longer than the store takes to report a hub that was registered earlier. Smaller daemons wait
	// longer.
	baseJoinDelay = 100 * time.Millisecond
	// minJoinCores is the number of cores below which the join delay doesn't grow further.
	minJoinCores = 0.04
	// maxReaders is the maximum number of hubs that a hub tries, in order, to read the store's
	// contents from.
	maxReaders = 3
)

// Daemon holds the properties of a daemon that decide whether it is a hub or a leaf.
type Daemon struct {
	VM       dogwoodfleet.VM
	Instance dogwoodfleet.InstanceID
	Place    dogwoodfleet.Place
	// Serve is the address for callers and Peer the address for other daemons.
	Serve, Peer netip.AddrPort
	// Cores is the number of cores; 0 if unknown.
	Cores float64
	// Away is true while callers must not be directed to the daemon.
	Away bool
}

// Needs describes the load that the hubs of one data centre must handle.
type Needs struct {
	// DataCentres is the number of data centres.
	DataCentres int
	// RequestsPerSecond is the request rate of this data centre's hubs.
	RequestsPerSecond float64
	// Leaves is the number of leaves in this data centre. Daemons is the number of daemons in the
	// whole fleet, including hubs.
	Leaves, Daemons int
	// Settled is true once all running daemons have been counted. Until then a large fleet that
	// is starting looks like a small one.
	Settled bool
}

// Enough reports whether the hubs of a data centre can handle its load.
func Enough(hubs []Daemon, needs Needs) bool {
	if needs.Leaves == 0 {
		return true // no leaf is left to promote
	}
	if needs.Settled && isSmall(needs.Daemons) || len(hubs) < minHubsPerDataCentre || len(hubs)*maxLeavesPerHub < needs.Leaves {
		return false
	}
	share := 1 / float64(max(needs.DataCentres, 1))
	weight, cores := 0.0, 0.0
	for _, hub := range hubs {
		weight += max(hub.cores()/typicalCores, 1)
		cores += hub.cores()
	}
	return weight >= smallFleetSize*share && cores >= needs.RequestsPerSecond*coresPerRequest/targetUtilization
}

// isSmall reports whether all daemons of a fleet of this size are hubs.
func isSmall(daemons int) bool {
	return daemons <= smallFleetSize
}

// Spare reports whether a hub is the last one of its data centre in the order of Compare and the
// other hubs are enough without it, even with 50% more requests and leaves.
func Spare(self Daemon, hubs []Daemon, needs Needs) bool {
	others := slices.DeleteFunc(slices.Clone(hubs), func(hub Daemon) bool { return hub.Instance == self.Instance })
	for _, other := range others {
		if Compare(other, self) > 0 {
			return false
		}
	}
	const headroom = 1.5
	needs.RequestsPerSecond *= headroom
	needs.Leaves = int(headroom*float64(needs.Leaves)) + 1
	return Enough(others, needs)
}

// Compare orders daemons by their preference as hubs: larger ones first. Ties are broken by an
// arbitrary order that is the same on every daemon.
func Compare(a, b Daemon) int {
	return cmp.Or(cmp.Compare(b.cores(), a.cores()), cmp.Compare(a.tieBreak(), b.tieBreak()))
}

// JoinDelay returns the mean delay before a daemon that found no hub offers itself as one. Larger
// daemons wait less, so smaller ones find them as hubs.
func JoinDelay(cores float64) time.Duration {
	return time.Duration(float64(baseJoinDelay) / max(Daemon{Cores: cores}.cores(), minJoinCores))
}

// StoreReaders returns the hubs from which the hub self reads the store's contents, in order of
// preference, or none if self reads the store directly. All hubs prefer the same one, which reads
// the store, so that a large fleet reads it no more often than one daemon. The fallbacks are in
// other data centres and replace it in order when it fails. In a small fleet every hub reads the
// store directly.
func StoreReaders(hubs []Daemon, self Daemon, daemons int) []Daemon {
	if isSmall(daemons) {
		return nil
	}
	var readers []Daemon
	for _, hub := range readerOrder(hubs) {
		if hub.Instance == self.Instance || len(readers) == maxReaders {
			break
		}
		readers = append(readers, hub)
	}
	return readers
}

// StoreFallbacks returns the hubs that the hub self queries while the store does not answer it, in order of
// preference: those that would read the store in its place.
func StoreFallbacks(hubs []Daemon, self Daemon) []Daemon {
	others := slices.DeleteFunc(readerOrder(hubs), func(hub Daemon) bool { return hub.Instance == self.Instance })
	return others[:min(len(others), maxReaders)]
}

// readerOrder sorts hubs so that the first hub of each data centre comes before the second ones.
func readerOrder(hubs []Daemon) []Daemon {
	ordered := slices.SortedFunc(slices.Values(hubs), Compare)
	indexInPlace := make(map[dogwoodfleet.InstanceID]int, len(ordered))
	countByPlace := map[dogwoodfleet.Place]int{}
	for _, hub := range ordered {
		indexInPlace[hub.Instance] = countByPlace[hub.Place]
		countByPlace[hub.Place]++
	}
	slices.SortStableFunc(ordered, func(a, b Daemon) int {
		return cmp.Or(cmp.Compare(indexInPlace[a.Instance], indexInPlace[b.Instance]), cmp.Compare(a.tieBreak(), b.tieBreak()))
	})
	return ordered
}

func (daemon Daemon) cores() float64 {
	if daemon.Cores <= 0 {
		return typicalCores
	}
	return daemon.Cores
}

func (daemon Daemon) tieBreak() uint64 {
	return xxhash.Sum64String(daemon.Serve.String())
}
