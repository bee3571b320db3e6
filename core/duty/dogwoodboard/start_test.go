package dogwoodboard

import (
	"context"
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

// startingNode is a daemon that has just started, with an engine and peers that it can't call.
type startingNode struct {
	duty    *Duty
	peers   atomic.Pointer[[]Peer]
	changed chan struct{}
	isLeaf  atomic.Bool
}

// startNode starts a daemon with two peers until the returned function is called.
func startNode(t *testing.T) (started *startingNode, stop func()) {
	t.Helper()
	engine := &dogwoodenginetime.Engine{Slots: 16, MemoryTokens: 300_000, Step: 2 * time.Millisecond, TokensPerSecond: 150_000, Chunk: 2048, Stride: 34}
	board := dogwoodpacking.NewBoard("0")
	board.SetEndpoints([]dogwoodpacking.Endpoint{{
		Endpoint: dogwoodfleet.Endpoint{ID: "e", Service: "models", Kind: dogwoodfleet.EnginePool, InForce: true}, Slots: engine.Slots, Engine: engine,
	}})
	started = &startingNode{changed: make(chan struct{})}
	started.setPeers("1", "2")
	started.duty = New(Options{
		Self: "0", Board: board, Caller: &mesh{cut: true, calls: map[netip.AddrPort]int{}}, Serves: func() bool { return true },
		Peers: func() []Peer { return *started.peers.Load() }, IsLeaf: started.isLeaf.Load, Watch: func() <-chan struct{} { return started.changed },
		Expected: func() int { return 3 }, Logger: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = started.duty.Run(ctx) })
	synctest.Wait()
	return started, func() {
		cancel()
		group.Wait()
	}
}

// setPeers sets the peers that the daemon knows.
func (startingNode *startingNode) setPeers(instances ...dogwoodfleet.InstanceID) {
	var peers []Peer
	for index, instance := range instances {
		peers = append(peers, Peer{Instance: instance, Address: addressOf(index + 1)})
	}
	startingNode.peers.Store(&peers)
}

// announce applies the first announcement of a peer.
func (startingNode *startingNode) announce(batch Batch) {
	var reply bool
	batch.Sequence, batch.Whole = 1, true
	_ = startingNode.duty.Receiver().Tell(batch, &reply)
}

// place places a prompt that can wait.
func (startingNode *startingNode) place(tokens int) dogwoodpacking.Refusal {
	now := time.Now()
	_, refusal := startingNode.duty.Place(now, &dogwoodpacking.PlacementRequest{
		ID: "p", Service: "models", Prompt: tokens, Answer: 100, CanWait: true,
		Aim: time.Minute, Pause: time.Second, Until: now.Add(5 * time.Minute),
	})
	return refusal
}

// Guards against an engine that runs out of memory under a long prompt: a daemon that has just started knows its peers, but not
// their work, and places the prompt on an engine that they have filled.
func TestLongPromptWaitsForTheWorkOfThePeers(t *testing.T) {
	full := Item{Work: dogwoodpacking.Work{ID: "w", Holder: "1", Service: "models", Endpoint: "e", Tokens: 200_000, Prompt: 200_000}, Left: time.Minute}
	const long, patience = 150_000, maxPeerWait + expireInterval
	tests := []struct {
		name string
		// announced are the peers' announcements before the prompt comes.
		announced []Batch
		prompt    int
		waited    time.Duration
		// becomesLeaf makes the daemon a leaf before it waits.
		becomesLeaf bool
		want        dogwoodpacking.Refusal
	}{
		{"no peer has announced its work", nil, long, 0, false, dogwoodpacking.Full},
		{"one of two has", []Batch{{From: "2"}}, long, 0, false, dogwoodpacking.Full},
		{"both have, and the engine is full", []Batch{{From: "2"}, {From: "1", Items: []Item{full}}}, long, 0, false, dogwoodpacking.Full},
		{"both have, and the engine is free", []Batch{{From: "2"}, {From: "1"}}, long, 0, false, dogwoodpacking.Placed},
		{"a short prompt does not wait", nil, dogwoodenginetime.LongPrompt / 2, 0, false, dogwoodpacking.Placed},
		{"a peer that never announces anything holds nobody up for long", nil, long, patience, false, dogwoodpacking.Placed},
		{"a daemon that becomes a leaf goes by its view", nil, long, patience, true, dogwoodpacking.Placed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				node, stop := startNode(t)
				defer stop()
				for _, batch := range test.announced {
					node.announce(batch)
				}
				node.isLeaf.Store(test.becomesLeaf)
				time.Sleep(test.waited)
				if got := node.place(test.prompt); got != test.want {
					t.Errorf("got %q, want %q", got, test.want)
				}
			})
		})
	}
}

// Guards against the same while peers become known one after the other: those known first have announced their work.
func TestLongPromptWaitsForPeersThatBecomeKnownLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node, stop := startNode(t)
		defer stop()
		node.announce(Batch{From: "1"})
		node.announce(Batch{From: "2"})
		time.Sleep(20 * time.Millisecond)
		node.setPeers("1", "2", "3")
		node.changed <- struct{}{}
		synctest.Wait()
		if got, want := node.place(150_000), dogwoodpacking.Full; got != want {
			t.Errorf("the third peer has announced nothing: got %q, want %q", got, want)
		}
		node.announce(Batch{From: "3"})
		if got, want := node.place(150_000), dogwoodpacking.Placed; got != want {
			t.Errorf("all have announced their work: got %q, want %q", got, want)
		}
	})
}
