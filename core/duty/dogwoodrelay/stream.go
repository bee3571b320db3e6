package dogwoodrelay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodlog"
)

// progress tracks what was put into the buffer of a stream for its caller, who may not have received it yet.
type progress struct {
	begun bool
	// lastEvent is the ID of the last event in the buffer, or the one that the caller asked to
	// resume after.
	lastEvent string
}

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
	return nil
}

// forwardEvent forwards an event unless the caller already gets it.
func (attempt *attempt) forwardEvent(ctx context.Context, response *Response, event event) error {
	if event.id != "" && !after(event.id, attempt.stream.lastEvent) {
		return nil
	}
	if err := attempt.beginStream(response); err != nil {
		return err
	}
	if err := attempt.buffer.write(ctx, event.raw); err != nil {
		return err
	}
	if event.id != "" {
		attempt.stream.lastEvent = event.id
	}
	return nil
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
