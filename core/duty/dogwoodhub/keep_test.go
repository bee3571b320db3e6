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
)

// farOnly answers for the far hub, which lists a near one that is dead.
type farOnly struct {
	fleet Fleet
	calls atomic.Int64
}

func (far *farOnly) Call(ctx context.Context, peer netip.AddrPort, _ string, args, reply any) error {
	if peer != far.fleet.Hubs[0].Peer {
		<-ctx.Done()
		time.Sleep(time.Microsecond) // a real call returns after its time limit, never just then
		return ctx.Err()
	}
	far.calls.Add(1)
	if args.(Question).Fleet == far.fleet.Version {
		select {
		case <-time.After(holdFor):
		case <-ctx.Done():
			return ctx.Err()
		}
		*reply.(*News) = News{}
		return nil
	}
	*reply.(*News) = News{Fleet: &far.fleet}
	return nil
}

// Guards against a leaf that leaves a hub that answers for one that is dead, and takes itself for alone.
func TestALeafKeepsAHubThatAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := func(vm dogwoodfleet.VM, centre dogwoodfleet.DataCentre, at byte) dogwoodhubs.Daemon {
			address := netip.AddrFrom4([4]byte{10, 0, 0, at})
			return dogwoodhubs.Daemon{VM: vm, Instance: dogwoodfleet.InstanceID(vm), Place: dogwoodfleet.Place{Region: "r", DataCentre: centre}, Peer: netip.AddrPortFrom(address, 2)}
		}
		far := &farOnly{fleet: Fleet{Version: 1, Hubs: []dogwoodhubs.Daemon{hub("far", "1", 1), hub("near", "0", 2)}}}
		tables := newTables()
		leaf := NewLeaf(LeafOptions{
			Self: func() dogwoodhubs.Daemon { return hub("self", "0", 3) }, Caller: far, Feed: tables, Names: tableNames, Clock: tables.clock, Logger: hclog.NewNullLogger(),
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		begun := time.Now()
		err := leaf.Run(ctx, far.fleet.Hubs)
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v after %s and %d answers, want a leaf that follows the hub that answers", err, time.Since(begun), far.calls.Load())
		}
	})
}
