package dogwoodsoak

import (
	"context"
	"errors"
	"net/netip"
	"path/filepath"
	"slices"
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

// standinPort is the port of every stand-in. Each stand-in has its own IP address.
const standinPort = 9000

// startTimeout bounds how long a process takes until it listens.
const startTimeout = 10 * time.Second

// site holds the processes of a soak and records the faults and changes made to them.
type site struct {
	options   *Options
	directory string
	// daemonProgram and standinProgram are the paths of the programs.
	daemonProgram, standinProgram string

	group     dogwoodsoakprocess.Group
	store     *standinProcess
	control   *dogwoodstandin.StoreControl
	daemons   []*daemon
	endpoints []*endpoint
	callers   *dogwoodsoakcaller.Callers
	proxies   []*dogwoodsoakproxy.Proxy

	storeMutex sync.Mutex   // held while the store has a fault for all daemons
	takenOut   []sync.Mutex // by data centre; held while it is out of service

	publishing sync.Mutex // held while a text is published; guards version, ranks and withdrawn
	version    int64
	ranks      map[string]int // by key; nil while ranks do not differ
	withdrawn  map[string]bool

	crashing crashing
	loads    loads

	mutex    sync.Mutex // guards recorded, cutOff and the endpoints' ids
	cutOff   []*daemon  // from the endpoints
	recorded dogwoodsoakcheck.History
}

// standinProcess is a stand-in's process and the address at which it listens.
type standinProcess struct {
	process *dogwoodsoakprocess.Process
	address netip.AddrPort
}

func newSite(options *Options, directory, daemonProgram, standinProgram string) *site {
	return &site{
		options: options, directory: directory, daemonProgram: daemonProgram, standinProgram: standinProgram,
		takenOut: make([]sync.Mutex, len(dataCentres)), withdrawn: map[string]bool{},
	}
}

// processCounts splits the number of processes into engines, plain endpoints and daemons.
func (site *site) processCounts() (engines, desks, daemons int) {
	const endpointShare = 3 // a third of the processes are endpoints
	endpoints := max(4, (site.options.Processes-1)/endpointShare)
	desks = max(2, endpoints/3)
	engines = endpoints - desks
	return engines, desks, site.options.Processes - 1 - endpoints
}

func (site *site) shape() dogwoodsoakplan.Shape {
	return dogwoodsoakplan.Shape{
		Daemons: len(site.daemons), Endpoints: len(site.endpoints), Keys: len(keys) - 1, DataCentres: len(dataCentres), Services: len(services),
	}
}

// start starts the store, then endpoints and daemons, and creates the callers.
func (site *site) start(ctx context.Context) error {
	ip, err := newAddress(ctx)
	if err != nil {
		return err
	}
	address := netip.AddrPortFrom(ip, standinPort)
	process, err := site.startStandin(ctx, "store", address)
	if err != nil {
		return err
	}
	site.store = &standinProcess{process: process, address: address}
	site.control = dogwoodstandin.NewStoreControl(address)
	if err := retryUntil(ctx, startTimeout, func() error { return site.publish(ctx, nil) }); err != nil {
		return err
	}
	engines, desks, daemons := site.processCounts()
	for index := range engines + desks {
		service := engineName
		if index >= engines {
			service = deskName
		}
		if err := site.addEndpoint(ctx, index, service); err != nil {
			return err
		}
	}
	for number := range daemons {
		if err := site.addDaemon(ctx, number); err != nil {
			return err
		}
	}
	for _, daemon := range site.daemons {
		waitUntilListening(ctx, daemon.settings.CallersAddress()) // callers would take a refused connection for a cut
	}
	daemonAddresses := make([]dogwoodsoakcaller.Daemon, len(site.daemons))
	for i, daemon := range site.daemons {
		daemonAddresses[i] = dogwoodsoakcaller.Daemon{
			Name: daemon.name, Address: daemon.settings.CallersAddress(), ProxyAddress: daemon.callersProxy.Address(), Directory: daemon.settings.Directory(),
		}
	}
	site.callers = dogwoodsoakcaller.New(dogwoodsoakcaller.Options{
		Host: host, DataCentres: dataCentres, Daemons: daemonAddresses, Kinds: callKinds, Keys: keys, MeanInterval: callInterval,
		Crashing: crashingKind, CrashingKey: keys[len(keys)-1], // this key is never withdrawn
		SlowBytes: slowBytes, Long: longKind, LongEvents: longEvents, Version: versionKind, LatestVersion: site.latestText, Text: textKind,
	})
	return nil
}

// stop cancels all work and ends all processes.
func (site *site) stop(cancel context.CancelFunc) error {
	cancel()
	site.group.KillAll()
	var failed error
	for _, proxy := range site.proxies {
		failed = errors.Join(failed, proxy.Wait())
	}
	return failed
}

func (site *site) startProxy(ctx context.Context, target netip.AddrPort) (*dogwoodsoakproxy.Proxy, error) {
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
	arguments := []string{dogwoodstandinrun.Name, "-" + dogwoodstandinrun.FlagListen, listen.String()}
	for _, flag := range flags {
		arguments = append(arguments, "-"+flag.name, flag.value)
	}
	return site.group.Start(ctx, dogwoodsoakprocess.Spec{
		Name: name, Path: site.standinProgram, Arguments: arguments, Log: site.path(name + ".log"),
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
	published := dogwoodsoakcheck.Text{Version: site.version, From: time.Now()}
	text := dogwoodstandin.Text{Version: site.version, Routes: slices.Concat([]dogwoodstandin.Route{versionRoute(site.version)}, routes), Services: services, Customers: customers(site.withdrawn, site.ranks)}
	if site.ranks != nil {
		text.Routes[len(text.Routes)-1].Rank = routeRank // the prompts'
	}
	for key, withdrawn := range site.withdrawn {
		if withdrawn {
			published.Withdrawn = append(published.Withdrawn, key)
		}
	}
	if err := site.recordChange(dogwoodsoakcheck.AllDaemons, func() error { return text.Publish(ctx, site.control) }); err != nil {
		return err
	}
	published.To = time.Now()
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.recorded.Texts = append(site.recorded.Texts, published)
	return nil
}

// latestText returns the version of the text that was published last; 0 if none was.
func (site *site) latestText() int64 {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	if len(site.recorded.Texts) == 0 {
		return 0
	}
	return site.recorded.Texts[len(site.recorded.Texts)-1].Version
}

// retryUntil calls operation until it succeeds or the timeout has passed.
func retryUntil(ctx context.Context, timeout time.Duration, operation func() error) error {
	const interval = 50 * time.Millisecond
	for deadline := time.Now().Add(timeout); ; {
		err := operation()
		if err == nil || ctx.Err() != nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(interval)
	}
}
