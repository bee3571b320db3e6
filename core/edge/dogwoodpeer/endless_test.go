package dogwoodpeer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"
)

// endlessMessage is the beginning of a message of 512 MiB, which gob encodes as its length.
var endlessMessage = []byte{0xfc, 0x20, 0, 0, 0}

// writeEndless writes the beginning of a message and then bytes until the other side closes the connection, or until twice the bytes that
// it may read. It returns the number of bytes.
func writeEndless(conn net.Conn) int {
	if _, err := conn.Write(endlessMessage); err != nil {
		return 0
	}
	part, written := make([]byte, 1<<20), 0
	for written < 2*maxMessageBytes {
		count, err := conn.Write(part)
		written += count
		if err != nil {
			break
		}
	}
	return written
}

// Guards against a message without end of another daemon that is read into memory.
func TestMessageWithoutEndIsBounded(t *testing.T) {
	check := func(t *testing.T, written int) {
		t.Helper()
		if written > maxMessageBytes {
			t.Errorf("got %d bytes read, want at most %d", written, maxMessageBytes)
		}
	}
	t.Run("reply", func(t *testing.T) {
		var group sync.WaitGroup
		defer group.Wait()
		client := NewClient(t.Context(), "secret", DialerFunc(func(context.Context, netip.AddrPort) (net.Conn, error) {
			near, far := net.Pipe()
			group.Go(func() {
				defer func() { _ = far.Close() }() // the client has closed its end
				if err := acceptHandshake(far, []byte("secret")); err != nil {
					t.Error(err)
					return
				}
				group.Go(func() { _, _ = far.Read(make([]byte, 4<<10)) })
				check(t, writeEndless(far))
			})
			return near, nil
		}), hclog.NewNullLogger())
		defer client.Close()
		var reply []byte
		if err := client.Call(t.Context(), peerAddress, "Test.Large", 1, &reply); err == nil {
			t.Error("got a reply, want an error")
		}
	})
	t.Run("call", func(t *testing.T) {
		near, far := net.Pipe()
		var group sync.WaitGroup
		defer group.Wait()
		group.Go(func() {
			defer func() { _ = far.Close() }() // as Serve does
			server := NewServer("secret", hclog.NewNullLogger())
			if err := acceptHandshake(far, server.key); err != nil {
				t.Error(err)
				return
			}
			server.serveCalls(far)
		})
		if err := dialHandshake(near, []byte("secret")); err != nil {
			t.Fatal(err)
		}
		check(t, writeEndless(near))
		_ = near.Close() // the server has closed its end
	})
}
