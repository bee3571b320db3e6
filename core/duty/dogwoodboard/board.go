// Package dogwoodboard keeps the boards of all daemons alike: each daemon announces the
// work that it gives out to every other, so that each places requests with a view of the
// whole pool.
//
// An owner that places for all would see as much, at the price of a call for each request
// and of a time without one whenever it dies, freezes or is cut off. Announcements cost no
// waiting, and a daemon that is lost takes only the sight of its own work with it, until
// that work's deadlines pass. They grow with the square of the daemons that announce, so only
// hubs do (dogwoodhubs). A leaf to which callers come asks its hub for the whole view while
// they do, and announces its own work to that hub, which passes it on.
package dogwoodboard

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// Name is what the receiver is registered as with the peers' server.
	Name = "Board"
	// tellEvery is how often a daemon tells whether it serves when nothing else is to be
	// said: callers are sent to one that can't serve for this much longer.
	tellEvery = 300 * time.Millisecond
	// lookEvery is how often a leaf's link looks whether its daemon has become a hub.
	lookEvery = time.Second
	// tellWithin bounds one announcement; what it held is sent again, whole.
	tellWithin = time.Second
	// gather is how long news waits for more: a part of the way to another data centre.
	gather = 300 * time.Microsecond
	// afterFailure is the pause after an announcement that failed.
	afterFailure = 200 * time.Millisecond
	// expireEvery is how often work that has ended without a word is looked for.
	expireEvery = time.Second
	// heardWithin is how old a peer's last announcement may be for its word that it serves
	// to count: several announcements, and the time that one may take.
	heardWithin = 2 * time.Second
)

// Caller calls other daemons.
type Caller interface {
	Call(ctx context.Context, peer netip.AddrPort, method string, args, reply any) error
}

// Peer is another daemon.
type Peer struct {
	Instance dogwoodfleet.InstanceID
	Address  netip.AddrPort
}

// Item is work as it is announced. Moments are told as durations from now, since the
// daemons' clocks differ.
type Item struct {
	Work dogwoodpacking.Work
	Age  time.Duration
	Left time.Duration
}

// Avoid is an endpoint that a daemon could not reach.
type Avoid struct {
	Endpoint dogwoodfleet.EndpointID
	For      time.Duration
}

// Pace is the pace at which an engine was last seen to write, over that of one that is well.
type Pace struct {
	Endpoint dogwoodfleet.EndpointID
	Pace     float64
}

// Batch is one announcement.
type Batch struct {
	From dogwoodfleet.InstanceID
	// Whole means that Items is all the work of the daemon.
	Whole bool
	// Serves is false while the daemon can't serve callers.
	Serves bool
	// Leaves is how many daemons follow this one, Requests how many it gave out itself within
	// the last second.
	Leaves, Requests int
	Items            []Item
	Ended            []dogwoodpacking.WorkID
	Avoid            []Avoid
	Paces            []Pace
}

// Options are what a duty is made from.
type Options struct {
	Self   dogwoodfleet.InstanceID
	Board  *dogwoodpacking.Board
	Caller Caller
	// Peers lists the other hubs that are alive; for a leaf its hub.
	Peers func() []Peer
	// IsLeaf tells whether this daemon is a leaf now, Leaves how many follow it; nil for a fleet
	// that has no leaves.
	IsLeaf func() bool
	Leaves func() int
	// Expected is how many daemons there should be, this one included.
	Expected func() int
	// Senders are the daemons that take callers; nil for all.
	Senders func() dogwoodpacking.Senders
	// Watch returns a channel that is closed when the peers change.
	Watch func() <-chan struct{}
	// Serves tells whether this daemon can serve callers.
	Serves func() bool
	Logger hclog.Logger
}

// Duty announces this daemon's work and takes in that of others.
type Duty struct {
	options Options

	mutex sync.Mutex
	own   map[dogwoodpacking.WorkID]dogwoodpacking.Work
	links map[dogwoodfleet.InstanceID]*link
	heard map[dogwoodfleet.InstanceID]heard
	view  leafView
}

type heard struct {
	at     time.Time
	serves bool
	// leaves and requests are as in Batch.
	leaves, requests int
}

// New returns a duty.
func New(options Options) *Duty {
	return &Duty{
		options: options,
		own:     map[dogwoodpacking.WorkID]dogwoodpacking.Work{},
		links:   map[dogwoodfleet.InstanceID]*link{},
		heard:   map[dogwoodfleet.InstanceID]heard{},
		view:    leafView{wanted: make(chan struct{}, 1)},
	}
}

// Run announces until the context ends.
func (duty *Duty) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	group.Go(func() error { return duty.keepView(ctx) })
	for {
		changed := duty.options.Watch()
		peers := duty.options.Peers()
		duty.setSeen(len(peers) + 1)
		if duty.options.Senders != nil {
			duty.options.Board.SetSenders(duty.options.Senders())
		} else {
			duty.options.Board.SetSenders(dogwoodpacking.Senders{Count: len(peers) + 1})
		}
		duty.connect(ctx, group, peers)
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-changed:
		case now := <-ticker.C:
			duty.options.Board.Expire(now)
			duty.forget(now)
		}
	}
}

// connect starts a link to each new peer and ends those of peers that are gone.
func (duty *Duty) connect(ctx context.Context, group *errgroup.Group, peers []Peer) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	alive := map[dogwoodfleet.InstanceID]bool{}
	for _, peer := range peers {
		alive[peer.Instance] = true
		if duty.links[peer.Instance] != nil {
			continue
		}
		linkContext, cancel := context.WithCancel(ctx)
		made := newLink(peer, cancel)
		duty.links[peer.Instance] = made
		group.Go(func() error {
			duty.tell(linkContext, made)
			return nil
		})
	}
	for instance, link := range duty.links {
		if alive[instance] {
			continue
		}
		link.cancel()
		delete(duty.links, instance)
		delete(duty.heard, instance)
		duty.options.Board.RemoveHolder(instance, nil)
	}
}

// setSeen tells the board of how many daemons it has the work.
func (duty *Duty) setSeen(daemons int) {
	if duty.isLeaf() && duty.view.isFresh(time.Now()) {
		daemons = duty.options.Expected()
	}
	duty.options.Board.SetSeen(daemons, duty.options.Expected())
}

func (duty *Duty) isLeaf() bool {
	return duty.options.IsLeaf != nil && duty.options.IsLeaf()
}

// forget drops what was heard long ago: leaves that once announced work here.
func (duty *Duty) forget(now time.Time) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	maps.DeleteFunc(duty.heard, func(_ dogwoodfleet.InstanceID, heard heard) bool { return now.Sub(heard.at) > heardWithin })
}

// OtherLeaves is how many daemons follow the other hubs.
func (duty *Duty) OtherLeaves() int {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	leaves := 0
	for instance := range duty.links {
		leaves += duty.heard[instance].leaves
	}
	return leaves
}

// Requests is how many requests each hub gave out within the last second. Those of leaves are
// borne by the leaves.
func (duty *Duty) Requests(now time.Time) map[dogwoodfleet.InstanceID]int {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	requests := map[dogwoodfleet.InstanceID]int{duty.options.Self: duty.options.Board.OwnSent(now)}
	for instance := range duty.links {
		requests[instance] = duty.heard[instance].requests
	}
	return requests
}

// Place finds a place for a request and announces it.
func (duty *Duty) Place(now time.Time, ask *dogwoodpacking.Ask) (dogwoodpacking.Placement, dogwoodpacking.Refusal) {
	if duty.isLeaf() && ask.Prompt > 0 {
		duty.view.want(now)
	}
	ask.Holder = duty.options.Self
	placement, refusal := duty.options.Board.Place(now, ask)
	if refusal == dogwoodpacking.Placed {
		duty.note(placement.Work)
	}
	return placement, refusal
}

// Writes notes the first token of a request.
func (duty *Duty) Writes(id dogwoodpacking.WorkID, predicted, seen time.Duration) {
	if work, ok := duty.options.Board.Writes(time.Now(), id, predicted, seen); ok {
		duty.note(work)
	}
}

// End notes the end of a request.
func (duty *Duty) End(id dogwoodpacking.WorkID) {
	duty.options.Board.End(id)
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	delete(duty.own, id)
	for _, link := range duty.links {
		link.end(id)
	}
}

// Failed notes that an endpoint failed a request of this daemon.
func (duty *Duty) Failed(now time.Time, endpoint dogwoodfleet.EndpointID) {
	duty.options.Board.Failed(now, endpoint)
}

// Paced notes a short pause between two events of an answer that an engine wrote. All daemons
// learn of it: each alone would have to meet an engine that turns slow a few times.
func (duty *Duty) Paced(endpoint dogwoodfleet.EndpointID, pause time.Duration) {
	pace := duty.options.Board.Paced(endpoint, pause)
	if pace <= 0 {
		return
	}
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	for _, link := range duty.links {
		link.paced(endpoint, pace)
	}
}

// Avoid keeps new work of all daemons from an endpoint that can't be reached.
func (duty *Duty) Avoid(now time.Time, endpoint dogwoodfleet.EndpointID, how time.Duration) {
	duty.options.Board.Avoid(now, endpoint, how)
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	for _, link := range duty.links {
		link.avoid(Avoid{Endpoint: endpoint, For: how})
	}
}

// Changed returns a channel that is closed when a place may have come free.
func (duty *Duty) Changed() <-chan struct{} {
	return duty.options.Board.Changed()
}

// Other reports whether the service has an endpoint that the ask does not avoid.
func (duty *Duty) Other(ask *dogwoodpacking.Ask) bool {
	return duty.options.Board.Other(ask)
}

// Serves reports whether a peer said lately that it serves callers.
func (duty *Duty) Serves(instance dogwoodfleet.InstanceID) bool {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	heard := duty.heard[instance]
	return heard.serves && time.Since(heard.at) < heardWithin
}

func (duty *Duty) note(work dogwoodpacking.Work) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.own[work.ID] = work
	for _, link := range duty.links {
		link.put(work)
	}
}

// whole lists all of this daemon's work.
func (duty *Duty) whole() []dogwoodpacking.Work {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	works := make([]dogwoodpacking.Work, 0, len(duty.own))
	for _, work := range duty.own {
		works = append(works, work)
	}
	return works
}
