package dogwoodsoakplan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// plannedKinds lists the kinds that only DrawPlanned draws.
var plannedKinds = []traits{
	{DaemonStoppedTwice, Daemon, 1, second / 2, 2 * second, second / 2},
	{ServiceBusy, Service, 1, second, 1300 * time.Millisecond, 0},
}

const (
	// waveInterval is the time between two waves of shutdowns: a grace period, a restart and the time until a daemon must keep all
	// its promises again.
	waveInterval = 12 * time.Second
	// waveSpan is the time after the first signal of a wave in which the endpoints of a service fall silent, busyPerWave how often.
	waveSpan    = 7500 * time.Millisecond
	busyPerWave = 3
	// maxSignalInterval bounds the time between two signals of a wave, maxChangeLead that from a change to the signal after it.
	maxSignalInterval = 1500 * time.Millisecond
	maxChangeLead     = second
	// cutOffDelay is the time from the beginning of a wave until some daemons are cut off, so that they are while others restart.
	cutOffDelay = 3 * time.Second
	// twiceShare is the share of the shutdowns in which a daemon is signalled twice.
	twiceShare = 0.3
)

// DrawPlanned returns the steps of the time in which nothing fails, in order of time: waves of shutdowns of up to half of the
// daemons in turn, some just after a change of the text or of their settings, while all endpoints of a service fall silent and the
// text changes now and then, and some daemons are cut off from the endpoints. All steps begin between from and until.
func DrawPlanned(seed uint64, shape Shape, from, until time.Duration) []Step {
	random, cutOffs := rand.New(rand.NewPCG(seed+3, seed)), rand.New(rand.NewPCG(seed+4, seed))
	var steps []Step
	for at := from + second; at+waveInterval <= until; at += waveInterval {
		steps = append(steps, drawWave(random, shape, at)...)
		steps = append(steps, drawCutOffs(cutOffs, shape, at+cutOffDelay)...)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// drawWave returns the steps of one wave, whose first signal is sent a second or less after from.
func drawWave(random *rand.Rand, shape Shape, from time.Duration) []Step {
	upTo := func(longest time.Duration) time.Duration { return time.Duration(random.Float64() * float64(longest)) }
	var steps []Step
	lead, signal := upTo(maxChangeLead), from+maxChangeLead
	change := []Kind{"", TextChanged, DaemonReloaded}[random.IntN(3)]
	if change == TextChanged {
		steps = append(steps, Step{At: signal - lead, Kind: change})
	}
	first := random.IntN(shape.Daemons)
	for number := range 1 + random.IntN(max(1, shape.Daemons/2)) {
		target := (first + number) % shape.Daemons
		if change == DaemonReloaded {
			steps = append(steps, Step{At: signal - lead, Kind: change, Target: target})
		}
		kind := DaemonStopped
		if random.Float64() < twiceShare {
			kind = DaemonStoppedTwice
		}
		steps = append(steps, Step{At: signal, For: second/2 + upTo(second), Kind: kind, Target: target})
		signal += upTo(maxSignalInterval)
	}
	steps = append(steps, Step{At: from + upTo(waveSpan), Kind: TextChanged})
	for range busyPerWave {
		busy := plannedKinds[1]
		steps = append(steps, Step{
			At: from + upTo(waveSpan), For: busy.minDuration + upTo(busy.maxDuration-busy.minDuration), Kind: ServiceBusy, Target: random.IntN(shape.Services),
		})
	}
	return steps
}

// drawCutOffs returns the steps that cut some daemons off from all endpoints, from a time on.
func drawCutOffs(random *rand.Rand, shape Shape, at time.Duration) []Step {
	const share = 4 // one in so many daemons at most
	cutOff := cutOffKinds[0]
	first := random.IntN(shape.Daemons)
	steps := make([]Step, 1+random.IntN(max(1, shape.Daemons/share)))
	for number := range steps {
		duration := cutOff.minDuration + time.Duration(random.Float64()*float64(cutOff.maxDuration-cutOff.minDuration))
		steps[number] = Step{At: at, For: duration, Kind: DaemonCutOff, Target: (first + number) % shape.Daemons}
	}
	return steps
}
