package dogwoodsite

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/dogwoodlocal/dogwoodnetwork"
)

// Base is the network under the simulated links: TCP sockets on loopback, or in-memory
// pipes, which tests with paused time need.
type Base interface {
	// Listen listens on the address, or on a free address if it is not valid.
	Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// loopback is the Base that uses TCP sockets on loopback.
type loopback struct{}

// Listen listens on the address, or on a free loopback port if it is not valid.
func (loopback) Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	if !address.IsValid() {
		address = netip.MustParseAddrPort("127.0.0.1:0")
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	return listener, Error.Wrap(err)
}

// DialContext connects over TCP.
func (loopback) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address) // unwrapped: net/http looks for the errors of net
}

// Loopback returns the Base that uses TCP sockets on loopback.
func Loopback() Base {
	return loopback{}
}

// memory is the Base that uses in-memory pipes.
type memory struct {
	*dogwoodnetwork.Memory
	// assigned counts the addresses that Listen chose.
	assigned atomic.Uint32
}

// InMemory returns a Base that uses in-memory pipes.
func InMemory() Base {
	return &memory{Memory: dogwoodnetwork.NewMemory()}
}

// memoryPort is the port of every address that a memory base chooses.
const memoryPort = 7000

// Listen listens on the address, or on an unused address if it is not valid.
func (memory *memory) Listen(_ context.Context, address netip.AddrPort) (net.Listener, error) {
	if !address.IsValid() {
		number := memory.assigned.Add(1)
		address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), memoryPort)
	}
	listener, err := memory.Memory.Listen(address)
	return listener, Error.Wrap(err)
}

// DialContext connects to a listener of the same base.
func (memory *memory) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return memory.Dial(ctx, network, address)
}

// links simulates the latency between data centres.
type links struct {
	base Base
	// ended is closed when the site ends. It ends dials that net/http continues for
	// abandoned requests and that nothing else waits for.
	ended   <-chan struct{}
	group   sync.WaitGroup
	latency time.Duration

	mutex       sync.Mutex
	dataCentres map[netip.AddrPort]dogwoodfleet.DataCentre
	listeners   map[netip.AddrPort]net.Listener
}

// origin is the network as seen from one data centre. It implements dogwooddaemon.Network.
type origin struct {
	links      *links
	dataCentre dogwoodfleet.DataCentre
}

// reserve opens a listener for a daemon that starts later, since the daemon's settings must
// contain its addresses. It returns the listener's address.
func (links *links) reserve(ctx context.Context, dataCentre dogwoodfleet.DataCentre) (netip.AddrPort, error) {
	listener, err := links.base.Listen(ctx, netip.AddrPort{})
	if err != nil {
		return netip.AddrPort{}, Error.Wrap(err)
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return netip.AddrPort{}, Error.Wrap(err)
	}
	links.mutex.Lock()
	defer links.mutex.Unlock()
	links.listeners[address] = listener
	links.dataCentres[address] = dataCentre
	return address, nil
}

func (links *links) setDataCentre(address netip.AddrPort, dataCentre dogwoodfleet.DataCentre) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	links.dataCentres[address] = dataCentre
}

// closeUnused closes the reserved listeners that no daemon uses.
func (links *links) closeUnused() {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	for _, listener := range links.listeners {
		_ = listener.Close() // no daemon used it
	}
	clear(links.listeners)
}

// relistenTimeout bounds how long a restarted daemon retries to listen on its address.
const relistenTimeout = 5 * time.Second

// Listen returns the reserved listener of the address, or opens a new one after a restart.
func (origin origin) Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	origin.links.mutex.Lock()
	listener := origin.links.listeners[address]
	delete(origin.links.listeners, address)
	origin.links.mutex.Unlock()
	if listener != nil {
		return listener, nil
	}
	ctx, cancel := context.WithTimeout(ctx, relistenTimeout)
	defer cancel()
	for {
		listener, err := origin.links.base.Listen(ctx, address)
		if err == nil {
			return listener, nil
		}
		select {
		case <-ctx.Done():
			return nil, Error.Wrap(err)
		case <-time.After(relistenTimeout / 100):
		}
	}
}

// DialContext connects to the address. If it is in another data centre, the connection
// and all data sent on it are delayed by the round trip time of the link.
func (origin origin) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	origin.links.mutex.Lock()
	target, known := origin.links.dataCentres[parsed]
	origin.links.mutex.Unlock()
	if !known || target == origin.dataCentre || origin.links.latency == 0 {
		return origin.links.base.DialContext(ctx, network, address)
	}
	delay := 2 * origin.links.latency
	// The TCP handshake takes one round trip.
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	case <-origin.links.ended:
		return nil, net.ErrClosed
	}
	conn, err := origin.links.base.DialContext(ctx, network, address)
	if err != nil {
		return nil, err // unwrapped: net/http looks for the errors of net
	}
	return newDelayedConn(conn, delay, &origin.links.group), nil
}

// delayedConn delays written data by a full round trip and does not delay read data, so
// that a request and its answer together take as long as on the real link.
type delayedConn struct {
	net.Conn
	delay   time.Duration
	chunks  chan chunk
	closing chan struct{}
	once    sync.Once
}

type chunk struct {
	due  time.Time
	data []byte
}

// maxQueuedChunks bounds the writes in transit, as a socket's buffer does.
const maxQueuedChunks = 256

func newDelayedConn(conn net.Conn, delay time.Duration, group *sync.WaitGroup) *delayedConn {
	delayed := &delayedConn{Conn: conn, delay: delay, chunks: make(chan chunk, maxQueuedChunks), closing: make(chan struct{})}
	group.Go(delayed.deliver)
	return delayed
}

// Write queues the data for delayed delivery.
func (delayed *delayedConn) Write(data []byte) (int, error) {
	sent := chunk{due: time.Now().Add(delayed.delay), data: append([]byte(nil), data...)}
	select {
	case <-delayed.closing:
		return 0, net.ErrClosed
	case delayed.chunks <- sent:
		return len(data), nil
	}
}

// Close closes the connection and discards undelivered data.
func (delayed *delayedConn) Close() error {
	delayed.once.Do(func() { close(delayed.closing) })
	return delayed.Conn.Close()
}

func (delayed *delayedConn) deliver() {
	for {
		select {
		case <-delayed.closing:
			return
		case chunk := <-delayed.chunks:
			timer := time.NewTimer(time.Until(chunk.due))
			select {
			case <-delayed.closing:
				timer.Stop()
				return
			case <-timer.C:
			}
			if _, err := delayed.Conn.Write(chunk.data); err != nil {
				_ = delayed.Close() // the reader gets the error
				return
			}
		}
	}
}
