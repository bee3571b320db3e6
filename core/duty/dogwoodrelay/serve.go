package dogwoodrelay

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/dogwoodlog"
)

const (
	// mostTries bounds the tries of an attempt that reached an endpoint, run or not.
	mostTries = 5
	// mostUnsent bounds those that reached none. Each takes a millisecond where a connection
	// is refused; all endpoints of a data centre may die at the same moment.
	mostUnsent = 24
	// staleRetry is how soon a caller may try another daemon when this one has lost the
	// store: at once, but for a moment in which its own connection may be closed.
	staleRetry = 50 * time.Millisecond
	// fullRetry is the mean wait that a caller is told when all endpoints are full: about
	// the time in which answers of some seconds free a good part of the places.
	fullRetry = time.Second
	// awayRetry is how soon a caller may come back when a service has no endpoint.
	awayRetry = time.Second
	// unreachableFor is how long an endpoint that could not be reached gets no new work.
	unreachableFor = time.Second
	// leastLeft is the time under which no further try is begun: the ways there and back.
	leastLeft = 30 * time.Millisecond
)

// attempt is the state of one attempt over its tries.
type attempt struct {
	relay   *Relay
	request *Request
	answer  Answer
	// sent counts the tries that may have run, reached those that reached an endpoint, and
	// unsent those that did not.
	sent, reached, unsentTries int
	// begun counts the tries that asked for a place.
	begun int
	tried []dogwoodfleet.EndpointID
	known dogwoodfleet.RunState
	// stream is what the caller has of a stream.
	stream progress
}

// verdict says what a try came to.
type verdict struct {
	// done means that the caller has the whole answer.
	done bool
	// err ends the attempt.
	err error
	// again asks for another try, if it is allowed. If not, otherwise is the outcome.
	again     bool
	arrived   bool // the try reached an endpoint and so another one is a repeat
	otherwise func() error
	why       string
}

// tryNumber tells the tries of this process apart.
var tryNumber atomic.Uint64

// Serve carries an attempt. It returns nil once the caller has the whole answer, a
// *Failure if the caller has seen nothing, ErrCut or ErrCallerGone.
func (relay *Relay) Serve(ctx context.Context, request *Request, answer Answer) error {
	err := relay.serve(ctx, request, answer)
	relay.count(request, err)
	return err
}

func (relay *Relay) serve(ctx context.Context, request *Request, answer Answer) error {
	relay.options.Retries.First(time.Now(), request.Service)
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	attempt := &attempt{relay: relay, request: request, answer: answer, known: dogwoodfleet.NotRun}
	attempt.stream.last = request.LastEvent
	for {
		verdict := attempt.try(ctx)
		if verdict.done || verdict.err != nil {
			return attempt.finish(verdict.err)
		}
		if ctx.Err() != nil {
			return attempt.finish(ended(ctx, attempt.known))
		}
		if why := attempt.forbids(verdict); why != "" {
			counters.Add("RetriesForbidden", 1)
			relay.options.Logger.Info(dogwoodlog.NoFurtherTry, "request", request.ID, "why", why, "after", verdict.why)
			return attempt.finish(verdict.otherwise())
		}
		counters.Add("Retries", 1)
		relay.options.Logger.Info(dogwoodlog.TryingAgain, "request", request.ID, "try", attempt.begun+1, "after", verdict.why)
	}
}

// finish gives the outcome the form that the caller's side needs.
func (attempt *attempt) finish(err error) error {
	if err == nil {
		return nil
	}
	if attempt.stream.begun && !errors.Is(err, ErrCallerGone) {
		return fmt.Errorf("%w: %w", ErrCut, err)
	}
	return err
}

// forbids returns why no further try may follow, or nothing.
func (attempt *attempt) forbids(verdict verdict) string {
	request := attempt.request
	if verdict.arrived {
		attempt.reached++
	} else {
		attempt.unsentTries++
	}
	switch {
	case attempt.reached >= mostTries || attempt.unsentTries >= mostUnsent:
		return "it was tried too often"
	case attempt.known != dogwoodfleet.NotRun && !request.repeatable():
		return "it may have run and may not be repeated"
	case attempt.sent >= max(request.Route.Attempts, 1):
		return "it was sent to as many endpoints as its route allows"
	case time.Until(request.Deadline) < leastLeft:
		return "no time is left"
	case verdict.arrived && !attempt.relay.options.Retries.Take(time.Now(), request.Service, attempt.relay.options.Daemons()):
		return "the retry budget is used up"
	}
	return ""
}

// prepared is a try that has its place, and its helpers' memory.
type prepared struct {
	attempt   *attempt
	order     *Order
	placement dogwoodpacking.Placement
	id        dogwoodpacking.WorkID
	release   func()
}

// close gives the place and the memory back.
func (prepared *prepared) close() {
	prepared.release()
	prepared.attempt.relay.options.Places.End(prepared.id)
}

// try finds a place and sends the request there.
func (attempt *attempt) try(ctx context.Context) verdict {
	prepared, failed := attempt.prepare(ctx)
	if prepared == nil {
		return failed
	}
	run := newRun(ctx, prepared)
	defer func() { run.close() }()
	for {
		verdict, other := attempt.follow(ctx, run)
		if other == nil {
			return verdict
		}
		run.close()
		run = other
	}
}

// prepare finds a place and the memory that a try needs. Without them it returns nil and why.
func (attempt *attempt) prepare(ctx context.Context) (*prepared, verdict) {
	relay, request := attempt.relay, attempt.request
	attempt.begun++
	if !attempt.fresh() {
		return nil, verdict{err: &Failure{
			Reason: dogwoodfleet.ReasonStore, Run: attempt.known, RetryAfter: staleRetry,
			Detail: "the store has not confirmed the keys for too long",
		}}
	}
	ask := attempt.ask()
	waiting := time.Now()
	placement, err := attempt.place(ctx, ask)
	relay.options.Metrics.Observe(metricWait, "", time.Since(waiting))
	if err != nil {
		return nil, verdict{err: err}
	}
	relay.options.Logger.Info(dogwoodlog.Placed, "request", request.ID, "try", attempt.begun, "endpoint", placement.Endpoint.ID,
		"waited", time.Since(waiting), "helpers", helperNames(placement), "prompt", request.Prompt, "predicted", placement.Predicted,
		"writers", placement.Load.Writers, "queued", placement.Load.Queued, "queuedtokens", placement.Load.QueuedTokens)
	helpers, release, err := relay.reserve(ctx, ask.ID, placement)
	if err != nil {
		relay.options.Places.End(ask.ID)
		return nil, attempt.unsent(err)
	}
	attempt.tried = append(attempt.tried, placement.Endpoint.ID)
	order := &Order{
		Request: request, Endpoint: placement.Endpoint.Endpoint, Helpers: helpers,
		Left: time.Until(request.Deadline), LastEvent: attempt.stream.last,
	}
	return &prepared{attempt: attempt, order: order, placement: placement, id: ask.ID, release: release}, verdict{}
}

func (attempt *attempt) refuse(reason dogwoodfleet.Reason, after time.Duration, detail string) error {
	return &Failure{Reason: reason, Run: attempt.known, RetryAfter: after, Detail: detail}
}

// unreachable is the verdict on a try that found no way to its endpoint.
func (attempt *attempt) unreachable(placement dogwoodpacking.Placement, err error) verdict {
	attempt.relay.options.Places.Avoid(time.Now(), placement.Endpoint.ID, unreachableFor)
	return attempt.unsent(err)
}

// unsent is the verdict on a try of which no byte went out.
func (attempt *attempt) unsent(err error) verdict {
	return verdict{again: true, why: err.Error(), otherwise: func() error {
		return attempt.refuse(dogwoodfleet.ReasonEndpointDied, dogwoodkernel.Jittered(unreachableFor), err.Error())
	}}
}

// lost is the verdict on a try that may have run and brought no answer.
func (attempt *attempt) lost(placement dogwoodpacking.Placement, err error) verdict {
	attempt.known = dogwoodfleet.RunUnknown
	attempt.sent++
	attempt.relay.options.Places.Failed(time.Now(), placement.Endpoint.ID)
	return verdict{again: true, arrived: true, why: err.Error(), otherwise: func() error {
		return &Failure{Reason: dogwoodfleet.ReasonEndpointDied, Run: attempt.known, Detail: err.Error()}
	}}
}

// helperNames lists the helpers for the log.
func helperNames(placement dogwoodpacking.Placement) []dogwoodfleet.EndpointID {
	names := make([]dogwoodfleet.EndpointID, len(placement.Helpers))
	for i, helper := range placement.Helpers {
		names[i] = helper.Endpoint.ID
	}
	return names
}
