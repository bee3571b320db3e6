package dogwoodrelay

import (
	"strings"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
)

// panickyPlaces panics for one request.
type panickingPlaces struct {
	places
	id string
}

func (panicky panickingPlaces) Place(now time.Time, ask *dogwoodpacking.Ask) (dogwoodpacking.Placement, dogwoodpacking.Refusal) {
	if strings.HasPrefix(string(ask.ID), panicky.id) {
		panic("unplaceable request")
	}
	return panicky.places.Place(now, ask)
}

// Guards against a daemon that crashes because placing one request panics.
func TestARequestThatPanicsLeavesTheLine(t *testing.T) {
	board := dogwoodpacking.NewBoard("me")
	line := &queue{places: panickingPlaces{places: places{board}, id: "odd"}}
	join := func(id string) (panicked bool) {
		defer func() { panicked = recover() != nil }()
		line.add(&waiter{ask: &dogwoodpacking.Ask{ID: dogwoodpacking.WorkID(id), Service: "s"}, result: make(chan placementResult, 1)})
		return false
	}
	if !join("odd") {
		t.Fatal("got no panic, want one for the unplaceable request")
	}
	if join("other") {
		t.Error("got a panic for another request, want none")
	}
}
