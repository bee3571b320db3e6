package dogwoodrelay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodenginetime"
	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodretry"
	"dogwoodmux.example/core/decision/dogwoodroute"
)

// Guards against a retry budget that shrinks by retries that reached no endpoint: the next endpoints can't be reached, or the
// first one goes on before the second one is reached.
func TestRetryThatIsNotSentIsReturned(t *testing.T) {
	unreachable := fails(&NotSent{Cause: errors.New("refused")})
	neverConnects := func(ctx context.Context) (*Response, error) {
		<-ctx.Done()
		return nil, &NotSent{Cause: ctx.Err()}
	}
	tests := []struct {
		name    string
		request func() *Request
		script  []step
	}{
		{"no further endpoint is reached", func() *Request { return plainRequest(dogwoodroute.Idempotent) }, []step{fails(&Broken{Cause: errors.New("reset")}), unreachable}},
		{"the first endpoint goes on", streamRequest, []step{pauses(firstEvents, 4*time.Second, lastEvents), neverConnects}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, testEngine, test.script, func(t *testing.T, fixture *fixture) {
				fixture.relay.options.Retries = newRetryBudget(0, 1.25)
				_ = fixture.relay.Serve(t.Context(), test.request(), fixture.answer) // one of them fails
				if got := len(fixture.endpoints.sends); got < 2 {
					t.Fatalf("got %d sends, want a further one", got)
				}
				if got := fixture.relay.RetriesLeft(); got < 1 {
					t.Errorf("got %.2f retries left, want the one that was not sent", got)
				}
			})
		})
	}
}

// Guards against retries that exceed the budget because they wait for a slot: what was earned for them lies too far back when
// they are sent, and others have been earned and sent since.
func TestRetryThatWaitsTooLongIsNotSent(t *testing.T) {
	const ratio, window = 10, 400 * time.Millisecond
	tests := []struct {
		name string
		// slots is the number of slots that are taken for two windows.
		slots, wantSends int
	}{
		{"a slot is free", 0, 2},
		{"all slots are taken for longer than a window", 3*testEngine.Slots - 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var script [2]step
			runRelayTest(t, testEngine, script[:], func(t *testing.T, fixture *fixture) {
				fixture.relay.options.Retries = newRetryBudgetOf(dogwoodretry.Terms{Ratio: ratio, Window: window})
				fixture.endpoints.script[0] = delayed(50*time.Millisecond, func(context.Context) (*Response, error) {
					fixture.takeSlots(t, test.slots)
					time.AfterFunc(2*window, func() {
						for slot := range test.slots {
							fixture.board.End(dogwoodpacking.WorkID(fmt.Sprint(slot)))
						}
					})
					return nil, &Broken{Cause: errors.New("reset")}
				})
				fixture.endpoints.script[1] = responds(http.StatusOK, "second")
				request := plainRequest(dogwoodroute.Idempotent)
				request.Route.Aim = 3 * time.Second                           // it may wait for so long
				_ = fixture.relay.Serve(t.Context(), request, fixture.answer) // one of them fails
				if got := len(fixture.endpoints.sends); got != test.wantSends {
					t.Errorf("got %d sends, want %d", got, test.wantSends)
				}
			})
		})
	}
}

// Guards against forwarded requests that are sent again without an end: a retry for another daemon was not counted.
func TestRetriesOfOtherDaemonsAreCounted(t *testing.T) {
	runRelayTest(t, nil, nil, func(t *testing.T, fixture *fixture) {
		fixture.relay.options.Retries = newRetryBudget(0, 1.25)
		request := plainRequest(dogwoodroute.Idempotent)
		for number, want := range []bool{true, false, false} {
			if got := fixture.relay.TakeRetry(request); got != want {
				t.Errorf("retry %d: got %t, want %t", number+1, got, want)
			}
		}
	})
}

// Guards against a route without attempts whose requests are sent without a bound, or never.
func TestRouteWithoutAttemptsRunsOnce(t *testing.T) {
	for _, attempts := range []int{0, -1} {
		runRelayTest(t, testEngine, []step{breaksOff(firstEvents)}, func(t *testing.T, fixture *fixture) {
			request := plainRequest(dogwoodroute.Idempotent)
			request.Route.Attempts = attempts
			err := fixture.relay.Serve(t.Context(), request, fixture.answer)
			if got, want := len(fixture.endpoints.sends), 1; err == nil || got != want {
				t.Errorf("%d attempts: got %v and %d sends, want an error and %d", attempts, err, got, want)
			}
		})
	}
}

// Guards against an engine without figures, or with odd ones, that ends the daemon or gets no requests.
func TestEngineWithoutFiguresIsUsed(t *testing.T) {
	for _, engine := range []*dogwoodenginetime.Engine{{}, {Slots: -1, MemoryTokens: -1, TokensPerSecond: -1, Chunk: -1, Stride: -1}} {
		runRelayTest(t, engine, []step{responds(200, firstEvents)}, func(t *testing.T, fixture *fixture) {
			if err := fixture.relay.Serve(t.Context(), streamRequest(), fixture.answer); err != nil || fixture.answer.body.String() != firstEvents {
				t.Errorf("%+v: got %v and %q, want the answer", *engine, err, fixture.answer.body.String())
			}
		})
	}
}
