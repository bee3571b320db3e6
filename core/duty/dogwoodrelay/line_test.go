package dogwoodrelay

import (
	"strings"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
)

// panickyPlaces panics for one request.
type panickyPlaces struct {
	places
	id string
}

func (panicky panickyPlaces) Place(now time.Time, ask *dogwoodpacking.Ask) (dogwoodpacking.Placement, dogwoodpacking.Refusal) {
	if strings.HasPrefix(string(ask.ID), panicky.id) {
		panic("an odd ask")
	}
	return panicky.places.Place(now, ask)
}

// Guards against a daemon that ends because one request's place can't be decided.
func TestARequestThatPanicsLeavesTheLine(t *testing.T) {
	board := dogwoodpacking.NewBoard("me")
	line := &line{places: panickyPlaces{places: places{board}, id: "odd"}}
	join := func(id string) (panicked bool) {
		defer func() { panicked = recover() != nil }()
		line.join(&waiter{ask: &dogwoodpacking.Ask{ID: dogwoodpacking.WorkID(id), Service: "s"}, told: make(chan told, 1)})
		return false
	}
	if !join("odd") {
		t.Fatal("got no panic, want one of the odd request")
	}
	if join("other") {
		t.Error("got a panic of another request, want none")
	}
}
