package dogwoodrelay

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwoodsuspects"
)

// Load: prompts of several customers share a part under which engines end, and prompts without it are answered meanwhile. Guards against
// a relay that goes on to send prompts with the part, and against one that refuses the others.
func TestPromptWithACrashingPartIsRefused(t *testing.T) {
	const ends = 3
	var script []step
	for range ends {
		script = append(script, fails(&Broken{Cause: io.EOF}), responds(http.StatusOK, firstEvents))
	}
	runRelayTest(t, testEngine, append(script, responds(http.StatusOK, firstEvents)), func(t *testing.T, fixture *fixture) {
		fixture.setEndpoints(2*ends, testEngine)
		fixture.endpoints.condition = dogwoodsuspects.Ended
		requests := 0
		serve := func(parts ...dogwoodfleet.PromptPart) error {
			requests++
			request := requestOf(dogwoodfleet.Customer(fmt.Sprint("customer", requests)), requests)
			request.Digest, request.Parts, request.Route.Attempts = dogwoodfleet.Digest{byte(requests)}, parts, 1
			return fixture.relay.Serve(t.Context(), request, &recorder{})
		}
		for range ends {
			if err := serve("s/m/good", "s/m/bad"); err == nil {
				t.Fatal("got an answer to a prompt under which its engine ended, want a failure")
			}
			sent := fixture.endpoints.sent()
			fixture.board.Avoid(time.Now(), sent[len(sent)-1], time.Hour) // it has ended
			if err := serve("s/m/good"); err != nil {
				t.Fatalf("got %v for a prompt without the part, want an answer", err)
			}
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(dogwoodsuspect.SettleTime)
		sent := len(fixture.endpoints.sent())
		failure := failureOf(t, serve("s/m/good", "s/m/bad"))
		if failure.Reason != dogwoodfleet.ReasonSuspect || failure.Run != dogwoodfleet.NotRun || failure.RetryAfter <= 0 {
			t.Errorf("got %+v, want a refusal as a suspect that has not run, and when to retry", failure)
		}
		if got := len(fixture.endpoints.sent()); got != sent {
			t.Errorf("got %d more sends, want none", got-sent)
		}
		if err := serve("s/m/good"); err != nil {
			t.Errorf("got %v for a prompt without the part, want an answer", err)
		}
	})
}
