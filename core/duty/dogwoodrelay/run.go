package dogwoodrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"dogwoodmux.example/core/decision/dogwoodbuffer"
	"dogwoodmux.example/core/decision/dogwoodpacking"
)

// prefillFactor is how many times the predicted time a run may take before its helpers' memory counts as unused if they
// can't say whether it is. An engine that prefills uses that memory but sends no event in the meantime.
const prefillFactor = 2

// maxEnginePause is the time for which helpers are asked whether their memory is used. Sound engines may answer nothing for somewhat
// less.
const maxEnginePause = 2 * time.Second

// minBegunTime is how long after its first event a further one shows that the answer has begun. An endpoint that ends as it
// begins an answer may still send some of it.
const minBegunTime = 100 * time.Millisecond

var (
	errSilent = errors.New("the endpoint fell silent")
	// errDaemonFull means that this daemon holds as much of answers as it may.
	errDaemonFull = errors.New("this daemon holds too much of answers")
	// errStreamEnded means that a stream has ended normally.
	errStreamEnded = errors.New("the stream has ended")
	// errUnusable means that the endpoint answered, but did not begin or failed.
	errUnusable = errors.New("the endpoint did not begin or failed")
)

// run is a request at one endpoint. An answer that is not streamed is returned whole, as one event.
type run struct {
	*preparedTry
	// send sends the request; it is called once. cause returns why the run was cancelled. These are
	// closures over the run's context, since contexts are not stored in structs.
	send   func() (*Response, error)
	cause  func() error
	cancel context.CancelCauseFunc
	// free releases the slot and the memory.
	free func()
	// reportBegun tells the other daemons that the endpoint has lived on after the answer began at a time.
	reportBegun func(begun time.Time)
	// sentAt is when the request was sent.
	sentAt   time.Time
	response *Response
	// events reads a stream of events, part holds the last part of another stream; nil before they are needed.
	events *eventReader
	part   []byte
	pace   pace
	// firstEventAt is when the first event arrived; zero before it.
	firstEventAt time.Time
	// forwarded is true once a part of its answer is in the buffer for the caller.
	forwarded bool
	// answered is true once the endpoint has answered.
	answered bool
	// begun is true once the endpoint has lived on after the answer began.
	begun bool
	// peeked is the event that peek read; nil for none.
	peeked *peekedEvent
	// account counts what was read and is not in the buffer for the caller: an answer that is read whole, or a large event; nil if
	// nothing was.
	account *dogwoodbuffer.Answer
	// unusedTimer ends a run whose helpers' memory stays unused; nil if no memory is reserved.
	unusedTimer *time.Timer
	// memoryUsed is true once the memory is used or about to be released.
	memoryUsed atomic.Bool
}

// peekedEvent is the result of a read that next has not returned yet.
type peekedEvent struct {
	event event
	err   error
}

func newRun(ctx context.Context, preparedTry *preparedTry) *run {
	attemptContext := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	run := &run{preparedTry: preparedTry, cancel: cancel, sentAt: time.Now()}
	run.reportBegun = func(begun time.Time) {
		attempt := preparedTry.attempt
		attempt.relay.options.Suspects.Began(attemptContext, &attempt.subject, begun)
	}
	run.cause = func() error { return context.Cause(ctx) }
	run.free = func() { preparedTry.close(ctx) }
	run.send = func() (*Response, error) {
		return preparedTry.attempt.relay.options.Endpoints.Send(ctx, preparedTry.endpointRequest)
	}
	run.limitUnusedMemory(ctx)
	preparedTry.reservation.startRenewing(ctx, func() { run.cancel(errSilent) })
	return run
}

// close ends the run and releases its resources.
func (run *run) close() {
	run.markMemoryUsed()
	if run.response != nil {
		closeBody(run.response)
	}
	run.cancel(nil)
	if run.account != nil {
		run.account.Close()
	}
	run.retry.Return()
	if run.answered {
		attempt := run.attempt
		attempt.relay.queue.recordRun(attempt.request.Service, time.Since(run.sentAt))
	}
	run.free()
}

// releaseEngines releases the slot and the helpers' memory of a run that has failed.
func (run *run) releaseEngines(ctx context.Context) {
	run.reservation.close(ctx)
	run.end()
}

// next returns the next event, or errStreamEnded after the last one. The first call sends the request.
func (run *run) next() (event, error) {
	if peeked := run.peeked; peeked != nil {
		run.peeked = nil
		return peeked.event, peeked.err
	}
	event, err := run.readNext()
	if err == nil {
		run.markMemoryUsed()
	}
	return event, err
}

// peek waits for the next event and keeps it for next.
func (run *run) peek() error {
	event, err := run.next()
	run.peeked = &peekedEvent{event: event, err: err}
	return err
}

func (run *run) readNext() (event, error) {
	if run.response == nil {
		if err := run.open(); err != nil {
			return event{}, err
		}
	}
	next, err := run.read()
	switch {
	case errors.Is(err, io.EOF):
		return event{}, errStreamEnded
	case err != nil:
		return event{}, run.withCause(&Broken{Cause: err})
	}
	return next, nil
}

// read reads a whole answer, the next event of a stream of events, or the next part of another stream.
func (run *run) read() (event, error) {
	switch {
	case run.events != nil:
		return run.events.next()
	case !run.attempt.request.isStreamed():
		return run.readWhole()
	case run.part != nil || !run.response.isSeries():
		return run.readPart()
	}
	run.events = newEventReader(run.response, run)
	return run.events.next()
}

// readPart reads the next part of a stream that has no events.
func (run *run) readPart() (event, error) {
	if run.part == nil {
		run.part = make([]byte, eventBufferSize)
	}
	for {
		count, err := run.response.Body.Read(run.part)
		if count > 0 {
			return event{raw: run.part[:count]}, nil // the next read returns the error again
		}
		if err != nil {
			return event{}, err //nolint:wrapcheck // io.EOF must stay itself
		}
	}
}

// readWhole reads an answer that is not streamed. Of an answer larger than maxHeldBytes it reads one byte more than that.
func (run *run) readWhole() (event, error) {
	length, _ := strconv.ParseInt(run.response.Header.Get("Content-Length"), 10, 64) // 0 if there is none
	body := io.LimitReader(run.response.Body, maxHeldBytes+1)
	if run.answered && run.attempt.request.Prompt > 0 {
		body = &progressReader{Reader: body, run: run}
	}
	data, err := dogwoodbuffer.ReadAll(body, min(length, maxHeldBytes), run.reserve)
	if err == nil && len(data) <= maxHeldBytes && run.response.endsInsideEvent(data) {
		err = io.ErrUnexpectedEOF
	}
	return event{raw: data}, err
}

// reserve counts bytes that the run reads before any of them is in the buffer for the caller. If the daemon would hold too much,
// the runs and answers that hold most are ended, of which this one may be one.
func (run *run) reserve(bytes int64) error {
	if bytes == 0 {
		return nil
	}
	if run.account == nil {
		run.account = run.attempt.relay.options.Buffers.NewAnswer(run.attempt.request.ID, func(cut dogwoodbuffer.Cut) {
			counters.Add("EndedForMemory", 1)
			run.attempt.relay.options.Logger.Warn("A run was ended, since too much of its answer has to be held.", "request", run.attempt.request.ID,
				"endpoint", run.placement.Endpoint.ID, "bytes", cut.Held, "by", cut.For)
			run.cancel(errDaemonFull)
		})
	}
	if run.account.ReserveWhole(bytes) != nil {
		return errDaemonFull
	}
	return nil
}

// release takes bytes off that reserve has counted.
func (run *run) release(bytes int64) {
	if run.account != nil {
		run.account.Release(bytes)
	}
}

// releaseAll takes all bytes off that reserve has counted.
func (run *run) releaseAll() {
	if run.account != nil {
		run.account.Release(run.account.Held())
	}
}

// progressReader records the progress of an engine's answer that is held until it is whole.
type progressReader struct {
	io.Reader
	run *run
}

// Read reads a part of the answer.
func (reader *progressReader) Read(target []byte) (int, error) {
	count, err := reader.Reader.Read(target)
	if count > 0 {
		reader.run.recordProgress()
	}
	return count, err //nolint:wrapcheck // io.EOF must stay itself
}

// open sends the request. It returns errUnusable if the response is not an answer.
func (run *run) open() error {
	run.mayHaveRun = true
	response, err := run.send()
	var unsent *NotSent
	if errors.As(err, &unsent) {
		run.mayHaveRun = false
		run.retry.Unsend()
	}
	if err != nil {
		return run.withCause(err)
	}
	run.response = response
	run.mayHaveRun = !response.NotRun && !response.OtherInstance
	run.recordLimit()
	run.recordBackoff()
	run.recordLeaving()
	if !run.isAnswer() {
		return errUnusable
	}
	run.answered = true
	return nil
}

// recordLimit records what the response says about its endpoint's limit.
func (run *run) recordLimit() {
	response, relay, endpoint := run.response, run.attempt.relay, run.placement.Endpoint.ID
	switch {
	case response.OtherInstance, response.isForeign():
	case response.LimitError != nil:
		if relay.invalidLimits.add(endpoint) {
			relay.options.Logger.Warn("An endpoint's limit can't be read and is ignored.", "endpoint", endpoint, "error", response.LimitError)
		}
	default:
		relay.options.Places.SetLimit(run.sentAt, endpoint, response.Limit)
	}
}

// recordBackoff records whether the endpoint has asked for no requests as it turned this one away.
func (run *run) recordBackoff() {
	response, relay, endpoint := run.response, run.attempt.relay, &run.placement.Endpoint.Endpoint
	switch {
	case response.OtherInstance:
	case response.BackoffError != nil:
		if relay.invalidBackoffs.add(endpoint.ID) {
			relay.options.Logger.Warn("The time for which an endpoint asks for a back-off can't be read and is ignored.", "endpoint", endpoint.ID, "error", response.BackoffError)
		}
	case response.Backoff > 0:
		relay.options.Places.Backoff(time.Now(), endpoint, time.Now().Add(response.Backoff))
	}
}

// recordLeaving records whether the endpoint says that it leaves.
func (run *run) recordLeaving() {
	if run.response.Leaving && !run.response.OtherInstance {
		run.attempt.relay.options.Places.Leave(time.Now(), &run.placement.Endpoint.Endpoint)
	}
}

// isAnswer reports whether the response is an answer to forward. A response after which another endpoint may
// be tried is none, and neither is an error status in place of a stream.
func (run *run) isAnswer() bool {
	response, request := run.response, run.attempt.request
	switch {
	case response.NotRun, response.OtherInstance, response.isForeign():
		return false
	case !request.isStreamed():
		return response.Status < http.StatusInternalServerError || !request.Repeatable()
	default:
		return response.Status == http.StatusOK && (!run.attempt.stream.begun || response.isSeries())
	}
}

// succeeds reports whether err, as returned by next, belongs to an answer that goes on or is complete.
// It returns false for a run that has failed.
func (run *run) succeeds(err error) bool {
	return err == nil || errors.Is(err, errStreamEnded) || run.rejected(err)
}

// rejected reports whether the endpoint rejected the request as invalid. Other endpoints would reject it too.
func (run *run) rejected(err error) bool {
	return errors.Is(err, errUnusable) && !run.response.NotRun && !run.response.OtherInstance && !run.response.isForeign() &&
		run.response.Status >= http.StatusMultipleChoices && run.response.Status < http.StatusInternalServerError
}

// firstEventLimit returns how long the run may take to its first event before another endpoint is tried.
func (run *run) firstEventLimit() time.Duration {
	if request := run.attempt.request; request.isPlain() {
		return max(hangFactor*request.Route.Aim, minHangLimit)
	}
	return max(firstEventFactor*run.placement.Predicted, minFirstEventLimit)
}

// withCause returns err, or a Broken error with the reason for which the run was cancelled.
func (run *run) withCause(err error) error {
	if cause := run.cause(); errors.Is(cause, errSilent) || errors.Is(cause, errDaemonFull) {
		return &Broken{Cause: cause}
	}
	return err
}

// limitUnusedMemory ends the run if its helpers' reserved memory stays unused for too long.
func (run *run) limitUnusedMemory(ctx context.Context) {
	limit := run.attempt.relay.options.UnusedMemoryTimeout
	if limit == nil || limit() <= 0 || !reservesMemory(run.placement) {
		return
	}
	run.unusedTimer = time.AfterFunc(unarmed, func() {
		run.attempt.relay.runTask("unused memory", run.attempt.request.ID, func() { run.checkMemoryUse(ctx) })
	})
	run.unusedTimer.Reset(min(run.memoryCheckWait(), silenceRecheck)) // armed only now because the function uses the timer
}

// unusedMemoryEnd returns the last time at which helpers are asked before their memory has been unused for too long.
func (run *run) unusedMemoryEnd() time.Time {
	return run.reservation.reserved.Add(run.attempt.relay.options.UnusedMemoryTimeout() - releaseTimeout - checkTimeout)
}

// memoryCheckWait returns the time until helpers are asked first. The bound may change meanwhile.
func (run *run) memoryCheckWait() time.Duration {
	return time.Until(run.unusedMemoryEnd()) - maxEnginePause
}

// checkMemoryUse asks whether the run's memory is used, and ends the run at unusedMemoryEnd if it isn't. If the helpers have not
// said by then, it does so once the memory should have been used for long and its endpoint sends no events of other streams.
func (run *run) checkMemoryUse(ctx context.Context) {
	if run.memoryUsed.Load() {
		return
	}
	if wait := run.memoryCheckWait(); wait > 0 {
		run.unusedTimer.Reset(min(wait, silenceRecheck))
		return
	}
	isLast := !time.Now().Before(run.unusedMemoryEnd())
	used, err := run.reservation.isUsed(ctx)
	late := time.Since(run.sentAt) >= prefillFactor*run.placement.Predicted
	switch {
	case err == nil && used:
		run.markMemoryUsed()
	case !isLast:
		run.unusedTimer.Reset(max(min(time.Until(run.unusedMemoryEnd()), silenceRecheck), 0))
	case err == nil, late && !run.attempt.relay.liveness.seenRecently(time.Now(), run.placement.Endpoint.ID):
		run.attempt.relay.options.Logger.Warn("Memory stayed unused and is released.", "request", run.attempt.request.ID,
			"ticket", run.reservation.ticket, "for", time.Since(run.reservation.reserved), "error", err)
		run.cancel(errSilent)
	default:
		run.unusedTimer.Reset(silenceRecheck)
	}
}

// markMemoryUsed records that the memory is used or about to be released.
func (run *run) markMemoryUsed() {
	if run.unusedTimer != nil && !run.memoryUsed.Swap(true) {
		run.unusedTimer.Stop()
	}
}

// reservesMemory reports whether helpers reserve memory for a prompt. If the primary engine fails silently
// before it prefills, that memory stays unused for as long as the daemon waits for the engine.
func reservesMemory(placement dogwoodpacking.Placement) bool {
	return slices.ContainsFunc(placement.Helpers, func(helper dogwoodpacking.Helper) bool { return helper.Tokens > 0 })
}
