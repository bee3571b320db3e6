// Package dogwooddispatch processes a caller's request on the entry daemon, which holds
// the caller's connection. It claims the request if it may run only once, acquires a slot
// from the daemon that owns an endpoint, sends the request directly to that endpoint,
// retries where that is safe, and releases the slot.
//
// Each request gets exactly one outcome, which must be accurate. A refusal says "not run"
// only if no try can have begun at an endpoint. A request that must not be repeated
// is claimed in the platform's table service before it is sent, and is sent at most once.
package dogwooddispatch

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"dogwoodmux.example/core/decision/dogwoodretry"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

// Error is the class of this package's errors.
var Error = errs.Class("dispatch")

// Call is a caller's request as received by the edge.
type Call struct {
	// Request holds the ID of the caller's attempt. Each try gets a separate ID.
	Request dogwoodfleet.Request
	// Method is the HTTP method; Target is the path and query at the endpoint.
	Method string
	Target string
	Header http.Header
	Body   []byte
	// Key is the caller's Idempotency-Key.
	Key string
	// LoadID is an identifier set by the caller and forwarded to the endpoints.
	LoadID string
	// Ran is the data centre of the last endpoint that a try was sent to. The dispatcher
	// sets it.
	Ran dogwoodfleet.DataCentre
}

// Event is one chunk of a model's answer.
type Event struct {
	Index int
	// Data is the JSON of one server-sent event.
	Data []byte
}

// PromptAnswerWriter receives a model's answer while it is generated.
type PromptAnswerWriter interface {
	// Event receives the next chunk. An error means that the caller has disconnected.
	Event(event Event) error
	// Begun reports whether a byte of the answer may have reached the caller. From then on
	// the request can't be retried.
	Begun() bool
	// Restart discards the events received so far. It is called before each try.
	Restart()
}

// Run is a request to an engine.
type Run struct {
	ID           dogwoodfleet.RequestID
	Path         string
	Body         []byte
	Priority     dogwoodfleet.Priority
	Budget       time.Duration
	Gang         []dogwoodfleet.Endpoint
	PromptTokens int
	MaxTokens    int
	LoadID       string
}

// Stream is a request that runs at an engine.
type Stream interface {
	// Next returns the next event, io.EOF after the last one, or an error of this package.
	Next(ctx context.Context) (Event, error)
	// Instance returns the engine's instance, and Cold whether the engine is cold, both as
	// reported in its answer.
	Instance() dogwoodfleet.InstanceID
	Cold() bool
	// Close cancels the request at the engine if it still runs.
	Close()
}

// Engines starts requests at engines. Its errors are *NotStarted, *Broken and *Answered.
type Engines interface {
	Start(ctx context.Context, endpoint dogwoodfleet.Endpoint, run Run) (Stream, error)
	Cancel(ctx context.Context, endpoint dogwoodfleet.Endpoint, id dogwoodfleet.RequestID) error
}

// ServiceRequest is a call to a plain service.
type ServiceRequest struct {
	ID     dogwoodfleet.RequestID
	Method string
	Target string
	Header http.Header
	Body   []byte
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Services sends calls to plain services, each at most once. Its errors are *NotStarted
// and *Broken.
type Services interface {
	Do(ctx context.Context, endpoint dogwoodfleet.Endpoint, request ServiceRequest) (*ServiceAnswer, error)
}

// Slots assigns requests to slots at endpoints.
type Slots interface {
	// Acquire waits for a grant. It sets acquireRequest.Request.ID to the ID under which the slot was
	// granted, since it may send several acquire requests. The error is a *dogwoodowner.Refusal.
	Acquire(ctx context.Context, acquireRequest *dogwoodowner.AcquireRequest) (dogwoodowner.Grant, error)
	// ToldCold notifies the owner of an endpoint that reported at the start of an answer
	// that it is cold.
	ToldCold(ctx context.Context, endpoint dogwoodfleet.Endpoint, instance dogwoodfleet.InstanceID)
	// Began notes that the answer to the request of a grant has begun, for the endpoint's owner.
	Began(grant dogwoodowner.Grant, begun time.Time)
	// Release ends a grant.
	Release(ctx context.Context, grant dogwoodowner.Grant, release dogwoodowner.Release)
}

// Options configures a dispatcher.
type Options struct {
	Self     dogwoodfleet.InstanceID
	Place    dogwoodfleet.Place
	Text     func() *dogwoodsettings.Text
	Slots    Slots
	Engines  Engines
	Services Services
	Claims   Claims
	// Down reports whether no endpoint of a service can be reached.
	Down   func(service dogwoodfleet.Service) bool
	Logger hclog.Logger
}

// Dispatcher processes requests. It is safe for concurrent use.
type Dispatcher struct {
	options       Options
	requestNumber atomic.Uint64

	mutex       sync.Mutex
	retryBudget *dogwoodretry.Budget
	random      *rand.Rand
}

// New returns a dispatcher.
func New(options Options) *Dispatcher {
	return &Dispatcher{
		options:     options,
		retryBudget: dogwoodretry.NewBudget(time.Now()),
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// NewID returns a request ID that is unique across all daemons.
func (dispatcher *Dispatcher) NewID() dogwoodfleet.RequestID {
	return dogwoodfleet.NewRequestID(dispatcher.options.Self, dispatcher.requestNumber.Add(1))
}
