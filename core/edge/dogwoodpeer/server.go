package dogwoodpeer

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/dogwoodkernel"
)

// acceptMinBackoff is the first delay after a failed Accept, for example because no file
// descriptor is free.
const acceptMinBackoff = 10 * time.Millisecond

// maxWriteBytes is the size of the parts in which replies are written.
const maxWriteBytes = 16 << 10

// pingService is the name under which the receiver that answers pings is registered.
const pingService = "Ping"

// droppedHandshakes counts the connections that were closed for others before they had proved that they have the key.
var droppedHandshakes = expvar.NewInt("DroppedHandshakes")

// Server answers calls from peers.
type Server struct {
	key    []byte
	logger hclog.Logger
	rpc    *rpc.Server

	// maxHandshakes returns the bound of connections that have not proved that they have the key; nil for none.
	maxHandshakes func() int

	mutex       sync.Mutex
	connections map[net.Conn]struct{}
	// handshakes are the connections that have not proved that they have the key, the oldest first.
	handshakes []net.Conn
}

// NewServer returns a server that accepts only peers that have the key.
func NewServer(key string, logger hclog.Logger) *Server {
	server := &Server{
		key:         []byte(key),
		logger:      logger,
		rpc:         rpc.NewServer(),
		connections: map[net.Conn]struct{}{},
	}
	if err := server.rpc.RegisterName(pingService, pinger{}); err != nil {
		panic(err) // can't happen: pinger has a method of the form that net/rpc requires
	}
	return server
}

// LimitHandshakes bounds the connections that have not proved that they have the key. At the bound, the oldest of them is closed for a new
// one. It must be called before Serve.
func (server *Server) LimitHandshakes(most func() int) { server.maxHandshakes = most }

// Register makes the receiver's methods callable as "name.Method". They must have the form
// that net/rpc requires, may run concurrently and must bound their own running time, because
// the server can't detect that a caller has given up.
func (server *Server) Register(name string, receiver any) error {
	return Error.Wrap(server.rpc.RegisterName(name, receiver))
}

// Serve answers calls until the context ends, then closes all connections and waits for
// the methods that are still running.
func (server *Server) Serve(ctx context.Context, listener Listener) error {
	var group sync.WaitGroup
	defer group.Wait()
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		server.closeConnections()
	})
	defer stop()
	backoff := dogwoodkernel.Backoff{First: acceptMinBackoff, Longest: time.Second}
	for {
		conn, err := listener.Accept()
		switch {
		case err != nil && ctx.Err() != nil:
			server.closeConnections()
			return nil
		case errors.Is(err, net.ErrClosed):
			server.closeConnections()
			return Error.Wrap(err)
		case err != nil:
			server.logger.Warn("Can't accept a connection from a peer.", "error", err)
			_ = backoff.Sleep(ctx) // the loop checks the context
			continue
		}
		backoff.Reset()
		server.beginHandshake(conn)
		group.Go(func() { server.serve(ctx, conn) })
	}
}

func (server *Server) serve(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	server.mutex.Lock()
	server.connections[conn] = struct{}{}
	server.mutex.Unlock()
	defer func() {
		server.mutex.Lock()
		delete(server.connections, conn)
		server.mutex.Unlock()
	}()
	if ctx.Err() != nil {
		server.endHandshake(conn)
		return
	}
	err := acceptHandshake(conn, server.key)
	server.endHandshake(conn)
	if err != nil {
		level := hclog.Debug // a failed handshake need not mean a wrong key: the caller may have given up
		if errors.Is(err, errKeyMismatch) {
			level = hclog.Warn
		}
		server.logger.Log(level, "rejected a connection", "from", conn.RemoteAddr(), "error", err)
		return
	}
	server.serveCalls(&idleConn{Conn: conn})
}

// beginHandshake records a connection whose handshake begins, and closes the oldest one if there are too many.
func (server *Server) beginHandshake(conn net.Conn) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.handshakes = append(server.handshakes, conn)
	if server.maxHandshakes == nil {
		return
	}
	for len(server.handshakes) > max(server.maxHandshakes(), 1) {
		_ = server.handshakes[0].Close() // it may be closed already
		server.handshakes = server.handshakes[1:]
		droppedHandshakes.Add(1)
	}
}

// endHandshake records that a connection's handshake has ended.
func (server *Server) endHandshake(conn net.Conn) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if index := slices.Index(server.handshakes, conn); index >= 0 {
		server.handshakes = slices.Delete(server.handshakes, index, index+1)
	}
}

func (server *Server) closeConnections() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn := range server.connections {
		_ = conn.Close()
	}
}

// idleConn limits how long a connection may be idle to idleTimeout. Otherwise a connection
// whose client's host disappeared without closing it would stay open forever.
type idleConn struct {
	net.Conn
}

func (conn *idleConn) Read(buffer []byte) (int, error) {
	if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return conn.Conn.Read(buffer)
}

// Write sets a deadline for each part that it writes, so that a peer that stops reading can't block the
// sending of replies forever, and a large reply may take as long as it advances.
func (conn *idleConn) Write(data []byte) (int, error) {
	written := 0
	for len(data) > 0 {
		if err := conn.SetWriteDeadline(time.Now().Add(silenceBeforePing + pingTimeout)); err != nil {
			return written, err
		}
		count, err := conn.Conn.Write(data[:min(len(data), maxWriteBytes)])
		written += count
		if err != nil {
			return written, err
		}
		data = data[count:]
	}
	return written, nil
}

type pinger struct{}

// Ping sets the reply to true.
func (pinger) Ping(_ bool, reply *bool) error {
	*reply = true
	return nil
}
