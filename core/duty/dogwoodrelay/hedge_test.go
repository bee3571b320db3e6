package dogwoodrelay

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodretry"
	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodlog"
)

// servesWithin serves a request, and wants its whole answer within a time.
func servesWithin(t *testing.T, script []step, request func() *Request, within time.Duration) {
	t.Helper()
	engine := testEngine
	if request().Prompt == 0 {
		engine = nil
	}
	story(t, engine, script, func(t *testing.T, fixture *fixture) {
		fixture.setEndpoints(4, engine)
		begun := time.Now()
		err := fixture.relay.Serve(t.Context(), request(), fixture.answer)
		if err != nil || time.Since(begun) > within {
			t.Errorf("got %v after %s and %d sends, want the answer within %s", err, time.Since(begun), len(fixture.endpoints.sends), within)
		}
	})
}

// Guards against a stream that waits for its time limit at two dead endpoints though its route allows a third.
func TestAStreamLeavesTwoDarkEndpoints(t *testing.T) {
	for _, begun := range []string{"", firstEvents} {
		request := func() *Request {
			made := streamRequest()
			made.Route.Attempts = 3
			return made
		}
		servesWithin(t, []step{fallsSilent(begun), fallsSilent(""), responds(200, firstEvents+lastEvents)}, request, 5*time.Second)
	}
}

// Guards against a look-up that waits for its time limit at two dead endpoints though its route allows a third.
func TestALookUpLeavesTwoDarkEndpoints(t *testing.T) {
	request := func() *Request {
		made := plainRequest(dogwoodroute.Idempotent)
		made.Route.Attempts = 3
		return made
	}
	servesWithin(t, []step{fallsSilent(""), fallsSilent(""), responds(200, "x")}, request, 3*time.Second)
}

// Guards against a broken stream that waits for a dark second run though its route allows a third.
func TestABrokenStreamLeavesADarkSecondRun(t *testing.T) {
	request := func() *Request {
		made := streamRequest()
		made.Route.Attempts = 3
		return made
	}
	servesWithin(t, []step{pauses(firstEvents, 2*time.Second, "id: 3\nda"), fallsSilent(""), responds(200, lastEvents)}, request, 5*time.Second)
}

// Guards against an answer of the endpoint's own that is kept back for a second run.
func TestARejectionIsPassedOn(t *testing.T) {
	rejects := delayed(2*time.Second, responds(400, "rejected"))
	story(t, testEngine, []step{rejects, fallsSilent("")}, func(t *testing.T, fixture *fixture) {
		begun := time.Now()
		err := fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer)
		if err != nil || fixture.answer.status != 400 || time.Since(begun) > 3*time.Second {
			t.Errorf("got %v and %d after %s, want the 400 at 2 s", err, fixture.answer.status, time.Since(begun))
		}
	})
}

// Guards against a send that is counted although its endpoint said that it did not run.
func TestADeclinedRunIsNotCounted(t *testing.T) {
	late := delayed(2*time.Second, notRun(http.StatusServiceUnavailable))
	second := delayed(time.Second, breaksOff(firstEvents))
	servesWithin(t, []step{late, second, responds(200, lastEvents)}, streamRequest, 5*time.Second)
}

// Guards against a place that is lost with a panic.
func TestAPanicFreesItsPlace(t *testing.T) {
	panics := func(context.Context) (*Response, error) { panic("no such endpoint") }
	story(t, testEngine, []step{panics}, func(t *testing.T, fixture *fixture) {
		func() {
			defer func() { _ = recover() }()
			_ = fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer)
		}()
		fixture.take(t, 3*testEngine.Slots)
	})
}

// Guards against an event that is kept back until a second run that is of no use has ended.
func TestAnEventIsNotKeptBack(t *testing.T) {
	first := pauses(firstEvents, 3200*time.Millisecond, lastEvents)
	story(t, testEngine, []step{first, responds(200, lastEvents)}, func(t *testing.T, fixture *fixture) {
		fixture.setEndpoints(8, testEngine)
		slow := &slowMemory{fakeEndpoints: fixture.endpoints, first: 1, takes: time.Minute}
		fixture.relay.options.Endpoints = slow
		request := streamRequest()
		request.Prompt, request.Route.Aim, request.Route.Pause = 150_000, 10*time.Second, 750*time.Millisecond
		request.Deadline = time.Now().Add(30 * time.Second)
		begun := time.Now()
		err := fixture.relay.Serve(t.Context(), request, fixture.answer)
		slow.mutex.Lock()
		defer slow.mutex.Unlock()
		if got, most := time.Since(begun), 3300*time.Millisecond; err != nil || got > most {
			t.Errorf("got %v and the last event after %s with %d reservations, want it within %s", err, got, slow.got, most)
		}
	})
}

// slowMemory answers orders of memory late after the first reservations.
type slowMemory struct {
	*fakeEndpoints
	first int
	takes time.Duration
	got   int
}

func (slow *slowMemory) Reserve(ctx context.Context, endpoint dogwoodfleet.Endpoint, ticket string, tokens int, lease time.Duration) error {
	slow.mutex.Lock()
	slow.got++
	late := slow.got > slow.first
	slow.mutex.Unlock()
	if late {
		return slow.late(ctx)
	}
	return slow.fakeEndpoints.Reserve(ctx, endpoint, ticket, tokens, lease)
}

func (slow *slowMemory) late(ctx context.Context) error {
	select {
	case <-time.After(slow.takes):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (slow *slowMemory) Release(ctx context.Context, _ dogwoodfleet.Endpoint, _ string) error {
	return slow.late(ctx)
}

// Guards against streams that take places and memory for second runs that the budget forbids.
func TestOneRepeatLeftBeginsOneSecondRun(t *testing.T) {
	story(t, testEngine, []step{fallsSilent(firstEvents)}, func(t *testing.T, fixture *fixture) {
		fixture.setEndpoints(30, testEngine)
		fixture.relay.options.Retries = &dogwoodretry.Shared{Allowance: 1, Window: 100 * time.Second}
		lines := &lockedBuffer{}
		fixture.relay.options.Logger = hclog.New(&hclog.LoggerOptions{Output: lines, Level: hclog.Info})
		fixture.relay.options.Endpoints = &slowMemory{fakeEndpoints: fixture.endpoints, first: 100, takes: 50 * time.Millisecond}
		var group sync.WaitGroup
		for i := range 6 {
			request := streamRequest()
			request.ID = fmt.Sprint(i)
			request.Prompt, request.Route.Aim = 150_000, 10*time.Second
			group.Go(func() { _ = fixture.relay.Serve(t.Context(), request, &recorder{}) })
		}
		time.Sleep(3 * time.Second)
		got := strings.Count(lines.String(), dogwoodlog.Placed)
		group.Wait()
		if want := 7; got > want {
			t.Errorf("got %d places taken, want %d", got, want)
		}
	})
}

// lockedBuffer is a log that may be read while it is written.
type lockedBuffer struct {
	mutex sync.Mutex
	bytes.Buffer
}

func (buffer *lockedBuffer) Write(data []byte) (int, error) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	return buffer.Buffer.Write(data)
}

func (buffer *lockedBuffer) String() string {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	return buffer.Buffer.String()
}

// Guards against a log that says that the caller is gone while it is there.
func TestADroppedSecondRunIsNotLoggedAsALeaver(t *testing.T) {
	story(t, testEngine, []step{pauses(firstEvents, 1300*time.Millisecond, lastEvents), responds(200, lastEvents)}, func(t *testing.T, fixture *fixture) {
		lines := &lockedBuffer{}
		fixture.relay.options.Logger = hclog.New(&hclog.LoggerOptions{Output: lines, Level: hclog.Info})
		var group sync.WaitGroup
		group.Go(func() { _ = fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer) })
		synctest.Wait()
		fixture.take(t, 3*testEngine.Slots-1)
		group.Wait()
		if got := lines.String(); strings.Contains(got, ErrCallerGone.Error()) {
			t.Errorf("got %s", got)
		}
	})
}
