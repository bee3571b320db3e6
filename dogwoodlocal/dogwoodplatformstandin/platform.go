package dogwoodplatformstandin

import (
	"context"
	"crypto/subtle"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Options configure a platform stand-in.
type Options struct {
	// Listeners of the table, object, VM list and weight services; nil means a free port on
	// loopback.
	Tables  net.Listener
	Objects net.Listener
	VMs     net.Listener
	Weights net.Listener
	// Key is the bearer key that every call must send; empty means that none is needed.
	Key  string
	Seed uint64
	// WeightLoads bounds the loads that the weight store admits per WeightLoadWindow; 0 means no
	// bound.
	WeightLoads      int
	WeightLoadWindow time.Duration
}

// Platform serves the stand-ins over HTTP until its context ends or Close is called.
type Platform struct {
	// Addresses of the four services.
	Tables  netip.AddrPort
	Objects netip.AddrPort
	VMs     netip.AddrPort
	Weights netip.AddrPort

	store      *Store
	key        string
	maxLoads   int
	loadWindow time.Duration
	group      *errgroup.Group
	servers    []*http.Server

	mutex         sync.Mutex
	faults        Faults
	vms           []dogwoodfleet.ListedVM
	vmListVersion int
	vmsDown       bool
	loadStarts    []time.Time
	closeOnce     sync.Once
}

// Start starts a platform that serves until the context ends or Close is called.
func Start(ctx context.Context, options Options) (*Platform, error) {
	platform := &Platform{
		store:      NewStore(options.Seed),
		key:        options.Key,
		maxLoads:   options.WeightLoads,
		loadWindow: options.WeightLoadWindow,
		group:      &errgroup.Group{},
	}
	for _, service := range []struct {
		listener net.Listener
		address  *netip.AddrPort
		handler  http.Handler
	}{
		{options.Tables, &platform.Tables, platform.tableHandler()},
		{options.Objects, &platform.Objects, platform.objectHandler()},
		{options.VMs, &platform.VMs, platform.vmHandler()},
		{options.Weights, &platform.Weights, platform.weightHandler()},
	} {
		if err := platform.serve(ctx, service.listener, service.address, service.handler); err != nil {
			return nil, errors.Join(err, platform.Close())
		}
	}
	context.AfterFunc(ctx, func() { _ = platform.Close() })
	return platform, nil
}

func (platform *Platform) serve(
	ctx context.Context, listener net.Listener, address *netip.AddrPort, handler http.Handler,
) error {
	if listener == nil {
		opened, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return Error.Wrap(err)
		}
		listener = opened
	}
	if parsed, err := netip.ParseAddrPort(listener.Addr().String()); err == nil {
		*address = parsed
	}
	server := &http.Server{Handler: platform.authorised(handler), ReadHeaderTimeout: time.Minute}
	platform.servers = append(platform.servers, server)
	platform.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return Error.Wrap(err)
		}
		return nil
	})
	return nil
}

// Close closes the servers and their connections and waits until they have ended.
func (platform *Platform) Close() error {
	var err error
	platform.closeOnce.Do(func() {
		for _, server := range platform.servers {
			err = errors.Join(err, server.Close())
		}
		err = errors.Join(err, platform.group.Wait())
	})
	return err
}

// Store returns the store behind the table and object services.
func (platform *Platform) Store() *Store {
	return platform.store
}

// Down makes the table and object services fail every call as unavailable (true) or serve
// again (false).
func (platform *Platform) Down(down bool) {
	platform.store.SetDown(down)
}

// Slow delays every call of the table and object services by a random time up to delay.
func (platform *Platform) Slow(delay time.Duration) {
	platform.changeFaults(func(faults *Faults) { faults.Delay = delay })
}

// LoseAnswers makes the given share of writes take effect without an answer; the same share
// of reads gets no answer either.
func (platform *Platform) LoseAnswers(share float64) {
	platform.changeFaults(func(faults *Faults) { faults.LoseAnswers = share })
}

// StaleReads makes the given share of reads return an older state.
func (platform *Platform) StaleReads(share float64) {
	platform.changeFaults(func(faults *Faults) { faults.StaleReads = share })
}

// SetFaults replaces all faults of the table and object services.
func (platform *Platform) SetFaults(faults Faults) {
	platform.changeFaults(func(current *Faults) { *current = faults })
}

func (platform *Platform) changeFaults(change func(*Faults)) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	change(&platform.faults)
	platform.store.SetFaults(platform.faults)
}

// Reads returns the number of reads that the table and object services received.
func (platform *Platform) Reads() int {
	return platform.store.Reads()
}

// Writes returns the number of rows in the writes that the table service received.
func (platform *Platform) Writes() int {
	_, rows := platform.store.Writes()
	return rows
}

// SetVMs replaces the VM list.
func (platform *Platform) SetVMs(vms []dogwoodfleet.ListedVM) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.vms = vms
	platform.vmListVersion++
}

// SetVMsDown makes the VM list fail every call as unavailable (true) or answer again (false).
func (platform *Platform) SetVMsDown(down bool) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.vmsDown = down
}

func (platform *Platform) authorised(handler http.Handler) http.Handler {
	if platform.key == "" {
		return handler
	}
	want := []byte("Bearer " + platform.key)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if subtle.ConstantTimeCompare([]byte(request.Header.Get("Authorization")), want) != 1 {
			writer.WriteHeader(http.StatusUnauthorized)
			return
		}
		handler.ServeHTTP(writer, request)
	})
}
