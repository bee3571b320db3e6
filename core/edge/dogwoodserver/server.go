// Package dogwoodserver serves HTTP requests and knows which connections have received a part of a request for which no
// handler runs. net/http counts such connections as idle and closes them at a shutdown.
package dogwoodserver

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"dogwoodmux.example/core/dogwoodkernel"
)

// Error is the class of this package's errors.
var Error = errs.Class("server")

// unhandled counts the connections that were closed with bytes of a request that no handler had and nothing answered.
var unhandled = expvar.NewInt("UnhandledRequests")

const (
	// checkInterval is how often a server that drains checks whether its connections are closed and its handlers have ended.
	checkInterval = 5 * time.Millisecond
	// maxArrival is how long the rest of a request may take to arrive at a server that drains.
	maxArrival = time.Second
	// maxFirstBytes is how long a connection that is new, or whose last request has ended, may take to bring the first bytes
	// of a request to a server that drains.
	maxFirstBytes = 200 * time.Millisecond
)

// Server is an HTTP server. It is safe for concurrent use.
type Server struct {
	server  *http.Server
	options Options
	// end ends the contexts of all requests.
	end func()
	// running is the number of handlers that run.
	running  atomic.Int64
	draining atomic.Bool

	mutex       sync.Mutex
	connections map[*connection]struct{}
	listeners   []*listener
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// Options configures a Server.
type Options struct {
	// Shutdown is the cause with which the server ends the contexts of requests.
	Shutdown error
	// RequestID is the header by which callers name their requests, empty if there is none.
	RequestID string
	Logger    hclog.Logger
}

// New returns a server that serves requests as server does. The contexts of its requests don't end with ctx.
func New(ctx context.Context, server *http.Server, options Options) *Server {
	ctx, end := context.WithCancelCause(context.WithoutCancel(ctx))
	wrapper := &Server{server: server, options: options, end: func() { end(options.Shutdown) }, connections: map[*connection]struct{}{}}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, received *http.Request) {
		if connection, ok := received.Context().Value(connectionKey{}).(*connection); ok {
			connection.begin()
		}
		wrapper.running.Add(1)
		defer wrapper.running.Add(-1)
		if wrapper.isDraining() {
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, received)
	})
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	connContext := server.ConnContext
	server.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, accepted)
		}
		return context.WithValue(ctx, connectionKey{}, accepted)
	}
	server.ConnState = wrapper.onState
	return wrapper
}

// Track returns a listener for Serve. Drain waits until what waits there has been accepted, also if Serve begins after it.
func (server *Server) Track(accepting net.Listener) net.Listener {
	tracked := newListener(accepting, server)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.listeners = append(server.listeners, tracked)
	return tracked
}

// Serve serves the connections of a listener until the server is closed.
func (server *Server) Serve(accepting net.Listener) error {
	tracked, ok := accepting.(*listener)
	if !ok {
		return server.Serve(server.Track(accepting))
	}
	defer tracked.closed.Store(true)
	return server.server.Serve(tracked) //nolint:wrapcheck // callers ask for http.ErrServerClosed
}

// add tracks a connection.
func (server *Server) add(connection *connection) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.connections[connection] = struct{}{}
}

// onState follows the states of connections.
func (server *Server) onState(accepted net.Conn, state http.ConnState) {
	connection, ok := accepted.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		connection.idle()
	case http.StateClosed:
		server.mutex.Lock()
		delete(server.connections, connection)
		server.mutex.Unlock()
		if request := connection.unhandled(); request.received > 0 {
			unhandled.Add(1)
			server.options.Logger.Info("A connection was closed with a request that was not handled.",
				"request", headerValue(request.head, server.options.RequestID), "from", connection.RemoteAddr(),
				"bytes", request.received, "leaving", server.isDraining(), "callergone", request.callerGone)
		} else if waited, released := connection.waited(); released && waited < maxArrival {
			server.options.Logger.Debug("A connection was closed that waited for a request.", "from", connection.RemoteAddr(), "waited", waited)
		}
	case http.StateNew, http.StateActive, http.StateHijacked:
	}
}

func (server *Server) isDraining() bool { return server.draining.Load() }

// StartDraining records that the server will be closed soon: the answers to requests that arrive from now on close their
// connections.
func (server *Server) StartDraining() { server.draining.Store(true) }

// End ends the contexts of all requests, also of later ones.
func (server *Server) End() { server.end() }

// Drain stops accepting connections and waits until all are closed. The handler is to refuse further requests.
//
// A connection without a request is closed once it has waited for one for maxFirstBytes. The others are closed once their
// requests have been answered. A request of which a part has arrived has maxArrival for the rest; then its context ends, and
// its connection is closed if no handler has it.
func (server *Server) Drain(ctx context.Context) error {
	server.stopAccepting()
	arrived := time.Now().Add(maxArrival)
	for {
		left := server.release(time.Now().After(arrived))
		if left == 0 {
			return nil
		}
		if time.Now().After(arrived) {
			server.End()
		}
		if !dogwoodkernel.Sleep(ctx, checkInterval) {
			return Error.New("%d connections or listeners are still open", left)
		}
	}
}

// stopAccepting makes the listeners accept what waits there and close.
func (server *Server) stopAccepting() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, listener := range server.listeners {
		listener.stop()
	}
}

// release releases all connections that wait for a request. If late, it also closes those of requests that began to arrive maxArrival ago
// and that no handler has. It returns the number of open connections and listeners.
func (server *Server) release(late bool) int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	open := len(server.connections)
	for _, listener := range server.listeners {
		if !listener.isClosed() {
			open++
		}
	}
	for connection := range server.connections {
		connection.release()
		if late && connection.isLate() {
			_ = connection.Close() // it may be closed already
		}
	}
	return open
}

// Close closes all connections and waits until all handlers have ended, or the context has.
func (server *Server) Close(ctx context.Context) error {
	err := server.server.Close()
	for server.running.Load() > 0 {
		if !dogwoodkernel.Sleep(ctx, checkInterval) {
			return Error.New("%d handlers have not ended", server.running.Load())
		}
	}
	return Error.Wrap(err)
}
