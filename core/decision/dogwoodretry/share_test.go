package dogwoodretry

import (
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// All daemons meet a service whose endpoints fail, and each would retry what it took. Added
// up their repeats must stay within one budget for the service, in any window.
func TestSharesAddUpToOneBudget(t *testing.T) {
	const daemons, perSecond, seconds = 8, 10, 60
	window := 10 * time.Second
	shares := make([]*Shared, daemons)
	for i := range shares {
		shares[i] = &Shared{Ratio: 0.2, Allowance: 50, Window: window}
	}
	start := time.Now()
	var first, repeats []time.Time
	for step := range seconds * perSecond {
		now := start.Add(time.Duration(step) * time.Second / perSecond)
		for _, share := range shares {
			share.First(now, "s")
			first = append(first, now)
			if share.Take(now, "s", daemons) {
				repeats = append(repeats, now)
			}
		}
	}
	for end := start.Add(window); end.Before(start.Add(seconds * time.Second)); end = end.Add(100 * time.Millisecond) {
		got, allowed := within(repeats, end, window), 0.2*float64(within(first, end, window))+50
		if float64(got) > allowed {
			t.Fatalf("got %d repeats in a window, want at most %.0f", got, allowed)
		}
	}
	if got, want := len(repeats), perSecond*seconds*daemons/10; got < want {
		t.Errorf("got %d repeats in all, want at least %d: the budget is there to be used", got, want)
	}
}

// An operator sees a daemon refuse repeats. What is left must tell of the service that has
// the least, not of those that nobody repeats.
func TestLeftIsOfTheServiceWithTheLeast(t *testing.T) {
	const daemons = 2
	shared, now := &Shared{Ratio: 0.5, Allowance: 8, Window: 10 * time.Second}, time.Now()
	tests := []struct {
		name           string
		service        dogwoodfleet.Service
		first, repeats int
		want           float64
	}{
		{"nothing came", "a", 0, 0, 4},
		{"first requests add to it", "a", 4, 0, 4},
		{"repeats use it up", "a", 0, 5, 1},
		{"another service", "b", 2, 0, 1},
		{"the other one used more", "b", 0, 5, 0},
	}
	for _, test := range tests {
		for range test.first {
			shared.First(now, test.service)
		}
		for range test.repeats {
			if !shared.Take(now, test.service, daemons) {
				t.Fatalf("%s: got no repeat", test.name)
			}
		}
		if got := shared.Left(now, daemons); got != test.want {
			t.Errorf("%s: got %v left, want %v", test.name, got, test.want)
		}
	}
	if got := shared.Left(now.Add(time.Minute), daemons); got != 4 {
		t.Errorf("got %v left after the window, want the allowance's 4", got)
	}
}

func within(moments []time.Time, end time.Time, window time.Duration) int {
	count := 0
	for _, moment := range moments {
		if moment.After(end.Add(-window)) && !moment.After(end) {
			count++
		}
	}
	return count
}

func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	shared := &Shared{Ratio: 0, Allowance: 1, Window: time.Second}
	now := time.Now()
	if !shared.Take(now, "a", 1) || shared.Take(now, "a", 1) {
		t.Error("want one repeat for the service and no more")
	}
	if !shared.Take(now, "b", 1) {
		t.Error("want one for the other service too")
	}
	if !shared.Take(now.Add(1100*time.Millisecond), "a", 1) {
		t.Error("want one again after the window")
	}
}

// Guards against a stream that is given up for a retry that the budget then forbids.
func TestAllowsTellsWhatTakeWouldDo(t *testing.T) {
	const daemons = 2
	shared, now := &Shared{Ratio: 0.5, Allowance: 4, Window: 10 * time.Second}, time.Now()
	for repeat := range 4 {
		want := shared.Allows(now, "s", daemons)
		if got := shared.Take(now, "s", daemons); got != want {
			t.Errorf("repeat %d: got %t, want %t as was told", repeat, got, want)
		}
	}
	if shared.Allows(now, "s", daemons) {
		t.Error("got a repeat beyond the share, want none")
	}
	if !shared.Allows(now, "other", daemons) {
		t.Error("got no repeat for another service, want one")
	}
}

// Guards against a budget that shrinks by repeats that were never made.
func TestAReturnedRepeatMayBeTakenAgain(t *testing.T) {
	shared, now := &Shared{Allowance: 1, Window: 10 * time.Second}, time.Now()
	shared.Return(now, "s") // none was taken
	for range 3 {
		if !shared.Take(now, "s", 1) {
			t.Fatal("got no repeat, want the one that was returned")
		}
		if shared.Take(now, "s", 1) {
			t.Fatal("got a second repeat, want one")
		}
		shared.Return(now, "s")
	}
}
