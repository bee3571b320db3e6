package dogwoodtransport

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// unframedAnswer is an answer that ends with its connection.
const unframedAnswer = "HTTP/1.1 200 OK\r\n\r\npart"

// failingConn is a connection on which an answer is read to its end while the write of the request fails.
type failingConn struct {
	net.Conn
	answer   *strings.Reader
	writeErr error
	// writeFirst is true if the write fails before the read ends.
	writeFirst bool
	once       sync.Once
	// begun is closed as the write begins, ended as the read ends, and failed as the write does.
	begun, ended, failed chan struct{}
}

func newFailingConn(answer string, writeErr error, writeFirst bool) *failingConn {
	return &failingConn{
		answer: strings.NewReader(answer), writeErr: writeErr, writeFirst: writeFirst,
		begun: make(chan struct{}), ended: make(chan struct{}), failed: make(chan struct{}),
	}
}

func (conn *failingConn) Read(target []byte) (int, error) {
	<-conn.begun
	count, err := conn.answer.Read(target)
	if err != nil {
		conn.once.Do(func() { close(conn.ended) })
		if conn.writeFirst {
			<-conn.failed
		}
	}
	return count, err
}

func (conn *failingConn) Write([]byte) (int, error) {
	close(conn.begun)
	<-conn.ended
	defer close(conn.failed)
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: conn.writeErr}
}

func (*failingConn) Close() error { return nil }

// post sends a request with a body and returns the body of its answer.
func post(t *testing.T, transport *Transport, address string, body io.Reader) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, body)
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }() // it was read to its end
	read, err := io.ReadAll(response.Body)
	return string(read), err
}

// Guards against an answer whose connection was reset and that counts as whole: a socket reports a reset once, and if that is to a
// write, the next read ends as after a plain close.
func TestResetReportedToAWriteIsNoEnd(t *testing.T) {
	tests := []struct {
		name      string
		writeErr  error
		wantWhole bool
	}{
		{"reset", syscall.ECONNRESET, false},
		{"timed out", syscall.ETIMEDOUT, false},
		{"closed before it was reset", syscall.EPIPE, true},
	}
	for _, test := range tests {
		for _, order := range []struct {
			name       string
			writeFirst bool
		}{{"write first", true}, {"read first", false}} {
			t.Run(test.name+"/"+order.name, func(t *testing.T) {
				conn := newFailingConn(unframedAnswer, test.writeErr, order.writeFirst)
				transport := New(&http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
					return conn, nil
				}})
				if got, err := post(t, transport, "10.0.0.1:80", strings.NewReader("body")); (err == nil) != test.wantWhole {
					t.Errorf("got %q and %v, want it whole %t", got, err, test.wantWhole)
				}
				<-conn.failed
			})
		}
	}
}

// serveEarly answers each connection's request at its head and calls end.
func serveEarly(t *testing.T, answer string, end func(connection *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	group.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer func() { _ = connection.Close() }() // the client may have closed it
				if _, err := http.ReadRequest(bufio.NewReaderSize(connection, 1<<10)); err != nil {
					return
				}
				if _, err := io.WriteString(connection, answer); err == nil {
					end(connection.(*net.TCPConn))
				}
			})
		}
	})
	return listener.Addr().String()
}

// Guards against a part of an answer that is taken for the whole, since its server resets the connection while the request's body is
// still being written, and against a whole answer that is refused, since its server gave it as early and closed the connection in order.
func TestAnswerDuringAnUpload(t *testing.T) {
	const clients = 24
	upload := make([]byte, 3<<20)
	tests := []struct {
		name     string
		requests int
		end      func(connection *net.TCPConn)
		want     int64
	}{
		{"reset", 25, func(connection *net.TCPConn) { _ = connection.SetLinger(0) }, 0},
		{"reset a moment later", 25, func(connection *net.TCPConn) {
			time.Sleep(3 * time.Millisecond)
			_ = connection.SetLinger(0)
		}, 0},
		{"closed in order", 1, func(connection *net.TCPConn) {
			_ = connection.CloseWrite()
			_, _ = io.Copy(io.Discard, connection)
		}, clients},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := serveEarly(t, unframedAnswer, test.end)
			transport := New(&http.Transport{DisableKeepAlives: true})
			var whole atomic.Int64
			var group sync.WaitGroup
			for range clients {
				group.Go(func() {
					for range test.requests {
						if _, err := post(t, transport, address, bytes.NewReader(upload)); err == nil {
							whole.Add(1)
						}
					}
				})
			}
			group.Wait()
			if got := whole.Load(); got != test.want {
				t.Errorf("got %d answers of %d taken for whole, want %d", got, clients*test.requests, test.want)
			}
		})
	}
}
