// Package dogwoodresult defines the result of one run of a scenario and prints it.
package dogwoodresult

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/zeebo/errs"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
)

// Error is the class of this package's errors.
var Error = errs.Class("result")

// Duration is a time.Duration that JSON encodes as text, such as "1.5s".
type Duration = dogwoodsettings.Duration

// Result summarizes what callers received and what the stand-ins ran. Only ConfigSpread
// uses data from daemons, because it can't be measured without them.
type Result struct {
	Scenario  string
	Seed      uint64
	Policy    string
	Daemons   int
	Endpoints int

	// Sent is the sum of Answered, RefusedNotRun, Failed, Unknown and Lost.
	Sent          int
	Answered      int
	RefusedNotRun int
	Failed        int
	Unknown       int
	// Late counts requests that were neither answered nor refused or failed by their deadline.
	Late int
	// Lost counts requests that got no answer of any kind, or a truncated one.
	Lost int
	// LostWithEntry counts those of Lost that were in progress at a daemon when it was killed:
	// the caller saw a broken connection.
	LostWithEntry int
	// Doubled counts calls that must run at most once and that ran more often.
	Doubled int
	// Crossed counts answers with content that does not belong to the request.
	Crossed int
	// FalseNotRun counts refusals that report "not run" although a stand-in ran the request.
	FalseNotRun int
	// LeakedMemory is the memory, in tokens, that all engines together still hold 5 s after the
	// load has ended.
	LeakedMemory int
	// ColdOverruns counts how often a cold endpoint got more work than its cold limit allows, after
	// one of its answers could have reported that it was cold.
	ColdOverruns int
	// UntoldColdOverruns counts the overruns before that: from the moment when a warm engine
	// turns cold until its first answer after that begins.
	UntoldColdOverruns int
	// NewWorkAfterTakeOut is the longest time after an accepted take-out at which new work still
	// arrived.
	NewWorkAfterTakeOut Duration
	// ConfigSpread is the longest time from the acceptance of a change until every daemon had it
	// in force.
	ConfigSpread Duration
	// Resent counts requests that their callers sent once more after the connection broke. Each
	// has the outcome of its second attempt.
	Resent int
	// CutByShutdown counts requests that a graceful shutdown of a daemon interrupted.
	CutByShutdown int
	// ShortSlowdownP50 and ShortSlowdownP99 are percentiles of the time of a short request
	// divided by its time on an idle engine.
	ShortSlowdownP50 float64
	ShortSlowdownP99 float64
	FirstToken       []FirstToken

	// InTime counts requests answered correctly by their deadline.
	InTime int
	// InTimeByCustomer counts the requests of each customer, and those answered by their deadline.
	InTimeByCustomer []CustomerShare `json:",omitempty"`
	// InTimeByRank counts the prompts of each rank, and those answered by their deadline. It is empty if all have the same rank.
	InTimeByRank []RankShare `json:",omitempty"`
	// Reasons counts requests that were not answered by outcome and by the reason that callers
	// received.
	Reasons []ReasonCount `json:",omitempty"`
	// Events are the steps carried out on the system. Timeline holds the outcomes by second.
	Events   []Event  `json:",omitempty"`
	Timeline []Second `json:",omitempty"`
	// StepsFailed describes steps that could not be carried out and checks that failed.
	StepsFailed []string `json:",omitempty"`
	// Examples describes a few requests that went wrong.
	Examples []string `json:",omitempty"`
}

// FirstToken is the time to the first token of prompts of one class.
type FirstToken struct {
	// UpTo is the upper bound of the class in tokens.
	UpTo          int
	Count         int
	P50, P95, P99 Duration
}

// CustomerShare holds the counts of one customer.
type CustomerShare struct {
	Customer dogwoodfleet.Customer
	Sent     int
	InTime   int
}

// RankShare holds the counts of one rank.
type RankShare struct {
	Rank   int
	Sent   int
	InTime int
}

// ReasonCount counts outcomes with one reason.
type ReasonCount struct {
	Reason string
	Count  int
}

// Event is a step of the scenario, or a remark on one.
type Event struct {
	At   Duration
	What string
}

// Second is the outcome of the requests sent in one second of the run.
type Second struct {
	At            Duration
	Sent          int
	InTime        int
	RefusedNotRun int
	// Bad counts requests that were late, failed, unknown, lost or crossed.
	Bad           int
	FirstTokenP95 Duration
}

// Read reads a result in the format that Write writes.
func Read(reader io.Reader) (*Result, error) {
	var result Result
	if err := json.NewDecoder(reader).Decode(&result); err != nil {
		return nil, Error.Wrap(err)
	}
	return &result, nil
}

// Write writes the result as one JSON object.
func Write(writer io.Writer, result *Result) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return Error.Wrap(encoder.Encode(result))
}

// Breaches describes the requirements that the result violates.
func (result *Result) Breaches() []string {
	var breaches []string
	check := func(name string, count int) {
		if count > 0 {
			breaches = append(breaches, fmt.Sprintf("%s %d", name, count))
		}
	}
	check("Late", result.Late)
	check("Lost", result.Lost-result.LostWithEntry)
	check("Lost with a killed daemon, which callers saw as a broken connection:", result.LostWithEntry)
	check("Doubled", result.Doubled)
	check("Crossed", result.Crossed)
	check("FalseNotRun", result.FalseNotRun)
	check("LeakedMemory", result.LeakedMemory)
	check("ColdOverruns", result.ColdOverruns)
	check("CutByShutdown", result.CutByShutdown)
	if time.Duration(result.NewWorkAfterTakeOut) > maxNewWorkAfterTakeOut {
		breaches = append(breaches, "NewWorkAfterTakeOut "+time.Duration(result.NewWorkAfterTakeOut).String())
	}
	if time.Duration(result.ConfigSpread) > maxConfigSpread {
		breaches = append(breaches, "ConfigSpread "+time.Duration(result.ConfigSpread).String())
	}
	if sum := result.Answered + result.RefusedNotRun + result.Failed + result.Unknown + result.Lost; sum != result.Sent {
		breaches = append(breaches, fmt.Sprintf("the outcomes add up to %d of %d sent", sum, result.Sent))
	}
	for _, failed := range result.StepsFailed {
		breaches = append(breaches, "step failed: "+failed)
	}
	return breaches
}

const (
	// maxNewWorkAfterTakeOut bounds the time in which new work may still arrive at a data centre
	// that was taken out of service. The requirement is "a few seconds".
	maxNewWorkAfterTakeOut = 3 * time.Second
	// maxConfigSpread bounds the time until a change is in force on every daemon.
	maxConfigSpread = 3 * time.Second
)
