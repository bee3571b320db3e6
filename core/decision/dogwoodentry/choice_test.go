package dogwoodentry

import (
	"testing"
	"time"
)

// A burst pauses for a second. If the daemons that it needs were left at once, its callers
// would move away and back; long after it they must be.
func TestAPauseInABurstMovesNoCallers(t *testing.T) {
	var choice Choice
	now, members, rate := time.Now(), fleetOf(20), 600
	active := func() int {
		return len(choice.Active(now, func() []Member { return members }, func(time.Time) int { return rate }))
	}
	during := active()
	rate = 0
	for range 5 {
		now = now.Add(choiceFor)
		active()
	}
	if got := active(); got < during*2/3 {
		t.Errorf("got %d active daemons a second after a burst, want most of its %d", got, during)
	}
	now = now.Add(choiceFor)
	for range 300 {
		now = now.Add(choiceFor)
		active()
	}
	if got, want := active(), len(Active(members, 0)); got != want {
		t.Errorf("got %d active daemons a minute after a burst, want %d", got, want)
	}
}
