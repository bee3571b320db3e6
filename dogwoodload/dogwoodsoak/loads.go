package dogwoodsoak

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/platform/dogwoodstandin"
)

// loads guards the changes of the load: there is one of each kind at a time. A second one is left out: if it waited, it would
// outlast the time that the plan leaves for recovery.
type loads struct {
	slow, hot, ranks sync.Mutex
}

// sampleInterval is the time between two samples of the daemons' memory and descriptors.
const sampleInterval = 100 * time.Millisecond

// runCallers runs all callers until the context ends and their last requests have ended.
func (site *site) runCallers(ctx context.Context, seed uint64) *errgroup.Group {
	var group errgroup.Group
	run := func(work func()) {
		group.Go(func() error {
			work()
			return nil
		})
	}
	for number := range callerCount {
		run(func() { site.callers.Run(ctx, number, seed) })
	}
	for number := range textCallerCount {
		run(func() { site.callers.RunText(ctx, number, seed) })
	}
	for number := range versionCallerCount {
		run(func() { site.callers.RunVersions(ctx, number, seed) })
	}
	for number := range keptCallersPerDaemon * len(site.daemons) {
		run(func() { site.callers.RunKept(ctx, number, seed) })
	}
	engines, _, _ := site.processCounts()
	hotCallers := min(engines*engineSlots, maxHotCallers)
	for number := range slowCallerCount + hotCallers {
		run(func() { site.callers.RunFurther(ctx, callerCount+number, seed, number < slowCallerCount) })
	}
	return &group
}

func (site *site) slowCallers(ctx context.Context, duration time.Duration) error {
	if !site.loads.slow.TryLock() {
		return nil
	}
	defer site.loads.slow.Unlock()
	site.callers.SetSlow(true)
	dogwoodkernel.Sleep(ctx, duration)
	site.callers.SetSlow(false)
	return nil
}

func (site *site) hotCustomer(ctx context.Context, key string, duration time.Duration) error {
	if !site.loads.hot.TryLock() {
		return nil
	}
	defer site.loads.hot.Unlock()
	site.callers.SetHot(key)
	dogwoodkernel.Sleep(ctx, duration)
	site.callers.SetHot("")
	return nil
}

// differRanks publishes a text in which a customer is of rank 0, the next one of rank 1 and the others of their route's, and
// restores the text without ranks.
func (site *site) differRanks(ctx context.Context, first int, duration time.Duration) error {
	if !site.loads.ranks.TryLock() {
		return nil
	}
	defer site.loads.ranks.Unlock()
	ranks := dogwoodsoakcheck.Ranks{OfKey: map[string]int{}}
	for i := range keys {
		ranks.OfKey[keys[(first+i)%len(keys)]] = min(i, routeRank)
	}
	if err := site.publish(ctx, func() { site.ranks = ranks.OfKey }); err != nil {
		return err
	}
	ranks.From = time.Now().Add(checkBounds.ChangeWindow + checkBounds.TextSlack)
	dogwoodkernel.Sleep(ctx, duration)
	ranks.To = time.Now()
	site.mutex.Lock()
	site.recorded.Ranks = append(site.recorded.Ranks, ranks)
	site.mutex.Unlock()
	return site.publish(ctx, func() { site.ranks = nil })
}

// readBodiesSlowly makes an endpoint read bodies slowly for a while, unless its process ends before.
func (site *site) readBodiesSlowly(ctx context.Context, endpoint *endpoint, duration time.Duration) error {
	endpoint.bodyMutex.Lock()
	defer endpoint.bodyMutex.Unlock()
	set := func(rate int) func() error {
		return func() error { return dogwoodstandin.SetBodyRateAt(ctx, endpoint.address, rate) }
	}
	process, _, err := endpoint.configure(ctx, nil, set(slowBodyRate))
	if err != nil || process == nil {
		return err
	}
	for began := time.Now(); time.Since(began) < duration && process.Running() && dogwoodkernel.Sleep(ctx, superviseInterval); {
	}
	_, _, err = endpoint.configure(ctx, process, set(0))
	return err
}

// sampleProcesses records the largest resident set and the most open descriptors of each daemon's process until the context ends.
func (site *site) sampleProcesses(ctx context.Context) error {
	largest, most := make([]dogwoodsoakcheck.Memory, len(site.daemons)), make([]dogwoodsoakcheck.Descriptors, len(site.daemons))
	for dogwoodkernel.Sleep(ctx, sampleInterval) {
		for i, daemon := range site.daemons {
			process := daemon.sampled.Load()
			bytes, err := process.ResidentBytes()
			if err == nil && bytes > largest[i].Bytes { // a process that has ended has no resident set
				largest[i] = dogwoodsoakcheck.Memory{Daemon: daemon.name, Bytes: bytes, At: time.Now()}
			}
			open, err := process.Descriptors()
			if err == nil && open > most[i].Open {
				most[i] = dogwoodsoakcheck.Descriptors{Daemon: daemon.name, Open: open, At: time.Now()}
			}
		}
	}
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.recorded.Memory, site.recorded.Descriptors = largest, most
	return nil
}
