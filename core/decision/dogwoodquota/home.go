package dogwoodquota

import (
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Home grants shares of the limits of those customers whose home is this daemon. It is not
// safe for concurrent use.
type Home struct {
	pools map[dogwoodfleet.Customer]*pool
}

// pool tracks the shares granted of one customer's limit.
type pool struct {
	grants    map[dogwoodfleet.InstanceID]grant
	demand    Rate // sum over grants
	shares    Rate // sum over grants
	lastSweep time.Time
}

type grant struct {
	demand, share Rate
	expires       time.Time
}

// NewHome returns a home without granted shares.
func NewHome() *Home {
	return &Home{pools: map[dogwoodfleet.Customer]*pool{}}
}

// Grant returns an entry's new share in reply to its report. Far from the limit the share
// exceeds the demand; near the limit it is proportional to the demand. It never includes what
// other entries hold, which they return with their next reports.
func (home *Home) Grant(now time.Time, entry dogwoodfleet.InstanceID, report Report, limit Rate) Share {
	customerPool := home.pools[report.Customer]
	if customerPool == nil {
		customerPool = &pool{grants: map[dogwoodfleet.InstanceID]grant{}, lastSweep: now}
		home.pools[report.Customer] = customerPool
	}
	customerPool.sweep(now)
	customerPool.revoke(entry)
	demand := customerPool.demand.add(report.Demand)
	available := limit.scaled(1 - Reserve)
	wanted := report.Demand.scaled(Headroom)
	next, near := farInterval, demand.fractionOf(available) > nearLimit
	if near {
		next = max(nearInterval, time.Duration(len(customerPool.grants)+1)*intervalPerEntry)
		wanted = proportionalShare(report.Demand, demand, available).minimum(report.Demand.scaled(nearHeadroom))
	}
	share := wanted.minimum(available.sub(customerPool.shares))
	if near && share.fractionOf(available) < wanted.fractionOf(available)/2 {
		// Other entries hold the rest of the wanted share until their next reports, which arrive
		// before this entry's regular one, so this entry reports sooner.
		next = max(nearInterval, next/4)
	}
	customerPool.add(entry, grant{demand: report.Demand, share: share, expires: now.Add(ValidFor * next)})
	return Share{Customer: report.Customer, Rate: share, Next: next, Pressed: near}
}

// proportionalShare returns the part of the limit that corresponds to the entry's part of the
// total demand.
func proportionalShare(demand, total, limit Rate) Rate {
	return Rate{
		Requests: limit.Requests * demand.Requests / max(total.Requests, 1e-9),
		Tokens:   limit.Tokens * demand.Tokens / max(total.Tokens, 1e-9),
	}
}

func (pool *pool) revoke(entry dogwoodfleet.InstanceID) {
	previous, ok := pool.grants[entry]
	if !ok {
		return
	}
	pool.demand = pool.demand.sub(previous.demand)
	pool.shares = pool.shares.sub(previous.share)
	delete(pool.grants, entry)
}

func (pool *pool) add(entry dogwoodfleet.InstanceID, grant grant) {
	pool.grants[entry] = grant
	pool.demand = pool.demand.add(grant.demand)
	pool.shares = pool.shares.add(grant.share)
}

// sweep revokes expired grants, at most once in minInterval.
func (pool *pool) sweep(now time.Time) {
	if now.Sub(pool.lastSweep) < minInterval {
		return
	}
	pool.lastSweep = now
	for entry, grant := range pool.grants {
		if now.After(grant.expires) {
			pool.revoke(entry)
		}
	}
	if len(pool.grants) == 0 {
		pool.demand, pool.shares = Rate{}, Rate{}
	}
}

// RevokeDead revokes the shares of entries that aren't alive.
func (home *Home) RevokeDead(alive func(dogwoodfleet.InstanceID) bool) {
	for _, pool := range home.pools {
		for entry := range pool.grants {
			if !alive(entry) {
				pool.revoke(entry)
			}
		}
	}
}

// DropIdle drops customers without granted shares. Call it periodically.
func (home *Home) DropIdle(now time.Time) {
	for customer, pool := range home.pools {
		pool.sweep(now)
		if len(pool.grants) == 0 {
			delete(home.pools, customer)
		}
	}
}
