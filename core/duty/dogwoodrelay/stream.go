package dogwoodrelay

import (
	"errors"
	"strconv"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodlog"
)

// progress is what a caller has of a stream.
type progress struct {
	begun bool
	// last is the id of the last event that went out, or the one that the caller had.
	last string
}

// noteEvent learns from the moment of an event.
func (attempt *attempt) noteEvent(run *run) {
	places, endpoint := attempt.relay.options.Places, run.placement.Endpoint.ID
	attempt.known = dogwoodfleet.WasRun
	attempt.relay.alive.note(time.Now(), endpoint)
	if pause, ok := run.pace.event(time.Now()); ok {
		places.Paced(endpoint, pause)
	}
	if run.writes {
		return
	}
	run.writes = true
	seen := time.Since(run.sent)
	attempt.relay.options.Metrics.Observe(metricFirst, lengthLabel(attempt.request.Prompt), seen)
	places.Writes(run.id, run.placement.Predicted, seen)
	attempt.relay.options.Logger.Info(dogwoodlog.FirstEvent, "request", attempt.request.ID,
		"predicted", run.placement.Predicted, "seen", seen, "endpoint", endpoint)
}

// streamEnded passes on a stream's end; one without any event still has its headers.
func (attempt *attempt) streamEnded(response *Response) verdict {
	if err := attempt.beginStream(response); err != nil {
		return verdict{err: err}
	}
	return verdict{done: true}
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
