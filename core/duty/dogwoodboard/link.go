package dogwoodboard

import (
	"context"
	"sync"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

// link queues the updates that have not been announced to one peer yet. Updates that arrive
// during an announcement are sent together in the next one, so a slow peer receives fewer and
// larger announcements.
type link struct {
	peer   Peer
	cancel context.CancelFunc
	wake   chan struct{}

	mutex   sync.Mutex
	whole   bool
	works   map[dogwoodpacking.WorkID]dogwoodpacking.Work
	ended   []dogwoodpacking.WorkID
	avoided []Avoid
	paces   map[dogwoodfleet.EndpointID]float64
}

func newLink(peer Peer, cancel context.CancelFunc) *link {
	return &link{
		peer: peer, cancel: cancel, whole: true, wake: make(chan struct{}, 1),
		works: map[dogwoodpacking.WorkID]dogwoodpacking.Work{},
		paces: map[dogwoodfleet.EndpointID]float64{},
	}
}

func (link *link) put(work dogwoodpacking.Work) {
	link.mutex.Lock()
	link.works[work.ID] = work
	link.mutex.Unlock()
	link.signal()
}

func (link *link) end(id dogwoodpacking.WorkID) {
	link.mutex.Lock()
	delete(link.works, id)
	link.ended = append(link.ended, id)
	link.mutex.Unlock()
	link.signal()
}

func (link *link) avoid(avoid Avoid) {
	link.mutex.Lock()
	link.avoided = append(link.avoided, avoid)
	link.mutex.Unlock()
	link.signal()
}

// setPace queues a pace without a signal: it is sent with the next announcement.
func (link *link) setPace(endpoint dogwoodfleet.EndpointID, pace float64) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.paces[endpoint] = pace
}

func (link *link) signal() {
	select {
	case link.wake <- struct{}{}:
	default:
	}
}

// drain moves the queued updates into an announcement.
func (link *link) drain() (batch Batch, works []dogwoodpacking.Work) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	batch = Batch{Whole: link.whole, Ended: link.ended, Avoid: link.avoided}
	for _, work := range link.works {
		works = append(works, work)
	}
	for endpoint, pace := range link.paces {
		batch.Paces = append(batch.Paces, Pace{Endpoint: endpoint, Pace: pace})
	}
	clear(link.works)
	clear(link.paces)
	link.whole, link.ended, link.avoided = false, nil, nil
	return batch, works
}

// resync makes the next announcement list all work, since the updates of the failed one may
// not have arrived.
func (link *link) resync() {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.whole = true
}

// runLink announces to one peer until the context ends.
func (duty *Duty) runLink(ctx context.Context, link *link) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		// The delay lets a slot that is freed and taken again be sent in one announcement.
		if !duty.awaitDue(ctx, link, timer) || !dogwoodkernel.Sleep(ctx, batchDelay) {
			return
		}
		pause := announceInterval
		if err := duty.announce(ctx, link); err != nil {
			duty.options.Logger.Debug("An announcement failed.", "peer", link.peer.Instance, "error", err)
			link.resync()
			pause = failureBackoff
			if !dogwoodkernel.Sleep(ctx, pause) {
				return
			}
		}
		timer.Reset(pause)
	}
}

// awaitDue waits until an announcement is due and returns true, or false when the context has
// ended. A leaf announces only when it has an update.
func (duty *Duty) awaitDue(ctx context.Context, link *link, timer *time.Timer) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-link.wake:
			return true
		case <-timer.C:
			if !duty.isLeaf() {
				return true
			}
			timer.Reset(roleCheckInterval)
		}
	}
}

// announce sends the queued updates to one peer, or all work if the link has to resync.
func (duty *Duty) announce(ctx context.Context, link *link) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	batch, works := link.drain()
	if batch.Whole {
		works = duty.ownWork()
	}
	batch.From, batch.Serves = duty.options.Self, duty.options.Serves()
	if duty.options.Leaves != nil {
		batch.Leaves = duty.options.Leaves()
	}
	now := time.Now()
	batch.Requests = duty.options.Board.RecentOwnSends(now)
	for _, work := range works {
		batch.Items = append(batch.Items, newItem(work, now))
	}
	var reply bool
	return duty.options.Caller.Call(ctx, link.peer.Address, Name+".Tell", batch, &reply)
}
