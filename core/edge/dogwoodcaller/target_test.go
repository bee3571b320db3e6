package dogwoodcaller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwooddispatch"
	"dogwoodmux.example/core/edge/dogwoodservice"
)

// sendingDispatcher sends each call to one endpoint.
type sendingDispatcher struct {
	fakeDispatcher

	endpoint dogwoodfleet.Endpoint
}

func (sending *sendingDispatcher) Service(ctx context.Context, call *dogwooddispatch.Call) (*dogwooddispatch.WholeAnswer, error) {
	response, err := dogwoodservice.New(nil).Do(ctx, sending.endpoint, dogwoodservice.Request{
		ID: call.Request.ID, Method: call.Method, Target: call.Target, Header: call.Header, Body: call.Body,
	})
	if err != nil {
		return nil, err
	}
	_ = response.Body.Close() // the status is what counts
	return &dogwooddispatch.WholeAnswer{Status: response.StatusCode, Header: http.Header{}}, nil
}

// lineEndpoint is an endpoint that records the first lines of the requests that arrive.
type lineEndpoint struct {
	net.Listener

	mutex sync.Mutex
	lines []string
}

func (endpoint *lineEndpoint) serve() {
	for {
		conn, err := endpoint.Accept()
		if err != nil {
			return
		}
		line, _ := bufio.NewReader(conn).ReadString('\n')
		endpoint.mutex.Lock()
		endpoint.lines = append(endpoint.lines, strings.TrimSuffix(line, "\r\n"))
		endpoint.mutex.Unlock()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		_ = conn.Close() // the caller checks the answer
	}
}

// take returns the lines that have arrived and forgets them.
func (endpoint *lineEndpoint) take() []string {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	taken := endpoint.lines
	endpoint.lines = nil
	return taken
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// sendLine sends a request with a first line as it is and returns the status of the answer.
func sendLine(t *testing.T, address, line string) (int, error) {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }() // the status was read
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintf(conn, "%s\r\nHost: a.example\r\nAuthorization: Bearer key\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", line); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// Guards against a plain service that gets another target than the caller has written, and against a success although nothing ran.
func TestServiceGetsTheTargetUnchanged(t *testing.T) {
	tests := []struct {
		// line is the method and target of the caller, and want those that the endpoint gets, empty if the request is rejected.
		line, want string
	}{
		{"POST /services/desk/holds?day=1&a=b%20c", "POST /holds?day=1&a=b%20c"},
		{"POST /services/desk/", "POST /"},
		{"POST /services/desk/?", "POST /?"},
		{"POST /services/desk/a?", "POST /a?"},
		{"POST /services/desk/a??", "POST /a??"},
		{"POST /services/desk/a?b#c", "POST /a?b#c"},
		{"POST /services/desk/a?b|c=%zz", "POST /a?b|c=%zz"},
		{"POST /services/desk/%41%7e!%21/b%3Ac", "POST /%41%7e!%21/b%3Ac"},
		{"POST /services/desk/%00", "POST /%00"},
		{"POST /services/desk/a:b", "POST /a:b"},
		{"POST /services/desk/a;b=c,d", "POST /a;b=c,d"},
		{"POST /services/d%65sk/holds", "POST /holds"},
		{"POST /%73ervices/desk/holds", "POST /holds"},
		{"POST http://a.example/services/desk/%41?", "POST /%41?"},
		{"POST /services/desk/a|b", ""},
		{"POST /services/desk/a#b", ""},
		{"POST /services/desk/\xff", ""},
		{"POST /services/desk/a\\b", ""},
		{"POST http://a.example/services/desk/a|b", ""},
		{"POST /services/desk//a", ""},
		{"POST //services/desk/a", ""},
		{"POST /services/desk/..", ""},
		{"POST /services/desk/%2f", ""},
		{"POST /services/desk/%zz", ""},
		{"POST *", ""},
		{"OPTIONS *", ""},
	}
	endpoint := &lineEndpoint{Listener: listen(t)}
	fake := &sendingDispatcher{endpoint: dogwoodfleet.Endpoint{ID: "e", Address: netip.MustParseAddrPort(endpoint.Addr().String())}}
	edge := newTestEdge(&fake.fakeDispatcher)
	edge.options.Dispatcher = fake
	server, listener := edge.Server(), listen(t)
	group := sync.WaitGroup{}
	group.Go(endpoint.serve)
	group.Go(func() { _ = server.Serve(listener) }) // it ends with the server
	t.Cleanup(group.Wait)
	t.Cleanup(func() { _ = server.Close(); _ = endpoint.Close() })
	for _, test := range tests {
		status, err := sendLine(t, listener.Addr().String(), test.line+" HTTP/1.1")
		lines := endpoint.take()
		switch {
		case test.want == "" && (err != nil || status != http.StatusBadRequest || len(lines) > 0):
			t.Errorf("%q: got %d, %v and %q at the endpoint, want 400 and nothing", test.line, status, err, lines)
		case test.want != "" && (err != nil || status != http.StatusOK || len(lines) != 1 || lines[0] != test.want+" HTTP/1.1"):
			t.Errorf("%q: got %d, %v and %q at the endpoint, want %q", test.line, status, err, lines, test.want)
		}
	}
}
