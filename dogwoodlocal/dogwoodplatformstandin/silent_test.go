package dogwoodplatformstandin

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/edge/dogwoodplatform"
	"dogwoodmux.example/core/state/dogwoodtable"
	"dogwoodmux.example/dogwoodlocal/dogwoodnetwork"
)

// dialer connects over an in-memory network.
type dialer struct {
	memory *dogwoodnetwork.Memory
}

func (dialer dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.memory.Dial(ctx, network, address)
}

// A device between a daemon and the table service loses the state of all open connections;
// new ones work. If every idle connection made one call time out, sixteen of them would open
// the circuit breaker, and no call could be claimed for 15 seconds.
func TestSilentConnectionsFailOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		address := netip.MustParseAddrPort("10.0.0.1:7001")
		memory := dogwoodnetwork.NewMemory()
		listener, err := memory.Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		platform := &Platform{store: NewStore(1)}
		host, err := dogwoodnetwork.Serve(listener, platform.tableHandler())
		if err != nil {
			t.Fatal(err)
		}
		client := dogwoodplatform.New(dogwoodplatform.Options{Tables: address, Dialer: dialer{memory: memory}})
		defer client.Close()
		defer host.Close()
		platform.SetFaults(Faults{Delay: 100 * time.Millisecond})
		var group sync.WaitGroup
		for i := range 16 {
			group.Go(func() {
				if _, err := client.Commit(t.Context(), dogwoodtable.Write{Table: "t", Key: fmt.Sprint(i)}); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
		host.Silence(true)
		if _, err := client.Commit(t.Context(), dogwoodtable.Write{Table: "t", Key: "first"}); !dogwoodtable.IsUnknown(err) {
			t.Errorf("first call: got %v, want unknown", err)
		}
		for i := range 20 {
			if _, err := client.Commit(t.Context(), dogwoodtable.Write{Table: "t", Key: fmt.Sprint("later", i)}); err != nil {
				t.Errorf("call %d: got %v, want none", i+2, err)
			}
		}
	})
}
