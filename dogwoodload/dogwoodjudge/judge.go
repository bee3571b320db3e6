// Package dogwoodjudge turns what callers received and what stand-ins ran into a result. It
// hears no daemon.
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

// slack is how much later than its deadline an outcome may reach the caller. The deadline is
// a duration that the daemon counts from the request's arrival, which on a busy machine is
// some time after the caller began to send.
const slack = 250 * time.Millisecond

// Outcome is how one request ended. Each request has just one.
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
		return ofProblem(sample.Problem)
	case !sample.Whole:
		return Lost
	case sample.Status < http.StatusMultipleChoices:
		return Answered
	default:
		return Failed
	}
}

func ofProblem(problem *dogwoodproblem.Problem) Outcome {
	switch problem.NotRun {
	case dogwoodproblem.True:
		return RefusedNotRun
	case dogwoodproblem.False:
		return Failed
	default:
		return Unknown
	}
}

// Late is true if the request had no outcome by its deadline.
func Late(sample *dogwoodsender.Sample) bool {
	return sample.Took > time.Duration(sample.Arrival.Deadline)+slack
}

// Ran is what the stand-ins ran.
type Ran struct {
	// Runs counts runs by load id and RunsOfKey by idempotency key, over all stand-ins.
	Runs      map[string]int
	RunsOfKey map[string]int
	// LastRun is when each load id was last run.
	LastRun map[string]time.Time
	// LeakedMemory and the overruns are summed over the engines and servers.
	LeakedMemory       int
	ColdOverruns       int
	UntoldColdOverruns int
}

// ran tells whether what the caller was answered about was run. A call with a key is one
// call however often it is sent. A request without one that was sent again is two: the
// answer is about the second, whatever became of the first.
func (ran *Ran) ran(sample *dogwoodsender.Sample) bool {
	id := sample.Arrival.LoadID
	if sample.Resent.IsZero() || sample.Arrival.Key != "" {
		return ran.Runs[id] > 0
	}
	return ran.LastRun[id].After(sample.Resent)
}

// Speed is that of an idle engine, in tokens a second.
type Speed struct {
	Prefill float64
	Decode  float64
}

// Judge fills a result in from what was sent and what was run.
func Judge(result *dogwoodresult.Result, samples []dogwoodsender.Sample, ran *Ran, speed Speed) {
	result.Sent = len(samples)
	keys := map[string]bool{}
	for i := range samples {
		sample := &samples[i]
		outcome := OutcomeOf(sample)
		count(result, outcome)
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
		if outcome == RefusedNotRun && ran.ran(sample) {
			result.FalseNotRun++
		}
		if key := sample.Arrival.Key; key != "" && ran.RunsOfKey[key] > 1 && !keys[key] {
			keys[key] = true
			result.Doubled++
		}
	}
	result.LeakedMemory = ran.LeakedMemory
	result.ColdOverruns = ran.ColdOverruns
	result.UntoldColdOverruns = ran.UntoldColdOverruns
	result.FirstToken = firstTokens(samples)
	result.ShortSlowdownP50, result.ShortSlowdownP99 = shortSlowdown(samples, speed)
	result.InTimeByCustomer = byCustomer(samples)
	result.Reasons = reasons(samples)
	result.Timeline = timeline(samples)
	result.Examples = examples(samples, ran)
}

func count(result *dogwoodresult.Result, outcome Outcome) {
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

// Stop is a graceful shutdown of the daemon at an address.
type Stop struct {
	Entry    string
	From, To time.Time
}

// CutBy counts requests that were under way at a daemon while it stopped gracefully and that
// ended there without an answer or a true "not run", also if the caller sent them again.
func CutBy(stops []Stop, samples []dogwoodsender.Sample) int {
	cut := 0
	for i := range samples {
		sample := &samples[i]
		outcome := OutcomeOf(sample)
		ended := sample.Sent.Add(sample.Took)
		broken := outcome != Answered && outcome != RefusedNotRun
		if slices.ContainsFunc(stops, func(stop Stop) bool {
			return broken && stop.overlaps(sample.Entry, sample.Sent, ended) ||
				!sample.Resent.IsZero() && stop.overlaps(sample.BrokenEntry, sample.Sent, sample.Resent)
		}) {
			cut++
		}
	}
	return cut
}

func (stop Stop) overlaps(entry netip.AddrPort, from, to time.Time) bool {
	return entry.String() == stop.Entry && from.Before(stop.To) && to.After(stop.From)
}

// Kill is the death of the daemon at an address.
type Kill struct {
	Entry string
	At    time.Time
}

// LostWith counts lost requests that were at a daemon when it was killed. Their callers saw
// the connection break; no daemon is left that could tell them more.
func LostWith(kills []Kill, samples []dogwoodsender.Sample) int {
	lost := 0
	for i := range samples {
		sample := &samples[i]
		if OutcomeOf(sample) != Lost {
			continue
		}
		if slices.ContainsFunc(kills, func(kill Kill) bool {
			return Stop{Entry: kill.Entry, From: kill.At, To: kill.At}.overlaps(sample.Entry, sample.Sent, sample.Sent.Add(sample.Took))
		}) {
			lost++
		}
	}
	return lost
}

// isShort is true for prompts that the slowdown of short requests counts.
func isShort(arrival *dogwoodtrace.Arrival) bool {
	return arrival.Kind == dogwoodtrace.Chat && arrival.PromptTokens <= shortTokens && arrival.Poison == ""
}

// shortTokens is the longest prompt that counts as short: a listing's vehicle sheet.
const shortTokens = 4000
