package dogwoodcaller

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/duty/dogwooddispatch"
	"dogwoodmux.example/core/edge/dogwoodservice"
)

// serveService forwards a call to a plain service with its method, path, headers and body.
func (edge *Edge) serveService(exchange *exchange) error {
	name := dogwoodfleet.Service(exchange.request.PathValue("service"))
	service, err := exchange.allowedService(name)
	if err != nil {
		return err
	}
	if service.Kind != dogwoodfleet.PlainService {
		return badRequest(string(name) + " is not a plain service")
	}
	body, err := exchange.readBody(maxCallBytes)
	if err != nil {
		return err
	}
	call, err := edge.newCall(exchange, service, body)
	if err != nil {
		return err
	}
	path := strings.TrimPrefix(exchange.request.URL.Path, PathServices+string(name))
	call.Target = endpointTarget(exchange.request.URL)
	call.Header = forwardedHeader(exchange.request.Header)
	call.Request.Repeatable = repeatable(service, call.Method, path)
	call.Request.Digest = digest(call.Request.Customer, body, string(name), call.Method, call.Target)
	ctx, cancel := exchange.withDeadline(call.Request.Deadline)
	defer cancel()
	answer, err := edge.options.Dispatcher.Service(ctx, call)
	if err != nil {
		return err
	}
	exchange.writeAnswer(answer)
	return nil
}

// endpointTarget returns the path and query of the request to the endpoint: what follows the service's name in a clean path.
func endpointTarget(address *url.URL) string {
	const servicePath = 3 // slashes up to the one after the name
	return "/" + strings.SplitN(address.RequestURI(), "/", servicePath+1)[servicePath]
}

// forwardedHeader returns the headers that the endpoint receives: without those of this
// connection, the deadline and the API key, which must not leave this system.
func forwardedHeader(header http.Header) http.Header {
	forwarded := dogwoodservice.EndToEndHeader(header)
	forwarded.Del("Authorization")
	forwarded.Del(HeaderDeadline)
	forwarded.Del("Content-Length") // net/http sets it for the body that it sends
	return forwarded
}

// repeatable reports whether a call may run more than once. The first matching call in the
// service's settings decides; without one, only the safe methods of HTTP are repeatable.
func repeatable(service *dogwoodsettings.Service, method, path string) bool {
	for _, call := range service.Calls {
		if matchesCall(call, method, path) {
			return call.Repeatable
		}
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return false
	}
}

func matchesCall(call dogwoodsettings.Call, method, path string) bool {
	mux := http.NewServeMux()
	mux.Handle(strings.TrimSpace(call.Method+" "+call.Path), http.NotFoundHandler())
	_, pattern := mux.Handler(&http.Request{Method: method, URL: &url.URL{Path: path}})
	return pattern != ""
}

// writeAnswer writes an endpoint's answer.
func (exchange *exchange) writeAnswer(answer *dogwooddispatch.WholeAnswer) {
	header := exchange.writer.Header()
	for name, values := range dogwoodservice.EndToEndHeader(answer.Header) {
		header[name] = values
	}
	header.Set(HeaderRequestID, string(exchange.id))
	if exchange.request.Method != http.MethodHead { // the answer to HEAD keeps the length that the endpoint names, if it does
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	if answer.Stored {
		header.Set(HeaderStoredAnswer, "true")
	}
	exchange.status = answer.Status
	exchange.setWriteDeadline()
	exchange.writer.WriteHeader(answer.Status)
	_, _ = exchange.writer.Write(answer.Body) // the caller may have disconnected
}
