// Package dogwooddaemon assembles a daemon: its plug-ins register themselves with
// dogwoodkernel, and Start builds them for one settings file. One process can run several
// daemons, each with its own kernel, as the local site and the tests do.
package dogwooddaemon

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/dogwoodsettings"
)

// Error is the class of this package's errors.
var Error = errs.Class("daemon")

// Network is the network on which a daemon listens and connects. Tests use in-memory pipes.
type Network interface {
	Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Options are the arguments of Start.
type Options struct {
	Settings *dogwoodsettings.Daemon
	// Network is nil for TCP.
	Network Network
	Logger  hclog.Logger
}

// environment holds the settings and the shared state from which a daemon's plug-ins are built.
type environment struct {
	settings   *dogwoodsettings.Daemon
	network    *severableNetwork
	instance   dogwoodfleet.InstanceID
	place      dogwoodfleet.Place
	adminKey   string
	peerKey    string
	limits     *limits
	leaveHooks *leaveHooks
	// cutHooks are called before a daemon that is killed closes its connections.
	cutHooks *leaveHooks
}

// Daemon is a running daemon.
type Daemon struct {
	kernel      *dogwoodkernel.Kernel
	environment *environment
	cancel      context.CancelFunc
	stopOnce    sync.Once
	stopErr     error
}

// Start starts a daemon, which serves until Stop, Kill or the end of the context.
func Start(ctx context.Context, options Options) (*Daemon, error) {
	environment, err := newEnvironment(options)
	if err != nil {
		return nil, err
	}
	logger := options.Logger.With("vm", environment.settings.VM)
	runCtx, cancel := context.WithCancel(ctx)
	daemon := &Daemon{
		kernel:      dogwoodkernel.New(runCtx, logger, environment),
		environment: environment,
		cancel:      cancel,
	}
	if err := daemon.kernel.Start(runCtx, pluginServe); err != nil {
		cancel()
		return nil, errs.Combine(Error.Wrap(err), daemon.kernel.Stop(runCtx))
	}
	logger.Info("started", "instance", environment.instance, "serve", environment.settings.Serve)
	return daemon, nil
}

func newEnvironment(options Options) (*environment, error) {
	settings := options.Settings
	adminKey, err := settings.AdminKey.Read()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	peerKey, err := settings.PeerKey.Read()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	network := options.Network
	if network == nil {
		network = tcpNetwork{}
	}
	return &environment{
		settings:   settings,
		network:    newSeverableNetwork(network),
		instance:   dogwoodfleet.InstanceID(string(settings.VM) + "." + uuid.NewString()[:8]),
		place:      dogwoodfleet.Place{Region: settings.Region, DataCentre: settings.DataCentre},
		adminKey:   adminKey,
		peerKey:    peerKey,
		limits:     newLimits(settings),
		leaveHooks: &leaveHooks{},
		cutHooks:   &leaveHooks{},
	}, nil
}

// Instance returns the ID of this instance, which differs at every start of the daemon.
func (daemon *Daemon) Instance() dogwoodfleet.InstanceID {
	return daemon.environment.instance
}

// Wait blocks until a background task fails, the daemon stops or the context ends.
func (daemon *Daemon) Wait(ctx context.Context) {
	daemon.kernel.Wait(ctx)
}

// Stop shuts the daemon down gracefully: running requests finish unless the context ends first.
func (daemon *Daemon) Stop(ctx context.Context) error {
	daemon.stopOnce.Do(func() {
		daemon.environment.leaveHooks.run()
		daemon.stopErr = Error.Wrap(daemon.kernel.Stop(ctx))
		daemon.cancel()
	})
	return daemon.stopErr
}

// Kill ends the daemon at once, as a crash does: all connections close, and no other process
// is notified.
func (daemon *Daemon) Kill() {
	daemon.environment.cutHooks.run()
	daemon.environment.network.sever()
	daemon.cancel()
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = daemon.Stop(cancelled) // a crash reports no error
}

// tcpNetwork is the Network of a daemon started without one.
type tcpNetwork struct{}

// Listen listens on a TCP address.
func (tcpNetwork) Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	return listener, Error.Wrap(err)
}

// DialContext connects over TCP.
func (tcpNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	return conn, err // not wrapped: net/http checks for errors of package net
}

// leaveHooks holds the functions to call once, when the daemon begins to shut down or when it is killed.
type leaveHooks struct {
	mutex sync.Mutex
	done  bool
	hooks []func()
}

// add registers a function.
func (leaveHooks *leaveHooks) add(hook func()) {
	leaveHooks.mutex.Lock()
	defer leaveHooks.mutex.Unlock()
	leaveHooks.hooks = append(leaveHooks.hooks, hook)
}

// run calls the hooks; only the first call does so.
func (leaveHooks *leaveHooks) run() {
	leaveHooks.mutex.Lock()
	hooks := leaveHooks.hooks
	if leaveHooks.done {
		hooks = nil
	}
	leaveHooks.done = true
	leaveHooks.mutex.Unlock()
	for _, hook := range hooks {
		hook()
	}
}

// MembersAlive returns how many daemons are alive in this daemon's view, including itself.
func (daemon *Daemon) MembersAlive() int {
	members, err := dogwoodkernel.ValueOf[members](daemon.kernel, pluginMembers)
	if err != nil {
		return 0
	}
	return len(members.Members.Alive())
}

// Serves reports whether the daemon is ready and the operators' text in force has a service.
func (daemon *Daemon) Serves() bool {
	changes, err := dogwoodkernel.ValueOf[*changes](daemon.kernel, pluginChanges)
	return err == nil && changes.ready() && len(changes.Text().Services) > 0
}
