package dogwooddaemon

import (
	"bufio"
	"context"
	"encoding/json"
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
	"dogwoodmux.example/core/dogwoodproblem"
	"dogwoodmux.example/core/duty/dogwooddispatch"
)

// gatedDispatcher answers calls at once, and ends streams that have begun once mayEnd is closed.
type gatedDispatcher struct {
	hangingDispatcher
	mayEnd chan struct{}
}

func (*gatedDispatcher) Service(context.Context, *dogwooddispatch.Call) (*dogwooddispatch.WholeAnswer, error) {
	return &dogwooddispatch.WholeAnswer{Status: http.StatusOK, Header: http.Header{}, Body: []byte("whole")}, nil
}

func (gated *gatedDispatcher) Prompt(ctx context.Context, _ *dogwooddispatch.Call, answer dogwooddispatch.PromptAnswerWriter) error {
	if err := answer.Event(dogwooddispatch.Event{Data: []byte("{}")}); err != nil {
		return err
	}
	gated.running.Add(1)
	select {
	case <-gated.mayEnd:
		return nil
	case <-ctx.Done():
		return &dogwooddispatch.Failure{Reason: dogwoodfleet.ReasonCancelled, Run: dogwoodfleet.WasRun}
	}
}

// keptConn is a caller's connection on which several answers are read.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

func (fixture *callerFixture) open(t *testing.T, request string) *keptConn {
	t.Helper()
	conn := fixture.send(t, request)
	return &keptConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// read returns the next answer, with its body read.
func (conn *keptConn) read() (*http.Response, []byte, error) {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // the read fails if this does
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

// checkRefusal checks that the next answer is the refusal of a daemon that shuts down.
func (conn *keptConn) checkRefusal(t *testing.T) {
	t.Helper()
	response, body, err := conn.read()
	if err != nil {
		t.Errorf("got no answer: %v, want a refusal", err)
		return
	}
	var problem dogwoodproblem.Problem
	_ = json.Unmarshal(body, &problem) // the fields are checked
	if response.StatusCode != http.StatusServiceUnavailable || problem.Reason != dogwoodfleet.ReasonShutdown ||
		problem.NotRun != dogwoodproblem.True || response.Header.Get("Retry-After") == "" || !response.Close {
		t.Errorf("got %d, %s, Retry-After %q, close %v, want a refusal that closes the connection",
			response.StatusCode, body, response.Header.Get("Retry-After"), response.Close)
	}
}

// awaitRefusals waits until a call on a new connection is refused or gets no answer.
func (fixture *callerFixture) awaitRefusals(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(2 * entryTTL); ; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("new calls are still served")
		}
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", fixture.listener.Addr().String())
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, call) // a failure shows as no response
		kept := &keptConn{Conn: conn, reader: bufio.NewReader(conn)}
		response, _, err := kept.read()
		_ = conn.Close()
		if err != nil || response.StatusCode == http.StatusServiceUnavailable {
			return
		}
	}
}

// servingTime is how long the daemons of these tests serve after the start of their shutdowns.
const servingTime = time.Second

// shutdowns are the ways in which a shutdown ends.
var shutdowns = []struct {
	name          string
	grace, expiry time.Duration
}{
	{"requests end in time", servingTime + 20*time.Second, servingTime},
	{"requests are ended", servingTime + answerTime, entryTTL},
}

// call is a call to a plain service, without a body.
const call = "GET /services/desk/shows HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key\r\n\r\n"

// Guards against requests that arrive while the daemon closes its connections, and get no answer: net/http counts a connection as
// idle between an answer and the whole head of the next request.
func TestShutdownRefusesArrivingRequests(t *testing.T) {
	const headPart = len(call) / 2
	stream := `{"model":"model","prompt":"x","stream":true}`
	tests := []struct {
		name string
		// first is a request that is sent before the shutdown. It is answered before it if answered is set.
		first    string
		answered bool
		// before is the number of bytes of the call's head that are sent before connections are closed, and pause the time
		// after which the others follow.
		before int
		pause  time.Duration
	}{
		{name: "just after an answer that began before", first: request("/v1/completions", stream, len(stream)), pause: 20 * time.Millisecond},
		{name: "the head in parts, on a kept connection", first: call, answered: true, before: headPart, pause: 50 * time.Millisecond},
		{name: "the head in parts, on a new connection", before: headPart, pause: 50 * time.Millisecond},
	}
	for _, shutdown := range shutdowns {
		for _, test := range tests {
			t.Run(shutdown.name+"/"+test.name, func(t *testing.T) {
				t.Parallel()
				dispatcher := &gatedDispatcher{mayEnd: make(chan struct{})}
				fixture := startCallerFixture(t.Context(), t, dispatcher)
				var conn *keptConn
				if test.first != "" {
					conn = fixture.open(t, test.first)
				}
				if test.answered {
					if response, _, err := conn.read(); err != nil || response.Close {
						t.Fatalf("got %v, %v, want an answer on a connection that is kept", response, err)
					}
				} else if test.first != "" {
					awaitRunning(t, &dispatcher.hangingDispatcher)
				}
				ctx, cancel := context.WithTimeout(t.Context(), shutdown.grace)
				defer cancel()
				var group sync.WaitGroup
				defer group.Wait()
				group.Go(func() { _ = drain(ctx, shutdown.expiry, fixture.edge, fixture.server) }) // requests may run at its end
				time.Sleep(servingTime / 5)
				if conn == nil {
					conn = fixture.open(t, "")
				}
				_, _ = io.WriteString(conn, call[:test.before]) // a failure shows as no answer
				fixture.awaitRefusals(t)
				close(dispatcher.mayEnd)
				if test.first != "" && !test.answered {
					if response, _, err := conn.read(); err != nil || response.Close {
						t.Errorf("got %v, %v, want an answer to the first request that says nothing of a close", response, err)
					}
				}
				time.Sleep(test.pause)
				_, _ = io.WriteString(conn, call[test.before:]) // a failure shows as no answer
				conn.checkRefusal(t)
			})
		}
	}
}

// heldNetwork is a network whose listeners accept nothing before they are told to stop.
type heldNetwork struct{ tcpNetwork }

// Listen listens on a TCP address.
func (network heldNetwork) Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	listener, err := network.tcpNetwork.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	return &heldListener{TCPListener: listener.(*net.TCPListener), told: make(chan struct{})}, nil
}

type heldListener struct {
	*net.TCPListener
	told    chan struct{}
	telling sync.Once
}

// Accept waits for a connection once the listener was told to stop.
func (listener *heldListener) Accept() (net.Conn, error) {
	<-listener.told
	return listener.TCPListener.Accept()
}

// SetDeadline tells the listener to stop.
func (listener *heldListener) SetDeadline(deadline time.Time) error {
	defer listener.telling.Do(func() { close(listener.told) })
	return listener.TCPListener.SetDeadline(deadline)
}

// Close tells the listener to stop.
func (listener *heldListener) Close() error {
	defer listener.telling.Do(func() { close(listener.told) })
	return listener.TCPListener.Close()
}

// Guards against connections that wait at the listener when it closes, and that the kernel resets with their requests unread.
func TestShutdownAcceptsWaitingConnections(t *testing.T) {
	const callers = 20
	for _, shutdown := range shutdowns {
		t.Run(shutdown.name, func(t *testing.T) {
			t.Parallel()
			fixture := startCallerFixtureOn(t.Context(), t, &gatedDispatcher{}, heldNetwork{})
			var waiting []*keptConn
			for range callers {
				waiting = append(waiting, fixture.open(t, call))
			}
			ctx, cancel := context.WithTimeout(t.Context(), shutdown.grace)
			defer cancel()
			_ = drain(ctx, shutdown.expiry, fixture.edge, fixture.server) // requests may run at its end
			for _, conn := range waiting {
				conn.checkRefusal(t)
			}
		})
	}
}

// Guards against callers that wait for a daemon that is not ready, and are denied or reset when it leaves.
func TestDaemonThatIsNotReadyRefusesWaitingCallers(t *testing.T) {
	for _, shutdown := range shutdowns {
		t.Run(shutdown.name, func(t *testing.T) {
			t.Parallel()
			fixture := newCallerFixture(t.Context(), t, &gatedDispatcher{}, tcpNetwork{})
			var waiting []*keptConn
			for range 20 {
				waiting = append(waiting, fixture.open(t, strings.Replace(call, "Bearer key", "Bearer unknown", 1)))
			}
			ready, leaving := make(chan struct{}), make(chan struct{})
			stop := fixture.start(t.Context(), t, func(ctx context.Context) error {
				return serveOnceReady(ctx, ready, leaving, fixture.edge, fixture.server, fixture.listener)
			})
			ctx, cancel := context.WithTimeout(t.Context(), shutdown.grace)
			defer cancel()
			leave(ready, leaving, fixture.edge)
			_ = drain(ctx, shutdown.expiry, fixture.edge, fixture.server) // requests may run at its end
			stop()
			for _, conn := range waiting {
				conn.checkRefusal(t)
			}
		})
	}
}

// Guards against callers that wait for a daemon that is not ready, and are reset when it fails.
func TestDaemonThatFailsBeforeItIsReadyRefusesWaitingCallers(t *testing.T) {
	fixture := newCallerFixture(t.Context(), t, &gatedDispatcher{}, tcpNetwork{})
	var waiting []*keptConn
	for range 20 {
		waiting = append(waiting, fixture.open(t, strings.Replace(call, "Bearer key", "Bearer unknown", 1)))
	}
	failed, fail := context.WithCancel(t.Context())
	fail()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		_ = serveOnceReady(failed, nil, nil, fixture.edge, fixture.server, fixture.listener) // the callers' answers are checked
	})
	for _, conn := range waiting {
		conn.checkRefusal(t)
	}
}

// Guards against a refusal that its caller never reads, since the daemon closes the connection while the request's body arrives
// and a reset destroys the answer.
func TestRefusalArrivesBesideUnreadBody(t *testing.T) {
	const parts = 10
	tests := []struct {
		name    string
		target  string
		bytes   int
		chunked bool
		pause   time.Duration
	}{
		{name: "a call of 30 KB", target: "/services/desk/holds", bytes: 30 << 10},
		{name: "a call of 30 KB, slow", target: "/services/desk/holds", bytes: 30 << 10, pause: 30 * time.Millisecond},
		{name: "a prompt of 900 KB", target: "/v1/completions", bytes: 900 << 10},
		{name: "a prompt of 900 KB, slow", target: "/v1/completions", bytes: 900 << 10, pause: 60 * time.Millisecond},
		{name: "a prompt of 900 KB in chunks", target: "/v1/completions", bytes: 900 << 10, chunked: true},
		{name: "a prompt of 900 KB in chunks, slow", target: "/v1/completions", bytes: 900 << 10, chunked: true, pause: 60 * time.Millisecond},
		{name: "a prompt of 8 MB", target: "/v1/completions", bytes: 8 << 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fixture := startCallerFixture(t.Context(), t, &gatedDispatcher{})
			fixture.server.StartDraining()
			fixture.edge.RejectRequests()
			length := fmt.Sprintf("Content-Length: %d", test.bytes/parts*parts)
			if test.chunked {
				length = "Transfer-Encoding: chunked"
			}
			conn := fixture.open(t, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key\r\n%s\r\n\r\n", test.target, length))
			// The caller reads the answer once it has sent the body, within the second for which the daemon reads it.
			begun := time.Now()
			for number := range parts {
				time.Sleep(time.Until(begun.Add(time.Duration(number+1) * test.pause)))
				part := strings.Repeat("b", test.bytes/parts)
				if test.chunked {
					part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
				}
				if _, err := io.WriteString(conn, part); err != nil {
					t.Errorf("sending the body for %s: %v", time.Since(begun), err)
					break
				}
			}
			if test.chunked {
				_, _ = io.WriteString(conn, "0\r\n\r\n") // a failure shows as no answer
			}
			conn.checkRefusal(t)
		})
	}
}

// Guards against a shutdown that lasts until the body of a refused request has arrived.
func TestShutdownWaitsForNoUnreadBody(t *testing.T) {
	fixture := startCallerFixture(t.Context(), t, &gatedDispatcher{})
	fixture.server.StartDraining()
	fixture.edge.RejectRequests()
	conn := fixture.open(t, request("/services/desk/holds", "x", 1000))
	conn.checkRefusal(t)
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	if err := fixture.server.Drain(ctx); err != nil {
		t.Errorf("got %v, want all connections closed before the body has arrived", err)
	}
}
