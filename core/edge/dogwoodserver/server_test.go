package dogwoodserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// errLeaving is the cause with which the tests drain.
var errLeaving = errors.New("leaving")

// logBuffer collects log output. It is safe for concurrent use.
type logBuffer struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (logBuffer *logBuffer) Write(line []byte) (int, error) {
	logBuffer.mutex.Lock()
	defer logBuffer.mutex.Unlock()
	return logBuffer.text.Write(line)
}

func (logBuffer *logBuffer) String() string {
	logBuffer.mutex.Lock()
	defer logBuffer.mutex.Unlock()
	return logBuffer.text.String()
}

// fixture is a server with its log.
type fixture struct {
	*Server
	address string
	log     logBuffer
}

func newFixture(t *testing.T, handler http.HandlerFunc) *fixture {
	t.Helper()
	return newLimitedFixture(t, handler, func(options *Options) { options.RequestID = "Request-Id" })
}

// caller is an open connection of a caller.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (fixture *fixture) dial(t *testing.T) *caller {
	t.Helper()
	connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", fixture.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return &caller{Conn: connection, reader: bufio.NewReader(connection)}
}

func (caller *caller) write(t *testing.T, bytes string) {
	t.Helper()
	if _, err := io.WriteString(caller, bytes); err != nil {
		t.Fatal(err)
	}
}

// read returns the status of an answer and whether it was whole.
func (caller *caller) read() (int, error) {
	_ = caller.SetReadDeadline(time.Now().Add(5 * time.Second)) // the read fails if this does
	response, err := http.ReadResponse(caller.reader, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

func answers(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "answer") }

// drain drains the server and returns how long it took.
func (fixture *fixture) drain(t *testing.T) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	started := time.Now()
	fixture.StartDraining()
	if err := fixture.Drain(ctx); err != nil {
		t.Errorf("got %v, want a complete drain", err)
	}
	return time.Since(started)
}

// Guards against a server without requests that waits for connections that are kept, or on which nothing was sent.
func TestDrainClosesIdleConnectionsAtOnce(t *testing.T) {
	fixture := newFixture(t, answers)
	for range 5 {
		kept := fixture.dial(t)
		kept.write(t, request)
		if status, err := kept.read(); status != http.StatusOK || err != nil {
			t.Fatalf("got %d, %v, want 200", status, err)
		}
		fixture.dial(t)
	}
	if taken := fixture.drain(t); taken > maxArrival/2 {
		t.Errorf("got a drain of %s, want a short one", taken)
	}
	if got := fixture.log.String(); got != "" {
		t.Errorf("got the log %s, want no line", got)
	}
}

// Guards against a request that has arrived, and is lost since its connection is closed before it is read.
func TestReleasedConnectionReadsWhatHasArrived(t *testing.T) {
	accepting, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepting.Close() }()
	sending, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", accepting.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = sending.Close() }()
	accepted, err := accepting.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	connection := &connection{Conn: accepted, server: &Server{}}
	buffer := make([]byte, 10)
	connection.expire()
	if count, err := connection.Read(buffer); count != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("nothing has arrived: got %d bytes and %v, want a timeout", count, err)
	}
	for _, part := range []string{"first", "second"} {
		connection.idle()
		connection.expire()
		if _, err := io.WriteString(sending, part); err != nil {
			t.Fatal(err)
		}
		for !connection.hasUnread() {
			time.Sleep(time.Millisecond)
		}
		if count, err := connection.Read(buffer); err != nil || string(buffer[:count]) != part {
			t.Errorf("got %q, %v, want %q", buffer[:count], err, part)
		}
	}
}

// Guards against a part of a request that holds up a shutdown, or that ends without a line of the log.
func TestDrainEndsPartsOfRequests(t *testing.T) {
	tests := []struct {
		name, sent string
		want       []string
	}{
		{"without an ID", "GET / HT", []string{`"request":""`, `"bytes":8`, `"leaving":true`, `"callergone":false`}},
		{"with an ID", "GET / HTTP/1.1\r\nrequest-id:  r1\r\nHost: ", []string{`"request":"r1"`, `"leaving":true`}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t, answers)
			before := unhandled.Value()
			sending := fixture.dial(t)
			sending.write(t, test.sent)
			time.Sleep(50 * time.Millisecond)
			if taken := fixture.drain(t); taken < maxArrival || taken > 2*maxArrival {
				t.Errorf("got a drain of %s, want one of %s", taken, maxArrival)
			}
			for _, want := range test.want {
				if got := fixture.log.String(); !strings.Contains(got, want) {
					t.Errorf("got the log %s, want %s in it", got, want)
				}
			}
			if got := unhandled.Value() - before; got != 1 {
				t.Errorf("got a count of %d, want 1", got)
			}
		})
	}
}

// Guards against a connection that counts as idle, and is closed, while a request is handled that came with the one before.
func TestDrainWaitsForPipelinedRequests(t *testing.T) {
	handling, mayEnd := make(chan struct{}, 2), make(chan struct{})
	fixture := newFixture(t, func(writer http.ResponseWriter, received *http.Request) {
		handling <- struct{}{}
		<-mayEnd
		answers(writer, received)
	})
	sending := fixture.dial(t)
	sending.write(t, request+request)
	<-handling
	mayEnd <- struct{}{}
	<-handling
	var group sync.WaitGroup
	group.Go(func() { fixture.drain(t) })
	time.Sleep(50 * time.Millisecond)
	close(mayEnd)
	for number := range 2 {
		if status, err := sending.read(); status != http.StatusOK || err != nil {
			t.Errorf("request %d: got %d, %v, want 200", number, status, err)
		}
	}
	group.Wait()
}

// Guards against a close that leaves handlers running, whose log lines would be lost with the process.
func TestCloseWaitsForHandlers(t *testing.T) {
	handling, ended := make(chan struct{}), make(chan struct{})
	fixture := newFixture(t, func(_ http.ResponseWriter, received *http.Request) {
		close(handling)
		<-received.Context().Done()
		time.Sleep(50 * time.Millisecond)
		if got := context.Cause(received.Context()); !errors.Is(got, errLeaving) {
			t.Errorf("got the cause %v, want %v", got, errLeaving)
		}
		close(ended)
	})
	fixture.dial(t).write(t, request)
	<-handling
	fixture.End()
	if err := fixture.Close(t.Context()); err != nil {
		t.Error(err)
	}
	select {
	case <-ended:
	default:
		t.Error("got an end before that of the handler")
	}
}

// Guards against requests that are lost when callers send on kept connections at the moment of the drain: each gets an answer, or
// its connection is closed and the server has not read it.
func TestDrainUnderLoad(t *testing.T) {
	const callers = 50
	var mutex sync.Mutex
	handled := map[string]bool{}
	fixture := newFixture(t, func(writer http.ResponseWriter, received *http.Request) {
		mutex.Lock()
		handled[received.URL.Path] = true
		mutex.Unlock()
		answers(writer, received)
	})
	unanswered := make([]string, callers)
	var group sync.WaitGroup
	for number := range callers {
		kept := fixture.dial(t)
		group.Go(func() {
			for count := 0; ; count++ {
				path := fmt.Sprintf("/%d/%d", number, count)
				if _, err := io.WriteString(kept, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
					return
				}
				if _, err := kept.read(); err != nil {
					unanswered[number] = path
					return
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	fixture.drain(t)
	group.Wait()
	for _, path := range unanswered {
		if handled[path] {
			t.Errorf("%s: got no answer to a request that was handled", path)
		}
	}
	if got := fixture.log.String(); strings.Contains(got, "not handled") {
		t.Errorf("got the log %s, want no request that was read and not handled", got)
	}
}

// Guards against connections that wait at the listener when it closes, and that the kernel resets with their requests unread.
func TestStoppedListenerAcceptsWaitingConnections(t *testing.T) {
	const callers = 50
	fixture := newFixture(t, answers)
	accepting, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fixture.address = accepting.Addr().String()
	var waiting []*caller
	for range callers {
		caller := fixture.dial(t)
		caller.write(t, request)
		waiting = append(waiting, caller)
	}
	stopped := newListener(accepting, fixture.Server)
	stopped.stop()
	if err := fixture.server.Serve(stopped); !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("got %v, want that the listener has closed", err)
	}
	for number, caller := range waiting {
		if status, err := caller.read(); status != http.StatusOK || err != nil {
			t.Errorf("caller %d: got %d, %v, want 200", number, status, err)
		}
	}
}

// hookedListener is a listener whose Accept calls a function first. If that returns an error, so does Accept.
type hookedListener struct {
	*net.TCPListener
	hook func() error
}

func (hookedListener *hookedListener) Accept() (net.Conn, error) {
	if err := hookedListener.hook(); err != nil {
		return nil, err
	}
	return hookedListener.TCPListener.Accept()
}

// drainWith drains a server of its own whose listener calls a hook before each accept, and returns how long that took.
func drainWith(t *testing.T, accepting *net.TCPListener, hook func() error) time.Duration {
	t.Helper()
	fixture := newFixture(t, answers)
	served := fixture.dial(t)
	served.write(t, request)
	if status, err := served.read(); status != http.StatusOK || err != nil {
		t.Fatalf("got %d, %v, want 200", status, err)
	}
	var group sync.WaitGroup
	defer group.Wait()
	stopped := fixture.Track(&hookedListener{TCPListener: accepting, hook: hook})
	group.Go(func() { _ = fixture.Serve(stopped) }) // it ends with the drain
	taken := fixture.drain(t)
	_ = fixture.Close(context.Background()) // the drain has been checked
	return taken
}

func listenTCP(t *testing.T) *net.TCPListener {
	t.Helper()
	accepting, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	return accepting
}

// Guards against a listener that stops and tries to accept for ever, as the process has no descriptor for the caller that waits.
func TestStoppedListenerThatCannotAcceptCloses(t *testing.T) {
	accepting := listenTCP(t)
	caller, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", accepting.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	accepts := 0
	taken := drainWith(t, accepting, func() error {
		accepts++
		return syscall.EMFILE
	})
	if limit := maxFirstBytes + maxStopTime; accepts > 10 || taken > limit {
		t.Errorf("got %d tries in %s, want few, within %s", accepts, taken, limit)
	}
}

// Guards against a listener that stops and goes on accepting as long as new callers come.
func TestStoppedListenerClosesWhileCallersCome(t *testing.T) {
	accepting := listenTCP(t)
	taken := drainWith(t, accepting, func() error {
		for range 2 {
			if caller, err := net.DialTimeout("tcp", accepting.Addr().String(), time.Second); err == nil {
				_ = caller.Close()
			}
		}
		time.Sleep(5 * time.Millisecond)
		return nil
	})
	if limit := maxAcceptTime + maxFirstBytes + 300*time.Millisecond; taken > limit {
		t.Errorf("got a drain of %s, want at most %s", taken, limit)
	}
}

// Guards against a request that is closed while it arrives, since its connection was accepted late in the drain.
func TestDrainGivesLateRequestsTimeToArrive(t *testing.T) {
	fixture := newFixture(t, answers)
	kept := fixture.dial(t)
	kept.write(t, request[:10]) // keeps the drain from its end for maxArrival
	caller := fixture.dial(t)
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(maxFirstBytes / 2)
		for _, part := range []string{request[:5], request[5:8]} {
			_, _ = io.WriteString(caller, part) // the answer shows whether it arrived
			time.Sleep(maxArrival * 45 / 100)
		}
		time.Sleep(maxArrival * 5 / 100)
		_, _ = io.WriteString(caller, request[8:])
		if status, err := caller.read(); status != http.StatusOK || err != nil {
			t.Errorf("got %d, %v, want 200", status, err)
		}
	})
	fixture.drain(t)
	group.Wait()
}

// closeHook is a listener that calls a function as it closes.
type closeHook struct {
	*net.TCPListener
	hook func()
}

func (closeHook *closeHook) Close() error {
	closeHook.hook()
	return closeHook.TCPListener.Close()
}

// Guards against a drain that ends, and a process that exits, while a connection that was just accepted is not tracked yet.
func TestDrainCountsConnectionThatStoppedListenerAccepts(t *testing.T) {
	accepting, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	server := New(t.Context(), &http.Server{Handler: http.HandlerFunc(answers)}, Options{Logger: hclog.NewNullLogger()})
	open := 0
	stopped := newListener(&closeHook{TCPListener: accepting, hook: func() { open = server.release(false) }}, server)
	caller, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", accepting.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	stopped.stopAt.Store(time.Now().Add(-maxStopTime).UnixNano())
	accepted, err := stopped.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	if open != 1 {
		t.Errorf("got %d open connections as the listener closes, want 1", open)
	}
}

// slowListener is a listener whose Accept takes some time before it tries, and after it has accepted a connection.
type slowListener struct {
	*net.TCPListener
	before, after time.Duration
}

func (slowListener *slowListener) Accept() (net.Conn, error) {
	time.Sleep(slowListener.before)
	accepted, err := slowListener.TCPListener.Accept()
	if err == nil {
		time.Sleep(slowListener.after)
	}
	return accepted, err
}

// Guards against connections that wait at a listener which stops, and are reset with their requests as the process is slow to accept
// them.
func TestSlowListenerThatStopsAcceptsWaitingConnections(t *testing.T) {
	tests := []struct {
		name          string
		before, after time.Duration
	}{
		{"each accept begins after its deadline", 2 * emptyQueueTime, 0},
		{"all take longer than the time to stop", 0, maxStopTime / 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const callers = 20
			fixture := newFixture(t, answers)
			accepting, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				t.Fatal(err)
			}
			fixture.address = accepting.Addr().String()
			var waiting []*caller
			for range callers {
				caller := fixture.dial(t)
				caller.write(t, request)
				waiting = append(waiting, caller)
			}
			stopped := newListener(&slowListener{TCPListener: accepting, before: test.before, after: test.after}, fixture.Server)
			stopped.stop()
			if err := fixture.server.Serve(stopped); !errors.Is(err, http.ErrServerClosed) {
				t.Errorf("got %v, want that the listener has closed", err)
			}
			for number, caller := range waiting {
				if status, err := caller.read(); status != http.StatusOK || err != nil {
					t.Errorf("caller %d: got %d, %v, want 200", number, status, err)
				}
			}
		})
	}
}

// Guards against a new connection that is closed before its caller, which has just opened it, can send its request.
func TestDrainWaitsForFirstRequestOfNewConnections(t *testing.T) {
	fixture := newFixture(t, answers)
	var group sync.WaitGroup
	for range 10 {
		caller := fixture.dial(t)
		group.Go(func() {
			time.Sleep(maxFirstBytes / 4)
			_, _ = io.WriteString(caller, request) // the answer shows whether it arrived
			if status, err := caller.read(); status != http.StatusOK || err != nil {
				t.Errorf("got %d, %v, want 200", status, err)
			}
		})
	}
	time.Sleep(maxFirstBytes / 10)
	fixture.drain(t)
	group.Wait()
}

// Guards against a kept connection that is closed as its caller, which has just read an answer, sends the next request.
func TestDrainWaitsForNextRequestOfKeptConnections(t *testing.T) {
	fixture := newFixture(t, answers)
	var group sync.WaitGroup
	answered := make(chan struct{})
	for range 10 {
		caller := fixture.dial(t)
		caller.write(t, request)
		if status, err := caller.read(); status != http.StatusOK || err != nil {
			t.Fatalf("got %d, %v, want 200", status, err)
		}
		group.Go(func() {
			<-answered
			time.Sleep(maxFirstBytes / 4)
			_, _ = io.WriteString(caller, request) // the answer shows whether it arrived
			if status, err := caller.read(); status != http.StatusOK || err != nil {
				t.Errorf("got %d, %v, want 200", status, err)
			}
		})
	}
	close(answered)
	fixture.drain(t)
	group.Wait()
}
