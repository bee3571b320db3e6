package dogwoodcopy

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"testing"
	"time"

	"github.com/klauspost/compress/s2"
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
			if err := gob.NewEncoder(&wire).Encode(Tell(test.answer, arrived, true)); err != nil {
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

// Guards against a large text that arrives damaged or empty because it was sent compressed.
func TestLargeValuesAreSentCompressed(t *testing.T) {
	value := bytes.Repeat([]byte(`{"prefix":"/a/"},`), 4000)
	table := New()
	table.Apply(Answer{Whole: true, Rows: []Row{{Key: "large", Value: value, Version: 1}, {Key: "small", Value: []byte("s"), Version: 2}}, Version: 2}, true)
	answer, _, _ := table.Since(-1)
	for _, compressed := range []bool{true, false} {
		var wire bytes.Buffer
		if err := gob.NewEncoder(&wire).Encode(Tell(answer, 0, compressed)); err != nil {
			t.Fatal(err)
		}
		if got, limit := wire.Len(), len(value)/4; compressed && got > limit {
			t.Errorf("got %d bytes, want at most %d", got, limit)
		}
		var told Told
		if err := gob.NewDecoder(&wire).Decode(&told); err != nil {
			t.Fatal(err)
		}
		got, err := told.Decompress()
		if err != nil {
			t.Fatal(err)
		}
		rows := got.Answer.Rows
		if len(rows) != 2 || !bytes.Equal(rows[0].Value, value) || string(rows[1].Value) != "s" || rows[0].Compressed != nil {
			t.Errorf("compressed %t: got %d rows that differ from those told", compressed, len(rows))
		}
	}
	if !bytes.Equal(answer.Rows[0].Value, value) {
		t.Error("got a changed row at the daemon that told it")
	}
}

// Guards against a daemon that applies an empty text or runs out of memory because of damaged bytes.
func TestDamagedValuesAreReported(t *testing.T) {
	tests := []struct {
		name  string
		value []byte
	}{
		{name: "empty", value: []byte{}},
		{name: "cut", value: s2.Encode(nil, bytes.Repeat([]byte("text"), 100))[:9]},
		{name: "too large", value: binary.AppendUvarint(nil, maxValueBytes+1)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			told := Told{Answer: Answer{Rows: []Row{{Key: "a", Compressed: test.value}}}}
			if got, err := told.Decompress(); err == nil {
				t.Errorf("got %+v, want an error", got)
			}
		})
	}
}
