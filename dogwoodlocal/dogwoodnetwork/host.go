// Package dogwoodnetwork serves the stand-ins over connections that can fail: a host can go down
// and come back at the same address, and open connections can fall silent while new ones work.
// It also provides an in-memory network for tests with testing/synctest.
package dogwoodnetwork

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("network")

const (
	// relistenInterval is the time between retries of listening at the old address.
	relistenInterval = 50 * time.Millisecond
	// headerTimeout bounds how long a client may take to send a request's headers.
	headerTimeout = time.Minute
)

// Relistener is a listener that can listen again after it was closed.
type Relistener interface {
	net.Listener
	Relisten() (net.Listener, error)
}

// Host serves HTTP at one address.
type Host struct {
	handler http.Handler
	address netip.AddrPort
	serving sync.WaitGroup

	mutex       sync.Mutex
	listener    net.Listener
	server      *http.Server // nil while down
	closed      bool
	connections map[*connection]struct{}
}

// Serve starts a host that serves on a listener.
func Serve(listener net.Listener, handler http.Handler) (*Host, error) {
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	host := &Host{
		handler:     handler,
		address:     address,
		listener:    listener,
		connections: map[*connection]struct{}{},
	}
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.start(listener)
	return host, nil
}

// Listen opens a listener on a free port of the loopback address.
func Listen(ctx context.Context) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	return listener, Error.Wrap(err)
}

// Address returns the host's address, also while it is down.
func (host *Host) Address() netip.AddrPort {
	return host.address
}

// start starts a server on a listener; the mutex must be held.
func (host *Host) start(listener net.Listener) {
	host.listener = listener
	server := &http.Server{Handler: host.handler, ReadHeaderTimeout: headerTimeout}
	host.server = server
	host.serving.Go(func() {
		// Serve returns only after Down or Close closed the listener.
		_ = server.Serve(&acceptor{Listener: listener, host: host})
	})
}

// Down closes the listener and every connection, as the death of a process does.
func (host *Host) Down() {
	host.mutex.Lock()
	server := host.server
	host.server = nil
	host.mutex.Unlock()
	if server != nil {
		_ = server.Close() // without the mutex, which connection.Close locks
	}
}

// Up listens again at the same address. It retries until the context ends, because the port
// may be in use for a short time.
func (host *Host) Up(ctx context.Context) error {
	for {
		err := host.up(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(relistenInterval):
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		}
	}
}

func (host *Host) up(ctx context.Context) error {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	if host.server != nil || host.closed {
		return nil
	}
	listener, err := host.relisten(ctx)
	if err != nil {
		return Error.Wrap(err)
	}
	host.start(listener)
	return nil
}

func (host *Host) relisten(ctx context.Context) (net.Listener, error) {
	if relistener, ok := host.listener.(Relistener); ok {
		return relistener.Relisten()
	}
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", host.address.String())
}

// Silence makes every open connection permanently silent: data from either end is lost, and
// neither end gets an error. New connections work. Silence(false) closes the silent ones.
func (host *Host) Silence(on bool) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	for open := range host.connections {
		if on {
			open.silent.Store(true)
		} else if open.silent.Load() {
			_ = open.Conn.Close()
		}
	}
}

// Close shuts the host down permanently and waits until its server has ended.
func (host *Host) Close() {
	host.mutex.Lock()
	host.closed = true
	host.mutex.Unlock()
	host.Down()
	host.serving.Wait()
}
