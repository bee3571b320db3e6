// Package dogwoodsoakproxy is a TCP proxy on loopback that injects faults into its connections: it resets them, holds
// back their data in one or both directions without closing them, or delays the data.
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

// Fault is the fault that a proxy injects. The zero value forwards everything without delay.
type Fault struct {
	// Refused resets new connections.
	Refused bool
	// Mute holds back all data in both directions.
	Mute bool
	// MuteFromTarget holds back only the data that the target sends.
	MuteFromTarget bool
	// Delay is the delay of each chunk of data.
	Delay time.Duration
}

const (
	// chunkBytes is the maximum size of a chunk.
	chunkBytes  = 16 << 10
	dialTimeout = time.Second
	// bufferBytes is the size of the kernel's buffers of each connection. Its defaults take megabytes, so that a daemon would
	// never notice a caller that doesn't read.
	bufferBytes = 64 << 10
)

// Proxy forwards connections to a target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   netip.AddrPort
	group    *errgroup.Group

	mutex       sync.Mutex
	fault       Fault
	isCutOff    func(source, proxy netip.AddrPort) bool // nil if no source is
	changed     chan struct{}                           // closed when the fault or isCutOff changes
	connections map[net.Conn]struct{}
}

// Start listens on a free port and forwards connections until the context ends.
func Start(ctx context.Context, target netip.AddrPort) (*Proxy, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	group, ctx := errgroup.WithContext(ctx)
	proxy := &Proxy{listener: listener, target: target, group: group, changed: make(chan struct{}), connections: map[net.Conn]struct{}{}}
	context.AfterFunc(ctx, func() {
		_ = listener.Close() // Accept returns net.ErrClosed
		proxy.Reset()
	})
	group.Go(func() error { return proxy.accept(ctx) })
	return proxy, nil
}

// Address returns the address at which the proxy listens.
func (proxy *Proxy) Address() netip.AddrPort {
	return netip.MustParseAddrPort(proxy.listener.Addr().String())
}

// Wait waits until the proxy has stopped and all connections have ended.
func (proxy *Proxy) Wait() error { return proxy.group.Wait() }

// SetFault sets the fault that is injected into all connections from now on.
func (proxy *Proxy) SetFault(fault Fault) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.fault = fault
	close(proxy.changed)
	proxy.changed = make(chan struct{})
}

// SetCutOff holds back all data, in both directions, of the connections from some sources from now on, besides the fault that is
// set. With nil it holds back none.
func (proxy *Proxy) SetCutOff(isCutOff func(source, proxy netip.AddrPort) bool) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.isCutOff = isCutOff
	close(proxy.changed)
	proxy.changed = make(chan struct{})
}

// Reset resets all connections.
func (proxy *Proxy) Reset() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for connection := range proxy.connections {
		reset(connection)
	}
}

// reset closes a connection so that the peer sees a reset and not an orderly end.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection may be closed already
	}
	_ = connection.Close() // as above
}

// source is where a connection comes from, and whether it was cut off when the proxy's state last changed.
type source struct {
	address netip.AddrPort

	mutex     sync.Mutex
	decidedAt <-chan struct{} // the channel that closes at the next change
	cutOff    bool
}

// current returns the fault for connections from a source, and a channel that closes when it changes.
func (proxy *Proxy) current(source *source) (Fault, <-chan struct{}) {
	proxy.mutex.Lock()
	fault, isCutOff, changed := proxy.fault, proxy.isCutOff, proxy.changed
	proxy.mutex.Unlock()
	source.mutex.Lock()
	defer source.mutex.Unlock()
	if source.decidedAt != changed {
		source.decidedAt, source.cutOff = changed, isCutOff != nil && isCutOff(source.address, proxy.Address())
	}
	fault.Mute = fault.Mute || source.cutOff
	return fault, changed
}

func (proxy *Proxy) add(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = errors.Join(tcp.SetReadBuffer(bufferBytes), tcp.SetWriteBuffer(bufferBytes)) // the connection may be closed already
	}
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.connections[connection] = struct{}{}
}

func (proxy *Proxy) remove(connection net.Conn) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	delete(proxy.connections, connection)
	_ = connection.Close() // the connection may have been reset
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
			proxy.forward(ctx, connection)
			return nil
		})
	}
}

// forward connects to the target and copies data between the two connections until they end.
func (proxy *Proxy) forward(ctx context.Context, from net.Conn) {
	proxy.add(from)
	defer proxy.remove(from)
	source := &source{}
	if address, err := netip.ParseAddrPort(from.RemoteAddr().String()); err == nil {
		source.address = address
	}
	if fault, _ := proxy.current(source); fault.Refused {
		reset(from)
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	to, err := dialer.DialContext(ctx, "tcp", proxy.target.String())
	if err != nil {
		reset(from) // as if the target had refused it
		return
	}
	proxy.add(to)
	defer proxy.remove(to)
	if ctx.Err() != nil {
		return
	}
	var group errgroup.Group
	group.Go(func() error { return proxy.copy(ctx, source, to, from, false) })
	group.Go(func() error { return proxy.copy(ctx, source, from, to, true) })
	_ = group.Wait() // the copies return no error; the peers see how the connection ended
}

// copy forwards data in one direction. It forwards an orderly end as such, and an error as a reset.
func (proxy *Proxy) copy(ctx context.Context, source *source, to, from net.Conn, fromTarget bool) error {
	chunk := make([]byte, chunkBytes)
	for {
		count, err := from.Read(chunk)
		if !proxy.waitToForward(ctx, source, fromTarget) {
			reset(to)
			return nil
		}
		if count > 0 {
			if _, writeErr := to.Write(chunk[:count]); writeErr != nil {
				reset(from)
				return nil
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // the peer may be gone
			}
			return nil
		case err != nil:
			reset(to)
			return nil
		}
	}
}

// waitToForward waits until data may be forwarded. It returns false if the context ends first.
func (proxy *Proxy) waitToForward(ctx context.Context, source *source, fromTarget bool) bool {
	for {
		fault, changed := proxy.current(source)
		if !fault.Mute && (!fault.MuteFromTarget || !fromTarget) {
			return fault.Delay == 0 || dogwoodkernel.Sleep(ctx, fault.Delay)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
