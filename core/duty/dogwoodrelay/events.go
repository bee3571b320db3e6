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
	raw       []byte
}

// eventBufferSize is enough for several events of a few hundred bytes.
const eventBufferSize = 2 << 10

func newEventReader(response *Response) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(response.Body, eventBufferSize), endMarked: response.EndMarked}
}

// next returns the next whole event, or io.EOF after the last one. If the stream ends within an event and its end is not marked,
// it returns io.ErrUnexpectedEOF.
func (eventReader *eventReader) next() (event, error) {
	current := event{raw: eventReader.raw[:0], isComment: true}
	for {
		line, err := eventReader.readLine()
		if err != nil {
			ended := errors.Is(err, io.EOF) && (len(current.raw) > 0 || len(line) > 0)
			switch {
			case ended && eventReader.endMarked:
				current.raw, current.isComment = append(current.raw, line...), false
				eventReader.raw = current.raw
				return current, nil
			case ended:
				return event{}, io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		current.raw = append(current.raw, line...)
		content := bytes.TrimRight(line, "\r\n")
		if len(content) == 0 {
			eventReader.raw = current.raw
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

// readLine returns a line including its line ending. The line is valid until the next call.
func (eventReader *eventReader) readLine() ([]byte, error) {
	line, err := eventReader.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := append([]byte(nil), line...)
	for errors.Is(err, bufio.ErrBufferFull) && len(long) < maxHeldBytes {
		line, err = eventReader.reader.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}
