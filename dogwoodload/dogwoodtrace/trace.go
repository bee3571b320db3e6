// Package dogwoodtrace defines traces: sequences of requests with their senders and arrival times. A
// trace is drawn from a seed or read from a file and does not depend on the policy under test.
package dogwoodtrace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/zeebo/errs"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
)

// Error is the class of this package's errors.
var Error = errs.Class("trace")

// Kind is the kind of a request.
type Kind string

// The kinds.
const (
	Chat   Kind = "Chat"   // a prompt for a model
	Lookup Kind = "Lookup" // a call of a plain service that may be repeated
	Hold   Kind = "Hold"   // a call of a plain service that must run at most once
)

// Arrival is one request of a trace.
type Arrival struct {
	// At is the time when the request is sent, since the start of the trace.
	At       dogwoodsettings.Duration
	LoadID   string
	Kind     Kind
	Customer dogwoodfleet.Customer
	Service  dogwoodfleet.Service
	Deadline dogwoodsettings.Duration
	// The fields below apply to prompts only, except Key.
	Model        dogwoodfleet.Model `json:",omitempty"`
	PromptTokens int                `json:",omitempty"`
	MaxTokens    int                `json:",omitempty"`
	Stream       bool               `json:",omitempty"`
	// Prefix is the number of the prefix that the prompt shares with others; 0 means none.
	Prefix       int `json:",omitempty"`
	PrefixTokens int `json:",omitempty"`
	// Poison, if not empty, makes the prompt crash the engine that runs it. Requests with the same
	// Poison have the same body.
	Poison string `json:",omitempty"`
	// Rank is the rank of the prompt's class, 0 for the most urgent. Local deployments have no ranks in their text, so daemons
	// don't know it; only the judge does.
	Rank int `json:",omitempty"`
	// RepeatsRefused makes the caller send the prompt again at once when it is refused.
	RepeatsRefused bool `json:",omitempty"`
	// ReadPause, if not 0, is the time for which the caller stops reading after the beginning of the answer.
	ReadPause dogwoodsettings.Duration `json:",omitempty"`
	// Key is the Idempotency-Key of a hold.
	Key string `json:",omitempty"`
}

// Trace is a sequence of arrivals, the earliest first.
type Trace struct {
	Arrivals []Arrival
}

// Read reads a recorded trace, which has one arrival as a JSON object per line.
func Read(reader io.Reader) (*Trace, error) {
	decoder := json.NewDecoder(bufio.NewReader(reader))
	decoder.DisallowUnknownFields()
	var trace Trace
	for {
		var arrival Arrival
		err := decoder.Decode(&arrival)
		if errors.Is(err, io.EOF) {
			return &trace, nil
		}
		if err != nil {
			return nil, Error.Wrap(fmt.Errorf("arrival %d: %w", len(trace.Arrivals)+1, err))
		}
		trace.Arrivals = append(trace.Arrivals, arrival)
	}
}

// Write writes a trace in the format that Read reads.
func Write(writer io.Writer, trace *Trace) error {
	encoder := json.NewEncoder(writer)
	for i := range trace.Arrivals {
		if err := encoder.Encode(&trace.Arrivals[i]); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}
