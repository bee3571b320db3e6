package dogwoodsoak

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/dogwoodload/dogwoodsoakplan"
	"dogwoodmux.example/dogwoodload/dogwoodsoakprocess"
	"dogwoodmux.example/dogwoodload/dogwoodsoakproxy"
	"dogwoodmux.example/dogwoodload/dogwoodverb"
	"dogwoodmux.example/platform/dogwoodstandin"
)

// daemon is a daemon's place: its processes come and go.
type daemon struct {
	name     string
	settings dogwoodstandin.DaemonSettings
	file     string
	store    *dogwoodsoakproxy.Proxy
	front    *dogwoodsoakproxy.Proxy

	life       sync.Mutex // held while its process is not left alone; guards process
	process    *dogwoodsoakprocess.Process
	storeLink  sync.Mutex // held while its way to the store is broken
	callerLink sync.Mutex // held while its callers' way is broken
}

func (site *site) addDaemon(ctx context.Context, number int) error {
	name := fmt.Sprintf("daemon-%d", number)
	own, err := ownAddress(ctx)
	if err != nil {
		return err
	}
	store, err := site.proxy(ctx, site.store.address)
	if err != nil {
		return err
	}
	daemon := &daemon{name: name, file: site.path(name + ".toml"), store: store}
	daemon.settings = dogwoodstandin.DaemonSettings{
		VM: name, DataCentre: dataCentres[number%len(dataCentres)], DataCentres: dataCentres, Address: own,
		Store: store.Address(), FirstStart: true, Bounds: daemonBounds,
	}
	if daemon.front, err = site.proxy(ctx, daemon.settings.Callers()); err != nil {
		return err
	}
	site.daemons = append(site.daemons, daemon)
	if err := daemon.writeSettings(); err != nil {
		return err
	}
	if err := site.startDaemon(ctx, daemon); err != nil {
		return err
	}
	daemon.settings.FirstStart = false
	return nil
}

func (daemon *daemon) writeSettings() error {
	encoded, err := daemon.settings.Encode()
	if err != nil {
		return err
	}
	// A reader finds either file whole.
	if err := os.WriteFile(daemon.file+".new", encoded, 0o600); err != nil {
		return dogwoodverb.Error.Wrap(err)
	}
	return dogwoodverb.Error.Wrap(os.Rename(daemon.file+".new", daemon.file))
}

func (site *site) startDaemon(ctx context.Context, daemon *daemon) error {
	process, err := site.group.Start(ctx, dogwoodsoakprocess.Spec{
		Name: daemon.name, Path: site.program, Arguments: []string{"serve"},
		Environment: []string{dogwoodstandin.SettingsVariable + "=" + daemon.file}, Log: site.path(daemon.name + ".log"),
	})
	daemon.process = process
	return err
}

// ofDaemon is a fault of a daemon.
func ofDaemon(daemon *daemon) dogwoodsoakcheck.Fault {
	return dogwoodsoakcheck.Fault{Daemon: daemon.name}
}

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
	return site.changing(daemon.name, func() error { return daemon.process.Signal(syscall.SIGHUP) })
}
