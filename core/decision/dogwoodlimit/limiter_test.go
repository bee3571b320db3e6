package dogwoodlimit

import (
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newAnswer(at time.Time, first time.Duration) Answer {
	return Answer{
		PromptTokens: 1000, OutputTokens: 50, FirstToken: first, Took: first + 250*time.Millisecond,
		Result: dogwoodfleet.ResultDone, Instance: "one", Sent: at.Add(-time.Second),
	}
}

// newWarmLimiter returns the limiter of a warm endpoint and the current time.
func newWarmLimiter() (*Limiter, time.Time) {
	limiter := New(2, 16, start)
	now := start.Add(reportLag + time.Second)
	limiter.Report(now, Report{Taken: now, Instance: "one"})
	for range 60 {
		now = now.Add(100 * time.Millisecond)
		limiter.Observe(now, newAnswer(now.Add(time.Second), 10*time.Millisecond))
	}
	return limiter, now
}

// Guards against a crash loop: an endpoint that has just started crashes under full load. It must
// stay at the cold limit until it reports that it is warm. Then each round of good answers doubles
// its limit.
func TestColdLimitDoublesOnGoodAnswersOnly(t *testing.T) {
	limiter := New(2, 16, start)
	now := start.Add(reportLag + time.Second)
	for range 20 {
		limiter.Observe(now, newAnswer(now.Add(time.Second), 10*time.Millisecond))
	}
	if got, want := limiter.Limit(), 2; got != want {
		t.Errorf("good answers but no report that it is warm: got limit %d, want %d", got, want)
	}
	limiter.Report(now, Report{Taken: now, Instance: "one"})
	for _, want := range []int{2, 4, 8, 16, 16} {
		if got := limiter.Limit(); got != want {
			t.Errorf("got limit %d, want %d", got, want)
		}
		for range want {
			limiter.Observe(now, newAnswer(now.Add(time.Second), 10*time.Millisecond))
		}
	}
}

// A warm endpoint shows a sign of being cold. It would crash if the warm limit stayed in
// force any longer.
func TestCutsLimitOnAnySignOfCold(t *testing.T) {
	tests := []struct {
		name string
		sign func(limiter *Limiter, now time.Time)
	}{
		{name: "new instance in an answer", sign: func(limiter *Limiter, now time.Time) {
			changed := newAnswer(now, 10*time.Millisecond)
			changed.Instance = "two"
			limiter.Observe(now, changed)
		}},
		{name: "new instance in a report", sign: func(limiter *Limiter, now time.Time) {
			limiter.Report(now, Report{Taken: now, Instance: "two"})
		}},
		{name: "flag in a report", sign: func(limiter *Limiter, now time.Time) {
			limiter.Report(now, Report{Taken: now, Instance: "one", Cold: true})
		}},
		{name: "flag in an answer", sign: func(limiter *Limiter, now time.Time) { limiter.ToldCold(now, "one") }},
		{name: "jump in the time to first token", sign: func(limiter *Limiter, now time.Time) {
			limiter.Observe(now, newAnswer(now.Add(time.Second), 2*time.Second))
		}},
		{name: "death", sign: func(limiter *Limiter, now time.Time) {
			limiter.Observe(now, Answer{Result: dogwoodfleet.ResultDied, Sent: now})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			limiter, now := newWarmLimiter()
			if got, want := limiter.Limit(), 16; got != want {
				t.Fatalf("before: got limit %d, want %d", got, want)
			}
			test.sign(limiter, now)
			if got, most := limiter.Limit(), 2; got > most {
				t.Errorf("after: got limit %d, want at most %d", got, most)
			}
		})
	}
}

// A report taken while the endpoint was still warm arrives after it turned cold. It must not
// end the cold phase.
func TestOldReportDoesNotEndColdPhase(t *testing.T) {
	limiter, now := newWarmLimiter()
	limiter.TurnCold(now)
	limiter.Report(now.Add(time.Second), Report{Taken: now.Add(-time.Millisecond), Instance: "one"})
	for range 10 {
		limiter.Observe(now.Add(time.Second), newAnswer(now.Add(3*time.Second), 10*time.Millisecond))
	}
	if got, want := limiter.Limit(), 2; got != want {
		t.Errorf("got limit %d, want %d", got, want)
	}
}

// Guards against requests that pile up at a slow endpoint, and against a limit that stays low after
// the endpoint has recovered.
func TestSlowAnswersLowerAndGoodAnswersRaiseLimit(t *testing.T) {
	limiter, now := newWarmLimiter()
	for range 4 {
		now = now.Add(time.Second)
		limiter.Observe(now, newAnswer(now, 150*time.Millisecond))
	}
	low := limiter.Limit()
	if low >= 10 || low < 2 {
		t.Errorf("after slow answers: got limit %d, want a few cuts", low)
	}
	if got, least := limiter.Slowness(), 1.0; got <= least {
		t.Errorf("slowness: got %v, want more than %v", got, least)
	}
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		limiter.Observe(now, newAnswer(now, 10*time.Millisecond))
	}
	if got, want := limiter.Limit(), 16; got != want {
		t.Errorf("after good answers: got limit %d, want %d", got, want)
	}
}

// A long prompt is ahead of a short one on a healthy engine. The short one's first token is
// late for its own length, but not for the work ahead of it.
func TestWorkAheadIsNotSlowness(t *testing.T) {
	limiter, now := newWarmLimiter()
	behind := newAnswer(now, 2*time.Second)
	behind.Ahead = 250_000
	limiter.Observe(now, behind)
	if got, want := limiter.Limit(), 16; got != want {
		t.Errorf("got limit %d, want %d", got, want)
	}
}

// A dead endpoint refuses connections at once. Without a pause all waiting requests would be
// sent there and use up their tries.
func TestDeadEndpointIsProbedWithBackoff(t *testing.T) {
	limiter, now := newWarmLimiter()
	var pauses []time.Duration
	for range 8 {
		limiter.Observe(now, Answer{Result: dogwoodfleet.ResultRefused, Sent: now})
		pauses = append(pauses, limiter.BlockedUntil().Sub(now))
		now = limiter.BlockedUntil()
	}
	if got, want := pauses[0], minBlock; got != want {
		t.Errorf("first pause: got %v, want %v", got, want)
	}
	if got, want := pauses[7], maxBlock; got != want {
		t.Errorf("last pause: got %v, want %v", got, want)
	}
	if got, want := limiter.Limit(), 1; got != want {
		t.Errorf("limit of a probe: got %d, want %d", got, want)
	}
}
