package dogwoodwaiting

import (
	"math/rand/v2"
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

// Guards against the requests of a customer over its share that go before those of others, and against shares that go
// before ranks, before an answer that has begun, or before the length of prompts.
func TestExcessGoesLast(t *testing.T) {
	now := time.Now()
	request := func(excess float64, ago time.Duration) Request {
		return Request{Arrived: now.Add(-ago), Deadline: now.Add(10 * time.Second), Aim: 300 * time.Millisecond, Pause: 250 * time.Millisecond, Prompt: 1000, Excess: excess}
	}
	within, idle, late := request(1, 20*time.Millisecond), request(0, 10*time.Millisecond), request(0.5, time.Second)
	some, most := request(1.5, 0), request(3, 100*time.Millisecond)
	long := request(9, 0)
	long.Prompt = 182_000
	lessUrgent := request(0, 0)
	lessUrgent.Rank = 1
	begun := request(9, 0)
	begun.Begun = true
	begunEarlier := request(10, 0)
	begunEarlier.Begun = true
	queue := []*Request{&most, &some, &late, &idle, &lessUrgent, &within, &long, &begunEarlier, &begun}
	slices.SortStableFunc(queue, func(a, b *Request) int { return Compare(now, a, b) })
	want := []*Request{&begunEarlier, &begun, &long, &within, &idle, &late, &some, &most, &lessUrgent}
	if !slices.Equal(queue, want) {
		t.Errorf("got %v, want %v", queue, want)
	}
}

// Guards against shares that change the order of requests where no customer is over its share.
func TestOrderIsAsBeforeWithinShares(t *testing.T) {
	now := time.Now()
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		var without, with []Request
		for range 30 {
			request := Request{
				Arrived: now.Add(-time.Duration(random.IntN(500)) * time.Millisecond), Aim: time.Duration(random.IntN(1000)) * time.Millisecond,
				Prompt: random.IntN(2) * 182_000, Rank: random.IntN(3), Begun: random.IntN(10) == 0,
			}
			without = append(without, request)
			request.Excess = random.Float64()
			with = append(with, request)
		}
		sort := func(requests []Request) {
			slices.SortStableFunc(requests, func(a, b Request) int { return Compare(now, &a, &b) })
		}
		sort(without)
		sort(with)
		for i := range with {
			with[i].Excess = 0
		}
		if !slices.Equal(with, without) {
			t.Fatalf("seed %d: got %v, want %v", seed, with, without)
		}
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

// Guards against a stream with a long time limit that waits for more urgent requests after its caller has given up, and against one with a
// short aim that waits less than half of its time limit although its caller waits.
func TestMaxYield(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name       string
		aim, pause time.Duration
		limit      time.Duration
		want       time.Duration
	}{
		{"half of the time limit", 8 * time.Second, time.Second, 15 * time.Second, 7500 * time.Millisecond},
		{"a caller who gives up before", time.Second, 100 * time.Millisecond, 60 * time.Second, 3400 * time.Millisecond},
		{"a plain call", time.Second, 0, 60 * time.Second, 30 * time.Second},
	}
	for _, test := range tests {
		arrived := now.Add(-time.Second)
		request := Request{Arrived: arrived, Deadline: arrived.Add(test.limit), Aim: test.aim, Pause: test.pause}
		if got, want := MaxYield(now, &request), test.want-time.Second; got != want {
			t.Errorf("%s: got %s, want %s", test.name, got, want)
		}
	}
}
