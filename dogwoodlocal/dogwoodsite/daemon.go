package dogwoodsite

import (
	"context"
	"net/netip"
	"sync"

	"dogwoodmux.example/core/dogwooddaemon"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
)

// Daemon is the daemon of one entry VM of a site. It can be killed, stopped and restarted.
type Daemon struct {
	VM    dogwoodfleet.VM
	Place dogwoodfleet.Place
	Serve netip.AddrPort
	Peer  netip.AddrPort
	Admin netip.AddrPort

	site     *Site
	settings *dogwoodsettings.Daemon

	mutex       sync.Mutex
	running     *dogwooddaemon.Daemon
	newInstance func() (*dogwooddaemon.Daemon, error)
}

func (site *Site) addDaemon(ctx context.Context, n int) error {
	place := site.Shape.place(n)
	daemon := &Daemon{VM: vmName("entry", n), Place: place, site: site}
	for _, address := range []*netip.AddrPort{&daemon.Serve, &daemon.Peer, &daemon.Admin} {
		reserved, err := site.links.reserve(ctx, place.DataCentre)
		if err != nil {
			return err
		}
		*address = reserved
	}
	platform := site.Platform
	daemon.settings = &dogwoodsettings.Daemon{
		VM: daemon.VM, Region: place.Region, DataCentre: place.DataCentre,
		Serve: daemon.Serve, Peer: daemon.Peer, Admin: daemon.Admin,
		Platform: dogwoodsettings.Platform{
			Tables: platform.Tables, Objects: platform.Objects, VMs: platform.VMs, Weights: platform.Weights,
		},
		AdminKey: dogwoodsettings.Secret{Value: localAdminKey},
		PeerKey:  dogwoodsettings.Secret{Value: localPeerKey},
		Policy:   site.options.Policy,
	}
	site.daemons = append(site.daemons, daemon)
	site.vms = append(site.vms, dogwoodfleet.ListedVM{
		Name: daemon.VM, Place: place, State: dogwoodfleet.Live, Serve: daemon.Serve, Peer: daemon.Peer, Admin: daemon.Admin,
	})
	return nil
}

// start starts the daemon; it and its later instances end with the context.
func (daemon *Daemon) start(ctx context.Context) error {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	daemon.newInstance = func() (*dogwooddaemon.Daemon, error) {
		return dogwooddaemon.Start(ctx, dogwooddaemon.Options{
			Settings: daemon.settings,
			Network:  origin{links: daemon.site.links, dataCentre: daemon.Place.DataCentre},
			Logger:   daemon.site.options.Logger,
		})
	}
	return daemon.startLocked()
}

func (daemon *Daemon) startLocked() error {
	started, err := daemon.newInstance()
	if err != nil {
		return Error.Wrap(err)
	}
	daemon.running = started
	return nil
}

// takeRunning returns the running instance, or nil, and records that none runs.
func (daemon *Daemon) takeRunning() *dogwooddaemon.Daemon {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	taken := daemon.running
	daemon.running = nil
	return taken
}

// ready reports whether the daemon serves with an operators' text and sees all daemons of
// the site alive.
func (daemon *Daemon) ready() bool {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.running != nil && daemon.running.Serves() && daemon.running.MembersAlive() == len(daemon.site.daemons)
}

// Alive reports whether the daemon is running.
func (daemon *Daemon) Alive() bool {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.running != nil
}

// Kill ends the daemon without a graceful shutdown, as a crash does.
func (daemon *Daemon) Kill() {
	if running := daemon.takeRunning(); running != nil {
		running.Kill()
	}
}

// Stop shuts the daemon down gracefully, until the context ends at the latest.
func (daemon *Daemon) Stop(ctx context.Context) error {
	if running := daemon.takeRunning(); running != nil {
		return Error.Wrap(running.Stop(ctx))
	}
	return nil
}

// Restart starts a new instance of a stopped daemon at the same addresses.
func (daemon *Daemon) Restart(context.Context) error {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	if daemon.running != nil {
		return Error.New("%s is already running", daemon.VM)
	}
	return daemon.startLocked()
}
