package dogwoodreader

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
)

// After a loss of power a daemon starts, and waits to be told by a hub what the store holds. A moment
// later it finds that it is a hub itself. Each moment until it then asks the store is one in which it
// refuses all callers, and all of them have come back at once.
func TestADaemonThatBecomesAHubAsksTheStoreAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const becomesHub = 12 * time.Millisecond
		store := newStore()
		daemon := &daemon{store: store, begun: time.Now()}
		hub := make(chan struct{})
		daemon.Reader = New(Options{
			Store: daemon, Caller: daemons{}, Clock: daemon.clock, Readers: func() []Peer { return nil },
			Fed: func() (bool, <-chan struct{}) {
				select {
				case <-hub:
					return false, nil
				default:
					return true, hub
				}
			},
			Logger: hclog.NewNullLogger(),
		})
		var group errgroup.Group
		group.Go(func() error {
			answer, err := daemon.Reader.Whole(t.Context(), "table")
			if err == nil && !answer.Whole {
				t.Error("got a part of the table, want all of it")
			}
			return err
		})
		time.Sleep(becomesHub)
		close(hub)
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
		if got, want := time.Since(daemon.begun), becomesHub; got != want {
			t.Errorf("got the table %s after the start, want %s: when it became a hub", got, want)
		}
	})
}
