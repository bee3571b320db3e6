package dogwoodrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

// The ways in which a random endpoint ends a request.
const (
	healthy = iota
	breaksOffAt
	silentFrom
	declines
	unsent
	returnsFailure
	rejects
	closes
)

const (
	scriptedEvents = 6
	rejectedBody   = "rejected"
	failedBody     = "failed"
)

// behavior determines what an endpoint does with one request.
type behavior struct {
	kind      int
	startedAt time.Time
	// responseDelay is the delay before the response, pauses those before the events.
	responseDelay time.Duration
	pauses        [scriptedEvents]time.Duration
	// faultAt is the event before which the endpoint breaks off or falls silent.
	faultAt int
	// wrote is true once an event was written.
	wrote bool
	// ended is true once the endpoint is done; cancelled reports whether the relay has cancelled the run.
	ended     bool
	cancelled func() bool
}

func randomBehavior(random *rand.Rand) *behavior {
	kinds := []int{healthy, healthy, healthy, breaksOffAt, breaksOffAt, breaksOffAt, silentFrom, silentFrom, declines, unsent, returnsFailure, rejects, closes}
	behavior := &behavior{kind: kinds[random.IntN(len(kinds))], responseDelay: randomPause(random), faultAt: random.IntN(scriptedEvents)}
	for i := range behavior.pauses {
		behavior.pauses[i] = randomPause(random)
	}
	return behavior
}

// randomPause returns a pause that is short in most cases. The pauses are multiples of a step so that events
// of two endpoints may arrive at the same moment.
func randomPause(random *rand.Rand) time.Duration {
	const step = 100 * time.Millisecond
	if random.IntN(5) == 0 {
		return time.Duration(random.IntN(60)) * step
	}
	return time.Duration(random.IntN(2)) * step
}

// duration returns how long a healthy endpoint takes for the whole answer.
func (behavior *behavior) duration() time.Duration {
	total := behavior.responseDelay
	for _, pause := range behavior.pauses {
		total += pause
	}
	return total
}

// randomEndpoints draws a behavior for each request from its seed.
type randomEndpoints struct {
	*fakeEndpoints
	seed uint64

	mutex     sync.Mutex
	behaviors []*behavior
	// possibleRuns counts the requests that may have run, arrived those that reached an endpoint.
	possibleRuns, arrived int
	// maxConcurrent is the largest number of requests in progress at once.
	maxConcurrent int
}

func (endpoints *randomEndpoints) begin(ctx context.Context) *behavior {
	endpoints.mutex.Lock()
	defer endpoints.mutex.Unlock()
	behavior := randomBehavior(rand.New(rand.NewPCG(endpoints.seed, uint64(len(endpoints.behaviors)+1))))
	behavior.startedAt, behavior.cancelled = time.Now(), func() bool { return ctx.Err() != nil }
	endpoints.behaviors = append(endpoints.behaviors, behavior)
	if behavior.kind != unsent {
		endpoints.arrived++
	}
	if behavior.kind != unsent && behavior.kind != declines {
		endpoints.possibleRuns++
	}
	endpoints.maxConcurrent = max(endpoints.maxConcurrent, len(endpoints.active()))
	return behavior
}

// active returns the behaviors of requests that are neither done nor cancelled. The caller holds the mutex.
func (endpoints *randomEndpoints) active() []*behavior {
	return slices.DeleteFunc(slices.Clone(endpoints.behaviors), func(behavior *behavior) bool { return behavior.ended || behavior.cancelled() })
}

func (endpoints *randomEndpoints) end(behavior *behavior) {
	endpoints.mutex.Lock()
	defer endpoints.mutex.Unlock()
	behavior.ended = true
}

func (endpoints *randomEndpoints) Send(ctx context.Context, endpointRequest *EndpointRequest) (*Response, error) {
	behavior := endpoints.begin(ctx)
	if behavior.kind == unsent {
		endpoints.end(behavior)
		return nil, &NotSent{Cause: errors.New("refused")}
	}
	if !dogwoodkernel.Sleep(ctx, behavior.responseDelay) {
		endpoints.end(behavior)
		return nil, &Broken{Cause: ctx.Err()}
	}
	if behavior.kind == closes {
		endpoints.end(behavior)
		return nil, &Broken{Cause: io.EOF}
	}
	response := &Response{Status: http.StatusOK, Header: http.Header{}, Genuine: true}
	switch behavior.kind {
	case declines:
		response.Status, response.NotRun = http.StatusServiceUnavailable, true
	case returnsFailure:
		response.Status = http.StatusInternalServerError
	case rejects:
		response.Status = http.StatusBadRequest
	}
	reader, writer := io.Pipe()
	response.Body = reader
	var group sync.WaitGroup
	group.Go(func() {
		err := endpoints.write(ctx, behavior, endpointRequest, writer)
		endpoints.end(behavior)
		_ = writer.CloseWithError(err) // it returns no error
	})
	return response, nil
}

// write writes the answer and returns the error that it ends with.
func (endpoints *randomEndpoints) write(ctx context.Context, behavior *behavior, endpointRequest *EndpointRequest, writer io.Writer) error {
	if behavior.kind == returnsFailure || behavior.kind == rejects || behavior.kind == declines {
		_, err := io.WriteString(writer, bodyOf(behavior.kind))
		return err
	}
	last, _ := strconv.Atoi(endpointRequest.LastEventID) // none is 0
	for i := last; i < scriptedEvents; i++ {
		if !dogwoodkernel.Sleep(ctx, behavior.pauses[i]) {
			return ctx.Err()
		}
		event := scriptedEvent(i + 1)
		if i >= behavior.faultAt && behavior.kind == silentFrom {
			<-ctx.Done()
			return ctx.Err()
		}
		if i >= behavior.faultAt && behavior.kind == breaksOffAt {
			_, _ = io.WriteString(writer, event[:len(event)/2]) // the reader may have left
			return errors.New("reset")
		}
		if _, err := io.WriteString(writer, event); err != nil {
			return err
		}
		endpoints.mutex.Lock()
		behavior.wrote = true
		endpoints.mutex.Unlock()
	}
	return nil
}

func bodyOf(kind int) string {
	return map[int]string{returnsFailure: failedBody, rejects: rejectedBody}[kind]
}

func scriptedEvent(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

// eventsUpTo returns the body of a stream after a number of events.
func eventsUpTo(count int) string {
	var body strings.Builder
	for id := range count {
		body.WriteString(scriptedEvent(id + 1))
	}
	return body.String()
}

// randomCase is a random request with its caller and conditions.
type randomCase struct {
	request *Request
	// disconnectAfter is when the caller disconnects, writeDelay how long it takes to read each event.
	disconnectAfter, writeDelay time.Duration
	staleAfter                  time.Duration
	takenSlots                  int
	allowance                   float64
	maxUnused                   time.Duration
}

func newRandomCase(random *rand.Rand) *randomCase {
	randomCase := &randomCase{request: streamRequest(), disconnectAfter: time.Hour, staleAfter: time.Hour}
	request, route := randomCase.request, randomCase.request.Route
	switch random.IntN(6) {
	case 0:
		randomCase.request = plainRequest(dogwoodroute.Idempotent)
		request, route = randomCase.request, randomCase.request.Route
	case 1:
		randomCase.request = plainRequest(dogwoodroute.Once)
		request, route = randomCase.request, randomCase.request.Route
	case 2:
		route.Resumable = false
	case 3:
		request.Prompt, route.Aim = 150_000, 10*time.Second
		randomCase.maxUnused = time.Duration(random.IntN(2)) * 9 * time.Second
	}
	route.Attempts = 1 + random.IntN(4)
	request.Deadline = time.Now().Add(time.Second + time.Duration(random.Int64N(int64(15*time.Second))))
	randomCase.allowance = float64(random.IntN(5))
	randomCase.takenSlots = random.IntN(2 * testEngine.Slots)
	switch random.IntN(6) {
	case 0:
		randomCase.disconnectAfter = time.Duration(random.Int64N(int64(8 * time.Second)))
	case 1:
		randomCase.writeDelay = time.Duration(random.Int64N(int64(500 * time.Millisecond)))
	case 2:
		randomCase.staleAfter = time.Duration(random.Int64N(int64(4 * time.Second)))
	}
	return randomCase
}

// Guards against runs, slots, memory and parts of answers that are lost, duplicated or left behind when
// endpoints pause, break off, decline and fall silent in any order.
func TestRandomEndpoints(t *testing.T) {
	const seeds = 2000
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runRandomCase(t, seed) })
	}
}

func runRandomCase(t *testing.T, seed uint64) {
	runRelayTest(t, testEngine, nil, func(t *testing.T, fixture *fixture) {
		endpoints := &randomEndpoints{fakeEndpoints: fixture.endpoints, seed: seed}
		randomCase := newRandomCase(rand.New(rand.NewPCG(seed, 0)))
		options := &fixture.relay.options
		options.Endpoints, options.UnusedMemoryTimeout = endpoints, always(randomCase.maxUnused)
		options.Retries = newRetryBudget(0, randomCase.allowance)
		fixture.setEndpoints(6, testEngine)
		fixture.takeSlots(t, randomCase.takenSlots)
		ctx, disconnect := context.WithCancel(t.Context())
		defer disconnect()
		defer time.AfterFunc(randomCase.disconnectAfter, disconnect).Stop()
		defer time.AfterFunc(randomCase.staleAfter, func() { fixture.stale.Store(true) }).Stop()
		caller := &slowCaller{recorder: fixture.answer, delay: randomCase.writeDelay}
		err := fixture.relay.Serve(ctx, randomCase.request, caller)
		elapsed := time.Since(randomCase.request.Arrived)
		fixture.relay.Wait()
		checkOutcome(t, randomCase, endpoints, fixture.answer, err)
		checkEndTime(t, randomCase, elapsed)
		checkSends(t, randomCase, endpoints)
		checkReleased(t, fixture, endpoints)
		if t.Failed() {
			t.Logf("route allows %d runs, ended with %v after %s", randomCase.request.Route.Attempts, err, elapsed)
			for _, behavior := range endpoints.behaviors {
				t.Logf("kind %d, begun %s, response delay %s, pauses %s, fault at %d", behavior.kind, behavior.startedAt, behavior.responseDelay, behavior.pauses, behavior.faultAt)
			}
		}
	})
}

// checkOutcome checks that the caller has the whole answer, or an accurate error.
func checkOutcome(t *testing.T, randomCase *randomCase, endpoints *randomEndpoints, answer *recorder, err error) {
	t.Helper()
	body := answer.body.String()
	switch answer.status {
	case http.StatusInternalServerError, http.StatusBadRequest:
		if err != nil || body != failedBody && body != rejectedBody {
			t.Errorf("got %d, %q and %v, want an endpoint's failure", answer.status, body, err)
		}
		return
	}
	if whole := eventsUpTo(scriptedEvents); !strings.HasPrefix(whole, body) || len(body)%len(scriptedEvent(1)) != 0 {
		t.Errorf("got %q, want events in order", body)
	} else if (err == nil) != (body == whole) && (err == nil || !errors.Is(err, ErrCallerGone)) {
		t.Errorf("got %v with %q", err, body)
	}
	if err == nil {
		return
	}
	if errors.Is(err, ErrCallerGone) {
		if randomCase.disconnectAfter == time.Hour {
			t.Errorf("got %v, want no error for a caller that stayed", err)
		}
		return
	}
	if got, want := errors.Is(err, ErrCut), answer.status != 0; got != want {
		t.Errorf("got cut %t, want %t", got, want)
	}
	if failure := failureIn(err); failure != nil && failure.Run == dogwoodfleet.NotRun && endpoints.possibleRuns > 0 {
		t.Errorf("got %v after %d possible runs, want no claim that it did not run", failure, endpoints.possibleRuns)
	}
	if endpoints.firstWouldSuffice(randomCase) {
		t.Errorf("got %v, want the answer of the first endpoint", err)
	}
}

func failureIn(err error) *Failure {
	var failure *Failure
	_ = errors.As(err, &failure)
	return failure
}

// firstWouldSuffice reports whether the first endpoint had the whole answer in time and no other one wrote.
func (endpoints *randomEndpoints) firstWouldSuffice(randomCase *randomCase) bool {
	if len(endpoints.behaviors) == 0 || randomCase.maxUnused > 0 || randomCase.writeDelay > 0 {
		return false
	}
	for _, other := range endpoints.behaviors[1:] {
		if other.wrote {
			return false
		}
	}
	first := endpoints.behaviors[0]
	return first.kind == healthy && first.startedAt.Add(first.duration()).Before(randomCase.request.Deadline)
}

// checkEndTime checks that the request ended by its deadline or when its caller disconnected.
func checkEndTime(t *testing.T, randomCase *randomCase, elapsed time.Duration) {
	t.Helper()
	limit := randomCase.request.Deadline.Sub(randomCase.request.Arrived)
	if most := min(limit, randomCase.disconnectAfter) + scriptedEvents*randomCase.writeDelay; elapsed > most {
		t.Errorf("got the end after %s, want it within %s", elapsed, most)
	}
}

// checkSends checks that the request was not sent more often than allowed.
func checkSends(t *testing.T, randomCase *randomCase, endpoints *randomEndpoints) {
	t.Helper()
	request := randomCase.request
	most := request.Route.Attempts
	if !request.Repeatable() {
		most = 1
	}
	if endpoints.possibleRuns > most {
		t.Errorf("got %d runs, want at most %d", endpoints.possibleRuns, most)
	}
	if endpoints.maxConcurrent > 2 {
		t.Errorf("got %d runs at once, want at most two", endpoints.maxConcurrent)
	}
	if retries := endpoints.arrived - 1; float64(retries) > randomCase.allowance {
		t.Errorf("got %d retries, want at most %g", retries, randomCase.allowance)
	}
}

// checkReleased checks that nothing is left of a request that ended.
func checkReleased(t *testing.T, fixture *fixture, endpoints *randomEndpoints) {
	t.Helper()
	synctest.Wait()
	for _, behavior := range endpoints.behaviors {
		if !behavior.ended {
			t.Errorf("got the run begun at %s still active, want it ended", behavior.startedAt)
		}
	}
	if got := len(fixture.endpoints.reservations); got != 0 {
		t.Errorf("got %d reservations left, want none", got)
	}
	for _, work := range fixture.board.WorkExcept("") {
		if strings.HasPrefix(string(work.ID), "r1.") {
			t.Errorf("got the slot of %s still taken, want it free", work.ID)
		}
	}
}
