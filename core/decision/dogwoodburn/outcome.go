// Package dogwoodburn counts the outcomes of requests and computes how fast the error budget
// of each objective burns.
//
// Load pattern: a fault that fails a few requests in a hundred thousand must be detected
// before the error budget of the period is spent, and a short burst of failures must not page
// anybody after it has ended. A single window can't do both. Each alert therefore requires a
// high burn rate in a long window, which shows that the fault matters, and in a short one,
// which shows that it is still going on.
//
// Counts are kept in one-minute buckets for an hour and in one-hour buckets for three days.
// The size of a bucket is bounded: customers beyond the bound are counted together as Others,
// so that a flood of new customers can't exhaust the daemon's memory.
package dogwoodburn

import (
	"slices"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
)

// Class is the result of a request as its caller sees it.
type Class string

// The values of Class.
const (
	Answered Class = "Answered"
	Refused  Class = "Refused"
	Failed   Class = "Failed"
)

// Outcome describes how one request of a caller ended.
type Outcome struct {
	Service  dogwoodfleet.Service
	Customer dogwoodfleet.Customer
	// DataCentre is the data centre of the endpoint that ran the request, or that of the
	// entry daemon if no endpoint ran it.
	DataCentre dogwoodfleet.DataCentre
	Class      Class
	// Reason is empty if Class is Answered.
	Reason dogwoodfleet.Reason
	// InTime is true if the whole answer was sent by the deadline.
	InTime       bool
	PromptTokens int
	// FirstToken is the time from the arrival of the request to the first byte of the
	// answer; 0 if there was no answer.
	FirstToken time.Duration
}

// Cause is why a request was counted against the error budget: the reason of a refusal or
// failure, or Late.
type Cause string

// Late is the cause of an answer that came after its deadline.
const Late Cause = "Late"

// Others stands for all customers beyond a bucket's bound.
const Others dogwoodfleet.Customer = "(others)"

// Key identifies a set of counts.
type Key struct {
	Service    dogwoodfleet.Service
	Customer   dogwoodfleet.Customer
	DataCentre dogwoodfleet.DataCentre
}

// Counts holds the outcomes of one key, in one bucket or summed over several.
type Counts struct {
	// Total is the number of requests without the excluded ones; InTime is the number of those
	// that were answered in time.
	Total  uint64
	InTime uint64
	// Excluded is the number of requests that the caller cancelled, that exceeded the
	// customer's stated limit, that don't fit any endpoint or that were invalid. They are not
	// faults of the service.
	Excluded   uint64            `json:",omitempty"`
	Causes     []CauseCount      `json:",omitempty"`
	FirstToken []FirstTokenCount `json:",omitempty"`
}

// CauseCount is the number of requests counted against the error budget for one cause.
type CauseCount struct {
	Cause Cause
	Count uint64
}

// FirstTokenCount holds the number of first tokens for prompts of one length class.
type FirstTokenCount struct {
	UpToTokens int
	Total      uint64
	InTime     uint64
}

// add counts one outcome and evaluates it against the objectives.
func (counts *Counts) add(outcome Outcome, objectives dogwoodsettings.Objectives) {
	if excluded(outcome.Reason) {
		counts.Excluded++
		return
	}
	counts.Total++
	switch {
	case outcome.Class != Answered:
		counts.addCause(Cause(outcome.Reason), 1)
	case outcome.InTime:
		counts.InTime++
	default:
		counts.addCause(Late, 1)
	}
	counts.addFirstToken(outcome, objectives.FirstToken)
}

// excluded reports whether requests with the given reason are left out of all objectives.
func excluded(reason dogwoodfleet.Reason) bool {
	switch reason {
	case dogwoodfleet.ReasonCancelled, dogwoodfleet.ReasonLimit, dogwoodfleet.ReasonTooLarge,
		dogwoodfleet.ReasonBadRequest, dogwoodfleet.ReasonKey, dogwoodfleet.ReasonKeyMissing,
		dogwoodfleet.ReasonKeyReused, dogwoodfleet.ReasonRunning:
		return true
	default:
		return false
	}
}

func (counts *Counts) addCause(cause Cause, count uint64) {
	for i := range counts.Causes {
		if counts.Causes[i].Cause == cause {
			counts.Causes[i].Count += count
			return
		}
	}
	counts.Causes = append(counts.Causes, CauseCount{Cause: cause, Count: count})
}

// addFirstToken counts a first token under the objective with the shortest length class that
// fits the prompt.
func (counts *Counts) addFirstToken(outcome Outcome, objectives []dogwoodsettings.FirstTokenObjective) {
	if outcome.FirstToken <= 0 {
		return
	}
	var objective *dogwoodsettings.FirstTokenObjective
	for i := range objectives {
		fits := outcome.PromptTokens <= objectives[i].UpToTokens
		if fits && (objective == nil || objectives[i].UpToTokens < objective.UpToTokens) {
			objective = &objectives[i]
		}
	}
	if objective == nil {
		return
	}
	count := FirstTokenCount{UpToTokens: objective.UpToTokens, Total: 1}
	if outcome.FirstToken <= time.Duration(objective.Within) {
		count.InTime = 1
	}
	counts.mergeFirstToken(count)
}

func (counts *Counts) mergeFirstToken(added FirstTokenCount) {
	for i := range counts.FirstToken {
		if counts.FirstToken[i].UpToTokens == added.UpToTokens {
			counts.FirstToken[i].Total += added.Total
			counts.FirstToken[i].InTime += added.InTime
			return
		}
	}
	counts.FirstToken = append(counts.FirstToken, added)
}

// merge adds the given counts to the receiver.
func (counts *Counts) merge(added *Counts) {
	counts.Total += added.Total
	counts.InTime += added.InTime
	counts.Excluded += added.Excluded
	for _, cause := range added.Causes {
		counts.addCause(cause.Cause, cause.Count)
	}
	for _, first := range added.FirstToken {
		counts.mergeFirstToken(first)
	}
}

func (counts *Counts) clone() Counts {
	copied := *counts
	copied.Causes = slices.Clone(counts.Causes)
	copied.FirstToken = slices.Clone(counts.FirstToken)
	return copied
}
