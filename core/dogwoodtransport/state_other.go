//go:build !linux

package dogwoodtransport

import "net"

// acceptsWrites returns false: the state of a connection can't be told.
func acceptsWrites(net.Conn) bool { return false }
