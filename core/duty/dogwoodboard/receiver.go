package dogwoodboard

import (
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/dogwoodfleet"
)

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
	works := make([]dogwoodpacking.Work, 0, len(batch.Items))
	kept := make(map[dogwoodpacking.WorkID]bool, len(batch.Items))
	for _, item := range batch.Items {
		works = append(works, item.work(now))
		kept[item.Work.ID] = true
	}
	duty.hear(now, &batch, works)
	board := duty.options.Board
	for _, work := range works {
		board.Put(now, work)
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

// work returns the item's work with its moments on this daemon's clock.
func (item *Item) work(now time.Time) dogwoodpacking.Work {
	work := item.Work
	work.Begun, work.Until = now.Add(-item.Age), now.Add(item.Left)
	return work
}

func itemOf(work dogwoodpacking.Work, now time.Time) Item {
	return Item{Work: work, Age: now.Sub(work.Begun), Left: work.Until.Sub(now)}
}

// hear notes who announced. A leaf's news are passed on to the other hubs: it tells this one
// alone, and they would take the places that it took for free.
func (duty *Duty) hear(now time.Time, batch *Batch, works []dogwoodpacking.Work) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.heard[batch.From] = heard{at: now, serves: batch.Serves, leaves: batch.Leaves, requests: batch.Requests}
	if duty.links[batch.From] != nil || duty.isLeaf() {
		return
	}
	for _, link := range duty.links {
		for _, work := range works {
			link.put(work)
		}
		for _, id := range batch.Ended {
			link.end(id)
		}
		for _, avoid := range batch.Avoid {
			link.avoid(avoid)
		}
		for _, pace := range batch.Paces {
			link.paced(pace.Endpoint, pace.Pace)
		}
	}
}

// View is what a daemon knows of the pool's work.
type View struct {
	Items []Item
}

// View answers a leaf with the work of all daemons but its own.
func (receiver *Receiver) View(asker dogwoodfleet.InstanceID, view *View) error {
	now := time.Now()
	for _, work := range receiver.duty.options.Board.Works(asker) {
		view.Items = append(view.Items, itemOf(work, now))
	}
	return nil
}
