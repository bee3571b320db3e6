package dogwoodrelay

import (
	"strings"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
)

// panickingPlaces panics when it places the request with the ID id.
type panickingPlaces struct {
	places
	id string
}

func (panicking panickingPlaces) Place(now time.Time, placementRequest *dogwoodpacking.PlacementRequest) (dogwoodpacking.Placement, dogwoodpacking.Refusal) {
	if strings.HasPrefix(string(placementRequest.ID), panicking.id) {
		panic("unplaceable request")
	}
	return panicking.places.Place(now, placementRequest)
}

// Guards against a daemon that crashes because placing one request panics.
func TestARequestThatPanicsLeavesTheLine(t *testing.T) {
	board := dogwoodpacking.NewBoard("me")
	queue := &queue{places: panickingPlaces{places: places{board}, id: "odd"}}
	join := func(id string) (panicked bool) {
		defer func() { panicked = recover() != nil }()
		queue.add(&waiter{placementRequest: &dogwoodpacking.PlacementRequest{ID: dogwoodpacking.WorkID(id), Service: "s"}, result: make(chan placementResult, 1)})
		return false
	}
	if !join("odd") {
		t.Fatal("got no panic, want one for the unplaceable request")
	}
	if join("other") {
		t.Error("got a panic for another request, want none")
	}
}
