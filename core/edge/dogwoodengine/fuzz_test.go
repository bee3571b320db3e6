package dogwoodengine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
)

// setConnection gives the stream a connection that delivers body.
func setConnection(t *testing.T, stream *Stream, body string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	stream.connection = newConnection(ctx, cancel, io.NopCloser(strings.NewReader(body)))
}

// readAll returns the events until the stream or its connection ends.
func readAll(t *testing.T, stream *Stream) (events []Event, err error) {
	t.Helper()
	for !stream.ended {
		received, err := stream.receive(t.Context())
		if err != nil {
			return events, err
		}
		event, accepted, err := stream.accept(received)
		if err != nil {
			return events, err
		}
		if accepted {
			events = append(events, event)
		}
	}
	return events, nil
}

// Whatever bytes arrive from an engine or a proxy, the caller gets only events of its own request,
// each once and in order.
func FuzzStream(fuzz *testing.F) {
	fuzz.Add([]byte("id: r1/0\ndata: {}\n\nid: r1/1\ndata: [DONE]\n\n"))
	fuzz.Add([]byte(": alive\n\nid: r1/0\ndata: a\ndata: b\n\nid: r1/0\ndata: a\n\nid: r1/2\ndata: c\n\n"))
	fuzz.Add([]byte("event: progress\ndata: {\"PrefilledTokens\":1}\n\nid: r2/0\ndata: other\n\n"))
	fuzz.Add([]byte("id: r1/0\r\ndata: a\r\n\r\nevent: error\ndata: {\"error\":{\"code\":\"gang_member_lost\"}}\n\n"))
	fuzz.Add([]byte("id: r1/-1\ndata: a\n\nid: r1/99999999999999999999\ndata: b"))
	fuzz.Fuzz(func(t *testing.T, body []byte) {
		stream := &Stream{client: New(Options{}), run: Run{ID: "r1"}}
		setConnection(t, stream, string(body))
		events, err := readAll(t, stream)
		for want, event := range events {
			if got := event.Index; got != want {
				t.Errorf("got event %d, want %d", got, want)
			}
			if !bytes.Contains(body, []byte("r1/")) {
				t.Errorf("got event %d from a stream that does not contain the request's ID", event.Index)
			}
		}
		if err == nil && !stream.ended {
			t.Error("got no error from a stream without its last event")
		}
	})
}

// A connection breaks several times, at any byte, and the engine resumes from an event that it has
// sent before. The caller must get every event once: a client that did not check the indexes would
// return an answer with a gap or a repetition.
func TestStreamResumesAfterCutAtAnyByte(t *testing.T) {
	const count = 20
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		stream := &Stream{client: New(Options{}), run: Run{ID: "r1"}}
		var got []Event
		for tries := 0; !stream.ended && tries < 1000; tries++ {
			var body strings.Builder
			// The engine may resume before the requested event, never after it.
			for index := stream.nextIndex - random.IntN(stream.nextIndex+1); index < count; index++ {
				_, _ = fmt.Fprintf(&body, "event: progress\ndata: {}\n\nid: r1/%d\ndata: {\"token\":%d}\n\n", index, index)
			}
			_, _ = fmt.Fprintf(&body, "id: r1/%d\ndata: [DONE]\n\n", count)
			setConnection(t, stream, body.String()[:random.IntN(body.Len()+1)])
			events, err := readAll(t, stream)
			if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatalf("seed %d: %v", seed, err)
			}
			got = append(got, events...)
		}
		if len(got) != count {
			t.Fatalf("seed %d: got %d events, want %d", seed, len(got), count)
		}
		for index, event := range got {
			if want := fmt.Sprintf(`{"token":%d}`, index); event.Index != index || string(event.Data) != want {
				t.Fatalf("seed %d: got event %d with %s, want %d with %s", seed, event.Index, event.Data, index, want)
			}
		}
	}
}
