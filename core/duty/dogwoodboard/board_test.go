package dogwoodboard

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodenginetime"
	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/dogwoodfleet"
)

// mesh carries calls between duties in one process, and can be cut.
type mesh struct {
	mutex     sync.Mutex
	receivers map[netip.AddrPort]*Receiver
	cut       bool
	calls     map[netip.AddrPort]int
	// hubOf is the hub of each daemon that is a leaf.
	hubOf map[int]int
	// viewed is how often leaves asked for the view.
	viewed int
}

func (mesh *mesh) views() int {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.viewed
}

// peersOf lists whom a daemon announces to: the other hubs, or a leaf's hub.
func (mesh *mesh) peersOf(index int, peers []Peer) []Peer {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if hub, isLeaf := mesh.hubOf[index]; isLeaf {
		return peers[hub : hub+1]
	}
	var others []Peer
	for i, peer := range peers {
		if _, isLeaf := mesh.hubOf[i]; !isLeaf && i != index {
			others = append(others, peer)
		}
	}
	return others
}

// makeLeaf has daemon 2 be a leaf of hub 0, and waits until both have noticed.
func (mesh *mesh) makeLeaf() {
	mesh.mutex.Lock()
	mesh.hubOf[2] = 0
	mesh.mutex.Unlock()
	time.Sleep(lookEvery + expireEvery)
}

func (mesh *mesh) isLeaf(index int) bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	_, isLeaf := mesh.hubOf[index]
	return isLeaf
}

// callsTo returns how often the node was called.
func (mesh *mesh) callsTo(index int) int {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.calls[addressOf(index)]
}

func addressOf(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index)}), 1)
}

func (mesh *mesh) Call(_ context.Context, peer netip.AddrPort, method string, args, reply any) error {
	mesh.mutex.Lock()
	receiver, cut := mesh.receivers[peer], mesh.cut
	mesh.calls[peer]++
	mesh.mutex.Unlock()
	if cut {
		return errors.New("no path")
	}
	time.Sleep(time.Millisecond)
	if method == Name+".View" {
		mesh.mutex.Lock()
		mesh.viewed++
		mesh.mutex.Unlock()
		return receiver.View(args.(dogwoodfleet.InstanceID), reply.(*View))
	}
	return receiver.Tell(args.(Batch), reply.(*bool))
}

func (mesh *mesh) setCut(cut bool) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.cut = cut
}

// node is one daemon's board and duty.
type node struct {
	board  *dogwoodpacking.Board
	duty   *Duty
	serves atomic.Bool
}

// meshOf starts duties that all know each other and returns them with the mesh.
func meshOf(ctx context.Context, group *sync.WaitGroup, count int) ([]*node, *mesh) {
	mesh := &mesh{
		receivers: map[netip.AddrPort]*Receiver{}, calls: map[netip.AddrPort]int{}, hubOf: map[int]int{},
	}
	var peers []Peer
	for i := range count {
		peers = append(peers, Peer{
			Instance: dogwoodfleet.InstanceID(fmt.Sprint(i)),
			Address:  addressOf(i),
		})
	}
	var nodes []*node
	for i := range count {
		made := &node{board: dogwoodpacking.NewBoard(peers[i].Instance)}
		made.serves.Store(true)
		made.board.SetEndpoints([]dogwoodpacking.Endpoint{{
			Endpoint: dogwoodfleet.Endpoint{ID: "e", Service: "s", InForce: true}, Slots: 100,
		}})
		made.duty = New(Options{
			Self: peers[i].Instance, Board: made.board, Caller: mesh,
			Peers: func() []Peer { return mesh.peersOf(i, peers) }, IsLeaf: func() bool { return mesh.isLeaf(i) },
			Watch: func() <-chan struct{} { return nil }, Serves: made.serves.Load,
			Expected: func() int { return count }, Logger: hclog.NewNullLogger(),
		})
		mesh.receivers[peers[i].Address] = made.duty.Receiver()
		nodes = append(nodes, made)
	}
	for _, made := range nodes {
		group.Go(func() { _ = made.duty.Run(ctx) })
	}
	return nodes, mesh
}

func story(t *testing.T, count int, body func(t *testing.T, nodes []*node, mesh *mesh)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		nodes, mesh := meshOf(ctx, &group, count)
		time.Sleep(time.Second)
		body(t, nodes, mesh)
		cancel()
		group.Wait()
	})
}

// place gives work to the endpoint for some time.
func (node *node) place(id string) {
	node.placePrompt(id, 0)
}

func (node *node) placePrompt(id string, tokens int) {
	now := time.Now()
	node.duty.Place(now, &dogwoodpacking.Ask{ID: dogwoodpacking.WorkID(id), Service: "s", Prompt: tokens, Until: now.Add(10 * time.Second)})
}

// sees is how much work the node knows at the endpoint, by the slots that are left there.
func (node *node) sees() int {
	now, free := time.Now(), 0
	for ; ; free++ {
		ask := &dogwoodpacking.Ask{ID: dogwoodpacking.WorkID(fmt.Sprintf("probe%d", free)), Service: "s", Until: now.Add(time.Second)}
		if _, refusal := node.board.Place(now, ask); refusal != dogwoodpacking.Placed {
			break
		}
	}
	for i := range free {
		node.board.End(dogwoodpacking.WorkID(fmt.Sprintf("probe%d", i)))
	}
	const most = 150 // the slots and what an endpoint queues besides
	return most - free
}

// What one daemon gives out is seen by all within some milliseconds, and so is its end.
func TestWorkIsSeenByAll(t *testing.T) {
	story(t, 8, func(t *testing.T, nodes []*node, _ *mesh) {
		nodes[0].place("w1")
		nodes[1].place("w2")
		time.Sleep(5 * time.Millisecond)
		for i, node := range nodes {
			if got := node.sees(); got != 2 {
				t.Errorf("node %d: got %d requests, want 2", i, got)
			}
		}
		nodes[0].duty.End("w1")
		time.Sleep(5 * time.Millisecond)
		if got := nodes[7].sees(); got != 1 {
			t.Errorf("after an end: got %d requests, want 1", got)
		}
	})
}

// Two daemons take callers and one is a leaf. If each request were told there too, the
// announcements would grow with the square of the daemons. It must hear nothing and say
// nothing, know all that runs as soon as a caller comes to it, and what it gives out must be
// seen by all hubs.
func TestALeafHearsNothingUntilCallersCome(t *testing.T) {
	story(t, 3, func(t *testing.T, nodes []*node, mesh *mesh) {
		mesh.makeLeaf()
		before := mesh.callsTo(2)
		const requests, seconds = 50, 5
		for i := range requests * seconds {
			nodes[0].place(fmt.Sprint("short", i))
			time.Sleep(time.Second / requests / 2)
			nodes[0].duty.End(dogwoodpacking.WorkID(fmt.Sprint("short", i)))
			time.Sleep(time.Second / requests / 2)
		}
		if got := mesh.callsTo(2) - before; got > 0 {
			t.Errorf("got %d announcements to a leaf, want none", got)
		}
		nodes[0].place("w1")
		time.Sleep(tellEvery)
		nodes[2].placePrompt("leaf", 1000)
		time.Sleep(10 * time.Millisecond)
		for i, node := range nodes {
			if got := node.sees(); got != 2 {
				t.Errorf("daemon %d: got %d requests, want that of the hub and that of the leaf", i, got)
			}
		}
		nodes[2].duty.End("leaf")
		time.Sleep(10 * time.Millisecond)
		for i, node := range nodes[:2] {
			if got := node.sees(); got != 1 {
				t.Errorf("hub %d after the leaf's request has ended: got %d requests, want 1", i, got)
			}
		}
		time.Sleep(viewFor + viewEvery)
		before = mesh.callsTo(0)
		time.Sleep(tellEvery / 2)
		quiet := mesh.callsTo(0) - before
		if quiet > 1 { // the other hub tells that it serves
			t.Errorf("got %d calls to the leaf's hub after its last caller, want none of the leaf", quiet)
		}
	})
}

// Hubs are promoted as the callers' requests need. What callers ask of leaves, the platform's
// own tests above all, needs no hub; counted, it had twenty leaves promoted.
func TestRequestsOfLeavesNeedNoHubs(t *testing.T) {
	story(t, 3, func(t *testing.T, nodes []*node, mesh *mesh) {
		mesh.makeLeaf()
		for i := range 10 {
			nodes[2].place(fmt.Sprint("leaf", i))
			nodes[0].place(fmt.Sprint("hub", i))
		}
		time.Sleep(2 * tellEvery)
		for i, node := range nodes[:2] {
			if got := node.duty.Requests(time.Now()); got["0"] != 10 || got["1"] != 0 || got["2"] != 0 {
				t.Errorf("hub %d: got %v requests in the last second, want 10 of hub 0", i, got)
			}
		}
		time.Sleep(time.Second + 2*tellEvery)
		if got := nodes[1].duty.Requests(time.Now()); got["0"] != 0 {
			t.Errorf("got %v requests a second later, want none", got)
		}
	})
}

// The platform tests each daemon with a plain call every second. Leaves must not ask for the view
// of the pool for these.
func TestPlainCallsNeedNoView(t *testing.T) {
	story(t, 3, func(t *testing.T, nodes []*node, mesh *mesh) {
		mesh.makeLeaf()
		before := mesh.views()
		for i := range 5 {
			nodes[2].place(fmt.Sprint("test", i))
			time.Sleep(time.Second)
		}
		if got := mesh.views() - before; got > 0 {
			t.Errorf("got %d questions for the view, want none", got)
		}
	})
}

// A leaf becomes a hub, and hubs must know that it serves and what it gives out.
func TestALeafThatBecomesAHubAnnounces(t *testing.T) {
	story(t, 3, func(t *testing.T, nodes []*node, mesh *mesh) {
		mesh.makeLeaf()
		time.Sleep(heardWithin)
		if nodes[1].duty.Serves("2") {
			t.Error("got that a leaf serves callers, want that hubs do")
		}
		mesh.mutex.Lock()
		clear(mesh.hubOf)
		mesh.mutex.Unlock()
		time.Sleep(lookEvery + expireEvery)
		nodes[2].place("w1")
		time.Sleep(5 * time.Millisecond)
		for i, node := range nodes[:2] {
			if got := node.sees(); got != 1 || !node.duty.Serves("2") {
				t.Errorf("hub %d: got %d requests and serves %v, want 1 of a new hub that serves", i, got, node.duty.Serves("2"))
			}
		}
	})
}

// Daemons lose each other for a while, and ends of requests are never heard. When they are
// back each must see just what runs, or engines would look full for ever.
func TestALostAnnouncementIsMadeUpFor(t *testing.T) {
	story(t, 3, func(t *testing.T, nodes []*node, mesh *mesh) {
		nodes[0].place("w1")
		nodes[0].place("w2")
		time.Sleep(10 * time.Millisecond)
		mesh.setCut(true)
		nodes[0].duty.End("w1")
		nodes[0].place("w3")
		nodes[0].place("w4")
		time.Sleep(time.Second)
		mesh.setCut(false)
		time.Sleep(time.Second)
		for i, node := range nodes {
			if got := node.sees(); got != 3 {
				t.Errorf("node %d: got %d requests, want 3", i, got)
			}
		}
	})
}

// A daemon loses the store and can't serve callers; another one dies. Within two seconds
// nobody may be sent to either.
func TestWhoServes(t *testing.T) {
	story(t, 3, func(t *testing.T, nodes []*node, mesh *mesh) {
		if !nodes[0].duty.Serves("1") {
			t.Error("got a peer that does not serve, want that it does")
		}
		nodes[1].serves.Store(false)
		time.Sleep(time.Second)
		if nodes[0].duty.Serves("1") {
			t.Error("got that a peer serves that says it does not")
		}
		mesh.setCut(true)
		time.Sleep(heardWithin + time.Second)
		if nodes[0].duty.Serves("2") {
			t.Error("got that a silent peer serves")
		}
	})
}

// An engine turns five times slower. The one daemon that has a stream there sees it within a
// second or two; the others sent their drafts there until each had seen it for itself.
func TestAllLearnThatAnEngineIsSlow(t *testing.T) {
	engine := &dogwoodenginetime.Engine{Slots: 16, MemoryTokens: 400_000, Step: 2 * time.Millisecond, TokensPerSecond: 150_000, Chunk: 2048, Stride: 34}
	story(t, 3, func(t *testing.T, nodes []*node, _ *mesh) {
		var endpoints []dogwoodpacking.Endpoint
		for _, id := range []dogwoodfleet.EndpointID{"slow", "well"} {
			endpoints = append(endpoints, dogwoodpacking.Endpoint{
				Endpoint: dogwoodfleet.Endpoint{ID: id, Service: "models", Kind: dogwoodfleet.EnginePool, InForce: true},
				Slots:    engine.Slots, Engine: engine,
			})
		}
		for _, node := range nodes {
			node.board.SetEndpoints(endpoints)
			node.board.Put(time.Now(), dogwoodpacking.Work{
				ID: "stream", Holder: "0", Service: "models", Endpoint: "slow", Tokens: 4_000, Writing: true,
				Pause: 250 * time.Millisecond, Begun: time.Now(), Until: time.Now().Add(time.Minute),
			})
		}
		for range 5 {
			nodes[0].duty.Paced("slow", 5*engine.Pass(1, 0))
			time.Sleep(2 * tellEvery)
		}
		for i, node := range nodes {
			ask := &dogwoodpacking.Ask{
				ID: dogwoodpacking.WorkID(fmt.Sprint("draft", i)), Service: "models", Prompt: 3_000, Answer: 100,
				Aim: 300 * time.Millisecond, Pause: 250 * time.Millisecond, Until: time.Now().Add(time.Minute),
			}
			placement, refusal := node.board.Place(time.Now(), ask)
			if refusal != dogwoodpacking.Placed || placement.Endpoint.ID != "well" {
				t.Errorf("daemon %d: got %q and refusal %q, want the engine that is well", i, placement.Endpoint.ID, refusal)
			}
		}
	})
}
