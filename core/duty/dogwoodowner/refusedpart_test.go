package dogwoodowner_test

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

// partSite is an owner of one engine that learns of ends of other owners' engines.
type partSite struct {
	*dogwoodowner.Owner
	text    *dogwoodsettings.Text
	notices int
	// waiting are the calls that acquire started.
	waiting sync.WaitGroup
}

func newPartSite() *partSite {
	site := &partSite{text: &dogwoodsettings.Text{Services: []dogwoodsettings.Service{{Name: pool, Kind: dogwoodfleet.EnginePool, ColdLimit: 8, WarmLimit: 8}}}}
	site.Owner = dogwoodowner.New(dogwoodowner.Options{Text: site.text, Self: "owner", Seed: 1})
	site.setModels()
	time.Sleep(5 * time.Second)
	return site
}

// setModels sets which models the engine is known to serve.
func (site *partSite) setModels(models ...dogwoodfleet.Model) {
	site.SetEndpoints([]dogwoodfleet.Endpoint{
		{ID: "engine", Service: pool, Kind: dogwoodfleet.EnginePool, InForce: true, MemoryTokens: 400_000, Models: models},
	}, site.text)
}

// learn applies a notice of a prompt that no other prompt equals.
func (site *partSite) learn(customer dogwoodfleet.Customer, isStrike bool, blocks ...uint64) {
	site.notices++
	blocks = append(blocks, uint64(1000+site.notices))
	subject := &dogwoodsuspect.Subject{Request: dogwoodfleet.RequestID(fmt.Sprint("notice-", site.notices)), Digest: digestOf(site.notices), Customer: customer}
	for i, block := range blocks {
		subject.Parts = append(subject.Parts, dogwoodfleet.NewPromptPart(pool, string(model), "")+dogwoodfleet.PromptPart(fmt.Sprintf("%02d.%x", i, block)))
	}
	notice := dogwoodsuspect.Notice{Kind: dogwoodsuspect.Begun, Request: subject.Request, Customer: customer, Parts: subject.Parts, Whole: true}
	if isStrike {
		notice = subject.PartStrikeNotice(dogwoodfleet.EndpointID(fmt.Sprint("engine@", site.notices)), 0, true, false)
	}
	site.Learn([]dogwoodsuspect.Notice{notice})
}

// strike lets endpoints end under prompts with some blocks, a second apart, the last one now.
func (site *partSite) strike(ends int, customer dogwoodfleet.Customer, blocks ...uint64) {
	for range ends {
		time.Sleep(time.Second)
		site.learn(customer, true, blocks...)
	}
}

// partWait is an acquire request that may wait.
type partWait struct {
	isDone bool
	grant  dogwoodowner.Grant
	err    error
}

func (partWait *partWait) isRefused() bool {
	var refusal *dogwoodowner.Refusal
	return partWait.isDone && errors.As(partWait.err, &refusal) && refusal.Reason == dogwoodfleet.ReasonSuspect
}

// acquire starts an acquire request and returns once it waits or has its outcome.
func (site *partSite) acquire(ctx context.Context, number int, customer dogwoodfleet.Customer, tokens int, blocks ...uint64) *partWait {
	wait := &partWait{}
	site.waiting.Go(func() {
		wait.grant, wait.err = site.Acquire(ctx, dogwoodowner.AcquireRequest{Holder: "entry", Budget: time.Hour, Request: dogwoodfleet.Request{
			ID: dogwoodfleet.RequestID(fmt.Sprint("waiter-", number)), Customer: customer, Service: pool, Model: model, Digest: digestOf(1_000_000 + number),
			PromptTokens: tokens, MaxTokens: 10, Blocks: append(blocks, uint64(1_000_000+number)),
		}})
		wait.isDone = true
	})
	synctest.Wait()
	return wait
}

// Guards against waiters that wait on while nothing keeps them out: those whose endpoint was reserved for a prompt that is refused
// now, and prompts that are refused after they began to wait as suspects.
func TestRefusedPartsFreeTheirReservationsAtOnce(t *testing.T) {
	others := func(site *partSite) {
		for other := range uint64(4) {
			site.learn("other", false, 70+other)
		}
	}
	tests := []struct {
		name string
		// before happens before the prompt waits, and refuse refuses it. running are the grants of prompts without the part.
		before func(site *partSite)
		refuse func(site *partSite, running []*partWait)
	}{
		{
			name:   "another owner reports an end",
			before: func(site *partSite) { site.strike(2, "a", 50, 51); others(site) },
			refuse: func(site *partSite, _ []*partWait) { site.strike(1, "a", 50, 51) },
		},
		{
			name:   "answers begin to prompts without the part",
			before: func(site *partSite) { site.strike(3, "a", 50, 51) },
			refuse: func(site *partSite, running []*partWait) {
				for _, wait := range running {
					site.Began("entry", []dogwoodowner.Begin{{Grant: wait.grant.ID}})
				}
			},
		},
		{
			name:   "an end refuses it for all customers while it waits to be tried",
			before: func(site *partSite) { site.strike(2, "other", 50, 51); others(site); site.strike(1, "other", 50, 51) },
			refuse: func(site *partSite, _ []*partWait) { site.strike(1, "third", 50, 51) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				site := newPartSite()
				test.before(site)
				var running []*partWait
				for i := range 5 {
					running = append(running, site.acquire(ctx, i, "b", 60_000, uint64(80+i)))
				}
				refused := site.acquire(ctx, 10, "a", 350_000, 50, 51)
				next := site.acquire(ctx, 11, "b", 60_000, 90)
				if refused.isDone || next.isDone {
					t.Fatalf("got the outcomes %+v and %+v, want both to wait", refused, next)
				}
				test.refuse(site, running)
				synctest.Wait()
				if !refused.isRefused() {
					t.Errorf("the prompt with the part: got %+v, want a refusal", refused)
				}
				if !next.isDone || next.err != nil {
					t.Errorf("the prompt behind it: got %+v, want a grant", next)
				}
				cancel()
				site.waiting.Wait()
			})
		})
	}
}

// Guards against checking all waiters under the owner's lock whenever a refusal changes. Allocations are counted, since times vary:
// the names of a prompt's parts are made when it is checked.
func TestChangedRefusalsCheckNoOtherWaiters(t *testing.T) {
	const waiters, changes, blocks = 1000, 20, 20
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		site := newPartSite()
		for range 8 {
			site.acquire(ctx, 0, "b", 100, 1)
		}
		for number := range waiters {
			var prompt []uint64
			for i := range uint64(blocks) {
				prompt = append(prompt, uint64(number)<<10+i)
			}
			site.acquire(ctx, 1+number, "b", 100, prompt...)
		}
		if got := site.Summary().Services[0].Waiting; got < waiters {
			t.Fatalf("got %d waiters, want %d", got, waiters)
		}
		for other := range uint64(4) {
			site.learn("other", false, 70+other)
		}
		time.Sleep(time.Second)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for change := range changes {
			site.strike(1, dogwoodfleet.Customer(fmt.Sprint("c", change)), 50, 51)
			for other := range uint64(4) {
				site.learn("other", false, 70+other)
			}
		}
		runtime.ReadMemStats(&after)
		if got := site.acquire(ctx, 2*waiters, "a", 100, 50, 51); !got.isRefused() {
			t.Errorf("got %+v for a prompt with the part, want a refusal", got)
		}
		if got, limit := after.Mallocs-before.Mallocs, uint64(changes*waiters); got > limit {
			t.Errorf("got %d allocations in %d changes beside %d waiters, want at most %d", got, changes, waiters, limit)
		}
		cancel()
		site.waiting.Wait()
	})
}

// Guards against a counter of trials that says more or less than which runs were trials.
func TestTrialsCountEachRunOnce(t *testing.T) {
	count := func() int64 {
		counted, ok := expvar.Get("Parts").(*expvar.Map).Get("Trials").(*expvar.Int)
		if !ok {
			return 0
		}
		return counted.Value()
	}
	tests := []struct {
		name string
		try  func(ctx context.Context, site *partSite)
		want int64
	}{
		{"a run that ends", func(ctx context.Context, site *partSite) {
			wait := site.acquire(ctx, 1, "a", 100, 50, 51)
			site.Release(dogwoodowner.Release{ID: wait.grant.ID, Result: dogwoodfleet.ResultDone, FirstToken: 10 * time.Millisecond, Took: time.Second})
			site.Release(dogwoodowner.Release{ID: wait.grant.ID, Result: dogwoodfleet.ResultDone}) // a second report says nothing new
		}, 1},
		{"the endpoint refuses it", func(ctx context.Context, site *partSite) {
			wait := site.acquire(ctx, 1, "a", 100, 50, 51)
			site.Release(dogwoodowner.Release{ID: wait.grant.ID, Result: dogwoodfleet.ResultRefused})
		}, 0},
		{"its caller leaves while it waits", func(ctx context.Context, site *partSite) {
			site.acquire(ctx, 0, "b", 100, 1)
			ctx, cancel := context.WithCancel(ctx)
			site.acquire(ctx, 1, "a", 100, 50, 51)
			cancel()
			synctest.Wait()
		}, 0},
		{"it starts over while it waits", func(ctx context.Context, site *partSite) {
			other := site.acquire(ctx, 0, "b", 100, 1)
			wait := site.acquire(ctx, 1, "a", 100, 50, 51)
			site.setModels(model)
			site.Release(dogwoodowner.Release{ID: other.grant.ID, Result: dogwoodfleet.ResultDone})
			synctest.Wait()
			site.Release(dogwoodowner.Release{ID: wait.grant.ID, Result: dogwoodfleet.ResultDone})
		}, 1},
		{"its holder ends", func(ctx context.Context, site *partSite) {
			wait := site.acquire(ctx, 1, "a", 100, 50, 51)
			time.Sleep(dogwoodowner.GrantLease + time.Second)
			site.Expire(time.Now())
			site.Cancelled(wait.grant.ID)
		}, 1},
		{"its endpoint moves to another owner", func(ctx context.Context, site *partSite) {
			wait := site.acquire(ctx, 1, "a", 100, 50, 51)
			site.SetEndpoints(nil, site.text)
			site.Release(dogwoodowner.Release{ID: wait.grant.ID, Result: dogwoodfleet.ResultDone})
		}, 1},
		{"a prompt without the part", func(ctx context.Context, site *partSite) {
			wait := site.acquire(ctx, 1, "a", 100, 1)
			site.Release(dogwoodowner.Release{ID: wait.grant.ID, Result: dogwoodfleet.ResultDone})
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				site := newPartSite()
				site.strike(4, "a", 50, 51)
				before := count()
				test.try(ctx, site)
				if got := count() - before; got != test.want {
					t.Errorf("got %d trials, want %d", got, test.want)
				}
				cancel()
				site.waiting.Wait()
			})
		})
	}
}
