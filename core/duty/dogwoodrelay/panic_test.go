package dogwoodrelay

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/dogwoodfleet"
)

// panickingEndpoints panics in one call of one of its methods.
type panickingEndpoints struct {
	*fakeEndpoints
	method string
	// at is the number of the call that panics, counted from 1.
	at    int64
	calls atomic.Int64
}

func (panicking *panickingEndpoints) enter(method string) {
	if method == panicking.method && panicking.calls.Add(1) == panicking.at {
		panic("odd request")
	}
}

func (panicking *panickingEndpoints) Send(ctx context.Context, endpointRequest *EndpointRequest) (*Response, error) {
	panicking.enter("Send")
	return panicking.fakeEndpoints.Send(ctx, endpointRequest)
}

func (panicking *panickingEndpoints) Reserve(ctx context.Context, endpoint dogwoodfleet.Endpoint, ticket string, tokens int, lease time.Duration) error {
	panicking.mutex.Lock()
	_, renewed := panicking.reservations[string(endpoint.ID)+"/"+ticket]
	panicking.mutex.Unlock()
	if renewed {
		panicking.enter("Renew")
	} else {
		panicking.enter("Reserve")
	}
	return panicking.fakeEndpoints.Reserve(ctx, endpoint, ticket, tokens, lease)
}

func (panicking *panickingEndpoints) Release(ctx context.Context, endpoint dogwoodfleet.Endpoint, ticket string) error {
	panicking.enter("Release")
	return panicking.fakeEndpoints.Release(ctx, endpoint, ticket)
}

func (panicking *panickingEndpoints) Check(ctx context.Context, endpoint dogwoodfleet.Endpoint) error {
	panicking.enter("Check")
	return panicking.fakeEndpoints.Check(ctx, endpoint)
}

// panickingSecondPlacement panics at each placement but the first.
type panickingSecondPlacement struct {
	places
	calls atomic.Int64
}

func (panicking *panickingSecondPlacement) Place(now time.Time, placementRequest *dogwoodpacking.PlacementRequest) (dogwoodpacking.Placement, dogwoodpacking.Refusal) {
	if panicking.calls.Add(1) > 1 {
		panic("odd request")
	}
	return panicking.places.Place(now, placementRequest)
}

// Guards against a daemon that crashes, with all its requests, because work for one request panics outside that
// request's goroutine. The engine has only paused, so the request is served.
func TestPanicBesideARequestEndsOnlyItsWork(t *testing.T) {
	short := streamRequest
	patient := func() *Request {
		request := streamRequest()
		request.Route.Pause = 750 * time.Millisecond
		return request
	}
	joint := func() *Request {
		request := streamRequest()
		request.Prompt, request.Route.Aim, request.Route.Pause = 150_000, 10*time.Second, 750*time.Millisecond
		return request
	}
	tests := []struct {
		name    string
		request func() *Request
		method  string
		at      int64
	}{
		{"the send of a second run", short, "Send", 2},
		{"the placement of a second run", short, "Place", 2},
		{"the reservation of a second run", joint, "Reserve", 2},
		{"a question whether the engine is alive", patient, "Check", 1},
		{"a renewal of memory", joint, "Renew", 1},
		{"a question before a renewal", joint, "Check", 1},
		{"the release of memory", joint, "Release", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			paused := delayed(2*time.Second, pauses(firstEvents, 3500*time.Millisecond, lastEvents))
			runRelayTest(t, testEngine, []step{paused}, func(t *testing.T, fixture *fixture) {
				fixture.setEndpoints(8, testEngine)
				panicking := &panickingEndpoints{fakeEndpoints: fixture.endpoints, method: test.method, at: test.at}
				options := fixture.relay.options
				options.Endpoints = panicking
				if test.method == "Place" {
					options.Places = &panickingSecondPlacement{places: places{fixture.board}}
				}
				relay := New(options)
				err := relay.Serve(t.Context(), test.request(), fixture.answer)
				relay.Wait()
				if got, want := fixture.answer.body.String(), firstEvents+lastEvents; err != nil || got != want {
					t.Errorf("got %v and %q, want the whole answer", err, got)
				}
				if test.method != "Place" && panicking.calls.Load() < test.at {
					t.Errorf("got %d calls of %s, want one that panics", panicking.calls.Load(), test.method)
				}
				fixture.takeSlots(t, 8*testEngine.Slots)
			})
		})
	}
}
