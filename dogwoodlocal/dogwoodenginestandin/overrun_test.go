package dogwoodenginestandin_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/dogwoodlocal/dogwoodenginestandin"
)

// Requests that run when a warm engine turns cold don't count as overruns. The first request
// afterwards is counted separately, since only its answer reports that the engine is cold. Only
// later requests above the limit show that the system sent a cold engine too much.
func TestOverrunsAreArrivalsWhileCold(t *testing.T) {
	tests := []struct {
		name             string
		before, cold     int
		want, unreported int
	}{
		{"requests from before it turned cold", 4, 0, 0, 0},
		{"one more, whose answer reports it first", 4, 1, 0, 1},
		{"two more, one of them after that answer", 4, 2, 1, 1},
		{"up to the limit", 0, 2, 0, 0},
		{"over the limit", 0, 4, 2, 0},
	}
	for _, test := range tests {
		inBubble(t, 1, dogwoodenginestandin.Options{}, func(t *testing.T, bench *bench) {
			startRuns := func(count int, when string) {
				for i := range count {
					id := dogwoodfleet.RequestID(fmt.Sprintf("%s-%d", when, i))
					stream, err := bench.client.Start(t.Context(), bench.endpoint(0), newRun(id, 100, 10_000))
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(stream.Close)
				}
			}
			time.Sleep(4 * time.Second) // longer than the engine is cold after its start
			startRuns(test.before, "warm")
			time.Sleep(time.Second)
			bench.engines[0].TurnCold()
			startRuns(test.cold, "cold")
			if got := bench.engines[0].ColdOverruns(); got != test.want {
				t.Errorf("%s: got %d overruns, want %d", test.name, got, test.want)
			}
			if got := bench.engines[0].UntoldColdOverruns(); got != test.unreported {
				t.Errorf("%s: got %d overruns before an answer reported it, want %d", test.name, got, test.unreported)
			}
		})
	}
}
