package dogwoodclaim

import (
	"context"
	"sync"
	"time"

	"dogwoodmux.example/core/state/dogwoodtable"
)

// Finish stores the answer of a call that this daemon ran. The answer is held in memory
// immediately, so that its caller need not wait for the store. After *Postponed, Run
// retries it.
func (claims *Claims) Finish(ctx context.Context, key Key, attemptID string, answer Answer) error {
	row := key.row()
	claims.mutex.Lock()
	held, ok := claims.held[attemptID]
	if ok {
		held.record.State, held.record.Answer = stateAnswered, &answer
		claims.recent.Add(row, withoutLargeBody(held.record))
	}
	claims.mutex.Unlock()
	if !ok {
		return Error.Wrap(errNotHeld)
	}
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	if err := claims.storeAnswer(ctx, row, attemptID); err != nil {
		claims.retries.addStore(row, attemptID, len(answer.Body))
		return &Postponed{Cause: Error.Wrap(err)}
	}
	return nil
}

// Free removes the claim of a call that was certainly not sent and won't be, so that its
// key can be used again. After *Postponed, Run retries it.
func (claims *Claims) Free(ctx context.Context, key Key, attemptID string) error {
	row := key.row()
	claims.mutex.Lock()
	held, ok := claims.held[attemptID]
	if ok {
		delete(claims.held, attemptID)
		claims.recent.Remove(row)
		claims.history.remove(row)
	}
	claims.mutex.Unlock()
	if !ok {
		return Error.Wrap(errNotHeld)
	}
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	err := claims.removeRow(ctx, row, held.version)
	if err != nil || held.uncertain {
		claims.retries.addFree(row, attemptID)
	}
	if err != nil {
		return &Postponed{Cause: Error.Wrap(err)}
	}
	return nil
}

// withoutLargeBody returns the record, without its answer if the body exceeds maxRecentBody.
func withoutLargeBody(record record) record {
	if record.Answer != nil && len(record.Answer.Body) > maxRecentBody {
		record.Answer = nil
	}
	return record
}

// storeAnswer replaces the row in state Running by one in state Answered. It is idempotent,
// since only this attempt writes the row.
func (claims *Claims) storeAnswer(ctx context.Context, row, attemptID string) error {
	claims.mutex.Lock()
	held, ok := claims.held[attemptID]
	if !ok {
		claims.mutex.Unlock()
		return nil
	}
	version, finished := held.version, held.record
	claims.mutex.Unlock()

	if len(finished.Answer.Body) > maxInlineBody {
		finished.Object = Table + "-" + row + "-" + attemptID
		if err := claims.options.Objects.PutObject(ctx, finished.Object, finished.Answer.Body); err != nil {
			return err
		}
		finished.Answer = &Answer{Status: finished.Answer.Status, Header: finished.Answer.Header}
	}
	write := dogwoodtable.Write{
		Table:   Table,
		Key:     row,
		Version: version,
		Value:   finished.encode(),
		KeepFor: claims.options.KeepFor,
	}
	_, err := claims.commits.commit(ctx, write)
	if err != nil && dogwoodtable.AsConflict(err) == nil {
		return err
	}
	// A conflict means that an earlier write of this answer took effect although the store's
	// reply was lost, or that the row has expired. In both cases nothing is left to store.
	claims.mutex.Lock()
	delete(claims.held, attemptID)
	claims.mutex.Unlock()
	return nil
}

// removeRow deletes the row at that version.
func (claims *Claims) removeRow(ctx context.Context, row string, version uint64) error {
	_, err := claims.commits.commit(ctx, dogwoodtable.Write{Table: Table, Key: row, Version: version, Delete: true})
	if dogwoodtable.AsConflict(err) != nil {
		return nil // an earlier removal took effect
	}
	return err
}

const (
	// firstRetryDelay is the wait before the first retry of a postponed end; it doubles after
	// each retry.
	firstRetryDelay = time.Second
	// maxRetryDelay is the longest wait between two retries.
	maxRetryDelay = time.Minute
	// abandonedRowPeriod is how long the store is checked for the row of an abandoned attempt,
	// even after the row was removed once: an insert whose answer was lost may reach the store
	// after its sender stopped waiting, and would block the key until the row expires. It
	// costs some ten reads.
	abandonedRowPeriod = 5 * time.Minute
	// maxQueuedRetries and maxQueuedBytes bound the retries that wait for the store, in number
	// and in bytes of answers. Beyond them the oldest are dropped, and a resend of such a call
	// gets an unknown outcome.
	maxQueuedRetries = 10_000
	maxQueuedBytes   = 32 << 20
	// maxConcurrentRetries bounds the concurrent retries, to prevent a thundering herd when the
	// store comes back after an outage.
	maxConcurrentRetries = 32
)

// retry is a postponed end of a claim (its answer, or the removal of its row) and the time of
// its next write.
type retry struct {
	row, attemptID string
	free           bool
	size           int
	due            time.Time
	delay          time.Duration
	until          time.Time // retried until then
}

// retryQueue retries postponed ends until the store accepts them.
type retryQueue struct {
	claims *Claims
	added  chan struct{}
	mutex  sync.Mutex
	list   []*retry
	size   int
}

func newRetryQueue(claims *Claims) *retryQueue {
	return &retryQueue{claims: claims, added: make(chan struct{}, 1)}
}

// addStore queues the storing of an answer.
func (queue *retryQueue) addStore(row, attemptID string, size int) {
	queue.add(&retry{row: row, attemptID: attemptID, size: size, until: time.Now().Add(queue.claims.options.KeepFor)})
}

// addFree queues the removal of the row of an attempt that was not sent.
func (queue *retryQueue) addFree(row, attemptID string) {
	queue.add(&retry{row: row, attemptID: attemptID, free: true, until: time.Now().Add(abandonedRowPeriod)})
}

func (queue *retryQueue) add(retry *retry) {
	retry.delay = firstRetryDelay
	retry.due = time.Now().Add(firstRetryDelay)
	for _, dropped := range queue.put(retry) {
		queue.claims.dropAnswer(dropped.attemptID)
	}
}

// put adds a retry and returns those that were evicted to stay within the bounds.
func (queue *retryQueue) put(added *retry) (evicted []*retry) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.list = append(queue.list, added)
	queue.size += added.size
	select {
	case queue.added <- struct{}{}:
	default: // run is already notified
	}
	for len(queue.list) > maxQueuedRetries || (queue.size > maxQueuedBytes && len(queue.list) > 1) {
		evicted = append(evicted, queue.list[0])
		queue.size -= queue.list[0].size
		queue.list = queue.list[1:]
	}
	return evicted
}

// dropAnswer drops an answer that was never stored.
func (claims *Claims) dropAnswer(attemptID string) {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	if _, ok := claims.held[attemptID]; ok {
		claims.options.Logger.Warn("Answer dropped before it was stored.", "try", attemptID)
		delete(claims.held, attemptID)
	}
}

// Postponed returns the number of ends of claims that wait for the store.
func (claims *Claims) Postponed() int {
	claims.retries.mutex.Lock()
	defer claims.retries.mutex.Unlock()
	return len(claims.retries.list)
}

// run processes retries as they become due, until the context ends.
func (queue *retryQueue) run(ctx context.Context) {
	for queue.waitForDue(ctx) == nil {
		var group sync.WaitGroup
		for _, due := range queue.takeDue(time.Now()) {
			group.Go(func() { queue.process(ctx, due) })
		}
		group.Wait()
	}
}

// waitForDue waits until a retry may be due.
func (queue *retryQueue) waitForDue(ctx context.Context) error {
	if queue.claims.Postponed() == 0 {
		select {
		case <-queue.added:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return sleep(ctx, firstRetryDelay/2)
}

// takeDue removes and returns up to maxConcurrentRetries retries that are due.
func (queue *retryQueue) takeDue(now time.Time) []*retry {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	var due, rest []*retry
	for _, retry := range queue.list {
		if len(due) < maxConcurrentRetries && !now.Before(retry.due) {
			due = append(due, retry)
			queue.size -= retry.size
		} else {
			rest = append(rest, retry)
		}
	}
	queue.list = rest
	return due
}

// process makes one retry and queues it again if another one is needed.
func (queue *retryQueue) process(ctx context.Context, retry *retry) {
	bounded, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	var err error
	if retry.free {
		err = queue.claims.freeAbandoned(bounded, retry.row, retry.attemptID)
	} else {
		err = queue.claims.storeAnswer(bounded, retry.row, retry.attemptID)
	}
	now := time.Now()
	if err == nil && !retry.free {
		return
	}
	if !now.Before(retry.until) {
		queue.claims.dropAnswer(retry.attemptID)
		return
	}
	retry.delay = min(2*retry.delay, maxRetryDelay)
	retry.due = now.Add(retry.delay)
	for _, dropped := range queue.put(retry) {
		queue.claims.dropAnswer(dropped.attemptID)
	}
}

// freeAbandoned removes the row, if it exists, of an attempt of this daemon that was
// abandoned before it was sent.
func (claims *Claims) freeAbandoned(ctx context.Context, row, attemptID string) error {
	found, ok, err := claims.options.Store.Read(ctx, Table, row)
	if err != nil || !ok {
		return err
	}
	present, err := decodeRecord(found.Value)
	if err != nil || present.Try != attemptID {
		return err
	}
	return claims.removeRow(ctx, row, found.Version)
}
