package dogwoodrelay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Failure is the outcome of an attempt that ended before anything was sent to the caller.
type Failure struct {
	Reason dogwoodfleet.Reason
	// Run reports whether any try of the attempt began at an endpoint.
	Run dogwoodfleet.RunState
	// Reached is true if a try of the attempt reached an endpoint, so that another daemon's try would be a retry.
	Reached bool
	// RetryAfter is how long to wait before a retry; 0 for an immediate retry through another daemon.
	RetryAfter time.Duration
	Detail     string
	// Cause is the error of Text for a request that it does not allow; nil for others.
	Cause error
}

// Unwrap returns the cause.
func (failure *Failure) Unwrap() error { return failure.Cause }

// Error returns the reason, the run state and the detail.
func (failure *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", failure.Reason, failure.Run, failure.Detail)
}

// ErrCut means that the answer had begun and can't be completed. The caller must be able to
// see that it is incomplete.
var ErrCut = errors.New("the answer was cut")

// ErrCallerGone means that the caller has disconnected.
var ErrCallerGone = errors.New("the caller is gone")

// ErrShutdown is the cause with which a daemon that shuts down ends the contexts of its requests.
var ErrShutdown = errors.New("the daemon shuts down")

// NotSent means that no byte of a request was sent.
type NotSent struct {
	Cause error
}

// Error describes the failure.
func (unsent *NotSent) Error() string { return "not sent: " + unsent.Cause.Error() }

// Unwrap returns the cause.
func (unsent *NotSent) Unwrap() error { return unsent.Cause }

// Broken means that a request may have run but no complete answer was received.
type Broken struct {
	Cause error
}

// Error describes the failure.
func (broken *Broken) Error() string { return "broke off: " + broken.Cause.Error() }

// Unwrap returns the cause.
func (broken *Broken) Unwrap() error { return broken.Cause }

// ContextError returns the outcome of an attempt whose caller has received nothing, and whose context has ended. run tells
// whether a try of it began.
func ContextError(ctx context.Context, run dogwoodfleet.RunState) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Failure{Reason: dogwoodfleet.ReasonDeadline, Run: run, Detail: "the time limit passed"}
	case IsShutdown(ctx):
		return &Failure{Reason: dogwoodfleet.ReasonShutdown, Run: run, RetryAfter: leavingRetryAfter, Detail: ErrShutdown.Error()}
	}
	return ErrCallerGone
}

// IsShutdown reports whether a context has ended since the daemon shuts down.
func IsShutdown(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), ErrShutdown)
}
