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

// Guards against retries that start in the last moments before a daemon that shuts down ends its requests: their answers are thrown
// away, and callers wait for them in vain. Retries that still fit must start.
func TestDrainStartsNoRetryThatCannotEnd(t *testing.T) {
	const shortest, late, early = 2 * time.Second, 1900 * time.Millisecond, 20 * time.Second
	idempotent := func() *Request { return plainRequest(dogwoodroute.Idempotent) }
	once := func() *Request { return plainRequest(dogwoodroute.Once) }
	broken, unsent := fails(&Broken{Cause: errors.New("reset")}), fails(&NotSent{Cause: errors.New("refused")})
	answered := responds(http.StatusOK, "answer")
	tests := []struct {
		name    string
		request func() *Request
		first   step
		// ends is the time from the arrival until requests are ended; 0 for a daemon that doesn't shut down.
		ends      time.Duration
		wantSends int
		// wantStatus is 0 for a failure with wantReason and wantRun.
		wantStatus int
		wantReason dogwoodfleet.Reason
		wantRun    dogwoodfleet.RunState
	}{
		{name: "broke off", request: idempotent, first: broken, ends: late, wantSends: 1, wantReason: dogwoodfleet.ReasonEndpointDied, wantRun: dogwoodfleet.RunUnknown},
		{name: "did not begin", request: once, first: notRun(503), ends: late, wantSends: 1, wantReason: dogwoodfleet.ReasonShutdown, wantRun: dogwoodfleet.NotRun},
		{name: "not reached", request: once, first: unsent, ends: late, wantSends: 1, wantReason: dogwoodfleet.ReasonShutdown, wantRun: dogwoodfleet.NotRun},
		{name: "failed", request: idempotent, first: responds(http.StatusInternalServerError, "failure"), ends: late, wantSends: 1, wantStatus: http.StatusInternalServerError},
		{name: "silent", request: idempotent, first: fallsSilent("ans"), ends: late, wantSends: 1, wantReason: dogwoodfleet.ReasonShutdown, wantRun: dogwoodfleet.RunUnknown},
		{name: "silent until late", request: idempotent, first: fallsSilent("ans"), ends: late + 800*time.Millisecond, wantSends: 1, wantReason: dogwoodfleet.ReasonShutdown, wantRun: dogwoodfleet.RunUnknown},
		{name: "broke off early", request: idempotent, first: broken, ends: early, wantSends: 2, wantStatus: http.StatusOK},
		{name: "did not begin, early", request: once, first: notRun(503), ends: early, wantSends: 2, wantStatus: http.StatusOK},
		{name: "silent early", request: idempotent, first: fallsSilent("ans"), ends: early, wantSends: 2, wantStatus: http.StatusOK},
		{name: "broke off, no shutdown", request: idempotent, first: broken, wantSends: 2, wantStatus: http.StatusOK},
		{name: "the rest of a stream", request: streamRequest, first: breaksOff(firstEvents), ends: late, wantSends: 2, wantStatus: http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			second := answered
			if test.request().isStreamed() {
				second = responds(http.StatusOK, lastEvents)
			}
			runRelayTest(t, nil, []step{test.first, second}, func(t *testing.T, fixture *fixture) {
				t.Helper()
				ctx, end := context.WithCancelCause(t.Context())
				defer end(nil)
				fixture.relay.queue.recordRun("s", shortest)
				if test.ends > 0 {
					fixture.relay.Drain(time.Now().Add(test.ends))
					defer time.AfterFunc(test.ends, func() { end(ErrShutdown) }).Stop()
				}
				err := fixture.relay.Serve(ctx, test.request(), fixture.answer)
				if got := len(fixture.endpoints.sent()); got != test.wantSends {
					t.Errorf("got %d sends, want %d", got, test.wantSends)
				}
				if got := fixture.answer.status; got != test.wantStatus {
					t.Errorf("got status %d (%v), want %d", got, err, test.wantStatus)
				}
				if test.wantStatus != 0 {
					return
				}
				failure := failureOf(t, err)
				if failure.Reason != test.wantReason || failure.Run != test.wantRun {
					t.Errorf("got %v, want a failure for %s with run state %s", err, test.wantReason, test.wantRun)
				}
				if failure.Run == dogwoodfleet.NotRun && failure.RetryAfter != leavingRetryAfter {
					t.Errorf("got a wait of %s, want %s", failure.RetryAfter, leavingRetryAfter)
				}
			})
		})
	}
}

// Guards against requests that are forwarded to other daemons again in the last moments before a daemon that shuts down ends them.
func TestDrainTakesNoRetryForOtherDaemonsThatCannotEnd(t *testing.T) {
	const shortest = 2 * time.Second
	tests := []struct {
		name string
		left time.Duration // 0 for a daemon that doesn't shut down
		want bool
	}{
		{"no shutdown", 0, true},
		{"as much time as the shortest run took", shortest, true},
		{"less", shortest - time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, nil, []step{responds(http.StatusOK, "answer")}, func(t *testing.T, fixture *fixture) {
				t.Helper()
				fixture.relay.queue.recordRun("s", shortest)
				if test.left > 0 {
					fixture.relay.Drain(time.Now().Add(test.left))
				}
				if got := fixture.relay.TakeRetry(plainRequest(dogwoodroute.Idempotent)); got != test.want {
					t.Errorf("got a retry: %t, want %t", got, test.want)
				}
			})
		})
	}
}
