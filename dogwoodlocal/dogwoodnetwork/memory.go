package dogwoodnetwork

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
)

// Memory is a network inside the process. Its connections are made by net.Pipe. Unlike sockets
// they work in a bubble of testing/synctest, whose time advances while they block.
type Memory struct {
	mutex     sync.Mutex
	listeners map[netip.AddrPort]*memoryListener
}

// NewMemory returns a network without listeners.
func NewMemory() *Memory {
	return &Memory{listeners: map[netip.AddrPort]*memoryListener{}}
}

// Listen opens a listener at an address.
func (memory *Memory) Listen(address netip.AddrPort) (net.Listener, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if memory.listeners[address] != nil {
		return nil, Error.Wrap(&net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE})
	}
	listener := &memoryListener{
		memory:   memory,
		address:  address,
		accepted: make(chan net.Conn),
		closed:   make(chan struct{}),
	}
	memory.listeners[address] = listener
	return listener, nil
}

// Dial connects to a listener. If there is none, it returns the error of a refused connection.
func (memory *Memory) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	refused := &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	memory.mutex.Lock()
	listener := memory.listeners[parsed]
	memory.mutex.Unlock()
	if listener == nil {
		return nil, refused
	}
	client, server := net.Pipe()
	select {
	case listener.accepted <- server:
		return client, nil
	case <-listener.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}

type memoryListener struct {
	memory   *Memory
	address  netip.AddrPort
	accepted chan net.Conn
	closed   chan struct{}
	closing  sync.Once
}

// Accept waits for a connection.
func (listener *memoryListener) Accept() (net.Conn, error) {
	select {
	case accepted := <-listener.accepted:
		return accepted, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and frees its address.
func (listener *memoryListener) Close() error {
	listener.closing.Do(func() {
		close(listener.closed)
		listener.memory.mutex.Lock()
		delete(listener.memory.listeners, listener.address)
		listener.memory.mutex.Unlock()
	})
	return nil
}

// Addr returns the listener's address.
func (listener *memoryListener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(listener.address)
}

// Relisten opens a listener at the same address.
func (listener *memoryListener) Relisten() (net.Listener, error) {
	return listener.memory.Listen(listener.address)
}
