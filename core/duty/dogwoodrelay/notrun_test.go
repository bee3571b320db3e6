package dogwoodrelay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/dogwoodfleet"
)

// startsOf returns the starts that count for a request's rank.
func (fixture *fixture) startsOf(request *Request) int {
	for _, use := range fixture.board.RankUses(time.Now(), "s") {
		if use.Rank == request.Route.Urgency(request.Rank) {
			return use.Starts
		}
	}
	return 0
}

// Load: endpoints that can't be reached, that decline or have no free memory, and prompts that are displaced or too late, while less
// urgent ranks wait. Guards against a rank that becomes due late because of placements that never ran, and against one that is due
// early because requests that broke off don't count.
func TestPlacementsThatNeverRanDoNotCount(t *testing.T) {
	long := func(prompt int, aim time.Duration) func() *Request {
		return func() *Request {
			request := streamRequest()
			request.Prompt, request.Route.Aim = prompt, aim
			return request
		}
	}
	plain := func() *Request { return plainRequest(dogwoodroute.Idempotent) }
	// putPeerWork records a long prompt of another daemon at each of the endpoints.
	putPeerWork := func(fixture *fixture, endpoints ...dogwoodfleet.EndpointID) {
		for _, endpoint := range endpoints {
			now := time.Now()
			fixture.board.Put(now, dogwoodpacking.Work{
				ID: dogwoodpacking.WorkID("a" + string(endpoint)), Holder: "peer", Service: "s", Endpoint: endpoint, Prompt: 50_000, Tokens: 50_500,
				Reading: 20 * time.Second, Begun: now, Until: now.Add(time.Minute),
			})
		}
	}
	tests := []struct {
		name    string
		request func() *Request
		step    step
		prepare func(fixture *fixture)
		// placed is called once the request was placed.
		placed func(fixture *fixture)
		// tries is the number of requests that are sent, want that of starts that count.
		tries, want int
	}{
		{"no endpoint is reached", plain, fails(&NotSent{Cause: errors.New("refused")}), nil, nil, maxUnsentTries, 0},
		{"the endpoints decline", plain, notRun(http.StatusServiceUnavailable), nil, nil, maxTries, 0},
		{"another endpoint answers", plain, func(context.Context) (*Response, error) {
			return &Response{Status: http.StatusOK, OtherInstance: true, Body: http.NoBody}, nil
		}, nil, nil, maxTries, 0},
		{"a helper has no free memory, and it runs elsewhere", long(250_000, 10*time.Second), responds(http.StatusOK, firstEvents), func(fixture *fixture) {
			fixture.endpoints.noFreeMemory["b"] = true
		}, nil, 1, 1},
		{"it is displaced, and runs elsewhere", long(50_000, time.Second), responds(http.StatusOK, firstEvents+lastEvents), func(fixture *fixture) {
			fixture.board.SetSenders(dogwoodpacking.Senders{Count: 2})
		}, func(fixture *fixture) {
			putPeerWork(fixture, fixture.board.WorkExcept("peer")[0].Endpoint)
		}, 1, 1},
		{"its endpoint asks for a back-off before it is sent, and it runs elsewhere", long(50_000, time.Second), responds(http.StatusOK, firstEvents+lastEvents), func(fixture *fixture) {
			fixture.board.SetSenders(dogwoodpacking.Senders{Count: 2})
		}, func(fixture *fixture) {
			endpoint := dogwoodfleet.Endpoint{ID: fixture.board.WorkExcept("peer")[0].Endpoint}
			fixture.board.Backoff(time.Now(), &endpoint, time.Now().Add(time.Second))
		}, 1, 1},
		{"it is given up as too late", long(2_000, 300*time.Millisecond), responds(http.StatusOK, firstEvents), func(fixture *fixture) {
			putPeerWork(fixture, "a", "b", "c")
		}, nil, 0, 0},
		{"it breaks off", plain, fails(&Broken{Cause: errors.New("reset")}), nil, nil, 2, 2},
		{"it is answered", streamRequest, responds(http.StatusOK, firstEvents+lastEvents), nil, nil, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, testEngine, []step{test.step}, func(t *testing.T, fixture *fixture) {
				if test.prepare != nil {
					test.prepare(fixture)
				}
				request := test.request()
				request.Rank = 3
				var group sync.WaitGroup
				group.Go(func() { _ = fixture.relay.Serve(t.Context(), request, fixture.answer) }) // most of them fail
				if test.placed != nil {
					synctest.Wait()
					test.placed(fixture)
				}
				group.Wait()
				if got := len(fixture.endpoints.sends); got != test.tries {
					t.Errorf("got %d sends, want %d", got, test.tries)
				}
				if got := fixture.startsOf(request); got != test.want {
					t.Errorf("got %d starts that count, want %d", got, test.want)
				}
			})
		})
	}
}
