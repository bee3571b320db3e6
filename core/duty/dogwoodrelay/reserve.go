package dogwoodrelay

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodpacking"
)

const (
	// reservationLease is how long reserved memory outlives a daemon that died: it must be
	// short, since no one else can use it, and long enough for two lost renewals.
	reservationLease = 3 * time.Second
	// renewEvery is how often memory that is used is renewed.
	renewEvery = reservationLease / 3
	// reserveWithin bounds one reservation. It is a message and no more.
	reserveWithin = 400 * time.Millisecond
	// releaseWithin bounds the release of all memory of a request; after it the lease ends.
	releaseWithin = time.Second
)

// reserve reserves the memory that helpers keep, all or nothing, in the order in which
// every daemon asks for it, and keeps it until release is called.
func (relay *Relay) reserve(ctx context.Context, id dogwoodpacking.WorkID, placement dogwoodpacking.Placement) ([]Helper, func(), error) {
	helpers := make([]Helper, len(placement.Helpers))
	held := &reservation{relay: relay, ticket: "t-" + string(id)}
	for i, helper := range placement.Helpers {
		helpers[i].Address = helper.Endpoint.Address
		if helper.Tokens == 0 {
			continue
		}
		helpers[i].Ticket = held.ticket
		held.helpers = append(held.helpers, helper)
		if err := held.renew(ctx, helper); err != nil {
			held.releaseLater(ctx, &errgroup.Group{})
			relay.options.Places.Avoid(time.Now(), helper.Endpoint.ID, unreachableFor)
			return nil, nil, fmt.Errorf("reserving memory: %w", err)
		}
	}
	if len(held.helpers) == 0 {
		return helpers, func() {}, nil
	}
	return helpers, held.keep(ctx), nil
}

// reservation is the memory that one try holds at its helpers.
type reservation struct {
	relay   *Relay
	ticket  string
	helpers []dogwoodpacking.Helper
}

func (held *reservation) renew(ctx context.Context, helper dogwoodpacking.Helper) error {
	ctx, cancel := context.WithTimeout(ctx, reserveWithin)
	defer cancel()
	return held.relay.options.Endpoints.Reserve(ctx, helper.Endpoint.Endpoint, held.ticket, helper.Tokens, reservationLease)
}

// keep renews until the returned function is called, which releases.
func (held *reservation) keep(ctx context.Context) func() {
	renewing, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error {
		ticker := time.NewTicker(renewEvery)
		defer ticker.Stop()
		for {
			select {
			case <-renewing.Done():
				return nil
			case <-ticker.C:
			}
			for _, helper := range held.helpers {
				if err := held.renew(renewing, helper); err != nil && renewing.Err() == nil {
					held.relay.options.Logger.Warn("Memory was not renewed.", "ticket", held.ticket, "endpoint", helper.Endpoint.ID, "error", err)
				}
			}
		}
	})
	return func() {
		cancel()
		held.releaseLater(ctx, &group)
	}
}

// releaseLater gives all memory back once its renewals have ended. The caller has its answer's end before.
func (held *reservation) releaseLater(ctx context.Context, renewals *errgroup.Group) {
	held.relay.background.Go(func() error {
		_ = renewals.Wait() // they return no error
		held.release(ctx)
		return nil
	})
}

// release gives all memory back, also when the caller is gone.
func (held *reservation) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseWithin)
	defer cancel()
	var group errgroup.Group
	for _, helper := range held.helpers {
		group.Go(func() error {
			if err := held.relay.options.Endpoints.Release(ctx, helper.Endpoint.Endpoint, held.ticket); err != nil {
				held.relay.options.Logger.Warn("Memory was not released; its lease ends.", "ticket", held.ticket, "endpoint", helper.Endpoint.ID, "error", err)
			}
			return nil
		})
	}
	_ = group.Wait() // failures are logged and the lease ends
}
