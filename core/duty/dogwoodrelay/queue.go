package dogwoodrelay

import (
	"context"
	"slices"
	"sync"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodshare"
	"dogwoodmux.example/core/decision/dogwoodwaiting"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

// placementInterval is the mean interval at which waiting tries are placed if there is no
// notification of a change. None is sent for slots that other daemons free, or that become free
// because a limit per second allows the next request.
const placementInterval = 20 * time.Millisecond

// queue holds the tries that wait for a slot.
type queue struct {
	places Places

	mutex   sync.Mutex
	waiters []*waiter
}

// waiter is a try that waits. Its result is sent once.
type waiter struct {
	request          dogwoodwaiting.Request
	placementRequest *dogwoodpacking.PlacementRequest
	// waitUntil is the latest time at which it is to be placed.
	waitUntil time.Time
	result    chan placementResult
	// since is when it began to wait.
	since time.Time
	// standing is its customer's when the queue was last placed.
	standing dogwoodshare.Standing
	// mayHaveRun is true if the request has run, may have run, or has sent a part of its answer.
	mayHaveRun bool
	// panicked is the value of a panic of its placement; nil for none.
	panicked any
}

type placementResult struct {
	placement dogwoodpacking.Placement
	refusal   dogwoodpacking.Refusal
	// backoffsUntil is when the first endpoint takes requests again, if the try was refused since all have asked for none until
	// it can wait no longer; else zero.
	backoffsUntil time.Time
	// overShare is set if the try was refused since its customer has used more than its share.
	overShare *overShare
}

// add adds a waiter and places as many waiters as possible. It panics if the placement of this waiter does.
func (queue *queue) add(waiter *waiter) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	waiter.since = time.Now()
	queue.waiters = append(queue.waiters, waiter)
	queue.placeWaiters(waiter.since)
	waiter.repeatPanic()
}

// repeatPanic repeats a panic of the waiter's placement in the goroutine of its request, so that the panic ends
// no other one.
func (waiter *waiter) repeatPanic() {
	if waiter.panicked != nil {
		panic(waiter.panicked)
	}
}

// remove removes a waiter. It returns false if the waiter already has its result.
func (queue *queue) remove(waiter *waiter) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	i := slices.Index(queue.waiters, waiter)
	if i < 0 {
		return false
	}
	queue.waiters = slices.Delete(queue.waiters, i, i+1)
	return true
}

// placeWaiters places waiters in order of urgency. The caller holds the mutex.
func (queue *queue) placeWaiters(now time.Time) {
	queue.refreshExcess(now)
	slices.SortStableFunc(queue.waiters, func(a, b *waiter) int {
		return dogwoodwaiting.Compare(now, &a.request, &b.request)
	})
	full := map[dogwoodfleet.Service]bool{}
	queue.waiters = slices.DeleteFunc(queue.waiters, func(waiter *waiter) bool {
		if full[waiter.placementRequest.Service] {
			return false
		}
		result := queue.place(now, waiter)
		if waiter.panicked == nil && result.refusal == dogwoodpacking.Full {
			result.backoffsUntil = queue.backoffsTooLong(now, waiter)
		}
		switch {
		case waiter.panicked != nil, !result.backoffsUntil.IsZero():
		case result.refusal == dogwoodpacking.Full:
			// A prompt that needs the memory of several engines may not fit although others do.
			full[waiter.placementRequest.Service] = waiter.placementRequest.Prompt == 0
			return false
		case result.refusal == dogwoodpacking.NoEndpoint:
			return false
		}
		waiter.result <- result
		return true
	})
	queue.refuseOverShare(now)
}

// place places a waiter. It keeps a panic with the waiter, which would otherwise stay in the queue and panic
// again beside every other one.
func (queue *queue) place(now time.Time, waiter *waiter) (result placementResult) {
	defer func() { waiter.panicked = recover() }()
	result.placement, result.refusal = queue.places.Place(now, waiter.placementRequest)
	return result
}

// backoffsTooLong returns when the first endpoint takes requests again if all have asked for none and the waiter can't wait for
// it; else the zero time.
func (queue *queue) backoffsTooLong(now time.Time, waiter *waiter) time.Time {
	first, all := queue.places.BackoffsUntil(now, waiter.placementRequest.Service)
	if !all || first.Before(waiter.waitUntil) {
		return time.Time{}
	}
	return first
}

// run places waiters whenever a slot may have become free, until the context ends.
func (queue *queue) run(ctx context.Context) error {
	timer := time.NewTimer(dogwoodkernel.Jittered(placementInterval))
	defer timer.Stop()
	for {
		changed := queue.places.Changed()
		queue.mutex.Lock()
		if len(queue.waiters) > 0 {
			queue.placeWaiters(time.Now())
		}
		queue.mutex.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-timer.C:
			timer.Reset(dogwoodkernel.Jittered(placementInterval))
		}
	}
}
