package dogwoodrelay

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodpacking"
)

const (
	// reservationLease is how long memory stays reserved after its daemon died. It must be
	// short, since nobody else can use the memory, and long enough for two lost renewals.
	reservationLease = 3 * time.Second
	// renewInterval is the interval between renewals of a reservation.
	renewInterval = reservationLease / 3
	// reserveTimeout bounds one reservation, which is a single message.
	reserveTimeout = 400 * time.Millisecond
	// releaseTimeout bounds the release of all memory of a request. Memory that is not released
	// by then is freed when its lease ends.
	releaseTimeout = time.Second
)

// reserve reserves memory at the helpers, all or nothing, in the order that all daemons use.
// It renews the reservations until the returned function is called.
func (relay *Relay) reserve(ctx context.Context, id dogwoodpacking.WorkID, placement dogwoodpacking.Placement) ([]Helper, func(), error) {
	helpers := make([]Helper, len(placement.Helpers))
	reservation := &reservation{relay: relay, ticket: "t-" + string(id)}
	for i, helper := range placement.Helpers {
		helpers[i].Address = helper.Endpoint.Address
		if helper.Tokens == 0 {
			continue
		}
		helpers[i].Ticket = reservation.ticket
		reservation.helpers = append(reservation.helpers, helper)
		if err := reservation.renew(ctx, helper); err != nil {
			reservation.releaseInBackground(ctx, &errgroup.Group{})
			relay.options.Places.Avoid(time.Now(), helper.Endpoint.ID, avoidUnreachableFor)
			return nil, nil, fmt.Errorf("reserving memory: %w", err)
		}
	}
	if len(reservation.helpers) == 0 {
		return helpers, func() {}, nil
	}
	return helpers, reservation.startRenewing(ctx), nil
}

// reservation is the memory that one try holds at its helpers.
type reservation struct {
	relay   *Relay
	ticket  string
	helpers []dogwoodpacking.Helper
}

func (reservation *reservation) renew(ctx context.Context, helper dogwoodpacking.Helper) error {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	return reservation.relay.options.Endpoints.Reserve(ctx, helper.Endpoint.Endpoint, reservation.ticket, helper.Tokens, reservationLease)
}

// startRenewing renews the reservation until the returned function is called, which releases it.
func (reservation *reservation) startRenewing(ctx context.Context) func() {
	renewing, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error {
		ticker := time.NewTicker(renewInterval)
		defer ticker.Stop()
		for {
			select {
			case <-renewing.Done():
				return nil
			case <-ticker.C:
			}
			for _, helper := range reservation.helpers {
				if err := reservation.renew(renewing, helper); err != nil && renewing.Err() == nil {
					reservation.relay.options.Logger.Warn("Memory was not renewed.", "ticket", reservation.ticket, "endpoint", helper.Endpoint.ID, "error", err)
				}
			}
		}
	})
	return func() {
		cancel()
		reservation.releaseInBackground(ctx, &group)
	}
}

// releaseInBackground releases all memory once its renewals have ended, without delaying the end of the answer.
func (reservation *reservation) releaseInBackground(ctx context.Context, renewals *errgroup.Group) {
	reservation.relay.background.Go(func() error {
		_ = renewals.Wait() // they return no error
		reservation.release(ctx)
		return nil
	})
}

// release releases all memory, even if the caller is gone.
func (reservation *reservation) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	var group errgroup.Group
	for _, helper := range reservation.helpers {
		group.Go(func() error {
			if err := reservation.relay.options.Endpoints.Release(ctx, helper.Endpoint.Endpoint, reservation.ticket); err != nil {
				reservation.relay.options.Logger.Warn("Memory was not released; its lease ends.", "ticket", reservation.ticket, "endpoint", helper.Endpoint.ID, "error", err)
			}
			return nil
		})
	}
	_ = group.Wait() // failures are logged and the lease ends
}
