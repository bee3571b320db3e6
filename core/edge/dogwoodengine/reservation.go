package dogwoodengine

import (
	"context"
	"net/http"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Reserve reserves KV memory for a request. Another call with the same ID renews the lease.
// The error is *NoMemory if too little memory is free.
func (client *Client) Reserve(ctx context.Context, endpoint dogwoodfleet.Endpoint, id dogwoodfleet.RequestID, tokens int, lease time.Duration) error {
	reservation := Reservation{ID: id, Tokens: tokens, Lease: Duration(lease)}
	return client.send(ctx, http.MethodPost, endpoint, PathReservations, reservation, nil)
}

// Renew extends the lease of a request's reservation. The error is *Unknown if there is none:
// a renewal that arrives after the release does not reserve memory again.
func (client *Client) Renew(ctx context.Context, endpoint dogwoodfleet.Endpoint, id dogwoodfleet.RequestID, lease time.Duration) error {
	reservation := Reservation{ID: id, Lease: Duration(lease)}
	return client.send(ctx, http.MethodPut, endpoint, PathReservations+"/"+string(id), reservation, nil)
}

// Release releases a request's reservation. It is no error if there is none.
func (client *Client) Release(ctx context.Context, endpoint dogwoodfleet.Endpoint, id dogwoodfleet.RequestID) error {
	return client.send(ctx, http.MethodDelete, endpoint, PathReservations+"/"+string(id), nil, nil)
}

// Import sends KV memory to an engine that has a reservation for the request. The engines of a
// gang send it to each other. The error is *Unknown if there is no reservation.
func (client *Client) Import(ctx context.Context, endpoint dogwoodfleet.Endpoint, id dogwoodfleet.RequestID, memory Import) error {
	return client.send(ctx, http.MethodPost, endpoint, PathKV+"/"+string(id), memory, nil)
}
