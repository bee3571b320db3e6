package dogwoodserver

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"dogwoodmux.example/core/decision/dogwoodbuffer"
)

const (
	// maxKeptHead bounds what is kept of a request that no handler has, to find its ID.
	maxKeptHead = 2 << 10
	// backgroundReadBytes is the size of net/http's reads in the background; all its others are larger.
	backgroundReadBytes = 1
)

// connection is an accepted connection that counts the bytes of requests for which no handler runs.
type connection struct {
	net.Conn
	server *Server

	// counter counts the head that arrives, and account holds its bytes from the first of them until the request has ended; nil before.
	// Both are used by the goroutine that serves the connection.
	counter headCounter
	account *dogwoodbuffer.Head
	// end holds the last bytes that were read.
	end [2]byte

	mutex sync.Mutex
	// waiting is when the connection was accepted, or its last request ended.
	waiting time.Time
	// reading is true while net/http waits for a request's first bytes. It is false for reads in the background, by which
	// net/http notices that the caller of a running request has left.
	reading bool
	// bufferSize is the size of net/http's buffer: that of its reads while the buffer is empty.
	bufferSize int
	// handled is true from the start of a request's handler until the connection is idle again.
	handled bool
	// received is the number of bytes received of a request that no handler has yet, and head the first of them.
	received int
	head     []byte
	// arriving is when the first of them were received.
	arriving time.Time
	// callerGone is true if the caller closed the connection, or it broke.
	callerGone bool
	// released is true from release until bytes arrive.
	released bool
	// answered is true if something was written without a handler: net/http answers invalid requests itself.
	answered bool
	// evicted is true once the connection is to be closed for a new one, unless a request is handled.
	evicted bool
	// refused is true from a refusal of a request that has not arrived until the connection is closed.
	refused bool
}

// Read counts what it reads while no handler runs. It fails on a connection that was released, unless bytes have arrived.
func (connection *connection) Read(target []byte) (int, error) {
	connection.beginRead(len(target))
	if connection.isEvicted() {
		return 0, connection.refuse(errTooManyConnections)
	}
	count, err := connection.Conn.Read(target)
	if errors.Is(err, os.ErrDeadlineExceeded) && connection.isReleased() && connection.hasUnread() {
		_ = connection.SetReadDeadline(time.Now().Add(maxArrival)) // the read fails if this does
		count, err = connection.Conn.Read(target)
	}
	connection.record(target[:count], err)
	if refused := connection.admit(target[:count]); refused != nil {
		return 0, connection.refuse(refused)
	}
	connection.recordEnd(target[:count])
	return count, err //nolint:wrapcheck // net/http asks for the error's type
}

// beginRead records the beginning of a read of up to size bytes. One that is smaller than net/http's buffer completes a request of which
// the buffer holds a part: it came with the request before.
func (connection *connection) beginRead(size int) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.reading = size > backgroundReadBytes
	if !connection.reading || connection.handled {
		return
	}
	connection.bufferSize = max(connection.bufferSize, size)
	buffered := connection.bufferSize - size - connection.received
	if connection.received == 0 && buffered > 0 {
		connection.counter.resume(buffered, connection.end[max(0, len(connection.end)-buffered):])
	}
	connection.receive(buffered)
}

// recordEnd keeps the last bytes that were read.
func (connection *connection) recordEnd(data []byte) {
	for _, last := range data[max(0, len(data)-len(connection.end)):] {
		connection.end[0], connection.end[1] = connection.end[1], last
	}
}

// receive counts bytes of a request that no handler has yet. The mutex is held.
func (connection *connection) receive(count int) {
	if count <= 0 {
		return
	}
	if connection.received == 0 {
		connection.arriving = time.Now()
	}
	connection.received += count
}

// record records the result of a read.
func (connection *connection) record(data []byte, err error) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.reading = false
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		connection.callerGone = true
	}
	if connection.handled {
		return
	}
	connection.receive(len(data))
	if len(data) > 0 && connection.released {
		connection.released = false
		_ = connection.SetReadDeadline(time.Now().Add(maxArrival)) // the next read fails if this does
	}
	connection.head = append(connection.head, data[:min(len(data), maxKeptHead-len(connection.head))]...)
}

// Write records an answer that no handler writes.
func (connection *connection) Write(data []byte) (int, error) {
	count, err := connection.Conn.Write(data)
	connection.mutex.Lock()
	connection.answered = connection.answered || !connection.handled && err == nil
	connection.mutex.Unlock()
	return count, err //nolint:wrapcheck // net/http asks for the error's type
}

// begin records that a handler has the request.
func (connection *connection) begin() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.handled, connection.received, connection.head = true, 0, connection.head[:0]
	if connection.evicted {
		connection.evicted = false
		_ = connection.SetReadDeadline(time.Time{}) // evict has set it; the body is read without one
	}
}

func (connection *connection) isHandled() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.handled
}

// evict makes the connection end unless a request is handled or has just arrived. It reports whether the connection ends.
func (connection *connection) evict() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.handled || connection.received == 0 && connection.hasUnread() {
		return false
	}
	connection.evicted = true
	connection.interrupt()
	return true
}

func (connection *connection) isEvicted() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.evicted
}

// isUnused reports whether no part of a request has arrived since the last one.
func (connection *connection) isUnused() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.received == 0
}

// waitingSince returns since when the connection has had no request that is handled, and false if it has one or is being evicted.
func (connection *connection) waitingSince() (time.Time, bool) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.waiting, !connection.handled && !connection.evicted
}

// idle records that the request has ended, and the connection waits for the next one.
func (connection *connection) idle() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.endHead()
	connection.handled, connection.received, connection.head, connection.answered = false, 0, connection.head[:0], false
	connection.waiting, connection.released = time.Now(), false
}

// release makes the server close the connection if it has waited for a request for maxFirstBytes. net/http closes it after a
// read that fails, so no request is lost between its last byte and the close. A connection that net/http doesn't read at the
// moment is left alone: a request may be in its buffer, and a read in the background that fails would end that request. So is one that
// was released before: it may be reading what has arrived since.
func (connection *connection) release() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	isWaiting := connection.reading && !connection.handled && connection.received == 0 && !connection.released
	if isWaiting && time.Since(connection.waiting) >= maxFirstBytes {
		connection.expire()
	}
}

// expire makes the read that runs fail unless bytes have arrived. The mutex is held.
func (connection *connection) expire() {
	connection.released = true
	_ = connection.SetReadDeadline(time.Now()) // it fails for a connection that is closed
}

func (connection *connection) isReleased() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.released
}

// waited returns for how long the connection has waited for a request, and whether it was released meanwhile.
func (connection *connection) waited() (waited time.Duration, released bool) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return time.Since(connection.waiting), connection.released
}

// CloseWrite closes the sending side, if the connection supports it. net/http does so before it closes a connection with unread
// bytes, since the answer could be lost to the reset of a plain close.
func (connection *connection) CloseWrite() error {
	if closer, ok := connection.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite() //nolint:wrapcheck // forwards the call
	}
	return nil
}

// SetLinger sets what a close does with bytes that were not sent, if the connection supports it.
func (connection *connection) SetLinger(seconds int) error {
	if lingerer, ok := connection.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return lingerer.SetLinger(seconds) //nolint:wrapcheck // forwards the call
	}
	return errors.ErrUnsupported
}

// hasUnread reports whether bytes have arrived that were not read. It is false for a connection without a descriptor: a pipe
// holds no bytes.
func (connection *connection) hasUnread() bool {
	descriptors, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := descriptors.SyscallConn()
	if err != nil {
		return false
	}
	count := 0
	err = raw.Control(func(descriptor uintptr) {
		var first [1]byte
		count, _, err = syscall.Recvfrom(int(descriptor), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && count > 0
}

// isLate reports whether a part of a request arrived maxArrival ago or earlier that no handler has.
func (connection *connection) isLate() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return !connection.handled && connection.received > 0 && time.Since(connection.arriving) >= maxArrival
}

// unhandledRequest is a request, or a part of one, that no handler had and nothing answered.
type unhandledRequest struct {
	received int
	// head holds the first of the bytes received.
	head       []byte
	callerGone bool
}

// unhandled returns the connection's request that no handler had. Its received is 0 if there is none.
func (connection *connection) unhandled() unhandledRequest {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.handled || connection.answered {
		return unhandledRequest{}
	}
	return unhandledRequest{received: connection.received, head: connection.head, callerGone: connection.callerGone}
}

// headerValue returns the value of a header of the request that begins with the given bytes, empty if it is not among them.
func headerValue(head []byte, header string) string {
	head, _, _ = bytes.Cut(head, []byte("\r\n\r\n"))
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		name, value, found := bytes.Cut(line, []byte(":"))
		if found && bytes.EqualFold(name, []byte(header)) {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
