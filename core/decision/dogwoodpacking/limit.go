package dogwoodpacking

import (
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// limitBurst sets how many requests an endpoint may get at once: as many as its limit allows in this time, but at
	// least one.
	limitBurst = 100 * time.Millisecond
	// maxLimitTurn is how long a daemon waits for each daemon whose turn comes before its own, so that their announcements
	// arrive first. All turns together take no more than turnShare of the time between two requests.
	maxLimitTurn = 10 * time.Millisecond
	turnShare    = 0.25
	// limitProbeInterval is the time without a request after which an endpoint gets one, however low its limit: nothing else
	// would show that it has taken the limit back.
	limitProbeInterval = 10 * time.Second
	// maxLiftLag is how much older than the last answer with a limit another daemon's answer without one may be and still lift
	// it: answers to two daemons may arrive out of order. If the lift was wrong, the endpoint's next answer names the limit again.
	maxLiftLag = time.Second
	// maxNamedLimit bounds the limits that are kept. No endpoint gets as many requests a second.
	maxNamedLimit = 1e6
	// maxAbsentLimits bounds the limits that are kept of endpoints without entries.
	maxAbsentLimits = 1000
)

// NamedLimit is what an endpoint's answer says about the requests that it takes.
type NamedLimit struct {
	// Named is false if the endpoint names no limit.
	Named bool
	// PerSecond is the number of requests a second that it takes from all daemons together.
	PerSecond float64
}

// IsValid reports whether the limit can be kept.
func (limit NamedLimit) IsValid() bool {
	return !limit.Named || limit.PerSecond >= 0 && limit.PerSecond <= maxNamedLimit
}

// EndpointLimit is a named limit with its endpoint and the time at which the endpoint named it or took it back.
type EndpointLimit struct {
	Endpoint dogwoodfleet.EndpointID
	Limit    NamedLimit
	At       time.Time
}

// limitState is the limit that an endpoint has named.
type limitState struct {
	NamedLimit
	// at is when the endpoint was last heard to name the limit, or to name none.
	at time.Time
	// bucket holds the requests that the endpoint may get now; nil while it names no limit. It is emptied by the requests
	// of all daemons that are known here.
	bucket *rate.Limiter
	// sent counts the requests since the limit was named.
	sent int
	// lastSend is the time of the last request.
	lastSend time.Time
}

// set replaces the limit. A change begins with an empty bucket, since the endpoint has just got its full share.
func (state *limitState) set(now time.Time, limit NamedLimit, at time.Time) {
	changed := limit != state.NamedLimit
	state.NamedLimit, state.at = limit, at
	switch {
	case !limit.Named:
		*state = limitState{at: at}
	case changed:
		burst := max(int(limit.PerSecond*limitBurst.Seconds()), 1)
		state.bucket = rate.NewLimiter(rate.Limit(limit.PerSecond), burst)
		state.bucket.ReserveN(now, burst)
		state.lastSend = now
	}
}

// take counts a request of any daemon.
func (state *limitState) take(now time.Time) {
	if state.bucket != nil {
		state.bucket.ReserveN(now, 1)
		state.sent++
		state.lastSend = now
	}
}

// admits reports whether a daemon may send one more request now. The daemons take turns for each request, so that two
// of them rarely send one before either has the other's announcement.
func (state *limitState) admits(now time.Time, hash uint64, senders Senders) bool {
	if senders.Standby {
		return false
	}
	turn := (hash + uint64(state.sent) + uint64(senders.Index)) % uint64(senders.Count)
	turnTime := min(maxLimitTurn.Seconds(), turnShare/state.PerSecond/float64(senders.Count))
	now = now.Add(-time.Duration(float64(turn) * turnTime * float64(time.Second)))
	return state.bucket.TokensAt(now) >= 1 || now.Sub(state.lastSend) >= limitProbeInterval
}

// absentLimit is the limit of an endpoint without an entry. Its instance is empty if the entry was never seen.
type absentLimit struct {
	instance dogwoodfleet.InstanceID
	limit    limitState
}

// keepAbsentLimits keeps the limits of endpoints that are not among the given ones. The caller holds the mutex.
func (board *Board) keepAbsentLimits(present map[dogwoodfleet.EndpointID]*endpointState) {
	for id, state := range board.endpoints {
		if present[id] == nil && !state.limit.at.IsZero() {
			board.keepAbsentLimit(id, &absentLimit{instance: state.Instance, limit: state.limit})
		}
	}
}

// keepAbsentLimit keeps the limit of one endpoint, in place of the oldest if there are too many. The caller holds the mutex.
func (board *Board) keepAbsentLimit(id dogwoodfleet.EndpointID, absent *absentLimit) {
	if len(board.absentLimits) >= maxAbsentLimits {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(board.absentLimits)), func(a, b dogwoodfleet.EndpointID) int {
			return board.absentLimits[a].limit.at.Compare(board.absentLimits[b].limit.at)
		})
		delete(board.absentLimits, oldest)
	}
	board.absentLimits[id] = absent
}

// takeAbsentLimit returns the limit that was kept of an endpoint whose entry is back, and forgets it. The caller holds the
// mutex.
func (board *Board) takeAbsentLimit(endpoint *Endpoint) limitState {
	absent := board.absentLimits[endpoint.ID]
	delete(board.absentLimits, endpoint.ID)
	if absent == nil || absent.instance != "" && absent.instance != endpoint.Instance {
		return limitState{}
	}
	return absent.limit
}

// limitOf returns the limit of an endpoint, with or without an entry, that an answer or another daemon says something about. It
// returns nil if nothing is known that could be taken back. The caller holds the mutex.
func (board *Board) limitOf(id dogwoodfleet.EndpointID, limit NamedLimit) *limitState {
	if state := board.endpoints[id]; state != nil {
		return &state.limit
	}
	absent := board.absentLimits[id]
	if absent == nil {
		if !limit.Named {
			return nil
		}
		absent = &absentLimit{}
		board.keepAbsentLimit(id, absent)
	}
	return &absent.limit
}

// setLimit replaces an endpoint's limit. The caller holds the mutex.
func (board *Board) setLimit(now time.Time, state *limitState, limit NamedLimit, at time.Time) (changed bool) {
	changed = limit != state.NamedLimit
	state.set(now, limit, at)
	if changed {
		board.countLimited()
		board.notifyChange()
	}
	return changed
}

// countLimited counts the endpoints that name limits, which are seldom any. The caller holds the mutex.
func (board *Board) countLimited() {
	board.limited = 0
	for _, state := range board.endpoints {
		if state.limit.Named {
			board.limited++
		}
	}
}

// SetLimit records what an answer says about the limit of its endpoint. sent is when the answer's request was sent: an
// answer to an earlier request doesn't show that a limit was taken back. It returns what the other daemons have to
// learn; false if that is nothing.
func (board *Board) SetLimit(now, sent time.Time, id dogwoodfleet.EndpointID, limit NamedLimit) (EndpointLimit, bool) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if !limit.IsValid() {
		return EndpointLimit{}, false
	}
	if answering := board.endpoints[id]; answering != nil {
		answering.health.unreachable = false
	}
	state := board.limitOf(id, limit)
	switch {
	case state == nil:
		return EndpointLimit{}, false
	case !limit.Named && !state.Named, !limit.Named && !sent.After(state.at):
		return EndpointLimit{}, false // no limit is known, or the request was sent before it was named
	}
	changed := board.setLimit(now, state, limit, now)
	return EndpointLimit{Endpoint: id, Limit: limit, At: now}, changed
}

// LearnLimit records a limit that another daemon announced. An earlier one than the one known has no effect, except that it
// may lift one heard at nearly the same time.
func (board *Board) LearnLimit(now time.Time, learned EndpointLimit) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if !learned.Limit.IsValid() {
		return
	}
	state := board.limitOf(learned.Endpoint, learned.Limit)
	if state == nil {
		return
	}
	at := learned.At
	if !learned.Limit.Named {
		at = at.Add(maxLiftLag)
	}
	if !at.After(state.at) {
		return
	}
	board.setLimit(now, state, learned.Limit, learned.At)
}

// Limits returns the limits that endpoints name, and those that they took back.
func (board *Board) Limits() []EndpointLimit {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	var limits []EndpointLimit
	for id, state := range board.endpoints {
		if !state.limit.at.IsZero() {
			limits = append(limits, EndpointLimit{Endpoint: id, Limit: state.limit.NamedLimit, At: state.limit.at})
		}
	}
	return limits
}

// HasLimits reports whether an endpoint names a limit.
func (board *Board) HasLimits() bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	return board.limited > 0
}

// LimitedRate returns this daemon's share of the requests a second that a service's endpoints take, and true if all
// endpoints in force name a limit.
func (board *Board) LimitedRate(service dogwoodfleet.Service) (perSecond float64, limited bool) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if board.limited == 0 {
		return 0, false
	}
	for _, state := range board.endpoints {
		if state.Service != service || !state.takesRequests() {
			continue
		}
		if !state.limit.Named {
			return 0, false
		}
		perSecond += state.limit.PerSecond
		limited = true
	}
	if board.senders.Standby {
		return 0, limited
	}
	return perSecond / float64(board.senders.Count), limited
}
