package dogwoodclaim

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"dogwoodmux.example/core/dogwoodring"
	"dogwoodmux.example/core/state/dogwoodtable"
)

const (
	// commitInterval is the shortest time between the starts of two commits. It limits a
	// daemon to 100 write calls a second, so that eight daemons stay within the several
	// hundred that the table service can handle, and delays a call by at most this time.
	commitInterval = 10 * time.Millisecond
	// maxConcurrentCommits bounds the commits that wait for a slow store at the same time.
	maxConcurrentCommits = 4
	// commitTimeout bounds one commit, independently of the store client's own timeouts.
	commitTimeout = 2 * time.Second
	// maxGroupBytes bounds the total size of the values in one transaction.
	maxGroupBytes = 1 << 20
	// maxQueuedWrites bounds the writes that wait for a commit.
	maxQueuedWrites = 1024
)

// committer groups concurrent writes into one transaction. Without it, each call that may
// not be repeated costs two write calls, and a few hundred such calls a second use up the
// platform's budget.
type committer struct {
	store   Store
	queue   *dogwoodring.Ring[*pendingWrite]
	stopped chan struct{}
}

// The states of a pending write.
const (
	writeQueued int32 = iota
	writeSending
	writeWithdrawn
)

// pendingWrite is a write that waits for its commit.
type pendingWrite struct {
	write  dogwoodtable.Write
	state  atomic.Int32
	result chan writeResult
}

// writeResult is the version that a write got, or its error.
type writeResult struct {
	version uint64
	err     error
}

func newCommitter(store Store) *committer {
	return &committer{store: store, queue: dogwoodring.New[*pendingWrite]("claim writes", maxQueuedWrites, dogwoodring.Reject), stopped: make(chan struct{})}
}

// commit makes one write, grouped with others. Its errors are those of the store. If the
// context ends, the error is *Unavailable while the write is queued and *Unknown after that.
func (committer *committer) commit(ctx context.Context, write dogwoodtable.Write) (uint64, error) {
	pending := &pendingWrite{write: write, result: make(chan writeResult, 1)}
	if !committer.queue.Put(pending) {
		return 0, &dogwoodtable.Unavailable{Cause: Error.New("%d writes are queued", maxQueuedWrites)}
	}
	select {
	case result := <-pending.result:
		return result.version, result.err
	case <-ctx.Done():
	case <-committer.stopped:
	}
	if pending.state.CompareAndSwap(writeQueued, writeWithdrawn) {
		return 0, &dogwoodtable.Unavailable{Cause: Error.New("ended before the write was sent")}
	}
	select {
	case result := <-pending.result:
		return result.version, result.err
	default:
		return 0, &dogwoodtable.Unknown{Cause: Error.New("ended while the write was sent")}
	}
}

// run commits the queued writes in groups until the context ends.
func (committer *committer) run(ctx context.Context) {
	pool := pond.NewPool(maxConcurrentCommits, pond.WithQueueSize(1))
	// The pool is not stopped, since its Stop uses a process-wide pool that outlives a single
	// daemon. Its workers end when they are idle.
	var running sync.WaitGroup
	defer running.Wait()
	defer close(committer.stopped)
	var deferred []*pendingWrite
	for {
		if len(deferred) == 0 {
			select {
			case pending := <-committer.queue.Values():
				deferred = append(deferred, pending)
			case <-ctx.Done():
				return
			}
		}
		var group []*pendingWrite
		group, deferred = committer.gather(deferred)
		if len(group) > 0 {
			// Go blocks while all commits wait for a slow store. The queue then fills and
			// rejects further writes.
			running.Add(1)
			err := pool.Go(func() {
				defer running.Done()
				committer.commitGroup(ctx, group)
			})
			if err != nil {
				running.Done()
				sendResults(group, nil, &dogwoodtable.Unavailable{Cause: Error.Wrap(err)})
			}
		}
		if sleep(ctx, commitInterval) != nil {
			return
		}
	}
}

// gather returns the next group of writes, up to the bounds of a transaction, and the writes
// deferred to the group after it. A transaction can't hold two writes of one row, so the
// second is deferred.
func (committer *committer) gather(deferred []*pendingWrite) (group, rest []*pendingWrite) {
	rows := map[string]bool{}
	size := 0
	add := func(pending *pendingWrite) {
		full := len(group) > 0 && (len(group) >= dogwoodtable.MaxWrites || size+len(pending.write.Value) > maxGroupBytes)
		if full || rows[pending.write.Key] {
			rest = append(rest, pending)
			return
		}
		if !pending.state.CompareAndSwap(writeQueued, writeSending) {
			return
		}
		rows[pending.write.Key] = true
		size += len(pending.write.Value)
		group = append(group, pending)
	}
	for _, pending := range deferred {
		add(pending)
	}
	for len(group) < dogwoodtable.MaxWrites && len(rest) == 0 {
		select {
		case pending := <-committer.queue.Values():
			add(pending)
		default:
			return group, rest
		}
	}
	return group, rest
}

// commitGroup commits a group until each write has succeeded or failed. Writes whose
// condition failed get a conflict, and the others are committed again without them.
func (committer *committer) commitGroup(ctx context.Context, group []*pendingWrite) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	for len(group) > 0 {
		writes := make([]dogwoodtable.Write, 0, len(group))
		for _, pending := range group {
			writes = append(writes, pending.write)
		}
		versions, err := committer.store.Commit(ctx, writes...)
		conflict := dogwoodtable.AsConflict(err)
		if conflict == nil || len(conflict.Failed) == 0 {
			sendResults(group, versions, err)
			return
		}
		var rest []*pendingWrite
		for i, pending := range group {
			if slices.Contains(conflict.Failed, i) {
				pending.result <- writeResult{err: &dogwoodtable.Conflict{Failed: []int{0}}}
			} else {
				rest = append(rest, pending)
			}
		}
		group = rest
	}
}

// sendResults sends each write of the group its version, or the error of the commit.
func sendResults(group []*pendingWrite, versions []uint64, err error) {
	for i, pending := range group {
		if err != nil {
			pending.result <- writeResult{err: err}
			continue
		}
		pending.result <- writeResult{version: versions[i]}
	}
}

func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
