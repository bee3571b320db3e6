package dogwoodpeer

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"
)

// readPause is the pause before each read of a slow connection.
const readPause = 10 * time.Millisecond

// slowNetwork is a pipeNetwork over which a client receives 400 kB a second.
type slowNetwork struct {
	*pipeNetwork
}

func (network slowNetwork) Dial(ctx context.Context, peer netip.AddrPort) (net.Conn, error) {
	conn, err := network.pipeNetwork.Dial(ctx, peer)
	return slowConn{Conn: conn}, err
}

type slowConn struct {
	net.Conn
}

func (conn slowConn) Read(buffer []byte) (int, error) {
	time.Sleep(readPause)
	return conn.Conn.Read(buffer[:min(len(buffer), 4000)])
}

// Guards against a large reply that is cut after two seconds although it arrives, and never reaches its caller.
func TestLargeReplyCrossesSlowLink(t *testing.T) {
	runWithClient(t, "secret", func(ctx context.Context, fast *Client, _ *testReceiver, network *pipeNetwork) {
		client := NewClient(ctx, "secret", slowNetwork{network}, fast.logger)
		defer func() {
			client.Close()
			time.Sleep(readPause) // the connection's reader ends after its pause
		}()
		const size = 2_000_000
		var got []byte
		begun := time.Now()
		if err := client.Call(ctx, peerAddress, "Test.Large", size, &got); err != nil {
			t.Errorf("got %v after %s, want an answer", err, time.Since(begun))
			return
		}
		if len(got) != size {
			t.Errorf("got %d bytes, want %d", len(got), size)
		}
	})
}
