package dogwoodengine

import (
	"context"
	"io"
	"strconv"
	"strings"
	"sync"

	"github.com/tmaxmax/go-sse"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/dogwoodring"
)

const (
	// maxBufferedFrames is how many frames are buffered for a slow caller before reading from the
	// connection stops, so that the engine's TCP window fills instead of the daemon's memory.
	maxBufferedFrames = 16
	// maxEventBytes bounds one event of a stream, so that a broken engine can't fill the daemon's
	// memory.
	maxEventBytes = 1 << 20
	// doneData is the data of the event that ends a stream.
	doneData = "[DONE]"
	// EventTypeError is the type of the event by which an engine reports that a request failed.
	EventTypeError = "error"
	// EventTypeProgress is the type of the event that an engine sends while it has no other to send.
	EventTypeProgress = "progress"
)

// frame is one event as received over a connection, before Stream.accept checks it.
type frame struct {
	id    string
	index int
	kind  string
	data  string
}

// connection reads a stream over one HTTP connection. Each connection has its own channels, so
// that bytes that arrive after it is closed are dropped with it.
type connection struct {
	frames *dogwoodring.Ring[frame]
	// activity signals that bytes arrived, even if only a comment or a part of an event.
	activity chan struct{}
	// failure is set before frames is closed.
	failure error
	cancel  context.CancelFunc
	reading sync.WaitGroup
}

func newConnection(ctx context.Context, cancel context.CancelFunc, body io.ReadCloser) *connection {
	connection := &connection{
		frames:   dogwoodring.New[frame]("stream events", maxBufferedFrames, dogwoodring.Wait),
		activity: make(chan struct{}, 1),
		cancel:   cancel,
	}
	connection.reading.Go(func() {
		defer connection.frames.Close()
		defer body.Close() //nolint:errcheck // the stream was read to its end or abandoned
		connection.failure = dogwoodkernel.Recovered(func() error { return connection.read(ctx, body) })
	})
	return connection
}

// read forwards the stream's events to frames until the connection ends, and returns why it
// ended. The end of the connection is always an error: only a [DONE] event ends the stream.
func (connection *connection) read(ctx context.Context, body io.Reader) error {
	body = &activityReader{body: body, activity: connection.activity}
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return Error.Wrap(err)
		}
		received := frame{kind: event.Type, data: event.Data}
		received.id, received.index = splitEventID(event.LastEventID)
		if err := connection.frames.PutWait(ctx, received); err != nil {
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(io.ErrUnexpectedEOF)
}

// close closes the connection and waits until its reader has ended.
func (connection *connection) close() {
	connection.cancel()
	connection.reading.Wait()
}

// activityReader signals activity on every read that returned bytes.
type activityReader struct {
	body     io.Reader
	activity chan<- struct{}
}

func (reader *activityReader) Read(buffer []byte) (int, error) {
	count, err := reader.body.Read(buffer)
	if count > 0 {
		select {
		case reader.activity <- struct{}{}:
		default:
		}
	}
	return count, err // not wrapped: callers of Read compare it with io.EOF
}

func eventID(id string, index int) string {
	return id + "/" + strconv.Itoa(index)
}

// splitEventID splits "REQUEST/INDEX". The index is -1 if there is none.
func splitEventID(value string) (id string, index int) {
	slash := strings.LastIndexByte(value, '/')
	if slash < 0 {
		return value, -1
	}
	index, err := strconv.Atoi(value[slash+1:])
	if err != nil || index < 0 {
		return value, -1
	}
	return value[:slash], index
}
