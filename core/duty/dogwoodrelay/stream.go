package dogwoodrelay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodlog"
)

// progress tracks what was put into the buffer of a stream for its caller, who may not have received it yet.
type progress struct {
	begun bool
	// lastEvent is the ID of the last event in the buffer that has one, or the one that the caller asked to
	// resume after.
	lastEvent string
	// hasContent is true if something other than comments is in the buffer, unnumbered if the last of it has no ID, so that none
	// says where another run goes on.
	hasContent, unnumbered bool
}

// errNotContinued means that a run does not go on where the answer that has begun needs it.
var errNotContinued = errors.New("the endpoint's events have no IDs that continue the answer")

// recordEvent updates the endpoint's liveness, pace and predictions from an event's arrival time.
func (attempt *attempt) recordEvent(run *run) {
	endpoint := run.placement.Endpoint.ID
	attempt.runState = dogwoodfleet.WasRun
	attempt.lateness.record(time.Now(), attempt.request.Arrived, endpoint)
	if pause, ok := run.pace.record(time.Now()); ok {
		attempt.relay.options.Places.RecordPace(endpoint, pause)
	}
	run.recordProgress()
}

// recordProgress updates the endpoint's liveness and predictions from the arrival time of a part of its answer.
func (run *run) recordProgress() {
	relay, request, endpoint := run.attempt.relay, run.attempt.request, run.placement.Endpoint.ID
	relay.liveness.record(time.Now(), endpoint)
	if !run.firstEventAt.IsZero() {
		run.recordBegun()
		return
	}
	run.firstEventAt = time.Now()
	seen := time.Since(run.sentAt)
	relay.options.Metrics.Observe(metricFirstEvent, lengthLabel(request.Prompt), seen)
	relay.options.Places.Writes(run.id, run.placement.Predicted, seen)
	relay.options.Logger.Info(dogwoodlog.FirstEvent, "request", request.ID,
		"predicted", run.placement.Predicted, "seen", seen, "endpoint", endpoint)
}

// recordBegun records once that the endpoint has lived on after the answer began.
func (run *run) recordBegun() {
	if run.begun || time.Since(run.firstEventAt) < minBegunTime {
		return
	}
	run.begun = true
	run.reportBegun(run.firstEventAt)
}

// recordAnswered records a whole answer that was too short to count as begun before.
func (run *run) recordAnswered() {
	hasContent := !run.attempt.request.isStreamed() || !run.firstEventAt.IsZero()
	if run.begun || !hasContent || run.response.Status >= http.StatusMultipleChoices {
		return
	}
	run.begun = true
	run.reportBegun(time.Now())
}

// finishStream ends a stream. It sends the headers even if there were no events.
func (attempt *attempt) finishStream(response *Response) tryResult {
	if err := attempt.beginStream(response); err != nil {
		return tryResult{err: err}
	}
	return tryResult{done: true}
}

func (attempt *attempt) beginStream(response *Response) error {
	if attempt.stream.begun {
		return nil
	}
	// A stream that resumes at another endpoint may have a different length.
	header := response.Header.Clone()
	header.Del("Content-Length")
	if err := attempt.buffer.begin(response.Status, header); err != nil {
		return err
	}
	attempt.stream.begun = true
	attempt.setStage(StageAnswering)
	return nil
}

// forwardEvent forwards an event unless the caller already gets it. The first event that a further run adds to an answer must
// have an ID, since without one it may repeat what another run has sent.
func (attempt *attempt) forwardEvent(ctx context.Context, run *run, event event) error {
	stream := &attempt.stream
	switch {
	case event.id != "" && !after(event.id, stream.lastEvent):
		return nil
	case run.continues(stream) && event.isComment:
		return nil // a later event shows whether the run goes on where it should
	case run.continues(stream) && event.id == "":
		attempt.relay.options.Logger.Warn("An answer is cut, since no ID says where it goes on.", "request", attempt.request.ID,
			"endpoint", run.placement.Endpoint.ID, "after", stream.lastEvent)
		return fmt.Errorf("%w: %w", ErrCut, errNotContinued)
	}
	if err := attempt.beginStream(run.response); err != nil {
		return err
	}
	if err := attempt.buffer.write(ctx, event.raw); err != nil {
		return err
	}
	run.forwarded = true
	if event.id != "" {
		stream.lastEvent = event.id
	}
	if !event.isComment {
		stream.hasContent, stream.unnumbered = true, event.id == ""
	}
	return nil
}

// continues reports whether the run's next event is the first that it adds to what another run has sent.
func (run *run) continues(stream *progress) bool {
	return stream.hasContent && !run.forwarded
}

// after reports whether the event with the given ID comes after the last one. IDs are increasing
// numbers; other IDs can't be ordered and count as new if they differ from the last one.
func after(id, last string) bool {
	if last == "" {
		return true
	}
	number, err := strconv.ParseInt(id, 10, 64)
	lastNumber, lastErr := strconv.ParseInt(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return number > lastNumber
}
