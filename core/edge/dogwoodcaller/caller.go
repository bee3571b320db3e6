// Package dogwoodcaller serves the callers' HTTP API: model prompts in the OpenAI format,
// calls to plain services, and the entry addresses. It reads and checks requests and writes
// their answers; dogwooddispatch sends them to endpoints.
//
// Every request gets one answer: the endpoint's, or an RFC 9457 problem that states
// whether the request was run. A stream that fails after its start ends with an "error"
// event that contains the same problem.
package dogwoodcaller

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"dogwoodmux.example/core/decision/dogwoodburn"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/duty/dogwooddispatch"
)

// Error is the class of this package's errors.
var Error = errs.Class("caller")

// Headers of the callers' HTTP API.
const (
	HeaderDeadline       = "Dogwood-Deadline"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "Dogwood-Request-Id"
	HeaderStoredAnswer   = "Dogwood-Stored-Answer"
	HeaderService        = "Dogwood-Service"
	HeaderLoadID         = "X-Load-Id"
)

// Paths of the callers' HTTP API.
const (
	PathEntry       = "/v1/entry"
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathServices    = "/services/"
)

const (
	// maxPromptBytes bounds the body of a prompt: a million tokens at four bytes each,
	// doubled for JSON escapes.
	maxPromptBytes = 8 << 20
	// maxCallBytes bounds the body of a call to a plain service.
	maxCallBytes = 1 << 20
	// MaxHeadBytes bounds the head of a request.
	MaxHeadBytes = 32 << 10
	// headerTimeout bounds the time for reading a request's header.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the time for reading a body: 8 MB at 2 Mbit/s, for callers with a
	// slow connection.
	bodyTimeout = 32 * time.Second
	// writeTimeout is how long one write may block before the caller is considered gone.
	writeTimeout = 15 * time.Second
	// idleTimeout is how long a connection without a request stays open.
	idleTimeout = 2 * time.Minute
	// maxKeyLength bounds an Idempotency-Key, which becomes part of a row's key.
	maxKeyLength = 200
)

// Dispatcher sends requests to endpoints. Its errors are of type *dogwooddispatch.Failure.
type Dispatcher interface {
	NewID() dogwoodfleet.RequestID
	Prompt(ctx context.Context, call *dogwooddispatch.Call, answer dogwooddispatch.PromptAnswerWriter) error
	Service(ctx context.Context, call *dogwooddispatch.Call) (*dogwooddispatch.WholeAnswer, error)
}

// Entry is the answer to GET /v1/entry: the addresses to which the caller should send its
// requests.
type Entry struct {
	// Addresses are ordered best first.
	Addresses []netip.AddrPort
	// KeepSeconds is how long the caller may use the addresses before it requests them again.
	KeepSeconds int
}

// Entries returns the addresses that a customer's callers should use.
type Entries interface {
	Entry(customer dogwoodfleet.Customer) Entry
}

// Options are the dependencies of an Edge.
type Options struct {
	Place      dogwoodfleet.Place
	Text       func() *dogwoodsettings.Text
	Dispatcher Dispatcher
	Entries    Entries
	// Record counts an outcome for the burn rates of the objectives. It must not block.
	Record func(outcome dogwoodburn.Outcome)
	Logger hclog.Logger
}

// Edge is the http.Handler of the callers' HTTP API.
type Edge struct {
	options Options
	mux     *http.ServeMux
	keys    keyring
	// requests are those in progress.
	requests requests
}

// New returns an Edge with a handler for each path of the API.
func New(options Options) *Edge {
	edge := &Edge{options: options, mux: http.NewServeMux(), requests: requests{running: map[*exchange]func(){}}}
	edge.mux.Handle("GET "+PathEntry, edge.handle(edge.serveEntry))
	edge.mux.Handle("POST "+PathChat, edge.handle(edge.servePrompt))
	edge.mux.Handle("POST "+PathCompletions, edge.handle(edge.servePrompt))
	edge.mux.Handle(PathServices+"{service}/", edge.handle(edge.serveService))
	edge.mux.Handle("/", edge.handle(rejectUnknownPath))
	return edge
}

// ServeHTTP serves one request. It rejects unclean paths, because the mux would answer them
// with a redirect, which a caller may follow with another method.
func (edge *Edge) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if !isCleanPath(request) {
		edge.handle(rejectUncleanPath).ServeHTTP(writer, request)
		return
	}
	edge.mux.ServeHTTP(writer, request)
}

// Server returns an http.Server for the edge that limits the size of headers, the time for
// reading them and the idle time of connections.
func (edge *Edge) Server() *http.Server {
	return &http.Server{
		Handler:           edge,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    2 * MaxHeadBytes, // the connection refuses larger heads before
		ErrorLog:          edge.options.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		// net/http would answer OPTIONS * with a success of its own.
		DisableGeneralOptionsHandler: true,
	}
}
