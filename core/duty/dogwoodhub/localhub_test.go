package dogwoodhub

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodhubs"
	"dogwoodmux.example/core/dogwoodfleet"
)

// hubFleet is a fleet of hubs that a leaf polls.
type hubFleet struct {
	fleet Fleet
	// answers reports whether a hub answers a poll; the others are silent.
	answers func(vm dogwoodfleet.VM, request FollowRequest) bool

	mutex sync.Mutex
	polls map[dogwoodfleet.VM][]time.Time
}

// newHubFleet returns a remote hub, "far", and a number of local ones, "near-0" and so on.
func newHubFleet(local int, answers func(vm dogwoodfleet.VM, request FollowRequest) bool) *hubFleet {
	hubFleet := &hubFleet{answers: answers, polls: map[dogwoodfleet.VM][]time.Time{}}
	hubFleet.fleet = Fleet{Version: 1, Hubs: []dogwoodhubs.Daemon{daemonAt("far", "1", 1)}}
	for i := range local {
		hubFleet.fleet.Hubs = append(hubFleet.fleet.Hubs, daemonAt(dogwoodfleet.VM(fmt.Sprintf("near-%d", i)), "0", byte(i+2)))
	}
	return hubFleet
}

func daemonAt(vm dogwoodfleet.VM, centre dogwoodfleet.DataCentre, at byte) dogwoodhubs.Daemon {
	return dogwoodhubs.Daemon{
		VM: vm, Instance: dogwoodfleet.InstanceID(vm), Place: dogwoodfleet.Place{Region: "r", DataCentre: centre},
		Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, at}), 2),
	}
}

func (hubFleet *hubFleet) Call(ctx context.Context, peer netip.AddrPort, _ string, args, reply any) error {
	request := args.(FollowRequest)
	for _, hub := range hubFleet.fleet.Hubs {
		if hub.Peer != peer {
			continue
		}
		hubFleet.mutex.Lock()
		hubFleet.polls[hub.VM] = append(hubFleet.polls[hub.VM], time.Now())
		hubFleet.mutex.Unlock()
		if hubFleet.answers(hub.VM, request) {
			return hubFleet.answer(ctx, request, reply.(*News))
		}
	}
	<-ctx.Done()
	time.Sleep(time.Microsecond) // a real call returns after its time limit, never exactly at it
	return ctx.Err()
}

// answer answers a first poll at once and holds the others.
func (hubFleet *hubFleet) answer(ctx context.Context, request FollowRequest, news *News) error {
	if request.Fleet != hubFleet.fleet.Version {
		*news = News{Fleet: &hubFleet.fleet}
		return nil
	}
	select {
	case <-time.After(maxHold):
		*news = News{}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runLeaf runs a leaf of data centre 0 that starts with the remote hub, and returns it when the time has passed.
func (hubFleet *hubFleet) runLeaf(t *testing.T, duration time.Duration) *Leaf {
	t.Helper()
	tables := newTables()
	leaf := NewLeaf(LeafOptions{
		Self: func() dogwoodhubs.Daemon { return daemonAt("self", "0", 100) }, Caller: hubFleet, Feed: tables,
		TableNames: tableNames, Clock: tables.clock, Logger: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	if err := leaf.Run(ctx, hubFleet.fleet.Hubs[:1]); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want a leaf that follows a hub until its end", err)
	}
	return leaf
}

// Guards against a leaf that stays with a hub of another data centre, because it only ever asks the same hubs of its
// own, which are dead.
func TestLeafFindsTheLocalHubThatAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hubFleet := newHubFleet(maxLocalCandidates+1, func(vm dogwoodfleet.VM, _ FollowRequest) bool {
			return vm == "far" || vm == dogwoodfleet.VM(fmt.Sprintf("near-%d", maxLocalCandidates))
		})
		leaf := hubFleet.runLeaf(t, time.Minute)
		if hub, _ := leaf.Hub(); hub.VM == "far" {
			t.Errorf("got hub %s after a minute, want the local one that answers", hub.VM)
		}
	})
}

// Guards against updates that come late each time a leaf asks a dead hub of its own data centre.
func TestDeadLocalHubDelaysNoUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hubFleet := newHubFleet(1, func(vm dogwoodfleet.VM, _ FollowRequest) bool { return vm == "far" })
		hubFleet.runLeaf(t, 20*time.Second)
		polls := hubFleet.polls["far"]
		for i := 1; i < len(polls); i++ {
			if got := polls[i].Sub(polls[i-1]); got > maxHold {
				t.Errorf("got %s between two polls of the hub, want the next at once after at most %s", got, maxHold)
			}
		}
		if len(hubFleet.polls["near-0"]) < 2 {
			t.Errorf("got %d polls of the local hub, want it asked again", len(hubFleet.polls["near-0"]))
		}
	})
}

// Guards against a leaf without updates for half of the time, because it returns again and again to a local hub that
// answers the first poll and no other.
func TestLeafReturnsLessOftenToAHubThatFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hubFleet := newHubFleet(1, func(vm dogwoodfleet.VM, request FollowRequest) bool { return vm == "far" || request.Fleet == 0 })
		hubFleet.runLeaf(t, time.Minute)
		held := 0
		for i, at := range hubFleet.polls["near-0"] {
			if i > 0 && at.Sub(hubFleet.polls["near-0"][i-1]) < localHubInterval/2 {
				held++
			}
		}
		// The time between two returns doubles from localHubInterval.
		if want := 5; held > want {
			t.Errorf("got %d returns to the hub that fails in a minute, want at most %d", held, want)
		}
	})
}
