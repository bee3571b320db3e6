package dogwooddaemon

import (
	"context"
	"errors"
	"io"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/duty/dogwooddispatch"
	"dogwoodmux.example/core/edge/dogwoodengine"
	"dogwoodmux.example/core/edge/dogwoodservice"
)

func init() {
	dogwoodkernel.Register(dogwoodkernel.NewPlugin(pluginEngine, nil, startEngine))
}

func startEngine(_ context.Context, kernel *dogwoodkernel.Kernel, environment *environment) (*dogwoodkernel.ValuePart[*dogwoodengine.Client], error) {
	client := dogwoodengine.New(dogwoodengine.Options{Dial: environment.network.DialContext, Logger: kernel.Logger})
	return &dogwoodkernel.ValuePart[*dogwoodengine.Client]{Value: client, OnStop: func(ctx context.Context) error {
		client.Close(ctx)
		return nil
	}}, nil
}

// dispatchEngines adapts the engine client and its errors to the dispatcher.
type dispatchEngines struct {
	client *dogwoodengine.Client
}

// Start sends a request to an engine and returns the stream of its events.
func (engines dispatchEngines) Start(ctx context.Context, endpoint dogwoodfleet.Endpoint, run dogwooddispatch.Run) (dogwooddispatch.Stream, error) {
	started, err := engines.client.Start(ctx, endpoint, dogwoodengine.Run{
		ID: run.ID, Path: run.Path, Body: run.Body, Priority: run.Priority, Budget: run.Budget, Gang: run.Gang,
		PromptTokens: run.PromptTokens, MaxTokens: run.MaxTokens, LoadID: run.LoadID,
	})
	if err != nil {
		return nil, dispatchError(err)
	}
	return &dispatchStream{Stream: started}, nil
}

// Cancel cancels a request at an engine.
func (engines dispatchEngines) Cancel(ctx context.Context, endpoint dogwoodfleet.Endpoint, id dogwoodfleet.RequestID) error {
	return Error.Wrap(engines.client.Cancel(ctx, endpoint, id))
}

// dispatchStream adapts an engine's stream and its errors to the dispatcher.
type dispatchStream struct {
	*dogwoodengine.Stream
}

// Next returns the next event, or io.EOF at the end of the stream.
func (stream *dispatchStream) Next(ctx context.Context) (dogwooddispatch.Event, error) {
	event, err := stream.Stream.Next(ctx)
	if errors.Is(err, io.EOF) {
		return dogwooddispatch.Event{}, io.EOF
	}
	if err != nil {
		return dogwooddispatch.Event{}, dispatchError(err)
	}
	return dogwooddispatch.Event{Index: event.Index, Data: event.Data}, nil
}

// dispatchError converts an error of the engine client to one of the dispatcher.
func dispatchError(err error) error {
	var notStarted *dogwoodengine.NotStarted
	var answered *dogwoodengine.Answered
	switch {
	case errors.As(err, &notStarted):
		return &dogwooddispatch.NotStarted{Cause: err}
	case errors.As(err, &answered):
		return &dogwooddispatch.Answered{Status: answered.Status, Body: answered.Body}
	default:
		return &dogwooddispatch.Broken{Cause: err}
	}
}

// dispatchServices adapts the plain-service client and its errors to the dispatcher.
type dispatchServices struct {
	client *dogwoodservice.Client
}

// Do sends a call to a plain service.
func (services dispatchServices) Do(ctx context.Context, endpoint dogwoodfleet.Endpoint, call dogwooddispatch.ServiceRequest) (*dogwooddispatch.ServiceAnswer, error) {
	response, err := services.client.Do(ctx, endpoint, dogwoodservice.Request{ //nolint:bodyclose // the dispatcher closes it
		ID: call.ID, Method: call.Method, Target: call.Target, Header: call.Header, Body: call.Body,
	})
	if err == nil {
		return &dogwooddispatch.ServiceAnswer{Status: response.StatusCode, Header: response.Header, Body: response.Body}, nil
	}
	var notSent *dogwoodservice.NotSentError
	if errors.As(err, &notSent) {
		return nil, &dogwooddispatch.NotStarted{Cause: err}
	}
	return nil, &dogwooddispatch.Broken{Cause: err}
}
