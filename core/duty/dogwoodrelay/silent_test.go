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

	"dogwoodmux.example/core/decision/dogwoodretry"
	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/dogwoodfleet"
)

// pauses is an endpoint that is silent between two parts of its answer.
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

// Guards against an answer that is cut because its sound endpoint paused and no other could go on.
func TestASilentStreamIsNotGivenUpForNothing(t *testing.T) {
	const pause, whole = 4 * time.Second, firstEvents + lastEvents
	noBudget := func(fixture *fixture) {
		fixture.relay.options.Retries = &dogwoodretry.Shared{Window: 10 * time.Second}
	}
	full := func(t *testing.T, fixture *fixture) { t.Helper(); fixture.take(t, 3*testEngine.Slots-1) }
	stale := func(_ *testing.T, fixture *fixture) { fixture.stale.Store(true) }
	dropped := func(_ *testing.T, fixture *fixture) { fixture.setEndpoints(0, testEngine) }
	tests := []struct {
		name   string
		before func(fixture *fixture)
		begun  func(t *testing.T, fixture *fixture)
		other  step
	}{
		{"the retry budget is used up", noBudget, nil, responds(200, whole)},
		{"all other endpoints are full", nil, full, responds(200, whole)},
		{"a new text no longer names its service", nil, dropped, responds(200, whole)},
		{"keys are no longer confirmed", nil, stale, responds(200, whole)},
		{"the other endpoint can't be reached", nil, nil, fails(&NotSent{Cause: errors.New("refused")})},
		{"the other endpoint does not begin", nil, nil, notRun(http.StatusServiceUnavailable)},
		{"the other endpoint breaks off", nil, nil, fails(&Broken{Cause: errors.New("reset")})},
		{"the other endpoint fails", nil, nil, responds(500, "failed")},
		{"the other endpoint rejects the request", nil, nil, responds(400, "rejected")},
		{"the other endpoint is silent, too", nil, nil, fallsSilent("")},
	}
	for _, begun := range []string{"", firstEvents} {
		for _, test := range tests {
			t.Run(fmt.Sprintf("%s, %d bytes before the silence", test.name, len(begun)), func(t *testing.T) {
				script := []step{pauses(begun, pause, whole[len(begun):]), test.other}
				story(t, testEngine, script, func(t *testing.T, fixture *fixture) {
					if test.before != nil {
						test.before(fixture)
					}
					var group sync.WaitGroup
					var err error
					group.Go(func() { err = fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer) })
					synctest.Wait()
					if test.begun != nil {
						test.begun(t, fixture)
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

// Guards against a caller that waits for seconds because the endpoints tried first are gone, too.
func TestASilentStreamPassesOverEndpointsThatDoNotBegin(t *testing.T) {
	const dead = 6
	unreachable, full := fails(&NotSent{Cause: errors.New("refused")}), notRun(http.StatusServiceUnavailable)
	for _, other := range []struct {
		name string
		step step
		most int
	}{{"they can't be reached", unreachable, dead}, {"they do not begin", full, mostTries - 2}} {
		t.Run(other.name, func(t *testing.T) {
			script := append([]step{fallsSilent(firstEvents)}, slices.Repeat([]step{other.step}, other.most)...)
			script = append(script, responds(200, lastEvents))
			story(t, testEngine, script, func(t *testing.T, fixture *fixture) {
				fixture.setEndpoints(dead+2, testEngine)
				begun := time.Now()
				if err := fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer); err != nil {
					t.Fatal(err)
				}
				if got, most := time.Since(begun), pauseLeast+100*time.Millisecond; got > most {
					t.Errorf("got the answer after %s, want it within %s", got, most)
				}
			})
		})
	}
}

// Guards against a refusal that says not run of a request whose second run was ended with it.
func TestASecondRunCountsAsRun(t *testing.T) {
	late := delayed(2*time.Second, notRun(http.StatusServiceUnavailable))
	story(t, testEngine, []step{late, fallsSilent("")}, func(t *testing.T, fixture *fixture) {
		failure := failureOf(t, fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer))
		if got, want := failure.Run, dogwoodfleet.RunUnknown; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	})
}

// Guards against a cut answer that looks whole because its next endpoint closed the connection unanswered.
func TestAConnectionThatClosesIsNoEndOfAStream(t *testing.T) {
	closes := fails(&Broken{Cause: io.EOF})
	tests := []struct {
		name   string
		script []step
		want   error
	}{
		{"the second of two broken tries", []step{breaksOff(firstEvents), closes}, ErrCut},
		{"the second run, then the first", []step{pauses(firstEvents, 3*time.Second, "id: 3\nda"), closes}, ErrCut},
		{"the second run of a stream that goes on", []step{pauses(firstEvents, 3*time.Second, lastEvents), closes}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			story(t, testEngine, test.script, func(t *testing.T, fixture *fixture) {
				if err := fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer); !errors.Is(err, test.want) {
					t.Errorf("got %v after %q, want %v", err, fixture.answer.body.String(), test.want)
				}
			})
		})
	}
	story(t, testEngine, []step{closes}, func(t *testing.T, fixture *fixture) {
		if err := fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer); failureOf(t, err).Run != dogwoodfleet.RunUnknown {
			t.Errorf("got %v, want an unknown outcome", err)
		}
	})
}

// Guards against an answer with a seam when both endpoints bring the same events.
func TestTheFirstOfTwoEndpointsGoesOn(t *testing.T) {
	tests := []struct {
		name   string
		silent time.Duration
		reads  time.Duration
	}{
		{"the silent one", 2 * time.Second, 3 * time.Second},
		{"the other one", 6 * time.Second, time.Second},
		{"both at the same moment", 2 * time.Second, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			script := []step{pauses(firstEvents, test.silent, lastEvents), pauses("", test.reads, lastEvents)}
			story(t, testEngine, script, func(t *testing.T, fixture *fixture) {
				begun := time.Now()
				if err := fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer); err != nil {
					t.Fatal(err)
				}
				if got, want := fixture.answer.body.String(), firstEvents+lastEvents; got != want {
					t.Errorf("got %q, want %q", got, want)
				}
				if got := len(fixture.endpoints.sends); got != 2 {
					t.Errorf("got %d sends, want 2", got)
				}
				if got, most := time.Since(begun), min(test.silent, time.Second+test.reads)+100*time.Millisecond; got > most {
					t.Errorf("got the answer after %s, want it within %s", got, most)
				}
				fixture.take(t, 3*testEngine.Slots)
			})
		})
	}
}

// Guards against a run that goes on unheard after its stream went on elsewhere, or after its caller left.
func TestASecondRunEndsWithItsStream(t *testing.T) {
	tests := []struct {
		name  string
		other step
		leave time.Duration
	}{
		{"the caller leaves while it reads", pauses("", time.Minute, ""), 3 * time.Second},
		{"the caller leaves while it writes", pauses("id: 3\ndata: c\n\n", time.Minute, ""), 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			story(t, testEngine, []step{fallsSilent(firstEvents), test.other}, func(t *testing.T, fixture *fixture) {
				ctx, leave := context.WithCancel(t.Context())
				timer := time.AfterFunc(test.leave, leave)
				defer timer.Stop()
				if err := fixture.relay.Serve(ctx, streamRequest(), fixture.answer); !errors.Is(err, ErrCallerGone) {
					t.Errorf("got %v, want ErrCallerGone", err)
				}
				if got := len(fixture.endpoints.sends); got != 2 {
					t.Errorf("got %d sends, want 2", got)
				}
				fixture.take(t, 3*testEngine.Slots)
			})
		})
	}
}

// Guards against a stream that ends unfinished: its first endpoint breaks off while the second one reads.
func TestAStreamThatBreaksOffIsLeftToItsSecondRun(t *testing.T) {
	breaks := pauses(firstEvents, 2*time.Second, "id: 3\nda")
	story(t, testEngine, []step{breaks, pauses("", 3*time.Second, lastEvents)}, func(t *testing.T, fixture *fixture) {
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

// Guards against a refusal of a look-up that its sound endpoint would have answered in time.
func TestAHangingCallIsNotGivenUpForNothing(t *testing.T) {
	const hangs = 2 * time.Second
	late := delayed(hangs, responds(200, "whole"))
	tests := []struct {
		name    string
		retries *dogwoodretry.Shared
		other   step
	}{
		{"the retry budget is used up", &dogwoodretry.Shared{Window: 10 * time.Second}, responds(200, "other")},
		{"the other endpoint does not begin", nil, notRun(http.StatusServiceUnavailable)},
		{"the other endpoint breaks off", nil, fails(&Broken{Cause: errors.New("reset")})},
		{"the other endpoint fails", nil, responds(500, "failed")},
		{"the other endpoint hangs, too", nil, fallsSilent("")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			story(t, nil, []step{late, test.other}, func(t *testing.T, fixture *fixture) {
				if test.retries != nil {
					fixture.relay.options.Retries = test.retries
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

// Guards against an endpoint that never answers a look-up although another one would.
func TestAHangingCallIsAnsweredElsewhere(t *testing.T) {
	hangs := func(ctx context.Context) (*Response, error) {
		<-ctx.Done()
		return nil, &Broken{Cause: ctx.Err()}
	}
	story(t, nil, []step{hangs, responds(200, "whole")}, func(t *testing.T, fixture *fixture) {
		request := plainRequest(dogwoodroute.Idempotent)
		if err := fixture.relay.Serve(t.Context(), request, fixture.answer); err != nil {
			t.Fatal(err)
		}
		if got, most := time.Since(request.Arrived), hangAims*request.Route.Aim; got > most {
			t.Errorf("got the answer after %s, want it within %s", got, most)
		}
	})
}
