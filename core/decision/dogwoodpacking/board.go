// Package dogwoodpacking decides which endpoint gets a request, from one view of all the
// work that the daemons have given to a pool of endpoints.
//
// Load pattern: many short prompts whose answers must flow without pauses, among few long
// ones that keep an engine reading for seconds. Answers are written on as few engines as
// keep their pauses, and prompts that these can't read in time are read jointly with the
// engines that do not write. The border between the two moves with each request. Without it
// a short prompt waits seconds behind a long one, a long one stretches the pauses of all
// who write beside it, and a fixed split loses whenever the traffic turns.
//
// A Board holds the work that this daemon gave out itself and the work that its peers
// announced. It does no I/O; every method takes the time.
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

// WorkID names one try of a request over all daemons.
type WorkID string

// Part is a helper's share in the reading of a prompt.
type Part struct {
	Endpoint dogwoodfleet.EndpointID
	// Tokens are the tokens of the prompt that are kept in the helper's memory; 0 if it
	// only reads.
	Tokens int
}

// Work is one request at an endpoint.
type Work struct {
	ID       WorkID
	Holder   dogwoodfleet.InstanceID
	Service  dogwoodfleet.Service
	Endpoint dogwoodfleet.EndpointID
	Helpers  []Part
	// Tokens are the prompt and the longest answer together; Prompt is the prompt alone.
	Tokens, Prompt int
	// Reading is the predicted reading time on each engine that reads, none for plain calls.
	Reading time.Duration
	// Aim is the time of a good first token, Pause the longest good pause between two events
	// of its answer; 0 if any is good.
	Aim, Pause time.Duration
	// Begun is when it was sent. Writing is true from its first token on.
	Begun   time.Time
	Writing bool
	// Until is when it ends at the latest; a peer that dies leaves it behind.
	Until time.Time
}

// Endpoint is an endpoint as the store tells it.
type Endpoint struct {
	dogwoodfleet.Endpoint
	Slots int
	// Engine is nil for plain services.
	Engine *dogwoodenginetime.Engine
	// ColdPerSecond is what it bears in a second while cold; 0 for no limit.
	ColdPerSecond float64
	// ColdUntil is when it is warm as far as is known.
	ColdUntil time.Time
}

// place is an endpoint with its work and what was seen of it.
type place struct {
	Endpoint
	// rank orders endpoints that are equal otherwise. hash is the same at each daemon, and
	// group the endpoint's group among so many.
	rank, hash    uint64
	group, groups int
	work          works
	parts         works // work at other endpoints that this one helps with
	// sends are within the last second, by all daemons, ownSends by this one.
	sends, ownSends moments
	health          health
	// readAt is when a prompt was last known to have been read here.
	readAt time.Time
	unread []unread // reused by load
}

// Board is one daemon's view. It is safe for concurrent use.
type Board struct {
	mutex   sync.Mutex
	places  map[dogwoodfleet.EndpointID]*place
	ranked  []*place // the places by their ranks
	works   map[WorkID]*Work
	changed chan struct{}
	owner   string
	// seen is the part of the daemons whose work is on the board.
	seen    float64
	senders Senders
	// prompts are when prompts were sent within the last second, by all daemons, own when this
	// one sent any request.
	prompts, own moments
	// scratch is reused by each decision; the mutex is held meanwhile.
	scratch scratch
}

// scratch is the memory of one decision. A decision is made for each request and looks at
// each endpoint; without it a third of its time goes into allocations.
type scratch struct {
	open, well []*place
	// held is how many requests the service's endpoints hold.
	held            int
	engines         []engine
	firsts, readers []*engine
}

// NewBoard returns the empty board of a daemon. Among equal endpoints each daemon has an
// order of its own, so that daemons that do not see each other's work do not all begin with
// the same one.
func NewBoard(owner dogwoodfleet.InstanceID) *Board {
	return &Board{
		places: map[dogwoodfleet.EndpointID]*place{}, works: map[WorkID]*Work{},
		changed: make(chan struct{}), owner: string(owner), seen: 1, senders: Senders{Count: 1},
	}
}

// SetEndpoints replaces the endpoints. Those that stay keep their work and health; one
// that came back under its ID as another instance starts anew.
func (board *Board) SetEndpoints(endpoints []Endpoint) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	places := make(map[dogwoodfleet.EndpointID]*place, len(endpoints))
	for _, endpoint := range endpoints {
		known := board.places[endpoint.ID]
		if known == nil || known.Instance != endpoint.Instance {
			known = &place{}
			known.rank = xxhash.Sum64String(board.owner + "\x00" + string(endpoint.ID))
			known.hash = xxhash.Sum64String(string(endpoint.ID))
		}
		known.Endpoint = endpoint
		places[endpoint.ID] = known
	}
	board.places = places
	board.ranked = slices.SortedFunc(maps.Values(places), func(one, other *place) int { return cmp.Compare(one.rank, other.rank) })
	for _, work := range board.works {
		board.attach(work)
	}
	board.announce()
}

// SetSeen says how many of the daemons announce their work here. One that sees only some
// of them takes its share of what is packed on an engine: after all daemons were killed at
// once each would otherwise fill the same engines alone.
func (board *Board) SetSeen(seen, expected int) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.seen = min(float64(max(seen, 1))/float64(max(expected, 1)), 1)
}

// Changed returns a channel that is closed when an endpoint or a slot of this daemon may
// have come free. A slot that another daemon frees is not told of: that daemon's own
// requests take it first, and all others would rush for it at the same moment.
func (board *Board) Changed() <-chan struct{} {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	return board.changed
}

// announce wakes those who wait for a change. The caller holds the mutex.
func (board *Board) announce() {
	close(board.changed)
	board.changed = make(chan struct{})
}

// Put adds work or replaces what is known of it. Peers' announcements come here.
func (board *Board) Put(now time.Time, work Work) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.put(now, work)
}

func (board *Board) put(now time.Time, work Work) {
	before, known := board.works[work.ID]
	if known && work.Writing && !before.Writing {
		board.read(now, &work)
	}
	board.detach(work.ID)
	board.works[work.ID] = &work
	board.attach(&work)
	if place := board.places[work.Endpoint]; place != nil && !known {
		own := string(work.Holder) == board.owner
		place.sent(now, own)
		if own {
			board.own = append(board.own, now)
			board.own.recent(now)
		}
		if work.Prompt > 0 {
			board.prompts = append(board.prompts, now)
			board.prompts.recent(now)
		}
	}
}

// Remove forgets work of another daemon that has ended.
func (board *Board) Remove(id WorkID) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.detach(id)
}

// End forgets work of this daemon that has ended.
func (board *Board) End(id WorkID) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.detach(id)
	board.announce()
}

// RemoveHolder forgets all work of a daemon that is gone, except what is listed.
func (board *Board) RemoveHolder(holder dogwoodfleet.InstanceID, except map[WorkID]bool) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	for id, work := range board.works {
		if work.Holder == holder && !except[id] {
			board.detach(id)
		}
	}
	board.announce()
}

// Works lists the work of all daemons but one.
func (board *Board) Works(except dogwoodfleet.InstanceID) []Work {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	works := make([]Work, 0, len(board.works))
	for _, work := range board.works {
		if work.Holder != except {
			works = append(works, *work)
		}
	}
	return works
}

// Replace takes in all work of other daemons at once, and forgets theirs that is not listed.
func (board *Board) Replace(now time.Time, works []Work) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	listed := make(map[WorkID]bool, len(works))
	for _, work := range works {
		listed[work.ID] = true
		board.put(now, work)
	}
	for id, work := range board.works {
		if string(work.Holder) != board.owner && !listed[id] {
			board.detach(id)
		}
	}
	board.announce()
}

// Expire forgets work whose last moment has passed: its daemon died or was cut off before
// it could say so.
func (board *Board) Expire(now time.Time) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	for id, work := range board.works {
		if now.After(work.Until) {
			board.detach(id)
		}
	}
	board.announce()
}

// read notes that a prompt was read. Its helpers read their parts at some time before.
func (board *Board) read(now time.Time, work *Work) {
	if place := board.places[work.Endpoint]; place != nil {
		place.readAt = now
	}
}

// Count returns how many endpoints are in force and how many are known and are not.
func (board *Board) Count() (inForce, out int) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	for _, place := range board.places {
		if place.InForce {
			inForce++
		}
	}
	return inForce, len(board.places) - inForce
}

// Writes marks work whose first token was seen, and when it was predicted.
func (board *Board) Writes(now time.Time, id WorkID, predicted, seen time.Duration) (Work, bool) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	work := board.works[id]
	if work == nil {
		return Work{}, false
	}
	if !work.Writing {
		board.read(now, work)
	}
	work.Writing = true
	if place := board.places[work.Endpoint]; place != nil && work.Prompt >= dogwoodenginetime.LongPrompt {
		place.health.took(predicted, seen)
	}
	return *work, true
}

func (board *Board) attach(work *Work) {
	if place := board.places[work.Endpoint]; place != nil {
		place.work.put(work)
	}
	for _, part := range work.Helpers {
		if place := board.places[part.Endpoint]; place != nil {
			place.parts.put(work)
		}
	}
}

func (board *Board) detach(id WorkID) {
	work := board.works[id]
	if work == nil {
		return
	}
	delete(board.works, id)
	if place := board.places[work.Endpoint]; place != nil {
		place.work.remove(id)
	}
	for _, part := range work.Helpers {
		if place := board.places[part.Endpoint]; place != nil {
			place.parts.remove(id)
		}
	}
}
