package dogwooddispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

const (
	// engineListTTL is how long the list of all owners' engines is cached. Free memory changes
	// when a gang begins or ends, which takes seconds. If a gang chooses an engine by an outdated
	// list, the engine's owner refuses the slot.
	engineListTTL = 500 * time.Millisecond
	// engineListTimeout bounds fetching the list from the owners.
	engineListTimeout = time.Second
	// maxConcurrentEngineCalls bounds the owners that are called at the same time.
	maxConcurrentEngineCalls = 64
)

// Gangs lets the local owner reserve engines of other owners for prompts that exceed the
// memory of one engine. It implements dogwoodowner.GangPeers.
type Gangs struct {
	// Owners must be set before the first request.
	Owners *Owners

	fetchGroup singleflight.Group
	mutex      sync.Mutex
	engines    []dogwoodowner.GangEngine
	fetchedAt  time.Time
}

// Engines lists the engines of all owners that are in force for the service, may hold the
// model and whose memory size is known.
func (gangs *Gangs) Engines(service dogwoodfleet.Service, model dogwoodfleet.Model) []dogwoodowner.GangEngine {
	var engines []dogwoodowner.GangEngine
	for _, engine := range gangs.allEngines() {
		if engine.Service == service && engine.InForce && mayHoldModel(&engine.Endpoint, model) {
			engines = append(engines, engine)
		}
	}
	return engines
}

// allEngines returns the list of all owners' engines. One caller at a time fetches it, and no
// lock is held meanwhile, because a peer that doesn't answer would also delay the release of
// every gang.
func (gangs *Gangs) allEngines() []dogwoodowner.GangEngine {
	gangs.mutex.Lock()
	engines, fresh := gangs.engines, time.Since(gangs.fetchedAt) <= engineListTTL
	gangs.mutex.Unlock()
	if fresh {
		return engines
	}
	_, _, _ = gangs.fetchGroup.Do("", func() (any, error) {
		fetched := gangs.fetchEngines()
		gangs.mutex.Lock()
		defer gangs.mutex.Unlock()
		gangs.engines, gangs.fetchedAt = fetched, time.Now()
		return nil, nil
	})
	gangs.mutex.Lock()
	defer gangs.mutex.Unlock()
	return gangs.engines
}

func (gangs *Gangs) fetchEngines() []dogwoodowner.GangEngine {
	ctx, cancel := context.WithTimeout(context.Background(), engineListTimeout)
	defer cancel()
	engines := gangs.Owners.ownedEngines()
	var mutex sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrentEngineCalls)
	for _, member := range gangs.Owners.options.Members.Alive() {
		if member.Instance == gangs.Owners.options.Self || member.Place.Region != gangs.Owners.options.Place.Region {
			continue
		}
		group.Go(func() error {
			var owned []dogwoodowner.GangEngine
			if err := gangs.Owners.options.Caller.Call(ctx, member.Peer, "Owner.Engines", true, &owned); err != nil {
				return nil //nolint:nilerr // the engines of an unreachable owner are left out
			}
			mutex.Lock()
			defer mutex.Unlock()
			engines = append(engines, owned...)
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
	return engines
}

// Acquire acquires a slot for a gang member from the owner of its engine.
func (gangs *Gangs) Acquire(ctx context.Context, endpoint dogwoodfleet.Endpoint, acquireRequest dogwoodowner.AcquireRequest) (dogwoodowner.Grant, error) {
	gangs.markFull(endpoint.ID)
	member, ok := gangs.Owners.ownerOf(&endpoint)
	if !ok {
		return dogwoodowner.Grant{}, Error.New("no owner of %s is alive", endpoint.ID)
	}
	return gangs.Owners.acquireFrom(ctx, member, acquireRequest)
}

// markFull marks an engine as full in the cached list, so that the next gang chooses other
// engines even before the list is fetched again.
func (gangs *Gangs) markFull(id dogwoodfleet.EndpointID) {
	gangs.mutex.Lock()
	defer gangs.mutex.Unlock()
	engines := slices.Clone(gangs.engines)
	for i := range engines {
		if engines[i].ID == id {
			engines[i].FreeTokens = 0
		}
	}
	gangs.engines = engines
}

// Release releases a gang member's slot.
func (gangs *Gangs) Release(ctx context.Context, endpoint dogwoodfleet.Endpoint, release dogwoodowner.Release) {
	if member, ok := gangs.Owners.ownerOf(&endpoint); ok {
		gangs.Owners.releaseAt(ctx, member, release)
	}
}
