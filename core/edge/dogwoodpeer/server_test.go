package dogwoodpeer

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
)

// exhaustedListener fails the first calls of Accept because no file descriptor is free, then
// blocks until it is closed.
type exhaustedListener struct {
	failures int
	closed   chan struct{}
}

func (listener *exhaustedListener) Accept() (net.Conn, error) {
	if listener.failures > 0 {
		listener.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	<-listener.closed
	return nil, net.ErrClosed
}

func (listener *exhaustedListener) Close() error {
	close(listener.closed)
	return nil
}

// Serve must not return because file descriptors run out for a short time.
func TestServerSurvivesDescriptorExhaustion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		listener := &exhaustedListener{failures: 20, closed: make(chan struct{})}
		if err := NewServer("key", hclog.NewNullLogger()).Serve(ctx, listener); err != nil {
			t.Errorf("got %v, want a server that runs until its context ends", err)
		}
		if ctx.Err() == nil {
			t.Error("Serve returned before its context ended")
		}
	})
}
