package dogwoodretry

import (
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Guards against daemons exceeding a service's retry budget together. All of them retry
// requests to a service whose endpoints fail; in any window the sum of their retries must
// stay within the one budget.
func TestSharesAddUpToOneBudget(t *testing.T) {
	const daemons, perSecond, seconds = 8, 10, 60
	window := 10 * time.Second
	shares := make([]*SharedBudget, daemons)
	for i := range shares {
		shares[i] = &SharedBudget{Ratio: 0.2, Allowance: 50, Window: window}
	}
	start := time.Now()
	var first, retries []time.Time
	for step := range seconds * perSecond {
		now := start.Add(time.Duration(step) * time.Second / perSecond)
		for _, share := range shares {
			share.First(now, "s")
			first = append(first, now)
			if share.Take(now, "s", daemons) {
				retries = append(retries, now)
			}
		}
	}
	for end := start.Add(window); end.Before(start.Add(seconds * time.Second)); end = end.Add(100 * time.Millisecond) {
		got, allowed := countWithin(retries, end, window), 0.2*float64(countWithin(first, end, window))+50
		if float64(got) > allowed {
			t.Fatalf("got %d retries in a window, want at most %.0f", got, allowed)
		}
	}
	if got, want := len(retries), perSecond*seconds*daemons/10; got < want {
		t.Errorf("got %d retries in total, want at least %d: the budget must be usable", got, want)
	}
}

// Guards against hiding an exhausted budget. When a daemon denies retries, operators must see
// what is left to the service with the least, not what is left to services without retries.
func TestLeftReportsServiceWithLeastBudget(t *testing.T) {
	const daemons = 2
	shared, now := &SharedBudget{Ratio: 0.5, Allowance: 8, Window: 10 * time.Second}, time.Now()
	tests := []struct {
		name           string
		service        dogwoodfleet.Service
		first, retries int
		want           float64
	}{
		{"no requests", "a", 0, 0, 4},
		{"first tries add to the budget", "a", 4, 0, 4},
		{"retries use the budget", "a", 0, 5, 1},
		{"another service", "b", 2, 0, 1},
		{"the other service used more", "b", 0, 5, 0},
	}
	for _, test := range tests {
		for range test.first {
			shared.First(now, test.service)
		}
		for range test.retries {
			if !shared.Take(now, test.service, daemons) {
				t.Fatalf("%s: got no retry", test.name)
			}
		}
		if got := shared.Left(now, daemons); got != test.want {
			t.Errorf("%s: got %v left, want %v", test.name, got, test.want)
		}
	}
	if got := shared.Left(now.Add(time.Minute), daemons); got != 4 {
		t.Errorf("got %v left after the window, want the 4 of the allowance", got)
	}
}

func countWithin(times []time.Time, end time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if at.After(end.Add(-window)) && !at.After(end) {
			count++
		}
	}
	return count
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	shared := &SharedBudget{Ratio: 0, Allowance: 1, Window: time.Second}
	now := time.Now()
	if !shared.Take(now, "a", 1) || shared.Take(now, "a", 1) {
		t.Error("want exactly one retry for the service")
	}
	if !shared.Take(now, "b", 1) {
		t.Error("want one retry for the other service too")
	}
	if !shared.Take(now.Add(1100*time.Millisecond), "a", 1) {
		t.Error("want one retry again after the window")
	}
}

// Guards against abandoning a stream for a retry that the budget then denies.
func TestAllowsMatchesTake(t *testing.T) {
	const daemons = 2
	shared, now := &SharedBudget{Ratio: 0.5, Allowance: 4, Window: 10 * time.Second}, time.Now()
	for retry := range 4 {
		want := shared.Allows(now, "s", daemons)
		if got := shared.Take(now, "s", daemons); got != want {
			t.Errorf("retry %d: got %t, want %t as Allows returned", retry, got, want)
		}
	}
	if shared.Allows(now, "s", daemons) {
		t.Error("got a retry beyond the share, want none")
	}
	if !shared.Allows(now, "other", daemons) {
		t.Error("got no retry for another service, want one")
	}
}

// Guards against a budget that shrinks by retries that were taken but not made.
func TestReturnedRetryCanBeTakenAgain(t *testing.T) {
	shared, now := &SharedBudget{Allowance: 1, Window: 10 * time.Second}, time.Now()
	shared.Return(now, "s") // no retry was taken
	for range 3 {
		if !shared.Take(now, "s", 1) {
			t.Fatal("got no retry, want the one that was returned")
		}
		if shared.Take(now, "s", 1) {
			t.Fatal("got a second retry, want one")
		}
		shared.Return(now, "s")
	}
}
