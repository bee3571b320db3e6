package dogwoodrelay

import (
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// darkEngineTests are the moments at which the primary engine of a joint prompt may stop responding.
var darkEngineTests = []struct {
	name string
	// sent is what the caller has received when the engine stops.
	sent string
}{
	{"before the first event", ""},
	{"in the middle of the answer", firstEvents},
}

// Guards against memory that stays reserved at a helper for as long as its prompt's dead primary engine is waited
// for. The helper is healthy, and nobody else can use that memory.
func TestMemoryOfADarkEngineLapses(t *testing.T) {
	const darkAfter, freeWithin = 250 * time.Millisecond, 4 * time.Second
	for _, test := range darkEngineTests {
		t.Run(test.name, func(t *testing.T) {
			runDarkEngineTest(t, test.sent, darkAfter, func(t *testing.T, fixture *fixture) {
				time.Sleep(darkAfter)
				fixture.endpoints.mutex.Lock()
				ticket := fixture.endpoints.sends[0].helpers[0].Ticket
				fixture.endpoints.mutex.Unlock()
				time.Sleep(freeWithin)
				fixture.endpoints.mutex.Lock()
				defer fixture.endpoints.mutex.Unlock()
				for key, end := range fixture.endpoints.leases {
					if strings.HasSuffix(key, "/"+ticket) && time.Now().Before(end) {
						t.Errorf("got memory %q reserved %s after its engine stopped, want it free", key, freeWithin)
					}
				}
			})
		})
	}
}

// Guards against a caller that waits several times the predicted time for an engine that is dead, when
// another one could serve it.
func TestAPromptLeavesADarkEngine(t *testing.T) {
	const darkAfter, leftWithin = 250 * time.Millisecond, 4 * time.Second
	for _, test := range darkEngineTests {
		t.Run(test.name, func(t *testing.T) {
			runDarkEngineTest(t, test.sent, darkAfter, func(t *testing.T, fixture *fixture) {
				time.Sleep(darkAfter + leftWithin)
				fixture.endpoints.mutex.Lock()
				defer fixture.endpoints.mutex.Unlock()
				if got := len(fixture.endpoints.sends); got < 2 {
					t.Errorf("got %d sends within %s, want another one", got, leftWithin)
				}
			})
		})
	}
}

// Guards against a prompt that moves from an engine that prefills for long, and answers when asked, to another
// one that has to begin anew.
func TestAPromptStaysAtAnEngineThatResponds(t *testing.T) {
	slow := *testEngine
	slow.TokensPerSecond = 20_000
	late := delayed(8*time.Second, responds(200, firstEvents+lastEvents))
	runRelayTest(t, &slow, []step{late}, func(t *testing.T, fixture *fixture) {
		request := streamRequest()
		request.Prompt, request.Route.Aim = 50_000, 10*time.Second
		if err := fixture.relay.Serve(t.Context(), request, fixture.answer); err != nil {
			t.Errorf("got %v, want the answer", err)
		}
		if got := len(fixture.endpoints.sends); got != 1 {
			t.Errorf("got %d sends, want one", got)
		}
	})
}

// Guards against a prompt that waits several times its predicted time for a dead engine, although no memory of
// helpers tells its daemon so.
func TestAPromptOfOneEngineLeavesItWhenDark(t *testing.T) {
	slow := *testEngine
	slow.TokensPerSecond = 20_000
	runRelayTest(t, &slow, []step{fallsSilent(""), responds(200, firstEvents+lastEvents)}, func(t *testing.T, fixture *fixture) {
		fixture.endpoints.darkFrom = func(endpoint dogwoodfleet.EndpointID) time.Time {
			fixture.endpoints.mutex.Lock()
			defer fixture.endpoints.mutex.Unlock()
			if fixture.endpoints.sends[0].endpoint == endpoint {
				return time.Now()
			}
			return time.Now().Add(time.Hour)
		}
		request := streamRequest()
		request.Prompt, request.Route.Aim = 50_000, 10*time.Second
		start := time.Now()
		err := fixture.relay.Serve(t.Context(), request, fixture.answer)
		if got, want := time.Since(start), 3*time.Second; err != nil || got > want {
			t.Errorf("got %v after %s, want the answer within %s", err, got, want)
		}
	})
}

// runDarkEngineTest serves a prompt that needs several slow engines and calls body beside it. The prompt's
// primary engine stops after darkAfter.
func runDarkEngineTest(t *testing.T, sent string, darkAfter time.Duration, body func(t *testing.T, fixture *fixture)) {
	t.Helper()
	slow := *testEngine
	slow.TokensPerSecond = 20_000
	runRelayTest(t, &slow, []step{fallsSilent(sent)}, func(t *testing.T, fixture *fixture) {
		fixture.setEndpoints(8, &slow)
		dark := time.Now().Add(darkAfter)
		fixture.endpoints.darkFrom = func(endpoint dogwoodfleet.EndpointID) time.Time {
			fixture.endpoints.mutex.Lock()
			defer fixture.endpoints.mutex.Unlock()
			if fixture.endpoints.sends[0].endpoint == endpoint {
				return dark
			}
			return dark.Add(time.Hour)
		}
		request := streamRequest()
		request.Prompt, request.Route.Aim, request.Route.Pause = 150_000, 10*time.Second, 1500*time.Millisecond
		request.Deadline = time.Now().Add(15 * time.Second)
		var group sync.WaitGroup
		group.Go(func() {
			var failure *Failure
			if err := fixture.relay.Serve(t.Context(), request, fixture.answer); err == nil || errors.As(err, &failure) && failure.Run == dogwoodfleet.NotRun {
				t.Errorf("got %v, want a failure that may have run: no engine answers", err)
			}
		})
		defer group.Wait()
		body(t, fixture)
	})
}
