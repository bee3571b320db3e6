// Package dogwoodchange keeps the operators' changes in a single order that all daemons
// follow.
//
// An accepted change is a row "version N+1" of the change log, inserted if absent, so that
// of two concurrent changes one comes first and the other is checked against the resulting
// state. The state of the system is the fold of the rows. A daemon applies the changes in
// version order without gaps. Its version only increases: neither a stale read nor an update
// from a peer with older state lowers it.
//
// Without this order, two operators who edit concurrently would silently overwrite each other's
// changes, and a daemon that reads a stale copy of the operators' text would revert to it.
package dogwoodchange

import (
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("change")

// Kind is what a change does.
type Kind string

// The kinds of change.
const (
	// ApplyText replaces the operators' text that BasedOn names by Text.
	ApplyText Kind = "ApplyText"
	// TakeOut removes a data centre or a VM from service, for new work.
	TakeOut Kind = "TakeOut"
	// BringBack puts a data centre or a VM back into service.
	BringBack Kind = "BringBack"
	// LiftConviction allows the requests with a given digest, which were held back for
	// crashing endpoints, to run again.
	LiftConviction Kind = "LiftConviction"
)

// Change is one change by an operator.
type Change struct {
	// Version is its position in the order, or 0 until the log holds it.
	Version uint64 `json:",omitempty"`
	// ID is random and identifies the change, so that submitting it again does not create a second
	// one.
	ID     string
	Kind   Kind
	Author string
	At     time.Time
	// BasedOn is the text version that an ApplyText replaces.
	BasedOn uint64 `json:",omitempty"`
	Text    []byte `json:",omitempty"`
	// DataCentre or VM is what a TakeOut or BringBack applies to; the other one is empty.
	DataCentre dogwoodfleet.DataCentre `json:",omitempty"`
	VM         dogwoodfleet.VM         `json:",omitempty"`
	// Digest is the digest, in hexadecimal, of the request that LiftConviction applies to.
	Digest string `json:",omitempty"`
	// Force allows a TakeOut that leaves a service without an endpoint.
	Force bool `json:",omitempty"`
	// Provisional is true for a TakeOut that is in force but not in the log yet.
	Provisional bool `json:",omitempty"`
}

// Accepted reports how a change was accepted.
type Accepted struct {
	// ID identifies the change. Submit generates it if the change has none.
	ID string
	// Version is the change's position in the order, or 0 while it is provisional.
	Version uint64
	// Kept is true if the log holds the change. A provisional TakeOut is in force at the
	// daemons that were reached, and is written to the log when the store is back.
	Kept bool
}

// Conflict reports that the text has changed since the version that an ApplyText is based on.
type Conflict struct {
	// BasedOn and Current are text versions.
	BasedOn uint64
	Current uint64
	// Author and At are the author and time of the current text.
	Author string
	At     time.Time
}

func (conflict *Conflict) Error() string {
	return fmt.Sprintf("based on text version %d, but version %d by %s at %s is current",
		conflict.BasedOn, conflict.Current, conflict.Author, conflict.At.Format(time.RFC3339))
}

// Unavailable reports that the store can't be reached and this submission changed nothing.
// If the outcome of an earlier submission with the same ID was unknown, it stays unknown.
type Unavailable struct {
	Cause error
}

func (unavailable *Unavailable) Error() string {
	return fmt.Sprintf("nothing changed, the change log can't be reached: %v", unavailable.Cause)
}

func (unavailable *Unavailable) Unwrap() error { return unavailable.Cause }

// Unknown reports that the change may be in the log or may reach it later. Submitting it
// again with the same ID is safe.
type Unknown struct {
	ID    string
	Cause error
}

func (unknown *Unknown) Error() string {
	return fmt.Sprintf("change %s may have been accepted, submit it again with this ID: %v", unknown.ID, unknown.Cause)
}

func (unknown *Unknown) Unwrap() error { return unknown.Cause }

// Refused reports that the change is invalid or would leave services without an endpoint.
type Refused struct {
	Reason string
	// Stranded are the services that would be left without an endpoint. A change with Force set
	// is not refused for them.
	Stranded []dogwoodfleet.Service
	// Cause is set if the text can't be parsed.
	Cause error
}

func (refused *Refused) Error() string {
	switch {
	case len(refused.Stranded) > 0:
		return fmt.Sprintf("%s: %v", refused.Reason, refused.Stranded)
	case refused.Cause != nil:
		return fmt.Sprintf("%s: %v", refused.Reason, refused.Cause)
	}
	return refused.Reason
}

func (refused *Refused) Unwrap() error { return refused.Cause }
