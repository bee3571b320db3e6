package dogwoodadminapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/zeebo/errs"

	"dogwoodmux.example/core/decision/dogwoodburn"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodproblem"
)

// Error is the class of this package's errors.
var Error = errs.Class("administration API")

// callTimeout bounds one call to one daemon. It is well above the time after which a daemon
// stops waiting for the store.
const callTimeout = 10 * time.Second

// Unreachable reports that no daemon answered, but for those that leave.
type Unreachable struct {
	Tried []netip.AddrPort
	Last  error
}

// Error returns the addresses called and the last error.
func (unreachable *Unreachable) Error() string {
	tried := make([]string, len(unreachable.Tried))
	for i, address := range unreachable.Tried {
		tried[i] = address.String()
	}
	return fmt.Sprintf("no daemon answered at %s: %v", strings.Join(tried, ", "), unreachable.Last)
}

// Unwrap returns the error of the last call.
func (unreachable *Unreachable) Unwrap() error {
	return unreachable.Last
}

// Client calls the administration API of the first daemon that answers and does not leave.
type Client struct {
	http      *resty.Client
	addresses []netip.AddrPort
}

// NewClient returns a client that sends calls over the transport and authenticates with the
// key. The transport is a parameter so that tests can replace it.
func NewClient(transport http.RoundTripper, addresses []netip.AddrPort, key string) *Client {
	client := resty.NewWithClient(&http.Client{Transport: transport, Timeout: callTimeout})
	client.SetAuthToken(key)
	client.SetRetryCount(0)
	client.SetLogger(discardLogger{})
	return &Client{http: client, addresses: addresses}
}

// discardLogger drops the log lines of resty; all errors are returned.
type discardLogger struct{}

func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Debugf(string, ...any) {}

// Text returns the operators' text in force.
func (client *Client) Text(ctx context.Context) (Text, error) {
	return get[Text](ctx, client, PathText)
}

// Apply puts a new operators' text in force. Its error is *Conflict, *Invalid,
// *dogwoodproblem.Problem or *Unreachable.
func (client *Client) Apply(ctx context.Context, apply Apply) (Accepted, error) {
	return call[Accepted](ctx, client, http.MethodPost, PathText, apply)
}

// TakeOut takes a data centre or a VM out of service.
func (client *Client) TakeOut(ctx context.Context, move Move) (Accepted, error) {
	return call[Accepted](ctx, client, http.MethodPost, PathTakeOuts, move)
}

// BringBack returns a data centre or a VM to service.
func (client *Client) BringBack(ctx context.Context, move Move) (Accepted, error) {
	return call[Accepted](ctx, client, http.MethodPost, PathBringBacks, move)
}

// Changes returns the changes accepted after the version since.
func (client *Client) Changes(ctx context.Context, since uint64) (Changes, error) {
	return get[Changes](ctx, client, PathChanges+"?since="+strconv.FormatUint(since, 10))
}

// Status returns the state of the deployment with the version in force at each daemon.
func (client *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, client, PathStatus)
}

// Burn returns the burn report over all daemons.
func (client *Client) Burn(ctx context.Context) (dogwoodburn.Report, error) {
	return get[dogwoodburn.Report](ctx, client, PathBurn)
}

// Convictions returns the requests that are rejected because they made endpoints crash.
func (client *Client) Convictions(ctx context.Context) (Convictions, error) {
	return get[Convictions](ctx, client, PathConvictions)
}

// Lift ends a conviction on all daemons.
func (client *Client) Lift(ctx context.Context, lift Lift) (Accepted, error) {
	return call[Accepted](ctx, client, http.MethodPost, PathLifts, lift)
}

// Entry returns the daemon addresses that are given to callers near a data centre.
func (client *Client) Entry(ctx context.Context, dataCentre dogwoodfleet.DataCentre) (Entry, error) {
	return get[Entry](ctx, client, PathEntry+"?datacentre="+url.QueryEscape(string(dataCentre)))
}

func get[T any](ctx context.Context, client *Client, path string) (T, error) {
	return call[T](ctx, client, http.MethodGet, path, nil)
}

// call sends the request to the daemons in turn until one answers that does not leave. It is
// safe to continue after a lost answer: reads have no effect, and a change carries an ID that
// the change log uses to store it only once.
func call[T any](ctx context.Context, client *Client, method, path string, body any) (T, error) {
	var value T
	var lastErr error
	for _, address := range client.addresses {
		request := client.http.R().SetContext(ctx)
		if body != nil {
			request.SetBody(body)
		}
		response, err := request.Execute(method, "http://"+address.String()+path)
		if err != nil {
			lastErr = Error.Wrap(err)
			continue
		}
		err = decode(response, &value)
		if !isLeaving(err) {
			return value, err
		}
		if lastErr == nil { // an answer that was lost says more: the request may have run
			lastErr = err
		}
	}
	if lastErr == nil {
		lastErr = errors.New("no address given")
	}
	return value, &Unreachable{Tried: client.addresses, Last: lastErr}
}

// isLeaving reports whether an error is the refusal of a daemon that leaves.
func isLeaving(err error) bool {
	var problem *dogwoodproblem.Problem
	return errors.As(err, &problem) && problem.Kind() == KindLeaving
}

func decode(response *resty.Response, value any) error {
	if response.IsError() {
		return responseError(response)
	}
	if len(response.Body()) == 0 {
		return nil
	}
	if err := json.Unmarshal(response.Body(), value); err != nil {
		return Error.Wrap(fmt.Errorf("reading the answer: %w", err))
	}
	return nil
}

// responseError converts an error response to *Conflict, *Invalid or *dogwoodproblem.Problem.
func responseError(response *resty.Response) error {
	var problem dogwoodproblem.Problem
	if err := json.Unmarshal(response.Body(), &problem); err != nil {
		return Error.New("status %s without problem details", response.Status())
	}
	var typed error = &problem
	switch problem.Kind() {
	case KindConflict:
		typed = &Conflict{}
	case KindInvalid:
		typed = &Invalid{}
	default:
		return typed
	}
	if err := json.Unmarshal(response.Body(), typed); err != nil {
		return &problem
	}
	return typed
}
