package dogwoodsoak

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/platform/dogwoodstandin"
)

// superviseInterval is how often the endpoints' processes are checked for crashes.
const superviseInterval = 50 * time.Millisecond

// crashing guards the request or part that crashes engines: there is one at a time.
type crashing struct {
	mutex  sync.Mutex
	number int
}

// sendCrashing makes callers send copies of a request that crashes engines for a while, and each second time prompts that only
// share a part that does so. Each call uses another request or part.
func (site *site) sendCrashing(ctx context.Context, duration time.Duration) error {
	site.crashing.mutex.Lock()
	defer site.crashing.mutex.Unlock()
	site.crashing.number++
	crashing := dogwoodsoakcheck.Crashing{Target: fmt.Sprintf("%s?number=%d", crashPath, site.crashing.number)}
	if site.crashing.number%2 == 0 {
		crashing = dogwoodsoakcheck.Crashing{Part: fmt.Sprintf("%s%d", crashPart, site.crashing.number)}
	}
	site.callers.SetCrashing(crashing)
	dogwoodkernel.Sleep(ctx, duration)
	site.callers.SetCrashing(dogwoodsoakcheck.Crashing{})
	return nil
}

// superviseEndpoints replaces endpoints that crashed, as the platform does, until the context ends.
func (site *site) superviseEndpoints(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, endpoint := range site.endpoints {
		group.Go(func() error {
			for dogwoodkernel.Sleep(ctx, superviseInterval) {
				if !endpoint.processMutex.TryLock() {
					continue // a step acts on the process
				}
				err := site.replaceCrashed(ctx, endpoint)
				endpoint.processMutex.Unlock()
				if err != nil && !errors.Is(err, context.Canceled) {
					return err
				}
			}
			return nil
		})
	}
	return group.Wait()
}

// replaceCrashed starts another endpoint at the address of one that crashed, and removes its entry later. It does nothing
// while the process runs. The caller holds processMutex.
func (site *site) replaceCrashed(ctx context.Context, endpoint *endpoint) error {
	if endpoint.process.Running() {
		return nil
	}
	fault := site.endpointFault(endpoint)
	fault.From = time.Now().Add(-2 * superviseInterval)
	crashed := endpoint.id
	defer func() {
		fault.To = time.Now()
		site.mutex.Lock()
		defer site.mutex.Unlock()
		site.recorded.Faults = append(site.recorded.Faults, fault)
	}()
	if !dogwoodkernel.Sleep(ctx, restartDelay) {
		return site.startEndpoint(context.WithoutCancel(ctx), endpoint, true, coldDuration) // the memory of all engines is checked at the end
	}
	if err := site.startEndpoint(ctx, endpoint, true, coldDuration); err != nil {
		return err
	}
	dogwoodkernel.Sleep(ctx, removalDelay-restartDelay)
	return dogwoodstandin.Withdraw(context.WithoutCancel(ctx), site.control, crashed)
}
