// Package dogwoodsender sends a trace as callers do: it queries the system for the addresses to use,
// caches them for as long as the system allows, connects to them, and records the answers.
package dogwoodsender

import (
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"dogwoodmux.example/core/dogwoodproblem"
	"dogwoodmux.example/dogwoodload/dogwoodtrace"
)

// Error is the class of this package's errors.
var Error = errs.Class("sender")

// Sample is one request and what its caller received.
type Sample struct {
	Arrival *dogwoodtrace.Arrival
	// Resent is the time when the caller sent the request again because the first attempt
	// returned neither a whole answer nor a problem, or because it was refused and the arrival
	// repeats such requests; zero if it was sent once. If it is not zero, the other fields are
	// about the last attempt, except that Sent is the time of the first and BrokenEntry the
	// address that a broken attempt went to.
	Resent      time.Time
	BrokenEntry netip.AddrPort
	// Entry is the address that the request was sent to.
	Entry     netip.AddrPort
	RequestID string
	Sent      time.Time
	// FirstToken and Took are measured from Sent; FirstToken is 0 if no token was received.
	FirstToken time.Duration
	Took       time.Duration
	// Status is 0 if no status line was received.
	Status int
	// Problem is the problem detail of a refusal or failure, including one within a stream.
	Problem *dogwoodproblem.Problem
	// Whole is true if the answer was received completely.
	Whole bool
	// Wrong is non-nil if a whole answer has content that does not belong to the request.
	Wrong error
	// Broken is the reason why there is neither a whole answer nor a problem.
	Broken error
}
