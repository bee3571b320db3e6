package dogwoodsoak

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/dogwoodload/dogwoodsoakplan"
)

// runPlanned runs the steps of the time in which nothing fails, while further callers keep connections to each daemon, send long
// prompts and take all slots. It does nothing without steps.
func (site *site) runPlanned(ctx context.Context, steps []dogwoodsoakplan.Step) error {
	if len(steps) == 0 {
		return nil
	}
	started := time.Now()
	if err := writeSteps(site.path("planned"), started, steps); err != nil {
		return err
	}
	site.callers.SetKept(true)
	defer site.callers.SetKept(false)
	err := site.runSteps(ctx, started, steps, func() {})
	dogwoodkernel.Sleep(ctx, checkBounds.Stability)
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.recorded.Planned = started
	site.recorded.Wrong = append(site.recorded.Wrong, dogwoodsoakcheck.Span{From: started, To: time.Now()})
	return err
}

// makeServiceBusy makes all endpoints of a service send nothing for a while although they keep running.
func (site *site) makeServiceBusy(ctx context.Context, service string, duration time.Duration) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, endpoint := range site.endpoints {
		if endpoint.service == service {
			group.Go(func() error { return site.makeBusy(ctx, endpoint, duration) })
		}
	}
	return group.Wait()
}
