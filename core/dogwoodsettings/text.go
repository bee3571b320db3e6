package dogwoodsettings

import (
	"dogwoodmux.example/core/dogwoodfleet"
)

// Text is the operators' text: the services with their dependencies and objectives, and the
// customers that may call them. It is JSON with comments and Pascal case field names.
type Text struct {
	Services  []Service
	Customers []Customer
}

// Service is one service of the operators' text.
type Service struct {
	Name dogwoodfleet.Service
	Kind dogwoodfleet.Kind
	// DependsOn lists the services that this one needs in order to answer.
	DependsOn []dogwoodfleet.Service `json:",omitempty"`
	// Deadline applies to a request that states none; MaxDeadline bounds a stated one.
	Deadline    Duration
	MaxDeadline Duration
	// ColdLimit is the maximum number of concurrent requests at an endpoint that has just started.
	ColdLimit int
	// WarmLimit is the maximum number of concurrent requests at an endpoint at any time.
	WarmLimit int
	// ChecksFencing reports whether the endpoints refuse orders with an old fencing number.
	ChecksFencing bool `json:",omitempty"`
	// Models lists the models that an engine pool serves.
	Models []Model `json:",omitempty"`
	// Calls states which calls of a plain service may be repeated; the first match counts.
	// A call that matches none may be repeated only if its method is safe by HTTP's definition.
	Calls      []Call     `json:",omitempty"`
	Objectives Objectives `json:",omitzero"`
}

// Model is a model that an engine pool serves.
type Model struct {
	Name     dogwoodfleet.Model
	Version  string
	Adapters []dogwoodfleet.Adapter `json:",omitempty"`
	// Replicas is the number of engines that load the model.
	Replicas int
	// MaxPromptTokens bounds a prompt; 0 means that only the engine's memory bounds it.
	MaxPromptTokens int `json:",omitempty"`
}

// Call matches calls of a plain service and states whether they may be repeated.
type Call struct {
	Method string
	// Path is a pattern of net/http's ServeMux without method or host, for example "/holds/{ID}".
	Path       string
	Repeatable bool
}

// Objectives are the service levels that callers may count on.
type Objectives struct {
	// InTime is the share of requests that are answered by their deadline, for example 0.999.
	// Rejected requests count against it, unless the rejection is the caller's fault.
	InTime float64 `json:",omitempty"`
	// FirstToken gives, by prompt length, the share of first tokens that must arrive in time.
	FirstToken []FirstTokenObjective `json:",omitempty"`
}

// FirstTokenObjective applies to prompts of up to UpToTokens tokens.
type FirstTokenObjective struct {
	UpToTokens int
	Within     Duration
	Share      float64
}

// Customer is an organisation that calls services.
type Customer struct {
	Name dogwoodfleet.Customer
	// KeySHA256 lists the SHA-256 digests, in hexadecimal, of the customer's API keys.
	KeySHA256 []string
	// Weight is the customer's share of a full service, relative to the other customers' weights.
	Weight float64
	// RequestsPerSecond and TokensPerSecond are limits over all entry daemons together; 0 means no limit.
	RequestsPerSecond float64 `json:",omitempty"`
	TokensPerSecond   float64 `json:",omitempty"`
	// Services lists the services that the customer may call; nil means all, an empty list none.
	Services []dogwoodfleet.Service `json:",omitzero"`
}

// Service returns the service with the given name.
func (text *Text) Service(name dogwoodfleet.Service) (*Service, bool) {
	for i := range text.Services {
		if text.Services[i].Name == name {
			return &text.Services[i], true
		}
	}
	return nil, false
}
