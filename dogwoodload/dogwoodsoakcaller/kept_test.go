package dogwoodsoakcaller

import (
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
)

// Guards against split requests that lose bytes or never pause, and whose daemons would be blamed for it or see no split request.
func TestSplitRequestsArriveWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count, request = 100, "POST / HTTP/1.1\r\n\r\nbody"
		splitter, random := &splitter{}, rand.New(rand.NewPCG(1, 2))
		sender, receiver := net.Pipe()
		var group errgroup.Group
		group.Go(func() error {
			defer func() { _ = sender.Close() }()
			conn := &splitConn{Conn: sender, splitter: splitter}
			for range count {
				splitter.draw(random)
				if written, err := conn.Write([]byte(request)); err != nil || written != len(request) {
					t.Errorf("got %d and %v, want %d", written, err, len(request))
				}
			}
			return nil
		})
		started, received := time.Now(), make([]byte, len(request))
		pauses := 0
		for number := range count {
			sent := time.Now()
			if _, err := io.ReadFull(receiver, received); err != nil || string(received) != request {
				t.Fatalf("request %d: got %q and %v, want %q", number, received, err, request)
			}
			if time.Since(sent) > 0 {
				pauses++
			}
		}
		if pauses < count/5 || pauses > count*3/5 || time.Since(started) > count*maxSplitPause {
			t.Errorf("got %d pauses in %s, want some two fifths of %d", pauses, time.Since(started), count)
		}
		_ = group.Wait() // the work returns no error
	})
}
