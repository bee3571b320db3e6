// Package dogwoodsoak is the subcommand "soak": it runs the real daemon in separate processes against stand-ins
// of the users' platform, injects faults that are drawn from a seed, and checks the daemons' promises using what
// callers and endpoints recorded.
package dogwoodsoak

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/dogwoodsubcommand"
	"dogwoodmux.example/dogwoodload/dogwoodfactory"
	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/dogwoodload/dogwoodsoakplan"
	"dogwoodmux.example/dogwoodload/dogwoodverb"
)

// Options are the flags and dependencies of the subcommand.
type Options struct {
	Factory *dogwoodfactory.Factory

	Seed uint64
	For  time.Duration
	// Processes is the number of processes that run at once: the store, endpoints and daemons.
	Processes int
	// Keep is the directory for logs. If it is empty, they are removed after a soak without findings.
	Keep string
	// Daemon and Standin are the paths of the programs. If they are empty, the daemon is built and this program is
	// the stand-in.
	Daemon, Standin string
	JSON            bool

	// steps replace the steps that are drawn from the seed, in tests of single faults.
	steps []dogwoodsoakplan.Step
	// planned replace the steps of the time in which nothing fails, which is left out if only steps are given.
	planned []dogwoodsoakplan.Step
	// steadyLoad leaves out the changes of the load that are drawn from the seed.
	steadyLoad bool
}

const (
	// warmUp is how long the daemons have to find each other before the first fault.
	warmUp = 4 * time.Second
	// tail is how long callers keep sending after the last fault: the time to recover and some seconds in which
	// requests must be served.
	tail = recovery + 4*time.Second
	// minDuration leaves time for faults between warmUp and tail.
	minDuration = warmUp + tail + 4*time.Second
	// plannedFor is how long callers send after that while daemons are only shut down and changed.
	plannedFor = 26 * time.Second
	// maxProcesses limits the load on the machine.
	maxProcesses = 300
	// minProcesses are a store, two engines, two plain endpoints and two daemons.
	minProcesses = 7
)

// ErrFindings is returned when a promise was broken.
var ErrFindings = errors.New("promises were broken")

// New returns the subcommand. Tests pass a function for run; nil means Run.
func New(factory *dogwoodfactory.Factory, run func(ctx context.Context, options *Options) error) *dogwoodsubcommand.Command {
	options := &Options{Factory: factory}
	if run == nil {
		run = Run
	}
	return dogwoodverb.New(dogwoodsubcommand.Spec{
		Name:      "soak",
		Synopsis:  "break real processes as a seed says, and check what was promised",
		Arguments: "-seed N [-for 2m] [-processes N] [-keep DIR]",
		Help: "Runs daemons, endpoints and a store as processes on loopback, kills, freezes, restarts and cuts them\n" +
			"off, changes the operators' text meanwhile, and checks what callers received and endpoints ran. The seed\n" +
			"orders faults and requests; which request meets which fault is decided by the machine's timing, too.",
		Examples: []string{"dogwoodload soak -seed 1 -for 1m", "dogwoodload soak -seed 7 -for 2m -processes 200 -keep /tmp/soak"},
		SetFlags: func(flags *flag.FlagSet) {
			flags.Uint64Var(&options.Seed, "seed", 1, "`number` that faults and requests are drawn from")
			flags.DurationVar(&options.For, "for", time.Minute, "how long callers send until daemons are only shut down and changed")
			flags.IntVar(&options.Processes, "processes", 15, "`number` of processes")
			flags.StringVar(&options.Keep, "keep", "", "empty `directory` for logs and records, kept in any case")
			flags.StringVar(&options.Daemon, "daemon", "", "the daemon's `program`; built from this workspace if not given")
			flags.BoolVar(&options.JSON, "json", false, "print one JSON object")
		},
		Run: func(ctx context.Context, _ []string) error {
			if err := options.validate(); err != nil {
				return err
			}
			return run(ctx, options)
		},
		Err: factory.Streams.Err,
	})
}

func (options *Options) validate() error {
	if options.For < minDuration {
		return dogwoodsubcommand.NewUsageError("-for %s is too short: %s go by before the first fault and after the last", options.For, warmUp+tail)
	}
	if options.Processes < minProcesses || options.Processes > maxProcesses {
		return dogwoodsubcommand.NewUsageError("-processes %d is not between %d and %d", options.Processes, minProcesses, maxProcesses)
	}
	return nil
}

// Run runs a soak and prints its report. It returns ErrFindings if a promise was broken.
func Run(ctx context.Context, options *Options) error {
	directory, err := options.directory()
	if err != nil {
		return err
	}
	report, err := soak(ctx, options, directory)
	if err != nil {
		return errors.Join(err, fmt.Errorf("logs are in %s", directory))
	}
	report.Logs = directory
	if options.Keep == "" && len(report.Findings) == 0 {
		report.Logs = ""
		if err := os.RemoveAll(directory); err != nil {
			return dogwoodverb.Error.Wrap(err)
		}
	}
	if err := report.write(options.Factory.Streams.Out, options.JSON); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return ErrFindings
	}
	return nil
}

func (options *Options) directory() (string, error) {
	if options.Keep == "" {
		directory, err := os.MkdirTemp("", "dogwoodsoak-")
		return directory, dogwoodverb.Error.Wrap(err)
	}
	if err := os.MkdirAll(options.Keep, 0o700); err != nil {
		return "", dogwoodverb.Error.Wrap(err)
	}
	entries, err := os.ReadDir(options.Keep)
	if err != nil {
		return "", dogwoodverb.Error.Wrap(err)
	}
	if len(entries) > 0 {
		return "", dogwoodsubcommand.NewUsageError("-keep %s is not empty; what an earlier soak saw would be taken for this one's", options.Keep)
	}
	return options.Keep, nil
}

// programs returns the paths of the daemon's and the stand-ins' programs, and builds the daemon if none is given.
func (options *Options) programs(ctx context.Context, directory string) (daemon, standin string, err error) {
	daemon, standin = options.Daemon, options.Standin
	if standin == "" {
		if standin, err = os.Executable(); err != nil {
			return "", "", dogwoodverb.Error.Wrap(err)
		}
	}
	if daemon != "" {
		return daemon, standin, nil
	}
	daemon = filepath.Join(directory, "platform")
	build := exec.CommandContext(ctx, "go", "build", "-o", daemon, "dogwoodmux.example/platform") //nolint:gosec // G204: a path of ours
	if output, err := build.CombinedOutput(); err != nil {
		return "", "", dogwoodverb.Error.New("building the daemon: %w\n%s", err, output)
	}
	return daemon, standin, nil
}

// soak starts the processes, runs the callers and the steps, and checks what was recorded.
func soak(ctx context.Context, options *Options, directory string) (_ *Report, err error) {
	daemon, standin, err := options.programs(ctx, directory)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	site := newSite(options, directory, daemon, standin)
	defer func() { err = errors.Join(err, site.stop(cancel)) }()
	if err := site.start(ctx); err != nil {
		return nil, err
	}
	steps, loads := options.drawSteps(site.shape())
	bar := options.newProgressBar(len(steps))
	started := time.Now()
	if err := writeSteps(filepath.Join(directory, "steps"), started, slices.Concat(steps, loads)); err != nil {
		return nil, err
	}
	supervisorContext, stopSupervising := context.WithCancel(ctx)
	defer stopSupervising()
	var supervisor errgroup.Group
	supervisor.Go(func() error { return site.superviseEndpoints(supervisorContext) })
	supervisor.Go(func() error { return site.sampleProcesses(supervisorContext) })
	callersContext, stopSending := context.WithCancel(ctx)
	defer stopSending()
	callers := site.runCallers(callersContext, options.Seed)
	var changes errgroup.Group
	changes.Go(func() error { return site.runSteps(ctx, started, loads, func() {}) })
	stepsErr := site.runSteps(ctx, started, steps, func() { _ = bar.Add(1) }) // a progress bar that can't be drawn doesn't stop the soak
	calm := time.Now()
	// Steps that waited for others end later than drawn; time to recover must remain after them.
	dogwoodkernel.Sleep(ctx, max(time.Until(started.Add(options.For)), options.tail()))
	stepsErr = errors.Join(stepsErr, changes.Wait())
	planned := options.plannedSteps(site.shape())
	stepsErr = errors.Join(stepsErr, site.runPlanned(ctx, planned))
	stopSending()
	_ = callers.Wait() // callers return no error
	stopSupervising()
	if err := errors.Join(stepsErr, supervisor.Wait(), ctx.Err()); err != nil {
		return nil, err
	}
	history, err := site.history(ctx, calm)
	if err != nil {
		return nil, err
	}
	if err := writeHistory(filepath.Join(directory, "history"), history); err != nil {
		return nil, err
	}
	report := &Report{
		Seed: options.Seed, For: options.For, Daemons: len(site.daemons), Endpoints: len(site.endpoints), Steps: len(steps) + len(planned),
		Summary: dogwoodsoakcheck.Summarise(history), Findings: dogwoodsoakcheck.Check(history, checkBounds),
	}
	return report, nil
}

// drawSteps returns the steps of the time in which something fails, and the changes of the load. These don't depend on the cut-offs and the
// crowds.
func (options *Options) drawSteps(shape dogwoodsoakplan.Shape) (steps, loads []dogwoodsoakplan.Step) {
	if options.steps != nil {
		return options.steps, nil
	}
	steps = slices.Concat(
		dogwoodsoakplan.Draw(options.Seed, shape, warmUp, options.For-tail),
		dogwoodsoakplan.DrawGarbles(options.Seed, shape, warmUp, options.For-tail),
	)
	if !options.steadyLoad {
		loads = dogwoodsoakplan.DrawLoads(options.Seed, shape, warmUp, lastEnd(steps), lastEnd(steps)+recovery-time.Second)
	}
	return slices.Concat(
		steps, dogwoodsoakplan.DrawCutOffs(options.Seed, shape, warmUp, options.For-tail),
		dogwoodsoakplan.DrawCrowds(options.Seed, shape, warmUp, options.For-tail),
	), loads
}

// lastEnd returns the time at which the last of the steps ends.
func lastEnd(steps []dogwoodsoakplan.Step) time.Duration {
	last := warmUp
	for _, step := range steps {
		last = max(last, step.At+step.For)
	}
	return last
}

// plannedSteps returns the steps of the time in which nothing fails.
func (options *Options) plannedSteps(shape dogwoodsoakplan.Shape) []dogwoodsoakplan.Step {
	if options.planned != nil || options.steps != nil {
		return options.planned
	}
	return dogwoodsoakplan.DrawPlanned(options.Seed, shape, 0, plannedFor)
}

// tail returns how long callers keep sending after the last fault; tests of single faults need no recovery.
func (options *Options) tail() time.Duration {
	if options.steps != nil {
		return 0
	}
	return tail
}

// writeSteps writes the steps with their times to a file, for reading them beside the logs.
func writeSteps(path string, started time.Time, steps []dogwoodsoakplan.Step) error {
	var output strings.Builder
	for _, step := range steps {
		fmt.Fprintf(&output, "%s  %-18s %3d  for %s\n", started.Add(step.At).Format("15:04:05.000"), step.Kind, step.Target, step.For.Round(time.Millisecond))
	}
	return dogwoodverb.Error.Wrap(os.WriteFile(path, []byte(output.String()), 0o600))
}

// writeHistory writes the history that was checked to a file, for examining why something is a finding or not.
func writeHistory(path string, history *dogwoodsoakcheck.History) error {
	encoded, err := json.Marshal(history)
	if err != nil {
		return dogwoodverb.Error.Wrap(err)
	}
	return dogwoodverb.Error.Wrap(os.WriteFile(path, encoded, 0o600))
}

func (options *Options) newProgressBar(steps int) *progressbar.ProgressBar {
	return progressbar.NewOptions(steps,
		progressbar.OptionSetWriter(options.Factory.Streams.Err), progressbar.OptionSetDescription("faults"),
		progressbar.OptionSetVisibility(options.Factory.Streams.Progress), progressbar.OptionClearOnFinish())
}
