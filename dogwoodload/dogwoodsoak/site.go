package dogwoodsoak

import (
	"context"
	"errors"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"dogwoodmux.example/dogwoodload/dogwoodsoakcaller"
	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/dogwoodload/dogwoodsoakplan"
	"dogwoodmux.example/dogwoodload/dogwoodsoakprocess"
	"dogwoodmux.example/dogwoodload/dogwoodsoakproxy"
	"dogwoodmux.example/dogwoodload/dogwoodstandinrun"
	"dogwoodmux.example/platform/dogwoodstandin"
)

// standinPort is where a stand-in listens on its own address.
const standinPort = 9000

// startWithin bounds how long a process takes until it listens.
const startWithin = 10 * time.Second

// site is the processes of a soak and what was done to them.
type site struct {
	options   *Options
	directory string
	// program is the daemon's, standin the stand-ins'.
	program, standin string

	group     dogwoodsoakprocess.Group
	store     *standinProcess
	control   *dogwoodstandin.StoreControl
	daemons   []*daemon
	endpoints []*endpoint
	callers   *dogwoodsoakcaller.Callers
	proxies   []*dogwoodsoakproxy.Proxy

	storeFault sync.Mutex   // held while the store is broken for all
	takenOut   []sync.Mutex // by data centre, held while it is out

	publishing sync.Mutex // held while a text is published; guards version and withdrawn
	version    int64
	withdrawn  map[string]bool

	mutex sync.Mutex // guards seen, and the endpoints' names
	seen  dogwoodsoakcheck.History
}

// standinProcess is a stand-in's process and where it listens.
type standinProcess struct {
	process *dogwoodsoakprocess.Process
	address netip.AddrPort
}

func newSite(options *Options, directory, program, standin string) *site {
	return &site{
		options: options, directory: directory, program: program, standin: standin,
		takenOut: make([]sync.Mutex, len(dataCentres)), withdrawn: map[string]bool{},
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

// start starts the store, then endpoints and daemons, and makes the callers.
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

// publish changes the operators' text and writes it into the store.
func (site *site) publish(ctx context.Context, change func()) error {
	site.publishing.Lock()
	defer site.publishing.Unlock()
	if change != nil {
		change()
	}
	site.version++
	text := dogwoodstandin.Text{Version: site.version, Routes: routes, Services: services, Customers: customers(site.withdrawn)}
	return site.changing(dogwoodsoakcheck.Everybody, func() error { return text.Publish(ctx, site.control) })
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
