package dogwoodpeer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
)

var peerAddress = netip.MustParseAddrPort("10.0.0.1:7000")

// pipeNetwork is a Listener and a Dialer connected by net.Pipe. Once silent is set, the first
// connection discards what the client writes.
type pipeNetwork struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	dials  atomic.Int64
	silent atomic.Bool
}

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (network *pipeNetwork) Accept() (net.Conn, error) {
	select {
	case conn := <-network.conns:
		return conn, nil
	case <-network.closed:
		return nil, net.ErrClosed
	}
}

func (network *pipeNetwork) Close() error {
	network.once.Do(func() { close(network.closed) })
	return nil
}

func (network *pipeNetwork) Dial(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case network.conns <- far:
		network.dials.Add(1)
		return &blackholeConn{Conn: near, network: network, number: network.dials.Load()}, nil
	case <-network.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// blackholeConn discards writes if it is the first connection and the network is silent.
type blackholeConn struct {
	net.Conn
	network *pipeNetwork
	number  int64
}

func (conn *blackholeConn) Write(data []byte) (int, error) {
	if conn.number == 1 && conn.network.silent.Load() {
		return len(data), nil
	}
	return conn.Conn.Write(data)
}

type testReceiver struct {
	calls   atomic.Int64
	release chan struct{}
}

func (receiver *testReceiver) Double(number int, reply *int) error {
	receiver.calls.Add(1)
	*reply = 2 * number
	return nil
}

func (receiver *testReceiver) Wait(_ int, reply *int) error {
	receiver.calls.Add(1)
	<-receiver.release
	*reply = 7
	return nil
}

func (receiver *testReceiver) Panic(int, *int) error {
	panic("odd call")
}

func (receiver *testReceiver) Fail(int, *int) error {
	return errors.New("broken")
}

func (receiver *testReceiver) Large(size int, reply *[]byte) error {
	*reply = make([]byte, size)
	return nil
}

// Late replies with 100 kB after a delay.
func (receiver *testReceiver) Late(delay time.Duration, reply *[]byte) error {
	time.Sleep(delay)
	*reply = make([]byte, 100_000)
	return nil
}

// runWithClient starts a server with the key "secret" and a client with the given key, and
// runs the body inside a synctest bubble.
func runWithClient(t *testing.T, clientKey string, body func(ctx context.Context, client *Client, receiver *testReceiver, network *pipeNetwork)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := newPipeNetwork()
		receiver := &testReceiver{release: make(chan struct{})}
		server := NewServer("secret", hclog.NewNullLogger())
		if err := server.Register("Test", receiver); err != nil {
			t.Fatal(err)
		}
		var group sync.WaitGroup
		group.Go(func() {
			if err := server.Serve(ctx, network); err != nil {
				t.Error(err)
			}
		})
		client := NewClient(ctx, clientKey, network, hclog.NewNullLogger())
		body(ctx, client, receiver, network)
		close(receiver.release)
		cancel()
		client.Close()
		group.Wait()
	})
}

// Guards against a new connection for every call, and against an error of a method that is reported
// as an unreachable peer.
func TestCallsShareOneConnection(t *testing.T) {
	runWithClient(t, "secret", func(ctx context.Context, client *Client, _ *testReceiver, network *pipeNetwork) {
		for number := range 3 {
			var got int
			if err := client.Call(ctx, peerAddress, "Test.Double", number, &got); err != nil {
				t.Fatal(err)
			}
			if want := 2 * number; got != want {
				t.Errorf("got %d, want %d", got, want)
			}
		}
		if got, want := network.dials.Load(), int64(1); got != want {
			t.Errorf("got %d dials, want %d", got, want)
		}
		var reply int
		err := client.Call(ctx, peerAddress, "Test.Fail", 1, &reply)
		if remote := (*RemoteError)(nil); !errors.As(err, &remote) {
			t.Errorf("got %v, want a RemoteError", err)
		}
	})
}

// Guards against a daemon that crashes because a method panics on what one peer sent. The other calls on the
// connection are answered.
func TestPanicOfMethodEndsOnlyItsCall(t *testing.T) {
	runWithClient(t, "secret", func(ctx context.Context, client *Client, receiver *testReceiver, network *pipeNetwork) {
		var group sync.WaitGroup
		group.Go(func() {
			var got int
			if err := client.Call(ctx, peerAddress, "Test.Wait", 1, &got); err != nil || got != 7 {
				t.Errorf("the running call: got %v and %d, want 7", err, got)
			}
		})
		synctest.Wait()
		for range 2 {
			var reply int
			err := client.Call(ctx, peerAddress, "Test.Panic", 1, &reply)
			if remote := (*RemoteError)(nil); !errors.As(err, &remote) {
				t.Errorf("got %v, want a RemoteError", err)
			}
		}
		receiver.release <- struct{}{}
		group.Wait()
		if got, want := network.dials.Load(), int64(1); got != want {
			t.Errorf("got %d dials, want %d", got, want)
		}
	})
}

// Guards against a connection that stops answering after a call of an unknown method.
func TestUnknownMethodEndsOnlyItsCall(t *testing.T) {
	runWithClient(t, "secret", func(ctx context.Context, client *Client, _ *testReceiver, network *pipeNetwork) {
		var reply int
		err := client.Call(ctx, peerAddress, "Test.None", 1, &reply)
		if remote := (*RemoteError)(nil); !errors.As(err, &remote) {
			t.Errorf("got %v, want a RemoteError", err)
		}
		if err := client.Call(ctx, peerAddress, "Test.Double", 2, &reply); err != nil || reply != 4 {
			t.Errorf("got %v and %d, want 4", err, reply)
		}
		if got, want := network.dials.Load(), int64(1); got != want {
			t.Errorf("got %d dials, want %d", got, want)
		}
	})
}

// A client with another key must not get a method run, and its call must be reported as not sent.
func TestClientWithWrongKeyIsRejected(t *testing.T) {
	runWithClient(t, "guess", func(ctx context.Context, client *Client, receiver *testReceiver, _ *pipeNetwork) {
		var reply int
		err := client.Call(ctx, peerAddress, "Test.Double", 1, &reply)
		var unreachable *UnreachableError
		if !errors.As(err, &unreachable) || unreachable.Sent {
			t.Errorf("got %v, want an UnreachableError that was not sent", err)
		}
		if got := receiver.calls.Load(); got != 0 {
			t.Errorf("got %d calls, want 0", got)
		}
	})
}

// A caller gives up on a slow call because its context ends. Another call on the same
// connection must still be answered, and the late reply must not be written into the first
// caller's memory, which it may already reuse.
func TestAbandonedCallDoesNotAffectOthers(t *testing.T) {
	runWithClient(t, "secret", func(ctx context.Context, client *Client, receiver *testReceiver, network *pipeNetwork) {
		short, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		late := -1
		if err := client.Call(short, peerAddress, "Test.Wait", 1, &late); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got %v, want the deadline", err)
		}
		var got int
		if err := client.Call(ctx, peerAddress, "Test.Double", 4, &got); err != nil {
			t.Fatal(err)
		}
		receiver.release <- struct{}{}
		synctest.Wait()
		if late != -1 {
			t.Errorf("got a late reply %d written into the caller's memory", late)
		}
		if got, want := network.dials.Load(), int64(1); got != want {
			t.Errorf("got %d dials, want %d", got, want)
		}
	})
}

// A device on the network path loses the state of a connection: both ends stay open and no
// byte arrives. A pending call must fail within seconds instead of at its deadline and must
// not be run a second time, and the next call must work on a new connection.
func TestSilentConnectionIsRedialled(t *testing.T) {
	runWithClient(t, "secret", func(ctx context.Context, client *Client, receiver *testReceiver, network *pipeNetwork) {
		var got int
		if err := client.Call(ctx, peerAddress, "Test.Double", 1, &got); err != nil {
			t.Fatal(err)
		}
		network.silent.Store(true)
		start := time.Now()
		err := client.Call(ctx, peerAddress, "Test.Double", 2, &got)
		var unreachable *UnreachableError
		if !errors.As(err, &unreachable) || !unreachable.Sent {
			t.Errorf("got %v, want an UnreachableError whose call was sent", err)
		}
		if took, want := time.Since(start), 3*time.Second; took > want {
			t.Errorf("silence detected after %v, want at most %v", took, want)
		}
		if err := client.Call(ctx, peerAddress, "Test.Double", 3, &got); err != nil {
			t.Fatal(err)
		}
		if got, want := receiver.calls.Load(), int64(2); got != want {
			t.Errorf("got %d calls, want %d", got, want)
		}
	})
}

// Guards against a connection that has gone silent and costs each of the calls on it a bound of its own: callers that give up sooner
// than the silence is noticed, and call again, must reach the peer over a new connection as soon as one call that waits would.
func TestSilentConnectionCostsItsCallsOneBound(t *testing.T) {
	const (
		callers, patience = 8, 400 * time.Millisecond
		bound             = 2*silenceBeforePing + pingTimeout // the first part is noticed with the next tick
	)
	runWithClient(t, "secret", func(ctx context.Context, client *Client, _ *testReceiver, network *pipeNetwork) {
		call := func() error {
			ctx, cancel := context.WithTimeout(ctx, patience)
			defer cancel()
			var got int
			return client.Call(ctx, peerAddress, "Test.Double", 1, &got)
		}
		if err := call(); err != nil {
			t.Fatal(err)
		}
		network.silent.Store(true)
		began := time.Now()
		var group sync.WaitGroup
		for range callers {
			group.Go(func() {
				for call() != nil {
					if time.Since(began) > time.Minute {
						t.Error("got no answer")
						return
					}
				}
				if got := time.Since(began); got > bound {
					t.Errorf("got an answer %s after the silence began, want it after %s", got, bound)
				}
			})
		}
		group.Wait()
		if got, want := network.dials.Load(), int64(2); got != want {
			t.Errorf("got %d dials, want %d", got, want)
		}
	})
}

// A call that waits in a queue for a slot may take minutes. No other bytes arrive on the
// connection meanwhile, but the peer answers pings, so the connection must be kept.
func TestLongCallKeepsItsConnection(t *testing.T) {
	runWithClient(t, "secret", func(ctx context.Context, client *Client, receiver *testReceiver, network *pipeNetwork) {
		var group sync.WaitGroup
		group.Go(func() {
			time.Sleep(10 * time.Minute)
			receiver.release <- struct{}{}
		})
		var got int
		if err := client.Call(ctx, peerAddress, "Test.Wait", 1, &got); err != nil {
			t.Fatal(err)
		}
		group.Wait()
		if got, want := network.dials.Load(), int64(1); got != want {
			t.Errorf("got %d dials, want %d", got, want)
		}
	})
}

// Guards against a call in progress when either daemon ends that is reported as one that did not run, after which it would be
// made again.
func TestCallInProgressAtTheEndOfADaemonMayHaveRun(t *testing.T) {
	for _, callerEnds := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			serverContext, endServer := context.WithCancel(ctx)
			network, receiver := newPipeNetwork(), &testReceiver{release: make(chan struct{})}
			server := NewServer("secret", hclog.NewNullLogger())
			if err := server.Register("Test", receiver); err != nil {
				t.Fatal(err)
			}
			var group sync.WaitGroup
			group.Go(func() { _ = server.Serve(serverContext, network) })
			client := NewClient(ctx, "secret", network, hclog.NewNullLogger())
			var err error
			var call sync.WaitGroup
			call.Go(func() {
				var reply int
				err = client.Call(ctx, peerAddress, "Test.Wait", 1, &reply)
			})
			synctest.Wait()
			if callerEnds {
				client.Close()
			} else {
				endServer()
			}
			call.Wait()
			var unreachable *UnreachableError
			if !errors.As(err, &unreachable) || !unreachable.Sent {
				t.Errorf("caller ends %t: got %v, want an UnreachableError that may have been sent", callerEnds, err)
			}
			if got := receiver.calls.Load(); got != 1 {
				t.Errorf("caller ends %t: got %d calls, want 1", callerEnds, got)
			}
			close(receiver.release)
			endServer()
			cancel()
			client.Close()
			group.Wait()
		})
	}
}
