package dogwoodrelay

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/dogwoodfleet"
)

// Load: each of ten engines writes three urgent answers, whose pauses a prompt of 60,000 tokens would stretch. Guards against such a
// prompt of a less urgent rank that is sent there, that gives up while its caller still waits, or that waits although it can't end.
func TestLessUrgentPromptWaitsWhileItCanEnd(t *testing.T) {
	const never = time.Hour
	tests := []struct {
		name string
		// timeLimit is the request's, urgentFor how long the urgent answers take.
		timeLimit, urgentFor time.Duration
		wantAfter            time.Duration
		wantRefusal          string
	}{
		{"urgent answers end", 15 * time.Second, 6 * time.Second, 6 * time.Second, ""},
		{"urgent answers don't end", 15 * time.Second, never, 7500 * time.Millisecond, "needed for more urgent requests"},
		{"it can't end in time", 5 * time.Second, never, 0, "can't be answered in time"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engine := *testEngine
			engine.TokensPerSecond = 10_000
			runRelayTest(t, &engine, []step{delayed(10*time.Millisecond, responds(http.StatusOK, firstEvents))}, func(t *testing.T, fixture *fixture) {
				const engines, answersEach = 10, 3
				fixture.setEndpoints(engines, &engine)
				for i := range engines * answersEach {
					work := dogwoodpacking.Work{
						ID: dogwoodpacking.WorkID(fmt.Sprint("urgent", i)), Holder: "peer", Service: "s", Endpoint: dogwoodfleet.EndpointID(rune('a' + i%engines)),
						Prompt: 5000, Tokens: 6000, Pause: 20 * time.Millisecond, Writing: true, Begun: time.Now(), Until: time.Now().Add(never),
					}
					fixture.board.Put(time.Now(), work)
					end := time.AfterFunc(test.urgentFor, func() { fixture.board.Remove(work.ID) })
					defer end.Stop()
				}
				request := streamRequest()
				request.Rank, request.Prompt, request.Deadline = 2, 60_000, time.Now().Add(test.timeLimit)
				request.Route.Aim, request.Route.Pause = 8*time.Second, time.Second
				err, took := fixture.relay.Serve(t.Context(), request, &recorder{}), time.Since(request.Arrived)
				if took < test.wantAfter || took > test.wantAfter+100*time.Millisecond {
					t.Errorf("got the outcome after %s, want it after %s", took, test.wantAfter)
				}
				if test.wantRefusal == "" {
					if err != nil {
						t.Errorf("got %v, want an answer", err)
					}
					return
				}
				failure := &Failure{}
				if !errors.As(err, &failure) || failure.Reason != dogwoodfleet.ReasonLimit || failure.Run != dogwoodfleet.NotRun || !strings.Contains(failure.Detail, test.wantRefusal) {
					t.Errorf("got %v, want a refusal that has not run, as %q", err, test.wantRefusal)
				}
				if got := len(fixture.endpoints.sent()); got != 0 {
					t.Errorf("got %d sends, want none", got)
				}
			})
		})
	}
}

// Load: each engine prefills prompts for ten seconds, and the caller of a stream leaves after two. Guards against a request that is sent
// at the end of its wait although its first event would come after its caller has left.
func TestPromptThatIsTooLateForItsCallerIsNotSent(t *testing.T) {
	runRelayTest(t, testEngine, []step{delayed(10*time.Millisecond, responds(http.StatusOK, firstEvents))}, func(t *testing.T, fixture *fixture) {
		now := time.Now()
		for _, endpoint := range []dogwoodfleet.EndpointID{"a", "b", "c"} {
			fixture.board.Put(now, dogwoodpacking.Work{
				ID: dogwoodpacking.WorkID("prefill" + endpoint), Holder: "peer", Service: "s", Endpoint: endpoint, Prompt: 5000, Tokens: 6000,
				Reading: 10 * time.Second, Begun: now, Until: now.Add(time.Minute),
			})
		}
		request := streamRequest()
		err, took := fixture.relay.Serve(t.Context(), request, &recorder{}), time.Since(now)
		failure := &Failure{}
		if !errors.As(err, &failure) || failure.Reason != dogwoodfleet.ReasonLimit || failure.Run != dogwoodfleet.NotRun || took > 2*time.Second {
			t.Errorf("got %v after %s, want a refusal within 2 s that has not run", err, took)
		}
		if got := len(fixture.endpoints.sent()); got != 0 {
			t.Errorf("got %d sends, want none", got)
		}
	})
}
