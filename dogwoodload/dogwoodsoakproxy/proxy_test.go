package dogwoodsoakproxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// silenceTimeout is how long a test waits for data that must not arrive, readTimeout how long for data that must.
const (
	silenceTimeout = 100 * time.Millisecond
	readTimeout    = 5 * time.Second
)

// startEcho starts a server that sends all data back.
func startEcho(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return nil // the listener was closed
			}
			group.Go(func() error {
				defer func() { _ = connection.Close() }()
				_, _ = io.Copy(connection, connection) // the tests break the connection
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// client is a connection through a proxy.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func startProxy(t *testing.T) (*Proxy, *client) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	proxy, err := Start(ctx, startEcho(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if err := proxy.Wait(); err != nil {
			t.Error(err)
		}
	})
	return proxy, dial(t, proxy)
}

func dial(t *testing.T, proxy *Proxy) *client {
	t.Helper()
	connected, err := tryDial(t, proxy)
	if err != nil {
		t.Fatal(err)
	}
	return connected
}

func tryDial(t *testing.T, proxy *Proxy) (*client, error) {
	t.Helper()
	connection, err := net.Dial("tcp", proxy.Address().String())
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = connection.Close() })
	return &client{Conn: connection, reader: bufio.NewReader(connection)}, nil
}

// exchange sends a line and returns the next one that is received.
func (client *client) exchange(text string, timeout time.Duration) (string, error) {
	if _, err := io.WriteString(client, text+"\n"); err != nil {
		return "", err
	}
	return client.read(timeout)
}

func (client *client) read(timeout time.Duration) (string, error) {
	if err := client.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return "", err
	}
	return client.reader.ReadString('\n')
}

// Data that a fault holds back arrives when the fault ends: no data is lost.
func TestHeldBackDataArrivesLater(t *testing.T) {
	for _, fault := range []Fault{{Mute: true}, {MuteFromTarget: true}} {
		proxy, client := startProxy(t)
		if got, err := client.exchange("one", readTimeout); err != nil || got != "one\n" {
			t.Fatalf("got %q and %v, want the line", got, err)
		}
		proxy.SetFault(fault)
		if got, err := client.exchange("two", silenceTimeout); err == nil {
			t.Errorf("%+v: got %q, want nothing", fault, got)
		}
		proxy.SetFault(Fault{})
		if got, err := client.read(readTimeout); err != nil || got != "two\n" {
			t.Errorf("%+v: got %q and %v, want the line that was held back", fault, got, err)
		}
	}
}

// A cut holds back the data of the sources that are cut off, of connections opened before and meanwhile, and of no others.
func TestCutOffHoldsBackDataOfItsSources(t *testing.T) {
	proxy, before := startProxy(t)
	other, meanwhile := dial(t, proxy), dial(t, proxy)
	for _, client := range []*client{before, other} {
		if got, err := client.exchange("one", readTimeout); err != nil || got != "one\n" {
			t.Fatalf("got %q and %v, want the line", got, err)
		}
	}
	proxy.SetCutOff(func(source, _ netip.AddrPort) bool { return source.String() != other.LocalAddr().String() })
	if got, err := other.exchange("two", readTimeout); err != nil || got != "two\n" {
		t.Errorf("got %q and %v from a source that is not cut off, want the line", got, err)
	}
	for _, client := range []*client{before, meanwhile} {
		if got, err := client.exchange("two", silenceTimeout); err == nil {
			t.Errorf("got %q, want nothing", got)
		}
	}
	proxy.SetCutOff(nil)
	for _, client := range []*client{before, meanwhile} {
		if got, err := client.read(readTimeout); err != nil || got != "two\n" {
			t.Errorf("got %q and %v, want the line that was held back", got, err)
		}
	}
}

// A reset reaches the peer as a reset and not as an orderly end: an answer without a length must not look complete.
func TestResetIsNotOrderlyEnd(t *testing.T) {
	proxy, client := startProxy(t)
	if _, err := client.exchange("one", readTimeout); err != nil {
		t.Fatal(err)
	}
	proxy.Reset()
	if got, err := client.read(readTimeout); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %q and %v, want a reset", got, err)
	}
	if got, err := dial(t, proxy).exchange("two", readTimeout); err != nil || got != "two\n" {
		t.Errorf("a new connection: got %q and %v, want the line", got, err)
	}
	proxy.SetFault(Fault{Refused: true})
	refused, err := tryDial(t, proxy)
	if err != nil {
		return // the connection was reset before it was established
	}
	if got, err := refused.exchange("three", readTimeout); err == nil {
		t.Errorf("a refused connection: got %q, want an error", got)
	}
}

// If the client closes its sending side, it still receives data, and the server's end is forwarded, too.
func TestEndIsForwarded(t *testing.T) {
	_, client := startProxy(t)
	if _, err := io.WriteString(client, "last\n"); err != nil {
		t.Fatal(err)
	}
	if err := client.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if got, err := client.read(readTimeout); err != nil || got != "last\n" {
		t.Errorf("got %q and %v, want the line", got, err)
	}
	if _, err := client.read(readTimeout); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want the end", err)
	}
}

// A delay must apply in each direction.
func TestDelay(t *testing.T) {
	proxy, client := startProxy(t)
	const delay = 60 * time.Millisecond
	proxy.SetFault(Fault{Delay: delay})
	sent := time.Now()
	if got, err := client.exchange("late", readTimeout); err != nil || got != "late\n" {
		t.Fatalf("got %q and %v, want the line", got, err)
	}
	if took := time.Since(sent); took < 2*delay {
		t.Errorf("got it after %s, want %s each way", took, delay)
	}
}
