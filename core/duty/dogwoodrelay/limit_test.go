package dogwoodrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/dogwoodfleet"
)

// names returns a step that answers with a status and what the endpoint says about its limit.
func names(status int, perSecond float64) step {
	return func(context.Context) (*Response, error) {
		return &Response{
			Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x")), Genuine: true,
			NotRun: status == http.StatusServiceUnavailable, OtherInstance: status == http.StatusMisdirectedRequest,
			Limit: dogwoodpacking.NamedLimit{Named: true, PerSecond: perSecond},
		}, nil
	}
}

func unreadableLimit(ctx context.Context) (*Response, error) {
	response, err := responds(http.StatusOK, "x")(ctx)
	response.LimitError = errors.New("no number")
	return response, err
}

// Guards against a limit that is read from some answers only, or from one that another endpoint gave.
func TestLimitOfEachAnswerIsRecorded(t *testing.T) {
	tests := []struct {
		name string
		step step
		want int
	}{
		{"an answer", names(http.StatusOK, 2), 1},
		{"a failure", names(http.StatusInternalServerError, 2), 1},
		{"not begun", names(http.StatusServiceUnavailable, 2), 1},
		{"another instance", names(http.StatusMisdirectedRequest, 2), 0},
		{"no limit", responds(http.StatusOK, "x"), 0},
		{"an unreadable one", unreadableLimit, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, nil, []step{test.step, responds(http.StatusOK, "x")}, func(t *testing.T, fixture *fixture) {
				_ = fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Once), fixture.answer) // some steps fail
				if got := len(fixture.board.Limits()); got != test.want {
					t.Errorf("got %d limits, want %d", got, test.want)
				}
			})
		})
	}
}

// Guards against a log line for each answer of an endpoint whose limit can't be read.
func TestUnreadableLimitIsLoggedOnce(t *testing.T) {
	runRelayTest(t, nil, []step{unreadableLimit}, func(t *testing.T, fixture *fixture) {
		var lines strings.Builder
		fixture.relay.options.Logger = hclog.New(&hclog.LoggerOptions{Output: &lines, Level: hclog.Warn})
		fixture.setEndpoints(1, nil)
		for range 5 {
			if err := fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Once), &recorder{}); err != nil {
				t.Fatal(err)
			}
		}
		if got := strings.Count(lines.String(), "limit can't be read"); got != 1 {
			t.Errorf("got %d lines, want 1: %s", got, &lines)
		}
	})
}

// Guards against callers that wait until their time is over at a pool whose endpoints all name limits: what the limits
// leave no place for is refused at once, with a wait that the limits allow.
func TestLimitsOfAllEndpointsRefuseAtOnce(t *testing.T) {
	runRelayTest(t, nil, []step{names(http.StatusOK, 0.1)}, func(t *testing.T, fixture *fixture) {
		for _, endpoint := range []dogwoodfleet.EndpointID{"a", "b", "c"} {
			fixture.board.SetLimit(time.Now(), time.Now(), endpoint, dogwoodpacking.NamedLimit{Named: true, PerSecond: 0.1})
		}
		waits := map[time.Duration]bool{}
		for range 5 {
			began := time.Now()
			failure := failureOf(t, fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Idempotent), &recorder{}))
			if failure.Reason != dogwoodfleet.ReasonLimit || failure.Run != dogwoodfleet.NotRun || time.Since(began) > 0 {
				t.Errorf("got %+v after %s, want a refusal at once", failure, time.Since(began))
			}
			// Three endpoints take a request each 3.3 s together.
			if failure.RetryAfter < time.Second || failure.RetryAfter > maxLimitRetryAfter {
				t.Errorf("got a wait of %s, want some seconds", failure.RetryAfter)
			}
			waits[failure.RetryAfter] = true
		}
		if len(waits) < 2 {
			t.Errorf("got waits %v, want them spread", waits)
		}
	})
}
