package dogwoodsuspect

import (
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

var (
	start       = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	digest      = dogwoodfleet.Digest{1}
	otherDigest = dogwoodfleet.Digest{2}
)

func checkStanding(t *testing.T, ledger *Ledger, now time.Time, digest dogwoodfleet.Digest, want Standing) {
	t.Helper()
	if got, _ := ledger.Standing(now, digest); got != want {
		t.Errorf("standing of %v: got %v, want %v", digest[0], got, want)
	}
}

// Guards against refusing a harmless request that ran beside a crashing one. Both become
// suspects when their engine dies. The crashing one kills its engine again while it runs
// alone and is convicted; the other finishes alone and is cleared.
func TestRunningAloneIdentifiesCrashingRequest(t *testing.T) {
	ledger := NewLedger()
	ledger.Died(start, "a", []Run{{Digest: digest, Request: "1"}, {Digest: otherDigest, Request: "2"}})
	checkStanding(t, ledger, start, digest, Suspect)
	checkStanding(t, ledger, start, otherDigest, Suspect)
	ledger.Died(start.Add(time.Second), "b", []Run{{Digest: digest, Request: "3", Alone: true}})
	ledger.Finished(start.Add(time.Second), Run{Digest: otherDigest, Request: "4", Alone: true})
	now := start.Add(2 * time.Second)
	checkStanding(t, ledger, now, digest, Convicted)
	checkStanding(t, ledger, now, otherDigest, Clear)
	checkStanding(t, ledger, now.Add(ConvictionTTL), digest, Clear)
}

// Guards against owners that disagree about a digest. A notice may arrive twice or after a later
// one, and a daemon that has just started must get the same standing from another owner's notices.
func TestNotices(t *testing.T) {
	strike := Notice{Kind: Strike, Digest: digest, Request: "1", Endpoint: "a"}
	tests := []struct {
		name    string
		notices []Notice
		want    Standing
	}{
		{name: "one strike reported twice", notices: []Notice{strike, strike}, want: Suspect},
		{name: "strikes on two endpoints at once", notices: []Notice{strike, {Kind: Strike, Digest: digest, Request: "2", Endpoint: "b"}}, want: Convicted},
		{name: "two copies in one batch", notices: []Notice{strike, {Kind: Strike, Digest: digest, Request: "2", Endpoint: "a"}}, want: Suspect},
		{name: "conviction by another owner", notices: []Notice{{Kind: Conviction, Digest: digest, Request: "1", Endpoint: "a"}}, want: Convicted},
		{name: "lifted", notices: []Notice{{Kind: Conviction, Digest: digest, Request: "1", Endpoint: "a"}, {Kind: Lift, Digest: digest}}, want: Clear},
		{name: "earlier strike after a lift", notices: []Notice{{Kind: Lift, Digest: digest}, {Kind: Strike, Digest: digest, Request: "1", Endpoint: "a", Age: time.Second}}, want: Clear},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ledger := NewLedger()
			ledger.Learn(start, test.notices)
			checkStanding(t, ledger, start, digest, test.want)
			fresh := NewLedger()
			fresh.Learn(start, ledger.Notices(start))
			checkStanding(t, fresh, start, digest, test.want)
		})
	}
}

// Guards against concurrent runs of a suspect, each of which can kill an endpoint. Its caller
// sends it through several entry daemons at the same moment. One request gets the permit; the
// others wait until its run ends or its lease expires.
func TestOneSuspectRunAtATime(t *testing.T) {
	ledger := NewLedger()
	ledger.Died(start, "a", []Run{{Digest: digest, Request: "0"}})
	requestPermit := func(now time.Time, request dogwoodfleet.RequestID) bool {
		return ledger.Judge(now, PermitRequest{Digest: digest, Request: request, Lease: time.Minute}).Allowed
	}
	if !requestPermit(start, "1") || requestPermit(start, "2") {
		t.Error("want only the first request permitted")
	}
	if !requestPermit(start, "1") {
		t.Error("asking again: got refused, want permitted")
	}
	ledger.Judge(start, PermitRequest{Digest: digest, Request: "1", Ended: true})
	if !requestPermit(start, "2") || requestPermit(start, "3") {
		t.Error("after the end: want only the next request permitted")
	}
	if !requestPermit(start.Add(2*time.Minute), "3") {
		t.Error("after the lease: got refused, want permitted")
	}
	ledger.Died(start.Add(3*time.Minute), "b", []Run{{Digest: digest, Request: "3", Alone: true}})
	if answer := ledger.Judge(start.Add(3*time.Minute), PermitRequest{Digest: digest, Request: "4", Lease: time.Minute}); answer.Allowed || answer.Standing != Convicted {
		t.Errorf("after conviction: got %+v, want it refused", answer)
	}
}
