package dogwoodengine

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/dogwoodkernel"
)

// panickingBody panics when it is read.
type panickingBody struct{}

func (panickingBody) Read([]byte) (int, error) { panic("odd stream") }

func (panickingBody) Close() error { return nil }

// Guards against a daemon that crashes because reading one stream panics.
func TestPanicOfAReaderEndsOnlyItsStream(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	connection := newConnection(ctx, cancel, panickingBody{})
	connection.reading.Wait()
	if panicError := (*dogwoodkernel.PanicError)(nil); !errors.As(connection.failure, &panicError) {
		t.Errorf("got %v, want the panic as the connection's failure", connection.failure)
	}
	connection.close()
}

// Guards against a daemon that crashes because the cancellation of one request panics.
func TestPanicInBackgroundEndsOnlyItsWork(t *testing.T) {
	client := New(Options{Logger: hclog.NewNullLogger()})
	client.startBackground(func() { panic("odd request") })
	done := make(chan struct{})
	client.startBackground(func() { close(done) })
	<-done
	client.Close(t.Context())
}
