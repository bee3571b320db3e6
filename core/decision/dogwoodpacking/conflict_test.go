package dogwoodpacking

import (
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
			if !board.Conflicts(placement.Work.ID) {
				return false
			}
			withdrawn = append(withdrawn, placement.Work.ID)
			again := long(herd.now, placement.Work.Prompt)
			again.Aim, again.Holder, again.CanWait = placement.Work.Aim, placement.Work.Holder, true
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
		if got := board.Conflicts("b"); got != test.want {
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
