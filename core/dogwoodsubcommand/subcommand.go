// Package dogwoodsubcommand builds the subcommands of all programs on google/subcommands. It
// adds help with examples, flags after positional arguments, and exit codes that depend on
// the returned error.
package dogwoodsubcommand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/google/subcommands"
)

// Spec describes a subcommand.
type Spec struct {
	// Program is the name of the program, which is printed before errors.
	Program  string
	Name     string
	Synopsis string
	// Arguments are the positional arguments as shown in the usage line.
	Arguments string
	// Help describes the subcommand. Examples are complete command lines.
	Help     string
	Examples []string
	// SetFlags declares the flags and binds them to the subcommand's options.
	SetFlags func(flags *flag.FlagSet)
	// Run checks the positional arguments and executes the subcommand.
	Run func(ctx context.Context, arguments []string) error
	// Code returns the exit code for an error. nil means 2 for a *UsageError and 1 for other
	// errors.
	Code func(err error) int
	// Err is where errors are printed.
	Err io.Writer
}

// The exit codes that are common to all programs.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitUsage reports wrong flags or arguments.
	ExitUsage = 2
)

// UsageError reports wrong flags or arguments.
type UsageError struct {
	message string
}

// NewUsageError returns a usage error with a formatted message.
func NewUsageError(format string, arguments ...any) *UsageError {
	return &UsageError{message: fmt.Sprintf(format, arguments...)}
}

// Error returns the message.
func (usage *UsageError) Error() string { return usage.message }

// defaultExitCode returns the exit code for an error if Spec.Code is nil.
func defaultExitCode(err error) int {
	var usage *UsageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	default:
		return ExitFailure
	}
}

// Command is a subcommand that implements subcommands.Command.
type Command struct {
	spec Spec
}

var _ subcommands.Command = (*Command)(nil)

// New returns a subcommand.
func New(spec Spec) *Command {
	if spec.Code == nil {
		spec.Code = defaultExitCode
	}
	return &Command{spec: spec}
}

// Name returns the name of the subcommand.
func (command *Command) Name() string { return command.spec.Name }

// Synopsis returns the line for the list of subcommands.
func (command *Command) Synopsis() string { return command.spec.Synopsis }

// Usage returns the help text up to the list of flags, which google/subcommands appends.
func (command *Command) Usage() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s\n\n%s\n", command.spec.Name, command.spec.Arguments, command.spec.Help)
	if len(command.spec.Examples) > 0 {
		text.WriteString("\nExamples:\n")
	}
	for _, example := range command.spec.Examples {
		text.WriteString("  " + example + "\n")
	}
	text.WriteString("\nFlags:\n")
	return text.String()
}

// SetFlags declares the flags.
func (command *Command) SetFlags(flags *flag.FlagSet) {
	flags.SetOutput(command.spec.Err)
	if command.spec.SetFlags != nil {
		command.spec.SetFlags(flags)
	}
}

// Execute runs the subcommand, prints its error and returns the exit code.
func (command *Command) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	arguments, err := parseInterspersed(flags)
	if err != nil {
		return subcommands.ExitUsageError // the flag package has printed it
	}
	err = command.spec.Run(ctx, arguments)
	if err != nil {
		_, _ = fmt.Fprintf(command.spec.Err, "%s %s: %v\n", command.spec.Program, command.spec.Name, err)
	}
	return subcommands.ExitStatus(command.spec.Code(err))
}

// parseInterspersed also parses flags that follow positional arguments, as in
// "takeout datacentre oita-c -force", and returns the positional arguments.
func parseInterspersed(flags *flag.FlagSet) ([]string, error) {
	var arguments []string
	for flags.NArg() > 0 {
		arguments = append(arguments, flags.Arg(0))
		if err := flags.Parse(flags.Args()[1:]); err != nil {
			return nil, err
		}
	}
	return arguments, nil
}
