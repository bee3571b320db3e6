package dogwoodrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/dogwoodfleet"
)

// pauses returns a step that is silent between two parts of its answer.
func pauses(before string, pause time.Duration, after string) step {
	return func(ctx context.Context) (*Response, error) {
		reader, writer := io.Pipe()
		var group sync.WaitGroup
		group.Go(func() {
			_, _ = io.WriteString(writer, before) // the reader may have left
			select {
			case <-time.After(pause):
				_, _ = io.WriteString(writer, after)
				_ = writer.Close()
			case <-ctx.Done():
				_ = writer.CloseWithError(ctx.Err())
			}
		})
		return &Response{Status: http.StatusOK, Header: http.Header{}, Genuine: true, Body: reader}, nil
	}
}

// Guards against an answer that is cut because a healthy endpoint paused and no other could take over.
func TestPausedStreamContinuesIfNoneTakesOver(t *testing.T) {
	const pause, whole = 4 * time.Second, firstEvents + lastEvents
	noBudget := func(fixture *fixture) {
		fixture.relay.options.Retries = newRetryBudget(0, 0)
	}
	full := func(t *testing.T, fixture *fixture) { t.Helper(); fixture.takeSlots(t, 3*testEngine.Slots-1) }
	stale := func(_ *testing.T, fixture *fixture) { fixture.stale.Store(true) }
	dropped := func(_ *testing.T, fixture *fixture) { fixture.setEndpoints(0, testEngine) }
	tests := []struct {
		name       string
		prepare    func(fixture *fixture)
		afterStart func(t *testing.T, fixture *fixture)
		other      step
	}{
		{"the retry budget is used up", noBudget, nil, responds(200, whole)},
		{"all other endpoints are full", nil, full, responds(200, whole)},
		{"a new operators' text no longer names its service", nil, dropped, responds(200, whole)},
		{"keys are no longer confirmed", nil, stale, responds(200, whole)},
		{"the other endpoint can't be reached", nil, nil, fails(&NotSent{Cause: errors.New("refused")})},
		{"the other endpoint does not begin", nil, nil, notRun(http.StatusServiceUnavailable)},
		{"the other endpoint breaks off", nil, nil, fails(&Broken{Cause: errors.New("reset")})},
		{"the other endpoint fails", nil, nil, responds(500, "failed")},
		{"the other endpoint rejects the request", nil, nil, responds(400, "rejected")},
		{"the other endpoint is also silent", nil, nil, fallsSilent("")},
	}
	for _, prefix := range []string{"", firstEvents} {
		for _, test := range tests {
			t.Run(fmt.Sprintf("%s, %d bytes before the silence", test.name, len(prefix)), func(t *testing.T) {
				script := []step{pauses(prefix, pause, whole[len(prefix):]), test.other}
				runRelayTest(t, testEngine, script, func(t *testing.T, fixture *fixture) {
					if test.prepare != nil {
						test.prepare(fixture)
					}
					var group sync.WaitGroup
					var err error
					group.Go(func() { err = fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer) })
					synctest.Wait()
					if test.afterStart != nil {
						test.afterStart(t, fixture)
					}
					group.Wait()
					if err != nil {
						t.Errorf("got %v, want the answer", err)
					}
					if got := fixture.answer.body.String(); got != whole {
						t.Errorf("got %q, want %q", got, whole)
					}
				})
			})
		}
	}
}

// Guards against a caller that waits for seconds because the endpoints that are tried next are also gone.
func TestSilentStreamSkipsEndpointsThatDoNotBegin(t *testing.T) {
	const dead = 6
	unreachable, full := fails(&NotSent{Cause: errors.New("refused")}), notRun(http.StatusServiceUnavailable)
	for _, other := range []struct {
		name  string
		step  step
		limit int
	}{{"they can't be reached", unreachable, dead}, {"they do not begin", full, maxTries - 2}} {
		t.Run(other.name, func(t *testing.T) {
			script := append([]step{fallsSilent(firstEvents)}, slices.Repeat([]step{other.step}, other.limit)...)
			script = append(script, responds(200, lastEvents))
			runRelayTest(t, testEngine, script, func(t *testing.T, fixture *fixture) {
				fixture.setEndpoints(dead+2, testEngine)
				start := time.Now()
				if err := fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer); err != nil {
					t.Fatal(err)
				}
				if got, limit := time.Since(start), minPauseLimit+100*time.Millisecond; got > limit {
					t.Errorf("got the answer after %s, want it within %s", got, limit)
				}
			})
		})
	}
}

// Guards against a failure that reports "not run" although a second run had begun.
func TestSecondRunCountsAsRun(t *testing.T) {
	late := delayed(2*time.Second, notRun(http.StatusServiceUnavailable))
	runRelayTest(t, testEngine, []step{late, fallsSilent("")}, func(t *testing.T, fixture *fixture) {
		failure := failureOf(t, fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer))
		if got, want := failure.Run, dogwoodfleet.RunUnknown; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	})
}

// Guards against a cut answer that looks complete because the next endpoint closed the connection without an answer.
func TestClosedConnectionDoesNotEndStream(t *testing.T) {
	closes := fails(&Broken{Cause: io.EOF})
	tests := []struct {
		name   string
		script []step
		want   error
	}{
		{"the second of two broken tries", []step{breaksOff(firstEvents), closes}, ErrCut},
		{"the second run, then the first", []step{pauses(firstEvents, 3*time.Second, "id: 3\nda"), closes}, ErrCut},
		{"the second run of a stream that continues", []step{pauses(firstEvents, 3*time.Second, lastEvents), closes}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, testEngine, test.script, func(t *testing.T, fixture *fixture) {
				if err := fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer); !errors.Is(err, test.want) {
					t.Errorf("got %v after %q, want %v", err, fixture.answer.body.String(), test.want)
				}
			})
		})
	}
	runRelayTest(t, testEngine, []step{closes}, func(t *testing.T, fixture *fixture) {
		if err := fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer); failureOf(t, err).Run != dogwoodfleet.RunUnknown {
			t.Errorf("got %v, want an unknown outcome", err)
		}
	})
}

// Guards against missing or duplicate events when both endpoints send the same events.
func TestFirstEndpointToSendContinuesStream(t *testing.T) {
	tests := []struct {
		name    string
		silent  time.Duration
		prefill time.Duration
	}{
		{"the silent one", 2 * time.Second, 3 * time.Second},
		{"the other one", 6 * time.Second, time.Second},
		{"both at the same moment", 2 * time.Second, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			script := []step{pauses(firstEvents, test.silent, lastEvents), pauses("", test.prefill, lastEvents)}
			runRelayTest(t, testEngine, script, func(t *testing.T, fixture *fixture) {
				start := time.Now()
				if err := fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer); err != nil {
					t.Fatal(err)
				}
				if got, want := fixture.answer.body.String(), firstEvents+lastEvents; got != want {
					t.Errorf("got %q, want %q", got, want)
				}
				if got := len(fixture.endpoints.sends); got != 2 {
					t.Errorf("got %d sends, want 2", got)
				}
				if got, limit := time.Since(start), min(test.silent, time.Second+test.prefill)+100*time.Millisecond; got > limit {
					t.Errorf("got the answer after %s, want it within %s", got, limit)
				}
				fixture.takeSlots(t, 3*testEngine.Slots)
			})
		})
	}
}

// Guards against a run that continues unused after its stream moved or its caller disconnected.
func TestSecondRunEndsWithItsStream(t *testing.T) {
	tests := []struct {
		name            string
		second          step
		disconnectAfter time.Duration
	}{
		{"the caller disconnects during prefill", pauses("", time.Minute, ""), 3 * time.Second},
		{"the caller disconnects during decoding", pauses("id: 3\ndata: c\n\n", time.Minute, ""), 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, testEngine, []step{fallsSilent(firstEvents), test.second}, func(t *testing.T, fixture *fixture) {
				ctx, disconnect := context.WithCancel(t.Context())
				timer := time.AfterFunc(test.disconnectAfter, disconnect)
				defer timer.Stop()
				if err := fixture.relay.Serve(ctx, streamRequest(), fixture.answer); !errors.Is(err, ErrCallerGone) {
					t.Errorf("got %v, want ErrCallerGone", err)
				}
				if got := len(fixture.endpoints.sends); got != 2 {
					t.Errorf("got %d sends, want 2", got)
				}
				fixture.takeSlots(t, 3*testEngine.Slots)
			})
		})
	}
}

// Guards against a stream that is cut because its first endpoint breaks off while the second one prefills.
func TestBrokenStreamContinuesWithSecondRun(t *testing.T) {
	breaks := pauses(firstEvents, 2*time.Second, "id: 3\nda")
	runRelayTest(t, testEngine, []step{breaks, pauses("", 3*time.Second, lastEvents)}, func(t *testing.T, fixture *fixture) {
		if err := fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer); err != nil {
			t.Fatal(err)
		}
		if got, want := fixture.answer.body.String(), firstEvents+lastEvents; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
		if got := len(fixture.endpoints.sends); got != 2 {
			t.Errorf("got %d sends, want 2", got)
		}
	})
}

// Guards against the failure of an idempotent call that its healthy endpoint would have answered in time.
func TestHangingCallContinuesIfNoneTakesOver(t *testing.T) {
	const hangs = 2 * time.Second
	late := delayed(hangs, responds(200, "whole"))
	tests := []struct {
		name    string
		noRetry bool
		other   step
	}{
		{"the retry budget is used up", true, responds(200, "other")},
		{"the other endpoint does not begin", false, notRun(http.StatusServiceUnavailable)},
		{"the other endpoint breaks off", false, fails(&Broken{Cause: errors.New("reset")})},
		{"the other endpoint fails", false, responds(500, "failed")},
		{"the other endpoint also hangs", false, fallsSilent("")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, nil, []step{late, test.other}, func(t *testing.T, fixture *fixture) {
				if test.noRetry {
					fixture.relay.options.Retries = newRetryBudget(0, 0)
				}
				if err := fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Idempotent), fixture.answer); err != nil {
					t.Errorf("got %v, want the answer", err)
				}
				if got, want := fixture.answer.body.String(), "whole"; got != want {
					t.Errorf("got %q, want %q", got, want)
				}
			})
		})
	}
}

// Guards against an idempotent call that waits for an endpoint that never answers although another one would.
func TestHangingCallIsAnsweredElsewhere(t *testing.T) {
	hangs := func(ctx context.Context) (*Response, error) {
		<-ctx.Done()
		return nil, &Broken{Cause: ctx.Err()}
	}
	runRelayTest(t, nil, []step{hangs, responds(200, "whole")}, func(t *testing.T, fixture *fixture) {
		request := plainRequest(dogwoodroute.Idempotent)
		if err := fixture.relay.Serve(t.Context(), request, fixture.answer); err != nil {
			t.Fatal(err)
		}
		if got, limit := time.Since(request.Arrived), hangFactor*request.Route.Aim; got > limit {
			t.Errorf("got the answer after %s, want it within %s", got, limit)
		}
	})
}

// Guards against requests that are refused while all endpoints pause, and against those that are sent by a daemon that is cut off
// for long, or although another daemon can serve them.
func TestPauseOfAllEndpointsRefusesNoRequest(t *testing.T) {
	tests := []struct {
		name                   string
		lastResort, mayBePause bool
		want                   bool // want is true if it is answered
	}{
		{name: "no other daemon can serve it", lastResort: true, mayBePause: true, want: true},
		{name: "another daemon may serve it", mayBePause: true},
		{name: "the cut is no pause", lastResort: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			late := delayed(time.Second, responds(200, "whole"))
			runRelayTest(t, nil, []step{late}, func(t *testing.T, fixture *fixture) {
				fixture.relay.options.CutOff = func() bool { return true }
				fixture.relay.options.MayBePause = func() bool { return test.mayBePause }
				request := plainRequest(dogwoodroute.Once)
				request.LastResort = test.lastResort
				err := fixture.relay.Serve(t.Context(), request, fixture.answer)
				if test.want != (err == nil) {
					t.Errorf("got %v, want answered %t", err, test.want)
				}
				if !test.want && failureOf(t, err).Reason != dogwoodfleet.ReasonNoEndpoint {
					t.Errorf("got %v, want the reason %s", err, dogwoodfleet.ReasonNoEndpoint)
				}
			})
		})
	}
}
