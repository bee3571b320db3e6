package dogwoodrelay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodlog"
)

// openSecond sends the request to another endpoint and waits for its first event, or for the end of a
// stream that has no events left. If that fails, it tries the next endpoint. It returns nil if none
// succeeds. The caller has already taken the retry for the first try.
func (attempt *attempt) openSecond(ctx context.Context) *run {
	defer attempt.returnRetry()
	for attempt.unsentTries < maxUnsentTries && attempt.mayHedge() {
		if attempt.retry == nil && !attempt.takeSecondRetry() {
			return nil
		}
		run, tryResult := attempt.trySecond(ctx)
		switch {
		case run != nil:
			return run
		case !tryResult.retry || ctx.Err() != nil:
			attempt.logNoSecond(ctx, tryResult)
			return nil
		case !tryResult.reached:
			attempt.unsentTries++
		}
	}
	return nil
}

// trySecond makes one try of a second run. If no event arrives, it returns nil and the result of the try.
func (attempt *attempt) trySecond(ctx context.Context) (*run, tryResult) {
	preparedTry, failed := attempt.prepare(ctx)
	if preparedTry == nil {
		return nil, failed
	}
	run := newRun(ctx, preparedTry)
	succeeded := false
	defer func() {
		if !succeeded {
			run.close()
		}
	}()
	err := attempt.peekSecond(run)
	if err == nil && run.continues(&attempt.stream) && run.peeked.event.id == "" && !run.peeked.event.isComment {
		err = &Broken{Cause: errNotContinued} // the first run may still go on
	}
	if err == nil || errors.Is(err, errStreamEnded) {
		attempt.reachedTries++
		succeeded = true
		return run, tryResult{}
	}
	var unsent *NotSent
	result := attempt.classify(ctx, run, err)
	if result.err != nil && !errors.As(err, &unsent) {
		attempt.recordDropped()
		result.reached = true
	}
	if result.reached {
		attempt.reachedTries++
	}
	return nil, result
}

// peekSecond waits for a second run's first event. If that panics, the try counts as one that may have run.
func (attempt *attempt) peekSecond(run *run) error {
	defer attempt.limitSecondSilence(run)()
	panicked := true
	defer func() {
		if panicked {
			attempt.reachedTries++
			attempt.recordDropped()
		}
	}()
	err := run.peek()
	panicked = false
	return err
}

// limitSecondSilence ends a second run that is also silent as soon as a third one may follow. The limit
// applies until the returned function is called.
func (attempt *attempt) limitSecondSilence(run *run) func() {
	if attempt.possibleRuns+2 >= attempt.request.Route.Attempts {
		return func() {}
	}
	options, endpoint, service := &attempt.relay.options, run.placement.Endpoint.ID, attempt.request.Service
	var timer *time.Timer
	var stopped atomic.Bool
	check := func() {
		now := time.Now()
		switch {
		case stopped.Load():
		case attempt.relay.liveness.seenRecently(now, endpoint), !options.Retries.Allows(now, service):
			timer.Reset(silenceRecheck)
		default:
			run.cancel(errSilent)
		}
	}
	timer = time.AfterFunc(unarmed, func() { attempt.relay.runTask("silence of a second run", attempt.request.ID, check) })
	timer.Reset(run.firstEventLimit()) // armed only now because the function uses the timer
	return func() {
		stopped.Store(true)
		timer.Stop()
	}
}

// keysFresh reports whether the request needs no key, or keys were confirmed recently enough.
func (attempt *attempt) keysFresh() bool {
	return !attempt.request.Keyed || attempt.relay.options.Fresh()
}

// takeSecondRetry takes a retry from the budget for a second run, and reports whether there was one.
func (attempt *attempt) takeSecondRetry() bool {
	if !attempt.takeRetry() {
		return false
	}
	counters.Add("Retries", 1)
	attempt.relay.options.Logger.Info(dogwoodlog.TryingAgain, "request", attempt.request.ID, "try", attempt.tries+1, "after", errSilent)
	return true
}

// recordSilence counts and logs a silent endpoint.
func (attempt *attempt) recordSilence(endpoint dogwoodfleet.EndpointID, timerLate time.Duration) {
	counters.Add("Silent", 1)
	attempt.relay.options.Logger.Info(dogwoodlog.Silent, "request", attempt.request.ID,
		"endpoint", endpoint, "timerlate", timerLate)
}

// logNoSecond logs why no other endpoint is tried, unless the second run is no longer needed.
func (attempt *attempt) logNoSecond(ctx context.Context, result tryResult) {
	if ctx.Err() != nil {
		return
	}
	why := result.reason
	if result.err != nil {
		why = result.err.Error()
	}
	attempt.relay.options.Logger.Info(dogwoodlog.NoFurtherTry, "request", attempt.request.ID, "why", why, "after", errSilent)
}

// recordDropped records a second run that was ended because the first one continued or the request ended.
func (attempt *attempt) recordDropped() {
	attempt.possibleRuns++
	if attempt.runState == dogwoodfleet.NotRun {
		attempt.runState = dogwoodfleet.RunUnknown
	}
}
