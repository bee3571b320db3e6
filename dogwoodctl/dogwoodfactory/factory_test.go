package dogwoodfactory

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Guards against an answer that HTTP does not allow and that is shown to the operator, or counts as an accepted change.
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
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var group sync.WaitGroup
			defer group.Wait()
			defer func() { _ = listener.Close() }() // it is open
			group.Go(func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }() // the client may have closed it
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 "+test.status+"\r\n"+test.line+"Content-Length: 15\r\n\r\n{\"Version\":123}")
				}
			})
			factory := New()
			factory.Addresses, factory.Key = listener.Addr().String(), "key"
			client, err := factory.Client()
			if err != nil {
				t.Fatal(err)
			}
			if got, err := client.Text(t.Context()); err == nil {
				t.Errorf("got %+v, want an error", got)
			}
		})
	}
}
