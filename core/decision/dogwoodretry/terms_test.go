package dogwoodretry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// changingTerms are terms that a test changes.
type changingTerms struct{ Terms }

func (changingTerms *changingTerms) get() Terms { return changingTerms.Terms }

// Guards against a change of the settings that is not in force until the process ends: retries went on by a ratio that had been
// lowered, those that were earned before among them.
func TestChangedTermsAreInForceAtOnce(t *testing.T) {
	const perSecond, share = 20, 12.0
	terms := func(ratio, allowance float64, window time.Duration) Terms {
		return Terms{Ratio: ratio, Allowance: allowance, Window: window}
	}
	usual := terms(0.2, share, testWindow)
	tests := []struct {
		name          string
		before, after Terms
		// spent is true if all retries were used before the change.
		spent bool
		// atOnce are the terms under which a budget that had them all along has as many retries at hand just after the change.
		atOnce Terms
	}{
		{name: "a lower ratio", before: usual, after: terms(0.02, share, testWindow), atOnce: terms(0.02, share, testWindow)},
		{name: "a lower ratio, spent", before: usual, after: terms(0.02, share, testWindow), spent: true, atOnce: terms(0, 0, testWindow)},
		{name: "no ratio", before: usual, after: terms(0, share, testWindow), atOnce: terms(0, share, testWindow)},
		{name: "a lower allowance", before: usual, after: terms(0.2, 3, testWindow), atOnce: terms(0.2, 3, testWindow)},
		{name: "both lower", before: usual, after: terms(0.02, 3, testWindow), atOnce: terms(0.02, 3, testWindow)},
		{name: "nothing any more", before: usual, after: terms(0, 0, testWindow), atOnce: terms(0, 0, testWindow)},
		{name: "a higher ratio, for later first tries", before: terms(0.02, share, testWindow), after: usual, atOnce: terms(0.02, share, testWindow)},
		{name: "a higher ratio, spent", before: terms(0.02, share, testWindow), after: usual, spent: true, atOnce: terms(0, 0, testWindow)},
		{name: "a shorter window", before: usual, after: terms(0.2, share, testWindow/5), atOnce: terms(0, 0, testWindow)},
		{name: "a shorter window, spent", before: usual, after: terms(0.2, share, testWindow/5), spent: true, atOnce: terms(0, 0, testWindow)},
		{name: "a longer window", before: usual, after: terms(0.2, share, 5*testWindow), atOnce: terms(0, 0, testWindow)},
		{name: "a longer window, spent", before: usual, after: terms(0.2, share, 5*testWindow), spent: true, atOnce: terms(0, 0, testWindow)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			start := time.Now()
			changing := &changingTerms{test.before}
			changed := NewSharedBudget(start.Add(-time.Hour), changing.get, wholeShare)
			unchanged := NewSharedBudget(start.Add(-time.Hour), func() Terms { return test.atOnce }, wholeShare)
			now := start
			for range 2 * int(testWindow.Seconds()) * perSecond {
				now = now.Add(time.Second / perSecond)
				changed.First(now, "s")
				unchanged.First(now, "s")
			}
			if test.spent {
				takeAll(changed, now, "s")
			}
			changing.Terms = test.after
			if got, want := takeAll(changed, now, "s"), takeAll(unchanged, now, "s"); got != want {
				t.Errorf("got %d retries just after the change, want %d", got, want)
			}
			// Once first tries of two windows have come, the retries of the process are those of a process with the new terms.
			later := NewSharedBudget(now, changing.get, wholeShare)
			for range int(4*test.after.Window.Seconds()) * perSecond {
				now = now.Add(time.Second / perSecond)
				changed.First(now, "s")
				later.First(now, "s")
			}
			if got, want := takeAll(changed, now, "s"), takeAll(later, now, "s"); got < want {
				t.Errorf("got %d retries some windows after the change, want at least %d as in a process that began at the change", got, want)
			}
		})
	}
}

// Guards against a ratio or an allowance that is lowered, and raised again at once, and gives what was spent before a second time.
func TestTermsThatChangeToAndFroGiveNothing(t *testing.T) {
	usual := Terms{Ratio: 0.2, Allowance: 12, Window: testWindow}
	tests := []struct {
		name    string
		between Terms
	}{
		{"no ratio", Terms{Allowance: 12, Window: testWindow}},
		{"no allowance", Terms{Ratio: 0.2, Window: testWindow}},
		{"a shorter window", Terms{Ratio: 0.2, Allowance: 12, Window: testWindow / 10}},
		{"a longer window", Terms{Ratio: 0.2, Allowance: 12, Window: 10 * testWindow}},
		{"nothing", Terms{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			changing := &changingTerms{usual}
			shared := NewSharedBudget(now.Add(-time.Hour), changing.get, wholeShare)
			for range 100 {
				shared.First(now, "s")
			}
			takeAll(shared, now, "s")
			for range 10 {
				for _, terms := range []Terms{test.between, usual} {
					changing.Terms = terms
					if got := takeAll(shared, now, "s"); got != 0 {
						t.Fatalf("got %d retries with %+v, want none, since all are spent", got, terms)
					}
				}
			}
		})
	}
}

// Guards against retries that wait while the window changes and are forgotten, or are counted for a slot that exists no more.
func TestWaitingRetriesOutliveAChangeOfTheWindow(t *testing.T) {
	tests := []struct {
		name string
		// settle is what happens to a retry after the change.
		settle func(t *testing.T, now time.Time, waiting, sent *Retry)
		// pending is the number of retries that wait then.
		pending int
	}{
		{"it is sent without anything to spend", func(t *testing.T, now time.Time, waiting, _ *Retry) {
			t.Helper()
			if waiting.Send(now) {
				t.Error("got a retry that was sent, want none: the process has nothing to spend")
			}
		}, 1},
		{"it is returned", func(_ *testing.T, _ time.Time, waiting, _ *Retry) { waiting.Return() }, 0},
		{"another reached no endpoint", func(_ *testing.T, _ time.Time, _, sent *Retry) { sent.Unsend() }, 2},
		{"another reached no endpoint and is returned", func(_ *testing.T, _ time.Time, _, sent *Retry) { sent.Unsend(); sent.Return() }, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			changing := &changingTerms{Terms{Ratio: 0.2, Allowance: 12, Window: testWindow}}
			shared := NewSharedBudget(now.Add(-time.Hour), changing.get, wholeShare)
			waiting, sent := shared.Take(now, "s"), shared.Take(now, "s")
			sent.Send(now)
			changing.Window = testWindow / 2
			shared.Allows(now, "s") // the change is in force from here on
			test.settle(t, now, waiting, sent)
			ledger := shared.ledgers["s"]
			if got := ledger.pending; got != test.pending {
				t.Errorf("got %d retries that wait, want %d", got, test.pending)
			}
			for number := range ledger.ring {
				if got := ledger.ring[number].sent; got != 0 {
					t.Errorf("got %d retries sent in slot %d, want none", got, number)
				}
			}
		})
	}
}

// Guards against retries that what came after them had paid for, and that a lower ratio leaves uncounted in the windows that begin
// with them.
func TestLowerRatioCountsRetriesBeforeFirstTries(t *testing.T) {
	now := time.Now()
	changing := &changingTerms{Terms{Ratio: 0.2, Allowance: 4, Window: testWindow}}
	shared := NewSharedBudget(now.Add(-time.Hour), changing.get, wholeShare)
	for range 200 { // they count for windows that begin before the present slot only
		shared.First(now.Add(-testWindow/2), "s")
	}
	if got := takeAll(shared, now, "s"); got != 2 {
		t.Fatalf("got %d retries at once, want the 2 whole ones of %v", got, 4*burstPart)
	}
	for range 20 { // they earn two for windows that hold them, and one by the lower ratio
		shared.First(now, "s")
	}
	changing.Ratio = 0.1
	if got := takeAll(shared, now, "s"); got != 1 {
		t.Errorf("got %d further retries, want 1", got)
	}
}

// Guards against a service that gets its first request after the window has changed, and whose retries are counted in slots of the
// length before.
func TestNewServiceHasTheChangedWindow(t *testing.T) {
	for _, window := range []time.Duration{testWindow / 5, 5 * testWindow} {
		now := time.Now()
		changing := &changingTerms{Terms{Ratio: 0, Allowance: 50, Window: testWindow}}
		shared := NewSharedBudget(now.Add(-time.Hour), changing.get, wholeShare)
		takeAll(shared, now, "s")
		changing.Window = window
		if got := takeAll(shared, now, "new"); got != 0 {
			t.Errorf("window of %s: got %d retries just after the change, want none", window, got)
		}
		if got, want := takeAll(shared, now.Add(window), "new"), int(50*refillPart); got != want {
			t.Errorf("window of %s: got %d retries a window after the change, want %d", window, got, want)
		}
	}
}

// change is a change of the terms, which reaches the processes one after the other in a stretch of time.
type change struct {
	begin, end time.Time
	terms      Terms
}

// reloaded simulates processes that read the changed terms one after the other while their endpoints fail at times.
type reloaded struct {
	random  *rand.Rand
	terms   []*changingTerms
	budgets []*SharedBudget
	// next is the next process to read the terms of the last change.
	next           int
	changes        []change
	first, retries []time.Time
}

func (reloaded *reloaded) randomTerms() Terms {
	windows := []time.Duration{2 * time.Second, 5 * time.Second, testWindow, testWindow, testWindow}
	return Terms{
		Ratio: 0.3 * reloaded.random.Float64(), Allowance: float64(reloaded.random.IntN(60)),
		Window: windows[reloaded.random.IntN(len(windows))],
	}
}

func (reloaded *reloaded) step(now time.Time, failing bool) {
	if reloaded.next < len(reloaded.terms) {
		if reloaded.random.IntN(4) == 0 {
			reloaded.terms[reloaded.next].Terms = reloaded.changes[len(reloaded.changes)-1].terms
			reloaded.next++
		}
		reloaded.changes[len(reloaded.changes)-1].end = now
	} else if reloaded.random.IntN(120) == 0 {
		reloaded.changes = append(reloaded.changes, change{begin: now, end: now, terms: reloaded.randomTerms()})
		reloaded.next = 0
	}
	for _, budget := range reloaded.budgets {
		for range reloaded.random.IntN(3) {
			budget.First(now, "s")
			reloaded.first = append(reloaded.first, now)
		}
		if !failing {
			continue
		}
		for range takeAll(budget, now, "s") {
			reloaded.retries = append(reloaded.retries, now)
		}
	}
}

// allowed returns the most retries in the window of a length that begins at a time, and whether that length is in force. In a
// window without a change these are those of its terms. In one that holds changes it is the largest allowance, once, and what first
// tries of that window, and of half a window of the longest length before it, earn by the largest ratio.
func (reloaded *reloaded) allowed(from time.Time, window time.Duration) (most float64, applies bool) {
	until := from.Add(window)
	var ratio, allowance float64
	shortest, longest, inForce, quiet := 2*testWindow, window, 0, true
	for number, change := range reloaded.changes {
		last := number == len(reloaded.changes)-1
		if !change.begin.Before(until) || !last && !reloaded.changes[number+1].end.Add(testWindow/2).After(from) {
			continue // it begins later, or all processes had left its terms before what counts here
		}
		longest = max(longest, change.terms.Window)
		if !last && !reloaded.changes[number+1].end.After(from) {
			ratio = max(ratio, change.terms.Ratio)
			continue
		}
		inForce++
		quiet = quiet && !change.end.After(from)
		ratio, allowance = max(ratio, change.terms.Ratio), max(allowance, change.terms.Allowance)
		shortest = min(shortest, change.terms.Window)
	}
	if inForce == 1 && quiet {
		for _, change := range reloaded.changes {
			if !change.end.After(from) {
				ratio = change.terms.Ratio
			}
		}
		during, earlier := countIn(reloaded.first, from, until), countIn(reloaded.first, from.Add(-window/2), until.Add(-window/2))
		return ratio*((1-laterPart)*float64(during)+laterPart*float64(earlier)) + allowance, window == shortest
	}
	return ratio*float64(countIn(reloaded.first, from.Add(-longest/2), until)) + allowance, window == shortest
}

func countIn(times []time.Time, from, until time.Time) int {
	begin, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, until, time.Time.Compare)
	return end - begin
}

// Guards against changes of ratio, allowance and window that let out more retries than either the terms before or those after
// allow, as they reach the daemons of a fleet one after the other: a window that holds a change was given a second allowance.
func TestBudgetHoldsAsTermsChange(t *testing.T) {
	const step, length, seeds = 50 * time.Millisecond, 60 * time.Second, 200
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			daemons := 1 + random.IntN(8)
			start := time.Now()
			reloaded := &reloaded{random: random, next: daemons}
			terms := reloaded.randomTerms()
			reloaded.changes = []change{{begin: start.Add(-time.Hour), end: start.Add(-time.Hour), terms: terms}}
			share := func(allowance float64) float64 { return allowance / float64(daemons) }
			for range daemons {
				changing := &changingTerms{terms}
				reloaded.terms = append(reloaded.terms, changing)
				reloaded.budgets = append(reloaded.budgets, NewSharedBudget(start.Add(-time.Hour), changing.get, share))
			}
			failing := false
			for now := start; now.Before(start.Add(length)); now = now.Add(step) {
				if random.IntN(60) == 0 {
					failing = !failing
				}
				reloaded.step(now, failing)
			}
			checked := 0
			for _, at := range reloaded.retries {
				for _, window := range []time.Duration{2 * time.Second, 5 * time.Second, testWindow} {
					for _, from := range []time.Time{at, at.Add(-window + 1)} {
						allowed, applies := reloaded.allowed(from, window)
						if !applies {
							continue
						}
						checked++
						if got := countIn(reloaded.retries, from, from.Add(window)); float64(got) > allowed+1e-6 {
							t.Fatalf("got %d retries in the %s from %s after the start, want at most %.1f; changes: %+v", got, window, from.Sub(start), allowed, reloaded.changes)
						}
					}
				}
			}
			if len(reloaded.retries) > 0 && checked == 0 {
				t.Error("no window was checked")
			}
		})
	}
}
