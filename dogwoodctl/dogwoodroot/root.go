// Package dogwoodroot registers the subcommands of dogwoodctl and runs the requested one.
package dogwoodroot

import (
	"context"
	"errors"
	"flag"

	"github.com/google/subcommands"

	"dogwoodmux.example/core/dogwoodsubcommand"
	"dogwoodmux.example/dogwoodctl/dogwoodburnview"
	"dogwoodmux.example/dogwoodctl/dogwoodcommand"
	"dogwoodmux.example/dogwoodctl/dogwoodconviction"
	"dogwoodmux.example/dogwoodctl/dogwoodexplain"
	"dogwoodmux.example/dogwoodctl/dogwoodfactory"
	"dogwoodmux.example/dogwoodctl/dogwoodplace"
	"dogwoodmux.example/dogwoodctl/dogwoodstatus"
	"dogwoodmux.example/dogwoodctl/dogwoodtext"
)

const program = "dogwoodctl"

// Run parses the arguments, runs the subcommand and returns the process's exit code.
func Run(ctx context.Context, factory *dogwoodfactory.Factory, arguments []string) int {
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.SetOutput(factory.Streams.Err)
	flags.StringVar(&factory.Addresses, "addresses", factory.Addresses, "administration `addresses` of some daemons, separated by commas (or "+dogwoodfactory.EnvironmentAddresses+")")
	flags.StringVar(&factory.KeyFile, "key-file", factory.KeyFile, "`file` that holds the administration key (or "+dogwoodfactory.EnvironmentKey+" holds it)")
	flags.StringVar(&factory.Author, "author", factory.Author, "`name` written beside a change")
	commander := newCommander(flags, factory)
	if err := flags.Parse(arguments); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return int(dogwoodcommand.ExitOK)
		}
		return int(dogwoodcommand.ExitUsage)
	}
	return int(commander.Execute(ctx))
}

func newCommander(flags *flag.FlagSet, factory *dogwoodfactory.Factory) *subcommands.Commander {
	commander := subcommands.NewCommander(flags, program)
	commander.Output = factory.Streams.Out
	commander.Error = factory.Streams.Err
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(dogwoodsubcommand.NewVersion(program, factory.Streams.Out, factory.Streams.Err), "")
	for _, command := range []subcommands.Command{
		dogwoodtext.NewShow(factory, nil),
		dogwoodtext.NewDiff(factory, nil),
		dogwoodtext.NewApply(factory, nil),
	} {
		commander.Register(command, "the text")
	}
	for _, command := range []subcommands.Command{
		dogwoodplace.NewTakeOut(factory, nil),
		dogwoodplace.NewBringBack(factory, nil),
	} {
		commander.Register(command, "places")
	}
	for _, command := range []subcommands.Command{
		dogwoodstatus.NewStatus(factory, nil),
		dogwoodstatus.NewEntry(factory, nil),
		dogwoodburnview.NewBurn(factory, nil),
		dogwoodconviction.NewConvictions(factory, nil),
		dogwoodexplain.NewExplain(factory, nil),
	} {
		commander.Register(command, "watching")
	}
	return commander
}
