// Package dogwoodplatform is a client for the platform's services that docs/PLATFORM.md
// describes: tables, objects, the VM list and the weight store.
//
// Calls are never retried by the client: after a lost answer, a hidden retry of a write would
// conflict with the first write. Each service has a circuit breaker that, while it is open,
// admits one probe at a time. Without it, every claim of an idempotency key during an outage
// would wait for its timeout and claims would pile up; with it, they are rejected at once.
package dogwoodplatform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/sony/gobreaker/v2"
	"github.com/zeebo/errs"

	"dogwoodmux.example/core/dogwoodtransport"
	"dogwoodmux.example/core/state/dogwoodtable"
)

// Error is the class of this package's errors.
var Error = errs.Class("platform")

// The failures that callers distinguish, as defined by dogwoodtable.
type (
	// Unavailable reports that the call certainly had no effect.
	Unavailable = dogwoodtable.Unavailable
	// Unknown reports that a write may have taken effect.
	Unknown = dogwoodtable.Unknown
	// Conflict reports that a condition failed and nothing was written.
	Conflict = dogwoodtable.Conflict
)

const (
	// defaultTimeout bounds one call. A healthy table service answers in about ten
	// milliseconds. A claim must be rejected early enough for its caller to retry elsewhere.
	defaultTimeout = time.Second
	// breakerThreshold is the number of consecutive failures that opens a breaker. A store
	// that loses 30 % of its answers is still usable. At that rate, five consecutive failures
	// occur every few seconds and would cause the rejection of claims that could succeed; ten
	// occur once in a hundred thousand calls.
	breakerThreshold = 10
	// breakerOpenTimeout is how long an open breaker rejects calls before it admits one
	// probe. A recovered store is detected within this time plus the duration of one call.
	breakerOpenTimeout = time.Second
	// maxIdleConnections covers the concurrent calls of one daemon.
	maxIdleConnections = 32
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 16 << 10
	// maxAnswerBytes bounds an answer. The largest is a page of 256 rows of 256 KiB each, in base64.
	maxAnswerBytes = 96 << 20
)

// Dialer opens connections. net.Dialer implements it; tests use pipes.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Options configure a client.
type Options struct {
	Tables  netip.AddrPort
	Objects netip.AddrPort
	VMs     netip.AddrPort
	Weights netip.AddrPort
	// Key is sent as a bearer token if it is not empty.
	Key string
	// Timeout bounds each call. 0 means one second.
	Timeout time.Duration
	// Dialer opens the connections. nil means a net.Dialer.
	Dialer Dialer
	// Logger receives log lines. nil means that nothing is logged.
	Logger hclog.Logger
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	tables  *service
	objects *service
	vms     *service
	weights *service
	vmList  vmListCache

	reads  atomic.Int64
	writes atomic.Int64
}

// service is one of the platform's services with its circuit breaker.
type service struct {
	base    string
	timeout time.Duration
	rest    *resty.Client
	// rateLimited is true if status 429 is a regular answer of the service and not a failure.
	rateLimited bool
	breaker     *gobreaker.CircuitBreaker[*resty.Response]
}

// New returns a client. Connections are opened by the first calls.
func New(options Options) *Client {
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	if options.Dialer == nil {
		options.Dialer = &net.Dialer{}
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	rest := newRest(options)
	client := &Client{
		tables:  newService("tables", options.Tables, rest, options),
		objects: newService("objects", options.Objects, rest, options),
		vms:     newService("vms", options.VMs, rest, options),
		weights: newService("weights", options.Weights, rest, options),
	}
	client.weights.rateLimited = true
	return client
}

func newRest(options Options) *resty.Client {
	transport := dogwoodtransport.New(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := options.Dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, &notConnected{cause: err}
			}
			return connection, nil
		},
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     time.Minute,

		MaxResponseHeaderBytes: maxHeadBytes,
		// With a proxy, a failure to connect to the platform could not be distinguished from a
		// failure after the call was sent.
		Proxy: nil,
	})
	rest := resty.NewWithClient(&http.Client{Transport: transport})
	rest.SetRetryCount(0)
	rest.SetResponseBodyLimit(maxAnswerBytes)
	rest.SetRedirectPolicy(resty.NoRedirectPolicy())
	rest.SetLogger(discardLogger{})
	if options.Key != "" {
		rest.SetAuthToken(options.Key)
		// Disables the warning about sending the key over plain HTTP: the platform has no TLS
		// within a data centre.
		rest.SetDisableWarn(true)
	}
	return rest
}

func newService(name string, address netip.AddrPort, rest *resty.Client, options Options) *service {
	logger := options.Logger
	breaker := gobreaker.NewCircuitBreaker[*resty.Response](gobreaker.Settings{
		Name:        name,
		MaxRequests: 1,
		Timeout:     breakerOpenTimeout,
		ReadyToTrip: func(counts gobreaker.Counts) bool {
			return counts.ConsecutiveFailures >= breakerThreshold
		},
		IsExcluded: func(err error) bool { return errors.Is(err, context.Canceled) },
		OnStateChange: func(name string, from, to gobreaker.State) {
			logger.Info("Breaker changed.", "service", name, "from", from.String(), "to", to.String())
		},
	})
	return &service{base: "http://" + address.String(), timeout: options.Timeout, rest: rest, breaker: breaker}
}

// TablesReachable reports whether the table service answered the last call to it.
func (client *Client) TablesReachable() bool {
	breaker := client.tables.breaker
	return breaker.State() == gobreaker.StateClosed && breaker.Counts().ConsecutiveFailures == 0
}

// Close closes the idle connections.
func (client *Client) Close() {
	client.tables.rest.GetClient().CloseIdleConnections()
}

// Counts returns the numbers of read and write calls to the table service.
func (client *Client) Counts() (reads, writes int64) {
	return client.reads.Load(), client.writes.Load()
}

// notConnected is the failure to open a connection, before any byte of the call was sent.
type notConnected struct {
	cause error
}

func (failure *notConnected) Error() string { return fmt.Sprintf("not connected: %v", failure.cause) }
func (failure *notConnected) Unwrap() error { return failure.cause }

// do makes one call. Its error is *Unavailable or *Unknown. A response with a status below
// 500 is returned without an error, except for 429 from a service that is not rateLimited.
func (service *service) do(
	ctx context.Context, method, path string, prepare func(*resty.Request),
) (*resty.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Unavailable{Cause: Error.Wrap(err)}
	}
	response, err := service.breaker.Execute(func() (*resty.Response, error) {
		callCtx, cancel := context.WithTimeout(ctx, service.timeout)
		defer cancel()
		request := service.rest.R().SetContext(callCtx)
		prepare(request)
		response, err := request.Execute(method, service.base+path)
		if errors.Is(err, context.DeadlineExceeded) {
			// This connection may be dead although it is still open, and so may the idle ones.
			// Each would make one call wait for its timeout, and together they would open the
			// breaker.
			service.rest.GetClient().CloseIdleConnections()
		}
		return response, service.classify(response, err)
	})
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		return nil, &Unavailable{Cause: Error.Wrap(err)}
	}
	return response, err
}

// classify returns *Unavailable if the call certainly had no effect, *Unknown if it may have
// had one, and nil if the response is to be returned.
func (service *service) classify(response *resty.Response, err error) error {
	if err != nil {
		var dialErr *notConnected
		if errors.As(err, &dialErr) {
			return &Unavailable{Cause: Error.Wrap(err)}
		}
		return &Unknown{Cause: Error.Wrap(err)}
	}
	status := response.StatusCode()
	switch {
	case status == http.StatusTooManyRequests && service.rateLimited:
		return nil
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return &Unavailable{Cause: Error.New("answered %d", status)}
	case status >= http.StatusInternalServerError:
		return &Unknown{Cause: Error.New("answered %d", status)}
	case !isEndMarked(response.RawResponse):
		return &Unknown{Cause: Error.New("the end of the answer is not marked")}
	}
	return nil
}

// isEndMarked reports whether the end of an answer is marked by its length, by a last chunk or by its compression. The
// end of any other answer is that of its connection, which may also break off: a part of a row would be taken for the whole.
func isEndMarked(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Uncompressed
}

// discardLogger drops the log lines of resty; failures are returned, and callers log them.
type discardLogger struct{}

func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Debugf(string, ...any) {}
