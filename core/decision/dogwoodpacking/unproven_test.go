package dogwoodpacking

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Guards against storms of tries at the engines of a lost data centre, whose entries are still there, each time that they are no longer avoided.
func TestUnreachableEnginesAreTriedByOneRequest(t *testing.T) {
	const lost, engines = 6, 12
	board, now := pool(engines), time.Now()
	isLost := func(id dogwoodfleet.EndpointID) bool { return id < engineEndpoint(lost).ID }
	for i := range lost {
		board.Avoid(now, engineEndpoint(i).ID, time.Second)
	}
	now = now.Add(1100 * time.Millisecond)
	tried := 0
	for range 20 {
		if placement := mustPlace(t, board, now, long(now, 60_000)); isLost(placement.Endpoint.ID) {
			tried++
		}
	}
	if tried > 1 {
		t.Errorf("got %d requests at engines that have not answered yet, want at most 1", tried)
	}
}

// Guards against a part of a joint prompt at a dead engine, which blocks the other engines until they give up.
func TestUnreachableEnginesGetNoParts(t *testing.T) {
	board, now := pool(6), time.Now()
	dead := engineEndpoint(0).ID
	board.Avoid(now, dead, time.Second)
	now = now.Add(1100 * time.Millisecond)
	board.Put(now, Work{ID: "answer", Service: "models", Endpoint: engineEndpoint(1).ID, Tokens: 6000, Prompt: 5000, Writing: true, Begun: now, Until: now.Add(time.Minute)})
	placement := mustPlace(t, board, now, long(now, 380_000)) // it needs two engines, and prefers one that answers already as the first
	if slices.ContainsFunc(placement.Helpers, func(helper Helper) bool { return helper.Endpoint.ID == dead }) {
		t.Error("got a part at an engine that has not answered since it could not be reached, want none")
	}
	board.SetLimit(now, now, dead, NamedLimit{})
	if board.endpoints[dead].health.unreachable {
		t.Error("got an engine still taken for unreachable after its answer, want it in use")
	}
}

// Guards against daemons that fill the same few engines at the same moment when all place the answers of a lost data centre again.
func TestStormOfPlacementsIsDividedAmongDaemons(t *testing.T) {
	const hubs, each = 6, 12
	now := time.Now()
	used := map[dogwoodfleet.EndpointID]int{}
	const engines, answersEach = 26, 3
	for hub := range hubs {
		board := urgentPool(t, now, engines, engines, answersEach)
		board.owner = fmt.Sprint("hub", hub)
		board.SetSenders(Senders{Count: hubs, Index: hub})
		for range each {
			request := short(now, 3000)
			request.Resumed = true
			used[mustPlace(t, board, now, request).Endpoint.ID]++
		}
	}
	most := 0
	for _, count := range used {
		most = max(most, count)
	}
	if most > testEngine.Slots-answersEach {
		t.Errorf("got %d requests at one engine by daemons that did not see each other, want at most the %d free slots", most, testEngine.Slots-answersEach)
	}
}

// Guards against engines that are back and get one request at a time for as long as a daemon of a large fleet has few requests to try them with.
func TestUnreachableEngineIsUsedAgainWithoutAnAnswer(t *testing.T) {
	const inUseAfter = 4 * time.Second // not by unprovenFor, so that a larger one fails
	board, now := pool(2), time.Now()
	back := engineEndpoint(0).ID
	board.Avoid(now, back, time.Second)
	now = now.Add(inUseAfter)
	board.Put(now, Work{
		ID: "prefill", Service: "models", Endpoint: engineEndpoint(1).ID, Prompt: 200_000, Tokens: 200_000, Reading: 10 * time.Second, Begun: now, Until: now.Add(time.Minute),
	})
	for i := range 3 {
		if got := mustPlace(t, board, now, short(now, 3000)).Endpoint.ID; got != back {
			t.Errorf("got request %d at %s, which is busy for ten seconds, want it at the engine that is back", i, got)
		}
	}
	board = pool(6)
	dead := engineEndpoint(0).ID
	board.Avoid(now, dead, time.Second)
	now = now.Add(time.Second + unprovenFor)
	board.Avoid(now, dead, time.Second)
	now = now.Add(1100 * time.Millisecond)
	if board.endpoints[dead].isProven(now) {
		t.Error("got an engine that failed again in use at once, want it taken for down")
	}
}

// Guards against ordinary bursts at one daemon, or a single answer that broke off, that are taken for a storm: prompts of equal rank
// were then spread over more engines than their answers need.
func TestBurstOfFirstTriesIsNoStorm(t *testing.T) {
	tests := []struct {
		name    string
		count   int
		resumed bool
		want    int
	}{
		{"first tries", 8, false, 1},
		{"answers that broke off", 8, true, 6},
		{"a single one", 1, true, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			board, now := pool(26), time.Now()
			board.SetSenders(Senders{Count: 6})
			for range test.count {
				request := short(now, 3000)
				request.Resumed = test.resumed
				mustPlace(t, board, now, request)
			}
			if got := board.groupCount(now, short(now, 3000), 100, testEngine.Slots); got != test.want {
				t.Errorf("got %d groups, want %d", got, test.want)
			}
		})
	}
}
