package dogwoodrelay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/decision/dogwoodroute"
)

// connectedCaller takes each part of an answer after a pause, until the daemon aborts the answer or its connection breaks.
type connectedCaller struct {
	recorder
	pause   time.Duration
	aborted chan struct{}
	once    sync.Once
	// broken ends with the error of writes to a connection that is broken.
	broken context.Context //nolint:containedctx // a connection in a test ends with it
}

func (caller *connectedCaller) Write(data []byte) error {
	select {
	case <-time.After(caller.pause):
		return caller.recorder.Write(data)
	case <-caller.aborted:
		return errors.New("aborted")
	case <-caller.broken.Done():
		return &net.OpError{Op: "write", Err: context.Cause(caller.broken)}
	}
}

func (caller *connectedCaller) Abort() { caller.once.Do(func() { close(caller.aborted) }) }

// Guards against an answer that its endpoint has ended and that a daemon which shuts down cuts before it closes the connection, and
// against one that is logged as left by its caller.
func TestShutdownWritesEndedAnswers(t *testing.T) {
	const pause, ends, breaks = 200 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond
	plain, events := strings.Repeat("x", 400<<10), eventsUpTo(10_000)
	once := func() *Request { return plainRequest(dogwoodroute.Once) }
	tests := []struct {
		name    string
		request func() *Request
		first   step
		pause   time.Duration
		// broken is the error of writes from breaks on; nil for a connection that stays open.
		broken error
		// want is empty for an answer that is cut; it is then returned wantAfter the start.
		want      string
		wantErrs  []error
		notErrs   []error
		wantAfter time.Duration
	}{
		{name: "a plain answer", request: once, first: responds(http.StatusOK, plain), pause: pause, want: plain},
		{name: "a stream", request: streamRequest, first: responds(http.StatusOK, events), pause: pause, want: events},
		{
			name: "the connection is closed first", request: once, first: responds(http.StatusOK, plain), pause: pause, broken: net.ErrClosed,
			wantErrs: []error{ErrCut, ErrShutdown}, notErrs: []error{ErrCallerGone}, wantAfter: breaks,
		},
		{
			name: "the connection of a caller that reads nothing is closed", request: streamRequest, first: responds(http.StatusOK, events), pause: time.Hour, broken: net.ErrClosed,
			wantErrs: []error{ErrCut, ErrShutdown}, notErrs: []error{ErrCallerGone}, wantAfter: breaks,
		},
		{
			name: "the caller leaves first", request: once, first: responds(http.StatusOK, plain), pause: pause, broken: syscall.ECONNRESET,
			wantErrs: []error{ErrCallerGone}, notErrs: []error{ErrShutdown}, wantAfter: breaks,
		},
		{
			name: "the endpoint is still at work", request: streamRequest, first: fallsSilent(events), pause: pause,
			wantErrs: []error{ErrCut, ErrShutdown}, notErrs: []error{ErrCallerGone}, wantAfter: ends,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, testEngine, []step{test.first}, func(t *testing.T, fixture *fixture) {
				ctx, end := context.WithCancelCause(t.Context())
				defer end(nil)
				broken, breakOff := context.WithCancelCause(t.Context())
				defer breakOff(nil)
				caller := &connectedCaller{pause: test.pause, aborted: make(chan struct{}), broken: broken}
				served := fixture.serve(ctx, test.request(), caller)
				time.Sleep(ends)
				synctest.Wait()
				end(ErrShutdown)
				if test.broken != nil {
					defer time.AfterFunc(breaks-ends, func() { breakOff(test.broken) }).Stop()
				}
				err := served.wait()
				if test.want != "" && (err != nil || caller.body.String() != test.want || served.after <= ends) {
					t.Errorf("got %v and %d bytes after %s, want all %d after the end of requests", err, caller.body.Len(), served.after, len(test.want))
				}
				if test.want == "" && served.after != test.wantAfter {
					t.Errorf("got the outcome after %s, want it after %s", served.after, test.wantAfter)
				}
				for _, want := range test.wantErrs {
					if !errors.Is(err, want) {
						t.Errorf("got %v, want %v in it", err, want)
					}
				}
				for _, other := range test.notErrs {
					if errors.Is(err, other) {
						t.Errorf("got %v, want no %v in it", err, other)
					}
				}
				if got := fixture.held(); got != 0 {
					t.Errorf("got %d bytes still held, want none", got)
				}
			})
		})
	}
}
