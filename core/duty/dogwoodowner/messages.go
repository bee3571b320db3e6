package dogwoodowner

import (
	"fmt"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// GrantID names a grant. It is unique over all owners and their restarts.
type GrantID struct {
	Owner  dogwoodfleet.InstanceID
	Number uint64
}

// String formats the ID for logs.
func (id GrantID) String() string {
	return fmt.Sprintf("%s/%d", id.Owner, id.Number)
}

// AcquireRequest is an entry daemon's request to acquire a slot on an endpoint.
type AcquireRequest struct {
	// Request is the request to run. The owner sets its Arrived and Deadline from Budget,
	// since the clocks of two VMs differ.
	Request dogwoodfleet.Request
	// Holder is the entry daemon that holds the caller's connection.
	Holder dogwoodfleet.InstanceID
	// Avoid lists endpoints on which a try of this request has failed.
	Avoid []dogwoodfleet.EndpointID
	// Try is the number of the try, counted from 1.
	Try int
	// Budget is the time left until the deadline.
	Budget time.Duration
	// Pin, if set, is the only acceptable endpoint: the slot is for one member of a gang.
	Pin dogwoodfleet.EndpointID
	// Hold, if set, is how long the grant lasts until its first renewal, which comes only
	// after the other members of the gang were granted.
	Hold time.Duration
}

// Grant is the right to run one request on one endpoint, or on a gang of them.
type Grant struct {
	ID       GrantID
	Endpoint dogwoodfleet.Endpoint
	// Gang lists all engines of a gang, Endpoint first. It is empty for a single engine.
	Gang []dogwoodfleet.Endpoint
	// Members lists the grants of a gang, one for each engine of Gang and in its order. Each
	// is renewed, announced and released at the owner of its endpoint. See Parts.
	Members  []GrantID
	Priority dogwoodfleet.Priority
	// ReservedTokens is the memory reserved for the request on each engine of the grant.
	ReservedTokens int
	// Lease is how long the grant lasts without being renewed.
	Lease time.Duration
	// Alone is true for a suspect: nothing else runs on the endpoint.
	Alone bool
}

// Parts returns the grants that the holder renews, announces and releases, each at the
// owner of its endpoint: the members of a gang, or the grant itself.
func (grant *Grant) Parts() []Grant {
	if len(grant.Members) == 0 {
		return []Grant{*grant}
	}
	parts := make([]Grant, len(grant.Members))
	for i, id := range grant.Members {
		parts[i] = Grant{
			ID: id, Endpoint: grant.Gang[i], Priority: grant.Priority,
			ReservedTokens: grant.ReservedTokens, Lease: grant.Lease, Alone: grant.Alone,
		}
	}
	return parts
}

// Release ends a grant and reports the result. A second release of the same ID is ignored.
type Release struct {
	ID     GrantID
	Result dogwoodfleet.Result
	// FirstToken is the time from sending the request to its first token; 0 if there was none.
	FirstToken time.Duration
	// Took is the time from sending the request to its end.
	Took                       time.Duration
	PromptTokens, OutputTokens int
	// Instance is the endpoint's instance according to its answer; empty if unknown.
	Instance dogwoodfleet.InstanceID
	// Cold is true when the endpoint's answer reported that it is cold.
	Cold bool
}

// Held is a live grant that its holder announces to a new owner of the endpoint.
type Held struct {
	Grant    Grant
	Holder   dogwoodfleet.InstanceID
	Request  dogwoodfleet.RequestID
	Customer dogwoodfleet.Customer
	Digest   dogwoodfleet.Digest
	// Model and Blocks name the parts of the prompt.
	Model        dogwoodfleet.Model
	Blocks       []uint64
	PromptTokens int
	MaxTokens    int
	// Age is how long ago the request was sent to the endpoint.
	Age time.Duration
}

// LoadReport is an engine's report of its state. It lags. The streams that the engine runs
// are passed to Reconcile instead.
type LoadReport struct {
	// Age is how old the report is.
	Age      time.Duration
	Instance dogwoodfleet.InstanceID
	Cold     bool
	// MemoryTokens is the engine's total memory; 0 if not reported.
	MemoryTokens int
	// Models and Adapters are those that the engine has loaded; empty if not reported.
	Models   []dogwoodfleet.Model
	Adapters []dogwoodfleet.Adapter
}

// Orphan is a stream without a live holder. The caller of Expire or Reconcile that receives
// it cancels it at the engine and then calls Cancelled. Until then, or until the engine no
// longer lists it, it is returned again and its memory stays reserved.
type Orphan struct {
	// Grant is zero for a stream that matches no grant.
	Grant    GrantID
	Endpoint dogwoodfleet.Endpoint
	Gang     []dogwoodfleet.Endpoint
	Request  dogwoodfleet.RequestID
}

// Summary is an owner's load report to the entry daemons, which choose among owners by it.
type Summary struct {
	Owner    dogwoodfleet.InstanceID
	Settling bool
	Services []ServiceSummary
}

// ServiceSummary is an owner's state for one service.
type ServiceSummary struct {
	Service   dogwoodfleet.Service
	Endpoints int
	// Slots is the sum of the endpoints' current limits; Running counts the taken ones.
	Slots   int
	Running int
	Waiting int
	// Wait is the estimated time to process the waiting short work.
	Wait time.Duration
	// LargestTokens is the largest memory of one endpoint, in tokens; 0 if unknown.
	LargestTokens int
}

// Refusal is the error that Acquire returns when it rejects the request for a slot.
type Refusal struct {
	Reason dogwoodfleet.Reason
	// NotRun is true when the request is known not to have run as a result of this call.
	NotRun bool
	// RetryAfter is the delay after which a retry makes sense; 0 means that none does.
	RetryAfter time.Duration
	Detail     string
}

// Error returns the reason and the detail.
func (refusal *Refusal) Error() string {
	return fmt.Sprintf("owner: refused: %s: %s", refusal.Reason, refusal.Detail)
}
