package dogwoodrelay

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/dogwoodfleet"
)

// Guards against a daemon that shuts down and reports its requests as left by their callers, or with a wrong run state, and
// against an answer that it cuts without a sign of that.
func TestShutdownEndsAttempt(t *testing.T) {
	var pool *fixture
	withoutEndpoints := func(then step) step {
		return func(ctx context.Context) (*Response, error) {
			pool.setEndpoints(0, nil) // the next try waits
			return then(ctx)
		}
	}
	hangs := func(ctx context.Context) (*Response, error) {
		<-ctx.Done()
		return nil, &Broken{Cause: ctx.Err()}
	}
	broken := fails(&Broken{Cause: errors.New("reset")})
	tests := []struct {
		name      string
		endpoints int
		request   func() *Request
		script    []step
		want      dogwoodfleet.RunState
		stage     Stage
		cut       bool
	}{
		{"waits", 0, func() *Request { return plainRequest(dogwoodroute.Once) }, []step{hangs}, dogwoodfleet.NotRun, StageWaiting, false},
		{"waits after an endpoint did not begin", 3, func() *Request { return plainRequest(dogwoodroute.Once) }, []step{withoutEndpoints(notRun(503))}, dogwoodfleet.NotRun, StageWaiting, false},
		{"waits after a run broke off", 3, func() *Request { return plainRequest(dogwoodroute.Idempotent) }, []step{withoutEndpoints(broken)}, dogwoodfleet.RunUnknown, StageWaiting, false},
		{"sent", 3, func() *Request { return plainRequest(dogwoodroute.Once) }, []step{hangs}, dogwoodfleet.RunUnknown, StageSent, false},
		{"a part of an answer that is held", 3, func() *Request { return plainRequest(dogwoodroute.Idempotent) }, []step{fallsSilent("half")}, dogwoodfleet.RunUnknown, StageSent, false},
		{"a stream that has begun", 3, streamRequest, []step{fallsSilent(firstEvents)}, "", StageAnswering, true},
		{"a stream that waits to go on", 3, streamRequest, []step{withoutEndpoints(breaksOff(firstEvents))}, "", StageAnswering, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, nil, test.script, func(t *testing.T, fixture *fixture) {
				t.Helper()
				pool = fixture
				fixture.setEndpoints(test.endpoints, nil)
				ctx, end := context.WithCancelCause(t.Context())
				request := test.request()
				var group sync.WaitGroup
				var err error
				group.Go(func() { err = fixture.relay.Serve(ctx, request, fixture.answer) })
				synctest.Wait()
				end(ErrShutdown)
				group.Wait()
				var failure *Failure
				switch {
				case errors.Is(err, ErrCallerGone) || test.cut != errors.Is(err, ErrCut):
					t.Errorf("got %v, want that the answer was cut: %t", err, test.cut)
				case test.cut && (fixture.answer.status != http.StatusOK || !strings.Contains(err.Error(), ErrShutdown.Error())):
					t.Errorf("got status %d and %v, want the start of the answer and the cause", fixture.answer.status, err)
				case !test.cut && (!errors.As(err, &failure) || failure.Reason != dogwoodfleet.ReasonShutdown || failure.Run != test.want || fixture.answer.status != 0):
					t.Errorf("got %v after status %d, want a failure for the shutdown with run state %q and no answer", err, fixture.answer.status, test.want)
				}
				if failure != nil && failure.RetryAfter <= 0 {
					t.Errorf("got a wait of %s, want one in which the caller can leave this daemon", failure.RetryAfter)
				}
				if request.Stage != test.stage {
					t.Errorf("got stage %q, want %q", request.Stage, test.stage)
				}
			})
		})
	}
}

// Guards against requests that wait at a daemon that shuts down although they can't be answered any more, and against a refusal of
// those that still can.
func TestDrainRefusesWhatCannotBeAnswered(t *testing.T) {
	const run, end = 2 * time.Second, 5 * time.Second
	const never, refused, answered = time.Hour, false, true
	tests := []struct {
		name string
		// drainAfter is when the drain begins, endpointAfter when there is an endpoint.
		drainAfter, endpointAfter time.Duration
		prompt                    int
		want                      bool
		after                     time.Duration
	}{
		{"until the last time at which a run can end", time.Second, never, 0, refused, end - run},
		{"at once after that time", -4 * time.Second, never, 0, refused, 0},
		{"an endpoint in time", time.Second, 2 * time.Second, 0, answered, 2 * time.Second},
		{"the answer would begin after the end", -4 * time.Second, 0, 50_000, refused, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			slow := *testEngine
			slow.TokensPerSecond = 10_000
			runRelayTest(t, &slow, []step{responds(http.StatusOK, "answer")}, func(t *testing.T, fixture *fixture) {
				t.Helper()
				if test.endpointAfter > 0 {
					fixture.setEndpoints(0, nil)
					fixture.relay.queue.recordRun("s", run)
				}
				time.Sleep(max(0, -test.drainAfter))
				began := time.Now()
				ends := began.Add(end + min(0, test.drainAfter))
				var group sync.WaitGroup
				group.Go(func() {
					time.Sleep(max(0, test.drainAfter))
					fixture.relay.Drain(ends)
				})
				if test.drainAfter < 0 {
					group.Wait()
				}
				if test.endpointAfter > 0 && test.endpointAfter < never {
					group.Go(func() {
						time.Sleep(test.endpointAfter)
						fixture.setEndpoints(3, nil)
					})
				}
				request := plainRequest(dogwoodroute.Once)
				request.Prompt, request.Deadline, request.Route.Aim = test.prompt, began.Add(time.Minute), 20*time.Second
				err := fixture.relay.Serve(t.Context(), request, fixture.answer)
				taken := time.Since(began)
				group.Wait()
				if test.want == refused {
					failure := failureOf(t, err)
					if failure.Reason != dogwoodfleet.ReasonShutdown || failure.Run != dogwoodfleet.NotRun {
						t.Errorf("got %v, want a refusal for the shutdown", err)
					}
					if failure.RetryAfter <= 0 {
						t.Errorf("got a wait of %s, want one in which the caller can leave this daemon", failure.RetryAfter)
					}
				} else if err != nil {
					t.Errorf("got %v, want an answer", err)
				}
				if taken < test.after || taken > test.after+100*time.Millisecond {
					t.Errorf("got the outcome after %s, want %s", taken, test.after)
				}
			})
		})
	}
}
