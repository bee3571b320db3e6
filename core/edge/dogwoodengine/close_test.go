package dogwoodengine

import (
	"context"
	"sync"
	"testing"
)

// A killed daemon closes the client while requests still run, and each request that ends starts a
// cancel in the background. Background work that started while Close waited for such work was a
// data race, which the race detector reported in one run of many on a busy machine.
func TestRequestsEndWhileClientCloses(t *testing.T) {
	for range 200 {
		client := New(Options{})
		var requests sync.WaitGroup
		for range 4 {
			requests.Go(func() {
				client.backgroundRunner(t.Context())(func(context.Context) {})
			})
		}
		client.Close(t.Context())
		requests.Wait()
	}
}
