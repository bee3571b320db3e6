// Package dogwoodfleet defines the domain types that the other packages share: places, VMs,
// endpoints, services, customers and requests. It imports no other package of the project
// and has no state.
package dogwoodfleet

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Region names a group of data centres with low latency between them.
type Region string

// DataCentre names one data centre, for example "fukuoka-a".
type DataCentre string

// VM names a virtual machine, as in the platform's VM list.
type VM string

// Customer names an organisation or team that sends requests.
type Customer string

// Service names a service of the operators' text.
type Service string

// EndpointID identifies a back end: an engine or a plain server. It stays the same over restarts.
type EndpointID string

// InstanceID identifies an instance of a process. Each start of the process has a new one.
type InstanceID string

// Model names a language model.
type Model string

// Adapter names a fine-tuned adapter that an engine loads in addition to a model.
type Adapter string

// RequestID identifies an attempt, or a single try of it, within the system. It is unique.
type RequestID string

// NewRequestID returns the ID of a request from the daemon that holds it and a number that is
// unique at that daemon.
func NewRequestID(holder InstanceID, number uint64) RequestID {
	return RequestID(fmt.Sprintf("%s-%d", holder, number))
}

// Holder returns the daemon in an ID that NewRequestID created, or "" if the ID has none.
func (id RequestID) Holder() InstanceID {
	return InstanceID(id[:max(strings.LastIndexByte(string(id), '-'), 0)])
}

// Kind is the kind of a service's endpoints.
type Kind string

// The kinds of service.
const (
	EnginePool   Kind = "EnginePool"
	PlainService Kind = "PlainService"
)

// VMState is the state of a VM in the platform's VM list.
type VMState string

// The states of a VM.
const (
	Live    VMState = "Live"
	Leaving VMState = "Leaving"
)

// Place is the region and the data centre in which something runs.
type Place struct {
	Region     Region
	DataCentre DataCentre
}

// ListedVM is a row of the platform's VM list, which lags behind the actual state.
type ListedVM struct {
	Name    VM
	Place   Place
	Service Service // empty for an entry VM of this system
	State   VMState
	// Serve is the address for callers (entry VM) or for requests (endpoint VM).
	Serve netip.AddrPort
	// Peer is the address for connections between daemons; unset for endpoints.
	Peer netip.AddrPort
	// Admin is the administration address; unset for endpoints.
	Admin netip.AddrPort
}

// Endpoint is a back end with its last known properties.
type Endpoint struct {
	ID       EndpointID
	Service  Service
	Kind     Kind
	VM       VM
	Place    Place
	Address  netip.AddrPort
	Instance InstanceID // empty until the endpoint has reported it
	// InForce is false if operators took its data centre or its VM out, or if the VM or the
	// endpoint is leaving. The endpoint then gets no new requests.
	InForce bool
	// MemoryTokens is the capacity of the engine's KV memory in tokens; 0 if unknown and for
	// plain servers.
	MemoryTokens int
	Models       []Model
	Adapters     []Adapter
}

// Priority orders requests at an engine; a higher one is served first.
type Priority int

// The priorities that this system uses. Engines accept any integer.
const (
	PriorityLong   Priority = 0
	PriorityNormal Priority = 10
	PriorityShort  Priority = 20
)

// Request holds what decisions about a caller's request depend on. The body stays at the
// entry daemon.
type Request struct {
	ID       RequestID
	Customer Customer
	Service  Service
	Model    Model
	Adapter  Adapter
	// Arrived and Deadline are times on the clock of the daemon that holds the request.
	Arrived  time.Time
	Deadline time.Time
	// PromptTokens is estimated from the body until an engine has counted it.
	PromptTokens int
	// MaxTokens is the maximum number of tokens of the answer.
	MaxTokens int
	// Repeatable is true if the request may safely run twice.
	Repeatable bool
	Digest     Digest
	// Blocks are the chained hashes of the prompt's leading blocks, in order.
	Blocks []uint64
	// Origin is the place of the entry daemon.
	Origin Place
}

// Tokens returns the maximum memory that the request can use on an engine, in tokens.
func (request *Request) Tokens() int {
	return request.PromptTokens + request.MaxTokens
}
