package dogwoodcopy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func keysOf(answer Answer) map[string]string {
	keys := map[string]string{}
	for _, row := range answer.Rows {
		if !row.Deleted {
			keys[row.Key] = string(row.Value)
		}
	}
	return keys
}

// A daemon that was told the table at some version asks for changes. It must be told each
// row that changed or went since then, and the whole table if it was told before the copy
// began, or it would send to endpoints that have left.
func TestChangesSinceAVersion(t *testing.T) {
	table := New()
	if _, _, ok := table.Since(-1); ok {
		t.Error("got an answer of an empty copy, want none")
	}
	table.Take(Answer{Whole: true, Rows: []Row{{Key: "a", Version: 3}, {Key: "b", Version: 7}}, Version: 10}, true)
	table.Take(Answer{Rows: []Row{{Key: "c", Version: 11}, {Key: "a", Version: 12, Deleted: true}}, Version: 12}, true)
	tests := []struct {
		name    string
		version int64
		whole   bool
		want    []Row
	}{
		{name: "nothing new", version: 12},
		{name: "the last change", version: 11, want: []Row{{Key: "a", Deleted: true}}},
		{name: "all changes", version: 10, want: []Row{{Key: "c"}, {Key: "a", Deleted: true}}},
		{name: "from before the copy", version: 9, whole: true, want: []Row{{Key: "b"}, {Key: "c"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answer, _, ok := table.Since(test.version)
			if !ok || answer.Whole != test.whole || answer.Version != 12 || len(answer.Rows) != len(test.want) {
				t.Fatalf("got %+v, %v; want whole %v and rows %+v", answer, ok, test.whole, test.want)
			}
			for i, row := range answer.Rows {
				if row.Key != test.want[i].Key || row.Deleted != test.want[i].Deleted {
					t.Errorf("got row %+v, want %+v", row, test.want[i])
				}
			}
		})
	}
}

// Two daemons that are both cut off from the store ask each other. If what one was told by
// the other counted as a proof, they would accept withdrawn keys for ever.
func TestWhatAPeerToldIsNoProof(t *testing.T) {
	table := New()
	table.Take(Answer{Whole: true, Version: 5, Proven: time.Second}, true)
	table.Take(Answer{Version: 5, Proven: time.Minute}, false)
	if answer, _, _ := table.Since(5); answer.Proven != time.Second {
		t.Errorf("got a proof as of %s, want as of the store's own answer, %s", answer.Proven, time.Second)
	}
}

// Daemons follow a copy at random paces while endpoints come and go by the thousand, also
// past what the copy remembers. Each must end with the same rows.
func TestFollowersEndWithTheSameRows(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		table, version := New(), int64(1)
		table.Take(Answer{Whole: true, Version: version}, true)
		followers := make([]*Copy, 4)
		for i := range followers {
			followers[i] = New()
		}
		follow := func(follower *Copy) {
			answer, _, _ := table.Since(follower.version)
			follower.Take(answer, true)
		}
		for range 4000 {
			version++
			row := Row{Key: fmt.Sprint(random.IntN(3000)), Value: fmt.Append(nil, version), Version: version, Deleted: random.IntN(2) == 0}
			table.Take(Answer{Rows: []Row{row}, Version: version}, true)
			if random.IntN(10) == 0 {
				follow(followers[random.IntN(len(followers)-1)])
			}
		}
		want, _, _ := table.Since(-1)
		for i, follower := range followers {
			follow(follower)
			got, _, _ := follower.Since(-1)
			if fmt.Sprint(keysOf(got)) != fmt.Sprint(keysOf(want)) {
				t.Errorf("seed %d: follower %d has %d rows, want the same %d", seed, i, len(got.Rows), len(want.Rows))
			}
		}
	}
}

// So many rows went that a daemon forgets the deleted ones, the last of them told by the same
// answer. Who was told just before it must still learn of that one, or it sends to an endpoint
// that has left until the table is read whole.
func TestTheRowThatMakesACopyForgetIsTold(t *testing.T) {
	table := New()
	table.Take(Answer{Whole: true, Rows: []Row{{Key: "last", Version: 1}}, Version: 1}, true)
	for i := range int64(mostDeleted) {
		table.Take(Answer{Rows: []Row{{Key: fmt.Sprint(i), Version: i + 2, Deleted: true}}, Version: i + 2}, true)
	}
	follower := New()
	before, _, _ := table.Since(-1)
	follower.Take(before, true)
	version := int64(mostDeleted) + 2
	table.Take(Answer{Rows: []Row{{Key: "last", Version: version, Deleted: true}}, Version: version}, true)
	after, _, _ := table.Since(follower.version)
	follower.Take(after, true)
	got, _, _ := follower.Since(-1)
	if len(got.Rows) != 0 {
		t.Errorf("got rows %v at who was told before, want none", got.Rows)
	}
}
