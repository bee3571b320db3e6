package dogwoodcopy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func valuesByKey(answer Answer) map[string]string {
	values := map[string]string{}
	for _, row := range answer.Rows {
		if !row.Deleted {
			values[row.Key] = string(row.Value)
		}
	}
	return values
}

// A daemon that has the table at some version queries its changes. It must get each row that
// was changed or deleted since then, and the whole table if its version is from before the
// start of the copy's history. Otherwise it would send requests to endpoints that have left.
func TestChangesSinceAVersion(t *testing.T) {
	table := New()
	if _, _, ok := table.Since(-1); ok {
		t.Error("got an answer of an empty copy, want none")
	}
	table.Apply(Answer{Whole: true, Rows: []Row{{Key: "a", Version: 3}, {Key: "b", Version: 7}}, Version: 10}, true)
	table.Apply(Answer{Rows: []Row{{Key: "c", Version: 11}, {Key: "a", Version: 12, Deleted: true}}, Version: 12}, true)
	tests := []struct {
		name    string
		version int64
		whole   bool
		want    []Row
	}{
		{name: "nothing new", version: 12},
		{name: "the last change", version: 11, want: []Row{{Key: "a", Deleted: true}}},
		{name: "all changes", version: 10, want: []Row{{Key: "c"}, {Key: "a", Deleted: true}}},
		{name: "before the start of the history", version: 9, whole: true, want: []Row{{Key: "b"}, {Key: "c"}}},
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

// Two daemons that have both lost the store query each other. If the answer of a peer counted as
// a confirmation, they would accept withdrawn keys for ever.
func TestPeerAnswerIsNoConfirmation(t *testing.T) {
	table := New()
	table.Apply(Answer{Whole: true, Version: 5, Proven: time.Second}, true)
	table.Apply(Answer{Version: 5, Proven: time.Minute}, false)
	if answer, _, _ := table.Since(5); answer.Proven != time.Second {
		t.Errorf("got a confirmation as of %s, want as of the store's own answer, %s", answer.Proven, time.Second)
	}
}

// Daemons follow a copy at random paces while thousands of endpoints register and leave, which
// also exceeds the history of the copy. All must end with the same rows.
func TestFollowersEndWithSameRows(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		table, version := New(), int64(1)
		table.Apply(Answer{Whole: true, Version: version}, true)
		followers := make([]*Copy, 4)
		for i := range followers {
			followers[i] = New()
		}
		follow := func(follower *Copy) {
			answer, _, _ := table.Since(follower.version)
			follower.Apply(answer, true)
		}
		for range 4000 {
			version++
			row := Row{Key: fmt.Sprint(random.IntN(3000)), Value: fmt.Append(nil, version), Version: version, Deleted: random.IntN(2) == 0}
			table.Apply(Answer{Rows: []Row{row}, Version: version}, true)
			if random.IntN(10) == 0 {
				follow(followers[random.IntN(len(followers)-1)])
			}
		}
		want, _, _ := table.Since(-1)
		for i, follower := range followers {
			follow(follower)
			got, _, _ := follower.Since(-1)
			if fmt.Sprint(valuesByKey(got)) != fmt.Sprint(valuesByKey(want)) {
				t.Errorf("seed %d: follower %d has %d rows, want the same %d", seed, i, len(got.Rows), len(want.Rows))
			}
		}
	}
}

// So many rows are deleted that the copy drops its deleted rows, and the last deletion comes in
// the answer that causes this. A follower that queried just before must still learn of this
// deletion; otherwise it sends requests to an endpoint that has left until it reads the whole
// table.
func TestDeletionThatExceedsHistoryReachesFollowers(t *testing.T) {
	table := New()
	table.Apply(Answer{Whole: true, Rows: []Row{{Key: "last", Version: 1}}, Version: 1}, true)
	for i := range int64(maxDeletedRows) {
		table.Apply(Answer{Rows: []Row{{Key: fmt.Sprint(i), Version: i + 2, Deleted: true}}, Version: i + 2}, true)
	}
	follower := New()
	before, _, _ := table.Since(-1)
	follower.Apply(before, true)
	version := int64(maxDeletedRows) + 2
	table.Apply(Answer{Rows: []Row{{Key: "last", Version: version, Deleted: true}}, Version: version}, true)
	after, _, _ := table.Since(follower.version)
	follower.Apply(after, true)
	got, _, _ := follower.Since(-1)
	if len(got.Rows) != 0 {
		t.Errorf("got rows %v at the follower, want none", got.Rows)
	}
}

// A daemon reads the table whole over a narrow link, which takes seconds, and learns of a later version from a peer
// meanwhile. The table of the read is older; if it were confirmed as of the peer's answer, keys that the later version
// withdraws would be accepted.
func TestOlderWholeTableIsNotConfirmedAsOfALaterAnswer(t *testing.T) {
	table := New()
	table.Apply(Answer{Rows: []Row{{Key: "text", Version: 12}}, Version: 12, Proven: 5 * time.Second}, false)
	table.Apply(Answer{Whole: true, Rows: []Row{{Key: "text", Version: 9}}, Version: 9, Proven: time.Second}, true)
	version, confirmed := table.Known()
	if version != 9 || confirmed != time.Second {
		t.Errorf("got version %d confirmed as of %s, want 9 as of its own query, 1s", version, confirmed)
	}
	// The answer to a query for changes after version 12 arrives late.
	table.Apply(Told{Answer: Answer{Version: 12}}.ToLocalClock(6*time.Second, 12), false)
	if version, confirmed := table.Known(); version != 9 || confirmed != time.Second {
		t.Errorf("got version %d confirmed as of %s after an answer without the changes since 9, want 9 as of 1s", version, confirmed)
	}
	table.Apply(Told{Answer: Answer{Version: 12, Rows: []Row{{Key: "text", Version: 12}}}}.ToLocalClock(7*time.Second, 9), false)
	if version, confirmed := table.Known(); version != 12 || confirmed != 7*time.Second {
		t.Errorf("got version %d confirmed as of %s after the changes since 9, want 12 as of 7s", version, confirmed)
	}
}

// An answer of the store is on its way while a daemon gets the whole table from another one. A row that was deleted meanwhile
// must not come back, as a data centre that is taken out would.
func TestLateChangesDoNotRestoreDeletedRows(t *testing.T) {
	table := New()
	table.Apply(Answer{Whole: true, Rows: []Row{{Key: "text", Version: 3}}, Version: 9}, false)
	table.Apply(Answer{Rows: []Row{{Key: "out", Version: 5}}, Version: 5}, true)
	if answer, _, _ := table.Since(-1); len(answer.Rows) != 1 || answer.Version != 9 {
		t.Errorf("got %+v, want the text alone at version 9", answer)
	}
}
