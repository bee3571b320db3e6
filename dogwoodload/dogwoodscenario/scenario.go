// Package dogwoodscenario defines the load scenarios and runs them against a site in the same
// process. A scenario has a trace of requests and a list of steps, such as injected faults and
// changes by operators, that are carried out while the trace is sent.
package dogwoodscenario

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"dogwoodmux.example/dogwoodload/dogwoodtrace"
	"dogwoodmux.example/dogwoodlocal/dogwoodenginestandin"
	"dogwoodmux.example/dogwoodlocal/dogwoodsite"
)

// Error is the class of this package's errors.
var Error = errs.Class("scenario")

// Scenario is a trace of requests and the steps that are carried out while it is sent.
type Scenario struct {
	Name string
	// Description describes the scenario in one sentence.
	Description string
	// Shape is the name of the site's shape.
	Shape string
	// Spec adjusts the specification that the trace is drawn from; More returns arrivals to add.
	Spec func(spec *dogwoodtrace.Spec)
	More func(spec *dogwoodtrace.Spec) []dogwoodtrace.Arrival
	// Prepare enables faults before the trace starts.
	Prepare func(site *dogwoodsite.Site)
	// Steps are carried out while the trace is sent.
	Steps []Step
}

// Step is a change to the system at a time since the start of the trace.
type Step struct {
	At   time.Duration
	What string
	Do   func(ctx context.Context, execution *Execution) error
}

// Stand-in engines of all scenarios. They are small, so that one machine that also runs the daemons
// and callers can load them to their limits: 16 engines, each with four streams at 100 tokens a
// second, answer about 160 of the mixed requests a second.
const (
	engineBatch   = 4       // concurrent streams
	engineDecode  = 100     // tokens a second
	enginePrefill = 200_000 // tokens a second
	// capacity is the number of requests a second that the engines can answer together.
	capacity = 160.0
)

func engineOptions() dogwoodenginestandin.Options {
	return dogwoodenginestandin.Options{
		PrefillTokensPerSecond: enginePrefill,
		DecodeTokensPerSecond:  engineDecode,
		MaxBatch:               engineBatch,
	}
}

// traceDuration is short enough that a run, with warm-up, the last deadlines and leakWait, takes less
// than 40 s.
const traceDuration = 16 * time.Second

// promptClasses are the classes of prompts. Only 4 % of the prompts exceed 16,000 tokens, fewer than in
// a full-size system, because handling the bytes of more of them would saturate the machine.
var promptClasses = []dogwoodtrace.PromptClass{
	{Share: 0.60, FromTokens: 200, ToTokens: 1000, MaxTokens: 32, Deadline: 3 * time.Second},
	{Share: 0.26, FromTokens: 1001, ToTokens: 4000, MaxTokens: 48, Deadline: 4 * time.Second},
	{Share: 0.10, FromTokens: 4001, ToTokens: 16_000, MaxTokens: 64, Deadline: 5 * time.Second},
	{Share: 0.03, FromTokens: 16_001, ToTokens: 64_000, MaxTokens: 64, Deadline: 8 * time.Second},
	{Share: 0.008, FromTokens: 64_001, ToTokens: 256_000, MaxTokens: 64, Deadline: 10 * time.Second},
	{Share: 0.002, FromTokens: 256_001, ToTokens: 1_000_000, MaxTokens: 64, Deadline: 12 * time.Second},
}

// largeCustomerShares are the shares of the three largest customers; the others split the rest evenly.
var largeCustomerShares = []float64{0.25, 0.18, 0.12}

// baseSpec returns the specification of a steady load at half the capacity.
func baseSpec(shape *dogwoodsite.Shape, seed uint64) *dogwoodtrace.Spec {
	spec := &dogwoodtrace.Spec{
		Seed:               seed,
		Duration:           traceDuration,
		Rate:               capacity / 2,
		Engines:            shape.Pool,
		Model:              shape.Model,
		Plain:              shape.Plain,
		PromptClasses:      promptClasses,
		LookupShare:        0.08,
		HoldShare:          0.06,
		DuplicateHoldShare: 0.1,
		PlainDeadline:      2 * time.Second,
		Prefixes:           20,
		PrefixTokens:       512,
		PrefixShare:        0.5,
	}
	rest := 1.0
	for i, customer := range shape.Customers {
		share := rest / float64(len(shape.Customers)-i)
		if i < len(largeCustomerShares) {
			share = largeCustomerShares[i]
		}
		rest -= share
		spec.TrafficShares = append(spec.TrafficShares, dogwoodtrace.TrafficShare{Customer: customer, Share: share})
	}
	return spec
}

// Trace draws the scenario's trace.
func (scenario *Scenario) Trace(seed uint64) (*dogwoodtrace.Trace, error) {
	shape, err := dogwoodsite.ShapeOf(scenario.Shape)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	spec := baseSpec(&shape, seed)
	if scenario.Spec != nil {
		scenario.Spec(spec)
	}
	trace := dogwoodtrace.Draw(spec)
	if scenario.More != nil {
		trace.Arrivals = append(trace.Arrivals, scenario.More(spec)...)
		trace.Sort()
	}
	return trace, Error.Wrap(trace.Check())
}

// Find returns a scenario by its name.
func Find(name string) (*Scenario, error) {
	for i := range scenarios {
		if scenarios[i].Name == name {
			return &scenarios[i], nil
		}
	}
	return nil, Error.New("no scenario %q; there are %v", name, Names())
}

// Names returns the names of all scenarios.
func Names() []string {
	names := make([]string, len(scenarios))
	for i := range scenarios {
		names[i] = scenarios[i].Name
	}
	return names
}
