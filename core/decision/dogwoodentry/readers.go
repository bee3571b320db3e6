package dogwoodentry

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dogwoodmux.example/core/dogwoodfleet"
)

// readersInCentre is how many daemons of a data centre read the store: one may die, and the
// others of the data centre have another one near.
const readersInCentre = 2

// Readers returns the daemons that a daemon may ask for what the store holds, the best
// first; none if it is to read the store itself. In a small fleet all do. In a larger one
// the largest daemons of each data centre do, so that the store is asked no more often than
// by a small fleet. Of these a daemon asks one in its own data centre, each another one, so
// that they have equal work.
func Readers(members []Member, self netip.AddrPort, place dogwoodfleet.Place) []netip.AddrPort {
	centres, usable := byPlace(members)
	if usable <= fewestActive {
		return nil
	}
	var readers []Member
	for _, inCentre := range centres {
		readers = append(readers, largest(inCentre, readersInCentre)...)
	}
	slices.SortFunc(readers, func(one, other Member) int {
		return cmp.Or(
			cmp.Compare(distance(place, one.Place), distance(place, other.Place)),
			cmp.Compare(rankFor(self, one), rankFor(self, other)),
		)
	})
	addresses := make([]netip.AddrPort, 0, len(readers))
	for _, reader := range readers {
		if reader.Serve == self {
			return nil
		}
		addresses = append(addresses, reader.Serve)
	}
	return addresses
}

// rankFor orders readers for one daemon, for each in another way.
func rankFor(self netip.AddrPort, reader Member) uint64 {
	return xxhash.Sum64String(self.String() + " " + reader.Serve.String())
}
