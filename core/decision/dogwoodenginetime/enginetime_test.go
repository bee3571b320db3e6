package dogwoodenginetime

import (
	"testing"
	"time"
)

// engine has the performance figures of the engines currently in use.
var engine = Engine{
	Slots: 16, MemoryTokens: 405_000, Step: 1310 * time.Microsecond, PerRequest: 917 * time.Nanosecond,
	PerThousand: 2130 * time.Nanosecond, TokensPerSecond: 154_000, PerMillionPairs: 162 * time.Microsecond,
	Chunk: 2048, Stride: 34,
}

func within3Percent(got, want time.Duration) bool {
	return got > want*97/100 && got < want*103/100
}

func TestRead(t *testing.T) {
	tests := []struct {
		tokens, engines int
		want            time.Duration
	}{
		{4_960, 1, 34 * time.Millisecond},
		{45_000, 1, 456 * time.Millisecond},
		{182_000, 1, 3865 * time.Millisecond},
		{182_000, 4, 966 * time.Millisecond},
		{900_000, 16, 4466 * time.Millisecond},
		{0, 1, 0},
	}
	for _, test := range tests {
		if got := engine.PrefillTime(test.tokens, test.engines); !within3Percent(got, test.want) && got != test.want {
			t.Errorf("Read(%d, %d): got %s, want %s", test.tokens, test.engines, got, test.want)
		}
	}
	if got := (&Engine{}).PrefillTime(1000, 1); got != 0 {
		t.Errorf("an engine without figures: got %s, want 0", got)
	}
}

func TestFirstToken(t *testing.T) {
	tests := []struct {
		name   string
		load   Load
		tokens int
		want   time.Duration
	}{
		{"idle", Load{}, 4_960, 34 * time.Millisecond},
		{"behind another prompt", Load{Queued: time.Second, QueuedTokens: 90_000}, 4_960, 1034 * time.Millisecond},
		{"within one pass of decoding requests", Load{DecodingRequests: 10, ContextTokens: 60_000}, 4_960, 108 * time.Millisecond},
		{"over several passes of decoding requests", Load{DecodingRequests: 10, ContextTokens: 60_000}, 182_000, 4037 * time.Millisecond},
	}
	for _, test := range tests {
		if got := engine.FirstToken(test.load, test.tokens, engine.PrefillTime(test.tokens, 1)); !within3Percent(got, test.want) {
			t.Errorf("%s: got %s, want %s", test.name, got, test.want)
		}
	}
}

// The prefill of a long prompt extends a pass of the decoding requests by the time of that prefill.
func TestPauseIncludesPrefill(t *testing.T) {
	load := Load{DecodingRequests: 10, ContextTokens: 60_000}
	if got, want := engine.Pause(load, 0), 49*time.Millisecond; !within3Percent(got, want) {
		t.Errorf("got a pause of %s, want %s", got, want)
	}
	if got, want := engine.Pause(load, time.Second), 1049*time.Millisecond; !within3Percent(got, want) {
		t.Errorf("got a pause of %s with a long prompt, want %s", got, want)
	}
}
