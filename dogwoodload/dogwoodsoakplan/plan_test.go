package dogwoodsoakplan

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"
)

var shape = Shape{Daemons: 10, Endpoints: 4, Keys: 3, DataCentres: 3, Services: 2}

const (
	from  = 4 * time.Second
	until = 40 * time.Second
)

// A finding must be reproducible from its seed: the same seed gives the same steps, whatever has run before.
func TestDrawIsDeterministic(t *testing.T) {
	for seed := range uint64(20) {
		got, want := Draw(seed, shape, from, until), Draw(seed, shape, from, until)
		if !slices.Equal(got, want) {
			t.Errorf("seed %d: got %v, then %v", seed, got, want)
		}
		if !slices.Equal(DrawPlanned(seed, shape, from, until), DrawPlanned(seed, shape, from, until)) {
			t.Errorf("seed %d: got other planned steps the second time", seed)
		}
		if other := Draw(seed+1, shape, from, until); slices.Equal(got, other) {
			t.Errorf("seeds %d and %d: got the same steps", seed, seed+1)
		}
	}
}

// All steps must end by until, so that time to recover remains, and each step needs an existing target.
func TestStepTimesAndTargets(t *testing.T) {
	drawn := map[Kind]bool{}
	for seed := range uint64(200) {
		garbles := DrawGarbles(seed, shape, from, until)
		steps := slices.Concat(Draw(seed, shape, from, until), garbles, DrawCutOffs(seed, shape, from, until), DrawCrowds(seed, shape, from, until), DrawLoads(seed, shape, from, until-20*time.Second, until))
		slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
		for i, step := range steps {
			drawn[step.Kind] = true
			if step.At < from || step.At+step.For > until {
				t.Errorf("seed %d: %+v is not between %s and %s", seed, step, from, until)
			}
			if count := shape.count(SubjectOf(step.Kind)); step.Target < 0 || step.Target >= count {
				t.Errorf("seed %d: %+v has a target beyond %d", seed, step, count)
			}
			if i > 0 && step.At < steps[i-1].At {
				t.Errorf("seed %d: %+v comes after %+v", seed, step, steps[i-1])
			}
		}
	}
	for seed := range uint64(20) {
		planned := DrawPlanned(seed, shape, from, until)
		for i, step := range planned {
			drawn[step.Kind] = true
			if step.At < from || step.At+waveSpan > until || step.Target < 0 || step.Target >= shape.count(SubjectOf(step.Kind)) || i > 0 && step.At < planned[i-1].At {
				t.Errorf("seed %d: %+v is not between %s and %s, has no target or comes too late", seed, step, from, until)
			}
		}
	}
	for _, candidate := range slices.Concat(kinds, busyKinds, crashKinds, limitKinds, backoffKinds, garbleKinds, loadKinds, cutOffKinds, crowdKinds, plannedKinds) {
		if !drawn[candidate.kind] {
			t.Errorf("no seed of 200 draws %s", candidate.kind)
		}
	}
}

// Guards against a change of the faults that the seeds listed in docs/SOAK.md stand for, which would make them other seeds. The
// sum is that of the code before there were loads.
func TestDrawnFaultsStay(t *testing.T) {
	sum := fnv.New64a()
	for seed := range uint64(100) {
		_, _ = fmt.Fprint(sum, Draw(seed, shape, from, until))
	}
	if got, want := sum.Sum64(), uint64(6955873069943468984); got != want {
		t.Errorf("got sum %d of the steps, want %d", got, want)
	}
}

// Some steps overlap in time and some form series that act on several subjects one after another.
func TestStepsOverlapAndFormSeries(t *testing.T) {
	overlaps, series := 0, 0
	for seed := range uint64(20) {
		steps := Draw(seed, shape, from, until)
		for i := 1; i < len(steps); i++ {
			previous := steps[i-1]
			if previous.At+previous.For > steps[i].At {
				overlaps++
			}
			if previous.Kind == steps[i].Kind && previous.For == steps[i].For && previous.Target != steps[i].Target {
				series++
			}
		}
	}
	if overlaps < 20 || series < 20 {
		t.Errorf("got %d overlaps and %d in series in 20 seeds, want one a seed at least", overlaps, series)
	}
}
