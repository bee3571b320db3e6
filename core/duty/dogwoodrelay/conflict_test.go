package dogwoodrelay

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
)

// Guards against a long prompt that is sent to engines onto which another daemon placed one at the same moment.
func TestLongPromptIsPlacedAgainOnConflict(t *testing.T) {
	runRelayTest(t, testEngine, []step{responds(200, firstEvents+lastEvents)}, func(t *testing.T, fixture *fixture) {
		fixture.board.SetSenders(dogwoodpacking.Senders{Count: 2})
		request := streamRequest()
		request.Prompt, request.Route.Aim = 50_000, time.Second
		var group sync.WaitGroup
		group.Go(func() {
			if err := fixture.relay.Serve(t.Context(), request, fixture.answer); err != nil {
				t.Errorf("got %v, want the answer", err)
			}
		})
		synctest.Wait()
		now := time.Now()
		for _, work := range fixture.board.WorkExcept("other") {
			taken := work
			taken.ID, taken.Holder = "a", "other"
			fixture.board.Put(now, taken)
		}
		first := fixture.board.WorkExcept("other")[0].Endpoint
		group.Wait()
		if got := len(fixture.endpoints.sends); got != 1 || fixture.endpoints.sends[0].endpoint == first {
			t.Errorf("got %d sends, the first to %s, want one to an engine other than %s", got, fixture.endpoints.sends[0].endpoint, first)
		}
		if got := len(fixture.board.WorkExcept("other")); got != 0 {
			t.Errorf("got %d requests of this daemon on the board afterwards, want none", got)
		}
	})
}
