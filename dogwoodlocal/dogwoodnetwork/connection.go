package dogwoodnetwork

import (
	"net"
	"sync/atomic"
)

// acceptor wraps the connections of a host's listener.
type acceptor struct {
	net.Listener
	host *Host
}

// Accept waits for a connection and tracks it until it is closed.
func (acceptor *acceptor) Accept() (net.Conn, error) {
	accepted, err := acceptor.Listener.Accept()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	open := &connection{Conn: accepted, host: acceptor.host}
	acceptor.host.mutex.Lock()
	acceptor.host.connections[open] = struct{}{}
	acceptor.host.mutex.Unlock()
	return open, nil
}

// connection is a connection that can fall silent: it stays open and transmits nothing.
type connection struct {
	net.Conn
	host   *Host
	silent atomic.Bool
}

// Read reads data, and drops what arrives on a silent connection.
func (connection *connection) Read(buffer []byte) (int, error) {
	for {
		count, err := connection.Conn.Read(buffer)
		if err != nil || !connection.silent.Load() {
			return count, err // not wrapped, because net/http checks for errors of package net
		}
	}
}

// Write sends data. On a silent connection it drops the data and reports success.
func (connection *connection) Write(buffer []byte) (int, error) {
	if connection.silent.Load() {
		return len(buffer), nil
	}
	return connection.Conn.Write(buffer)
}

// Close closes the connection and stops tracking it.
func (connection *connection) Close() error {
	connection.host.mutex.Lock()
	delete(connection.host.connections, connection)
	connection.host.mutex.Unlock()
	return connection.Conn.Close()
}
