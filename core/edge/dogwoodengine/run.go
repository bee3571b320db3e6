package dogwoodengine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-resty/resty/v2"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Run is a request to start at an engine.
type Run struct {
	ID dogwoodfleet.RequestID
	// Path is PathChat or PathCompletions.
	Path string
	// Body is the caller's JSON body. The client requests a stream even if the body does not.
	Body     []byte
	Priority dogwoodfleet.Priority
	// Budget is the time left until the caller's deadline, after which the engine drops the
	// request.
	Budget time.Duration
	// Gang lists all engines that hold the request's memory, the primary engine first. It is
	// empty if one engine is enough.
	Gang         []dogwoodfleet.Endpoint
	PromptTokens int
	MaxTokens    int
	// LoadID identifies the request of a load test. It is forwarded to the engine.
	LoadID string
}

// Start sends a request to an engine and returns its stream once the engine has accepted it.
// The context bounds only the start; the stream stays open until its Close. The error is
// *NotStarted, *Broken or *Answered.
func (client *Client) Start(ctx context.Context, endpoint dogwoodfleet.Endpoint, run Run) (*Stream, error) {
	body, err := streamingBody(run.Body)
	if err != nil {
		return nil, &NotStarted{Endpoint: endpoint.ID, Cause: err}
	}
	gang, err := client.reserveGang(ctx, endpoint, run)
	if err != nil {
		return nil, &NotStarted{Endpoint: endpoint.ID, Cause: err}
	}
	stream := &Stream{
		client:          client,
		endpoint:        endpoint,
		run:             run,
		gang:            gang,
		runInBackground: client.backgroundRunner(ctx),
	}
	stream.connection, err = client.open(ctx, stream, http.MethodPost, run.Path, body)
	if err == nil {
		return stream, nil
	}
	return client.resolveFailedStart(ctx, stream, err)
}

// resolveFailedStart determines whether a request began at the engine after its first
// connection failed, and returns its stream if it did.
func (client *Client) resolveFailedStart(ctx context.Context, stream *Stream, cause error) (*Stream, error) {
	endpoint := stream.endpoint.ID
	var answered *Answered
	var unknown *Unknown
	switch {
	case isDialError(cause):
		stream.ended = true
		stream.Close()
		return nil, &NotStarted{Endpoint: endpoint, Cause: cause}
	case errors.As(cause, &answered):
		stream.ended = true
		stream.Close()
		if answered.NotRun {
			return nil, &NotStarted{Endpoint: endpoint, Cause: answered}
		}
		return nil, answered
	case ctx.Err() != nil:
		stream.Close()
		return nil, stream.brokenError(ctx.Err())
	}
	client.logger.Info("connection failed during start, querying the engine", "endpoint", endpoint, "request", stream.run.ID, "cause", cause)
	err := stream.reconnect(ctx, cause)
	if err == nil {
		return stream, nil
	}
	if !errors.As(err, &unknown) {
		stream.Close()
		return nil, stream.brokenError(err)
	}
	return nil, client.confirmNotStarted(ctx, stream, unknown.Instance, cause)
}

// confirmNotStarted cancels a request of which the engine has no record, so that the engine
// process refuses its ID from then on. Without the cancel, bytes still in transit could start
// the request after its caller was sent the answer "not run". The error is *NotStarted if the
// engine confirms that the request did not begin, else *Broken.
func (client *Client) confirmNotStarted(ctx context.Context, stream *Stream, instance dogwoodfleet.InstanceID, cause error) error {
	defer stream.Close()
	cancelled, err := client.cancelOnce(ctx, stream.endpoint, stream.run.ID)
	if err != nil || cancelled.Begun || cancelled.Instance != instance || stream.instance != "" {
		return stream.brokenError(cause)
	}
	stream.ended = true
	// The request may have run on an earlier process at that address, which has died since.
	// Only the process that the owner had recorded before the start can confirm that it did not.
	if recorded := stream.endpoint.Instance; recorded == "" || recorded != instance {
		return stream.brokenError(cause)
	}
	return &NotStarted{Endpoint: stream.endpoint.ID, Cause: cause}
}

// open opens a connection that receives the stream's events.
func (client *Client) open(ctx context.Context, stream *Stream, method, path string, body []byte) (*connection, error) {
	lifetime, cancel := context.WithCancel(context.WithoutCancel(ctx))
	detachFromCaller := context.AfterFunc(ctx, cancel)
	defer detachFromCaller()
	silenceTimer := time.AfterFunc(client.silenceTimeout, cancel)
	defer silenceTimer.Stop()
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(lifetime, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	call := client.http.R().SetContext(traced).SetDoNotParseResponse(true)
	stream.run.setHeaders(call, stream.gang)
	if method == http.MethodGet {
		call.SetHeader("Accept", "text/event-stream")
		call.SetHeader(HeaderLastEventID, eventID(string(stream.run.ID), stream.nextIndex-1))
	} else {
		call.SetBody(body)
	}
	response, err := call.Execute(method, endpointURL(stream.endpoint, path))
	if err != nil {
		cancel()
		if !connected.Load() {
			err = &dialError{cause: err}
		}
		return nil, Error.New("%s at %s: %w", path, stream.endpoint.ID, err)
	}
	if err := checkStreamResponse(response); err != nil {
		cancel()
		return nil, err
	}
	if stream.instance == "" {
		stream.instance = dogwoodfleet.InstanceID(response.Header().Get(HeaderInstance))
		stream.cold = isCold(response.Header())
	}
	return newConnection(lifetime, cancel, response.RawBody()), nil
}

// checkStreamResponse returns an error and closes the body if a response is not a stream.
func checkStreamResponse(response *resty.Response) error {
	header := response.Header()
	isStream := strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
	if response.StatusCode() == http.StatusOK && isStream {
		return nil
	}
	body := response.RawBody()
	defer body.Close() //nolint:errcheck // read to the end or abandoned
	text, err := io.ReadAll(io.LimitReader(body, maxEventBytes))
	if err != nil {
		return Error.New("reading the answer: %w", err)
	}
	if response.StatusCode() == http.StatusOK {
		return &Answered{Status: http.StatusBadGateway, Body: []byte("the engine answered without a stream")}
	}
	if response.StatusCode() == http.StatusNotFound && response.Request.Method == http.MethodGet {
		return &Unknown{Instance: dogwoodfleet.InstanceID(header.Get(HeaderInstance))}
	}
	return &Answered{Status: response.StatusCode(), Body: text, NotRun: header.Get(HeaderNotRun) == "true"}
}

// setHeaders sets the request's headers on the call.
func (run *Run) setHeaders(call *resty.Request, gang *gangReservation) {
	call.SetHeader("Content-Type", "application/json")
	call.SetHeader(HeaderRequestID, string(run.ID))
	call.SetHeader(HeaderPriority, strconv.Itoa(int(run.Priority)))
	if run.Budget > 0 {
		call.SetHeader(HeaderBudget, run.Budget.String())
	}
	if run.LoadID != "" {
		call.SetHeader(HeaderLoadID, run.LoadID)
	}
	if helpers := gang.helperAddresses(); helpers != "" {
		call.SetHeader(HeaderGang, helpers)
	}
}
