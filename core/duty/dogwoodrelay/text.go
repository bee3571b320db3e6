package dogwoodrelay

import (
	"context"

	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

// Text is the newest operators' text that this daemon knows. It decides whether a request may be sent, and as what. A request waits
// between its arrival and its sending, and the text may be replaced meanwhile.
type Text interface {
	// Match sets the fields of a request of which no try may have run to what the text says of it. It returns an error if the text
	// does not allow the request. It may wait for a confirmation of the text.
	Match(ctx context.Context, request *Request) error
	// Matches reports whether the request still has the fields that Match would set.
	Matches(request *Request) bool
	// Allows reports whether the text allows that the request is sent once more with the fields that it was sent with.
	Allows(request *Request) bool
}

// Allowed reports whether the newest text allows that the request is sent as it is.
func (request *Request) Allowed() bool {
	return request.Text == nil || request.Text.Allows(request)
}

// isFixed reports whether the attempt can't be sent as another request any more, since a try of it runs or may have run.
func (attempt *attempt) isFixed() bool {
	return attempt.running || attempt.runState != dogwoodfleet.NotRun || attempt.stream.begun
}

// isAllowed reports whether the attempt may be sent now as it is.
func (attempt *attempt) isAllowed() bool {
	request := attempt.request
	if request.Text != nil && !attempt.isFixed() && !request.Text.Matches(request) {
		return false
	}
	return attempt.keysFresh() && request.Allowed()
}

// matchText makes the request what the newest text says of it, before it is placed. One that may have run stays what it was, and
// is sent again only if that text allows it.
func (attempt *attempt) matchText(ctx context.Context) error {
	request := attempt.request
	switch {
	case request.Text == nil:
		return nil
	case !attempt.isFixed():
	case request.Allowed():
		return nil
	default:
		return attempt.newFailure(dogwoodfleet.ReasonText, 0, "the operators' text does not allow a further try")
	}
	service := request.Service
	if err := request.Text.Match(ctx, request); err != nil {
		return &Failure{Reason: dogwoodfleet.ReasonText, Run: attempt.runState, Detail: err.Error(), Cause: err}
	}
	attempt.subject = newSubject(request)
	if attempt.retry == nil || request.Service == service {
		return nil
	}
	attempt.returnRetry()
	if !attempt.takeRetry() {
		return attempt.newFailure(dogwoodfleet.ReasonLimit, dogwoodkernel.Jittered(fullRetryAfter), "the retry budget of another service is used up")
	}
	return nil
}

// newSubject returns what the suspects are told of a request.
func newSubject(request *Request) dogwoodsuspect.Subject {
	return dogwoodsuspect.Subject{
		Request: dogwoodfleet.RequestID(request.ID), Digest: request.Digest, Customer: request.Customer, Parts: request.Parts,
	}
}
