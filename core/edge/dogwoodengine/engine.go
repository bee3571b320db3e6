// Package dogwoodengine is the client of model engines. It starts requests, resumes their
// streams when connections break or fall silent, cancels requests that their callers have
// abandoned, queries engines and sends them orders. docs/ENGINE.md describes the protocol.
//
// Every call opens a new connection. A connection kept for reuse may have fallen silent, and
// net/http's Transport resends a request when a reused connection breaks; on a new
// connection it does not. A new connection costs a round trip, about a millisecond inside a
// region, while a prompt takes tens of milliseconds or more.
package dogwoodengine

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/dogwoodtransport"
)

// Error is the class of this package's errors.
var Error = errs.Class("engine")

// DefaultSilenceTimeout is the default of Options.SilenceTimeout. Engines send a comment every 500 ms while
// they have nothing else to send, so four comments in a row must be missing.
const DefaultSilenceTimeout = 2 * time.Second

const (
	// maxHeadBytes bounds the head of an engine's answer, which has a few hundred bytes.
	maxHeadBytes = 8 << 10
	// maxAnswerBytes bounds the answer to a control call. The longest are lists of some thousand requests or cache events.
	maxAnswerBytes = 8 << 20
)

// Options configure a client.
type Options struct {
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// SilenceTimeout is how long a connection may deliver no bytes before it is closed.
	SilenceTimeout time.Duration
	Logger         hclog.Logger
}

// Client sends requests and orders to engines. It is safe for concurrent use.
type Client struct {
	http           *resty.Client
	silenceTimeout time.Duration
	logger         hclog.Logger
	background     sync.WaitGroup
	// mutex guards closing, which is true once no more background work may start.
	mutex   sync.Mutex
	closing bool
	// lifetime ends the background work. Calls on behalf of requests use their callers' contexts.
	lifetime       context.Context //nolint:containedctx // ends the client's background work, not a call
	cancelLifetime context.CancelFunc
}

// New returns a client.
func New(options Options) *Client {
	if options.SilenceTimeout <= 0 {
		options.SilenceTimeout = DefaultSilenceTimeout
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	if options.Dial == nil {
		dialer := &net.Dialer{Timeout: options.SilenceTimeout}
		options.Dial = dialer.DialContext
	}
	transport := dogwoodtransport.New(&http.Transport{
		DialContext:        options.Dial,
		DisableKeepAlives:  true, // see the package comment
		DisableCompression: true,

		MaxResponseHeaderBytes: maxHeadBytes,
	})
	client := resty.NewWithClient(&http.Client{Transport: transport}).
		SetRetryCount(0).
		SetResponseBodyLimit(maxAnswerBytes).
		SetRedirectPolicy(resty.RedirectPolicyFunc(func(*http.Request, []*http.Request) error {
			// Following a redirect could run the request a second time at another server.
			return http.ErrUseLastResponse
		}))
	lifetime, cancel := context.WithCancel(context.Background())
	return &Client{
		http: client, silenceTimeout: options.SilenceTimeout, logger: options.Logger.Named("engine"),
		lifetime: lifetime, cancelLifetime: cancel,
	}
}

// startBackground runs work in a goroutine that Close waits for. Once Close has been called, it
// drops the work: a daemon that is killed or exceeds its shutdown timeout closes the client
// while requests still run. The owners find the streams and reservations of these requests in
// the engines' lists, as after a crash.
func (client *Client) startBackground(work func()) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.closing {
		client.logger.Debug("client is closing, background work dropped")
		return
	}
	client.background.Go(func() { dogwoodkernel.LogPanic(client.logger, "background work", work) })
}

// Close waits until the cancels that run in the background are confirmed or abandoned. They
// are abandoned when the context ends; the owners find the remaining streams and reservations
// in the engines' lists.
func (client *Client) Close(ctx context.Context) {
	client.mutex.Lock()
	client.closing = true
	client.mutex.Unlock()
	stop := context.AfterFunc(ctx, client.cancelLifetime)
	defer stop()
	client.background.Wait()
	client.cancelLifetime()
}

// dialError marks a failure before the connection was made: no byte of the request was sent.
type dialError struct{ cause error }

func (dialing *dialError) Error() string { return "connecting: " + dialing.cause.Error() }
func (dialing *dialError) Unwrap() error { return dialing.cause }

func endpointURL(endpoint dogwoodfleet.Endpoint, path string) string {
	return "http://" + endpoint.Address.String() + path
}

// Load returns an engine's load report. The report lags, except for Cold, which the response
// header states without a lag.
func (client *Client) Load(ctx context.Context, endpoint dogwoodfleet.Endpoint) (Load, error) {
	load, header, err := get[Load](ctx, client, endpoint, PathLoad)
	load.Cold = load.Cold || isCold(header)
	return load, err
}

// State returns an engine's list of the requests and reservations that hold its memory.
func (client *Client) State(ctx context.Context, endpoint dogwoodfleet.Endpoint) (State, error) {
	state, header, err := get[State](ctx, client, endpoint, PathStreams)
	state.Cold = isCold(header)
	return state, err
}

// isCold reports whether a response comes from a cold engine, which marks all its responses.
func isCold(header http.Header) bool {
	return header.Get(HeaderCold) == "true"
}

// Streams returns the requests that an engine lists.
func (client *Client) Streams(ctx context.Context, endpoint dogwoodfleet.Endpoint) ([]Running, error) {
	state, err := client.State(ctx, endpoint)
	return state.Running, err
}

// CacheEvents returns an engine's cache events after a sequence number. The gap is true if an
// event in between was lost, so that a copy of the cache's index may be wrong.
func (client *Client) CacheEvents(ctx context.Context, endpoint dogwoodfleet.Endpoint, after uint64) (answer CacheEvents, gap bool, err error) {
	answer, _, err = get[CacheEvents](ctx, client, endpoint, PathEvents+"?after="+strconv.FormatUint(after, 10))
	if err != nil {
		return answer, false, err
	}
	next := after + 1
	for _, event := range answer.Events {
		if event.Sequence != next {
			gap = true
		}
		next = event.Sequence + 1
	}
	return answer, gap || next <= answer.Last || answer.Last < after, nil
}

// Order sends an order to an engine. The error is *OldFence if the engine has seen a higher
// fencing number.
func (client *Client) Order(ctx context.Context, endpoint dogwoodfleet.Endpoint, order Order) error {
	return client.send(ctx, http.MethodPost, endpoint, PathOrders, order, nil)
}

// Cancel cancels a request at an engine, whether or not it has arrived there. It does not
// retry.
func (client *Client) Cancel(ctx context.Context, endpoint dogwoodfleet.Endpoint, id dogwoodfleet.RequestID) error {
	_, err := client.cancelOnce(ctx, endpoint, id)
	return err
}

func (client *Client) cancelOnce(ctx context.Context, endpoint dogwoodfleet.Endpoint, id dogwoodfleet.RequestID) (Cancelled, error) {
	var cancelled Cancelled
	err := client.send(ctx, http.MethodDelete, endpoint, PathStreams+"/"+string(id), nil, &cancelled)
	return cancelled, err
}

func get[T any](ctx context.Context, client *Client, endpoint dogwoodfleet.Endpoint, path string) (T, http.Header, error) {
	var answer T
	header, err := client.exchange(ctx, http.MethodGet, endpoint, path, nil, &answer)
	return answer, header, err
}

// send makes one control call and discards the response header.
func (client *Client) send(ctx context.Context, method string, endpoint dogwoodfleet.Endpoint, path string, body, answer any) error {
	_, err := client.exchange(ctx, method, endpoint, path, body, answer)
	return err
}

// exchange makes one control call, with the client's silence limit as its timeout. The header
// is nil if there was no response.
func (client *Client) exchange(ctx context.Context, method string, endpoint dogwoodfleet.Endpoint, path string, body, answer any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, client.silenceTimeout)
	defer cancel()
	var refused Refused
	call := client.http.R().SetContext(ctx).SetError(&refused)
	if body != nil {
		call.SetBody(body).SetHeader("Content-Type", "application/json")
	}
	response, err := call.Execute(method, endpointURL(endpoint, path))
	if err != nil {
		return nil, Error.New("%s %s at %s: %w", method, path, endpoint.ID, err)
	}
	if response.IsSuccess() {
		if answer != nil { // resty would leave it empty if the content type is missing
			err = json.Unmarshal(response.Body(), answer)
		}
		return response.Header(), Error.Wrap(err)
	}
	return response.Header(), responseError(response.StatusCode(), response.Header(), &refused)
}

// responseError returns the error for a response without a success status.
func responseError(status int, header http.Header, refused *Refused) error {
	switch {
	case status == http.StatusConflict && refused.Fence > 0:
		return &OldFence{Seen: refused.Fence}
	case status == http.StatusInsufficientStorage:
		return &NoMemory{FreeTokens: refused.FreeTokens}
	case status == http.StatusNotFound:
		return &Unknown{Instance: dogwoodfleet.InstanceID(header.Get(HeaderInstance))}
	}
	return &Answered{Status: status, Body: []byte(refused.Detail), NotRun: header.Get(HeaderNotRun) == "true"}
}

func isDialError(err error) bool {
	var dialing *dialError
	return errors.As(err, &dialing)
}
