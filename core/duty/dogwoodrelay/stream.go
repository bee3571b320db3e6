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

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodlog"
)

const (
	// firstSilence is how many times the predicted time, and firstLeast at least, a first
	// event may be late before another endpoint is tried: engines that are slowed or busy are
	// a few times slower than predicted, those that are gone never answer.
	firstSilence = 4
	firstLeast   = 1500 * time.Millisecond
	// pauseSilence is how many of its longest good pauses a stream may be silent, and
	// pauseLeast at least.
	pauseSilence = 4
	pauseLeast   = time.Second
	// readsFor is how many times the predicted time a prompt may take to be read whatever memory its
	// helpers have set aside: an engine that reads uses that memory, and writes nothing meanwhile.
	readsFor = 2
	// aliveAgain is when a silent stream is looked at again whose endpoint writes others.
	aliveAgain = 250 * time.Millisecond
	// never is a time that no request lasts.
	never = time.Hour
	// resumeNeeds is the least time left for which a stream is moved.
	resumeNeeds = 300 * time.Millisecond
)

// progress is what a caller has of a stream.
type progress struct {
	begun bool
	// last is the id of the last event that went out, or the one that the caller had.
	last string
}

// tryStream sends a request and passes on its events, whole ones only.
func (attempt *attempt) tryStream(ctx context.Context, order *Order, placement dogwoodpacking.Placement, id dogwoodpacking.WorkID) verdict {
	tryContext, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := attempt.watch(func() { cancel(errSilent) }, placement)
	defer silence.stop()
	sent := time.Now()
	response, err := attempt.relay.options.Endpoints.Send(tryContext, order)
	if err != nil {
		return attempt.sendFailed(ctx, placement, explain(tryContext, err))
	}
	defer closeBody(response)
	if verdict, refused := attempt.declined(order, placement, response); refused {
		return verdict
	}
	if response.Status != http.StatusOK {
		return attempt.streamRefused(ctx, placement, response)
	}
	attempt.known = dogwoodfleet.WasRun
	events, pace := newEvents(response.Body), &pace{}
	writes := false
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			return attempt.streamEnded(response)
		}
		if err != nil {
			return attempt.sendFailed(ctx, placement, explain(tryContext, &Broken{Cause: err}))
		}
		silence.heard()
		attempt.relay.alive.note(time.Now(), placement.Endpoint.ID)
		if pause, ok := pace.event(time.Now()); ok {
			attempt.relay.options.Places.Paced(placement.Endpoint.ID, pause)
		}
		if !writes {
			writes = true
			attempt.relay.options.Metrics.Observe(metricFirst, lengthLabel(attempt.request.Prompt), time.Since(sent))
			attempt.relay.options.Places.Writes(id, placement.Predicted, time.Since(sent))
			attempt.relay.options.Logger.Info(dogwoodlog.FirstEvent, "request", attempt.request.ID,
				"predicted", placement.Predicted, "seen", time.Since(sent), "endpoint", placement.Endpoint.ID)
		}
		if err := attempt.passEvent(response, event); err != nil {
			return verdict{err: err}
		}
	}
}

// streamEnded passes on a stream's end; one without any event still has its headers.
func (attempt *attempt) streamEnded(response *Response) verdict {
	if err := attempt.beginStream(response); err != nil {
		return verdict{err: err}
	}
	return verdict{done: true}
}

// streamRefused is the verdict on a failure that an engine answered with.
func (attempt *attempt) streamRefused(ctx context.Context, placement dogwoodpacking.Placement, response *Response) verdict {
	data, err := io.ReadAll(io.LimitReader(response.Body, wholeBytes))
	if err != nil {
		return attempt.sendFailed(ctx, placement, &Broken{Cause: err})
	}
	otherwise := func() error {
		if attempt.stream.begun {
			return ErrCut
		}
		return attempt.deliver(response, data)
	}
	if response.Status < http.StatusInternalServerError && !attempt.stream.begun {
		if err := otherwise(); err != nil {
			return verdict{err: err}
		}
		return verdict{done: true}
	}
	return attempt.ranBadly(placement, response, otherwise)
}

func (attempt *attempt) beginStream(response *Response) error {
	if attempt.stream.begun {
		return nil
	}
	// A stream that goes on at another endpoint need not have the length of the first.
	header := response.Header.Clone()
	header.Del("Content-Length")
	if err := attempt.answer.Begin(response.Status, header); err != nil {
		return errors.Join(ErrCallerGone, err)
	}
	attempt.stream.begun = true
	return nil
}

// passEvent passes on an event that the caller does not have yet.
func (attempt *attempt) passEvent(response *Response, event event) error {
	if event.id != "" && !after(event.id, attempt.stream.last) {
		return nil
	}
	if err := attempt.beginStream(response); err != nil {
		return err
	}
	if err := attempt.answer.Write(event.raw); err != nil {
		return errors.Join(ErrCallerGone, err)
	}
	if event.id != "" {
		attempt.stream.last = event.id
	}
	return nil
}

// after reports whether an event comes after the last one. Ids are increasing numbers;
// others can't be compared and are taken for new.
func after(id, last string) bool {
	if last == "" {
		return true
	}
	one, err := strconv.ParseInt(id, 10, 64)
	other, otherErr := strconv.ParseInt(last, 10, 64)
	if err != nil || otherErr != nil {
		return id != last
	}
	return one > other
}

// silence ends a try at an endpoint that has fallen silent while there are other tries: a
// connection that lost its other end shows nothing else.
type silence struct {
	timer *time.Timer
	limit time.Duration
	// due is when the timer is to fire.
	due atomic.Pointer[time.Time]
}

// reset has the timer fire after a time.
func (silence *silence) reset(after time.Duration) {
	due := time.Now().Add(after)
	silence.due.Store(&due)
	silence.timer.Reset(after)
}

// late is how long after its time the timer fired: events may lie unread in a daemon that stands still.
func (silence *silence) late() time.Duration {
	return time.Since(*silence.due.Load())
}

var errSilent = errors.New("the endpoint fell silent")

// watch returns the silence that is borne. Without another try that can follow, only a prompt whose
// helpers have memory set aside is watched, and that until its first event. An event may come in the
// moment in which it is over, so that giveUp may be called more than once.
func (attempt *attempt) watch(giveUp func(), placement dogwoodpacking.Placement) *silence {
	request := attempt.request
	watched := &silence{limit: never}
	first := never
	last := attempt.sent+1 >= request.Route.Attempts
	if request.repeatable() && !last && time.Until(request.Deadline) >= resumeNeeds {
		first = max(firstSilence*placement.Predicted, firstLeast)
		watched.limit = max(pauseSilence*request.Route.Pause, pauseLeast)
	}
	if most := attempt.relay.options.UnusedMemory; most > 0 && setsAside(placement) {
		first = min(first, max(most-releaseWithin, readsFor*placement.Predicted))
	}
	if first == never {
		return watched
	}
	endpoint := placement.Endpoint.ID
	watched.timer = time.AfterFunc(never, func() {
		if attempt.relay.alive.lately(time.Now(), endpoint) {
			watched.reset(aliveAgain)
			return
		}
		counters.Add("Silent", 1)
		attempt.relay.options.Logger.Info(dogwoodlog.Silent, "request", request.ID, "endpoint", endpoint, "timerlate", watched.late())
		giveUp()
	})
	watched.reset(first) // only now, since the function uses the timer itself
	return watched
}

// setsAside tells whether helpers keep memory for a prompt. An engine that goes dark before it reads
// leaves that memory unused for as long as the daemon waits for it.
func setsAside(placement dogwoodpacking.Placement) bool {
	return slices.ContainsFunc(placement.Helpers, func(helper dogwoodpacking.Helper) bool { return helper.Tokens > 0 })
}

func (silence *silence) heard() {
	if silence.timer != nil {
		silence.reset(silence.limit)
	}
}

func (silence *silence) stop() {
	if silence.timer != nil {
		silence.timer.Stop()
	}
}

// explain gives an error that the silence caused its cause.
func explain(tryContext context.Context, err error) error {
	if errors.Is(context.Cause(tryContext), errSilent) {
		return &Broken{Cause: errSilent}
	}
	return err
}
