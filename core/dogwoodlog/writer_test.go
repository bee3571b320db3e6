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

// unread has lines written while nobody reads the log, and returns it when the reader is back.
func unread(t *testing.T, write func(writer *Writer)) (log string) {
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

// Nobody reads the log. Requests go on, lines are dropped and, when the reader is back, the
// log says how many.
func TestAStoppedReaderStopsNobody(t *testing.T) {
	const lines = ringLines + 500
	got := unread(t, func(writer *Writer) {
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
		t.Error("the log does not tell that lines were dropped")
	}
}

// The log's reader is slow in a burst. The lines of requests that go well filled the ring, and
// those of the refusals that an engineer looks for were dropped.
func TestFailuresKeepTheirLines(t *testing.T) {
	const requests, refused = 1000, 200
	got := unread(t, func(writer *Writer) {
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
		t.Error("want that lines were left out and none dropped, as the log tells")
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
