package dogwoodengine

import (
	"fmt"

	"dogwoodmux.example/core/dogwoodfleet"
)

// NotStarted means that a request certainly did not run and never will under this ID: no
// connection was made, or the engine reported that it did not begin the request.
type NotStarted struct {
	Endpoint dogwoodfleet.EndpointID
	Cause    error
}

func (started *NotStarted) Error() string {
	return fmt.Sprintf("engine %s did not begin the request: %v", started.Endpoint, started.Cause)
}

// Unwrap returns the cause.
func (started *NotStarted) Unwrap() error { return started.Cause }

// Broken means that an engine died or became unreachable while it ran, or may have run, a
// request.
type Broken struct {
	Endpoint dogwoodfleet.EndpointID
	// Events is the number of events received.
	Events int
	Cause  error
}

func (broken *Broken) Error() string {
	return fmt.Sprintf("engine %s broke off after %d events: %v", broken.Endpoint, broken.Events, broken.Cause)
}

// Unwrap returns the cause.
func (broken *Broken) Unwrap() error { return broken.Cause }

// Answered means that an engine answered with an error.
type Answered struct {
	Status int
	Body   []byte
	// NotRun is true if the engine reported that it did not begin the request.
	NotRun bool
}

func (answered *Answered) Error() string {
	return fmt.Sprintf("engine answered %d: %.200s", answered.Status, answered.Body)
}

// OldFence means that an engine has seen a higher fencing number than that of an order.
type OldFence struct{ Seen uint64 }

func (fence *OldFence) Error() string {
	return fmt.Sprintf("engine has seen fencing number %d", fence.Seen)
}

// NoMemory means that an engine had too little free memory for a reservation.
type NoMemory struct{ FreeTokens int }

func (memory *NoMemory) Error() string {
	return fmt.Sprintf("engine has %d tokens free", memory.FreeTokens)
}

// Unknown means that an engine has no record of the request or reservation.
type Unknown struct{ Instance dogwoodfleet.InstanceID }

func (unknown *Unknown) Error() string {
	return fmt.Sprintf("engine instance %s does not know the request", unknown.Instance)
}
