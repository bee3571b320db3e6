package dogwoodowner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

// BenchmarkAcquireRelease measures a whole decision at an owner with free slots: queue,
// choice of the endpoint, grant, release. The allocations are those of the call and of the
// grant; the decisions don't allocate.
func BenchmarkAcquireRelease(b *testing.B) {
	for _, size := range []struct{ endpoints, customers int }{{2, 10}, {12, 300}, {12, 2700}, {48, 2700}} {
		b.Run(fmt.Sprintf("endpoints=%d/customers=%d", size.endpoints, size.customers), func(b *testing.B) {
			owner := dogwoodowner.New(dogwoodowner.Options{Self: "owner", Seed: 1})
			endpoints := make([]dogwoodfleet.Endpoint, size.endpoints)
			for i := range endpoints {
				endpoints[i] = testEngines()[0]
				endpoints[i].ID = dogwoodfleet.EndpointID(fmt.Sprint("engine-", i))
			}
			owner.SetEndpoints(endpoints, testText(16, 16))
			time.Sleep(600 * time.Millisecond) // longer than a new owner's time without grants, on the real clock
			asks := make([]dogwoodowner.AcquireRequest, size.customers)
			for i := range asks {
				asks[i] = testRequest(i, time.Minute)
				asks[i].Request.Customer = dogwoodfleet.Customer(fmt.Sprint("customer-", i))
				asks[i].Request.Blocks = []uint64{1, 2, 3, 4}
			}
			ctx := context.Background()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				grant, err := owner.Acquire(ctx, asks[i%len(asks)])
				if err != nil {
					b.Fatal(err)
				}
				owner.Release(dogwoodowner.Release{
					ID: grant.ID, Result: dogwoodfleet.ResultDone, FirstToken: 10 * time.Millisecond, Took: 300 * time.Millisecond, PromptTokens: 1000, OutputTokens: 50,
				})
			}
		})
	}
}
