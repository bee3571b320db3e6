package dogwoodcaller

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dogwoodmux.example/core/duty/dogwooddispatch"
)

// rawCall sends a request and returns the bytes of its answer.
func rawCall(t *testing.T, edge *Edge, method string) string {
	t.Helper()
	server := httptest.NewServer(edge)
	defer server.Close()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // all was read
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "%s /services/desk/stock/7 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key\r\nConnection: close\r\n\r\n", method); err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against an answer without a body whose head is malformed or names a length that the endpoint did not, which callers take for
// a broken or an empty answer.
func TestLengthOfAnAnswerWithoutBody(t *testing.T) {
	length := http.Header{"Content-Length": {"1234"}}
	tests := []struct {
		name, method string
		answer       dogwooddispatch.WholeAnswer
		// want are the lengths in the answer's head.
		want []string
	}{
		{"HEAD with a length", http.MethodHead, dogwooddispatch.WholeAnswer{Status: http.StatusOK, Header: length}, []string{"1234"}},
		{"HEAD without a length", http.MethodHead, dogwooddispatch.WholeAnswer{Status: http.StatusOK}, nil},
		{"no content", http.MethodGet, dogwooddispatch.WholeAnswer{Status: http.StatusNoContent}, nil},
		{"not modified", http.MethodGet, dogwooddispatch.WholeAnswer{Status: http.StatusNotModified, Header: length}, nil}, // net/http names none
		{"an empty body", http.MethodGet, dogwooddispatch.WholeAnswer{Status: http.StatusOK}, []string{"0"}},
		{"a body", http.MethodGet, dogwooddispatch.WholeAnswer{Status: http.StatusOK, Header: length, Body: []byte("held")}, []string{"4"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answer := rawCall(t, newTestEdge(&fakeDispatcher{answer: &test.answer}), test.method)
			var got []string
			for line := range strings.SplitSeq(answer, "\r\n") {
				if length, found := strings.CutPrefix(line, "Content-Length: "); found {
					got = append(got, length)
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("got the lengths %q in %q, want %q", got, answer, test.want)
			}
			request := &http.Request{Method: test.method}
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(answer)), request)
			if err != nil {
				t.Fatalf("got %q, which is no answer: %v", answer, err)
			}
			defer func() { _ = response.Body.Close() }()
			if body, err := io.ReadAll(response.Body); err != nil || !bytes.Equal(body, test.answer.Body) {
				t.Errorf("got %q and %v, want %q", body, err, test.answer.Body)
			}
		})
	}
}
