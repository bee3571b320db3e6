package dogwoodwaiting

import (
	"slices"
	"testing"
	"time"
)

// A burst fills all engines, and the oldest requests have already missed their aim. If they
// went first, all requests behind them would become late as well. Requests that can still
// meet their aim must go first, the late ones after them in order of arrival. A late review,
// a long prompt, must go before both: it would otherwise wait until the burst ends.
func TestOrder(t *testing.T) {
	now := time.Now()
	request := func(ago, aim time.Duration) Request {
		return Request{Arrived: now.Add(-ago), Deadline: now.Add(10 * time.Second), Aim: aim, Pause: 250 * time.Millisecond}
	}
	late, later := request(900*time.Millisecond, 300*time.Millisecond), request(400*time.Millisecond, 300*time.Millisecond)
	fresh, newer := request(100*time.Millisecond, 300*time.Millisecond), request(10*time.Millisecond, 300*time.Millisecond)
	long := request(500*time.Millisecond, 3*time.Second)
	review := request(5*time.Second, 3*time.Second)
	review.Prompt = 182_000
	broken := request(2*time.Second, 300*time.Millisecond)
	broken.Begun = true
	queue := []*Request{&late, &newer, &review, &long, &later, &broken, &fresh}
	slices.SortFunc(queue, func(a, b *Request) int { return Compare(now, a, b) })
	want := []*Request{&broken, &review, &fresh, &newer, &long, &late, &later}
	if !slices.Equal(queue, want) {
		t.Errorf("got %v, want %v", queue, want)
	}
}

// Guards against an urgent request that waits behind less urgent ones, which arrived earlier, have less time left or have long
// prompts. An answer that has begun goes first all the same.
func TestRankGoesFirst(t *testing.T) {
	now := time.Now()
	request := func(rank int, ago time.Duration, prompt int) Request {
		return Request{
			Arrived: now.Add(-ago), Deadline: now.Add(10 * time.Second), Aim: 300 * time.Millisecond, Pause: 250 * time.Millisecond,
			Prompt: prompt, Rank: rank,
		}
	}
	urgent, urgentLate := request(0, 10*time.Millisecond, 1000), request(0, 2*time.Second, 1000)
	long, fresh := request(1, time.Second, 182_000), request(1, 10*time.Millisecond, 1000)
	begun := request(2, time.Second, 1000)
	begun.Begun = true
	queue := []*Request{&fresh, &urgentLate, &long, &urgent, &begun}
	slices.SortFunc(queue, func(a, b *Request) int { return Compare(now, a, b) })
	want := []*Request{&begun, &urgent, &urgentLate, &long, &fresh}
	if !slices.Equal(queue, want) {
		t.Errorf("got %v, want %v", queue, want)
	}
}

func TestPatience(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name    string
		request Request
		want    time.Duration
	}{
		{"call, part of the time to its deadline", Request{Arrived: now, Deadline: now.Add(4 * time.Second), Aim: 300 * time.Millisecond}, 1200 * time.Millisecond},
		{"stream, less than the caller's tolerance", Request{Arrived: now, Deadline: now.Add(10 * time.Second), Aim: 300 * time.Millisecond, Pause: 250 * time.Millisecond}, 1100 * time.Millisecond},
		{"stream, minus the time already waited", Request{Arrived: now.Add(-time.Second), Deadline: now.Add(9 * time.Second), Aim: 300 * time.Millisecond, Pause: 250 * time.Millisecond}, 100 * time.Millisecond},
		{"rest of an answer, as long as a pause is tolerated", Request{Arrived: now.Add(-5 * time.Second), Deadline: now.Add(5 * time.Second), Aim: 300 * time.Millisecond, Pause: 250 * time.Millisecond, Begun: true}, 2 * time.Second},
	}
	for _, test := range tests {
		if got := MaxWait(now, &test.request); got != test.want {
			t.Errorf("%s: got %s, want %s", test.name, got, test.want)
		}
	}
}

func TestBorne(t *testing.T) {
	now := time.Now()
	request := Request{Arrived: now.Add(-time.Second), Deadline: now.Add(14 * time.Second), Aim: 3 * time.Second, Pause: time.Second}
	if got, want := CallerTimeLeft(now, &request), 11*time.Second; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
