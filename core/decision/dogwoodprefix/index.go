package dogwoodprefix

import (
	"sort"

	"dogwoodmux.example/core/dogwoodfleet"
)

// MaxBlocks is the maximum number of blocks indexed per engine. 65,536 blocks cover 16 million
// prompt tokens, forty times an engine's memory, and take about 2 MB.
const MaxBlocks = 65_536

// Event is one cache event of an engine.
type Event struct {
	// Sequence increases by one with each event of an instance.
	Sequence uint64
	Evicted  bool // false if the blocks were added
	Blocks   []uint64
}

// Index maps engines to the blocks that they probably hold. It is not safe for concurrent use.
type Index struct {
	engines map[dogwoodfleet.EndpointID]*engine
}

type engine struct {
	instance dogwoodfleet.InstanceID
	sequence uint64
	blocks   map[uint64]struct{}
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{engines: map[dogwoodfleet.EndpointID]*engine{}}
}

func (index *Index) engine(id dogwoodfleet.EndpointID) *engine {
	found := index.engines[id]
	if found == nil {
		found = &engine{blocks: map[uint64]struct{}{}}
		index.engines[id] = found
	}
	return found
}

// Apply applies an engine's cache events, which must be ordered by sequence, and skips those
// already applied. A gap in the sequence, or one reported by gap, clears the engine's blocks
// first, because evictions may have been missed. A new instance also clears them, because its
// cache is empty.
func (index *Index) Apply(id dogwoodfleet.EndpointID, instance dogwoodfleet.InstanceID, events []Event, gap bool) {
	engine := index.engine(id)
	if engine.instance != instance {
		clear(engine.blocks)
		engine.instance, engine.sequence = instance, 0
	}
	if gap {
		clear(engine.blocks)
		engine.sequence = 0
	}
	for i := range events {
		event := &events[i]
		if event.Sequence <= engine.sequence {
			continue
		}
		if engine.sequence != 0 && event.Sequence != engine.sequence+1 {
			clear(engine.blocks)
		}
		engine.sequence = event.Sequence
		for _, block := range event.Blocks {
			if event.Evicted {
				delete(engine.blocks, block)
				continue
			}
			engine.add(block)
		}
	}
}

// AddExpected adds the blocks of a request that was just sent to the engine. The engine will hold
// them soon, and the next request with the prefix needs the hint before the cache event arrives.
func (index *Index) AddExpected(id dogwoodfleet.EndpointID, blocks []uint64) {
	engine := index.engine(id)
	for _, block := range blocks {
		engine.add(block)
	}
}

func (engine *engine) add(block uint64) {
	if len(engine.blocks) >= MaxBlocks {
		for evicted := range engine.blocks {
			delete(engine.blocks, evicted)
			break
		}
	}
	engine.blocks[block] = struct{}{}
}

// Hits returns how many leading blocks of the request the engine probably holds. Engines evict
// the ends of prefixes first, so the blocks held are the leading ones and a binary search finds
// the last of them.
func (index *Index) Hits(id dogwoodfleet.EndpointID, blocks []uint64) int {
	engine := index.engines[id]
	if engine == nil {
		return 0
	}
	return sort.Search(len(blocks), func(i int) bool {
		_, held := engine.blocks[blocks[i]]
		return !held
	})
}

// RemoveEngine removes all blocks of an engine that failed, became cold or has a new owner.
func (index *Index) RemoveEngine(id dogwoodfleet.EndpointID) {
	delete(index.engines, id)
}
