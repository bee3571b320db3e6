package dogwoodrelay

import (
	"slices"
	"time"
)

const (
	// paceSamples is the number of pauses per observation: about half a second of a stream.
	paceSamples = 8
	// paceRank is the index of the pause that is used, in ascending order. The shortest ones are
	// skipped since the network may deliver several events together; most of the longer ones
	// include prefilling of other prompts.
	paceRank = 2
)

// pace estimates an engine's decode pace while it prefills no prompts, from the pauses between
// the events of one stream.
type pace struct {
	last   time.Time
	pauses []time.Duration
}

// record records an event's time. It returns an observation after every paceSamples pauses.
func (pace *pace) record(now time.Time) (time.Duration, bool) {
	if !pace.last.IsZero() {
		pace.pauses = append(pace.pauses, now.Sub(pace.last))
	}
	pace.last = now
	if len(pace.pauses) < paceSamples {
		return 0, false
	}
	slices.Sort(pace.pauses)
	observed := pace.pauses[paceRank]
	pace.pauses = pace.pauses[:0]
	return observed, true
}
