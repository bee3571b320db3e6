package dogwoodengine

import (
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// The headers of the engine protocol. docs/ENGINE.md describes each.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	HeaderBudget    = "X-Budget"
	HeaderGang      = "X-Gang"
	HeaderLoadID    = "X-Load-Id"
	HeaderInstance  = "X-Engine-Instance"
	HeaderCold      = "X-Engine-Cold"
	// HeaderNotRun is "true" if the engine refused a request that it did not begin.
	HeaderNotRun = "X-Not-Run"
	// HeaderLastEventID is the standard header by which a client resumes an event stream.
	HeaderLastEventID = "Last-Event-Id"
)

// The paths of the engine protocol.
const (
	PathChat         = "/v1/chat/completions"
	PathCompletions  = "/v1/completions"
	PathStreams      = "/v1/streams"
	PathLoad         = "/v1/load"
	PathEvents       = "/v1/events"
	PathReservations = "/v1/reservations"
	PathKV           = "/v1/kv"
	PathOrders       = "/v1/orders"
)

// RunPhase is the phase of a request at an engine.
type RunPhase string

// The phases.
const (
	PhaseWaiting RunPhase = "Waiting"
	PhasePrefill RunPhase = "Prefill"
	PhaseDecode  RunPhase = "Decode"
	PhaseDone    RunPhase = "Done"
	PhaseFailed  RunPhase = "Failed"
)

// Running is one request in an engine's list.
type Running struct {
	ID    dogwoodfleet.RequestID
	Phase RunPhase
	// HeldTokens is the KV memory that the request holds; 0 once it is done.
	HeldTokens int
	// PrefilledTokens is how much of PromptTokens is prefilled.
	PrefilledTokens int
	PromptTokens    int
	// Events is the number of events in the stream so far.
	Events int
	// Age is the time since the request arrived at the engine.
	Age Duration
}

// Reservation is KV memory reserved at an engine for a request that has not begun, or that
// another engine runs as the primary engine of a gang.
type Reservation struct {
	ID     dogwoodfleet.RequestID
	Tokens int
	// Lease is the time after which the engine drops the reservation unless it is renewed.
	Lease Duration
	// ImportedTokens is how many of the tokens hold KV imported from another engine.
	ImportedTokens int `json:",omitempty"`
}

// State lists the requests and reservations that hold an engine's memory. Unlike Load it does
// not lag.
type State struct {
	Instance dogwoodfleet.InstanceID
	// Leaving is true if the engine is shutting down gracefully: it finishes its requests and
	// should get no new ones.
	Leaving bool `json:",omitempty"`
	// Cold is read from the response header; the body does not state it.
	Cold         bool `json:"-"`
	MemoryTokens int
	Running      []Running
	Reservations []Reservation
}

// Held returns the tokens of KV memory in use.
func (state *State) Held() int {
	held := 0
	for _, running := range state.Running {
		held += running.HeldTokens
	}
	for _, reservation := range state.Reservations {
		held += reservation.Tokens
	}
	return held
}

// Load is an engine's load report. It lags by about a second.
type Load struct {
	Instance     dogwoodfleet.InstanceID
	Cold         bool
	MemoryTokens int
	HeldTokens   int
	CachedTokens int
	Running      int
	Waiting      int
	// QueuedPrefillTokens is the length of the accepted prompts that is not yet prefilled.
	QueuedPrefillTokens int
	Holds               Holding
	// Loading is the state that the engine is loading for an order; nil if it is loading none.
	Loading *Holding `json:",omitempty"`
}

// Role is the part of the work that an engine does.
type Role string

// The roles.
const (
	RoleBoth    Role = "Both"
	RolePrefill Role = "Prefill"
	RoleDecode  Role = "Decode"
)

// Holding is the model that an engine holds and the role that it has: the state that an order
// wants or that the engine reports. An order states the complete state, never a change to it.
type Holding struct {
	Model    dogwoodfleet.Model
	Version  string                 `json:",omitempty"`
	Adapters []dogwoodfleet.Adapter `json:",omitempty"`
	Role     Role                   `json:",omitempty"`
}

// Order states what an engine must hold.
type Order struct {
	// Fence is the fencing number of the lease under which the order is issued.
	Fence  uint64
	Wanted Holding
}

// CacheKind is the kind of a prefix cache event.
type CacheKind string

// The kinds of cache event.
const (
	BlockStored  CacheKind = "Stored"
	BlockRemoved CacheKind = "Removed"
	// CacheCleared means that all events published before it are void.
	CacheCleared CacheKind = "Cleared"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Kind     CacheKind
	Block    uint64 `json:",omitempty"`
}

// CacheEvents is the response to a query for events after a sequence number.
type CacheEvents struct {
	Instance dogwoodfleet.InstanceID
	Events   []CacheEvent
	// Last is the latest published sequence number, even if its event was lost.
	Last uint64
}

// Cancelled is the response to a cancel.
type Cancelled struct {
	Instance dogwoodfleet.InstanceID
	// Begun is false if the engine had not begun the request and never will.
	Begun bool
}

// Refused is the body of an engine's refusal.
type Refused struct {
	Detail string
	// FreeTokens is the free memory when a reservation did not fit.
	FreeTokens int `json:",omitempty"`
	// Fence is the highest fencing number that the engine has seen, if an order had a lower one.
	Fence uint64 `json:",omitempty"`
}

// Import is a range of a request's KV memory, sent to an engine that has a reservation for it.
type Import struct {
	FromTokens, ToTokens int
}

// Duration is a time.Duration written as "1.5s" in JSON.
type Duration time.Duration

// MarshalText formats the duration as time.Duration.String does.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// UnmarshalText parses the duration as time.ParseDuration does.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return Error.Wrap(err)
	}
	*duration = Duration(parsed)
	return nil
}
