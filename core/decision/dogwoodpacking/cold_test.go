package dogwoodpacking

import (
	"testing"
	"time"
)

// A burst keeps many daemons busy, so that they hear late of each other's requests, and an
// endpoint starts and is cold. To each it looks empty: in one second it got 35 requests where
// it bore 17, and a little more was allowed. Together they must stay within one and a half
// times what it bears, and one that stands by must send it nothing.
func TestDaemonsThatHearLateSpareAColdEndpoint(t *testing.T) {
	const daemons, bears = 8, 17
	now := time.Now()
	endpoint := engineEndpoint(0)
	endpoint.ColdPerSecond, endpoint.ColdUntil = bears, now.Add(3*time.Second)
	placed := func(standsBy bool) int {
		board := NewBoard("me")
		board.SetEndpoints([]Endpoint{endpoint})
		board.SetSenders(Senders{Count: daemons, StandsBy: standsBy})
		count := 0
		for i := range 50 {
			ask := short(now, 3_000)
			if _, refusal := board.Place(now.Add(time.Duration(i)*10*time.Millisecond), ask); refusal == Placed {
				count++
				board.End(ask.ID)
			}
		}
		return count
	}
	if got, most := daemons*placed(false), bears*3/2; got > most || got < daemons {
		t.Errorf("got %d requests by %d daemons, want at most %d and one by each", got, daemons, most)
	}
	if got := placed(true); got != 0 {
		t.Errorf("got %d requests by a daemon that stands by, want none", got)
	}
}

// An endpoint failed some requests, and all daemons avoided it until the same moment, at which
// those who waited at each of them went there: 34 within 50 ms, before any daemon heard of
// another's. It may have come back cold without a sign, so that they must stay within what is
// allowed then; and while the daemons hear of each other they may send it all that it bears.
func TestDaemonsDoNotRushToAnEndpointTogether(t *testing.T) {
	const daemons, bears = 6, 17
	now := time.Now()
	endpoint := engineEndpoint(0)
	endpoint.ColdPerSecond = bears
	inHerd, inTurn := 0, 0
	for range daemons {
		board := NewBoard("me")
		board.SetEndpoints([]Endpoint{endpoint})
		board.SetSenders(Senders{Count: daemons})
		for i := range 50 {
			ask := short(now, 3_000)
			if _, refusal := board.Place(now.Add(time.Duration(i)*time.Millisecond), ask); refusal == Placed {
				inHerd++
				board.End(ask.ID)
			}
		}
	}
	if got, most := inHerd, bears*3/2+5; got > most || got < daemons {
		t.Errorf("got %d requests within 50 ms, want at most %d and one by each daemon", got, most)
	}
	board := NewBoard("me")
	board.SetEndpoints([]Endpoint{endpoint})
	board.SetSenders(Senders{Count: daemons})
	for i := range 50 {
		ask := short(now, 3_000)
		if _, refusal := board.Place(now.Add(time.Duration(i)*20*time.Millisecond), ask); refusal == Placed {
			inTurn++
			board.End(ask.ID)
		}
	}
	if got, least := inTurn, bears; got < least {
		t.Errorf("got %d requests within a second by one daemon, want at least %d", got, least)
	}
}

// A daemon runs for weeks before an endpoint that never turns cold. What it remembers of its
// sends must not grow, or each decision would go over all of them.
func TestSendsAreForgotten(t *testing.T) {
	board, now := pool(1), time.Now()
	for range 500 {
		now = now.Add(100 * time.Millisecond)
		ask := short(now, 3_000)
		mustPlace(t, board, now, ask)
		board.End(ask.ID)
	}
	place := board.places["e00"]
	if got, most := len(place.sends)+len(place.ownSends), 2*10; got > most {
		t.Errorf("got %d remembered sends at ten a second, want at most %d", got, most)
	}
}
