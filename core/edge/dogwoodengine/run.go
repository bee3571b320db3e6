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

// Run is a request for an engine.
type Run struct {
	ID dogwoodfleet.RequestID
	// Path is PathChat or PathCompletions.
	Path string
	// Body is the caller's JSON body; the client asks for a stream whatever it says.
	Body     []byte
	Priority dogwoodfleet.Priority
	// Budget is the time left until the caller's deadline; the engine drops the request after it.
	Budget time.Duration
	// Gang are all the engines that hold the request's memory, the first of them the one
	// that runs it; empty when one engine is enough.
	Gang         []dogwoodfleet.Endpoint
	PromptTokens int
	MaxTokens    int
	// LoadID is passed on so that a load test can tell its requests apart.
	LoadID string
}

// Start sends a request to an engine and returns its stream once the engine has taken it.
// The context bounds the start alone; the stream lives until its Close. The error is
// *NotStarted, *Broken or *Answered.
func (client *Client) Start(ctx context.Context, endpoint dogwoodfleet.Endpoint, order Run) (*Stream, error) {
	body, err := streamedBody(order.Body)
	if err != nil {
		return nil, &NotStarted{Endpoint: endpoint.ID, Cause: err}
	}
	gang, err := client.reserveGang(ctx, endpoint, order)
	if err != nil {
		return nil, &NotStarted{Endpoint: endpoint.ID, Cause: err}
	}
	stream := &Stream{
		client:     client,
		endpoint:   endpoint,
		order:      order,
		gang:       gang,
		afterwards: client.afterwards(ctx),
	}
	stream.connection, err = client.open(ctx, stream, http.MethodPost, order.Path, body)
	if err == nil {
		return stream, nil
	}
	return client.unclearStart(ctx, stream, err)
}

// unclearStart finds out what became of a request whose first connection failed.
func (client *Client) unclearStart(ctx context.Context, stream *Stream, cause error) (*Stream, error) {
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
		return nil, stream.broken(ctx.Err())
	}
	client.logger.Info("start unclear, asking the engine", "endpoint", endpoint, "request", stream.order.ID, "cause", cause)
	err := stream.reconnect(ctx, cause)
	if err == nil {
		return stream, nil
	}
	if !errors.As(err, &unknown) {
		stream.Close()
		return nil, stream.broken(err)
	}
	return nil, client.settle(ctx, stream, unknown.Instance, cause)
}

// settle makes sure of a request that the engine does not know. Failure guarded against: its
// bytes may still be on their way, and run after the caller was told "not run". A cancel
// settles it: from then on that engine process refuses the id.
func (client *Client) settle(ctx context.Context, stream *Stream, instance dogwoodfleet.InstanceID, cause error) error {
	defer stream.Close()
	cancelled, err := client.cancelOnce(ctx, stream.endpoint, stream.order.ID)
	if err != nil || cancelled.Begun || cancelled.Instance != instance || stream.instance != "" {
		return stream.broken(cause)
	}
	stream.ended = true
	// The request may have run on an earlier process at that address, which died since.
	// Only the process that the owner knew before the start can vouch for it.
	if known := stream.endpoint.Instance; known == "" || known != instance {
		return stream.broken(cause)
	}
	return &NotStarted{Endpoint: stream.endpoint.ID, Cause: cause}
}

// open makes a connection that brings the stream's events.
func (client *Client) open(ctx context.Context, stream *Stream, method, path string, body []byte) (*connection, error) {
	lifetime, end := context.WithCancel(context.WithoutCancel(ctx))
	stopWithCaller := context.AfterFunc(ctx, end)
	defer stopWithCaller()
	silent := time.AfterFunc(client.silence, end)
	defer silent.Stop()
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(lifetime, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	call := client.http.R().SetContext(traced).SetDoNotParseResponse(true)
	stream.order.fill(call, stream.gang)
	if method == http.MethodGet {
		call.SetHeader("Accept", "text/event-stream")
		call.SetHeader(HeaderLastEvent, eventID(string(stream.order.ID), stream.next-1))
	} else {
		call.SetBody(body)
	}
	response, err := call.Execute(method, address(stream.endpoint, path))
	if err != nil {
		end()
		if !connected.Load() {
			err = &dialError{cause: err}
		}
		return nil, Error.New("%s at %s: %w", path, stream.endpoint.ID, err)
	}
	if err := acceptable(response); err != nil {
		end()
		return nil, err
	}
	if stream.instance == "" {
		stream.instance = dogwoodfleet.InstanceID(response.Header().Get(HeaderInstance))
		stream.cold = isCold(response.Header())
	}
	return newConnection(lifetime, end, response.RawBody()), nil
}

// acceptable turns an answer that is no stream into an error and closes it.
func acceptable(response *resty.Response) error {
	header := response.Header()
	isStream := strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
	if response.StatusCode() == http.StatusOK && isStream {
		return nil
	}
	body := response.RawBody()
	defer body.Close() //nolint:errcheck // read to the end or given up
	text, err := io.ReadAll(io.LimitReader(body, maxEvent))
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

func (order *Run) fill(call *resty.Request, gang *heldGang) {
	call.SetHeader("Content-Type", "application/json")
	call.SetHeader(HeaderRequestID, string(order.ID))
	call.SetHeader(HeaderPriority, strconv.Itoa(int(order.Priority)))
	if order.Budget > 0 {
		call.SetHeader(HeaderBudget, order.Budget.String())
	}
	if order.LoadID != "" {
		call.SetHeader(HeaderLoadID, order.LoadID)
	}
	if members := gang.others(); members != "" {
		call.SetHeader(HeaderGang, members)
	}
}
