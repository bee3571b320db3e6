package dogwoodtrace

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
)

// PromptClass is a class of prompts. Their lengths are uniformly distributed between the bounds.
type PromptClass struct {
	Share                float64
	FromTokens, ToTokens int
	MaxTokens            int
	Deadline             time.Duration
	// Rank is the rank of its prompts, 0 for the most urgent.
	Rank int
}

// TrafficShare is a customer and its share of the requests.
type TrafficShare struct {
	Customer dogwoodfleet.Customer
	Share    float64
}

// Phase multiplies the request rate of one or all customers for a part of the run.
type Phase struct {
	From, To time.Duration
	Factor   float64
	// Customer is the customer whose rate changes; empty means all.
	Customer dogwoodfleet.Customer
	// PromptClasses replace those of the specification during the phase; nil keeps them.
	PromptClasses []PromptClass
}

// Spec specifies the trace to draw.
type Spec struct {
	Seed     uint64
	Duration time.Duration
	// Rate is the mean number of requests a second of all customers. Arrivals form a Poisson process.
	Rate          float64
	Phases        []Phase
	TrafficShares []TrafficShare
	Engines       dogwoodfleet.Service
	Model         dogwoodfleet.Model
	Plain         dogwoodfleet.Service
	PromptClasses []PromptClass
	// LookupShare and HoldShare are the shares of lookups and holds, which go to the plain service,
	// among all requests.
	LookupShare, HoldShare float64
	// PlainDeadline is the deadline of lookups and holds.
	PlainDeadline time.Duration
	// Prefixes is the number of shared prefixes; PrefixShare is the share of prompts that have one.
	Prefixes     int
	PrefixTokens int
	PrefixShare  float64
	// DuplicateHoldShare is the share of holds that the caller sends a second time with the same key.
	DuplicateHoldShare float64
	// Repeating is the customer that sends prompts again at once when they are refused; empty for none.
	Repeating dogwoodfleet.Customer
	// ReadPauseShare is the share of the prompts whose callers stop reading for ReadPause.
	ReadPauseShare float64
	ReadPause      time.Duration
}

// Draw draws the trace of a spec. Each customer has a separate random source, so that a change to one
// customer's rate doesn't change the requests of the others.
func Draw(spec *Spec) *Trace {
	var trace Trace
	for index, trafficShare := range spec.TrafficShares {
		random := rand.New(rand.NewPCG(spec.Seed, uint64(index)+1))
		trace.Arrivals = append(trace.Arrivals, spec.drawArrivals(trafficShare, random)...)
	}
	trace.Sort()
	for i := range trace.Arrivals {
		trace.Arrivals[i].LoadID = fmt.Sprintf("load-%06d", i)
	}
	return &trace
}

// Sort sorts the arrivals by time.
func (trace *Trace) Sort() {
	slices.SortStableFunc(trace.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
}

// Check returns an error unless every arrival has a unique LoadID. Outcomes are matched by LoadID to
// the runs of stand-ins.
func (trace *Trace) Check() error {
	seen := map[string]bool{}
	for i := range trace.Arrivals {
		id := trace.Arrivals[i].LoadID
		if id == "" || seen[id] {
			return Error.New("arrival %d has the LoadID %q, which is empty or a duplicate", i+1, id)
		}
		seen[id] = true
	}
	return nil
}

func (spec *Spec) drawArrivals(trafficShare TrafficShare, random *rand.Rand) []Arrival {
	var arrivals []Arrival
	holds := 0
	for at := time.Duration(0); ; {
		rate := spec.Rate * trafficShare.Share * spec.rateFactor(trafficShare.Customer, at)
		at += time.Duration(random.ExpFloat64() / max(rate, 1e-3) * float64(time.Second))
		if at >= spec.Duration {
			return arrivals
		}
		arrival := spec.drawArrival(random, at)
		arrival.At = dogwoodsettings.Duration(at)
		arrival.Customer = trafficShare.Customer
		arrival.RepeatsRefused = arrival.Kind == Chat && trafficShare.Customer == spec.Repeating
		if arrival.Kind == Hold {
			holds++
			arrival.Key = fmt.Sprintf("%s-%d-%d", trafficShare.Customer, spec.Seed, holds)
			if random.Float64() < spec.DuplicateHoldShare {
				duplicate := arrival
				duplicate.At += dogwoodsettings.Duration(random.Int64N(int64(2 * time.Second)))
				duplicate.At = min(duplicate.At, dogwoodsettings.Duration(spec.Duration-1))
				arrivals = append(arrivals, duplicate)
			}
		}
		arrivals = append(arrivals, arrival)
	}
}

// rateFactor returns the product of the factors of all phases that apply to a customer at a time.
func (spec *Spec) rateFactor(customer dogwoodfleet.Customer, at time.Duration) float64 {
	factor := 1.0
	for _, phase := range spec.Phases {
		if at >= phase.From && at < phase.To && (phase.Customer == "" || phase.Customer == customer) {
			factor *= phase.Factor
		}
	}
	return factor
}

func (spec *Spec) drawArrival(random *rand.Rand, at time.Duration) Arrival {
	drawn := random.Float64()
	if drawn < spec.LookupShare+spec.HoldShare {
		arrival := Arrival{Kind: Lookup, Service: spec.Plain, Deadline: dogwoodsettings.Duration(spec.PlainDeadline)}
		if drawn < spec.HoldShare {
			arrival.Kind = Hold
		}
		return arrival
	}
	class := spec.drawPromptClass(random, at)
	arrival := Arrival{
		Kind:         Chat,
		Service:      spec.Engines,
		Model:        spec.Model,
		PromptTokens: class.FromTokens + random.IntN(class.ToTokens-class.FromTokens+1),
		MaxTokens:    class.MaxTokens/2 + random.IntN(class.MaxTokens/2+1),
		Stream:       random.IntN(4) > 0,
		Deadline:     dogwoodsettings.Duration(class.Deadline),
		Rank:         class.Rank,
	}
	if spec.ReadPauseShare > 0 && random.Float64() < spec.ReadPauseShare {
		arrival.ReadPause, arrival.Stream = dogwoodsettings.Duration(spec.ReadPause), true
	}
	if spec.Prefixes > 0 && random.Float64() < spec.PrefixShare && arrival.PromptTokens > spec.PrefixTokens+minUniqueTokens {
		arrival.Prefix = 1 + random.IntN(spec.Prefixes)
		arrival.PrefixTokens = spec.PrefixTokens
	}
	return arrival
}

func (spec *Spec) drawPromptClass(random *rand.Rand, at time.Duration) PromptClass {
	classes := spec.PromptClasses
	for _, phase := range spec.Phases {
		if phase.PromptClasses != nil && at >= phase.From && at < phase.To {
			classes = phase.PromptClasses
		}
	}
	drawn := random.Float64()
	for _, class := range classes {
		if drawn < class.Share {
			return class
		}
		drawn -= class.Share
	}
	return classes[len(classes)-1]
}
