// Package dogwoodserver serves HTTP requests and knows which connections have received a part of a request for which no
// handler runs. net/http counts such connections as idle and closes them at a shutdown.
package dogwoodserver

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"dogwoodmux.example/core/decision/dogwoodbuffer"
	"dogwoodmux.example/core/dogwoodkernel"
)

// Error is the class of this package's errors.
var Error = errs.Class("server")

// refusals counts the requests that were refused before they had arrived, and the connections that were closed for others, by the reason.
var refusals = expvar.NewMap("HeadRefusals")

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
	// maxRoomWait bounds how long a new connection waits for the end of one that is closed for it, and roomCheck is how often that is checked.
	maxRoomWait = 250 * time.Millisecond
	roomCheck   = time.Millisecond
	// refusalLogInterval is the least time between two lines about refused requests.
	refusalLogInterval = time.Second
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
	// refused is the number of refusals by recordRefusal, and refusalLogged when it logged one, in nanoseconds since 1970.
	refused, refusalLogged atomic.Int64

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
	// Memory counts what the heads of requests take; nil if they are not counted. Copies is how often the handler copies a head.
	Memory *dogwoodbuffer.Budget
	Copies int
	// MaxHeadBytes returns the bound of a head in bytes, which may change at any time; nil for that of the http.Server.
	MaxHeadBytes func() int
	// MaxConnections returns the bound of open connections, which may change at any time; nil or 0 for none. At the bound, the connection
	// that has waited for a request for longest is closed for a new one.
	MaxConnections func() int
	// RetryAfter is the header of refusals for want of memory or connections, and RefusalHeader has further ones.
	RetryAfter    string
	RefusalHeader http.Header
	// RefusalBody returns the media type and the body of a refusal; nil for plain text.
	RefusalBody func(status int, detail string) (mediaType, body string)
	Logger      hclog.Logger
}

// New returns a server that serves requests as server does. The contexts of its requests don't end with ctx.
func New(ctx context.Context, server *http.Server, options Options) *Server {
	ctx, end := context.WithCancelCause(context.WithoutCancel(ctx))
	wrapper := &Server{server: server, options: options, end: func() { end(options.Shutdown) }, connections: map[*connection]struct{}{}}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, received *http.Request) {
		if connection, ok := received.Context().Value(connectionKey{}).(*connection); ok {
			connection.begin()
			if err := connection.complete(received); err != nil {
				wrapper.writeRefusal(writer, received, err)
				return
			}
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

// makeRoom reports whether a further connection may be opened. At the bound, it evicts the one that has waited for a request for longest and
// waits a moment until that is closed.
func (server *Server) makeRoom() bool {
	if server.options.MaxConnections == nil {
		return true
	}
	most := server.options.MaxConnections()
	if most <= 0 || server.countConnections() < most {
		return true
	}
	for deadline := time.Now().Add(maxRoomWait); time.Now().Before(deadline); time.Sleep(roomCheck) {
		open := server.countConnections()
		if open < most {
			return true
		}
		if open-server.countEvicted() >= most && !server.evictLongestWaiting() {
			return false
		}
	}
	return false
}

func (server *Server) countConnections() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return len(server.connections)
}

// countEvicted returns the number of connections that are being evicted.
func (server *Server) countEvicted() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	evicted := 0
	for connection := range server.connections {
		if connection.isEvicted() {
			evicted++
		}
	}
	return evicted
}

// evictLongestWaiting evicts the connection that has had no request that is handled for longest, and on which none has just arrived. It
// reports whether there are connections without a request that is handled.
func (server *Server) evictLongestWaiting() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	var waiting []waitingConnection
	for connection := range server.connections {
		if since, ok := connection.waitingSince(); ok {
			waiting = append(waiting, waitingConnection{connection, since})
		}
	}
	slices.SortFunc(waiting, func(a, b waitingConnection) int { return a.since.Compare(b.since) })
	for _, oldest := range waiting {
		if oldest.evict() {
			break
		}
	}
	return len(waiting) > 0
}

// waitingConnection is a connection that has had no request that is handled since a time.
type waitingConnection struct {
	*connection
	since time.Time
}

// recordRefusal counts a refused request or connection. It logs the first one, and then one each refusalLogInterval at most.
func (server *Server) recordRefusal(reason error, from any) {
	refusals.Add(reason.Error(), 1)
	count, now := server.refused.Add(1), time.Now().UnixNano()
	last := server.refusalLogged.Load()
	if now-last < int64(refusalLogInterval) || !server.refusalLogged.CompareAndSwap(last, now) {
		return
	}
	server.options.Logger.Warn("Requests are refused before they have arrived.", "why", reason, "from", from, "refused", count)
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
		connection.endHead()
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
