package dogwoodrelay

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// firstEventFactor times the predicted time, and at least minFirstEventLimit, is how long a run
	// may take to its first event before another endpoint is tried. Slow or busy engines take a
	// few times the predicted time; dead ones never answer.
	firstEventFactor   = 4
	minFirstEventLimit = 1500 * time.Millisecond
	// pauseFactor times a stream's longest acceptable pause, and at least minPauseLimit, is how long
	// the stream may be silent before another endpoint is tried.
	pauseFactor   = 4
	minPauseLimit = time.Second
	// hangFactor times its aim, and at least minHangLimit, is how long an idempotent call may hang
	// at an endpoint before another one is tried. A working endpoint answers well within that
	// time. The minimum is for aims shorter than the delays of a slow network.
	hangFactor   = 3
	minHangLimit = 500 * time.Millisecond
	// silenceRecheck is the delay before a silent run is checked again if its endpoint still
	// sends events of other streams, or if no other endpoint may be tried.
	silenceRecheck = 250 * time.Millisecond
	// checkAfter is the silence after which an engine is asked on a new connection whether it is alive, and
	// checkInterval the interval between further questions.
	checkAfter    = minFirstEventLimit
	checkInterval = time.Second
	// maxFailedChecks is the number of unanswered questions in a row that show that an engine is dead.
	maxFailedChecks = 2
	// unarmed is the initial delay of a timer that is stopped or reset before use. It is longer
	// than any request.
	unarmed = time.Hour
	// minResumeTime is the least time left until the deadline for which a second run is started.
	minResumeTime = 300 * time.Millisecond
)

// hedge starts a second run of a request whose endpoint is silent, since silence is the only sign of a
// connection that lost its peer. The first run continues until the second one has returned an event: the
// first endpoint may only have paused, and perhaps no other endpoint can serve the request.
type hedge struct {
	attempt *attempt
	first   *run
	// limit is the silence that is allowed before the next event.
	limit time.Duration
	// timer fires when limit has passed; nil if the request can't have a second run.
	timer *time.Timer
	// due is the time for which timer is set, silentAt the end of the silence that is allowed.
	due, silentAt time.Time
	group         errgroup.Group

	mutex sync.Mutex
	// waiting is true while the attempt waits for the first run's next event. Only then may the second
	// run change the attempt.
	waiting bool
	// logged is true if the current silence was logged.
	logged bool
	// failedChecks is the number of questions in a row that the endpoint has not answered.
	failedChecks int
	secondRun    *secondRun
}

// secondRun is a second run from the wait for its placement to its first event.
type secondRun struct {
	cancel context.CancelFunc
	done   chan struct{}
	// winner is the run once it has returned an event.
	winner *run
	// dropped is true once the second run is no longer needed.
	dropped bool
}

func (attempt *attempt) newHedge(ctx context.Context, run *run) *hedge {
	hedge := &hedge{attempt: attempt, first: run, limit: run.firstEventLimit()}
	if attempt.mayHedge() {
		hedge.timer = time.AfterFunc(unarmed, func() { hedge.onTimer(ctx) })
		hedge.timer.Stop() // beginWait resets it
	}
	return hedge
}

// pauseLimit returns the silence that is allowed after an event, and after a failed second run.
func (hedge *hedge) pauseLimit() time.Duration {
	if !hedge.attempt.request.isStreamed() {
		return hedge.first.firstEventLimit() // the whole answer counts as one event
	}
	return max(pauseFactor*hedge.attempt.request.Route.Pause, minPauseLimit)
}

// mayHedge reports whether the request may have another run while the current one is in progress.
func (attempt *attempt) mayHedge() bool {
	request := attempt.request
	return request.Repeatable() && !attempt.stream.unnumbered && attempt.possibleRuns+1 < request.Route.Attempts && attempt.reachedTries+1 < maxTries &&
		time.Until(request.Deadline) >= minResumeTime && attempt.mayRun()
}

// beginWait begins the wait for the first run's next event.
func (hedge *hedge) beginWait() {
	if hedge.timer == nil {
		return
	}
	hedge.mutex.Lock()
	defer hedge.mutex.Unlock()
	hedge.waiting, hedge.failedChecks = true, 0
	hedge.silentAt = time.Now().Add(hedge.limit)
	hedge.reset(min(hedge.limit, checkAfter))
}

// settle ends the wait and waits for a second run to win or end. It returns the second run if that takes
// over. If the first run continues, a second run without an event is dropped.
func (hedge *hedge) settle(continues bool) *run {
	if hedge.timer == nil {
		return nil
	}
	secondRun := hedge.endWait(continues)
	if secondRun == nil {
		return nil
	}
	<-secondRun.done
	return secondRun.winner
}

func (hedge *hedge) endWait(continues bool) *secondRun {
	hedge.mutex.Lock()
	defer hedge.mutex.Unlock()
	hedge.timer.Stop()
	hedge.limit = hedge.pauseLimit()
	hedge.waiting, hedge.logged = false, false
	secondRun := hedge.secondRun
	hedge.secondRun = nil
	if secondRun == nil {
		return nil
	}
	if continues && secondRun.winner == nil {
		secondRun.dropped = true
		secondRun.cancel()
	}
	return secondRun
}

// stop ends a second run that is still in progress.
func (hedge *hedge) stop() {
	if run := hedge.settle(true); run != nil {
		run.close()
	}
	_ = hedge.group.Wait() // a second run returns no error
}

// reset sets the timer. The caller holds the mutex.
func (hedge *hedge) reset(after time.Duration) {
	hedge.due = time.Now().Add(after)
	hedge.timer.Reset(after)
}

// onTimer calls onSilence. After a panic it sets the timer again as after a second run that has failed.
func (hedge *hedge) onTimer(ctx context.Context) {
	if !hedge.attempt.relay.runTask("silence", hedge.attempt.request.ID, func() { hedge.onSilence(ctx) }) {
		return
	}
	hedge.mutex.Lock()
	defer hedge.mutex.Unlock()
	if hedge.waiting && hedge.secondRun == nil {
		hedge.reset(hedge.pauseLimit())
	}
}

// onSilence starts a second run if the endpoint is silent on all streams and another one may be tried.
func (hedge *hedge) onSilence(ctx context.Context) {
	responds := hedge.checkEngine(ctx)
	hedge.mutex.Lock()
	defer hedge.mutex.Unlock()
	// The timer may have fired as an event arrived; the attempt may then wait for the next event.
	if !hedge.waiting || hedge.secondRun != nil || time.Now().Before(hedge.due) {
		return
	}
	endpoint := hedge.first.placement.Endpoint.ID
	if hedge.attempt.relay.liveness.seenRecently(time.Now(), endpoint) {
		hedge.reset(silenceRecheck)
		return
	}
	if !hedge.isSilent(responds) {
		return
	}
	if !hedge.logged {
		hedge.logged = true
		hedge.attempt.recordSilence(endpoint, time.Since(hedge.due))
	}
	if !hedge.attempt.mayHedge() || !hedge.attempt.isAllowed() || !hedge.attempt.takeSecondRetry() {
		hedge.reset(silenceRecheck)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	secondRun := &secondRun{cancel: cancel, done: make(chan struct{})}
	hedge.secondRun = secondRun
	hedge.group.Go(func() error {
		hedge.race(ctx, secondRun)
		return nil
	})
}

// checkEngine asks a silent engine on a new connection whether it is alive. It returns true without a question
// for plain services, when the silence that is allowed has passed, and when it has failed to answer often enough.
func (hedge *hedge) checkEngine(ctx context.Context) bool {
	hedge.mutex.Lock()
	needed := hedge.waiting && hedge.secondRun == nil && hedge.failedChecks < maxFailedChecks &&
		time.Now().Before(hedge.silentAt) && !hedge.attempt.request.isPlain()
	hedge.mutex.Unlock()
	endpoint := hedge.first.placement.Endpoint
	if !needed || hedge.attempt.relay.liveness.seenRecently(time.Now(), endpoint.ID) {
		return true
	}
	return hedge.attempt.relay.check(ctx, endpoint.Endpoint) == nil
}

// isSilent reports whether the endpoint has been silent for too long or does not respond to questions. If
// neither, it sets the timer again. The caller holds the mutex.
func (hedge *hedge) isSilent(responds bool) bool {
	left := time.Until(hedge.silentAt)
	if left <= 0 || hedge.failedChecks >= maxFailedChecks {
		return true
	}
	if responds {
		hedge.failedChecks = 0
		hedge.reset(min(left, checkInterval))
		return false
	}
	hedge.failedChecks++
	if hedge.failedChecks < maxFailedChecks {
		hedge.reset(min(left, silenceRecheck))
		return false
	}
	return true
}

// race starts the second run. Its first event cancels the first run. The first run also continues if the second
// one panics.
func (hedge *hedge) race(ctx context.Context, secondRun *secondRun) {
	defer close(secondRun.done)
	var run *run
	hedge.attempt.relay.runTask("second run", hedge.attempt.request.ID, func() { run = hedge.attempt.openSecond(ctx) })
	hedge.mutex.Lock()
	defer hedge.mutex.Unlock()
	if run != nil && !secondRun.dropped {
		secondRun.winner = run
		hedge.first.cancel(errSilent)
		return
	}
	if run != nil {
		hedge.attempt.recordDropped()
		run.close()
	}
	secondRun.cancel()
	if hedge.waiting {
		hedge.secondRun = nil
		hedge.reset(hedge.pauseLimit())
	}
}
