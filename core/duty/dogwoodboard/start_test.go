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

// Guards against an engine that runs out of memory under a long prompt: a daemon that has just started knows its peers, but not
// their work, and places the prompt on an engine that they have filled.
func TestLongPromptWaitsForTheWorkOfThePeers(t *testing.T) {
	engine := &dogwoodenginetime.Engine{Slots: 16, MemoryTokens: 300_000, Step: 2 * time.Millisecond, TokensPerSecond: 150_000, Chunk: 2048, Stride: 34}
	full := Item{Work: dogwoodpacking.Work{ID: "w", Holder: "1", Service: "models", Endpoint: "e", Tokens: 200_000, Prompt: 200_000}, Left: time.Minute}
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
		{"no peer has announced its work", nil, 150_000, 0, false, dogwoodpacking.Full},
		{"one of two has", []Batch{{From: "2", Sequence: 1, Whole: true}}, 150_000, 0, false, dogwoodpacking.Full},
		{"both have, and the engine is full", []Batch{{From: "2", Sequence: 1, Whole: true}, {From: "1", Sequence: 1, Whole: true, Items: []Item{full}}}, 150_000, 0, false, dogwoodpacking.Full},
		{"both have, and the engine is free", []Batch{{From: "2", Sequence: 1, Whole: true}, {From: "1", Sequence: 1, Whole: true}}, 150_000, 0, false, dogwoodpacking.Placed},
		{"a short prompt does not wait", nil, dogwoodenginetime.LongPrompt / 2, 0, false, dogwoodpacking.Placed},
		{"a peer that never announces anything holds nobody up for long", nil, 150_000, maxPeerWait + expireInterval, false, dogwoodpacking.Placed},
		{"a daemon that becomes a leaf goes by its view", nil, 150_000, maxPeerWait + expireInterval, true, dogwoodpacking.Placed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				board := dogwoodpacking.NewBoard("0")
				board.SetEndpoints([]dogwoodpacking.Endpoint{{
					Endpoint: dogwoodfleet.Endpoint{ID: "e", Service: "models", Kind: dogwoodfleet.EnginePool, InForce: true}, Slots: engine.Slots, Engine: engine,
				}})
				var isLeaf atomic.Bool
				duty := New(Options{
					Self: "0", Board: board, Caller: &mesh{cut: true, calls: map[netip.AddrPort]int{}}, Serves: func() bool { return true },
					Peers: func() []Peer {
						return []Peer{{Instance: "1", Address: addressOf(1)}, {Instance: "2", Address: addressOf(2)}}
					},
					Watch: func() <-chan struct{} { return nil }, Expected: func() int { return 3 }, IsLeaf: isLeaf.Load, Logger: hclog.NewNullLogger(),
				})
				ctx, cancel := context.WithCancel(t.Context())
				var group sync.WaitGroup
				group.Go(func() { _ = duty.Run(ctx) })
				synctest.Wait()
				for _, batch := range test.announced {
					var reply bool
					_ = duty.Receiver().Tell(batch, &reply)
				}
				isLeaf.Store(test.becomesLeaf)
				time.Sleep(test.waited)
				now := time.Now()
				_, got := duty.Place(now, &dogwoodpacking.PlacementRequest{
					ID: "p", Service: "models", Prompt: test.prompt, Answer: 100, CanWait: true,
					Aim: time.Minute, Pause: time.Second, Until: now.Add(5 * time.Minute),
				})
				if got != test.want {
					t.Errorf("got %q, want %q", got, test.want)
				}
				cancel()
				group.Wait()
			})
		})
	}
}

// Guards against the same while peers become known one after the other: those known first have announced their work.
func TestLongPromptWaitsForPeersThatBecomeKnownLater(t *testing.T) {
	engine := &dogwoodenginetime.Engine{Slots: 16, MemoryTokens: 300_000, Step: 2 * time.Millisecond, TokensPerSecond: 150_000, Chunk: 2048, Stride: 34}
	synctest.Test(t, func(t *testing.T) {
		board := dogwoodpacking.NewBoard("0")
		board.SetEndpoints([]dogwoodpacking.Endpoint{{
			Endpoint: dogwoodfleet.Endpoint{ID: "e", Service: "models", Kind: dogwoodfleet.EnginePool, InForce: true}, Slots: engine.Slots, Engine: engine,
		}})
		var peers atomic.Pointer[[]Peer]
		peers.Store(&[]Peer{{Instance: "1", Address: addressOf(1)}})
		changed := make(chan struct{})
		duty := New(Options{
			Self: "0", Board: board, Caller: &mesh{cut: true, calls: map[netip.AddrPort]int{}}, Serves: func() bool { return true },
			Peers: func() []Peer { return *peers.Load() }, Watch: func() <-chan struct{} { return changed },
			Expected: func() int { return 3 }, Logger: hclog.NewNullLogger(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { _ = duty.Run(ctx) })
		tell := func(peer dogwoodfleet.InstanceID) {
			synctest.Wait()
			var reply bool
			_ = duty.Receiver().Tell(Batch{From: peer, Sequence: 1, Whole: true}, &reply)
		}
		place := func() dogwoodpacking.Refusal {
			now := time.Now()
			_, refusal := duty.Place(now, &dogwoodpacking.PlacementRequest{
				ID: "p", Service: "models", Prompt: 150_000, Answer: 100, CanWait: true, Aim: time.Minute, Pause: time.Second, Until: now.Add(5 * time.Minute),
			})
			return refusal
		}
		tell("1")
		time.Sleep(20 * time.Millisecond)
		peers.Store(&[]Peer{{Instance: "1", Address: addressOf(1)}, {Instance: "2", Address: addressOf(2)}})
		changed <- struct{}{}
		synctest.Wait()
		if got, want := place(), dogwoodpacking.Full; got != want {
			t.Errorf("the second peer has announced nothing: got %q, want %q", got, want)
		}
		tell("2")
		if got, want := place(), dogwoodpacking.Placed; got != want {
			t.Errorf("both have announced their work: got %q, want %q", got, want)
		}
		cancel()
		group.Wait()
	})
}
