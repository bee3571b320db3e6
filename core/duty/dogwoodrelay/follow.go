package dogwoodrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// follow passes on what a run brings until it ends, or until another run goes on with the request.
func (attempt *attempt) follow(ctx context.Context, run *run) (verdict, *run) {
	hedge := attempt.newHedge(ctx, run)
	defer hedge.stop()
	for {
		hedge.await()
		event, err := run.next()
		if other := hedge.settle(err); other != nil {
			attempt.moved(run)
			return verdict{}, other
		}
		if err != nil {
			return attempt.runEnded(ctx, run, err), nil
		}
		if attempt.request.plain() {
			return attempt.passAnswer(run, event.raw), nil
		}
		attempt.noteEvent(run)
		if err := attempt.passEvent(run.response, event); err != nil {
			return verdict{err: err}, nil
		}
	}
}

// runEnded is the verdict on a run that brings nothing further.
func (attempt *attempt) runEnded(ctx context.Context, run *run, err error) verdict {
	switch {
	case errors.Is(err, io.EOF):
		return attempt.streamEnded(run.response)
	case !errors.Is(err, errNoAnswer):
		return attempt.sendFailed(ctx, run.placement, err)
	}
	if verdict, declined := attempt.declined(run.order, run.placement, run.response); declined {
		return verdict
	}
	return attempt.failed(ctx, run)
}

// failed is the verdict on a failure that an endpoint answered with.
func (attempt *attempt) failed(ctx context.Context, run *run) verdict {
	response := run.response
	event, err := run.readWhole()
	if err != nil {
		return attempt.sendFailed(ctx, run.placement, run.explain(&Broken{Cause: err}))
	}
	if len(event.raw) > wholeBytes && !attempt.stream.begun {
		return attempt.passOn(response, event.raw)
	}
	otherwise := func() error {
		if attempt.stream.begun {
			return ErrCut
		}
		return attempt.deliver(response, event.raw)
	}
	if response.Status < http.StatusInternalServerError && !attempt.stream.begun {
		if err := otherwise(); err != nil {
			return verdict{err: err}
		}
		return verdict{done: true}
	}
	return attempt.ranBadly(run.placement, response, otherwise)
}

// moved notes that a silent run was given up for another one.
func (attempt *attempt) moved(run *run) {
	attempt.known = dogwoodfleet.RunUnknown
	attempt.sent++
	attempt.relay.options.Places.Failed(time.Now(), run.placement.Endpoint.ID)
}
