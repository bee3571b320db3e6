// Package dogwoodcompare implements the subcommand "compare": it prints two results side by side.
package dogwoodcompare

import (
	"context"

	"dogwoodmux.example/core/dogwoodsubcommand"

	"dogwoodmux.example/dogwoodload/dogwoodfactory"
	"dogwoodmux.example/dogwoodload/dogwoodresult"
	"dogwoodmux.example/dogwoodload/dogwoodverb"
)

// Options are the arguments and dependencies of the subcommand.
type Options struct {
	Factory *dogwoodfactory.Factory

	First, Second string
}

// New returns the subcommand. Tests pass a replacement for run; nil means Run.
func New(factory *dogwoodfactory.Factory, run func(options *Options) error) *dogwoodsubcommand.Command {
	if run == nil {
		run = Run
	}
	return dogwoodverb.New(dogwoodsubcommand.Spec{
		Name:      "compare",
		Synopsis:  "show two results side by side",
		Arguments: "FIRST.json SECOND.json",
		Help:      "Shows each measure of both, and the second's ratio to the first.",
		Run: func(_ context.Context, arguments []string) error {
			if len(arguments) != 2 {
				return dogwoodsubcommand.NewUsageError("give two files")
			}
			return run(&Options{Factory: factory, First: arguments[0], Second: arguments[1]})
		},
		Err: factory.Streams.Err,
	})
}

// Run reads both files and prints the table.
func Run(options *Options) error {
	first, err := dogwoodverb.ReadResult(options.First)
	if err != nil {
		return err
	}
	second, err := dogwoodverb.ReadResult(options.Second)
	if err != nil {
		return err
	}
	return dogwoodresult.Compare(options.Factory.Streams.Out, first, second)
}
