package dogwoodengine

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// gangLease is how long an engine keeps a reservation that its entry daemon stopped renewing:
	// three lost renewals.
	gangLease = 10 * time.Second
	// gangRenewInterval leaves time for two more renewals before the lease ends.
	gangRenewInterval = gangLease / 3
	// gangReserveTimeout bounds how long a request tries to reserve memory at its gang. A prompt
	// that needs a gang prefills for seconds, so a wait of seconds is worthwhile; after that the
	// owner should choose other engines.
	gangReserveTimeout = 5 * time.Second
	// gangMinBackoff is the first backoff after a refusal; it doubles up to gangMaxBackoff. Each
	// wait is random, between half the backoff and all of it, so that two gangs that collided do
	// not collide again.
	gangMinBackoff = 50 * time.Millisecond
	gangMaxBackoff = time.Second
)

// gangReservation holds the reservations of a request at the engines of its gang. A nil
// gangReservation holds none.
type gangReservation struct {
	client  *Client
	id      dogwoodfleet.RequestID
	primary dogwoodfleet.EndpointID
	members []dogwoodfleet.Endpoint // sorted by ID
	tokens  int                     // reserved at each member
	stop    context.CancelFunc
}

// reserveGang reserves a share of the request's memory at every engine of its gang, or at none.
// It reserves in the order of the engines' IDs, the same for every gang, and after a refusal
// releases all shares before it retries. A gang never waits while it holds memory, so two gangs
// can't deadlock.
func (client *Client) reserveGang(ctx context.Context, endpoint dogwoodfleet.Endpoint, run Run) (*gangReservation, error) {
	if len(run.Gang) <= 1 {
		return nil, nil // one engine needs no reservation; the methods accept a nil gang
	}
	gang := &gangReservation{
		client:  client,
		id:      run.ID,
		primary: endpoint.ID,
		members: slices.SortedFunc(slices.Values(run.Gang), compareEndpoints),
		tokens:  sharePerMember(run.PromptTokens+run.MaxTokens, len(run.Gang)),
	}
	timeout := gangReserveTimeout
	if run.Budget > 0 {
		timeout = min(timeout, run.Budget)
	}
	reserveCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for backoff := gangMinBackoff; ; backoff = min(2*backoff, gangMaxBackoff) {
		err := gang.reserveAll(reserveCtx, client.backgroundRunner(ctx))
		if err == nil {
			gang.startRenewals(ctx)
			return gang, nil
		}
		var noMemory *NoMemory
		if !errors.As(err, &noMemory) {
			return nil, err
		}
		if sleep(reserveCtx, backoff/2+rand.N(backoff/2)) != nil {
			return nil, err
		}
	}
}

// compareEndpoints orders endpoints by ID.
func compareEndpoints(left, right dogwoodfleet.Endpoint) int {
	return cmp.Compare(left.ID, right.ID)
}

// sharePerMember divides tokens among members, rounded up.
func sharePerMember(tokens, members int) int {
	return (tokens + members - 1) / members
}

// reserveAll reserves a share at every member. If one of them fails, it releases the others.
func (gang *gangReservation) reserveAll(ctx context.Context, runInBackground func(func(ctx context.Context))) error {
	for index, member := range gang.members {
		err := gang.client.Reserve(ctx, member, gang.id, gang.tokens, gangLease)
		if err == nil {
			continue
		}
		var noMemory *NoMemory
		if errors.As(err, &noMemory) {
			// This engine reserved nothing. The shares of the others are released now and not in
			// the background, since the retry reserves under the same ID.
			gang.releaseOnce(ctx, gang.members[:index])
			return err
		}
		gang.cancelInBackground(runInBackground, gang.members[:index+1])
		return err
	}
	return nil
}

// releaseOnce releases the members' reservations once, even if that fails. If a release is lost,
// the next call of reserveAll renews the reservation, or its lease expires.
func (gang *gangReservation) releaseOnce(ctx context.Context, members []dogwoodfleet.Endpoint) {
	for _, member := range members {
		if err := gang.client.Release(ctx, member, gang.id); err != nil {
			gang.client.logger.Warn("gang reservation not released", "endpoint", member.ID, "request", gang.id, "error", err)
		}
	}
}

// startRenewals renews the reservations in the background until the release.
func (gang *gangReservation) startRenewals(ctx context.Context) {
	ctx, gang.stop = context.WithCancel(context.WithoutCancel(ctx))
	gang.client.startBackground(func() {
		for sleep(ctx, gangRenewInterval) == nil {
			for _, member := range gang.members {
				// A failed renewal is only logged: the primary engine checks its helpers and fails the
				// request if one has lost its reservation.
				if err := gang.client.Renew(ctx, member, gang.id, gangLease); err != nil {
					gang.client.logger.Debug("gang reservation not renewed", "endpoint", member.ID, "request", gang.id, "error", err)
				}
			}
		}
	})
}

// release releases all reservations in the background and retries until the engines confirm.
func (gang *gangReservation) release(runInBackground func(func(ctx context.Context))) {
	if gang == nil {
		return
	}
	gang.stop()
	gang.cancelInBackground(runInBackground, gang.members)
}

// cancelInBackground cancels the request at the members, the primary engine included. A cancel
// releases the reservation with the request's ID and makes the engine refuse one that arrives
// late.
func (gang *gangReservation) cancelInBackground(runInBackground func(func(ctx context.Context)), members []dogwoodfleet.Endpoint) {
	for _, member := range members {
		runInBackground(func(ctx context.Context) {
			gang.client.cancelUntilConfirmed(ctx, member, gang.id)
		})
	}
}

// helperAddresses returns the addresses of all members but the primary engine, separated by
// commas.
func (gang *gangReservation) helperAddresses() string {
	if gang == nil {
		return ""
	}
	var addresses []string
	for _, member := range gang.members {
		if member.ID != gang.primary {
			addresses = append(addresses, member.Address.String())
		}
	}
	return strings.Join(addresses, ",")
}
