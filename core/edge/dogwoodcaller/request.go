package dogwoodcaller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"path"
	"slices"
	"strings"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/duty/dogwooddispatch"
)

func badRequest(detail string) error {
	return &dogwooddispatch.Failure{Reason: dogwoodfleet.ReasonBadRequest, Run: dogwoodfleet.NotRun, Detail: detail}
}

// isCleanPath reports whether the path has no empty, dotted or encoded segments, and no characters that a URL must encode. An
// endpoint may interpret such a path differently, so that the rule for repeatable calls could be
// chosen for a path other than the one that the endpoint serves.
func isCleanPath(request *http.Request) bool {
	address := request.URL
	cleaned := path.Clean("/" + address.Path)
	if strings.HasSuffix(address.Path, "/") && cleaned != "/" {
		cleaned += "/"
	}
	sent, _, _ := strings.Cut(request.RequestURI, "?")
	encoded := address.EscapedPath()
	lower := strings.ToLower(encoded)
	return cleaned == address.Path && strings.HasSuffix(sent, encoded) && !strings.Contains(lower, "%2f") && !strings.Contains(lower, "%2e")
}

func rejectUncleanPath(*exchange) error {
	return badRequest("the path has empty, dotted or encoded segments, or characters that a URL must encode")
}

func rejectUnknownPath(exchange *exchange) error {
	return badRequest("no such path or method: " + exchange.request.Method + " " + exchange.request.URL.Path)
}

// readBody reads the request's body within its limits of size and time.
func (exchange *exchange) readBody(limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(exchange.writer, exchange.request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &dogwooddispatch.Failure{Reason: dogwoodfleet.ReasonTooLarge, Run: dogwoodfleet.NotRun, Detail: "the body is over the limit"}
	}
	if err != nil && exchange.ended.Load() {
		return nil, endedFailure(dogwoodfleet.NotRun)
	}
	if err != nil {
		return nil, badRequest("the body could not be read in time: " + err.Error())
	}
	exchange.bodyRead = true
	// From here on, reads only detect whether the caller disconnects.
	_ = exchange.controller.SetReadDeadline(time.Time{}) // unsupported by the writers of some tests
	return body, nil
}

// setReadDeadline bounds the time for reading the body to bodyTimeout. The deadline stays in
// force if the body is not read to its end: net/http reads the rest before it sends the
// answer, and without a limit a caller that sends one byte per second would hold the request
// and delay its answer indefinitely.
func (exchange *exchange) setReadDeadline() {
	_ = exchange.controller.SetReadDeadline(time.Now().Add(bodyTimeout)) // unsupported by the writers of some tests
}

// deadline returns the time by which the request must end. The duration is the one in the
// Dogwood-Deadline header, capped by the service's MaxDeadline, or the service's default.
func (exchange *exchange) deadline(service *dogwoodsettings.Service) (time.Time, error) {
	timeout := time.Duration(service.Deadline)
	if value := exchange.request.Header.Get(HeaderDeadline); value != "" {
		parsed, err := time.ParseDuration(value)
		if err != nil || parsed <= 0 {
			return time.Time{}, badRequest(HeaderDeadline + " must be a duration such as 30s")
		}
		timeout = parsed
		if limit := time.Duration(service.MaxDeadline); limit > 0 {
			timeout = min(timeout, limit)
		}
	}
	return exchange.arrived.Add(timeout), nil
}

// allowedService returns the named service, or an error if it does not exist or the customer
// may not call it. A customer without a list of services may call all, one with an empty list none.
func (exchange *exchange) allowedService(name dogwoodfleet.Service) (*dogwoodsettings.Service, error) {
	service, ok := exchange.text.Service(name)
	if !ok {
		return nil, badRequest("no such service: " + string(name))
	}
	if allowed := exchange.customer.Services; allowed != nil && !slices.Contains(allowed, name) {
		return nil, &dogwooddispatch.Failure{Reason: dogwoodfleet.ReasonKey, Run: dogwoodfleet.NotRun, Detail: "this API key may not call " + string(name)}
	}
	exchange.service = name
	return service, nil
}

// newCall sets the exchange's call and fills in the fields that prompts and calls to plain
// services have in common.
func (edge *Edge) newCall(exchange *exchange, service *dogwoodsettings.Service, body []byte) (*dogwooddispatch.Call, error) {
	deadline, err := exchange.deadline(service)
	if err != nil {
		return nil, err
	}
	key := exchange.request.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyLength {
		return nil, badRequest("the " + HeaderIdempotencyKey + " is too long")
	}
	exchange.call = &dogwooddispatch.Call{
		Request: dogwoodfleet.Request{
			ID:       exchange.id,
			Customer: exchange.customer.Name,
			Service:  service.Name,
			Arrived:  exchange.arrived,
			Deadline: deadline,
			Origin:   edge.options.Place,
		},
		Method: exchange.request.Method,
		Header: exchange.request.Header,
		Body:   body,
		Key:    key,
		LoadID: exchange.request.Header.Get(HeaderLoadID),
	}
	return exchange.call, nil
}

// digest returns the digest of a customer's call.
func digest(customer dogwoodfleet.Customer, body []byte, parts ...string) dogwoodfleet.Digest {
	digester := dogwoodfleet.NewDigester(customer, parts...)
	_, _ = digester.Write(body) // a hash returns no error
	return digester.Digest()
}

// withDeadline returns a context that ends at the deadline or when the caller's connection
// closes.
func (exchange *exchange) withDeadline(deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(exchange.request.Context(), deadline)
}
