package dogwoodrelay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

// silentLeast is the least time without an answer that is held against an endpoint.
const silentLeast = time.Second

// judge is the verdict on a run that brought no answer. It writes nothing to the caller.
func (attempt *attempt) judge(ctx context.Context, run *run, err error) verdict {
	if !errors.Is(err, errUnusable) {
		return attempt.sendFailed(ctx, run.placement, err)
	}
	if verdict, declined := attempt.declined(run.order, run.placement, run.response); declined {
		return verdict
	}
	event, err := run.readWhole()
	if err != nil {
		return attempt.sendFailed(ctx, run.placement, run.explain(&Broken{Cause: err}))
	}
	return attempt.ranBadly(run.placement, run.response, func() error {
		if attempt.stream.begun {
			return ErrCut
		}
		return attempt.passAnswer(run, event.raw).err
	})
}

// ranBadly is the verdict on a failure that an endpoint answered with.
func (attempt *attempt) ranBadly(placement dogwoodpacking.Placement, response *Response, otherwise func() error) verdict {
	attempt.sent++
	attempt.known = dogwoodfleet.WasRun
	attempt.relay.options.Places.Failed(time.Now(), placement.Endpoint.ID)
	return verdict{again: true, arrived: true, why: http.StatusText(response.Status), otherwise: otherwise}
}

// sendFailed is the verdict on an error of Send or of reading the answer.
func (attempt *attempt) sendFailed(ctx context.Context, placement dogwoodpacking.Placement, err error) verdict {
	var unsent *NotSent
	if errors.As(err, &unsent) {
		if ctx.Err() != nil {
			return verdict{err: ended(ctx, attempt.known)}
		}
		return attempt.unreachable(placement, err)
	}
	if ctx.Err() != nil {
		attempt.known = dogwoodfleet.RunUnknown
		attempt.blameSilence(ctx, placement)
		return verdict{err: ended(ctx, attempt.known)}
	}
	return attempt.lost(placement, err)
}

// blameSilence notes an endpoint that had a call for far longer than it should take when
// its time limit came. A limit that is short says nothing of the endpoint.
func (attempt *attempt) blameSilence(ctx context.Context, placement dogwoodpacking.Placement) {
	had := time.Since(placement.Work.Begun)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && had >= max(hangAims*attempt.request.Route.Aim, silentLeast) {
		attempt.relay.options.Places.Failed(time.Now(), placement.Endpoint.ID)
	}
}

// declined is the verdict on an answer that is none: the endpoint did not begin, or its
// success is not genuine.
func (attempt *attempt) declined(order *Order, placement dogwoodpacking.Placement, response *Response) (verdict, bool) {
	success := response.Status >= 200 && response.Status < 300
	switch {
	case response.OtherInstance:
		attempt.relay.options.Places.Avoid(time.Now(), placement.Endpoint.ID, otherInstanceFor)
	case response.NotRun:
		attempt.relay.options.Places.Failed(time.Now(), placement.Endpoint.ID)
		attempt.blame(placement, response)
	case success && !response.Genuine:
		return attempt.lost(placement, errNotGenuine), true
	default:
		return verdict{}, false
	}
	counters.Add("NotBegun", 1)
	attempt.relay.options.Logger.Info("An endpoint did not begin.", "request", order.Request.ID,
		"endpoint", placement.Endpoint.ID, "status", response.Status, "fault", response.Fault)
	return verdict{again: true, arrived: true, why: "the endpoint did not begin", otherwise: func() error {
		return attempt.refuse(dogwoodfleet.ReasonLimit, dogwoodkernel.Jittered(fullRetry), "the endpoints did not begin")
	}}, true
}

// blame keeps work from the helper that made a joint request fail.
func (attempt *attempt) blame(placement dogwoodpacking.Placement, response *Response) {
	for _, helper := range placement.Helpers {
		if helper.Endpoint.Address == response.Fault {
			attempt.relay.options.Places.Avoid(time.Now(), helper.Endpoint.ID, unreachableFor)
		}
	}
}

// otherInstanceFor is how long an endpoint whose address another one has gets no work:
// until the store has told so, with room for a store that is slow.
const otherInstanceFor = 10 * time.Second

var errNotGenuine = errors.New("the success is not the endpoint's own")
