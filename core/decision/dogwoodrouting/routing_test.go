package dogwoodrouting

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func candidate(inFlight int) Candidate {
	return Candidate{InFlight: inFlight, Limit: 16, PerToken: 2500 * time.Nanosecond, Slowness: 1, MeasuredAt: start}
}

func TestPick(t *testing.T) {
	cached, overloaded, slow, far := candidate(4), candidate(14), candidate(0), candidate(0)
	cached.HitTokens, overloaded.HitTokens = 16_000, 16_000
	slow.Slowness = 8
	far.Distance = 2
	probe := slow
	probe.MeasuredAt = start.Add(-2 * probeInterval)
	tests := []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{name: "none", want: -1},
		{name: "less loaded", candidates: []Candidate{candidate(9), candidate(1)}, want: 1},
		{name: "cached despite higher load", candidates: []Candidate{candidate(3), cached, candidate(4)}, want: 1},
		{name: "not cached above load bound", candidates: []Candidate{candidate(3), overloaded, candidate(3)}, want: 0},
		{name: "not slow", candidates: []Candidate{slow, candidate(12)}, want: 1},
		{name: "slow if it is the only one", candidates: []Candidate{slow}, want: 0},
		{name: "slow when probe is due", candidates: []Candidate{probe, candidate(12)}, want: 0},
		{name: "near despite higher load", candidates: []Candidate{far, candidate(12)}, want: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			got := Pick(start, test.candidates, 20_000, random)
			alsoGood := test.want >= 0 && got >= 0 && test.candidates[got].InFlight == test.candidates[test.want].InFlight && test.candidates[got].Slowness == test.candidates[test.want].Slowness
			if got != test.want && !alsoGood {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

// Requests that arrive between two load reports must not all go to the endpoint that was least
// loaded in the last report.
func TestPickSpreadsRequestsBetweenReports(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	candidates := []Candidate{candidate(0), candidate(1), candidate(2), candidate(3)}
	for range 40 {
		candidates[Pick(start, candidates, 1000, random)].InFlight++
	}
	for i := range candidates {
		if got := candidates[i].InFlight; got < 9 || got > 14 {
			t.Errorf("endpoint %d: got %d in flight of 46, want about a quarter", i, got)
		}
	}
}

func TestPickOwner(t *testing.T) {
	owner := func(hash uint64, running, distance int) OwnerLoad {
		return OwnerLoad{Hash: hash, Slots: 32, Running: running, Distance: distance}
	}
	tests := []struct {
		name   string
		owners []OwnerLoad
		want   int
	}{
		{name: "none", want: -1},
		{name: "near", owners: []OwnerLoad{owner(1, 0, 1), owner(2, 20, 0)}, want: 1},
		{name: "far with free slots", owners: []OwnerLoad{owner(1, 0, 1), owner(2, 60, 0)}, want: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := PickOwner(test.owners, 0, rand.New(rand.NewPCG(1, 1))); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

func TestPickOwnerFollowsPrefixWithinLoadBound(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	owners := make([]OwnerLoad, 8)
	for i := range owners {
		owners[i] = OwnerLoad{Hash: mixHash(uint64(i + 1)), Slots: 32}
	}
	preferred := PickOwner(owners, 77, random)
	if second := PickOwner(owners, 77, random); second != preferred {
		t.Errorf("got owner %d and then %d for the same prefix, want the same", preferred, second)
	}
	owners[preferred].Running = 32
	if got := PickOwner(owners, 77, random); got == preferred {
		t.Errorf("got the full owner %d, want another", got)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, endpoints := range []int{2, 12, 16, 295, 5900} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			candidates := make([]Candidate, endpoints)
			for i := range candidates {
				candidates[i] = candidate(random.IntN(16))
			}
			b.ReportAllocs()
			for b.Loop() {
				Pick(start, candidates, 1000, random)
			}
		})
	}
}

func BenchmarkPickOwner(b *testing.B) {
	for _, daemons := range []int{8, 25, 500} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			owners := make([]OwnerLoad, daemons)
			for i := range owners {
				owners[i] = OwnerLoad{Hash: random.Uint64(), Slots: 192, Running: random.IntN(192)}
			}
			b.ReportAllocs()
			for i := uint64(1); b.Loop(); i++ {
				PickOwner(owners, i, random)
			}
		})
	}
}
