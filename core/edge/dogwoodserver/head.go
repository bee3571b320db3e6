package dogwoodserver

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dogwoodmux.example/core/decision/dogwoodbuffer"
)

const (
	// minLineBytes is the size of the shortest line of a header.
	minLineBytes = 3
	// headSlack is how much larger than its bound a head may be, as for net/http.
	headSlack = 4 << 10
	// refuseTime bounds the writing of a refusal, and drainTime and maxDrainBytes what is read of a refused request before its connection is
	// closed. A close with unread bytes resets the connection, and many clients read an answer only when they have sent their request.
	refuseTime    = 100 * time.Millisecond
	drainTime     = 500 * time.Millisecond
	maxDrainBytes = 256 << 10
)

// The reasons for which a server refuses a request before it has arrived.
var (
	errHeadTooLarge       = errors.New("the head is too large")
	errHeadMemory         = errors.New("this daemon holds too many large heads")
	errTooManyConnections = errors.New("this daemon has too many connections")
)

// headCounter counts the bytes and lines of a request's head as it arrives.
type headCounter struct {
	size dogwoodbuffer.HeadSize
	// lineBytes is the number of bytes of the line that arrives, and endsInCR is true if the last of them is a CR.
	lineBytes int
	endsInCR  bool
	// ended is true from the empty line on that ends the head.
	ended bool
}

// add counts a part of the head; what follows the head is left out.
func (counter *headCounter) add(part []byte) {
	for len(part) > 0 && !counter.ended {
		end := bytes.IndexByte(part, '\n')
		if end < 0 {
			counter.size.Bytes += len(part)
			counter.addToLine(part)
			return
		}
		counter.addToLine(part[:end])
		counter.size.Bytes += end + 1
		counter.size.Lines++
		counter.ended = counter.lineBytes == 0 || counter.lineBytes == 1 && counter.endsInCR
		counter.lineBytes, counter.endsInCR = 0, false
		part = part[end+1:]
	}
}

func (counter *headCounter) addToLine(part []byte) {
	if len(part) == 0 {
		return
	}
	counter.lineBytes += len(part)
	counter.endsInCR = part[len(part)-1] == '\r'
}

// resume counts a part of a head that came with the request before and was not counted. Only its end is known.
func (counter *headCounter) resume(count int, end []byte) {
	counter.size = dogwoodbuffer.HeadSize{Bytes: count, Lines: count / minLineBytes}
	switch line := end[bytes.LastIndexByte(end, '\n')+1:]; {
	case len(line) < len(end):
		counter.addToLine(line)
	default:
		counter.lineBytes = len(end) + 1 // the line's beginning is not known: it is not empty
	}
}

// requestHead returns the size of the head of a request that was parsed.
func requestHead(received *http.Request) dogwoodbuffer.HeadSize {
	size := dogwoodbuffer.HeadSize{Lines: 2, Bytes: len(received.RequestURI) + len(received.Host)}
	for name, values := range received.Header {
		for _, value := range values {
			size.Lines++
			size.Bytes += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// admit counts what was read of a head toward the daemon's memory before net/http parses it. It returns an error if the request is to be
// refused.
func (connection *connection) admit(part []byte) error {
	if connection.isEvicted() {
		return errTooManyConnections
	}
	if connection.isHandled() {
		return nil
	}
	connection.counter.add(part)
	options := &connection.server.options
	if options.MaxHeadBytes != nil && connection.counter.size.Bytes > options.MaxHeadBytes()+headSlack {
		return errHeadTooLarge
	}
	if options.Memory == nil || connection.counter.size.Bytes == 0 {
		return nil
	}
	if connection.account == nil {
		connection.account = options.Memory.NewHead(connection.interrupt)
	}
	if connection.account.Reserve(connection.counter.size.Memory(0)) != nil {
		return errHeadMemory
	}
	return nil
}

// complete counts a head that was parsed, with the copies that the handler makes of it.
func (connection *connection) complete(received *http.Request) error {
	options := &connection.server.options
	if options.Memory == nil {
		return nil
	}
	if connection.account == nil {
		connection.account = options.Memory.NewHead(connection.interrupt)
	}
	if connection.account.Complete(requestHead(received).Memory(options.Copies)) != nil {
		return errHeadMemory
	}
	return nil
}

// endHead takes the head of a request that has ended off the daemon's memory.
func (connection *connection) endHead() {
	connection.counter = headCounter{}
	if connection.account != nil {
		connection.account.Close()
		connection.account = nil
	}
}

// interrupt ends the read that is in progress. The next call of admit refuses the request.
func (connection *connection) interrupt() {
	_ = connection.SetReadDeadline(time.Now()) // it fails for a connection that is closed
}

// refuse answers a request of which net/http has not read the whole head, and returns the error with which net/http closes the connection
// without an answer of its own.
func (connection *connection) refuse(reason error) error {
	connection.server.recordRefusal(reason, connection.RemoteAddr())
	connection.endHead()
	refused := &net.OpError{Op: "read", Net: "tcp", Addr: connection.RemoteAddr(), Err: reason}
	if connection.isUnused() { // nothing was asked for
		return refused
	}
	_ = connection.SetWriteDeadline(time.Now().Add(refuseTime)) // the write fails if this does
	_, err := io.WriteString(connection, connection.server.refusal(reason))
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.refused = err == nil && !errors.Is(reason, errTooManyConnections)
	return refused
}

// Close closes the connection. If its request was refused before it had arrived, it first reads what the client still sends, for a moment. It
// does so here, since net/http holds what it has parsed until Read has returned.
func (connection *connection) Close() error {
	if connection.endRefusal() && !connection.server.isDraining() && connection.CloseWrite() == nil &&
		connection.SetReadDeadline(time.Now().Add(drainTime)) == nil {
		_, _ = io.CopyN(io.Discard, connection.Conn, maxDrainBytes) // it ends with the connection or the deadline
	}
	return connection.Conn.Close() //nolint:wrapcheck // forwards the call
}

// endRefusal reports, once, whether the connection's request was refused before it had arrived.
func (connection *connection) endRefusal() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	refused := connection.refused
	connection.refused = false
	return refused
}

// refusalStatus returns the status of a refusal. A server that lacks memory or connections may serve the request a moment later, or another
// daemon may.
func refusalStatus(reason error) int {
	if errors.Is(reason, errHeadTooLarge) {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return http.StatusServiceUnavailable
}

// refusal returns the answer to a request that is refused before it has arrived.
func (server *Server) refusal(reason error) string {
	status := refusalStatus(reason)
	mediaType, body := server.refusalBody(reason)
	var answer strings.Builder
	_, _ = fmt.Fprintf(&answer, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = server.refusalHeader(reason, mediaType, len(body)).Write(&answer) // writing to a Builder does not fail
	return answer.String() + "\r\n" + body
}

// refusalBody returns the media type and the body of a refusal.
func (server *Server) refusalBody(reason error) (mediaType, body string) {
	detail := "not run: " + reason.Error()
	if server.options.RefusalBody == nil {
		return "text/plain; charset=utf-8", detail + "\n"
	}
	return server.options.RefusalBody(refusalStatus(reason), detail)
}

func (server *Server) refusalHeader(reason error, mediaType string, length int) http.Header {
	header := http.Header{}
	if refusalStatus(reason) == http.StatusServiceUnavailable {
		header.Set("Retry-After", server.options.RetryAfter)
		for name, values := range server.options.RefusalHeader {
			header[name] = values
		}
	}
	header.Set("Connection", "close")
	header.Set("Content-Type", mediaType)
	header.Set("Content-Length", strconv.Itoa(length))
	return header
}

// writeRefusal answers a request that was parsed and can't be held.
func (server *Server) writeRefusal(writer http.ResponseWriter, received *http.Request, reason error) {
	server.recordRefusal(reason, received.RemoteAddr)
	mediaType, body := server.refusalBody(reason)
	for name, values := range server.refusalHeader(reason, mediaType, len(body)) {
		writer.Header()[name] = values
	}
	writer.WriteHeader(refusalStatus(reason))
	_, _ = io.WriteString(writer, body) //nolint:gosec // G705: a fixed text; a client that is gone needs no answer
}
