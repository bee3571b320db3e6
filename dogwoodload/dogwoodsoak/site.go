package dogwoodsoak

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"dogwoodmux.example/dogwoodload/dogwoodsoakcaller"
	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/dogwoodload/dogwoodsoakplan"
	"dogwoodmux.example/dogwoodload/dogwoodsoakprocess"
	"dogwoodmux.example/dogwoodload/dogwoodsoakproxy"
	"dogwoodmux.example/dogwoodload/dogwoodstandinrun"
	"dogwoodmux.example/dogwoodload/dogwoodverb"
	"dogwoodmux.example/platform/dogwoodstandin"
)

// standinPort is where a stand-in listens on its own address.
const standinPort = 9000

// startWithin bounds how long a process takes until it listens.
const startWithin = 10 * time.Second

// site is the processes of a soak and what was done to them.
type site struct {
	options         *Options
	directory       string
	program         string // the daemon's
	standin         string
	group           dogwoodsoakprocess.Group
	store           *standinProcess
	control         *dogwoodstandin.StoreControl
	daemons         []*daemon
	endpoints       []*endpoint
	callers         *dogwoodsoakcaller.Callers
	proxies         []*dogwoodsoakproxy.Proxy
	publishing      sync.Mutex // held while a text is published; guards text and withdrawn
	version         int64
	withdrawn       map[string]bool
	storeFault      sync.Mutex // held while the store is broken for all
	outOfDataCentre [3]sync.Mutex

	mutex sync.Mutex // guards seen
	seen  dogwoodsoakcheck.History
}

// standinProcess is a stand-in's process and where it listens.
type standinProcess struct {
	process *dogwoodsoakprocess.Process
	address netip.AddrPort
}

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

// endpoint is an endpoint's place: endpoints with other ids follow each other there.
type endpoint struct {
	place   int
	service string
	// dataCentre is where all of them are.
	dataCentre string
	address    netip.AddrPort
	proxy      *dogwoodsoakproxy.Proxy

	life    sync.Mutex // held while its process is not left alone; guards what follows
	process *dogwoodsoakprocess.Process
	id      string
	number  int
	link    sync.Mutex // held while the way to it is broken

	// names are all ids that were used here, guarded by the site's mutex.
	names []string
}

func newSite(options *Options, directory, program, standin string) *site {
	return &site{
		options: options, directory: directory, program: program, standin: standin, withdrawn: map[string]bool{},
	}
}

// counts splits the processes into endpoints of each service and daemons.
func (site *site) counts() (engines, desks, daemons int) {
	const endpointShare = 3 // a third of the processes are endpoints
	endpoints := max(4, (site.options.Processes-1)/endpointShare)
	desks = max(2, endpoints/3)
	engines = endpoints - desks
	return engines, desks, site.options.Processes - 1 - endpoints
}

func (site *site) shape() dogwoodsoakplan.Shape {
	return dogwoodsoakplan.Shape{
		Daemons: len(site.daemons), Endpoints: len(site.endpoints), Keys: len(keys) - 1, DataCentres: len(dataCentres),
	}
}

// start starts the store, then endpoints and daemons, and waits until daemons answer.
func (site *site) start(ctx context.Context) error {
	own, err := ownAddress(ctx)
	if err != nil {
		return err
	}
	address := netip.AddrPortFrom(own, standinPort)
	process, err := site.startStandin(ctx, "store", address)
	if err != nil {
		return err
	}
	site.store = &standinProcess{process: process, address: address}
	site.control = dogwoodstandin.NewStoreControl(address)
	if err := eventually(ctx, startWithin, func() error { return site.publish(ctx, nil) }); err != nil {
		return err
	}
	engines, desks, daemons := site.counts()
	for place := range engines + desks {
		service := engineName
		if place >= engines {
			service = deskName
		}
		if err := site.addEndpoint(ctx, place, service); err != nil {
			return err
		}
	}
	for number := range daemons {
		if err := site.addDaemon(ctx, number); err != nil {
			return err
		}
	}
	callers := make([]dogwoodsoakcaller.Daemon, len(site.daemons))
	for i, daemon := range site.daemons {
		callers[i] = dogwoodsoakcaller.Daemon{
			Name: daemon.name, Address: daemon.settings.Callers(), By: daemon.front.Address(), Directory: daemon.settings.Directory(),
		}
	}
	site.callers = dogwoodsoakcaller.New(dogwoodsoakcaller.Options{
		Host: host, DataCentres: dataCentres, Daemons: callers, Kinds: callKinds, Keys: keys, Every: callEvery,
	})
	return nil
}

// end ends all work and all processes.
func (site *site) end(cancel context.CancelFunc) error {
	cancel()
	site.group.End()
	var failed error
	for _, proxy := range site.proxies {
		failed = errors.Join(failed, proxy.Wait())
	}
	return failed
}

func (site *site) proxy(ctx context.Context, target netip.AddrPort) (*dogwoodsoakproxy.Proxy, error) {
	proxy, err := dogwoodsoakproxy.Start(ctx, target)
	if err != nil {
		return nil, err
	}
	site.proxies = append(site.proxies, proxy)
	return proxy, nil
}

func (site *site) path(name string) string { return filepath.Join(site.directory, name) }

// standinFlag is a flag of a stand-in's program.
type standinFlag struct{ name, value string }

func (site *site) startStandin(ctx context.Context, name string, listen netip.AddrPort, flags ...standinFlag) (*dogwoodsoakprocess.Process, error) {
	arguments := []string{dogwoodstandinrun.Verb, "-" + dogwoodstandinrun.FlagListen, listen.String()}
	for _, flag := range flags {
		arguments = append(arguments, "-"+flag.name, flag.value)
	}
	return site.group.Start(ctx, dogwoodsoakprocess.Spec{
		Name: name, Path: site.standin, Arguments: arguments, Log: site.path(name + ".log"),
	})
}

func (site *site) addEndpoint(ctx context.Context, place int, service string) error {
	own, err := ownAddress(ctx)
	if err != nil {
		return err
	}
	endpoint := &endpoint{
		place: place, service: service, dataCentre: dataCentres[place%len(dataCentres)], address: netip.AddrPortFrom(own, standinPort),
	}
	proxy, err := site.proxy(ctx, endpoint.address)
	if err != nil {
		return err
	}
	endpoint.proxy = proxy
	site.endpoints = append(site.endpoints, endpoint)
	return site.startEndpoint(ctx, endpoint, true, 0)
}

// startEndpoint starts the process of an endpoint, under a new id if it is another one.
func (site *site) startEndpoint(ctx context.Context, endpoint *endpoint, other bool, cold time.Duration) error {
	if other {
		endpoint.number++
		endpoint.id = fmt.Sprintf("i-%d-%d", endpoint.place, endpoint.number)
		site.mutex.Lock()
		endpoint.names = append(endpoint.names, endpoint.id)
		site.mutex.Unlock()
	}
	slots, events, work := deskSlots, 0, deskWork
	if endpoint.service == engineName {
		slots, events, work = engineSlots, streamEvents, eventEvery
	}
	process, err := site.startStandin(ctx, endpoint.id, endpoint.address,
		standinFlag{dogwoodstandinrun.FlagStore, site.store.address.String()},
		standinFlag{dogwoodstandinrun.FlagRecord, site.path(endpoint.id + ".records")},
		standinFlag{dogwoodstandinrun.FlagID, endpoint.id},
		standinFlag{dogwoodstandinrun.FlagService, endpoint.service},
		standinFlag{dogwoodstandinrun.FlagDataCentre, endpoint.dataCentre},
		standinFlag{dogwoodstandinrun.FlagAnnounced, endpoint.proxy.Address().String()},
		standinFlag{dogwoodstandinrun.FlagSlots, fmt.Sprint(slots)},
		standinFlag{dogwoodstandinrun.FlagEvents, fmt.Sprint(events)},
		standinFlag{dogwoodstandinrun.FlagWork, work.String()},
		standinFlag{dogwoodstandinrun.FlagCold, cold.String()},
		standinFlag{dogwoodstandinrun.FlagDrain, (checkBounds.Drain + servesOn).String()},
	)
	endpoint.process = process
	return err
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

// publish changes the operators' text and writes it into the store.
func (site *site) publish(ctx context.Context, change func()) error {
	site.publishing.Lock()
	defer site.publishing.Unlock()
	if change != nil {
		change()
	}
	site.version++
	text := dogwoodstandin.Text{Version: site.version, Routes: routes, Services: services, Customers: customers(site.withdrawn)}
	return text.Publish(ctx, site.control)
}

// eventually tries until it works or the time is over.
func eventually(ctx context.Context, within time.Duration, try func() error) error {
	const pause = 50 * time.Millisecond
	for deadline := time.Now().Add(within); ; {
		err := try()
		if err == nil || ctx.Err() != nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pause)
	}
}
