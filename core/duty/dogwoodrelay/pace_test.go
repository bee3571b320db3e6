package dogwoodrelay

import (
	"testing"
	"time"
)

// Two events of a stream arrive together, and others are delayed while the engine prefills a long
// prompt. Neither kind of pause may be taken for the engine's pace.
func TestPaceIgnoresDisturbedPasses(t *testing.T) {
	var pace pace
	now := time.Now()
	pauses := []time.Duration{50, 0, 50, 400, 50, 500, 50, 300}
	if _, ok := pace.record(now); ok {
		t.Error("got a pace after one event, want none")
	}
	for i, pause := range pauses {
		now = now.Add(pause * time.Millisecond)
		got, ok := pace.record(now)
		if last := i == len(pauses)-1; ok != last {
			t.Errorf("after %d pauses: got an observation %v, want %v", i+1, ok, last)
		}
		if ok && got != 50*time.Millisecond {
			t.Errorf("got a pace of %s, want 50ms", got)
		}
	}
}
