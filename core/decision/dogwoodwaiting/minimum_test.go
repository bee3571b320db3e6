package dogwoodwaiting

import (
	"slices"
	"testing"
	"time"
)

// Load: slots of a service become free one after the other, and requests of each rank wait all the time, as many as there are
// callers of a customer that sends too much. Guards against a rank of which nothing starts while more urgent ones wait, and
// against minimums that take more from the urgent ones than stated, are saved for later, or change anything for equal ranks.
func TestEachRankKeepsAMinimumOfStarts(t *testing.T) {
	const starts = 1000
	tests := []struct {
		name string
		// ranks wait all the time; those in idle begin to wait after half of the starts.
		ranks, idle []int
		// want is the number of starts of each rank, the idle ones last.
		want []int
	}{
		{"two ranks", []int{1, 2}, nil, []int{910, 90}},
		{"three ranks", []int{0, 1, 2}, nil, []int{834, 83, 83}},
		{"eleven ranks share a bounded minimum", []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10}, nil, []int{840, 16, 16, 16, 16, 16, 16, 16, 16, 16, 16}},
		{"a rank that did not wait has earned nothing", []int{1}, []int{2}, []int{955, 45}},
		{"one rank", []int{5}, nil, []int{starts}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var minimums Minimums
			now, got := time.Now(), make([]int, len(test.want))
			for start := range starts {
				now = now.Add(10 * time.Millisecond)
				waiting := slices.Clone(test.ranks)
				if start >= starts/2 {
					waiting = append(waiting, test.idle...)
				}
				var claims []RankClaim
				for _, rank := range waiting {
					claims = append(claims, RankClaim{"s", rank}, RankClaim{"s", rank})
				}
				minimums.SetWaiting(now, claims)
				next := slices.IndexFunc(waiting, func(rank int) bool { return minimums.IsDue(RankClaim{"s", rank}) })
				if minimums.AnyDue() != (next >= 0) {
					t.Fatalf("got %v for any rank, want %v", minimums.AnyDue(), next >= 0)
				}
				next = max(next, 0)
				minimums.Started(now, RankClaim{"s", waiting[next]})
				got[next]++
			}
			for i := range got {
				if diff := got[i] - test.want[i]; diff < -8 || diff > 8 {
					t.Errorf("got %v starts, want about %v", got, test.want)
					break
				}
			}
		})
	}
}

// Guards against a rank that earns starts by those of other services or of less urgent ranks, that saves more than one, or that
// loses what it has earned because its requests come one at a time.
func TestMinimumIsEarnedByWaitingForMoreUrgentRanks(t *testing.T) {
	now := time.Now()
	urgent, lower, other := RankClaim{"s", 0}, RankClaim{"s", 2}, RankClaim{"t", 0}
	both := []RankClaim{urgent, urgent, lower, other, other}
	type step struct {
		started RankClaim
		times   int
		// pause is the time before in which nothing of the rank waits.
		pause time.Duration
	}
	tests := []struct {
		name  string
		steps []step
		want  bool
	}{
		{"nine starts", []step{{urgent, 9, 0}}, false},
		{"ten starts", []step{{urgent, 10, 0}}, true},
		{"starts of another service", []step{{other, 30, 0}}, false},
		{"its own start uses it up, however many it waited for", []step{{urgent, 50, 0}, {lower, 1, 0}}, false},
		{"a pause between two requests", []step{{urgent, 5, 0}, {urgent, 5, 5 * time.Second}}, true},
		{"a long pause", []step{{urgent, 9, 0}, {urgent, 9, 20 * time.Second}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var minimums Minimums
			now := now
			for _, step := range test.steps {
				now = now.Add(step.pause)
				for range step.times {
					minimums.SetWaiting(now, both)
					minimums.Started(now, step.started)
				}
			}
			minimums.SetWaiting(now, both)
			if got := minimums.IsDue(lower); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
			if minimums.IsDue(urgent) || minimums.IsDue(other) {
				t.Error("got an urgent rank that is due, want none")
			}
		})
	}
}

// Guards against minimums that change who starts where all requests of a service have the same rank, or nothing waits.
func TestEqualRanksEarnNothing(t *testing.T) {
	now := time.Now()
	for _, claims := range [][]RankClaim{nil, {{"s", 1}}, {{"s", 1}, {"s", 1}, {"t", 2}, {"t", 2}}} {
		var minimums Minimums
		for range 100 {
			minimums.SetWaiting(now, claims)
			minimums.Started(now, RankClaim{"s", 1})
			minimums.Started(now, RankClaim{"t", 2})
			minimums.SetWaiting(now, claims)
			if minimums.AnyDue() || len(minimums.credits) > 0 {
				t.Fatalf("%v: got credits %v, want none", claims, minimums.credits)
			}
		}
	}
}
