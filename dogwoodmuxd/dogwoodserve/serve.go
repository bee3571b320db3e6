// Package dogwoodserve holds the subcommand that runs a daemon.
package dogwoodserve

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"dogwoodmux.example/core/dogwoodsubcommand"

	"dogwoodmux.example/core/dogwooddaemon"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/dogwoodmuxd/dogwoodfactory"
)

// defaultGrace bounds a graceful shutdown. It is the longest deadline that an operators' text
// may allow, so that no running request is cut, plus the time to remove the daemon from the
// lists of daemons. A daemon exits as soon as its requests have ended.
const defaultGrace = dogwoodsettings.LongestDeadline + time.Minute

const (
	// gcPercent is the growth of the heap over the live heap, in percent, that triggers a garbage collection of a daemon whose memory is
	// bounded. With Go's default, garbage may take as much as all that is counted toward its bounds.
	gcPercent = 50
	// memoryLimitShare is the share of a daemon's memory from which the runtime returns free memory at once. What is counted toward the
	// bounds stays well below it.
	memoryLimitShare = 0.75
	bytesPerMB       = 1_000_000
)

// Options holds the flags and dependencies of serve.
type Options struct {
	Factory  *dogwoodfactory.Factory
	Settings string
	Grace    time.Duration
}

// New returns the serve subcommand. run replaces its implementation in tests; nil means the
// real one.
func New(factory *dogwoodfactory.Factory, run func(context.Context, *Options) error) *dogwoodsubcommand.Command {
	options := &Options{Factory: factory}
	if run == nil {
		run = Run
	}
	return dogwoodsubcommand.New(dogwoodsubcommand.Spec{
		Program:   "dogwoodmuxd",
		Name:      "serve",
		Synopsis:  "run the daemon",
		Arguments: "-settings FILE",
		Help: `Runs the daemon until a signal. The first signal shuts down gracefully: the daemon leaves
the callers' addresses, hands its queues over and finishes what runs. A second one ends it
at once.`,
		Examples: []string{"dogwoodmuxd serve -settings /etc/dogwoodmux/daemon.json"},
		SetFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&options.Settings, "settings", "", "settings `file`")
			flags.DurationVar(&options.Grace, "grace", defaultGrace, "longest `time` that a graceful shutdown takes")
		},
		Run: func(ctx context.Context, arguments []string) error {
			if options.Settings == "" || len(arguments) > 0 {
				return dogwoodsubcommand.NewUsageError("give -settings FILE and nothing else")
			}
			return run(ctx, options)
		},
		Err: factory.Err,
	})
}

// Run runs the daemon until a signal arrives, the daemon fails or the context ends.
func Run(ctx context.Context, options *Options) error {
	source, err := options.Factory.ReadFile(options.Settings)
	if err != nil {
		return fmt.Errorf("reading the settings: %w", err)
	}
	settings, err := dogwoodsettings.ParseDaemon(source)
	if err != nil {
		return fmt.Errorf("%s: %w", options.Settings, err)
	}
	if settings.MemoryMB > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(memoryLimitShare * bytesPerMB * float64(settings.MemoryMB)))
	}
	daemon, err := options.Factory.Start(ctx, dogwooddaemon.Options{
		Settings: settings, Logger: options.Factory.Logger(settings.LogLevel),
	})
	if err != nil {
		return fmt.Errorf("starting: %w", err)
	}
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	return runUntilSignal(waitCtx, cancel, daemon, options)
}

// errForcedStop makes the process exit with a failure, so that a supervisor sees that the
// shutdown was not graceful.
var errForcedStop = errors.New("ended at once by a second signal; requests that ran were cut")

// runUntilSignal waits for a signal, the daemon's failure or the end of the context, then shuts
// the daemon down gracefully. A second signal ends the daemon at once.
func runUntilSignal(ctx context.Context, cancel context.CancelFunc, daemon dogwoodfactory.Daemon, options *Options) error {
	ended := make(chan struct{})
	var waiter sync.WaitGroup
	waiter.Go(func() {
		daemon.Wait(ctx)
		close(ended)
	})
	defer waiter.Wait()
	select {
	case <-options.Factory.Signals:
	case <-ended:
	}
	cancel()
	graceCtx, cancelGrace := context.WithTimeout(context.WithoutCancel(ctx), options.Grace)
	defer cancelGrace()
	stopped := make(chan error, 1)
	waiter.Go(func() { stopped <- daemon.Stop(graceCtx) })
	select {
	case err := <-stopped:
		return err
	case <-options.Factory.Signals:
		cancelGrace()
		daemon.Kill()
		return errors.Join(errForcedStop, <-stopped)
	}
}
