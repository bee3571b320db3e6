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

// fullListener has no descriptor left for its first connections, and then none comes.
type fullListener struct {
	lacks  int
	closed chan struct{}
}

func (full *fullListener) Accept() (net.Conn, error) {
	if full.lacks > 0 {
		full.lacks--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	<-full.closed
	return nil, net.ErrClosed
}

func (full *fullListener) Close() error {
	close(full.closed)
	return nil
}

// Guards against a daemon that ends because no descriptor was free for a moment.
func TestAServerOutlivesALackOfDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		listener := &fullListener{lacks: 20, closed: make(chan struct{})}
		if err := NewServer("key", hclog.NewNullLogger()).Serve(ctx, listener); err != nil {
			t.Errorf("got %v, want a server that goes on until its context ends", err)
		}
		if ctx.Err() == nil {
			t.Error("got the end of the server before that of its context")
		}
	})
}
