package dogwoodrelay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodenginetime"
	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodretry"
	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwoodsuspects"
)

// sentRequest is an EndpointRequest as received by an endpoint.
type sentRequest struct {
	endpoint  dogwoodfleet.EndpointID
	lastEvent string
	helpers   []Helper
	left      time.Duration
}

// fakeEndpoints answers each send with the next step of a script; the last step repeats.
type fakeEndpoints struct {
	script       []func(ctx context.Context) (*Response, error)
	noFreeMemory map[dogwoodfleet.EndpointID]bool // endpoints that refuse reservations
	// darkFrom returns when an endpoint stops responding; nil if none does.
	darkFrom func(endpoint dogwoodfleet.EndpointID) time.Time
	// memoryUsed is true if prompts use the memory that is reserved for them.
	memoryUsed bool
	// condition is the condition of all endpoints.
	condition dogwoodsuspects.Condition

	mutex        sync.Mutex
	sends        []sentRequest
	reservations map[string]int
	// leases holds the end of each reservation that was not released.
	leases map[string]time.Time
}

func (fake *fakeEndpoints) Send(ctx context.Context, endpointRequest *EndpointRequest) (*Response, error) {
	fake.mutex.Lock()
	fake.sends = append(fake.sends, sentRequest{
		endpoint: endpointRequest.Endpoint.ID, lastEvent: endpointRequest.LastEventID, helpers: endpointRequest.Helpers, left: endpointRequest.Left,
	})
	step := fake.script[min(len(fake.sends), len(fake.script))-1]
	fake.mutex.Unlock()
	return step(ctx)
}

// sent returns the endpoints of all sends so far.
func (fake *fakeEndpoints) sent() []dogwoodfleet.EndpointID {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	endpoints := make([]dogwoodfleet.EndpointID, len(fake.sends))
	for i, sent := range fake.sends {
		endpoints[i] = sent.endpoint
	}
	return endpoints
}

func (fake *fakeEndpoints) Reserve(_ context.Context, endpoint dogwoodfleet.Endpoint, ticket string, tokens int, lease time.Duration) error {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	if fake.noFreeMemory[endpoint.ID] {
		return errors.New("not free")
	}
	fake.reservations[string(endpoint.ID)+"/"+ticket] = tokens
	fake.leases[string(endpoint.ID)+"/"+ticket] = time.Now().Add(lease)
	return nil
}

// isDark reports whether the endpoint has stopped responding.
func (fake *fakeEndpoints) isDark(endpoint dogwoodfleet.EndpointID) bool {
	return fake.darkFrom != nil && !time.Now().Before(fake.darkFrom(endpoint))
}

func (fake *fakeEndpoints) Check(ctx context.Context, endpoint dogwoodfleet.Endpoint) error {
	if fake.isDark(endpoint.ID) {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (fake *fakeEndpoints) MemoryUsed(ctx context.Context, endpoint dogwoodfleet.Endpoint, _ string) (bool, error) {
	if fake.isDark(endpoint.ID) {
		<-ctx.Done()
		return false, ctx.Err()
	}
	return fake.memoryUsed, nil
}

func (fake *fakeEndpoints) Condition(context.Context, dogwoodfleet.Endpoint) dogwoodsuspects.Condition {
	return fake.condition
}

func (fake *fakeEndpoints) Release(_ context.Context, endpoint dogwoodfleet.Endpoint, ticket string) error {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	delete(fake.reservations, string(endpoint.ID)+"/"+ticket)
	delete(fake.leases, string(endpoint.ID)+"/"+ticket)
	return nil
}

// recorder is a caller that records the whole answer.
type recorder struct {
	status int
	header http.Header
	body   bytes.Buffer
}

func (recorder *recorder) Begin(status int, header http.Header) error {
	if recorder.status != 0 {
		return errors.New("begun twice")
	}
	recorder.status, recorder.header = status, header
	return nil
}

func (recorder *recorder) Write(data []byte) error {
	_, err := recorder.body.Write(data)
	return err
}

// places adapts the board of a single daemon to Places, as dogwoodboard does.
type places struct {
	*dogwoodpacking.Board
}

func (places places) Place(now time.Time, request *dogwoodpacking.PlacementRequest) (dogwoodpacking.Placement, dogwoodpacking.Refusal) {
	request.Holder = "me" // after a back-off, an endpoint's slots are opened by the number of its daemon's own requests
	return places.Board.Place(now, request)
}

func (places places) Writes(id dogwoodpacking.WorkID, predicted, seen time.Duration) {
	places.Board.Writes(time.Now(), id, predicted, seen)
}

func (places places) RecordPace(endpoint dogwoodfleet.EndpointID, pause time.Duration) {
	places.Board.RecordPace(endpoint, pause)
}

func (places places) SetLimit(sent time.Time, endpoint dogwoodfleet.EndpointID, limit dogwoodpacking.NamedLimit) {
	places.Board.SetLimit(time.Now(), sent, endpoint, limit)
}

func (places places) Backoff(now time.Time, endpoint *dogwoodfleet.Endpoint, until time.Time) {
	places.Board.Backoff(now, endpoint, until)
}

func (places places) Cancel(id dogwoodpacking.WorkID) {
	places.Board.RemoveUse(time.Now(), id)
	places.Board.End(id)
}

func (places places) Leave(now time.Time, endpoint *dogwoodfleet.Endpoint) {
	places.Board.Leave(now, endpoint)
}

// fixture is a relay over a pool of three endpoints.
type fixture struct {
	relay     *Relay
	board     *dogwoodpacking.Board
	endpoints *fakeEndpoints
	suspects  *dogwoodsuspects.Duty
	// frozenHub is another hub, which answers no call; nil if this daemon is the only one.
	frozenHub atomic.Pointer[dogwoodsuspects.Peer]
	stale     atomic.Bool
	answer    *recorder
}

var testEngine = &dogwoodenginetime.Engine{
	Slots: 4, MemoryTokens: 100_000, Step: time.Millisecond, TokensPerSecond: 100_000, Chunk: 2048, Stride: 34,
}

func newFixture(ctx context.Context, group *sync.WaitGroup, engine *dogwoodenginetime.Engine, script ...func(ctx context.Context) (*Response, error)) *fixture {
	fixture := &fixture{
		board: dogwoodpacking.NewBoard("me"), answer: &recorder{},
		endpoints: &fakeEndpoints{script: script, reservations: map[string]int{}, leases: map[string]time.Time{}, noFreeMemory: map[dogwoodfleet.EndpointID]bool{}},
	}
	fixture.suspects = dogwoodsuspects.New(dogwoodsuspects.Options{
		Self: "me", Caller: frozenCaller{}, Hubs: fixture.hubs, Listed: func() []dogwoodsuspects.Peer { return nil },
		Role: func() (bool, <-chan struct{}) { return false, nil }, Clock: func() time.Duration { return 0 }, Logger: hclog.NewNullLogger(),
	})
	fixture.setEndpoints(3, engine)
	fixture.relay = New(Options{
		Places: places{fixture.board}, Endpoints: fixture.endpoints, Suspects: fixture.suspects,
		Retries: newRetryBudget(0.2, 10),
		Fresh:   func() bool { return !fixture.stale.Load() },
		Logger:  hclog.NewNullLogger(),
	})
	fixture.relay.queue.minimums.FirstTurn = 0 // it is random otherwise
	group.Go(func() { _ = fixture.relay.Run(ctx) })
	group.Go(func() { _ = fixture.suspects.Run(ctx) })
	synctest.Wait() // the daemon knows that it is the only one
	return fixture
}

// always returns a function that returns the same duration each time.
func always(duration time.Duration) func() time.Duration {
	return func() time.Duration { return duration }
}

// newRetryBudget returns the budget of a daemon that has run for long, with a ratio and a share of the allowance.
func newRetryBudget(ratio, share float64) *dogwoodretry.SharedBudget {
	return newRetryBudgetOf(dogwoodretry.Terms{Ratio: ratio, Allowance: share, Window: time.Minute})
}

// newRetryBudgetOf returns the budget of the only daemon of a fleet, which has run for long.
func newRetryBudgetOf(terms dogwoodretry.Terms) *dogwoodretry.SharedBudget {
	return dogwoodretry.NewSharedBudget(time.Now().Add(-time.Hour), func() dogwoodretry.Terms { return terms }, func(allowance float64) float64 { return allowance })
}

// frozenCaller makes calls that get no answer.
type frozenCaller struct{}

// Call waits until the context ends.
func (frozenCaller) Call(ctx context.Context, _ netip.AddrPort, _ string, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

func (fixture *fixture) hubs() []dogwoodsuspects.Peer {
	hubs := []dogwoodsuspects.Peer{{Instance: "me"}}
	if hub := fixture.frozenHub.Load(); hub != nil {
		hubs = append(hubs, *hub)
	}
	return hubs
}

// setEndpoints sets the pool to a number of endpoints named a, b, c and so on.
func (fixture *fixture) setEndpoints(count int, engine *dogwoodenginetime.Engine) {
	var endpoints []dogwoodpacking.Endpoint
	for i := range count {
		id := dogwoodfleet.EndpointID(rune('a' + i))
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		endpoints = append(endpoints, dogwoodpacking.Endpoint{
			Endpoint: dogwoodfleet.Endpoint{ID: id, Service: "s", InForce: true, Address: address}, Slots: 4, Engine: engine,
		})
	}
	fixture.board.SetEndpoints(endpoints)
	fixture.suspects.SetEndpoints(endpoints)
}

// takeSlots occupies a number of slots.
func (fixture *fixture) takeSlots(t *testing.T, count int) {
	t.Helper()
	for slot := range count {
		placementRequest := &dogwoodpacking.PlacementRequest{ID: dogwoodpacking.WorkID(fmt.Sprint(slot)), Service: "s", Prompt: 10, Until: time.Now().Add(time.Second)}
		if _, refusal := fixture.board.Place(time.Now(), placementRequest); refusal != dogwoodpacking.Placed {
			t.Fatalf("slot %d: got %q, want it free", slot, refusal)
		}
	}
}

// runRelayTest runs a test with fake time and a relay that is stopped at the end.
func runRelayTest(t *testing.T, engine *dogwoodenginetime.Engine, script []func(ctx context.Context) (*Response, error), body func(t *testing.T, fixture *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		fixture := newFixture(ctx, &group, engine, script...)
		body(t, fixture)
		fixture.relay.Wait()
		fixture.suspects.Wait()
		cancel()
		group.Wait()
	})
}

func plainRequest(repeat dogwoodroute.Repeat) *Request {
	return &Request{
		ID: "r1", Service: "s", Method: http.MethodPost, Target: "/x/1", Keyed: true,
		Route:   &dogwoodroute.Route{Repeat: repeat, Attempts: 2, Aim: 300 * time.Millisecond},
		Arrived: time.Now(), Deadline: time.Now().Add(4 * time.Second),
	}
}

func streamRequest() *Request {
	request := plainRequest(dogwoodroute.Stream)
	request.Route.Resumable, request.Route.Pause = true, 250*time.Millisecond
	request.Prompt, request.Answer = 2000, 500
	request.Deadline = time.Now().Add(10 * time.Second)
	return request
}

type step = func(ctx context.Context) (*Response, error)

func responds(status int, body string) step {
	return func(context.Context) (*Response, error) {
		return &Response{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), Genuine: true}, nil
	}
}

// delayed runs a step after a pause, unless the request ends first.
func delayed(pause time.Duration, then step) step {
	return func(ctx context.Context) (*Response, error) {
		select {
		case <-time.After(pause):
			return then(ctx)
		case <-ctx.Done():
			return nil, &Broken{Cause: ctx.Err()}
		}
	}
}

func fails(err error) step {
	return func(context.Context) (*Response, error) { return nil, err }
}

func notRun(status int) step {
	return func(context.Context) (*Response, error) {
		return &Response{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("full")), NotRun: true}, nil
	}
}

// brokenBody returns some bytes and then an error.
type brokenBody struct {
	io.Reader
	err error
}

func (brokenBody brokenBody) Read(buffer []byte) (int, error) {
	count, err := brokenBody.Reader.Read(buffer)
	if errors.Is(err, io.EOF) {
		return count, brokenBody.err
	}
	return count, err
}

func (brokenBody) Close() error { return nil }

func breaksOff(body string) step {
	return func(context.Context) (*Response, error) {
		return &Response{
			Status: http.StatusOK, Header: http.Header{"X-From": {"first"}}, Genuine: true,
			Body: brokenBody{Reader: strings.NewReader(body), err: errors.New("reset")},
		}, nil
	}
}

// closableBody can't be read once it is closed, as the body of a connection.
type closableBody struct {
	io.Reader
	closed bool
}

func (body *closableBody) Read(buffer []byte) (int, error) {
	if body.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	return body.Reader.Read(buffer)
}

func (body *closableBody) Close() error {
	body.closed = true
	return nil
}

// silentBody returns some bytes and then blocks until its context ends.
type silentBody struct {
	reader io.Reader
	ctx    context.Context //nolint:containedctx // a connection in a test ends with its request
}

func (silentBody silentBody) Read(buffer []byte) (int, error) {
	count, err := silentBody.reader.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	<-silentBody.ctx.Done()
	return 0, silentBody.ctx.Err()
}

func (silentBody) Close() error { return nil }

func fallsSilent(body string) step {
	return func(ctx context.Context) (*Response, error) {
		return &Response{Status: http.StatusOK, Header: http.Header{}, Genuine: true, Body: silentBody{reader: strings.NewReader(body), ctx: ctx}}, nil
	}
}
