package dogwoodhub

import (
	"slices"
	"time"

	"dogwoodmux.example/core/decision/dogwoodhubs"
	"dogwoodmux.example/core/state/dogwoodcopy"
)

// proofStep is how much later a proof must be than the leaf's to be told at once.
const proofStep = 200 * time.Millisecond

// Receiver returns what leaves call, to be registered as Name.
func (hub *Hub) Receiver() *Receiver {
	return &Receiver{hub: hub}
}

// Receiver answers leaves.
type Receiver struct {
	hub *Hub
}

// Follow answers as soon as there is news for the leaf, or after holdFor.
func (receiver *Receiver) Follow(question Question, news *News) error {
	hub := receiver.hub
	arrived, timer := hub.options.Clock(), time.NewTimer(holdFor)
	defer timer.Stop()
	hub.attend(question.Leaf)
	for over := false; ; {
		told, isNews, watch := hub.news(question, arrived)
		if over || isNews {
			*news = told
			return nil
		}
		select {
		case <-watch.tables[0]:
		case <-watch.tables[1]:
		case <-watch.fleet:
		case <-watch.promoted:
		case <-timer.C:
			over = true
		}
	}
}

// watch are the channels of which one is closed when there may be news.
type watch struct {
	tables          [2]<-chan struct{}
	fleet, promoted <-chan struct{}
}

// news is what the leaf does not know.
func (hub *Hub) news(question Question, arrived time.Duration) (news News, isNews bool, watch watch) {
	for i, position := range question.Tables[:min(len(question.Tables), len(watch.tables))] {
		if !slices.Contains(hub.options.Names, position.Table) {
			continue // another version's question
		}
		answer, took, ok := hub.options.Tables.Latest(position.Table, position.After)
		watch.tables[i] = took
		if !ok {
			continue
		}
		newer := answer.Proven - (arrived - position.Age)
		isNews = isNews || answer.Whole || len(answer.Rows) > 0 || i == 0 && newer > proofStep
		news.Tables = append(news.Tables, TableNews{Table: position.Table, Told: dogwoodcopy.Tell(answer, arrived)})
	}
	hub.mutex.Lock()
	defer hub.mutex.Unlock()
	watch.fleet = hub.changed
	if hub.fleet.Version != question.Fleet {
		fleet := hub.fleet
		news.Fleet, isNews = &fleet, true
	}
	if leaf := hub.leaves[question.Leaf.Instance]; leaf != nil {
		watch.promoted = leaf.wake
		news.Promoted = time.Since(leaf.promoted) < promotedFor
	}
	return news, isNews || news.Promoted, watch
}

// attend notes that a leaf lives. A question without a name tells of no daemon.
func (hub *Hub) attend(daemon dogwoodhubs.Daemon) {
	if daemon.Instance == "" {
		return
	}
	hub.mutex.Lock()
	defer hub.mutex.Unlock()
	known := hub.leaves[daemon.Instance]
	if known == nil {
		known = &leaf{wake: make(chan struct{})}
		hub.leaves[daemon.Instance] = known
	}
	known.Daemon, known.asked = daemon, time.Now()
}
