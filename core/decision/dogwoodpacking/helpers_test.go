package dogwoodpacking

import (
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// waitingWork returns a long prompt that one engine has to prefill alone, sent the given time ago.
func waitingWork(endpoint dogwoodfleet.EndpointID, now time.Time, ago, prefill time.Duration) Work {
	askCount++
	request := long(now, 150_000)
	return Work{
		ID: request.ID, Holder: "other", Service: "models", Endpoint: endpoint, Prompt: 150_000, Tokens: 151_300,
		Reading: prefill, Aim: request.Aim, Pause: request.Pause, Begun: now.Add(-ago), Until: now.Add(10 * time.Second),
	}
}

// A long prompt is three seconds late for reasons that were not predicted. Two new long prompts
// arrive each second, and their parts were prefilled before it, since a late prompt was assumed to
// have nothing more to lose: its caller waited eight seconds longer. It must not be delayed
// further while engines that decode can help.
func TestLatePromptIsNotDelayedFurther(t *testing.T) {
	board, now := pool(6), time.Now()
	board.Put(now, waitingWork("e00", now, 6*time.Second, 7*time.Second))
	for i := 1; i < 6; i++ {
		writing := waitingWork(engineEndpoint(i).ID, now, time.Second, 0)
		writing.Writing, writing.Until = true, now.Add(time.Minute)
		board.Put(now, writing)
	}
	for range 8 {
		now = now.Add(500 * time.Millisecond)
		request := long(now, 180_000)
		placement := mustPlace(t, board, now, request)
		for _, id := range ids(placement) {
			if id == "e00" {
				t.Fatalf("got the helpers %v, want none where a prompt is late", ids(placement))
			}
		}
		board.End(request.ID)
	}
}

// All engines but one have a long prompt of their own to prefill, with ample time. An engine
// prefills the parts that it helps with first, so many engines together can prefill a new prompt
// within half a second. If the parts were treated as queued behind the engines' own prompts, it
// would wait for seconds.
func TestHelperPrefillsItsPartBeforeItsOwnPrompts(t *testing.T) {
	board, now := pool(16), time.Now()
	for i := 1; i < 16; i++ {
		work := waitingWork(engineEndpoint(i).ID, now, 0, 1500*time.Millisecond)
		work.Aim = 20 * time.Second
		board.Put(now, work)
	}
	request := long(now, 180_000)
	placement := mustPlace(t, board, now, request)
	if got, limit := placement.Predicted, request.Aim/2; got > limit {
		t.Errorf("got a first token after %s, want at most %s", got, limit)
	}
	if got := placement.Endpoint.ID; got != "e00" {
		t.Errorf("got primary engine %s, want the one without a prompt of its own", got)
	}
	if len(placement.Helpers) == 0 {
		t.Error("got no helpers, want some that have prompts of their own")
	}
}

// All engines but one have a long prompt of their own to prefill, and new prompts keep arriving
// that they could help with. Each part is prefilled before the waiting prompt, and effects that
// the prediction does not cover delay it further, so prompts that were delayed to the limit of
// their aim became late. Parts may delay them to little over half of their aim, and if no
// placement keeps all limits, by one more part that began before that.
func TestWaitingPromptsKeepSlack(t *testing.T) {
	board, now := pool(6), time.Now()
	ahead := map[dogwoodfleet.EndpointID]time.Duration{}
	aim, largest := long(now, 0).Aim, time.Duration(0)
	for i := 1; i < 6; i++ {
		waiting := waitingWork(engineEndpoint(i).ID, now, 0, time.Second)
		board.Put(now, waiting)
		ahead[waiting.Endpoint] = waiting.Reading
	}
	for range 20 {
		request := long(now, 110_000)
		request.CanWait = true
		placement, refusal := board.Place(now, request)
		if refusal != Placed {
			break
		}
		for _, helper := range ids(placement) {
			ahead[helper] += placement.Work.Reading
			largest = max(largest, placement.Work.Reading)
		}
	}
	for id, prefill := range ahead {
		if limit := aim*11/20 + largest; prefill > limit {
			t.Errorf("got the waiting prompt at %s prefilled after %s, want at most %s", id, prefill, limit)
		}
	}
}

// Guards against short prompts that are sent to an engine which still has a long prompt of its own to prefill: it
// first prefilled a part of another engine's prompt, and while that took long its own prompt seemed to be done.
func TestOwnPromptWaitsForThePartAheadOfIt(t *testing.T) {
	board, now := pool(2), time.Now()
	joint := waitingWork("e00", now, 5*time.Second, 5*time.Second)
	joint.Helpers = []Part{{Endpoint: "e01"}}
	board.Put(now.Add(-5*time.Second), joint)
	board.Put(now.Add(-3*time.Second), waitingWork("e01", now, 3*time.Second, 1600*time.Millisecond))
	joint.Writing = true
	board.Put(now, joint)
	for _, later := range []time.Duration{0, time.Second} {
		want := 1600*time.Millisecond - later
		if got := board.endpoints["e01"].load(now.Add(later)).Queued; got < want {
			t.Errorf("%s after the joint prompt's first token: got %s queued at its helper, want at least %s", later, got, want)
		}
	}
}
