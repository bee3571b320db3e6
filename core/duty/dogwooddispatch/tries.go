package dogwooddispatch

import (
	"context"
	"errors"
	"time"

	"dogwoodmux.example/core/decision/dogwoodretry"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

// outcome is the result of one try. A nil failure means a complete answer.
type outcome struct {
	failure *Failure
	// streamed is true if part of the answer may have reached the caller.
	streamed bool
	release  dogwoodowner.Release
}

// tryFunc sends a request to the endpoint of a grant. The request's ID is that of the try.
type tryFunc func(ctx context.Context, grant dogwoodowner.Grant, request *dogwoodfleet.Request) outcome

// serve runs tries of a request until one is answered or no further try is safe and useful.
func (dispatcher *Dispatcher) serve(ctx context.Context, call *Call, send tryFunc) error {
	if failure := dispatcher.checkDependencies(call.Request.Service); failure != nil {
		return failure
	}
	request := call.Request
	dispatcher.countFirstTry(&request)
	runState := dogwoodfleet.NotRun
	var avoid []dogwoodfleet.EndpointID
	for tryNumber := 1; ; tryNumber++ {
		request.ID = dispatcher.NewID()
		grant, err := dispatcher.acquire(ctx, &request, avoid, tryNumber)
		if err != nil {
			failure := refusalFailure(err)
			failure.Run = mergeRunStates(runState, failure.Run)
			return failure
		}
		call.Ran = grant.Endpoint.Place.DataCentre
		result := send(ctx, grant, &request)
		result.release.ID = grant.ID
		dispatcher.options.Slots.Release(ctx, grant, result.release)
		if result.failure == nil {
			return nil
		}
		runState = mergeRunStates(runState, result.failure.Run)
		result.failure.Run = runState
		if !dispatcher.awaitRetry(ctx, &request, &result, tryNumber) {
			return result.failure
		}
		avoid = append(avoid, grant.Endpoint.ID)
	}
}

func (dispatcher *Dispatcher) acquire(ctx context.Context, request *dogwoodfleet.Request, avoid []dogwoodfleet.EndpointID, tryNumber int) (dogwoodowner.Grant, error) {
	budget := time.Until(request.Deadline)
	if budget <= 0 || ctx.Err() != nil {
		failure := contextFailure(ctx, dogwoodfleet.NotRun)
		return dogwoodowner.Grant{}, &dogwoodowner.Refusal{Reason: failure.Reason, NotRun: true, Detail: failure.Detail}
	}
	acquireRequest := dogwoodowner.AcquireRequest{Request: *request, Holder: dispatcher.options.Self, Avoid: avoid, Try: tryNumber, Budget: budget}
	grant, err := dispatcher.options.Slots.Acquire(ctx, &acquireRequest)
	request.ID = acquireRequest.Request.ID
	return grant, err
}

func (dispatcher *Dispatcher) countFirstTry(request *dogwoodfleet.Request) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.retryBudget.First(time.Now(), request.Customer, request.Service)
}

// awaitRetry reports whether another try may follow. It waits for the backoff before that try.
func (dispatcher *Dispatcher) awaitRetry(ctx context.Context, request *dogwoodfleet.Request, result *outcome, tryNumber int) bool {
	if ctx.Err() != nil {
		return false
	}
	dispatcher.mutex.Lock()
	verdict := dispatcher.retryBudget.Decide(time.Now(), dogwoodretry.Failure{
		Customer: request.Customer, Service: request.Service, State: result.failure.Run, Reason: result.failure.Reason,
		Repeatable: request.Repeatable, Streamed: result.streamed, Try: tryNumber, Left: time.Until(request.Deadline),
	}, dispatcher.random)
	dispatcher.mutex.Unlock()
	if !verdict.Retry {
		return false
	}
	counters.Add("Retries", 1)
	return dogwoodkernel.Sleep(ctx, verdict.Wait)
}

// checkDependencies returns a failure if a service that the named service depends on is down.
// Otherwise every such request would take a slot and time out.
func (dispatcher *Dispatcher) checkDependencies(name dogwoodfleet.Service) *Failure {
	service, ok := dispatcher.options.Text().Service(name)
	if !ok {
		return &Failure{Reason: dogwoodfleet.ReasonNoEndpoint, Run: dogwoodfleet.NotRun, Detail: "no such service"}
	}
	for _, dependency := range service.DependsOn {
		if dispatcher.options.Down(dependency) {
			return &Failure{
				Reason: dogwoodfleet.ReasonDependency, Run: dogwoodfleet.NotRun, RetryAfter: dependencyRetryAfter,
				Detail: "the service " + string(dependency) + ", which it depends on, is down",
			}
		}
	}
	return nil
}

// dependencyRetryAfter is the interval between probes of a service that is down. A request
// that is sent again earlier would be refused too.
const dependencyRetryAfter = 2 * time.Second

// failedOutcome returns the outcome of a try for an endpoint's error.
func failedOutcome(ctx context.Context, err error) outcome {
	var notStarted *NotStarted
	var answered *Answered
	switch {
	case errors.As(err, &notStarted):
		if ctx.Err() != nil {
			return outcome{failure: contextFailure(ctx, dogwoodfleet.NotRun), release: contextRelease(ctx)}
		}
		return outcome{
			failure: &Failure{Reason: dogwoodfleet.ReasonEndpointDied, Run: dogwoodfleet.NotRun, RetryAfter: time.Second, Detail: err.Error()},
			release: dogwoodowner.Release{Result: dogwoodfleet.ResultRefused},
		}
	case errors.As(err, &answered):
		return outcome{
			failure: &Failure{Reason: dogwoodfleet.ReasonEndpointError, Run: dogwoodfleet.WasRun, Detail: err.Error(), Status: answered.Status},
			release: dogwoodowner.Release{Result: dogwoodfleet.ResultFailed},
		}
	case ctx.Err() != nil:
		return outcome{failure: contextFailure(ctx, dogwoodfleet.RunUnknown), release: contextRelease(ctx)}
	default:
		return outcome{
			failure: &Failure{Reason: dogwoodfleet.ReasonEndpointDied, Run: dogwoodfleet.RunUnknown, Detail: err.Error()},
			release: dogwoodowner.Release{Result: dogwoodfleet.ResultDied},
		}
	}
}

// contextRelease returns the release of a request whose context ended.
func contextRelease(ctx context.Context) dogwoodowner.Release {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return dogwoodowner.Release{Result: dogwoodfleet.ResultTimedOut}
	}
	return dogwoodowner.Release{Result: dogwoodfleet.ResultCancelled}
}
