package dogwoodlog

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
)

// blockedWriter blocks until it is released, as a pipe does whose reader has stopped.
type blockedWriter struct {
	mutex    sync.Mutex
	released chan struct{}
	written  bytes.Buffer
}

func (blockedWriter *blockedWriter) Write(line []byte) (int, error) {
	<-blockedWriter.released
	blockedWriter.mutex.Lock()
	defer blockedWriter.mutex.Unlock()
	return blockedWriter.written.Write(line)
}

// writeWhileBlocked writes lines while the target is blocked and returns the log once it is
// released.
func writeWhileBlocked(t *testing.T, write func(writer *Writer)) (log string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		target := &blockedWriter{released: make(chan struct{})}
		writer := New(target)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { _ = writer.Run(ctx) })
		synctest.Wait()
		write(writer)
		close(target.released)
		synctest.Wait()
		cancel()
		group.Wait()
		log = target.written.String()
	})
	return log
}

// While the log's reader is stopped, Write must not block. Lines are dropped, and the log
// reports how many once the reader continues.
func TestStoppedReaderDoesNotBlockWrite(t *testing.T) {
	const lines = ringLines + 500
	got := writeWhileBlocked(t, func(writer *Writer) {
		for range lines {
			if _, err := writer.Write([]byte("line\n")); err != nil {
				t.Error(err)
			}
		}
	})
	if count := strings.Count(got, "line\n"); count < ringLines || count >= lines {
		t.Errorf("got %d lines, want the ring's %d and not all %d", count, ringLines, lines)
	}
	if !strings.Contains(got, "dropped") {
		t.Error("the log does not report that lines were dropped")
	}
}

// During a burst with a slow reader, the lines of successful requests filled the ring, and the
// lines of refusals, which engineers look for, were dropped.
func TestRefusalsAreKeptWhenRingFills(t *testing.T) {
	const requests, refused = 1000, 200
	got := writeWhileBlocked(t, func(writer *Writer) {
		for i := range requests {
			for _, message := range []string{"Placed.", "First event.", "Answered."} {
				_, _ = fmt.Fprintf(writer, "{\"@level\":\"info\",\"@message\":%q,\"request\":\"r%d\"}\n", message, i)
			}
			if i%(requests/refused) == 0 {
				_, _ = fmt.Fprintf(writer, "{\"@level\":\"info\",\"@message\":\"Refused.\",\"request\":\"f%d\"}\n", i)
			}
		}
	})
	if count := strings.Count(got, "Refused."); count != refused {
		t.Errorf("got the lines of %d refusals, want all %d", count, refused)
	}
	if strings.Contains(got, "dropped") || !strings.Contains(got, "sampled") {
		t.Error("want a log that reports sampled lines and no dropped ones")
	}
	placed, answered := strings.Count(got, "Placed."), strings.Count(got, "Answered.")
	if difference := placed - answered; placed < 150 || difference < -1 || difference > 1 {
		t.Errorf("got %d requests placed and %d answered, want the same ones", placed, answered)
	}
}

func BenchmarkWrite(b *testing.B) {
	writer := New(&bytes.Buffer{})
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { _ = writer.Run(ctx) })
	line := []byte(strings.Repeat("x", 300))
	b.ReportAllocs()
	for b.Loop() {
		_, _ = writer.Write(line)
	}
}

// Guards against lines that name what a client has sent, such as a request's ID of many kilobytes, and that take a process's memory while
// its log is not read.
func TestQueuedLinesAreBoundedInBytes(t *testing.T) {
	const lineBytes = 64 << 10
	line := append(bytes.Repeat([]byte("a"), lineBytes-1), '\n')
	got := writeWhileBlocked(t, func(writer *Writer) {
		for range 10 * ringBytes / lineBytes {
			_, _ = writer.Write(line) // it never fails
		}
	})
	if count := strings.Count(got, string(line)); count < ringBytes/lineBytes || count > ringBytes/lineBytes+1 { // one is being written
		t.Errorf("got %d lines of %d bytes, want %d bytes of them", count, lineBytes, ringBytes)
	}
	if !strings.Contains(got, "Log lines were dropped.") {
		t.Error("got no line about those that were dropped")
	}
}
