package dogwoodpacking

import (
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// unreadAt is a long prompt that an engine alone has to read, sent some time ago.
func unreadAt(endpoint dogwoodfleet.EndpointID, now time.Time, ago, reading time.Duration) Work {
	asked++
	ask := long(now, 150_000)
	return Work{
		ID: ask.ID, Holder: "other", Service: "models", Endpoint: endpoint, Prompt: 150_000, Tokens: 151_300,
		Reading: reading, Aim: ask.Aim, Pause: ask.Pause, Begun: now.Add(-ago), Until: now.Add(10 * time.Second),
	}
}

// A review is late by three seconds, for reasons that nobody foresaw. New reviews come two a
// second, and each has its parts read ahead of it, since what is late has nothing more to
// lose: its caller waited eight seconds more. It must be put off no further while engines
// that write can help.
func TestALatePromptIsNotPutOffFurther(t *testing.T) {
	board, now := pool(6), time.Now()
	board.Put(now, unreadAt("e00", now, 6*time.Second, 7*time.Second))
	for i := 1; i < 6; i++ {
		writes := unreadAt(engineEndpoint(i).ID, now, time.Second, 0)
		writes.Writing, writes.Until = true, now.Add(time.Minute)
		board.Put(now, writes)
	}
	for range 8 {
		now = now.Add(500 * time.Millisecond)
		ask := long(now, 180_000)
		placement := mustPlace(t, board, now, ask)
		for _, id := range ids(placement) {
			if id == "e00" {
				t.Fatalf("got the helpers and first engine %v, want none where a prompt is late", ids(placement))
			}
		}
		board.End(ask.ID)
	}
}

// All engines have a long prompt of their own to read, of which none is in a hurry. An
// engine reads the parts that it helps with first, so a new prompt can be read within half a
// second by many engines together; taken for the end of one queue it waits for seconds.
func TestAHelperReadsItsPartAheadOfItsOwnPrompts(t *testing.T) {
	board, now := pool(16), time.Now()
	for i := 1; i < 16; i++ {
		work := unreadAt(engineEndpoint(i).ID, now, 0, 1500*time.Millisecond)
		work.Aim = 20 * time.Second
		board.Put(now, work)
	}
	ask := long(now, 180_000)
	placement := mustPlace(t, board, now, ask)
	if got, most := placement.Predicted, ask.Aim/2; got > most {
		t.Errorf("got a first token after %s, want at most %s", got, most)
	}
	if got := placement.Endpoint.ID; got != "e00" {
		t.Errorf("got first engine %s, want the one without a prompt of its own", got)
	}
	if len(placement.Helpers) == 0 {
		t.Error("got no helpers, want some that have prompts of their own")
	}
}

// Each engine but one has a long prompt of its own to read, and new ones keep coming that
// they could help with. Each part is read ahead of it, and what the prediction does not see
// comes on top, so that prompts that were let slip to the edge of their aim were late. Parts
// may take them to little over half of their aim, and where no place is good by the last part
// more that began before that.
func TestPromptsThatWaitKeepRoomForWhatIsNotForeseen(t *testing.T) {
	board, now := pool(6), time.Now()
	ahead := map[dogwoodfleet.EndpointID]time.Duration{}
	aim, largest := long(now, 0).Aim, time.Duration(0)
	for i := 1; i < 6; i++ {
		waits := unreadAt(engineEndpoint(i).ID, now, 0, time.Second)
		board.Put(now, waits)
		ahead[waits.Endpoint] = waits.Reading
	}
	for range 20 {
		ask := long(now, 110_000)
		ask.CanWait = true
		placement, refusal := board.Place(now, ask)
		if refusal != Placed {
			break
		}
		for _, helper := range ids(placement) {
			ahead[helper] += placement.Work.Reading
			largest = max(largest, placement.Work.Reading)
		}
	}
	for id, reading := range ahead {
		if most := aim*11/20 + largest; reading > most {
			t.Errorf("got the prompt that waits at %s read after %s, want at most %s", id, reading, most)
		}
	}
}
