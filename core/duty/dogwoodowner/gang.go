package dogwoodowner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodmux.example/core/decision/dogwoodmemory"
	"dogwoodmux.example/core/decision/dogwoodownership"
	"dogwoodmux.example/core/dogwoodfleet"
)

// gangHoldTimeout bounds how long a member's memory is held for an incomplete gang.
const gangHoldTimeout = 30 * time.Second

// refusalTooLarge reports how many tokens a request may have, so that its caller need not
// guess. The maximum is left out if it is unknown or if the request doesn't exceed it, as when
// an engine that the request needs is to be avoided.
func refusalTooLarge(tokens, maxTokens int) *Refusal {
	refusal := &Refusal{
		Reason: dogwoodfleet.ReasonTooLarge, NotRun: true,
		Detail: fmt.Sprintf("%d tokens fit no engine and no gang of engines", tokens),
	}
	if maxTokens > 0 && maxTokens < tokens {
		refusal.Detail = (&dogwoodmemory.TooLarge{Tokens: tokens, LimitTokens: maxTokens}).Error()
	}
	return refusal
}

// maxRequestTokens returns how many tokens a request may have on the engines in force, alone
// or as a gang.
func maxRequestTokens(engines []GangEngine) int {
	memories := make([]dogwoodmemory.EngineMemory, 0, len(engines))
	for i := range engines {
		if engines[i].InForce {
			memories = append(memories, dogwoodmemory.EngineMemory{Memory: engines[i].MemoryTokens})
		}
	}
	return dogwoodmemory.MaxRequestTokens(memories)
}

// acquireGang acquires several engines, or none, for a prompt that exceeds one. To prevent
// deadlocks, all owners acquire the members in the order of their IDs: of two gangs that need
// the same engines, one waits at the first shared engine and holds none of the later ones. The
// wait is bounded, and if it fails all members acquired so far are released.
func (owner *Owner) acquireGang(ctx context.Context, acquireRequest AcquireRequest) (Grant, *Refusal) {
	started := time.Now()
	request := &acquireRequest.Request
	engines := owner.options.Gangs.Engines(request.Service, request.Model)
	members := chooseGang(request, engines, acquireRequest.Avoid)
	if len(members) == 0 {
		return Grant{}, refusalTooLarge(request.Tokens(), maxRequestTokens(engines))
	}
	parts := make([]Grant, 0, len(members))
	for _, member := range members {
		part := memberRequest(acquireRequest, member.ID, len(members), time.Since(started))
		granted, err := owner.options.Gangs.Acquire(ctx, member, part)
		if err != nil {
			owner.releaseMembers(ctx, parts)
			return Grant{}, gangRefusal(err)
		}
		parts = append(parts, granted)
	}
	gang := parts[0]
	gang.Gang = make([]dogwoodfleet.Endpoint, len(parts))
	gang.Members = make([]GrantID, len(parts))
	for i := range parts {
		gang.Gang[i] = parts[i].Endpoint
		gang.Members[i] = parts[i].ID
	}
	gang.Priority = dogwoodfleet.PriorityLong
	return gang, nil
}

// releaseMembers releases the acquired members, also if the context has ended.
func (owner *Owner) releaseMembers(ctx context.Context, parts []Grant) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), GrantLease)
	defer cancel()
	for i := range parts {
		owner.options.Gangs.Release(ctx, parts[i].Endpoint, Release{ID: parts[i].ID, Result: dogwoodfleet.ResultCancelled})
	}
}

// gangRefusal returns a member's refusal, or wraps any other error in one. Nothing was sent to
// an engine yet, so the request did not run.
func gangRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{
		Reason: dogwoodfleet.ReasonNoEndpoint, NotRun: true, RetryAfter: time.Second,
		Detail: "an engine's owner could not be asked: " + err.Error(),
	}
}

// memberRequest returns the acquire request for one of count members.
func memberRequest(acquireRequest AcquireRequest, member dogwoodfleet.EndpointID, count int, spent time.Duration) AcquireRequest {
	acquireRequest.Pin = member
	acquireRequest.Budget -= spent
	acquireRequest.Hold = min(acquireRequest.Budget, gangHoldTimeout)
	acquireRequest.Request.PromptTokens = (acquireRequest.Request.PromptTokens + count - 1) / count
	acquireRequest.Request.MaxTokens = (acquireRequest.Request.MaxTokens + count - 1) / count
	acquireRequest.Request.Blocks = nil
	return acquireRequest
}

// GangEngine is an engine that a gang may include.
type GangEngine struct {
	dogwoodfleet.Endpoint
	// FreeTokens is the memory that a member could reserve at once; 0 if it would have to wait.
	FreeTokens int
}

// GangEngine returns an owned engine with the memory that a member of a gang could reserve on it
// at once.
func (owner *Owner) GangEngine(engine dogwoodfleet.Endpoint) GangEngine {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	gangEngine := GangEngine{Endpoint: engine}
	state := owner.endpoints[engine.ID]
	if state != nil && state.reservation == nil && state.runningLong < state.longLimit(time.Now()) {
		gangEngine.FreeTokens = max(state.memory.Free(), 0)
	}
	return gangEngine
}

// chooseGang returns the smallest set of engines that together hold the request, in the order
// of their IDs. It prefers engines that are all free at once: in one data centre if possible,
// since engines there pass KV blocks to each other, otherwise in the region. If too few are
// free it returns engines that must be waited for.
//
// The data centre within the region, and its engines, are selected by a hash of the request's
// ID and not by distance. If all gangs selected the nearest engines, they would run one after
// another. The millisecond saved doesn't matter for a prompt that takes seconds to prefill.
func chooseGang(request *dogwoodfleet.Request, engines []GangEngine, avoid []dogwoodfleet.EndpointID) []dogwoodfleet.Endpoint {
	eligible := slices.DeleteFunc(slices.Clone(engines), func(engine GangEngine) bool {
		return !engine.InForce || engine.MemoryTokens == 0 || slices.Contains(avoid, engine.ID)
	})
	sortForGang(request, eligible)
	for count := 2; count <= len(eligible); count++ {
		share := (request.PromptTokens+count-1)/count + (request.MaxTokens+count-1)/count
		large := slices.DeleteFunc(slices.Clone(eligible), func(engine GangEngine) bool {
			return share > engine.MemoryTokens-engine.MemoryTokens/dogwoodmemory.GangHeadroomDivisor
		})
		if len(large) < count {
			continue
		}
		var members []dogwoodfleet.Endpoint
		for _, engine := range pickMembers(large, count, share) {
			members = append(members, engine.Endpoint)
		}
		slices.SortFunc(members, func(a, b dogwoodfleet.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
		return members
	}
	return nil
}

// sortForGang sorts engines by the distance of their regions from the request's origin, and at
// equal distance by hashes of the request's ID with the data centre and with the engine.
func sortForGang(request *dogwoodfleet.Request, engines []GangEngine) {
	hash := func(name string) uint64 {
		return xxhash.Sum64String(string(request.ID) + "\x00" + name)
	}
	regionDistance := func(engine *GangEngine) int {
		return max(dogwoodownership.Distance(request.Origin, engine.Place), 1)
	}
	slices.SortFunc(engines, func(a, b GangEngine) int {
		return cmp.Or(
			cmp.Compare(regionDistance(&a), regionDistance(&b)),
			cmp.Compare(hash(string(a.Place.DataCentre)), hash(string(b.Place.DataCentre))),
			cmp.Compare(hash(string(a.ID)), hash(string(b.ID))),
		)
	})
}

// pickMembers returns count of the engines, which are sorted by preference. It prefers free
// ones in the same place, then free ones.
func pickMembers(engines []GangEngine, count, share int) []GangEngine {
	free := slices.DeleteFunc(slices.Clone(engines), func(engine GangEngine) bool { return engine.FreeTokens < share })
	if len(free) < count {
		return engines[:count]
	}
	for start := range free[:len(free)-count+1] {
		if free[start].Place == free[start+count-1].Place {
			return free[start : start+count]
		}
	}
	return free[:count]
}

// grantMembers grants endpoints to waiting members of gangs, and reserves each other endpoint
// for the first member that waits for it.
//
// Members don't wait in the fair queue, since there a member would also wait behind requests of
// its customer and class that need other endpoints. A gang that holds engine 4 and needs engine
// 7 could then wait behind one that needs engine 4: neither starts, and both engines are idle
// until a deadline passes. Here a member waits for its pinned endpoint only.
func (lane *lane) grantMembers(now time.Time) {
	waiting := lane.members
	lane.members = nil
	for _, member := range waiting {
		index := slices.IndexFunc(lane.endpoints, func(state *endpoint) bool { return state.description.ID == member.acquireRequest.Pin })
		switch {
		case index < 0:
			member.reject(refusalNoEndpoint())
		case lane.endpoints[index].fitsMember(now, member):
			lane.grant(now, member, lane.endpoints[index], 0, false)
		default:
			lane.members = append(lane.members, member)
			lane.reserveForMember(member, lane.endpoints[index])
		}
	}
}

// reserveForMember reserves the endpoint for a member, unless it is reserved already.
func (lane *lane) reserveForMember(member *waiter, state *endpoint) {
	if state.reservation == nil && member.reserved == nil && state.description.InForce && member.tokens <= state.description.MemoryTokens {
		state.reservation = &reservation{waiter: member, tokens: member.tokens}
		member.reserved = state
	}
}

// fitsMember reports whether a member of a gang can be granted a slot on the endpoint now.
func (endpoint *endpoint) fitsMember(now time.Time, member *waiter) bool {
	if endpoint.reservation != nil && endpoint.reservation.waiter != member {
		return false
	}
	limit := endpoint.limit(now)
	return endpoint.ready(now) && endpoint.running+endpoint.unknownStreams < limit &&
		endpoint.runningLong < endpoint.longLimit(now) && endpoint.hasMemory(member.tokens, true)
}
