package dogwoodrelay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"mime"
)

// event is one event of a stream exactly as the endpoint sent it, including the final empty line.
type event struct {
	raw []byte
	id  string
	// isComment is true if it has neither data nor an ID, so that no caller misses it.
	isComment bool
}

// eventReader splits a stream into whole events without changing a byte.
type eventReader struct {
	reader *bufio.Reader
	// endMarked is true if the stream's end is marked, so that its last event may lack the final empty line.
	endMarked bool
	// raw is the buffer of the current event.
	raw []byte
	// account counts what raw takes above freeEventBytes.
	account eventAccount
}

// eventAccount counts the memory that an event takes.
type eventAccount interface {
	// reserve counts bytes, or returns an error if no more may be taken.
	reserve(bytes int64) error
	release(bytes int64)
}

const (
	// eventBufferSize is enough for several events of a few hundred bytes.
	eventBufferSize = 2 << 10
	// freeEventBytes is how much of an event is covered by what is set aside for each request in progress.
	freeEventBytes = 16 << 10
	// maxEventBytes is the size of the largest event. An endpoint that sends more without the end of the event sends something else.
	maxEventBytes = maxHeldBytes
)

var errEventTooLarge = Error.New("an event has more than %d bytes", maxEventBytes)

func newEventReader(response *Response, account eventAccount) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(response.Body, eventBufferSize), endMarked: response.EndMarked, account: account}
}

// next returns the next whole event, or io.EOF after the last one. If the stream ends within an event and its end is not marked,
// it returns io.ErrUnexpectedEOF. The event is valid until the next call.
func (eventReader *eventReader) next() (event, error) {
	eventReader.reset()
	current := event{isComment: true}
	for {
		line, err := eventReader.readLine()
		if err != nil {
			return eventReader.end(err)
		}
		content := bytes.TrimRight(line, "\r\n")
		if len(content) == 0 {
			current.raw = eventReader.raw
			return current, nil
		}
		if id, ok := bytes.CutPrefix(content, []byte("id:")); ok {
			current.id = string(bytes.TrimPrefix(id, []byte(" ")))
		}
		if content[0] != ':' {
			current.isComment = false
		}
	}
}

// end returns what follows the last whole event of a stream that has ended.
func (eventReader *eventReader) end(err error) (event, error) {
	switch {
	case !errors.Is(err, io.EOF) || len(eventReader.raw) == 0:
		return event{}, err
	case eventReader.endMarked:
		return event{raw: eventReader.raw}, nil
	default:
		return event{}, io.ErrUnexpectedEOF
	}
}

// readLine appends a line with its ending to the current event and returns it.
func (eventReader *eventReader) readLine() ([]byte, error) {
	start := len(eventReader.raw)
	for {
		part, err := eventReader.reader.ReadSlice('\n')
		if err := eventReader.add(part); err != nil {
			return nil, err
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return eventReader.raw[start:], err //nolint:wrapcheck // io.EOF must stay itself
		}
	}
}

// add appends a part of a line to the current event.
func (eventReader *eventReader) add(part []byte) error {
	needed := len(eventReader.raw) + len(part)
	if needed > maxEventBytes {
		return errEventTooLarge
	}
	if had := cap(eventReader.raw); needed > had {
		grown := max(2*had, needed, minEventCapacity)
		if err := eventReader.account.reserve(counted(grown) - counted(had)); err != nil {
			return err
		}
		eventReader.raw = append(make([]byte, 0, grown), eventReader.raw...)
	}
	eventReader.raw = append(eventReader.raw, part...)
	return nil
}

// reset drops the current event. The buffer of a large one is not kept, since most events are small.
func (eventReader *eventReader) reset() {
	eventReader.raw = eventReader.raw[:0]
	if bytes := counted(cap(eventReader.raw)); bytes > 0 {
		eventReader.raw = nil
		eventReader.account.release(bytes)
	}
}

// counted returns how much of a buffer is counted.
func counted(capacity int) int64 {
	return int64(max(0, capacity-freeEventBytes))
}

// minEventCapacity is the least capacity of an event's buffer.
const minEventCapacity = 512

// eventStream is the content type of a stream of events.
const eventStream = "text/event-stream"

// hasEvents reports whether the answer says that it is a stream of events.
func (response *Response) hasEvents() bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == eventStream
}

// isSeries reports whether a streamed answer is a stream of events. One that names no content type counts as such.
func (response *Response) isSeries() bool {
	return response.Header.Get("Content-Type") == "" || response.hasEvents()
}

// endsInsideEvent reports whether a body that ends with some data and whose end is not marked is a stream of events without the
// end of its last one.
func (response *Response) endsInsideEvent(end []byte) bool {
	if response.EndMarked || !response.hasEvents() || len(end) == 0 {
		return false
	}
	lastLine, found := bytes.CutSuffix(end, []byte("\n"))
	return !found || !bytes.HasSuffix(bytes.TrimSuffix(lastLine, []byte("\r")), []byte("\n"))
}
