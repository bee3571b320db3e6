package dogwooddispatch

import (
	"context"

	"dogwoodmux.example/core/dogwoodfleet"
)

// ClaimKey identifies a call that may run only once.
type ClaimKey struct {
	Customer dogwoodfleet.Customer
	Service  dogwoodfleet.Service
	Key      string
}

// ClaimState is the state of a key in the table service.
type ClaimState string

// The states of a claim.
const (
	ClaimFresh    ClaimState = "Fresh"    // this attempt holds the key and may be sent
	ClaimAnswered ClaimState = "Answered" // the answer of an earlier attempt is stored
	ClaimRunning  ClaimState = "Running"
	ClaimUnknown  ClaimState = "Unknown"  // an earlier attempt may have run; the call won't run again
	ClaimMismatch ClaimState = "Mismatch" // the key was used for another call
)

// Claim is the result of claiming a key.
type Claim struct {
	State  ClaimState
	Answer *WholeAnswer
}

// EarlierUnknown is the error of Claims.Take if the store can't be reached and an earlier
// attempt with the same key may have been sent by a daemon that can't be reached either.
type EarlierUnknown struct {
	Cause error
}

// Error describes the failure.
func (earlier *EarlierUnknown) Error() string {
	return "whether the call ran before can't be known now: " + earlier.Cause.Error()
}

// Unwrap returns the cause.
func (earlier *EarlierUnknown) Unwrap() error { return earlier.Cause }

// Claims records in the platform's table service which calls were sent.
type Claims interface {
	// Take claims a key for an attempt. An error means that the attempt must not be sent.
	// Unless the error is *EarlierUnknown, no other attempt with the key was sent either.
	Take(ctx context.Context, key ClaimKey, digest dogwoodfleet.Digest, attempt string) (Claim, error)
	// Finish stores the answer.
	Finish(ctx context.Context, key ClaimKey, attempt string, answer *WholeAnswer) error
	// Free removes the claim. It may be called only if the call certainly was not run.
	Free(ctx context.Context, key ClaimKey, attempt string) error
}
