// Package dogwoodconnection decides how many connections each listener of a daemon may have open, so that the clients of one can't take the
// descriptors or the memory of the others and of the connections that the daemon opens itself.
package dogwoodconnection

const (
	// defaultSockets is the number of sockets of a daemon whose descriptors are not known.
	defaultSockets = 4096
	// connectionBytes is what an open connection takes on which nothing comes: the stack of its goroutine and two buffers of 4 KiB. All
	// connections that descriptors allow may take a quarter of the memory, as memoryPerConnections says.
	connectionBytes      = 16 << 10
	memoryPerConnections = 4
	// sharesOfAll is the number of equal shares into which the sockets are divided. What the listeners leave is for the connections to
	// endpoints, other daemons and the store.
	sharesOfAll     = 32
	callersShares   = 12
	forwardsShares  = 4
	directoryShares = 2
	queryShares     = 1
	peersShares     = 2
)

// Bounds are the largest numbers of connections that the listeners of a daemon may have open.
type Bounds struct {
	Callers, Forwards, Directory, Readiness, Metrics int
	// Handshakes bounds the connections of other daemons that have not proved that they have the key.
	Handshakes int
}

// NewBounds returns the bounds of a daemon that may have sockets open and use memory bytes; each is 0 if that is not known.
func NewBounds(sockets int, memory int64) Bounds {
	if sockets <= 0 {
		sockets = defaultSockets
	}
	if memory > 0 {
		sockets = min(sockets, int(memory/memoryPerConnections/connectionBytes))
	}
	share := func(count int) int { return max(sockets*count/sharesOfAll, 1) }
	return Bounds{
		Callers: share(callersShares), Forwards: share(forwardsShares), Directory: share(directoryShares), Readiness: share(queryShares),
		Metrics: share(queryShares), Handshakes: share(peersShares),
	}
}
