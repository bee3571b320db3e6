package dogwoodsoak

import (
	"context"
	"net/netip"
	"slices"
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

// cutOffDaemon makes all connections of a daemon to endpoints silent for a while, so that it forwards requests to other daemons.
func (site *site) cutOffDaemon(ctx context.Context, daemon *daemon, duration time.Duration) error {
	fault := dogwoodsoakcheck.Fault{Daemon: daemon.name, FromEndpoints: true}
	return site.recordFault(&daemon.cutOffMutex, fault, func() error {
		site.setCutOff(daemon, true)
		dogwoodkernel.Sleep(ctx, duration)
		site.setCutOff(daemon, false)
		return nil
	})
}

// setCutOff sets whether a daemon is cut off from the endpoints. All daemons share the endpoints' proxies, so a connection is
// attributed to a daemon by the process that has its socket.
func (site *site) setCutOff(changed *daemon, cutOff bool) {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.cutOff = slices.DeleteFunc(slices.Clone(site.cutOff), func(other *daemon) bool { return other == changed })
	if cutOff {
		site.cutOff = append(site.cutOff, changed)
	}
	daemons := site.cutOff
	isCutOff := func(source, proxy netip.AddrPort) bool {
		return slices.ContainsFunc(daemons, func(daemon *daemon) bool { return daemon.sampled.Load().HasSocket(source, proxy) })
	}
	for _, endpoint := range site.endpoints {
		endpoint.proxy.SetCutOff(isCutOff)
	}
}
