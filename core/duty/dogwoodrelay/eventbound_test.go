package dogwoodrelay

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/decision/dogwoodbuffer"
	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/dogwoodfleet"
)

// endlessBody repeats a part until it is closed, with a pause after each megabyte. It counts what was read.
type endlessBody struct {
	part  []byte
	ctx   context.Context //nolint:containedctx // a connection in a test ends with its request
	mutex sync.Mutex
	read  int
	// closed is true once the connection was closed.
	closed bool
}

func (body *endlessBody) Read(target []byte) (int, error) {
	body.mutex.Lock()
	defer body.mutex.Unlock()
	if body.closed || body.ctx.Err() != nil {
		return 0, http.ErrBodyReadAfterClose
	}
	count := 0
	for count+len(body.part) <= len(target) {
		count += copy(target[count:], body.part)
	}
	if body.read/1_000_000 != (body.read+count)/1_000_000 {
		time.Sleep(time.Second / 40) // 40 MB a second
	}
	body.read += count
	return count, nil
}

func (body *endlessBody) Close() error {
	body.mutex.Lock()
	defer body.mutex.Unlock()
	body.closed = true
	return nil
}

// repeats answers with a part that is repeated without end.
func repeats(contentType, part string, bodies chan<- *endlessBody) step {
	return func(ctx context.Context) (*Response, error) {
		body := &endlessBody{part: []byte(part), ctx: ctx}
		bodies <- body
		return &Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {contentType}}, Body: body, Genuine: true}, nil
	}
}

// Guards against an answer without the end of an event that is read into memory until the daemon ends.
func TestEventWithoutEndIsBounded(t *testing.T) {
	tests := []struct{ name, part string }{
		{"lines of data", "data: 0123456789\n"},
		{"lines that are no fields", "0123456789\n"},
		{"comments", ": 0123456789\n"},
		{"one line", "0123456789"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bodies := make(chan *endlessBody, 2)
			script := []step{repeats(eventStream, test.part, bodies), responds(http.StatusOK, firstEvents+lastEvents)}
			runRelayTest(t, testEngine, script, func(t *testing.T, fixture *fixture) {
				begun := time.Now()
				err := fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer)
				if got, want := fixture.answer.body.String(), firstEvents+lastEvents; err != nil || got != want {
					t.Errorf("got %d bytes and %v, want the second endpoint's answer", len(got), err)
				}
				body := <-bodies
				if got, want := body.read, maxEventBytes+eventBufferSize; got > want || !body.closed {
					t.Errorf("got %d bytes read and a closed connection %t, want %d at most", got, body.closed, want)
				}
				if got := time.Since(begun); got > time.Second {
					t.Errorf("got the answer after %s, want it at once", got)
				}
				if got := fixture.held(); got != 0 {
					t.Errorf("got %d bytes held after the answer", got)
				}
			})
		})
	}
}

// Guards against a caller who gets no clear answer when no endpoint gives one.
func TestEventsWithoutEndAreAFailure(t *testing.T) {
	bodies := make(chan *endlessBody, 2)
	runRelayTest(t, testEngine, []step{repeats(eventStream, "data: 0\n", bodies)}, func(t *testing.T, fixture *fixture) {
		err := fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer)
		var failure *Failure
		if !errors.As(err, &failure) || failure.Run != dogwoodfleet.RunUnknown || errors.Is(err, ErrCut) {
			t.Errorf("got %v, want a failure that may have run", err)
		}
		if got := len(fixture.endpoints.sends); got != 2 {
			t.Errorf("got %d sends, want as many as the route allows", got)
		}
	})
}

// Guards against many answers without ends that together take more than the daemon may hold, or that end the answers of callers who
// read.
func TestManyEventsWithoutEndStayWithinTheDaemonsBound(t *testing.T) {
	const endpoints, daemonBound = 40, 4 << 20
	const line = "data: 0123456789\n"
	within := typed(eventStream, fallsSilent(strings.Repeat(line, maxEventBytes/2/len(line))))
	runRelayTest(t, nil, []step{pauses(firstEvents, 2*time.Second, lastEvents), within}, func(t *testing.T, fixture *fixture) {
		fixture.setEndpoints(20, nil)
		fixture.setBounds(dogwoodbuffer.Bounds{Daemon: daemonBound, Answer: 256 << 10})
		request := func(id string) *Request {
			request := plainRequest(dogwoodroute.Stream)
			request.ID, request.Route.Attempts = id, 1
			return request
		}
		sound := fixture.serve(t.Context(), request("sound"), fixture.answer)
		synctest.Wait()
		var others []*served
		for range endpoints {
			others = append(others, fixture.serve(t.Context(), request("endless"), &recorder{}))
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if got := fixture.held(); got > daemonBound || got < daemonBound/2 {
			t.Errorf("got %d bytes held, want what the endpoints have sent, %d at most", got, daemonBound)
		}
		if err := sound.wait(); err != nil || !bytes.Equal(fixture.answer.body.Bytes(), []byte(firstEvents+lastEvents)) {
			t.Errorf("got %q and %v from the sound endpoint, want its whole answer", fixture.answer.body.String(), err)
		}
		for _, other := range others {
			var failure *Failure
			if err := other.wait(); !errors.As(err, &failure) {
				t.Errorf("got %v, want a failure", err)
			}
		}
	})
}
