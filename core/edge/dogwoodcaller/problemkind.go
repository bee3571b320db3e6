package dogwoodcaller

import (
	"net/http"

	"dogwoodmux.example/core/dogwoodfleet"
)

// statusClientClosedRequest is logged for a caller that disconnected before its answer. No
// caller receives it; nginx logs the same number.
const statusClientClosedRequest = 499

// problemKind is the HTTP status and the problem name that represent a reason.
type problemKind struct {
	status int
	name   string
}

// problemKinds maps every reason to its status and problem name.
var problemKinds = map[dogwoodfleet.Reason]problemKind{
	dogwoodfleet.ReasonBadRequest:    {status: http.StatusBadRequest, name: "bad-request"},
	dogwoodfleet.ReasonKey:           {status: http.StatusUnauthorized, name: "unauthorized"},
	dogwoodfleet.ReasonKeyMissing:    {status: http.StatusBadRequest, name: "key-missing"},
	dogwoodfleet.ReasonKeyReused:     {status: http.StatusUnprocessableEntity, name: "key-reused"},
	dogwoodfleet.ReasonRunning:       {status: http.StatusConflict, name: "running"},
	dogwoodfleet.ReasonOutcome:       {status: http.StatusConflict, name: "outcome-unknown"},
	dogwoodfleet.ReasonTooLarge:      {status: http.StatusRequestEntityTooLarge, name: "too-large"},
	dogwoodfleet.ReasonShare:         {status: http.StatusTooManyRequests, name: "over-share"},
	dogwoodfleet.ReasonLimit:         {status: http.StatusTooManyRequests, name: "over-limit"},
	dogwoodfleet.ReasonSuspect:       {status: http.StatusUnprocessableEntity, name: "suspect"},
	dogwoodfleet.ReasonDeadline:      {status: http.StatusGatewayTimeout, name: "deadline"},
	dogwoodfleet.ReasonNoEndpoint:    {status: http.StatusServiceUnavailable, name: "no-endpoint"},
	dogwoodfleet.ReasonDependency:    {status: http.StatusServiceUnavailable, name: "dependency-down"},
	dogwoodfleet.ReasonStore:         {status: http.StatusServiceUnavailable, name: "store-down"},
	dogwoodfleet.ReasonShutdown:      {status: http.StatusServiceUnavailable, name: "shutdown"},
	dogwoodfleet.ReasonEndpointDied:  {status: http.StatusBadGateway, name: "endpoint-died"},
	dogwoodfleet.ReasonEndpointError: {status: http.StatusBadGateway, name: "endpoint-error"},
	dogwoodfleet.ReasonCancelled:     {status: statusClientClosedRequest, name: "cancelled"},
	dogwoodfleet.ReasonInternal:      {status: http.StatusInternalServerError, name: "internal"},
}

func problemKindOf(reason dogwoodfleet.Reason) problemKind {
	if kind, ok := problemKinds[reason]; ok {
		return kind
	}
	return problemKinds[dogwoodfleet.ReasonInternal]
}
