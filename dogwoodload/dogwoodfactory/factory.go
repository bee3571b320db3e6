// Package dogwoodfactory holds the dependencies of the subcommands. Tests create a Factory with
// buffers.
package dogwoodfactory

import (
	"io"
	"os"

	"golang.org/x/term"
)

// Streams are the output streams of a subcommand.
type Streams struct {
	Out io.Writer
	Err io.Writer
	// Progress is true if a progress bar is drawn on Err, which requires a terminal.
	Progress bool
}

// Factory holds the dependencies of subcommands.
type Factory struct {
	Streams Streams
}

// New returns a Factory with the standard streams of the process.
func New() *Factory {
	return &Factory{Streams: Streams{
		Out:      os.Stdout,
		Err:      os.Stderr,
		Progress: term.IsTerminal(int(os.Stderr.Fd())),
	}}
}
