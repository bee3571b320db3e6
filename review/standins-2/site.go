package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dogwoodmux.example/platform/dogwoodstandin"
	"dogwoodmux.example/platform/dogwoodwire"
)

// The bounds of a small deployment, as its sheet gives them.
const (
	changeWithin   = 2 * time.Second // configuration_ms
	outerBound     = 5 * time.Second // outer_bound_ms
	drainTime      = 2 * time.Second // drain_ms
	revokeWithin   = 5 * time.Second
	grace          = 8 * time.Second
	retryAllowance = 104
	readyTimeout   = 30 * time.Second
	requestTimeout = 4 * time.Second
	host           = "review.example"
)

var dataCentres = []string{"zone-a", "zone-b", "zone-c"}

// site holds the stand-ins and the daemons of a case.
type site struct {
	trouble bool
	folder  string // of the case
	private string // of this run
	store   *dogwoodstandin.Store
	daemons []*daemon
	servers []*server
	client  *http.Client

	// memory and files are the memory in MB and the descriptors of a machine.
	memory, files int

	mutex  sync.Mutex
	record *os.File
	began  time.Time
}

// daemon is a daemon's process.
type daemon struct {
	settings dogwoodstandin.DaemonSettings
	process  *exec.Cmd
	exited   chan struct{}
	// turnedAway is true while the store answers this daemon's calls with 503.
	turnedAway atomic.Bool
	turn       chan struct{} // closed when turnedAway becomes true
	turnMutex  sync.Mutex
}

// newSite returns a site without daemons. It writes to record.txt in the case's folder.
func newSite(folder string, trouble bool) (*site, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	private, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	site := &site{
		memory: 284, files: 4100,
		trouble: trouble, folder: folder, private: private, store: dogwoodstandin.NewStore(), record: record, began: time.Now(),
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
	site.note("trouble: %t", trouble)
	return site, nil
}

// note writes a line to the record, with the time since the beginning.
func (site *site) note(format string, arguments ...any) {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	_, _ = fmt.Fprintf(site.record, "%8.3f "+format+"\n", append([]any{time.Since(site.began).Seconds()}, arguments...)...)
}

// say writes a line to the record and to the standard output.
func (site *site) say(format string, arguments ...any) {
	site.note(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// freeAddress returns a loopback address at which no port is in use.
func freeAddress() netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(64 + rand.IntN(64)), byte(rand.IntN(256)), byte(1 + rand.IntN(250))})
}

// serveStore serves the store at a listener of its own for one daemon.
func (site *site) serveStore(daemon *daemon) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	handler := site.store.Handler()
	server := &http.Server{ErrorLog: log.New(io.Discard, "", 0), Handler: http.HandlerFunc(func(writer http.ResponseWriter, received *http.Request) {
		ctx, cancel := context.WithCancel(received.Context())
		defer cancel()
		answered := &trackingWriter{ResponseWriter: writer}
		daemon.turnMutex.Lock()
		turn := daemon.turn
		daemon.turnMutex.Unlock()
		if !daemon.turnedAway.Load() {
			stop := make(chan struct{})
			go func() {
				select {
				case <-turn:
					cancel()
				case <-stop:
				}
			}()
			handler.ServeHTTP(answered, received.WithContext(ctx))
			close(stop)
		}
		if !answered.began && received.Context().Err() == nil {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	go func() { _ = server.Serve(listener) }()
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

// trackingWriter knows whether an answer has begun.
type trackingWriter struct {
	http.ResponseWriter
	began bool
}

func (writer *trackingWriter) Write(data []byte) (int, error) {
	writer.began = true
	return writer.ResponseWriter.Write(data)
}

func (writer *trackingWriter) WriteHeader(status int) {
	writer.began = true
	writer.ResponseWriter.WriteHeader(status)
}

// turnAway makes the store answer all calls of a daemon with 503, or serve it again.
func (daemon *daemon) turnAway(away bool) {
	daemon.turnMutex.Lock()
	defer daemon.turnMutex.Unlock()
	if away && !daemon.turnedAway.Swap(true) {
		close(daemon.turn)
	}
	if !away && daemon.turnedAway.Swap(false) {
		daemon.turn = make(chan struct{})
	}
}

// addDaemon starts a daemon as the deploy file does.
func (site *site) addDaemon(number int) error {
	daemon := &daemon{turn: make(chan struct{}), exited: make(chan struct{})}
	store, err := site.serveStore(daemon)
	if err != nil {
		return err
	}
	daemon.settings = dogwoodstandin.DaemonSettings{
		VM: fmt.Sprintf("front-%d", number+1), DataCentre: dataCentres[number%len(dataCentres)], DataCentres: dataCentres,
		Address: freeAddress(), Store: store, FirstStart: true, MemoryMB: site.memory, FileDescriptors: site.files,
		Bounds: dogwoodstandin.Bounds{
			Revoke: revokeWithin, Grace: grace, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetryAllowance: retryAllowance, DirectoryTTL: 5 * time.Second,
		},
	}
	site.daemons = append(site.daemons, daemon)
	return site.start(daemon)
}

func (daemon *daemon) name() string { return daemon.settings.VM }

func (site *site) start(daemon *daemon) error {
	encoded, err := daemon.settings.Encode()
	if err != nil {
		return err
	}
	file := filepath.Join(site.private, daemon.name()+".toml")
	if err := os.WriteFile(file, encoded, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(site.private, daemon.name()+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	daemon.process = exec.Command("target/platform", "serve", "-metrics", "7355")
	daemon.process.Env = append(os.Environ(), dogwoodstandin.SettingsVariable+"="+file)
	daemon.process.Stdout, daemon.process.Stderr = output, output
	if err := daemon.process.Start(); err != nil {
		return err
	}
	daemon.exited = make(chan struct{})
	go func(process *exec.Cmd, exited chan struct{}) {
		_ = process.Wait()
		close(exited)
	}(daemon.process, daemon.exited)
	return nil
}

// reload adds a field that no machine knows to the settings of a daemon, and sends it SIGHUP.
func (site *site) reload(daemon *daemon) error {
	file := filepath.Join(site.private, daemon.name()+".toml")
	settings, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	changed := append([]byte("note = \"changed\"\n"), settings...)
	if err := os.WriteFile(file+".new", changed, 0o600); err != nil {
		return err
	}
	if err := os.Rename(file+".new", file); err != nil {
		return err
	}
	site.note("the settings file of %s has changed; it gets SIGHUP", daemon.name())
	return daemon.process.Process.Signal(syscall.SIGHUP)
}

// ready reports whether a daemon says that it is ready.
func (site *site) ready(daemon *daemon) bool {
	response, err := site.client.Get("http://" + daemon.settings.Readiness().String() + dogwoodstandin.ReadinessPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (site *site) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		waiting := 0
		for _, daemon := range site.daemons {
			if !site.ready(daemon) {
				waiting++
			}
		}
		if waiting == 0 {
			return nil
		}
	}
	return errors.New("not all daemons are ready")
}

// close ends all processes.
func (site *site) close() {
	for _, daemon := range site.daemons {
		if daemon.process != nil && daemon.process.Process != nil {
			_ = daemon.process.Process.Signal(syscall.SIGCONT)
			_ = daemon.process.Process.Kill()
			<-daemon.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(site.private)
	}
	_ = site.record.Close()
}

// publish writes a manifest from a file of the case's folder to the store.
func (site *site) publish(file string) error {
	manifest, err := os.ReadFile(filepath.Join(site.folder, file))
	if err != nil {
		return err
	}
	site.store.Put(dogwoodwire.OperatorTable, dogwoodwire.TextKey, manifest)
	site.note("the operator writes %s, confirmed", file)
	return nil
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	seal   string
	err    error
}

// send sends a GET request to a daemon.
func (site *site) send(ctx context.Context, daemon *daemon, id, path, key string) answer {
	return site.request(ctx, daemon, http.MethodGet, id, path, key, "")
}

// request sends a request to a daemon.
func (site *site) request(ctx context.Context, daemon *daemon, method, id, path, key, body string) answer {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+daemon.settings.CallersAddress().String()+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set(dogwoodwire.RequestID, id)
	request.Header.Set(dogwoodwire.Deadline, "4000")
	if key != "" {
		request.Header.Set(dogwoodwire.Authorization, "Token "+key)
	}
	response, err := site.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(data), seal: response.Header.Get(dogwoodwire.Seal), err: err}
}

// newID returns an ID for a request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// server is a stand-in of a server of the platform.
type server struct {
	id, service string
	standin     *dogwoodstandin.Endpoint
}

// addServer starts a server that answers after some work and records each run.
func (site *site) addServer(id, service, zone string, slots int, work time.Duration, arrived func(dogwoodstandin.Arrival)) error {
	return site.addServerWith(dogwoodstandin.EndpointOptions{
		ID: id, Service: service, DataCentre: zone, Slots: slots, Work: work, MemoryTokens: dogwoodstandin.EngineMemoryTokens, Record: arrived,
	})
}

// addServerWith starts a server at a free port.
func (site *site) addServerWith(options dogwoodstandin.EndpointOptions) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	options.AnnouncedAddress = netip.MustParseAddrPort(listener.Addr().String())
	added := &server{id: options.ID, service: options.Service, standin: dogwoodstandin.NewEndpoint(options)}
	site.servers = append(site.servers, added)
	httpServer := &http.Server{Handler: added.standin, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = httpServer.Serve(listener) }()
	return site.announce(added, false)
}

// announce writes a server's entry to the store.
func (site *site) announce(server *server, draining bool) error {
	control := httpControl(site.store)
	site.note("server %s of %s registers, draining: %t", server.id, server.service, draining)
	return server.standin.Announce(context.Background(), control, draining)
}

var controls sync.Map

// httpControl returns the control of a store in this process.
func httpControl(store *dogwoodstandin.Store) *dogwoodstandin.StoreControl {
	if control, ok := controls.Load(store); ok {
		return control.(*dogwoodstandin.StoreControl)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(listener, store.ControlledHandler()) }() //nolint:gosec // a stand-in
	control := dogwoodstandin.NewStoreControl(netip.MustParseAddrPort(listener.Addr().String()))
	controls.Store(store, control)
	return control
}
