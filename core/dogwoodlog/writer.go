// Package dogwoodlog writes log lines without blocking the goroutines that log.
//
// If requests wrote to the log directly, a reader that stops would block all of them. Here,
// lines go into a bounded ring, and a separate goroutine writes them. While the ring is at
// least half full, the ordinary lines of most requests are left out, so that the lines of
// rejected and failed requests are kept; while it is full, all lines are dropped. Both are
// counted, and the counts are written after the next line.
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
	// ringLines is the capacity of the ring, which a busy daemon fills in a few seconds.
	ringLines = 1024
	// ringBytes bounds what the queued lines hold. Lines have a few hundred bytes; one that names what a client has sent, such as a request's ID,
	// may have a hundred times as many.
	ringBytes = 2 << 20
	// sampleThreshold is the number of queued lines from which ordinary lines are sampled.
	sampleThreshold = ringLines / 2
	// sampleOneIn means that one request in this many keeps its ordinary lines. With 10, the log
	// has complete requests even if its reader is ten times too slow, and the same ones at
	// every daemon.
	sampleOneIn = 10
)

// ordinaryMessages are the messages of requests that succeed; requestField starts the field
// with a request's ID.
var (
	ordinaryMessages = [][]byte{messageField(Placed), messageField(Minimum), messageField(FirstEvent), messageField(Answered)}
	requestField     = []byte(`"request":"`)
)

func messageField(message string) []byte {
	return []byte(`"@message":"` + message + `"`)
}

// Writer queues lines for a target writer. It is safe for concurrent use.
type Writer struct {
	ring   *dogwoodring.Ring[[]byte]
	target io.Writer
	// queued is the number of bytes in the ring.
	queued  atomic.Int64
	dropped atomic.Int64
	sampled atomic.Int64
}

// New returns a Writer. Only Run writes to the target.
func New(target io.Writer) *Writer {
	return &Writer{ring: dogwoodring.New[[]byte]("Log", ringLines, dogwoodring.Reject), target: target}
}

// Write queues a line. It never fails: if the ring is full, or its lines would hold more than ringBytes, the line is counted as dropped.
func (writer *Writer) Write(line []byte) (int, error) {
	if writer.ring.Len() >= sampleThreshold && sampledOut(line) {
		writer.sampled.Add(1)
		return len(line), nil
	}
	size := int64(len(line))
	if writer.queued.Add(size) > ringBytes || !writer.ring.Put(append([]byte(nil), line...)) {
		writer.queued.Add(-size)
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// sampledOut reports whether sampling leaves out an ordinary line. The result depends only on
// the request's ID, so it is the same for all ordinary lines of a request, at every daemon.
func sampledOut(line []byte) bool {
	if !slices.ContainsFunc(ordinaryMessages, func(message []byte) bool { return bytes.Contains(line, message) }) {
		return false
	}
	_, rest, found := bytes.Cut(line, requestField)
	id, _, ended := bytes.Cut(rest, []byte(`"`))
	if !found || !ended {
		return false
	}
	hash := fnv.New32a()
	_, _ = hash.Write(id) // hash.Hash never returns an error
	return hash.Sum32()%sampleOneIn != 0
}

// Run writes lines until the context ends, and then the lines still queued.
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

// write writes a line and any counts to the target. Errors of the target are ignored, as
// there is nowhere to report them.
func (writer *Writer) write(line []byte) {
	writer.queued.Add(-int64(len(line)))
	_, _ = writer.target.Write(line)
	dropped, sampled := writer.dropped.Swap(0), writer.sampled.Swap(0)
	if dropped > 0 {
		_, _ = fmt.Fprintf(writer.target, "{\"@level\":\"warn\",\"@message\":\"Log lines were dropped.\",\"dropped\":%d}\n", dropped)
	}
	if sampled > 0 {
		_, _ = fmt.Fprintf(writer.target, "{\"@level\":\"info\",\"@message\":\"Ordinary log lines were sampled.\",\"leftout\":%d}\n", sampled)
	}
}
