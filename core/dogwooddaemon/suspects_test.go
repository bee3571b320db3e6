package dogwooddaemon

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/duty/dogwoodsuspects"
)

// otherDaemon is the only other daemon of a fleet.
type otherDaemon struct {
	mutex         sync.Mutex
	known, silent bool
	notices       []dogwoodsuspect.Notice
	// learnt is the number of notices that were fetched last.
	learnt int
}

// Call answers the question for its notices.
func (other *otherDaemon) Call(_ context.Context, _ netip.AddrPort, _ string, _, reply any) error {
	other.mutex.Lock()
	defer other.mutex.Unlock()
	if other.silent {
		return errors.New("no answer")
	}
	*reply.(*[]dogwoodsuspect.Notice) = other.notices
	return nil
}

func (other *otherDaemon) peers() []dogwoodsuspects.Peer {
	other.mutex.Lock()
	defer other.mutex.Unlock()
	peers := []dogwoodsuspects.Peer{{Instance: "me"}}
	if other.known {
		peers = append(peers, dogwoodsuspects.Peer{Instance: "other"})
	}
	return peers
}

func (other *otherDaemon) learn(notices []dogwoodsuspect.Notice) {
	other.mutex.Lock()
	defer other.mutex.Unlock()
	other.learnt = len(notices)
}

// Guards against a daemon that never learns of the requests that others refuse, since no other one was known or answered when
// it started, or since it was frozen later.
func TestNoticesAreFetchedAgain(t *testing.T) {
	steps := []struct {
		name          string
		known, silent bool
		notices       int
		within        time.Duration
		want          int
	}{
		{"no other daemon is known", false, false, 1, time.Second, 0},
		{"it does not answer", true, true, 1, time.Second, 0},
		{"it answers", true, false, 1, 2 * noticesRetryInterval, 1},
		{"it has learnt of another request", true, false, 2, 2 * noticesInterval, 2},
	}
	synctest.Test(t, func(t *testing.T) {
		other := &otherDaemon{}
		peers := &suspectPeers{
			exchange: dogwoodsuspects.Exchange{Self: "me", Caller: other, Peers: other.peers}, learn: other.learn, logger: hclog.NewNullLogger(),
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { peers.runFetches(ctx) })
		for _, step := range steps {
			other.mutex.Lock()
			other.known, other.silent = step.known, step.silent
			other.notices = make([]dogwoodsuspect.Notice, step.notices)
			other.mutex.Unlock()
			time.Sleep(step.within)
			synctest.Wait()
			other.mutex.Lock()
			if other.learnt != step.want {
				t.Errorf("%s: got %d notices, want %d", step.name, other.learnt, step.want)
			}
			other.mutex.Unlock()
		}
		cancel()
		group.Wait()
	})
}
