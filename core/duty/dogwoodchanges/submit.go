package dogwoodchanges

import (
	"context"
	"sync"
	"time"

	"dogwoodmux.example/core/state/dogwoodchange"
)

// replicationTimeout bounds the wait until one other daemon has an accepted change. It expires
// only while no other daemon answers.
const replicationTimeout = 500 * time.Millisecond

// Submit submits a change to the log and waits, up to replicationTimeout, until at least one
// other daemon has it too. This guards against the death of this daemon right after its answer:
// the operator would have read "accepted", but the others would learn of a take-out only at
// their next poll of the store, ten seconds later, or never while the store is down.
func (duty *Duty) Submit(ctx context.Context, change dogwoodchange.Change) (dogwoodchange.Accepted, error) {
	accepted, err := duty.options.Log.Submit(ctx, change)
	if err != nil || len(duty.options.Members.Peers()) == 0 {
		return accepted, err //nolint:wrapcheck // the typed errors of the log are part of this method's API
	}
	ctx, cancel := context.WithTimeout(ctx, replicationTimeout)
	defer cancel()
	duty.replication.wait(ctx, accepted)
	return accepted, nil
}

// replication tracks the changes that at least one other daemon has.
type replication struct {
	mutex       sync.Mutex
	version     uint64
	provisional map[string]bool
	changed     chan struct{}
}

func newReplication() replication {
	return replication{provisional: map[string]bool{}, changed: make(chan struct{})}
}

// record records that a peer has an update.
func (replication *replication) record(news dogwoodchange.News) {
	replication.mutex.Lock()
	defer replication.mutex.Unlock()
	replication.version = max(replication.version, news.Version)
	replication.provisional = map[string]bool{}
	for _, change := range news.Provisional {
		replication.provisional[change.ID] = true
	}
	close(replication.changed)
	replication.changed = make(chan struct{})
}

// wait returns when a peer has the change, or when the context ends.
func (replication *replication) wait(ctx context.Context, accepted dogwoodchange.Accepted) {
	for {
		replication.mutex.Lock()
		has := replication.provisional[accepted.ID] || (accepted.Kept && replication.version >= accepted.Version)
		changed := replication.changed
		replication.mutex.Unlock()
		if has {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
