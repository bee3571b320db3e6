package dogwoodpacking

import (
	"fmt"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodenginetime"
	"dogwoodmux.example/core/dogwoodfleet"
)

// testEngine has the parameters of the engines in production.
var testEngine = &dogwoodenginetime.Engine{
	Slots: 16, MemoryTokens: 405_000, Step: 1310 * time.Microsecond, PerRequest: 917 * time.Nanosecond,
	PerThousand: 2130 * time.Nanosecond, TokensPerSecond: 154_000, PerMillionPairs: 162 * time.Microsecond,
	Chunk: 2048, Stride: 34,
}

func engineEndpoint(number int) Endpoint {
	return Endpoint{
		Endpoint: dogwoodfleet.Endpoint{
			ID: dogwoodfleet.EndpointID(fmt.Sprintf("e%02d", number)), Service: "models", Kind: dogwoodfleet.EnginePool,
			Instance: "1", InForce: true,
		},
		Slots: testEngine.Slots, Engine: testEngine,
	}
}

func pool(engines int) *Board {
	board := NewBoard("me")
	var endpoints []Endpoint
	for i := range engines {
		endpoints = append(endpoints, engineEndpoint(i))
	}
	board.SetEndpoints(endpoints)
	return board
}

var askCount int

func short(now time.Time, prompt int) *PlacementRequest {
	askCount++
	return &PlacementRequest{
		ID: WorkID(fmt.Sprintf("w%d", askCount)), Holder: "me", Service: "models", Prompt: prompt, Answer: 1300,
		Aim: 300 * time.Millisecond, Pause: 250 * time.Millisecond, Until: now.Add(10 * time.Second),
	}
}

func long(now time.Time, prompt int) *PlacementRequest {
	request := short(now, prompt)
	request.Aim, request.Pause = 3*time.Second, time.Second
	return request
}

func mustPlace(t *testing.T, board *Board, now time.Time, request *PlacementRequest) Placement {
	t.Helper()
	placement, refusal := board.Place(now, request)
	if refusal != Placed {
		t.Fatalf("got refusal %q, want a placement", refusal)
	}
	return placement
}

// Short answers are decoded on few engines, so that the others are free for long prompts.
func TestShortPromptsArePacked(t *testing.T) {
	board, now := pool(8), time.Now()
	used := map[dogwoodfleet.EndpointID]bool{}
	for range 24 {
		placement := mustPlace(t, board, now, short(now, 3_000))
		used[placement.Endpoint.ID] = true
		now = now.Add(60 * time.Millisecond)
		board.Writes(now, placement.Work.ID, placement.Predicted, 0)
	}
	if got, want := len(used), 2; got != want {
		t.Errorf("got 24 answers on %d engines, want %d", got, want)
	}
}

// A prompt of 182,000 tokens takes one engine four seconds to prefill, and its caller waits three.
// It must be prefilled on several engines, none of which is decoding the answer to a short prompt,
// as that answer would stall during the prefill.
func TestLongPromptsArePrefilledJointlyAwayFromDecoding(t *testing.T) {
	board, now := pool(8), time.Now()
	writing := mustPlace(t, board, now, short(now, 3_000))
	now = now.Add(100 * time.Millisecond)
	board.Writes(now, writing.Work.ID, 0, 0)
	placement := mustPlace(t, board, now, long(now, 182_000))
	if got, limit := placement.Predicted, 1500*time.Millisecond; got > limit {
		t.Errorf("got a predicted first token after %s, want at most %s", got, limit)
	}
	for _, id := range append(ids(placement), placement.Endpoint.ID) {
		if id == writing.Endpoint.ID {
			t.Error("got an engine that is decoding, want only others")
		}
	}
}

func ids(placement Placement) []dogwoodfleet.EndpointID {
	var listed []dogwoodfleet.EndpointID
	for _, helper := range placement.Helpers {
		listed = append(listed, helper.Endpoint.ID)
	}
	return listed
}

// A long prompt is prefilled on all engines but a few. A short prompt must not be placed on an
// engine that prefills it: it would wait there for longer than its caller does.
func TestShortPromptsAvoidEnginesPrefillingLongOnes(t *testing.T) {
	board, now := pool(4), time.Now()
	longPrompt := mustPlace(t, board, now, long(now, 300_000))
	prefilling := map[dogwoodfleet.EndpointID]bool{longPrompt.Endpoint.ID: true}
	for _, id := range ids(longPrompt) {
		prefilling[id] = true
	}
	request := short(now, 3_000)
	request.CanWait = true
	placement, refusal := board.Place(now, request)
	if refusal == Placed && prefilling[placement.Endpoint.ID] {
		t.Errorf("got a placement at %s behind a long prompt, want another one or to wait", placement.Endpoint.ID)
	}
}

// All engines prefill for seconds. A short prompt that is committed to one of them is certainly
// late and can't use the first engine that becomes free, so it waits. Once it can't wait any
// longer, it takes the placement that is available.
func TestRequestsWaitWhenEveryEngineWouldBeLate(t *testing.T) {
	board, now := pool(1), time.Now()
	mustPlace(t, board, now, long(now, 300_000))
	request := short(now, 3_000)
	request.CanWait = true
	if _, got := board.Place(now, request); got != Full {
		t.Errorf("got %q, want to wait", got)
	}
	request.CanWait = false
	mustPlace(t, board, now, request)
}

// A prompt of twice an engine's memory is held on several engines, whose parts add up to the
// whole.
func TestPromptsLargerThanOneEngineMemory(t *testing.T) {
	board, now := pool(8), time.Now()
	request := long(now, 800_000)
	placement := mustPlace(t, board, now, request)
	kept := 0
	for _, helper := range placement.Helpers {
		if helper.Tokens > testEngine.MemoryTokens {
			t.Errorf("a helper keeps %d tokens, more than its memory", helper.Tokens)
		}
		kept += helper.Tokens
	}
	if left := request.Prompt + request.Answer - kept; left <= 0 || left > testEngine.MemoryTokens {
		t.Errorf("got %d tokens left for the primary engine, want some that fit", left)
	}
	if _, got := board.Place(now, long(now, 100_000_000)); got != TooLarge {
		t.Errorf("a prompt that fits no engines: got %q, want %q", got, TooLarge)
	}
}

func TestEnginesGetNoMoreThanTheirSlots(t *testing.T) {
	board, now := pool(2), time.Now()
	placed := 0
	for range 100 {
		request := short(now, 100)
		if _, refusal := board.Place(now, request); refusal == Placed {
			placed++
		}
	}
	if got, want := placed, 2*testEngine.Slots; got != want {
		t.Errorf("got %d requests at two engines, want %d", got, want)
	}
}

// A cold endpoint fails under full load. All daemons together must send it no more requests in
// any second than its limit, even when the pool has no other endpoint.
func TestColdEndpointsStayWithinTheirRate(t *testing.T) {
	now := time.Now()
	endpoint := engineEndpoint(0)
	endpoint.Engine, endpoint.Slots = nil, 1000
	endpoint.ColdPerSecond, endpoint.ColdUntil = 36, now.Add(3*time.Second)
	board := NewBoard("me")
	board.SetEndpoints([]Endpoint{endpoint})
	var sends []time.Time
	for range 3000 {
		now = now.Add(time.Millisecond)
		request := short(now, 0)
		if _, refusal := board.Place(now, request); refusal == Placed {
			sends = append(sends, now)
			board.End(request.ID)
		}
	}
	for i, start := range sends {
		count := 0
		for _, later := range sends[i:] {
			if later.Sub(start) < time.Second {
				count++
			}
		}
		if count > 36 {
			t.Fatalf("got %d requests within a second, want at most 36", count)
		}
	}
	if got, want := len(sends), 3*36/2; got < want {
		t.Errorf("got %d requests in three seconds, want at least %d", got, want)
	}
}

// Work of other daemons counts like the daemon's own work until it is reported as ended, its
// daemon is gone, or it expires.
func TestPeerWorkCounts(t *testing.T) {
	now := time.Now()
	work := func(id WorkID) Work {
		return Work{ID: id, Holder: "peer", Service: "models", Endpoint: "e00", Tokens: 1000, Begun: now, Writing: true, Until: now.Add(time.Second)}
	}
	tests := []struct {
		name string
		end  func(board *Board)
	}{
		{"ended", func(board *Board) { board.Remove("p1") }},
		{"gone", func(board *Board) { board.RemoveHolder("peer", nil) }},
		{"expired", func(board *Board) { board.Expire(now.Add(2 * time.Second)) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			board := pool(1)
			board.Put(now, work("p1"))
			if got := mustPlace(t, board, now, short(now, 1000)).Load.DecodingRequests; got != 1 {
				t.Errorf("got %d decoding requests before, want 1", got)
			}
			test.end(board)
			if got := mustPlace(t, board, now, short(now, 1000)).Load.DecodingRequests; got != 0 {
				t.Errorf("got %d decoding requests after, want 0", got)
			}
		})
	}
}

// An endpoint dies and comes back under its previous ID. Work of the previous instance no longer
// runs and must not keep new work away.
func TestNewInstanceStartsEmpty(t *testing.T) {
	board, now := pool(1), time.Now()
	before := mustPlace(t, board, now, short(now, 1000))
	board.Writes(now, before.Work.ID, 0, 0)
	board.End(before.Work.ID)
	restarted := engineEndpoint(0)
	restarted.Instance = "2"
	board.Failed(now, restarted.ID)
	board.SetEndpoints([]Endpoint{restarted})
	if got := mustPlace(t, board, now, short(now, 1000)).Load.DecodingRequests; got != 0 {
		t.Errorf("got %d decoding requests at the new instance, want 0", got)
	}
}

func TestUnreachableEndpointsAreAvoidedWhileOthersExist(t *testing.T) {
	board, now := pool(2), time.Now()
	board.Avoid(now, "e00", time.Second)
	if got := mustPlace(t, board, now, short(now, 1000)).Endpoint.ID; got != "e01" {
		t.Errorf("got %s, want e01", got)
	}
	board.Avoid(now, "e01", time.Second)
	mustPlace(t, board, now, short(now, 1000))
}

func TestNoEndpoint(t *testing.T) {
	board, now := NewBoard("me"), time.Now()
	if _, got := board.Place(now, short(now, 1000)); got != NoEndpoint {
		t.Errorf("got %q, want %q", got, NoEndpoint)
	}
}

// A plain server that fails some of its requests gets fewer requests than healthy ones.
func TestFailingPlainEndpointsGetFewerRequests(t *testing.T) {
	now := time.Now()
	board := NewBoard("me")
	var endpoints []Endpoint
	for i := range 3 {
		endpoint := engineEndpoint(i)
		endpoint.Engine = nil
		endpoints = append(endpoints, endpoint)
	}
	board.SetEndpoints(endpoints)
	counts := map[dogwoodfleet.EndpointID]int{}
	for i := range 300 {
		now = now.Add(50 * time.Millisecond)
		request := short(now, 0)
		placement := mustPlace(t, board, now, request)
		counts[placement.Endpoint.ID]++
		if placement.Endpoint.ID == "e00" && i%2 == 0 {
			board.Failed(now, "e00")
		}
		board.End(request.ID)
	}
	if got := counts["e00"]; got*3 > counts["e01"] {
		t.Errorf("got %d calls at the failing server and %d at a healthy one, want less than a third", got, counts["e01"])
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{16, 54, 135, 500, 5_900} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			board, now := pool(engines), time.Now()
			for i := range engines * 8 {
				request := short(now, 3000+i)
				if placement, refusal := board.Place(now, request); refusal == Placed {
					board.Writes(now, placement.Work.ID, placement.Predicted, 0)
				}
			}
			request := short(now, 4000)
			b.ReportAllocs()
			for b.Loop() {
				if _, refusal := board.Place(now, request); refusal != Placed {
					b.Fatal(refusal)
				}
				board.End(request.ID)
			}
		})
	}
}

// All daemons are killed at once and start with empty boards. Until they see each other's work,
// each would pack its first requests on the same engine, which then answers none of them for
// seconds.
func TestDaemonsWithoutSharedStateSpreadRequests(t *testing.T) {
	const daemons, engines, perDaemon = 8, 16, 4
	now := time.Now()
	counts := map[dogwoodfleet.EndpointID]int{}
	for daemon := range daemons {
		board := pool(engines)
		board.owner = fmt.Sprint(daemon)
		var endpoints []Endpoint
		for i := range engines {
			endpoint := engineEndpoint(i)
			endpoint.Instance = "2"
			endpoints = append(endpoints, endpoint)
		}
		board.SetEndpoints(endpoints)
		board.SetVisibleDaemons(1, daemons)
		for range perDaemon {
			counts[mustPlace(t, board, now, short(now, 3_000)).Endpoint.ID]++
		}
	}
	for id, got := range counts {
		if got > testEngine.Slots/2 {
			t.Errorf("%s: got %d requests from restarted daemons, want at most half its slots", id, got)
		}
	}
}

// An engine becomes five times slower and decodes at a fifth of its pace. It must get no new
// short prompts until it has recovered.
func TestSlowEnginesAreDetectedByPace(t *testing.T) {
	board, now := pool(2), time.Now()
	slow := mustPlace(t, board, now, short(now, 3_000)).Endpoint.ID
	pass := testEngine.PassTime(1, 0)
	for range 5 {
		board.RecordPace(slow, 5*pass)
	}
	if got := mustPlace(t, board, now, short(now, 3_000)).Endpoint.ID; got == slow {
		t.Errorf("got the slow engine %s, want the other one", got)
	}
	for range 20 {
		board.RecordPace(slow, pass)
	}
	if got := board.endpoints[slow].health.slowness(); got > 1.1 {
		t.Errorf("got a slowness of %.2f after it recovered, want about 1", got)
	}
}

// All daemons are killed and restart, while the engines continue the streams of the dead
// daemons. First tokens are late for two seconds, but the engines are as fast as before and must
// not be considered slow.
func TestLateFirstTokensDoNotMarkEngineSlow(t *testing.T) {
	board, now := pool(1), time.Now()
	for range 5 {
		placement := mustPlace(t, board, now, short(now, 3_000))
		now = now.Add(2 * time.Second)
		board.Writes(now, placement.Work.ID, placement.Predicted, 2*time.Second)
		board.RecordPace("e00", testEngine.PassTime(1, 0))
		board.End(placement.Work.ID)
	}
	if got := board.endpoints["e00"].health.slowness(); got > 1 {
		t.Errorf("got a slowness of %.2f, want 1", got)
	}
}

// All daemons are killed at once, and the callers of their long prompts retry at almost the same
// time. A daemon that does not see the others' work yet must not let engines prefill these prompts
// ahead of all short ones. It places short prompts in the meantime.
func TestLongPromptsWaitUntilDaemonsSeeEachOther(t *testing.T) {
	board, now := pool(8), time.Now()
	board.SetVisibleDaemons(1, 8)
	request := long(now, 300_000)
	request.CanWait = true
	if _, got := board.Place(now, request); got != Full {
		t.Errorf("a long prompt: got %q, want to wait", got)
	}
	mustPlace(t, board, now, short(now, 3_000))
	board.SetVisibleDaemons(8, 8)
	mustPlace(t, board, now, request)
}

// A slow engine that only prefills decodes nothing from which its pace could be observed. It is
// detected by the first tokens of its long prompts.
func TestSlowPrefillIsDetectedByLongPrompts(t *testing.T) {
	board, now := pool(2), time.Now()
	first := mustPlace(t, board, now, long(now, 60_000))
	board.Writes(now, first.Work.ID, time.Second, 5*time.Second)
	board.End(first.Work.ID)
	if got := board.endpoints[first.Endpoint.ID].health.slowness(); got < 1.5 {
		t.Errorf("got a slowness of %.2f, want more than 1.5", got)
	}
}
