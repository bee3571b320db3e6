// Package dogwoodjudge computes a result from what callers received and what stand-ins ran. It uses
// no data from daemons.
package dogwoodjudge

import (
	"net/http"
	"net/netip"
	"slices"
	"time"

	"dogwoodmux.example/core/dogwoodproblem"
	"dogwoodmux.example/dogwoodload/dogwoodresult"
	"dogwoodmux.example/dogwoodload/dogwoodsender"
	"dogwoodmux.example/dogwoodload/dogwoodtrace"
)

// deadlineTolerance is how long after its deadline an outcome may reach the caller without being
// late. The deadline is a duration that the daemon counts from the arrival of the request, which on
// a busy machine is later than the time when the caller began to send.
const deadlineTolerance = 250 * time.Millisecond

// Outcome is how a request ended. Each request has exactly one.
type Outcome string

// The outcomes.
const (
	Answered      Outcome = "Answered"
	RefusedNotRun Outcome = "RefusedNotRun"
	Failed        Outcome = "Failed"
	Unknown       Outcome = "Unknown"
	Lost          Outcome = "Lost"
)

// OutcomeOf returns how a request ended for its caller.
func OutcomeOf(sample *dogwoodsender.Sample) Outcome {
	switch {
	case sample.Problem != nil:
		return problemOutcome(sample.Problem)
	case !sample.Whole:
		return Lost
	case sample.Status < http.StatusMultipleChoices:
		return Answered
	default:
		return Failed
	}
}

func problemOutcome(problem *dogwoodproblem.Problem) Outcome {
	switch problem.NotRun {
	case dogwoodproblem.True:
		return RefusedNotRun
	case dogwoodproblem.False:
		return Failed
	default:
		return Unknown
	}
}

// Late reports whether the request had no outcome by its deadline plus deadlineTolerance. The time for which the caller itself
// did not read is not counted.
func Late(sample *dogwoodsender.Sample) bool {
	return sample.Took-time.Duration(sample.Arrival.ReadPause) > time.Duration(sample.Arrival.Deadline)+deadlineTolerance
}

// Ran holds what the stand-ins ran.
type Ran struct {
	// Runs counts runs by load ID and RunsOfKey by idempotency key, over all stand-ins.
	Runs      map[string]int
	RunsOfKey map[string]int
	// LastRun is the time of the latest run of each load ID.
	LastRun map[string]time.Time
	// LeakedMemory and the overruns are sums over all engines and servers.
	LeakedMemory       int
	ColdOverruns       int
	UntoldColdOverruns int
}

// wasRun reports whether the request that the caller's answer refers to was run. Attempts with the
// same idempotency key are one request. A request without a key that was sent again counts as two:
// the answer refers to the second attempt, and runs of the first are ignored.
func (ran *Ran) wasRun(sample *dogwoodsender.Sample) bool {
	id := sample.Arrival.LoadID
	if sample.Resent.IsZero() || sample.Arrival.Key != "" {
		return ran.Runs[id] > 0
	}
	return ran.LastRun[id].After(sample.Resent)
}

// Speed is the speed of an idle engine, in tokens a second.
type Speed struct {
	Prefill float64
	Decode  float64
}

// Judge fills in the result from the samples and from what the stand-ins ran.
func Judge(result *dogwoodresult.Result, samples []dogwoodsender.Sample, ran *Ran, speed Speed) {
	result.Sent = len(samples)
	doubledKeys := map[string]bool{}
	for i := range samples {
		sample := &samples[i]
		outcome := OutcomeOf(sample)
		countOutcome(result, outcome)
		if Late(sample) {
			result.Late++
		}
		if inTime(sample) {
			result.InTime++
		}
		if !sample.Resent.IsZero() {
			result.Resent++
		}
		if sample.Wrong != nil {
			result.Crossed++
		}
		if outcome == RefusedNotRun && ran.wasRun(sample) {
			result.FalseNotRun++
		}
		if key := sample.Arrival.Key; key != "" && ran.RunsOfKey[key] > 1 && !doubledKeys[key] {
			doubledKeys[key] = true
			result.Doubled++
		}
	}
	result.LeakedMemory = ran.LeakedMemory
	result.ColdOverruns = ran.ColdOverruns
	result.UntoldColdOverruns = ran.UntoldColdOverruns
	result.FirstToken = firstTokens(samples)
	result.ShortSlowdownP50, result.ShortSlowdownP99 = shortSlowdown(samples, speed)
	result.InTimeByCustomer = countByCustomer(samples)
	result.InTimeByRank = countByRank(samples)
	result.Reasons = reasons(samples)
	result.Timeline = timeline(samples)
	result.Examples = examples(samples, ran)
}

func countOutcome(result *dogwoodresult.Result, outcome Outcome) {
	switch outcome {
	case Answered:
		result.Answered++
	case RefusedNotRun:
		result.RefusedNotRun++
	case Failed:
		result.Failed++
	case Unknown:
		result.Unknown++
	case Lost:
		result.Lost++
	}
}

func inTime(sample *dogwoodsender.Sample) bool {
	return OutcomeOf(sample) == Answered && sample.Wrong == nil && !Late(sample)
}

// Stop is a graceful shutdown of the daemon at the address Entry.
type Stop struct {
	Entry    string
	From, To time.Time
}

// CountCutByStops counts requests that were in progress at a daemon during its graceful shutdown and that ended
// there neither answered nor refused as not run, including those that the caller then sent again.
func CountCutByStops(stops []Stop, samples []dogwoodsender.Sample) int {
	count := 0
	for i := range samples {
		sample := &samples[i]
		outcome := OutcomeOf(sample)
		ended := sample.Sent.Add(sample.Took)
		failed := outcome != Answered && outcome != RefusedNotRun
		if slices.ContainsFunc(stops, func(stop Stop) bool {
			return failed && stop.overlaps(sample.Entry, sample.Sent, ended) ||
				!sample.Resent.IsZero() && stop.overlaps(sample.BrokenEntry, sample.Sent, sample.Resent)
		}) {
			count++
		}
	}
	return count
}

func (stop Stop) overlaps(entry netip.AddrPort, from, to time.Time) bool {
	return entry.String() == stop.Entry && from.Before(stop.To) && to.After(stop.From)
}

// Kill is an abrupt end of the daemon at the address Entry.
type Kill struct {
	Entry string
	At    time.Time
}

// CountLostToKills counts lost requests that were in progress at a daemon when it was killed. Their callers
// saw a broken connection, since no daemon remained to answer them.
func CountLostToKills(kills []Kill, samples []dogwoodsender.Sample) int {
	count := 0
	for i := range samples {
		sample := &samples[i]
		if OutcomeOf(sample) != Lost {
			continue
		}
		if slices.ContainsFunc(kills, func(kill Kill) bool {
			return Stop{Entry: kill.Entry, From: kill.At, To: kill.At}.overlaps(sample.Entry, sample.Sent, sample.Sent.Add(sample.Took))
		}) {
			count++
		}
	}
	return count
}

// isShort reports whether the request counts in the slowdown of short requests.
func isShort(arrival *dogwoodtrace.Arrival) bool {
	return arrival.Kind == dogwoodtrace.Chat && arrival.PromptTokens <= maxShortPromptTokens && arrival.Poison == ""
}

// maxShortPromptTokens is the longest prompt that counts as short. The data sheet of one listed
// vehicle fits in it.
const maxShortPromptTokens = 4000
