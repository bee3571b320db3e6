package dogwoodrelay

import (
	"errors"
	"expvar"
	"time"
)

// counters are published under "Relay": Answered, Cut, CallerGone, a reason for each kind
// of failure, Retries, RetriesForbidden, NotBegun, Silent.
var counters = expvar.NewMap("Relay")

// The names of latencies.
const (
	// metricWait is the wait for a place.
	metricWait = "PlaceWait"
	// metricFirst is the time from sending to the first event, by prompt length.
	metricFirst = "FirstToken"
	// metricRequest is the whole time of an attempt, by its outcome.
	metricRequest = "Request"
)

// count counts an attempt's outcome and how long it took.
func (relay *Relay) count(request *Request, err error) {
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

// lengthLabel names a class of prompt lengths.
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
