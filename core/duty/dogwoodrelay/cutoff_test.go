package dogwoodrelay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodshare"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwoodboard"
)

// leaf is a daemon that gets the view of a hub, until it is cut off.
type leaf struct {
	duty     *dogwoodboard.Duty
	hubBoard *dogwoodpacking.Board
	hub      *dogwoodboard.Receiver
	cutOff   atomic.Bool
}

// Call calls the hub.
func (leaf *leaf) Call(_ context.Context, _ netip.AddrPort, method string, args, reply any) error {
	switch {
	case leaf.cutOff.Load():
		return errors.New("no path to the hub")
	case method == dogwoodboard.Name+".View":
		return leaf.hub.View(args.(dogwoodfleet.InstanceID), reply.(*dogwoodboard.View))
	default:
		return leaf.hub.Tell(args.(dogwoodboard.Batch), reply.(*bool))
	}
}

// startLeaf makes the fixture's daemon a leaf, one of three daemons.
func (fixture *fixture) startLeaf(ctx context.Context, group *sync.WaitGroup) *leaf {
	leaf := &leaf{hubBoard: dogwoodpacking.NewBoard("hub")}
	options := dogwoodboard.Options{
		Self: "hub", Board: leaf.hubBoard, Caller: leaf, Peers: func() []dogwoodboard.Peer { return nil },
		Watch: func() <-chan struct{} { return nil }, Serves: func() bool { return true }, Expected: func() int { return 3 }, Logger: hclog.NewNullLogger(),
	}
	leaf.hub = dogwoodboard.New(options).Receiver()
	options.Self, options.Board, options.IsLeaf = "me", fixture.board, func() bool { return true }
	options.Peers = func() []dogwoodboard.Peer { return []dogwoodboard.Peer{{Instance: "hub"}} }
	leaf.duty = dogwoodboard.New(options)
	fixture.relay.options.Places, fixture.relay.queue.places = leaf.duty, leaf.duty
	group.Go(func() { _ = leaf.duty.Run(ctx) })
	synctest.Wait()
	return leaf
}

// sendElsewhere puts requests of a customer on the hub's board, which another daemon sends to engines that this one does not use.
func (leaf *leaf) sendElsewhere(customer dogwoodfleet.Customer, requests int) {
	now := time.Now()
	for i := range requests {
		leaf.hubBoard.Put(now, dogwoodpacking.Work{
			ID: dogwoodpacking.WorkID(fmt.Sprint(customer, now, i)), Holder: "peer", Service: "s", Endpoint: "elsewhere", Customer: customer, Prompt: 2000,
			Reading: 20 * time.Millisecond, Begun: now, Until: now.Add(time.Minute),
		})
	}
}

// serveAll serves some requests of a customer, one after the other.
func (fixture *fixture) serveAll(t *testing.T, customer dogwoodfleet.Customer, requests int) {
	t.Helper()
	for i := range requests {
		if err := fixture.relay.Serve(t.Context(), requestOf(customer, 1000+i), &recorder{}); err != nil {
			t.Fatalf("request %d of %s: got %v, want an answer", i, customer, err)
		}
	}
}

// Guards against a daemon that is cut off from its hub and gives all engine time that it reaches to one customer, since it takes a
// customer that used more at other daemons for the hot one, or does not count its own requests. Load: "local" sends a hundred
// requests here while three others send five, and "remote" sends five hundred elsewhere.
func TestCutOffDaemonGoesByItsOwnUse(t *testing.T) {
	tests := []struct {
		name string
		// cutBefore and cutAfter are whether the daemon is cut off before these requests or after them.
		cutBefore, cutAfter bool
		want                dogwoodfleet.Customer
	}{
		{"connected", false, false, "remote"},
		{"cut off a moment ago", false, true, "remote"},
		{"cut off", true, true, "local"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, testEngine, []step{delayed(10*time.Millisecond, responds(http.StatusOK, firstEvents))}, func(t *testing.T, fixture *fixture) {
				ctx, cancel := context.WithCancel(t.Context())
				var daemon, callers sync.WaitGroup
				defer daemon.Wait()
				defer cancel()
				leaf := fixture.startLeaf(ctx, &daemon)
				leaf.sendElsewhere("remote", 500)
				fixture.serveAll(t, "b", 1)
				leaf.cutOff.Store(test.cutBefore)
				time.Sleep(dogwoodshare.Window)
				leaf.sendElsewhere("remote", 500)
				fixture.serveAll(t, "local", 100)
				for _, customer := range []dogwoodfleet.Customer{"b", "c", "d"} {
					fixture.serveAll(t, customer, 5)
				}
				leaf.cutOff.Store(test.cutAfter)
				now := time.Now()
				for slot := range 12 {
					id := dogwoodpacking.WorkID(fmt.Sprint("slot", slot))
					if _, got := leaf.duty.Place(now, &dogwoodpacking.PlacementRequest{ID: id, Service: "s", Prompt: 10, Until: now.Add(time.Minute)}); got != dogwoodpacking.Placed {
						t.Fatalf("slot %d: got %q, want it free", slot, got)
					}
				}
				for _, customer := range []dogwoodfleet.Customer{"local", "remote", "b"} {
					callers.Go(func() {
						began := time.Now()
						err := fixture.relay.Serve(t.Context(), requestOf(customer, 0), &recorder{})
						if customer != test.want {
							if err != nil {
								t.Errorf("%s: got %v, want an answer", customer, err)
							}
							return
						}
						failure := &Failure{}
						if took := time.Since(began); !errors.As(err, &failure) || failure.Reason != dogwoodfleet.ReasonLimit || failure.Run != dogwoodfleet.NotRun || took > 200*time.Millisecond {
							t.Errorf("%s: got %+v after %s, want a refusal within 200 ms that has not run", customer, failure, took)
						}
						time.Sleep(failure.RetryAfter)
						if got := fixture.board.Excess(time.Now(), dogwoodshare.Claim{Service: "s", Customer: customer}); got > 1 {
							t.Errorf("%s: got an excess of %g after a wait of %s, want at most 1", customer, got, failure.RetryAfter)
						}
					})
				}
				time.Sleep(300 * time.Millisecond)
				for slot := range 6 { // a daemon that sees a part of the others fills only that part of an engine's slots
					leaf.duty.End(dogwoodpacking.WorkID(fmt.Sprint("slot", slot)))
				}
				callers.Wait()
			})
		})
	}
}
