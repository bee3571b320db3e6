package dogwoodsender

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/alitto/pond/v2"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodproblem"
	"dogwoodmux.example/dogwoodload/dogwoodtrace"
)

// The headers of the callers' protocol.
const (
	headerDeadline  = "Dogwood-Deadline"
	headerKey       = "Idempotency-Key"
	headerRequestID = "Dogwood-Request-Id"
	headerLoadID    = "X-Load-ID"
)

const (
	// deadlineGrace is how long after the deadline of a request the caller abandons it.
	deadlineGrace = 5 * time.Second
	// dialTimeout bounds the dialing of one address, after which the next one is dialed.
	dialTimeout = time.Second
	// maxConcurrentRequests bounds the requests in flight. If a trace needs more, requests are
	// sent later than their arrival time.
	maxConcurrentRequests = 8192
)

// Options configure a sender.
type Options struct {
	Trace    *dogwoodtrace.Trace
	Accounts []Account
	// Seeds are the addresses that callers use for their first query for addresses.
	Seeds []netip.AddrPort
	// Dial connects callers to addresses; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Check returns an error unless the content is exactly the answer to the arrival.
	Check func(arrival *dogwoodtrace.Arrival, content string) error
	// Done is called after each request.
	Done func()
}

// Sender sends one trace.
type Sender struct {
	options   Options
	client    *http.Client
	addresses map[dogwoodfleet.Customer]*addresses
}

// New returns a sender of the trace in the options.
func New(options Options) *Sender {
	dial := options.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			bounded, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return dial(bounded, network, address)
		},
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,
	}
	sender := &Sender{
		options:   options,
		client:    &http.Client{Transport: transport},
		addresses: map[dogwoodfleet.Customer]*addresses{},
	}
	for _, account := range options.Accounts {
		sender.addresses[account.Customer] = newAddresses(transport, account.Key, options.Seeds)
	}
	return sender
}

// Send sends every arrival at its time, without waiting for the answers to earlier ones. It returns
// the samples in the order of the trace when the last request has ended.
func (sender *Sender) Send(ctx context.Context) []Sample {
	arrivals := sender.options.Trace.Arrivals
	samples := make([]Sample, len(arrivals))
	pool := pond.NewPool(maxConcurrentRequests)
	start := time.Now()
	for i := range arrivals {
		if !waitUntil(ctx, start.Add(time.Duration(arrivals[i].At))) {
			samples = samples[:i]
			break
		}
		pool.Submit(func() {
			samples[i] = sender.send(ctx, &arrivals[i])
			sender.options.Done()
		})
	}
	pool.StopAndWait()
	sender.client.CloseIdleConnections()
	return samples
}

func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends one request. If that returns neither a whole answer nor a problem, it sends the request
// once more to another address, as the documentation for callers requires: lookups and prompts may be
// repeated, and a hold has an idempotency key.
func (sender *Sender) send(ctx context.Context, arrival *dogwoodtrace.Arrival) Sample {
	sample := Sample{Arrival: arrival, Sent: time.Now()}
	bounded, cancel := context.WithTimeout(ctx, time.Duration(arrival.Deadline)+deadlineGrace)
	defer cancel()
	customerAddresses, found := sender.addresses[arrival.Customer]
	if !found {
		sample.Broken = Error.New("no key for customer %s", arrival.Customer)
		return sample
	}
	body := arrival.Body()
	sender.sendOnce(bounded, &sample, customerAddresses, body, netip.AddrPort{})
	if sender.mayResend(&sample) {
		resent := Sample{Arrival: arrival, Sent: sample.Sent, Resent: time.Now(), BrokenEntry: sample.Entry}
		sender.sendOnce(bounded, &resent, customerAddresses, body, sample.Entry)
		if !failedToConnect(resent.Broken) {
			sample = resent
		}
	}
	for sample.mayRepeat() && waitUntil(bounded, time.Now().Add(repeatInterval)) {
		repeated := Sample{Arrival: arrival, Sent: sample.Sent, Resent: time.Now(), BrokenEntry: sample.BrokenEntry}
		sender.sendOnce(bounded, &repeated, customerAddresses, body, netip.AddrPort{})
		sample = repeated
	}
	sample.Took = time.Since(sample.Sent)
	return sample
}

// mayResend reports whether the caller received neither a whole answer nor a problem, and the deadline
// has not passed.
func (sender *Sender) mayResend(sample *Sample) bool {
	broken := sample.Broken != nil && sample.Problem == nil && !sample.Whole
	return broken && time.Since(sample.Sent) < time.Duration(sample.Arrival.Deadline)
}

// repeatInterval is the time between a refusal and the repetition of the request. It keeps repetitions from taking the machine's
// processors from the daemons.
const repeatInterval = 20 * time.Millisecond

// mayRepeat reports whether the caller sends a refused request again.
func (sample *Sample) mayRepeat() bool {
	refused := sample.Problem != nil && sample.Problem.NotRun == dogwoodproblem.True
	return refused && sample.Arrival.RepeatsRefused && time.Since(sample.Sent)+repeatInterval < time.Duration(sample.Arrival.Deadline)
}

// sendOnce sends the request to the first address that accepts a connection, skipping the one to
// avoid. It dials a further address only after a failed dial, so the request is sent at most once.
func (sender *Sender) sendOnce(ctx context.Context, sample *Sample, customerAddresses *addresses, body string, avoid netip.AddrPort) {
	sample.Broken = errNoAddress
	for _, address := range customerAddresses.pick(ctx) {
		if address == avoid {
			continue
		}
		sample.Entry = address
		sample.Broken = sender.exchange(ctx, sample, customerAddresses.key, body)
		if !failedToConnect(sample.Broken) {
			return
		}
	}
}

// exchange sends the request to the sample's entry and reads the answer. It returns an error if there
// is neither a whole answer nor a problem.
func (sender *Sender) exchange(ctx context.Context, sample *Sample, key, body string) error {
	// A resent request has only the time left until its original deadline.
	remaining := time.Until(sample.Sent.Add(time.Duration(sample.Arrival.Deadline)))
	if sample.Resent.IsZero() {
		remaining = time.Duration(sample.Arrival.Deadline)
	}
	request, err := newRequest(ctx, sample.Arrival, sample.Entry, key, body, remaining)
	if err != nil {
		return err
	}
	response, err := sender.client.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }() // the answer has been read
	return sender.read(sample, response)
}

var errNoAddress = Error.New("no address to connect to")

// failedToConnect reports whether no connection was established.
func failedToConnect(err error) bool {
	var operation *net.OpError
	return errors.Is(err, errNoAddress) || errors.As(err, &operation) && operation.Op == "dial"
}

// CheckPlain returns an error unless the content is the plain service's answer to the arrival. The
// answer to a lookup contains the arrival's load ID, and the answer to a hold repeats the body that
// was sent.
func CheckPlain(arrival *dogwoodtrace.Arrival, content string) error {
	if arrival.Kind == dogwoodtrace.Hold {
		if got, want := strings.TrimSpace(content), arrival.Body(); got != want {
			return Error.New("hold: got %.80q, want %q", got, want)
		}
		return nil
	}
	var stock struct{ ID, LoadID string }
	if err := json.Unmarshal([]byte(content), &stock); err != nil || stock.ID != arrival.LoadID || stock.LoadID != arrival.LoadID {
		return Error.New("lookup of %s: got %.80q", arrival.LoadID, content)
	}
	return nil
}

func newRequest(ctx context.Context, arrival *dogwoodtrace.Arrival, address netip.AddrPort, key, body string, deadline time.Duration) (*http.Request, error) {
	method := http.MethodPost
	if arrival.Kind == dogwoodtrace.Lookup {
		method = http.MethodGet
	}
	// net/http can't rewind a reader of an unknown type and therefore sends the body only once.
	var content io.Reader
	if body != "" {
		content = struct{ io.Reader }{strings.NewReader(body)}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+arrival.Path(), content)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(headerDeadline, deadline.String())
	request.Header.Set("Content-Type", "application/json")
	// A prompt without poison contains its load ID, which the engine repeats in its answer, so that an
	// answer to another prompt is detected. Other requests may have equal bodies and are identified by
	// the header.
	if arrival.Kind != dogwoodtrace.Chat || arrival.Poison != "" {
		request.Header.Set(headerLoadID, arrival.LoadID)
	}
	if arrival.Key != "" {
		request.Header.Set(headerKey, arrival.Key)
	}
	return request, nil
}
