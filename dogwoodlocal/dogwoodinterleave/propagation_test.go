package dogwoodinterleave

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwoodchanges"
	"dogwoodmux.example/core/state/dogwoodchange"
	"dogwoodmux.example/core/state/dogwoodmember"
	"dogwoodmux.example/dogwoodlocal/dogwoodplatformstandin"
)

// inForceWithin is the required bound on the time until a change is in force at all daemons.
const inForceWithin = 3 * time.Second

// fleet is a set of daemons that propagate changes to each other and share one store.
type fleet struct {
	store    *dogwoodplatformstandin.Store
	random   *lockedRandom
	lossRate float64
	// apart is true while daemons can only ask for each other's status.
	apart atomic.Bool
	mutex sync.Mutex
	nodes []*node
}

// all returns the daemons started so far.
func (fleet *fleet) all() []*node {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return slices.Clone(fleet.nodes)
}

// node simulates the changes of one daemon, which has a list of all other daemons.
type node struct {
	fleet *fleet
	self  dogwoodmember.Member
	log   *dogwoodchange.Log
	duty  *dogwoodchanges.Duty
	ctx   context.Context //nolint:containedctx // the lifetime of a simulated process
	kill  context.CancelFunc
	group sync.WaitGroup
}

func newFleet(random *rand.Rand) *fleet {
	return &fleet{store: dogwoodplatformstandin.NewStore(random.Uint64()), random: &lockedRandom{random: random}}
}

func (fleet *fleet) start(t *testing.T) *node {
	number := len(fleet.nodes)
	started := &node{fleet: fleet, self: dogwoodmember.Member{
		VM:       dogwoodfleet.VM(fmt.Sprintf("entry-%d", number)),
		Instance: dogwoodfleet.InstanceID(fmt.Sprintf("start-%d", number)),
		Peer:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 7000),
	}}
	started.log = dogwoodchange.New(dogwoodchange.Options{Store: fleet.store, Objects: fleet.store})
	started.duty = dogwoodchanges.New(dogwoodchanges.Options{Log: started.log, Members: started, Caller: started})
	started.ctx, started.kill = context.WithCancel(t.Context())
	fleet.mutex.Lock()
	fleet.nodes = append(fleet.nodes, started)
	fleet.mutex.Unlock()
	started.group.Go(func() { _ = started.duty.Run(started.ctx) })
	return started
}

func (fleet *fleet) stop() {
	for _, node := range fleet.all() {
		node.kill()
	}
	for _, node := range fleet.all() {
		node.group.Wait()
	}
}

func (node *node) Self() dogwoodmember.Member    { return node.self }
func (node *node) SetView(dogwoodchange.View)    {}
func (node *node) Peers() []dogwoodmember.Target { return targets(node) }
func (node *node) Alive() []dogwoodmember.Member { return alive(node.fleet) }

func alive(fleet *fleet) []dogwoodmember.Member {
	var members []dogwoodmember.Member
	for _, node := range fleet.all() {
		if node.ctx.Err() == nil {
			members = append(members, node.self)
		}
	}
	return members
}

func targets(self *node) []dogwoodmember.Target {
	var targets []dogwoodmember.Target
	for _, node := range self.fleet.all() {
		if node != self {
			targets = append(targets, dogwoodmember.Target{VM: node.self.VM, Peer: node.self.Peer})
		}
	}
	return targets
}

// Call calls another daemon. A call that is lost, or whose daemon is dead, times out.
func (node *node) Call(ctx context.Context, peer netip.AddrPort, method string, args, reply any) error {
	target := node.fleet.all()[peer.Addr().As4()[3]]
	if target.ctx.Err() != nil || node.ctx.Err() != nil || node.fleet.random.chance(node.fleet.lossRate) {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(node.fleet.random.duration(3 * time.Millisecond))
	if node.ctx.Err() != nil || target.ctx.Err() != nil || node.fleet.apart.Load() && method != dogwoodchanges.Name+".Status" {
		return context.Canceled
	}
	receiver := target.duty.Receiver()
	switch method {
	case dogwoodchanges.Name + ".Push":
		return receiver.Push(args.(dogwoodchange.News), reply.(*uint64))
	case dogwoodchanges.Name + ".Exchange":
		return receiver.Exchange(args.(dogwoodchanges.ExchangeRequest), reply.(*dogwoodchanges.Told))
	case dogwoodchanges.Name + ".Status":
		return receiver.Status(true, reply.(*dogwoodchanges.Status))
	}
	return errors.New("unknown method " + method)
}

// waitTakenOut waits until every live daemon has the data centre taken out of service, and
// returns how long that took.
func (fleet *fleet) waitTakenOut(t *testing.T, dataCentre dogwoodfleet.DataCentre) time.Duration {
	t.Helper()
	start := time.Now()
	for time.Since(start) < time.Minute {
		missing := 0
		for _, node := range fleet.all() {
			view := node.log.Current()
			if node.ctx.Err() == nil && !view.Out(dataCentre, "") {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not in force everywhere after a minute")
	return 0
}

// Operators take a data centre out of service because it is about to lose power. Within seconds
// no entry daemon may send new work there, also when the daemon that accepted the change dies
// right afterwards, when the network loses calls, and when the store is down, so that the change
// can't be stored yet.
func TestTakeOutIsInForceEverywhereWithinThreeSeconds(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		daemons int
		lost    float64
		down    bool
		dies    bool
		seeds   int
	}{
		{name: "8 daemons", daemons: 8, seeds: 30},
		{name: "lost calls", daemons: 8, lost: 0.2, seeds: 30},
		{name: "store down", daemons: 8, down: true, seeds: 30},
		{name: "accepting daemon dies", daemons: 8, dies: true, seeds: 40},
		{name: "accepting daemon dies, store down", daemons: 8, dies: true, down: true, seeds: 40},
		{name: "100 daemons", daemons: 100, lost: 0.02, seeds: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var mutex sync.Mutex
			var worst time.Duration
			forSeeds(t, test.seeds, func(t *testing.T, random *rand.Rand) {
				fleet := newFleet(random)
				defer fleet.stop()
				fleet.lossRate = test.lost
				for range test.daemons {
					fleet.start(t)
				}
				time.Sleep(20 * time.Second)
				fleet.store.SetDown(test.down)
				accepting := fleet.nodes[0]
				accepted, err := accepting.duty.Submit(t.Context(), dogwoodchange.Change{
					Kind: dogwoodchange.TakeOut, DataCentre: "fukuoka-a",
				})
				if err != nil || accepted.Kept == test.down {
					t.Fatalf("got %+v, %v, want kept: %v", accepted, err, !test.down)
				}
				if test.dies {
					accepting.kill()
				}
				took := fleet.waitTakenOut(t, "fukuoka-a")
				if took > inForceWithin {
					t.Errorf("got %s until in force everywhere, want %s", took, inForceWithin)
				}
				mutex.Lock()
				worst = max(worst, took)
				mutex.Unlock()
			})
			t.Cleanup(func() { t.Logf("%s: worst %s", test.name, worst) })
		})
	}
}

// A data centre is taken out of service during an outage of the store, and all but one of the
// daemons that have the change die before the outage ends, an hour later. The remaining daemons
// must store the take-out exactly once, and a later bring-back must override it.
func TestProvisionalTakeOutIsStoredAfterOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(rand.New(rand.NewPCG(3, 3)))
		defer fleet.stop()
		for range 4 {
			fleet.start(t)
		}
		time.Sleep(5 * time.Second)
		fleet.store.SetDown(true)
		accepted, err := fleet.nodes[0].log.Submit(t.Context(), dogwoodchange.Change{
			Kind: dogwoodchange.TakeOut, DataCentre: "fukuoka-a",
		})
		if err != nil || accepted.Kept {
			t.Fatalf("got %+v, %v, want provisional", accepted, err)
		}
		var unavailable *dogwoodchange.Unavailable
		if _, err := fleet.nodes[1].log.Submit(t.Context(), dogwoodchange.Change{
			Kind: dogwoodchange.BringBack, DataCentre: "fukuoka-a",
		}); !errors.As(err, &unavailable) {
			t.Errorf("bring-back without the store: got %v, want *Unavailable", err)
		}
		time.Sleep(inForceWithin)
		for _, node := range fleet.nodes[:3] {
			node.kill()
		}
		fresh := fleet.start(t)
		time.Sleep(time.Hour)
		if view := fresh.log.Current(); !view.Out("fukuoka-a", "") {
			t.Error("the new daemon does not have the take-out in force")
		}
		fleet.store.SetDown(false)
		time.Sleep(10 * time.Second)
		view := fresh.log.Current()
		if len(view.Provisional) != 0 || view.Version != 1 || !view.Out("fukuoka-a", "") {
			t.Errorf("got version %d and %d provisional, want the take-out kept at version 1", view.Version, len(view.Provisional))
		}
		if _, err := fresh.log.Submit(t.Context(), dogwoodchange.Change{
			Kind: dogwoodchange.BringBack, DataCentre: "fukuoka-a",
		}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		for _, node := range fleet.nodes[3:] {
			if view := node.log.Current(); view.Out("fukuoka-a", "") || view.Version != 2 {
				t.Errorf("%s: got out at version %d, want back at 2", node.self.VM, view.Version)
			}
		}
	})
}

// A daemon is replaced while the store is down or returns stale state. If it served at once, it
// would admit requests without a text or by an outdated one.
func TestNewDaemonServesOnlyWithTheLatestState(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		down  bool
		old   bool
		peers int
		ready bool
	}{
		{name: "store and peers", peers: 3, ready: true},
		{name: "store down", down: true, peers: 3, ready: true},
		{name: "store answers old state", old: true, peers: 3, ready: true},
		{name: "neither store nor peers", down: true, peers: 0, ready: false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(rand.New(rand.NewPCG(3, 3)))
				defer fleet.stop()
				for range max(test.peers, 1) {
					fleet.start(t)
				}
				time.Sleep(5 * time.Second)
				const changes = 20
				for i := range changes {
					kind := []dogwoodchange.Kind{dogwoodchange.TakeOut, dogwoodchange.BringBack}[i%2]
					if _, err := fleet.nodes[0].log.Submit(t.Context(), dogwoodchange.Change{Kind: kind, VM: "v"}); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(inForceWithin)
				if test.peers == 0 {
					fleet.nodes[0].kill()
				}
				fleet.store.SetDown(test.down)
				if test.old {
					fleet.store.SetFaults(dogwoodplatformstandin.Faults{StaleReads: 1})
				}
				fresh := fleet.start(t)
				time.Sleep(inForceWithin)
				ready := false
				select {
				case <-fresh.duty.Ready():
					ready = true
				default:
				}
				if ready != test.ready {
					t.Errorf("got ready %v, want %v", ready, test.ready)
				}
				if got := fresh.log.Current().Version; ready && got != changes {
					t.Errorf("got version %d, want %d", got, changes)
				}
			})
		})
	}
}

// An operator queries whether a change is in force. The answer must show which daemons lag and
// which can't be reached. A daemon that exchanges changes with another one at that moment doesn't lag any more.
func TestStatusShowsLaggingDaemons(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(rand.New(rand.NewPCG(3, 3)))
		defer fleet.stop()
		for range 4 {
			fleet.start(t)
		}
		time.Sleep(5 * time.Second)
		fleet.nodes[3].kill()
		fleet.apart.Store(true)
		fleet.nodes[0].log.Merge(dogwoodchange.News{Changes: []dogwoodchange.Change{
			{Version: 1, ID: "x", Kind: dogwoodchange.TakeOut, VM: "v"},
		}})
		statuses := fleet.nodes[0].duty.Statuses(t.Context())
		if len(statuses) != 4 {
			t.Fatalf("got %d statuses, want 4", len(statuses))
		}
		for i, status := range statuses {
			wantBehind, wantProblem := i == 1 || i == 2, i == 3
			if status.Behind != wantBehind || (status.Problem != "") != wantProblem {
				t.Errorf("%s: got behind %v, problem %q, want %v, %v", status.VM, status.Behind, status.Problem, wantBehind, wantProblem)
			}
		}
	})
}

// The platform limits the calls of all daemons together. The number of reads of an idle daemon,
// and of reads and writes per change, must not grow with the number of daemons.
func TestReadsAndWritesOfChanges(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{1, 8, 32} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleet(rand.New(rand.NewPCG(3, 3)))
			defer fleet.stop()
			for range daemons {
				fleet.start(t)
			}
			time.Sleep(time.Minute)
			if _, err := fleet.nodes[0].log.Submit(t.Context(), dogwoodchange.Change{Kind: dogwoodchange.TakeOut, VM: "v"}); err != nil {
				t.Fatal(err)
			}
			const seconds, changes = 600, 100
			before := fleet.store.Reads()
			time.Sleep(seconds * time.Second)
			idle := float64(fleet.store.Reads()-before) / seconds / float64(daemons)
			before = fleet.store.Reads()
			writesBefore, _ := fleet.store.Writes()
			for i := range changes {
				kind := []dogwoodchange.Kind{dogwoodchange.TakeOut, dogwoodchange.BringBack}[i%2]
				if _, err := fleet.nodes[0].log.Submit(t.Context(), dogwoodchange.Change{Kind: kind, VM: "v"}); err != nil {
					t.Fatal(err)
				}
			}
			writes, _ := fleet.store.Writes()
			reads := fleet.store.Reads() - before
			if idle > 0.12 || writes-writesBefore != changes || reads > changes/10 {
				t.Errorf("%d daemons: got %.3f reads per second and daemon when idle, %d writes and %d reads for %d changes, want about 0.1, one write per change and few reads",
					daemons, idle, writes-writesBefore, reads, changes)
			}
			t.Logf("%d daemons: %.3f reads/s per daemon when idle; %d writes, %d reads for %d changes", daemons, idle, writes-writesBefore, reads, changes)
		})
	}
}
