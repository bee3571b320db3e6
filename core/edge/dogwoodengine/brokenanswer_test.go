package dogwoodengine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"dogwoodmux.example/core/dogwoodfleet"
)

// answerOnce reads a request and closes the connection after some bytes.
func answerOnce(conn net.Conn, answer string) {
	defer func() { _ = conn.Close() }() // the answer may be cut
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err == nil {
		_, _ = io.WriteString(conn, answer) // the client may have closed it
	}
}

// Guards against an engine's list that breaks off and is taken for a shorter one, after which the owner would release what the
// engine still holds.
func TestListThatBreaksOffIsNotRead(t *testing.T) {
	const body = `{"Instance":"i1","MemoryTokens":1234,"Running":[{"ID":"r1"},{"ID":"r2"}]}`
	tests := []struct{ name, head, payload string }{
		{"length", fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(body)), body},
		{"chunks", "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)},
		{"connection", "Content-Type: application/json\r\n", body},
		{"no content type", "", body},
		{"no content type, length", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answer := "HTTP/1.1 200 OK\r\n" + test.head + "\r\n" + test.payload
			for bytes := range len(answer) + 1 {
				synctest.Test(t, func(t *testing.T) {
					var group sync.WaitGroup
					defer group.Wait()
					client := New(Options{Dial: func(context.Context, string, string) (net.Conn, error) {
						near, far := net.Pipe()
						group.Go(func() { answerOnce(far, answer[:bytes]) })
						return near, nil
					}})
					defer client.Close(t.Context())
					state, err := client.State(t.Context(), dogwoodfleet.Endpoint{ID: "engine", Address: netip.MustParseAddrPort("10.0.0.1:80")})
					if isWhole := bytes == len(answer); isWhole != (err == nil) || err == nil && (len(state.Running) != 2 || state.MemoryTokens != 1234) {
						t.Errorf("after %q: got %+v and %v, want it read %t", answer[:bytes], state, err, isWhole)
					}
				})
			}
		})
	}
}

// streamAnswer returns the bytes of a stream with the events from an index on.
func streamAnswer(from int, framing string) string {
	var events strings.Builder
	for index := from; index < 3; index++ {
		_, _ = fmt.Fprintf(&events, "id: r1/%d\ndata: {\"token\":%d}\n\n", index, index)
	}
	events.WriteString("id: r1/3\ndata: [DONE]\n\n")
	body := events.String()
	header := "HTTP/1.1 200 OK\r\nX-Engine-Instance: i-1234\r\nContent-Type: text/event-stream\r\n"
	switch framing {
	case "length":
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
	case "chunks":
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", header, len(body), body)
	}
	return header + "\r\n" + body
}

// Guards against a stream whose answer breaks off in its head, in an event or before its last one, and that the caller gets shortened,
// with an event twice, or refused as not started.
func TestStreamResumesAfterItsAnswerBreaksOff(t *testing.T) {
	for _, framing := range []string{"length", "chunks", "connection"} {
		t.Run(framing, func(t *testing.T) {
			answer := streamAnswer(0, framing)
			for bytes := range len(answer) + 1 {
				synctest.Test(t, func(t *testing.T) {
					var group sync.WaitGroup
					defer group.Wait()
					client := New(Options{Dial: func(context.Context, string, string) (net.Conn, error) {
						near, far := net.Pipe()
						group.Go(func() { answerStream(far, answer[:bytes]) })
						return near, nil
					}})
					defer client.Close(t.Context())
					events, instance, err := readStream(t, client)
					want := []string{`{"token":0}`, `{"token":1}`, `{"token":2}`}
					if err != nil || !slices.Equal(events, want) || instance != "i-1234" {
						t.Errorf("after %q: got %q of %s and %v, want %q", answer[:bytes], events, instance, err, want)
					}
				})
			}
		})
	}
}

// answerStream answers the start of a stream with some bytes, and a reconnect with the rest of the stream.
func answerStream(conn net.Conn, started string) {
	defer func() { _ = conn.Close() }() // the answer may be cut
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	answer := started
	if request.Method == http.MethodGet {
		_, index := splitEventID(request.Header.Get(HeaderLastEventID))
		answer = streamAnswer(index+1, "chunks")
	}
	_, _ = io.WriteString(conn, answer) // the client may have closed it
}

// readStream starts a stream and reads it to its end.
func readStream(t *testing.T, client *Client) (events []string, instance dogwoodfleet.InstanceID, err error) {
	t.Helper()
	endpoint := dogwoodfleet.Endpoint{ID: "engine", Instance: "i-1234", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	stream, err := client.Start(t.Context(), endpoint, Run{ID: "r1", Path: PathChat, Body: []byte(`{}`)})
	if err != nil {
		return nil, "", err
	}
	defer stream.Close()
	for {
		event, err := stream.Next(t.Context())
		switch {
		case errors.Is(err, io.EOF):
			return events, stream.Instance(), nil
		case err != nil:
			return events, stream.Instance(), err
		}
		events = append(events, string(event.Data))
	}
}

// Guards against an engine's list, and the beginning of a stream, in an answer that HTTP does not allow.
func TestMalformedAnswerIsNotRead(t *testing.T) {
	const body = `{"Instance":"i1","MemoryTokens":1234}`
	tests := []struct{ name, status, line string }{
		{"a blank in a name", "200 OK", "X Broken: 1\r\n"},
		{"a blank after the length", "200 OK", "Content-Length : 2\r\n"},
		{"a blank before a name", "200 OK", " X-Broken: 1\r\n"},
		{"status 000", "000 Odd", ""},
		{"status 099", "099 Odd", ""},
		{"status 101", "101 Switching Protocols", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var group sync.WaitGroup
				defer group.Wait()
				client := New(Options{Dial: func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					group.Go(func() {
						answerOnce(far, fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s", test.status, test.line, len(body), body))
					})
					return near, nil
				}})
				defer client.Close(t.Context())
				endpoint := dogwoodfleet.Endpoint{ID: "engine", Instance: "i-1234", Address: netip.MustParseAddrPort("10.0.0.1:80")}
				if state, err := client.State(t.Context(), endpoint); err == nil {
					t.Errorf("got %+v, want an error", state)
				}
				_, err := client.Start(t.Context(), endpoint, Run{ID: "r1", Path: PathChat, Body: []byte(`{}`)})
				var answered *Answered
				if err == nil || errors.As(err, &answered) {
					t.Errorf("got %v, want an error that leaves open whether the request began", err)
				}
			})
		})
	}
}
