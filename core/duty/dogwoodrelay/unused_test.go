package dogwoodrelay

import (
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodenginetime"
)

// A long prompt's engine goes dark before it has begun to read. The engines that help have set memory
// aside, which nobody else can use, and the daemon renews it while it waits for a first event that never
// comes. Four times the predicted time is longer than any engine may keep memory unused.
func TestUnusedMemoryIsGivenBackInTime(t *testing.T) {
	const most = 9 * time.Second
	slow := *testEngine
	slow.TokensPerSecond = 20_000
	tests := []struct {
		name     string
		attempts int
	}{
		{"another try is left", 3},
		{"it was the last try", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { unusedMemory(t, &slow, test.attempts, most) })
	}
}

func unusedMemory(t *testing.T, engine *dogwoodenginetime.Engine, attempts int, most time.Duration) {
	story(t, engine, []step{fallsSilent("")}, func(t *testing.T, fixture *fixture) {
		fixture.relay.options.UnusedMemory = most
		request := streamRequest()
		request.Prompt, request.Route.Aim, request.Route.Attempts = 150_000, 10*time.Second, attempts
		request.Deadline = time.Now().Add(15 * time.Second)
		var group sync.WaitGroup
		group.Go(func() { _ = fixture.relay.Serve(t.Context(), request, fixture.answer) }) // no engine answers
		defer group.Wait()
		time.Sleep(time.Second)
		fixture.endpoints.mutex.Lock()
		held, first := len(fixture.endpoints.held), fixture.endpoints.sends[0].helpers[0].Ticket
		fixture.endpoints.mutex.Unlock()
		if held == 0 {
			t.Error("got no memory set aside, want some: the prompt needs several engines")
		}
		time.Sleep(most - time.Second)
		fixture.endpoints.mutex.Lock()
		for key := range fixture.endpoints.held {
			if strings.HasSuffix(key, first) {
				t.Errorf("got memory %q still set aside after %s, want it given back", key, most)
			}
		}
		fixture.endpoints.mutex.Unlock()
	})
}

// A prompt of nearly a million tokens is read for longer than memory may stay unused. Its engines use the
// memory all the while, and its reader must get the answer.
func TestALongReadIsNotTakenForUnusedMemory(t *testing.T) {
	slow := *testEngine
	slow.TokensPerSecond = 5_000
	const most, reads = 9 * time.Second, 12 * time.Second
	late := delayed(reads, responds(200, firstEvents))
	story(t, &slow, []step{late}, func(t *testing.T, fixture *fixture) {
		fixture.relay.options.UnusedMemory = most
		request := streamRequest()
		request.Prompt, request.Route.Aim = 150_000, 30*time.Second
		request.Deadline = time.Now().Add(time.Minute)
		if err := fixture.relay.Serve(t.Context(), request, fixture.answer); err != nil {
			t.Errorf("got %v, want the answer", err)
		}
		if got := len(fixture.endpoints.sends); got != 1 {
			t.Errorf("got %d sends, want one", got)
		}
	})
}
