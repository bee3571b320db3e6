package dogwoodrelay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/dogwoodfleet"
)

// asksForBackoff returns a step that turns a request away and asks for a back-off.
func asksForBackoff(status int, backoff time.Duration, err error) step {
	return func(ctx context.Context) (*Response, error) {
		response, sendErr := notRun(status)(ctx)
		response.Backoff, response.BackoffError = backoff, err
		response.OtherInstance = status == http.StatusMisdirectedRequest
		return response, sendErr
	}
}

// Guards against callers that wait until their time is over at a pool whose endpoints all ask for a back-off, and against refusals
// that bring them back together, before the first endpoint takes requests.
func TestBackoffOfAllEndpointsRefusesAtOnce(t *testing.T) {
	const backoff = 20 * time.Second
	runRelayTest(t, nil, []step{asksForBackoff(http.StatusServiceUnavailable, backoff, nil)}, func(t *testing.T, fixture *fixture) {
		waits := map[time.Duration]bool{}
		for range 5 {
			began := time.Now()
			failure := failureOf(t, fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Idempotent), &recorder{}))
			if failure.Reason != dogwoodfleet.ReasonLimit || failure.Run != dogwoodfleet.NotRun || time.Since(began) > 0 {
				t.Errorf("got %+v after %s, want a refusal at once", failure, time.Since(began))
			}
			if failure.RetryAfter < backoff || failure.RetryAfter > backoff+2*backoffSpread {
				t.Errorf("got a wait of %s, want one until after the back-off", failure.RetryAfter)
			}
			waits[failure.RetryAfter] = true
		}
		if got := len(fixture.endpoints.sends); got != 3 {
			t.Errorf("got %d sends, want one to each of three endpoints", got)
		}
		if len(waits) < 2 {
			t.Errorf("got waits %v, want them spread", waits)
		}
	})
}

// Guards against requests that wait in the queue until their time is over after the last endpoint has asked for a back-off.
func TestWaitingRequestIsRefusedWhenAllAskForBackoff(t *testing.T) {
	runRelayTest(t, nil, []step{responds(http.StatusOK, "x")}, func(t *testing.T, fixture *fixture) {
		fixture.setEndpoints(1, nil)
		fixture.takeSlots(t, 6)
		var group sync.WaitGroup
		began := time.Now()
		group.Go(func() {
			failure := failureOf(t, fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Idempotent), &recorder{}))
			if failure.RetryAfter < time.Minute-time.Second || time.Since(began) > 200*time.Millisecond {
				t.Errorf("got %+v after %s, want a refusal as soon as all ask for a back-off", failure, time.Since(began))
			}
		})
		time.Sleep(100 * time.Millisecond)
		fixture.board.Backoff(time.Now(), &dogwoodfleet.Endpoint{ID: "a"}, time.Now().Add(time.Minute))
		group.Wait()
	})
}

// Guards against a back-off that is short enough to be waited for and costs a refusal.
func TestShortBackoffIsWaitedFor(t *testing.T) {
	const backoff = 300 * time.Millisecond
	steps := []step{asksForBackoff(http.StatusServiceUnavailable, backoff, nil), responds(http.StatusOK, "x")}
	runRelayTest(t, nil, steps, func(t *testing.T, fixture *fixture) {
		fixture.setEndpoints(1, nil)
		began := time.Now()
		if err := fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Idempotent), fixture.answer); err != nil {
			t.Fatal(err)
		}
		if got := time.Since(began); got < backoff || got > backoff+100*time.Millisecond {
			t.Errorf("got the answer after %s, want it soon after the back-off of %s", got, backoff)
		}
	})
}

// backoffLoad is a burst of calls at a pool of which all endpoints have asked for a back-off.
type backoffLoad struct {
	calls   int
	pause   time.Duration // between two calls
	backoff time.Duration
	// warm is the number of calls that were answered before.
	warm int
	// rank returns the rank of a call; nil for 0.
	rank func(number int) int
}

// callResult is how a call ended, and when.
type callResult struct {
	err  error
	took time.Duration
	at   time.Time
}

// run sends the calls and returns their results by number, and when the back-off ends.
func (load *backoffLoad) run(t *testing.T, fixture *fixture) (results []callResult, until time.Time) {
	t.Helper()
	for range load.warm {
		if err := fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Idempotent), &recorder{}); err != nil {
			t.Fatal(err)
		}
	}
	until = time.Now().Add(load.backoff)
	for _, id := range []dogwoodfleet.EndpointID{"a", "b", "c"} {
		fixture.board.Backoff(time.Now(), &dogwoodfleet.Endpoint{ID: id}, until)
	}
	results = make([]callResult, load.calls)
	var group sync.WaitGroup
	for number := range load.calls {
		group.Go(func() {
			request := plainRequest(dogwoodroute.Idempotent)
			request.ID = fmt.Sprint("call-", number)
			if load.rank != nil {
				request.Rank = load.rank(number)
			}
			began := time.Now()
			err := fixture.relay.Serve(t.Context(), request, &recorder{})
			results[number] = callResult{err: err, took: time.Since(began), at: time.Now()}
		})
		time.Sleep(load.pause)
	}
	group.Wait()
	return results, until
}

// Load: calls that wait for 1.2 s, and three endpoints that take one call each at the end of a back-off and another one 167 ms
// later; a call runs for 400 ms. Guards against calls that wait for the back-off and are refused after it, since the calls before them
// get all slots that open in their time, and against refusing a call that would have got one.
func TestCallsBehindTheFirstSlotsAfterBackoffsAreRefusedAtOnce(t *testing.T) {
	const runTime, refusalTime = 400 * time.Millisecond, 50 * time.Millisecond
	tests := []struct {
		name string
		load backoffLoad
		// isTurnedAway is true if an endpoint turns the first try away, whose run shows nothing of how long others hold their slots.
		isTurnedAway bool
		// wantAnswered is the number of calls that get slots, and wantLater that of calls that are refused later than at once,
		// since others overtake them.
		wantAnswered, wantLater int
	}{
		{"the first slots", backoffLoad{calls: 40, pause: time.Millisecond, backoff: 1100 * time.Millisecond, warm: 1}, false, 3, 0},
		{"a try was turned away before", backoffLoad{calls: 40, pause: time.Millisecond, backoff: 1100 * time.Millisecond, warm: 1}, true, 3, 0},
		{"the second slots too", backoffLoad{calls: 40, pause: time.Millisecond, backoff: 960 * time.Millisecond, warm: 1}, false, 6, 0},
		{"more urgent calls come", backoffLoad{calls: 40, pause: time.Millisecond, backoff: 1100 * time.Millisecond, warm: 1, rank: func(number int) int {
			return max(0, 10-number/2)
		}}, false, 3, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			script := []step{delayed(runTime, responds(http.StatusOK, "x"))}
			served := map[int]bool{}
			unknown := test.load
			unknown.warm = 0 // without a run that has ended, nothing is known of slots that are used again
			runRelayTest(t, nil, script, func(t *testing.T, fixture *fixture) {
				results, _ := unknown.run(t, fixture)
				for number, result := range results {
					served[number] = result.err == nil
				}
			})
			if test.isTurnedAway {
				script = append([]step{notRun(http.StatusServiceUnavailable)}, script...)
			}
			runRelayTest(t, nil, script, func(t *testing.T, fixture *fixture) {
				results, until := test.load.run(t, fixture)
				answered, later := 0, 0
				for number, result := range results {
					if result.err == nil {
						answered++
						continue
					}
					if served[number] {
						t.Errorf("call %d: got %v, want an answer as without the refusals", number, result.err)
					}
					failure := failureOf(t, result.err)
					if failure.Reason != dogwoodfleet.ReasonLimit || failure.Run != dogwoodfleet.NotRun {
						t.Errorf("call %d: got %+v, want it not run", number, failure)
					}
					if left := until.Sub(result.at); failure.RetryAfter < left || failure.RetryAfter > left+2*backoffSpread {
						t.Errorf("call %d: got a wait of %s, want one until after the back-off, which ends in %s", number, failure.RetryAfter, left)
					}
					if result.took > 0 {
						later++
					}
					if result.took > refusalTime {
						t.Errorf("call %d: got a refusal after %s, want one within %s", number, result.took, refusalTime)
					}
				}
				if answered != test.wantAnswered || later != test.wantLater {
					t.Errorf("got %d calls answered and %d refused later than at once, want %d and %d", answered, later, test.wantAnswered, test.wantLater)
				}
			})
		})
	}
}

// backoffAfterPlacement lets an endpoint ask for a back-off as soon as a request was placed there for the first time.
type backoffAfterPlacement struct {
	places
	asked bool
}

func (places *backoffAfterPlacement) Place(now time.Time, request *dogwoodpacking.PlacementRequest) (dogwoodpacking.Placement, dogwoodpacking.Refusal) {
	placement, refusal := places.places.Place(now, request)
	if refusal == dogwoodpacking.Placed && !places.asked {
		places.asked = true
		places.Backoff(now, &placement.Endpoint.Endpoint, now.Add(time.Minute))
	}
	return placement, refusal
}

// Guards against a request that reaches an endpoint backed off since it was placed there before that asked.
func TestPlacedRequestIsPlacedAgainForBackoff(t *testing.T) {
	runRelayTest(t, nil, []step{responds(http.StatusOK, "x")}, func(t *testing.T, fixture *fixture) {
		backedOff := &backoffAfterPlacement{places: places{fixture.board}}
		fixture.relay.options.Places, fixture.relay.queue.places = backedOff, backedOff
		if err := fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Idempotent), fixture.answer); err != nil {
			t.Fatal(err)
		}
		for _, sent := range fixture.endpoints.sends {
			if !fixture.board.IsOpen(time.Now(), &dogwoodfleet.Endpoint{ID: sent.endpoint}) {
				t.Errorf("got a send to %s, which had asked for a back-off", sent.endpoint)
			}
		}
	})
}

// Guards against a back-off that another endpoint at the address asked for, or one that can't be read and is logged each time.
func TestOnlyReadableBackoffOfTheEndpointIsKept(t *testing.T) {
	tests := []struct {
		name  string
		step  step
		want  int
		lines int
	}{
		{"turned away", asksForBackoff(http.StatusServiceUnavailable, time.Minute, nil), 1, 0},
		{"another instance", asksForBackoff(http.StatusMisdirectedRequest, time.Minute, nil), 0, 0},
		{"an unreadable one", asksForBackoff(http.StatusServiceUnavailable, 0, errors.New("no number")), 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, nil, []step{test.step}, func(t *testing.T, fixture *fixture) {
				var lines strings.Builder
				fixture.relay.options.Logger = hclog.New(&hclog.LoggerOptions{Output: &lines, Level: hclog.Warn})
				fixture.setEndpoints(1, nil)
				for range 3 {
					_ = fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Once), &recorder{}) // all are turned away
				}
				if got := fixture.board.CountBackedOff(time.Now()); got != test.want {
					t.Errorf("got %d endpoints backed off, want %d", got, test.want)
				}
				if got := strings.Count(lines.String(), "can't be read"); got != test.lines {
					t.Errorf("got %d lines, want %d: %s", got, test.lines, &lines)
				}
			})
		})
	}
}

// Guards against an endpoint that says in some of its answers that it leaves and is not heard, or one that is taken out for
// what another endpoint at its address has said.
func TestLeavingIsReadFromEachAnswer(t *testing.T) {
	tests := []struct {
		status int
		notRun bool
		want   int
	}{
		{http.StatusOK, false, 2},
		{http.StatusInternalServerError, false, 2},
		{http.StatusServiceUnavailable, true, 2},
		{http.StatusMisdirectedRequest, true, 3},
	}
	for _, test := range tests {
		t.Run(http.StatusText(test.status), func(t *testing.T) {
			leaves := func(context.Context) (*Response, error) {
				response, err := responds(test.status, "x")(t.Context())
				response.Leaving, response.NotRun, response.OtherInstance = true, test.notRun, test.status == http.StatusMisdirectedRequest
				return response, err
			}
			runRelayTest(t, nil, []step{leaves, responds(http.StatusOK, "x")}, func(t *testing.T, fixture *fixture) {
				_ = fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Once), fixture.answer) // some steps fail
				if got, _ := fixture.board.Count(); got != test.want {
					t.Errorf("got %d endpoints in force, want %d", got, test.want)
				}
			})
		})
	}
}

// Guards against an endpoint that is left out for long after its back-off, as if it had failed: it gets its even share again.
func TestBackoffIsNoFailure(t *testing.T) {
	const backoff = time.Second
	runRelayTest(t, nil, []step{asksForBackoff(http.StatusServiceUnavailable, backoff, nil), responds(http.StatusOK, "x")}, func(t *testing.T, fixture *fixture) {
		fixture.setEndpoints(2, nil)
		if err := fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Idempotent), fixture.answer); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * backoff)
		asked, count := fixture.endpoints.sends[0].endpoint, 0
		const requests = 100
		for range requests {
			if err := fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Idempotent), &recorder{}); err != nil {
				t.Fatal(err)
			}
		}
		for _, sent := range fixture.endpoints.sends[2:] {
			if sent.endpoint == asked {
				count++
			}
		}
		if count < requests/4 {
			t.Errorf("got %d of %d requests at the endpoint after its back-off, want about half", count, requests)
		}
	})
}

// Guards against a further run of a request at an endpoint that has asked for a back-off, or said that it leaves, while the
// run before was under way.
func TestFurtherRunsAvoidClosedEndpoints(t *testing.T) {
	firstRuns := []struct {
		name  string
		first step
	}{
		{"silent", fallsSilent(firstEvents)},
		{"breaks off", pauses(firstEvents, 2*time.Second, "id: 3\nda")},
	}
	closings := []struct {
		name  string
		close func(board *dogwoodpacking.Board, endpoint *dogwoodfleet.Endpoint)
	}{
		{"back-off", func(board *dogwoodpacking.Board, endpoint *dogwoodfleet.Endpoint) {
			board.Backoff(time.Now(), endpoint, time.Now().Add(time.Minute))
		}},
		{"leaving", func(board *dogwoodpacking.Board, endpoint *dogwoodfleet.Endpoint) { board.Leave(time.Now(), endpoint) }},
	}
	for _, firstRun := range firstRuns {
		for _, closing := range closings {
			t.Run(firstRun.name+", "+closing.name, func(t *testing.T) {
				runRelayTest(t, testEngine, []step{firstRun.first, responds(http.StatusOK, lastEvents)}, func(t *testing.T, fixture *fixture) {
					const endpoints = 8
					fixture.setEndpoints(endpoints, testEngine)
					open := map[dogwoodfleet.EndpointID]bool{}
					time.AfterFunc(100*time.Millisecond, func() {
						sent := fixture.endpoints.sent()
						open[sent[0]] = true
						for id := range endpoints {
							endpoint := &dogwoodfleet.Endpoint{ID: dogwoodfleet.EndpointID(rune('a' + id))}
							if len(open) < 2 {
								open[endpoint.ID] = true
							}
							if !open[endpoint.ID] {
								closing.close(fixture.board, endpoint)
							}
						}
					})
					if err := fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer); err != nil {
						t.Fatal(err)
					}
					sent := fixture.endpoints.sent()
					if len(sent) < 2 {
						t.Fatalf("got %d sends, want a further run", len(sent))
					}
					for _, endpoint := range sent {
						if !open[endpoint] {
							t.Errorf("got a send to %s, want one only to those that take requests", endpoint)
						}
					}
				})
			})
		}
	}
}

// outAfterPlacement takes an endpoint out of force, or away, as soon as a request was placed there for the first time.
type outAfterPlacement struct {
	places
	fixture *fixture
	gone    bool
	out     dogwoodfleet.EndpointID
}

func (places *outAfterPlacement) Place(now time.Time, request *dogwoodpacking.PlacementRequest) (dogwoodpacking.Placement, dogwoodpacking.Refusal) {
	placement, refusal := places.places.Place(now, request)
	if refusal != dogwoodpacking.Placed || places.out != "" {
		return placement, refusal
	}
	places.out = placement.Endpoint.ID
	var endpoints []dogwoodpacking.Endpoint
	for _, id := range []dogwoodfleet.EndpointID{"a", "b", "c"} {
		if places.gone && id == places.out {
			continue
		}
		endpoints = append(endpoints, dogwoodpacking.Endpoint{Endpoint: dogwoodfleet.Endpoint{ID: id, Service: "s", InForce: id != places.out}, Slots: 4})
	}
	places.fixture.board.SetEndpoints(endpoints)
	return placement, refusal
}

// Guards against a request that reaches an endpoint which the store says leaves, or is gone, since the request was placed there.
func TestPlacedRequestIsPlacedAgainIfItsEndpointLeaves(t *testing.T) {
	tests := []struct {
		name string
		gone bool
	}{
		{name: "out of force"},
		{name: "gone", gone: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, nil, []step{responds(http.StatusOK, "x")}, func(t *testing.T, fixture *fixture) {
				out := &outAfterPlacement{places: places{fixture.board}, fixture: fixture, gone: test.gone}
				fixture.relay.options.Places, fixture.relay.queue.places = out, out
				if err := fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Idempotent), fixture.answer); err != nil {
					t.Fatal(err)
				}
				if got := fixture.endpoints.sent(); len(got) != 1 || got[0] == out.out {
					t.Errorf("got sends to %v, want one to another endpoint than %s, which left", got, out.out)
				}
			})
		})
	}
}
