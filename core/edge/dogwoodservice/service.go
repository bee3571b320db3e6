// Package dogwoodservice is the client of plain services. It sends each call at most once
// and distinguishes a call that certainly was not sent from one that may have run.
//
// Every call opens a new connection. When a reused connection turns out to be broken,
// net/http's Transport resends the request, even a POST if it has an Idempotency-Key header,
// and the call could run twice, for example make two bookings. On a new connection it never
// resends. A kept connection may also have fallen silent. A new connection costs a round trip,
// about a millisecond inside a region.
package dogwoodservice

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodtransport"
)

// Error is the class of this package's errors.
var Error = errs.Class("service")

const (
	// dialTimeout bounds the dial of a connection. It is far above any round-trip time.
	dialTimeout = 2 * time.Second
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
)

// HeaderRequestID is the header that carries the try's ID to the endpoint.
const HeaderRequestID = "X-Request-Id"

// NotSentError means that no byte of the call was sent: it certainly did not run.
type NotSentError struct {
	Endpoint dogwoodfleet.EndpointID
	Err      error
}

// Error describes the failure.
func (err *NotSentError) Error() string {
	return "call of " + string(err.Endpoint) + " was not sent: " + err.Err.Error()
}

// Unwrap returns the cause.
func (err *NotSentError) Unwrap() error { return err.Err }

// BrokenError means that the connection broke when the call may already have been sent.
type BrokenError struct {
	Endpoint dogwoodfleet.EndpointID
	Err      error
}

// Error describes the failure.
func (err *BrokenError) Error() string {
	return "call of " + string(err.Endpoint) + " broke off: " + err.Err.Error()
}

// Unwrap returns the cause.
func (err *BrokenError) Unwrap() error { return err.Err }

// Request is a call to a plain service.
type Request struct {
	ID     dogwoodfleet.RequestID
	Method string
	// Target is the path and query, as the caller wrote them. The path does not begin with two slashes.
	Target string
	Header http.Header
	Body   []byte
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls plain services. It is safe for concurrent use.
type Client struct {
	dial      DialFunc
	transport *dogwoodtransport.Transport
}

// New returns a client. A nil dial means TCP.
func New(dial DialFunc) *Client {
	if dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		dial = dialer.DialContext
	}
	return &Client{
		dial: dial,
		transport: dogwoodtransport.New(&http.Transport{
			DialContext:            dial,
			DisableKeepAlives:      true, // see the package comment
			DisableCompression:     true, // the body is forwarded unchanged
			MaxResponseHeaderBytes: maxHeaderBytes,
		}),
	}
}

// Probe opens a connection to an endpoint and closes it.
func (client *Client) Probe(ctx context.Context, endpoint dogwoodfleet.Endpoint) error {
	conn, err := client.dial(ctx, "tcp", endpoint.Address.String())
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(conn.Close())
}

// Do sends a call. The error is *NotSentError or *BrokenError. The caller must close the
// response body, which is readable until the context ends. Do does not follow redirects.
func (client *Client) Do(ctx context.Context, endpoint dogwoodfleet.Endpoint, call Request) (*http.Response, error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, call.Method, "http://"+endpoint.Address.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, Error.Wrap(&NotSentError{Endpoint: endpoint.ID, Err: err})
	}
	request.URL.Opaque = call.Target // net/http writes it as it is
	request.Header = EndToEndHeader(call.Header)
	request.Header.Set(HeaderRequestID, string(call.ID))
	if _, given := request.Header["User-Agent"]; !given {
		request.Header["User-Agent"] = nil // keeps net/http from adding its default
	}
	if len(call.Body) == 0 {
		request.Body = http.NoBody
	}
	response, err := client.transport.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	// Without a connection nothing was sent. With one, the call may have run.
	if !connected.Load() {
		return nil, Error.Wrap(&NotSentError{Endpoint: endpoint.ID, Err: err})
	}
	return nil, Error.Wrap(&BrokenError{Endpoint: endpoint.ID, Err: err})
}

// hopByHopHeaders are the headers that apply to one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEndHeader returns a copy of the header without the fields that apply to one connection only.
func EndToEndHeader(header http.Header) http.Header {
	endToEnd := header.Clone()
	if endToEnd == nil {
		endToEnd = http.Header{}
	}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			endToEnd.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		endToEnd.Del(name)
	}
	return endToEnd
}
