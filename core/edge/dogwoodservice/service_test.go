package dogwoodservice

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"dogwoodmux.example/core/dogwoodfleet"
)

// breakingServer answers the first request on each connection and keeps the connection open. It
// runs the second one and closes the connection without a response. It also does so for a first
// request with the header X-Break.
type breakingServer struct {
	runs        atomic.Int64
	dials       atomic.Int64
	connections sync.WaitGroup
}

func (server *breakingServer) dial(context.Context, string, string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	server.dials.Add(1)
	server.connections.Go(func() { server.serve(serverConn) })
	return clientConn, nil
}

func (server *breakingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		server.runs.Add(1)
		if n > 0 || request.Header.Get("X-Break") != "" {
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// postFunc sends one call with an idempotency key and returns an error if it was not answered.
type postFunc func(t *testing.T, body []byte, breaks bool) error

// The server runs a call and the connection breaks before the response. net/http's Transport
// resends a call with an Idempotency-Key if it reused the connection, so that the call runs twice
// and, for example, makes two bookings. The client must not resend it, with or without a body.
func TestBrokenCallIsNotResent(t *testing.T) {
	tests := []struct {
		name     string
		client   func(server *breakingServer) postFunc
		body     []byte
		breaks   bool
		wantRuns int64
	}{
		{name: "plain Transport resends, with a body", client: plainTransport, body: []byte("{}"), wantRuns: 3},
		{name: "plain Transport resends, without a body", client: plainTransport, wantRuns: 3},
		{name: "client does not resend, with a body", client: serviceClient, body: []byte("{}"), breaks: true, wantRuns: 2},
		{name: "client does not resend, without a body", client: serviceClient, breaks: true, wantRuns: 2},
		{name: "client reuses no connection", client: serviceClient, wantRuns: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := &breakingServer{}
				send := test.client(server)
				if err := send(t, test.body, false); err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
				err := send(t, test.body, test.breaks)
				var broken *BrokenError
				if test.breaks && !errors.As(err, &broken) {
					t.Errorf("got %v, want a BrokenError", err)
				}
				synctest.Wait()
				if got := server.runs.Load(); got != test.wantRuns {
					t.Errorf("got %d runs, want %d", got, test.wantRuns)
				}
			})
		})
	}
}

func plainTransport(server *breakingServer) postFunc {
	transport := &http.Transport{DialContext: server.dial}
	return func(t *testing.T, body []byte, _ bool) error {
		t.Cleanup(transport.CloseIdleConnections)
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://10.0.0.1:80/holds", bytes.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set("Idempotency-Key", "hold-1")
		response, err := transport.RoundTrip(request)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, response.Body)
		return response.Body.Close()
	}
}

func serviceClient(server *breakingServer) postFunc {
	client := New(server.dial)
	return func(t *testing.T, body []byte, breaks bool) error {
		header := http.Header{"Idempotency-Key": {"hold-1"}}
		if breaks {
			header.Set("X-Break", "1")
		}
		response, err := client.Do(t.Context(), endpoint, Request{Method: http.MethodPost, Target: "/holds", Header: header, Body: body})
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, response.Body)
		return response.Body.Close()
	}
}

var endpoint = dogwoodfleet.Endpoint{ID: "server-1", Address: netip.MustParseAddrPort("10.0.0.1:80")}

// If no connection could be made, the call certainly did not run. The client must report that, so
// that the call can be sent to another endpoint.
func TestFailedConnectionIsNotSent(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: errors.New("refused")}
	client := New(func(context.Context, string, string) (net.Conn, error) { return nil, refused })
	response, err := client.Do(t.Context(), endpoint, Request{Method: http.MethodPost, Target: "/holds"})
	if err == nil {
		_ = response.Body.Close()
	}
	var unsent *NotSentError
	if !errors.As(err, &unsent) {
		t.Errorf("got %v, want a NotSentError", err)
	}
}

func TestEndToEnd(t *testing.T) {
	header := http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Transfer-Encoding": {"chunked"},
		"Upgrade": {"h2c"}, "Keep-Alive": {"timeout=5"}, "X-Kept": {"1", "2"},
	}
	got := EndToEndHeader(header)
	if len(got) != 1 || len(got["X-Kept"]) != 2 {
		t.Errorf("got %v, want only X-Kept", got)
	}
	if len(header) != 7 {
		t.Errorf("got %d headers in the original, want 7", len(header))
	}
}
