package dogwoodhub

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
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

var tableNames = []string{"text", "servers"}

// testFleet simulates a fleet: its daemons, the network between them and the store.
type testFleet struct {
	ctx context.Context //nolint:containedctx // the lifetime of the test's fleet

	mutex  sync.Mutex
	nodes  []*node
	byPeer map[netip.AddrPort]*node
	// listed are the hubs in the store's list, and storeCalls counts the reads and writes of it.
	listed     map[dogwoodfleet.VM]dogwoodhubs.Daemon
	storeCalls int
	storeDown  bool
	version    int64
	// text is the value of the text's row.
	text        []byte
	rate, calls int
	// links are the daemons' network links; nil if answers take no time on them.
	links atomic.Pointer[links]
}

// node is one daemon of a testFleet.
type node struct {
	fleet  *testFleet
	starts int

	mutex  sync.Mutex
	self   dogwoodhubs.Daemon
	tables *tables
	hub    *Hub
	dead   bool // neither its calls nor those to it are answered
	frozen bool
	// storeRejects makes the store reject this daemon's calls.
	storeRejects bool
	cancel       context.CancelFunc
	group        sync.WaitGroup
}

// tables are the copies of the store's tables in one instance of a daemon.
type tables struct {
	begun  time.Time
	copies map[string]*dogwoodcopy.Copy
}

func newTables() *tables {
	tables := &tables{begun: time.Now(), copies: map[string]*dogwoodcopy.Copy{}}
	for _, name := range tableNames {
		tables.copies[name] = dogwoodcopy.New()
	}
	return tables
}

func (tables *tables) clock() time.Duration { return time.Since(tables.begun) }

func (tables *tables) Latest(table string, after int64) (dogwoodcopy.Answer, <-chan struct{}, bool) {
	return tables.copies[table].Latest(after)
}

func (tables *tables) Position(table string) (int64, time.Duration) {
	version, confirmed := tables.copies[table].Known()
	return version, tables.clock() - confirmed
}

func (tables *tables) Apply(table string, answer dogwoodcopy.Answer) {
	tables.copies[table].Apply(answer, false)
}

func newTestFleet(t *testing.T, centres, large, small int) *testFleet {
	fleet := &testFleet{ctx: t.Context(), byPeer: map[netip.AddrPort]*node{}, listed: map[dogwoodfleet.VM]dogwoodhubs.Daemon{}, version: 1}
	for c := range centres {
		for i := range large + small {
			address := netip.AddrFrom4([4]byte{10, byte(c), byte(i / 200), byte(i % 200)})
			node := &node{fleet: fleet, self: dogwoodhubs.Daemon{
				VM:    dogwoodfleet.VM(fmt.Sprintf("%d-%03d", c, i)),
				Place: dogwoodfleet.Place{Region: "r", DataCentre: dogwoodfleet.DataCentre(fmt.Sprint(c))},
				Serve: netip.AddrPortFrom(address, 1), Peer: netip.AddrPortFrom(address, 2), Cores: 0.192,
			}}
			if i < large {
				node.self.Cores = 0.8
			}
			fleet.nodes, fleet.byPeer[node.self.Peer] = append(fleet.nodes, node), node
		}
	}
	return fleet
}

// start starts a new instance of the daemon.
func (node *node) start() {
	ctx, cancel := context.WithCancel(node.fleet.ctx)
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.starts++
	node.dead, node.cancel, node.tables = false, cancel, newTables()
	node.self.Instance = dogwoodfleet.InstanceID(fmt.Sprintf("%s.%d", node.self.VM, node.starts))
	self, known := node.self, node.tables
	leaf := NewLeaf(LeafOptions{
		Self: func() dogwoodhubs.Daemon { return self }, Caller: node, Feed: known, TableNames: tableNames, Clock: known.clock, Logger: hclog.NewNullLogger(),
	})
	duty := New(Options{
		Self: self, FirstStart: node.starts == 1, List: node, Leaf: leaf, Logger: hclog.NewNullLogger(),
		RunHub: func(ctx context.Context) error { return node.runHub(ctx, self, known) },
	})
	node.group.Go(func() { _ = duty.Run(ctx) })
}

// kill ends the daemon without a shutdown.
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

// runHub runs a hub that answers leaves and reads the store twice a second.
func (node *node) runHub(ctx context.Context, self dogwoodhubs.Daemon, known *tables) error {
	hub := NewHub(HubOptions{
		Self: self, Tables: known, TableNames: tableNames, Clock: known.clock, Hubs: node.fleet.hubs, OtherLeaves: node.otherLeaves,
		Requests: node.fleet.requests, DataCentres: node.fleet.centres, Logger: hclog.NewNullLogger(),
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

// read copies the store's current contents into the hub's tables, as its feed would.
func (node *node) read(known *tables) {
	node.fleet.mutex.Lock()
	down, version, text := node.fleet.storeDown, node.fleet.version, node.fleet.text
	node.fleet.mutex.Unlock()
	node.mutex.Lock()
	frozen := node.frozen
	node.mutex.Unlock()
	if down || frozen {
		return
	}
	for _, name := range tableNames {
		before, _ := known.copies[name].Known()
		row := dogwoodcopy.Row{Key: "row", Version: version}
		if name == tableNames[0] {
			row.Value = text
		}
		known.copies[name].Apply(dogwoodcopy.Answer{Whole: before < 0, Rows: []dogwoodcopy.Row{row}, Version: version, Proven: known.clock()}, true)
	}
}

func (node *node) otherLeaves() int {
	leaves := 0
	for _, other := range node.fleet.nodes {
		other.mutex.Lock()
		hub := other.hub
		other.mutex.Unlock()
		if other != node && hub != nil {
			leaves += hub.Leaves()
		}
	}
	return leaves
}

// Position returns the version of a table that the daemon has, and the age of its last
// confirmation.
func (node *node) Position(table string) (int64, time.Duration) {
	node.mutex.Lock()
	known := node.tables
	node.mutex.Unlock()
	return known.Position(table)
}

// daemon returns the daemon's current record.
func (node *node) daemon() dogwoodhubs.Daemon {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.self
}

// Call simulates a call that takes a millisecond each way.
func (node *node) Call(ctx context.Context, peer netip.AddrPort, _ string, args, reply any) error {
	node.fleet.mutex.Lock()
	node.fleet.calls++
	node.fleet.mutex.Unlock()
	called := node.fleet.byPeer[peer]
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
	news := new(News) // the caller must not see an answer that arrives after it has given up
	node.group.Go(func() { answered <- hub.Receiver().Follow(args.(FollowRequest), news) })
	select {
	case err := <-answered:
		time.Sleep(time.Millisecond)
		if err := node.awaitTransfer(ctx, called, news); err != nil {
			return err
		}
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

// awaitTransfer waits until an answer has crossed the links.
func (node *node) awaitTransfer(ctx context.Context, from *node, answer *News) error {
	links := node.fleet.links.Load()
	if links == nil {
		return nil
	}
	transfer, earlier := links.send(from, node, answer)
	progress := dogwoodprogress.FromContext(ctx)
	for last := time.Now(); time.Now().Before(transfer.end); last = time.Now() {
		select {
		case <-time.After(min(partInterval, time.Until(transfer.end))):
		case <-ctx.Done():
			return ctx.Err()
		}
		if count := transfer.arrivedBy(time.Now()) - transfer.arrivedBy(last); progress != nil && count > 0 {
			progress.Received(count)
		} else if progress != nil && last.Before(earlier) {
			progress.Postpone(time.Since(last))
		}
	}
	return nil
}

// Hubs, Register and Withdraw simulate the store's list of hubs. A call takes four milliseconds.
func (node *node) Hubs(context.Context) ([]dogwoodhubs.Daemon, error) {
	var hubs []dogwoodhubs.Daemon
	if node.isRejected() {
		return nil, errors.New("rejected")
	}
	err := node.fleet.callStore(func(fleet *testFleet) {
		for _, hub := range fleet.listed {
			hub.Instance = "" // the list does not contain the instance
			hubs = append(hubs, hub)
		}
	})
	return hubs, err
}

func (node *node) isRejected() bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.storeRejects
}

func (node *node) Register(_ context.Context, silent []dogwoodfleet.VM) error {
	if node.isRejected() {
		return errors.New("rejected")
	}
	return node.fleet.callStore(func(fleet *testFleet) {
		for _, vm := range silent {
			delete(fleet.listed, vm)
		}
		self := node.daemon()
		fleet.listed[self.VM] = self
	})
}

func (node *node) Withdraw(context.Context) error {
	return node.fleet.callStore(func(fleet *testFleet) { delete(fleet.listed, node.daemon().VM) })
}

func (fleet *testFleet) callStore(access func(fleet *testFleet)) error {
	time.Sleep(4 * time.Millisecond)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.storeCalls++
	if fleet.storeDown {
		return errors.New("store down")
	}
	access(fleet)
	return nil
}

// hubs returns the hubs that are alive, as heartbeats would.
func (fleet *testFleet) hubs() []dogwoodhubs.Daemon {
	var hubs []dogwoodhubs.Daemon
	for _, node := range fleet.nodes {
		if node.isHub() {
			hubs = append(hubs, node.daemon())
		}
	}
	return hubs
}

// requests distributes the rate evenly over the data centres, and in each over its hubs.
func (fleet *testFleet) requests(time.Time) map[dogwoodfleet.InstanceID]int {
	hubs, centres := fleet.hubs(), fleet.centres()
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	requests := map[dogwoodfleet.InstanceID]int{}
	for _, hub := range hubs {
		requests[hub.Instance] = fleet.rate / centres / len(inPlace(hubs, hub.Place))
	}
	return requests
}

// callsMade returns how often daemons called each other.
func (fleet *testFleet) callsMade() int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.calls
}

// storeCallsMade returns how often the list of hubs was read or written.
func (fleet *testFleet) storeCallsMade() int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.storeCalls
}

func (fleet *testFleet) centres() int {
	centres := map[dogwoodfleet.Place]bool{}
	for _, node := range fleet.nodes {
		centres[node.daemon().Place] = true
	}
	return len(centres)
}

func (fleet *testFleet) update(change func(fleet *testFleet)) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	change(fleet)
}

// startAll starts all daemons within 0.3 s, in an order that mixes sizes and data centres.
func (fleet *testFleet) startAll() {
	for i := range fleet.nodes {
		fleet.nodes[(i*37)%len(fleet.nodes)].start()
		time.Sleep(300 * time.Millisecond / time.Duration(len(fleet.nodes)))
	}
}

// staleNodes returns the VMs of the live leaves that have no confirmation from the last two
// seconds.
func (fleet *testFleet) staleNodes() []dogwoodfleet.VM {
	var stale []dogwoodfleet.VM
	for _, node := range fleet.nodes {
		node.mutex.Lock()
		dead := node.dead
		node.mutex.Unlock()
		if dead || node.isHub() {
			continue
		}
		if version, age := node.Position(tableNames[0]); version < 0 || age > 2*time.Second {
			stale = append(stale, node.daemon().VM)
		}
	}
	return stale
}

// runFleet starts a fleet, lets it run for five seconds and then calls body.
func runFleet(t *testing.T, centres, large, small int, body func(t *testing.T, fleet *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, centres, large, small)
		fleet.startAll()
		time.Sleep(5 * time.Second)
		body(t, fleet)
		for _, node := range fleet.nodes {
			node.kill()
		}
		for _, node := range fleet.nodes {
			node.group.Wait()
		}
	})
}

func hubsIn(fleet *testFleet, centre dogwoodfleet.DataCentre) []dogwoodhubs.Daemon {
	return slices.DeleteFunc(fleet.hubs(), func(hub dogwoodhubs.Daemon) bool { return hub.Place.DataCentre != centre })
}
