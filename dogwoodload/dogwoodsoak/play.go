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

// play has all steps happen at their times and returns when all are over. Steps on one subject that
// overlap in time wait for each other; all others run at once.
func (site *site) play(ctx context.Context, begun time.Time, steps []dogwoodsoakplan.Step, done func()) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, step := range steps {
		group.Go(func() error {
			defer done()
			dogwoodkernel.Sleep(ctx, time.Until(begun.Add(step.At)))
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return site.step(ctx, step)
		})
	}
	return group.Wait()
}

func (site *site) step(ctx context.Context, step dogwoodsoakplan.Step) error {
	switch dogwoodsoakplan.SubjectOf(step.Kind) {
	case dogwoodsoakplan.Daemon:
		return site.daemonStep(ctx, step, site.daemons[step.Target])
	case dogwoodsoakplan.Endpoint:
		return site.endpointStep(ctx, step, site.endpoints[step.Target])
	case dogwoodsoakplan.Key:
		return site.withdraw(ctx, keys[step.Target], step.For)
	case dogwoodsoakplan.DataCentre:
		return site.takeOut(ctx, step.Target, step.For)
	default:
		return site.storeStep(ctx, step)
	}
}

// during holds the lock of what is broken, and keeps the span for the checks.
func (site *site) during(lock *sync.Mutex, fault dogwoodsoakcheck.Fault, work func() error) error {
	lock.Lock()
	defer lock.Unlock()
	fault.From = time.Now()
	err := work()
	fault.To = time.Now()
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.seen.Faults = append(site.seen.Faults, fault)
	return err
}

// changing keeps the span of a change for the checks.
func (site *site) changing(daemon string, work func() error) error {
	change := dogwoodsoakcheck.Change{Daemon: daemon, From: time.Now()}
	err := work()
	change.To = time.Now()
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.seen.Changes = append(site.seen.Changes, change)
	return err
}

func carry(ctx context.Context, proxy *dogwoodsoakproxy.Proxy, fault dogwoodsoakproxy.Fault, lasts time.Duration) error {
	proxy.Set(fault)
	if fault.Refused {
		proxy.Reset()
	}
	dogwoodkernel.Sleep(ctx, lasts)
	proxy.Set(dogwoodsoakproxy.Fault{})
	return nil
}

func freeze(ctx context.Context, signal func(syscall.Signal) error, lasts time.Duration) error {
	if err := signal(syscall.SIGSTOP); err != nil {
		return err
	}
	dogwoodkernel.Sleep(ctx, lasts)
	return signal(syscall.SIGCONT)
}
