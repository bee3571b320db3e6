package dogwooddispatch

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

const (
	// renewInterval is a third of a grant's lease, so that two lost renewals do no harm.
	renewInterval = dogwoodowner.GrantLease / 3
	// renewTimeout bounds one renewal. The next one follows right away.
	renewTimeout = renewInterval
	// ownedUpdateInterval is the interval at which the owned endpoints are recomputed without a
	// change of members or endpoints; such a change triggers it immediately. The interval is for
	// changes of the operators' text that don't affect any endpoint.
	ownedUpdateInterval = time.Second
	// maxConcurrentCancels bounds concurrent cancellations of a dead entry daemon's streams.
	maxConcurrentCancels = 16
	// cancelTimeout bounds one cancellation. The engine drops the stream at its deadline anyway.
	cancelTimeout = 2 * time.Second
)

// RunRenewals renews the grants held by this daemon until the context ends.
func (owners *Owners) RunRenewals(ctx context.Context) error {
	return runEvery(ctx, renewInterval, owners.renewGrants)
}

// RunOwnedUpdates updates the local owner's list of owned endpoints until the context ends. Changes
// are applied immediately. An owner with an outdated list would refuse work for a VM or data
// centre that was brought back, and grant work in one that was taken out.
func (owners *Owners) RunOwnedUpdates(ctx context.Context) error {
	ticker := time.NewTicker(ownedUpdateInterval)
	defer ticker.Stop()
	for {
		changed := owners.options.Members.Watch()
		owners.updateOwned()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

// RunExpiry expires grants whose holders are gone and cancels their streams, until the
// context ends.
func (owners *Owners) RunExpiry(ctx context.Context) error {
	return runEvery(ctx, renewInterval, owners.expireGrants)
}

// RunProbes probes the endpoints of services that others depend on, until the context ends.
func (owners *Owners) RunProbes(ctx context.Context) error {
	return runEvery(ctx, probeInterval, owners.probe)
}

func runEvery(ctx context.Context, interval time.Duration, step func(ctx context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// updateOwned sets the endpoints that this daemon owns.
func (owners *Owners) updateOwned() {
	ownership := owners.ownership()
	var owned []dogwoodfleet.Endpoint
	for _, endpoint := range ownership.endpoints {
		if member, ok := ownership.ownerOf(&endpoint); ok && member.Instance == owners.options.Self {
			owned = append(owned, endpoint)
		}
	}
	owners.options.Local.SetEndpoints(owned, owners.options.Text())
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	owners.owned = owned
	owners.fallback.maxDaemons = max(owners.fallback.maxDaemons, len(ownership.alive))
}

// renewGrants keeps each held grant valid at its endpoint's current owner. Grants are renewed
// in one call for each owner. If the owner has changed, the grant is announced to the new one.
func (owners *Owners) renewGrants(ctx context.Context) {
	ownership := owners.ownership()
	renewals := map[dogwoodfleet.InstanceID][]dogwoodowner.GrantID{}
	announcements := map[dogwoodfleet.InstanceID][]dogwoodowner.Held{}
	owners.mutex.Lock()
	for id, held := range owners.held {
		if member, ok := ownership.ownerOf(&held.Grant.Endpoint); ok && member.Instance != held.owner {
			held.owner = member.Instance
			held.Age = time.Since(held.heldSince)
			announcements[member.Instance] = append(announcements[member.Instance], held.Held)
			continue
		}
		renewals[held.owner] = append(renewals[held.owner], id)
	}
	owners.mutex.Unlock()
	var group errgroup.Group
	for _, member := range ownership.alive {
		grants, held := renewals[member.Instance], announcements[member.Instance]
		if len(grants) == 0 && len(held) == 0 {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, renewTimeout)
			defer cancel()
			held = append(held, owners.renewAt(ctx, member, grants)...)
			owners.announceAt(ctx, member, held)
			return nil
		})
	}
	_ = group.Wait() // the renewals return no errors
}

// renewAt renews grants at their owner. It returns those that the owner lost, which must be
// announced to it again.
func (owners *Owners) renewAt(ctx context.Context, member Member, grants []dogwoodowner.GrantID) []dogwoodowner.Held {
	if len(grants) == 0 {
		return nil
	}
	var reply RenewReply
	args := RenewArgs{Holder: owners.options.Self, Grants: grants, Begun: owners.takeBegins(grants)}
	if member.Instance == owners.options.Self {
		reply.Lost = owners.options.Local.Renew(args.Holder, args.Grants)
		owners.options.Local.Began(args.Holder, args.Begun)
	} else if err := owners.options.Caller.Call(ctx, member.Peer, "Owner.Renew", args, &reply); err != nil {
		owners.options.Logger.Debug("failed to renew grants", "owner", member.Instance, "error", err)
		return nil
	}
	owners.recordSummary(reply.Summary)
	counters.Add("GrantsLost", int64(len(reply.Lost)))
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	var lost []dogwoodowner.Held
	for _, id := range reply.Lost {
		if held := owners.held[id]; held != nil {
			held.Age = time.Since(held.heldSince)
			lost = append(lost, held.Held)
		}
	}
	return lost
}

func (owners *Owners) announceAt(ctx context.Context, member Member, held []dogwoodowner.Held) {
	if len(held) == 0 {
		return
	}
	if member.Instance == owners.options.Self {
		owners.options.Local.Announce(held)
		return
	}
	var reply dogwoodowner.Summary
	if err := owners.options.Caller.Call(ctx, member.Peer, "Owner.Announce", held, &reply); err != nil {
		owners.options.Logger.Debug("failed to announce grants", "owner", member.Instance, "error", err)
		return
	}
	owners.recordSummary(reply)
}

// expireGrants expires grants whose holders stopped renewing them and cancels their streams.
// Only the endpoint's owner does this, and only after a full lease without a renewal.
func (owners *Owners) expireGrants(ctx context.Context) {
	owners.CancelOrphans(ctx, owners.options.Local.Expire(time.Now()))
}

// CancelOrphans cancels streams without a holder at their engines.
func (owners *Owners) CancelOrphans(ctx context.Context, orphans []dogwoodowner.Orphan) {
	if len(orphans) == 0 {
		return
	}
	counters.Add("Orphans", int64(len(orphans)))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCancels)
	for _, orphan := range orphans {
		if orphan.Endpoint.Kind != dogwoodfleet.EnginePool {
			owners.options.Local.Cancelled(orphan.Grant) // the connection to the endpoint ended with the holder
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
			defer cancel()
			if err := owners.options.Cancel(ctx, orphan.Endpoint, orphan.Request); err != nil {
				owners.options.Logger.Warn("failed to cancel a stream without a holder", "request", orphan.Request, "error", err)
				return nil // Expire returns the orphan again
			}
			owners.options.Local.Cancelled(orphan.Grant)
			return nil
		})
	}
	_ = group.Wait() // failures are logged; the engine ends the stream at its deadline
}

// Held lists the grants that this daemon holds. It is used at shutdown.
func (owners *Owners) Held() []dogwoodowner.GrantID {
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	ids := make([]dogwoodowner.GrantID, 0, len(owners.held))
	for id := range owners.held {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b dogwoodowner.GrantID) int { return int(a.Number) - int(b.Number) })
	return ids
}
