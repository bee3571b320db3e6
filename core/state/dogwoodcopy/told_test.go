package dogwoodcopy

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"
)

// A key is withdrawn while an answer is in transit between two daemons whose clocks are unrelated.
// If the network latency made the confirmation look younger than it is, the key would be accepted
// for longer than allowed.
func TestTransitMakesConfirmationNoYounger(t *testing.T) {
	const (
		sent    = time.Hour       // on the clock of the querying daemon
		arrived = 3 * time.Minute // on the clock of the answering daemon
		age     = 700 * time.Millisecond
	)
	tests := []struct {
		name        string
		answer      Answer
		after       int64
		wantVersion int64
		wantRows    int
	}{
		{name: "news", answer: Answer{Rows: []Row{{Key: "a", Version: 9}}, Version: 9}, after: 7, wantVersion: 9, wantRows: 1},
		{name: "nothing new", answer: Answer{Version: 9}, after: 9, wantVersion: 9},
		{name: "newer version at the querying daemon", answer: Answer{Version: 9}, after: 12, wantVersion: 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.answer.Proven = arrived - age
			var wire bytes.Buffer
			if err := gob.NewEncoder(&wire).Encode(Tell(test.answer, arrived)); err != nil {
				t.Fatal(err)
			}
			var told Told
			if err := gob.NewDecoder(&wire).Decode(&told); err != nil {
				t.Fatal(err)
			}
			got := told.ToLocalClock(sent, test.after)
			if got.Proven != sent-age {
				t.Errorf("got a confirmation %s before the query, want %s", sent-got.Proven, age)
			}
			if got.Version != test.wantVersion || len(got.Rows) != test.wantRows || got.Whole {
				t.Errorf("got %+v, want version %d and %d rows", got, test.wantVersion, test.wantRows)
			}
		})
	}
}
