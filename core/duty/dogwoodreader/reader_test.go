package dogwoodreader

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodprogress"
	"dogwoodmux.example/core/state/dogwoodcopy"
)

var errCutOff = errors.New("away")

// storeStandin is a store that counts its queries. Each daemon can be cut off from it.
type storeStandin struct {
	mutex   sync.Mutex
	table   *dogwoodcopy.Copy
	queries int
	version int64
}

func newStore() *storeStandin {
	store := &storeStandin{table: dogwoodcopy.New(), version: 1}
	store.table.Apply(dogwoodcopy.Answer{Whole: true, Version: 1}, true)
	return store
}

func (store *storeStandin) put(key string) { store.putValue(key, nil) }

func (store *storeStandin) putValue(key string, value []byte) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.version++
	store.table.Apply(dogwoodcopy.Answer{Rows: []dogwoodcopy.Row{{Key: key, Value: value, Version: store.version}}, Version: store.version}, true)
}

func (store *storeStandin) count() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.queries
}

// daemon is a daemon's connection to the store, its reader and its faults.
type daemon struct {
	*Reader
	store   *storeStandin
	started time.Time

	mutex   sync.Mutex
	cutOff  bool // the store does not answer this daemon
	frozen  bool // this daemon does not answer
	readers []Peer
	// fallbacks are the daemons to ask while the store does not answer.
	fallbacks []Peer
}

func (daemon *daemon) clock() time.Duration { return time.Since(daemon.started) }

func (daemon *daemon) Whole(context.Context, string) (dogwoodcopy.Answer, error) {
	answer, _, _ := daemon.store.table.Since(-1)
	answer.Proven = daemon.clock()
	return answer, nil
}

func (daemon *daemon) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (dogwoodcopy.Answer, error) {
	daemon.store.mutex.Lock()
	daemon.store.queries++
	daemon.store.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		daemon.mutex.Lock()
		cutOff := daemon.cutOff
		daemon.mutex.Unlock()
		if cutOff {
			time.Sleep(wait)
			return dogwoodcopy.Answer{}, errCutOff
		}
		answer, changed, _ := daemon.store.table.Since(after)
		answer.Proven = daemon.clock()
		if len(answer.Rows) > 0 || ctx.Err() != nil {
			return answer, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (daemon *daemon) set(change func(daemon *daemon)) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	change(daemon)
}

// narrowLink is the width of a daemon's link in bytes a millisecond, 14 Mbit/s.
const narrowLink = 1750

// daemons carries the calls between daemons, which take a millisecond each way and the time of the values sent.
type daemons map[netip.AddrPort]*daemon

func (daemons daemons) Call(ctx context.Context, peer netip.AddrPort, _ string, args, reply any) error {
	time.Sleep(time.Millisecond)
	called := daemons[peer]
	called.mutex.Lock()
	frozen := called.frozen
	called.mutex.Unlock()
	if frozen {
		<-ctx.Done()
		return ctx.Err()
	}
	err := called.Receiver().Changes(args.(Query), reply.(*Told))
	time.Sleep(time.Millisecond)
	for _, row := range reply.(*Told).Answer.Rows {
		for left := len(row.Compressed); left > 0 && ctx.Err() == nil; left -= narrowLink {
			time.Sleep(time.Millisecond)
			dogwoodprogress.FromContext(ctx).Received(narrowLink)
		}
	}
	return errors.Join(err, ctx.Err())
}

func addressOf(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index)}), 1)
}

// newDaemons returns daemons of which the first is the reader of the others. Their clocks
// started at different times.
func newDaemons(store *storeStandin, count int) []*daemon {
	connected := daemons{}
	created := make([]*daemon, count)
	for i := range created {
		each := &daemon{store: store, started: time.Now().Add(-time.Duration(i) * time.Hour)}
		if i > 0 {
			each.readers = []Peer{{Instance: dogwoodfleet.InstanceID("reader"), Address: addressOf(0)}}
		}
		each.Reader = New(Options{
			Store: each, Caller: connected, Clock: each.clock, Logger: hclog.NewNullLogger(),
			Readers: func() []Peer {
				each.mutex.Lock()
				defer each.mutex.Unlock()
				return each.readers
			},
			Fallbacks: func() []Peer {
				each.mutex.Lock()
				defer each.mutex.Unlock()
				return each.fallbacks
			},
		})
		connected[addressOf(i)], created[i] = each, each
	}
	return created
}

// follower follows the table as a daemon does and records what it receives.
type follower struct {
	mutex     sync.Mutex
	received  map[string]time.Time // when each row was received
	confirmed time.Duration
}

func (follower *follower) receivedAt(key string) (time.Time, bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	at, ok := follower.received[key]
	return at, ok
}

func (follower *follower) age(daemon *daemon) time.Duration {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return daemon.clock() - follower.confirmed
}

// queryWait is how long a follower waits for a change.
const queryWait = time.Second

// follow starts a follower of a daemon's table.
func follow(ctx context.Context, group *sync.WaitGroup, daemon *daemon) *follower {
	follower := &follower{received: map[string]time.Time{}}
	answer, _ := daemon.Reader.Whole(ctx, "table")
	version := answer.Version
	group.Go(func() {
		for ctx.Err() == nil {
			answer, err := daemon.Reader.Changes(ctx, "table", version, queryWait)
			if err != nil {
				continue
			}
			version = answer.Version
			follower.mutex.Lock()
			for _, row := range answer.Rows {
				follower.received[row.Key] = time.Now()
			}
			follower.confirmed = max(follower.confirmed, answer.Proven)
			follower.mutex.Unlock()
		}
	})
	return follower
}

// runDaemons runs a test body with daemons that follow the table, in a synctest bubble.
func runDaemons(t *testing.T, count int, body func(t *testing.T, store *storeStandin, all []*daemon, followers []*follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		store := newStore()
		all := newDaemons(store, count)
		followers := make([]*follower, count)
		for i, each := range all {
			followers[i] = follow(ctx, &group, each)
		}
		time.Sleep(3 * time.Second)
		body(t, store, all, followers)
		cancel()
		group.Wait()
		time.Sleep(maxHold) // lets the queries end that readers still hold
	})
}

// Sixty daemons follow a table of endpoints. Each must learn of a change at once, and only the
// one reader may query the store. When each daemon queried the store for each change, the store
// received seven thousand queries in the twelve seconds of a start.
func TestChangesReachAllThroughOneReader(t *testing.T) {
	runDaemons(t, 60, func(t *testing.T, store *storeStandin, all []*daemon, followers []*follower) {
		before, changed := store.count(), time.Now()
		store.put("e1")
		time.Sleep(10 * time.Second)
		if got, maximum := store.count()-before, 12; got > maximum {
			t.Errorf("got %d queries to the store in ten seconds, want at most %d", got, maximum)
		}
		for i, follower := range followers {
			at, ok := follower.receivedAt("e1")
			if !ok || at.Sub(changed) > 10*time.Millisecond {
				t.Errorf("daemon %d: received %v after %s, want within 10 ms", i, ok, at.Sub(changed))
			}
			if got, maximum := follower.age(all[i]), queryWait+maxHold+10*time.Millisecond; got > maximum || got < 0 {
				t.Errorf("daemon %d: got a confirmation of age %s, want at most %s", i, got, maximum)
			}
		}
	})
}

// The reader freezes or loses the store, and a key is withdrawn at that moment. The daemons that
// query this reader must still learn of it within two seconds.
func TestFailedReaderIsDroppedInTime(t *testing.T) {
	tests := []struct {
		name  string
		fault func(daemon *daemon)
	}{
		{"frozen", func(daemon *daemon) { daemon.frozen = true }},
		{"without the store", func(daemon *daemon) { daemon.cutOff = true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runDaemons(t, 3, func(t *testing.T, store *storeStandin, all []*daemon, followers []*follower) {
				all[0].set(test.fault)
				changed := time.Now()
				store.put("withdrawn")
				time.Sleep(3 * time.Second)
				for i := 1; i < len(all); i++ {
					at, ok := followers[i].receivedAt("withdrawn")
					if !ok || at.Sub(changed) > 2*time.Second {
						t.Errorf("daemon %d: received %v after %s, want within 2 s", i, ok, at.Sub(changed))
					}
				}
			})
		})
	}
}

// Guards against a large text that never arrives from a reader, as its transfer takes longer than an answer without it,
// and against one that is confirmed as of its arrival.
func TestLargeTextArrivesFromAReader(t *testing.T) {
	runDaemons(t, 2, func(t *testing.T, store *storeStandin, all []*daemon, followers []*follower) {
		text := make([]byte, 6_000_000)
		_, _ = rand.NewChaCha8([32]byte{}).Read(text) // never returns an error
		before, changed := store.count(), time.Now()
		store.putValue("text", text)
		var oldest time.Duration
		for time.Since(changed) < 6*time.Second {
			time.Sleep(10 * time.Millisecond)
			oldest = max(oldest, followers[1].age(all[1]))
		}
		at, ok := followers[1].receivedAt("text")
		if got, want := at.Sub(changed), 3500*time.Millisecond; !ok || got > want {
			t.Errorf("got the text: %t, after %s; want it within %s", ok, got, want)
		}
		if least := at.Sub(changed); oldest < least {
			t.Errorf("got confirmations at most %s old during a transfer of %s, want the age of the query", oldest, least)
		}
		if got, want := store.count()-before, 8; got > want {
			t.Errorf("got %d queries to the store, want at most %d: those of the reader", got, want)
		}
	})
}

// All daemons lose the store. None may accept another daemon's answer as a confirmation: their
// confirmations must age with the outage.
func TestPeersConfirmNothingInAnOutage(t *testing.T) {
	runDaemons(t, 3, func(t *testing.T, _ *storeStandin, all []*daemon, followers []*follower) {
		for _, each := range all {
			each.set(func(daemon *daemon) {
				daemon.cutOff = true
				daemon.readers = []Peer{{Instance: "one", Address: addressOf(1)}, {Instance: "two", Address: addressOf(2)}}
			})
		}
		const outage = 20 * time.Second
		time.Sleep(outage)
		for i, follower := range followers {
			if got, minimum := follower.age(all[i]), outage-10*time.Millisecond; got < minimum {
				t.Errorf("daemon %d: got a confirmation of age %s after an outage of %s", i, got, outage)
			}
		}
	})
}

// The first reader alone loses the store, and the others leave it and read on. It served an old text for eight
// seconds, and so did the 25 daemons that it feeds. It must learn of changes from another reader within two seconds,
// and its confirmations must not grow old, without it or the others confirming each other in a circle once the store is
// lost to all.
func TestReaderThatLostTheStoreAsksAnother(t *testing.T) {
	runDaemons(t, 3, func(t *testing.T, store *storeStandin, all []*daemon, followers []*follower) {
		for i, each := range all {
			each.set(func(daemon *daemon) {
				daemon.cutOff = i == 0
				for other := range all {
					if other != i {
						daemon.fallbacks = append(daemon.fallbacks, Peer{Instance: dogwoodfleet.InstanceID(addressOf(other).String()), Address: addressOf(other)})
					}
				}
			})
		}
		time.Sleep(4 * time.Second)
		store.put("withdrawn")
		changed := time.Now()
		time.Sleep(2 * time.Second)
		for i, follower := range followers {
			if at, ok := follower.receivedAt("withdrawn"); !ok {
				t.Errorf("daemon %d: got no change within 2 s", i)
			} else if got := at.Sub(changed); got > 2*time.Second {
				t.Errorf("daemon %d: got the change after %s", i, got)
			}
			if got, limit := follower.age(all[i]), 3*time.Second; got > limit {
				t.Errorf("daemon %d: got a confirmation %s old, want at most %s", i, got, limit)
			}
		}
		for _, each := range all {
			each.set(func(daemon *daemon) { daemon.cutOff = true })
		}
		lost := time.Now()
		time.Sleep(6 * time.Second)
		for i, follower := range followers {
			if got, want := follower.age(all[i]), time.Since(lost); got < want {
				t.Errorf("daemon %d: got a confirmation %s old with the store lost for %s", i, got, want)
			}
		}
	})
}

// Guards against a daemon that takes its own loss of the store, or a pause of its own, for an outage of the store, and
// one that doesn't see an outage.
func TestStoreIsAwayOnlyWhileItFailsThisDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		daemons := newDaemons(store, 2)
		alone := daemons[0]
		steps := []struct {
			name    string
			cutOff  bool
			pause   time.Duration
			query   bool
			want    bool
			failing bool
		}{
			{name: "answered", query: true},
			{name: "cut off", cutOff: true, query: true, want: true, failing: true},
			{name: "shortly after", cutOff: true, pause: time.Second, want: true},
			{name: "long after the last query", cutOff: true, pause: storeFailureTTL},
			{name: "cut off again", cutOff: true, query: true, want: true, failing: true},
			{name: "answered again", query: true},
		}
		for _, step := range steps {
			alone.set(func(daemon *daemon) { daemon.cutOff = step.cutOff })
			time.Sleep(step.pause)
			if step.query {
				if _, err := alone.Reader.Changes(t.Context(), "table", 1, time.Second); (err != nil) != step.failing {
					t.Errorf("%s: got error %v, want one: %t", step.name, err, step.failing)
				}
			}
			if got := alone.StoreAway("table"); got != step.want {
				t.Errorf("%s: got store away %t, want %t", step.name, got, step.want)
			}
			if alone.StoreAway("other") {
				t.Errorf("%s: got the store away for a table that was not queried", step.name)
			}
		}
	})
}
