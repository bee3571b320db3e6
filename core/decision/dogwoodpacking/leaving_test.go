package dogwoodpacking

import (
	"fmt"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Guards against an endpoint that gets requests after it has said that it leaves: because its entry still says that it is
// ready, lapses and comes back, or arrives late; and against one that is refused work for what another process has said.
func TestLeavingIsKeptForTheProcess(t *testing.T) {
	known := backoffEndpoint("a", "a.1")
	tests := []struct {
		name string
		then func(board *Board)
		want int
	}{
		{name: "its entry says nothing", then: func(*Board) {}},
		{name: "its entry is written again", then: func(board *Board) { board.SetEndpoints([]Endpoint{known}) }},
		{name: "its entry lapses and returns", then: func(board *Board) {
			board.SetEndpoints(nil)
			board.SetEndpoints([]Endpoint{known})
		}},
		{name: "another process has its ID", then: func(board *Board) { board.SetEndpoints([]Endpoint{backoffEndpoint("a", "a.2")}) }, want: 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			board, now := NewBoard("me"), time.Now()
			board.SetEndpoints([]Endpoint{known})
			if !board.Leave(now, &known.Endpoint) || board.Leave(now, &known.Endpoint) {
				t.Error("got the news not once, want it once")
			}
			test.then(board)
			if got := placeAll(board, now.Add(time.Minute), "r")["a"]; got != test.want {
				t.Errorf("got %d requests, want %d", got, test.want)
			}
			if got, _ := board.Count(); got != test.want/12 {
				t.Errorf("got %d endpoints in force, want %d", got, test.want/12)
			}
		})
	}
}

// Guards against an endpoint that is heard to leave before its entry is read, and against memory that grows with each.
func TestLeavingIsKeptWithoutAnEntry(t *testing.T) {
	board, now := NewBoard("me"), time.Now()
	for number := range maxLeaving + 1 {
		endpoint := backoffEndpoint(fmt.Sprint(number), "1")
		board.Leave(now.Add(time.Duration(number)), &endpoint.Endpoint)
	}
	board.SetEndpoints([]Endpoint{backoffEndpoint(fmt.Sprint(maxLeaving), "1")})
	if got := len(placeAll(board, now, "r")); got != 0 {
		t.Error("got requests at an endpoint that leaves, want none")
	}
	if got := len(board.leaving); got > maxLeaving {
		t.Errorf("got %d endpoints kept, want at most %d", got, maxLeaving)
	}
}

// Guards against a retry that goes back to an endpoint that leaves, or waits for it, while others have room.
func TestLeavingEndpointIsNoOtherEndpoint(t *testing.T) {
	board, now := NewBoard("me"), time.Now()
	leaving, other := backoffEndpoint("a", "a.1"), backoffEndpoint("b", "b.1")
	board.SetEndpoints([]Endpoint{leaving, other})
	board.Leave(now, &leaving.Endpoint)
	if board.HasOtherEndpoint(now, &PlacementRequest{Service: "plain", Avoid: []dogwoodfleet.EndpointID{"b"}}) {
		t.Error("got another endpoint, want none")
	}
	board.Backoff(now, &other.Endpoint, now.Add(time.Second))
	if all := len(board.Reopenings(now, "plain")) > 0; !all {
		t.Error("got one that is not backed off, want all: the leaving one does not count")
	}
}
