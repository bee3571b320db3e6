// Package dogwoodtransport holds the HTTP transport of all clients. It is that of net/http, without its tolerance of answers that are
// broken: each of them is an error.
package dogwoodtransport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("transport")

// Transport sends requests. It is safe for concurrent use.
type Transport struct {
	*http.Transport
}

// New returns a Transport with the settings of a base, which it takes over.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err // not wrapped: callers check for errors of package net
		}
		return newConnection(conn), nil
	}
	return &Transport{Transport: base}
}

// RoundTrip sends a request. The error wraps a *MalformedAnswer if an answer came that HTTP does not allow, and so may an error of its
// body.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if connection, ok := info.Conn.(*connection); ok && info.Reused {
			connection.awaitsHead.Store(true)
		}
	}})
	response, err := transport.Transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http wraps it
	}
	if response.StatusCode < http.StatusOK {
		_ = response.Body.Close() // the body is not used
		return nil, Error.Wrap(&MalformedAnswer{Reason: "it has no final status"})
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &trailerBody{ReadCloser: response.Body, response: response}
	}
	return response, nil
}

// trailerBody is a body in chunks, at whose end net/http adds the trailer to the response.
type trailerBody struct {
	io.ReadCloser
	response *http.Response
}

// Read reads a part of the body. Its end is an error if the trailer has a name that is none.
func (body *trailerBody) Read(target []byte) (int, error) {
	count, err := body.ReadCloser.Read(target)
	if errors.Is(err, io.EOF) {
		for name := range body.response.Trailer {
			if strings.Contains(name, " ") { // net/http accepts no other invalid character
				return count, Error.Wrap(&MalformedAnswer{Reason: reasonName})
			}
		}
	}
	return count, err //nolint:wrapcheck // io.EOF must stay itself
}
