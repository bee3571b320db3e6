package dogwoodpacking

import (
	"fmt"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// backoffEndpoint returns a plain endpoint with eight slots.
func backoffEndpoint(id, instance string) Endpoint {
	return Endpoint{Endpoint: dogwoodfleet.Endpoint{
		ID: dogwoodfleet.EndpointID(id), Service: "plain", Instance: dogwoodfleet.InstanceID(instance), InForce: true,
	}, Slots: 8}
}

// placeAll places plain requests until none can be placed and returns the number at each endpoint.
func placeAll(board *Board, now time.Time, prefix string) map[dogwoodfleet.EndpointID]int {
	placed := map[dogwoodfleet.EndpointID]int{}
	for number := 0; ; number++ {
		placement, refusal := board.Place(now, &PlacementRequest{
			ID: WorkID(fmt.Sprint(prefix, number)), Holder: "me", Service: "plain", Until: now.Add(time.Minute),
		})
		if refusal != Placed {
			return placed
		}
		placed[placement.Endpoint.ID]++
	}
}

// Guards against a back-off that ends early or stays too long: by an answer that overtook another, by an entry that lapses, by
// another process in place of the endpoint, or by a time without measure.
func TestBackoffOfAnEndpoint(t *testing.T) {
	const backoff = 3 * time.Second
	known := backoffEndpoint("a", "a.1")
	tests := []struct {
		name  string
		then  func(board *Board, now time.Time)
		after time.Duration
		want  bool
	}{
		{name: "within the back-off", after: backoff - time.Millisecond, want: true},
		{name: "after it", after: backoff},
		{name: "a later answer asks for less", then: func(board *Board, now time.Time) {
			board.Backoff(now, &known.Endpoint, now.Add(time.Second))
		}, after: backoff - time.Millisecond, want: true},
		{name: "a later answer asks for more", then: func(board *Board, now time.Time) {
			board.Backoff(now, &known.Endpoint, now.Add(2*backoff))
		}, after: 2*backoff - time.Millisecond, want: true},
		{name: "its entry lapses and returns", then: func(board *Board, _ time.Time) {
			board.SetEndpoints(nil)
			board.SetEndpoints([]Endpoint{known})
		}, after: backoff - time.Millisecond, want: true},
		{name: "another process has its ID", then: func(board *Board, _ time.Time) {
			board.SetEndpoints([]Endpoint{backoffEndpoint("a", "a.2")})
		}, after: time.Millisecond},
		{name: "a thousand seconds", then: func(board *Board, now time.Time) {
			board.Backoff(now, &known.Endpoint, now.Add(1000*time.Second))
		}, after: 1000*time.Second - time.Millisecond, want: true},
		{name: "a year", then: func(board *Board, now time.Time) {
			board.Backoff(now, &known.Endpoint, now.Add(365*24*time.Hour))
		}, after: MaxBackoff + time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			board, now := NewBoard("me"), time.Now()
			board.SetEndpoints([]Endpoint{known})
			board.Backoff(now, &known.Endpoint, now.Add(backoff))
			if test.then != nil {
				test.then(board, now)
			}
			later := now.Add(test.after)
			if got := len(placeAll(board, later, "r")) == 0; got != test.want {
				t.Errorf("got backed off %t, want %t", got, test.want)
			}
			if got := len(board.Reopenings(later, "plain")) > 0; got != test.want {
				t.Errorf("got all backed off %t, want %t", got, test.want)
			}
		})
	}
}

// Guards against a herd at the end of a back-off: all that has waited is sent at that moment, and the endpoint asks for a back-off again.
func TestEndpointIsFilledSlowlyAfterItsBackoff(t *testing.T) {
	board, now := NewBoard("me"), time.Now()
	endpoint := backoffEndpoint("a", "a.1")
	board.SetEndpoints([]Endpoint{endpoint})
	end := now.Add(3 * time.Second)
	board.Backoff(now, &endpoint.Endpoint, end)
	last := 0
	for step, want := range []int{1, 3, 6, 9, 12} {
		at := end.Add(time.Duration(step) * backoffRamp / 4)
		last += placeAll(board, at, fmt.Sprint(step, "-"))["a"]
		if last != want {
			t.Errorf("%s after the back-off: got %d requests, want %d", at.Sub(end), last, want)
		}
	}
}

// Guards against refusing requests that would get slots after a back-off, or keeping others: what is reported of the slots that open
// then differs from those that do.
func TestReopeningsAreTheSlotsThatOpen(t *testing.T) {
	board, now := NewBoard("me"), time.Now()
	endpoint := backoffEndpoint("a", "a.1")
	board.SetEndpoints([]Endpoint{endpoint})
	end := now.Add(3 * time.Second)
	board.Backoff(now, &endpoint.Endpoint, end)
	reopenings := board.Reopenings(now, "plain")
	if len(reopenings) != 1 || !reopenings[0].At.Equal(end) || reopenings[0].Slots != 12 {
		t.Fatalf("got %+v, want 12 slots from the end of the back-off on", reopenings)
	}
	placed := 0
	for slot := range reopenings[0].Slots {
		opens := reopenings[0].At.Add(reopenings[0].Ramp * time.Duration(slot) / time.Duration(reopenings[0].Slots))
		placed += placeAll(board, opens.Add(-time.Millisecond), fmt.Sprint(slot, "-before-"))["a"]
		if placed != slot {
			t.Errorf("got %d requests just before slot %d opens, want %d", placed, slot, slot)
		}
		placed += placeAll(board, opens.Add(time.Millisecond), fmt.Sprint(slot, "-after-"))["a"]
	}
	if placed != reopenings[0].Slots {
		t.Errorf("got %d requests after the last slot has opened, want %d", placed, reopenings[0].Slots)
	}
}

// Guards against a sound endpoint that is refused work, or a retry that waits, since another endpoint has asked for a back-off.
func TestBackoffConcernsOneEndpoint(t *testing.T) {
	board, now := NewBoard("me"), time.Now()
	backedOff, other := backoffEndpoint("a", "a.1"), backoffEndpoint("b", "b.1")
	board.SetEndpoints([]Endpoint{backedOff, other})
	board.Backoff(now, &backedOff.Endpoint, now.Add(3*time.Second))
	request := &PlacementRequest{Service: "plain", Avoid: []dogwoodfleet.EndpointID{"b"}}
	if board.HasOtherEndpoint(now, request) {
		t.Error("got another endpoint beside the one that was tried, want none while it is backed off")
	}
	if placed := placeAll(board, now, "r"); placed["a"] != 0 || placed["b"] != 12 {
		t.Errorf("got %v, want all requests at the other endpoint", placed)
	}
	if all := len(board.Reopenings(now, "plain")) > 0; all {
		t.Error("got all backed off, want one")
	}
	if got := board.CountBackedOff(now); got != 1 {
		t.Errorf("got %d backed off, want 1", got)
	}
}

// Guards against memory that grows with each process that asks for a back-off, and a limit at which the longest back-offs are dropped.
func TestBackoffsAreBounded(t *testing.T) {
	board, now := NewBoard("me"), time.Now()
	for number := range 2 * maxBackoffs {
		endpoint := backoffEndpoint(fmt.Sprint(number), "1")
		board.Backoff(now, &endpoint.Endpoint, now.Add(time.Duration(number+1)*time.Second))
	}
	last := backoffEndpoint(fmt.Sprint(2*maxBackoffs-1), "1")
	board.SetEndpoints([]Endpoint{last})
	if got := len(board.backoffs); got > maxBackoffs || board.IsOpen(now, &last.Endpoint) {
		t.Errorf("got %d back-offs kept, the longest kept %t, want at most %d", got, !board.IsOpen(now, &last.Endpoint), maxBackoffs)
	}
}
