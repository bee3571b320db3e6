package dogwooddispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

// Failure is the outcome of a request that was not answered. Dispatcher.Service and
// Dispatcher.Prompt return no other error.
type Failure struct {
	Reason dogwoodfleet.Reason
	// Run reports whether any try of the request began at an endpoint.
	Run dogwoodfleet.RunState
	// RetryAfter is the time after which a retry can succeed, or 0 if a retry is pointless.
	RetryAfter time.Duration
	Detail     string
	// Status is the endpoint's status if it answered with an error, else 0.
	Status int
}

// Error returns the reason, the run state and the detail.
func (failure *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", failure.Reason, failure.Run, failure.Detail)
}

// NotStarted means that a try certainly did not begin at the endpoint and never will.
type NotStarted struct {
	Cause error
}

// Error describes the failure.
func (notStarted *NotStarted) Error() string {
	return "the endpoint did not begin: " + notStarted.Cause.Error()
}

// Unwrap returns the cause.
func (notStarted *NotStarted) Unwrap() error { return notStarted.Cause }

// Broken means that the endpoint failed before its answer was complete, after the try began or
// may have begun.
type Broken struct {
	Cause error
}

// Error describes the failure.
func (broken *Broken) Error() string {
	return "the endpoint broke off: " + broken.Cause.Error()
}

// Unwrap returns the cause.
func (broken *Broken) Unwrap() error { return broken.Cause }

// Answered means that the endpoint answered with an error.
type Answered struct {
	Status int
	Body   []byte
}

// Error describes the failure.
func (answered *Answered) Error() string {
	return fmt.Sprintf("the endpoint answered %d: %.200s", answered.Status, answered.Body)
}

// refusalFailure returns the failure for an owner's refusal.
func refusalFailure(err error) *Failure {
	var refusal *dogwoodowner.Refusal
	if !errors.As(err, &refusal) {
		return &Failure{Reason: dogwoodfleet.ReasonInternal, Run: dogwoodfleet.NotRun, Detail: err.Error()}
	}
	run := dogwoodfleet.NotRun
	if !refusal.NotRun {
		run = dogwoodfleet.RunUnknown
	}
	return &Failure{Reason: refusal.Reason, Run: run, RetryAfter: refusal.RetryAfter, Detail: refusal.Detail}
}

// contextFailure returns the failure of a request whose deadline has passed, or whose caller disconnected. At a deadline that
// has just passed, the context may not have ended yet.
func contextFailure(ctx context.Context, run dogwoodfleet.RunState) *Failure {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &Failure{Reason: dogwoodfleet.ReasonCancelled, Run: run, Detail: "the caller left"}
	}
	return &Failure{Reason: dogwoodfleet.ReasonDeadline, Run: run, Detail: "the deadline passed"}
}

// mergeRunStates returns the run state of a request after a try that ended in the state
// latest. Once a try ran or may have run, a later refusal can't make the request "not run".
func mergeRunStates(known, latest dogwoodfleet.RunState) dogwoodfleet.RunState {
	rank := func(state dogwoodfleet.RunState) int {
		switch state {
		case dogwoodfleet.WasRun:
			return 2
		case dogwoodfleet.RunUnknown:
			return 1
		default:
			return 0
		}
	}
	if rank(latest) > rank(known) {
		return latest
	}
	return known
}
