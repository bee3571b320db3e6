package dogwoodserver

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// emptyQueueTime is how long a listener that stops waits for a connection. None comes in that time if its queue is empty.
	emptyQueueTime = time.Millisecond
	// maxStopTime bounds the time for which a listener that stops waits for connections, and maxAcceptTime that for which it accepts
	// those that wait.
	maxStopTime   = 100 * time.Millisecond
	maxAcceptTime = time.Second
)

// listener accepts connections that the server tracks. Once it is to stop, it accepts those that wait and closes: the kernel
// resets connections that wait at a listener that is closed.
type listener struct {
	net.Listener
	server *Server
	// stopAt is when it waits for no more connections, in nanoseconds since 1970; 0 until it is to stop.
	stopAt atomic.Int64
	closed atomic.Bool
}

func newListener(accepting net.Listener, server *Server) *listener {
	return &listener{Listener: accepting, server: server}
}

// stop makes Accept close the listener once no connection waits.
func (listener *listener) stop() {
	if listener.stopAt.CompareAndSwap(0, time.Now().Add(maxStopTime).UnixNano()) {
		listener.setDeadline(time.Now()) // ends an Accept that waits
	}
}

// deadlineSetter is a listener whose Accept can be made to return.
type deadlineSetter interface {
	SetDeadline(deadline time.Time) error
}

// setDeadline sets the time until which Accept waits. A listener without deadlines is closed.
func (listener *listener) setDeadline(deadline time.Time) {
	accepting, ok := listener.Listener.(deadlineSetter)
	if !ok || accepting.SetDeadline(deadline) != nil {
		_ = listener.Close() // Accept fails then
	}
}

func (listener *listener) isClosed() bool { return listener.closed.Load() }

// Accept waits for the next connection.
func (listener *listener) Accept() (net.Conn, error) {
	wait := emptyQueueTime
	for {
		stopAt := listener.stopAt.Load()
		if stopAt != 0 {
			listener.setDeadline(time.Now().Add(wait))
		}
		accepted, err := listener.Listener.Accept()
		switch {
		case err == nil && !listener.server.makeRoom():
			listener.reject(accepted)
			continue
		case err == nil:
			return listener.track(accepted), nil
		case listener.stopAt.Load() == 0:
			return nil, err //nolint:wrapcheck // net/http asks for the error's type
		case stopAt == 0 && errors.Is(err, os.ErrDeadlineExceeded):
			continue // it is to stop now
		case errors.Is(err, os.ErrDeadlineExceeded) && listener.mayAcceptMore(stopAt):
			wait = min(2*wait, maxStopTime) // the deadline had passed before Accept tried
			continue
		}
		listener.closed.Store(true)
		_ = listener.Close() // it may be closed already
		return nil, http.ErrServerClosed
	}
}

// mayAcceptMore reports whether a connection waits that a listener accepts although it waits for none any more.
func (listener *listener) mayAcceptMore(stopAt int64) bool {
	return time.Since(time.Unix(0, stopAt)) < maxAcceptTime-maxStopTime && listener.hasWaiting()
}

// hasWaiting reports whether a connection waits. It is false for a listener without a descriptor.
func (listener *listener) hasWaiting() bool {
	descriptors, ok := listener.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := descriptors.SyscallConn()
	if err != nil {
		return false
	}
	count := 0
	err = raw.Control(func(descriptor uintptr) {
		count, _ = unix.Poll([]unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}, 0)
	})
	return err == nil && count > 0
}

// reject closes a connection for which there is no room.
func (listener *listener) reject(accepted net.Conn) {
	listener.server.recordRefusal(errTooManyConnections, accepted.RemoteAddr())
	_ = accepted.SetWriteDeadline(time.Now().Add(refuseTime))                       // the write fails if this does
	_, _ = io.WriteString(accepted, listener.server.refusal(errTooManyConnections)) // the client may be gone
	_ = accepted.Close()
}

// track returns a connection that the server tracks. It makes the listener close if it has accepted for too long and none waits; the
// server must know the connection by then, since it takes its connections and listeners that are closed for all that there is.
func (listener *listener) track(accepted net.Conn) net.Conn {
	connection := &connection{Conn: accepted, server: listener.server, waiting: time.Now()}
	listener.server.add(connection)
	if stopAt := listener.stopAt.Load(); stopAt != 0 && time.Now().UnixNano() > stopAt && !listener.mayAcceptMore(stopAt) {
		listener.closed.Store(true)
		_ = listener.Close() // it may be closed already
	}
	return connection
}
