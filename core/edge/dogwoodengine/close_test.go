package dogwoodengine

import (
	"context"
	"sync"
	"testing"
)

// A daemon is killed while its callers' requests run. Each of these ends and cancels its
// stream in the background while the client closes, which waited for work that was only then
// begun: the race detector saw it in one run of many, beside other work.
func TestRequestsEndWhileTheClientCloses(t *testing.T) {
	for range 200 {
		client := New(Options{})
		var requests sync.WaitGroup
		for range 4 {
			requests.Go(func() {
				client.afterwards(t.Context())(func(context.Context) {})
			})
		}
		client.Close(t.Context())
		requests.Wait()
	}
}
