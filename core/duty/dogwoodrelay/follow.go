package dogwoodrelay

import (
	"context"
	"errors"
)

// follow passes on what a run brings until it ends, or until another run goes on with the request.
func (attempt *attempt) follow(ctx context.Context, run *run) (verdict, *run) {
	hedge := attempt.newHedge(ctx, run)
	defer hedge.stop()
	for {
		hedge.await()
		event, err := run.next()
		if other := hedge.settle(run.goesOn(err)); other != nil {
			attempt.moved(ctx, run, err)
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
	case errors.Is(err, errEnded):
		return attempt.streamEnded(run.response)
	case run.rejected(err) && !attempt.stream.begun:
		event, err := run.readWhole()
		if err != nil {
			return attempt.sendFailed(ctx, run.placement, run.explain(&Broken{Cause: err}))
		}
		return attempt.passAnswer(run, event.raw)
	}
	return attempt.judge(ctx, run, err)
}

// moved notes what came of a run when another one goes on with the request.
func (attempt *attempt) moved(ctx context.Context, run *run, err error) {
	if err == nil {
		err = &Broken{Cause: errSilent}
	}
	if verdict := attempt.judge(ctx, run, err); !verdict.arrived {
		attempt.unsentTries++
	}
}
