// Package dogwoodroot is the command line of dogwoodlocal.
package dogwoodroot

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/dogwoodlocal/dogwoodsite"
)

// The process's exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Factory holds the command's output streams and starts its site.
type Factory struct {
	Out io.Writer
	Err io.Writer
	// Start starts a site.
	Start func(ctx context.Context, options dogwoodsite.Options) (*dogwoodsite.Site, error)
}

// New returns a factory with the standard streams of the process.
func New() *Factory {
	return &Factory{Out: os.Stdout, Err: os.Stderr, Start: dogwoodsite.Start}
}

// Options are the flags and dependencies of the command.
type Options struct {
	Factory  *Factory
	Shape    string
	Daemons  int
	Policy   string
	LogLevel string
	Seed     uint64
}

// Run parses the arguments, runs the site until the context ends and returns the exit code.
func Run(ctx context.Context, factory *Factory, arguments []string) int {
	options := &Options{Factory: factory}
	flags := flag.NewFlagSet("dogwoodlocal", flag.ContinueOnError)
	flags.SetOutput(factory.Err)
	flags.StringVar(&options.Shape, "shape", dogwoodsite.Hinokuni, "`deployment` to start: hinokuni or laurentide")
	flags.IntVar(&options.Daemons, "daemons", 0, "how `many` daemons; 0 means six")
	flags.StringVar(&options.Policy, "policy", "", "empty, or Baseline for first come, first served")
	flags.StringVar(&options.LogLevel, "log", "warn", "`level` of the log: trace, debug, info, warn or error")
	flags.Uint64Var(&options.Seed, "seed", 1, "`seed` of the stand-ins' chances")
	if err := flags.Parse(arguments); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	if err := run(ctx, options); err != nil {
		_, _ = fmt.Fprintf(factory.Err, "dogwoodlocal: %v\n", err)
		return exitFailure
	}
	return exitOK
}

func run(ctx context.Context, options *Options) error {
	logger := hclog.New(&hclog.LoggerOptions{
		Name: "dogwoodlocal", Level: hclog.LevelFromString(options.LogLevel), Output: options.Factory.Err,
	})
	// The signal must not end the site's context, so that Close can shut the site down in order.
	site, err := options.Factory.Start(context.WithoutCancel(ctx), dogwoodsite.Options{
		Shape: options.Shape, Daemons: options.Daemons, Policy: options.Policy, Logger: logger, Seed: options.Seed,
	})
	if err != nil {
		return fmt.Errorf("starting: %w", err)
	}
	_, err = io.WriteString(options.Factory.Out, Banner(site))
	if err == nil {
		<-ctx.Done()
	}
	return errors.Join(err, site.Close(context.WithoutCancel(ctx)))
}
