package dogwoodpeer

import (
	"bufio"
	"net"
	"net/rpc"
	"sync"
	"time"

	"dogwoodmux.example/core/dogwoodprogress"
)

// watchedArguments are the arguments of a call whose reply is bounded by its progress.
type watchedArguments struct {
	arguments any
	progress  *dogwoodprogress.Progress
}

// clientCodec is the client's end of a connection. A connection carries replies whole, one after another, so that each byte
// is known to belong to one call. The codec reports the bytes of a reply to the progress of its call. The others, whose
// replies can't arrive meanwhile, get as much more time.
type clientCodec struct {
	*codec

	mutex   sync.Mutex
	watched map[uint64]*dogwoodprogress.Progress // by the call's number

	// The following fields belong to the goroutine that reads.

	input *bufio.Reader
	// reading is the number of the call whose reply is being read, if isReading is set.
	reading   uint64
	isReading bool
	lastRead  time.Time
}

func newClientCodec(conn net.Conn) *clientCodec {
	clientCodec := &clientCodec{input: bufio.NewReader(conn), watched: map[uint64]*dogwoodprogress.Progress{}}
	clientCodec.codec = newCodec(conn, clientCodec)
	return clientCodec
}

// WriteRequest sends a call.
func (clientCodec *clientCodec) WriteRequest(request *rpc.Request, arguments any) error {
	if watched, ok := arguments.(watchedArguments); ok {
		arguments = watched.arguments
		clientCodec.mutex.Lock()
		clientCodec.watched[request.Seq] = watched.progress
		clientCodec.mutex.Unlock()
	}
	if err := clientCodec.encoder.Encode(request); err != nil {
		return Error.Wrap(err)
	}
	if err := clientCodec.encoder.Encode(arguments); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(clientCodec.buffer.Flush())
}

// ReadResponseHeader reads the header of a reply.
func (clientCodec *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	if err := clientCodec.decode(response); err != nil {
		return err //nolint:wrapcheck // net/rpc compares it with io.EOF
	}
	clientCodec.reading, clientCodec.isReading, clientCodec.lastRead = response.Seq, true, time.Now()
	return nil
}

// ReadResponseBody reads the rest of a reply, and drops it if body is nil.
func (clientCodec *clientCodec) ReadResponseBody(body any) error {
	err := clientCodec.decode(body)
	clientCodec.isReading = false
	clientCodec.mutex.Lock()
	delete(clientCodec.watched, clientCodec.reading)
	clientCodec.mutex.Unlock()
	return Error.Wrap(err)
}

// Close closes the connection.
func (clientCodec *clientCodec) Close() error {
	return Error.Wrap(clientCodec.conn.Close())
}

// Read reads for the decoder.
func (clientCodec *clientCodec) Read(target []byte) (int, error) {
	count, err := clientCodec.input.Read(target)
	clientCodec.report(count)
	return count, err //nolint:wrapcheck // io.EOF must stay itself
}

// ReadByte makes the decoder use no buffer of its own, in which bytes would be counted before it needs them.
func (clientCodec *clientCodec) ReadByte() (byte, error) {
	read, err := clientCodec.input.ReadByte()
	if err == nil {
		clientCodec.report(1)
	}
	return read, err //nolint:wrapcheck // as above
}

// report reports the bytes that arrived of the current reply.
func (clientCodec *clientCodec) report(count int) {
	if !clientCodec.isReading || count == 0 {
		return
	}
	now := time.Now()
	taken := now.Sub(clientCodec.lastRead)
	clientCodec.lastRead = now
	clientCodec.mutex.Lock()
	defer clientCodec.mutex.Unlock()
	for number, progress := range clientCodec.watched {
		if number == clientCodec.reading {
			progress.Received(count)
		} else {
			progress.Postpone(taken)
		}
	}
}
