// Package dogwoodtable defines the types shared by the state packages and the client of the
// platform's table service: rows with versions, conditional writes, and three kinds of
// failure that a writer must distinguish. The edge package dogwoodplatform implements the
// client over HTTP. Each state package declares a small interface with the calls that it makes.
package dogwoodtable

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("table")

// MaxWrites is the maximum number of writes in one transaction.
const MaxWrites = 64

// Row is a row as it was read. Versions increase across the whole service: a row that is
// deleted and inserted again has a higher version than before.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

// Write is a conditional write. If Version is 0, the row must not exist; otherwise the row
// must have exactly this version.
type Write struct {
	Table   string
	Key     string
	Version uint64
	Value   []byte
	Delete  bool
	// KeepFor is how long the service keeps the row after this write; 0 means without limit.
	KeepFor time.Duration
}

// Range selects rows in byte order of their keys: After < key <= Through.
// An empty Through means no upper bound.
type Range struct {
	Table   string
	After   string
	Through string
	Limit   int
}

// Unavailable is the error of a call that certainly had no effect: it was not sent, or the
// service refused it before processing began.
type Unavailable struct {
	Cause error
}

func (unavailable *Unavailable) Error() string {
	return fmt.Sprintf("table service unavailable: %v", unavailable.Cause)
}

func (unavailable *Unavailable) Unwrap() error { return unavailable.Cause }

// Unknown is the error of a write that may have taken effect or may still do so, since its
// response was lost.
type Unknown struct {
	Cause error
}

func (unknown *Unknown) Error() string {
	return fmt.Sprintf("outcome of the write is unknown: %v", unknown.Cause)
}

func (unknown *Unknown) Unwrap() error { return unknown.Cause }

// Conflict is the error of a call in which the conditions of some writes failed, so that nothing
// was written.
type Conflict struct {
	// Failed holds the indexes, in the call's list of writes, of those whose condition failed.
	Failed []int
}

func (conflict *Conflict) Error() string {
	return fmt.Sprintf("conditions failed for writes %v", conflict.Failed)
}

// IsUnavailable reports whether the call certainly had no effect.
func IsUnavailable(err error) bool {
	var unavailable *Unavailable
	return errors.As(err, &unavailable)
}

// IsUnknown reports whether a write's outcome is unknown.
func IsUnknown(err error) bool {
	var unknown *Unknown
	return errors.As(err, &unknown)
}

// AsConflict returns the conflict in an error, or nil.
func AsConflict(err error) *Conflict {
	var conflict *Conflict
	if errors.As(err, &conflict) {
		return conflict
	}
	return nil
}
