package dogwoodhub

import (
	"slices"
	"time"

	"dogwoodmux.example/core/decision/dogwoodhubs"
	"dogwoodmux.example/core/state/dogwoodcopy"
)

// minConfirmationStep is how much later than the leaf's last confirmation a new one must be to
// be sent at once.
const minConfirmationStep = 200 * time.Millisecond

// Receiver returns the RPC receiver that leaves call, to be registered as Name.
func (hub *Hub) Receiver() *Receiver {
	return &Receiver{hub: hub}
}

// Receiver answers the polls of leaves.
type Receiver struct {
	hub *Hub
}

// Follow answers as soon as there is an update for the leaf, or after maxHold.
func (receiver *Receiver) Follow(request FollowRequest, news *News) error {
	hub := receiver.hub
	arrived, timer := hub.options.Clock(), time.NewTimer(maxHold)
	defer timer.Stop()
	hub.recordLeaf(request.Leaf)
	for timedOut := false; ; {
		update, isUpdate, signals := hub.updateFor(request, arrived)
		if timedOut || isUpdate {
			*news = update
			return nil
		}
		select {
		case <-signals.tables[0]:
		case <-signals.tables[1]:
		case <-signals.fleet:
		case <-signals.promoted:
		case <-timer.C:
			timedOut = true
		}
	}
}

// signals are channels, one of which is closed when there may be an update.
type signals struct {
	tables          [2]<-chan struct{}
	fleet, promoted <-chan struct{}
}

// updateFor returns what the hub has and the leaf lacks, whether that must be sent at once, and
// the signals to wait for otherwise.
func (hub *Hub) updateFor(request FollowRequest, arrived time.Duration) (update News, isUpdate bool, signals signals) {
	for i, position := range request.Tables[:min(len(request.Tables), len(signals.tables))] {
		if !slices.Contains(hub.options.TableNames, position.Table) {
			continue // sent by a daemon of another software version
		}
		answer, changed, ok := hub.options.Tables.Latest(position.Table, position.After)
		signals.tables[i] = changed
		if !ok {
			continue
		}
		advance := answer.Proven - (arrived - position.Age)
		isUpdate = isUpdate || answer.Whole || len(answer.Rows) > 0 || i == 0 && advance > minConfirmationStep
		update.Tables = append(update.Tables, TableUpdate{Table: position.Table, Told: dogwoodcopy.Tell(answer, arrived, request.Compressed)})
	}
	update.StoreAway = hub.options.StoreAway != nil && hub.options.StoreAway()
	if hub.options.RefusedVersion != nil {
		update.Refused = hub.options.RefusedVersion()
	}
	hub.mutex.Lock()
	defer hub.mutex.Unlock()
	signals.fleet = hub.changed
	if hub.fleet.Version != request.Fleet {
		fleet := hub.fleet
		update.Fleet, isUpdate = &fleet, true
	}
	if leaf := hub.leaves[request.Leaf.Instance]; leaf != nil {
		signals.promoted = leaf.wake
		update.Promoted = time.Since(leaf.promotedAt) < promotionTTL
	}
	return update, isUpdate || update.Promoted, signals
}

// recordLeaf records that a leaf is alive. A poll that names no instance is ignored.
func (hub *Hub) recordLeaf(daemon dogwoodhubs.Daemon) {
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
	known.Daemon, known.lastPoll = daemon, time.Now()
}
