// Package dogwoodprogress ends calls whose answers do not arrive, and lets those continue that do. A limit on the whole
// call would cut off each large answer on a narrow link, however often it is requested.
//
// Whoever makes a call derives its context with Watch. Whoever reads the answer finds the call's Progress in that context
// and reports the bytes of this answer, and only these.
package dogwoodprogress

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// minBytesPerSecond is the rate below which an answer counts as one that does not arrive. A text of 1.9 MB takes the
	// whole maxDuration at this rate.
	minBytesPerSecond = 64 << 10
	// rateWindow is the time over which the rate is measured.
	rateWindow = 1200 * time.Millisecond
	// minWindowBytes is what must arrive within each rateWindow.
	minWindowBytes = int(minBytesPerSecond * rateWindow / time.Second)
	// maxDuration bounds a call from its begin to the end of its answer. A text of 6 MB is 8 MB in the store's encoding
	// and takes 4.6 s over a link of 14 Mbit/s.
	maxDuration = 30 * time.Second
)

// The reasons for which a call ends before its answer is complete.
var (
	// ErrSilent means that no part of an answer arrived in time.
	ErrSilent = errors.New("no answer in time")
	// ErrSlow means that an answer arrived too slowly.
	ErrSlow = errors.New("the answer arrives too slowly")
)

// Limits bound the pauses of an answer.
type Limits struct {
	// First is the time within which the first byte must arrive.
	First time.Duration
	// Step is the time within which each further part must arrive, and StepBytes the size of a part.
	Step      time.Duration
	StepBytes int
	// Patience is the time for which such parts suffice, at any rate.
	Patience time.Duration
}

// Progress is what has arrived of the answer to a call. It is safe for concurrent use.
type Progress struct {
	limits   Limits
	cancel   context.CancelCauseFunc
	patience time.Time // the end of limits.Patience

	mutex sync.Mutex
	ended bool
	timer *time.Timer
	// expiresAt is when the timer is set to, and reason why the call ends then.
	expiresAt time.Time
	reason    error
	// stepBegun is the beginning of the current part, zero before the first byte, and stepBytes what arrived of it.
	stepBegun time.Time
	stepBytes int
	// windowBegun is the beginning of the current window of the rate, and windowBytes what arrived in it.
	windowBegun time.Time
	windowBytes int
}

// progressKey is the context key of a call's Progress.
type progressKey struct{}

// Watch returns a context that ends with ErrSilent or ErrSlow as its cause when a call does not progress. The returned
// function must be called at the end of the call.
func Watch(ctx context.Context, limits Limits) (context.Context, func()) {
	ctx, cancelDuration := context.WithTimeoutCause(ctx, maxDuration, ErrSlow)
	ctx, cancel := context.WithCancelCause(ctx)
	now := time.Now()
	progress := &Progress{limits: limits, cancel: cancel, patience: now.Add(limits.Patience), expiresAt: now.Add(limits.First), reason: ErrSilent}
	progress.timer = time.AfterFunc(limits.First, progress.expire)
	return context.WithValue(ctx, progressKey{}, progress), func() {
		progress.end()
		cancel(nil)
		cancelDuration()
	}
}

// FromContext returns the progress of the call that a context belongs to, or nil if it is not watched.
func FromContext(ctx context.Context) *Progress {
	progress, _ := ctx.Value(progressKey{}).(*Progress)
	return progress
}

// Received records that bytes of the answer arrived.
func (progress *Progress) Received(count int) {
	progress.mutex.Lock()
	defer progress.mutex.Unlock()
	now := time.Now()
	if errors.Is(progress.reason, ErrSlow) && !now.Before(progress.expiresAt) {
		// A window that lacked bytes is over, and its timer has not run yet. These bytes would begin another window.
		progress.cancel(ErrSlow)
		return
	}
	if progress.stepBegun.IsZero() {
		progress.stepBegun = now
	}
	progress.stepBytes += count
	if progress.stepBytes >= progress.limits.StepBytes {
		progress.stepBegun, progress.stepBytes = now, 0
	}
	if progress.windowBegun.IsZero() || now.Sub(progress.windowBegun) >= rateWindow {
		progress.windowBegun, progress.windowBytes = now, 0
	}
	progress.windowBytes += count
	expiresAt, reason := progress.stepBegun.Add(progress.limits.Step), ErrSilent
	if progress.windowBytes < minWindowBytes {
		// A window with too few bytes ends the call, also if the last of them came just before its end. Otherwise an
		// answer of a few bytes a second would be noticed late.
		windowEnd := progress.windowBegun.Add(rateWindow)
		if windowEnd.Before(progress.patience) {
			windowEnd = progress.patience
		}
		if !windowEnd.After(expiresAt) {
			expiresAt, reason = windowEnd, ErrSlow
		}
	}
	progress.setTimer(now, expiresAt, reason)
}

// Postpone extends the time for the first byte. It has no effect once that has arrived.
func (progress *Progress) Postpone(by time.Duration) {
	progress.mutex.Lock()
	defer progress.mutex.Unlock()
	if progress.stepBegun.IsZero() {
		progress.setTimer(time.Now(), progress.expiresAt.Add(by), progress.reason)
	}
}

// setTimer sets when the call ends. The caller holds the mutex.
func (progress *Progress) setTimer(now, expiresAt time.Time, reason error) {
	if progress.ended {
		return
	}
	progress.expiresAt, progress.reason = expiresAt, reason
	progress.timer.Reset(expiresAt.Sub(now))
}

// expire ends the call, unless bytes arrived just before.
func (progress *Progress) expire() {
	progress.mutex.Lock()
	defer progress.mutex.Unlock()
	if !time.Now().Before(progress.expiresAt) {
		progress.cancel(progress.reason)
	}
}

// end stops the timer for good.
func (progress *Progress) end() {
	progress.mutex.Lock()
	defer progress.mutex.Unlock()
	progress.ended = true
	progress.timer.Stop()
}
