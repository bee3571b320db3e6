// Package dogwoodsoakplan draws from a seed what breaks in a soak, and when. It touches nothing; the
// same seed and shape give the same steps.
package dogwoodsoakplan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what a step does.
type Kind string

// The kinds of steps. Those that last end after the step's duration.
const (
	// DaemonKilled kills a daemon's process and starts it again.
	DaemonKilled Kind = "DaemonKilled"
	// DaemonStopped shuts a daemon down gracefully and starts it again.
	DaemonStopped Kind = "DaemonStopped"
	// DaemonFrozen has a daemon's process get no processor for a while.
	DaemonFrozen Kind = "DaemonFrozen"
	// DaemonReloaded changes a daemon's settings file and signals that.
	DaemonReloaded Kind = "DaemonReloaded"
	// StoreUnreachable breaks the connections between a daemon and the store, and new ones.
	StoreUnreachable Kind = "StoreUnreachable"
	// StoreMute has a daemon's connections to the store go silent, without being closed.
	StoreMute Kind = "StoreMute"
	// StoreOneWay has questions arrive at the store and no answer come back.
	StoreOneWay Kind = "StoreOneWay"
	// CallersReset breaks the connections of a daemon's callers.
	CallersReset Kind = "CallersReset"
	// CallersMute has the connections of a daemon's callers go silent.
	CallersMute Kind = "CallersMute"
	// EndpointKilled kills an endpoint's process and starts it again, cold.
	EndpointKilled Kind = "EndpointKilled"
	// EndpointReplaced has an endpoint leave in order, and a new one come.
	EndpointReplaced Kind = "EndpointReplaced"
	// EndpointFrozen has an endpoint's process get no processor for a while.
	EndpointFrozen Kind = "EndpointFrozen"
	// EndpointReset breaks all connections to an endpoint once.
	EndpointReset Kind = "EndpointReset"
	// EndpointMute has the connections to an endpoint go silent.
	EndpointMute Kind = "EndpointMute"
	// EndpointOneWay has requests arrive at an endpoint and no answer come back.
	EndpointOneWay Kind = "EndpointOneWay"
	// EndpointSlow delays all that an endpoint's connections carry.
	EndpointSlow Kind = "EndpointSlow"
	// EndpointBusy has an endpoint write nothing for a while and then go on; that is no fault.
	EndpointBusy Kind = "EndpointBusy"
	// EntryLapsed removes an endpoint's entry and has it back after the duration.
	EntryLapsed Kind = "EntryLapsed"
	// StoreDown, StoreSilent, StoreSlow and StoreLosing are faults of the store for all.
	StoreDown   Kind = "StoreDown"
	StoreSilent Kind = "StoreSilent"
	StoreSlow   Kind = "StoreSlow"
	StoreLosing Kind = "StoreLosing"
	// StoreForgets drops the store's history.
	StoreForgets Kind = "StoreForgets"
	// TextChanged publishes a new version of the operators' text.
	TextChanged Kind = "TextChanged"
	// KeyWithdrawn takes a customer's key away and gives it back after the duration.
	KeyWithdrawn Kind = "KeyWithdrawn"
	// TakenOut takes a data centre out and brings it back after the duration.
	TakenOut Kind = "TakenOut"
)

// Subject is what a kind of step is done to.
type Subject int

// The subjects.
const (
	Daemon Subject = iota
	Endpoint
	Store
	Key
	DataCentre
)

// traits say how often a kind is drawn, on what, and how long it lasts.
type traits struct {
	kind        Kind
	subject     Subject
	weight      int
	least, most time.Duration
	// apart is the time between two steps of a series; 0 if the kind comes alone.
	apart time.Duration
}

const second = time.Second

// kinds lists all kinds. Times go beyond the bounds of 4 and 5 seconds that daemons keep, so that
// some steps are over before these and some after.
var kinds = []traits{
	{DaemonKilled, Daemon, 6, second / 2, 3 * second, second / 2},
	{DaemonStopped, Daemon, 6, second / 2, 2 * second, second},
	{DaemonFrozen, Daemon, 5, second / 2, 7 * second, second},
	{DaemonReloaded, Daemon, 2, 0, 0, second / 2},
	{StoreUnreachable, Daemon, 4, second, 8 * second, second},
	{StoreMute, Daemon, 4, second, 8 * second, second},
	{StoreOneWay, Daemon, 3, second, 8 * second, second},
	{CallersReset, Daemon, 3, 0, 0, second / 4},
	{CallersMute, Daemon, 2, second, 4 * second, second},
	{EndpointKilled, Endpoint, 6, second / 2, 3 * second, second},
	{EndpointReplaced, Endpoint, 4, 0, 0, 2 * second},
	{EndpointFrozen, Endpoint, 3, second / 2, 5 * second, second},
	{EndpointReset, Endpoint, 4, 0, 0, second / 4},
	{EndpointMute, Endpoint, 3, second, 5 * second, second},
	{EndpointOneWay, Endpoint, 3, second, 4 * second, second},
	{EndpointSlow, Endpoint, 3, second, 5 * second, second},
	{EntryLapsed, Endpoint, 3, second / 2, 3 * second, second},
	{StoreDown, Store, 3, second / 2, 8 * second, 0},
	{StoreSilent, Store, 3, second / 2, 8 * second, 0},
	{StoreSlow, Store, 3, second, 6 * second, 0},
	{StoreLosing, Store, 2, second / 2, 2 * second, 0},
	{StoreForgets, Store, 3, 0, 0, 0},
	{TextChanged, Store, 4, 0, 0, second / 4},
	{KeyWithdrawn, Key, 4, 7 * second, 12 * second, 0},
	{TakenOut, DataCentre, 2, 6 * second, 10 * second, 0},
}

// busy is drawn beside the others.
var busy = []traits{
	{EndpointBusy, Endpoint, 1, second, 3 * second, second / 10},
}

// Shape is how much there is to break.
type Shape struct {
	Daemons, Endpoints, Keys, DataCentres int
}

func (shape Shape) count(subject Subject) int {
	switch subject {
	case Daemon:
		return shape.Daemons
	case Endpoint:
		return shape.Endpoints
	case Key:
		return shape.Keys
	case DataCentre:
		return shape.DataCentres
	default:
		return 1
	}
}

// Step is one thing that breaks.
type Step struct {
	At  time.Duration
	For time.Duration
	// Kind is done to the subject of that number.
	Kind   Kind
	Target int
}

const (
	// stepEvery is the mean time between two draws. Many steps last longer, so that they overlap.
	stepEvery = 1500 * time.Millisecond
	// seriesShare is the part of the draws that hit several subjects one after the other.
	seriesShare = 0.25
	// seriesMost bounds such a series.
	seriesMost = 4
	// busyEvery and busySeriesShare are the same for endpoints that are busy.
	busyEvery       = 4 * time.Second
	busySeriesShare = 0.5
)

// Draw returns the steps of a seed in their order, all of them over by the end.
func Draw(seed uint64, shape Shape, from, until time.Duration) []Step {
	faults := sequence{rand.New(rand.NewPCG(seed, seed)), kinds, stepEvery, seriesShare}
	pauses := sequence{rand.New(rand.NewPCG(seed, ^seed)), busy, busyEvery, busySeriesShare}
	steps := append(faults.draw(shape, from, until), pauses.draw(shape, from, until)...)
	slices.SortStableFunc(steps, func(one, other Step) int { return cmp.Compare(one.At, other.At) })
	return steps
}

// sequence draws steps independently of others.
type sequence struct {
	random      *rand.Rand
	kinds       []traits
	every       time.Duration
	seriesShare float64
}

func (sequence *sequence) draw(shape Shape, from, until time.Duration) []Step {
	random := sequence.random
	var steps []Step
	for at := from; at < until; at += time.Duration(random.ExpFloat64() * float64(sequence.every)) {
		traits := pick(random, sequence.kinds)
		series := 1
		if traits.apart > 0 && random.Float64() < sequence.seriesShare {
			series = 2 + random.IntN(seriesMost-1)
		}
		first := random.IntN(shape.count(traits.subject))
		lasts := traits.least + time.Duration(random.Float64()*float64(traits.most-traits.least))
		for number := range series {
			step := Step{
				At: at + time.Duration(number)*traits.apart, For: lasts,
				Kind: traits.kind, Target: (first + number) % shape.count(traits.subject),
			}
			if step.At+step.For <= until {
				steps = append(steps, step)
			}
		}
	}
	return steps
}

func pick(random *rand.Rand, kinds []traits) traits {
	sum := 0
	for _, each := range kinds {
		sum += each.weight
	}
	drawn := random.IntN(sum)
	for _, each := range kinds {
		if drawn -= each.weight; drawn < 0 {
			return each
		}
	}
	return kinds[len(kinds)-1]
}

// SubjectOf returns what a kind is done to.
func SubjectOf(kind Kind) Subject {
	for _, each := range slices.Concat(kinds, busy) {
		if each.kind == kind {
			return each.subject
		}
	}
	return Store
}
