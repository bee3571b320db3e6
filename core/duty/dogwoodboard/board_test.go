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

// mesh carries the calls between duties in one process. While it is cut, all calls fail.
type mesh struct {
	mutex     sync.Mutex
	receivers map[netip.AddrPort]*Receiver
	cut       bool
	calls     map[netip.AddrPort]int
	// hubOf holds the hub of each daemon that is a leaf.
	hubOf map[int]int
	// viewCalls counts the leaves' queries of the view.
	viewCalls int
	// frozen holds the calls to a daemon that is frozen; nil if none is.
	frozen *frozenNode
}

func (mesh *mesh) countViewCalls() int {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.viewCalls
}

// peersOf lists the daemons that a daemon announces to: the other hubs, or a leaf's hub.
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

// makeLeaf turns daemon 2 into a leaf of hub 0 and waits until both have detected it.
func (mesh *mesh) makeLeaf() {
	mesh.mutex.Lock()
	mesh.hubOf[2] = 0
	mesh.mutex.Unlock()
	time.Sleep(roleCheckInterval + expireInterval)
}

func (mesh *mesh) isLeaf(index int) bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	_, isLeaf := mesh.hubOf[index]
	return isLeaf
}

// callsTo returns the number of calls to a node.
func (mesh *mesh) callsTo(index int) int {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.calls[addressOf(index)]
}

func addressOf(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index)}), 1)
}

func (mesh *mesh) Call(ctx context.Context, peer netip.AddrPort, method string, args, reply any) error {
	mesh.mutex.Lock()
	receiver, cut, frozen := mesh.receivers[peer], mesh.cut, mesh.frozen
	mesh.calls[peer]++
	mesh.mutex.Unlock()
	if cut {
		return errors.New("no path")
	}
	time.Sleep(time.Millisecond)
	if frozen != nil && peer == frozen.address {
		return frozen.hold(ctx, func() { _ = receiver.Tell(args.(Batch), reply.(*bool)) })
	}
	if method == Name+".View" {
		mesh.mutex.Lock()
		mesh.viewCalls++
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

// node holds the board and the duty of one daemon.
type node struct {
	board  *dogwoodpacking.Board
	duty   *Duty
	serves atomic.Bool
}

// startMesh starts duties that are all connected and returns them with the mesh.
func startMesh(ctx context.Context, group *sync.WaitGroup, count int) ([]*node, *mesh) {
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
		node := &node{board: dogwoodpacking.NewBoard(peers[i].Instance)}
		node.serves.Store(true)
		node.board.SetEndpoints([]dogwoodpacking.Endpoint{{
			Endpoint: dogwoodfleet.Endpoint{ID: "e", Service: "s", InForce: true}, Slots: 100,
		}})
		node.duty = New(Options{
			Self: peers[i].Instance, Board: node.board, Caller: mesh,
			Peers: func() []Peer { return mesh.peersOf(i, peers) }, IsLeaf: func() bool { return mesh.isLeaf(i) },
			Watch: func() <-chan struct{} { return nil }, Serves: node.serves.Load,
			Expected: func() int { return count }, Logger: hclog.NewNullLogger(),
		})
		mesh.receivers[peers[i].Address] = node.duty.Receiver()
		nodes = append(nodes, node)
	}
	for _, node := range nodes {
		group.Go(func() { _ = node.duty.Run(ctx) })
	}
	return nodes, mesh
}

// runMesh runs a test body on a started mesh in a synctest bubble.
func runMesh(t *testing.T, count int, body func(t *testing.T, nodes []*node, mesh *mesh)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		nodes, mesh := startMesh(ctx, &group, count)
		time.Sleep(time.Second)
		body(t, nodes, mesh)
		cancel()
		group.Wait()
	})
}

// place assigns a request without a prompt to the endpoint.
func (node *node) place(id string) {
	node.placePrompt(id, 0)
}

func (node *node) placePrompt(id string, tokens int) {
	now := time.Now()
	node.duty.Place(now, &dogwoodpacking.PlacementRequest{ID: dogwoodpacking.WorkID(id), Service: "s", Prompt: tokens, Until: now.Add(10 * time.Second)})
}

// visibleWork returns how much work at the endpoint is on the node's board: it counts the slots
// that are free there.
func (node *node) visibleWork() int {
	now, free := time.Now(), 0
	for ; ; free++ {
		request := &dogwoodpacking.PlacementRequest{ID: dogwoodpacking.WorkID(fmt.Sprintf("probe%d", free)), Service: "s", Until: now.Add(time.Second)}
		if _, refusal := node.board.Place(now, request); refusal != dogwoodpacking.Placed {
			break
		}
	}
	for i := range free {
		node.board.End(dogwoodpacking.WorkID(fmt.Sprintf("probe%d", i)))
	}
	const capacity = 150 // the slots and the endpoint's queue
	return capacity - free
}

// All daemons learn of work and of its end within a few milliseconds.
func TestWorkIsVisibleToAllDaemons(t *testing.T) {
	runMesh(t, 8, func(t *testing.T, nodes []*node, _ *mesh) {
		nodes[0].place("w1")
		nodes[1].place("w2")
		time.Sleep(5 * time.Millisecond)
		for i, node := range nodes {
			if got := node.visibleWork(); got != 2 {
				t.Errorf("node %d: got %d requests, want 2", i, got)
			}
		}
		nodes[0].duty.End("w1")
		time.Sleep(5 * time.Millisecond)
		if got := nodes[7].visibleWork(); got != 1 {
			t.Errorf("after an end: got %d requests, want 1", got)
		}
	})
}

// Two daemons are hubs and one is a leaf. If each request were announced to leaves too, the
// number of announcements would grow with the square of the daemons. The leaf must receive
// and send nothing while it is idle, learn of all running work as soon as it receives a
// request, and announce its own work to all hubs.
func TestLeafIsSilentUntilItReceivesRequests(t *testing.T) {
	runMesh(t, 3, func(t *testing.T, nodes []*node, mesh *mesh) {
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
		time.Sleep(announceInterval)
		nodes[2].placePrompt("leaf", 1000)
		time.Sleep(10 * time.Millisecond)
		for i, node := range nodes {
			if got := node.visibleWork(); got != 2 {
				t.Errorf("daemon %d: got %d requests, want one of the hub and one of the leaf", i, got)
			}
		}
		nodes[2].duty.End("leaf")
		time.Sleep(10 * time.Millisecond)
		for i, node := range nodes[:2] {
			if got := node.visibleWork(); got != 1 {
				t.Errorf("hub %d after the leaf's request has ended: got %d requests, want 1", i, got)
			}
		}
		time.Sleep(viewIdleTimeout + viewInterval)
		before = mesh.callsTo(0)
		time.Sleep(announceInterval / 2)
		quiet := mesh.callsTo(0) - before
		if quiet > 1 { // the other hub announces that it serves
			t.Errorf("got %d calls to the leaf's hub after its last caller, want none of the leaf", quiet)
		}
	})
}

// The number of hubs follows the number of callers' requests. Requests to leaves, mostly the
// platform's probes, need no hub: when they were counted, twenty leaves were promoted.
func TestLeafRequestsDoNotCountForHubs(t *testing.T) {
	runMesh(t, 3, func(t *testing.T, nodes []*node, mesh *mesh) {
		mesh.makeLeaf()
		for i := range 10 {
			nodes[2].place(fmt.Sprint("leaf", i))
			nodes[0].place(fmt.Sprint("hub", i))
		}
		time.Sleep(2 * announceInterval)
		for i, node := range nodes[:2] {
			if got := node.duty.Requests(time.Now()); got["0"] != 10 || got["1"] != 0 || got["2"] != 0 {
				t.Errorf("hub %d: got %v requests in the last second, want 10 of hub 0", i, got)
			}
		}
		time.Sleep(time.Second + 2*announceInterval)
		if got := nodes[1].duty.Requests(time.Now()); got["0"] != 0 {
			t.Errorf("got %v requests a second later, want none", got)
		}
	})
}

// The platform probes each daemon with a plain call every second. Leaves must not query the
// view of the pool for these calls.
func TestPlainCallsQueryNoView(t *testing.T) {
	runMesh(t, 3, func(t *testing.T, nodes []*node, mesh *mesh) {
		mesh.makeLeaf()
		before := mesh.countViewCalls()
		for i := range 5 {
			nodes[2].place(fmt.Sprint("test", i))
			time.Sleep(time.Second)
		}
		if got := mesh.countViewCalls() - before; got > 0 {
			t.Errorf("got %d queries of the view, want none", got)
		}
	})
}

// When a leaf becomes a hub, the other hubs must learn that it serves and which work it has.
func TestLeafThatBecomesHubAnnounces(t *testing.T) {
	runMesh(t, 3, func(t *testing.T, nodes []*node, mesh *mesh) {
		mesh.makeLeaf()
		time.Sleep(reportTTL)
		if nodes[1].duty.Serves("2") {
			t.Error("got a leaf reported as serving callers, want only hubs")
		}
		mesh.mutex.Lock()
		clear(mesh.hubOf)
		mesh.mutex.Unlock()
		time.Sleep(roleCheckInterval + expireInterval)
		nodes[2].place("w1")
		time.Sleep(5 * time.Millisecond)
		for i, node := range nodes[:2] {
			if got := node.visibleWork(); got != 1 || !node.duty.Serves("2") {
				t.Errorf("hub %d: got %d requests and serves %v, want 1 request of a new hub that serves", i, got, node.duty.Serves("2"))
			}
		}
	})
}

// The daemons can't reach each other for a while, and the ends of requests are not delivered.
// After that each daemon's board must hold exactly the work that runs, or engines would appear
// full for ever.
func TestLostAnnouncementIsRepaired(t *testing.T) {
	runMesh(t, 3, func(t *testing.T, nodes []*node, mesh *mesh) {
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
			if got := node.visibleWork(); got != 3 {
				t.Errorf("node %d: got %d requests, want 3", i, got)
			}
		}
	})
}

// One daemon loses the store and can't serve callers, another one dies. After two seconds no
// caller may be sent to either.
func TestServesExcludesUnfitAndSilentPeers(t *testing.T) {
	runMesh(t, 3, func(t *testing.T, nodes []*node, mesh *mesh) {
		if !nodes[0].duty.Serves("1") {
			t.Error("got a peer reported as not serving, want serving")
		}
		nodes[1].serves.Store(false)
		time.Sleep(time.Second)
		if nodes[0].duty.Serves("1") {
			t.Error("got a peer reported as serving that announced that it does not serve")
		}
		mesh.setCut(true)
		time.Sleep(reportTTL + time.Second)
		if nodes[0].duty.Serves("2") {
			t.Error("got a silent peer reported as serving")
		}
	})
}

// An engine becomes five times slower. The one daemon that has a stream there detects it
// within a second or two. Without announced paces the others sent drafts there until each
// had detected it separately.
func TestAllDaemonsLearnOfSlowEngine(t *testing.T) {
	engine := &dogwoodenginetime.Engine{Slots: 16, MemoryTokens: 400_000, Step: 2 * time.Millisecond, TokensPerSecond: 150_000, Chunk: 2048, Stride: 34}
	runMesh(t, 3, func(t *testing.T, nodes []*node, _ *mesh) {
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
			nodes[0].duty.RecordPace("slow", 5*engine.PassTime(1, 0))
			time.Sleep(2 * announceInterval)
		}
		for i, node := range nodes {
			request := &dogwoodpacking.PlacementRequest{
				ID: dogwoodpacking.WorkID(fmt.Sprint("draft", i)), Service: "models", Prompt: 3_000, Answer: 100,
				Aim: 300 * time.Millisecond, Pause: 250 * time.Millisecond, Until: time.Now().Add(time.Minute),
			}
			placement, refusal := node.board.Place(time.Now(), request)
			if refusal != dogwoodpacking.Placed || placement.Endpoint.ID != "well" {
				t.Errorf("daemon %d: got %q and refusal %q, want the healthy engine", i, placement.Endpoint.ID, refusal)
			}
		}
	})
}
