package dogwoodrelay

import (
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodwaiting"
	"dogwoodmux.example/core/dogwoodfleet"
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

// Guards against a prompt that waits anew after each conflict and is refused only after several times the wait that
// its caller can spare.
func TestConflictDoesNotRenewTheWait(t *testing.T) {
	runRelayTest(t, testEngine, []step{responds(200, firstEvents+lastEvents)}, func(t *testing.T, fixture *fixture) {
		fixture.board.SetSenders(dogwoodpacking.Senders{Count: 2})
		fixture.takeSlots(t, 3*testEngine.Slots)
		request := streamRequest()
		request.Prompt, request.Route.Aim = 50_000, 10*time.Second
		start := time.Now()
		allowed := dogwoodwaiting.MaxWait(start, &dogwoodwaiting.Request{Arrived: start, Deadline: request.Deadline, Aim: request.Route.Aim, Pause: request.Route.Pause}) + 100*time.Millisecond
		ended := make(chan error, 1)
		var group sync.WaitGroup
		group.Go(func() { ended <- fixture.relay.Serve(t.Context(), request, fixture.answer) })
		time.Sleep(2900 * time.Millisecond)
		fixture.board.End("0")
		synctest.Wait()
		for _, work := range fixture.board.WorkExcept("other") {
			if work.Prompt == request.Prompt {
				work.ID, work.Holder, work.Reading = "a", "other", 10*time.Second
				fixture.board.Put(time.Now(), work)
			}
		}
		var failure *Failure
		if err := <-ended; !errors.As(err, &failure) || failure.Run != dogwoodfleet.NotRun {
			t.Errorf("got %v, want a refusal that says that it was not run", err)
		}
		group.Wait()
		if got := time.Since(start); got > allowed {
			t.Errorf("got a refusal after %s, want it within %s", got, allowed)
		}
	})
}
