package dogwoodsuspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// MaxPartRecords bounds the parts with strikes.
	MaxPartRecords = 8192
	// maxPartStrikes bounds the strikes of a part, and maxClearedCustomers the customers that a record exempts.
	maxPartStrikes      = 256
	maxClearedCustomers = 64
	// maxPools bounds the models of services whose latest answers are known.
	maxPools = 256
	// keptBegins is the number of latest answers that are known of a pool. A part that is in more of its prompts than all but
	// minOtherBegins in this many is seldom refused without trials.
	keptBegins = 12
	// maxRecentBegins is the size of each of the two generations of parts whose answers began.
	maxRecentBegins = 8192
	// probationTime is how long after a refusal a part runs as a suspect, one request at a time in the whole system.
	probationTime = time.Hour
)

// Subject is what is known of a request whose run may end its endpoint.
type Subject struct {
	Request  dogwoodfleet.RequestID
	Digest   dogwoodfleet.Digest
	Customer dogwoodfleet.Customer
	Parts    []dogwoodfleet.PromptPart
}

// PartStrikeNotice returns the notice that an endpoint ended before it had begun its answer to a request.
func (subject *Subject) PartStrikeNotice(endpoint dogwoodfleet.EndpointID, age time.Duration, confirmed, trial bool) Notice {
	return Notice{
		Kind: PartStrike, Digest: subject.Digest, Request: subject.Request, Customer: subject.Customer, Parts: subject.Parts,
		Endpoint: endpoint, Age: age, Confirmed: confirmed, PartTrial: trial,
	}
}

// partStrike is the end of an endpoint that had not begun its answer to a prompt with the part.
type partStrike struct {
	digest    dogwoodfleet.Digest
	request   dogwoodfleet.RequestID
	customer  dogwoodfleet.Customer
	endpoint  dogwoodfleet.EndpointID
	at        time.Time
	confirmed bool
	// trial is true if the run was the only one with the part in the whole system.
	trial bool
}

// isVoid reports whether the end is not known to have happened: the endpoint of a trial gave no answer, and its entry stayed.
func (strike *partStrike) isVoid(now time.Time) bool {
	return strike.trial && !strike.confirmed && now.Sub(strike.at) >= ProvisionalTTL
}

// partRecord holds what is known of a part under which endpoints ended. An answer that begins to a customer's prompt removes
// that customer's strikes.
type partRecord struct {
	strikes []partStrike // by time
	// cleared holds the customers whose answers have begun since the first strike, and when the latest one did.
	cleared map[dogwoodfleet.Customer]time.Time
	expires time.Time
	// shown is true once this daemon or another one has refused the part while answers to prompts without it began: the ends were no
	// chance. An answer to a prompt with the part that begins after the last of them resets it.
	shown bool
}

// latestAnswer returns when an answer to a prompt with the part last began since the first strike, zero if none did.
func (record *partRecord) latestAnswer() time.Time {
	var latest time.Time
	for _, begun := range record.cleared {
		if begun.After(latest) {
			latest = begun
		}
	}
	return latest
}

// PartLedger holds one daemon's records of parts of prompts. It is not safe for concurrent use.
//
// Load pattern: requests of which no two are alike share one part of their prompts, and each endpoint ends as it begins an
// answer to one of them. Each end names all parts of all prompts that had not begun there, of which one is the cause.
type PartLedger struct {
	records map[dogwoodfleet.PromptPart]*partRecord
	// recent holds when answers to prompts with a part last began, by customer.
	recent [2]map[uint64]time.Time
	// begins holds the latest answers that began at this daemon, by the pool of their prompts' parts.
	begins  map[string]*latestBegins
	version uint64
}

// latestBegins holds the latest answers that began, in a ring.
type latestBegins struct {
	answers [keptBegins]begunAnswer
	next    int
}

// begunAnswer is an answer that began, with the hashes of its prompt's parts.
type begunAnswer struct {
	at    time.Time
	parts []uint64
}

func (latestBegins *latestBegins) add(begun time.Time, parts []dogwoodfleet.PromptPart) {
	answer := &latestBegins.answers[latestBegins.next]
	answer.at, answer.parts = begun, answer.parts[:0]
	for _, part := range parts {
		answer.parts = append(answer.parts, xxhash.Sum64String(string(part)))
	}
	latestBegins.next = (latestBegins.next + 1) % len(latestBegins.answers)
}

// haveOthersSince reports whether enough answers to prompts without a part have begun since a time. Those to prompts with it say
// nothing against it.
func (latestBegins *latestBegins) haveOthersSince(since time.Time, part dogwoodfleet.PromptPart) bool {
	if latestBegins == nil {
		return false
	}
	hash, others := xxhash.Sum64String(string(part)), 0
	for i := range latestBegins.answers {
		if answer := &latestBegins.answers[i]; !answer.at.Before(since) && !slices.Contains(answer.parts, hash) {
			others++
		}
	}
	return others >= minOtherBegins
}

// recordBegin records that an answer to a prompt with some parts began here. All parts are of one pool.
func (ledger *PartLedger) recordBegin(parts []dogwoodfleet.PromptPart, begun time.Time) {
	pool := parts[0].Pool()
	latest := ledger.begins[pool]
	if latest == nil {
		if len(ledger.begins) >= maxPools {
			clear(ledger.begins) // the pools in use are back after a few answers
		}
		latest = &latestBegins{}
		ledger.begins[pool] = latest
	}
	latest.add(begun, parts)
}

// NewPartLedger returns an empty ledger.
func NewPartLedger() *PartLedger {
	return &PartLedger{
		records: map[dogwoodfleet.PromptPart]*partRecord{}, recent: [2]map[uint64]time.Time{{}, {}}, begins: map[string]*latestBegins{},
	}
}

// Version increases whenever the strikes change.
func (ledger *PartLedger) Version() uint64 { return ledger.version }

// Learn applies notices of this daemon or of others, and passes over those of other kinds.
func (ledger *PartLedger) Learn(now time.Time, notices []Notice) {
	for i := range notices {
		notice := &notices[i]
		for _, part := range notice.Parts {
			switch notice.Kind {
			case PartStrike:
				ledger.strike(now, part, notice)
			case Begun:
				ledger.clear(now.Add(-notice.Age), part, notice.Customer)
			case Lift:
				ledger.drop(part)
			case Strike, Conviction, Acquittal: // they are about digests
			}
		}
	}
}

func (ledger *PartLedger) strike(now time.Time, part dogwoodfleet.PromptPart, notice *Notice) {
	at := now.Add(-notice.Age)
	if at.Before(ledger.lastBegun(part, notice.Customer)) {
		return
	}
	found := ledger.records[part]
	if found == nil {
		if found = ledger.add(now, part); found == nil {
			return
		}
	}
	if notice.Refused && at.After(found.latestAnswer()) {
		ledger.markShown(found) // its sender may not know of the latest answer yet
	}
	known := slices.IndexFunc(found.strikes, func(strike partStrike) bool {
		return strike.endpoint == notice.Endpoint && strike.digest == notice.Digest
	})
	if known >= 0 {
		if notice.Confirmed && !found.strikes[known].confirmed {
			found.strikes[known].confirmed = true
			ledger.version++
		}
		return
	}
	if len(found.strikes) == maxPartStrikes {
		// The first strikes tell the part from others, the last one how long it is refused.
		found.strikes = found.strikes[:maxPartStrikes-1]
	}
	strike := partStrike{
		digest: notice.Digest, request: notice.Request, customer: notice.Customer, endpoint: notice.Endpoint, at: at, confirmed: notice.Confirmed,
		trial: notice.PartTrial,
	}
	index, _ := slices.BinarySearchFunc(found.strikes, strike, func(a, b partStrike) int { return a.at.Compare(b.at) })
	found.strikes = slices.Insert(found.strikes, index, strike)
	found.expires = found.strikes[len(found.strikes)-1].at.Add(ConvictionTTL + probationTime)
	ledger.version++
}

// markShown records that the part was refused.
func (ledger *PartLedger) markShown(record *partRecord) {
	if !record.shown {
		record.shown = true
		ledger.version++
	}
}

// clear removes a customer's strikes of a part from before an answer to it began.
func (ledger *PartLedger) clear(begun time.Time, part dogwoodfleet.PromptPart, customer dogwoodfleet.Customer) {
	ledger.recordRecent(part, customer, begun)
	found := ledger.records[part]
	if found == nil || len(found.strikes) == 0 || begun.Before(found.strikes[0].at) {
		return
	}
	if found.shown && begun.After(found.strikes[len(found.strikes)-1].at) {
		// The part was refused beside others, or in error. Further ends have to show anew that it is the cause.
		found.shown = false
		ledger.version++
	}
	before := len(found.strikes)
	found.strikes = slices.DeleteFunc(found.strikes, func(strike partStrike) bool {
		return strike.customer == customer && strike.at.Before(begun)
	})
	if len(found.strikes) < before {
		ledger.version++
	}
	if len(found.strikes) == 0 {
		ledger.drop(part)
		return
	}
	latest, known := found.cleared[customer]
	switch {
	case known && begun.After(latest):
		found.cleared[customer] = begun
	case !known && len(found.cleared) < maxClearedCustomers:
		if found.cleared == nil {
			found.cleared = map[dogwoodfleet.Customer]time.Time{}
		}
		found.cleared[customer] = begun
		ledger.version++
	}
}

// drop forgets the strikes of a part.
func (ledger *PartLedger) drop(part dogwoodfleet.PromptPart) {
	if _, known := ledger.records[part]; known {
		delete(ledger.records, part)
		ledger.version++
	}
}

// add returns a new record, nil if there is no room.
func (ledger *PartLedger) add(now time.Time, part dogwoodfleet.PromptPart) *partRecord {
	if len(ledger.records) >= MaxPartRecords {
		ledger.makeRoom(now)
	}
	if len(ledger.records) >= MaxPartRecords {
		return nil
	}
	added := &partRecord{}
	ledger.records[part] = added
	return added
}

// makeRoom drops records that have expired and some of a single end, so that parts that never come again push out no part that
// is refused.
func (ledger *PartLedger) makeRoom(now time.Time) {
	dropped := 0
	for part, record := range ledger.records {
		isSingle := len(record.strikes) == 1 && dropped < MaxPartRecords/8
		if !isSingle && !now.After(record.expires) {
			continue
		}
		delete(ledger.records, part)
		dropped++
	}
}

// Began records that an answer to a request began at this daemon, and returns the notices for the other daemons: those of
// parts that have strikes, here or in refusals that are known.
func (ledger *PartLedger) Began(now, begun time.Time, subject *Subject, refused func(dogwoodfleet.PromptPart) bool) []Notice {
	if len(subject.Parts) > 0 {
		ledger.recordBegin(subject.Parts, begun)
	}
	var struck []dogwoodfleet.PromptPart
	for _, part := range subject.Parts {
		if ledger.records[part] != nil || refused(part) {
			struck = append(struck, part)
		}
		ledger.clear(begun, part, subject.Customer)
	}
	if len(struck) == 0 {
		return nil
	}
	return []Notice{{Kind: Begun, Request: subject.Request, Customer: subject.Customer, Parts: struck, Age: now.Sub(begun)}}
}

// RecentBegins returns the notices of the latest answers to a customer's prompts with the request's parts that are known here.
// Other daemons need them to judge an end: an answer that began before it shows nothing of a part, one that began after earlier
// ends does.
func (ledger *PartLedger) RecentBegins(now time.Time, subject *Subject) []Notice {
	var notices []Notice
	for _, part := range subject.Parts {
		begun := ledger.lastBegun(part, subject.Customer)
		if age := now.Sub(begun); !begun.IsZero() && age < ConvictionTTL {
			notices = append(notices, Notice{
				Kind: Begun, Request: subject.Request, Customer: subject.Customer, Parts: []dogwoodfleet.PromptPart{part}, Age: age,
			})
		}
	}
	return notices
}

// Confirm records that the ends of endpoints are certain. An endpoint that is no longer listed long after a trial there ended for
// another reason.
func (ledger *PartLedger) Confirm(now time.Time, isListed func(dogwoodfleet.EndpointID) bool) {
	for _, record := range ledger.records {
		for i := range record.strikes {
			if strike := &record.strikes[i]; !strike.confirmed && !strike.isVoid(now) && !isListed(strike.endpoint) {
				strike.confirmed = true
				ledger.version++
			}
		}
	}
}

// Notices returns the strikes in force and the customers that are exempt, for a daemon that has just started.
func (ledger *PartLedger) Notices(now time.Time) []Notice {
	type run struct {
		digest   dogwoodfleet.Digest
		endpoint dogwoodfleet.EndpointID
		refused  bool
		trial    bool
	}
	byRun := map[run]*Notice{}
	var notices []Notice
	for part, record := range ledger.records {
		if now.After(record.expires) {
			continue
		}
		for customer, begun := range record.cleared {
			notices = append(notices, Notice{Kind: Begun, Customer: customer, Parts: []dogwoodfleet.PromptPart{part}, Age: now.Sub(begun)})
		}
		for i := range record.strikes {
			strike := &record.strikes[i]
			key := run{strike.digest, strike.endpoint, record.shown, strike.trial}
			notice := byRun[key]
			if notice == nil {
				notice = &Notice{
					Kind: PartStrike, Digest: strike.digest, Request: strike.request, Customer: strike.customer, Endpoint: strike.endpoint,
					Age: now.Sub(strike.at), Confirmed: strike.confirmed, Refused: record.shown, PartTrial: strike.trial,
				}
				byRun[key] = notice
			}
			notice.Parts = append(notice.Parts, part)
		}
	}
	for _, notice := range byRun {
		notices = append(notices, *notice)
	}
	// A begin that is applied before the strikes of other customers would exempt nobody.
	slices.SortStableFunc(notices, func(a, b Notice) int { return cmp.Compare(b.Kind, a.Kind) })
	return notices
}

func recentKey(part dogwoodfleet.PromptPart, customer dogwoodfleet.Customer) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(string(customer)) // a hash returns no error
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(string(part))
	return hash.Sum64()
}

func (ledger *PartLedger) recordRecent(part dogwoodfleet.PromptPart, customer dogwoodfleet.Customer, begun time.Time) {
	key := recentKey(part, customer)
	if begun.Before(ledger.recent[0][key]) {
		return
	}
	if len(ledger.recent[0]) >= maxRecentBegins {
		ledger.recent[0], ledger.recent[1] = ledger.recent[1], ledger.recent[0]
		clear(ledger.recent[0])
	}
	ledger.recent[0][key] = begun
}

// lastBegun returns when an answer to a customer's prompt with the part last began, zero if that is not known.
func (ledger *PartLedger) lastBegun(part dogwoodfleet.PromptPart, customer dogwoodfleet.Customer) time.Time {
	key := recentKey(part, customer)
	first, second := ledger.recent[0][key], ledger.recent[1][key]
	if second.After(first) {
		return second
	}
	return first
}
