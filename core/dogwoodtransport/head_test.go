package dogwoodtransport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// heads are heads with the bytes after them, and whether they are malformed.
var heads = []struct {
	name, head    string
	wantMalformed bool
}{
	{"fields", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Empty:\r\n!#$%&'*+-.^_`|~09aZ: a b\tc:\r\n\r\nok", false},
	{"no fields", "HTTP/1.1 204\r\n\r\n", false},
	{"line feeds alone", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", false},
	{"a body like a head", "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nX Broken: 1", false},
	{"blanks before the status", "HTTP/1.1   103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", false},
	{"informational answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103\r\nLink: x\r\n\r\nHTTP/1.1 204 No Content\r\nX-A: 1\r\n\r\n", false},
	{"a blank in a name", "HTTP/1.1 204 No Content\r\nX Broken: 1\r\n\r\n", true},
	{"a blank after a name", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length : 2\r\n\r\nbody", true},
	{"a blank before a name", "HTTP/1.1 204 No Content\r\nX-A: 1\r\n X-Broken: 1\r\n\r\n", true},
	{"a tab before a name", "HTTP/1.1 204 No Content\r\nX-A: 1\r\n\tX-Broken: 1\r\n\r\n", true},
	{"a control byte in a name", "HTTP/1.1 204 No Content\r\nX\x7fBroken: 1\r\n\r\n", true},
	{"an empty name", "HTTP/1.1 204 No Content\r\n: 1\r\n\r\n", true},
	{"no name", "HTTP/1.1 204 No Content\r\nX-Broken\r\n\r\n", true},
	{"a CR before a name", "HTTP/1.1 204 No Content\r\n\rX-Broken: 1\r\n\r\n", true},
	{"in an informational answer", "HTTP/1.1 103 Early Hints\r\nX Broken: 1\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", true},
	{"after informational answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102\n\nHTTP/1.1 204\r\nX Broken: 1\r\n\r\n", true},
}

// Guards against a head whose malformed name is missed, or a proper one that is refused, as it arrives in pieces.
func TestHeadIsCheckedInPieces(t *testing.T) {
	for _, test := range heads {
		t.Run(test.name, func(t *testing.T) {
			for size := 1; size <= len(test.head); size++ {
				var check headCheck
				var got error
				for begin := 0; begin < len(test.head); begin += size {
					got = check.add([]byte(test.head[begin:min(begin+size, len(test.head))]))
				}
				var malformed *MalformedAnswer
				if errors.As(got, &malformed) != test.wantMalformed {
					t.Errorf("in pieces of %d bytes: got %v, want it malformed %t", size, got, test.wantMalformed)
				}
			}
		})
	}
}

// answerInTurn answers the requests on a connection in turn.
func answerInTurn(conn net.Conn, answers ...string) {
	defer func() { _ = conn.Close() }() // all was written
	reader := bufio.NewReader(conn)
	for _, answer := range answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// Guards against a malformed head that is accepted since it is not the first on its connection.
func TestLaterHeadOfAConnectionIsChecked(t *testing.T) {
	for _, test := range heads {
		t.Run(test.name, func(t *testing.T) {
			var group sync.WaitGroup
			defer group.Wait()
			transport := New(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				group.Go(func() { answerInTurn(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", test.head, test.head) })
				return near, nil
			}})
			defer transport.CloseIdleConnections()
			if got, err := post(t, transport, "10.0.0.1:80", strings.NewReader("body")); got != "ok" || err != nil {
				t.Fatalf("got %q and %v, want the first answer", got, err)
			}
			got, err := post(t, transport, "10.0.0.1:80", strings.NewReader("body"))
			var malformed *MalformedAnswer
			if errors.As(err, &malformed) != test.wantMalformed || !test.wantMalformed && err != nil {
				t.Errorf("got %q and %v, want it malformed %t", got, err, test.wantMalformed)
			}
		})
	}
}

// Guards against a malformed trailer that is accepted, and a proper one that is refused.
func TestTrailerIsChecked(t *testing.T) {
	tests := []struct {
		name, trailer string
		wantMalformed bool
	}{
		{"none", "", false},
		{"a field", "X-End: 1\r\n", false},
		{"a blank in a name", "X-End: 1\r\nX Broken: 1\r\n", true},
		{"a blank after a name", "Content-Length : 2\r\n", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var group sync.WaitGroup
			defer group.Wait()
			transport := New(&http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				group.Go(func() {
					answerInTurn(far, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+test.trailer+"\r\n")
				})
				return near, nil
			}})
			got, err := post(t, transport, "10.0.0.1:80", strings.NewReader("body"))
			var malformed *MalformedAnswer
			if errors.As(err, &malformed) != test.wantMalformed || !test.wantMalformed && err != nil {
				t.Errorf("got %q and %v, want it malformed %t", got, err, test.wantMalformed)
			}
		})
	}
}

// Guards against an answer without a final status that counts as one.
func TestAnswerNeedsAFinalStatus(t *testing.T) {
	tests := []struct {
		status        string
		wantMalformed bool
	}{
		{"000", true},
		{"001", true},
		{"099", true},
		{"+99", true},
		{"101", true},
		{"200", false},
		{"599", false},
		{"999", false},
	}
	for _, test := range tests {
		t.Run(test.status, func(t *testing.T) {
			var group sync.WaitGroup
			defer group.Wait()
			transport := New(&http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				group.Go(func() { answerInTurn(far, "HTTP/1.1 "+test.status+" Odd\r\nContent-Length: 2\r\n\r\nok") })
				return near, nil
			}})
			got, err := post(t, transport, "10.0.0.1:80", strings.NewReader("body"))
			var malformed *MalformedAnswer
			if errors.As(err, &malformed) != test.wantMalformed || !test.wantMalformed && (got != "ok" || err != nil) {
				t.Errorf("got %q and %v, want it malformed %t", got, err, test.wantMalformed)
			}
		})
	}
}
