package dogwoodowner_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// poisonSite returns a site of three owners and six warm engines that crash on one digest.
func poisonSite(ctx context.Context, poison dogwoodfleet.Digest) *site {
	site := newSite(ctx, "", defaultSettings(), 6, 3, nil)
	for _, engine := range site.engines {
		engine.warm()
		engine.poisonWith(poison)
	}
	time.Sleep(time.Second)
	return site
}

// warm makes the engine warm.
func (engine *engine) warm() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.coldUntil = time.Time{}
}

// poisonWith makes the engine crash on requests with the digest.
func (engine *engine) poisonWith(poison dogwoodfleet.Digest) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.poison[poison] = true
}

func (site *site) crashes() int {
	sum := 0
	for _, engine := range site.engines {
		sum += engine.crashes
	}
	return sum
}

// Guards against a crashing request taking down the fleet. After its first failure the caller
// sends it again through three entry daemons at the same moment, once a second for twenty seconds,
// while others keep sending. If suspects could run without a permit, each copy would take down
// another engine.
func TestPoisonResentThroughManyEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		poison := digestOf(999_999)
		site := poisonSite(ctx, poison)
		var group sync.WaitGroup
		var mutex sync.Mutex
		refused, harmlessLost := 0, 0
		group.Go(func() {
			site.send(ctx, 0, call{Customer: "bad", Prompt: 900, Output: 50, Deadline: 20 * time.Second, Digest: poison})
		})
		for i := range 300 {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				got := site.send(ctx, i%3, call{Customer: "good", Prompt: 1000, Output: 60, Deadline: 20 * time.Second, Digest: digestOf(i)})
				mutex.Lock()
				defer mutex.Unlock()
				if !got.answered {
					t.Logf("harmless %d: %s %s after %v, %d tries", i, got.state, got.reason, got.took, got.tries)
					harmlessLost++
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		for range 20 {
			for entry := range 3 {
				group.Go(func() {
					got := site.send(ctx, entry, call{Customer: "bad", Prompt: 900, Output: 50, Deadline: 20 * time.Second, Digest: poison})
					mutex.Lock()
					defer mutex.Unlock()
					if got.reason == dogwoodfleet.ReasonSuspect && got.state == dogwoodfleet.NotRun {
						refused++
					}
				})
			}
			time.Sleep(time.Second)
		}
		group.Wait()
		if got, want := site.crashes(), 2; got > want {
			t.Errorf("engines killed: got %d, want at most %d", got, want)
		}
		if harmlessLost != 0 {
			t.Errorf("harmless requests not answered: got %d, want 0", harmlessLost)
		}
		if refused == 0 {
			t.Error("got no refusal as a suspect, want some")
		}
		cancel()
		site.background.Wait()
	})
}

// Guards against rejecting harmless requests. Eight requests share an engine with one that
// crashes it. All nine fail together and are tried again. Only the crashing one may stay
// rejected; the other eight must be answered.
func TestHarmlessRequestsOfCrashedBatchAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		poison := digestOf(999_999)
		site := poisonSite(ctx, poison)
		site.warm(ctx)
		var group sync.WaitGroup
		answered := make([]bool, 9)
		for i := range answered {
			group.Go(func() {
				sent := call{Customer: "mates", Prompt: 1000, Output: 400, Deadline: 60 * time.Second, Digest: digestOf(i)}
				if i == len(answered)-1 {
					time.Sleep(500 * time.Millisecond)
					sent.Digest = poison
				}
				got := site.send(ctx, 0, sent)
				answered[i] = got.answered
			})
		}
		group.Wait()
		for i, got := range answered {
			if want := i < len(answered)-1; got != want {
				t.Errorf("request %d answered: got %v, want %v", i, got, want)
			}
		}
		if got, want := site.crashes(), 3; got > want {
			t.Errorf("engines killed: got %d, want at most %d", got, want)
		}
		cancel()
		site.background.Wait()
	})
}
