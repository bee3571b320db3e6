package dogwooddispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

// MaxAnswerBytes bounds a plain service's answer, which is buffered so that a caller never
// gets a partial one. Plain services are expected to answer with a few kilobytes.
const MaxAnswerBytes = 16 << 20

// WholeAnswer is a plain service's complete answer.
type WholeAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	// Stored is true if the answer was stored by an earlier attempt with the same key.
	Stored bool
}

// Service calls a plain service. Any error is a *Failure.
func (dispatcher *Dispatcher) Service(ctx context.Context, call *Call) (*WholeAnswer, error) {
	if !call.Request.Repeatable {
		return dispatcher.sendOnce(ctx, call)
	}
	return dispatcher.callService(ctx, call)
}

func (dispatcher *Dispatcher) callService(ctx context.Context, call *Call) (*WholeAnswer, error) {
	var answer *WholeAnswer
	err := dispatcher.serve(ctx, call, func(ctx context.Context, grant dogwoodowner.Grant, request *dogwoodfleet.Request) outcome {
		var result outcome
		answer, result = dispatcher.tryService(ctx, call, grant, request)
		return result
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

func (dispatcher *Dispatcher) tryService(ctx context.Context, call *Call, grant dogwoodowner.Grant, request *dogwoodfleet.Request) (*WholeAnswer, outcome) {
	sent := time.Now()
	response, err := dispatcher.options.Services.Do(ctx, grant.Endpoint, ServiceRequest{
		ID: request.ID, Method: call.Method, Target: call.Target, Header: call.Header, Body: call.Body,
	})
	if err != nil {
		result := failedOutcome(ctx, err)
		result.release.Took = time.Since(sent)
		return nil, result
	}
	firstByte := time.Since(sent)
	answer, result := readAnswer(ctx, response)
	result.release.FirstToken = firstByte
	result.release.Took = time.Since(sent)
	return answer, result
}

func readAnswer(ctx context.Context, response *ServiceAnswer) (*WholeAnswer, outcome) {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		result := failedOutcome(ctx, &Broken{Cause: err})
		result.failure.Run = dogwoodfleet.WasRun // it began to answer
		return nil, result
	}
	if len(body) > MaxAnswerBytes {
		result := failedOutcome(ctx, &Answered{Status: http.StatusBadGateway, Body: []byte("the answer is too large")})
		return nil, result
	}
	result := outcome{release: dogwoodowner.Release{Result: dogwoodfleet.ResultDone}}
	if response.Status >= http.StatusInternalServerError {
		result.release.Result = dogwoodfleet.ResultFailed
	}
	return &WholeAnswer{Status: response.Status, Header: response.Header, Body: body}, result
}

// sendOnce claims a call that must not be repeated, then sends it at most once.
func (dispatcher *Dispatcher) sendOnce(ctx context.Context, call *Call) (*WholeAnswer, error) {
	if call.Key == "" {
		return nil, &Failure{Reason: dogwoodfleet.ReasonKeyMissing, Run: dogwoodfleet.NotRun, Detail: "this call may not be repeated and needs an Idempotency-Key"}
	}
	key := ClaimKey{Customer: call.Request.Customer, Service: call.Request.Service, Key: call.Key}
	id := string(call.Request.ID)
	claim, err := dispatcher.options.Claims.Take(ctx, key, call.Request.Digest, id)
	if err != nil {
		counters.Add("ClaimsRefused", 1)
		return nil, claimFailure(err)
	}
	if claim.State != ClaimFresh {
		return answerFromClaim(claim)
	}
	answer, err := dispatcher.callService(ctx, call)
	if err != nil {
		dispatcher.freeClaim(ctx, key, id, err)
		return nil, err
	}
	dispatcher.storeAnswer(ctx, key, id, answer)
	return answer, nil
}

// claimFailure returns the failure of a call that could not be claimed. This attempt was
// not sent, but the failure says "not run" only if no other attempt with its key was sent.
func claimFailure(err error) *Failure {
	failure := &Failure{
		Reason: dogwoodfleet.ReasonStore, Run: dogwoodfleet.NotRun, RetryAfter: storeRetryAfter,
		Detail: "the call could not be claimed: " + err.Error(),
	}
	var earlier *EarlierUnknown
	if errors.As(err, &earlier) {
		failure.Run = dogwoodfleet.RunUnknown
		failure.Detail += "; send it again with the same Idempotency-Key"
	}
	return failure
}

// storeRetryAfter is the interval at which the claims' circuit breaker probes the store.
const storeRetryAfter = 2 * time.Second

// answerFromClaim returns the outcome of a call whose key was claimed by another attempt.
func answerFromClaim(claim Claim) (*WholeAnswer, error) {
	switch claim.State {
	case ClaimAnswered:
		counters.Add("AnswersStored", 1)
		answer := *claim.Answer
		answer.Stored = true
		return &answer, nil
	case ClaimRunning:
		return nil, &Failure{Reason: dogwoodfleet.ReasonRunning, Run: dogwoodfleet.RunUnknown, RetryAfter: time.Second, Detail: "another try with this Idempotency-Key runs"}
	case ClaimMismatch:
		return nil, &Failure{Reason: dogwoodfleet.ReasonKeyReused, Run: dogwoodfleet.NotRun, Detail: "this Idempotency-Key was used for another call"}
	default:
		return nil, &Failure{Reason: dogwoodfleet.ReasonOutcome, Run: dogwoodfleet.RunUnknown, Detail: "whether the call ran is not known; it will not run again"}
	}
}

// storeWriteTimeout bounds a write to the store after a call has ended. The write doesn't
// use the caller's context, which may have ended, because the answer must still be stored.
const storeWriteTimeout = 2 * time.Second

// freeClaim frees the key of a call that certainly was not run, so that the caller can send
// it again. Any other call keeps its claim, because it must not run a second time.
func (dispatcher *Dispatcher) freeClaim(ctx context.Context, key ClaimKey, id string, cause error) {
	var failure *Failure
	if !errors.As(cause, &failure) || failure.Run != dogwoodfleet.NotRun {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeWriteTimeout)
	defer cancel()
	if err := dispatcher.options.Claims.Free(ctx, key, id); err != nil {
		dispatcher.options.Logger.Warn("failed to free a claimed key", "request", id, "error", err)
	}
}

// storeAnswer stores an answer before it is sent to the caller, so that a caller that lost
// its connection can send the call again and get the answer. If storing fails, only the stored answer is missing:
// the claim remains and still prevents a second run.
func (dispatcher *Dispatcher) storeAnswer(ctx context.Context, key ClaimKey, id string, answer *WholeAnswer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeWriteTimeout)
	defer cancel()
	if err := dispatcher.options.Claims.Finish(ctx, key, id, answer); err != nil {
		counters.Add("AnswersNotStored", 1)
		dispatcher.options.Logger.Warn("failed to store an answer", "request", id, "error", err)
	}
}
