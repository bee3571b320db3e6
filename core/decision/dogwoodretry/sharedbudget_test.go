package dogwoodretry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

const testWindow = 10 * time.Second

// maxTakes bounds the retries that a test takes at once, far above what a budget gives, so that a budget without an end fails the test
// at once.
const maxTakes = 200

// constant returns a function that always returns the same terms.
func constant(ratio, allowance float64, window time.Duration) func() Terms {
	return func() Terms { return Terms{Ratio: ratio, Allowance: allowance, Window: window} }
}

// wholeShare gives a daemon the whole allowance.
func wholeShare(allowance float64) float64 { return allowance }

// newOldBudget returns the budget of a process that has run for long, with a constant share.
func newOldBudget(now time.Time, ratio, share float64) *SharedBudget {
	return NewSharedBudget(now.Add(-time.Hour), constant(ratio, share, testWindow), wholeShare)
}

// takeAll takes and sends all retries that the budget allows, and returns their number.
func takeAll(shared *SharedBudget, now time.Time, service dogwoodfleet.Service) int {
	for count := range maxTakes {
		retry := shared.Take(now, service)
		if retry == nil || !retry.Send(now) {
			return count
		}
	}
	return maxTakes
}

// Guards against daemons exceeding a service's retry budget together. All of them retry
// requests to a service whose endpoints fail; in any window the sum of their retries must
// stay within the one budget.
func TestSharesAddUpToOneBudget(t *testing.T) {
	const daemons, perSecond, seconds = 8, 10, 60
	start := time.Now()
	shares := make([]*SharedBudget, daemons)
	for i := range shares {
		shares[i] = newOldBudget(start, 0.2, 50.0/daemons)
	}
	var first, retries []time.Time
	for step := range seconds * perSecond {
		now := start.Add(time.Duration(step) * time.Second / perSecond)
		for _, share := range shares {
			share.First(now, "s")
			first = append(first, now)
			for range takeAll(share, now, "s") {
				retries = append(retries, now)
			}
		}
	}
	checkWindows(t, first, retries, 0.2, 50)
	if got, want := len(retries), perSecond*seconds*daemons/5; got < want {
		t.Errorf("got %d retries in total, want at least %d: the budget must be usable", got, want)
	}
}

// maxWaiting bounds the retries that wait in a fleet whose budget counts them.
const maxWaiting = 1000

// checkWindows fails the test if in any window there are more retries than the allowance and the first tries pay for: one part
// of what they earn by those of that very window, the other by those of the window that began half a window earlier.
func checkWindows(t *testing.T, first, retries []time.Time, ratio, allowance float64) {
	t.Helper()
	for _, at := range retries {
		for _, from := range []time.Time{at, at.Add(-testWindow + 1)} {
			got := countWithin(retries, from)
			during, earlier := countWithin(first, from), countWithin(first, from.Add(-testWindow/2))
			earned := ratio * ((1-laterPart)*float64(during) + laterPart*float64(earlier))
			if allowed := earned + allowance; float64(got) > allowed+1e-6 {
				t.Fatalf("got %d retries in a window with %d first tries, %d in the one half a window earlier, want at most %.1f", got, during, earlier, allowed)
			}
		}
	}
}

// countWithin returns how many of the times, which are in order, lie in the window that begins at a time.
func countWithin(times []time.Time, from time.Time) int {
	until := from.Add(testWindow)
	begin, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, until, time.Time.Compare)
	return end - begin
}

// processes simulates the processes of a fleet, which end, freeze and hold retries for a while before they send them.
type processes struct {
	random       *rand.Rand
	ratio, share float64
	// maxWait is how long retries wait at most.
	maxWait time.Duration
	// quiet is true while no requests come.
	quiet          bool
	budgets        []*SharedBudget
	frozenUntil    []time.Time
	held           []heldRetry
	first, retries []time.Time
}

// heldRetry is a retry that waits for a slot of its endpoint.
type heldRetry struct {
	retry   *Retry
	process int
	due     time.Time
}

func (processes *processes) step(now time.Time, failing bool) {
	for i := range processes.budgets {
		switch processes.random.IntN(500) {
		case 0:
			processes.kill(now, i)
		case 1:
			processes.frozenUntil[i] = now.Add(time.Duration(processes.random.Int64N(int64(8 * time.Second))))
		}
		if !now.Before(processes.frozenUntil[i]) {
			processes.serve(now, i, failing)
		}
	}
	processes.sendHeld(now)
}

// kill ends a process and starts another one in its place.
func (processes *processes) kill(now time.Time, process int) {
	processes.budgets[process] = NewSharedBudget(now, constant(processes.ratio, processes.share, testWindow), wholeShare)
	processes.frozenUntil[process] = time.Time{}
	var held []heldRetry
	for _, retry := range processes.held {
		if retry.process != process {
			held = append(held, retry)
		}
	}
	processes.held = held
}

func (processes *processes) serve(now time.Time, process int, failing bool) {
	requests := processes.random.IntN(3)
	if processes.quiet {
		requests = 0
	}
	for range requests {
		processes.budgets[process].First(now, "s")
		processes.first = append(processes.first, now)
	}
	for range maxTakes {
		if !failing {
			return
		}
		retry := processes.budgets[process].Take(now, "s")
		if retry == nil {
			return
		}
		wait := time.Duration(processes.random.Int64N(int64(processes.maxWait)))
		processes.held = append(processes.held, heldRetry{retry: retry, process: process, due: now.Add(wait)})
	}
}

// sendHeld sends the retries that are due. Some of them are not sent after all.
func (processes *processes) sendHeld(now time.Time) {
	var held []heldRetry
	for _, retry := range processes.held {
		if now.Before(retry.due) || now.Before(processes.frozenUntil[retry.process]) {
			held = append(held, retry)
			continue
		}
		action := processes.random.IntN(10)
		if action == 0 || !retry.retry.Send(now) {
			retry.retry.Return()
			continue
		}
		if action == 1 {
			retry.retry.Unsend()
			held = append(held, retry)
			continue
		}
		processes.retries = append(processes.retries, now)
	}
	processes.held = held
}

// Guards against a budget that is exceeded when processes end, since those that start in their place have spent nothing; when
// retries wait after they were taken, and are then sent together; when requests cease while they wait, so that nothing is earned in the
// windows in which they are sent; and when processes freeze.
func TestBudgetHoldsWhateverHappensToProcesses(t *testing.T) {
	tests := []struct {
		name    string
		seeds   uint64
		maxWait time.Duration
		pauses  bool
	}{
		{"steady load", 300, 4 * time.Second, false},
		{"load with pauses, long waits", 300, 14 * time.Second, true},
	}
	for _, test := range tests {
		for seed := range test.seeds {
			t.Run(fmt.Sprintf("%s, seed %d", test.name, seed), func(t *testing.T) {
				playProcesses(t, rand.New(rand.NewPCG(seed, 0)), test.maxWait, test.pauses)
			})
		}
	}
}

// playProcesses plays a fleet whose endpoints fail at times, and whose load pauses if it is to.
func playProcesses(t *testing.T, random *rand.Rand, maxWait time.Duration, pauses bool) {
	t.Helper()
	const step, length = 50 * time.Millisecond, 40 * time.Second
	daemons := 1 + random.IntN(12)
	processes := &processes{random: random, maxWait: maxWait, ratio: 0.1 + 0.2*random.Float64(), share: 1 + 10*random.Float64()*random.Float64()}
	processes.budgets, processes.frozenUntil = make([]*SharedBudget, daemons), make([]time.Time, daemons)
	start := time.Now()
	for i := range daemons {
		processes.budgets[i] = newOldBudget(start, processes.ratio, processes.share)
	}
	failing := false
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		if random.IntN(100) == 0 {
			failing = !failing
		}
		if pauses && random.IntN(150) == 0 {
			processes.quiet = !processes.quiet
		}
		if random.IntN(400) == 0 { // all are killed at once
			for i := range daemons {
				processes.kill(now, i)
			}
		}
		processes.step(now, failing)
		if got := len(processes.held); got > maxWaiting {
			t.Fatalf("got %d retries that wait, want at most %d", got, maxWaiting)
		}
	}
	checkWindows(t, processes.first, processes.retries, processes.ratio, processes.share*float64(daemons))
}

// Guards against shares that add up to more than the allowance in a fleet with about as many daemons as retries: a bucket
// must hold a whole retry there, which leaves nothing of the share to refill it.
func TestSharesOfOneRetryAddUp(t *testing.T) {
	const daemons = 50
	odd := []int{1, 3, 5, 7}
	tests := []struct {
		ratio, share float64
		// first are the seconds in which each daemon gets a first try.
		first []int
	}{
		{0.21, 1, odd},
		{0.21, 1.1, odd},
		{0.21, 1.25, odd},
		{0.21, 1.6, odd},
		{0.85, 1, []int{5, 7}}, // with what time would add beyond the share, they would earn a whole retry
	}
	for _, test := range tests {
		ratio, share := test.ratio, test.share
		start := time.Now()
		var first, retries []time.Time
		for range daemons {
			shared := newOldBudget(start, ratio, share)
			for second := range 10 {
				now := start.Add(time.Duration(second) * testWindow / 10)
				if slices.Contains(test.first, second) {
					shared.First(now, "s")
					first = append(first, now)
				}
				for range takeAll(shared, now, "s") {
					retries = append(retries, now)
				}
			}
		}
		slices.SortFunc(first, time.Time.Compare)
		slices.SortFunc(retries, time.Time.Compare)
		checkWindows(t, first, retries, ratio, share*daemons)
	}
}

// Guards against a pool that breaks under all its requests at once and of whose requests nearly none is tried again: a
// daemon that has run for a while has most of its share at hand, and one that has just started soon has a part of it.
func TestShareIsAtHand(t *testing.T) {
	share := 12.0
	now := time.Now()
	if got, want := takeAll(newOldBudget(now, 0.2, share), now, "s"), int(share*burstPart); got != want {
		t.Errorf("got %d retries at once, want %d", got, want)
	}
	spent := newOldBudget(now, 0.2, share)
	takeAll(spent, now, "s")
	if got, want := takeAll(spent, now.Add(testWindow+time.Second), "s"), int(share*(burstPart+1.1*refillPart))-int(share*burstPart); got != want {
		t.Errorf("got %d retries of an idle daemon more than a window after it had used its share, want %d, since it returns slowly", got, want)
	}
	started := NewSharedBudget(now, constant(0.2, share, testWindow), wholeShare)
	if got := takeAll(started, now, "s"); got != 0 {
		t.Errorf("got %d retries of a daemon that has just started, want none", got)
	}
	if got := takeAll(started, now.Add(testWindow/2), "s"); got == 0 {
		t.Error("got no retry of a daemon without requests after half a window, want some")
	}
	for range 10 {
		started.First(now.Add(testWindow/2), "s")
	}
	if got := takeAll(started, now.Add(testWindow/2), "s"); got != 1 {
		t.Errorf("got %d retries for ten first tries, want one at once", got)
	}
	if got := takeAll(started, now.Add(testWindow), "s"); got == 0 {
		t.Error("got no retry for them half a window later, want one at least")
	}
}

// Guards against a fleet that recovers slowly when many of its endpoints fail at once: its daemons, of which each has hardly
// any of the allowance for itself, had lost what their requests of the seconds before had earned.
func TestEarnedRetriesAreAtHandWhenEndpointsFail(t *testing.T) {
	const ratio, perSecond = 0.2, 24
	for _, share := range []float64{0, 1, 3} {
		start := time.Now()
		shared := newOldBudget(start, ratio, share)
		now := start
		for range 2 * int(testWindow.Seconds()) * perSecond {
			now = now.Add(time.Second / perSecond)
			shared.First(now, "s")
		}
		earned := ratio * perSecond * testWindow.Seconds() / 2
		if got, want := takeAll(shared, now, "s"), int(0.9*earned/2); got < want {
			t.Errorf("with a share of %v: got %d retries at once, want at least %d of the %.0f that half a window has earned", share, got, want, earned)
		}
	}
}

// Guards against hiding an exhausted budget. When a daemon denies retries, operators must see
// what is left to the service with the least, not what is left to services without retries.
func TestLeftReportsServiceWithLeastBudget(t *testing.T) {
	now := time.Now()
	shared := newOldBudget(now, 0.5, 10)
	tests := []struct {
		name           string
		service        dogwoodfleet.Service
		first, retries int
		want           float64
	}{
		{"no requests", "a", 0, 0, 6.5},
		{"retries use the budget", "a", 0, 5, 1.5},
		{"first tries add to it, half of it at once", "a", 8, 0, 3.5},
		{"another service", "b", 4, 0, 3.5},
		{"the other service used more", "b", 0, 5, 1.5},
	}
	for _, test := range tests {
		for range test.first {
			shared.First(now, test.service)
		}
		for range test.retries {
			retry := shared.Take(now, test.service)
			if retry == nil {
				t.Fatalf("%s: got no retry", test.name)
			}
			retry.Send(now)
		}
		if got := shared.Left(now); got != test.want {
			t.Errorf("%s: got %v left, want %v", test.name, got, test.want)
		}
	}
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	now := time.Now()
	shared := newOldBudget(now, 0, 1.5)
	for _, service := range []dogwoodfleet.Service{"a", "b"} {
		if got := takeAll(shared, now, service); got != 1 {
			t.Errorf("service %s: got %d retries, want 1", service, got)
		}
	}
	if got := takeAll(shared, now.Add(4*testWindow), "a"); got != 1 {
		t.Errorf("got %d retries after two windows, want 1 again", got)
	}
}

// Guards against abandoning a stream for a retry that the budget then denies.
func TestAllowsMatchesTake(t *testing.T) {
	now := time.Now()
	shared := newOldBudget(now, 0.5, 6)
	for retry := range 5 {
		want := shared.Allows(now, "s")
		if got := shared.Take(now, "s") != nil; got != want {
			t.Errorf("retry %d: got %t, want %t as Allows returned", retry, got, want)
		}
	}
	if shared.Allows(now, "s") {
		t.Error("got a retry beyond the share, want none")
	}
	if !shared.Allows(now, "other") {
		t.Error("got no retry for another service, want one")
	}
}

// Guards against retries that wait and are not counted: a daemon takes as many as its requests ask for, and sends them together.
func TestWaitingRetriesAreCounted(t *testing.T) {
	const most = 20
	share := 12.0
	want := int(share * burstPart)
	tests := []struct {
		name string
		// settle is what happens to the retries that were taken first.
		settle func(now time.Time, retry *Retry)
		want   int
	}{
		{"they wait", func(time.Time, *Retry) {}, 0},
		{"they are sent", func(now time.Time, retry *Retry) { retry.Send(now) }, 0},
		{"they are sent twice", func(now time.Time, retry *Retry) { retry.Send(now); retry.Send(now) }, 0},
		{"they reach no endpoint and wait again", func(now time.Time, retry *Retry) { retry.Send(now); retry.Unsend() }, 0},
		{"they reach no endpoint and are sent again", func(now time.Time, retry *Retry) { retry.Send(now); retry.Unsend(); retry.Send(now) }, 0},
		{"they are sent and returned", func(now time.Time, retry *Retry) { retry.Send(now); retry.Return() }, 0},
		{"they are returned", func(_ time.Time, retry *Retry) { retry.Return() }, want},
		{"they are returned twice", func(_ time.Time, retry *Retry) { retry.Return(); retry.Return() }, want},
		{"they are returned and said to have reached no endpoint", func(_ time.Time, retry *Retry) { retry.Return(); retry.Unsend() }, want},
		{"they reach no endpoint and are returned", func(now time.Time, retry *Retry) { retry.Send(now); retry.Unsend(); retry.Return() }, want},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			shared := newOldBudget(now, 0.2, share)
			take := func() (taken []*Retry) {
				for range most {
					if retry := shared.Take(now, "s"); retry != nil {
						taken = append(taken, retry)
					}
				}
				return taken
			}
			first := take()
			if got := len(first); got != want {
				t.Fatalf("got %d retries, want %d", got, want)
			}
			for _, retry := range first {
				test.settle(now, retry)
			}
			if got := len(take()); got != test.want {
				t.Errorf("got %d further retries, want %d", got, test.want)
			}
		})
	}
}

// Guards against a budget that shrinks by retries that were taken but not made, or grows when one is returned twice.
func TestReturnedRetryCanBeTakenAgain(t *testing.T) {
	now := time.Now()
	shared := newOldBudget(now, 0, 1.25)
	for range 3 {
		retry := shared.Take(now, "s")
		if retry == nil {
			t.Fatal("got no retry, want the one that was returned")
		}
		if shared.Take(now, "s") != nil {
			t.Fatal("got a second retry, want one")
		}
		retry.Return()
		retry.Return()
	}
}

// Guards against first tries that are counted for a window which began after them: a retry before them reached no endpoint, and one
// after them is taken for it.
func TestRetryAfterFirstTriesStaysCounted(t *testing.T) {
	now := time.Now()
	shared := newOldBudget(now, 1, 1.25)
	before := shared.Take(now, "s")
	before.Send(now)
	for range 2 { // they earn one retry for the windows that hold them
		shared.First(now, "s")
	}
	if got := takeAll(shared, now, "s"); got != 1 {
		t.Fatalf("got %d retries after the first tries, want 1", got)
	}
	before.Unsend()
	before.Return()
	if got := takeAll(shared, now, "s"); got != 0 {
		t.Errorf("got %d further retries, want none: a window may have begun after the first tries", got)
	}
}

// Guards against a daemon that ends or hangs on a window that can't be divided into slots: the length of a slot was rounded
// to zero.
func TestWindowsThatCannotBeDivided(t *testing.T) {
	for _, window := range []time.Duration{-time.Second, 0, 1, slotsPerWindow - 1, slotsPerWindow + 1, MinWindow - 1, MinWindow} {
		now := time.Now()
		shared := NewSharedBudget(now.Add(-time.Hour), constant(0.2, 12, window), wholeShare)
		shared.First(now, "s")
		got := 0
		for range 20 {
			if retry := shared.Take(now, "s"); retry != nil && retry.Send(now) {
				got++
			}
		}
		if want := 7; got != want {
			t.Errorf("window of %s: got %d retries, want %d", window, got, want)
		}
	}
}
