package dogwoodpeer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/dogwoodkernel"
)

// acceptAgain is the first pause after a connection that can't be accepted, for want of descriptors say.
const acceptAgain = 10 * time.Millisecond

// pingService is the receiver that answers pings.
const pingService = "Ping"

// Server answers the calls of peers.
type Server struct {
	key    []byte
	logger hclog.Logger
	rpc    *rpc.Server

	mutex       sync.Mutex
	connections map[net.Conn]struct{}
}

// NewServer returns a server that takes only peers which know the key.
func NewServer(key string, logger hclog.Logger) *Server {
	server := &Server{
		key:         []byte(key),
		logger:      logger,
		rpc:         rpc.NewServer(),
		connections: map[net.Conn]struct{}{},
	}
	if err := server.rpc.RegisterName(pingService, pinger{}); err != nil {
		panic(err) // the receiver is ours and has a suitable method
	}
	return server
}

// Register makes the receiver's methods callable as "name.Method". They have net/rpc's
// form, run at the same time as each other and must end on their own: a caller that
// gives up can't be seen here.
func (server *Server) Register(name string, receiver any) error {
	return Error.Wrap(server.rpc.RegisterName(name, receiver))
}

// Serve answers calls until the context ends, then closes every connection and waits for
// the methods that still run.
func (server *Server) Serve(ctx context.Context, listener Listener) error {
	var group sync.WaitGroup
	defer group.Wait()
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		server.closeConnections()
	})
	defer stop()
	pause := dogwoodkernel.Backoff{First: acceptAgain, Longest: time.Second}
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
			server.logger.Warn("A connection of another daemon can't be accepted.", "error", err)
			_ = pause.Sleep(ctx) // the loop looks at the context itself
			continue
		}
		pause.Reset()
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
		return
	}
	if err := acceptHandshake(conn, server.key); err != nil {
		level := hclog.Debug // a caller that gave up says nothing of the key
		if errors.Is(err, errAnotherKey) {
			level = hclog.Warn
		}
		server.logger.Log(level, "refused a connection", "from", conn.RemoteAddr(), "error", err)
		return
	}
	server.rpc.ServeConn(&idleConn{Conn: conn})
}

func (server *Server) closeConnections() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn := range server.connections {
		_ = conn.Close()
	}
}

// idleConn ends a connection that carries nothing for idleTimeout. A client whose host
// vanished without a word would otherwise hold it for good.
type idleConn struct {
	net.Conn
}

func (conn *idleConn) Read(buffer []byte) (int, error) {
	if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return conn.Conn.Read(buffer)
}

// Write bounds each write, so that a peer that reads nothing holds no method's answer.
func (conn *idleConn) Write(data []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(silenceBeforePing + pingTimeout)); err != nil {
		return 0, err
	}
	return conn.Conn.Write(data)
}

type pinger struct{}

// Ping answers at once.
func (pinger) Ping(_ bool, reply *bool) error {
	*reply = true
	return nil
}
