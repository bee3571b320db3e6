// Package dogwoodlocalrun implements the subcommand "local": it starts stand-ins and daemons in this
// process, runs one scenario against them and prints the result.
package dogwoodlocalrun

import (
	"context"
	"flag"
	"os"
	"strings"
	"time"

	"dogwoodmux.example/core/dogwoodsubcommand"

	"github.com/hashicorp/go-hclog"
	"github.com/schollz/progressbar/v3"

	"dogwoodmux.example/dogwoodload/dogwoodfactory"
	"dogwoodmux.example/dogwoodload/dogwoodresult"
	"dogwoodmux.example/dogwoodload/dogwoodscenario"
	"dogwoodmux.example/dogwoodload/dogwoodtrace"
	"dogwoodmux.example/dogwoodload/dogwoodverb"
)

// Options are the flags and dependencies of the subcommand.
type Options struct {
	Factory *dogwoodfactory.Factory

	Scenario string
	Seed     uint64
	Policy   string
	Daemons  int
	Trace    string
	JSON     bool
	Log      string
}

// New returns the subcommand. Tests pass a replacement for run; nil means Run.
func New(factory *dogwoodfactory.Factory, run func(ctx context.Context, options *Options) error) *dogwoodsubcommand.Command {
	options := &Options{Factory: factory}
	if run == nil {
		run = Run
	}
	return dogwoodverb.New(dogwoodsubcommand.Spec{
		Name:      "local",
		Synopsis:  "run a scenario against a site in this process",
		Arguments: "-scenario NAME [-seed N] [-policy product|baseline] [-json]",
		Help: "Starts stand-ins and daemons, sends the scenario's trace, breaks what the scenario breaks, and\n" +
			"reports what callers received and endpoints ran. Scenarios: " + strings.Join(dogwoodscenario.Names(), ", ") + ".",
		SetFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&options.Scenario, "scenario", "mixed", "`name` of the scenario")
			flags.Uint64Var(&options.Seed, "seed", 1, "`number` that the trace is drawn from")
			flags.StringVar(&options.Policy, "policy", dogwoodscenario.PolicyProduct, "product, or baseline for first come, first served with random choice")
			flags.IntVar(&options.Daemons, "daemons", 0, "`number` of daemons; 0 is the site's own")
			flags.StringVar(&options.Trace, "trace", "", "recorded trace in a `file`, instead of a drawn one")
			flags.BoolVar(&options.JSON, "json", false, "print one JSON object")
			flags.StringVar(&options.Log, "log", "", "`level` of the daemons' log on the error stream; empty is none")
		},
		Run: func(ctx context.Context, _ []string) error { return run(ctx, options) },
		Err: factory.Streams.Err,
	})
}

// Run runs the scenario and prints the result.
func Run(ctx context.Context, options *Options) error {
	scenario, err := dogwoodscenario.Find(options.Scenario)
	if err != nil {
		return dogwoodverb.Error.Wrap(err)
	}
	if options.Policy != dogwoodscenario.PolicyProduct && options.Policy != dogwoodscenario.PolicyBaseline {
		return dogwoodsubcommand.NewUsageError("no policy %q; there are product and baseline", options.Policy)
	}
	recorded, err := options.readTrace()
	if err != nil {
		return err
	}
	var bar *progressbar.ProgressBar
	result, err := dogwoodscenario.Run(ctx, dogwoodscenario.Options{
		Scenario: scenario,
		Seed:     options.Seed,
		Policy:   options.Policy,
		Daemons:  options.Daemons,
		Recorded: recorded,
		Logger:   options.logger(),
		Begin:    func(requests int) { bar = options.newProgressBar(requests) },
		Done:     func() { _ = bar.Add(1) }, // a failure to draw the bar must not abort the run
	})
	if err != nil {
		return dogwoodverb.Error.Wrap(err)
	}
	if options.JSON {
		return dogwoodresult.Write(options.Factory.Streams.Out, result)
	}
	return dogwoodresult.Table(options.Factory.Streams.Out, result)
}

func (options *Options) readTrace() (*dogwoodtrace.Trace, error) {
	if options.Trace == "" {
		return nil, nil //nolint:nilnil // nil means that no recorded trace is used
	}
	file, err := os.Open(options.Trace)
	if err != nil {
		return nil, dogwoodverb.Error.Wrap(err)
	}
	defer func() { _ = file.Close() }() // read only, so no data is lost
	trace, err := dogwoodtrace.Read(file)
	return trace, dogwoodverb.Error.Wrap(err)
}

func (options *Options) logger() hclog.Logger {
	if options.Log == "" {
		return hclog.NewNullLogger()
	}
	return hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(options.Log), Output: options.Factory.Streams.Err})
}

// barRedrawInterval is the minimum time between redraws of the progress bar.
const barRedrawInterval = 200 * time.Millisecond

func (options *Options) newProgressBar(requests int) *progressbar.ProgressBar {
	return progressbar.NewOptions(requests,
		progressbar.OptionSetWriter(options.Factory.Streams.Err),
		progressbar.OptionSetVisibility(options.Factory.Streams.Progress),
		progressbar.OptionSetDescription(options.Scenario+" "+options.Policy),
		progressbar.OptionShowCount(),
		progressbar.OptionThrottle(barRedrawInterval),
		progressbar.OptionClearOnFinish(),
	)
}
