package dogwoodowner_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/decision/dogwoodmemory"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

func testText(cold, warm int) *dogwoodsettings.Text {
	return &dogwoodsettings.Text{Services: []dogwoodsettings.Service{{
		Name: pool, Kind: dogwoodfleet.EnginePool, ColdLimit: cold, WarmLimit: warm,
	}}}
}

func testEngines() []dogwoodfleet.Endpoint {
	return []dogwoodfleet.Endpoint{{
		ID: "engine-0", Service: pool, Kind: dogwoodfleet.EnginePool, Place: place, InForce: true, MemoryTokens: 100_000,
		Models: []dogwoodfleet.Model{model},
	}}
}

func testRequest(number int, budget time.Duration) dogwoodowner.AcquireRequest {
	return dogwoodowner.AcquireRequest{
		Request: dogwoodfleet.Request{
			ID: dogwoodfleet.RequestID(fmt.Sprintf("ask-%d", number)), Customer: "one", Service: pool, Model: model,
			PromptTokens: 1000, MaxTokens: 100, Repeatable: true, Digest: digestOf(number),
		},
		Holder: "entry", Try: 1, Budget: budget,
	}
}

// acquireAll sends count requests at once and returns what was granted within the budget.
func acquireAll(owner *dogwoodowner.Owner, count int, budget time.Duration) []dogwoodowner.Grant {
	var group sync.WaitGroup
	var mutex sync.Mutex
	var granted []dogwoodowner.Grant
	for i := range count {
		group.Go(func() {
			grant, err := owner.Acquire(context.Background(), testRequest(i, budget))
			if err == nil {
				mutex.Lock()
				defer mutex.Unlock()
				granted = append(granted, grant)
			}
		})
	}
	group.Wait()
	return granted
}

// Guards against a new owner overloading a cold engine. A daemon dies while the engine runs as
// many streams as its cold limit. If the next owner granted the cold limit at once, the engine
// would get twice as much and crash. It must wait for the engine's list and count its streams.
func TestNewOwnerSettles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := dogwoodowner.New(dogwoodowner.Options{Self: "new", Seed: 1})
		owner.SetEndpoints(testEngines(), testText(2, 16))
		if got, want := len(acquireAll(owner, 4, 100*time.Millisecond)), 0; got != want {
			t.Errorf("granted before any report arrived: got %d, want %d", got, want)
		}
		owner.Reconcile("engine-0", dogwoodmemory.Report{
			Asked: time.Now(), Instance: "i", MemoryTokens: 100_000,
			Listed: []dogwoodmemory.Listed{{Request: "old-1", Tokens: 1000}, {Request: "old-2", Tokens: 1000}},
		})
		if got, want := len(acquireAll(owner, 4, 100*time.Millisecond)), 0; got != want {
			t.Errorf("granted while the engine runs its cold limit: got %d, want %d", got, want)
		}
		held := dogwoodowner.Held{
			Grant:  dogwoodowner.Grant{ID: dogwoodowner.GrantID{Owner: "old", Number: 1}, Endpoint: testEngines()[0], ReservedTokens: 1000},
			Holder: "entry", Request: "old-1", PromptTokens: 900, MaxTokens: 100,
		}
		owner.Announce([]dogwoodowner.Held{held})
		owner.Release(dogwoodowner.Release{ID: held.Grant.ID, Result: dogwoodfleet.ResultDone, FirstToken: time.Millisecond, Took: time.Second})
		if got, want := len(acquireAll(owner, 4, 100*time.Millisecond)), 1; got != want {
			t.Errorf("granted after one of the old streams ended: got %d, want %d", got, want)
		}
	})
}

// Guards against leaked and overbooked memory when an entry daemon dies while its stream runs. The
// grant expires, but its slot and memory must stay taken until the engine no longer lists the
// stream, and must be free then.
func TestMemoryOfDeadHolderIsReclaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := dogwoodowner.New(dogwoodowner.Options{Self: "owner", Seed: 1})
		owner.SetEndpoints(testEngines(), testText(1, 1))
		time.Sleep(time.Second)
		grant := acquireAll(owner, 1, time.Second)[0]
		listed := []dogwoodmemory.Listed{{Request: "ask-0", Tokens: 1100}}
		var orphans []dogwoodowner.Orphan
		for range 20 {
			time.Sleep(time.Second)
			orphans = append(owner.Expire(time.Now()), owner.Reconcile("engine-0", dogwoodmemory.Report{Asked: time.Now(), Instance: "i", Listed: listed})...)
		}
		if len(orphans) == 0 || orphans[0].Request != "ask-0" || orphans[0].Grant != grant.ID {
			t.Fatalf("got orphans %v, want the stream ask-0", orphans)
		}
		if got, want := len(acquireAll(owner, 1, 500*time.Millisecond)), 0; got != want {
			t.Errorf("granted while the engine still runs the orphan: got %d, want %d", got, want)
		}
		owner.Reconcile("engine-0", dogwoodmemory.Report{Asked: time.Now(), Instance: "i"})
		if got, want := len(acquireAll(owner, 1, time.Second)), 1; got != want {
			t.Errorf("granted after the engine dropped the orphan: got %d, want %d", got, want)
		}
	})
}

// Guards against a deadlock between gangs. Four prompts that need three of four engines each
// arrive at two owners at the same moment. If each held some engines while it waited for others,
// none would ever run.
func TestGangsDoNotDeadlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		site := newSite(ctx, "", defaultSettings(), 4, 2, nil)
		for _, engine := range site.engines {
			engine.warm()
		}
		time.Sleep(4 * time.Second)
		var group sync.WaitGroup
		answered := make([]bool, 4)
		for i := range answered {
			group.Go(func() {
				got := site.send(ctx, i%2, call{Customer: "archive", Prompt: 990_000, Output: 100, Deadline: 2 * time.Minute, Digest: digestOf(i)})
				answered[i] = got.answered
			})
		}
		group.Wait()
		for i, got := range answered {
			if !got {
				t.Errorf("gang %d was not answered", i)
			}
		}
		time.Sleep(time.Second)
		if got := site.running(); got != 0 {
			t.Errorf("grants after the end: got %d, want 0", got)
		}
		cancel()
		site.background.Wait()
	})
}

// Guards against a leaked slot when a caller disconnects while its request waits.
func TestWithdrawnRequestReleasesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := dogwoodowner.New(dogwoodowner.Options{Self: "owner", Seed: 1})
		owner.SetEndpoints(testEngines(), testText(1, 1))
		time.Sleep(time.Second)
		first := acquireAll(owner, 1, time.Second)[0]
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		var group sync.WaitGroup
		group.Go(func() {
			_, err := owner.Acquire(ctx, testRequest(7, time.Minute))
			done <- err
		})
		synctest.Wait()
		cancel()
		var refusal *dogwoodowner.Refusal
		if err := <-done; !errors.As(err, &refusal) || refusal.Reason != dogwoodfleet.ReasonCancelled || !refusal.NotRun {
			t.Errorf("got %v, want a refusal that says cancelled and not run", err)
		}
		group.Wait()
		owner.Release(dogwoodowner.Release{ID: first.ID, Result: dogwoodfleet.ResultDone, Took: time.Second, FirstToken: time.Millisecond})
		if got, want := len(acquireAll(owner, 1, time.Second)), 1; got != want {
			t.Errorf("granted afterwards: got %d, want %d", got, want)
		}
	})
}

// Guards against goodput that collapses in an overload. At twice the capacity it must stay near
// that at capacity, so work must not be spent on requests that end too late.
func TestOverloadGoodput(t *testing.T) {
	capacity, overload := readTrace(t, "capacity"), readTrace(t, "overload")
	atCapacity, atTwice := replay(t, capacity, ""), replay(t, overload, "")
	got := float64(atTwice.inWindow) / float64(atCapacity.inWindow)
	if want := 0.9; got < want {
		t.Errorf("goodput at twice the capacity over that at capacity: got %.3f, want at least %.2f", got, want)
	}
	t.Logf("goodput at twice the capacity over that at capacity: %.3f", got)
}
