package dogwoodreader

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
)

// A daemon starts after a power loss and waits for the store's contents from a hub. A moment later it
// becomes a hub itself. It must query the store at once: until then it rejects all callers, which
// have all returned at the same time.
func TestNewHubQueriesTheStoreAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const becomesHub = 12 * time.Millisecond
		store := newStore()
		daemon := &daemon{store: store, started: time.Now()}
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
		if got, want := time.Since(daemon.started), becomesHub; got != want {
			t.Errorf("got the table %s after the start, want %s, when the daemon became a hub", got, want)
		}
	})
}
