package dogwoodcopy

import "time"

// Told is an answer in the form in which it is sent to another daemon. The time in Answer has
// no meaning there, since clocks differ.
type Told struct {
	Answer Answer
	// ProvenAfter is the time from the arrival of the query to the time as of which the answer
	// is confirmed; it is usually negative.
	ProvenAfter time.Duration
}

// Tell returns the answer to send to a daemon whose query arrived at the given time on this
// daemon's clock.
func Tell(answer Answer, arrived time.Duration) Told {
	return Told{Answer: answer, ProvenAfter: answer.Proven - arrived}
}

// ToLocalClock converts the answer to the clock of the daemon that sent the query. sent is when the query
// was sent, on that clock, and after is the version of the table that the daemon had then. The
// network latency makes the confirmation look older than it is, never younger.
func (told Told) ToLocalClock(sent time.Duration, after int64) Answer {
	answer := told.Answer
	answer.Proven = sent + told.ProvenAfter
	if answer.Version < after {
		// This daemon has a newer version, from the store or from another peer.
		answer.Whole, answer.Rows, answer.Version = false, nil, after
	}
	return answer
}
