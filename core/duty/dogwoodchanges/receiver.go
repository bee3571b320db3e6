package dogwoodchanges

import (
	"dogwoodmux.example/core/state/dogwoodchange"
)

// ExchangeRequest is the query of an exchange: it holds the state of the daemon that sends it.
type ExchangeRequest struct {
	Version     uint64
	Provisional int
}

// Told is the answer to an ExchangeRequest.
type Told struct {
	News dogwoodchange.News
	// Ready is true if the answering daemon has loaded the log itself.
	Ready bool
}

// Receiver handles the calls of other daemons.
type Receiver struct {
	duty *Duty
}

// Receiver returns the RPC receiver that other daemons call; register it as Name.
func (duty *Duty) Receiver() *Receiver {
	return &Receiver{duty: duty}
}

// Push merges an update and returns the version that is in force after that.
func (receiver *Receiver) Push(news dogwoodchange.News, version *uint64) error {
	receiver.duty.options.Log.Merge(news)
	*version = receiver.duty.options.Log.Current().Version
	return nil
}

// Exchange returns the changes that the querying daemon lacks.
func (receiver *Receiver) Exchange(request ExchangeRequest, told *Told) error {
	told.News = receiver.duty.options.Log.Since(request.Version)
	select {
	case <-receiver.duty.ready:
		told.Ready = true
	default:
	}
	return nil
}

// Status returns what this daemon has in force.
func (receiver *Receiver) Status(_ bool, status *Status) error {
	*status = receiver.duty.status()
	return nil
}
