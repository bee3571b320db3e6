// Package dogwoodburnview holds the subcommand that shows how fast the error budgets burn.
package dogwoodburnview

import (
	"context"
	"flag"
	"io"
	"os"

	"dogwoodmux.example/core/dogwoodsubcommand"

	"dogwoodmux.example/core/decision/dogwoodburn"
	"dogwoodmux.example/core/dogwoodburnreport"
	"dogwoodmux.example/dogwoodctl/dogwoodcommand"
	"dogwoodmux.example/dogwoodctl/dogwoodfactory"
)

// BurnOptions holds the flags and dependencies of burn.
type BurnOptions struct {
	Factory *dogwoodfactory.Factory
	JSON    bool
	// HTML is the file to which the HTML page is written. If it is empty, no page is written.
	HTML string
}

// NewBurn returns the subcommand that shows the burn rates of the error budgets. run
// replaces its implementation in tests; nil means the real one.
func NewBurn(factory *dogwoodfactory.Factory, run func(context.Context, *BurnOptions) error) *dogwoodsubcommand.Command {
	options := &BurnOptions{Factory: factory}
	if run == nil {
		run = runBurn
	}
	return dogwoodcommand.New(dogwoodsubcommand.Spec{
		Name:     "burn",
		Synopsis: "show how fast the error budgets burn, and why",
		Help: `Merges all daemons' counters and prints, for each objective of the text, the budget left,
the burn rate over several windows and the causes. A burn rate of 1 uses the budget up
just at the window's end. Daemons that do not answer are named.`,
		Examples: []string{"dogwoodctl burn", "dogwoodctl burn -html burn.html", "dogwoodctl burn -json"},
		SetFlags: func(flags *flag.FlagSet) {
			flags.BoolVar(&options.JSON, "json", false, "print JSON")
			flags.StringVar(&options.HTML, "html", "", "write a page with a plot to this `file`")
		},
		Run: func(ctx context.Context, arguments []string) error {
			if len(arguments) > 0 {
				return dogwoodsubcommand.NewUsageError("burn takes no arguments")
			}
			return run(ctx, options)
		},
		Err: factory.Streams.Err,
	})
}

func runBurn(ctx context.Context, options *BurnOptions) error {
	client, err := options.Factory.Client()
	if err != nil {
		return err
	}
	report, err := client.Burn(ctx)
	if err != nil {
		return err
	}
	if options.HTML != "" {
		if err := writeFile(options.HTML, &report); err != nil {
			return err
		}
	}
	if options.JSON {
		return dogwoodburnreport.JSON(options.Factory.Streams.Out, &report)
	}
	return dogwoodburnreport.Table(options.Factory.Streams.Out, &report)
}

func writeFile(name string, report *dogwoodburn.Report) (err error) {
	file, err := os.Create(name)
	if err != nil {
		return dogwoodsubcommand.NewUsageError("%v", err)
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	return dogwoodburnreport.HTML(io.Writer(file), report)
}
