package dogwoodpeer

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/dogwoodprogress"
)

// Guards against a silent transfer that is kept alive by other replies on the same connection, and against one that is
// ended because its reply waits behind a large one there.
func TestCallEndsByTheProgressOfItsOwnReply(t *testing.T) {
	limits := dogwoodprogress.Limits{First: 800 * time.Millisecond, Step: 400 * time.Millisecond, StepBytes: 4 << 10}
	large := func(ctx context.Context, client *Client) error {
		var reply []byte
		return client.Call(ctx, peerAddress, "Test.Large", 2_000_000, &reply)
	}
	wait := func(ctx context.Context, client *Client) error {
		var reply int
		return client.Call(ctx, peerAddress, "Test.Wait", 1, &reply)
	}
	// The reply is ready 200 ms after a large one has been sent. If it were ready before, it would wait for a mutex at the
	// server, and time would not advance in the test's bubble.
	late := func(ctx context.Context, client *Client) error {
		var reply []byte
		return client.Call(ctx, peerAddress, "Test.Late", 6400*time.Millisecond, &reply)
	}
	tests := []struct {
		name string
		call func(ctx context.Context, client *Client) error
		// Another reply of this size is requested every otherInterval, or once if that is 0.
		otherSize     int
		otherInterval time.Duration
		want          error
		least, most   time.Duration
	}{
		{name: "large", call: large, least: 6 * time.Second, most: 6300 * time.Millisecond},
		{name: "silent", call: wait, want: dogwoodprogress.ErrSilent, least: 800 * time.Millisecond, most: 800 * time.Millisecond},
		{
			name: "silent beside other replies", call: wait, otherSize: 5_000, otherInterval: 100 * time.Millisecond, want: dogwoodprogress.ErrSilent,
			least: 800 * time.Millisecond, most: 1200 * time.Millisecond,
		},
		{name: "behind a large reply", call: late, otherSize: 2_000_000, least: 6400 * time.Millisecond, most: 6800 * time.Millisecond},
		{name: "silent behind a large reply", call: wait, otherSize: 400_000, want: dogwoodprogress.ErrSilent, least: 1900 * time.Millisecond, most: 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runWithClient(t, "secret", func(ctx context.Context, fast *Client, _ *testReceiver, network *pipeNetwork) {
				client := NewClient(ctx, "secret", slowNetwork{network}, fast.logger)
				others, cancel := context.WithCancel(ctx)
				var group sync.WaitGroup
				defer func() {
					cancel()
					group.Wait()
					client.Close()
					time.Sleep(readPause) // the connection's reader ends after its pause
				}()
				request := func() {
					var reply []byte
					_ = client.Call(others, peerAddress, "Test.Large", test.otherSize, &reply) // ends with the test
				}
				if test.otherSize > 0 {
					group.Go(func() {
						for request(); test.otherInterval > 0 && others.Err() == nil; request() {
							time.Sleep(test.otherInterval)
						}
					})
					time.Sleep(100 * time.Millisecond)
					synctest.Wait()
				}
				begun := time.Now()
				watched, stop := dogwoodprogress.Watch(ctx, limits)
				defer stop()
				err := test.call(watched, client)
				if cause := context.Cause(watched); !errors.Is(cause, test.want) || (err == nil) != (test.want == nil) {
					t.Errorf("got %v with the cause %v, want %v", err, cause, test.want)
				}
				if got := time.Since(begun); got < test.least || got > test.most {
					t.Errorf("got an end after %s, want one after %s to %s", got, test.least, test.most)
				}
			})
		})
	}
}
