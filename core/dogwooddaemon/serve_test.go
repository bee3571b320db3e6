package dogwooddaemon

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodproblem"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/duty/dogwooddispatch"
	"dogwoodmux.example/core/edge/dogwoodcaller"
	"dogwoodmux.example/core/edge/dogwoodserver"
)

// hangingDispatcher holds each request until its context ends.
type hangingDispatcher struct {
	// run is the state in which the requests are, events the number of events that they have got.
	run    dogwoodfleet.RunState
	events int

	number, running atomic.Int64
}

func (hanging *hangingDispatcher) NewID() dogwoodfleet.RequestID {
	return dogwoodfleet.RequestID(fmt.Sprint("request-", hanging.number.Add(1)))
}

func (hanging *hangingDispatcher) Prompt(ctx context.Context, _ *dogwooddispatch.Call, answer dogwooddispatch.PromptAnswerWriter) error {
	for index := range hanging.events {
		if err := answer.Event(dogwooddispatch.Event{Index: index, Data: []byte("{}")}); err != nil {
			return err
		}
	}
	hanging.running.Add(1)
	<-ctx.Done()
	return &dogwooddispatch.Failure{Reason: dogwoodfleet.ReasonCancelled, Run: hanging.run, Detail: "the caller left"}
}

func (hanging *hangingDispatcher) Service(ctx context.Context, _ *dogwooddispatch.Call) (*dogwooddispatch.WholeAnswer, error) {
	hanging.running.Add(1)
	<-ctx.Done()
	return nil, &dogwooddispatch.Failure{Reason: dogwoodfleet.ReasonCancelled, Run: hanging.run, Detail: "the caller left"}
}

// lineBuffer collects log lines. It is safe for concurrent use.
type lineBuffer struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (buffer *lineBuffer) Write(line []byte) (int, error) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	return buffer.text.Write(line)
}

func (buffer *lineBuffer) String() string {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	return buffer.text.String()
}

// callerFixture is an edge that serves on a loopback address.
type callerFixture struct {
	edge     *dogwoodcaller.Edge
	server   *dogwoodserver.Server
	listener net.Listener
	log      *lineBuffer
}

func startCallerFixture(ctx context.Context, t *testing.T, dispatcher dogwoodcaller.Dispatcher) *callerFixture {
	t.Helper()
	return startCallerFixtureOn(ctx, t, dispatcher, tcpNetwork{})
}

func startCallerFixtureOn(ctx context.Context, t *testing.T, dispatcher dogwoodcaller.Dispatcher, network Network) *callerFixture {
	t.Helper()
	fixture := newCallerFixture(ctx, t, dispatcher, network)
	fixture.start(ctx, t, func(ctx context.Context) error {
		return serveCallers(ctx, fixture.edge, fixture.server, fixture.listener)
	})
	return fixture
}

// start runs serve until the test ends, or stop is called.
func (*callerFixture) start(ctx context.Context, t *testing.T, serve func(ctx context.Context) error) (stop func()) {
	t.Helper()
	var group sync.WaitGroup
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	group.Go(func() { _ = serve(serveCtx) })
	stop = func() {
		cancel()
		group.Wait()
	}
	t.Cleanup(stop)
	return stop
}

// newCallerFixture returns a fixture that listens and does not serve.
func newCallerFixture(ctx context.Context, t *testing.T, dispatcher dogwoodcaller.Dispatcher, network Network) *callerFixture {
	t.Helper()
	digest := sha256.Sum256([]byte("key"))
	text := &dogwoodsettings.Text{
		Services: []dogwoodsettings.Service{
			{Name: "pool", Kind: dogwoodfleet.EnginePool, Models: []dogwoodsettings.Model{{Name: "model", MaxPromptTokens: 100}}, Deadline: dogwoodsettings.Duration(time.Minute)},
			{Name: "desk", Kind: dogwoodfleet.PlainService, Deadline: dogwoodsettings.Duration(time.Minute)},
		},
		Customers: []dogwoodsettings.Customer{{Name: "customer", KeySHA256: []string{hex.EncodeToString(digest[:])}}},
	}
	fixture := &callerFixture{log: &lineBuffer{}}
	logger := hclog.New(&hclog.LoggerOptions{Output: fixture.log, JSONFormat: true})
	fixture.edge = dogwoodcaller.New(dogwoodcaller.Options{
		Text: func() *dogwoodsettings.Text { return text }, Dispatcher: dispatcher, Logger: logger,
	})
	fixture.server = newCallersServer(ctx, fixture.edge, newLimits(&dogwoodsettings.Daemon{}), logger)
	listener, err := newSeverableNetwork(network).Listen(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	fixture.listener = fixture.server.Track(listener)
	return fixture
}

// send writes the bytes of a request on a new connection.
func (fixture *callerFixture) send(t *testing.T, request string) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", fixture.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	return conn
}

func request(target, body string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", target, length, body)
}

// Guards against requests whose connections are closed without an answer when the time to shut down is over, although it is known
// that they did not run, and against lines that say that their callers had left, or none at all.
func TestRequestsAreToldOfTheEndOfAShutdown(t *testing.T) {
	const prompt, stream = `{"model":"model","prompt":"x"}`, `{"model":"model","prompt":"x","stream":true}`
	whole := func(target, body string) string { return request(target, body, len(body)) }
	tests := []struct {
		name, request string
		dispatcher    *hangingDispatcher
		// halfRead is true if a part of the request is missing.
		halfRead   bool
		wantNotRun string
	}{
		{name: "a call that waits", request: whole("/services/desk/holds", "x"), dispatcher: &hangingDispatcher{run: dogwoodfleet.NotRun}, wantNotRun: "true"},
		{name: "a call that was sent", request: whole("/services/desk/holds", "x"), dispatcher: &hangingDispatcher{run: dogwoodfleet.RunUnknown}, wantNotRun: "unknown"},
		{name: "a call that is half read", request: request("/services/desk/holds", "x", 100), dispatcher: &hangingDispatcher{}, halfRead: true, wantNotRun: "true"},
		{name: "a prompt that waits", request: whole("/v1/completions", prompt), dispatcher: &hangingDispatcher{run: dogwoodfleet.NotRun}, wantNotRun: "true"},
		{name: "a stream that waits", request: whole("/v1/completions", stream), dispatcher: &hangingDispatcher{run: dogwoodfleet.NotRun}, wantNotRun: "true"},
		{name: "a stream that has begun", request: whole("/v1/completions", stream), dispatcher: &hangingDispatcher{run: dogwoodfleet.WasRun, events: 2}, wantNotRun: "false"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fixture := startCallerFixture(t.Context(), t, test.dispatcher)
			conn := fixture.send(t, test.request)
			if !test.halfRead {
				awaitRunning(t, test.dispatcher)
			}
			ctx, cancel := context.WithTimeout(t.Context(), answerTime+200*time.Millisecond)
			defer cancel()
			if err := drain(ctx, entryTTL, fixture.edge, fixture.server); err == nil {
				t.Error("got no error, want one: a request was ended")
			}
			if got := fixture.log.String(); !strings.Contains(got, `"reason":"Shutdown"`) || strings.Contains(got, "caller left") {
				t.Errorf("got the lines %s, want one that says that the daemon has ended the request", got)
			}
			if got := readNotRun(t, conn); got != test.wantNotRun {
				t.Errorf("got not run %s, want %s", got, test.wantNotRun)
			}
		})
	}
}

// readNotRun returns what a problem, or the last event of a stream, says of the run.
func readNotRun(t *testing.T, conn net.Conn) string {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second)) // a connection of the test supports it
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	_, event, begun := strings.Cut(string(body), "event: error\ndata: ")
	if !begun {
		event = string(body)
	}
	var problem dogwoodproblem.Problem
	if err := json.Unmarshal([]byte(event), &problem); err != nil {
		return fmt.Sprintf("%s in %s", err, body)
	}
	return fmt.Sprint(problem.NotRun)
}

// Guards against a line that says that a caller had left when a second signal has closed its connection, and against one that
// names the daemon although the caller has left.
func TestLinesNameWhoEndedARequest(t *testing.T) {
	tests := []struct {
		name string
		end  func(fixture *callerFixture, conn net.Conn)
		want string
	}{
		{"the daemon is killed", func(fixture *callerFixture, _ net.Conn) {
			fixture.edge.Cut()
			_ = fixture.server.Close(t.Context())
		}, `"reason":"Shutdown"`},
		{"the caller leaves", func(_ *callerFixture, conn net.Conn) { _ = conn.Close() }, `"reason":"Cancelled"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			dispatcher := &hangingDispatcher{run: dogwoodfleet.NotRun}
			fixture := startCallerFixture(t.Context(), t, dispatcher)
			conn := fixture.send(t, request("/services/desk/holds", "x", 1))
			awaitRunning(t, dispatcher)
			test.end(fixture, conn)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			fixture.edge.Await(ctx)
			if got := fixture.log.String(); !strings.Contains(got, test.want) {
				t.Errorf("got the lines %s, want one with %s", got, test.want)
			}
		})
	}
}

// awaitRunning waits until a request is dispatched.
func awaitRunning(t *testing.T, dispatcher *hangingDispatcher) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); dispatcher.running.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the request is not dispatched")
		}
	}
}

// answeringDispatcher answers each call at once.
type answeringDispatcher struct{ hangingDispatcher }

func (*answeringDispatcher) Service(context.Context, *dogwooddispatch.Call) (*dogwooddispatch.WholeAnswer, error) {
	return &dogwooddispatch.WholeAnswer{Status: http.StatusOK, Header: http.Header{}, Body: []byte("whole")}, nil
}

// Guards against calls on kept connections that are closed unread because the server closes idle connections: callers must have
// learned before that their connections end.
func TestShutdownCutsNoCallOnAKeptConnection(t *testing.T) {
	const callers = 40
	fixture := startCallerFixture(t.Context(), t, &answeringDispatcher{})
	var group sync.WaitGroup
	var answered, unanswered atomic.Int64
	for range callers {
		conn := fixture.send(t, "")
		group.Go(func() {
			reader := bufio.NewReader(conn)
			for {
				_, _ = io.WriteString(conn, request("/services/desk/holds", "x", 1)) // a failure shows as no response
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					unanswered.Add(1)
					return
				}
				_, _ = io.Copy(io.Discard, response.Body) // the body is short
				_ = response.Body.Close()
				answered.Add(1)
				if response.Close {
					return
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), answerTime+300*time.Millisecond)
	defer cancel()
	_ = drain(ctx, entryTTL, fixture.edge, fixture.server) // requests may run at its end
	group.Wait()
	if got := unanswered.Load(); got > 0 {
		t.Errorf("got %d calls without an answer beside %d answered, want none", got, answered.Load())
	}
}
