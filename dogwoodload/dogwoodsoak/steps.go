package dogwoodsoak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/dogwoodload/dogwoodsoakplan"
	"dogwoodmux.example/dogwoodload/dogwoodsoakproxy"
)

// runSteps runs all steps at their times and returns when all have ended. Steps on the same subject that overlap in
// time run one after another; all others run concurrently.
func (site *site) runSteps(ctx context.Context, started time.Time, steps []dogwoodsoakplan.Step, done func()) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, step := range steps {
		group.Go(func() error {
			defer done()
			dogwoodkernel.Sleep(ctx, time.Until(started.Add(step.At)))
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return site.runStep(ctx, step)
		})
	}
	return group.Wait()
}

func (site *site) runStep(ctx context.Context, step dogwoodsoakplan.Step) error {
	switch step.Kind {
	case dogwoodsoakplan.SlowCallers:
		return site.slowCallers(ctx, step.For)
	case dogwoodsoakplan.HotCustomer:
		return site.hotCustomer(ctx, keys[step.Target], step.For)
	case dogwoodsoakplan.RanksDiffer:
		return site.differRanks(ctx, step.Target, step.For)
	default:
		return site.recordWrong(ctx, step)
	}
}

// recordWrong runs a step that keeps the site from serving all that it could, and records its period.
func (site *site) recordWrong(ctx context.Context, step dogwoodsoakplan.Step) error {
	wrong := dogwoodsoakcheck.Span{From: time.Now()}
	err := site.breakSomething(ctx, step)
	wrong.To = time.Now()
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.recorded.Wrong = append(site.recorded.Wrong, wrong)
	return err
}

// breakSomething runs a step that does not only change the load.
func (site *site) breakSomething(ctx context.Context, step dogwoodsoakplan.Step) error {
	if step.Kind == dogwoodsoakplan.SlowBodies {
		return site.readBodiesSlowly(ctx, site.endpoints[step.Target], step.For)
	}
	switch dogwoodsoakplan.SubjectOf(step.Kind) {
	case dogwoodsoakplan.Daemon:
		return site.daemonStep(ctx, step, site.daemons[step.Target])
	case dogwoodsoakplan.Endpoint:
		return site.endpointStep(ctx, step, site.endpoints[step.Target])
	case dogwoodsoakplan.Service:
		return site.serviceStep(ctx, step, services[step.Target].Name)
	case dogwoodsoakplan.Callers:
		return site.sendCrashing(ctx, step.For)
	case dogwoodsoakplan.Key:
		return site.withdrawKey(ctx, keys[step.Target], step.For)
	case dogwoodsoakplan.DataCentre:
		return site.takeOutDataCentre(ctx, step.Target, step.For)
	default:
		return site.storeStep(ctx, step)
	}
}

// recordFault injects a fault by calling work, holds the lock of the affected component meanwhile, and records the
// fault with the period of the call.
func (site *site) recordFault(lock *sync.Mutex, fault dogwoodsoakcheck.Fault, work func() error) error {
	lock.Lock()
	defer lock.Unlock()
	fault.From = time.Now()
	err := work()
	fault.To = time.Now()
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.recorded.Faults = append(site.recorded.Faults, fault)
	return err
}

// recordChange calls work and records its period as a change for the checks.
func (site *site) recordChange(daemon string, work func() error) error {
	change := dogwoodsoakcheck.Change{Daemon: daemon, From: time.Now()}
	err := work()
	change.To = time.Now()
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.recorded.Changes = append(site.recorded.Changes, change)
	return err
}

func applyFault(ctx context.Context, proxy *dogwoodsoakproxy.Proxy, fault dogwoodsoakproxy.Fault, duration time.Duration) error {
	proxy.SetFault(fault)
	if fault.Refused {
		proxy.Reset()
	}
	dogwoodkernel.Sleep(ctx, duration)
	proxy.SetFault(dogwoodsoakproxy.Fault{})
	return nil
}

func freeze(ctx context.Context, signal func(syscall.Signal) error, duration time.Duration) error {
	if err := signal(syscall.SIGSTOP); err != nil {
		return err
	}
	dogwoodkernel.Sleep(ctx, duration)
	return signal(syscall.SIGCONT)
}
