// Package dogwoodrelay forwards a caller's attempt to an endpoint and returns the answer
// byte for byte. It serves callers that send each attempt through one daemon and one
// connection under a unique ID. That daemon alone decides how often the attempt is sent, so
// at-most-once execution needs no claim in a store. dogwooddispatch and dogwoodclaim handle
// requests that are resent under the same guarantee through other daemons.
//
// Each attempt gets one accurate outcome. A failure reports "not run" only if no try of the
// attempt can have begun at an endpoint. A request that may run only once is tried again
// only after tries that certainly did not begin.
package dogwoodrelay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodbuffer"
	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodretry"
	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/decision/dogwoodshare"
	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/decision/dogwoodwaiting"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/duty/dogwoodsuspects"
)

// Error is the class of this package's errors.
var Error = errs.Class("relay")

// Request is one attempt of a caller.
type Request struct {
	// ID is unique to this attempt.
	ID       string
	Customer dogwoodfleet.Customer
	Service  dogwoodfleet.Service
	Route    *dogwoodroute.Route
	Method   string
	// Target is the path and query exactly as received.
	Target string
	Host   string
	// Header holds the headers to forward.
	Header http.Header
	Body   []byte
	// BodySent is called once no further try will send the body although the answer is still being written; nil for none.
	BodySent func()
	// Digest is equal for copies of a request that a customer sends again.
	Digest dogwoodfleet.Digest
	// Arrived and Deadline are times of this daemon's clock. Deadline is the earlier of the
	// caller's and the route's.
	Arrived, Deadline time.Time
	// Prompt is the number of prompt tokens and Answer the maximum number of answer tokens;
	// both are 0 for plain calls.
	Prompt, Answer int
	// Parts are the parts of the prompt, in order; nil if the caller names none.
	Parts []dogwoodfleet.PromptPart
	// LastEventID is the ID of the event after which a stream resumes; empty for the whole stream.
	LastEventID string
	// Rank orders waiting requests; 0 goes first.
	Rank int
	// Keyed is true if the request was authorized by a key. It is rejected while that key may
	// have been withdrawn.
	Keyed bool
	// Counted is true if another daemon, which forwarded the request, has counted its first try.
	Counted bool
	// LastResort is true if no other daemon can serve the request. It is then sent also while this daemon may be cut off.
	LastResort bool
	// Text decides whether the request may be sent, and as what; nil for one that may be sent as it is. Version is that of the text
	// by which the request has its fields.
	Text    Text
	Version int64
	// Stage is how far the request has come. It is valid once Serve has returned.
	Stage Stage
}

// Stage is how far a request has come.
type Stage string

// The stages, in their order. Another try takes a request back to StageWaiting until its answer has begun.
const (
	StageWaiting   Stage = "waiting"   // for an endpoint
	StageSent      Stage = "sent"      // to an endpoint
	StageAnswering Stage = "answering" // the caller gets the answer
)

// Repeatable reports whether the request can safely run more than once.
func (request *Request) Repeatable() bool {
	switch request.Route.Repeat {
	case dogwoodroute.Idempotent:
		return true
	case dogwoodroute.Stream:
		return request.Route.Resumable
	default:
		return false
	}
}

// isPlain reports whether the request is a call with a single whole answer, neither a prompt nor on a route for streams.
func (request *Request) isPlain() bool {
	return request.Prompt == 0 && !request.isStreamed()
}

// isStreamed reports whether the answer is forwarded as it arrives. Only the route decides this: any other answer, also to a
// prompt, is held until it is whole, so that another run may replace it.
func (request *Request) isStreamed() bool {
	return request.Route.Repeat == dogwoodroute.Stream
}

// Answer receives the response to the caller. It is called by one goroutine at a time, which is not that of Serve. An Answer
// that is also an Aborter does not keep the request of a caller that reads nothing once the answer is cut.
type Answer interface {
	// Begin sends the status and headers.
	Begin(status int, header http.Header) error
	// Write sends body bytes without buffering. An error means that the caller is gone.
	Write(data []byte) error
}

// Helper is an engine that processes a part of a prompt for the primary engine.
type Helper struct {
	Address netip.AddrPort
	// Ticket identifies the memory reserved there; empty if the helper only prefills.
	Ticket string
}

// EndpointRequest is one try: a request with the endpoint that it is sent to.
type EndpointRequest struct {
	Request  *Request
	Endpoint dogwoodfleet.Endpoint
	// Left is the time left until the deadline, after which the endpoint may stop.
	Left time.Duration
	// LastEventID is the ID of the event after which the endpoint resumes the stream.
	LastEventID string
	Helpers     []Helper
}

// Response is an endpoint's response to an EndpointRequest.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// EndMarked is true if the end of the body is marked by its length or by a last chunk. The end of any other body is that
	// of its connection, also of one that an endpoint closes as it ends.
	EndMarked bool
	// NotRun is true if the endpoint reported that it did not begin the request and never will.
	NotRun bool
	// OtherInstance is true if the address now belongs to another endpoint.
	OtherInstance bool
	// Genuine is false for a response without the endpoint's seal, and for a success whose body is not as the endpoint wrote it.
	Genuine bool
	// Limit is what the endpoint says about the requests that it takes. LimitError is set if that can't be read.
	Limit      dogwoodpacking.NamedLimit
	LimitError error
	// Backoff is how long the endpoint, which turned the request away, asks this daemon for no requests; 0 if it doesn't.
	// BackoffError is set if that can't be read.
	Backoff      time.Duration
	BackoffError error
	// Leaving is true if the endpoint says that it leaves.
	Leaving bool
	// FaultyHelper is the helper at which a joint request failed, if one did.
	FaultyHelper netip.AddrPort
}

// isForeign reports whether the response is no endpoint's answer: it is not genuine, and says neither that the request did not begin nor that
// it was for another endpoint. Whatever sent it may have passed the request on, whatever its status promises.
func (response *Response) isForeign() bool {
	return !response.Genuine && !response.NotRun && !response.OtherInstance
}

// Endpoints sends requests to endpoints. Its errors are *NotSent and *Broken.
type Endpoints interface {
	Send(ctx context.Context, endpointRequest *EndpointRequest) (*Response, error)
	// Reserve reserves memory for a prompt under a ticket, or renews the reservation.
	Reserve(ctx context.Context, endpoint dogwoodfleet.Endpoint, ticket string, tokens int, lease time.Duration) error
	// Release releases the memory reserved under a ticket.
	Release(ctx context.Context, endpoint dogwoodfleet.Endpoint, ticket string) error
	// MemoryUsed asks an endpoint whether the prompt has begun to use the memory reserved under the ticket.
	MemoryUsed(ctx context.Context, endpoint dogwoodfleet.Endpoint, ticket string) (bool, error)
	// Condition asks an endpoint at which a run broke off whether it is still running.
	Condition(ctx context.Context, endpoint dogwoodfleet.Endpoint) dogwoodsuspects.Condition
	// Check returns an error if the engine does not respond on a new connection.
	Check(ctx context.Context, endpoint dogwoodfleet.Endpoint) error
}

// Places assigns requests to endpoints and records their results.
type Places interface {
	// Place chooses an endpoint, and helpers for a long prompt, and counts the work there until
	// End.
	Place(now time.Time, placementRequest *dogwoodpacking.PlacementRequest) (dogwoodpacking.Placement, dogwoodpacking.Refusal)
	// ConflictWindow returns how long after its placement a prompt must be checked with Conflicts; 0 for no check.
	ConflictWindow(prompt int) time.Duration
	// Conflicts reports whether a placed prompt must be placed again, since another daemon's goes first.
	Conflicts(now time.Time, id dogwoodpacking.WorkID) bool
	// Writes records the first event of an answer with its predicted and its observed time.
	Writes(id dogwoodpacking.WorkID, predicted, seen time.Duration)
	// RecordPace records a short pause between two events, which shows how fast the endpoint decodes.
	RecordPace(endpoint dogwoodfleet.EndpointID, pause time.Duration)
	// End drops work that has ended.
	End(id dogwoodpacking.WorkID)
	// Cancel drops work that never ran, which then does not count as use.
	Cancel(id dogwoodpacking.WorkID)
	// Failed records that an endpoint failed a request.
	Failed(now time.Time, endpoint dogwoodfleet.EndpointID)
	// Avoid assigns an endpoint no new work for the duration, unless no other is available.
	Avoid(now time.Time, endpoint dogwoodfleet.EndpointID, duration time.Duration)
	// SetLimit records what an answer says about its endpoint's limit. sent is when the answer's request was sent.
	SetLimit(sent time.Time, endpoint dogwoodfleet.EndpointID, limit dogwoodpacking.NamedLimit)
	// LimitedRate returns this daemon's share of the requests a second that a service's endpoints take, and true if all
	// of them name a limit.
	LimitedRate(service dogwoodfleet.Service) (perSecond float64, limited bool)
	// Changed returns a channel that is closed when a slot may have become free.
	Changed() <-chan struct{}
	// HasOtherEndpoint reports whether the service has an endpoint that the request doesn't avoid.
	HasOtherEndpoint(now time.Time, placementRequest *dogwoodpacking.PlacementRequest) bool
	// Backoff records that an endpoint has asked this daemon for no requests until a time.
	Backoff(now time.Time, endpoint *dogwoodfleet.Endpoint, until time.Time)
	// Leave records that an endpoint has said that it leaves.
	Leave(now time.Time, endpoint *dogwoodfleet.Endpoint)
	// IsOpen reports whether a request may be sent to an endpoint now: it is in force and has neither said that it leaves nor asked
	// for a back-off.
	IsOpen(now time.Time, endpoint *dogwoodfleet.Endpoint) bool
	// Reopenings returns how a service's endpoints take requests again if all have asked for none; else nil.
	Reopenings(now time.Time, service dogwoodfleet.Service) []dogwoodwaiting.Reopening
	// Standings compares the customers' recent use of engine time with their shares, for requests that wait.
	Standings(now time.Time, claims []dogwoodshare.Claim) []dogwoodshare.Standing
	// RankUses returns the recent use of engine time of a service's ranks, the most urgent one first.
	RankUses(now time.Time, service dogwoodfleet.Service) []dogwoodshare.RankUse
	// UntilFair returns the time until a customer's use of engine time falls to its share.
	UntilFair(now time.Time, claim dogwoodshare.Claim) time.Duration
}

// Suspects keeps requests that crash endpoints from running again.
type Suspects interface {
	// Admit waits until a request may run. It returns the permit of a suspect, nil for other requests, or a
	// *dogwoodsuspects.Refused error.
	Admit(ctx context.Context, subject *dogwoodsuspect.Subject) (*dogwoodsuspects.Permit, error)
	// StillAdmitted reports whether a request may still run after it waited for a slot.
	StillAdmitted(permit *dogwoodsuspects.Permit, subject *dogwoodsuspect.Subject) bool
	// Broke records that a run broke off, with what is known of its endpoint. The channel is closed once the other daemons
	// are notified, before which the caller must not learn of the failure.
	Broke(ctx context.Context, run dogwoodsuspects.Run, condition dogwoodsuspects.Condition) <-chan struct{}
	// Began records that an answer began at a time and its endpoint lived on.
	Began(ctx context.Context, subject *dogwoodsuspect.Subject, begun time.Time)
	// Finished records that a request has its answer.
	Finished(ctx context.Context, subject *dogwoodsuspect.Subject)
}

// Metrics records latencies by name and label.
type Metrics interface {
	Observe(name, label string, duration time.Duration)
}

// noMetrics discards latencies.
type noMetrics struct{}

// Observe does nothing.
func (noMetrics) Observe(string, string, time.Duration) {}

// Options configures a Relay.
type Options struct {
	Places    Places
	Endpoints Endpoints
	Suspects  Suspects
	// Buffers bounds what is held of answers that callers have not read; nil for the bounds of an unknown memory.
	Buffers *dogwoodbuffer.Budget
	// Retries is this daemon's part of the retry budget.
	Retries *dogwoodretry.SharedBudget
	// Fresh reports whether the keys were confirmed recently enough that none can have been
	// withdrawn unnoticed for too long.
	Fresh func() bool
	// CutOff reports whether this daemon reaches no endpoint; nil for never.
	CutOff func() bool
	// MayBePause reports whether the endpoints may only pause while CutOff is true; nil for never.
	MayBePause func() bool
	Place      dogwoodfleet.Place
	// UnusedMemoryTimeout returns how long reserved memory may stay unused, 0 for no limit; nil for always 0.
	UnusedMemoryTimeout func() time.Duration
	// Metrics records latencies; nil for none.
	Metrics Metrics
	// Logger receives one line for each decision.
	Logger hclog.Logger
}

// Relay serves attempts. It is safe for concurrent use.
type Relay struct {
	options  Options
	queue    queue
	liveness liveness
	drain    *drain
	// invalidLimits and invalidBackoffs are the endpoints whose invalid limits and back-offs were logged.
	invalidLimits, invalidBackoffs loggedEndpoints
	background                     errgroup.Group
}

// New returns a relay.
func New(options Options) *Relay {
	if options.Metrics == nil {
		options.Metrics = noMetrics{}
	}
	if options.Buffers == nil {
		options.Buffers = dogwoodbuffer.New(dogwoodbuffer.NewBounds(0))
	}
	return &Relay{options: options, drain: newDrain(), queue: queue{places: options.Places, minimums: dogwoodwaiting.Minimums{FirstTurn: rand.Float64()}}}
}

// Run places waiting tries until the context ends.
func (relay *Relay) Run(ctx context.Context) error {
	return relay.queue.run(ctx)
}

// RetriesLeft returns how many retries this daemon may still make for the service that has
// the fewest left.
func (relay *Relay) RetriesLeft() float64 {
	return relay.options.Retries.Left(time.Now())
}

// TakeRetry takes a retry for a request that another daemon is about to send again, and reports whether there was one. There is none
// if this daemon shuts down before the request can be answered.
func (relay *Relay) TakeRetry(request *Request) bool {
	if !relay.mayRun(request.Service) {
		return false
	}
	retry := relay.options.Retries.Take(time.Now(), request.Service)
	if retry == nil {
		return false
	}
	defer retry.Return() // unless it is sent
	return retry.Send(time.Now())
}

// Waiting returns the number of tries that wait for a slot.
func (relay *Relay) Waiting() int {
	relay.queue.mutex.Lock()
	defer relay.queue.mutex.Unlock()
	return len(relay.queue.waiters)
}

// runTask calls a function that does part of a request's work in a goroutine of its own, and logs its panic. It
// reports whether the function panicked.
func (relay *Relay) runTask(task, request string, function func()) (panicked bool) {
	panicked = dogwoodkernel.LogPanic(relay.options.Logger, task, function, "request", request)
	if panicked {
		counters.Add("Panics", 1)
	}
	return panicked
}

// Wait waits until the memory of all ended requests is released.
func (relay *Relay) Wait() {
	_ = relay.background.Wait() // releases log their failures
}
