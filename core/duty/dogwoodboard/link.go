package dogwoodboard

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

// maxQueuedEnds bounds the ends of requests that wait for a peer that does not answer. Older ones expire there
// with their deadlines.
const maxQueuedEnds = 10_000

// link queues the updates that have not been announced to one peer yet. Updates that arrive
// during an announcement are sent together in the next one, so a slow peer receives fewer and
// larger announcements.
type link struct {
	peer   Peer
	cancel context.CancelFunc
	wake   chan struct{}

	mutex sync.Mutex
	whole bool
	// failed is true from a failed announcement to the next one.
	failed bool
	works  map[dogwoodpacking.WorkID]dogwoodpacking.Work
	ended  []dogwoodpacking.WorkID
	// notRun holds the ended work that never ran.
	notRun []dogwoodpacking.WorkID
	// avoided holds the endpoints to avoid, and until when.
	avoided map[dogwoodfleet.EndpointID]time.Time
	paces   map[dogwoodfleet.EndpointID]float64
	limits  map[dogwoodfleet.EndpointID]dogwoodpacking.EndpointLimit
}

func newLink(peer Peer, cancel context.CancelFunc) *link {
	return &link{
		peer: peer, cancel: cancel, whole: true, wake: make(chan struct{}, 1),
		works:   map[dogwoodpacking.WorkID]dogwoodpacking.Work{},
		avoided: map[dogwoodfleet.EndpointID]time.Time{},
		paces:   map[dogwoodfleet.EndpointID]float64{},
		limits:  map[dogwoodfleet.EndpointID]dogwoodpacking.EndpointLimit{},
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

// endNotRun queues that work never ran, without a signal: end follows.
func (link *link) endNotRun(id dogwoodpacking.WorkID) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if len(link.notRun) < maxQueuedEnds {
		link.notRun = append(link.notRun, id)
	}
}

func (link *link) avoid(avoid Avoid) {
	link.mutex.Lock()
	link.avoidUntil(avoid.Endpoint, time.Now().Add(avoid.For))
	link.mutex.Unlock()
	link.signal()
}

// avoidUntil queues an endpoint to avoid. The caller holds the mutex.
func (link *link) avoidUntil(endpoint dogwoodfleet.EndpointID, until time.Time) {
	if until.After(link.avoided[endpoint]) {
		link.avoided[endpoint] = until
	}
}

// setPace queues a pace without a signal: it is sent with the next announcement.
func (link *link) setPace(endpoint dogwoodfleet.EndpointID, pace float64) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.paces[endpoint] = pace
}

// setLimit queues a limit, unless a later one of the endpoint is queued.
func (link *link) setLimit(limit dogwoodpacking.EndpointLimit) {
	link.mutex.Lock()
	link.keepLimit(limit)
	link.mutex.Unlock()
	link.signal()
}

// keepLimit queues a limit unless a later one is queued. The caller holds the mutex.
func (link *link) keepLimit(limit dogwoodpacking.EndpointLimit) {
	if limit.At.After(link.limits[limit.Endpoint].At) {
		link.limits[limit.Endpoint] = limit
	}
}

func (link *link) signal() {
	select {
	case link.wake <- struct{}{}:
	default:
	}
}

// updates are what one announcement reports.
type updates struct {
	whole   bool
	works   []dogwoodpacking.Work
	ended   []dogwoodpacking.WorkID
	notRun  []dogwoodpacking.WorkID
	avoided map[dogwoodfleet.EndpointID]time.Time
	paces   []Pace
	limits  map[dogwoodfleet.EndpointID]dogwoodpacking.EndpointLimit
}

// drain removes the queued updates and returns them.
func (link *link) drain() updates {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	drained := updates{whole: link.whole, ended: link.ended, notRun: link.notRun, avoided: maps.Clone(link.avoided), limits: maps.Clone(link.limits)}
	for _, work := range link.works {
		drained.works = append(drained.works, work)
	}
	for endpoint, pace := range link.paces {
		drained.paces = append(drained.paces, Pace{Endpoint: endpoint, Pace: pace})
	}
	clear(link.works)
	clear(link.avoided)
	clear(link.paces)
	clear(link.limits)
	link.whole, link.failed, link.ended, link.notRun = false, false, nil, nil
	return drained
}

// requeue queues the updates of a failed announcement again, which may not have arrived, and makes the next one
// list all work of this daemon. Updates that were queued since go before. Paces are left out, since new ones
// follow with each answer.
func (link *link) requeue(now time.Time, failed updates) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.whole, link.failed = true, true
	ended := make(map[dogwoodpacking.WorkID]bool, len(link.ended))
	for _, id := range link.ended {
		ended[id] = true
	}
	for _, work := range failed.works {
		if _, newer := link.works[work.ID]; !newer && !ended[work.ID] && now.Before(work.Until) {
			link.works[work.ID] = work
		}
	}
	link.ended = append(failed.ended, link.ended...)
	if excess := len(link.ended) - maxQueuedEnds; excess > 0 {
		link.ended = link.ended[excess:]
	}
	link.notRun = append(failed.notRun, link.notRun...)
	if excess := len(link.notRun) - maxQueuedEnds; excess > 0 {
		link.notRun = link.notRun[excess:]
	}
	for endpoint, until := range failed.avoided {
		link.avoidUntil(endpoint, until)
	}
	for _, limit := range failed.limits {
		link.keepLimit(limit)
	}
}

// needsRetry reports whether the last announcement failed.
func (link *link) needsRetry() bool {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.failed
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
			pause = failureBackoff
			if !dogwoodkernel.Sleep(ctx, pause) {
				return
			}
		}
		timer.Reset(pause)
	}
}

// awaitDue waits until an announcement is due and returns true, or false when the context has
// ended. A leaf announces only when it has an update, or when the last announcement failed.
func (duty *Duty) awaitDue(ctx context.Context, link *link, timer *time.Timer) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-link.wake:
			return true
		case <-timer.C:
			if !duty.isLeaf() || link.needsRetry() {
				return true
			}
			timer.Reset(roleCheckInterval)
		}
	}
}

// announce sends the queued updates to one peer, or all work after a failed announcement.
func (duty *Duty) announce(ctx context.Context, link *link) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	drained := link.drain()
	var reply bool
	err := duty.options.Caller.Call(ctx, link.peer.Address, Name+".Tell", duty.newBatch(drained), &reply)
	if err != nil {
		link.requeue(time.Now(), drained)
	}
	return err
}

// newBatch returns the announcement of some updates and of this daemon's state.
func (duty *Duty) newBatch(drained updates) Batch {
	now := time.Now()
	batch := Batch{
		From: duty.options.Self, Sequence: duty.sequence.Add(1), Whole: drained.whole, Serves: duty.options.Serves(), Ended: drained.ended, NotRun: drained.notRun, Paces: drained.paces,
		Requests: duty.options.Board.RecentOwnSends(now),
	}
	if duty.options.Leaves != nil {
		batch.Leaves = duty.options.Leaves()
	}
	works := drained.works
	if drained.whole {
		// Work of leaves that this daemon forwards is not its own.
		works = slices.DeleteFunc(slices.Clone(works), func(work dogwoodpacking.Work) bool { return work.Holder == duty.options.Self })
		works = append(works, duty.ownWork()...)
	}
	for _, work := range works {
		batch.Items = append(batch.Items, newItem(work, now))
	}
	limits := slices.Collect(maps.Values(drained.limits))
	if drained.whole {
		limits = append(duty.options.Board.Limits(), limits...)
	}
	for _, limit := range limits {
		batch.Limits = append(batch.Limits, newLimit(limit, now))
	}
	for endpoint, until := range drained.avoided {
		if left := until.Sub(now); left > 0 {
			batch.Avoid = append(batch.Avoid, Avoid{Endpoint: endpoint, For: left})
		}
	}
	return batch
}
