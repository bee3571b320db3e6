package dogwoodrelay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/duty/dogwoodsuspects"
)

// minReportedHang is the least time without an answer after which an endpoint is reported as failed.
const minReportedHang = time.Second

// classify returns the result of a run that returned no answer. It writes nothing to the caller.
func (attempt *attempt) classify(ctx context.Context, run *run, err error) tryResult {
	if !errors.Is(err, errUnusable) {
		return attempt.sendFailed(ctx, run, err)
	}
	if tryResult, declined := attempt.declined(run.endpointRequest, run.placement, run.response); declined {
		return tryResult
	}
	event, err := run.readWhole()
	if err != nil {
		return attempt.sendFailed(ctx, run, run.withCause(&Broken{Cause: err}))
	}
	tryResult := attempt.endpointFailed(run.placement, run.response, func() error {
		if attempt.stream.begun {
			return ErrCut
		}
		attempt.dropFailure() // the buffer counts the data from now on
		return attempt.sendAnswer(run, event.raw)
	})
	tryResult.failure = event.raw
	return tryResult
}

// endpointFailed records a run that the endpoint answered with a failure, and returns its result.
func (attempt *attempt) endpointFailed(placement dogwoodpacking.Placement, response *Response, finalError func() error) tryResult {
	attempt.possibleRuns++
	attempt.runState = dogwoodfleet.WasRun
	attempt.relay.options.Places.Failed(time.Now(), placement.Endpoint.ID)
	return tryResult{retry: true, reached: true, reason: http.StatusText(response.Status), finalError: finalError}
}

// sendFailed returns the result of a try after an error of Send or of reading the answer.
func (attempt *attempt) sendFailed(ctx context.Context, run *run, err error) tryResult {
	placement := run.placement
	var unsent *NotSent
	if errors.As(err, &unsent) {
		if ctx.Err() != nil {
			return tryResult{err: ContextError(ctx, attempt.runState)}
		}
		attempt.keepRetry(run)
		return attempt.endpointUnreachable(placement, err)
	}
	if ctx.Err() != nil {
		attempt.runState = dogwoodfleet.RunUnknown
		attempt.reportHang(ctx, placement)
		return tryResult{err: ContextError(ctx, attempt.runState)}
	}
	if !errors.Is(err, errSilent) && !errors.Is(err, errDaemonFull) {
		attempt.reportBroken(ctx, run)
	}
	return attempt.tryUnanswered(placement, err)
}

// conditionTimeout bounds the question for an endpoint's condition.
const conditionTimeout = 300 * time.Millisecond

// reportBroken reports a run that broke off. The endpoint may have ended under the request.
func (attempt *attempt) reportBroken(ctx context.Context, run *run) {
	options, endpoint := &attempt.relay.options, run.placement.Endpoint.Endpoint
	conditionContext, cancel := context.WithTimeout(ctx, conditionTimeout)
	defer cancel()
	condition := options.Endpoints.Condition(conditionContext, endpoint)
	attempt.notified = options.Suspects.Broke(ctx, dogwoodsuspects.Run{
		Subject: attempt.subject, Endpoint: endpoint, Trial: run.permit.IsTrial(), PartTrial: run.permit.IsPartTrial(), Begun: run.begun,
	}, condition)
}

// reportHang reports an endpoint as failed if it held a call for much longer than the route's
// aim when the deadline passed. A deadline that passes earlier is no evidence against the endpoint.
func (attempt *attempt) reportHang(ctx context.Context, placement dogwoodpacking.Placement) {
	elapsed := time.Since(placement.Work.Begun)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && elapsed >= max(hangFactor*attempt.request.Route.Aim, minReportedHang) {
		attempt.relay.options.Places.Failed(time.Now(), placement.Endpoint.ID)
	}
}

// declined returns the result of a response that is not an answer: the endpoint did not begin,
// or it is not the endpoint's. The second value is false for other responses.
func (attempt *attempt) declined(endpointRequest *EndpointRequest, placement dogwoodpacking.Placement, response *Response) (tryResult, bool) {
	switch {
	case response.OtherInstance:
		attempt.relay.options.Places.Avoid(time.Now(), placement.Endpoint.ID, avoidOtherInstanceFor)
	case response.NotRun:
		if response.Backoff == 0 { // the end of a back-off is known, and an endpoint that asks for one has not failed
			attempt.relay.options.Places.Failed(time.Now(), placement.Endpoint.ID)
		}
		attempt.avoidFaultyHelper(placement, response)
	case response.isForeign():
		return attempt.tryUnanswered(placement, errNotGenuine), true
	default:
		return tryResult{}, false
	}
	counters.Add("NotBegun", 1)
	attempt.relay.options.Logger.Info("An endpoint did not begin.", "request", endpointRequest.Request.ID,
		"endpoint", placement.Endpoint.ID, "status", response.Status, "fault", response.FaultyHelper)
	return tryResult{retry: true, reached: true, reason: "the endpoint did not begin", finalError: func() error {
		return attempt.newFailure(dogwoodfleet.ReasonLimit, dogwoodkernel.Jittered(fullRetryAfter), "the endpoints did not begin")
	}}, true
}

// avoidFaultyHelper sends no new work for a while to the helper at which a joint request failed.
func (attempt *attempt) avoidFaultyHelper(placement dogwoodpacking.Placement, response *Response) {
	for _, helper := range placement.Helpers {
		if helper.Endpoint.Address == response.FaultyHelper {
			attempt.relay.options.Places.Avoid(time.Now(), helper.Endpoint.ID, avoidUnreachableFor)
		}
	}
}

// avoidOtherInstanceFor is how long an endpoint gets no work after its address was taken over
// by another one. It is long enough for the store to report the change, even if it is slow.
const avoidOtherInstanceFor = 10 * time.Second

var errNotGenuine = errors.New("the response is not the endpoint's own")
