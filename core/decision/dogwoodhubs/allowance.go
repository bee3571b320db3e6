package dogwoodhubs

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// sizeTTL is how long daemons that are no longer seen count. They may only be cut off from the daemon that counts: two
	// parts of a fleet that don't see each other would otherwise each divide the whole of an allowance.
	sizeTTL = 10 * time.Minute
	// maxLeafPart is the part of an allowance that all leaves get together at most.
	maxLeafPart = 0.25
	// drawnPart is the part of an allowance that is given out in single units if there are too few for all daemons. Their
	// number varies, since each daemon draws its own.
	drawnPart = 0.75
)

// Counts are the numbers of hubs and leaves of a fleet.
type Counts struct {
	Hubs, Leaves int
}

func (counts Counts) atLeast(other Counts) Counts {
	return Counts{Hubs: max(counts.Hubs, other.Hubs), Leaves: max(counts.Leaves, other.Leaves)}
}

// FleetSize remembers the most hubs and leaves that a daemon has seen. Its zero value has seen none. It is safe for
// concurrent use.
type FleetSize struct {
	mutex sync.Mutex
	// most holds the highest counts of the present period of sizeTTL, earlier those of the one before.
	most, earlier Counts
	periodEnd     time.Time
}

// Record records the counts that a daemon sees now and returns the highest ones of the last sizeTTL or longer.
func (fleetSize *FleetSize) Record(now time.Time, seen Counts) Counts {
	fleetSize.mutex.Lock()
	defer fleetSize.mutex.Unlock()
	if now.After(fleetSize.periodEnd) {
		fleetSize.earlier, fleetSize.most = fleetSize.most, Counts{}
		fleetSize.periodEnd = now.Add(sizeTTL)
	}
	fleetSize.most = fleetSize.most.atLeast(seen)
	return fleetSize.most.atLeast(fleetSize.earlier)
}

// Allowance is a number of retries, or the like, that the daemons of a fleet divide. As far as they count the same daemons, their
// shares add up to no more than the whole.
//
// Hubs serve nearly all requests. A leaf gets one whole unit, as a part of one is of no use, and the hubs get the rest. If
// the units don't suffice for all, some daemons, drawn by a hash of their VMs, get one and the others none.
type Allowance float64

// Share returns the share of the daemon on a VM.
func (allowance Allowance) Share(vm dogwoodfleet.VM, counts Counts, isHub bool) float64 {
	total := float64(allowance)
	leafTotal := min(float64(counts.Leaves), maxLeafPart*total)
	if isHub {
		return inUnits(vm, (total-leafTotal)/float64(max(counts.Hubs, 1)))
	}
	return inUnits(vm, leafTotal/float64(max(counts.Leaves, 1)))
}

// inUnits returns a share of less than one unit as one unit or none.
func inUnits(vm dogwoodfleet.VM, share float64) float64 {
	if share >= 1 {
		return share
	}
	if float64(xxhash.Sum64String(string(vm)))/math.MaxUint64 < drawnPart*share {
		return 1
	}
	return 0
}
