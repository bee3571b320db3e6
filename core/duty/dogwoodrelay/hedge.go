package dogwoodrelay

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodlog"
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
	hedge := &hedge{attempt: attempt, run: run}
	hedge.limit = hedge.first()
	if attempt.maySendMore() {
		hedge.timer = time.AfterFunc(never, func() { hedge.silent(ctx) })
		hedge.timer.Stop() // until the run is waited for
	}
	return hedge
}

// first is the silence that is borne before the first event.
func (hedge *hedge) first() time.Duration {
	if request := hedge.attempt.request; request.plain() {
		return max(hangAims*request.Route.Aim, leastHang)
	}
	return max(firstSilence*hedge.run.placement.Predicted, firstLeast)
}

// pause is the silence that is borne after an event, and after a second run that failed.
func (hedge *hedge) pause() time.Duration {
	if hedge.attempt.request.plain() {
		return hedge.first()
	}
	return max(pauseSilence*hedge.attempt.request.Route.Pause, pauseLeast)
}

// maySendMore tells whether the request may be sent once more while it is at an endpoint.
func (attempt *attempt) maySendMore() bool {
	request := attempt.request
	return request.repeatable() && attempt.sent+1 < request.Route.Attempts && attempt.reached+1 < mostTries &&
		time.Until(request.Deadline) >= resumeNeeds
}

// mayHedge tells whether a second run can be of use now.
func (attempt *attempt) mayHedge() bool {
	options := &attempt.relay.options
	return attempt.maySendMore() && (!attempt.request.Keyed || options.Fresh()) &&
		options.Retries.Allows(time.Now(), attempt.request.Service, options.Daemons())
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

// settle ends that wait with the error that the run brought, nil for an event. It returns the second run
// if the stream goes on there.
func (hedge *hedge) settle(err error) *run {
	if hedge.timer == nil {
		return nil
	}
	second := hedge.endWait(err)
	if second == nil {
		return nil
	}
	<-second.done
	return second.won
}

// endWait ends the wait, and returns the second run if there is one. A run that broke off leaves the
// stream to it; otherwise it is dropped unless it was first.
func (hedge *hedge) endWait(err error) *second {
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
	goesOn := err == nil || errors.Is(err, io.EOF)
	if goesOn && second.won == nil {
		second.dropped = true
		second.cancel()
	}
	return second
}

// stop ends what is still under way.
func (hedge *hedge) stop() {
	if other := hedge.settle(nil); other != nil {
		other.close()
	}
	_ = hedge.group.Wait() // a second run returns no error
}

// reset has the timer fire after a time. The caller holds the mutex.
func (hedge *hedge) reset(after time.Duration) {
	hedge.due = time.Now().Add(after)
	hedge.timer.Reset(after)
}

// silent begins a second run if the endpoint is silent to all and another one may be tried.
func (hedge *hedge) silent(ctx context.Context) {
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
		counters.Add("Silent", 1)
		hedge.attempt.relay.options.Logger.Info(dogwoodlog.Silent, "request", hedge.attempt.request.ID,
			"endpoint", endpoint, "timerlate", time.Since(hedge.due))
	}
	if !hedge.attempt.mayHedge() {
		hedge.reset(aliveAgain)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	second := &second{cancel: cancel, done: make(chan struct{})}
	hedge.second = second
	hedge.group.Go(func() error {
		hedge.try(ctx, second)
		return nil
	})
}

// try makes the second run, and takes the stream over with its first event.
func (hedge *hedge) try(ctx context.Context, second *second) {
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

// openSecond sends the request to another endpoint and waits for its first event, or for the end of a
// stream that has none left. It tries the next one if that did not begin, and returns nil if none does.
func (attempt *attempt) openSecond(ctx context.Context) *run {
	paid := false
	for attempt.unsentTries < mostUnsent && attempt.maySendMore() {
		prepared, failed := attempt.prepare(ctx)
		if prepared == nil && (!failed.again || ctx.Err() != nil) {
			attempt.noSecond(failed)
			return nil
		}
		if prepared == nil {
			attempt.unsentTries++
			continue
		}
		if !paid && !attempt.pay() {
			prepared.close()
			return nil
		}
		run := newRun(ctx, prepared)
		err := run.peek()
		if err == nil || errors.Is(err, io.EOF) {
			return run
		}
		again, arrived := attempt.secondFailed(ctx, run, err)
		run.close()
		if !again {
			return nil
		}
		paid = !arrived
	}
	return nil
}

// pay takes a repeat from the budget for a second run.
func (attempt *attempt) pay() bool {
	options := &attempt.relay.options
	if !options.Retries.Take(time.Now(), attempt.request.Service, options.Daemons()) {
		return false
	}
	attempt.reached++
	counters.Add("Retries", 1)
	options.Logger.Info(dogwoodlog.TryingAgain, "request", attempt.request.ID, "try", attempt.begun, "after", errSilent)
	return true
}

// noSecond tells why no other endpoint is tried.
func (attempt *attempt) noSecond(failed verdict) {
	why := failed.why
	if failed.err != nil {
		why = failed.err.Error()
	}
	attempt.relay.options.Logger.Info(dogwoodlog.NoFurtherTry, "request", attempt.request.ID, "why", why, "after", errSilent)
}

// secondFailed notes what came of a second run that brought nothing, while the first one still runs. It
// tells whether a further endpoint may be tried, and whether the request arrived at this one.
func (attempt *attempt) secondFailed(ctx context.Context, run *run, err error) (again, arrived bool) {
	var unsent *NotSent
	switch {
	case errors.As(err, &unsent) && ctx.Err() != nil:
		return false, false
	case errors.As(err, &unsent):
		attempt.unreachable(run.placement, err)
		attempt.unsentTries++
		return true, false
	case ctx.Err() != nil:
		attempt.dropped()
		return false, true
	case errors.Is(err, errNoAnswer):
		if _, declined := attempt.declined(run.order, run.placement, run.response); declined {
			return true, true
		}
	}
	attempt.lost(run.placement, err)
	return true, true
}

// dropped notes a second run that was ended because the first one went on, or with the request.
func (attempt *attempt) dropped() {
	attempt.sent++
	if attempt.known == dogwoodfleet.NotRun {
		attempt.known = dogwoodfleet.RunUnknown
	}
}
