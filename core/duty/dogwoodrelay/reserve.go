package dogwoodrelay

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/dogwoodfleet"
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

// reserve reserves memory at the helpers, all or nothing, in the order that all daemons use. The
// reservation expires unless it is renewed. If one fails, the placement ends.
func (relay *Relay) reserve(ctx context.Context, id dogwoodpacking.WorkID, placement dogwoodpacking.Placement) ([]Helper, *reservation, error) {
	helpers := make([]Helper, len(placement.Helpers))
	reservation := &reservation{relay: relay, ticket: "t-" + string(id), primary: placement.Endpoint.Endpoint, reserved: time.Now()}
	complete := false
	defer func() {
		if !complete {
			reservation.releaseInBackground(ctx)
			relay.options.Places.Cancel(id)
		}
	}()
	for i, helper := range placement.Helpers {
		helpers[i].Address = helper.Endpoint.Address
		if helper.Tokens == 0 {
			continue
		}
		helpers[i].Ticket = reservation.ticket
		reservation.helpers = append(reservation.helpers, helper)
		if err := reservation.renew(ctx, helper); err != nil {
			relay.options.Places.Avoid(time.Now(), helper.Endpoint.ID, avoidUnreachableFor)
			return nil, nil, fmt.Errorf("reserving memory: %w", err)
		}
	}
	complete = true
	return helpers, reservation, nil
}

// reservation is the memory that one try holds at its helpers, which may be none.
type reservation struct {
	relay   *Relay
	ticket  string
	helpers []dogwoodpacking.Helper
	// primary is the engine that uses the memory.
	primary dogwoodfleet.Endpoint
	// reserved is when the memory was reserved.
	reserved time.Time
	// renewals is the task that renews the memory; stopRenewing ends it and is nil before it has begun.
	renewals     errgroup.Group
	stopRenewing context.CancelFunc
	closed       bool
}

func (reservation *reservation) renew(ctx context.Context, helper dogwoodpacking.Helper) error {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	return reservation.relay.options.Endpoints.Reserve(ctx, helper.Endpoint.Endpoint, reservation.ticket, helper.Tokens, reservationLease)
}

// startRenewing renews the memory until close, for as long as its primary engine responds. The memory of a
// primary engine that has died is of use to nobody; it expires, and onExpired is called.
func (reservation *reservation) startRenewing(ctx context.Context, onExpired func()) {
	if len(reservation.helpers) == 0 {
		return
	}
	ctx, reservation.stopRenewing = context.WithCancel(ctx)
	reservation.renewals.Go(func() error {
		ticker := time.NewTicker(renewInterval)
		defer ticker.Stop()
		for renewed := reservation.reserved; time.Since(renewed) < reservationLease; {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
			reservation.runTask("renewal of memory", func() {
				if reservation.primaryResponds(ctx) {
					renewed = time.Now()
					reservation.renewAll(ctx)
				}
			})
		}
		onExpired()
		return nil
	})
}

// runTask is Relay.runTask for the request of the reservation.
func (reservation *reservation) runTask(task string, function func()) {
	reservation.relay.runTask(task, reservation.ticket, function)
}

// primaryResponds asks the primary engine itself. Events of its other streams don't count, since they may
// have been on their way for a while.
func (reservation *reservation) primaryResponds(ctx context.Context) bool {
	err := reservation.relay.check(ctx, reservation.primary)
	if err != nil && ctx.Err() == nil {
		reservation.relay.options.Logger.Warn("Memory is not renewed: its engine does not respond.", "ticket", reservation.ticket, "endpoint", reservation.primary.ID, "error", err)
	}
	return err == nil
}

// isUsed asks all helpers whether the prompt uses the memory. It returns an error if none says that it is unused, and one
// gives no answer.
func (reservation *reservation) isUsed(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var group errgroup.Group
	var unused atomic.Bool
	for _, helper := range reservation.helpers {
		group.Go(func() error {
			var err error
			reservation.runTask("question for used memory", func() {
				var used bool
				if used, err = reservation.relay.options.Endpoints.MemoryUsed(ctx, helper.Endpoint.Endpoint, reservation.ticket); err == nil && !used {
					unused.Store(true)
				}
			})
			return err
		})
	}
	if err := group.Wait(); err != nil && !unused.Load() {
		return false, err
	}
	return !unused.Load(), nil
}

func (reservation *reservation) renewAll(ctx context.Context) {
	for _, helper := range reservation.helpers {
		if err := reservation.renew(ctx, helper); err != nil && ctx.Err() == nil {
			reservation.relay.options.Logger.Warn("Memory was not renewed.", "ticket", reservation.ticket, "endpoint", helper.Endpoint.ID, "error", err)
		}
	}
}

// close ends the renewals and releases the memory, once.
func (reservation *reservation) close(ctx context.Context) {
	if reservation.closed {
		return
	}
	reservation.closed = true
	if reservation.stopRenewing != nil {
		reservation.stopRenewing()
	}
	if len(reservation.helpers) > 0 {
		reservation.releaseInBackground(ctx)
	}
}

// releaseInBackground releases all memory once its renewals have ended, without delaying the end of the answer.
func (reservation *reservation) releaseInBackground(ctx context.Context) {
	reservation.relay.background.Go(func() error {
		_ = reservation.renewals.Wait() // they return no error
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
			reservation.runTask("release of memory", func() { reservation.releaseAt(ctx, helper) })
			return nil
		})
	}
	_ = group.Wait() // failures are logged and the lease ends
}

func (reservation *reservation) releaseAt(ctx context.Context, helper dogwoodpacking.Helper) {
	if err := reservation.relay.options.Endpoints.Release(ctx, helper.Endpoint.Endpoint, reservation.ticket); err != nil {
		reservation.relay.options.Logger.Warn("Memory was not released; its lease ends.", "ticket", reservation.ticket, "endpoint", helper.Endpoint.ID, "error", err)
	}
}
