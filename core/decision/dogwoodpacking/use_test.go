package dogwoodpacking

import (
	"testing"
	"time"
)

// Guards against gauges that count engines which take no requests, count a helper as idle, or show a need while all requests have one rank.
func TestEngineUses(t *testing.T) {
	now := time.Now()
	board := urgentPool(t, now, 20, 6, 12)
	if got := board.EngineUses(now)["models"]; got != (EngineUse{InForce: 20, Decoding: 6}) {
		t.Errorf("one rank: got %+v, want 20 in force, 6 that decode and none kept", got)
	}
	placement := mustPlace(t, board, now, lessUrgent(now, 200_000))
	board.Leave(now, &board.endpoints[engineEndpoint(0).ID].Endpoint.Endpoint)
	got := board.EngineUses(now)["models"]
	if want := 1 + len(placement.Helpers); got.InForce != 19 || got.Decoding != 5 || got.Prefilling != want {
		t.Errorf("got %+v, want 19 in force, 5 that decode and %d that prefill", got, want)
	}
	if got.Urgent < 5 || got.Urgent > 7 {
		t.Errorf("got %.1f engines kept for 72 urgent answers, want about 6", got.Urgent)
	}
}
