package dogwooddispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

// Prompt runs a model request and forwards its events to the answer as they arrive. A nil error
// means that the answer is complete. Any error is a *Failure.
func (dispatcher *Dispatcher) Prompt(ctx context.Context, call *Call, answer PromptAnswerWriter) error {
	return dispatcher.serve(ctx, call, func(ctx context.Context, grant dogwoodowner.Grant, request *dogwoodfleet.Request) outcome {
		return dispatcher.tryPrompt(ctx, call, answer, grant, request)
	})
}

func (dispatcher *Dispatcher) tryPrompt(ctx context.Context, call *Call, answer PromptAnswerWriter, grant dogwoodowner.Grant, request *dogwoodfleet.Request) outcome {
	answer.Restart()
	sent := time.Now()
	stream, err := dispatcher.options.Engines.Start(ctx, grant.Endpoint, Run{
		ID: request.ID, Path: call.Target, Body: call.Body, Priority: grant.Priority,
		Budget: time.Until(request.Deadline), Gang: grant.Gang,
		PromptTokens: request.PromptTokens, MaxTokens: request.MaxTokens, LoadID: call.LoadID,
	})
	if err != nil {
		result := failedOutcome(ctx, err)
		result.release.Took = time.Since(sent)
		return result
	}
	// Close cancels a request that still runs at the engine, so that no memory stays allocated
	// there after the caller disconnected or the deadline passed.
	defer stream.Close()
	if stream.Cold() {
		dispatcher.options.Slots.ToldCold(ctx, grant.Endpoint, stream.Instance())
	}
	began := func(begun time.Time) {
		if len(request.Blocks) > 0 {
			dispatcher.options.Slots.Began(grant, begun)
		}
	}
	result, firstToken, count := forward(ctx, stream, answer, sent, began)
	result.release.FirstToken = firstToken
	result.release.Took = time.Since(sent)
	result.release.PromptTokens = request.PromptTokens
	result.release.OutputTokens = count
	result.release.Instance = stream.Instance()
	result.release.Cold = stream.Cold()
	return result
}

// forward copies a stream's events to the answer until the stream ends or the caller
// disconnects. It calls began once the endpoint has lived on for dogwoodowner.BeginTime after the first token. It returns the
// outcome, the time to the first token and the number of events.
func forward(ctx context.Context, stream Stream, answer PromptAnswerWriter, sent time.Time, began func(begun time.Time)) (result outcome, firstToken time.Duration, count int) {
	for {
		event, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return outcome{release: dogwoodowner.Release{Result: dogwoodfleet.ResultDone}}, firstToken, count
		}
		if err != nil {
			result = failedOutcome(ctx, err)
			result.streamed = answer.Begun()
			if count > 0 {
				result.failure.Run = dogwoodfleet.WasRun
			}
			return result, firstToken, count
		}
		if count == 0 {
			firstToken = time.Since(sent)
		}
		if took := time.Since(sent); began != nil && took-firstToken >= dogwoodowner.BeginTime {
			began(sent.Add(firstToken))
			began = nil
		}
		count++
		if err := answer.Event(event); err != nil {
			result = outcome{
				failure:  &Failure{Reason: dogwoodfleet.ReasonCancelled, Run: dogwoodfleet.WasRun, Detail: "the caller left"},
				streamed: true,
				release:  dogwoodowner.Release{Result: dogwoodfleet.ResultCancelled},
			}
			return result, firstToken, count
		}
	}
}
