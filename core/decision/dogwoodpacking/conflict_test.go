package dogwoodpacking

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// herd is a set of daemons whose long prompts all wait for the same engines.
type herd struct {
	now    time.Time
	boards []*Board
	// waiting and placed hold each daemon's prompts.
	waiting [][]*PlacementRequest
	placed  [][]Placement
}

func newHerd(daemons, engines, promptsEach, tokens int) *herd {
	herd := &herd{now: time.Now(), waiting: make([][]*PlacementRequest, daemons), placed: make([][]Placement, daemons)}
	var endpoints []Endpoint
	for i := range engines {
		endpoints = append(endpoints, engineEndpoint(i))
	}
	for daemon := range daemons {
		holder := dogwoodfleet.InstanceID(fmt.Sprint("hub", daemon))
		board := NewBoard(holder)
		board.SetEndpoints(endpoints)
		board.SetSenders(Senders{Count: daemons, Index: daemon})
		herd.boards = append(herd.boards, board)
		for range promptsEach {
			request := long(herd.now, tokens)
			request.Aim, request.Holder, request.CanWait = 4*time.Second, holder, true
			herd.waiting[daemon] = append(herd.waiting[daemon], request)
		}
	}
	return herd
}

// placeWaiting has all daemons place their waiting prompts at the same moment, and announces them afterwards.
func (herd *herd) placeWaiting() {
	var works []Work
	for daemon, board := range herd.boards {
		herd.waiting[daemon] = slices.DeleteFunc(herd.waiting[daemon], func(request *PlacementRequest) bool {
			placement, refusal := board.Place(herd.now, request)
			if refusal != Placed {
				return false
			}
			herd.placed[daemon] = append(herd.placed[daemon], placement)
			works = append(works, placement.Work)
			return true
		})
	}
	herd.now = herd.now.Add(2 * time.Millisecond)
	for daemon, board := range herd.boards {
		for _, work := range works {
			if work.Holder != dogwoodfleet.InstanceID(fmt.Sprint("hub", daemon)) {
				board.Put(herd.now, work)
			}
		}
	}
}

// resolve withdraws the placements that conflict with others that go first, and returns their number.
func (herd *herd) resolve() int {
	herd.now = herd.now.Add(3 * time.Millisecond)
	var withdrawn []WorkID
	for daemon, board := range herd.boards {
		herd.placed[daemon] = slices.DeleteFunc(herd.placed[daemon], func(placement Placement) bool {
			if !board.Conflicts(herd.now, placement.Work.ID) {
				return false
			}
			withdrawn = append(withdrawn, placement.Work.ID)
			again := long(herd.now, placement.Work.Prompt)
			again.Aim, again.Holder, again.Rank, again.Until, again.CanWait = placement.Work.Aim, placement.Work.Holder, placement.Work.Rank, placement.Work.Until, true
			herd.waiting[daemon] = append(herd.waiting[daemon], again)
			return true
		})
	}
	for _, board := range herd.boards {
		for _, id := range withdrawn {
			board.Remove(id)
		}
	}
	return len(withdrawn)
}

// slowest returns how many times its predicted time the slowest prompt takes, where each engine prefills its parts
// in the order in which they were placed.
func (herd *herd) slowest() float64 {
	placements := slices.Concat(herd.placed...)
	slices.SortStableFunc(placements, func(a, b Placement) int { return a.Work.Begun.Compare(b.Work.Begun) })
	busy, slowest := map[dogwoodfleet.EndpointID]time.Duration{}, 0.0
	for _, placement := range placements {
		var took time.Duration
		for _, engine := range placement.Work.engines() {
			busy[engine] += placement.Work.Reading
			took = max(took, busy[engine])
		}
		slowest = max(slowest, float64(took)/float64(placement.Predicted))
	}
	return slowest
}

// A data centre of 20 engines comes back, and five daemons place the two prompts of 420,000 tokens that wait at each
// within a millisecond. Each prompt was predicted at two seconds; the last ones took five times as long, behind
// parts that their daemon did not know of. No prompt may take much longer than predicted.
func TestLongPromptsPlacedAtTheSameMoment(t *testing.T) {
	herd := newHerd(5, 20, 2, 420_000)
	herd.placeWaiting()
	for round := 0; herd.resolve() > 0; round++ {
		if round == 10 {
			t.Fatalf("got conflicts after %d rounds, want them resolved", round)
		}
		herd.placeWaiting()
	}
	if got, want := herd.slowest(), 1.25; got > want {
		t.Errorf("got a prompt that takes %.1f times its predicted time, want at most %.2f", got, want)
	}
	placed := 0
	for _, placements := range herd.placed {
		placed += len(placements)
	}
	if placed == 0 {
		t.Error("got no prompt placed, want some")
	}
	t.Logf("%d of 10 placed, the slowest takes %.2f times its predicted time", placed, herd.slowest())
}

// Guards against daemons that withdraw each other's prompts, and against checks where none is needed.
func TestConflictsAreDecidedAlike(t *testing.T) {
	now := time.Now()
	prompt := func(id WorkID, holder dogwoodfleet.InstanceID, begun time.Time, tokens int) Work {
		return Work{
			ID: id, Holder: holder, Service: "models", Endpoint: "e00", Prompt: tokens, Tokens: tokens,
			Reading: testEngine.PrefillTime(tokens, 5), Aim: 3 * time.Second, Begun: begun, Until: now.Add(time.Minute),
		}
	}
	tests := []struct {
		name  string
		other Work
		want  bool
	}{
		{"another daemon's that goes first", prompt("a", "other", now.Add(time.Millisecond), 200_000), true},
		{"another daemon's that goes last", prompt("c", "other", now.Add(-time.Millisecond), 200_000), false},
		{"this daemon's own", prompt("a", "me", now, 200_000), false},
		{"one that was known", prompt("a", "other", now.Add(-time.Second), 200_000), false},
		{"one that leaves enough time", prompt("a", "other", now, 40_000), false},
		{"a short one", prompt("a", "other", now, 3_000), false},
	}
	for _, test := range tests {
		board := pool(1)
		board.Put(now, prompt("b", "me", now, 200_000))
		board.Put(now, test.other)
		if got := board.Conflicts(now, "b"); got != test.want {
			t.Errorf("%s: got %t, want %t", test.name, got, test.want)
		}
	}
	board := pool(1)
	if got := board.ConflictWindow(200_000); got != 0 {
		t.Errorf("got a check after %s by the only daemon, want none", got)
	}
	board.SetSenders(Senders{Count: 2})
	if got := board.ConflictWindow(3_000); got != 0 {
		t.Errorf("got a check after %s for a short prompt, want none", got)
	}
}

// Guards against daemons that each take all engines that more urgent requests leave, at the same moment. Each of five daemons has a prompt
// of low rank. Urgent requests needed most of 20 engines a moment ago, and 15 of these are idle until they are assigned again, so
// that the daemons choose different ones and no engine has two prompts.
func TestAllowanceIsTakenOnceByDaemonsAtTheSameMoment(t *testing.T) {
	tests := []struct {
		name        string
		answers     int // urgent answers a moment ago
		prompt      int
		aim         time.Duration
		wantAtMost  int // engines that the prompts take together
		wantAtLeast int // prompts that are placed
	}{
		{"the minimum", 17 * 13, 200_000, 8 * time.Second, 2, 1},
		{"some engines are left", 10 * 13, 200_000, 8 * time.Second, 9, 4},
		{"a prompt larger than the minimum", 17 * 13, 800_000, time.Minute, 3, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const daemons, engines = 5, 20
			herd := newHerd(daemons, engines, 1, test.prompt)
			for daemon, board := range herd.boards {
				for i := range test.answers {
					board.Put(herd.now, Work{
						ID: WorkID(fmt.Sprint("urgent", i)), Holder: "hub9", Service: "models", Endpoint: engineEndpoint(i / 13).ID, Prompt: 5000, Tokens: 6000,
						Pause: 250 * time.Millisecond, Begun: herd.now.Add(-time.Second), Writing: true, Until: herd.now.Add(time.Minute),
					})
				}
				for i := 5 * 13; i < test.answers; i++ {
					board.Remove(WorkID(fmt.Sprint("urgent", i)))
				}
				slices.SortFunc(board.ranked, func(a, b *endpointState) int { return cmp.Compare(a.ID, b.ID) })
				board.ranked = slices.Concat(board.ranked[5+3*daemon:], board.ranked[:5+3*daemon])
				board.promptSends = nil // one group, so that ranked decides
				for _, request := range herd.waiting[daemon] {
					request.Rank, request.Aim, request.Until = 2, test.aim, herd.now.Add(time.Minute)
				}
			}
			herd.placeWaiting()
			for round := 0; herd.resolve() > 0; round++ {
				if round == 10 {
					t.Fatalf("got conflicts after %d rounds, want them resolved", round)
				}
				herd.placeWaiting()
			}
			taken, placed := map[dogwoodfleet.EndpointID]bool{}, 0
			for _, placement := range slices.Concat(herd.placed...) {
				placed++
				for _, engine := range placement.Work.engines() {
					taken[engine] = true
				}
			}
			if len(taken) > test.wantAtMost || placed < test.wantAtLeast {
				t.Errorf("got %d engines taken by %d prompts, want at most %d by at least %d", len(taken), placed, test.wantAtMost, test.wantAtLeast)
			}
		})
	}
}

// Guards against a prompt that makes a more urgent one late, since its ID goes first.
func TestMoreUrgentPromptGoesFirstInConflicts(t *testing.T) {
	now := time.Now()
	for _, rank := range []int{0, 2} {
		board := pool(1)
		for id, holder := range map[WorkID]dogwoodfleet.InstanceID{"a": "other", "b": "me"} {
			work := Work{ID: id, Holder: holder, Service: "models", Endpoint: "e00", Prompt: 200_000, Tokens: 200_000, Rank: 1, Reading: testEngine.PrefillTime(200_000, 5), Aim: 3 * time.Second, Begun: now, Until: now.Add(time.Minute)}
			if id == "a" {
				work.Rank = rank
			}
			board.Put(now, work)
		}
		if got, want := board.Conflicts(now, "b"), rank < 1; got != want {
			t.Errorf("another prompt of rank %d: got %t, want %t", rank, got, want)
		}
	}
}
