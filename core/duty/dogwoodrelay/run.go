package dogwoodrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
)

// readsFor is how many times the predicted time a prompt may take to be read whatever memory its
// helpers have set aside: an engine that reads uses that memory, and writes nothing meanwhile.
const readsFor = 2

var (
	errSilent = errors.New("the endpoint fell silent")
	// errEnded means that a stream has ended as a whole one does.
	errEnded = errors.New("the stream has ended")
	// errUnusable means that the endpoint answered, but did not begin or failed.
	errUnusable = errors.New("the endpoint did not begin or failed")
)

// run is a request at one endpoint. A plain call brings its whole answer as one event.
type run struct {
	*prepared
	// send sends the request; it is called once. Like cause, which is why the run was cancelled, it is
	// bound to the run's context, since contexts are not kept in structs.
	send   func() (*Response, error)
	cause  func() error
	cancel context.CancelCauseFunc
	// sent is when the request was sent.
	sent     time.Time
	response *Response
	events   *events
	pace     pace
	// writes is true from the first event on.
	writes bool
	// ahead is what peek read.
	ahead *readAhead
	// unused ends a run whose helpers' memory nobody uses; nil if none have any.
	unused *time.Timer
	// used is true once the memory is used, or is about to be given back.
	used atomic.Bool
}

// readAhead is an event that was read before it was asked for.
type readAhead struct {
	event event
	err   error
}

func newRun(ctx context.Context, prepared *prepared) *run {
	ctx, cancel := context.WithCancelCause(ctx)
	made := &run{prepared: prepared, cancel: cancel, sent: time.Now()}
	made.cause = func() error { return context.Cause(ctx) }
	made.send = func() (*Response, error) { return prepared.attempt.relay.options.Endpoints.Send(ctx, prepared.order) }
	made.boundMemory()
	return made
}

// close ends the run and gives back what it has.
func (run *run) close() {
	run.memoryUsed()
	if run.response != nil {
		closeBody(run.response)
	}
	run.cancel(nil)
	run.prepared.close()
}

// next returns the next event, errEnded after the last. It sends the request first if that was not done.
func (run *run) next() (event, error) {
	if ahead := run.ahead; ahead != nil {
		run.ahead = nil
		return ahead.event, ahead.err
	}
	event, err := run.nextRead()
	if err == nil {
		run.memoryUsed()
	}
	return event, err
}

// peek waits for the next event and keeps it for next.
func (run *run) peek() error {
	event, err := run.next()
	run.ahead = &readAhead{event: event, err: err}
	return err
}

func (run *run) nextRead() (event, error) {
	if run.response == nil {
		if err := run.open(); err != nil {
			return event{}, err
		}
	}
	read := run.events.next
	if run.attempt.request.plain() {
		read = run.readWhole
	}
	found, err := read()
	switch {
	case errors.Is(err, io.EOF):
		return event{}, errEnded
	case err != nil:
		return event{}, run.explain(&Broken{Cause: err})
	}
	return found, nil
}

// readWhole reads a plain answer, one that is too large to be held only as far as it may be.
func (run *run) readWhole() (event, error) {
	data, err := io.ReadAll(io.LimitReader(run.response.Body, wholeBytes+1))
	return event{raw: data}, err
}

// open sends the request. The error is errUnusable if what came back is not its answer.
func (run *run) open() error {
	response, err := run.send()
	if err != nil {
		return run.explain(err)
	}
	run.response, run.events = response, newEvents(response.Body)
	if !run.answers() {
		return errUnusable
	}
	return nil
}

// answers tells whether the response is an answer that may be passed on while there may be others.
func (run *run) answers() bool {
	response, request := run.response, run.attempt.request
	success := response.Status >= 200 && response.Status < 300
	switch {
	case response.NotRun, response.OtherInstance, success && !response.Genuine:
		return false
	case request.plain():
		return response.Status < http.StatusInternalServerError || !request.repeatable()
	default:
		return response.Status == http.StatusOK
	}
}

// goesOn tells whether what next returned belongs to an answer that goes on or has ended, and not to a
// run of which no more will come.
func (run *run) goesOn(err error) bool {
	return err == nil || errors.Is(err, errEnded) || run.rejected(err)
}

// rejected tells whether the endpoint's answer is that the request itself is wrong. Others would say so too.
func (run *run) rejected(err error) bool {
	return errors.Is(err, errUnusable) && !run.response.NotRun && !run.response.OtherInstance &&
		run.response.Status >= http.StatusMultipleChoices && run.response.Status < http.StatusInternalServerError
}

// firstSilence is the silence that is borne before the run's first event.
func (run *run) firstSilence() time.Duration {
	if request := run.attempt.request; request.plain() {
		return max(hangAims*request.Route.Aim, leastHang)
	}
	return max(firstSilence*run.placement.Predicted, firstLeast)
}

// explain gives an error that the silence caused its cause.
func (run *run) explain(err error) error {
	if errors.Is(run.cause(), errSilent) {
		return &Broken{Cause: errSilent}
	}
	return err
}

// boundMemory ends the run if memory that its helpers have set aside would stay unused for too long.
func (run *run) boundMemory() {
	most := run.attempt.relay.options.UnusedMemory
	if most <= 0 || !setsAside(run.placement) {
		return
	}
	run.unused = time.AfterFunc(never, func() {
		switch {
		case run.used.Load():
		case run.attempt.relay.alive.lately(time.Now(), run.placement.Endpoint.ID):
			run.unused.Reset(aliveAgain)
		default:
			run.cancel(errSilent)
		}
	})
	run.unused.Reset(max(most-releaseWithin, readsFor*run.placement.Predicted)) // only now, since the function uses the timer itself
}

// memoryUsed notes that the memory is used, or is about to be given back.
func (run *run) memoryUsed() {
	if run.unused != nil && !run.used.Swap(true) {
		run.unused.Stop()
	}
}

// setsAside tells whether helpers keep memory for a prompt. An engine that goes dark before it reads
// leaves that memory unused for as long as the daemon waits for it.
func setsAside(placement dogwoodpacking.Placement) bool {
	return slices.ContainsFunc(placement.Helpers, func(helper dogwoodpacking.Helper) bool { return helper.Tokens > 0 })
}
