package dogwoodfleetrun

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodmux.example/dogwoodlocal/dogwoodsite"
)

// meter is the loopback network with a counter of the bytes to and from each address. A byte is
// counted once, at the end that dialed.
type meter struct {
	mutex  sync.Mutex
	counts map[netip.AddrPort]*atomic.Int64
}

func newMeter() *meter {
	return &meter{counts: map[netip.AddrPort]*atomic.Int64{}}
}

// Listen listens on an address of the loopback.
func (meter *meter) Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	return dogwoodsite.Loopback().Listen(ctx, address) //nolint:wrapcheck // forwards the call
}

// DialContext returns a connection that counts its bytes.
func (meter *meter) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dogwoodsite.Loopback().DialContext(ctx, network, address)
	if err != nil {
		return nil, err // unwrapped, because net/http checks for the errors of net
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return conn, nil //nolint:nilerr // only numeric addresses have counters
	}
	return &metered{Conn: conn, count: meter.counter(parsed)}, nil
}

func (meter *meter) counter(address netip.AddrPort) *atomic.Int64 {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	found := meter.counts[address]
	if found == nil {
		found = &atomic.Int64{}
		meter.counts[address] = found
	}
	return found
}

// metered is a connection that counts its bytes.
type metered struct {
	net.Conn
	count *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (metered *metered) Read(data []byte) (int, error) {
	read, err := metered.Conn.Read(data)
	metered.count.Add(int64(read))
	return read, err //nolint:wrapcheck // forwards the call
}

// Write writes to the connection and counts the bytes.
func (metered *metered) Write(data []byte) (int, error) {
	written, err := metered.Conn.Write(data)
	metered.count.Add(int64(written))
	return written, err //nolint:wrapcheck // forwards the call
}

// traffic holds the bytes exchanged with each kind of address.
type traffic struct {
	peers, platform, endpoints int64
}

// read sums the counters by kind of address.
func (meter *meter) read(site *dogwoodsite.Site) traffic {
	var sum traffic
	add := func(address netip.AddrPort, bytes *int64) {
		*bytes += meter.counter(address).Load()
	}
	for _, daemon := range site.Daemons() {
		add(daemon.Peer, &sum.peers)
	}
	platform := site.Platform
	for _, address := range []netip.AddrPort{platform.Tables, platform.Objects, platform.VMs, platform.Weights} {
		add(address, &sum.platform)
	}
	for _, engine := range site.Engines {
		add(engine.Address(), &sum.endpoints)
	}
	for _, server := range site.Plain {
		add(server.Address(), &sum.endpoints)
	}
	return sum
}

// snapshot holds the counters of the process at one time.
type snapshot struct {
	at          time.Time
	cpu         time.Duration
	traffic     traffic
	tableReads  int
	tableWrites int
	calls       map[string]int64
}
