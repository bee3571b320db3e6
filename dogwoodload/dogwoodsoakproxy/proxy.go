// Package dogwoodsoakproxy is a proxy on loopback that breaks the connections which it carries: it
// resets them, has them go silent both ways or one way without closing them, or delays them.
package dogwoodsoakproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/dogwoodkernel"
)

// Error is the class of this package's errors.
var Error = errs.Class("proxy")

// Fault is how connections are carried. The zero value carries all at once.
type Fault struct {
	// Refused resets new connections.
	Refused bool
	// Mute holds all bytes back, both ways.
	Mute bool
	// MuteBack holds back only what the target sends.
	MuteBack bool
	// Delay is added to each piece.
	Delay time.Duration
}

const (
	// pieceBytes is the most that is carried at once.
	pieceBytes = 16 << 10
	dialWithin = time.Second
)

// Proxy carries connections to a target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   netip.AddrPort
	group    *errgroup.Group

	mutex   sync.Mutex
	fault   Fault
	changed chan struct{} // closed when the fault changes
	carried map[net.Conn]struct{}
}

// Start listens on a port of its own and carries connections until the context ends.
func Start(ctx context.Context, target netip.AddrPort) (*Proxy, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	group, ctx := errgroup.WithContext(ctx)
	proxy := &Proxy{listener: listener, target: target, group: group, changed: make(chan struct{}), carried: map[net.Conn]struct{}{}}
	context.AfterFunc(ctx, func() {
		_ = listener.Close() // it ends Accept, which reports it
		proxy.Reset()
	})
	group.Go(func() error { return proxy.accept(ctx) })
	return proxy, nil
}

// Address is where the proxy listens.
func (proxy *Proxy) Address() netip.AddrPort {
	return netip.MustParseAddrPort(proxy.listener.Addr().String())
}

// Wait returns when all connections have ended.
func (proxy *Proxy) Wait() error { return proxy.group.Wait() }

// Set has all connections be carried otherwise from now on.
func (proxy *Proxy) Set(fault Fault) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.fault = fault
	close(proxy.changed)
	proxy.changed = make(chan struct{})
}

// Reset breaks all connections.
func (proxy *Proxy) Reset() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for connection := range proxy.carried {
		reset(connection)
	}
}

// reset closes a connection so that its other end sees a reset, not an end.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it may be closed already
	}
	_ = connection.Close() // as above
}

func (proxy *Proxy) now() (Fault, <-chan struct{}) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.fault, proxy.changed
}

func (proxy *Proxy) keep(connection net.Conn) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.carried[connection] = struct{}{}
}

func (proxy *Proxy) drop(connection net.Conn) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	delete(proxy.carried, connection)
	_ = connection.Close() // it may have been reset
}

func (proxy *Proxy) accept(ctx context.Context) error {
	for {
		connection, err := proxy.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return Error.Wrap(err)
		}
		proxy.group.Go(func() error {
			proxy.carry(ctx, connection)
			return nil
		})
	}
}

// carry joins a connection with one to the target.
func (proxy *Proxy) carry(ctx context.Context, from net.Conn) {
	proxy.keep(from)
	defer proxy.drop(from)
	if fault, _ := proxy.now(); fault.Refused {
		reset(from)
		return
	}
	dialer := net.Dialer{Timeout: dialWithin}
	to, err := dialer.DialContext(ctx, "tcp", proxy.target.String())
	if err != nil {
		reset(from) // as if the target had refused it
		return
	}
	proxy.keep(to)
	defer proxy.drop(to)
	if ctx.Err() != nil {
		return
	}
	var group errgroup.Group
	group.Go(func() error { return proxy.copy(ctx, to, from, false) })
	group.Go(func() error { return proxy.copy(ctx, from, to, true) })
	_ = group.Wait() // how a connection ended is for its two ends to see
}

// copy carries bytes one way. An end is passed on as an end, a reset as a reset.
func (proxy *Proxy) copy(ctx context.Context, to, from net.Conn, back bool) error {
	piece := make([]byte, pieceBytes)
	for {
		count, err := from.Read(piece)
		if !proxy.pass(ctx, back) {
			reset(to)
			return nil
		}
		if count > 0 {
			if _, writeErr := to.Write(piece[:count]); writeErr != nil {
				reset(from)
				return nil
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // the other end may be gone
			}
			return nil
		case err != nil:
			reset(to)
			return nil
		}
	}
}

// pass waits until bytes may go on. It returns false if the proxy ends first.
func (proxy *Proxy) pass(ctx context.Context, back bool) bool {
	for {
		fault, changed := proxy.now()
		if !fault.Mute && (!fault.MuteBack || !back) {
			return fault.Delay == 0 || dogwoodkernel.Sleep(ctx, fault.Delay)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
