package dogwoodrelay

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodenginetime"
)

// A long prompt's primary engine falls silent before it begins to prefill. The helpers' reserved memory can't be
// used by anyone else, and the daemon renews it while it waits for a first event that never arrives. The limit
// for the first event, four times the predicted time, is longer than any engine may keep memory unused.
func TestUnusedMemoryIsReleasedInTime(t *testing.T) {
	const maxUnused = 9 * time.Second
	slow, slower := *testEngine, *testEngine
	slow.TokensPerSecond, slower.TokensPerSecond = 20_000, 5_000
	tests := []unusedMemoryTest{
		{"another try is left", &slow, 10 * time.Second, 15 * time.Second, 3},
		{"it was the last try", &slow, 10 * time.Second, 15 * time.Second, 1},
		{"its prefill would take longer than that", &slower, 30 * time.Second, time.Minute, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { test.run(t, maxUnused) })
	}
}

type unusedMemoryTest struct {
	name            string
	engine          *dogwoodenginetime.Engine
	aim, timeToLive time.Duration
	attempts        int
}

func (test unusedMemoryTest) run(t *testing.T, maxUnused time.Duration) {
	t.Helper()
	test.runWithChange(t, maxUnused, maxUnused)
}

// runWithChange is run with a bound that is another one in the first second.
func (test unusedMemoryTest) runWithChange(t *testing.T, before, maxUnused time.Duration) {
	t.Helper()
	var bound atomic.Int64
	bound.Store(int64(before))
	runRelayTest(t, test.engine, []step{fallsSilent("")}, func(t *testing.T, fixture *fixture) {
		fixture.relay.options.UnusedMemoryTimeout = func() time.Duration { return time.Duration(bound.Load()) }
		request := streamRequest()
		request.Prompt, request.Route.Aim, request.Route.Attempts = 150_000, test.aim, test.attempts
		request.Deadline = time.Now().Add(test.timeToLive)
		var group sync.WaitGroup
		group.Go(func() { _ = fixture.relay.Serve(t.Context(), request, fixture.answer) }) // no engine answers
		defer group.Wait()
		time.Sleep(time.Second)
		fixture.endpoints.mutex.Lock()
		reserved, ticket := len(fixture.endpoints.reservations), fixture.endpoints.sends[0].helpers[0].Ticket
		fixture.endpoints.mutex.Unlock()
		if reserved == 0 {
			t.Error("got no memory reserved, want some: the prompt needs several engines")
		}
		bound.Store(int64(maxUnused))
		time.Sleep(maxUnused - time.Second)
		fixture.endpoints.mutex.Lock()
		for key := range fixture.endpoints.reservations {
			if strings.HasSuffix(key, ticket) {
				t.Errorf("got memory %q still reserved after %s, want it released", key, maxUnused)
			}
		}
		fixture.endpoints.mutex.Unlock()
	})
}

// Guards against memory that stays reserved and unused by a bound that has been lowered since the run was sent.
func TestUnusedMemoryIsReleasedByALoweredBound(t *testing.T) {
	slow := *testEngine
	slow.TokensPerSecond = 20_000
	test := unusedMemoryTest{"another try is left", &slow, 10 * time.Second, 40 * time.Second, 3}
	for _, before := range []time.Duration{30 * time.Second, 12 * time.Second} {
		t.Run(before.String(), func(t *testing.T) { test.runWithChange(t, before, 9*time.Second) })
	}
}

// Prefilling a prompt of nearly a million tokens takes longer than memory may stay unused. Its engines use the
// memory during that time, so the caller must get the answer. The test uses a shorter prompt and slower engines.
func TestLongPrefillDoesNotCountAsUnusedMemory(t *testing.T) {
	slow := *testEngine
	slow.TokensPerSecond = 5_000
	const maxUnused, prefillTime = 9 * time.Second, 12 * time.Second
	late := delayed(prefillTime, responds(200, firstEvents))
	runRelayTest(t, &slow, []step{late}, func(t *testing.T, fixture *fixture) {
		fixture.relay.options.UnusedMemoryTimeout = always(maxUnused)
		fixture.endpoints.memoryUsed = true
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

// Guards against memory that stays reserved for a run that has ended, while the attempt waits for its second run.
func TestMemoryOfAnEndedRunIsReleasedBesideASecondRun(t *testing.T) {
	const firstEnds, secondAnswers = 6 * time.Second, 10 * time.Second
	script := []step{delayed(firstEnds, notRun(http.StatusServiceUnavailable)), delayed(secondAnswers, responds(http.StatusOK, firstEvents+lastEvents))}
	runRelayTest(t, testEngine, script, func(t *testing.T, fixture *fixture) {
		fixture.endpoints.memoryUsed = true
		fixture.setEndpoints(12, testEngine)
		request := streamRequest()
		request.Prompt, request.Route.Aim, request.Route.Attempts = 150_000, 10*time.Second, 2
		request.Deadline = time.Now().Add(time.Minute)
		var group sync.WaitGroup
		group.Go(func() {
			if err := fixture.relay.Serve(t.Context(), request, fixture.answer); err != nil {
				t.Errorf("got %v, want the answer of the second run", err)
			}
		})
		defer group.Wait()
		time.Sleep(firstEnds + releaseTimeout)
		fixture.endpoints.mutex.Lock()
		defer fixture.endpoints.mutex.Unlock()
		if got := len(fixture.endpoints.sends); got != 2 {
			t.Fatalf("got %d runs, want a second one beside the first", got)
		}
		ticket := fixture.endpoints.sends[0].helpers[0].Ticket
		if ticket == "" {
			t.Fatal("got no memory reserved for the first run, want some")
		}
		for key := range fixture.endpoints.reservations {
			if strings.HasSuffix(key, "/"+ticket) {
				t.Errorf("got memory %q still reserved %s after its run ended, want it released", key, releaseTimeout)
			}
		}
	})
}
