// Package dogwoodroot registers the subcommands and runs the requested one.
package dogwoodroot

import (
	"context"
	"errors"
	"flag"

	"github.com/google/subcommands"

	"dogwoodmux.example/dogwoodload/dogwoodcompare"
	"dogwoodmux.example/dogwoodload/dogwoodfactory"
	"dogwoodmux.example/dogwoodload/dogwoodfleetrun"
	"dogwoodmux.example/dogwoodload/dogwoodlocalrun"
	"dogwoodmux.example/dogwoodload/dogwoodplot"
	"dogwoodmux.example/dogwoodload/dogwoodrecord"
	"dogwoodmux.example/dogwoodload/dogwoodsoak"
	"dogwoodmux.example/dogwoodload/dogwoodstandinrun"
	"dogwoodmux.example/dogwoodload/dogwoodsummary"
)

const program = "dogwoodload"

// Run parses the arguments, runs the subcommand and returns the exit code of the process.
func Run(ctx context.Context, factory *dogwoodfactory.Factory, arguments []string) int {
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.SetOutput(factory.Streams.Err)
	commander := subcommands.NewCommander(flags, program)
	commander.Output, commander.Error = factory.Streams.Out, factory.Streams.Err
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(dogwoodlocalrun.New(factory, nil), "")
	commander.Register(dogwoodfleetrun.New(factory, nil), "")
	commander.Register(dogwoodcompare.New(factory, nil), "")
	commander.Register(dogwoodplot.New(factory, nil), "")
	commander.Register(dogwoodrecord.New(factory, nil), "")
	commander.Register(dogwoodsummary.New(factory, nil), "")
	commander.Register(dogwoodsoak.New(factory, nil), "")
	commander.Register(dogwoodstandinrun.New(factory), "")
	if err := flags.Parse(arguments); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return int(subcommands.ExitSuccess)
		}
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}
