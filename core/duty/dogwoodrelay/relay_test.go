package dogwoodrelay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/dogwoodfleet"
)

func failureOf(t *testing.T, err error) *Failure {
	t.Helper()
	var failure *Failure
	if !errors.As(err, &failure) {
		t.Fatalf("got %v, want a *Failure", err)
	}
	return failure
}

// The connection to the server breaks before a reservation is answered. Whether it ran is unknown,
// and a second send could make the reservation twice.
func TestACallThatMayHaveRunIsNotSentAgain(t *testing.T) {
	runRelayTest(t, nil, []step{fails(&Broken{Cause: errors.New("reset")}), responds(200, "second")}, func(t *testing.T, fixture *fixture) {
		err := fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Once), fixture.answer)
		if got, want := failureOf(t, err).Run, dogwoodfleet.RunUnknown; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
		if got := len(fixture.endpoints.sends); got != 1 {
			t.Errorf("got %d sends, want 1", got)
		}
	})
}

// The server of a call is gone or reports that it did not begin. The call did not run, so another
// server gets it and the caller doesn't notice.
func TestACallThatDidNotRunIsSentElsewhere(t *testing.T) {
	tests := []struct {
		name  string
		first step
	}{
		{"not sent", fails(&NotSent{Cause: errors.New("refused")})},
		{"not begun", notRun(http.StatusServiceUnavailable)},
		{"another instance", notRun(http.StatusMisdirectedRequest)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, nil, []step{test.first, responds(200, "held")}, func(t *testing.T, fixture *fixture) {
				if err := fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Once), fixture.answer); err != nil {
					t.Fatal(err)
				}
				if got := fixture.answer.body.String(); got != "held" {
					t.Errorf("got %q, want the second server's answer", got)
				}
				if sends := fixture.endpoints.sends; len(sends) != 2 || sends[0].endpoint == sends[1].endpoint {
					t.Errorf("got sends %v, want two to different servers", sends)
				}
			})
		})
	}
}

// All endpoints of a data centre have just died, and since they are idle they are preferred. Each
// refuses the connection at once, which costs a millisecond. The request must reach the one
// endpoint that is alive.
func TestRequestSkipsEndpointsThatRefuseConnections(t *testing.T) {
	const dead = 9
	var script []step
	for range dead {
		script = append(script, fails(&NotSent{Cause: errors.New("refused")}))
	}
	runRelayTest(t, nil, append(script, responds(200, "held")), func(t *testing.T, fixture *fixture) {
		fixture.setEndpoints(dead+1, nil)
		if err := fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Once), fixture.answer); err != nil {
			t.Fatal(err)
		}
		if got := len(fixture.endpoints.sends); got != dead+1 {
			t.Errorf("got %d sends, want %d", got, dead+1)
		}
	})
}

// Load: an engine ends, and its entry stays for some seconds. Guards against requests that are sent there one after the other, and
// against several that are sent there at once when it is no longer avoided.
func TestEngineThatCannotBeReachedGetsOneRequest(t *testing.T) {
	refused := fails(&NotSent{Cause: errors.New("refused")})
	runRelayTest(t, testEngine, []step{refused, delayed(50*time.Millisecond, responds(200, firstEvents))}, func(t *testing.T, fixture *fixture) {
		var group sync.WaitGroup
		serve := func(id int) {
			if err := fixture.relay.Serve(t.Context(), requestOf("", id), &recorder{}); err != nil {
				t.Errorf("request %d: got %v, want an answer", id, err)
			}
		}
		for id := range 6 {
			serve(id)
		}
		sent := fixture.endpoints.sent()
		dead := sent[0]
		if slices.Contains(sent[1:], dead) {
			t.Errorf("got %v sent, want none at %q after the first", sent, dead)
		}
		time.Sleep(avoidUnreachableFor)
		for id := range 6 {
			group.Go(func() { serve(6 + id) })
		}
		group.Wait()
		later := fixture.endpoints.sent()[len(sent):]
		if got := len(slices.DeleteFunc(later, func(endpoint dogwoodfleet.EndpointID) bool { return endpoint != dead })); got > 1 {
			t.Errorf("got %d requests at once at an engine that has not answered since, want 1 at most", got)
		}
	})
}

// A server accepts connections and never answers. Calls that must not be repeated wait there
// until their deadline; the next calls must not be sent there too.
func TestServerThatNeverAnswersIsAvoided(t *testing.T) {
	hangs := func(ctx context.Context) (*Response, error) {
		<-ctx.Done()
		return nil, &Broken{Cause: ctx.Err()}
	}
	runRelayTest(t, nil, []step{hangs, responds(200, "held")}, func(t *testing.T, fixture *fixture) {
		_ = fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Once), fixture.answer) // it hangs
		silent := fixture.endpoints.sends[0].endpoint
		for range 6 {
			if err := fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Once), &recorder{}); err != nil {
				t.Fatal(err)
			}
		}
		for _, sent := range fixture.endpoints.sends[1:] {
			if sent.endpoint == silent {
				t.Error("a call was sent to the server that never answers")
			}
		}
	})
}

// All servers report that they did not begin. The failure then reports "not run" and when to
// retry. After a try that may have run, it must not report "not run".
func TestFailureReportsNotRunOnlyIfTrue(t *testing.T) {
	runRelayTest(t, nil, []step{notRun(http.StatusServiceUnavailable)}, func(t *testing.T, fixture *fixture) {
		failure := failureOf(t, fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Once), fixture.answer))
		if failure.Run != dogwoodfleet.NotRun || failure.RetryAfter <= 0 {
			t.Errorf("got %s and a wait of %s, want %s and some", failure.Run, failure.RetryAfter, dogwoodfleet.NotRun)
		}
	})
	runRelayTest(t, nil, []step{fails(&Broken{Cause: errors.New("reset")}), notRun(http.StatusServiceUnavailable)}, func(t *testing.T, fixture *fixture) {
		failure := failureOf(t, fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Idempotent), fixture.answer))
		if got, want := failure.Run, dogwoodfleet.RunUnknown; got != want {
			t.Errorf("after a try that may have run: got %s, want %s", got, want)
		}
	})
}

// A daemon has had no confirmation from the store for too long, so a key may have been withdrawn.
// No request that needs a key may be sent, not even once.
func TestStaleKeysBlockSends(t *testing.T) {
	runRelayTest(t, nil, []step{responds(200, "x")}, func(t *testing.T, fixture *fixture) {
		fixture.stale.Store(true)
		failure := failureOf(t, fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Idempotent), fixture.answer))
		if failure.Reason != dogwoodfleet.ReasonStore || failure.Run != dogwoodfleet.NotRun {
			t.Errorf("got %v, want a failure because of the store", failure)
		}
		public := plainRequest(dogwoodroute.Idempotent)
		public.Keyed = false
		if err := fixture.relay.Serve(t.Context(), public, fixture.answer); err != nil {
			t.Errorf("a request without a key: got %v, want an answer", err)
		}
		if got := len(fixture.endpoints.sends); got != 1 {
			t.Errorf("got %d sends, want only the public one", got)
		}
	})
}

// A success without the server's seal, a body that breaks off and a server error are not answers. An
// idempotent call is retried, and its caller gets the whole answer of the second server.
func TestInvalidAnswersAreRetried(t *testing.T) {
	forged := func(context.Context) (*Response, error) {
		response, err := responds(200, "forged")(t.Context())
		response.Genuine = false
		return response, err
	}
	for _, first := range []step{forged, breaksOff("half"), responds(500, "failed")} {
		runRelayTest(t, nil, []step{first, responds(200, "whole")}, func(t *testing.T, fixture *fixture) {
			if err := fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Idempotent), fixture.answer); err != nil {
				t.Fatal(err)
			}
			if got := fixture.answer.body.String(); got != "whole" {
				t.Errorf("got %q, want the whole answer", got)
			}
		})
	}
}

// Guards against a caller that is denied its request by what answers at an endpoint's address without being one: a client error
// without the endpoint's seal is no answer, and may stand for a run.
func TestUnsealedDenialIsNoAnswer(t *testing.T) {
	tests := []struct {
		name    string
		request func() *Request
		status  int
		genuine bool
		// want is the status that the caller gets, 0 for a failure of unknown outcome.
		want int
	}{
		{name: "call that may be repeated", request: func() *Request { return plainRequest(dogwoodroute.Idempotent) }, status: 404, want: 200},
		{name: "call that may not", request: func() *Request { return plainRequest(dogwoodroute.Once) }, status: 404},
		{name: "stream", request: streamRequest, status: 401, want: 200},
		{name: "redirect", request: func() *Request { return plainRequest(dogwoodroute.Idempotent) }, status: 302, want: 200},
		{name: "an endpoint's own", request: func() *Request { return plainRequest(dogwoodroute.Once) }, status: 404, genuine: true, want: 404},
		{name: "an endpoint's own to a stream", request: streamRequest, status: 404, genuine: true, want: 404},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			denies := func(ctx context.Context) (*Response, error) {
				response, err := responds(test.status, "denied")(ctx)
				response.Genuine = test.genuine
				return response, err
			}
			runRelayTest(t, nil, []step{denies, responds(200, "id: 1\ndata: a\n\n")}, func(t *testing.T, fixture *fixture) {
				err := fixture.relay.Serve(t.Context(), test.request(), fixture.answer)
				if got := fixture.answer.status; got != test.want {
					t.Errorf("got status %d, error %v, want status %d", got, err, test.want)
				}
				var failure *Failure
				if test.want == 0 && (!errors.As(err, &failure) || failure.Run != dogwoodfleet.RunUnknown) {
					t.Errorf("got error %v, want a failure of unknown outcome", err)
				}
			})
		})
	}
}

// Guards against a failure without the endpoint's seal that is passed on: as a 503 it would promise that a request has not run which may have.
// Refusals that say so, and an endpoint's own failures, count as before.
func TestUnsealedFailureIsNoAnswer(t *testing.T) {
	once := func() *Request { return plainRequest(dogwoodroute.Once) }
	repeatable := func() *Request { return plainRequest(dogwoodroute.Idempotent) }
	unresumable := func() *Request {
		request := streamRequest()
		request.Route.Resumable = false
		return request
	}
	unsealed := func(status int) step {
		return func(ctx context.Context) (*Response, error) {
			response, err := responds(status, "failed")(ctx)
			response.Genuine = false
			return response, err
		}
	}
	answers := responds(http.StatusOK, "id: 1\ndata: a\n\n")
	type testCase struct {
		name    string
		request func() *Request
		steps   []step
		// wantStatus is the status that the caller gets, 0 for a failure whose run is wantRun.
		wantStatus int
		wantRun    dogwoodfleet.RunState
		wantSends  int
	}
	tests := []testCase{
		{"503 that says it has not run", once, []step{notRun(503), answers}, 200, "", 2},
		{"503 that says it has not run, from all", once, []step{notRun(503)}, 0, dogwoodfleet.NotRun, maxTries},
		{"503 that says it has not run, then one that does not", once, []step{notRun(503), unsealed(503)}, 0, dogwoodfleet.RunUnknown, 2},
		{"an endpoint's own 503", once, []step{responds(503, "failed"), answers}, 503, "", 1},
		{"an endpoint's own 503, from all", repeatable, []step{responds(503, "failed")}, 503, "", 2},
		{"an endpoint's own 503 after an unsealed one", repeatable, []step{unsealed(503), responds(503, "failed")}, 503, "", 2},
	}
	for _, status := range []int{408, 429, 500, 502, 503, 504} {
		tests = append(tests,
			testCase{fmt.Sprintf("%d to a call that may not be repeated", status), once, []step{unsealed(status), answers}, 0, dogwoodfleet.RunUnknown, 1},
			testCase{fmt.Sprintf("%d to a stream that may not be resumed", status), unresumable, []step{unsealed(status), answers}, 0, dogwoodfleet.RunUnknown, 1},
			testCase{fmt.Sprintf("%d to a call that may be repeated", status), repeatable, []step{unsealed(status), answers}, 200, "", 2},
			testCase{fmt.Sprintf("%d to a stream that may be resumed", status), streamRequest, []step{unsealed(status), answers}, 200, "", 2},
			testCase{fmt.Sprintf("%d from all to a call that may be repeated", status), repeatable, []step{unsealed(status)}, 0, dogwoodfleet.RunUnknown, 2},
			testCase{fmt.Sprintf("%d from all to a stream that may be resumed", status), streamRequest, []step{unsealed(status)}, 0, dogwoodfleet.RunUnknown, 2},
		)
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, nil, test.steps, func(t *testing.T, fixture *fixture) {
				err := fixture.relay.Serve(t.Context(), test.request(), fixture.answer)
				if got := fixture.answer.status; got != test.wantStatus {
					t.Errorf("got status %d, error %v, want status %d", got, err, test.wantStatus)
				}
				var failure *Failure
				if test.wantStatus == 0 && (!errors.As(err, &failure) || failure.Run != test.wantRun) {
					t.Errorf("got error %v, want a failure whose run is %s", err, test.wantRun)
				}
				if got := len(fixture.endpoints.sent()); got != test.wantSends {
					t.Errorf("got %d sends, want %d", got, test.wantSends)
				}
			})
		})
	}
}

// Both servers answer an idempotent call with a failure. The caller must get it unchanged.
func TestServerFailureIsForwarded(t *testing.T) {
	runRelayTest(t, nil, []step{responds(500, "failed")}, func(t *testing.T, fixture *fixture) {
		if err := fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Idempotent), fixture.answer); err != nil {
			t.Fatal(err)
		}
		if got := fixture.answer.status; got != 500 {
			t.Errorf("got status %d, want the server's 500", got)
		}
		if got := len(fixture.endpoints.sends); got != 2 {
			t.Errorf("got %d sends, want as many as the route allows", got)
		}
	})
}

// Guards against a failure that is forwarded only in part because it is too large to be held.
func TestLargeFailureIsForwardedWhole(t *testing.T) {
	large := strings.Repeat("x", 2*maxHeldBytes)
	fails := func(ctx context.Context) (*Response, error) {
		response, err := responds(500, large)(ctx)
		response.Body = &closableBody{Reader: response.Body}
		return response, err
	}
	runRelayTest(t, nil, []step{fails}, func(t *testing.T, fixture *fixture) {
		if err := fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Idempotent), fixture.answer); err != nil {
			t.Fatal(err)
		}
		if got, want := fixture.answer.body.Len(), len(large); fixture.answer.status != 500 || got != want {
			t.Errorf("got status %d and %d bytes, want 500 and %d", fixture.answer.status, got, want)
		}
	})
}

const (
	firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	lastEvents  = "id: 3\ndata: c\n\n"
)

// A stream breaks off in the middle of an event. It resumes at another engine after the last whole
// event, and the caller gets one answer with the first engine's headers.
func TestBrokenStreamResumesWithoutGap(t *testing.T) {
	script := []step{breaksOff(firstEvents + "id: 3\nda"), responds(200, "id: 2\ndata: b\n\n"+lastEvents)}
	runRelayTest(t, testEngine, script, func(t *testing.T, fixture *fixture) {
		if err := fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer); err != nil {
			t.Fatal(err)
		}
		if got, want := fixture.answer.body.String(), firstEvents+lastEvents; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
		if got := fixture.answer.header.Get("X-From"); got != "first" {
			t.Errorf("got headers of %q, want the first engine's", got)
		}
		if got := fixture.endpoints.sends[1].lastEvent; got != "2" {
			t.Errorf("got a second send after event %q, want 2", got)
		}
	})
}

// The engine of a stream is gone, but its connection stays open. Silence is the only sign of it, and
// the caller must not wait longer than it tolerates.
func TestSilentStreamMovesToAnotherEngine(t *testing.T) {
	for _, silent := range []step{fallsSilent(""), fallsSilent(firstEvents)} {
		runRelayTest(t, testEngine, []step{silent, responds(200, firstEvents+lastEvents)}, func(t *testing.T, fixture *fixture) {
			start := time.Now()
			if err := fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer); err != nil {
				t.Fatal(err)
			}
			if got, want := fixture.answer.body.String(), firstEvents+lastEvents; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			if got := time.Since(start); got > 2*time.Second {
				t.Errorf("got the rest after %s, want it within 2 s", got)
			}
		})
	}
}

// An event arrives at the moment at which the silence limit passes, and the caller reads it slowly. The
// limit then passes a second time before the stream moves, which must not crash the daemon.
func TestSilenceLimitPassesTwice(t *testing.T) {
	script := []step{pauses("", minFirstEventLimit, firstEvents+lastEvents)}
	runRelayTest(t, testEngine, script, func(t *testing.T, fixture *fixture) {
		slow := &slowCaller{recorder: fixture.answer, delay: 2 * time.Second}
		var group sync.WaitGroup
		var err error
		group.Go(func() { err = fixture.relay.Serve(t.Context(), streamRequest(), slow) })
		synctest.Wait()
		fixture.takeSlots(t, 3*testEngine.Slots-1)
		group.Wait()
		if got, want := fixture.answer.body.String(), firstEvents+lastEvents; err != nil || got != want {
			t.Errorf("got %q and %v, want %q", got, err, want)
		}
		if got := len(fixture.endpoints.sends); got != 1 {
			t.Errorf("got %d sends, want 1", got)
		}
	})
}

// slowCaller delays each write.
type slowCaller struct {
	*recorder
	delay time.Duration
}

func (slow *slowCaller) Write(data []byte) error {
	time.Sleep(slow.delay)
	return slow.recorder.Write(data)
}

// An engine is busy with other streams and delays one. Moving that stream would prefill its prompt
// again at an engine that is just as busy.
func TestAStreamStaysAtABusyEngine(t *testing.T) {
	slow := delayed(3*time.Second, responds(200, firstEvents))
	runRelayTest(t, testEngine, []step{slow}, func(t *testing.T, fixture *fixture) {
		ctx, cancel := context.WithCancel(t.Context())
		var others sync.WaitGroup
		others.Go(func() {
			for ctx.Err() == nil {
				for _, id := range []dogwoodfleet.EndpointID{"a", "b", "c"} {
					fixture.relay.liveness.record(time.Now(), id)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
		if err := fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer); err != nil {
			t.Error(err)
		}
		cancel()
		others.Wait()
		if got := len(fixture.endpoints.sends); got != 1 {
			t.Errorf("got %d sends, want 1", got)
		}
	})
}

// A stream has begun and no engine is left to resume it. It must end in such a way that the caller
// sees that it is incomplete.
func TestStreamThatCannotResumeIsCut(t *testing.T) {
	runRelayTest(t, testEngine, []step{breaksOff(firstEvents)}, func(t *testing.T, fixture *fixture) {
		err := fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer)
		if !errors.Is(err, ErrCut) {
			t.Errorf("got %v, want ErrCut", err)
		}
		if got := len(fixture.endpoints.sends); got != 2 {
			t.Errorf("got %d sends, want as many as the route allows", got)
		}
	})
}

// A caller disconnects while its answer is sent. The engine's connection must be closed at once,
// and its slot must be free for other requests.
func TestDisconnectedCallerFreesItsSlot(t *testing.T) {
	runRelayTest(t, testEngine, []step{fallsSilent(firstEvents)}, func(t *testing.T, fixture *fixture) {
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		var err error
		group.Go(func() { err = fixture.relay.Serve(ctx, streamRequest(), fixture.answer) })
		synctest.Wait()
		cancel()
		group.Wait()
		if !errors.Is(err, ErrCallerGone) {
			t.Errorf("got %v, want ErrCallerGone", err)
		}
		fixture.takeSlots(t, 3*testEngine.Slots)
	})
}

// A server does not answer in the time that the route allows. The caller gets the failure at that
// time and not at its own, later deadline.
func TestTheTimeLimitEndsTheAttempt(t *testing.T) {
	hangs := func(ctx context.Context) (*Response, error) {
		<-ctx.Done()
		return nil, &Broken{Cause: ctx.Err()}
	}
	runRelayTest(t, nil, []step{hangs}, func(t *testing.T, fixture *fixture) {
		request := plainRequest(dogwoodroute.Once)
		failure := failureOf(t, fixture.relay.Serve(t.Context(), request, fixture.answer))
		if failure.Reason != dogwoodfleet.ReasonDeadline || failure.Run != dogwoodfleet.RunUnknown {
			t.Errorf("got %v, want the deadline with an unknown outcome", failure)
		}
		if got := time.Since(request.Deadline); got != 0 {
			t.Errorf("got the outcome %s after the deadline, want it then", got)
		}
	})
}

// A prompt of two and a half times an engine's memory needs three engines. The memory is released
// whatever the outcome, and none stays reserved if one engine has none free.
func TestMemoryIsReleased(t *testing.T) {
	tests := []struct {
		name   string
		script []step
		refuse dogwoodfleet.EndpointID
	}{
		{"after the answer", []step{responds(200, firstEvents)}, ""},
		{"after a failure", []step{fails(&Broken{Cause: errors.New("reset")})}, ""},
		{"when one has none free", []step{responds(200, firstEvents)}, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, testEngine, test.script, func(t *testing.T, fixture *fixture) {
				if test.refuse != "" {
					fixture.endpoints.noFreeMemory[test.refuse] = true
				}
				request := streamRequest()
				request.Prompt, request.Route.Aim = 250_000, 10*time.Second
				_ = fixture.relay.Serve(t.Context(), request, fixture.answer) // the memory is what counts here
				fixture.relay.Wait()
				if got := len(fixture.endpoints.reservations); got != 0 {
					t.Errorf("got %d reservations left, want none", got)
				}
			})
		})
	}
}

// Guards against a helper that gets no ticket, or that of another try. It couldn't find the memory
// that was reserved for the prompt.
func TestHelpersGetTheirTickets(t *testing.T) {
	runRelayTest(t, testEngine, []step{responds(200, firstEvents)}, func(t *testing.T, fixture *fixture) {
		request := streamRequest()
		request.Prompt, request.Route.Aim = 150_000, 10*time.Second
		if err := fixture.relay.Serve(t.Context(), request, fixture.answer); err != nil {
			t.Fatal(err)
		}
		helpers := fixture.endpoints.sends[0].helpers
		if len(helpers) != 1 || !strings.HasPrefix(helpers[0].Ticket, "t-r1.") {
			t.Errorf("got helpers %v, want one with a ticket of this try", helpers)
		}
	})
}

// Guards against a prompt that no set of engines can hold and that waits in the queue until its
// deadline.
func TestOversizedPromptIsRejectedAtOnce(t *testing.T) {
	runRelayTest(t, testEngine, []step{responds(200, firstEvents)}, func(t *testing.T, fixture *fixture) {
		request := streamRequest()
		request.Prompt = 100_000_000
		failure := failureOf(t, fixture.relay.Serve(t.Context(), request, fixture.answer))
		if failure.Reason != dogwoodfleet.ReasonTooLarge || time.Since(request.Arrived) != 0 {
			t.Errorf("got %v after %s, want too large at once", failure, time.Since(request.Arrived))
		}
	})
}

// The retry budget of a service is used up while its servers fail. Further failures are returned to
// the callers instead of doubling the load.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	runRelayTest(t, nil, []step{fails(&Broken{Cause: errors.New("reset")})}, func(t *testing.T, fixture *fixture) {
		const calls = 100
		for range calls {
			_ = fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Idempotent), &recorder{}) // all fail
		}
		if got, most := len(fixture.endpoints.sends), calls+calls/5+10; got > most {
			t.Errorf("got %d sends for %d calls, want at most %d", got, calls, most)
		}
	})
}
