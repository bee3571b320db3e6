package dogwoodcopy

import "time"

// Told is an answer on its way to another daemon. The moment in the answer means nothing there,
// since clocks differ.
type Told struct {
	Answer Answer
	// ProvenAfter is from the arrival of the question to the moment as of which the answer was
	// proven; mostly below zero.
	ProvenAfter time.Duration
}

// Tell is an answer for a daemon whose question arrived at a moment of this one's clock.
func Tell(answer Answer, arrived time.Duration) Told {
	return Told{Answer: answer, ProvenAfter: answer.Proven - arrived}
}

// Heard is the answer for the daemon that asked at a moment of its own clock, and knew the table
// up to a version then. The way there and back makes a proof look older than it is, never
// younger.
func (told Told) Heard(asked time.Duration, after int64) Answer {
	answer := told.Answer
	answer.Proven = asked + told.ProvenAfter
	if answer.Version < after {
		// This daemon knew more than the one that told, from the store or another one.
		answer.Whole, answer.Rows, answer.Version = false, nil, after
	}
	return answer
}
