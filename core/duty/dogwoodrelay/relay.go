// Package dogwoodrelay carries one attempt of a caller to an endpoint and its answer back,
// byte for byte. It is for callers whose every attempt enters the system through one daemon
// and one connection, with an ID of its own: that daemon alone decides how often it is
// sent, so at most once needs no claim in a store. A resend under the same promise, over
// other daemons, is what dogwooddispatch and dogwoodclaim are for.
//
// Its rule is one truthful outcome for each attempt. A refusal says "not run" only if no
// try of it can have begun at an endpoint; a request that may run once is sent on once, but
// for tries that certainly did not begin.
package dogwoodrelay

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodretry"
	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/dogwoodfleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("relay")

// Request is one attempt of a caller.
type Request struct {
	// ID is the caller's own for this attempt.
	ID       string
	Customer dogwoodfleet.Customer
	Service  dogwoodfleet.Service
	Route    *dogwoodroute.Route
	Method   string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	// Header holds the headers to pass on.
	Header http.Header
	Body   []byte
	// Arrived and Deadline are on this daemon's clock. The deadline is the caller's or the
	// route's, whichever comes first.
	Arrived, Deadline time.Time
	// Prompt and Answer are the tokens of the prompt and the most of the answer; 0 for plain
	// calls.
	Prompt, Answer int
	// LastEvent is the event after which the caller wants a stream to go on; empty for all.
	LastEvent string
	// Keyed requests were accepted by a key and are refused while it may have been withdrawn.
	Keyed bool
}

// repeatable reports whether running the request twice does no harm.
func (request *Request) repeatable() bool {
	switch request.Route.Repeat {
	case dogwoodroute.Idempotent:
		return true
	case dogwoodroute.Stream:
		return request.Route.Resumable
	default:
		return false
	}
}

// plain tells a call that is answered as a whole from a prompt.
func (request *Request) plain() bool { return request.Prompt == 0 }

// Answer takes what goes to the caller.
type Answer interface {
	// Begin sends the status and headers.
	Begin(status int, header http.Header) error
	// Write sends bytes of the body at once. An error means that the caller is gone.
	Write(data []byte) error
}

// Helper is an engine that helps with a prompt.
type Helper struct {
	Address netip.AddrPort
	// Ticket names the memory that was reserved there; empty if it only reads.
	Ticket string
}

// Order is a request for an endpoint.
type Order struct {
	Request  *Request
	Endpoint dogwoodfleet.Endpoint
	// Left is the time after which the endpoint may stop.
	Left time.Duration
	// LastEvent has a stream go on after that event.
	LastEvent string
	Helpers   []Helper
}

// Response is what an endpoint answered.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// NotRun is the endpoint's own word that it did not begin and never will.
	NotRun bool
	// OtherInstance means that the address belongs to another endpoint now.
	OtherInstance bool
	// Genuine is false for a success that lacks the endpoint's mark: its bytes are not the
	// answer.
	Genuine bool
	// Fault is the endpoint that a joint request failed at, if another one.
	Fault netip.AddrPort
}

// Endpoints sends requests to endpoints. Its errors are *NotSent and *Broken.
type Endpoints interface {
	Send(ctx context.Context, order *Order) (*Response, error)
	// Reserve keeps or renews memory for a prompt under a ticket.
	Reserve(ctx context.Context, endpoint dogwoodfleet.Endpoint, ticket string, tokens int, lease time.Duration) error
	// Release gives the memory back.
	Release(ctx context.Context, endpoint dogwoodfleet.Endpoint, ticket string) error
}

// Places gives requests their place and learns how they fared.
type Places interface {
	Place(now time.Time, ask *dogwoodpacking.Ask) (dogwoodpacking.Placement, dogwoodpacking.Refusal)
	Writes(id dogwoodpacking.WorkID, predicted, seen time.Duration)
	Paced(endpoint dogwoodfleet.EndpointID, pause time.Duration)
	End(id dogwoodpacking.WorkID)
	Failed(now time.Time, endpoint dogwoodfleet.EndpointID)
	Avoid(now time.Time, endpoint dogwoodfleet.EndpointID, how time.Duration)
	Changed() <-chan struct{}
	// Other reports whether the service has an endpoint that the ask does not avoid.
	Other(ask *dogwoodpacking.Ask) bool
}

// Metrics takes latencies by name and label.
type Metrics interface {
	Observe(name, label string, duration time.Duration)
}

// noMetrics takes latencies and forgets them.
type noMetrics struct{}

// Observe forgets a latency.
func (noMetrics) Observe(string, string, time.Duration) {}

// Options are what a relay is made from.
type Options struct {
	Places    Places
	Endpoints Endpoints
	// Retries is this daemon's share of the retry budget.
	Retries *dogwoodretry.Shared
	// Daemons is how many share it.
	Daemons func() int
	// Fresh reports whether no key can have been withdrawn unseen for too long.
	Fresh func() bool
	Place dogwoodfleet.Place
	// UnusedMemory is how long memory may stay set aside without being used; 0 for any time.
	UnusedMemory time.Duration
	// Metrics takes latencies; nil for none.
	Metrics Metrics
	// Logger takes one line for each decision.
	Logger hclog.Logger
}

// Relay serves attempts. It is safe for concurrent use.
type Relay struct {
	options    Options
	line       line
	alive      alive
	background errgroup.Group
}

// New returns a relay.
func New(options Options) *Relay {
	if options.Metrics == nil {
		options.Metrics = noMetrics{}
	}
	return &Relay{options: options, line: line{places: options.Places}}
}

// Run finds places for those who wait, until the context ends.
func (relay *Relay) Run(ctx context.Context) error {
	return relay.line.run(ctx)
}

// RetriesLeft is how many repeats this daemon may still make of requests to the service that
// has the fewest left.
func (relay *Relay) RetriesLeft() float64 {
	return relay.options.Retries.Left(time.Now(), relay.options.Daemons())
}

// Waiting is how many tries wait for a place.
func (relay *Relay) Waiting() int {
	relay.line.mutex.Lock()
	defer relay.line.mutex.Unlock()
	return len(relay.line.waiters)
}

// Wait waits until the memory of all requests that ended is given back.
func (relay *Relay) Wait() {
	_ = relay.background.Wait() // releases log their failures
}
