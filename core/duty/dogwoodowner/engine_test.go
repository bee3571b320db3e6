package dogwoodowner_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"dogwoodmux.example/core/decision/dogwoodprefix"
	"dogwoodmux.example/core/dogwoodfleet"
)

// engineSettings configures a fake engine. defaultSettings has the values of the engine stand-in.
type engineSettings struct {
	MemoryTokens           int
	PrefillTokensPerSecond int
	DecodeTokensPerSecond  int
	MaxBatch               int
	ColdLimit              int
	ColdFor                time.Duration
	// TellsCold is true when answers report at their beginning that the engine is cold.
	TellsCold bool `json:",omitempty"`
}

// engine is a fake model engine that runs on the fake clock of synctest. It runs one prefill at a
// time in chunks and by priority, decodes a batch of streams, has limited memory, and crashes if
// it is sent several times its cold limit while it is cold.
type engine struct {
	id       dogwoodfleet.EndpointID
	settings engineSettings

	mutex      sync.Mutex
	streams    []*stream // in the batch or waiting for it
	prefilling *stream
	slowFactor float64
	dead       chan struct{}
	downUntil  time.Time
	coldUntil  time.Time
	starts     int
	cached     map[uint64]struct{}
	poison     map[dogwoodfleet.Digest]bool
	runs       int
	overruns   int // requests that arrived beyond the cold limit of a cold engine
	crashes    int
	prefilled  int
	reportCold func(id dogwoodfleet.EndpointID, instance dogwoodfleet.InstanceID)
}

// stream is a request that an engine runs or that waits for its batch.
type stream struct {
	request      dogwoodfleet.Request
	priority     dogwoodfleet.Priority
	order        int // number of the run, for first come, first served within a priority
	tokens       int
	batched      bool
	needsPrefill bool          // waits for prefill or is in it
	arrivedCold  bool          // arrived while the engine was cold
	turn         chan struct{} // receives a value when the prefill may start
}

// runResult is the result of a request that was sent to an engine.
type runResult struct {
	result           dogwoodfleet.Result
	firstToken, took time.Duration
	instance         dogwoodfleet.InstanceID
	cold             bool
}

const (
	prefillChunk = 4096
	// coldSlowdown is how many times slower a cold engine is. An engine crashes if more than
	// collapseFactor times its cold limit arrive while it is cold. Both are as with the engine
	// stand-in.
	coldSlowdown   = 4
	collapseFactor = 3
)

// arrivedWhileCold counts the streams that arrived while the engine was cold.
func (engine *engine) arrivedWhileCold() int {
	count := 0
	for _, stream := range engine.streams {
		if stream.arrivedCold {
			count++
		}
	}
	return count
}

// slowness returns how many times slower the engine is than a healthy warm one.
func (engine *engine) slowness() float64 {
	if time.Now().Before(engine.coldUntil) {
		return engine.slowFactor * coldSlowdown
	}
	return engine.slowFactor
}

func newEngine(id string, settings engineSettings) *engine {
	return &engine{
		id: dogwoodfleet.EndpointID(id), settings: settings, slowFactor: 1, dead: make(chan struct{}),
		cached: map[uint64]struct{}{}, poison: map[dogwoodfleet.Digest]bool{},
		coldUntil: time.Now().Add(settings.ColdFor),
	}
}

func (engine *engine) instance() dogwoodfleet.InstanceID {
	return dogwoodfleet.InstanceID(fmt.Sprintf("%s-%d", engine.id, engine.starts))
}

// crash ends all streams. The engine is back, and cold, after the down time.
func (engine *engine) crash(down time.Duration) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.crashLocked(down)
}

func (engine *engine) crashLocked(down time.Duration) {
	close(engine.dead)
	engine.dead = make(chan struct{})
	engine.streams, engine.prefilling = nil, nil
	engine.starts++
	engine.crashes++
	engine.downUntil = time.Now().Add(down)
	engine.coldUntil = engine.downUntil.Add(engine.settings.ColdFor)
	clear(engine.cached)
}

// turnCold makes the engine cold without a restart.
func (engine *engine) turnCold() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.coldUntil = time.Now().Add(engine.settings.ColdFor)
	clear(engine.cached)
}

func (engine *engine) setSlowFactor(factor float64) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.slowFactor = factor
}

// run runs a request, or the share of one of several members, to its end.
func (engine *engine) run(ctx context.Context, request dogwoodfleet.Request, priority dogwoodfleet.Priority, output, members int) runResult {
	started := time.Now()
	engine.mutex.Lock()
	dead := engine.dead
	now := time.Now()
	if now.Before(engine.downUntil) {
		engine.mutex.Unlock()
		return runResult{result: dogwoodfleet.ResultRefused}
	}
	if (request.PromptTokens+output)/members > engine.settings.MemoryTokens {
		engine.mutex.Unlock()
		return runResult{result: dogwoodfleet.ResultFailed}
	}
	cold := now.Before(engine.coldUntil)
	engine.runs++
	current := &stream{
		request: request, priority: priority, order: engine.runs, turn: make(chan struct{}, 1),
		tokens: (request.PromptTokens + output) / members,
	}
	engine.streams = append(engine.streams, current)
	current.arrivedCold = cold
	if cold && engine.arrivedWhileCold() > engine.settings.ColdLimit {
		engine.overruns++
	}
	if cold && engine.arrivedWhileCold() > collapseFactor*engine.settings.ColdLimit {
		engine.crashLocked(2 * time.Second)
		engine.mutex.Unlock()
		return runResult{result: dogwoodfleet.ResultDied, took: time.Since(started)}
	}
	hit := 0
	for _, block := range request.Blocks {
		if _, held := engine.cached[block]; !held {
			break
		}
		hit += dogwoodprefix.BlockBytes / 4
	}
	instance := engine.instance()
	engine.scheduleLocked()
	engine.mutex.Unlock()
	if cold && engine.settings.TellsCold {
		engine.reportCold(engine.id, instance)
	}

	result := engine.work(ctx, dead, current, started, max((request.PromptTokens-hit)/members, 1), output)
	result.instance, result.cold = instance, cold
	engine.end(current)
	return result
}

// work runs a stream's prefill and decoding.
func (engine *engine) work(ctx context.Context, dead chan struct{}, current *stream, started time.Time, prompt, output int) runResult {
	for left := prompt; left > 0; left -= prefillChunk {
		if result, ok := await(ctx, dead, current.turn); !ok {
			return runResult{result: result, took: time.Since(started)}
		}
		engine.mutex.Lock()
		chunk := min(left, prefillChunk)
		engine.prefilled += chunk
		took := time.Duration(float64(chunk) / float64(engine.settings.PrefillTokensPerSecond) * engine.slowness() * float64(time.Second))
		engine.mutex.Unlock()
		if result, ok := await(ctx, dead, time.After(took)); !ok {
			return runResult{result: result, took: time.Since(started)}
		}
		engine.mutex.Lock()
		current.needsPrefill = left-chunk > 0
		if engine.prefilling == current {
			engine.prefilling = nil
		}
		engine.scheduleLocked()
		engine.mutex.Unlock()
	}
	first := time.Since(started)
	engine.mutex.Lock()
	if engine.poison[current.request.Digest] {
		engine.crashLocked(2 * time.Second)
	}
	for _, block := range current.request.Blocks {
		engine.cached[block] = struct{}{}
	}
	decode := time.Duration(float64(output) / float64(engine.settings.DecodeTokensPerSecond) * engine.slowness() * float64(time.Second))
	engine.mutex.Unlock()
	result, ok := await(ctx, dead, time.After(decode))
	if !ok {
		return runResult{result: result, firstToken: first, took: time.Since(started)}
	}
	return runResult{result: dogwoodfleet.ResultDone, firstToken: first, took: time.Since(started)}
}

// await waits for the channel. It returns false and the result if the engine crashes or the
// context ends first.
func await[T any](ctx context.Context, dead chan struct{}, until <-chan T) (dogwoodfleet.Result, bool) {
	select {
	case <-until:
		return "", true
	case <-dead:
		return dogwoodfleet.ResultDied, false
	case <-ctx.Done():
		return dogwoodfleet.ResultTimedOut, false
	}
}

// end removes a stream.
func (engine *engine) end(current *stream) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.streams = slices.DeleteFunc(engine.streams, func(stream *stream) bool { return stream == current })
	if engine.prefilling == current {
		engine.prefilling = nil
	}
	engine.scheduleLocked()
}

// scheduleLocked admits waiting streams to the batch and starts the prefill of the first that
// needs it.
func (engine *engine) scheduleLocked() {
	slices.SortStableFunc(engine.streams, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.order, b.order))
	})
	batched, used := 0, 0
	for _, stream := range engine.streams {
		if stream.batched {
			batched++
			used += stream.tokens
		}
	}
	for _, stream := range engine.streams {
		if stream.batched || batched >= engine.settings.MaxBatch || used+stream.tokens > engine.settings.MemoryTokens && batched > 0 {
			continue
		}
		stream.batched, stream.needsPrefill = true, true
		batched++
		used += stream.tokens
	}
	if engine.prefilling != nil {
		return
	}
	for _, stream := range engine.streams {
		if stream.batched && stream.needsPrefill {
			engine.prefilling = stream
			stream.turn <- struct{}{}
			return
		}
	}
}

// idleDuration returns how long a request takes on an idle warm engine.
func (settings *engineSettings) idleDuration(prompt, output int) time.Duration {
	seconds := float64(prompt)/float64(settings.PrefillTokensPerSecond) + float64(output)/float64(settings.DecodeTokensPerSecond)
	return time.Duration(seconds * float64(time.Second))
}
