package dogwoodsoak

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/dogwoodload/dogwoodsoakplan"
	"dogwoodmux.example/dogwoodload/dogwoodsoakproxy"
	"dogwoodmux.example/platform/dogwoodstandin"
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

// ofDaemon is a fault of a daemon.
func ofDaemon(daemon *daemon) dogwoodsoakcheck.Fault {
	return dogwoodsoakcheck.Fault{Daemon: daemon.name}
}

// ofEndpoint is a fault of the endpoint that is at a place now.
func (site *site) ofEndpoint(endpoint *endpoint) dogwoodsoakcheck.Fault {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	return dogwoodsoakcheck.Fault{Endpoint: endpoint.names[len(endpoint.names)-1]}
}

// ofStore is a fault that all daemons feel.
var ofStore = dogwoodsoakcheck.Fault{Daemon: dogwoodsoakcheck.Everybody}

func (site *site) daemonStep(ctx context.Context, step dogwoodsoakplan.Step, daemon *daemon) error {
	switch step.Kind {
	case dogwoodsoakplan.DaemonKilled:
		return site.during(&daemon.life, ofDaemon(daemon), func() error { return site.killDaemon(ctx, daemon, step.For) })
	case dogwoodsoakplan.DaemonStopped:
		return site.stopDaemon(ctx, daemon, step.For)
	case dogwoodsoakplan.DaemonFrozen:
		return site.during(&daemon.life, ofDaemon(daemon), func() error {
			return freeze(ctx, daemon.process.Signal, step.For)
		})
	case dogwoodsoakplan.DaemonReloaded:
		return site.reload(ctx, daemon)
	case dogwoodsoakplan.StoreUnreachable:
		return site.cut(ctx, &daemon.storeLink, daemon, daemon.store, dogwoodsoakproxy.Fault{Refused: true}, step.For)
	case dogwoodsoakplan.StoreMute:
		return site.cut(ctx, &daemon.storeLink, daemon, daemon.store, dogwoodsoakproxy.Fault{Mute: true}, step.For)
	case dogwoodsoakplan.StoreOneWay:
		return site.cut(ctx, &daemon.storeLink, daemon, daemon.store, dogwoodsoakproxy.Fault{MuteBack: true}, step.For)
	case dogwoodsoakplan.CallersReset:
		return site.cut(ctx, &daemon.callerLink, daemon, daemon.front, dogwoodsoakproxy.Fault{Refused: true}, 0)
	case dogwoodsoakplan.CallersMute:
		return site.cut(ctx, &daemon.callerLink, daemon, daemon.front, dogwoodsoakproxy.Fault{Mute: true}, step.For)
	default:
		return unknown(step.Kind)
	}
}

// cut breaks what a proxy of a daemon carries; a refusing one also breaks what is open.
func (site *site) cut(ctx context.Context, lock *sync.Mutex, daemon *daemon, proxy *dogwoodsoakproxy.Proxy, fault dogwoodsoakproxy.Fault, lasts time.Duration) error {
	return site.during(lock, ofDaemon(daemon), func() error { return carry(ctx, proxy, fault, lasts) })
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

func (site *site) killDaemon(ctx context.Context, daemon *daemon, down time.Duration) error {
	if err := daemon.process.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	daemon.process.Wait(ctx)
	dogwoodkernel.Sleep(ctx, down)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return site.startDaemon(ctx, daemon)
}

// awake waits until a process listens. What a signal does to a program between its start and its first
// line is for no program to say, so none that it should handle is sent before.
func awake(ctx context.Context, address netip.AddrPort) {
	var dialer net.Dialer
	_ = eventually(ctx, startWithin, func() error { // one that never listens gets its signal as well
		connection, err := dialer.DialContext(ctx, "tcp", address.String())
		if err != nil {
			return err
		}
		return connection.Close()
	})
}

// stopDaemon shuts a daemon down gracefully. One that takes longer than its grace is killed, and that is
// a finding.
func (site *site) stopDaemon(ctx context.Context, daemon *daemon, down time.Duration) error {
	stop := dogwoodsoakcheck.Stop{Daemon: daemon.name}
	fault := ofDaemon(daemon)
	fault.Planned = true
	err := site.during(&daemon.life, fault, func() error {
		awake(ctx, daemon.settings.Directory())
		stop.From = time.Now()
		if err := daemon.process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		grace, cancel := context.WithTimeout(ctx, daemonBounds.Grace)
		defer cancel()
		if !daemon.process.Wait(grace) && ctx.Err() == nil {
			stop.Killed = true
			return site.killDaemon(ctx, daemon, down)
		}
		stop.To = time.Now()
		dogwoodkernel.Sleep(ctx, down)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return site.startDaemon(ctx, daemon)
	})
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.seen.Stops = append(site.seen.Stops, stop)
	return err
}

// reload changes a bound by so little that the checks hold, and tells the daemon.
func (site *site) reload(ctx context.Context, daemon *daemon) error {
	const less = 0.999
	daemon.life.Lock()
	defer daemon.life.Unlock()
	daemon.settings.Bounds.RetryAllowance *= less
	if err := daemon.writeSettings(); err != nil {
		return err
	}
	awake(ctx, daemon.settings.Directory())
	return daemon.process.Signal(syscall.SIGHUP)
}

func (site *site) endpointStep(ctx context.Context, step dogwoodsoakplan.Step, endpoint *endpoint) error {
	link := func(fault dogwoodsoakproxy.Fault, lasts time.Duration) error {
		return site.during(&endpoint.link, site.ofEndpoint(endpoint), func() error { return carry(ctx, endpoint.proxy, fault, lasts) })
	}
	switch step.Kind {
	case dogwoodsoakplan.EndpointKilled:
		return site.killEndpoint(ctx, endpoint, step.For)
	case dogwoodsoakplan.EndpointReplaced:
		return site.replaceEndpoint(ctx, endpoint)
	case dogwoodsoakplan.EndpointFrozen:
		return site.during(&endpoint.life, site.ofEndpoint(endpoint), func() error {
			return freeze(ctx, endpoint.process.Signal, step.For)
		})
	case dogwoodsoakplan.EndpointReset:
		return link(dogwoodsoakproxy.Fault{Refused: true}, 0)
	case dogwoodsoakplan.EndpointMute:
		return link(dogwoodsoakproxy.Fault{Mute: true}, step.For)
	case dogwoodsoakplan.EndpointOneWay:
		return link(dogwoodsoakproxy.Fault{MuteBack: true}, step.For)
	case dogwoodsoakplan.EndpointSlow:
		const slow = 150 * time.Millisecond
		return link(dogwoodsoakproxy.Fault{Delay: slow}, step.For)
	case dogwoodsoakplan.EntryLapsed:
		return site.lapse(ctx, endpoint, step.For)
	default:
		return unknown(step.Kind)
	}
}

// killEndpoint has an endpoint crash. The platform removes its entry when it notices, and the endpoint
// comes back cold, under the id that it had.
func (site *site) killEndpoint(ctx context.Context, endpoint *endpoint, down time.Duration) error {
	return site.during(&endpoint.life, site.ofEndpoint(endpoint), func() error {
		if err := endpoint.process.Signal(syscall.SIGKILL); err != nil {
			return err
		}
		endpoint.process.Wait(ctx)
		dogwoodkernel.Sleep(ctx, min(down, noticedGone))
		if down > noticedGone {
			if err := dogwoodstandin.Withdraw(ctx, site.control, endpoint.id); err != nil {
				return err
			}
			dogwoodkernel.Sleep(ctx, down-noticedGone)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return site.startEndpoint(ctx, endpoint, false, coldFor)
	})
}

// replaceEndpoint has an endpoint leave in order, and another one come.
func (site *site) replaceEndpoint(ctx context.Context, endpoint *endpoint) error {
	endpoint.life.Lock()
	defer endpoint.life.Unlock()
	awake(ctx, endpoint.address)
	if err := endpoint.process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	endpoint.process.Wait(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return site.startEndpoint(ctx, endpoint, true, coldFor)
}

// lapse has the entry of a living endpoint be gone for a while.
func (site *site) lapse(ctx context.Context, endpoint *endpoint, lasts time.Duration) error {
	endpoint.life.Lock()
	defer endpoint.life.Unlock()
	if err := dogwoodstandin.Withdraw(ctx, site.control, endpoint.id); err != nil {
		return err
	}
	dogwoodkernel.Sleep(ctx, lasts)
	awake(ctx, endpoint.address)
	return endpoint.process.Signal(syscall.SIGHUP)
}

func (site *site) storeStep(ctx context.Context, step dogwoodsoakplan.Step) error {
	faults := dogwoodstandin.StoreFaults{}
	switch step.Kind {
	case dogwoodsoakplan.StoreForgets:
		return site.during(&site.storeFault, ofStore, func() error { return site.control.Forget(ctx) })
	case dogwoodsoakplan.TextChanged:
		return site.publish(ctx, nil)
	case dogwoodsoakplan.StoreDown:
		faults.Down = true
	case dogwoodsoakplan.StoreSilent:
		faults.Silent = true
	case dogwoodsoakplan.StoreSlow:
		faults.Delay = 400 * time.Millisecond
	case dogwoodsoakplan.StoreLosing:
		faults.LoseAnswers = true
	default:
		return unknown(step.Kind)
	}
	return site.during(&site.storeFault, ofStore, func() error {
		if err := site.control.SetFaults(ctx, faults); err != nil {
			return err
		}
		dogwoodkernel.Sleep(ctx, step.For)
		return site.control.SetFaults(ctx, dogwoodstandin.StoreFaults{})
	})
}

// withdraw takes a key away and gives it back.
func (site *site) withdraw(ctx context.Context, key string, lasts time.Duration) error {
	already := false
	err := site.publish(ctx, func() {
		already = site.withdrawn[key]
		site.withdrawn[key] = true
	})
	if err != nil || already {
		return err
	}
	withdrawal := dogwoodsoakcheck.Withdrawal{Key: key, From: time.Now()}
	dogwoodkernel.Sleep(ctx, lasts)
	withdrawal.To = time.Now()
	site.mutex.Lock()
	site.seen.Withdrawals = append(site.seen.Withdrawals, withdrawal)
	site.mutex.Unlock()
	return site.publish(ctx, func() { site.withdrawn[key] = false })
}

// takeOut takes a data centre out and brings it back.
func (site *site) takeOut(ctx context.Context, number int, lasts time.Duration) error {
	site.outOfDataCentre[number].Lock()
	defer site.outOfDataCentre[number].Unlock()
	if err := dogwoodstandin.TakeOut(ctx, site.control, dataCentres[number], true); err != nil {
		return err
	}
	takeOut := dogwoodsoakcheck.TakeOut{DataCentre: dataCentres[number], From: time.Now()}
	dogwoodkernel.Sleep(ctx, lasts)
	takeOut.To = time.Now()
	site.mutex.Lock()
	site.seen.TakeOuts = append(site.seen.TakeOuts, takeOut)
	site.mutex.Unlock()
	return dogwoodstandin.TakeOut(ctx, site.control, dataCentres[number], false)
}
