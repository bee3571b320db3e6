// Package dogwoodboard keeps the boards of all daemons alike: each daemon announces the
// work that it gives out to every other, so that each places requests with a view of the
// whole pool.
//
// An owner that places for all would see as much, at the price of a call for each request
// and of a time without one whenever it dies, freezes or is cut off. Announcements cost no
// waiting, and a daemon that is lost takes only the sight of its own work with it, until
// that work's deadlines pass. They would grow with the square of the daemons, so only those
// that callers are told to use hear of each request at once; the others are told once a
// second.
package dogwoodboard

import (
	"context"
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
	// tellIdleEvery is how often peers that stand by are told the news since the last time:
	// what they know of the pool when callers come to them is so much older, and half of
	// heardWithin leaves time for one announcement that is late.
	tellIdleEvery = time.Second
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
	Items  []Item
	Ended  []dogwoodpacking.WorkID
	Avoid  []Avoid
	Paces  []Pace
}

// Options are what a duty is made from.
type Options struct {
	Self   dogwoodfleet.InstanceID
	Board  *dogwoodpacking.Board
	Caller Caller
	// Peers lists the other daemons that are alive.
	Peers func() []Peer
	// Expected is how many daemons there should be, this one included.
	Expected func() int
	// Senders is how many daemons take callers, and whether this one stands by; nil for all.
	Senders func() (senders int, standsBy bool)
	// Watch returns a channel that is closed when the peers change.
	Watch func() <-chan struct{}
	// Serves tells whether this daemon can serve callers.
	Serves func() bool
	// Active tells whether a peer is one of those that callers are told to use; nil if all are.
	Active func(instance dogwoodfleet.InstanceID) bool
	Logger hclog.Logger
}

// Duty announces this daemon's work and takes in that of others.
type Duty struct {
	options Options

	mutex sync.Mutex
	own   map[dogwoodpacking.WorkID]dogwoodpacking.Work
	links map[dogwoodfleet.InstanceID]*link
	heard map[dogwoodfleet.InstanceID]heard
}

type heard struct {
	at     time.Time
	serves bool
}

// New returns a duty.
func New(options Options) *Duty {
	return &Duty{
		options: options,
		own:     map[dogwoodpacking.WorkID]dogwoodpacking.Work{},
		links:   map[dogwoodfleet.InstanceID]*link{},
		heard:   map[dogwoodfleet.InstanceID]heard{},
	}
}

// Run announces until the context ends.
func (duty *Duty) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		changed := duty.options.Watch()
		peers := duty.options.Peers()
		duty.options.Board.SetSeen(len(peers)+1, duty.options.Expected())
		if duty.options.Senders != nil {
			duty.options.Board.SetSenders(duty.options.Senders())
		} else {
			duty.options.Board.SetSenders(len(peers)+1, false)
		}
		duty.connect(ctx, group, peers)
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-changed:
		case <-ticker.C:
			duty.options.Board.Expire(time.Now())
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

// Place finds a place for a request and announces it.
func (duty *Duty) Place(now time.Time, ask *dogwoodpacking.Ask) (dogwoodpacking.Placement, dogwoodpacking.Refusal) {
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

// Receiver returns what other daemons call, to be registered as Name.
func (duty *Duty) Receiver() *Receiver {
	return &Receiver{duty: duty}
}

// Receiver takes announcements.
type Receiver struct {
	duty *Duty
}

// Tell takes in an announcement.
func (receiver *Receiver) Tell(batch Batch, reply *bool) error {
	duty, now := receiver.duty, time.Now()
	duty.mutex.Lock()
	duty.heard[batch.From] = heard{at: now, serves: batch.Serves}
	duty.mutex.Unlock()
	board := duty.options.Board
	kept := map[dogwoodpacking.WorkID]bool{}
	for _, item := range batch.Items {
		work := item.Work
		work.Begun, work.Until = now.Add(-item.Age), now.Add(item.Left)
		board.Put(now, work)
		kept[work.ID] = true
	}
	if batch.Whole {
		board.RemoveHolder(batch.From, kept)
	}
	for _, id := range batch.Ended {
		board.Remove(id)
	}
	for _, avoid := range batch.Avoid {
		board.Avoid(now, avoid.Endpoint, avoid.For)
	}
	for _, pace := range batch.Paces {
		board.PeerPaced(pace.Endpoint, pace.Pace)
	}
	*reply = true
	return nil
}
