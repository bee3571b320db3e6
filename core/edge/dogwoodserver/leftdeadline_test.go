package dogwoodserver

import (
	"context"
	"errors"
	"io"
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
	connection := &connection{Conn: accepted}
	connection.idle()
	connection.release() // the request is in the buffer of net/http by now
	connection.begin(int64(len("body")))
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

// Guards against a request that came behind one whose answer closes the connection, and of which no line tells.
func TestRequestBehindTheLastAnswerIsLogged(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
	const longHead = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3000\r\n\r\n"
	const chunks = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n"
	const next = "GET / HTTP/1.1\r\nHost: a\r\nRequest-Id: next\r\n\r\n"
	tests := []struct {
		name string
		// before is sent and answered before the drain, first before the answer to it, and then while the first request is handled.
		before, first, then string
		// answers is the number of requests that are answered, 1 if it is 0. All but the last begin before the drain.
		answers int
		want    bool
		// noID is true if the ID is not among the bytes that are kept.
		noID bool
	}{
		{name: "with the request before", first: request + next, want: true},
		{name: "with the last part of the body", first: head + "bo", then: "dy" + next, want: true},
		{name: "with the body", first: head + "body" + next, want: true},
		{name: "while the request before is handled", first: request, then: next, want: true},
		{name: "behind a kept request", before: request, first: head + "body" + next, want: true},
		{name: "behind two that came together", first: request + request + next, answers: 2, want: true},
		{name: "behind a long body", first: longHead + strings.Repeat("b", 3000) + next, want: true, noID: true},
		{name: "nothing", first: request},
		{name: "nothing behind a long body", first: longHead + strings.Repeat("b", 3000)},
		{name: "an empty line behind a long body", first: longHead + strings.Repeat("b", 3000) + "\r\n"},
		{name: "nothing behind a request that came in parts behind chunks", before: chunks + request[:10], first: request[10:]},
		{name: "an empty line behind a body", first: head + "body\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			handling, mayEnd := make(chan struct{}, 3), make(chan struct{}, 3)
			fixture := newFixture(t, func(writer http.ResponseWriter, received *http.Request) {
				handling <- struct{}{}
				<-mayEnd
				_, _ = io.Copy(io.Discard, received.Body) // the request is answered in any case
				answers(writer, received)
			})
			before := unhandled.Value()
			sending := fixture.dial(t)
			if test.before != "" {
				mayEnd <- struct{}{}
				sending.write(t, test.before)
				<-handling
				if status, err := sending.read(); status != http.StatusOK || err != nil {
					t.Fatalf("got %d, %v, want 200", status, err)
				}
			}
			if test.answers > 1 {
				sending.write(t, test.first)
				<-handling
				fixture.StartDraining()
				mayEnd <- struct{}{}
			} else {
				fixture.StartDraining()
				sending.write(t, test.first)
			}
			<-handling
			sending.write(t, test.then)
			time.Sleep(50 * time.Millisecond) // it arrives
			mayEnd <- struct{}{}
			for range max(test.answers, 1) {
				if status, err := sending.read(); status != http.StatusOK || err != nil {
					t.Errorf("got %d, %v, want 200", status, err)
				}
			}
			fixture.drain(t)
			if got := strings.Contains(fixture.log.String(), "not handled"); got != test.want {
				t.Errorf("got the log %q, want a line of a request that was not handled: %t", fixture.log.String(), test.want)
			}
			if test.want && !test.noID && !strings.Contains(fixture.log.String(), `"request":"next"`) {
				t.Errorf("got the log %q, want the ID in it", fixture.log.String())
			}
			if got := unhandled.Value()-before == 1; got != test.want {
				t.Errorf("got a count of %d, want one of a request that was not handled: %t", unhandled.Value()-before, test.want)
			}
		})
	}
}

// Guards against a request that has arrived on a released connection, and whose read is ended by a second release.
func TestSecondReleaseEndsNoRead(t *testing.T) {
	sending, accepted := newPair(t)
	hooked := &hookedConn{Conn: accepted}
	connection := &connection{Conn: hooked}
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
