package dogwoodhub

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodhubs"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/state/dogwoodcopy"
)

var tableNames = []string{"text", "servers"}

// world is a fleet's store, network and daemons.
type fleet struct {
	ctx context.Context //nolint:containedctx // the lifetime of the test's fleet

	mutex sync.Mutex
	nodes []*node
	byAt  map[netip.AddrPort]*node
	// listed and reads are the store's rows and how often they were read or written.
	listed      map[dogwoodfleet.VM]dogwoodhubs.Daemon
	storeCalls  int
	storeAway   bool
	version     int64
	rate, calls int
}

// node is one daemon.
type node struct {
	world  *fleet
	starts int

	mutex  sync.Mutex
	self   dogwoodhubs.Daemon
	tables *tables
	hub    *Hub
	dead   bool // its calls and those to it get no answer
	frozen bool
	// turnedAway has the store refuse this daemon.
	turnedAway bool
	cancel     context.CancelFunc
	group      sync.WaitGroup
}

// tables are what one start of a daemon knows of the store.
type tables struct {
	begun  time.Time
	copies map[string]*dogwoodcopy.Copy
}

func newTables() *tables {
	made := &tables{begun: time.Now(), copies: map[string]*dogwoodcopy.Copy{}}
	for _, name := range tableNames {
		made.copies[name] = dogwoodcopy.New()
	}
	return made
}

func (tables *tables) clock() time.Duration { return time.Since(tables.begun) }

func (tables *tables) Latest(table string, after int64) (dogwoodcopy.Answer, <-chan struct{}, bool) {
	return tables.copies[table].Latest(after)
}

func (tables *tables) Position(table string) (int64, time.Duration) {
	version, proven := tables.copies[table].Known()
	return version, tables.clock() - proven
}

func (tables *tables) Feed(table string, answer dogwoodcopy.Answer) {
	tables.copies[table].Take(answer, false)
}

func newWorld(t *testing.T, centres, large, small int) *fleet {
	world := &fleet{ctx: t.Context(), byAt: map[netip.AddrPort]*node{}, listed: map[dogwoodfleet.VM]dogwoodhubs.Daemon{}, version: 1}
	for c := range centres {
		for i := range large + small {
			address := netip.AddrFrom4([4]byte{10, byte(c), byte(i / 200), byte(i % 200)})
			made := &node{world: world, self: dogwoodhubs.Daemon{
				VM:    dogwoodfleet.VM(fmt.Sprintf("%d-%03d", c, i)),
				Place: dogwoodfleet.Place{Region: "r", DataCentre: dogwoodfleet.DataCentre(fmt.Sprint(c))},
				Serve: netip.AddrPortFrom(address, 1), Peer: netip.AddrPortFrom(address, 2), Cores: 0.192,
			}}
			if i < large {
				made.self.Cores = 0.8
			}
			world.nodes, world.byAt[made.self.Peer] = append(world.nodes, made), made
		}
	}
	return world
}

// start starts a daemon anew.
func (node *node) start() {
	ctx, cancel := context.WithCancel(node.world.ctx)
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.starts++
	node.dead, node.cancel, node.tables = false, cancel, newTables()
	node.self.Instance = dogwoodfleet.InstanceID(fmt.Sprintf("%s.%d", node.self.VM, node.starts))
	self, known := node.self, node.tables
	leaf := NewLeaf(LeafOptions{
		Self: func() dogwoodhubs.Daemon { return self }, Caller: node, Feed: known, Names: tableNames, Clock: known.clock, Logger: hclog.NewNullLogger(),
	})
	duty := New(Options{
		Self: self, FirstStart: node.starts == 1, List: node, Leaf: leaf, Logger: hclog.NewNullLogger(),
		BeHub: func(ctx context.Context) error { return node.beHub(ctx, self, known) },
	})
	node.group.Go(func() { _ = duty.Run(ctx) })
}

// kill ends a daemon without a word.
func (node *node) kill() {
	node.mutex.Lock()
	node.dead = true
	cancel := node.cancel
	node.mutex.Unlock()
	cancel()
}

func (node *node) isHub() bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return !node.dead && node.hub != nil
}

// beHub reads the store itself twice a second and answers leaves.
func (node *node) beHub(ctx context.Context, self dogwoodhubs.Daemon, known *tables) error {
	hub := NewHub(HubOptions{
		Self: self, Tables: known, Names: tableNames, Clock: known.clock, Hubs: node.world.hubs, OtherLeaves: node.otherLeaves,
		Requests: node.world.requests, DataCentres: node.world.centres(), Logger: hclog.NewNullLogger(),
	})
	set := func(hub *Hub) {
		node.mutex.Lock()
		defer node.mutex.Unlock()
		node.hub = hub
	}
	set(hub)
	defer set(nil)
	reading, cancel := context.WithCancel(ctx)
	defer cancel()
	node.group.Go(func() {
		for reading.Err() == nil {
			node.read(known)
			time.Sleep(500 * time.Millisecond)
		}
	})
	return hub.Run(ctx)
}

// read has a hub know what the store holds now, as its feed would.
func (node *node) read(known *tables) {
	node.world.mutex.Lock()
	away, version := node.world.storeAway, node.world.version
	node.world.mutex.Unlock()
	node.mutex.Lock()
	frozen := node.frozen
	node.mutex.Unlock()
	if away || frozen {
		return
	}
	for _, name := range tableNames {
		before, _ := known.copies[name].Known()
		known.copies[name].Take(dogwoodcopy.Answer{
			Whole: before < 0, Rows: []dogwoodcopy.Row{{Key: "row", Version: version}}, Version: version, Proven: known.clock(),
		}, true)
	}
}

func (node *node) otherLeaves() int {
	leaves := 0
	for _, other := range node.world.nodes {
		other.mutex.Lock()
		hub := other.hub
		other.mutex.Unlock()
		if other != node && hub != nil {
			leaves += hub.Leaves()
		}
	}
	return leaves
}

// Position is how much the daemon knows of a table.
func (node *node) Position(table string) (int64, time.Duration) {
	node.mutex.Lock()
	known := node.tables
	node.mutex.Unlock()
	return known.Position(table)
}

// record is the daemon as it is now.
func (node *node) record() dogwoodhubs.Daemon {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.self
}

// Call carries a call that takes a millisecond each way.
func (node *node) Call(ctx context.Context, peer netip.AddrPort, _ string, args, reply any) error {
	node.world.mutex.Lock()
	node.world.calls++
	node.world.mutex.Unlock()
	called := node.world.byAt[peer]
	time.Sleep(time.Millisecond)
	called.mutex.Lock()
	hub, dead, frozen := called.hub, called.dead, called.frozen
	called.mutex.Unlock()
	if dead || frozen {
		<-ctx.Done()
		return ctx.Err()
	}
	if hub == nil {
		return errors.New("refused")
	}
	answered := make(chan error, 1)
	news := new(News) // what comes after the caller has given up must not be seen
	node.group.Go(func() { answered <- hub.Receiver().Follow(args.(Question), news) })
	select {
	case err := <-answered:
		time.Sleep(time.Millisecond)
		called.mutex.Lock()
		dead, frozen := called.dead, called.frozen
		called.mutex.Unlock()
		if dead || frozen {
			<-ctx.Done()
			return ctx.Err()
		}
		*reply.(*News) = *news
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Hubs, Offer and Withdraw are the store's list of hubs. A call takes four milliseconds.
func (node *node) Hubs(context.Context) ([]dogwoodhubs.Daemon, error) {
	var hubs []dogwoodhubs.Daemon
	if node.isTurnedAway() {
		return nil, errors.New("turned away")
	}
	err := node.world.store(func(world *fleet) {
		for _, hub := range world.listed {
			hub.Instance = "" // the list does not say which start it is
			hubs = append(hubs, hub)
		}
	})
	return hubs, err
}

func (node *node) isTurnedAway() bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.turnedAway
}

func (node *node) Offer(_ context.Context, silent []dogwoodfleet.VM) error {
	if node.isTurnedAway() {
		return errors.New("turned away")
	}
	return node.world.store(func(world *fleet) {
		for _, vm := range silent {
			delete(world.listed, vm)
		}
		self := node.record()
		world.listed[self.VM] = self
	})
}

func (node *node) Withdraw(context.Context) error {
	return node.world.store(func(world *fleet) { delete(world.listed, node.record().VM) })
}

func (world *fleet) store(use func(world *fleet)) error {
	time.Sleep(4 * time.Millisecond)
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.storeCalls++
	if world.storeAway {
		return errors.New("away")
	}
	use(world)
	return nil
}

// hubs lists the hubs alive, as heartbeats would.
func (world *fleet) hubs() []dogwoodhubs.Daemon {
	var hubs []dogwoodhubs.Daemon
	for _, node := range world.nodes {
		if node.isHub() {
			hubs = append(hubs, node.record())
		}
	}
	return hubs
}

// requests spreads the rate evenly over the data centres, and there over the hubs.
func (world *fleet) requests(time.Time) map[dogwoodfleet.InstanceID]int {
	hubs, centres := world.hubs(), world.centres()
	world.mutex.Lock()
	defer world.mutex.Unlock()
	requests := map[dogwoodfleet.InstanceID]int{}
	for _, hub := range hubs {
		requests[hub.Instance] = world.rate / centres / len(inPlace(hubs, hub.Place))
	}
	return requests
}

// callsMade is how often daemons called each other, storeCallsMade how often the list of hubs
// was read or written.
func (world *fleet) callsMade() int {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.calls
}

func (world *fleet) storeCallsMade() int {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.storeCalls
}

func (world *fleet) centres() int {
	centres := map[dogwoodfleet.Place]bool{}
	for _, node := range world.nodes {
		centres[node.record().Place] = true
	}
	return len(centres)
}

func (world *fleet) set(change func(world *fleet)) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	change(world)
}

// startAll starts all daemons within 0.3 s, in an order that mixes sizes and data centres.
func (world *fleet) startAll() {
	for i := range world.nodes {
		world.nodes[(i*37)%len(world.nodes)].start()
		time.Sleep(300 * time.Millisecond / time.Duration(len(world.nodes)))
	}
}

// without lists the daemons that live, are no hubs, and know nothing of the store's last proof
// within the last two seconds.
func (world *fleet) without() []dogwoodfleet.VM {
	var without []dogwoodfleet.VM
	for _, node := range world.nodes {
		node.mutex.Lock()
		dead := node.dead
		node.mutex.Unlock()
		if dead || node.isHub() {
			continue
		}
		if version, age := node.Position(tableNames[0]); version < 0 || age > 2*time.Second {
			without = append(without, node.record().VM)
		}
	}
	return without
}

func story(t *testing.T, centres, large, small int, body func(t *testing.T, world *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t, centres, large, small)
		world.startAll()
		time.Sleep(5 * time.Second)
		body(t, world)
		for _, node := range world.nodes {
			node.kill()
		}
		for _, node := range world.nodes {
			node.group.Wait()
		}
	})
}

func hubsIn(world *fleet, centre dogwoodfleet.DataCentre) []dogwoodhubs.Daemon {
	return slices.DeleteFunc(world.hubs(), func(hub dogwoodhubs.Daemon) bool { return hub.Place.DataCentre != centre })
}
