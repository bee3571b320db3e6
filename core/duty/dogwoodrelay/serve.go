package dogwoodrelay

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"dogwoodmux.example/core/decision/dogwoodbuffer"
	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodretry"
	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/dogwoodlog"
	"dogwoodmux.example/core/duty/dogwoodsuspects"
)

const (
	// maxTries is the maximum number of tries of an attempt that reached an endpoint, whether
	// they ran or not.
	maxTries = 5
	// maxUnsentTries is the maximum number of tries that reached no endpoint. It is large
	// because all endpoints of a data centre may die at the same moment, and a refused
	// connection costs only a millisecond.
	maxUnsentTries = 24
	// staleRetryAfter is how long a caller waits before it tries another daemon when this one
	// has lost the store. The short delay lets its connection to this daemon be closed first.
	staleRetryAfter = 50 * time.Millisecond
	// fullRetryAfter is the mean wait sent to a caller when all endpoints are full. If
	// answers take some seconds, a good part of the slots becomes free in that time.
	fullRetryAfter = time.Second
	// noEndpointRetryAfter is the wait sent to a caller when a service has no endpoint.
	noEndpointRetryAfter = time.Second
	// avoidUnreachableFor is how long an unreachable endpoint gets no new work.
	avoidUnreachableFor = time.Second
	// minTimeLeft is the least time left for another try: the network time both ways.
	minTimeLeft = 30 * time.Millisecond
)

// attempt tracks one attempt across its tries.
type attempt struct {
	relay   *Relay
	request *Request
	subject dogwoodsuspect.Subject
	// buffer takes the answer for the caller.
	buffer *answerBuffer
	// possibleRuns counts the tries that may have run, reachedTries those that reached an
	// endpoint, and unsentTries those that did not.
	possibleRuns, reachedTries, unsentTries int
	// tries counts all tries, including those that got no placement.
	tries int
	// retry is the retry that was taken for the next try, until that is prepared; nil for a first try.
	retry          *dogwoodretry.Retry
	triedEndpoints []dogwoodfleet.EndpointID
	runState       dogwoodfleet.RunState
	// notified is closed once the other daemons know of the last run that broke off; nil if none did.
	notified <-chan struct{}
	// failure counts an endpoint's failure that is held until another try succeeds; nil for none.
	failure *dogwoodbuffer.Answer
	// stream tracks what the caller has received of a stream.
	stream progress
	// lateness tracks the delays of a stream.
	lateness lateness
	// running is true while a run of it may be in progress.
	running bool
	// yielded is true once the request had to wait for engines that more urgent ones need.
	yielded bool
}

// tryResult is the result of a try.
type tryResult struct {
	// done is true if the caller has the whole answer.
	done bool
	// err ends the attempt.
	err error
	// retry asks for another try. If none is allowed, finalError returns the outcome.
	retry      bool
	reached    bool // the try reached an endpoint, so the next one counts as a retry
	finalError func() error
	reason     string
	// failure is the body of the endpoint's failure, or a part of more than maxHeldBytes of it; nil if there was none.
	failure []byte
}

// tryNumber makes the IDs of this process's tries unique.
var tryNumber atomic.Uint64

// Serve serves an attempt. It returns nil once the caller has the whole answer, a
// *Failure if the caller has received nothing, ErrCut or ErrCallerGone.
func (relay *Relay) Serve(ctx context.Context, request *Request, answer Answer) error {
	err := relay.serve(ctx, request, answer)
	relay.countOutcome(request, err)
	return err
}

func (relay *Relay) serve(ctx context.Context, request *Request, answer Answer) error {
	if !request.Counted {
		relay.options.Retries.First(time.Now(), request.Service)
	}
	callerContext := ctx
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	buffer := newAnswerBuffer(relay, request.ID, answer, cancel)
	defer buffer.close()
	defer context.AfterFunc(callerContext, func() { buffer.endForCaller(callerContext) })()
	err := relay.serveTries(ctx, request, buffer)
	if request.BodySent != nil && buffer.hasBegun() {
		request.BodySent()
	}
	return buffer.finish(err)
}

// serveTries sends the request until it has an answer, or no further try is allowed. It returns once the answer has ended at
// the endpoint, when the caller may not have read it yet.
func (relay *Relay) serveTries(ctx context.Context, request *Request, buffer *answerBuffer) error {
	attempt := &attempt{relay: relay, request: request, buffer: buffer, runState: dogwoodfleet.NotRun, subject: newSubject(request)}
	attempt.stream.lastEvent = request.LastEventID
	defer attempt.returnRetry()
	defer attempt.dropFailure()
	for {
		tryResult := attempt.try(ctx)
		if tryResult.done {
			relay.options.Suspects.Finished(ctx, &attempt.subject)
			attempt.reportLateness()
		}
		if tryResult.done || tryResult.err != nil {
			return attempt.finish(tryResult.err)
		}
		if ctx.Err() != nil {
			return attempt.finish(ContextError(ctx, attempt.runState))
		}
		if why := attempt.checkRetry(tryResult); why != "" {
			counters.Add("RetriesForbidden", 1)
			relay.options.Logger.Info(dogwoodlog.NoFurtherTry, "request", request.ID, "why", why, "after", tryResult.reason)
			return attempt.finish(attempt.finalError(tryResult))
		}
		counters.Add("Retries", 1)
		relay.options.Logger.Info(dogwoodlog.TryingAgain, "request", request.ID, "try", attempt.tries+1, "after", tryResult.reason)
	}
}

// finish adds ErrCut to an error that ends an answer after it has begun.
// The other daemons have learned of broken runs by then, so that none needs to lose an endpoint to a caller that sends the
// request again at once.
func (attempt *attempt) finish(err error) error {
	if err == nil {
		return nil
	}
	if attempt.notified != nil {
		<-attempt.notified
	}
	var failure *Failure
	if errors.As(err, &failure) {
		failure.Reached = attempt.reachedTries > 0
	}
	if attempt.stream.begun && !errors.Is(err, ErrCallerGone) {
		return fmt.Errorf("%w: %w", ErrCut, err)
	}
	return err
}

// checkRetry counts the try and takes a retry from the budget if one is needed. It returns why
// no further try may follow, or an empty string.
func (attempt *attempt) checkRetry(tryResult tryResult) string {
	request := attempt.request
	if tryResult.reached {
		attempt.reachedTries++
	} else {
		attempt.unsentTries++
	}
	switch {
	case attempt.reachedTries >= maxTries || attempt.unsentTries >= maxUnsentTries:
		return "it was tried too often"
	case attempt.runState != dogwoodfleet.NotRun && !request.Repeatable():
		return "it may have run and may not be repeated"
	case attempt.stream.unnumbered:
		return "a part of its answer was sent, and no ID says where it goes on"
	case attempt.possibleRuns >= max(request.Route.Attempts, 1):
		return "it was sent to as many endpoints as its route allows"
	case time.Until(request.Deadline) < minTimeLeft:
		return "no time is left"
	case attempt.isFixed() && !request.Allowed():
		return "the operators' text does not allow it"
	case !attempt.mayRun():
		return "it can't be answered before the daemon shuts down"
	case tryResult.reached && !attempt.takeRetry():
		return "the retry budget is used up"
	}
	return ""
}

// takeRetry takes a retry from the budget for the next try, and reports whether there was one.
func (attempt *attempt) takeRetry() bool {
	attempt.retry = attempt.relay.options.Retries.Take(time.Now(), attempt.request.Service)
	return attempt.retry != nil
}

// keepRetry keeps the retry of a run that was not sent for the next try.
func (attempt *attempt) keepRetry(run *run) {
	if attempt.retry == nil {
		attempt.retry, run.retry = run.retry, nil
	}
}

// returnRetry returns a retry that was taken and not sent.
func (attempt *attempt) returnRetry() {
	attempt.retry.Return()
	attempt.retry = nil
}

// preparedTry is a try with its placement and its helpers' memory.
type preparedTry struct {
	attempt         *attempt
	endpointRequest *EndpointRequest
	placement       dogwoodpacking.Placement
	id              dogwoodpacking.WorkID
	reservation     *reservation
	permit          *dogwoodsuspects.Permit
	// retry is the retry that the try uses; nil for a first try.
	retry *dogwoodretry.Retry
	// mayHaveRun is true from the time when it is sent, unless the endpoint was not reached or did not begin.
	mayHaveRun bool
}

// close releases the slot, the memory and the permit.
func (preparedTry *preparedTry) close(ctx context.Context) {
	preparedTry.reservation.close(ctx)
	preparedTry.end()
	preparedTry.permit.Return(ctx)
}

// end releases the slot.
func (preparedTry *preparedTry) end() {
	if places := preparedTry.attempt.relay.options.Places; preparedTry.mayHaveRun {
		places.End(preparedTry.id)
	} else {
		places.Cancel(preparedTry.id)
	}
}

// setStage records how far the request has come. An answer that has begun stays so beside further tries.
func (attempt *attempt) setStage(stage Stage) {
	if attempt.request.Stage != StageAnswering {
		attempt.request.Stage = stage
	}
}

// try places the request, sends it and forwards the answer. Another run may take over.
func (attempt *attempt) try(ctx context.Context) tryResult {
	attempt.setStage(StageWaiting)
	preparedTry, failed := attempt.prepare(ctx)
	if preparedTry == nil {
		return failed
	}
	attempt.running = true
	defer func() { attempt.running = false }()
	run := newRun(ctx, preparedTry)
	defer func() { run.close() }()
	for {
		tryResult, replacement := attempt.forwardRun(ctx, run)
		if replacement == nil {
			if tryResult.done {
				run.recordAnswered()
			}
			return tryResult
		}
		run.close()
		run = replacement
	}
}

// prepare gets a permit if the request is a suspect, a placement and the memory that a try needs, and counts the try's retry as
// sent, as nothing waits from then on. What the text, the endpoints and the suspects say of the request is checked after the waits:
// if that has changed, they begin anew. If it can't, it returns nil and the result of the try.
func (attempt *attempt) prepare(ctx context.Context) (*preparedTry, tryResult) {
	attempt.tries++
	for {
		if err := attempt.matchText(ctx); err != nil {
			return nil, tryResult{err: err}
		}
		permit, err := attempt.admit(ctx)
		if err != nil {
			return nil, tryResult{err: err}
		}
		prepared, failed := attempt.prepareAdmitted(ctx, permit)
		if prepared == nil {
			permit.Return(ctx)
			return nil, failed
		}
		if attempt.relay.options.Suspects.StillAdmitted(permit, &attempt.subject) && attempt.isStillOpen(prepared.placement) && attempt.isAllowed() {
			if !attempt.retry.Send(time.Now()) {
				prepared.close(ctx)
				return nil, tryResult{err: attempt.refuseLateRetry()}
			}
			attempt.triedEndpoints = append(attempt.triedEndpoints, prepared.placement.Endpoint.ID)
			prepared.retry, attempt.retry = attempt.retry, nil
			return prepared, tryResult{}
		}
		prepared.close(ctx)
	}
}

// refuseLateRetry returns the failure of a try whose retry has waited for so long that the budget does not cover it any more.
func (attempt *attempt) refuseLateRetry() error {
	const why = "the retry budget does not cover the retry any more"
	counters.Add("RetriesForbidden", 1)
	attempt.relay.options.Logger.Info(dogwoodlog.NoFurtherTry, "request", attempt.request.ID, "why", why, "after", "a wait")
	return attempt.newFailure(dogwoodfleet.ReasonLimit, dogwoodkernel.Jittered(fullRetryAfter), why)
}

// isStillOpen reports whether all endpoints of a placement are still in force, and none has asked for a back-off or said that it
// leaves since.
func (attempt *attempt) isStillOpen(placement dogwoodpacking.Placement) bool {
	places, now := attempt.relay.options.Places, time.Now()
	for _, helper := range placement.Helpers {
		if !places.IsOpen(now, &helper.Endpoint.Endpoint) {
			return false
		}
	}
	return places.IsOpen(now, &placement.Endpoint.Endpoint)
}

// admit waits until the request may run.
func (attempt *attempt) admit(ctx context.Context) (*dogwoodsuspects.Permit, error) {
	permit, err := attempt.relay.options.Suspects.Admit(ctx, &attempt.subject)
	var refused *dogwoodsuspects.Refused
	switch {
	case errors.As(err, &refused):
		return nil, attempt.newFailure(dogwoodfleet.ReasonSuspect, refused.RetryAfter, refused.Error())
	case err != nil:
		return nil, ContextError(ctx, attempt.runState)
	}
	return permit, nil
}

// prepareAdmitted gets a placement and the memory for a request that may run.
func (attempt *attempt) prepareAdmitted(ctx context.Context, permit *dogwoodsuspects.Permit) (*preparedTry, tryResult) {
	relay, request := attempt.relay, attempt.request
	if !attempt.keysFresh() {
		return nil, tryResult{err: &Failure{
			Reason: dogwoodfleet.ReasonStore, Run: attempt.runState, RetryAfter: staleRetryAfter,
			Detail: "the store has not confirmed the keys for too long",
		}}
	}
	if relay.isCutOff(request) {
		return nil, tryResult{err: attempt.newFailure(dogwoodfleet.ReasonNoEndpoint, dogwoodkernel.Jittered(noEndpointRetryAfter), "this daemon reaches no endpoint")}
	}
	waitStart := time.Now()
	placementRequest, placement, err := attempt.awaitSettledPlacement(ctx)
	relay.options.Metrics.Observe(metricPlaceWait, "", time.Since(waitStart))
	if err != nil {
		return nil, tryResult{err: err}
	}
	relay.options.Logger.Info(dogwoodlog.Placed, "request", request.ID, "digest", request.Digest.String(), "try", attempt.tries, "endpoint", placement.Endpoint.ID,
		"waited", time.Since(waitStart), "helpers", helperNames(placement), "prompt", request.Prompt, "predicted", placement.Predicted,
		"writers", placement.Load.DecodingRequests, "queued", placement.Load.Queued, "queuedtokens", placement.Load.QueuedTokens)
	helpers, reservation, err := relay.reserve(ctx, placementRequest.ID, placement)
	if err != nil {
		return nil, attempt.tryNotSent(err)
	}
	endpointRequest := &EndpointRequest{
		Request: request, Endpoint: placement.Endpoint.Endpoint, Helpers: helpers,
		Left: time.Until(request.Deadline), LastEventID: attempt.stream.lastEvent,
	}
	return &preparedTry{
		attempt: attempt, endpointRequest: endpointRequest, placement: placement, id: placementRequest.ID, reservation: reservation, permit: permit,
	}, tryResult{}
}

// isCutOff reports whether a request is refused because this daemon reaches no endpoint.
func (relay *Relay) isCutOff(request *Request) bool {
	options := &relay.options
	if options.CutOff == nil || !options.CutOff() {
		return false
	}
	return !request.LastResort || options.MayBePause == nil || !options.MayBePause()
}

func (attempt *attempt) newFailure(reason dogwoodfleet.Reason, retryAfter time.Duration, detail string) error {
	return &Failure{Reason: reason, Run: attempt.runState, RetryAfter: retryAfter, Detail: detail}
}

// endpointUnreachable returns the result of a try whose endpoint can't be reached.
func (attempt *attempt) endpointUnreachable(placement dogwoodpacking.Placement, err error) tryResult {
	attempt.relay.options.Places.Avoid(time.Now(), placement.Endpoint.ID, avoidUnreachableFor)
	return attempt.tryNotSent(err)
}

// tryNotSent returns the result of a try of which no byte was sent.
func (attempt *attempt) tryNotSent(err error) tryResult {
	return tryResult{retry: true, reason: err.Error(), finalError: func() error {
		return attempt.newFailure(dogwoodfleet.ReasonEndpointDied, dogwoodkernel.Jittered(avoidUnreachableFor), err.Error())
	}}
}

// tryUnanswered records a try that may have run but returned no answer, and returns its result.
func (attempt *attempt) tryUnanswered(placement dogwoodpacking.Placement, err error) tryResult {
	attempt.runState = dogwoodfleet.RunUnknown
	attempt.possibleRuns++
	attempt.relay.options.Places.Failed(time.Now(), placement.Endpoint.ID)
	return tryResult{retry: true, reached: true, reason: err.Error(), finalError: func() error {
		return &Failure{Reason: dogwoodfleet.ReasonEndpointDied, Run: attempt.runState, Detail: err.Error()}
	}}
}

// helperNames returns the IDs of the helpers for the log.
func helperNames(placement dogwoodpacking.Placement) []dogwoodfleet.EndpointID {
	names := make([]dogwoodfleet.EndpointID, len(placement.Helpers))
	for i, helper := range placement.Helpers {
		names[i] = helper.Endpoint.ID
	}
	return names
}
