package dogwoodcrowd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/dogwoodload/dogwoodsoakprocess"
	"dogwoodmux.example/platform/dogwoodstandin"
	"dogwoodmux.example/platform/dogwoodwire"
)

// The bounds of the tests are the settings of their daemons. The crowds are small, and so are the settings.
const (
	memoryMB    = 64
	memoryBytes = memoryMB * 1_000_000
	descriptors = 600
	// headBytes is the largest head that the text of the tests allows.
	headBytes = 16 << 10
	crowdSize = 200
	// silentClients is above the descriptors of a daemon.
	silentClients = 900
	rounds        = 3
	holdFor       = 2 * time.Second
	// answerWithin bounds the wait for an answer to an ordinary request that may be refused first.
	answerWithin = 30 * time.Second
	metricsPort  = 8100
	host         = "a.example"
	key          = "k1"
)

// program and muxdProgram are the daemons' programs, built once without the race detector, which multiplies a process's memory.
var program, muxdProgram string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "dogwoodcrowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	program, muxdProgram = filepath.Join(directory, "platform"), filepath.Join(directory, "dogwoodmuxd")
	if output, err := exec.Command("go", "build", "-o", directory, "dogwoodmux.example/platform", "dogwoodmux.example/dogwoodmuxd").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the daemons: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// site is a daemon in a process of its own, with a store and endpoints in the test's process.
type site struct {
	process
	settings dogwoodstandin.DaemonSettings
}

// process is a daemon's process with its log.
type process struct {
	daemon *dogwoodsoakprocess.Process
	log    string
}

// start starts the daemon. It is killed at the end of the test.
func (process *process) start(t *testing.T, spec dogwoodsoakprocess.Spec) {
	t.Helper()
	process.log = filepath.Join(t.TempDir(), "daemon.log")
	spec.Name, spec.Log = "daemon", process.log
	var group dogwoodsoakprocess.Group
	t.Cleanup(group.KillAll)
	var err error
	if process.daemon, err = group.Start(t.Context(), spec); err != nil {
		t.Fatal(err)
	}
}

// ask sends an ordinary request until it is answered with success or answerWithin has passed. It returns the last status; 0 for none.
func ask(t *testing.T, address netip.AddrPort, head string) (status int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), answerWithin)
	defer cancel()
	for {
		report, err := Run(ctx, &Options{Address: address, Clients: 1, Script: Script{First: []byte(head), Rest: []byte("\r\n")}})
		for got := range report.Statuses {
			status = got
		}
		if err != nil || status == http.StatusOK || !dogwoodkernel.Sleep(ctx, 100*time.Millisecond) {
			return status
		}
	}
}

// newSite returns a site whose daemon serves.
func newSite(t *testing.T) *site {
	t.Helper()
	store := dogwoodstandin.NewStore()
	server := httptest.NewServer(store.ControlledHandler())
	t.Cleanup(func() {
		store.Close()
		server.CloseClientConnections()
		server.Close()
	})
	storeAddress := netip.MustParseAddrPort(server.Listener.Addr().String())
	control := dogwoodstandin.NewStoreControl(storeAddress)
	text := dogwoodstandin.Text{
		Version: 1, Customers: []dogwoodstandin.Customer{{Name: "c", Keys: []string{key}}},
		Services: []dogwoodstandin.Service{{Name: "plain", ColdPerSecond: 1000}, {Name: "streams", ColdPerSecond: 1000}},
		Routes: []dogwoodstandin.Route{
			{Name: "plain", Host: host, Prefix: "/plain/", Service: "plain", Repeat: dogwoodstandin.Idempotent, Timeout: 10 * time.Second, Aim: time.Second, Attempts: 2},
			{Name: "streams", Host: host, Prefix: "/streams/", Service: "streams", Repeat: dogwoodstandin.Stream, Timeout: 10 * time.Second, Aim: time.Second, Attempts: 2},
		},
	}
	if err := text.Publish(t.Context(), control); err != nil {
		t.Fatal(err)
	}
	startEndpoint(t, control, dogwoodstandin.EndpointOptions{ID: "i-0", Service: "plain"})
	startEndpoint(t, control, dogwoodstandin.EndpointOptions{ID: "i-1", Service: "streams", Events: 20, EventInterval: 100 * time.Millisecond})
	site := &site{settings: dogwoodstandin.DaemonSettings{
		VM: "daemon", DataCentre: "a", DataCentres: []string{"a"}, Address: newAddress(), Store: storeAddress, FirstStart: true,
		MemoryMB: memoryMB, FileDescriptors: descriptors,
		Bounds: dogwoodstandin.Bounds{
			Revoke: 3 * time.Second, Grace: 4 * time.Second, DirectoryTTL: time.Second, RetryRatio: 0.2, RetryAllowance: 100, RetryWindow: 10 * time.Second,
		},
	}}
	site.start(t)
	return site
}

// lastAddress numbers the addresses of daemons. Each has one to itself, as ports stay in use for a while.
var lastAddress byte

func newAddress() netip.Addr {
	lastAddress++
	return netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(os.Getpid() / 250 % 250), lastAddress})
}

func startEndpoint(t *testing.T, control *dogwoodstandin.StoreControl, options dogwoodstandin.EndpointOptions) {
	t.Helper()
	options.DataCentre, options.Slots, options.Record = "a", 2*crowdSize, func(dogwoodstandin.Arrival) {}
	var endpoint *dogwoodstandin.Endpoint // its entry names the server's address
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { endpoint.ServeHTTP(writer, request) }))
	options.AnnouncedAddress = netip.MustParseAddrPort(server.Listener.Addr().String())
	endpoint = dogwoodstandin.NewEndpoint(options)
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	if err := endpoint.Announce(t.Context(), control, false); err != nil {
		t.Fatal(err)
	}
}

func (site *site) start(t *testing.T) {
	t.Helper()
	directory := t.TempDir()
	encoded, err := site.settings.Encode()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(directory, "daemon.toml")
	if err := os.WriteFile(file, encoded, 0o600); err != nil {
		t.Fatal(err)
	}
	site.process.start(t, dogwoodsoakprocess.Spec{
		Path: program, Arguments: []string{"serve", "-metrics", fmt.Sprint(metricsPort)},
		Environment: []string{dogwoodstandin.SettingsVariable + "=" + file},
	})
	if status := site.ask(t); status != http.StatusOK {
		t.Fatalf("got status %d of a new daemon, want 200: %s", status, site.logEnd())
	}
}

// start of a request that a route of the text serves, with a key.
func requestStart(target string) string {
	call := dogwoodstandin.Call{ID: "0123456789abcdef", Key: key, Wait: 10 * time.Second}
	var head strings.Builder
	_, _ = fmt.Fprintf(&head, "GET %s HTTP/1.1\r\nHost: %s\r\n", target, host)
	_ = call.Header().Write(&head) // writing to a Builder does not fail
	return head.String()
}

func (site *site) ask(t *testing.T) int {
	t.Helper()
	return ask(t, site.settings.CallersAddress(), requestStart("/plain/x?y=1"))
}

// logEnd returns the end of the daemon's log.
func (process *process) logEnd() string {
	log, err := os.ReadFile(process.log)
	if err != nil {
		return err.Error()
	}
	return string(log[max(0, len(log)-2000):])
}

// withstand sends crowds at the same time and checks that the daemon lives, stays within its settings and answers an ordinary request
// afterwards.
func (process *process) withstand(t *testing.T, ask func(t *testing.T) int, crowds ...*Options) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var most int
	var sampling, playing errgroup.Group
	sampling.Go(func() error {
		for dogwoodkernel.Sleep(ctx, 20*time.Millisecond) {
			if open, err := process.daemon.Descriptors(); err == nil {
				most = max(most, open)
			}
		}
		return nil
	})
	for _, crowd := range crowds {
		playing.Go(func() error {
			report, err := Run(ctx, crowd)
			t.Logf("%s: %s", crowd.Script.Name, report)
			return err
		})
	}
	if err := playing.Wait(); err != nil {
		t.Error(err)
	}
	status := ask(t)
	peak, err := process.daemon.PeakResidentBytes()
	cancel()
	_ = sampling.Wait() // it returns no error
	t.Logf("peak %d kB, %d descriptors", peak>>10, most)
	switch {
	case !process.daemon.Running():
		t.Fatalf("got a daemon that has ended, want that it lives: %s", process.logEnd())
	case err != nil:
		t.Fatal(err)
	}
	if peak > memoryBytes {
		t.Errorf("got a peak of %d bytes, want at most %d", peak, memoryBytes)
	}
	if most > descriptors {
		t.Errorf("got %d open descriptors, want at most %d", most, descriptors)
	}
	if status != http.StatusOK {
		t.Errorf("got status %d for an ordinary request afterwards, want 200: %s", status, process.logEnd())
	}
}

func (site *site) play(t *testing.T, crowds ...*Options) {
	t.Helper()
	site.withstand(t, site.ask, crowds...)
	site.awaitHeadsReleased(t)
}

// awaitHeadsReleased waits until the daemon counts no more for heads than that of the request that asks for it.
func (site *site) awaitHeadsReleased(t *testing.T) {
	t.Helper()
	const ownHead = 8 << 10
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: exchangeTimeout}
	url := fmt.Sprintf("http://%s:%d/metrics", site.settings.Address, metricsPort)
	page, got := "", -1
	for deadline := time.Now().Add(answerWithin); got < 0 || got > ownHead; dogwoodkernel.Sleep(t.Context(), 100*time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got %d bytes of heads after the crowd, want at most %d: %.300s", got, ownHead, page)
		}
		response, err := client.Get(url)
		if err != nil {
			continue
		}
		content, _ := io.ReadAll(response.Body) // what is missing is asked for again
		_ = response.Body.Close()
		page = string(content)
		if _, after, found := strings.Cut(page, "\nHeadBytes "); found {
			_, _ = fmt.Sscan(after, &got)
		}
	}
}

// crowd returns the options of a crowd that sends a script to an address.
func crowd(address netip.AddrPort, script Script) *Options {
	options := &Options{Address: address, Script: script, Clients: crowdSize, Rounds: rounds, Hold: holdFor}
	if script.Holds {
		options.Rounds = 1
	}
	if len(script.First) == 0 && script.Holds {
		options.Clients = silentClients
	}
	return options
}

// listeners are the listeners of a daemon with the start of a request that each serves.
func (site *site) listeners() []listener {
	settings := &site.settings
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(settings.Address, port) }
	return []listener{
		{"callers", settings.CallersAddress(), "GET /plain/x HTTP/1.1\r\nHost: " + host + "\r\n"},
		{"forwards", settings.Forwards(), "GET /plain/x HTTP/1.1\r\nHost: " + host + "\r\n"},
		{"directory", settings.Directory(), "GET " + dogwoodwire.DirectoryPath + "?name=a HTTP/1.1\r\nHost: a\r\n"},
		{"readiness", settings.Readiness(), "GET " + dogwoodwire.ReadinessPath + " HTTP/1.1\r\nHost: a\r\n"},
		{"metrics", at(metricsPort), "GET /metrics HTTP/1.1\r\nHost: a\r\n"},
		{"peers", settings.Peer(), "GET / HTTP/1.1\r\nHost: a\r\n"},
	}
}

type listener struct {
	name    string
	address netip.AddrPort
	start   string
}

// Guards against callers that end a daemon with heads of very many lines, with heads without end, or with connections on which
// nothing comes: it exceeded the memory or the descriptors that its settings give it.
func TestDaemonWithstandsCrowdOfCallers(t *testing.T) {
	for _, script := range Scripts("GET /plain/x HTTP/1.1\r\nHost: "+host+"\r\n", headBytes) {
		t.Run(script.Name, func(t *testing.T) {
			site := newSite(t)
			site.play(t, crowd(site.settings.CallersAddress(), script))
		})
	}
}

// Guards against the copies that a daemon makes of a large head for each endpoint that it sends the request to, which were counted
// nowhere.
func TestDaemonWithstandsCrowdThatIsServed(t *testing.T) {
	tests := []struct {
		name, target string
	}{
		{"plain", "/plain/x?y=1"},
		{"streams", "/streams/x?y=1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			site := newSite(t)
			script := Script{Name: "short lines with a key", First: Lines(requestStart(test.target), headBytes, ShortLine), Rest: []byte("\r\n")}
			site.play(t, crowd(site.settings.CallersAddress(), script))
		})
	}
}

// Guards against a listener other than that of callers by which anybody can end a daemon.
func TestDaemonWithstandsCrowdOnEachListener(t *testing.T) {
	kinds := []string{"short lines", "short lines that stop", "more short lines than allowed that stop", "short lines without end", "nothing"}
	listeners := (&site{}).listeners()
	for i := range listeners[1:] {
		for _, kind := range kinds {
			t.Run(listeners[i+1].name+"/"+kind, func(t *testing.T) {
				site := newSite(t)
				listener := site.listeners()[i+1]
				site.play(t, crowd(listener.address, named(t, listener.start, kind)))
			})
		}
	}
}

// Guards against crowds that each listener bears alone and that end the daemon together.
func TestDaemonWithstandsCrowdOnAllListeners(t *testing.T) {
	for _, kind := range []string{"short lines", "more short lines than allowed that stop", "nothing"} {
		t.Run(kind, func(t *testing.T) {
			site := newSite(t)
			var crowds []*Options
			for _, listener := range site.listeners() {
				crowds = append(crowds, crowd(listener.address, named(t, listener.start, kind)))
			}
			site.play(t, crowds...)
		})
	}
}

func named(t *testing.T, start, name string) Script {
	t.Helper()
	for _, script := range Scripts(start, headBytes) {
		if script.Name == name {
			return script
		}
	}
	t.Fatalf("no script %q", name)
	return Script{}
}

// Guards against limits that refuse a single request inside the limits that the operators' text states.
func TestDaemonServesSingleLargeHead(t *testing.T) {
	site := newSite(t)
	start := requestStart("/plain/x?y=1")
	tests := []struct {
		name string
		line func(number int) string
	}{
		{"short lines", ShortLine},
		{"blank values", func(number int) string { return shortName(number) + ": \t \r\n" }},
		{"one name in all lines", func(int) string { return "a:\r\n" }},
		{"one line", func(number int) string {
			if number > 0 {
				return strings.Repeat("x", headBytes)
			}
			return "a: " + strings.Repeat("b", headBytes-len(start)-len("a: \r\n\r\n")) + "\r\n"
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			head := Lines(start, headBytes, test.line)
			report, err := Run(t.Context(), &Options{Address: site.settings.CallersAddress(), Clients: 1, Script: Script{First: head, Rest: []byte("\r\n")}})
			if err != nil || report.Statuses[http.StatusOK] != 1 {
				t.Errorf("got %s, %v, want status 200 for a head of %d bytes", report, err, len(head)+2)
			}
		})
	}
	if got := site.ask(t); got != http.StatusOK {
		t.Errorf("got status %d, want 200: %s", got, site.logEnd())
	}
}
