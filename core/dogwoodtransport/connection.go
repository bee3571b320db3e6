package dogwoodtransport

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
)

// connection is a connection whose reads end with io.EOF only if its other side has closed it in order.
//
// A socket reports a reset once, to the read or the write that comes first. If that is a write, the next read ends as after a plain
// close, and an answer without a length would count as complete.
type connection struct {
	net.Conn
	// writing has an element during a write. It guards writeErr, the error of the first write that failed.
	writing  chan struct{}
	writeErr error
	// awaitsHead is true if a request is about to be sent after others, so that the next bytes are those of a head.
	awaitsHead atomic.Bool
	head       headCheck
}

func newConnection(conn net.Conn) *connection {
	return &connection{Conn: conn, writing: make(chan struct{}, 1)}
}

// Read reads a part of an answer.
func (connection *connection) Read(target []byte) (int, error) {
	count, err := connection.Conn.Read(target)
	if connection.awaitsHead.Swap(false) {
		connection.head = headCheck{}
	}
	if failure := connection.head.add(target[:count]); failure != nil {
		return 0, failure
	}
	if errors.Is(err, io.EOF) {
		if failure := connection.failure(); failure != nil {
			return count, Error.New("the connection broke: %w", failure)
		}
	}
	return count, err //nolint:wrapcheck // io.EOF must stay itself
}

// Write writes a part of a request.
func (connection *connection) Write(data []byte) (int, error) {
	connection.writing <- struct{}{}
	defer func() { <-connection.writing }()
	count, err := connection.Conn.Write(data)
	if connection.writeErr == nil {
		connection.writeErr = err
	}
	return count, err //nolint:wrapcheck // forwards the call
}

// failure returns why a connection whose reads have ended was not closed in order, or nil if it was. A write in progress may be about to
// return the reason and is waited for, unless the connection still accepts writes: it was not reset then, and the write may take long.
func (connection *connection) failure() error {
	if acceptsWrites(connection.Conn) {
		select {
		case connection.writing <- struct{}{}:
		default:
			return nil
		}
	} else {
		connection.writing <- struct{}{}
	}
	defer func() { <-connection.writing }()
	if isOrderly(connection.writeErr) {
		return nil
	}
	return connection.writeErr
}

// isOrderly reports whether a connection whose first failed write returned an error may have been closed in order. Writes fail with EPIPE
// if the close came before the reset.
func isOrderly(writeErr error) bool {
	return writeErr == nil || errors.Is(writeErr, syscall.EPIPE) || errors.Is(writeErr, io.ErrClosedPipe)
}
