// Package dogwoodsite starts a whole deployment in one process, on loopback or in memory:
// daemons and stand-ins for the engines, the plain service and the platform. The data
// centres and link latencies are those of one of the users' deployments.
package dogwoodsite

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/dogwoodlocal/dogwoodenginestandin"
	"dogwoodmux.example/dogwoodlocal/dogwoodplainstandin"
	"dogwoodmux.example/dogwoodlocal/dogwoodplatformstandin"
)

// Error is the class of this package's errors.
var Error = errs.Class("site")

// The administration and peer keys of a local site.
const (
	localAdminKey = "local-admin-key"
	localPeerKey  = "local-peer-key"
)

const defaultDaemons = 6

// Options configure a site. A zero value selects the default.
type Options struct {
	// Shape is Hinokuni (the default) or Laurentide.
	Shape   string
	Daemons int
	// Policy is "" or dogwoodsettings.PolicyBaseline.
	Policy string
	Logger hclog.Logger
	Seed   uint64
	// Engine configures every engine; the site sets its ID, Model, Version, Listener, Dial
	// and ChecksFencing.
	Engine dogwoodenginestandin.Options
	// Plain configures every plain server; the site sets its ID and Listener.
	Plain dogwoodplainstandin.Options
	// NoDelays removes the latency of the links.
	NoDelays bool
	// Base is the network of the site; nil means TCP sockets on loopback.
	Base Base
	// EditText changes the operators' text before the site starts.
	EditText func(text *dogwoodsettings.Text)
}

// Site is a running deployment.
type Site struct {
	Shape    Shape
	Engines  []*dogwoodenginestandin.Engine
	Plain    []*dogwoodplainstandin.Server
	Platform *dogwoodplatformstandin.Platform
	// AdminKey guards the administration API of every daemon.
	AdminKey string

	options Options
	links   *links
	text    dogwoodsettings.Text
	vms     []dogwoodfleet.ListedVM
	daemons []*Daemon
	cancel  context.CancelFunc
}

// Start starts a site. The site ends when the context ends or Close is called.
func Start(ctx context.Context, options Options) (*Site, error) {
	if options.Shape == "" {
		options.Shape = Hinokuni
	}
	if options.Daemons == 0 {
		options.Daemons = defaultDaemons
	}
	if options.Base == nil {
		options.Base = loopback{}
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	shape, err := ShapeOf(options.Shape)
	if err != nil {
		return nil, err
	}
	running, cancel := context.WithCancel(ctx)
	site := &Site{
		Shape: shape, AdminKey: localAdminKey, options: options, text: shape.text(), cancel: cancel,
		links: &links{base: options.Base, ended: running.Done(), dataCentres: map[netip.AddrPort]dogwoodfleet.DataCentre{}, listeners: map[netip.AddrPort]net.Listener{}},
	}
	if !options.NoDelays {
		site.links.latency = shape.LinkLatency
	}
	if options.EditText != nil {
		options.EditText(&site.text)
	}
	if err := site.start(running); err != nil {
		return nil, errs.Combine(err, site.Close(ctx))
	}
	return site, nil
}

func (site *Site) start(ctx context.Context) error {
	var err error
	platform := dogwoodplatformstandin.Options{Seed: site.options.Seed}
	for _, listener := range []*net.Listener{&platform.Tables, &platform.Objects, &platform.VMs, &platform.Weights} {
		if *listener, err = site.options.Base.Listen(ctx, netip.AddrPort{}); err != nil {
			return err
		}
	}
	site.Platform, err = dogwoodplatformstandin.Start(ctx, platform)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := site.startEngines(ctx); err != nil {
		return err
	}
	if err := site.startPlain(ctx); err != nil {
		return err
	}
	for n := range site.options.Daemons {
		if err := site.addDaemon(ctx, n); err != nil {
			return err
		}
	}
	site.Platform.SetVMs(site.vms)
	for _, daemon := range site.daemons {
		if err := daemon.start(ctx); err != nil {
			return err
		}
	}
	if err := site.applyText(ctx); err != nil {
		return err
	}
	return site.ready(ctx)
}

// applyText applies the operators' text through the administration API of one daemon, as
// operators do.
func (site *Site) applyText(ctx context.Context) error {
	source, err := site.Text()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	apply := dogwoodadminapi.Apply{ID: "site", Author: "dogwoodlocal", Source: string(source)}
	for {
		_, err := site.Admin().Apply(ctx, apply)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.Wrap(err)
		case <-time.After(readyInterval):
		}
	}
}

// Admin returns a client of the administration API of all daemons.
func (site *Site) Admin() *dogwoodadminapi.Client {
	addresses := make([]netip.AddrPort, len(site.daemons))
	for i, daemon := range site.daemons {
		addresses[i] = daemon.Admin
	}
	return dogwoodadminapi.NewClient(&http.Transport{DisableKeepAlives: true, DialContext: site.options.Base.DialContext}, addresses, site.AdminKey)
}

func (site *Site) startEngines(ctx context.Context) error {
	for n := range site.Shape.Engines {
		options := site.options.Engine
		options.ID = dogwoodfleet.EndpointID(vmName("engine", n))
		options.Model = site.Shape.Model
		options.Dial = site.options.Base.DialContext
		listener, err := site.options.Base.Listen(ctx, netip.AddrPort{})
		if err != nil {
			return err
		}
		options.Listener = listener
		options.Version = "1"
		options.ChecksFencing = true
		engine, err := dogwoodenginestandin.Start(ctx, options)
		if err != nil {
			return Error.Wrap(err)
		}
		site.Engines = append(site.Engines, engine)
		site.addEndpoint(vmName("engine", n), n, site.Shape.Pool, engine.Address())
	}
	return nil
}

func (site *Site) startPlain(ctx context.Context) error {
	for n := range site.Shape.Servers {
		options := site.options.Plain
		options.ID = dogwoodfleet.EndpointID(vmName(string(site.Shape.Plain), n))
		listener, err := site.options.Base.Listen(ctx, netip.AddrPort{})
		if err != nil {
			return err
		}
		options.Listener = listener
		server, err := dogwoodplainstandin.Start(ctx, options)
		if err != nil {
			return Error.Wrap(err)
		}
		site.Plain = append(site.Plain, server)
		site.addEndpoint(vmName(string(site.Shape.Plain), n), n, site.Shape.Plain, server.Address())
	}
	return nil
}

func (site *Site) addEndpoint(name dogwoodfleet.VM, n int, service dogwoodfleet.Service, address netip.AddrPort) {
	place := site.Shape.place(n)
	site.links.setDataCentre(address, place.DataCentre)
	site.vms = append(site.vms, dogwoodfleet.ListedVM{
		Name: name, Place: place, Service: service, State: dogwoodfleet.Live, Serve: address,
	})
}

// VMs returns the VM list that the platform serves.
func (site *Site) VMs() []dogwoodfleet.ListedVM {
	return append([]dogwoodfleet.ListedVM(nil), site.vms...)
}

// Text returns the operators' text that the site started with, as JSON.
func (site *Site) Text() ([]byte, error) {
	encoded, err := json.MarshalIndent(site.text, "", "\t")
	return encoded, Error.Wrap(err)
}

// Keys returns a customer's API key.
func (*Site) Keys(customer dogwoodfleet.Customer) string {
	return Key(customer)
}

// Daemons returns the daemons in the order of their names.
func (site *Site) Daemons() []*Daemon {
	return site.daemons
}

const (
	// readyTimeout bounds the wait until all daemons serve and see each other.
	readyTimeout  = 20 * time.Second
	readyInterval = 20 * time.Millisecond
)

// ready waits until every daemon serves and sees all others alive.
func (site *Site) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, daemon := range site.daemons {
		for !daemon.ready() {
			select {
			case <-ctx.Done():
				return Error.New("after %s, %s does not serve or does not see all daemons alive", readyTimeout, daemon.VM)
			case <-time.After(readyInterval):
			}
		}
	}
	return nil
}

// Close ends all parts of the site without a graceful shutdown and waits until they have ended.
func (site *Site) Close(context.Context) error {
	for _, daemon := range site.daemons {
		daemon.Kill() //nolint:contextcheck,nolintlint // Kill does not block; contextcheck reports it only on an empty linter cache
	}
	site.cancel()
	site.links.closeUnused()
	for _, engine := range site.Engines {
		engine.Wait()
	}
	for _, server := range site.Plain {
		server.Wait()
	}
	var err error
	if site.Platform != nil {
		err = site.Platform.Close()
	}
	site.links.group.Wait()
	return Error.Wrap(err)
}

// CallerDial connects to a daemon as a client outside the data centres does, with the
// latency Shape.CallerLatency.
func (site *Site) CallerDial(ctx context.Context, network, address string) (net.Conn, error) {
	if site.options.NoDelays {
		return site.options.Base.DialContext(ctx, network, address)
	}
	outside := origin{links: &links{base: site.options.Base, ended: site.links.ended, latency: site.Shape.CallerLatency, dataCentres: site.links.dataCentres}, dataCentre: "outside"}
	return outside.DialContext(ctx, network, address)
}
