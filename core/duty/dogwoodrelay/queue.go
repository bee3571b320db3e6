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
	// shortestRuns are those of tries that were answered.
	shortestRuns dogwoodwaiting.ShortestRuns
	// minimums are those of the ranks that wait for more urgent ones.
	minimums dogwoodwaiting.Minimums
}

// waiter is a try that waits. Its result is sent once.
type waiter struct {
	request          dogwoodwaiting.Request
	placementRequest *dogwoodpacking.PlacementRequest
	// waitUntil is the latest time at which it is to be placed.
	waitUntil time.Time
	result    chan placementResult
	// yields is true if more urgent requests needed the endpoints at the last try to place it.
	yields bool
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
	// backoffsUntil is when the first endpoint takes requests again, if the try was refused since all have asked for none and it
	// would get no slot in time after that; else zero.
	backoffsUntil time.Time
	// minimum is the use by which the try's rank was due; zero if the try was not placed for its rank's minimum.
	minimum dogwoodwaiting.MinimumUse
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

// yields reports whether more urgent requests needed the endpoints at the last try to place a waiter.
func (queue *queue) yields(waiter *waiter) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return waiter.yields
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
	queue.refuseTooLate(now)
	queue.refreshExcess(now)
	slices.SortStableFunc(queue.waiters, func(a, b *waiter) int {
		return dogwoodwaiting.Compare(now, &a.request, &b.request)
	})
	queue.minimums.SetWaiting(now, queue.rankClaims(), queue.places)
	pass := &pass{queue: queue, now: now, full: map[dogwoodfleet.Service]bool{}, tried: make([]bool, len(queue.waiters)), done: make([]bool, len(queue.waiters))}
	for i, waiter := range queue.waiters {
		if !waiter.request.Begun {
			pass.placeDue()
		}
		pass.place(i)
	}
	done := pass.done
	queue.waiters = slices.DeleteFunc(queue.waiters, func(*waiter) bool {
		isDone := done[0]
		done = done[1:]
		return isDone
	})
	queue.refuseOverShare(now)
}

// rankClaims returns the claims of the waiters for the minimums of their ranks. Answers that have begun go first anyway.
func (queue *queue) rankClaims() []dogwoodwaiting.RankClaim {
	if len(queue.waiters) < 2 {
		return nil
	}
	claims := make([]dogwoodwaiting.RankClaim, 0, len(queue.waiters))
	for _, waiter := range queue.waiters {
		if !waiter.request.Begun {
			claims = append(claims, waiter.rankClaim())
		}
	}
	return claims
}

func (waiter *waiter) rankClaim() dogwoodwaiting.RankClaim {
	return dogwoodwaiting.RankClaim{Service: waiter.placementRequest.Service, Rank: waiter.request.Rank}
}

// pass is one try to place all waiters.
type pass struct {
	queue *queue
	now   time.Time
	// full holds the services that take no more requests.
	full map[dogwoodfleet.Service]bool
	// tried and done tell of each waiter whether it was tried, and whether it has its result.
	tried, done []bool
	// dueTried is true while no waiter was placed since the ranks that are due were tried.
	dueTried bool
}

// placeDue places the first waiters of the ranks that get the next start.
func (pass *pass) placeDue() {
	if pass.dueTried || !pass.queue.minimums.AnyDue() {
		return
	}
	pass.dueTried = true
	for i, waiter := range pass.queue.waiters {
		if !pass.tried[i] && pass.queue.minimums.IsDue(waiter.rankClaim()) {
			pass.place(i)
		}
	}
}

// place tries to place a waiter that was not tried yet.
func (pass *pass) place(i int) {
	queue, waiter := pass.queue, pass.queue.waiters[i]
	service := waiter.placementRequest.Service
	if pass.tried[i] || pass.full[service] {
		return
	}
	pass.tried[i] = true
	result := queue.place(pass.now, waiter)
	waiter.yields = result.refusal == dogwoodpacking.Yields
	switch {
	case waiter.panicked != nil:
	case result.refusal == dogwoodpacking.Full:
		// A prompt that needs the memory of several engines may not fit although others do.
		pass.full[service] = waiter.placementRequest.Prompt == 0
		return
	case result.refusal == dogwoodpacking.NoEndpoint, result.refusal == dogwoodpacking.Yields:
		return
	case result.refusal == dogwoodpacking.Placed && !waiter.request.Begun:
		pass.dueTried = false
		result.minimum = queue.minimums.Use(waiter.rankClaim())
		queue.minimums.Started(pass.now, waiter.rankClaim(), queue.places)
	}
	waiter.result <- result
	pass.done[i] = true
}

// place places a waiter. It keeps a panic with the waiter, which would otherwise stay in the queue and panic
// again beside every other one.
func (queue *queue) place(now time.Time, waiter *waiter) (result placementResult) {
	defer func() { waiter.panicked = recover() }()
	result.placement, result.refusal = queue.places.Place(now, waiter.placementRequest)
	return result
}

// refuseTooLate refuses the waiters that will get no slot in time after the back-offs for which all endpoints of their services
// have asked. The caller holds the mutex.
func (queue *queue) refuseTooLate(now time.Time) {
	asked := map[dogwoodfleet.Service]bool{}
	for _, waiter := range slices.Clone(queue.waiters) {
		service := waiter.placementRequest.Service
		if asked[service] {
			continue
		}
		asked[service] = true
		if reopenings := queue.places.Reopenings(now, service); len(reopenings) > 0 {
			queue.refuseTooLateAfter(service, reopenings)
		}
	}
}

// refuseTooLateAfter is refuseTooLate for one service.
func (queue *queue) refuseTooLateAfter(service dogwoodfleet.Service, reopenings []dogwoodwaiting.Reopening) {
	first := slices.MinFunc(reopenings, func(a, b dogwoodwaiting.Reopening) int { return a.At.Compare(b.At) }).At
	var line []dogwoodwaiting.Waiter
	for _, waiter := range queue.waiters {
		if waiter.placementRequest.Service == service {
			line = append(line, dogwoodwaiting.Waiter{Request: &waiter.request, Until: waiter.waitUntil})
		}
	}
	tooLate := dogwoodwaiting.TooLate(line, reopenings, queue.shortestRuns.Of(service), queue.minimums.Turn(service))
	queue.waiters = slices.DeleteFunc(queue.waiters, func(waiter *waiter) bool {
		if waiter.placementRequest.Service != service {
			return false
		}
		isTooLate := tooLate[0]
		tooLate = tooLate[1:]
		if isTooLate {
			waiter.result <- placementResult{refusal: dogwoodpacking.Full, backoffsUntil: first}
		}
		return isTooLate
	})
}

// recordRun records how long a run of a service held its slot.
func (queue *queue) recordRun(service dogwoodfleet.Service, held time.Duration) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.shortestRuns.Record(service, held)
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
