package dogwoodservice

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
)

// Guards against an answer that breaks off and is taken for a whole one or for one with a shorter value in its head, and against a
// call that may have run and counts as not sent.
func TestAnswerThatBreaksOffIsNeverWhole(t *testing.T) {
	const body = "the whole answer"
	tests := []struct {
		name, head, payload string
		// unframed is true if the end of the answer can't be told from that of its connection.
		unframed bool
	}{
		{name: "length", head: "HTTP/1.1 200 OK\r\nX-Value: 1234\r\nContent-Length: 16\r\n\r\n", payload: body},
		{name: "chunks", head: "HTTP/1.1 200 OK\r\nX-Value: 1234\r\nTransfer-Encoding: chunked\r\n\r\n", payload: "3\r\nthe\r\nd\r\n whole answer\r\n0\r\nX-End: 1\r\n\r\n"},
		{name: "connection", head: "HTTP/1.1 200 OK\r\nX-Value: 1234\r\n\r\n", payload: body, unframed: true},
		{name: "hints before it", head: "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nX-Value: 1234\r\nContent-Length: 16\r\n\r\n", payload: body},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answer := test.head + test.payload
			for bytes := range len(answer) + 1 {
				synctest.Test(t, func(t *testing.T) {
					var group sync.WaitGroup
					defer group.Wait()
					client := New(func(context.Context, string, string) (net.Conn, error) {
						near, far := net.Pipe()
						group.Go(func() { answerOnce(far, answer[:bytes]) })
						return near, nil
					})
					got, value, err := call(t, client)
					isWhole := bytes == len(answer) || test.unframed && bytes >= len(test.head)
					var broken *BrokenError
					switch {
					case bytes < len(test.head) && !errors.As(err, &broken):
						t.Errorf("after %q: got %q and %v, want a BrokenError", answer[:bytes], got, err)
					case isWhole != (err == nil):
						t.Errorf("after %q: got %q and %v, want it whole %t", answer[:bytes], got, err, isWhole)
					case err == nil && (value != "1234" || !test.unframed && got != body):
						t.Errorf("after %q: got %q and the value %q", answer[:bytes], got, value)
					}
				})
			}
		})
	}
}

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

// call sends a call and returns the body and a header of its answer.
func call(t *testing.T, client *Client) (body, value string, err error) {
	t.Helper()
	response, err := client.Do(t.Context(), endpoint, Request{Method: http.MethodPost, Target: "/holds", Body: []byte("{}")})
	if err != nil {
		return "", "", err
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	return string(read), response.Header.Get("X-Value"), err
}

// resetConn is a connection that answers while a call is written, and is then reset. The write gets the error, and the reads end.
type resetConn struct {
	net.Conn
	answer       *strings.Reader
	once         sync.Once
	begun, ended chan struct{}
}

func (conn *resetConn) Read(target []byte) (int, error) {
	<-conn.begun
	count, err := conn.answer.Read(target)
	if err != nil {
		conn.once.Do(func() { close(conn.ended) })
	}
	return count, err
}

func (conn *resetConn) Write([]byte) (int, error) {
	close(conn.begun)
	<-conn.ended
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
}

func (*resetConn) Close() error { return nil }

// Guards against an answer without a length that counts as whole although its connection was reset while the call was written.
func TestAnswerResetDuringACallIsNeverWhole(t *testing.T) {
	client := New(func(context.Context, string, string) (net.Conn, error) {
		answer := strings.NewReader("HTTP/1.1 200 OK\r\n\r\nthe whole answer")
		return &resetConn{answer: answer, begun: make(chan struct{}), ended: make(chan struct{})}, nil
	})
	if got, _, err := call(t, client); err == nil {
		t.Errorf("got %q as the whole answer, want an error", got)
	}
}

// Guards against an answer that HTTP does not allow and that reaches a caller, with another body than the endpoint meant or with a
// status that ends the daemon's own answer.
func TestMalformedAnswerIsNotRead(t *testing.T) {
	tests := []struct{ name, status, line string }{
		{"a blank in a name", "200 OK", "X Broken: 1\r\n"},
		{"a blank after the length", "200 OK", "Content-Length : 2\r\n"},
		{"a blank before a name", "200 OK", "X-Odd: 1\r\n X-Broken: 1\r\n"},
		{"status 000", "000 Odd", ""},
		{"status 099", "099 Odd", ""},
		{"status 101", "101 Switching Protocols", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var group sync.WaitGroup
			defer group.Wait()
			client := New(func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				group.Go(func() {
					answerOnce(far, "HTTP/1.1 "+test.status+"\r\n"+test.line+"Content-Length: 16\r\n\r\nthe whole answer")
				})
				return near, nil
			})
			var broken *BrokenError
			if got, _, err := call(t, client); !errors.As(err, &broken) {
				t.Errorf("got %q and %v, want a BrokenError", got, err)
			}
		})
	}
}
