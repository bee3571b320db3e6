package dogwoodserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
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
	connection := &connection{Conn: accepted}
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
