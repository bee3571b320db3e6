package dogwooddaemon

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// severableNetwork is a network whose listeners and connections can all be closed at once, as
// the end of a process closes them. Several daemons share a process in tests and on the
// local site; without severableNetwork, a daemon killed there would still notify its engines
// and peers, which a crashed one doesn't.
type severableNetwork struct {
	Network

	mutex   sync.Mutex
	severed bool
	open    map[interface{ Close() error }]struct{}
}

func newSeverableNetwork(network Network) *severableNetwork {
	return &severableNetwork{Network: network, open: map[interface{ Close() error }]struct{}{}}
}

// sever closes all open listeners and connections and rejects new ones.
func (network *severableNetwork) sever() {
	network.mutex.Lock()
	network.severed = true
	open := network.open
	network.open = nil
	network.mutex.Unlock()
	for closer := range open {
		_ = closer.Close() // Kill simulates a crash, which reports no errors
	}
}

// track records an open listener or connection, or closes it if the network is severed.
func (network *severableNetwork) track(closer interface{ Close() error }) error {
	network.mutex.Lock()
	severed := network.severed
	if !severed {
		network.open[closer] = struct{}{}
	}
	network.mutex.Unlock()
	if severed {
		_ = closer.Close() // Close calls untrack, which locks the mutex
		return net.ErrClosed
	}
	return nil
}

func (network *severableNetwork) untrack(closer interface{ Close() error }) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	delete(network.open, closer)
}

// Listen returns a listener that sever closes.
func (network *severableNetwork) Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	listener, err := network.Network.Listen(ctx, address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	tracked := &severableListener{Listener: listener, network: network}
	if err := network.track(tracked); err != nil {
		return nil, Error.Wrap(err)
	}
	return tracked, nil
}

// DialContext returns a connection that sever closes.
func (network *severableNetwork) DialContext(ctx context.Context, kind, address string) (net.Conn, error) {
	conn, err := network.Network.DialContext(ctx, kind, address)
	if err != nil {
		return nil, err // not wrapped: net/http checks for errors of package net
	}
	return network.trackConn(conn)
}

// trackConn returns the connection wrapped so that sever closes it.
func (network *severableNetwork) trackConn(conn net.Conn) (net.Conn, error) {
	tracked := &severableConn{Conn: conn, network: network}
	if err := network.track(tracked); err != nil {
		return nil, err
	}
	return tracked, nil
}

type severableListener struct {
	net.Listener
	network *severableNetwork
}

// Accept waits for a connection.
func (listener *severableListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err // not wrapped: net/http checks for errors of package net
	}
	return listener.network.trackConn(conn)
}

// deadlineSetter is a listener whose Accept can be made to return.
type deadlineSetter interface {
	SetDeadline(deadline time.Time) error
}

// SetDeadline sets the time until which Accept waits, if the listener supports it.
func (listener *severableListener) SetDeadline(deadline time.Time) error {
	setter, ok := listener.Listener.(deadlineSetter)
	if !ok {
		return errors.ErrUnsupported
	}
	return setter.SetDeadline(deadline)
}

// SyscallConn returns the listener's descriptor, if it has one. A server that drains looks for waiting connections there.
func (listener *severableListener) SyscallConn() (syscall.RawConn, error) {
	if descriptors, ok := listener.Listener.(syscall.Conn); ok {
		return descriptors.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Close closes the listener.
func (listener *severableListener) Close() error {
	listener.network.untrack(listener)
	return listener.Listener.Close()
}

type severableConn struct {
	net.Conn
	network *severableNetwork
}

// Close closes the connection.
func (conn *severableConn) Close() error {
	conn.network.untrack(conn)
	return conn.Conn.Close()
}

// SyscallConn returns the connection's descriptor, if it has one. A server that drains looks for unread bytes there.
func (conn *severableConn) SyscallConn() (syscall.RawConn, error) {
	if descriptors, ok := conn.Conn.(syscall.Conn); ok {
		return descriptors.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// CloseWrite closes only the sending side, if the connection supports it. net/http does so
// before it closes a connection with unread bytes: a plain close would reset the connection,
// and the caller could lose the response just written, such as the rejection of a body that
// is too large.
func (conn *severableConn) CloseWrite() error {
	if closeWriter, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return closeWriter.CloseWrite()
	}
	return nil
}
