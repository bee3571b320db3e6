package dogwoodhub

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodfreshness"
	"dogwoodmux.example/core/decision/dogwoodhubs"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/state/dogwoodcopy"
)

// ErrSpare is how a hub ends that is not needed.
var ErrSpare = errors.New("this hub is not needed any more")

const (
	// lookEvery is how often a hub looks at its leaves and the other hubs.
	lookEvery = 250 * time.Millisecond
	// settleFor is how long a new hub takes the fleet for larger than it looks: all daemons
	// that started with it have found a hub by then. Until then it may be missing only what
	// every fleet needs.
	settleFor = 3 * time.Second
	// firstLook is how long a new hub promotes nobody: after a loss of power the other hubs of
	// its data centre may be up a moment later than itself, and two heartbeats until it sees them.
	firstLook = time.Second
	// sustained is for how many looks a rate of requests must last to count, a second: after a
	// loss of power all callers come back at once, and once.
	sustained = 4
	// promotedFor is how long a promoted leaf counts as a hub although it has not been heard as
	// one: a write and a read of the store, and the heartbeats until all know of it.
	promotedFor = 3 * time.Second
	// othersFirst is how long hubs are missing before another hub than the first one of the
	// data centre promotes a leaf: the first one may have no leaf, or not see what is missing.
	othersFirst = 2 * time.Second
	// spareAfter is how long a hub must not have been needed to become a leaf: callers come in
	// bursts, and daemons that were killed are back within some seconds.
	spareAfter = 30 * time.Second
	// rateFade is what remains of the highest rate of requests at each look, half after some
	// nine seconds, so that a pause in a burst costs no hub.
	rateFade = 0.98
)

// Tables are what a hub tells its leaves of.
type Tables interface {
	// Latest returns what changed of a table after a version, and a channel that is closed at
	// the next news or proof; false if nothing is known.
	Latest(table string, after int64) (dogwoodcopy.Answer, <-chan struct{}, bool)
}

// HubOptions are what a hub is made from.
type HubOptions struct {
	Self   dogwoodhubs.Daemon
	Tables Tables
	// Names are the tables that leaves may ask for, at most two; proofs of the first are news.
	Names []string
	Clock dogwoodfreshness.Clock
	// Hubs lists the hubs alive, this one included.
	Hubs func() []dogwoodhubs.Daemon
	// OtherLeaves is how many leaves the other hubs have.
	OtherLeaves func() int
	// Requests is how many requests each hub gave out within the last second.
	Requests    func(now time.Time) map[dogwoodfleet.InstanceID]int
	DataCentres int
	Logger      hclog.Logger
}

// Hub answers leaves. It is safe for concurrent use.
type Hub struct {
	options HubOptions

	mutex  sync.Mutex
	leaves map[dogwoodfleet.InstanceID]*leaf
	fleet  Fleet
	// changed is closed when the fleet changes.
	changed chan struct{}
	rates   map[dogwoodfleet.Place]*rate
	started time.Time
	// missing is since when each data centre has had too few hubs.
	missing map[dogwoodfleet.Place]time.Time
	needed  time.Time // when this hub was last needed
}

// rate is that of the requests to the hubs of one data centre.
type rate struct {
	last  [sustained]float64
	looks int
	// highest is the highest rate that lasted, faded.
	highest float64
}

// add takes in the rate of one more look.
func (rate *rate) add(perSecond float64) {
	rate.last[rate.looks%sustained] = perSecond
	rate.looks++
	rate.highest = max(slices.Min(rate.last[:]), rateFade*rate.highest)
}

// leaf is a daemon that follows this hub.
type leaf struct {
	dogwoodhubs.Daemon
	asked    time.Time
	promoted time.Time // zero if it was not
	wake     chan struct{}
}

// NewHub returns a hub without leaves.
func NewHub(options HubOptions) *Hub {
	now := time.Now()
	return &Hub{
		options: options, leaves: map[dogwoodfleet.InstanceID]*leaf{}, changed: make(chan struct{}),
		rates: map[dogwoodfleet.Place]*rate{}, started: now, needed: now, missing: map[dogwoodfleet.Place]time.Time{},
	}
}

// Run looks after the leaves until the context ends or the hub is spare.
func (hub *Hub) Run(ctx context.Context) error {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		if hub.look(time.Now()) {
			return ErrSpare
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Leaves is how many daemons follow this hub.
func (hub *Hub) Leaves() int {
	hub.mutex.Lock()
	defer hub.mutex.Unlock()
	return len(hub.leaves)
}

// Daemons is how many daemons there are, as far as the hubs know.
func (hub *Hub) Daemons() int {
	hub.mutex.Lock()
	defer hub.mutex.Unlock()
	return max(hub.fleet.Daemons, 1)
}

// look forgets silent leaves, tells of changes, promotes leaves where hubs are missing, and
// returns whether this hub itself is spare.
func (hub *Hub) look(now time.Time) (spare bool) {
	hubs, others := hub.options.Hubs(), hub.options.OtherLeaves()
	requests := hub.options.Requests(now)
	hub.mutex.Lock()
	defer hub.mutex.Unlock()
	hub.addRates(hubs, requests)
	maps.DeleteFunc(hub.leaves, func(_ dogwoodfleet.InstanceID, leaf *leaf) bool { return now.Sub(leaf.asked) > silence })
	needs := dogwoodhubs.Needs{
		DataCentres: hub.options.DataCentres, Daemons: len(hubs) + len(hub.leaves) + others,
		Settled: now.Sub(hub.started) > settleFor,
	}
	hub.publish(hubs, needs.Daemons)
	byPlace := hub.leavesByPlace()
	for place, leaves := range byPlace {
		if now.Sub(hub.started) < firstLook {
			break
		}
		hub.promote(now, place, leaves, hubs, needs)
	}
	return hub.isSpare(now, hubs, len(byPlace[hub.options.Self.Place]), others, needs)
}

// addRates takes in how many requests came to each data centre.
func (hub *Hub) addRates(hubs []dogwoodhubs.Daemon, requests map[dogwoodfleet.InstanceID]int) {
	perSecond := map[dogwoodfleet.Place]float64{}
	for _, each := range hubs {
		perSecond[each.Place] += float64(requests[each.Instance])
	}
	for place := range perSecond {
		if hub.rates[place] == nil {
			hub.rates[place] = &rate{}
		}
	}
	for place, rate := range hub.rates {
		rate.add(perSecond[place])
	}
}

// rate is the lasting rate of requests to a data centre.
func (hub *Hub) rate(place dogwoodfleet.Place) float64 {
	if rate := hub.rates[place]; rate != nil {
		return rate.highest
	}
	return 0
}

func (hub *Hub) leavesByPlace() map[dogwoodfleet.Place][]*leaf {
	byPlace := map[dogwoodfleet.Place][]*leaf{}
	for _, leaf := range hub.leaves {
		byPlace[leaf.Place] = append(byPlace[leaf.Place], leaf)
	}
	return byPlace
}

// publish takes in the hubs for the leaves to know, and wakes them if these changed.
func (hub *Hub) publish(hubs []dogwoodhubs.Daemon, daemons int) {
	hub.fleet.Daemons = daemons
	if hub.fleet.Version > 0 && slices.Equal(hubs, hub.fleet.Hubs) {
		return
	}
	hub.fleet.Version++
	hub.fleet.Hubs = slices.Clone(hubs)
	close(hub.changed)
	hub.changed = make(chan struct{})
}

// promote asks the best leaf of a data centre to become a hub if too few are there.
func (hub *Hub) promote(now time.Time, place dogwoodfleet.Place, leaves []*leaf, hubs []dogwoodhubs.Daemon, needs dogwoodhubs.Needs) {
	there := inPlace(hubs, place)
	first := len(there) == 0 || !slices.ContainsFunc(there, func(other dogwoodhubs.Daemon) bool {
		return dogwoodhubs.Compare(other, hub.options.Self) < 0
	})
	var waiting []*leaf
	for _, leaf := range leaves {
		if now.Sub(leaf.promoted) < promotedFor {
			there = append(there, leaf.Daemon)
		} else if !leaf.Away {
			waiting = append(waiting, leaf)
		}
	}
	needs.Leaves, needs.RequestsPerSecond = len(waiting), hub.rate(place)
	if len(waiting) == 0 || dogwoodhubs.Enough(there, needs) {
		delete(hub.missing, place)
		return
	}
	if hub.missing[place].IsZero() {
		hub.missing[place] = now
	}
	if !first && now.Sub(hub.missing[place]) < othersFirst {
		return
	}
	best := slices.MinFunc(waiting, func(one, other *leaf) int { return dogwoodhubs.Compare(one.Daemon, other.Daemon) })
	best.promoted = now
	close(best.wake)
	best.wake = make(chan struct{})
	hub.options.Logger.Info("Promoted a leaf.", "vm", best.VM, "datacentre", place.DataCentre, "hubs", len(there), "rate", needs.RequestsPerSecond)
}

func inPlace(hubs []dogwoodhubs.Daemon, place dogwoodfleet.Place) []dogwoodhubs.Daemon {
	var there []dogwoodhubs.Daemon
	for _, hub := range hubs {
		if hub.Place == place {
			there = append(there, hub)
		}
	}
	return there
}

// isSpare reports whether this hub has not been needed for long. Leaves of other hubs count as
// if they were evenly spread over the data centres.
func (hub *Hub) isSpare(now time.Time, hubs []dogwoodhubs.Daemon, leaves, others int, needs dogwoodhubs.Needs) bool {
	needs.Leaves = leaves + others/max(hub.options.DataCentres, 1)
	needs.RequestsPerSecond = hub.rate(hub.options.Self.Place)
	if !dogwoodhubs.Spare(hub.options.Self, inPlace(hubs, hub.options.Self.Place), needs) {
		hub.needed = now
	}
	return now.Sub(hub.needed) > spareAfter
}
