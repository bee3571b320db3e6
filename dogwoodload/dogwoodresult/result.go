// Package dogwoodresult holds what one run of a scenario found, and writes it.
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

// Duration is a time.Duration written as it prints itself.
type Duration = dogwoodsettings.Duration

// Result is what callers received and what the stand-ins ran, never a daemon's own word but
// for ConfigSpread, which daemons alone can tell.
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
	// Late are requests that were neither answered nor refused or failed by their deadline.
	Late int
	// Lost got no answer of any kind, or one that ended without its end.
	Lost int
	// LostWithEntry are those of Lost that were at a daemon when it was killed: the caller saw
	// its connection break.
	LostWithEntry int
	// Doubled are calls that may not be repeated and that ran more than once.
	Doubled int
	// Crossed are answers whose bytes are not wholly the request's own.
	Crossed int
	// FalseNotRun are refusals that say not run although a stand-in ran the request.
	FalseNotRun int
	// LeakedMemory is in tokens, on any engine 5 s after the load ended.
	LeakedMemory int
	// ColdOverruns are the times an endpoint got more than it bears while cold, after any
	// answer of it could tell.
	ColdOverruns int
	// UntoldColdOverruns are those before: each time a warm engine turns cold, what arrives
	// until its first answer has begun.
	UntoldColdOverruns int
	// NewWorkAfterTakeOut is how long after an accepted take-out new work still arrived.
	NewWorkAfterTakeOut Duration
	// ConfigSpread is the worst time from an accepted change to the last daemon that had it.
	ConfigSpread Duration
	// Resent are requests whose connection broke and that their callers sent once more. Each
	// has the outcome of its second sending.
	Resent int
	// CutByShutdown are requests that a graceful shutdown cut.
	CutByShutdown int
	// ShortSlowdown is the time of a short request over its time on an idle engine.
	ShortSlowdownP50 float64
	ShortSlowdownP99 float64
	FirstToken       []FirstToken

	// InTime are requests answered by their deadline.
	InTime int
	// InTimeByCustomer is the share of each customer's requests answered by their deadline.
	InTimeByCustomer []CustomerShare `json:",omitempty"`
	// Reasons counts refusals and failures by the reason that callers were told.
	Reasons []ReasonCount `json:",omitempty"`
	// Events are what was done to the system, and Timeline how service went, by second.
	Events   []Event  `json:",omitempty"`
	Timeline []Second `json:",omitempty"`
	// StepsFailed are what the scenario could not do, or found wrong.
	StepsFailed []string `json:",omitempty"`
	// Examples are a few requests that went wrong, for a first look.
	Examples []string `json:",omitempty"`
}

// FirstToken is the time to the first token of prompts of one length class.
type FirstToken struct {
	UpTo          int
	Count         int
	P50, P95, P99 Duration
}

// CustomerShare is one customer's part of a result.
type CustomerShare struct {
	Customer dogwoodfleet.Customer
	Sent     int
	InTime   int
}

// ReasonCount counts outcomes with one reason.
type ReasonCount struct {
	Reason string
	Count  int
}

// Event is something that the scenario did.
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
	// Bad are those late, failed, unknown or lost.
	Bad           int
	FirstTokenP95 Duration
}

// Read reads a result as Write writes it.
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

// Breaches lists what must never be, in words. Measures show how well; these show whether.
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
	if time.Duration(result.NewWorkAfterTakeOut) > longestTakeOut {
		breaches = append(breaches, "NewWorkAfterTakeOut "+time.Duration(result.NewWorkAfterTakeOut).String())
	}
	if time.Duration(result.ConfigSpread) > longestSpread {
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
	// longestTakeOut is "a few seconds" for new work in a place that was taken out.
	longestTakeOut = 3 * time.Second
	// longestSpread is how long a change may take to be in force everywhere.
	longestSpread = 3 * time.Second
)
