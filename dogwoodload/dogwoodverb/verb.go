// Package dogwoodverb holds functions that the subcommands of dogwoodload share.
package dogwoodverb

import (
	"fmt"
	"io"
	"os"

	"github.com/zeebo/errs"

	"dogwoodmux.example/core/dogwoodsubcommand"
	"dogwoodmux.example/dogwoodload/dogwoodresult"
)

// Error is the class of this package's errors.
var Error = errs.Class("dogwoodload")

// New returns a subcommand of dogwoodload.
func New(spec dogwoodsubcommand.Spec) *dogwoodsubcommand.Command {
	spec.Program = "dogwoodload"
	return dogwoodsubcommand.New(spec)
}

// ReadResult reads a result from a file.
func ReadResult(path string) (*dogwoodresult.Result, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = file.Close() }() // read only, so no data is lost
	result, err := dogwoodresult.Read(file)
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("%s: %w", path, err))
	}
	return result, nil
}

// WriteFile creates a file and calls write to write its content.
func WriteFile(path string, write func(io.Writer) error) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { err = errs.Combine(err, Error.Wrap(file.Close())) }()
	return write(file)
}
