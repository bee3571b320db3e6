// Package dogwoodfactory provides the dependencies of dogwoodmuxd's subcommands: the streams,
// the signals and the function that starts a daemon. Tests replace them.
package dogwoodfactory

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/dogwooddaemon"
)

// Factory holds the dependencies of the subcommands.
type Factory struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Signals receives the signals that request termination.
	Signals <-chan os.Signal
	// Start starts a daemon.
	Start func(ctx context.Context, options dogwooddaemon.Options) (Daemon, error)
	// ReadFile reads a settings file.
	ReadFile func(name string) ([]byte, error)
}

// Daemon is the part of a running daemon that the subcommands use.
type Daemon interface {
	// Wait blocks until the daemon fails or the context ends.
	Wait(ctx context.Context)
	// Stop shuts the daemon down gracefully. When the context ends, it stops waiting for
	// running requests.
	Stop(ctx context.Context) error
	// Kill ends the daemon at once.
	Kill()
}

// signalBuffer is the capacity for the two signals that have an effect: the first starts a
// graceful shutdown, the second ends the daemon at once.
const signalBuffer = 2

// New returns the factory of a real process and a function that stops the delivery of signals.
func New() (*Factory, func()) {
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	factory := &Factory{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr,
		Signals: signals,
		Start: func(ctx context.Context, options dogwooddaemon.Options) (Daemon, error) {
			return dogwooddaemon.Start(ctx, options)
		},
		ReadFile: os.ReadFile,
	}
	return factory, func() { signal.Stop(signals) }
}

// Logger returns a logger that writes to the error stream. An empty level means "info".
func (factory *Factory) Logger(level string) hclog.Logger {
	if level == "" {
		level = "info"
	}
	return hclog.New(&hclog.LoggerOptions{Name: "dogwoodmuxd", Level: hclog.LevelFromString(level), Output: factory.Err})
}
