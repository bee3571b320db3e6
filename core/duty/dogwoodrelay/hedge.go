package dogwoodrelay

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodroute"
)

const (
	// firstSilence is how many times the predicted time, and firstLeast at least, a first
	// event may be late before another endpoint is tried: engines that are slowed or busy are
	// a few times slower than predicted, those that are gone never answer.
	firstSilence = 4
	firstLeast   = 1500 * time.Millisecond
	// pauseSilence is how many of its longest good pauses a stream may be silent, and
	// pauseLeast at least.
	pauseSilence = 4
	pauseLeast   = time.Second
	// hangAims is how many times its aim an idempotent call may hang at an endpoint before
	// another one is tried; an endpoint that ran it answers well within.
	hangAims = 3
	// leastHang bounds that from below, for aims that are shorter than a slow network.
	leastHang = 500 * time.Millisecond
	// aliveAgain is when a silent stream is looked at again whose endpoint writes others, or for
	// which no other endpoint could be tried.
	aliveAgain = 250 * time.Millisecond
	// never is a time that no request lasts.
	never = time.Hour
	// resumeNeeds is the least time left for which a stream is moved.
	resumeNeeds = 300 * time.Millisecond
)

// hedge has a second run go on with a request whose endpoint is silent: a connection that lost its
// other end shows nothing else. The first run is given up only when the second one brings an event.
// An endpoint that only paused goes on by itself, and the request may have no other place to go.
type hedge struct {
	attempt *attempt
	run     *run
	// limit is the silence that is borne next.
	limit time.Duration
	// timer fires when it is over; nil if the request can't be moved.
	timer *time.Timer
	due   time.Time
	group errgroup.Group

	mutex sync.Mutex
	// waits is true while the run's next event is waited for. Only then may the second run change the
	// attempt.
	waits bool
	// told is true if this silence was logged.
	told   bool
	second *second
}

// second is a second run, from the wait for its place to its first event.
type second struct {
	cancel context.CancelFunc
	done   chan struct{}
	// won is the run once it has brought an event.
	won *run
	// dropped is true once it is of no use.
	dropped bool
}

func (attempt *attempt) newHedge(ctx context.Context, run *run) *hedge {
	hedge := &hedge{attempt: attempt, run: run, limit: run.firstSilence()}
	// A stream without a prompt is read whole, and may take any time.
	anyTime := attempt.request.plain() && attempt.request.Route.Repeat != dogwoodroute.Idempotent
	if attempt.maySendMore() && !anyTime {
		hedge.timer = time.AfterFunc(never, func() { hedge.onSilence(ctx) })
		hedge.timer.Stop() // until the run is waited for
	}
	return hedge
}

// pause is the silence that is borne after an event, and after a second run that failed.
func (hedge *hedge) pause() time.Duration {
	if hedge.attempt.request.plain() {
		return hedge.run.firstSilence()
	}
	return max(pauseSilence*hedge.attempt.request.Route.Pause, pauseLeast)
}

// maySendMore tells whether the request may be sent once more while it is at an endpoint.
func (attempt *attempt) maySendMore() bool {
	request := attempt.request
	return request.repeatable() && attempt.sent+1 < request.Route.Attempts && attempt.reached+1 < mostTries &&
		time.Until(request.Deadline) >= resumeNeeds
}

// await begins the wait for the run's next event.
func (hedge *hedge) await() {
	if hedge.timer == nil {
		return
	}
	hedge.mutex.Lock()
	defer hedge.mutex.Unlock()
	hedge.waits = true
	hedge.reset(hedge.limit)
}

// settle ends that wait, and waits for the end of a second run. It returns that run if the request goes
// on there. A run that goes on by itself drops a second one that has brought nothing.
func (hedge *hedge) settle(goesOn bool) *run {
	if hedge.timer == nil {
		return nil
	}
	second := hedge.endWait(goesOn)
	if second == nil {
		return nil
	}
	<-second.done
	return second.won
}

func (hedge *hedge) endWait(goesOn bool) *second {
	hedge.mutex.Lock()
	defer hedge.mutex.Unlock()
	hedge.timer.Stop()
	hedge.limit = hedge.pause()
	hedge.waits, hedge.told = false, false
	second := hedge.second
	hedge.second = nil
	if second == nil {
		return nil
	}
	if goesOn && second.won == nil {
		second.dropped = true
		second.cancel()
	}
	return second
}

// stop ends what is still under way.
func (hedge *hedge) stop() {
	if other := hedge.settle(true); other != nil {
		other.close()
	}
	_ = hedge.group.Wait() // a second run returns no error
}

// reset has the timer fire after a time. The caller holds the mutex.
func (hedge *hedge) reset(after time.Duration) {
	hedge.due = time.Now().Add(after)
	hedge.timer.Reset(after)
}

// onSilence begins a second run if the endpoint is silent to all and another one may be tried.
func (hedge *hedge) onSilence(ctx context.Context) {
	hedge.mutex.Lock()
	defer hedge.mutex.Unlock()
	// A timer that fired as an event came finds the wait for the next one.
	if !hedge.waits || hedge.second != nil || time.Now().Before(hedge.due) {
		return
	}
	endpoint := hedge.run.placement.Endpoint.ID
	if hedge.attempt.relay.alive.lately(time.Now(), endpoint) {
		hedge.reset(aliveAgain)
		return
	}
	if !hedge.told {
		hedge.told = true
		hedge.attempt.noteSilence(endpoint, time.Since(hedge.due))
	}
	if !hedge.attempt.maySendMore() || !hedge.attempt.fresh() || !hedge.attempt.pay() {
		hedge.reset(aliveAgain)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	second := &second{cancel: cancel, done: make(chan struct{})}
	hedge.second = second
	hedge.group.Go(func() error {
		hedge.race(ctx, second)
		return nil
	})
}

// race makes the second run, and takes the request over with its first event.
func (hedge *hedge) race(ctx context.Context, second *second) {
	defer close(second.done)
	run := hedge.attempt.openSecond(ctx)
	hedge.mutex.Lock()
	defer hedge.mutex.Unlock()
	if run != nil && !second.dropped {
		second.won = run
		hedge.run.cancel(errSilent)
		return
	}
	if run != nil {
		hedge.attempt.dropped()
		run.close()
	}
	second.cancel()
	if hedge.waits {
		hedge.second = nil
		hedge.reset(hedge.pause())
	}
}
