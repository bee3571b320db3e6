package dogwoodhub

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodhubs"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodprogress"
	"dogwoodmux.example/core/state/dogwoodcopy"
)

// remoteOnlyCaller answers for the remote hub, which lists a local one that is dead.
type remoteOnlyCaller struct {
	fleet Fleet
	calls atomic.Int64
}

func (caller *remoteOnlyCaller) Call(ctx context.Context, peer netip.AddrPort, _ string, args, reply any) error {
	if peer != caller.fleet.Hubs[0].Peer {
		<-ctx.Done()
		time.Sleep(time.Microsecond) // a real call returns after its time limit, never exactly at it
		return ctx.Err()
	}
	caller.calls.Add(1)
	if args.(FollowRequest).Fleet == caller.fleet.Version {
		select {
		case <-time.After(maxHold):
		case <-ctx.Done():
			return ctx.Err()
		}
		*reply.(*News) = News{}
		return nil
	}
	*reply.(*News) = News{Fleet: &caller.fleet}
	return nil
}

// slowCaller answers a poll for tables after a while. Meanwhile a part of the answer arrives in each tenth of a second.
type slowCaller struct {
	fleet    Fleet
	transfer time.Duration
	step     int // bytes of a part
	polls    atomic.Int64
}

func (caller *slowCaller) Call(ctx context.Context, _ netip.AddrPort, _ string, args, reply any) error {
	if len(args.(FollowRequest).Tables) == 0 {
		*reply.(*News) = News{Fleet: &caller.fleet}
		return nil
	}
	caller.polls.Add(1)
	for begun := time.Now(); time.Since(begun) < caller.transfer; {
		select {
		case <-time.After(100 * time.Millisecond):
			dogwoodprogress.FromContext(ctx).Received(caller.step)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	*reply.(*News) = News{}
	return nil
}

// Guards against a large text that is transferred from the beginning again and again, because each transfer takes
// longer than a poll without updates may take.
func TestLeafAwaitsAnAnswerThatArrives(t *testing.T) {
	tests := []struct {
		name     string
		transfer time.Duration
		step     int // bytes in each tenth of a second
		within   time.Duration
		want     int64
	}{
		{name: "4 s", transfer: 4 * time.Second, step: dogwoodcopy.MinTransferStep, within: 10 * time.Second, want: 3},
		{name: "20 s at 175 kB a second", transfer: 20 * time.Second, step: 17_500, within: 39 * time.Second, want: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := &slowCaller{transfer: test.transfer, step: test.step, fleet: Fleet{Version: 1, Hubs: []dogwoodhubs.Daemon{daemonAt("near", "0", 1)}}}
				tables := newTables()
				leaf := NewLeaf(LeafOptions{
					Self: func() dogwoodhubs.Daemon { return daemonAt("self", "0", 3) }, Caller: caller, Feed: tables, TableNames: tableNames, Clock: tables.clock, Logger: hclog.NewNullLogger(),
				})
				ctx, cancel := context.WithTimeout(t.Context(), test.within)
				defer cancel()
				if err := leaf.Run(ctx, caller.fleet.Hubs); !errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("got %v, want a leaf that follows its hub", err)
				}
				if got := caller.polls.Load(); got != test.want {
					t.Errorf("got %d polls in %s, want %d: one for each answer", got, test.within, test.want)
				}
			})
		})
	}
}

// A leaf follows a remote hub that answers, while a local hub is listed but dead. The leaf must not
// switch to the local hub, or it would end with the error that no hub answers.
func TestALeafKeepsAHubThatAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := func(vm dogwoodfleet.VM, centre dogwoodfleet.DataCentre, at byte) dogwoodhubs.Daemon {
			address := netip.AddrFrom4([4]byte{10, 0, 0, at})
			return dogwoodhubs.Daemon{VM: vm, Instance: dogwoodfleet.InstanceID(vm), Place: dogwoodfleet.Place{Region: "r", DataCentre: centre}, Peer: netip.AddrPortFrom(address, 2)}
		}
		caller := &remoteOnlyCaller{fleet: Fleet{Version: 1, Hubs: []dogwoodhubs.Daemon{hub("far", "1", 1), hub("near", "0", 2)}}}
		tables := newTables()
		leaf := NewLeaf(LeafOptions{
			Self: func() dogwoodhubs.Daemon { return hub("self", "0", 3) }, Caller: caller, Feed: tables, TableNames: tableNames, Clock: tables.clock, Logger: hclog.NewNullLogger(),
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		begun := time.Now()
		err := leaf.Run(ctx, caller.fleet.Hubs)
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v after %s and %d answers, want a leaf that follows the hub that answers", err, time.Since(begun), caller.calls.Load())
		}
	})
}
