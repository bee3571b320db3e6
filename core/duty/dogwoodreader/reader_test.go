package dogwoodreader

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/state/dogwoodcopy"
)

var errAway = errors.New("away")

// storeStandin is a store that counts its questions and can be away for some daemons.
type storeStandin struct {
	mutex   sync.Mutex
	table   *dogwoodcopy.Copy
	asked   int
	version int64
}

func newStore() *storeStandin {
	store := &storeStandin{table: dogwoodcopy.New(), version: 1}
	store.table.Take(dogwoodcopy.Answer{Whole: true, Version: 1}, true)
	return store
}

func (store *storeStandin) put(key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.version++
	store.table.Take(dogwoodcopy.Answer{Rows: []dogwoodcopy.Row{{Key: key, Version: store.version}}, Version: store.version}, true)
}

func (store *storeStandin) count() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.asked
}

// daemon is a daemon's path to the store, its reader and its faults.
type daemon struct {
	*Reader
	store *storeStandin
	begun time.Time

	mutex   sync.Mutex
	away    bool // the store does not answer this daemon
	frozen  bool // this daemon answers nobody
	readers []Peer
}

func (daemon *daemon) clock() time.Duration { return time.Since(daemon.begun) }

func (daemon *daemon) Whole(context.Context, string) (dogwoodcopy.Answer, error) {
	answer, _, _ := daemon.store.table.Since(-1)
	answer.Proven = daemon.clock()
	return answer, nil
}

func (daemon *daemon) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (dogwoodcopy.Answer, error) {
	daemon.store.mutex.Lock()
	daemon.store.asked++
	daemon.store.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		daemon.mutex.Lock()
		away := daemon.away
		daemon.mutex.Unlock()
		if away {
			time.Sleep(wait)
			return dogwoodcopy.Answer{}, errAway
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

// daemons are joined by calls that take a millisecond each way.
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
	err := called.Receiver().Changes(args.(Question), reply.(*Told))
	time.Sleep(time.Millisecond)
	return err
}

func addressOf(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index)}), 1)
}

// newDaemons returns daemons of which the first is the reader of the others. Each has begun
// its clock at another time.
func newDaemons(store *storeStandin, count int) []*daemon {
	joined := daemons{}
	made := make([]*daemon, count)
	for i := range made {
		each := &daemon{store: store, begun: time.Now().Add(-time.Duration(i) * time.Hour)}
		if i > 0 {
			each.readers = []Peer{{Instance: dogwoodfleet.InstanceID("reader"), Address: addressOf(0)}}
		}
		each.Reader = New(Options{
			Store: each, Caller: joined, Clock: each.clock, Logger: hclog.NewNullLogger(),
			Readers: func() []Peer {
				each.mutex.Lock()
				defer each.mutex.Unlock()
				return each.readers
			},
		})
		joined[addressOf(i)], made[i] = each, each
	}
	return made
}

// follower follows the table as a daemon does and notes what it knows.
type follower struct {
	mutex  sync.Mutex
	keys   map[string]time.Time // when each row was learnt
	proven time.Duration
}

func (follower *follower) learnt(key string) (time.Time, bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	at, ok := follower.keys[key]
	return at, ok
}

func (follower *follower) age(daemon *daemon) time.Duration {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return daemon.clock() - follower.proven
}

const wait = time.Second

func follow(ctx context.Context, group *sync.WaitGroup, daemon *daemon) *follower {
	made := &follower{keys: map[string]time.Time{}}
	answer, _ := daemon.Reader.Whole(ctx, "table")
	version := answer.Version
	group.Go(func() {
		for ctx.Err() == nil {
			answer, err := daemon.Reader.Changes(ctx, "table", version, wait)
			if err != nil {
				continue
			}
			version = answer.Version
			made.mutex.Lock()
			for _, row := range answer.Rows {
				made.keys[row.Key] = time.Now()
			}
			made.proven = max(made.proven, answer.Proven)
			made.mutex.Unlock()
		}
	})
	return made
}

func story(t *testing.T, count int, body func(t *testing.T, store *storeStandin, all []*daemon, followers []*follower)) {
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
		time.Sleep(holdFor) // the questions that readers hold end
	})
}

// Sixty daemons follow a table in which endpoints change. Each learns of a change at once,
// and the store is asked by the one reader alone: with a question from each daemon for each
// change, it got seven thousand in the twelve seconds of a start.
func TestChangesReachAllAndOneDaemonAsks(t *testing.T) {
	story(t, 60, func(t *testing.T, store *storeStandin, all []*daemon, followers []*follower) {
		before, changed := store.count(), time.Now()
		store.put("e1")
		time.Sleep(10 * time.Second)
		if got, most := store.count()-before, 12; got > most {
			t.Errorf("got %d questions to the store in ten seconds, want at most %d", got, most)
		}
		for i, follower := range followers {
			at, ok := follower.learnt("e1")
			if !ok || at.Sub(changed) > 10*time.Millisecond {
				t.Errorf("daemon %d: learnt %v after %s, want within 10 ms", i, ok, at.Sub(changed))
			}
			if got, most := follower.age(all[i]), wait+holdFor+10*time.Millisecond; got > most || got < 0 {
				t.Errorf("daemon %d: got a proof of age %s, want at most %s", i, got, most)
			}
		}
	})
}

// The reader freezes, or loses the store, and a key is withdrawn at that moment. Those who
// ask it must know within two seconds all the same, and their proofs must never look younger
// than they are.
func TestAReaderThatFailsIsLeftInTime(t *testing.T) {
	tests := []struct {
		name  string
		fault func(daemon *daemon)
	}{
		{"frozen", func(daemon *daemon) { daemon.frozen = true }},
		{"without the store", func(daemon *daemon) { daemon.away = true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			story(t, 3, func(t *testing.T, store *storeStandin, all []*daemon, followers []*follower) {
				all[0].set(test.fault)
				changed := time.Now()
				store.put("withdrawn")
				time.Sleep(3 * time.Second)
				for i := 1; i < len(all); i++ {
					at, ok := followers[i].learnt("withdrawn")
					if !ok || at.Sub(changed) > 2*time.Second {
						t.Errorf("daemon %d: learnt %v after %s, want within 2 s", i, ok, at.Sub(changed))
					}
				}
			})
		})
	}
}

// The store is away for all. No daemon may take what another one tells for a proof: their
// proofs must age with the outage.
func TestNobodyProvesWhatTheStoreDidNot(t *testing.T) {
	story(t, 3, func(t *testing.T, _ *storeStandin, all []*daemon, followers []*follower) {
		for _, each := range all {
			each.set(func(daemon *daemon) {
				daemon.away = true
				daemon.readers = []Peer{{Instance: "one", Address: addressOf(1)}, {Instance: "two", Address: addressOf(2)}}
			})
		}
		const outage = 20 * time.Second
		time.Sleep(outage)
		for i, follower := range followers {
			if got, least := follower.age(all[i]), outage-10*time.Millisecond; got < least {
				t.Errorf("daemon %d: got a proof of age %s after an outage of %s", i, got, outage)
			}
		}
	})
}
