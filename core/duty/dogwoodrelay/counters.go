package dogwoodrelay

import (
	"errors"
	"expvar"
	"time"
)

// counters are published under "Relay": Answered, Cut, CallerGone, Failed, one for each
// Failure reason, Retries, RetriesForbidden, NotBegun, Conflicts, Silent, EndedForMemory, Panics.
var counters = expvar.NewMap("Relay")

// bufferCuts counts the answers that were cut, by the bound that was reached.
var bufferCuts = expvar.NewMap("BufferCuts")

// Names of the latency metrics.
const (
	// metricPlaceWait is the time that a try waits for a placement.
	metricPlaceWait = "PlaceWait"
	// metricFirstEvent is the time from sending to the first event, by prompt length.
	metricFirstEvent = "FirstToken"
	// metricRequest is the total time of an attempt, by outcome.
	metricRequest = "Request"
)

// countOutcome records an attempt's outcome and duration.
func (relay *Relay) countOutcome(request *Request, err error) {
	outcome := "Answered"
	var failure *Failure
	switch {
	case errors.Is(err, ErrCallerGone):
		outcome = "CallerGone"
	case errors.Is(err, ErrCut):
		outcome = "Cut"
	case errors.As(err, &failure):
		outcome = string(failure.Reason)
	case err != nil:
		outcome = "Failed"
	}
	counters.Add(outcome, 1)
	relay.options.Metrics.Observe(metricRequest, outcome, time.Since(request.Arrived))
}

// lengthLabel returns the label of a prompt's length class.
func lengthLabel(prompt int) string {
	switch {
	case prompt <= 8_000:
		return "UpTo8k"
	case prompt <= 32_000:
		return "UpTo32k"
	case prompt <= 128_000:
		return "UpTo128k"
	default:
		return "Longer"
	}
}
