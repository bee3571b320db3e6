// Package dogwoodtransport holds the HTTP transport of all clients. It is that of net/http, without its tolerance of answers that are
// broken: each of them is an error.
package dogwoodtransport

import (
	"context"
	"net"
	"net/http"

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
