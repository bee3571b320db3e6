package dogwoodmemory

import (
	"errors"
	"slices"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

var start = time.Unix(1_000_000, 0)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func reserve(t *testing.T, ledger *Ledger, request dogwoodfleet.RequestID, tokens int) {
	t.Helper()
	wanted := Hold{Request: request, Holder: "entry", Tokens: tokens, Expires: at(3)}
	if err := ledger.Reserve(wanted, at(0)); err != nil {
		t.Fatal(err)
	}
}

// Guards against cancelling a stream in use: the entry daemon pauses for some seconds, the hold
// expires, and the renewal arrives after a reconciliation with the engine's list. If the renewal
// arrives within the grace, the stream must continue. Once Reconcile has returned the stream for
// cancelling, the late renewal must fail.
func TestRenewalAfterExpiry(t *testing.T) {
	tests := []struct {
		name        string
		reconcile   int // seconds
		wantOrphans int
		wantRenewed bool
	}{
		{name: "renewed within the grace", reconcile: 8, wantOrphans: 0, wantRenewed: true},
		{name: "cancelled after the grace", reconcile: 14, wantOrphans: 1, wantRenewed: false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ledger := New()
			ledger.SetMemory(100)
			reserve(t, ledger, "r1", 60)
			report := Report{Asked: at(test.reconcile), Instance: "i1", Listed: []Listed{{Request: "r1", Tokens: 60}}}
			if got := len(ledger.Reconcile(report, at(test.reconcile))); got != test.wantOrphans {
				t.Errorf("got %d orphans, want %d", got, test.wantOrphans)
			}
			if got := ledger.Renew("r1", at(test.reconcile+3)); got != test.wantRenewed {
				t.Errorf("got renewed %v, want %v", got, test.wantRenewed)
			}
			if got := ledger.Used(); got != 60 {
				t.Errorf("got %d tokens used, want 60 until the engine no longer lists the request", got)
			}
		})
	}
}

// Guards against freeing a granted request that is in transit while its engine restarts. Holds of
// the old process are freed; the request in transit will run in the new process and keeps its hold.
func TestEngineRestartFreesOnlyHoldsOfOldProcess(t *testing.T) {
	ledger := New()
	ledger.SetMemory(100)
	reserve(t, ledger, "old", 60)
	ledger.Reconcile(Report{Asked: at(1), Instance: "i1", Listed: []Listed{{Request: "old", Tokens: 60}}}, at(1))
	reserve(t, ledger, "new", 30)
	ledger.Reconcile(Report{Asked: at(2), Instance: "i2"}, at(2))
	if got := ledger.Used(); got != 30 {
		t.Errorf("got %d tokens used, want 30", got)
	}
}

// Guards against counting an ended request again: a report that was requested before the request
// ended still lists it and arrives afterwards.
func TestOutdatedReportListsEndedRequest(t *testing.T) {
	ledger := New()
	ledger.SetMemory(100)
	reserve(t, ledger, "r1", 60)
	ledger.Finish("r1", at(2))
	orphans := ledger.Reconcile(Report{Asked: at(1), Instance: "i1", Listed: []Listed{{Request: "r1", Tokens: 60}}}, at(3))
	if got := ledger.Used(); got != 0 || len(orphans) != 0 {
		t.Errorf("got %d tokens and %d orphans, want none", got, len(orphans))
	}
}

// Guards against leaked memory: an owner fails together with the entry daemon whose stream it had
// granted, so that no daemon announces the stream to the new owner. The new owner must count the
// stream's memory at once and cancel the stream after the grace.
func TestUnclaimedStreamIsCancelled(t *testing.T) {
	ledger := New()
	ledger.SetMemory(100)
	listed := []Listed{{Request: "lost", Tokens: 60}, {Request: "claimed", Tokens: 10}, {Request: "gang", Tokens: 20, Reserved: true}}
	for second := 1; second <= 31; second++ {
		if second == 5 && !ledger.Claim(Hold{Request: "claimed", Tokens: 10, Expires: at(100)}, at(5)) {
			t.Error("got the claim rejected, want it accepted")
		}
		var got []dogwoodfleet.RequestID
		for _, orphan := range ledger.Reconcile(Report{Asked: at(second), Instance: "i1", Listed: listed}, at(second)) {
			got = append(got, orphan.Request)
		}
		var want []dogwoodfleet.RequestID
		if second == 31 {
			want = []dogwoodfleet.RequestID{"lost"}
		}
		if !slices.Equal(got, want) {
			t.Errorf("second %d: got orphans %v, want %v", second, got, want)
		}
		if got := ledger.Used(); got != 90 {
			t.Errorf("second %d: got %d tokens used, want 90", second, got)
		}
	}
}

func TestPlanGang(t *testing.T) {
	engines := []EngineMemory{
		{Endpoint: "d", Memory: 400_000, Free: 400_000},
		{Endpoint: "b", Memory: 400_000, Free: 400_000},
		{Endpoint: "c", Memory: 400_000, Free: 100_000},
		{Endpoint: "a", Memory: 400_000, Free: 400_000},
	}
	tests := []struct {
		name    string
		tokens  int
		want    []dogwoodfleet.EndpointID
		wantMax int
	}{
		{name: "one engine is enough", tokens: 400_000, want: []dogwoodfleet.EndpointID{"a"}},
		{name: "the fewest engines, in the fixed order", tokens: 1_000_000, want: []dogwoodfleet.EndpointID{"a", "b", "d"}},
		{name: "a busy engine counts as empty", tokens: 1_400_000, want: []dogwoodfleet.EndpointID{"a", "b", "c", "d"}},
		{name: "a request that never fits gets the maximum", tokens: 1_400_001, wantMax: 1_400_000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gang, err := PlanGang(test.tokens, engines)
			var large *TooLarge
			if errors.As(err, &large) && large.LimitTokens != test.wantMax {
				t.Errorf("got maximum %d, want %d", large.LimitTokens, test.wantMax)
			}
			if (err != nil) != (test.wantMax > 0) {
				t.Errorf("got error %v, want maximum %d", err, test.wantMax)
			}
			if !slices.Equal(gang.Members, test.want) {
				t.Errorf("got %v, want %v", gang.Members, test.want)
			}
		})
	}
}
