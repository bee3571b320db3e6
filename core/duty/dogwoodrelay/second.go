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
// stream that has none left. It tries the next one if that fails, and returns nil if none does better.
// The first of these was paid for.
func (attempt *attempt) openSecond(ctx context.Context) *run {
	paid := true
	defer func() {
		if paid {
			attempt.relay.options.Retries.Return(time.Now(), attempt.request.Service)
		}
	}()
	for attempt.unsentTries < mostUnsent && attempt.maySendMore() {
		if !paid && !attempt.pay() {
			return nil
		}
		run, verdict := attempt.trySecond(ctx)
		paid = run == nil && !verdict.arrived
		switch {
		case run != nil:
			return run
		case !verdict.again || ctx.Err() != nil:
			attempt.noSecond(ctx, verdict)
			return nil
		case paid:
			attempt.unsentTries++
		}
	}
	return nil
}

// trySecond makes one try of a second run. Without an event it returns nil and what came of it.
func (attempt *attempt) trySecond(ctx context.Context) (*run, verdict) {
	prepared, failed := attempt.prepare(ctx)
	if prepared == nil {
		return nil, failed
	}
	run := newRun(ctx, prepared)
	stop := attempt.boundSecond(run)
	err := run.peek()
	stop()
	if err == nil || errors.Is(err, errEnded) {
		attempt.reached++
		return run, verdict{}
	}
	defer run.close()
	var unsent *NotSent
	found := attempt.judge(ctx, run, err)
	if found.err != nil && !errors.As(err, &unsent) {
		attempt.dropped()
		found.arrived = true
	}
	if found.arrived {
		attempt.reached++
	}
	return nil, found
}

// boundSecond ends a second run that is silent itself once a third one may follow. It is bound until the
// returned function is called.
func (attempt *attempt) boundSecond(run *run) func() {
	if attempt.sent+2 >= attempt.request.Route.Attempts {
		return func() {}
	}
	options, endpoint := &attempt.relay.options, run.placement.Endpoint.ID
	var timer *time.Timer
	var stopped atomic.Bool
	timer = time.AfterFunc(never, func() {
		now := time.Now()
		switch {
		case stopped.Load():
		case attempt.relay.alive.lately(now, endpoint), !options.Retries.Allows(now, attempt.request.Service, options.Daemons()):
			timer.Reset(aliveAgain)
		default:
			run.cancel(errSilent)
		}
	})
	timer.Reset(run.firstSilence()) // only now, since the function uses the timer itself
	return func() {
		stopped.Store(true)
		timer.Stop()
	}
}

// fresh tells whether no key of the request can have been withdrawn unseen for too long.
func (attempt *attempt) fresh() bool {
	return !attempt.request.Keyed || attempt.relay.options.Fresh()
}

// pay takes a repeat from the budget for a second run.
func (attempt *attempt) pay() bool {
	options := &attempt.relay.options
	if !options.Retries.Take(time.Now(), attempt.request.Service, options.Daemons()) {
		return false
	}
	counters.Add("Retries", 1)
	options.Logger.Info(dogwoodlog.TryingAgain, "request", attempt.request.ID, "try", attempt.begun+1, "after", errSilent)
	return true
}

// noteSilence tells of an endpoint that brings nothing.
func (attempt *attempt) noteSilence(endpoint dogwoodfleet.EndpointID, timerLate time.Duration) {
	counters.Add("Silent", 1)
	attempt.relay.options.Logger.Info(dogwoodlog.Silent, "request", attempt.request.ID,
		"endpoint", endpoint, "timerlate", timerLate)
}

// noSecond tells why no other endpoint is tried. One that is not needed any more needs no reason.
func (attempt *attempt) noSecond(ctx context.Context, failed verdict) {
	if ctx.Err() != nil {
		return
	}
	why := failed.why
	if failed.err != nil {
		why = failed.err.Error()
	}
	attempt.relay.options.Logger.Info(dogwoodlog.NoFurtherTry, "request", attempt.request.ID, "why", why, "after", errSilent)
}

// dropped notes a second run that was ended because the first one went on, or with the request.
func (attempt *attempt) dropped() {
	attempt.sent++
	if attempt.known == dogwoodfleet.NotRun {
		attempt.known = dogwoodfleet.RunUnknown
	}
}
