package dogwoodpacking

import (
	"testing"
	"time"
)

// Under a burst, many daemons receive each other's announcements late while an endpoint starts
// and is cold. It looks empty to each of them: in one second it got 35 requests, although its limit
// was 17 with some tolerance. Together the daemons must stay within one and a half times the limit,
// and a standby daemon must send it nothing.
func TestDaemonsWithDelayedAnnouncementsLimitColdEndpoint(t *testing.T) {
	const daemons, coldRate = 8, 17
	now := time.Now()
	endpoint := engineEndpoint(0)
	endpoint.ColdPerSecond, endpoint.ColdUntil = coldRate, now.Add(3*time.Second)
	placed := func(standby bool) int {
		board := NewBoard("me")
		board.SetEndpoints([]Endpoint{endpoint})
		board.SetSenders(Senders{Count: daemons, Standby: standby})
		count := 0
		for i := range 50 {
			request := short(now, 3_000)
			if _, refusal := board.Place(now.Add(time.Duration(i)*10*time.Millisecond), request); refusal == Placed {
				count++
				board.End(request.ID)
			}
		}
		return count
	}
	if got, limit := daemons*placed(false), coldRate*3/2; got > limit || got < daemons {
		t.Errorf("got %d requests by %d daemons, want at most %d and one by each", got, daemons, limit)
	}
	if got := placed(true); got != 0 {
		t.Errorf("got %d requests by a standby daemon, want none", got)
	}
}

// An endpoint failed some requests, and all daemons avoided it until the same moment. Their
// waiting requests were then sent to it at once: 34 within 50 ms, before any daemon received
// another's announcement. The endpoint may be cold again without notice, so the burst must stay
// within the limit for that case. Requests spread over a second may use the full limit.
func TestDaemonsLimitCombinedBurstToAnEndpoint(t *testing.T) {
	const daemons, coldRate = 6, 17
	now := time.Now()
	endpoint := engineEndpoint(0)
	endpoint.ColdPerSecond = coldRate
	inBurst, spreadOut := 0, 0
	for range daemons {
		board := NewBoard("me")
		board.SetEndpoints([]Endpoint{endpoint})
		board.SetSenders(Senders{Count: daemons})
		for i := range 50 {
			request := short(now, 3_000)
			if _, refusal := board.Place(now.Add(time.Duration(i)*time.Millisecond), request); refusal == Placed {
				inBurst++
				board.End(request.ID)
			}
		}
	}
	if got, limit := inBurst, coldRate*3/2+5; got > limit || got < daemons {
		t.Errorf("got %d requests within 50 ms, want at most %d and one by each daemon", got, limit)
	}
	board := NewBoard("me")
	board.SetEndpoints([]Endpoint{endpoint})
	board.SetSenders(Senders{Count: daemons})
	for i := range 50 {
		request := short(now, 3_000)
		if _, refusal := board.Place(now.Add(time.Duration(i)*20*time.Millisecond), request); refusal == Placed {
			spreadOut++
			board.End(request.ID)
		}
	}
	if got, minimum := spreadOut, coldRate; got < minimum {
		t.Errorf("got %d requests within a second by one daemon, want at least %d", got, minimum)
	}
}

// A daemon runs for weeks with an endpoint that never becomes cold. The send times that it keeps
// must not grow without bound, as each decision would iterate over all of them.
func TestOldSendsAreDropped(t *testing.T) {
	board, now := pool(1), time.Now()
	for range 500 {
		now = now.Add(100 * time.Millisecond)
		request := short(now, 3_000)
		mustPlace(t, board, now, request)
		board.End(request.ID)
	}
	state := board.endpoints["e00"]
	if got, limit := len(state.sends)+len(state.ownSends), 2*10; got > limit {
		t.Errorf("got %d recorded sends at ten a second, want at most %d", got, limit)
	}
}
