package dogwoodclaim

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/state/dogwoodtable"
)

// outageStore accepts every insert until it is down.
type outageStore struct {
	down bool
}

func (store *outageStore) Read(context.Context, string, string) (dogwoodtable.Row, bool, error) {
	return dogwoodtable.Row{}, false, &dogwoodtable.Unavailable{Cause: errors.New("down")}
}

func (store *outageStore) Commit(_ context.Context, writes ...dogwoodtable.Write) ([]uint64, error) {
	if store.down {
		return nil, &dogwoodtable.Unavailable{Cause: errors.New("down")}
	}
	return make([]uint64, len(writes)), nil
}

// peers are the other daemons; a nil element does not answer.
type peers []*Claims

func (peers peers) Recall(_ context.Context, query RecallQuery) (replies []RecallReply, complete bool) {
	complete = true
	for _, peer := range peers {
		if peer == nil {
			complete = false
			continue
		}
		replies = append(replies, peer.AnswerRecall(query))
	}
	return replies, complete
}

// Guards against a false "not run", after which a buyer would place a second hold under a
// new key: a hold runs at the first entry daemon, the buyer's connection breaks before the
// answer, the store goes down, and the buyer resends the hold through the second entry
// daemon, which can't read the claim.
func TestResendDuringOutageIsNotReportedNotRun(t *testing.T) {
	answer := Answer{Status: 201, Body: []byte("held")}
	tests := []struct {
		name            string
		key             string
		finished        bool
		firstDies       bool
		want            Outcome
		wantUnavailable bool
		wantEarlier     bool
	}{
		{name: "answered from the memory of the first entry daemon", key: "hold-1", finished: true, want: Answered},
		{name: "still running at the first entry daemon", key: "hold-1", want: Running},
		{name: "the first entry daemon died", key: "hold-1", finished: true, firstDies: true, wantUnavailable: true, wantEarlier: true},
		{name: "a different hold was certainly not run", key: "hold-2", finished: true, wantUnavailable: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var group sync.WaitGroup
				defer group.Wait()
				defer cancel()
				store := &outageStore{}
				start := func(self dogwoodfleet.InstanceID, peers Peers) *Claims {
					claims := New(Options{
						Store: store, Self: self, Peers: peers,
						Alive: func(dogwoodfleet.InstanceID) bool { return true },
					})
					group.Go(func() { _ = claims.Run(ctx) })
					return claims
				}
				first := start("first", nil)
				held := Key{Customer: "kurume", Service: "lot-desk", Key: "hold-1"}
				if taken, err := first.Take(ctx, held, dogwoodfleet.Digest{1}, "try-1"); err != nil || taken.Outcome != Fresh {
					t.Fatalf("got %v, %v, want %s", taken, err, Fresh)
				}
				store.down = true
				if test.finished {
					_ = first.Finish(ctx, held, "try-1", answer) // postponed: the store is down
				}
				others := peers{first}
				if test.firstDies {
					others = peers{nil}
				}
				second := start("second", others)
				resent := Key{Customer: "kurume", Service: "lot-desk", Key: test.key}
				got, err := second.Take(ctx, resent, dogwoodfleet.Digest{1}, "try-2")
				var unavailable *Unavailable
				if errors.As(err, &unavailable) != test.wantUnavailable || got.Outcome != test.want {
					t.Fatalf("got %v, %v, want outcome %q, unavailable %v", got, err, test.want, test.wantUnavailable)
				}
				if test.wantUnavailable && unavailable.EarlierUnknown != test.wantEarlier {
					t.Errorf("got earlier unknown %v, want %v", unavailable.EarlierUnknown, test.wantEarlier)
				}
				if test.want == Answered && string(got.Answer.Body) != "held" {
					t.Errorf("got body %q, want the first entry daemon's", got.Answer.Body)
				}
			})
		})
	}
}
