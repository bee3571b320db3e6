// Package dogwoodroot registers the subcommands of dogwoodmuxd and runs the requested one.
package dogwoodroot

import (
	"context"
	"errors"
	"flag"

	"github.com/google/subcommands"

	"dogwoodmux.example/core/dogwoodsubcommand"
	"dogwoodmux.example/dogwoodmuxd/dogwoodcheck"
	"dogwoodmux.example/dogwoodmuxd/dogwoodfactory"
	"dogwoodmux.example/dogwoodmuxd/dogwoodserve"
)

const program = "dogwoodmuxd"

// Run parses the arguments, runs the subcommand and returns the process's exit code.
func Run(factory *dogwoodfactory.Factory, arguments []string) int {
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.SetOutput(factory.Err)
	commander := subcommands.NewCommander(flags, program)
	commander.Output = factory.Out
	commander.Error = factory.Err
	commander.Register(commander.HelpCommand(), "")
	commander.Register(dogwoodserve.New(factory, nil), "")
	commander.Register(dogwoodcheck.New(factory, nil), "")
	commander.Register(dogwoodsubcommand.NewVersion(program, factory.Out, factory.Err), "")
	if err := flags.Parse(arguments); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return int(subcommands.ExitSuccess)
		}
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(context.Background()))
}
