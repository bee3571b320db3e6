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
}

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

// contextError returns the error of an attempt whose context has ended.
func contextError(ctx context.Context, run dogwoodfleet.RunState) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &Failure{Reason: dogwoodfleet.ReasonDeadline, Run: run, Detail: "the time limit passed"}
	}
	return EndedError(ctx)
}

// EndedError returns why the context of a request, which is that of its caller's connection, has ended.
func EndedError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), ErrShutdown) {
		return fmt.Errorf("%w: %w", ErrCut, ErrShutdown)
	}
	return ErrCallerGone
}
