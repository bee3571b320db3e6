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
	// HeaderNotRun is "true" on a refusal of a request that the engine did not begin.
	HeaderNotRun = "X-Not-Run"
	// HeaderLastEvent is the standard header with which a reader of an event stream resumes.
	HeaderLastEvent = "Last-Event-Id"
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

// RunPhase is how far an engine is with a request.
type RunPhase string

// The phases.
const (
	PhaseWaiting RunPhase = "Waiting"
	PhasePrefill RunPhase = "Prefill"
	PhaseDecode  RunPhase = "Decode"
	PhaseDone    RunPhase = "Done"
	PhaseFailed  RunPhase = "Failed"
)

// Running is one request that an engine knows.
type Running struct {
	ID    dogwoodfleet.RequestID
	Phase RunPhase
	// HeldTokens is the KV memory the request holds; 0 once it is done.
	HeldTokens int
	// PrefilledTokens and PromptTokens tell how far the prefill is.
	PrefilledTokens int
	PromptTokens    int
	// Events is how many events the stream has so far.
	Events int
	// Age is how long ago the request arrived at the engine.
	Age Duration
}

// Reservation is KV memory set aside at an engine for a request that has not begun or
// that another engine runs as the first of a gang.
type Reservation struct {
	ID     dogwoodfleet.RequestID
	Tokens int
	// Lease is how much longer the engine keeps it without a renewal.
	Lease Duration
	// ImportedTokens is how much of it holds KV imported from another engine.
	ImportedTokens int `json:",omitempty"`
}

// State is an engine's own list of what holds its memory. Unlike Load it does not lag.
type State struct {
	Instance dogwoodfleet.InstanceID
	// Leaving is true when the engine shuts down in good order: it finishes what it has and
	// wants no new work.
	Leaving bool `json:",omitempty"`
	// Cold is told by the answer's header, not in the list.
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

// Load is an engine's report on itself. It lags by about a second.
type Load struct {
	Instance     dogwoodfleet.InstanceID
	Cold         bool
	MemoryTokens int
	HeldTokens   int
	CachedTokens int
	Running      int
	Waiting      int
	// QueuedPrefillTokens is the prompt text accepted and not yet prefilled.
	QueuedPrefillTokens int
	Holds               Holding
	// Loading is what an order is bringing about; nil when none is under way.
	Loading *Holding `json:",omitempty"`
}

// Role is which part of the work an engine does.
type Role string

// The roles.
const (
	RoleBoth    Role = "Both"
	RolePrefill Role = "Prefill"
	RoleDecode  Role = "Decode"
)

// Holding is what an engine holds and does: the state that an order wants or that the
// engine reports. An order states the whole of it, never a step towards it.
type Holding struct {
	Model    dogwoodfleet.Model
	Version  string                 `json:",omitempty"`
	Adapters []dogwoodfleet.Adapter `json:",omitempty"`
	Role     Role                   `json:",omitempty"`
}

// Order tells an engine what to hold.
type Order struct {
	// Fence is the fencing number of the lease under which the order is given.
	Fence  uint64
	Wanted Holding
}

// CacheKind says what happened to a block of the prefix cache.
type CacheKind string

// The kinds of cache event.
const (
	BlockStored  CacheKind = "Stored"
	BlockRemoved CacheKind = "Removed"
	// CacheCleared means that nothing published before holds any more.
	CacheCleared CacheKind = "Cleared"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Kind     CacheKind
	Block    uint64 `json:",omitempty"`
}

// CacheEvents answers a question for events after a sequence number.
type CacheEvents struct {
	Instance dogwoodfleet.InstanceID
	Events   []CacheEvent
	// Last is the latest sequence number published, also where its event was lost.
	Last uint64
}

// Cancelled answers a cancel.
type Cancelled struct {
	Instance dogwoodfleet.InstanceID
	// Begun is false when the engine had not begun the request and now never will.
	Begun bool
}

// Refused is the body of an engine's refusal.
type Refused struct {
	Detail string
	// FreeTokens is what a refused reservation could have had.
	FreeTokens int `json:",omitempty"`
	// Fence is the highest fencing number seen, when an order carried an older one.
	Fence uint64 `json:",omitempty"`
}

// Import hands KV memory of a request to an engine that has a reservation for it.
type Import struct {
	FromTokens, ToTokens int
}

// Duration is a time.Duration written as "1.5s" in JSON.
type Duration time.Duration

// MarshalText writes the duration as time.Duration prints it.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// UnmarshalText reads what time.ParseDuration takes.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return Error.Wrap(err)
	}
	*duration = Duration(parsed)
	return nil
}
