// Package dogwoodrecord implements the subcommand "record": it prints a scenario's trace in the format
// that "local -trace" reads.
package dogwoodrecord

import (
	"context"
	"flag"

	"dogwoodmux.example/core/dogwoodsubcommand"

	"dogwoodmux.example/dogwoodload/dogwoodfactory"
	"dogwoodmux.example/dogwoodload/dogwoodscenario"
	"dogwoodmux.example/dogwoodload/dogwoodtrace"
	"dogwoodmux.example/dogwoodload/dogwoodverb"
)

// Options are the flags and dependencies of the subcommand.
type Options struct {
	Factory *dogwoodfactory.Factory

	Scenario string
	Seed     uint64
}

// New returns the subcommand. Tests pass a replacement for run; nil means Run.
func New(factory *dogwoodfactory.Factory, run func(options *Options) error) *dogwoodsubcommand.Command {
	options := &Options{Factory: factory}
	if run == nil {
		run = Run
	}
	return dogwoodverb.New(dogwoodsubcommand.Spec{
		Name:      "record",
		Synopsis:  "print a scenario's trace",
		Arguments: "-scenario NAME [-seed N] > FILE",
		Help:      "Prints the arrivals, one JSON object a line.",
		SetFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&options.Scenario, "scenario", "mixed", "`name` of the scenario")
			flags.Uint64Var(&options.Seed, "seed", 1, "`number` that the trace is drawn from")
		},
		Run: func(context.Context, []string) error { return run(options) },
		Err: factory.Streams.Err,
	})
}

// Run draws and prints the trace.
func Run(options *Options) error {
	scenario, err := dogwoodscenario.Find(options.Scenario)
	if err != nil {
		return dogwoodverb.Error.Wrap(err)
	}
	trace, err := scenario.Trace(options.Seed)
	if err != nil {
		return dogwoodverb.Error.Wrap(err)
	}
	return dogwoodtrace.Write(options.Factory.Streams.Out, trace)
}
