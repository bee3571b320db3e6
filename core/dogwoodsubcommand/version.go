package dogwoodsubcommand

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
)

// NewVersion returns the subcommand that prints the version from which a program was built.
func NewVersion(program string, out, err io.Writer) *Command {
	return New(Spec{
		Program:  program,
		Name:     "version",
		Synopsis: "print the program's version",
		Help:     "Prints the version that the program was built from.",
		Run: func(context.Context, []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
			}
			_, err := fmt.Fprintf(out, "%s %s\n", program, version)
			return err
		},
		Err: err,
	})
}
