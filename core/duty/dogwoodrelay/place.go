package dogwoodrelay

import (
	"context"
	"fmt"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodwaiting"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

// placementRequest returns the placement request of a new try. The request avoids endpoints that
// were already tried, unless there are no others.
func (attempt *attempt) placementRequest() *dogwoodpacking.PlacementRequest {
	request, options := attempt.request, &attempt.relay.options
	placementRequest := &dogwoodpacking.PlacementRequest{
		ID:      dogwoodpacking.WorkID(fmt.Sprintf("%s.%d", request.ID, tryNumber.Add(1))),
		Service: request.Service, Rank: request.Route.Urgency(request.Rank), Customer: request.Customer, Prompt: request.Prompt, Answer: request.Answer,
		Aim: request.Route.Aim, Pause: request.Route.Pause,
		Arrived: request.Arrived, Until: request.Deadline, CanWait: true, Resumed: attempt.stream.begun,
		Avoid: attempt.triedEndpoints, Origin: options.Place,
	}
	if len(attempt.triedEndpoints) > 0 && !options.Places.HasOtherEndpoint(time.Now(), placementRequest) {
		placementRequest.Avoid = nil // every endpoint was tried; trying one again is better than none
	}
	return placementRequest
}

// backoffSpread is the mean time after the end of an endpoint's back-off at which a caller that was refused for it comes back.
const backoffSpread = 500 * time.Millisecond

// maxConflicts is the number of times that a prompt is placed again because another daemon's goes first.
const maxConflicts = 4

// awaitSettledPlacement waits for a placement that other daemons know of. It returns the request under which the
// prompt was placed last. All placements share one wait.
func (attempt *attempt) awaitSettledPlacement(ctx context.Context) (*dogwoodpacking.PlacementRequest, dogwoodpacking.Placement, error) {
	places := attempt.relay.options.Places
	waiting := attempt.waitingRequest()
	waitUntil := time.Now().Add(dogwoodwaiting.MaxWait(time.Now(), &waiting))
	for conflicts := 0; ; conflicts++ {
		placementRequest := attempt.placementRequest()
		placement, err := attempt.awaitPlacement(ctx, placementRequest, waitUntil)
		window := places.ConflictWindow(placementRequest.Prompt)
		if err == nil {
			err = attempt.checkDrain(placementRequest.ID, &placement)
		}
		if err != nil || window == 0 || conflicts == maxConflicts {
			return placementRequest, placement, err
		}
		if !dogwoodkernel.Sleep(ctx, window) || !places.Conflicts(time.Now(), placementRequest.ID) {
			return placementRequest, placement, nil
		}
		counters.Add("Conflicts", 1)
		places.Cancel(placementRequest.ID)
	}
}

// waitingRequest returns the attempt's request as the queue orders it.
func (attempt *attempt) waitingRequest() dogwoodwaiting.Request {
	request := attempt.request
	return dogwoodwaiting.Request{
		Arrived: request.Arrived, Deadline: request.Deadline, Aim: request.Route.Aim, Pause: request.Route.Pause,
		Prompt: request.Prompt, Rank: request.Route.Urgency(request.Rank), Begun: attempt.stream.begun,
	}
}

// awaitPlacement waits for a placement, at most until waitUntil.
func (attempt *attempt) awaitPlacement(ctx context.Context, placementRequest *dogwoodpacking.PlacementRequest, waitUntil time.Time) (dogwoodpacking.Placement, error) {
	waiter := &waiter{
		placementRequest: placementRequest, result: make(chan placementResult, 1), request: attempt.waitingRequest(), waitUntil: waitUntil,
		mayHaveRun: attempt.runState != dogwoodfleet.NotRun || attempt.stream.begun,
	}
	queue := &attempt.relay.queue
	queue.add(waiter)
	if len(waiter.result) == 0 {
		if err := attempt.checkLimits(waitUntil); err != nil && queue.remove(waiter) {
			return dogwoodpacking.Placement{}, err
		}
	}
	maxWait := time.NewTimer(time.Until(waitUntil))
	defer maxWait.Stop()
	var drained <-chan time.Time // nil until the relay drains
	drainBegun := attempt.relay.drain.begun
	for {
		select {
		case <-drainBegun:
			drainBegun = nil
			drained = time.After(time.Until(attempt.latestPlacement()))
			continue
		case <-drained:
			if queue.remove(waiter) {
				return dogwoodpacking.Placement{}, attempt.refuseDrained()
			}
			return attempt.takeResult(waiter)
		case placementResult := <-waiter.result:
			waiter.repeatPanic()
			return placementResult.placement, attempt.resultError(&placementResult)
		case <-maxWait.C:
			if left := dogwoodwaiting.MaxYield(time.Now(), &waiter.request); left > 0 && queue.yields(waiter) {
				attempt.reportYield(placementRequest)
				maxWait.Reset(left)
				continue
			}
			return attempt.placeWithoutWaiting(queue, waiter)
		case <-ctx.Done():
		}
		if queue.remove(waiter) {
			return dogwoodpacking.Placement{}, ContextError(ctx, attempt.runState)
		}
		return attempt.takeResult(waiter)
	}
}

// placeWithoutWaiting accepts any placement for a try that can wait no longer, provided that the
// first event is predicted within the time that its caller tolerates.
func (attempt *attempt) placeWithoutWaiting(queue *queue, waiter *waiter) (dogwoodpacking.Placement, error) {
	if !queue.remove(waiter) {
		return attempt.takeResult(waiter)
	}
	waiter.placementRequest.CanWait = false
	placement, refusal := attempt.relay.options.Places.Place(time.Now(), waiter.placementRequest)
	if refusal != dogwoodpacking.Placed {
		return placement, attempt.placementError(refusal)
	}
	if placement.Predicted > dogwoodwaiting.CallerTimeLeft(time.Now(), &waiter.request) {
		attempt.relay.options.Places.Cancel(waiter.placementRequest.ID)
		return placement, attempt.newFailure(dogwoodfleet.ReasonLimit, dogwoodkernel.Jittered(fullRetryAfter),
			fmt.Sprintf("the first event would come after %s", placement.Predicted))
	}
	return placement, nil
}

// takeResult returns the result of a waiter that is no longer in the queue.
func (attempt *attempt) takeResult(waiter *waiter) (dogwoodpacking.Placement, error) {
	placementResult := <-waiter.result
	waiter.repeatPanic()
	return placementResult.placement, attempt.resultError(&placementResult)
}

// resultError returns the failure for the result of a waiter, nil if it was placed.
func (attempt *attempt) resultError(result *placementResult) error {
	if result.overShare != nil {
		return attempt.overShareError(result.overShare)
	}
	if result.minimum.Urgent > 0 {
		attempt.reportMinimum(result.minimum)
	}
	if !result.backoffsUntil.IsZero() {
		wait := time.Until(result.backoffsUntil) + dogwoodkernel.Jittered(backoffSpread)
		return attempt.newFailure(dogwoodfleet.ReasonLimit, wait, "all endpoints have asked for a back-off")
	}
	return attempt.placementError(result.refusal)
}

// placementError returns the failure for a refused placement, nil if it succeeded.
func (attempt *attempt) placementError(refusal dogwoodpacking.Refusal) error {
	switch refusal {
	case dogwoodpacking.Placed:
		return nil
	case dogwoodpacking.TooLarge:
		return attempt.newFailure(dogwoodfleet.ReasonTooLarge, 0, "the prompt fits no engines")
	case dogwoodpacking.NoEndpoint:
		return attempt.newFailure(dogwoodfleet.ReasonNoEndpoint, noEndpointRetryAfter, "no endpoint of the service is in force")
	case dogwoodpacking.TooLate:
		return attempt.newFailure(dogwoodfleet.ReasonLimit, dogwoodkernel.Jittered(fullRetryAfter), "it can't be answered in time after more urgent requests")
	case dogwoodpacking.Yields:
		return attempt.newFailure(dogwoodfleet.ReasonLimit, dogwoodkernel.Jittered(fullRetryAfter), "the engines are needed for more urgent requests")
	case dogwoodpacking.Full:
	}
	return attempt.newFailure(dogwoodfleet.ReasonLimit, dogwoodkernel.Jittered(fullRetryAfter), "all endpoints are full")
}
