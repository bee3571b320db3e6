package dogwoodsuspect

import (
	"slices"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// sharedEnd returns the notice that an endpoint ended under a digest beside others.
func sharedEnd(digest dogwoodfleet.Digest, endpoint dogwoodfleet.EndpointID, trial, confirmed bool) Notice {
	return Notice{
		Kind: Strike, Digest: digest, Request: dogwoodfleet.RequestID("r" + endpoint), Endpoint: endpoint,
		Age: time.Millisecond, Shared: true, Trial: trial, Confirmed: confirmed,
	}
}

func endpoint(number int) dogwoodfleet.EndpointID {
	return dogwoodfleet.EndpointID(rune('a' + number))
}

// Guards against refusing a harmless request that ran on endpoints that ended, and against running one that ends
// each of them.
func TestSharedStrikes(t *testing.T) {
	tests := []struct {
		name        string
		notices     []Notice
		want, other Standing
	}{
		{name: "one end", notices: []Notice{sharedEnd(digest, "a", false, true)}, want: Suspect},
		{
			name: "copies on a rack that fails at once",
			notices: []Notice{
				sharedEnd(digest, "a", false, true), sharedEnd(digest, "b", false, true),
				sharedEnd(digest, "c", false, true), sharedEnd(digest, "d", false, true),
			},
			want: Suspect,
		},
		{
			name:    "a trial ends another endpoint",
			notices: []Notice{sharedEnd(digest, "a", false, true), sharedEnd(digest, "b", true, true)},
			want:    Convicted,
		},
		{
			name:    "one end reported twice",
			notices: []Notice{sharedEnd(digest, "a", false, true), sharedEnd(digest, "a", true, true)},
			want:    Suspect,
		},
		{
			name: "another request was retried beside it",
			notices: []Notice{
				sharedEnd(digest, "a", false, true), sharedEnd(otherDigest, "a", false, true),
				sharedEnd(digest, "b", true, true), sharedEnd(otherDigest, "b", true, true),
			},
			want: Suspect, other: Suspect,
		},
		{
			name: "the other one was not there at the third end",
			notices: []Notice{
				sharedEnd(digest, "a", false, true), sharedEnd(otherDigest, "a", false, true),
				sharedEnd(digest, "b", true, true), sharedEnd(otherDigest, "b", true, true),
				sharedEnd(digest, "c", true, true),
			},
			want: Convicted, other: Suspect,
		},
		{
			name: "both were there at the third end",
			notices: []Notice{
				sharedEnd(digest, "a", false, true), sharedEnd(otherDigest, "a", false, true),
				sharedEnd(digest, "b", true, true), sharedEnd(otherDigest, "b", true, true),
				sharedEnd(digest, "c", true, true), sharedEnd(otherDigest, "c", true, true),
			},
			want: Convicted, other: Convicted,
		},
		{
			name: "finished since",
			notices: []Notice{
				sharedEnd(digest, "a", false, true), sharedEnd(digest, "b", true, true),
				{Kind: Acquittal, Digest: digest},
			},
			want: Clear,
		},
		{
			name: "an end from before a lift arrives after it",
			notices: []Notice{
				{Kind: Lift, Digest: digest},
				{Kind: Strike, Digest: digest, Request: "1", Endpoint: "a", Age: time.Second, Shared: true},
			},
			want: Clear,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ledger := NewLedger()
			ledger.Learn(start, test.notices)
			checkStanding(t, ledger, start, digest, test.want)
			checkStanding(t, ledger, start, otherDigest, test.other)
			fresh := NewLedger()
			fresh.Learn(start, ledger.Notices(start))
			checkStanding(t, fresh, start, digest, test.want)
			checkStanding(t, fresh, start, otherDigest, test.other)
		})
	}
}

// Guards against refusing a popular harmless request: its copies run on nearly each endpoint that ends, also during
// trials, but others finish.
func TestProvenDigestIsNotRefused(t *testing.T) {
	ledger := NewLedger()
	ledger.Finished(start, Run{Digest: digest, Request: "0", Shared: true})
	ledger.Learn(start, []Notice{sharedEnd(digest, "a", false, true), sharedEnd(digest, "b", true, true), sharedEnd(digest, "c", true, true)})
	checkStanding(t, ledger, start, digest, Clear)
	elsewhere := NewLedger()
	elsewhere.Learn(start, ledger.Notices(start))
	checkStanding(t, elsewhere, start, digest, Convicted)
	now := start.Add(time.Second)
	elsewhere.Learn(now, ledger.Finished(now, Run{Digest: digest, Request: "4", Shared: true}))
	checkStanding(t, elsewhere, now, digest, Clear)
}

// Guards against refusing harmless requests when racks fail one after the other: a request moved away from the first one, as a
// trial, and the next one failed too. Ends that other endpoints share convict only after several trials, so that several
// crashing requests at a time don't hide each other.
func TestRacksThatFailInTurnConvictNobody(t *testing.T) {
	endAt := func(ago time.Duration, digest dogwoodfleet.Digest, endpoint dogwoodfleet.EndpointID, trial bool) Notice {
		notice := sharedEnd(digest, endpoint, trial, true)
		notice.Age = ago
		return notice
	}
	rack := func(ago time.Duration, names ...dogwoodfleet.EndpointID) []Notice {
		var notices []Notice
		for i, name := range names {
			notices = append(notices, endAt(ago, dogwoodfleet.Digest{9, byte(i), name[0]}, name, false))
		}
		return notices
	}
	first := []Notice{endAt(3*time.Second, digest, "a", false)}
	tests := []struct {
		name    string
		notices []Notice
		want    Standing
	}{
		{"its trial's endpoint ended alone", slices.Concat(first, rack(3*time.Second, "b", "c", "d"), []Notice{endAt(time.Second, digest, "e", true)}), Convicted},
		{"another one ended a second before it", slices.Concat(first, []Notice{endAt(time.Second, digest, "e", true)}, rack(2*time.Second, "f")), Convicted},
		{"its trial's endpoint was one of a rack, of which one other was busy", slices.Concat(first, []Notice{endAt(time.Second, digest, "e", true)}, rack(time.Second, "f")), Suspect},
		{"the rest of the rack was seen a little later", slices.Concat(first, []Notice{endAt(time.Second, digest, "e", true)}, rack(800*time.Millisecond, "f", "g")), Suspect},
		{"racks ended three trials", slices.Concat(first,
			[]Notice{endAt(2*time.Second, digest, "e", true)}, rack(2*time.Second, "f", "g"),
			[]Notice{endAt(time.Second, digest, "h", true)}, rack(time.Second, "i", "j"),
			[]Notice{endAt(time.Millisecond, digest, "k", true)}, rack(time.Millisecond, "l", "m")), Convicted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ledger := NewLedger()
			ledger.Learn(start, test.notices)
			checkStanding(t, ledger, start, digest, test.want)
		})
	}
}

// Guards against refusing a harmless request once the others that a rack ended have been answered elsewhere: what ended
// together with its trial's endpoint is no longer in the ledger then.
func TestRackIsRemembered(t *testing.T) {
	ledger := NewLedger()
	ledger.Learn(start, []Notice{sharedEnd(digest, "a", false, true)})
	now := start.Add(2 * rackWindow)
	ledger.Learn(now, []Notice{sharedEnd(digest, "b", true, true), sharedEnd(otherDigest, "c", false, true)})
	checkStanding(t, ledger, now, digest, Suspect)
	ledger.Learn(now, ledger.Finished(now, Run{Digest: otherDigest, Request: "1", Shared: true}))
	checkStanding(t, ledger, now, digest, Suspect)
}

// Guards against a crashing request that is never refused since so many copies of it ran at the first moment that the end of
// its trial's endpoint was not recorded.
func TestManyCopiesAreRefused(t *testing.T) {
	ledger := NewLedger()
	for number := range 2 * maxSharedStrikes {
		ledger.Learn(start, []Notice{sharedEnd(digest, endpoint(number), false, true)})
	}
	checkStanding(t, ledger, start, digest, Suspect)
	ledger.Learn(start, []Notice{sharedEnd(digest, "trial", true, true)})
	checkStanding(t, ledger, start, digest, Convicted)
	ledger.Learn(start, []Notice{sharedEnd(digest, "reported late", false, true)})
	checkStanding(t, ledger, start, digest, Convicted)
}

// Guards against a request that finished once and has crashed each endpoint since, such as one whose model has changed: it
// is no harmless one any more once endpoints have ended at three moments and none of its runs has finished in between.
func TestProvenDigestThatOnlyCrashesIsRefused(t *testing.T) {
	ledger := NewLedger()
	ledger.Finished(start, Run{Digest: digest, Request: "0", Shared: true})
	now := start
	for number := range 2 * maxSharedStrikes {
		now = start.Add(time.Duration(number) * 100 * time.Millisecond)
		want := Clear
		if now.Sub(start) >= 2*momentInterval {
			want = Suspect
		}
		ledger.Learn(now.Add(time.Millisecond), []Notice{sharedEnd(digest, endpoint(number), false, true)})
		checkStanding(t, ledger, now, digest, want)
	}
	ledger.Learn(now, []Notice{sharedEnd(digest, "trial", true, true)})
	checkStanding(t, ledger, now, digest, Convicted)
	ledger.Learn(now, ledger.Finished(now, Run{Digest: digest, Request: "1", Shared: true}))
	checkStanding(t, ledger, now, digest, Clear)
}

// Guards against a crashing request that is never refused, since a popular harmless one ran on all endpoints that it
// ended and on more.
func TestProvenDigestExplainsNoEnds(t *testing.T) {
	ledger := NewLedger()
	ledger.Finished(start, Run{Digest: otherDigest, Request: "0", Shared: true})
	ledger.Learn(start, []Notice{sharedEnd(otherDigest, "c", false, true)})
	now := start.Add(2 * rackWindow) // "c" was not of the rack of the others
	ledger.Learn(now, []Notice{
		sharedEnd(digest, "a", false, true), sharedEnd(otherDigest, "a", false, true),
		sharedEnd(digest, "b", true, true), sharedEnd(otherDigest, "b", false, true),
	})
	checkStanding(t, ledger, now, digest, Convicted)
	checkStanding(t, ledger, now, otherDigest, Clear)
}

// Guards against refusing a request for long on the word of a daemon whose own way to the endpoints was cut: their
// entries stay, so their ends are never confirmed.
func TestUnconfirmedEndsRefuseOnlyForAMoment(t *testing.T) {
	ledger := NewLedger()
	ledger.Learn(start, []Notice{sharedEnd(digest, "a", false, false), sharedEnd(digest, "b", true, false)})
	checkStanding(t, ledger, start, digest, Convicted)
	checkStanding(t, ledger, start.Add(ProvisionalTTL), digest, Suspect)
	ledger.Confirm("a")
	ledger.Confirm("b")
	checkStanding(t, ledger, start.Add(ProvisionalTTL), digest, Convicted)
	checkStanding(t, ledger, start.Add(ConvictionTTL), digest, Clear)
}

// Guards against a ledger that grows without bound, or that keeps endpoints of records that it dropped.
func TestSharedStrikesAreBounded(t *testing.T) {
	ledger := NewLedger()
	for number := range MaxRecords + 100 {
		digest := dogwoodfleet.Digest{byte(number), byte(number >> 8), byte(number >> 16)}
		ledger.Learn(start, []Notice{sharedEnd(digest, endpoint(number%1000), false, false)})
	}
	if got := len(ledger.records); got > MaxRecords {
		t.Errorf("got %d records, want at most %d", got, MaxRecords)
	}
	struck := 0
	for _, ended := range ledger.ended {
		struck += len(ended.digests)
	}
	if struck != len(ledger.records) {
		t.Errorf("got %d strikes by endpoint, want %d", struck, len(ledger.records))
	}
	for number := range 100 {
		ledger.Learn(start, []Notice{sharedEnd(digest, endpoint(number), true, false)})
	}
	if got := len(ledger.records[digest].shared); got > maxSharedStrikes {
		t.Errorf("got %d strikes of one digest, want at most %d", got, maxSharedStrikes)
	}
}
