// Package dogwoodsoakplan draws the steps of a soak from a seed: which faults and changes occur, and when. It has no
// side effects; the same seed and shape give the same steps.
package dogwoodsoakplan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of fault or change that a step makes.
type Kind string

// The kinds of steps. The effect of a step with a duration ends after that duration.
const (
	// DaemonKilled kills a daemon's process and starts it again.
	DaemonKilled Kind = "DaemonKilled"
	// DaemonStopped shuts a daemon down gracefully and starts it again.
	DaemonStopped Kind = "DaemonStopped"
	// DaemonStoppedTwice shuts a daemon down gracefully and signals it once more meanwhile.
	DaemonStoppedTwice Kind = "DaemonStoppedTwice"
	// DaemonCutOff makes all connections of a daemon to endpoints fall silent, but not those of other daemons.
	DaemonCutOff Kind = "DaemonCutOff"
	// DaemonFrozen suspends a daemon's process for a while.
	DaemonFrozen Kind = "DaemonFrozen"
	// DaemonReloaded changes a daemon's settings file and signals the daemon to reload it.
	DaemonReloaded Kind = "DaemonReloaded"
	// StoreUnreachable resets a daemon's connections to the store and refuses new ones.
	StoreUnreachable Kind = "StoreUnreachable"
	// StoreMute makes a daemon's connections to the store fall silent without closing them.
	StoreMute Kind = "StoreMute"
	// StoreOneWay lets a daemon's queries reach the store but holds back the answers.
	StoreOneWay Kind = "StoreOneWay"
	// CallersReset resets the connections of a daemon's callers.
	CallersReset Kind = "CallersReset"
	// CallersMute makes the connections of a daemon's callers fall silent.
	CallersMute Kind = "CallersMute"
	// EndpointKilled kills an endpoint's process and starts it again, cold.
	EndpointKilled Kind = "EndpointKilled"
	// EndpointReplaced shuts an endpoint down gracefully and starts a new one.
	EndpointReplaced Kind = "EndpointReplaced"
	// EndpointFrozen suspends an endpoint's process for a while.
	EndpointFrozen Kind = "EndpointFrozen"
	// EndpointReset resets all connections to an endpoint once.
	EndpointReset Kind = "EndpointReset"
	// EndpointMute makes the connections to an endpoint fall silent.
	EndpointMute Kind = "EndpointMute"
	// EndpointOneWay lets requests reach an endpoint but holds back the answers.
	EndpointOneWay Kind = "EndpointOneWay"
	// EndpointSlow delays all data on an endpoint's connections.
	EndpointSlow Kind = "EndpointSlow"
	// EndpointBusy makes an endpoint send nothing for a while and then continue, which doesn't count as a fault.
	EndpointBusy Kind = "EndpointBusy"
	// ServiceBusy makes all endpoints of a service busy at once, which doesn't count as a fault.
	ServiceBusy Kind = "ServiceBusy"
	// EndpointLimited makes an endpoint name a limit in its answers, change it halfway and take it back.
	EndpointLimited Kind = "EndpointLimited"
	// EndpointBacksOff makes an endpoint turn requests away and ask for a back-off.
	EndpointBacksOff Kind = "EndpointBacksOff"
	// EndpointLeaves makes an endpoint say in its answers alone that it leaves, and then replaces it.
	EndpointLeaves Kind = "EndpointLeaves"
	// ServiceBacksOff makes all endpoints of a service turn requests away and ask for a back-off, ServiceSheds without asking for it.
	ServiceBacksOff Kind = "ServiceBacksOff"
	ServiceSheds    Kind = "ServiceSheds"
	// EndpointGarbles makes an endpoint spoil some of its answers: it breaks off, or sends bytes that are no answer, some without end.
	EndpointGarbles Kind = "EndpointGarbles"
	// EntryLapsed removes an endpoint's entry and restores it after the duration.
	EntryLapsed Kind = "EntryLapsed"
	// CrashingCalls makes callers send copies of a request that crashes each endpoint that runs it.
	CrashingCalls Kind = "CrashingCalls"
	// StoreDown, StoreSilent, StoreSlow and StoreLosing are faults of the store that affect all daemons.
	StoreDown   Kind = "StoreDown"
	StoreSilent Kind = "StoreSilent"
	StoreSlow   Kind = "StoreSlow"
	StoreLosing Kind = "StoreLosing"
	// StoreForgets drops the store's history.
	StoreForgets Kind = "StoreForgets"
	// TextChanged publishes a new version of the operators' text.
	TextChanged Kind = "TextChanged"
	// KeyWithdrawn withdraws a customer's key and restores it after the duration.
	KeyWithdrawn Kind = "KeyWithdrawn"
	// SlowCallers makes further callers send large requests and read the answers slowly, or stop reading for a while.
	SlowCallers Kind = "SlowCallers"
	// SlowBodies makes an endpoint read the bodies of requests slowly.
	SlowBodies Kind = "SlowBodies"
	// HotCustomer makes a customer send many times as much as the others and repeat at once what is refused.
	HotCustomer Kind = "HotCustomer"
	// RanksDiffer publishes a text with ranks of routes and customers that differ, and restores the one without.
	RanksDiffer Kind = "RanksDiffer"
	// CrowdComes makes clients that keep to no limits connect to all listeners of a daemon.
	CrowdComes Kind = "CrowdComes"
	// TakenOut takes a data centre out of service and brings it back after the duration.
	TakenOut Kind = "TakenOut"
)

// Subject is what a kind of step acts on.
type Subject int

// The subjects.
const (
	Daemon Subject = iota
	Endpoint
	Store
	Key
	DataCentre
	Callers
	Service
)

// traits hold how often a kind is drawn, what it acts on and how long it lasts.
type traits struct {
	kind                     Kind
	subject                  Subject
	weight                   int
	minDuration, maxDuration time.Duration
	// seriesInterval is the time between two steps of a series; 0 if the kind never occurs in a series.
	seriesInterval time.Duration
}

const second = time.Second

// kinds lists all kinds but those in the lists below. Many ranges of durations include the daemons' bounds of 4 and 5
// seconds, so that some steps end before these bounds and some after.
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

// busyKinds lists the kinds that are drawn independently of kinds.
var busyKinds = []traits{
	{EndpointBusy, Endpoint, 1, second, 3 * second, second / 10},
}

// crashKinds lists the kinds that are drawn independently of kinds and busyKinds.
var crashKinds = []traits{
	{CrashingCalls, Callers, 1, 4 * second, 10 * second, 0},
}

// limitKinds lists the kinds that are drawn independently of all others.
var limitKinds = []traits{
	{EndpointLimited, Endpoint, 1, 8 * second, 14 * second, second},
}

// backoffKinds lists the kinds that are drawn independently of all others.
var backoffKinds = []traits{
	{EndpointBacksOff, Endpoint, 3, 2 * second, 5 * second, second / 4},
	{EndpointLeaves, Endpoint, 2, 4 * second, 7 * second, 0},
	{ServiceBacksOff, Service, 1, 2 * second, 4 * second, 0},
	{ServiceSheds, Service, 2, 2 * second, 5 * second, 0},
}

// garbleKinds lists the kinds that DrawGarbles draws, from a random source of their own.
var garbleKinds = []traits{
	{EndpointGarbles, Endpoint, 1, 3 * second, 6 * second, second},
}

// cutOffKinds lists the kinds that DrawCutOffs draws, from a random source of their own.
var cutOffKinds = []traits{
	{DaemonCutOff, Daemon, 2, 5 * second, 8 * second, second},
	{TextChanged, Store, 3, 0, 0, 0},
}

// crowdKinds lists the kinds that DrawCrowds draws, from a random source of their own.
var crowdKinds = []traits{
	{CrowdComes, Daemon, 1, 2 * second, 4 * second, second},
}

// loadKinds lists the kinds that change the load. They are drawn by DrawLoads, independently of all others, so that the faults of
// a seed stay as they were before there were such kinds.
var loadKinds = []traits{
	{SlowCallers, Callers, 3, 4 * second, 8 * second, 0},
	{SlowBodies, Endpoint, 2, 3 * second, 6 * second, second},
	{HotCustomer, Key, 3, 6 * second, 10 * second, 0},
	{RanksDiffer, Key, 3, 8 * second, 12 * second, 0},
}

// calmKinds lists the kinds of loads that also occur after the last fault, where a check can tell that nothing else is wrong.
var calmKinds = []Kind{SlowCallers, HotCustomer, RanksDiffer}

// Shape holds the number of subjects of each type.
type Shape struct {
	Daemons, Endpoints, Keys, DataCentres, Services int
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
	case Service:
		return shape.Services
	default:
		return 1
	}
}

// Step is one fault or change.
type Step struct {
	At  time.Duration
	For time.Duration
	// Kind is the kind of the step, Target the number of the subject that it acts on.
	Kind   Kind
	Target int
}

const (
	// stepInterval is the mean time between two draws. Many steps last longer, so that they overlap.
	stepInterval = 1500 * time.Millisecond
	// seriesShare is the share of the draws that make a series, which acts on several subjects one after another.
	seriesShare = 0.25
	// maxSeries bounds the number of steps in a series.
	maxSeries = 4
	// busyInterval and busySeriesShare correspond to stepInterval and seriesShare for busyKinds.
	busyInterval    = 4 * time.Second
	busySeriesShare = 0.5
	// crashInterval corresponds to stepInterval for crashKinds.
	crashInterval = 15 * time.Second
	// limitInterval and limitSeriesShare correspond to stepInterval and seriesShare for limitKinds.
	limitInterval    = 10 * time.Second
	limitSeriesShare = 0.25
	// backoffInterval and backoffSeriesShare correspond to stepInterval and seriesShare for backoffKinds.
	backoffInterval    = 8 * time.Second
	backoffSeriesShare = 0.25
	// loadInterval and loadSeriesShare correspond to stepInterval and seriesShare for loadKinds.
	loadInterval    = 2500 * time.Millisecond
	loadSeriesShare = 0.25
	// garbleInterval and garbleSeriesShare correspond to stepInterval and seriesShare for garbleKinds.
	garbleInterval    = 6 * time.Second
	garbleSeriesShare = 0.5
	// cutOffInterval and cutOffSeriesShare correspond to stepInterval and seriesShare for cutOffKinds.
	cutOffInterval    = 3 * time.Second
	cutOffSeriesShare = 0.25
	// crowdInterval and crowdSeriesShare correspond to stepInterval and seriesShare for crowdKinds.
	crowdInterval    = 8 * time.Second
	crowdSeriesShare = 0.25
	// calmShare is the probability of each of calmKinds after the last fault.
	calmShare = 0.7
)

// Draw returns the steps of a seed in order of time. All of them start and end between from and until.
func Draw(seed uint64, shape Shape, from, until time.Duration) []Step {
	faults := sequence{rand.New(rand.NewPCG(seed, seed)), kinds, stepInterval, seriesShare}
	pauses := sequence{rand.New(rand.NewPCG(seed, ^seed)), busyKinds, busyInterval, busySeriesShare}
	crashes := sequence{rand.New(rand.NewPCG(^seed, seed)), crashKinds, crashInterval, 0}
	limits := sequence{rand.New(rand.NewPCG(^seed, ^seed)), limitKinds, limitInterval, limitSeriesShare}
	backoffs := sequence{rand.New(rand.NewPCG(seed, seed+1)), backoffKinds, backoffInterval, backoffSeriesShare}
	var steps []Step
	for _, sequence := range []sequence{faults, pauses, crashes, limits, backoffs} {
		steps = append(steps, sequence.draw(shape, from, until)...)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// DrawGarbles returns the times at which endpoints spoil answers, in order of time. All of them start and end between from and until.
func DrawGarbles(seed uint64, shape Shape, from, until time.Duration) []Step {
	garbles := sequence{rand.New(rand.NewPCG(seed+2, seed)), garbleKinds, garbleInterval, garbleSeriesShare}
	steps := garbles.draw(shape, from, until)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// DrawCutOffs returns the times at which daemons are cut off from all endpoints and texts change, so that requests are forwarded to
// daemons that have faults, in order of time. All of them start and end between from and until.
func DrawCutOffs(seed uint64, shape Shape, from, until time.Duration) []Step {
	cutOffs := sequence{rand.New(rand.NewPCG(seed+5, seed)), cutOffKinds, cutOffInterval, cutOffSeriesShare}
	steps := cutOffs.draw(shape, from, until)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// DrawCrowds returns the times at which clients that keep to no limits come, in order of time. All of them start and end between from and
// until.
func DrawCrowds(seed uint64, shape Shape, from, until time.Duration) []Step {
	crowds := sequence{rand.New(rand.NewPCG(seed+7, seed)), crowdKinds, crowdInterval, crowdSeriesShare}
	steps := crowds.draw(shape, from, until)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// DrawLoads returns the changes of a seed's load in order of time. Those beside the faults start and end between from and calm,
// and those after the last fault between calm and until.
func DrawLoads(seed uint64, shape Shape, from, calm, until time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed+1, ^seed))
	loads := sequence{random, loadKinds, loadInterval, loadSeriesShare}
	steps := loads.draw(shape, from, calm)
	for _, kind := range calmKinds {
		at, target := calm+time.Duration(random.Float64()*float64(second)), random.IntN(shape.count(SubjectOf(kind)))
		if random.Float64() < calmShare && at < until {
			steps = append(steps, Step{At: at, For: until - at, Kind: kind, Target: target})
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// sequence draws steps independently of other sequences.
type sequence struct {
	random      *rand.Rand
	kinds       []traits
	interval    time.Duration
	seriesShare float64
}

func (sequence *sequence) draw(shape Shape, from, until time.Duration) []Step {
	random := sequence.random
	var steps []Step
	for at := from; at < until; at += time.Duration(random.ExpFloat64() * float64(sequence.interval)) {
		traits := pick(random, sequence.kinds)
		series := 1
		if traits.seriesInterval > 0 && random.Float64() < sequence.seriesShare {
			series = 2 + random.IntN(maxSeries-1)
		}
		first := random.IntN(shape.count(traits.subject))
		duration := traits.minDuration + time.Duration(random.Float64()*float64(traits.maxDuration-traits.minDuration))
		for number := range series {
			step := Step{
				At: at + time.Duration(number)*traits.seriesInterval, For: duration,
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
	for _, candidate := range kinds {
		sum += candidate.weight
	}
	drawn := random.IntN(sum)
	for _, candidate := range kinds {
		if drawn -= candidate.weight; drawn < 0 {
			return candidate
		}
	}
	return kinds[len(kinds)-1]
}

// SubjectOf returns what a kind of step acts on.
func SubjectOf(kind Kind) Subject {
	for _, candidate := range slices.Concat(kinds, busyKinds, crashKinds, limitKinds, backoffKinds, garbleKinds, loadKinds, cutOffKinds, crowdKinds, plannedKinds) {
		if candidate.kind == kind {
			return candidate.subject
		}
	}
	return Store
}
