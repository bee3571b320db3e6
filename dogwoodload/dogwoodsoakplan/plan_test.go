package dogwoodsoakplan

import (
	"slices"
	"testing"
	"time"
)

var shape = Shape{Daemons: 10, Endpoints: 4, Keys: 3, DataCentres: 3}

const (
	from  = 4 * time.Second
	until = 40 * time.Second
)

// A seed that found something must find it again: the same steps, whatever else has run.
func TestASeedGivesTheSameSteps(t *testing.T) {
	for seed := range uint64(20) {
		got, want := Draw(seed, shape, from, until), Draw(seed, shape, from, until)
		if !slices.Equal(got, want) {
			t.Errorf("seed %d: got %v, then %v", seed, got, want)
		}
		if other := Draw(seed+1, shape, from, until); slices.Equal(got, other) {
			t.Errorf("seeds %d and %d: got the same steps", seed, seed+1)
		}
	}
}

// Callers must have time to recover after the last step, and each step needs somebody to be done to.
func TestStepsKeepToTheirTimesAndTargets(t *testing.T) {
	drawn := map[Kind]bool{}
	for seed := range uint64(200) {
		steps := Draw(seed, shape, from, until)
		for i, step := range steps {
			drawn[step.Kind] = true
			if step.At < from || step.At+step.For > until {
				t.Errorf("seed %d: %+v is not between %s and %s", seed, step, from, until)
			}
			if most := shape.count(SubjectOf(step.Kind)); step.Target < 0 || step.Target >= most {
				t.Errorf("seed %d: %+v has a target beyond %d", seed, step, most)
			}
			if i > 0 && step.At < steps[i-1].At {
				t.Errorf("seed %d: %+v comes after %+v", seed, step, steps[i-1])
			}
		}
	}
	for _, each := range slices.Concat(kinds, busy) {
		if !drawn[each.kind] {
			t.Errorf("no seed of 200 draws %s", each.kind)
		}
	}
}

// Some steps overlap in time and some hit several daemons one after the other.
func TestStepsOverlapAndComeInSeries(t *testing.T) {
	overlaps, series := 0, 0
	for seed := range uint64(20) {
		steps := Draw(seed, shape, from, until)
		for i := 1; i < len(steps); i++ {
			before := steps[i-1]
			if before.At+before.For > steps[i].At {
				overlaps++
			}
			if before.Kind == steps[i].Kind && before.For == steps[i].For && before.Target != steps[i].Target {
				series++
			}
		}
	}
	if overlaps < 20 || series < 20 {
		t.Errorf("got %d overlaps and %d in series in 20 seeds, want one a seed at least", overlaps, series)
	}
}
