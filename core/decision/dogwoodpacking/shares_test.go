package dogwoodpacking

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodshare"
	"dogwoodmux.example/core/dogwoodfleet"
)

func peerWork(id string, customer dogwoodfleet.Customer, now time.Time, took time.Duration) Work {
	return Work{
		ID: WorkID(id), Holder: "peer", Service: "models", Endpoint: "e00", Customer: customer, Prompt: 1_000, Tokens: 2_000,
		Reading: took, Begun: now, Until: now.Add(time.Minute),
	}
}

func usedBy(board *Board, now time.Time, customer dogwoodfleet.Customer) time.Duration {
	for _, use := range board.LargestUses(now, 100) {
		if use.Customer == customer {
			return use.Used
		}
	}
	return 0
}

// Guards against work that counts twice: when its first token is announced, when its peer's link breaks and comes back, or
// when a leaf fetches a view in which it is listed again; and against work that no longer counts once it has ended.
func TestWorkCountsOnce(t *testing.T) {
	const took = 100 * time.Millisecond
	tests := []struct {
		name string
		act  func(board *Board, now time.Time, work Work)
	}{
		{"first token", func(board *Board, now time.Time, work Work) {
			work.Writing = true
			board.Put(now, work)
		}},
		{"ended", func(board *Board, _ time.Time, work Work) { board.Remove(work.ID) }},
		{"link broken and back", func(board *Board, now time.Time, work Work) {
			board.RemoveHolder("peer", nil)
			board.Expire(now)
			work.Begun = work.Begun.Add(time.Millisecond) // converted by another announcement
			board.Put(now, work)
		}},
		{"in a later view again", func(board *Board, now time.Time, work Work) {
			board.ReplacePeerWork(now, nil)
			board.ReplacePeerWork(now, []Work{work})
		}},
	}
	for _, test := range tests {
		board, now := pool(2), time.Now()
		work := peerWork("w", "a", now, took)
		board.Put(now, work)
		test.act(board, now, work)
		if got := usedBy(board, now, "a"); got != took {
			t.Errorf("%s: got %s used, want %s", test.name, got, took)
		}
	}
	board, now := pool(2), time.Now()
	board.Put(now, peerWork("w", "a", now, took))
	board.RemoveHolder("peer", nil)
	now = now.Add(2 * dogwoodshare.Window)
	board.Expire(now)
	if got := len(board.shares.dropped); got != 0 {
		t.Errorf("got %d dropped works remembered after the window, want 0", got)
	}
}

// Guards against a joint prompt that counts only the time of one of its engines, work learnt late that counts as new, and
// another service's use that counts here.
func TestUseOfPlacedWork(t *testing.T) {
	board, now := pool(8), time.Now()
	request := long(now, 182_000)
	request.Customer = "a"
	placement := mustPlace(t, board, now, request)
	if len(placement.Helpers) == 0 {
		t.Fatal("got no helpers, want a joint prompt")
	}
	alone := placement.Endpoint.Engine.PrefillTime(request.Prompt, 1)
	if got := usedBy(board, now, "a"); (got - alone).Abs() > time.Microsecond {
		t.Errorf("got %s used, want %s", got, alone)
	}
	late := peerWork("late", "b", now.Add(-dogwoodshare.Window+time.Second), alone)
	board.ReplacePeerWork(now, []Work{late})
	if got := board.Excess(now, dogwoodshare.Claim{Service: "models", Customer: "b"}); got < 0.999 || got > 1.001 { // parts are rounded to nanoseconds
		t.Errorf("got an excess of %g, want 1", got)
	}
	if got := usedBy(board, now.Add(1500*time.Millisecond), "b"); got != 0 {
		t.Errorf("got %s used by late work after its window, want 0", got)
	}
	claims := []dogwoodshare.Claim{{Service: "other", Customer: "a"}, {Service: "models", Customer: "a"}, {Service: "models", Customer: "c"}}
	standings := board.Standings(now, claims)
	if standings[0].Used != 0 || standings[1].Used == 0 || standings[2].Used != 0 {
		t.Errorf("got %+v, want use of the service's engines alone", standings)
	}
}

// Guards against a rank's use that leaves out requests without a customer, counts those of a broken link twice, or takes this
// daemon's share for larger than it is while few daemons are seen.
func TestUseByRank(t *testing.T) {
	board, now := pool(2), time.Now()
	own, peer := peerWork("own", "", now, time.Second), peerWork("peer", "", now, time.Second)
	own.Holder = "me"
	board.Put(now, own)
	board.Put(now, peer)
	board.RemoveHolder("peer", nil)
	board.Put(now, peer)
	board.SetVisibleDaemons(1, 4)
	want := []dogwoodshare.RankUse{{Used: 2 * time.Second, Own: time.Second / 4, Starts: 2}}
	if got := board.RankUses(now, "models"); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := board.RankUses(now, "other"); len(got) > 0 {
		t.Errorf("got %v for another service, want none", got)
	}
}

// Guards against work that never ran that still counts since it was announced again with another time, or since its peer's link broke
// before the removal, and against a removal that counts twice.
func TestWorkThatNeverRanDoesNotCount(t *testing.T) {
	tests := []struct {
		name string
		act  func(board *Board, now time.Time, work Work)
	}{
		{"on the board", func(*Board, time.Time, Work) {}},
		{"announced again", func(board *Board, now time.Time, work Work) {
			work.Begun = work.Begun.Add(300 * time.Millisecond)
			board.Put(now, work)
		}},
		{"link broken", func(board *Board, _ time.Time, _ Work) { board.RemoveHolder("peer", nil) }},
		{"link broken and back", func(board *Board, now time.Time, work Work) {
			board.RemoveHolder("peer", nil)
			work.Begun = work.Begun.Add(300 * time.Millisecond)
			board.Put(now, work)
		}},
		{"removed twice", func(board *Board, now time.Time, work Work) { board.RemoveUse(now, work.ID) }},
	}
	for _, test := range tests {
		board, now := pool(2), time.Now()
		work, ran := peerWork("w", "a", now, time.Second), peerWork("ran", "b", now, time.Second)
		ran.Holder = "other"
		board.Put(now, ran)
		board.Put(now, work)
		now = now.Add(500 * time.Millisecond)
		test.act(board, now, work)
		board.RemoveUse(now, work.ID)
		want := []dogwoodshare.RankUse{{Used: time.Second, Starts: 1}}
		if got := board.RankUses(now, "models"); !slices.Equal(got, want) {
			t.Errorf("%s: got %v, want %v", test.name, got, want)
		}
		if got := usedBy(board, now, "a"); got != 0 {
			t.Errorf("%s: got %s used, want 0", test.name, got)
		}
	}
}

// Guards against ledgers that grow with the services that peers announce.
func TestLedgersAreBounded(t *testing.T) {
	board, now := pool(1), time.Now()
	for i := range 3 * maxLedgers {
		work := peerWork(fmt.Sprint(i), "a", now, time.Millisecond)
		work.Service = dogwoodfleet.Service(fmt.Sprint("s", i))
		board.Put(now, work)
	}
	if got := len(board.shares.ledgers); got > maxLedgers {
		t.Errorf("got %d ledgers, want at most %d", got, maxLedgers)
	}
	now = now.Add(2 * dogwoodshare.Window)
	board.Put(now, peerWork("new", "a", now, time.Millisecond))
	if got := usedBy(board, now, "a"); got != time.Millisecond {
		t.Errorf("got %s used, want %s: unused ledgers make room", got, time.Millisecond)
	}
}
