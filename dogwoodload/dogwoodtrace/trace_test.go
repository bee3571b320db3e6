package dogwoodtrace

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"
)

func testSpec(seed uint64) *Spec {
	return &Spec{
		Seed: seed, Duration: 10 * time.Second, Rate: 100,
		TrafficShares: []TrafficShare{{"a", 0.7}, {"b", 0.3}},
		PromptClasses: []PromptClass{{Share: 0.8, FromTokens: 200, ToTokens: 1000, MaxTokens: 32, Deadline: time.Second}, {Share: 0.2, FromTokens: 1001, ToTokens: 64000, MaxTokens: 64, Deadline: time.Minute}},
		LookupShare:   0.1, HoldShare: 0.1, DuplicateHoldShare: 0.5, PlainDeadline: time.Second,
		Prefixes: 3, PrefixTokens: 100, PrefixShare: 0.5,
	}
}

func TestSameSeedSameTrace(t *testing.T) {
	if got, want := Draw(testSpec(1)), Draw(testSpec(1)); !reflect.DeepEqual(got, want) {
		t.Error("two traces of seed 1 differ")
	}
	if got, other := Draw(testSpec(1)), Draw(testSpec(2)); reflect.DeepEqual(got, other) {
		t.Error("traces of seeds 1 and 2 are equal")
	}
}

func TestRecordedTraceIsReadBack(t *testing.T) {
	want := Draw(testSpec(3))
	var buffer bytes.Buffer
	if err := Write(&buffer, want); err != nil {
		t.Fatal(err)
	}
	got, err := Read(&buffer)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Error("the trace read back differs from the one recorded")
	}
}

func TestBrokenTraceNamesTheArrival(t *testing.T) {
	_, err := Read(strings.NewReader(`{"LoadID":"x"}` + "\n" + `{"LoadID":1}`))
	if err == nil || !strings.Contains(err.Error(), "arrival 2") {
		t.Errorf("got %v, want an error that names arrival 2", err)
	}
}

// Guards against a mix that does not turn, and against ranks, repetitions and pauses that get lost on the way to the trace.
func TestPhasesTurnTheMix(t *testing.T) {
	spec := testSpec(5)
	spec.Repeating, spec.ReadPauseShare, spec.ReadPause = "b", 0.5, time.Second
	long := []PromptClass{{Share: 1, FromTokens: 100_000, ToTokens: 200_000, MaxTokens: 32, Deadline: time.Second, Rank: 2}}
	spec.Phases = []Phase{{From: 2 * time.Second, To: 4 * time.Second, Factor: 1, PromptClasses: long}}
	pauses, prompts := 0, 0
	for _, arrival := range Draw(spec).Arrivals {
		if arrival.Kind != Chat {
			continue
		}
		prompts++
		if arrival.ReadPause > 0 {
			pauses++
		}
		at := time.Duration(arrival.At)
		inPhase := at >= 2*time.Second && at < 4*time.Second
		if isLong := arrival.PromptTokens >= 100_000; isLong != inPhase || (arrival.Rank == 2) != inPhase || arrival.RepeatsRefused != (arrival.Customer == "b") {
			t.Errorf("got %+v, want long prompts of rank 2 from 2 s to 4 s alone, and repetitions of b alone", arrival)
		}
	}
	if pauses < prompts/3 || pauses > 2*prompts/3 {
		t.Errorf("got %d pauses in %d prompts, want half as many", pauses, prompts)
	}
}

// A change to one customer's rate must not change the requests of the others; otherwise a run with a
// hot customer could not be compared with a run without it.
func TestPhaseOfOneCustomerDoesNotChangeOthers(t *testing.T) {
	hot := testSpec(4)
	hot.Phases = []Phase{{From: 2 * time.Second, To: 4 * time.Second, Factor: 10, Customer: "a"}}
	count := func(trace *Trace, customer string) (count int) {
		for i := range trace.Arrivals {
			if string(trace.Arrivals[i].Customer) == customer {
				count++
			}
		}
		return count
	}
	baseline, burst := Draw(testSpec(4)), Draw(hot)
	if got, want := count(burst, "b"), count(baseline, "b"); got != want {
		t.Errorf("arrivals of b: got %d, want %d", got, want)
	}
	if got, want := count(burst, "a"), 2*count(baseline, "a"); got < want {
		t.Errorf("arrivals of a: got %d, want at least %d", got, want)
	}
}

func TestPromptHasLengthMarkerAndSharedPrefix(t *testing.T) {
	tests := []struct {
		name    string
		arrival Arrival
		marker  string
	}{
		{"plain", Arrival{Kind: Chat, LoadID: "load-1", PromptTokens: 1000}, "load-id=load-1 "},
		{"with a prefix", Arrival{Kind: Chat, LoadID: "load-2", PromptTokens: 500, Prefix: 2, PrefixTokens: 400}, "load-id=load-2 "},
		{"poison", Arrival{Kind: Chat, LoadID: "load-3", PromptTokens: 50, Poison: "p"}, "poison-p "},
	}
	for _, test := range tests {
		prompt := test.arrival.Prompt()
		if got, want := len(prompt), test.arrival.PromptTokens*bytesPerToken; got != want {
			t.Errorf("%s: got %d bytes, want %d", test.name, got, want)
		}
		if got := strings.Index(prompt, test.marker); got != test.arrival.PrefixTokens*bytesPerToken {
			t.Errorf("%s: marker at %d, want %d", test.name, got, test.arrival.PrefixTokens*bytesPerToken)
		}
		if !json.Valid([]byte(test.arrival.Body())) {
			t.Errorf("%s: body is not valid JSON", test.name)
		}
	}
}

// When two arrivals had the same LoadID, a run of one was attributed to the other, whose refusal as
// not run was then counted as false.
func TestCheckRequiresUniqueLoadIDs(t *testing.T) {
	tests := []struct {
		name string
		ids  []string
		want bool
	}{
		{"unique", []string{"a", "b"}, true},
		{"one duplicated", []string{"a", "b", "a"}, false},
		{"one empty", []string{"a", ""}, false},
	}
	for _, test := range tests {
		var trace Trace
		for _, id := range test.ids {
			trace.Arrivals = append(trace.Arrivals, Arrival{LoadID: id})
		}
		if got := trace.Check() == nil; got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}
