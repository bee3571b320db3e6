package dogwoodsoak

import (
	"bytes"
	"context"
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
	// daemonBytes is the daemon's memory in bytes.
	daemonBytes = daemonMemoryMB * 1_000_000
)

// memorySite is a daemon in a process of its own, with a store and endpoints in the test's process.
type memorySite struct {
	daemon  *dogwoodsoakprocess.Process
	address netip.AddrPort
	log     string
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

// ask sends a harmless request until it is answered. It reports whether the answer is right.
func (site *memorySite) ask(ctx context.Context, client *http.Client, id string) (bool, error) {
	const target = "/small/x?y=1"
	for try := 0; ctx.Err() == nil; try++ {
		id := fmt.Sprintf("%s-%d", id, try)
		request, err := site.request(ctx, id, target)
		if err != nil {
			return false, err
		}
		response, err := client.Do(request)
		if err != nil {
			dogwoodkernel.Sleep(ctx, 100*time.Millisecond) // the daemon may not listen yet
			continue
		}
		answer, err := io.ReadAll(response.Body)
		_ = response.Body.Close() // it was read completely, or reading it failed
		if err == nil && response.StatusCode == http.StatusOK {
			return string(answer) == dogwoodstandin.Answer(id, target, "body", 0), nil
		}
		dogwoodkernel.Sleep(ctx, 100*time.Millisecond)
	}
	return false, ctx.Err()
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
// all its requests: its buffers are bounded, but what the rest of the process takes for a thousand of them counts too.
func TestDaemonStaysWithinItsMemoryBesideSlowCallers(t *testing.T) {
	if testing.Short() {
		t.Skip("runs a daemon in a process for 12 s")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	site := startMemorySite(ctx, t)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	if right, err := site.ask(ctx, client, "first"); !right {
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
	harmless := 0
	for ; loadCtx.Err() == nil; harmless++ {
		if right, err := site.ask(ctx, client, fmt.Sprintf("harmless-%d", harmless)); !right {
			t.Fatalf("got no right answer to request %d beside slow callers: %v", harmless, err)
		}
		dogwoodkernel.Sleep(loadCtx, 20*time.Millisecond)
	}
	_ = group.Wait() // callers return no error
	peak, err := site.daemon.PeakResidentBytes()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("got a peak of %d kB (%d kB before), %d answers of slow callers that began, %d harmless ones", peak>>10, idle>>10, begun.Load(), harmless)
	if begun.Load() < memoryCallers/2 {
		t.Errorf("got %d answers to slow callers that began, want more: this is no load", begun.Load())
	}
	if peak > daemonBytes {
		t.Errorf("got a peak of %d bytes, want at most %d", peak, daemonBytes)
	}
	if log, err := os.ReadFile(site.log); err != nil || t.Failed() {
		t.Logf("%v, the end of the log: %s", err, log[max(0, len(log)-2000):])
	}
}
