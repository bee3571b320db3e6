package dogwoodreader

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodprogress"
	"dogwoodmux.example/core/state/dogwoodcopy"
)

// silentOnce is a daemon's way to the store of which the first query gets no answer, and the next ones do.
type silentOnce struct {
	*daemon
	// silence is how long a query takes that gets no answer.
	silence time.Duration
	// forGood makes all queries get no answer.
	forGood bool
	queries int
}

func (source *silentOnce) Changes(ctx context.Context, table string, after int64, wait time.Duration) (dogwoodcopy.Answer, error) {
	source.queries++
	if source.queries == 1 || source.forGood {
		select {
		case <-time.After(wait + source.silence):
			return dogwoodcopy.Answer{}, dogwoodprogress.ErrSilent
		case <-ctx.Done():
			return dogwoodcopy.Answer{}, ctx.Err()
		}
	}
	return source.daemon.Changes(ctx, table, after, wait)
}

// Guards against a daemon that learns of a change late, although the store answers again on a new connection, since it asks one
// daemon after the other whose connections have gone silent too; and against one that asks none of them for as long as the store is
// silent.
func TestSilentFallbacksDelayNoQueryOfTheStore(t *testing.T) {
	const silence, wait = 1200 * time.Millisecond, time.Second
	tests := []struct {
		name string
		// frozen is the number of fallbacks, of three, that are silent; the others have the change.
		frozen  int
		forGood bool
		want    time.Duration
	}{
		{name: "all are silent", frozen: 3, want: wait + silence},
		{name: "the store stays silent, one fallback answers", frozen: 2, forGood: true, want: wait + silence + 2*(maxHold+answerAllowance)},
		{name: "the store stays silent, all fallbacks answer", forGood: true, want: wait + silence},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore()
				daemons := newDaemons(store, 4)
				ctx, cancel := context.WithCancel(t.Context())
				var group sync.WaitGroup
				defer group.Wait()
				defer cancel()
				for i, fallback := range daemons[1:] {
					fallback.set(func(daemon *daemon) { daemon.readers, daemon.frozen = nil, i < test.frozen })
					follow(ctx, &group, fallback) // it reads the store
				}
				source := &silentOnce{daemon: daemons[0], silence: silence, forGood: test.forGood}
				peers := make([]Peer, 0, len(daemons))
				for i := range daemons[1:] {
					peers = append(peers, Peer{Instance: dogwoodfleet.InstanceID(rune('a' + i)), Address: addressOf(i + 1)})
				}
				network := daemons[0].options.Caller
				reader := New(Options{
					Store: source, Caller: network, Clock: daemons[0].clock, Logger: hclog.NewNullLogger(),
					Readers: func() []Peer { return nil }, Fallbacks: func() []Peer { return peers },
				})
				if _, err := reader.Whole(t.Context(), "table"); err != nil {
					t.Fatal(err)
				}
				began := time.Now()
				store.put("change")
				for {
					answer, err := reader.Changes(t.Context(), "table", 1, wait)
					if err == nil && len(answer.Rows) > 0 {
						break
					}
					if time.Since(began) > time.Minute {
						t.Fatal("got no change")
					}
				}
				if got, slack := time.Since(began), 10*time.Millisecond; got > test.want+slack {
					t.Errorf("got the change after %s, want it after %s", got, test.want)
				}
			})
		})
	}
}
