package dogwoodpacking

import (
	"fmt"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// urgentPool returns a board with engines, of which the first ones hold the given number of urgent answers each.
func urgentPool(t testing.TB, now time.Time, engines, busy, answersEach int) *Board {
	t.Helper()
	board := pool(engines)
	for i := range busy * answersEach {
		work := Work{
			ID: WorkID(fmt.Sprint("urgent", i)), Holder: "me", Service: "models", Endpoint: engineEndpoint(i / answersEach).ID, Tokens: 6000, Prompt: 5000,
			Aim: 300 * time.Millisecond, Pause: 250 * time.Millisecond, Begun: now, Writing: true, Until: now.Add(time.Minute),
		}
		board.Put(now, work)
	}
	return board
}

// lessUrgent returns a long prompt of a less urgent rank that may wait.
func lessUrgent(now time.Time, prompt int) *PlacementRequest {
	request := long(now, prompt)
	request.Rank, request.Aim, request.CanWait = 2, 8*time.Second, true
	return request
}

// Guards against long prompts of low rank that take engines from urgent ones when engines are lost, and against their starvation.
func TestLongPromptsYieldWhileEnginesAreShort(t *testing.T) {
	tests := []struct {
		name                       string
		engines, busy, answersEach int
		rank                       int
		resumed                    bool
		wantPlaced                 int
	}{
		{name: "most engines idle", engines: 20, busy: 4, answersEach: 8, rank: 2, wantPlaced: 10},
		{name: "urgent requests need nearly all engines", engines: 20, busy: 20, answersEach: 12, rank: 2, wantPlaced: 0},
		{name: "urgent requests need most engines: the minimum is left", engines: 20, busy: 18, answersEach: 13, rank: 2, wantPlaced: 2},
		{name: "equal ranks", engines: 20, busy: 18, answersEach: 13, rank: 0, wantPlaced: 10},
		{name: "the rest of an answer that has begun", engines: 20, busy: 18, answersEach: 13, rank: 2, resumed: true, wantPlaced: 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			board := urgentPool(t, now, test.engines, test.busy, test.answersEach)
			placed, used := 0, map[dogwoodfleet.EndpointID]bool{}
			for range 10 {
				request := lessUrgent(now, 200_000)
				request.Rank, request.Resumed = test.rank, test.resumed
				request.CanWait = !test.resumed && test.rank > 0
				placement, refusal := board.Place(now, request)
				if refusal != Placed {
					continue
				}
				placed++
				used[placement.Endpoint.ID] = true
				for _, helper := range placement.Helpers {
					used[helper.Endpoint.ID] = true
				}
			}
			if test.rank > 0 && !test.resumed && test.wantPlaced <= 2 {
				if got := len(used); got > max(test.wantPlaced, 2) {
					t.Errorf("got %d engines used by less urgent prompts, want at most %d", got, test.wantPlaced)
				}
				if test.wantPlaced > 0 && placed == 0 {
					t.Error("got no less urgent prompt placed, want the minimum kept")
				}
				return
			}
			if placed < test.wantPlaced {
				t.Errorf("got %d of 10 prompts placed, want at least %d", placed, test.wantPlaced)
			}
		})
	}
}

// Load: urgent requests need all of 40 engines, six of which are idle at the moment. Guards against a rank that is kept to less than a tenth of
// the engines, which is its minimum, or takes more, and against a daemon that sees half of the others and takes the minimum of all.
func TestMinimumIsATenthOfTheEngines(t *testing.T) {
	tests := []struct {
		visible, want int
	}{{8, 4}, {4, 2}}
	for _, test := range tests {
		now := time.Now()
		board := urgentPool(t, now, 40, 34, 15)
		board.SetVisibleDaemons(test.visible, 8)
		used := map[dogwoodfleet.EndpointID]bool{}
		for range 10 {
			placement, refusal := board.Place(now, lessUrgent(now, 200_000))
			if refusal != Placed {
				continue
			}
			used[placement.Endpoint.ID] = true
			for _, helper := range placement.Helpers {
				used[helper.Endpoint.ID] = true
			}
		}
		if got := len(used); got != test.want {
			t.Errorf("%d of 8 daemons seen: got %d engines that prefill for the less urgent rank, want %d", test.visible, got, test.want)
		}
	}
}

// Guards against a long prompt that is placed beside urgent answers whose pauses it stretches, since it weighs more than they do.
func TestLongPromptDelaysNoUrgentAnswer(t *testing.T) {
	now := time.Now()
	board := urgentPool(t, now, 4, 4, 5)
	for _, canWait := range []bool{true, false} {
		request := lessUrgent(now, 300_000)
		request.CanWait, request.Until = canWait, now.Add(time.Minute)
		if placement, refusal := board.Place(now, request); refusal != Yields {
			t.Errorf("may wait %t: got a placement at %s with refusal %q, want it to yield", canWait, placement.Endpoint.ID, refusal)
		}
	}
}

// Guards against urgent prompts that wait for half of their aim while all engines write answers of a less urgent rank, whose pauses
// they would stretch.
func TestUrgentPromptGoesBesideLessUrgentAnswers(t *testing.T) {
	tests := []struct {
		name string
		rank int
		want Refusal
	}{
		{"less urgent answers", 2, Placed},
		{"answers of its own rank", 0, Full},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now, board := time.Now(), pool(4)
			for i := range 4 {
				board.Put(now, Work{
					ID: WorkID(fmt.Sprint("answer", i)), Service: "models", Endpoint: engineEndpoint(i).ID, Rank: test.rank, Tokens: 6000, Prompt: 5000,
					Aim: time.Second, Pause: 20 * time.Millisecond, Begun: now, Writing: true, Until: now.Add(time.Minute),
				})
			}
			request := short(now, 5000)
			request.CanWait = true
			if _, got := board.Place(now, request); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// Guards against engines that look free for the moment in which the urgent requests of lost engines are assigned again.
func TestDemandOutlastsLostEngines(t *testing.T) {
	now := time.Now()
	board := urgentPool(t, now, 20, 18, 12)
	for i := range 18 * 12 {
		board.End(WorkID(fmt.Sprint("urgent", i)))
	}
	tests := []struct {
		after time.Duration
		want  bool // the allowance is at its minimum
	}{
		{20 * time.Millisecond, true},
		{20 * time.Second, false},
	}
	for _, test := range tests {
		at := now.Add(test.after)
		board.Put(at, Work{ID: "latest", Service: "models", Prompt: 5000, Begun: at, Until: at.Add(time.Minute), Endpoint: engineEndpoint(0).ID, Writing: true})
		demand := board.rankDemand(at, lessUrgent(at, 200_000), nil)
		got := demand.allowance()
		if (got <= 2) != test.want {
			t.Errorf("after %s: got an allowance of %d engines, want the minimum %t", test.after, got, test.want)
		}
	}
}

// Guards against a prompt that waits for more urgent ones until its deadline although it can't be answered any more.
func TestPromptThatYieldsTooLongIsRefused(t *testing.T) {
	now := time.Now()
	board := urgentPool(t, now, 20, 20, 13)
	tests := []struct {
		left time.Duration
		want Refusal
	}{
		{15 * time.Second, Yields},
		{2 * time.Second, TooLate},
	}
	for _, test := range tests {
		request := lessUrgent(now, 200_000)
		request.Until = now.Add(test.left)
		if _, got := board.Place(now, request); got != test.want {
			t.Errorf("%s left: got %q, want %q", test.left, got, test.want)
		}
	}
}

// Guards against the largest prompts that are refused in the moment of their arrival, with most of their time left, because engines are
// prefilling or a peak of urgent requests has just passed.
func TestLargestPromptWaitsForEnginesInUse(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name string
		busy func(board *Board)
	}{
		{"own rank prefills", func(board *Board) {
			for i := range 14 {
				request := lessUrgent(now, 200_000)
				board.Put(now, Work{
					ID: WorkID(fmt.Sprint("prefill", i)), Service: "models", Endpoint: engineEndpoint(2 + i).ID, Rank: request.Rank, Tokens: 201_000, Prompt: 200_000,
					Reading: 5 * time.Second, Aim: request.Aim, Begun: now, Until: now.Add(15 * time.Second),
				})
			}
		}},
		{"a peak has passed", func(board *Board) {
			const peak = 230
			for i := range peak {
				board.Put(now, Work{
					ID: WorkID(fmt.Sprint("peak", i)), Service: "models", Endpoint: engineEndpoint(2 + i%18).ID, Tokens: 5000, Prompt: 4000,
					Writing: true, Begun: now, Until: now.Add(time.Minute),
				})
			}
			for i := range peak {
				board.End(WorkID(fmt.Sprint("peak", i)))
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			board := urgentPool(t, now, 20, 2, 6)
			test.busy(board)
			request := lessUrgent(now, 800_000)
			request.Until = now.Add(15 * time.Second)
			if _, got := board.Place(now, request); got == TooLate {
				t.Errorf("got %q, want it to wait or be placed", got)
			}
		})
	}
}

// Guards against placements that change where no rank is more urgent than another one.
func TestEqualRanksArePlacedAlike(t *testing.T) {
	now := time.Now()
	boards := []*Board{pool(12), pool(12)}
	for i := range 200 {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		var placements [2]Placement
		var refusals [2]Refusal
		for k, board := range boards {
			request := short(at, 3000+i*37%9000)
			if i%9 == 0 {
				request = long(at, 40_000+i*977%160_000)
			}
			request.ID, request.Rank, request.CanWait = WorkID(fmt.Sprint("request", i)), k*7, true
			placements[k], refusals[k] = board.Place(at, request)
			if i >= 30 {
				board.End(WorkID(fmt.Sprint("request", i-30)))
			}
		}
		if placements[0].Endpoint.ID != placements[1].Endpoint.ID || refusals[0] != refusals[1] || len(placements[0].Helpers) != len(placements[1].Helpers) {
			t.Fatalf("request %d: got %s (%q) and %s (%q), want the same placement for each rank", i,
				placements[0].Endpoint.ID, refusals[0], placements[1].Endpoint.ID, refusals[1])
		}
	}
}

// Guards against a prompt of a lower rank that waits until its deadline because it needs the memory of more engines than its rank's
// minimum, and against one that takes more than it needs.
func TestPromptLargerThanTheMinimumIsPlaced(t *testing.T) {
	now := time.Now()
	board := urgentPool(t, now, 8, 5, 15)
	board.Put(now, Work{ID: "more", Service: "models", Prompt: 5000, Aim: time.Second, Reading: 3 * time.Second, Endpoint: engineEndpoint(0).ID, Begun: now, Until: now.Add(time.Minute)})
	request := lessUrgent(now, 800_000)
	request.Aim, request.Until = 30*time.Second, now.Add(time.Minute)
	placement, refusal := board.Place(now, request)
	if refusal != Placed {
		t.Fatalf("got refusal %q, want a placement", refusal)
	}
	if got := 1 + len(placement.Helpers); got != 3 {
		t.Errorf("got %d engines, want the 3 whose memory the prompt needs", got)
	}
	next := lessUrgent(now, 300_000)
	next.Until = now.Add(time.Minute)
	if _, got := board.Place(now, next); got != Yields {
		t.Errorf("got %q for a further prompt, want it to yield: the rank has more than its minimum", got)
	}
}

// Guards against a leaf that counts the requests of its last view beside those of the new one. It then keeps long prompts from idle
// engines while nothing is short.
func TestNewViewReplacesTheDemand(t *testing.T) {
	now, board := time.Now(), pool(20)
	view := func(name string) []Work {
		var works []Work
		for i := range 100 {
			works = append(works, Work{ID: WorkID(fmt.Sprint(name, i)), Holder: "other", Service: "models", Endpoint: engineEndpoint(i % 8).ID, Prompt: 5000, Writing: true, Until: now.Add(time.Minute)})
		}
		return works
	}
	for _, name := range []string{"a", "b", "c"} {
		board.ReplacePeerWork(now, view(name))
	}
	if got := board.urgentRequests(now, lessUrgent(now, 200_000)); got != 100 {
		t.Errorf("got %.0f urgent requests, want the 100 of the last view", got)
	}
}

// Guards against engines that are counted as free for urgent requests, or for long prompts, although they take none: each of these
// raises the allowance of long prompts while engines are short.
func TestEnginesThatTakeNoRequestsAreNotLeft(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name   string
		change func(board *Board, endpoint *Endpoint)
	}{
		{"back-off", func(board *Board, endpoint *Endpoint) { board.Backoff(now, &endpoint.Endpoint, now.Add(time.Minute)) }},
		{"unreachable", func(board *Board, endpoint *Endpoint) { board.Avoid(now, endpoint.ID, time.Second) }},
		{"leaving", func(board *Board, endpoint *Endpoint) { board.Leave(now, &endpoint.Endpoint) }},
		{"no slots", func(_ *Board, endpoint *Endpoint) { endpoint.Slots = 0 }},
		{"no engine", func(_ *Board, endpoint *Endpoint) { endpoint.Engine = nil }},
	}
	for _, test := range tests {
		board := urgentPool(t, now, 20, 8, 10)
		var endpoints []Endpoint
		for i := range 20 {
			endpoint := engineEndpoint(i)
			if i >= 12 {
				test.change(board, &endpoint)
			}
			endpoints = append(endpoints, endpoint)
		}
		board.SetEndpoints(endpoints)
		demand := board.rankDemand(now, lessUrgent(now, 200_000), nil)
		if got := demand.engines; got != 12 {
			t.Errorf("%s: got %d engines, want the 12 that take requests", test.name, got)
		}
	}
}

// Guards against a daemon that sees a part of the others and takes the engines that those it does not see need for urgent requests.
func TestDaemonThatSeesFewOthersTakesFewerEngines(t *testing.T) {
	now := time.Now()
	board := urgentPool(t, now, 20, 6, 12)
	all := board.rankDemand(now, lessUrgent(now, 200_000), nil)
	board.SetVisibleDaemons(4, 8)
	half := board.rankDemand(now, lessUrgent(now, 200_000), nil)
	if allEngines, halfEngines := all.allowance(), half.allowance(); halfEngines > allEngines-5 {
		t.Errorf("got an allowance of %d engines by half of the daemons and %d by all, want five fewer at least", halfEngines, allEngines)
	}
}

// Guards against a prompt that is refused for want of time although idle engines could answer it.
func TestPromptThatIdleEnginesAnswerInTimeIsNotRefused(t *testing.T) {
	now := time.Now()
	board := urgentPool(t, now, 5, 1, 1)
	request := lessUrgent(now, 200_000)
	request.Until = now.Add(4 * time.Second)
	mustPlace(t, board, now, request)
}

// Guards against a prompt that waits for more urgent ones, longer than others would, although they hold one engine of 40 and answers of its
// own rank are what it would delay.
func TestPromptIsHeldUpByItsOwnRank(t *testing.T) {
	now := time.Now()
	board := urgentPool(t, now, 40, 1, 1)
	for i := range 39 * 4 {
		board.Put(now, Work{
			ID: WorkID(fmt.Sprint("own", i)), Service: "models", Endpoint: engineEndpoint(1 + i/4).ID, Rank: 2, Prompt: 50_000, Tokens: 51_000,
			Aim: 8 * time.Second, Pause: 200 * time.Millisecond, Begun: now, Writing: true, Until: now.Add(time.Minute),
		})
	}
	if _, got := board.Place(now, lessUrgent(now, 300_000)); got != Full {
		t.Errorf("got %q, want %q", got, Full)
	}
}
