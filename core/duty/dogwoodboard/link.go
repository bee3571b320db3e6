package dogwoodboard

import (
	"context"
	"sync"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

// link gathers what one peer has not been told yet. What comes while an announcement is
// under way goes out together with the next one, so a slow peer gets fewer and larger ones.
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

// paced waits for other news: it is worth no announcement of its own.
func (link *link) paced(endpoint dogwoodfleet.EndpointID, pace float64) {
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

// take empties the link into an announcement.
func (link *link) take() (batch Batch, works []dogwoodpacking.Work) {
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

// lost has the next announcement tell all: what this one held may not have come.
func (link *link) lost() {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.whole = true
}

// tell announces to one peer until the context ends.
func (duty *Duty) tell(ctx context.Context, link *link) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		// A slot that is freed and taken again at once is told in one announcement.
		if !duty.await(ctx, link, timer) || !dogwoodkernel.Sleep(ctx, gather) {
			return
		}
		pause := tellEvery
		if err := duty.announce(ctx, link); err != nil {
			duty.options.Logger.Debug("An announcement failed.", "peer", link.peer.Instance, "error", err)
			link.lost()
			pause = afterFailure
			if !dogwoodkernel.Sleep(ctx, pause) {
				return
			}
		}
		timer.Reset(pause)
	}
}

// await returns when it is time for an announcement, false when the context has ended. A leaf
// announces only news.
func (duty *Duty) await(ctx context.Context, link *link, timer *time.Timer) bool {
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
			timer.Reset(lookEvery)
		}
	}
}

func (duty *Duty) announce(ctx context.Context, link *link) error {
	ctx, cancel := context.WithTimeout(ctx, tellWithin)
	defer cancel()
	batch, works := link.take()
	if batch.Whole {
		works = duty.whole()
	}
	batch.From, batch.Serves = duty.options.Self, duty.options.Serves()
	if duty.options.Leaves != nil {
		batch.Leaves = duty.options.Leaves()
	}
	now := time.Now()
	batch.Requests = duty.options.Board.OwnSent(now)
	for _, work := range works {
		batch.Items = append(batch.Items, itemOf(work, now))
	}
	var reply bool
	return duty.options.Caller.Call(ctx, link.peer.Address, Name+".Tell", batch, &reply)
}
