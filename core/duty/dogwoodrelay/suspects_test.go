package dogwoodrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwoodsuspects"
)

var testDigest = dogwoodfleet.Digest{7}

// isSuspect reports whether a request with testDigest would run as a suspect.
func (fixture *fixture) isSuspect(t *testing.T) bool {
	t.Helper()
	permit, err := fixture.suspects.Admit(t.Context(), &dogwoodsuspect.Subject{Digest: testDigest, Request: "probe"})
	if err != nil {
		t.Fatal(err)
	}
	defer permit.Return(t.Context())
	return permit.IsTrial()
}

// Guards against a harmless request that becomes a suspect: only the end of an endpoint that ran it counts, not an
// answer that is lost or spoilt on the way, a failure that the endpoint reports, or silence.
func TestOnlyTheEndOfAnEndpointMakesASuspect(t *testing.T) {
	tests := []struct {
		name      string
		step      step
		condition dogwoodsuspects.Condition
		want      bool
	}{
		{"it ended before its answer", fails(&Broken{Cause: io.EOF}), dogwoodsuspects.Ended, true},
		{"it ended during its answer", breaksOff("half"), dogwoodsuspects.Ended, true},
		{"the connection was reset", breaksOff("half"), dogwoodsuspects.Running, false},
		{"its condition is unknown and its entry stays", breaksOff("half"), dogwoodsuspects.Unknown, false},
		{"it failed the request", responds(http.StatusInternalServerError, "failed"), dogwoodsuspects.Ended, false},
		{"it did not begin", notRun(http.StatusServiceUnavailable), dogwoodsuspects.Ended, false},
		{"it refused the connection", fails(&NotSent{Cause: errors.New("refused")}), dogwoodsuspects.Ended, false},
		{"it answered", responds(http.StatusOK, "whole"), dogwoodsuspects.Ended, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, nil, []step{test.step}, func(t *testing.T, fixture *fixture) {
				fixture.endpoints.condition = test.condition
				request := plainRequest(dogwoodroute.Once)
				request.Digest = testDigest
				_ = fixture.relay.Serve(t.Context(), request, fixture.answer) // most steps fail
				if got := fixture.isSuspect(t); got != test.want {
					t.Errorf("got suspect %t, want %t", got, test.want)
				}
			})
		})
	}
}

// Guards against a stream that ends one endpoint after the other, by its resumes and by its caller's copies: the caller
// gets a refusal that is true about whether it has run, and nothing more reaches an endpoint.
func TestStreamThatEndsEndpointsIsRefused(t *testing.T) {
	runRelayTest(t, testEngine, []step{breaksOff("id: 1\ndata: x\n\n")}, func(t *testing.T, fixture *fixture) {
		fixture.setEndpoints(6, testEngine)
		fixture.endpoints.condition = dogwoodsuspects.Ended
		request := streamRequest()
		request.Digest = testDigest
		if err := fixture.relay.Serve(t.Context(), request, fixture.answer); !errors.Is(err, ErrCut) {
			t.Fatalf("got %v, want the answer cut", err)
		}
		if got := len(fixture.endpoints.sends); got != 2 {
			t.Fatalf("got %d sends, want 2", got)
		}
		failure := failureOf(t, fixture.relay.Serve(t.Context(), request, &recorder{}))
		if failure.Reason != dogwoodfleet.ReasonSuspect || failure.Run != dogwoodfleet.NotRun || failure.RetryAfter <= 0 {
			t.Errorf("got %+v, want a refusal as a suspect that has not run, and when to retry", failure)
		}
		if got := len(fixture.endpoints.sends); got != 2 {
			t.Errorf("got %d sends, want none for the copy", got)
		}
	})
}

// Guards against a retry that waits for a hub that is frozen: its engine has crashed, perhaps for another reason. The hubs
// must know of that before the caller learns of a failure, not before the next engine is tried.
func TestRetryDoesNotWaitForNotices(t *testing.T) {
	runRelayTest(t, nil, []step{fails(&Broken{Cause: io.EOF}), responds(http.StatusOK, "whole")}, func(t *testing.T, fixture *fixture) {
		fixture.endpoints.condition = dogwoodsuspects.Ended
		fixture.frozenHub.Store(&dogwoodsuspects.Peer{Instance: "frozen"})
		request, began := plainRequest(dogwoodroute.Idempotent), time.Now()
		if err := fixture.relay.Serve(t.Context(), request, fixture.answer); err != nil {
			t.Fatal(err)
		}
		if got := time.Since(began); got > 0 {
			t.Errorf("got the second engine's answer after %s, want it at once", got)
		}
	})
	runRelayTest(t, nil, []step{fails(&Broken{Cause: io.EOF})}, func(t *testing.T, fixture *fixture) {
		fixture.endpoints.condition = dogwoodsuspects.Ended
		fixture.frozenHub.Store(&dogwoodsuspects.Peer{Instance: "frozen"})
		began := time.Now()
		if err := fixture.relay.Serve(t.Context(), plainRequest(dogwoodroute.Once), fixture.answer); err == nil {
			t.Fatal("got no failure, want one")
		}
		if time.Since(began) == 0 {
			t.Error("got the failure at once, want it withheld while the hubs are notified")
		}
	})
}

// Guards against copies that wait for a slot while their digest is convicted: when the endpoints are back, all of them
// would be sent at once.
func TestCopyThatWaitsIsCheckedBeforeItIsSent(t *testing.T) {
	runRelayTest(t, testEngine, []step{responds(http.StatusOK, "id: 1\ndata: x\n\n")}, func(t *testing.T, fixture *fixture) {
		fixture.takeSlots(t, 12)
		request := streamRequest()
		request.Digest = testDigest
		result := make(chan error, 1)
		var group sync.WaitGroup
		defer group.Wait()
		group.Go(func() { result <- fixture.relay.Serve(t.Context(), request, fixture.answer) })
		time.Sleep(10 * time.Millisecond)
		for i, endpoint := range []dogwoodfleet.EndpointID{"a", "b"} {
			fixture.suspects.Broke(context.Background(), dogwoodsuspects.Run{
				Subject:  dogwoodsuspect.Subject{Digest: testDigest, Request: dogwoodfleet.RequestID(endpoint)},
				Endpoint: dogwoodfleet.Endpoint{ID: endpoint}, Trial: i > 0,
			}, dogwoodsuspects.Ended)
		}
		fixture.board.End("0")
		if failure := failureOf(t, <-result); failure.Reason != dogwoodfleet.ReasonSuspect || !strings.Contains(failure.Detail, "refused") {
			t.Errorf("got %+v, want a refusal as a suspect", failure)
		}
		if got := len(fixture.endpoints.sends); got != 0 {
			t.Errorf("got %d sends, want none", got)
		}
	})
}
