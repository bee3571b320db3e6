package dogwooddispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

// warmTTL is how long an endpoint counts as warm after its last good answer to this daemon.
// An endpoint that turned cold in the meantime would be overloaded, so the time is short:
// twice the time that the daemons need to agree that an owner is dead.
const warmTTL = 6 * time.Second

// fallback grants slots when no owner can be reached. It grants up to this daemon's share of
// the limit of each endpoint known to be warm, and nothing at cold endpoints. The shares of
// all daemons add up to the limit, so no endpoint is overloaded if all daemons fall back.
type fallback struct {
	lastGood    map[dogwoodfleet.EndpointID]time.Time
	running     map[dogwoodfleet.EndpointID]int
	grantNumber uint64
	// maxDaemons is the largest number of daemons seen alive. A daemon that sees only a few
	// because of a network partition must not take the shares of the others.
	maxDaemons int
}

func newFallback() fallback {
	return fallback{lastGood: map[dogwoodfleet.EndpointID]time.Time{}, running: map[dogwoodfleet.EndpointID]int{}}
}

// fallbackSuffix marks grants that were not issued by an owner.
const fallbackSuffix = "/fallback"

func isFallbackGrant(id dogwoodowner.GrantID) bool {
	return strings.HasSuffix(string(id.Owner), fallbackSuffix)
}

func (fallback *fallback) recordResult(grant *dogwoodowner.Grant, release *dogwoodowner.Release, now time.Time) {
	if isFallbackGrant(grant.ID) {
		fallback.running[grant.Endpoint.ID]--
	}
	switch {
	case release.Cold, release.Result == dogwoodfleet.ResultDied, release.Result == dogwoodfleet.ResultRefused:
		delete(fallback.lastGood, grant.Endpoint.ID)
	case release.Result == dogwoodfleet.ResultDone:
		fallback.lastGood[grant.Endpoint.ID] = now
	}
}

// limitShare returns this daemon's share of an endpoint's limit. The remainder of the
// division goes to daemons in an order that differs between endpoints.
func limitShare(limit, daemons, rank int, endpoint dogwoodfleet.EndpointID) int {
	daemons = max(1, daemons)
	slots := limit / daemons
	position := (rank + int(xxhash.Sum64String(string(endpoint))%uint64(daemons))) % daemons
	if position < limit%daemons {
		slots++
	}
	return slots
}

// acquireFallback grants a slot from this daemon's share.
func (owners *Owners) acquireFallback(acquireRequest *dogwoodowner.AcquireRequest) (dogwoodowner.Grant, bool) {
	service, ok := owners.options.Text().Service(acquireRequest.Request.Service)
	if !ok {
		return dogwoodowner.Grant{}, false
	}
	alive := owners.options.Members.Alive()
	rank := 0
	for _, member := range alive {
		if member.Instance < owners.options.Self {
			rank++
		}
	}
	endpoints := owners.options.Members.Endpoints()
	now := time.Now()
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	fallback := &owners.fallback
	fallback.maxDaemons = max(fallback.maxDaemons, len(alive))
	for _, endpoint := range endpoints {
		lastGood, known := fallback.lastGood[endpoint.ID]
		if !endpoint.InForce || endpoint.Service != acquireRequest.Request.Service || !known || now.Sub(lastGood) > warmTTL {
			continue
		}
		if slices.Contains(acquireRequest.Avoid, endpoint.ID) || !mayHoldModel(&endpoint, acquireRequest.Request.Model) {
			continue
		}
		if endpoint.MemoryTokens > 0 && endpoint.MemoryTokens < acquireRequest.Request.Tokens() {
			continue
		}
		if fallback.running[endpoint.ID] >= limitShare(service.WarmLimit, fallback.maxDaemons, rank, endpoint.ID) {
			continue
		}
		fallback.running[endpoint.ID]++
		fallback.grantNumber++
		return dogwoodowner.Grant{
			ID:       dogwoodowner.GrantID{Owner: owners.options.Self + fallbackSuffix, Number: fallback.grantNumber},
			Endpoint: endpoint,
			Priority: dogwoodfleet.PriorityNormal, ReservedTokens: acquireRequest.Request.Tokens(), Lease: dogwoodowner.GrantLease,
		}, true
	}
	return dogwoodowner.Grant{}, false
}
