// Package dogwoodpacking selects the endpoint for each request, from one view of all the work
// that the daemons have assigned to a pool of endpoints.
//
// Load pattern: many short prompts whose answers must stream without pauses, mixed with a few
// long prompts that take an engine seconds to prefill. Answers are decoded on as few engines as
// can keep their pauses short. Prompts that these engines can't prefill in time are prefilled
// jointly with engines that are not decoding. The boundary between the two sets moves with each
// request. Otherwise a short prompt would wait seconds behind a long one, and a long prompt would
// stretch the pauses of all answers decoded on the same engine; a fixed boundary would perform
// badly whenever the traffic mix changes.
//
// A Board holds the work that this daemon assigned and the work that its peers announced. It
// does no I/O; methods that depend on the time take it as an argument. In exported names, Reading
// stands for prefilling and Writing for decoding.
package dogwoodpacking

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodmux.example/core/decision/dogwoodenginetime"
	"dogwoodmux.example/core/dogwoodfleet"
)

// WorkID identifies one attempt of a request across all daemons.
type WorkID string

// Part is a helper's share of prefilling a prompt.
type Part struct {
	Endpoint dogwoodfleet.EndpointID
	// Tokens is the number of prompt tokens held in the helper's memory; 0 if it only prefills.
	Tokens int
}

// Work is one request assigned to an endpoint.
type Work struct {
	ID       WorkID
	Holder   dogwoodfleet.InstanceID
	Service  dogwoodfleet.Service
	Endpoint dogwoodfleet.EndpointID
	Helpers  []Part
	// Rank orders requests by urgency; lower goes first. Customer is empty for requests without a key.
	Rank     int
	Customer dogwoodfleet.Customer
	// Tokens counts the prompt and the longest possible answer; Prompt counts the prompt alone.
	Tokens, Prompt int
	// Reading is the predicted prefill time on each engine that prefills; 0 for plain calls.
	Reading time.Duration
	// Aim is the target time to the first token, Pause the longest acceptable pause between two
	// events of the answer; 0 means no limit.
	Aim, Pause time.Duration
	// Begun is the time when the request was sent. Writing is true from the first token on.
	Begun   time.Time
	Writing bool
	// Until is the latest time at which the work can end. Work of a peer that died expires then.
	Until time.Time
	// countedAt is the time for which its use was counted; zero if it does not count. Each announcement converts Begun anew.
	countedAt time.Time
}

// Endpoint is an endpoint as recorded in the store.
type Endpoint struct {
	dogwoodfleet.Endpoint
	Slots int
	// Engine is nil for plain services.
	Engine *dogwoodenginetime.Engine
	// ColdPerSecond is the number of requests a second that it can take while cold; 0 means no
	// limit.
	ColdPerSecond float64
	// ColdUntil is the time from which it is expected to be warm.
	ColdUntil time.Time
}

// endpointState is an endpoint with its assigned work and its observed health.
type endpointState struct {
	Endpoint
	// rank orders endpoints that are otherwise equal and differs between daemons. hash is the
	// same on every daemon. group is the endpoint's group out of groupCount groups.
	rank, hash        uint64
	group, groupCount int
	work              workList
	helpedWork        workList // work at other endpoints that this one helps to prefill
	// sends holds the requests of the last second by all daemons, ownSends those by this daemon.
	sends, ownSends timestamps
	health          health
	limit           limitState
	// leaving is true once the endpoint has said that it leaves.
	leaving bool
	// lastPrefillAt is the latest time at which a prompt is known to have been prefilled here.
	lastPrefillAt   time.Time
	pendingPrefills []pendingPrefill // reused by load
}

// Board is one daemon's view of the work at all endpoints. It is safe for concurrent use.
type Board struct {
	mutex     sync.Mutex
	endpoints map[dogwoodfleet.EndpointID]*endpointState
	ranked    []*endpointState // endpoints sorted by rank
	workByID  map[WorkID]*Work
	// rankCounts counts the requests of each rank.
	rankCounts map[serviceRank]*rankCount
	limited    int // the number of endpoints that name limits
	// absentLimits holds the limits of endpoints whose entries are missing.
	absentLimits map[dogwoodfleet.EndpointID]*absentLimit
	// backoffs holds until when endpoints have asked this daemon for no requests.
	backoffs map[endpointInstance]time.Time
	// leaving holds when endpoints have said that they leave.
	leaving map[endpointInstance]time.Time
	changed chan struct{}
	owner   string
	// seenShare is the share of the daemons whose work is on the board.
	seenShare float64
	// awaitsPeers is true while daemons are known whose work is not on the board yet.
	awaitsPeers bool
	senders     Senders
	// promptSends holds the times of the prompts sent within the last second by all daemons, ownSends those of
	// all requests and ownRepeats those of the prompts that had been tried before, sent by this daemon.
	promptSends, ownSends, ownRepeats timestamps
	shares                            shares
	// scratch is reused by each decision while the mutex is held.
	scratch scratch
}

// scratch holds the buffers of one decision. A decision is made for each request and examines
// many endpoints; allocating the buffers each time took a third of the decision's time.
type scratch struct {
	available, healthy []*endpointState
	// requestCount is the number of requests at the service's endpoints.
	requestCount       int
	engines            []engine
	primaries, helpers []*engine
}

// NewBoard returns an empty board for a daemon. Each daemon orders equal endpoints differently,
// so that daemons that do not see each other's work do not all start with the same endpoint.
func NewBoard(owner dogwoodfleet.InstanceID) *Board {
	return &Board{
		endpoints: map[dogwoodfleet.EndpointID]*endpointState{}, workByID: map[WorkID]*Work{}, rankCounts: map[serviceRank]*rankCount{},
		absentLimits: map[dogwoodfleet.EndpointID]*absentLimit{}, backoffs: map[endpointInstance]time.Time{}, leaving: map[endpointInstance]time.Time{}, changed: make(chan struct{}), owner: string(owner), seenShare: 1, senders: Senders{Count: 1},
	}
}

// SetEndpoints replaces the endpoints. Endpoints that remain keep their work and health, and one whose entry
// comes back keeps its limit; one that came back under its ID as another instance starts with a fresh state.
func (board *Board) SetEndpoints(endpoints []Endpoint) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	states := make(map[dogwoodfleet.EndpointID]*endpointState, len(endpoints))
	for _, endpoint := range endpoints {
		known := board.endpoints[endpoint.ID]
		if known == nil || known.Instance != endpoint.Instance {
			known = &endpointState{}
			known.rank = xxhash.Sum64String(board.owner + "\x00" + string(endpoint.ID))
			known.hash = xxhash.Sum64String(string(endpoint.ID))
			known.limit = board.takeAbsentLimit(&endpoint)
		}
		known.Endpoint = endpoint
		board.setLeaving(known)
		states[endpoint.ID] = known
	}
	board.keepAbsentLimits(states)
	board.endpoints = states
	board.ranked = slices.SortedFunc(maps.Values(states), func(a, b *endpointState) int { return cmp.Compare(a.rank, b.rank) })
	for _, work := range board.workByID {
		board.attach(work)
	}
	board.countLimited()
	board.notifyChange()
}

// SetVisibleDaemons sets how many of the expected daemons announce their work here. A daemon that sees
// only some of them packs only that share of an engine's slots: after all daemons were killed at
// once, each would otherwise fill the same engines on its own.
func (board *Board) SetVisibleDaemons(visible, expected int) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.seenShare = min(float64(max(visible, 1))/float64(max(expected, 1)), 1)
}

// AwaitPeers makes long prompts wait while work of other daemons is missing on the board.
func (board *Board) AwaitPeers(awaits bool) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if board.awaitsPeers && !awaits {
		board.notifyChange()
	}
	board.awaitsPeers = awaits
}

// Changed returns a channel that is closed when an endpoint or a slot of this daemon may have
// become free. Slots freed by other daemons are not reported: that daemon's own requests use
// them first, and all other daemons would otherwise send requests there at the same moment.
func (board *Board) Changed() <-chan struct{} {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	return board.changed
}

// notifyChange wakes everyone who waits for a change. The caller holds the mutex.
func (board *Board) notifyChange() {
	close(board.changed)
	board.changed = make(chan struct{})
}

// Put adds work or replaces its recorded state. Peers' announcements are recorded with it, too.
func (board *Board) Put(now time.Time, work Work) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.put(now, work)
}

func (board *Board) put(now time.Time, work Work) {
	before, known := board.workByID[work.ID]
	if known && work.Writing && !before.Writing {
		board.recordPrefill(now, &work)
	}
	board.detach(work.ID)
	board.workByID[work.ID] = &work
	board.rankCount(&work).add(now)
	board.attach(&work)
	if known {
		work.countedAt = before.countedAt
	} else {
		board.shares.record(now, &work, board.isOwn(&work))
	}
	if state := board.endpoints[work.Endpoint]; state != nil && !known {
		own := board.isOwn(&work)
		state.recordSend(now, own)
		if own {
			board.ownSends = append(board.ownSends, now)
			board.ownSends.countRecent(now)
		}
		if work.Prompt > 0 {
			board.promptSends = append(board.promptSends, now)
			board.promptSends.countRecent(now)
		}
	}
}

// isOwn reports whether this daemon placed the work.
func (board *Board) isOwn(work *Work) bool { return string(work.Holder) == board.owner }

// RemoveUse takes work that never ran out of the use of its customer and its rank.
func (board *Board) RemoveUse(now time.Time, id WorkID) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	work := board.workByID[id]
	if work == nil {
		work = board.shares.dropped[id]
	}
	if work != nil {
		board.shares.remove(now, work, board.isOwn(work))
	}
}

// Remove drops work of another daemon that has ended.
func (board *Board) Remove(id WorkID) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.detach(id)
}

// End drops work of this daemon that has ended and reports the change.
func (board *Board) End(id WorkID) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.detach(id)
	board.notifyChange()
}

// RemoveHolder drops all work of a daemon, except the listed work, and returns what it dropped.
func (board *Board) RemoveHolder(holder dogwoodfleet.InstanceID, except map[WorkID]bool) []WorkID {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	var dropped []WorkID
	for id, work := range board.workByID {
		if work.Holder == holder && !except[id] {
			board.shares.recordDropped(work)
			board.detach(id)
			dropped = append(dropped, id)
		}
	}
	board.notifyChange()
	return dropped
}

// WorkExcept returns the work of all daemons but one.
func (board *Board) WorkExcept(except dogwoodfleet.InstanceID) []Work {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	works := make([]Work, 0, len(board.workByID))
	for _, work := range board.workByID {
		if work.Holder != except {
			works = append(works, *work)
		}
	}
	return works
}

// ReplacePeerWork records the complete work of the other daemons, and drops work of theirs that is not
// listed.
func (board *Board) ReplacePeerWork(now time.Time, works []Work) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	listed := make(map[WorkID]bool, len(works))
	for _, work := range works {
		listed[work.ID] = true
	}
	// Work that has ended is dropped first. If the new work were counted beside it, each view would raise the peaks of all ranks.
	for id, work := range board.workByID {
		if !board.isOwn(work) && !listed[id] {
			board.shares.recordDropped(work)
			board.detach(id)
		}
	}
	for _, work := range works {
		board.put(now, work)
	}
	board.notifyChange()
}

// Expire drops work whose Until has passed: its daemon died or was disconnected before it could
// report the end.
func (board *Board) Expire(now time.Time) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.shares.forgetDropped(now)
	for id, work := range board.workByID {
		if now.After(work.Until) {
			board.detach(id)
		}
	}
	board.notifyChange()
}

// recordPrefill records that a prompt was prefilled at its endpoint, and that its helpers have prefilled their
// parts, which they may have done earlier.
func (board *Board) recordPrefill(now time.Time, work *Work) {
	if state := board.endpoints[work.Endpoint]; state != nil {
		state.lastPrefillAt = now
		state.health.unreachable = false
	}
	for _, part := range work.Helpers {
		if state := board.endpoints[part.Endpoint]; state != nil {
			state.recordPart(now, work.ID)
		}
	}
}

// Count returns the number of endpoints in force and the number of other known endpoints.
func (board *Board) Count() (inForce, out int) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	for _, state := range board.endpoints {
		if state.takesRequests() {
			inForce++
		}
	}
	return inForce, len(board.endpoints) - inForce
}

// Writes records the first token of work, from which on its answer is decoded. If the prompt is
// long, it updates the endpoint's slowness with the observed and the predicted time.
func (board *Board) Writes(now time.Time, id WorkID, predicted, observed time.Duration) (Work, bool) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	work := board.workByID[id]
	if work == nil {
		return Work{}, false
	}
	if !work.Writing {
		board.recordPrefill(now, work)
	}
	work.Writing = true
	if state := board.endpoints[work.Endpoint]; state != nil && work.Prompt >= dogwoodenginetime.LongPrompt {
		state.health.learnFirstToken(predicted, observed)
	}
	return *work, true
}

func (board *Board) attach(work *Work) {
	if state := board.endpoints[work.Endpoint]; state != nil {
		state.work.put(work)
	}
	for _, part := range work.Helpers {
		if state := board.endpoints[part.Endpoint]; state != nil {
			state.helpedWork.put(work)
		}
	}
}

func (board *Board) detach(id WorkID) {
	work := board.workByID[id]
	if work == nil {
		return
	}
	delete(board.workByID, id)
	board.rankCount(work).count--
	if state := board.endpoints[work.Endpoint]; state != nil {
		state.work.remove(id)
	}
	for _, part := range work.Helpers {
		if state := board.endpoints[part.Endpoint]; state != nil {
			state.helpedWork.remove(id)
		}
	}
}
