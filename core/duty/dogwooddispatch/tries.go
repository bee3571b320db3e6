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

// outcome is how one try ended. A nil failure is a whole answer.
type outcome struct {
	failure *Failure
	// final is true when the caller has seen part of the answer.
	final   bool
	release dogwoodowner.Release
}

// try sends a request to the endpoint of a grant. The request's ID is the try's own.
type try func(ctx context.Context, grant dogwoodowner.Grant, request *dogwoodfleet.Request) outcome

// serve tries a request until it is answered or no further try is safe and useful.
func (dispatcher *Dispatcher) serve(ctx context.Context, call *Call, send try) error {
	if failure := dispatcher.dependencyDown(call.Request.Service); failure != nil {
		return failure
	}
	request := call.Request
	dispatcher.firstTry(&request)
	known := dogwoodfleet.NotRun
	var avoid []dogwoodfleet.EndpointID
	for number := 1; ; number++ {
		request.ID = dispatcher.NewID()
		grant, err := dispatcher.acquire(ctx, &request, avoid, number)
		if err != nil {
			failure := refused(err)
			failure.Run = worse(known, failure.Run)
			return failure
		}
		call.Ran = grant.Endpoint.Place.DataCentre
		result := send(ctx, grant, &request)
		result.release.ID = grant.ID
		dispatcher.options.Slots.Release(ctx, grant, result.release)
		if result.failure == nil {
			return nil
		}
		known = worse(known, result.failure.Run)
		result.failure.Run = known
		if !dispatcher.again(ctx, &request, &result, number) {
			return result.failure
		}
		avoid = append(avoid, grant.Endpoint.ID)
	}
}

func (dispatcher *Dispatcher) acquire(ctx context.Context, request *dogwoodfleet.Request, avoid []dogwoodfleet.EndpointID, number int) (dogwoodowner.Grant, error) {
	budget := time.Until(request.Deadline)
	if budget <= 0 || ctx.Err() != nil {
		failure := ended(ctx, dogwoodfleet.NotRun)
		return dogwoodowner.Grant{}, &dogwoodowner.Refusal{Reason: failure.Reason, NotRun: true, Detail: failure.Detail}
	}
	ask := dogwoodowner.Ask{Request: *request, Holder: dispatcher.options.Self, Avoid: avoid, Try: number, Budget: budget}
	grant, err := dispatcher.options.Slots.Acquire(ctx, &ask)
	request.ID = ask.Request.ID
	return grant, err
}

func (dispatcher *Dispatcher) firstTry(request *dogwoodfleet.Request) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.retries.First(time.Now(), request.Customer, request.Service)
}

// again reports whether another try may follow, after the wait that is due before it.
func (dispatcher *Dispatcher) again(ctx context.Context, request *dogwoodfleet.Request, result *outcome, number int) bool {
	if ctx.Err() != nil {
		return false
	}
	dispatcher.mutex.Lock()
	verdict := dispatcher.retries.Decide(time.Now(), dogwoodretry.Failure{
		Customer: request.Customer, Service: request.Service, State: result.failure.Run, Reason: result.failure.Reason,
		Repeatable: request.Repeatable, Streamed: result.final, Try: number, Left: time.Until(request.Deadline),
	}, dispatcher.random)
	dispatcher.mutex.Unlock()
	if !verdict.Retry {
		return false
	}
	counters.Add("Retries", 1)
	return dogwoodkernel.Sleep(ctx, verdict.Wait)
}

// dependencyDown refuses what can't be answered because a service that it depends on
// is down. Without it every such request would take a slot and time out.
func (dispatcher *Dispatcher) dependencyDown(name dogwoodfleet.Service) *Failure {
	service, ok := dispatcher.options.Text().Service(name)
	if !ok {
		return &Failure{Reason: dogwoodfleet.ReasonNoEndpoint, Run: dogwoodfleet.NotRun, Detail: "no such service"}
	}
	for _, dependency := range service.DependsOn {
		if dispatcher.options.Down(dependency) {
			return &Failure{
				Reason: dogwoodfleet.ReasonDependency, Run: dogwoodfleet.NotRun, RetryAfter: dependencyRetry,
				Detail: "the service " + string(dependency) + ", which it depends on, is down",
			}
		}
	}
	return nil
}

// dependencyRetry is how often endpoints of a service that is down are probed, so that
// an earlier new request can't do better.
const dependencyRetry = 2 * time.Second

// failed turns an endpoint's error into the outcome of a try.
func failed(ctx context.Context, err error) outcome {
	var started *NotStarted
	var answered *Answered
	switch {
	case errors.As(err, &started):
		if ctx.Err() != nil {
			return outcome{failure: ended(ctx, dogwoodfleet.NotRun), release: cut(ctx)}
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
		return outcome{failure: ended(ctx, dogwoodfleet.RunUnknown), release: cut(ctx)}
	default:
		return outcome{
			failure: &Failure{Reason: dogwoodfleet.ReasonEndpointDied, Run: dogwoodfleet.RunUnknown, Detail: err.Error()},
			release: dogwoodowner.Release{Result: dogwoodfleet.ResultDied},
		}
	}
}

// cut is the release of a request whose context ended.
func cut(ctx context.Context) dogwoodowner.Release {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return dogwoodowner.Release{Result: dogwoodfleet.ResultTimedOut}
	}
	return dogwoodowner.Release{Result: dogwoodfleet.ResultCancelled}
}
