package dogwoodwaiting

import (
	"slices"
	"testing"
	"time"
)

// Load: calls of a service with one or two endpoints of four slots, which have asked for a back-off of a second. The calls arrive a
// millisecond apart and wait for 1.1 s or more. Guards against calls that wait until their time is over, and are refused then, since
// the calls before them get the few slots that open until then, and against refusing one that would get such a slot.
func TestTooLateForTheSlotsAfterBackoffs(t *testing.T) {
	const backoff, run = time.Second, 400 * time.Millisecond
	now := time.Now()
	one := []Reopening{{At: now.Add(backoff), Slots: 4, Ramp: time.Second}}
	two := append(slices.Clone(one), Reopening{At: now.Add(backoff + 500*time.Millisecond), Slots: 4, Ramp: time.Second})
	// calls returns a number of calls that arrived after each other and wait for some time.
	calls := func(count int, wait time.Duration) []Waiter {
		waiters := make([]Waiter, count)
		for i := range waiters {
			arrived := now.Add(time.Duration(i) * time.Millisecond)
			waiters[i] = Waiter{Request: &Request{Arrived: arrived, Deadline: arrived.Add(4 * time.Second)}, Until: arrived.Add(wait)}
		}
		return waiters
	}
	// with changes one of the waiters.
	with := func(waiters []Waiter, index int, change func(waiter *Waiter)) []Waiter {
		change(&waiters[index])
		return waiters
	}
	// chats returns prompts that can meet their aims until the first endpoint takes requests again, in order of their latest starts.
	chats := func(count int, aim time.Duration) []Waiter {
		waiters := calls(count, 1200*time.Millisecond)
		for i := range waiters {
			waiters[i].Request.Aim, waiters[i].Request.Pause, waiters[i].Request.Prompt = aim, 250*time.Millisecond, 1000
		}
		return waiters
	}
	// overtaken returns calls of which the second one goes first, but only until it can't meet its aim any more.
	overtaken := func(count int) []Waiter {
		return with(calls(count, backoff+100*time.Millisecond), 1, func(waiter *Waiter) { waiter.Request.Aim = 2*backoff + 100*time.Millisecond })
	}
	// lowerLast returns calls of which the last two are of a less urgent rank.
	lowerLast := func(count int, wait time.Duration) []Waiter {
		waiters := calls(count, wait)
		waiters[count-1].Request.Rank, waiters[count-2].Request.Rank = 1, 1
		return waiters
	}
	tests := []struct {
		name       string
		waiters    []Waiter
		reopenings []Reopening
		run        time.Duration
		want       []int // those that are too late
	}{
		{"all are over before the first endpoint is back", calls(2, backoff-10*time.Millisecond), one, 0, []int{0, 1}},
		{"the first slot opens in time", calls(4, backoff+100*time.Millisecond), one, run, []int{1, 2, 3}},
		{"the second one too", calls(4, backoff+300*time.Millisecond), one, run, []int{2, 3}},
		{"a slot is free again after the shortest run", calls(5, backoff+450*time.Millisecond), one, run, []int{3, 4}},
		{"the second endpoint is back as well", calls(8, backoff+600*time.Millisecond), two, run, []int{5, 6, 7}},
		{"how long a run takes is not known", calls(4, backoff+100*time.Millisecond), one, 0, nil},
		{
			"one that waits longer than those before it", with(calls(4, backoff+100*time.Millisecond), 3, func(waiter *Waiter) {
				waiter.Until = now.Add(backoff + 300*time.Millisecond)
			}), one, run, []int{1, 2},
		},
		{
			"one that waits less long than one before it", with(calls(2, backoff+300*time.Millisecond), 1, func(waiter *Waiter) {
				waiter.Until = now.Add(backoff + 100*time.Millisecond)
			}), one, run, []int{1},
		},
		{
			"those before it are over before the first endpoint is back", with(calls(3, backoff-10*time.Millisecond), 2, func(waiter *Waiter) {
				waiter.Until = now.Add(backoff + 100*time.Millisecond)
			}), one, run, []int{0, 1},
		},
		{
			"an urgent one overtakes", with(calls(3, backoff+100*time.Millisecond), 0, func(waiter *Waiter) { waiter.Request.Rank = 1 }), one, run, []int{0, 2},
		},
		{"the minimum of a less urgent rank gives it one of eleven slots", lowerLast(16, backoff+1200*time.Millisecond), one, run, []int{11, 12, 13, 15}},
		{
			"a prompt before it may fit nowhere", with(chats(2, 300*time.Millisecond), 0, func(waiter *Waiter) { waiter.Request.Prompt = 50_000 }), one, run, nil,
		},
		{"prompts alike", chats(3, 300*time.Millisecond), one, run, []int{1, 2}},
		{"one that can still meet its aim goes first, but an older one once it can't", overtaken(2), one, run, nil},
		{
			"one before it may be over before the second slot opens", with(overtaken(3), 2, func(waiter *Waiter) {
				waiter.Until = now.Add(backoff + 300*time.Millisecond)
			}), one, run, nil,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []int
			for i, isTooLate := range TooLate(test.waiters, test.reopenings, test.run, 0) {
				if isTooLate {
					got = append(got, i)
				}
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v too late, want %v", got, test.want)
			}
		})
	}
}

// Guards against refusing a request as too late to which its rank's turn gives one of the slots.
func TestTurnKeepsOneOfALessUrgentRank(t *testing.T) {
	const backoff, run = time.Second, 400 * time.Millisecond
	now := time.Now()
	var waiters []Waiter // one slot opens at the end of the back-off, and another one 250 ms later
	for _, rank := range []int{0, 0, 0, 1, 1} {
		waiters = append(waiters, Waiter{Request: &Request{Arrived: now, Deadline: now.Add(4 * time.Second), Rank: rank}, Until: now.Add(backoff + 300*time.Millisecond)})
	}
	tests := []struct {
		turn float64
		want []bool
	}{
		{0, []bool{false, false, true, true, true}},
		{0.5, []bool{false, false, true, true, true}},
		{0.7, []bool{false, false, true, false, true}},
		{1, []bool{false, false, true, false, true}},
	}
	for _, test := range tests {
		got := TooLate(waiters, []Reopening{{At: now.Add(backoff), Slots: 4, Ramp: time.Second}}, run, test.turn)
		if !slices.Equal(got, test.want) {
			t.Errorf("turn %.1f: got %v, want %v", test.turn, got, test.want)
		}
	}
}

// Guards against a shortest run that is never forgotten, and one that is forgotten after the next.
func TestShortestRuns(t *testing.T) {
	var shortest ShortestRuns
	if got := shortest.Of("s"); got != 0 {
		t.Errorf("got %s of no runs, want none", got)
	}
	shortest.Record("s", time.Second)
	for number := range 2*runsPerGeneration + 1 {
		want := time.Second
		if number >= 2*runsPerGeneration {
			want = 2 * time.Second
		}
		if got := shortest.Of("s"); number > 0 && got != want {
			t.Errorf("got %s after %d runs of 2s, want %s", got, number, want)
		}
		shortest.Record("s", 2*time.Second)
	}
	if got := shortest.Of("t"); got != 0 {
		t.Errorf("got %s of another service, want none", got)
	}
}

// The cost of a decision on a line of calls, of which most are refused at the first one and none at the next ones.
func BenchmarkTooLate(b *testing.B) {
	now := time.Now()
	var reopenings []Reopening
	for i := range 69 {
		reopenings = append(reopenings, Reopening{At: now.Add(time.Second + time.Duration(i)*time.Millisecond), Slots: 12, Ramp: time.Second})
	}
	for _, wait := range []time.Duration{1100 * time.Millisecond, 3 * time.Second} {
		waiters := make([]Waiter, 800)
		for i := range waiters {
			arrived := now.Add(time.Duration(i) * time.Millisecond / 10)
			waiters[i] = Waiter{Request: &Request{Arrived: arrived, Deadline: arrived.Add(10 * time.Second)}, Until: arrived.Add(wait)}
		}
		b.Run(wait.String(), func(b *testing.B) {
			for b.Loop() {
				TooLate(waiters, reopenings, 400*time.Millisecond, 0)
			}
		})
	}
}
