// Package dogwoodproblem defines the body of the system's HTTP error responses: the problem
// details of RFC 9457, extended by whether the request was run, why it was rejected or failed,
// and the request's ID.
package dogwoodproblem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// ContentType is the media type of a problem.
const ContentType = "application/problem+json"

// typePrefix is the prefix of the type member, which is an identifier and not a web address.
const typePrefix = "urn:dogwoodmux:problem:"

// The values of NotRun.
const (
	True    = "true"
	False   = "false"
	Unknown = "unknown"
)

// Problem is the body of an error response. The members that RFC 9457 defines have the names
// of the RFC.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// NotRun is "true" only if it is certain that no endpoint ran the request.
	NotRun    string                 `json:",omitempty"`
	Reason    dogwoodfleet.Reason    `json:",omitempty"`
	RequestID dogwoodfleet.RequestID `json:",omitempty"`
	// RetryAfter is sent in the Retry-After header, rounded up to a second; 0 omits the header.
	RetryAfter time.Duration `json:"-"`
}

// New returns a problem of a kind, such as "conflict". Its title is the text of the status.
func New(status int, kind, detail string) Problem {
	return Problem{Type: typePrefix + kind, Title: http.StatusText(status), Status: status, Detail: detail}
}

// Error returns the detail, or the title if there is no detail. It makes Problem an error, so
// that clients can return the problem that they received.
func (problem *Problem) Error() string {
	if problem.Detail == "" {
		return problem.Title
	}
	return problem.Detail
}

// Kind returns the type without its prefix, such as "conflict".
func (problem *Problem) Kind() string {
	if len(problem.Type) < len(typePrefix) {
		return problem.Type
	}
	return problem.Type[len(typePrefix):]
}

// NotRunOf returns the value of the NotRun member for a run state.
func NotRunOf(state dogwoodfleet.RunState) string {
	switch state {
	case dogwoodfleet.NotRun:
		return True
	case dogwoodfleet.WasRun:
		return False
	default:
		return Unknown
	}
}

// Write sends an error response with the given body, a struct that embeds the problem. If body
// is nil, it sends the problem.
func Write(writer http.ResponseWriter, problem Problem, body any) {
	if body == nil {
		body = problem
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		// Only a type that JSON can't represent fails here; the status is still correct.
		encoded = []byte("{}")
	}
	header := writer.Header()
	header.Set("Content-Type", ContentType)
	header.Set("Cache-Control", "no-store")
	header.Set("Content-Length", strconv.Itoa(len(encoded))) // the response is whole once it is flushed
	if problem.RetryAfter > 0 {
		header.Set("Retry-After", RetryAfterSeconds(problem.RetryAfter))
	}
	writer.WriteHeader(problem.Status)
	_, _ = writer.Write(encoded) // the caller may have disconnected
}

// RetryAfterSeconds formats a wait for the Retry-After header: whole seconds, rounded up, at
// least 1.
func RetryAfterSeconds(wait time.Duration) string {
	seconds := max(1, int((wait+time.Second-1)/time.Second))
	return strconv.Itoa(seconds)
}
