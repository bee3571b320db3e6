// Package dogwoodsuspect decides which requests are suspected of crashing endpoints.
//
// Load pattern: one request crashes each endpoint that runs it, and its caller sends it
// again, perhaps through several entry daemons at the same moment. Without a guard it takes
// the fleet down endpoint by endpoint. Each request that was running on an endpoint when it
// died gets a strike, recorded under a digest of customer and body. A digest with a strike is
// a suspect: a request with this digest runs alone on its endpoint, and only one such request
// runs at a time in the whole system. If the endpoint dies during such a run, the digest is
// convicted and its requests are refused; if the run finishes, the digest is cleared, so that
// harmless requests that ran beside a crashing one still succeed. A digest that was running on
// two endpoints that died, both before it could run alone, is also convicted unless it finished
// recently, since it is what the two deaths have in common.
//
// A crashing request thus kills two endpoints: the first, and the one on which it then runs
// alone. Owners share strikes by notices, which are sent before the failure is returned to
// the caller, so that all owners have the strikes when the caller resends at once. One owner,
// selected by a hash of the digest, permits one run of a suspect at a time.
package dogwoodsuspect

import (
	"slices"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// StrikeTTL is the time after which a strike expires. A caller resends a request within
	// its deadline of a few minutes, so ten minutes cover every resend.
	StrikeTTL = 10 * time.Minute
	// ConvictionTTL is the time for which a convicted digest is refused. After it the digest
	// may run again as a suspect, which costs at most one endpoint each time, and so fewer
	// than six endpoints an hour.
	ConvictionTTL = 10 * time.Minute
	// MaxRecords bounds the memory of a ledger. A failed rack of 40 engines with 64 requests
	// each leaves 2,560 suspects; ten such racks at once take 5 MB.
	MaxRecords = 32_768
	// maxProven is the size of each of the two generations of digests known to have finished.
	maxProven = 8192
)

// Standing is the status of a digest.
type Standing int

// The values of Standing.
const (
	Clear Standing = iota
	Suspect
	Convicted
)

// Kind is the type of event that a notice reports.
type Kind string

// The values of Kind.
const (
	Strike     Kind = "Strike"
	Conviction Kind = "Conviction"
	Acquittal  Kind = "Acquittal" // a run of a suspect finished
	Lift       Kind = "Lift"      // an operator cleared the digest or the parts
	// PartStrike and Begun are about the parts of a prompt: an endpoint ended before its answer began, or the answer began.
	PartStrike Kind = "PartStrike"
	Begun      Kind = "Begun"
)

// Notice reports an event about a digest to other owners. Applying a notice twice has no
// further effect.
type Notice struct {
	Kind   Kind
	Digest dogwoodfleet.Digest
	// Request identifies the attempt that was running when the endpoint died, or the one that
	// finished.
	Request dogwoodfleet.RequestID
	// Customer and Parts are the request's; they are empty in notices about its digest.
	Customer dogwoodfleet.Customer
	Parts    []dogwoodfleet.PromptPart
	// Endpoint is the endpoint that died.
	Endpoint dogwoodfleet.EndpointID
	// Age is the time since the event. It is relative because the owners' clocks differ.
	Age time.Duration
	// Shared is true for a strike at an endpoint that ran other requests too. Trial and Confirmed then have the
	// same meaning as in Run.
	Shared, Trial, Confirmed bool
	// Refused is true for a strike of a part that the sender refuses, PartTrial for one by a run that was the only one with the
	// part.
	Refused, PartTrial bool
	// Whole is true for a Begun notice with all parts of the answer's prompt, which shows that the answer began without others.
	Whole bool
}

// Run is a request that an endpoint ran until it finished or the endpoint died.
type Run struct {
	Digest  dogwoodfleet.Digest
	Request dogwoodfleet.RequestID
	// Alone is true if the request ran alone on its endpoint because it was a suspect.
	Alone bool
	// Shared is true if the endpoint ran other requests too.
	Shared bool
	// Trial is true if the request ran with a permit because it was a suspect, but not alone.
	Trial bool
	// Confirmed is true if the endpoint's end is certain.
	Confirmed bool
}

type record struct {
	strikes        []strike
	shared         []sharedStrike
	expires        time.Time
	convictedUntil time.Time              // zero if not convicted
	permitHolder   dogwoodfleet.RequestID // the suspect's request that may run now
	permitExpires  time.Time
	clearedAt      time.Time
	convictedAt    time.Time
}

type strike struct {
	request  dogwoodfleet.RequestID
	endpoint dogwoodfleet.EndpointID
}

// Ledger holds one owner's records of digests. It is not safe for concurrent use.
type Ledger struct {
	records map[dogwoodfleet.Digest]*record
	// ended holds the endpoints with shared strikes.
	ended  map[dogwoodfleet.EndpointID]*endedEndpoint
	proven [2]map[dogwoodfleet.Digest]struct{}
	// version counts the changes of shared strikes.
	version uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		records: map[dogwoodfleet.Digest]*record{},
		ended:   map[dogwoodfleet.EndpointID]*endedEndpoint{},
		proven:  [2]map[dogwoodfleet.Digest]struct{}{{}, {}},
	}
}

// Standing returns the standing of the digest and the time at which it expires, which is zero
// for Clear.
func (ledger *Ledger) Standing(now time.Time, digest dogwoodfleet.Digest) (Standing, time.Time) {
	found := ledger.records[digest]
	switch {
	case found == nil:
		return Clear, time.Time{}
	case now.Before(found.convictedUntil):
		return Convicted, found.convictedUntil
	case !now.Before(found.expires) || len(found.strikes)+len(found.shared) == 0:
		return Clear, time.Time{}
	}
	if until := ledger.sharedConviction(digest, found); now.Before(until) {
		return Convicted, until
	}
	if len(found.strikes) == 0 && ledger.isHarmless(digest, found) {
		return Clear, time.Time{}
	}
	return Suspect, found.expires
}

// Died records the death of an endpoint and the requests that were running there, and returns
// the notices to send to other owners.
func (ledger *Ledger) Died(now time.Time, endpoint dogwoodfleet.EndpointID, batch []Run) []Notice {
	notices := make([]Notice, 0, len(batch))
	for _, run := range batch {
		notice := Notice{
			Kind: Strike, Digest: run.Digest, Request: run.Request, Endpoint: endpoint,
			Shared: run.Shared, Trial: run.Trial, Confirmed: run.Confirmed,
		}
		if found := ledger.records[run.Digest]; run.Alone && found != nil && len(found.strikes) > 0 {
			notice.Kind = Conviction
		}
		notices = append(notices, notice)
	}
	ledger.Learn(now, notices)
	for i := range notices {
		if standing, _ := ledger.Standing(now, notices[i].Digest); standing == Convicted && !notices[i].Shared {
			notices[i].Kind = Conviction
		}
	}
	return notices
}

// Learn applies notices of this owner or of others.
func (ledger *Ledger) Learn(now time.Time, notices []Notice) {
	for i := range notices {
		notice := &notices[i]
		at := now.Add(-notice.Age)
		switch {
		case notice.Kind == PartStrike || notice.Kind == Begun || len(notice.Parts) > 0:
			// PartLedger learns it.
		case notice.Kind == Acquittal || notice.Kind == Lift:
			ledger.clear(at, notice)
		case notice.Shared:
			ledger.strikeShared(at, now, notice)
		default:
			ledger.strike(at, now, notice)
		}
	}
}

// clear removes the strikes and the conviction from a record but keeps the time, so that an
// earlier strike whose notice arrives later has no effect.
func (ledger *Ledger) clear(at time.Time, notice *Notice) {
	found := ledger.records[notice.Digest]
	if found == nil {
		found = ledger.add(at, notice.Digest)
	}
	if notice.Kind == Acquittal && len(found.shared) > 0 {
		ledger.recordProven(notice.Digest)
	}
	ledger.dropShared(notice.Digest, found, at)
	if notice.Kind == Acquittal && found.convictedAt.After(at) {
		return
	}
	found.strikes = nil
	found.convictedUntil = time.Time{}
	found.clearedAt = at
	found.expires = at.Add(StrikeTTL)
	found.permitHolder = ""
}

func (ledger *Ledger) strike(at, now time.Time, notice *Notice) {
	found := ledger.records[notice.Digest]
	if found == nil {
		found = ledger.add(now, notice.Digest)
	}
	if at.Before(found.clearedAt) {
		return
	}
	alreadyCounted := slices.ContainsFunc(found.strikes, func(strike strike) bool { return strike.request == notice.Request })
	secondEndpoint := !alreadyCounted && len(found.strikes) > 0 && !ledger.Proven(notice.Digest) &&
		found.strikes[0].endpoint != notice.Endpoint
	if !alreadyCounted && len(found.strikes) < 4 {
		found.strikes = append(found.strikes, strike{request: notice.Request, endpoint: notice.Endpoint})
	}
	found.expires = at.Add(StrikeTTL)
	if notice.Request == found.permitHolder {
		found.permitHolder = ""
	}
	if notice.Kind == Conviction || secondEndpoint {
		found.convictedUntil = at.Add(ConvictionTTL)
		found.convictedAt = at
	}
}

func (ledger *Ledger) add(now time.Time, digest dogwoodfleet.Digest) *record {
	if len(ledger.records) >= MaxRecords {
		ledger.sweep(now)
	}
	added := &record{}
	ledger.records[digest] = added
	return added
}

// sweep drops expired records and, if the ledger is still full, arbitrary ones until there is
// space for one more.
func (ledger *Ledger) sweep(now time.Time) {
	for digest, record := range ledger.records {
		if now.After(record.expires) && now.After(record.convictedUntil) {
			ledger.drop(digest, record)
		}
	}
	for digest, record := range ledger.records {
		if len(ledger.records) < MaxRecords {
			return
		}
		ledger.drop(digest, record)
	}
}

func (ledger *Ledger) drop(digest dogwoodfleet.Digest, found *record) {
	ledger.dropShared(digest, found, endOfTime)
	delete(ledger.records, digest)
}

// endOfTime is after every strike.
var endOfTime = time.Unix(1<<40, 0)

// Finished records that a run finished and returns the notices to send to other owners. A
// suspect that finished alone is cleared.
func (ledger *Ledger) Finished(now time.Time, run Run) []Notice {
	ledger.recordProven(run.Digest)
	found := ledger.records[run.Digest]
	if !run.Alone && (found == nil || len(found.shared) == 0) {
		return nil
	}
	notices := []Notice{{Kind: Acquittal, Digest: run.Digest, Request: run.Request}}
	ledger.Learn(now, notices)
	return notices
}

// Lift clears a digest at an operator's request and returns the notice to send to other owners.
func (ledger *Ledger) Lift(now time.Time, digest dogwoodfleet.Digest) []Notice {
	notices := []Notice{{Kind: Lift, Digest: digest}}
	ledger.Learn(now, notices)
	return notices
}

// Proven reports whether a request with the digest finished recently.
func (ledger *Ledger) Proven(digest dogwoodfleet.Digest) bool {
	for _, generation := range ledger.proven {
		if _, ok := generation[digest]; ok {
			return true
		}
	}
	return false
}

func (ledger *Ledger) recordProven(digest dogwoodfleet.Digest) {
	if len(ledger.proven[0]) >= maxProven {
		ledger.proven[0], ledger.proven[1] = ledger.proven[1], ledger.proven[0]
		clear(ledger.proven[0])
	}
	ledger.proven[0][digest] = struct{}{}
}

// ConvictedDigest is a convicted digest and the end of its conviction, as shown to operators.
type ConvictedDigest struct {
	Digest dogwoodfleet.Digest
	Until  time.Time
}

// Convictions returns the digests that are convicted now.
func (ledger *Ledger) Convictions(now time.Time) []ConvictedDigest {
	var convictions []ConvictedDigest
	for digest := range ledger.records {
		if standing, until := ledger.Standing(now, digest); standing == Convicted {
			convictions = append(convictions, ConvictedDigest{Digest: digest, Until: until})
		}
	}
	return convictions
}

// Notices returns the strikes and convictions in force, for a daemon that has just started.
func (ledger *Ledger) Notices(now time.Time) []Notice {
	var notices []Notice
	for digest, record := range ledger.records {
		kind, at := Strike, record.expires.Add(-StrikeTTL)
		if now.Before(record.convictedUntil) {
			kind, at = Conviction, record.convictedAt
		}
		if now.After(record.expires) && kind == Strike {
			continue
		}
		notices = append(notices, sharedNotices(now, digest, record)...)
		for _, strike := range record.strikes {
			notices = append(notices, Notice{
				Kind: kind, Digest: digest, Request: strike.request, Endpoint: strike.endpoint, Age: now.Sub(at),
			})
		}
	}
	return notices
}
