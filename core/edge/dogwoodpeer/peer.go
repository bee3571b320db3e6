// Package dogwoodpeer carries calls between daemons: net/rpc over one authenticated TCP
// connection for each peer.
//
// A call is bounded by its context. This package never retries a call if any of its bytes may have
// been sent, because only the caller can decide whether running it twice is safe.
//
// A connection on which calls are pending while nothing arrives is pinged. If the ping is
// not answered, the connection is dropped, its calls fail with an unknown outcome and the
// next call dials a new connection. Without the ping, a connection whose state was lost by
// a device on the network path would block every call until its deadline, although a new
// connection would work at once.
package dogwoodpeer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("peer")

const (
	// handshakeTimeout bounds dialling and authenticating. The one-way latency is a few
	// milliseconds between data centres and up to a few hundred between regions, so a
	// handshake of three messages that takes longer than this will not complete.
	handshakeTimeout = 2 * time.Second
	// silenceBeforePing is how long calls may be pending without a byte arriving before the
	// connection is pinged. Most calls are answered in milliseconds. Only calls that wait in
	// a queue for a slot take longer, and for these a ping each second costs about 60 bytes.
	silenceBeforePing = time.Second
	// pingTimeout is how long the answer to a ping may take. Together with
	// silenceBeforePing, a dead connection is detected within two seconds, which is less
	// than the three seconds in which members detect a dead daemon.
	pingTimeout = time.Second
	// idleTimeout is how long the server keeps a connection without traffic.
	idleTimeout = 3 * time.Minute
)

// Listener accepts connections. net.Listener implements it; tests use one that accepts
// net.Pipe ends.
type Listener interface {
	Accept() (net.Conn, error)
	Close() error
}

// Dialer connects to a peer. Dial must return when the context ends.
type Dialer interface {
	Dial(ctx context.Context, peer netip.AddrPort) (net.Conn, error)
}

// DialerFunc adapts a function to a Dialer.
type DialerFunc func(ctx context.Context, peer netip.AddrPort) (net.Conn, error)

// Dial calls the function.
func (dial DialerFunc) Dial(ctx context.Context, peer netip.AddrPort) (net.Conn, error) {
	return dial(ctx, peer)
}

// UnreachableError reports that a call got no answer from the peer.
type UnreachableError struct {
	Peer netip.AddrPort
	// Sent is false if it is certain that no byte of the call was sent and therefore the
	// peer did not run it.
	Sent bool
	Err  error
}

// Error describes the failure.
func (err *UnreachableError) Error() string {
	if err.Sent {
		return fmt.Sprintf("no answer from peer %s: %v", err.Peer, err.Err)
	}
	return fmt.Sprintf("peer %s can't be reached: %v", err.Peer, err.Err)
}

// Unwrap returns the cause.
func (err *UnreachableError) Unwrap() error {
	return err.Err
}

// RemoteError is an error that the peer's method returned. Outcomes that callers distinguish are
// reported in the method's reply, so a RemoteError is an unexpected fault.
type RemoteError struct {
	Method string
	Text   string
}

// Error describes the failure.
func (err *RemoteError) Error() string {
	return fmt.Sprintf("%s at the peer: %s", err.Method, err.Text)
}
