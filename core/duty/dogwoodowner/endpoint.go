package dogwoodowner

import (
	"slices"
	"time"

	"dogwoodmux.example/core/decision/dogwoodlimit"
	"dogwoodmux.example/core/decision/dogwoodmemory"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
)

const (
	// longSlotsDivisor limits long prompts to one in this many of an endpoint's slots, but at
	// least one slot: prefills that take a minute then leave three of four slots to short work.
	longSlotsDivisor = 4
	// endedTTL is how long ended requests are recorded, since lagging reports may list them.
	endedTTL = 10 * time.Second
)

// endpoint holds the state of an owned endpoint and the totals of the grants on it.
type endpoint struct {
	// description is the endpoint as listed in the fleet, updated by the engine's reports.
	description dogwoodfleet.Endpoint
	warmLimit   int
	limiter     *dogwoodlimit.Limiter
	memory      *dogwoodmemory.Ledger
	// reconciled is when the engine's list of streams was last compared with the grants.
	reconciled time.Time
	// running counts live and expired grants; runningLong counts those of long prompts.
	running, runningLong int
	// longTokens is the memory reserved by the grants of long prompts.
	longTokens int
	// unknownStreams counts listed streams that match no grant.
	unknownStreams int
	// alone is true while a suspect runs alone on the endpoint.
	alone bool
	// endID and endedAt are the name and the time of the latest end under runs whose answers had not begun.
	endID   dogwoodfleet.EndpointID
	endedAt time.Time
	// reservation is for the waiter that the endpoint is being cleared for; nil if none.
	reservation *reservation
	// prefillUntil is when the engine is expected to have prefilled all prompts granted so far.
	prefillUntil time.Time
	// noGrantsUntil and settlingUntil are the ends of noGrantsTimeout and SettleTimeout.
	noGrantsUntil   time.Time
	settlingUntil   time.Time
	engineReported  bool
	entriesReported bool
	ended           []endedRequest // the oldest first
}

// endedRequest is a request whose grant has ended.
type endedRequest struct {
	request dogwoodfleet.RequestID
	at      time.Time
}

// reservation reserves an endpoint's memory for a waiter that needs more than is free. Other
// work may still be granted while enough memory remains for the reservation (backfilling), so
// that long prompts don't starve and the engine isn't idle while it is cleared.
type reservation struct {
	waiter *waiter
	tokens int
	// backfilledTokens is the memory granted to other work since the reservation was made.
	backfilledTokens int
}

func newEndpoint(service *dogwoodsettings.Service, now time.Time) *endpoint {
	return &endpoint{
		limiter:       dogwoodlimit.New(service.ColdLimit, service.WarmLimit, now),
		memory:        dogwoodmemory.New(),
		noGrantsUntil: now.Add(noGrantsTimeout),
		settlingUntil: now.Add(SettleTimeout),
	}
}

// update applies the endpoint's description from the fleet and the limits from the operators'
// text. Fields that are empty in the description keep the values that the engine reported.
func (endpoint *endpoint) update(description dogwoodfleet.Endpoint, service *dogwoodsettings.Service) {
	if description.Instance == "" {
		description.Instance = endpoint.description.Instance
	}
	if description.MemoryTokens == 0 {
		description.MemoryTokens = endpoint.description.MemoryTokens
	}
	if len(description.Models) == 0 {
		description.Models, description.Adapters = endpoint.description.Models, endpoint.description.Adapters
	}
	endpoint.description = description
	endpoint.memory.SetMemory(description.MemoryTokens)
	endpoint.warmLimit = max(service.WarmLimit, 1)
	endpoint.limiter.SetBounds(service.ColdLimit, service.WarmLimit)
}

// report applies the engine's load report and returns whether the engine's models changed.
func (endpoint *endpoint) report(now time.Time, report LoadReport) (modelsChanged bool) {
	if len(report.Models) > 0 {
		modelsChanged = !slices.Equal(report.Models, endpoint.description.Models)
		endpoint.description.Models, endpoint.description.Adapters = report.Models, report.Adapters
	}
	if report.Instance != "" {
		endpoint.description.Instance = report.Instance
	}
	if report.MemoryTokens > 0 {
		endpoint.description.MemoryTokens = report.MemoryTokens
		endpoint.memory.SetMemory(report.MemoryTokens)
	}
	endpoint.limiter.Report(now, dogwoodlimit.Report{Taken: now.Add(-report.Age), Instance: report.Instance, Cold: report.Cold})
	return modelsChanged
}

// shortenSettling ends the time without grants. It also ends the settling if both the engine and
// an entry daemon have reported.
func (endpoint *endpoint) shortenSettling(now time.Time) {
	if now.Before(endpoint.noGrantsUntil) {
		endpoint.noGrantsUntil = now
	}
	if endpoint.engineReported && endpoint.entriesReported && now.Before(endpoint.settlingUntil) {
		endpoint.settlingUntil = now
	}
}

// limit returns how many requests the endpoint may hold now.
func (endpoint *endpoint) limit(now time.Time) int {
	limit := endpoint.limiter.Limit()
	if now.Before(endpoint.settlingUntil) {
		return min(limit, endpoint.limiter.ColdLimit())
	}
	return limit
}

// serving reports whether ordinary work can be granted as slots become free.
func (endpoint *endpoint) serving(now time.Time) bool {
	suspect := endpoint.alone || endpoint.reservation != nil && endpoint.reservation.waiter.suspect
	return endpoint.description.InForce && !suspect && !now.Before(endpoint.limiter.BlockedUntil())
}

// ready reports whether the endpoint accepts new grants.
func (endpoint *endpoint) ready(now time.Time) bool {
	return endpoint.description.InForce && !endpoint.alone &&
		!now.Before(endpoint.noGrantsUntil) && !now.Before(endpoint.limiter.BlockedUntil())
}

// hasFreeSlot reports whether there is a slot for ordinary work.
func (endpoint *endpoint) hasFreeSlot(now time.Time) bool {
	if !endpoint.ready(now) {
		return false
	}
	taken := endpoint.running + endpoint.unknownStreams
	if endpoint.reservation != nil {
		if endpoint.reservation.waiter.suspect {
			return false
		}
		if endpoint.runningLong < endpoint.longLimit(now) {
			taken++ // otherwise the reservation gets the slot of a long prompt that must end first
		}
	}
	return taken < endpoint.limit(now)
}

// longLimit returns how many long prompts the endpoint may hold now.
func (endpoint *endpoint) longLimit(now time.Time) int {
	return max(1, endpoint.limit(now)/longSlotsDivisor)
}

// usableTokens returns the memory that one request may reserve; 0 means unknown.
func (endpoint *endpoint) usableTokens() int {
	return endpoint.description.MemoryTokens - endpoint.description.MemoryTokens/dogwoodmemory.GangHeadroomDivisor
}

// fits reports whether the waiter can be granted a slot now.
func (endpoint *endpoint) fits(now time.Time, waiter *waiter) bool {
	reserved := endpoint.reservation != nil && endpoint.reservation.waiter == waiter
	if reserved {
		hasSlot := endpoint.running+endpoint.unknownStreams < endpoint.limit(now)
		return endpoint.ready(now) && hasSlot && endpoint.hasMemory(waiter.tokens, waiter.long)
	}
	if !endpoint.hasFreeSlot(now) {
		return false
	}
	if waiter.Long() && (endpoint.reservation != nil || endpoint.runningLong >= endpoint.longLimit(now)) {
		return false
	}
	if !endpoint.hasMemory(waiter.tokens, waiter.long) {
		return false
	}
	return endpoint.reservation == nil || endpoint.reservation.backfilledTokens+waiter.tokens <= endpoint.description.MemoryTokens-endpoint.reservation.tokens
}

// hasMemory reports whether the tokens fit into the engine's free memory. An empty engine
// admits whatever fits; a cold one is limited to a part of its memory as it is to a part of
// its slots. For short work, memory held by long prompts doesn't count towards that part: a
// long prompt admitted by an empty engine may exceed that part by itself, and would keep all
// short work off the engine's other slots until it ends.
func (endpoint *endpoint) hasMemory(tokens int, long bool) bool {
	memory := endpoint.description.MemoryTokens
	if memory == 0 {
		return true
	}
	used := endpoint.memory.Used()
	if endpoint.running+endpoint.unknownStreams == 0 || used+tokens > memory {
		return used+tokens <= memory
	}
	if !long {
		used -= endpoint.longTokens
	}
	return used+tokens <= max(endpoint.limiter.TokenBudget(memory), min(memory, minColdTokens))
}

// minColdTokens is the least token budget of an engine, which any engine can handle: one
// prompt of the largest class that isn't long, with its answer.
const minColdTokens = 80_000

// aheadTokens estimates how many of the granted prompt tokens the engine hasn't prefilled yet.
func (endpoint *endpoint) aheadTokens(now time.Time) int {
	left := endpoint.prefillUntil.Sub(now)
	if left <= 0 {
		return 0
	}
	return int(left / max(endpoint.limiter.PerToken(), 1))
}

// addGrant counts a new grant at once, without waiting for a report that includes it.
func (endpoint *endpoint) addGrant(now time.Time, grant *grant, hitTokens int) {
	endpoint.running++
	endpoint.memory.Claim(dogwoodmemory.Hold{
		Request: grant.request.ID, Holder: grant.holder, Tokens: grant.tokens, Expires: grant.renewedAt.Add(GrantLease),
	}, now)
	if grant.long {
		endpoint.runningLong++
		endpoint.longTokens += grant.tokens
	}
	if grant.Alone {
		endpoint.alone = true
	}
	if endpoint.reservation != nil {
		if endpoint.reservation.waiter == grant.waiter {
			endpoint.reservation = nil
		} else {
			endpoint.reservation.backfilledTokens += grant.tokens
			grant.backfilled = endpoint.reservation
		}
	}
	grant.aheadTokens = endpoint.aheadTokens(now)
	prefill := time.Duration(max(grant.request.PromptTokens-hitTokens, 0)) * endpoint.limiter.PerToken()
	if endpoint.prefillUntil.Before(now) {
		endpoint.prefillUntil = now
	}
	endpoint.prefillUntil = endpoint.prefillUntil.Add(prefill)
}

// reconcileMaxAge is how long a comparison with the engine's list counts as recent.
const reconcileMaxAge = 5 * time.Second

// removeGrant counts a grant's end. If the engine's list was fetched recently, the memory of a
// stream that was cut off is freed once the engine no longer lists it; otherwise at once.
func (endpoint *endpoint) removeGrant(now time.Time, grant *grant, cut bool) {
	endpoint.running--
	if cut && now.Sub(endpoint.reconciled) < reconcileMaxAge {
		endpoint.memory.Drain(grant.request.ID, now)
	} else {
		endpoint.memory.Finish(grant.request.ID, now)
	}
	if grant.long {
		endpoint.runningLong--
		endpoint.longTokens -= grant.tokens
	}
	if grant.Alone {
		endpoint.alone = false
	}
	if grant.backfilled != nil {
		grant.backfilled.backfilledTokens -= grant.tokens
	}
	if endpoint.running == 0 {
		endpoint.prefillUntil = now
	}
	endpoint.ended = append(endpoint.ended, endedRequest{request: grant.request.ID, at: now})
	expired := 0
	for expired < len(endpoint.ended) && now.Sub(endpoint.ended[expired].at) > endedTTL {
		expired++
	}
	endpoint.ended = slices.Delete(endpoint.ended, 0, expired)
}

// endedAfter reports whether the request ended after the report was taken. Such a report may
// still list the request.
func (endpoint *endpoint) endedAfter(request dogwoodfleet.RequestID, taken time.Time) bool {
	return slices.ContainsFunc(endpoint.ended, func(ended endedRequest) bool {
		return ended.request == request && !ended.at.Before(taken)
	})
}
