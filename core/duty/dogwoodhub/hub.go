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

// ErrNotNeeded is returned by Hub.Run when the hub is no longer needed.
var ErrNotNeeded = errors.New("this hub is not needed any more")

const (
	// checkInterval is how often a hub checks its leaves and the other hubs.
	checkInterval = 250 * time.Millisecond
	// settlingTime is how long a new hub assumes that the fleet is larger than what it sees: all
	// daemons that started with it have found a hub by then. Until then it counts only those hubs
	// as missing that every fleet needs.
	settlingTime = 3 * time.Second
	// promotionDelay is how long a new hub promotes no leaf: after a loss of power the other hubs
	// of its data centre may start a moment later, and it sees them only after two heartbeats.
	promotionDelay = time.Second
	// sustainedChecks is the number of checks for which a rate of requests must last to count, in
	// total a second: after a loss of power all callers send their requests at once, but only once.
	sustainedChecks = 4
	// promotionTTL is how long a promoted leaf counts as a hub before its heartbeats show that it
	// is one: it needs a write and a read of the store, and the heartbeats must reach all hubs.
	promotionTTL = 3 * time.Second
	// fallbackPromotionDelay is how long hubs must be missing in a data centre before a hub other
	// than its highest-ranked one promotes a leaf: that one may have no leaf or not see the shortage.
	fallbackPromotionDelay = 2 * time.Second
	// spareAfter is how long a hub must not have been needed before it becomes a leaf: requests
	// arrive in bursts, and daemons that were killed are back within some seconds.
	spareAfter = 30 * time.Second
	// rateDecay is the factor by which the highest rate of requests decays at each check, to half
	// after some nine seconds, so that no hub becomes a leaf during a pause in a burst.
	rateDecay = 0.98
)

// Tables are the tables whose updates a hub sends to its leaves.
type Tables interface {
	// Latest returns the changes of a table after a version, and a channel that is closed at the
	// next change or confirmation. It returns false if nothing is known of the table.
	Latest(table string, after int64) (dogwoodcopy.Answer, <-chan struct{}, bool)
}

// HubOptions configure a Hub.
type HubOptions struct {
	Self   dogwoodhubs.Daemon
	Tables Tables
	// TableNames are the tables that leaves may follow, at most two. Each confirmation of the first
	// counts as an update.
	TableNames []string
	Clock      dogwoodfreshness.Clock
	// Hubs returns the hubs that are alive, including this one.
	Hubs func() []dogwoodhubs.Daemon
	// OtherLeaves returns how many leaves the other hubs have.
	OtherLeaves func() int
	// Requests returns how many requests each hub sent to endpoints within the last second.
	Requests func(now time.Time) map[dogwoodfleet.InstanceID]int
	// DataCentres returns how many data centres there are.
	DataCentres func() int
	// StoreAway reports whether the store answers no daemon, as far as this one knows; nil for never.
	StoreAway func() bool
	// RefusedVersion returns the version of this daemon's list of refused requests; nil if it has none.
	RefusedVersion func() uint64
	Logger         hclog.Logger
}

// Hub answers the polls of leaves and promotes leaves to hubs. It is safe for concurrent use.
type Hub struct {
	options HubOptions

	mutex  sync.Mutex
	leaves map[dogwoodfleet.InstanceID]*leaf
	fleet  Fleet
	// changed is closed when the fleet changes.
	changed chan struct{}
	rates   map[dogwoodfleet.Place]*rate
	started time.Time
	// shortageSince is the time since which each data centre has had too few hubs.
	shortageSince map[dogwoodfleet.Place]time.Time
	lastNeeded    time.Time // when this hub was last needed
}

// rate is the rate of requests to the hubs of one data centre.
type rate struct {
	last    [sustainedChecks]float64
	samples int
	// highest is the highest sustained rate, with decay.
	highest float64
}

// add records the rate at one more check.
func (rate *rate) add(perSecond float64) {
	rate.last[rate.samples%sustainedChecks] = perSecond
	rate.samples++
	rate.highest = max(slices.Min(rate.last[:]), rateDecay*rate.highest)
}

// leaf is a daemon that follows this hub.
type leaf struct {
	dogwoodhubs.Daemon
	lastPoll   time.Time
	promotedAt time.Time // zero if never promoted
	wake       chan struct{}
}

// NewHub returns a hub without leaves.
func NewHub(options HubOptions) *Hub {
	now := time.Now()
	return &Hub{
		options: options, leaves: map[dogwoodfleet.InstanceID]*leaf{}, changed: make(chan struct{}),
		rates: map[dogwoodfleet.Place]*rate{}, started: now, lastNeeded: now, shortageSince: map[dogwoodfleet.Place]time.Time{},
	}
}

// Run checks leaves and hubs at regular intervals until the context ends, or returns ErrNotNeeded if
// the hub is spare.
func (hub *Hub) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		if hub.check(time.Now()) {
			return ErrNotNeeded
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Leaves returns how many daemons follow this hub.
func (hub *Hub) Leaves() int {
	hub.mutex.Lock()
	defer hub.mutex.Unlock()
	return len(hub.leaves)
}

// Daemons returns the number of daemons in the fleet, as counted at the last check, at least 1.
func (hub *Hub) Daemons() int {
	hub.mutex.Lock()
	defer hub.mutex.Unlock()
	return max(hub.fleet.Daemons, 1)
}

// check drops silent leaves, publishes changes, promotes leaves in data centres with too few
// hubs, and reports whether this hub itself is spare.
func (hub *Hub) check(now time.Time) (spare bool) {
	hubs, otherLeaves := hub.options.Hubs(), hub.options.OtherLeaves()
	requests := hub.options.Requests(now)
	hub.mutex.Lock()
	defer hub.mutex.Unlock()
	hub.addRates(hubs, requests)
	maps.DeleteFunc(hub.leaves, func(_ dogwoodfleet.InstanceID, leaf *leaf) bool { return now.Sub(leaf.lastPoll) > leafTTL })
	needs := dogwoodhubs.Needs{
		DataCentres: hub.options.DataCentres(), Daemons: len(hubs) + len(hub.leaves) + otherLeaves,
		Settled: now.Sub(hub.started) > settlingTime,
	}
	hub.publish(hubs, needs.Daemons)
	byPlace := hub.leavesByPlace()
	for place, leaves := range byPlace {
		if now.Sub(hub.started) < promotionDelay {
			break
		}
		hub.promote(now, place, leaves, hubs, needs)
	}
	return hub.isSpare(now, hubs, len(byPlace[hub.options.Self.Place]), otherLeaves, needs)
}

// addRates records how many requests arrived at each data centre.
func (hub *Hub) addRates(hubs []dogwoodhubs.Daemon, requests map[dogwoodfleet.InstanceID]int) {
	perSecond := map[dogwoodfleet.Place]float64{}
	for _, daemon := range hubs {
		perSecond[daemon.Place] += float64(requests[daemon.Instance])
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

// rate returns the highest sustained rate of requests to a data centre, with decay.
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

// publish updates the fleet that leaves receive, and wakes their polls if the hubs changed.
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

// promote asks the best leaf of a data centre to become a hub if there are too few hubs.
func (hub *Hub) promote(now time.Time, place dogwoodfleet.Place, leaves []*leaf, hubs []dogwoodhubs.Daemon, needs dogwoodhubs.Needs) {
	localHubs := inPlace(hubs, place)
	isHighestRanked := len(localHubs) == 0 || !slices.ContainsFunc(localHubs, func(other dogwoodhubs.Daemon) bool {
		return dogwoodhubs.Compare(other, hub.options.Self) < 0
	})
	var candidates []*leaf
	for _, leaf := range leaves {
		if now.Sub(leaf.promotedAt) < promotionTTL {
			localHubs = append(localHubs, leaf.Daemon)
		} else if !leaf.Away {
			candidates = append(candidates, leaf)
		}
	}
	needs.Leaves, needs.RequestsPerSecond = len(candidates), hub.rate(place)
	if len(candidates) == 0 || dogwoodhubs.Enough(localHubs, needs) {
		delete(hub.shortageSince, place)
		return
	}
	if hub.shortageSince[place].IsZero() {
		hub.shortageSince[place] = now
	}
	if !isHighestRanked && now.Sub(hub.shortageSince[place]) < fallbackPromotionDelay {
		return
	}
	best := slices.MinFunc(candidates, func(a, b *leaf) int { return dogwoodhubs.Compare(a.Daemon, b.Daemon) })
	best.promotedAt = now
	close(best.wake)
	best.wake = make(chan struct{})
	hub.options.Logger.Info("Promoted a leaf.", "vm", best.VM, "datacentre", place.DataCentre, "hubs", len(localHubs), "rate", needs.RequestsPerSecond)
}

func inPlace(hubs []dogwoodhubs.Daemon, place dogwoodfleet.Place) []dogwoodhubs.Daemon {
	var local []dogwoodhubs.Daemon
	for _, hub := range hubs {
		if hub.Place == place {
			local = append(local, hub)
		}
	}
	return local
}

// isSpare reports whether this hub has not been needed for longer than spareAfter. Leaves of other
// hubs are counted as if they were evenly distributed over the data centres.
func (hub *Hub) isSpare(now time.Time, hubs []dogwoodhubs.Daemon, leaves, otherLeaves int, needs dogwoodhubs.Needs) bool {
	needs.Leaves = leaves + otherLeaves/max(hub.options.DataCentres(), 1)
	needs.RequestsPerSecond = hub.rate(hub.options.Self.Place)
	if !dogwoodhubs.Spare(hub.options.Self, inPlace(hubs, hub.options.Self.Place), needs) {
		hub.lastNeeded = now
	}
	return now.Sub(hub.lastNeeded) > spareAfter
}
