package dogwoodwaiting

import (
	"slices"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodshare"
	"dogwoodmux.example/core/dogwoodfleet"
)

// ledgers are a board's ledgers.
type ledgers map[dogwoodfleet.Service]*dogwoodshare.Ledger

// RankUses returns the use of a service's ledger.
func (ledgers ledgers) RankUses(now time.Time, service dogwoodfleet.Service) []dogwoodshare.RankUse {
	if ledgers[service] == nil {
		return nil
	}
	return ledgers[service].RankUses(now)
}

// record records starts of this daemon, or of another one.
func (ledgers ledgers) record(now time.Time, claim RankClaim, count int, took time.Duration, own bool) {
	if ledgers[claim.Service] == nil {
		ledgers[claim.Service] = &dogwoodshare.Ledger{}
	}
	for range count {
		ledgers[claim.Service].Record(now, dogwoodshare.Use{Rank: claim.Rank, Time: took, At: now, Own: own})
	}
}

// Load: slots of a service become free one after the other, and requests of each rank wait all the time, as many as there are
// callers of a customer that sends too much. Guards against a rank of which nothing starts while more urgent ones wait, and
// against minimums that take more from the urgent ones than stated, are saved for later, or change anything for equal ranks.
func TestEachRankKeepsAMinimumOfStarts(t *testing.T) {
	const starts = 1000
	tests := []struct {
		name string
		// ranks wait all the time; those in idle begin to wait after half of the starts.
		ranks, idle []int
		// pause is the time between two starts.
		pause time.Duration
		// want is the number of starts of each rank, the idle ones last.
		want []int
	}{
		{"two ranks", []int{1, 2}, nil, 10 * time.Millisecond, []int{910, 90}},
		{"three ranks", []int{0, 1, 2}, nil, 10 * time.Millisecond, []int{834, 83, 83}},
		{"eleven ranks share a bounded minimum", []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10}, nil, 10 * time.Millisecond, []int{840, 16, 16, 16, 16, 16, 16, 16, 16, 16, 16}},
		{"a rank that did not wait has earned nothing", []int{1}, []int{2}, 10 * time.Millisecond, []int{955, 45}},
		{"one rank", []int{5}, nil, 10 * time.Millisecond, []int{starts}},
		{"a start in three seconds: one in five", []int{1, 2}, nil, 3 * time.Second, []int{800, 200}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var minimums Minimums
			uses := ledgers{}
			now, got := time.Now(), make([]int, len(test.want))
			for start := range starts {
				now = now.Add(test.pause)
				waiting := slices.Clone(test.ranks)
				if start >= starts/2 {
					waiting = append(waiting, test.idle...)
				}
				var claims []RankClaim
				for _, rank := range waiting {
					claims = append(claims, RankClaim{"s", rank}, RankClaim{"s", rank})
				}
				minimums.SetWaiting(now, claims, uses)
				next := slices.IndexFunc(waiting, func(rank int) bool { return minimums.IsDue(RankClaim{"s", rank}) })
				if minimums.AnyDue() != (next >= 0) {
					t.Fatalf("got %v for any rank, want %v", minimums.AnyDue(), next >= 0)
				}
				next = max(next, 0)
				uses.record(now, RankClaim{"s", waiting[next]}, 1, 30*time.Millisecond, true)
				minimums.Started(now, RankClaim{"s", waiting[next]}, uses)
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

// Guards against a rank that is due for starts of other services or of less urgent ranks, for more engine time than a tenth, for use
// that is older than the window, or that loses its turn because its requests come one at a time or do not fit.
func TestRankIsDueBelowItsMinimum(t *testing.T) {
	const took = 30 * time.Millisecond
	now := time.Now()
	urgent, lower, least, other := RankClaim{"s", 0}, RankClaim{"s", 2}, RankClaim{"s", 3}, RankClaim{"t", 0}
	type step struct {
		started RankClaim
		times   int
		took    time.Duration
		// pause is the time before in which nothing of the rank waits.
		pause time.Duration
	}
	tests := []struct {
		name  string
		steps []step
		want  bool
	}{
		{"nothing was started", nil, false},
		{"ten starts", []step{{urgent, 10, took, 0}}, true},
		{"starts of another service", []step{{other, 30, took, 0}}, false},
		{"starts of a less urgent rank", []step{{least, 30, took, 0}}, false},
		{"its own start uses it up", []step{{urgent, 9, took, 0}, {lower, 1, took, 0}}, false},
		{"its own start was a tenth", []step{{urgent, 50, took, 0}, {lower, 5, took, 0}}, false},
		{"its own start was less than a tenth", []step{{urgent, 50, took, 0}, {lower, 4, took, 0}}, true},
		{"its own start took long", []step{{urgent, 50, took, 0}, {lower, 1, 10 * time.Second, 0}}, false},
		{"its own starts are a fifth of the starts and took little", []step{{urgent, 50, took, 0}, {lower, 10, time.Millisecond, 0}}, false},
		{"another rank used up the shares of all", []step{{urgent, 50, took, 0}, {least, 20, took, 0}}, true},
		{"a pause between two requests", []step{{urgent, 5, took, 0}, {urgent, 5, took, 5 * time.Second}}, true},
		{"use before the window", []step{{urgent, 50, took, 0}, {other, 1, took, 5 * time.Second}}, false},
		{"nothing fits", []step{{urgent, 50, took, 0}, {urgent, 50, took, 0}}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var minimums Minimums
			uses := ledgers{}
			now := now
			both := []RankClaim{urgent, urgent, lower, other, other}
			for _, step := range test.steps {
				now = now.Add(step.pause)
				for range step.times {
					minimums.SetWaiting(now, both, uses)
					uses.record(now, step.started, 1, step.took, true)
					minimums.Started(now, step.started, uses)
				}
			}
			minimums.SetWaiting(now, both, uses)
			if got := minimums.IsDue(lower); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
			if minimums.IsDue(urgent) || minimums.IsDue(other) {
				t.Error("got an urgent rank that is due, want none")
			}
		})
	}
}

// Load: each of many daemons sees the same starts, all by others, and each has a slot that becomes free before it learns of the
// others' starts. Guards against as many starts of a rank that is due as there are daemons.
func TestDaemonsDoNotAllGiveTheSameStart(t *testing.T) {
	urgent, lower := RankClaim{"s", 0}, RankClaim{"s", 2}
	tests := []struct {
		daemons, urgentStarts int
		// most is the largest number of starts of the less urgent rank, of which urgentStarts/10 are owed.
		most int
	}{
		{10, 5, 4}, {10, 10, 7}, {10, 1000, 7}, {40, 10, 8}, {100, 10, 20}, {100, 40, 32},
	}
	for _, test := range tests {
		now, got := time.Now(), 0
		board := fixedUses{{Rank: urgent.Rank, Used: time.Second, Own: time.Second / time.Duration(test.daemons), Starts: test.urgentStarts}}
		for daemon := range test.daemons {
			minimums := Minimums{FirstTurn: float64(daemon) / float64(test.daemons)}
			minimums.SetWaiting(now, []RankClaim{urgent, lower}, board)
			if minimums.IsDue(lower) {
				got++
			}
		}
		if got > test.most || got == 0 {
			t.Errorf("%d daemons, %d urgent starts: got %d starts of a rank that is due, want 1 to %d", test.daemons, test.urgentStarts, got, test.most)
		}
	}
}

// Guards against a rank that is always due since its use is counted together with that of other ranks.
func TestRankIsDueBySharedUse(t *testing.T) {
	for _, test := range []struct {
		shared int
		want   bool
	}{{2, true}, {10, false}} {
		minimums := Minimums{FirstTurn: 0.99} // the next turn is for a rank that is due
		board := fixedUses{
			{Rank: 0, Used: time.Second, Own: time.Second, Starts: 50},
			{Rank: 5, Used: time.Second * time.Duration(test.shared) / 50, Starts: test.shared, Shared: true},
		}
		minimums.SetWaiting(time.Now(), []RankClaim{{"s", 0}, {"s", 9}}, board)
		if got := minimums.IsDue(RankClaim{"s", 9}); got != test.want {
			t.Errorf("%d shared starts of 50: got %v, want %v", test.shared, got, test.want)
		}
	}
}

// fixedUses are the same uses at any time.
type fixedUses []dogwoodshare.RankUse

func (uses fixedUses) RankUses(time.Time, dogwoodfleet.Service) []dogwoodshare.RankUse { return uses }

// Guards against minimums that change who starts where all requests of a service have the same rank, or nothing waits.
func TestEqualRanksAreNeverDue(t *testing.T) {
	now := time.Now()
	for _, claims := range [][]RankClaim{nil, {{"s", 1}}, {{"s", 1}, {"s", 1}, {"t", 2}, {"t", 2}}} {
		var minimums Minimums
		uses := ledgers{}
		uses.record(now, RankClaim{"s", 0}, 100, time.Second, false)
		uses.record(now, RankClaim{"t", 0}, 100, time.Second, false)
		for range 100 {
			minimums.SetWaiting(now, claims, uses)
			minimums.Started(now, RankClaim{"s", 1}, uses)
			minimums.Started(now, RankClaim{"t", 2}, uses)
			minimums.SetWaiting(now, claims, uses)
			if minimums.AnyDue() || len(minimums.services) > 0 {
				t.Fatalf("%v: got the state %v, want none", claims, minimums.services)
			}
		}
	}
}
