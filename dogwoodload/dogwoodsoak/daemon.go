package dogwoodsoak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
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

// daemon is a daemon of the site. Its process may be killed, stopped and started again.
type daemon struct {
	name         string
	settings     dogwoodstandin.DaemonSettings
	file         string
	storeProxy   *dogwoodsoakproxy.Proxy
	callersProxy *dogwoodsoakproxy.Proxy

	processMutex sync.Mutex // held while a step acts on the process; guards process
	process      *dogwoodsoakprocess.Process
	// sampled is the process too, for sampling its memory while a step holds processMutex.
	sampled      atomic.Pointer[dogwoodsoakprocess.Process]
	storeMutex   sync.Mutex // held while its connection to the store is broken
	callersMutex sync.Mutex // held while its callers' connections are broken
	cutOffMutex  sync.Mutex // held while it is cut off from the endpoints
	crowdMutex   sync.Mutex // held while a crowd is at its listeners
}

func (site *site) addDaemon(ctx context.Context, number int) error {
	name := fmt.Sprintf("daemon-%d", number)
	address, err := newAddress(ctx)
	if err != nil {
		return err
	}
	store, err := site.startProxy(ctx, site.store.address)
	if err != nil {
		return err
	}
	daemon := &daemon{name: name, file: site.path(name + ".toml"), storeProxy: store}
	daemon.settings = dogwoodstandin.DaemonSettings{
		VM: name, DataCentre: dataCentres[number%len(dataCentres)], DataCentres: dataCentres, Address: address,
		Store: store.Address(), FirstStart: true, Bounds: daemonBounds, MemoryMB: daemonMemoryMB, FileDescriptors: daemonDescriptors,
	}
	if daemon.callersProxy, err = site.startProxy(ctx, daemon.settings.CallersAddress()); err != nil {
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
	// Renaming makes the change atomic for readers.
	if err := os.WriteFile(daemon.file+".new", encoded, 0o600); err != nil {
		return dogwoodverb.Error.Wrap(err)
	}
	return dogwoodverb.Error.Wrap(os.Rename(daemon.file+".new", daemon.file))
}

func (site *site) startDaemon(ctx context.Context, daemon *daemon) error {
	process, err := site.group.Start(ctx, dogwoodsoakprocess.Spec{
		Name: daemon.name, Path: site.daemonProgram, Arguments: []string{"serve"},
		Environment: []string{dogwoodstandin.SettingsVariable + "=" + daemon.file}, Log: site.path(daemon.name + ".log"),
	})
	daemon.process = process
	daemon.sampled.Store(process)
	return err
}

// daemonFault returns a fault that affects a daemon.
func daemonFault(daemon *daemon) dogwoodsoakcheck.Fault {
	return dogwoodsoakcheck.Fault{Daemon: daemon.name}
}

func (site *site) daemonStep(ctx context.Context, step dogwoodsoakplan.Step, daemon *daemon) error {
	switch step.Kind {
	case dogwoodsoakplan.DaemonKilled:
		return site.recordFault(&daemon.processMutex, daemonFault(daemon), func() error { return site.killDaemon(ctx, daemon, step.For) })
	case dogwoodsoakplan.DaemonStopped:
		return site.stopDaemon(ctx, daemon, step.For, 0)
	case dogwoodsoakplan.DaemonStoppedTwice:
		return site.stopDaemon(ctx, daemon, step.For, 2*step.For)
	case dogwoodsoakplan.DaemonFrozen:
		return site.recordFault(&daemon.processMutex, daemonFault(daemon), func() error {
			return freeze(ctx, daemon.process.Signal, step.For)
		})
	case dogwoodsoakplan.DaemonReloaded:
		return site.reload(ctx, daemon)
	case dogwoodsoakplan.DaemonCutOff:
		return site.cutOffDaemon(ctx, daemon, step.For)
	case dogwoodsoakplan.CrowdComes:
		return site.recordFault(&daemon.crowdMutex, daemonFault(daemon), func() error { return sendCrowd(ctx, daemon, step) })
	case dogwoodsoakplan.StoreUnreachable:
		return site.breakDaemonLink(ctx, &daemon.storeMutex, daemon, daemon.storeProxy, dogwoodsoakproxy.Fault{Refused: true}, step.For)
	case dogwoodsoakplan.StoreMute:
		return site.breakDaemonLink(ctx, &daemon.storeMutex, daemon, daemon.storeProxy, dogwoodsoakproxy.Fault{Mute: true}, step.For)
	case dogwoodsoakplan.StoreOneWay:
		return site.breakDaemonLink(ctx, &daemon.storeMutex, daemon, daemon.storeProxy, dogwoodsoakproxy.Fault{MuteFromTarget: true}, step.For)
	case dogwoodsoakplan.CallersReset:
		return site.breakDaemonLink(ctx, &daemon.callersMutex, daemon, daemon.callersProxy, dogwoodsoakproxy.Fault{Refused: true}, 0)
	case dogwoodsoakplan.CallersMute:
		return site.breakDaemonLink(ctx, &daemon.callersMutex, daemon, daemon.callersProxy, dogwoodsoakproxy.Fault{Mute: true}, step.For)
	default:
		return unknownKind(step.Kind)
	}
}

// breakDaemonLink applies a fault to a proxy of a daemon for a duration. A fault that refuses connections also
// resets the open ones.
func (site *site) breakDaemonLink(ctx context.Context, lock *sync.Mutex, daemon *daemon, proxy *dogwoodsoakproxy.Proxy, fault dogwoodsoakproxy.Fault, duration time.Duration) error {
	return site.recordFault(lock, daemonFault(daemon), func() error { return applyFault(ctx, proxy, fault, duration) })
}

func (site *site) killDaemon(ctx context.Context, daemon *daemon, downtime time.Duration) error {
	if err := daemon.process.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	daemon.process.Wait(ctx)
	dogwoodkernel.Sleep(ctx, downtime)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return site.startDaemon(ctx, daemon)
}

// waitUntilListening waits until a process accepts connections. A program can't handle signals that arrive
// before its first statement runs, so signals that it should handle are sent only after this.
func waitUntilListening(ctx context.Context, address netip.AddrPort) {
	var dialer net.Dialer
	_ = retryUntil(ctx, startTimeout, func() error { // a process that never listens is signalled all the same
		connection, err := dialer.DialContext(ctx, "tcp", address.String())
		if err != nil {
			return err
		}
		return connection.Close()
	})
}

// stopDaemon shuts a daemon down gracefully and starts it again. If it exceeds its grace period, it is killed and
// the stop is reported as a finding. If again is not 0, it is signalled a second time after that.
func (site *site) stopDaemon(ctx context.Context, daemon *daemon, downtime, again time.Duration) error {
	stop := dogwoodsoakcheck.Stop{Daemon: daemon.name}
	fault := daemonFault(daemon)
	fault.Planned = true
	err := site.recordFault(&daemon.processMutex, fault, func() error {
		waitUntilListening(ctx, daemon.settings.Directory())
		stop.From = time.Now()
		if err := daemon.process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		graceContext, cancel := context.WithTimeout(ctx, daemonBounds.Grace)
		defer cancel()
		if again > 0 && !daemon.endsWithin(graceContext, again) {
			if err := daemon.process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
				return err
			}
		}
		if !daemon.process.Wait(graceContext) && ctx.Err() == nil {
			stop.Killed = true
			if err := daemon.process.Signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) { // it may end just now
				return err
			}
			daemon.process.Wait(ctx)
		}
		stop.To = time.Now()
		dogwoodkernel.Sleep(ctx, downtime)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return site.startDaemon(ctx, daemon)
	})
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.recorded.Stops = append(site.recorded.Stops, stop)
	return err
}

// endsWithin reports whether the daemon's process ends within a duration.
func (daemon *daemon) endsWithin(ctx context.Context, duration time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	return daemon.process.Wait(ctx)
}

// reload changes a bound in the daemon's settings, too little to affect the checks, and signals the daemon.
func (site *site) reload(ctx context.Context, daemon *daemon) error {
	const factor = 0.999
	daemon.processMutex.Lock()
	defer daemon.processMutex.Unlock()
	daemon.settings.Bounds.RetryAllowance *= factor
	if err := daemon.writeSettings(); err != nil {
		return err
	}
	waitUntilListening(ctx, daemon.settings.Directory())
	return site.recordChange(daemon.name, func() error { return daemon.process.Signal(syscall.SIGHUP) })
}
