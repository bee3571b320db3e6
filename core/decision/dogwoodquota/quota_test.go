package dogwoodquota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is a set of entries and one home for all customers. Messages arrive at once.
type fleet struct {
	limit   Rate
	home    *Home
	entries []*Meter
	reports int
}

func newFleet(entries int, limit Rate) *fleet {
	fleet := &fleet{limit: limit, home: NewHome()}
	for range entries {
		fleet.entries = append(fleet.entries, NewMeter(func(dogwoodfleet.Customer) Rate { return limit }))
	}
	return fleet
}

func (fleet *fleet) exchange(now time.Time) {
	for i, meter := range fleet.entries {
		for _, report := range meter.Due(now) {
			fleet.reports++
			share := fleet.home.Grant(now, dogwoodfleet.InstanceID(fmt.Sprint(i)), report, fleet.limit)
			meter.Learn(now, share, len(fleet.entries))
		}
	}
}

// run sends a customer's requests at the given rate through some of the entries and returns
// how many were admitted.
func (fleet *fleet) run(random *rand.Rand, from time.Time, duration time.Duration, perSecond float64, through []int) int {
	admitted := 0
	exchanged := from
	for now := from; now.Before(from.Add(duration)); now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))) {
		for ; exchanged.Before(now); exchanged = exchanged.Add(250 * time.Millisecond) {
			fleet.exchange(exchanged)
		}
		if _, ok := fleet.entries[through[random.IntN(len(through))]].Admit(now, "one", 1000, len(fleet.entries)); ok {
			admitted++
		}
	}
	return admitted
}

// A limit covers all entries together. It must neither multiply with the number of entries nor
// shrink for a customer that uses only a few of them.
func TestLimitAcrossEntries(t *testing.T) {
	all := make([]int, 100)
	for i := range all {
		all[i] = i
	}
	tests := []struct {
		name        string
		perSecond   float64
		through     []int
		least, most float64 // admitted a second
	}{
		{name: "far below the limit, three entries", perSecond: 20, through: []int{1, 2, 3}, least: 18, most: 21},
		{name: "below the limit, three entries", perSecond: 80, through: []int{1, 2, 3}, least: 70, most: 83},
		{name: "three times the limit, three entries", perSecond: 300, through: []int{1, 2, 3}, least: 80, most: 105},
		{name: "three times the limit, all entries", perSecond: 300, through: all, least: 70, most: 110},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const seconds = 60
			seed := uint64(5)
			fleet := newFleet(len(all), Rate{Requests: 100})
			admitted := fleet.run(rand.New(rand.NewPCG(seed, seed)), start, seconds*time.Second, test.perSecond, test.through)
			got := float64(admitted) / seconds
			t.Logf("admitted %.1f/s, %.2f reports/s", got, float64(fleet.reports)/seconds)
			if got < test.least || got > test.most {
				t.Errorf("seed %d: got %.1f admitted a second, want %.0f to %.0f", seed, got, test.least, test.most)
			}
		})
	}
}

// A customer's callers move from three entries to three others at once. The old entries still
// hold their shares; the new ones must get shares within seconds.
func TestSharesFollowTheCallers(t *testing.T) {
	random := rand.New(rand.NewPCG(6, 6))
	fleet := newFleet(20, Rate{Requests: 100})
	fleet.run(random, start, 30*time.Second, 90, []int{0, 1, 2})
	moved := start.Add(30 * time.Second)
	fleet.run(random, moved, 8*time.Second, 90, []int{3, 4, 5})
	admitted := fleet.run(random, moved.Add(8*time.Second), 20*time.Second, 90, []int{3, 4, 5})
	if got, least := float64(admitted)/20, 70.0; got < least {
		t.Errorf("8 s after the move: got %.1f admitted a second, want at least %.0f", got, least)
	}
}

// Guards against shares that together exceed the limit. Entries report at random times and with
// random demand, and old shares are still valid when new ones are granted.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	seed := uint64(7)
	random := rand.New(rand.NewPCG(seed, seed))
	home, limit := NewHome(), Rate{Requests: 100, Tokens: 1e6}
	for step := range 20_000 {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		report := Report{Customer: "one", Demand: Rate{Requests: random.Float64() * 60, Tokens: random.Float64() * 1e6}}
		home.Grant(now, dogwoodfleet.InstanceID(fmt.Sprint(random.IntN(30))), report, limit)
		sum := Rate{}
		for _, grant := range home.pools["one"].grants {
			sum = sum.add(grant.share)
		}
		if got, most := sum.fractionOf(limit), 1-Reserve; got > most+1e-6 || math.IsNaN(got) {
			t.Fatalf("seed %d step %d: got a sum of shares of %.3f of the limit, want at most %.3f", seed, step, got, most)
		}
	}
}

// A prompt of a million tokens arrives for a customer with a limit of 100,000 a second. It
// must be admitted, and later requests must wait until its tokens are paid off.
func TestLongPromptIsPaidOff(t *testing.T) {
	fleet := newFleet(1, Rate{Tokens: 100_000})
	meter := fleet.entries[0]
	if _, ok := meter.Admit(start, "one", 1_000_000, 1); !ok {
		t.Fatal("got the long prompt rejected, want it admitted")
	}
	if wait, ok := meter.Admit(start.Add(time.Second), "one", 1000, 1); ok || wait < time.Second {
		t.Errorf("right after: got admitted=%v wait=%v, want a rejection with a wait", ok, wait)
	}
	admitted := fleet.run(rand.New(rand.NewPCG(8, 8)), start.Add(time.Second), 30*time.Second, 10, []int{0})
	if admitted == 0 {
		t.Error("half a minute later: got nothing admitted, want some requests")
	}
}

func BenchmarkAdmit(b *testing.B) {
	for _, customers := range []int{10, 2700} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			meter := NewMeter(func(dogwoodfleet.Customer) Rate { return Rate{Requests: 1e6} })
			names := make([]dogwoodfleet.Customer, customers)
			for i := range names {
				names[i] = dogwoodfleet.Customer(fmt.Sprint("customer-", i))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				meter.Admit(start.Add(time.Duration(i)), names[i%customers], 1000, 500)
			}
		})
	}
}
