package dogwoodowner

import (
	"strings"
	"testing"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Guards against a refusal without the maximum size. A caller that sends a prompt that no gang
// can hold would otherwise send smaller and smaller ones to find out what fits.
func TestTooLargeReportsMaxTokens(t *testing.T) {
	engine := func(memory int, inForce bool) GangEngine {
		return GangEngine{Endpoint: dogwoodfleet.Endpoint{MemoryTokens: memory, InForce: inForce}}
	}
	tests := []struct {
		name    string
		engines []GangEngine
		want    string
	}{
		{"two engines", []GangEngine{engine(400_000, true), engine(400_000, true)}, "at most 700000 fit"},
		{"one of them is out", []GangEngine{engine(400_000, true), engine(400_000, false)}, "at most 400000 fit"},
		{"no memory is known", []GangEngine{engine(0, true)}, "1000000 tokens fit no engine"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := refusalTooLarge(1_000_000, maxRequestTokens(test.engines))
			if !strings.Contains(got.Detail, test.want) || !got.NotRun {
				t.Errorf("got %+v, want not run and %q", got, test.want)
			}
		})
	}
}
