// Package dogwoodlog writes log lines without ever holding up those who log.
//
// A log that is written in the request's own path stops all requests when its reader
// stops. Here lines go into a bounded ring and a duty of its own writes them. While the
// ring is half full, the ordinary lines of most requests are left out, so that refusals and
// failures keep theirs; while it is full all lines are dropped. Both are counted, and the
// next line that gets through is followed by one that tells how many.
package dogwoodlog

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"slices"
	"sync/atomic"

	"dogwoodmux.example/core/dogwoodring"
)

const (
	// ringLines is how many lines may wait: some seconds of a busy daemon.
	ringLines = 1024
	// sampleFrom is how many must wait for ordinary lines to be sampled.
	sampleFrom = ringLines / 2
	// sampleOneIn is the share of the requests that keep their ordinary lines: a daemon whose
	// reader is ten times too slow still shows whole requests, and the same ones as the others.
	sampleOneIn = 10
)

// ordinary marks the lines of requests that go well; requestField bears a request's ID.
var (
	ordinary     = [][]byte{messageField(Placed), messageField(FirstEvent), messageField(Answered)}
	requestField = []byte(`"request":"`)
)

func messageField(message string) []byte {
	return []byte(`"@message":"` + message + `"`)
}

// Writer queues lines for another writer. It is safe for concurrent use.
type Writer struct {
	ring    *dogwoodring.Ring[[]byte]
	target  io.Writer
	dropped atomic.Int64
	sampled atomic.Int64
}

// New returns a writer to the target, which only Run writes to.
func New(target io.Writer) *Writer {
	return &Writer{ring: dogwoodring.New[[]byte]("Log", ringLines, dogwoodring.Refuse), target: target}
}

// Write queues a line. It never fails: a line that finds no room is counted as dropped.
func (writer *Writer) Write(line []byte) (int, error) {
	if writer.ring.Len() >= sampleFrom && leftOut(line) {
		writer.sampled.Add(1)
		return len(line), nil
	}
	if !writer.ring.Put(append([]byte(nil), line...)) {
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// leftOut reports whether an ordinary line is left out of a sample. All lines of a request
// share its fate, at every daemon.
func leftOut(line []byte) bool {
	if !slices.ContainsFunc(ordinary, func(mark []byte) bool { return bytes.Contains(line, mark) }) {
		return false
	}
	_, rest, found := bytes.Cut(line, requestField)
	id, _, ended := bytes.Cut(rest, []byte(`"`))
	if !found || !ended {
		return false
	}
	hash := fnv.New32a()
	_, _ = hash.Write(id) // it never fails
	return hash.Sum32()%sampleOneIn != 0
}

// Run writes until the context ends, and then what still waits.
func (writer *Writer) Run(ctx context.Context) error {
	for {
		line, err := writer.ring.Take(ctx)
		if err != nil {
			writer.flush()
			return nil
		}
		writer.write(line)
	}
}

func (writer *Writer) flush() {
	for writer.ring.Len() > 0 {
		select {
		case line := <-writer.ring.Values():
			writer.write(line)
		default:
			return
		}
	}
}

// write passes a line on. An error of the target has nowhere to be told.
func (writer *Writer) write(line []byte) {
	_, _ = writer.target.Write(line)
	dropped, sampled := writer.dropped.Swap(0), writer.sampled.Swap(0)
	if dropped > 0 {
		_, _ = fmt.Fprintf(writer.target, "{\"@level\":\"warn\",\"@message\":\"Log lines were dropped.\",\"dropped\":%d}\n", dropped)
	}
	if sampled > 0 {
		_, _ = fmt.Fprintf(writer.target, "{\"@level\":\"info\",\"@message\":\"Ordinary log lines were sampled.\",\"leftout\":%d}\n", sampled)
	}
}
