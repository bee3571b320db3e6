// Package dogwoodcommand holds what dogwoodctl's subcommands share: exit codes by kind of
// failure, tables, and waiting until a change is in force.
package dogwoodcommand

import (
	"errors"

	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/core/dogwoodproblem"
	"dogwoodmux.example/core/dogwoodsubcommand"
)

// Code is a process's exit code.
type Code int

// The exit codes, by which scripts can distinguish the kinds of failure.
const (
	ExitOK            Code = 0
	ExitFailure       Code = 1 // any failure without a more specific code
	ExitUsage         Code = 2 // wrong flags, arguments or environment of the command
	ExitConflict      Code = 3 // another change was accepted first; nothing was changed
	ExitInvalid       Code = 4 // the text has faults; nothing was changed
	ExitRefused       Code = 5 // the change would leave a service without endpoints; nothing was changed
	ExitUnavailable   Code = 6 // no daemon answers, or the store does not answer; nothing was changed
	ExitUnknown       Code = 7 // whether the change was made is not known
	ExitNotEverywhere Code = 8 // accepted, but not yet in force on every daemon
	ExitDifferent     Code = 9 // diff found a difference
)

// CodedError is an error with an explicit exit code.
type CodedError struct {
	Code Code
	Err  error
}

// Error returns the message of the wrapped error.
func (coded *CodedError) Error() string { return coded.Err.Error() }

// Unwrap returns the wrapped error.
func (coded *CodedError) Unwrap() error { return coded.Err }

// exitCodes maps each kind of problem to its exit code.
var exitCodes = []struct {
	kind string
	code Code
}{
	{dogwoodadminapi.KindConflict, ExitConflict},
	{dogwoodadminapi.KindInvalid, ExitInvalid},
	{dogwoodadminapi.KindRefused, ExitRefused},
	{dogwoodadminapi.KindUnavailable, ExitUnavailable},
	{dogwoodadminapi.KindNotReady, ExitUnavailable},
	{dogwoodadminapi.KindLeaving, ExitUnavailable},
	{dogwoodadminapi.KindUnknown, ExitUnknown},
}

// CodeOf returns the exit code of an error.
func CodeOf(err error) Code {
	var usage *dogwoodsubcommand.UsageError
	var coded *CodedError
	var conflict *dogwoodadminapi.Conflict
	var invalid *dogwoodadminapi.Invalid
	var unreachable *dogwoodadminapi.Unreachable
	var problem *dogwoodproblem.Problem
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &coded):
		return coded.Code
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &invalid):
		return ExitInvalid
	case errors.As(err, &unreachable):
		return ExitUnavailable
	case errors.As(err, &problem):
		return codeOfKind(problem.Kind())
	default:
		return ExitFailure
	}
}

func codeOfKind(kind string) Code {
	for _, each := range exitCodes {
		if each.kind == kind {
			return each.code
		}
	}
	return ExitFailure
}

// New returns a subcommand of dogwoodctl.
func New(spec dogwoodsubcommand.Spec) *dogwoodsubcommand.Command {
	spec.Program = "dogwoodctl"
	spec.Code = func(err error) int { return int(CodeOf(err)) }
	return dogwoodsubcommand.New(spec)
}
