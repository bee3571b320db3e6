package dogwoodrelay

import (
	"context"
	"errors"
)

// forwardRun forwards a run's events until it ends or another run takes over. It returns that run, or nil
// and the result of the try.
func (attempt *attempt) forwardRun(ctx context.Context, run *run) (tryResult, *run) {
	attempt.setStage(StageSent)
	hedge := attempt.newHedge(ctx, run)
	defer hedge.stop()
	for {
		hedge.beginWait()
		event, err := run.next()
		if !run.succeeds(err) {
			run.releaseEngines(ctx) // a second run may take seconds to begin
		}
		if replacement := hedge.settle(run.succeeds(err)); replacement != nil {
			attempt.recordReplaced(ctx, run, err)
			return tryResult{}, replacement
		}
		if err != nil {
			return attempt.runEnded(ctx, run, err), nil
		}
		if !attempt.request.isStreamed() {
			return attempt.forwardAnswer(ctx, run, event.raw), nil
		}
		attempt.recordEvent(run)
		if err := attempt.forwardEvent(ctx, run, event); err != nil {
			return tryResult{err: err}, nil
		}
	}
}

// runEnded returns the result of a run that returns no further events.
func (attempt *attempt) runEnded(ctx context.Context, run *run, err error) tryResult {
	switch {
	case errors.Is(err, errStreamEnded):
		return attempt.finishStream(run.response)
	case run.rejected(err) && !attempt.stream.begun:
		event, err := run.readWhole()
		if err != nil {
			return attempt.sendFailed(ctx, run, run.withCause(&Broken{Cause: err}))
		}
		return attempt.forwardAnswer(ctx, run, event.raw)
	}
	tryResult := attempt.classify(ctx, run, err)
	switch {
	case len(tryResult.failure) > maxHeldBytes && !attempt.stream.begun:
		return attempt.forwardLarge(ctx, run, tryResult.failure) // the rest can't be read once the run is closed
	case tryResult.failure != nil:
		attempt.keepFailure(run)
	}
	return tryResult
}

// keepFailure keeps counting a failure that is held for the case that no further try succeeds, and drops the one before.
func (attempt *attempt) keepFailure(run *run) {
	attempt.dropFailure()
	attempt.failure, run.account = run.account, nil
}

// dropFailure takes the bytes of a failure that was held off the account.
func (attempt *attempt) dropFailure() {
	if attempt.failure != nil {
		attempt.failure.Close()
		attempt.failure = nil
	}
}

// recordReplaced records the result of a run when another one takes over the request.
func (attempt *attempt) recordReplaced(ctx context.Context, run *run, err error) {
	if err == nil {
		err = &Broken{Cause: errSilent}
	}
	if tryResult := attempt.classify(ctx, run, err); !tryResult.reached {
		attempt.unsentTries++
	}
}
