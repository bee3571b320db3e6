package dogwoodserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Guards against a request that came with the one before, and is ended as if its caller had left, since its connection was
// released between the two.
func TestReleaseEndsNoPipelinedRequest(t *testing.T) {
	for range 100 {
		handling, ended := make(chan struct{}, 2), make(chan error, 2)
		fixture := newFixture(t, func(writer http.ResponseWriter, received *http.Request) {
			handling <- struct{}{}
			select {
			case <-received.Context().Done():
			case <-time.After(5 * time.Millisecond):
			}
			ended <- context.Cause(received.Context())
			answers(writer, received)
		})
		fixture.dial(t).write(t, request+request)
		<-handling
		var group sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		group.Go(func() {
			for ctx.Err() == nil {
				fixture.release(false)
			}
		})
		var got error
		for range 2 {
			select {
			case err := <-ended:
				got = errors.Join(got, err)
			case <-time.After(time.Second): // the connection was closed before its second request was handled
			}
		}
		cancel()
		group.Wait()
		if got != nil {
			t.Fatalf("got a request that was ended with %v, want that it runs to its end", got)
		}
	}
}

// Guards against a connection on which a handler runs, and whose reads fail since it was released before.
func TestBegunRequestIsNotReleased(t *testing.T) {
	sending, accepted := newPair(t)
	connection := &connection{Conn: accepted, server: &Server{}}
	connection.idle()
	connection.release() // the request is in the buffer of net/http by now
	connection.begin()
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(50 * time.Millisecond)
		_, _ = sending.Write([]byte("body"))
	})
	defer group.Wait()
	buffer := make([]byte, 10)
	if count, err := connection.Read(buffer); err != nil || string(buffer[:count]) != "body" {
		t.Errorf("got %q, %v, want the body", buffer[:count], err)
	}
}

// Guards against a request that is closed 0.2 s after the one before, since the part of it that came with that one is in net/http's
// buffer.
func TestDrainWaitsForTheRestOfPipelinedRequests(t *testing.T) {
	tests := []struct {
		name string
		rest time.Duration // when the rest is sent; 0 for never
		want bool
	}{
		{"the rest comes", 2 * maxFirstBytes, true},
		{"the rest never comes", 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t, answers)
			sending := fixture.dial(t)
			sending.write(t, request+request[:len(request)/2])
			if status, err := sending.read(); status != http.StatusOK || err != nil {
				t.Fatalf("got %d, %v, want 200", status, err)
			}
			var group sync.WaitGroup
			group.Go(func() { fixture.drain(t) })
			if test.rest > 0 {
				time.Sleep(test.rest)
				sending.write(t, request[len(request)/2:])
			}
			status, err := sending.read()
			if got := status == http.StatusOK && err == nil; got != test.want {
				t.Errorf("got %d, %v, want it answered: %t", status, err, test.want)
			}
			group.Wait()
			if got := strings.Contains(fixture.log.String(), "not handled"); got == test.want {
				t.Errorf("got the log %q, want a line of a request that was not handled: %t", fixture.log.String(), !test.want)
			}
		})
	}
}

// Guards against a request that has arrived on a released connection, and whose read is ended by a second release.
func TestSecondReleaseEndsNoRead(t *testing.T) {
	sending, accepted := newPair(t)
	hooked := &hookedConn{Conn: accepted}
	connection := &connection{Conn: hooked, server: &Server{}}
	hooked.beforeRead = func(number int) {
		connection.release()
		if number == 1 { // the read that fails for the release; the request arrives before it is known
			_, _ = sending.Write([]byte("request"))
			for !connection.hasUnread() {
				time.Sleep(time.Millisecond)
			}
		}
	}
	buffer := make([]byte, 10)
	if count, err := connection.Read(buffer); err != nil || string(buffer[:count]) != "request" {
		t.Errorf("got %q, %v, want the request", buffer[:count], err)
	}
}

// hookedConn calls a function before each read, with the read's number.
type hookedConn struct {
	net.Conn
	reads      int
	beforeRead func(number int)
}

func (hooked *hookedConn) SyscallConn() (syscall.RawConn, error) {
	return hooked.Conn.(syscall.Conn).SyscallConn()
}

func (hooked *hookedConn) Read(target []byte) (int, error) {
	hooked.reads++
	hooked.beforeRead(hooked.reads)
	return hooked.Conn.Read(target)
}

// newPair returns the two ends of a connection.
func newPair(t *testing.T) (sending net.Conn, accepted *net.TCPConn) {
	t.Helper()
	accepting, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepting.Close() }()
	sending, err = (&net.Dialer{}).DialContext(t.Context(), "tcp", accepting.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = sending.Close() })
	conn, err := accepting.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return sending, conn.(*net.TCPConn)
}
