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

// notWithin is how long a test looks for bytes that must not come, within how long it waits for those
// that must.
const (
	notWithin = 100 * time.Millisecond
	within    = 5 * time.Second
)

// startEcho listens and sends each line back.
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
				return nil // it was closed
			}
			group.Go(func() error {
				defer func() { _ = connection.Close() }()
				_, _ = io.Copy(connection, connection) // the tests break it
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

// line is a connection by way of a proxy.
type line struct {
	net.Conn
	reader *bufio.Reader
}

func startProxy(t *testing.T) (*Proxy, *line) {
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

func dial(t *testing.T, proxy *Proxy) *line {
	t.Helper()
	connected, err := tryDial(t, proxy)
	if err != nil {
		t.Fatal(err)
	}
	return connected
}

func tryDial(t *testing.T, proxy *Proxy) (*line, error) {
	t.Helper()
	connection, err := net.Dial("tcp", proxy.Address().String())
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = connection.Close() })
	return &line{Conn: connection, reader: bufio.NewReader(connection)}, nil
}

// say sends a line and returns the next one that comes back.
func (line *line) say(words string, wait time.Duration) (string, error) {
	if _, err := io.WriteString(line, words+"\n"); err != nil {
		return "", err
	}
	return line.hear(wait)
}

func (line *line) hear(wait time.Duration) (string, error) {
	if err := line.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return "", err
	}
	return line.reader.ReadString('\n')
}

// Bytes that a silent connection holds back come when it speaks again, in their order: a cut that ends
// loses nothing.
func TestMutedBytesComeLater(t *testing.T) {
	for _, fault := range []Fault{{Mute: true}, {MuteBack: true}} {
		proxy, line := startProxy(t)
		if got, err := line.say("one", within); err != nil || got != "one\n" {
			t.Fatalf("got %q and %v, want the line", got, err)
		}
		proxy.Set(fault)
		if got, err := line.say("two", notWithin); err == nil {
			t.Errorf("%+v: got %q, want nothing", fault, got)
		}
		proxy.Set(Fault{})
		if got, err := line.hear(within); err != nil || got != "two\n" {
			t.Errorf("%+v: got %q and %v, want the line that was held back", fault, got, err)
		}
	}
}

// A reset is seen as a reset, not as an end: an answer that has no length must not look whole.
func TestAResetIsNoEnd(t *testing.T) {
	proxy, line := startProxy(t)
	if _, err := line.say("one", within); err != nil {
		t.Fatal(err)
	}
	proxy.Reset()
	if got, err := line.hear(within); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %q and %v, want a reset", got, err)
	}
	if got, err := dial(t, proxy).say("two", within); err != nil || got != "two\n" {
		t.Errorf("a new connection: got %q and %v, want the line", got, err)
	}
	proxy.Set(Fault{Refused: true})
	refused, err := tryDial(t, proxy)
	if err != nil {
		return // the reset came before the connection was made
	}
	if got, err := refused.say("three", within); err == nil {
		t.Errorf("a refused connection: got %q, want an error", got)
	}
}

// One end closes its sending side; the other goes on, and its end is passed on, too.
func TestAnEndIsPassedOn(t *testing.T) {
	_, line := startProxy(t)
	if _, err := io.WriteString(line, "last\n"); err != nil {
		t.Fatal(err)
	}
	if err := line.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if got, err := line.hear(within); err != nil || got != "last\n" {
		t.Errorf("got %q and %v, want the line", got, err)
	}
	if _, err := line.hear(within); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want the end", err)
	}
}

func TestDelay(t *testing.T) {
	proxy, line := startProxy(t)
	const delay = 60 * time.Millisecond
	proxy.Set(Fault{Delay: delay})
	sent := time.Now()
	if got, err := line.say("late", within); err != nil || got != "late\n" {
		t.Fatalf("got %q and %v, want the line", got, err)
	}
	if took := time.Since(sent); took < 2*delay {
		t.Errorf("got it after %s, want %s each way", took, delay)
	}
}
