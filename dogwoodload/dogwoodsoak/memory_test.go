package dogwoodsoak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/dogwoodload/dogwoodsoakprocess"
	"dogwoodmux.example/platform/dogwoodstandin"
)

const (
	// memoryCallers is the number of callers that read slowly or nothing, and memoryAnswer the size of their answers.
	memoryCallers = 1000
	memoryAnswer  = 512 << 10
	// memoryFor is how long they ask, and askAgainAfter the time after which one that reads nothing asks again.
	memoryFor     = 12 * time.Second
	askAgainAfter = 3 * time.Second
	// harmlessEach is the time between two harmless requests, and harmlessLimit the time in which each is to be answered.
	harmlessEach  = 200 * time.Millisecond
	harmlessLimit = 5 * time.Second
	// daemonBytes is the daemon's memory in bytes.
	daemonBytes = daemonMemoryMB * 1_000_000
)

// memorySite is a daemon in a process of its own, with a store and endpoints in the test's process.
type memorySite struct {
	daemon  *dogwoodsoakprocess.Process
	address netip.AddrPort
	log     string
	// isFull is true once the daemon has refused a request for its bound on those in progress.
	isFull atomic.Bool
}

// startMemorySite starts a daemon of the smallest size.
func startMemorySite(ctx context.Context, t *testing.T) *memorySite {
	t.Helper()
	directory := t.TempDir()
	program, _, err := newOptions("", memoryFor).programs(ctx, directory)
	if err != nil {
		t.Fatal(err)
	}
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
		Version: 1, Customers: []dogwoodstandin.Customer{{Name: "c", Keys: keys}},
		Services: []dogwoodstandin.Service{{Name: "large", ColdPerSecond: memoryCallers}, {Name: "small", ColdPerSecond: memoryCallers}},
		Routes: []dogwoodstandin.Route{
			{Name: "large", Host: host, Prefix: "/large/", Service: "large", Repeat: dogwoodstandin.Stream, Timeout: memoryFor, Aim: time.Second, Attempts: 1},
			{Name: "small", Host: host, Prefix: "/small/", Service: "small", Repeat: dogwoodstandin.Idempotent, Timeout: memoryFor, Aim: time.Second, Attempts: 3},
		},
	}
	if err := text.Publish(ctx, control); err != nil {
		t.Fatal(err)
	}
	for index, service := range []string{"large", "large", "small"} {
		startMemoryEndpoint(ctx, t, control, fmt.Sprintf("i-%d", index), service)
	}
	address, err := newAddress(ctx)
	if err != nil {
		t.Fatal(err)
	}
	settings := dogwoodstandin.DaemonSettings{
		VM: "daemon", DataCentre: dataCentres[0], DataCentres: dataCentres, Address: address, Store: storeAddress, FirstStart: true,
		Bounds: daemonBounds, MemoryMB: daemonMemoryMB,
	}
	encoded, err := settings.Encode()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(directory, "daemon.toml")
	if err := os.WriteFile(file, encoded, 0o600); err != nil {
		t.Fatal(err)
	}
	var group dogwoodsoakprocess.Group
	log := filepath.Join(directory, "daemon.log")
	process, err := group.Start(ctx, dogwoodsoakprocess.Spec{
		Name: "daemon", Path: program, Arguments: []string{"serve"}, Environment: []string{dogwoodstandin.SettingsVariable + "=" + file}, Log: log,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.KillAll)
	return &memorySite{daemon: process, address: settings.CallersAddress(), log: log}
}

// startMemoryEndpoint starts an endpoint that has a slot for each caller. The service "large" streams.
func startMemoryEndpoint(ctx context.Context, t *testing.T, control *dogwoodstandin.StoreControl, id, service string) {
	t.Helper()
	options := dogwoodstandin.EndpointOptions{
		ID: id, Service: service, DataCentre: dataCentres[0], Slots: memoryCallers, UnreadTimeout: unreadTimeout, Record: func(dogwoodstandin.Arrival) {},
	}
	if service == "large" {
		options.Events, options.EventInterval = 64, time.Millisecond // 8 KiB an event
	}
	var endpoint atomic.Pointer[dogwoodstandin.Endpoint] // its entry names the server's address
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { endpoint.Load().ServeHTTP(writer, request) }))
	server.Config.ConnContext = dogwoodstandin.LimitSendBuffer
	options.AnnouncedAddress = netip.MustParseAddrPort(server.Listener.Addr().String())
	endpoint.Store(dogwoodstandin.NewEndpoint(options))
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	if err := endpoint.Load().Announce(ctx, control, false); err != nil {
		t.Fatal(err)
	}
}

// request returns a request as it is sent.
func (site *memorySite) request(ctx context.Context, id, target string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+site.address.String()+target, strings.NewReader("body"))
	if err != nil {
		return nil, err
	}
	call := dogwoodstandin.Call{ID: id, Key: keys[0], Wait: memoryFor}
	request.Header, request.Host = call.Header(), host
	return request, nil
}

// errWrongAnswer means that an answer is not that of its request.
var errWrongAnswer = errors.New("the answer is wrong")

// ask sends a harmless request until it is answered.
func (site *memorySite) ask(ctx context.Context, client *http.Client, id string) error {
	for try := 0; ctx.Err() == nil; try++ {
		answered, err := site.askOnce(ctx, client, fmt.Sprintf("%s-%d", id, try))
		if answered || errors.Is(err, errWrongAnswer) {
			return err
		}
		dogwoodkernel.Sleep(ctx, 100*time.Millisecond) // the daemon may not listen yet
	}
	return ctx.Err()
}

// askOnce sends a harmless request and reports whether it was answered.
func (site *memorySite) askOnce(ctx context.Context, client *http.Client, id string) (bool, error) {
	const target = "/small/x?y=1"
	request, err := site.request(ctx, id, target)
	if err != nil {
		return false, err
	}
	response, err := client.Do(request)
	if err != nil {
		return false, err
	}
	answer, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // it was read completely, or reading it failed
	switch {
	case err != nil || response.StatusCode != http.StatusOK:
		return false, err
	case string(answer) != dogwoodstandin.Answer(id, target, "body", 0):
		return false, errWrongAnswer
	}
	return true, nil
}

// harmlessResult counts harmless requests beside slow callers.
type harmlessResult struct {
	// sent are those that were sent once the daemon was full, and answered those of them that were answered in time.
	sent, answered, wrong atomic.Int64
}

// sendHarmless sends a harmless request each harmlessEach, whatever became of the earlier ones, until the context ends.
func (site *memorySite) sendHarmless(ctx context.Context, client *http.Client, result *harmlessResult) {
	var group errgroup.Group
	for number := 0; dogwoodkernel.Sleep(ctx, harmlessEach); number++ {
		isCounted := site.isFull.Load()
		group.Go(func() error {
			limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), harmlessLimit)
			defer cancel()
			answered, err := site.askOnce(limited, client, fmt.Sprintf("harmless-%d", number))
			if errors.Is(err, errWrongAnswer) {
				result.wrong.Add(1)
			}
			if isCounted {
				result.sent.Add(1)
			}
			if isCounted && answered {
				result.answered.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait() // requests return no error
}

// readSlowly asks for a large answer again and again and reads some KiB of it each tenth of a second, or nothing. It returns
// the number of answers that began.
func (site *memorySite) readSlowly(ctx context.Context, number int) int {
	begun := 0
	for try := 0; ctx.Err() == nil; try++ {
		if site.readOnce(ctx, fmt.Sprintf("slow-%d-%d", number, try), number%2 == 0) {
			begun++
		}
	}
	return begun
}

func (site *memorySite) readOnce(ctx context.Context, id string, reads bool) bool {
	ctx, cancel := context.WithTimeout(ctx, memoryFor)
	defer cancel()
	dialer := net.Dialer{}
	conn, err := dialer.DialContext(ctx, "tcp", site.address.String())
	if err != nil {
		dogwoodkernel.Sleep(ctx, 100*time.Millisecond)
		return false
	}
	defer func() { _ = conn.Close() }()            // the daemon may have closed it
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // the kernel's default takes whole answers
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	request, err := site.request(ctx, id, dogwoodstandin.LargeTarget("/large/x?y=1", memoryAnswer))
	if err != nil || request.Write(conn) != nil {
		return false
	}
	first := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(conn, first); err != nil || !bytes.HasSuffix(first, []byte("200")) {
		if bytes.HasSuffix(first, []byte("503")) {
			site.isFull.Store(true)
		}
		dogwoodkernel.Sleep(ctx, 100*time.Millisecond) // refused
		return false
	}
	if !reads {
		dogwoodkernel.Sleep(ctx, askAgainAfter)
		return true
	}
	part := make([]byte, 4<<10)
	for {
		if _, err := conn.Read(part); err != nil {
			return true
		}
		dogwoodkernel.Sleep(ctx, 100*time.Millisecond)
	}
}

// Guards against a daemon that slow callers drive beyond the memory that its settings give it, so that the machine ends it with
// all its requests: its buffers are bounded, but what the rest of the process takes for a thousand of them counts too. Also guards
// against slow callers that hold all the requests which may be in progress, so that others are refused.
func TestDaemonStaysWithinItsMemoryBesideSlowCallers(t *testing.T) {
	if testing.Short() {
		t.Skip("runs a daemon in a process for 12 s")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	site := startMemorySite(ctx, t)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	if err := site.ask(ctx, client, "first"); err != nil {
		t.Fatalf("got no right answer of a new daemon: %v", err)
	}
	idle, err := site.daemon.PeakResidentBytes()
	if err != nil {
		t.Fatal(err)
	}
	loadCtx, stopLoad := context.WithTimeout(ctx, memoryFor)
	defer stopLoad()
	var group errgroup.Group
	var begun atomic.Int64
	for number := range memoryCallers {
		group.Go(func() error {
			begun.Add(int64(site.readSlowly(loadCtx, number)))
			return nil
		})
	}
	var harmless harmlessResult
	site.sendHarmless(loadCtx, client, &harmless)
	_ = group.Wait() // callers return no error
	if err := site.ask(ctx, client, "last"); err != nil {
		t.Errorf("got no right answer after the load: %v", err)
	}
	peak, err := site.daemon.PeakResidentBytes()
	if err != nil {
		t.Fatal(err)
	}
	sent, answered := harmless.sent.Load(), harmless.answered.Load()
	t.Logf("got a peak of %d kB (%d kB before), %d answers of slow callers that began, %d of %d harmless requests answered in time",
		peak>>10, idle>>10, begun.Load(), answered, sent)
	if begun.Load() < memoryCallers/2 {
		t.Errorf("got %d answers to slow callers that began, want more: this is no load", begun.Load())
	}
	if minSent := int64(memoryFor / harmlessEach / 4); sent < minSent {
		t.Errorf("got %d harmless requests beside a full daemon, want at least %d", sent, minSent)
	}
	if wrong := harmless.wrong.Load(); answered*4 < 3*sent || wrong > 0 {
		t.Errorf("got %d of %d harmless requests answered within %v and %d answered wrong, want at least three quarters and none", answered, sent, harmlessLimit, wrong)
	}
	if peak > daemonBytes {
		t.Errorf("got a peak of %d bytes, want at most %d", peak, daemonBytes)
	}
	if log, err := os.ReadFile(site.log); err != nil || t.Failed() {
		t.Logf("%v, the end of the log: %s", err, log[max(0, len(log)-2000):])
	}
}
