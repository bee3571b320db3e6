package dogwoodboard

import (
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/dogwoodfleet"
)

// Receiver returns the RPC receiver that other daemons call; register it as Name.
func (duty *Duty) Receiver() *Receiver {
	return &Receiver{duty: duty}
}

// Receiver handles the calls of other daemons.
type Receiver struct {
	duty *Duty
}

// Tell applies an announcement of another daemon.
func (receiver *Receiver) Tell(batch Batch, reply *bool) error {
	duty := receiver.duty
	duty.applying.Lock()
	defer duty.applying.Unlock()
	*reply = true
	if duty.isSuperseded(&batch) {
		duty.options.Logger.Debug("An announcement arrived after a later one and is ignored.", "peer", batch.From)
		return nil
	}
	duty.apply(time.Now(), batch)
	return nil
}

// isSuperseded reports whether a later announcement of the same daemon was applied. The calls that waited while this
// daemon was frozen run at the same time when it continues, and each later one lists all work again.
func (duty *Duty) isSuperseded(batch *Batch) bool {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	return batch.Sequence != 0 && batch.Sequence <= duty.peerReports[batch.From].sequence
}

func (duty *Duty) apply(now time.Time, batch Batch) {
	works := make([]dogwoodpacking.Work, 0, len(batch.Items))
	listed := make(map[dogwoodpacking.WorkID]bool, len(batch.Items))
	for _, item := range batch.Items {
		works = append(works, item.work(now))
		listed[item.Work.ID] = true
	}
	board := duty.options.Board
	for _, work := range works {
		board.Put(now, work)
	}
	for _, id := range batch.NotRun { // before the work itself is dropped
		board.RemoveUse(now, id)
	}
	if batch.Whole {
		batch.Ended = append(batch.Ended, board.RemoveHolder(batch.From, listed)...)
	}
	duty.recordReport(now, &batch, works)
	duty.updateAwaitedPeers(now)
	for _, id := range batch.Ended {
		board.Remove(id)
	}
	for _, avoid := range batch.Avoid {
		board.Avoid(now, avoid.Endpoint, avoid.For)
	}
	for _, pace := range batch.Paces {
		board.RecordPeerPace(pace.Endpoint, pace.Pace)
	}
	for _, limit := range batch.Limits {
		board.LearnLimit(now, limit.learned(now))
	}
}

// learned returns the limit with its time on this daemon's clock.
func (limit *Limit) learned(now time.Time) dogwoodpacking.EndpointLimit {
	return dogwoodpacking.EndpointLimit{Endpoint: limit.Endpoint, Limit: limit.Limit, At: now.Add(-limit.Age)}
}

func newLimit(limit dogwoodpacking.EndpointLimit, now time.Time) Limit {
	return Limit{Endpoint: limit.Endpoint, Limit: limit.Limit, Age: now.Sub(limit.At)}
}

// work returns the item's work with its times converted to this daemon's clock.
func (item *Item) work(now time.Time) dogwoodpacking.Work {
	work := item.Work
	work.Begun, work.Until = now.Add(-item.Age), now.Add(item.Left)
	return work
}

func newItem(work dogwoodpacking.Work, now time.Time) Item {
	return Item{Work: work, Age: now.Sub(work.Begun), Left: work.Until.Sub(now)}
}

// recordReport records a peer's announced state. A hub forwards the updates of a leaf to the
// other hubs, since the leaf announces to this hub only. Otherwise the other hubs would consider
// the slots free that the leaf has taken.
func (duty *Duty) recordReport(now time.Time, batch *Batch, works []dogwoodpacking.Work) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.peerReports[batch.From] = peerReport{received: now, sequence: batch.Sequence, serves: batch.Serves, leaves: batch.Leaves, requests: batch.Requests}
	if duty.links[batch.From] != nil || duty.isLeaf() {
		return
	}
	for _, link := range duty.links {
		for _, work := range works {
			link.put(work)
		}
		for _, id := range batch.NotRun {
			link.endNotRun(id)
		}
		for _, id := range batch.Ended {
			link.end(id)
		}
		for _, avoid := range batch.Avoid {
			link.avoid(avoid)
		}
		for _, pace := range batch.Paces {
			link.setPace(pace.Endpoint, pace.Pace)
		}
		for _, limit := range batch.Limits {
			link.setLimit(limit.learned(now))
		}
	}
}

// View lists the work in the pool that is on a daemon's board, and the limits that endpoints name.
type View struct {
	Items  []Item
	Limits []Limit
}

// View returns to a leaf the work of all other daemons.
func (receiver *Receiver) View(leaf dogwoodfleet.InstanceID, view *View) error {
	now := time.Now()
	for _, work := range receiver.duty.options.Board.WorkExcept(leaf) {
		view.Items = append(view.Items, newItem(work, now))
	}
	for _, limit := range receiver.duty.options.Board.Limits() {
		view.Limits = append(view.Limits, newLimit(limit, now))
	}
	return nil
}
