package dogwoodowner

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/decision/dogwoodadmission"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
)

// Guards against a daemon that crashes, or rejects all requests, because a request whose placement panics stays in
// the queue.
func TestRequestWhosePlacementPanicsIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := New(Options{Self: "me", Seed: 1})
		owner.SetEndpoints(
			[]dogwoodfleet.Endpoint{{ID: "desk", Service: "desk", Kind: dogwoodfleet.PlainService, InForce: true}},
			&dogwoodsettings.Text{Services: []dogwoodsettings.Service{{Name: "desk", Kind: dogwoodfleet.PlainService, ColdLimit: 4, WarmLimit: 4}}},
		)
		time.Sleep(GrantLease + time.Minute) // a new owner grants nothing at first
		lane := owner.lanes[laneKey{service: "desk"}]
		lane.place = func(work *dogwoodadmission.Work) bool {
			if work.Value.(*waiter).acquireRequest.Request.ID == "odd" {
				panic("unplaceable request")
			}
			return lane.placeWork(work)
		}
		acquire := func(id dogwoodfleet.RequestID) error {
			request := dogwoodfleet.Request{ID: id, Customer: "one", Service: "desk"}
			_, err := owner.Acquire(t.Context(), AcquireRequest{Request: request, Holder: "entry", Try: 1, Budget: time.Second})
			return err
		}
		for range 2 {
			var refusal *Refusal
			if err := acquire("odd"); !errors.As(err, &refusal) || refusal.Reason != dogwoodfleet.ReasonInternal || !refusal.NotRun {
				t.Errorf("the odd request: got %v, want an internal refusal that says not run", err)
			}
			if err := acquire("other"); err != nil {
				t.Errorf("another request: got %v, want a grant", err)
			}
		}
	})
}
