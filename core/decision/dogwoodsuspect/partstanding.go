package dogwoodsuspect

import (
	"slices"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// PartRefusals holds refusals by part.
type PartRefusals map[dogwoodfleet.PromptPart]*PartRefusal

// Strictest returns the refusal that restricts a request the most, and the standing that it gives it; nil for none.
func (partRefusals PartRefusals) Strictest(now time.Time, subject *Subject) (*PartRefusal, Standing) {
	var strictest *PartRefusal
	worst := Clear
	if len(partRefusals) == 0 {
		return nil, Clear
	}
	for _, part := range subject.Parts {
		refusal := partRefusals[part]
		if refusal == nil {
			continue
		}
		if standing := refusal.Standing(now, subject); standing > worst {
			strictest, worst = refusal, standing
		}
	}
	return strictest, worst
}

// PartGate returns the digest under which the trials of a part get their permits.
func PartGate(part dogwoodfleet.PromptPart) dogwoodfleet.Digest {
	return dogwoodfleet.NewDigester("", "part", string(part)).Digest()
}

// HasStrikes reports whether any part has strikes.
func (ledger *PartLedger) HasStrikes() bool { return len(ledger.records) > 0 }

// IsNearRefusal reports whether one more independent end would suffice to refuse a part of a request's prompt.
func (ledger *PartLedger) IsNearRefusal(now time.Time, subject *Subject) bool {
	return slices.ContainsFunc(subject.Parts, func(part dogwoodfleet.PromptPart) bool {
		record := ledger.records[part]
		if record == nil || now.After(record.expires) {
			return false
		}
		candidate := newPartCandidate(now, part, record)
		return candidate.independent >= minPartEnds-1
	})
}

// Undecided returns the parts that have nearly enough ends to be refused, and of which too few answers to other prompts are known
// to tell whether they are the cause.
func (ledger *PartLedger) Undecided(now time.Time) []dogwoodfleet.PromptPart {
	var undecided []dogwoodfleet.PromptPart
	for part, record := range ledger.records {
		if now.After(record.expires) || len(record.strikes) < minPartEnds-1 {
			continue
		}
		if candidate := newPartCandidate(now, part, record); candidate.independent >= minPartEnds-1 && ledger.evidence(candidate) < endedTrials {
			undecided = append(undecided, part)
		}
	}
	return undecided
}

// LearnOthers records the answers at other daemons of which notices have all parts, as those that begin here.
func (ledger *PartLedger) LearnOthers(now time.Time, notices []Notice) {
	for i := range notices {
		if notice := &notices[i]; notice.Whole && len(notice.Parts) > 0 {
			ledger.recordBegin(notice.Parts, now.Add(-notice.Age))
		}
	}
}

// KnownAnswered returns the parts of a request's prompt under which endpoints ended and of which an answer to the same customer
// is known that began after all of these ends: another one tells the other daemons nothing new.
func (ledger *PartLedger) KnownAnswered(subject *Subject) []dogwoodfleet.PromptPart {
	var answered []dogwoodfleet.PromptPart
	for _, part := range subject.Parts {
		record := ledger.records[part]
		if record == nil || len(record.strikes) == 0 {
			continue
		}
		if ledger.lastBegun(part, subject.Customer).After(record.strikes[len(record.strikes)-1].at) {
			answered = append(answered, part)
		}
	}
	return answered
}
