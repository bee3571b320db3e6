package dogwoodpeer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Guards against connections that show no key and take the descriptors of a daemon, or keep out those of other daemons.
func TestHandshakesAreBounded(t *testing.T) {
	const most = 3
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer("key", hclog.NewNullLogger())
	server.LimitHandshakes(func() int { return most })
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { _ = server.Serve(ctx, listener) }) // it ends with the context
	open := func() int {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		return len(server.connections)
	}
	dialer := &net.Dialer{}
	for range 10 * most {
		silent, err := dialer.DialContext(ctx, "tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = silent.Close() }()
	}
	client := NewClient(ctx, "key", DialerFunc(func(ctx context.Context, peer netip.AddrPort) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", peer.String())
	}), hclog.NewNullLogger())
	defer client.Close()
	var reply bool
	if err := client.Call(ctx, netip.MustParseAddrPort(listener.Addr().String()), pingService+".Ping", true, &reply); err != nil || !reply {
		t.Errorf("got %t, %v, want an answer beside silent connections", reply, err)
	}
	for deadline := time.Now().Add(handshakeTimeout / 2); open() > most+1; time.Sleep(time.Millisecond) { // those before it ends by itself
		if time.Now().After(deadline) {
			t.Fatalf("got %d open connections, want at most %d", open(), most+1)
		}
	}
}
