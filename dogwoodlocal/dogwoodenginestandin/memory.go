package dogwoodenginestandin

import (
	"container/list"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/edge/dogwoodengine"
)

const (
	// blockTokens is the number of tokens in a cached block.
	blockTokens = 256
	// eventDelay is the time from a change of the cache to its event being published.
	eventDelay = 500 * time.Millisecond
	// eventLossInterval is the interval, in events, at which one is lost.
	eventLossInterval = 97
	// maxEvents is how many recent events can be queried; up to twice as many are stored.
	maxEvents = 4096
)

// reservation is memory reserved for a request.
type reservation struct {
	tokens         int
	expires        time.Time
	importedTokens int
}

// heldTokens returns the memory in use; the mutex must be held.
func (engine *Engine) heldTokens() int {
	held := 0
	for _, sequence := range engine.process.sequences {
		held += sequence.heldTokens
	}
	for _, reservation := range engine.process.reservations {
		held += reservation.tokens
	}
	return held
}

// makeRoom evicts cached blocks so that the tokens fit into the memory, and returns false if
// they can't. The mutex must be held.
func (engine *Engine) makeRoom(tokens int) bool {
	free := engine.options.MemoryTokens - engine.heldTokens()
	if tokens > free {
		return false
	}
	engine.process.cache.shrink((free - tokens) / blockTokens)
	return true
}

// cacheBlocks adds a finished prompt's blocks to the prefix cache; the mutex must be held.
func (engine *Engine) cacheBlocks(blocks []uint64) {
	capacity := (engine.options.MemoryTokens - engine.heldTokens()) / blockTokens
	for _, block := range blocks {
		engine.process.cache.store(block)
	}
	engine.process.cache.shrink(capacity)
}

// cache is the prefix cache, which evicts the least recently used block first.
type cache struct {
	blocks       map[uint64]*list.Element
	recency      *list.List
	lastSequence uint64
	events       []datedEvent
}

type datedEvent struct {
	dogwoodengine.CacheEvent
	createdAt time.Time
}

func newCache() *cache {
	return &cache{blocks: map[uint64]*list.Element{}, recency: list.New()}
}

// cachedPrefix returns how many leading blocks are cached, and marks them as used.
func (cache *cache) cachedPrefix(blocks []uint64) int {
	for index, block := range blocks {
		element, cached := cache.blocks[block]
		if !cached {
			return index
		}
		cache.recency.MoveToFront(element)
	}
	return len(blocks)
}

func (cache *cache) store(block uint64) {
	if element, cached := cache.blocks[block]; cached {
		cache.recency.MoveToFront(element)
		return
	}
	cache.blocks[block] = cache.recency.PushFront(block)
	cache.publish(dogwoodengine.BlockStored, block)
}

func (cache *cache) shrink(maxBlocks int) {
	for cache.recency.Len() > max(maxBlocks, 0) {
		oldest := cache.recency.Back()
		block, ok := cache.recency.Remove(oldest).(uint64)
		if !ok {
			continue // the list holds nothing else
		}
		delete(cache.blocks, block)
		cache.publish(dogwoodengine.BlockRemoved, block)
	}
}

func (cache *cache) clear() {
	cache.blocks = map[uint64]*list.Element{}
	cache.recency.Init()
	cache.publish(dogwoodengine.CacheCleared, 0)
}

func (cache *cache) publish(kind dogwoodengine.CacheKind, block uint64) {
	cache.lastSequence++
	if cache.lastSequence%eventLossInterval == 0 {
		return
	}
	event := dogwoodengine.CacheEvent{Sequence: cache.lastSequence, Kind: kind, Block: block}
	cache.events = append(cache.events, datedEvent{CacheEvent: event, createdAt: time.Now()})
	if len(cache.events) > 2*maxEvents {
		cache.events = append([]datedEvent(nil), cache.events[maxEvents:]...)
	}
}

// eventsAfter returns the events after a sequence number that are old enough to be published.
func (cache *cache) eventsAfter(sequence uint64, now time.Time) dogwoodengine.CacheEvents {
	var answer dogwoodengine.CacheEvents
	for _, event := range cache.events {
		if now.Sub(event.createdAt) < eventDelay {
			break
		}
		answer.Last = event.Sequence
		if event.Sequence > sequence {
			answer.Events = append(answer.Events, event.CacheEvent)
		}
	}
	return answer
}

// expireReservations drops reservations whose lease expired; the mutex must be held.
func (engine *Engine) expireReservations(now time.Time) {
	for id, reservation := range engine.process.reservations {
		if now.After(reservation.expires) {
			delete(engine.process.reservations, id)
		}
	}
}

// useReservation removes a request's reservation and returns its tokens; the mutex must be
// held.
func (engine *Engine) useReservation(id dogwoodfleet.RequestID) int {
	reserved, found := engine.process.reservations[id]
	if !found {
		return 0
	}
	delete(engine.process.reservations, id)
	return reserved.tokens
}
