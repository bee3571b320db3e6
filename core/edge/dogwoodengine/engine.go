// Package dogwoodengine is the client of model engines: it starts requests, reads their
// streams through broken and silent connections, cancels what callers left, and asks and
// orders engines. docs/ENGINE.md describes the protocol.
//
// Every call opens a connection of its own. A connection kept for reuse may have gone
// silent, and net/http's Transport repeats a request by itself when a reused connection
// breaks; on a fresh one it does not. A connection costs a round trip, about a
// millisecond inside a region, against prompts of tens of milliseconds and more.
package dogwoodengine

import (
	"context"
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
)

// Error is the class of this package's errors.
var Error = errs.Class("engine")

// DefaultSilence is how long a connection may bring nothing. Engines send a comment
// every 500 ms while they have nothing else, so this is four of them lost.
const DefaultSilence = 2 * time.Second

// Options configure a client.
type Options struct {
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Silence is how long a connection may bring nothing before it is given up.
	Silence time.Duration
	Logger  hclog.Logger
}

// Client talks to engines. It is safe for concurrent use.
type Client struct {
	http       *resty.Client
	silence    time.Duration
	logger     hclog.Logger
	background sync.WaitGroup
	// mutex guards closing, which is true once no more work is begun in the background.
	mutex   sync.Mutex
	closing bool
	// lifetime ends the work in the background; the calls for requests have contexts of their own.
	lifetime context.Context //nolint:containedctx // the lifetime of the client's own work, not of a call
	end      context.CancelFunc
}

// New returns a client.
func New(options Options) *Client {
	if options.Silence <= 0 {
		options.Silence = DefaultSilence
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	if options.Dial == nil {
		dialer := &net.Dialer{Timeout: options.Silence}
		options.Dial = dialer.DialContext
	}
	transport := &http.Transport{
		DialContext:        options.Dial,
		DisableKeepAlives:  true, // see the package comment
		DisableCompression: true,
	}
	client := resty.NewWithClient(&http.Client{Transport: transport}).
		SetRetryCount(0).
		SetRedirectPolicy(resty.RedirectPolicyFunc(func(*http.Request, []*http.Request) error {
			// A redirect that is followed would run the request a second time elsewhere.
			return http.ErrUseLastResponse
		}))
	lifetime, end := context.WithCancel(context.Background())
	return &Client{
		http: client, silence: options.Silence, logger: options.Logger.Named("engine"),
		lifetime: lifetime, end: end,
	}
}

// inBackground runs work that Close waits for. A daemon that is killed, or whose time to stop
// is over, closes the client under requests that still run; what these leave behind at the
// engines the soft owners find in the engines' lists, as they do after a crash.
func (client *Client) inBackground(work func()) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.closing {
		client.logger.Debug("nothing more is cancelled or released at the end")
		return
	}
	client.background.Go(work)
}

// Close returns when the cancels under way in the background are done or given up. The end
// of the context gives them up: the soft owners find what is left in the engines' lists.
func (client *Client) Close(ctx context.Context) {
	client.mutex.Lock()
	client.closing = true
	client.mutex.Unlock()
	stop := context.AfterFunc(ctx, client.end)
	defer stop()
	client.background.Wait()
	client.end()
}

// dialError marks a failure before a connection was made: no byte of the request can have left.
type dialError struct{ cause error }

func (dialing *dialError) Error() string { return "connecting: " + dialing.cause.Error() }
func (dialing *dialError) Unwrap() error { return dialing.cause }

func address(endpoint dogwoodfleet.Endpoint, path string) string {
	return "http://" + endpoint.Address.String() + path
}

// Load asks an engine for its lagging report. That it is cold is told without a lag.
func (client *Client) Load(ctx context.Context, endpoint dogwoodfleet.Endpoint) (Load, error) {
	load, header, err := get[Load](ctx, client, endpoint, PathLoad)
	load.Cold = load.Cold || isCold(header)
	return load, err
}

// State asks an engine for its own list of what holds its memory.
func (client *Client) State(ctx context.Context, endpoint dogwoodfleet.Endpoint) (State, error) {
	state, header, err := get[State](ctx, client, endpoint, PathStreams)
	state.Cold = isCold(header)
	return state, err
}

// isCold reads the word that a cold engine gives with each of its answers.
func isCold(header http.Header) bool {
	return header.Get(HeaderCold) == "true"
}

// Streams asks an engine for the requests that it knows.
func (client *Client) Streams(ctx context.Context, endpoint dogwoodfleet.Endpoint) ([]Running, error) {
	state, err := client.State(ctx, endpoint)
	return state.Running, err
}

// CacheEvents asks an engine for its cache events after a sequence number. The gap is true
// when an event between was lost, so that what is known of the cache may be wrong.
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

// Order tells an engine what to hold. The error is *OldFence when the engine has seen a
// higher fencing number.
func (client *Client) Order(ctx context.Context, endpoint dogwoodfleet.Endpoint, order Order) error {
	return client.send(ctx, http.MethodPost, endpoint, PathOrders, order, nil)
}

// Cancel ends a request at an engine, whether or not it has arrived there yet. It tries once.
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

// send makes one control call of whose answer only the body matters.
func (client *Client) send(ctx context.Context, method string, endpoint dogwoodfleet.Endpoint, path string, body, answer any) error {
	_, err := client.exchange(ctx, method, endpoint, path, body, answer)
	return err
}

// exchange makes one control call, bounded by the time a connection may be silent. The
// header is nil when no answer came.
func (client *Client) exchange(ctx context.Context, method string, endpoint dogwoodfleet.Endpoint, path string, body, answer any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, client.silence)
	defer cancel()
	var refused Refused
	call := client.http.R().SetContext(ctx).SetError(&refused)
	if body != nil {
		call.SetBody(body).SetHeader("Content-Type", "application/json")
	}
	if answer != nil {
		call.SetResult(answer)
	}
	response, err := call.Execute(method, address(endpoint, path))
	if err != nil {
		return nil, Error.New("%s %s at %s: %w", method, path, endpoint.ID, err)
	}
	if response.IsSuccess() {
		return response.Header(), nil
	}
	return response.Header(), refusal(response.StatusCode(), response.Header(), &refused)
}

func refusal(status int, header http.Header, refused *Refused) error {
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
