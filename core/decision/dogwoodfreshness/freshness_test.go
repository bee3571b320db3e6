package dogwoodfreshness

import (
	"testing"
	"time"
)

type fakeClock struct{ now time.Duration }

func (fakeClock *fakeClock) read() time.Duration { return fakeClock.now }

// Guards against accepting a key that was withdrawn while a daemon is cut off from the store. The
// age must count from the last answered query and continue to grow while queries go unanswered.
func TestUnansweredQueriesConfirmNothing(t *testing.T) {
	clock := &fakeClock{}
	tracker := New(clock.read)
	if tracker.Within(time.Hour) {
		t.Error("got a confirmation before any answer, want none")
	}
	asked := tracker.Now()
	clock.now += 100 * time.Millisecond
	tracker.Confirm(asked)
	clock.now += 4 * time.Second
	if got, want := tracker.Within(4*time.Second), false; got != want {
		t.Errorf("got within 4 s: %v, want %v: the answer counts from the time of the query", got, want)
	}
	if got, want := tracker.Within(5*time.Second), true; got != want {
		t.Errorf("got within 5 s: %v, want %v", got, want)
	}
}

// Guards against accepting a key that was withdrawn while the machine was suspended: after a
// suspension of one minute, the last confirmation must be one minute old immediately.
func TestSuspensionCountsTowardsAge(t *testing.T) {
	clock := &fakeClock{}
	tracker := New(clock.read)
	tracker.Confirm(tracker.Now())
	clock.now += time.Minute
	if tracker.Within(5 * time.Second) {
		t.Error("got a recent confirmation after a suspension, want an old one")
	}
}

// Answers of the store may arrive out of order. An older one must not replace a later confirmation.
func TestOlderAnswerHasNoEffect(t *testing.T) {
	clock := &fakeClock{now: time.Minute}
	tracker := New(clock.read)
	tracker.Confirm(time.Minute)
	tracker.Confirm(time.Second)
	if got, _ := tracker.Age(); got != 0 {
		t.Errorf("got age %s, want 0", got)
	}
}
