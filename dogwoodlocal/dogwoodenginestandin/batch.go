package dogwoodenginestandin

import (
	"cmp"
	"context"
	"slices"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/edge/dogwoodengine"
)

// runBatch steps the batch while there is something to compute, and otherwise waits for a signal.
func (engine *Engine) runBatch(ctx context.Context) {
	for {
		var nextTick <-chan time.Time
		if engine.step(ctx) {
			nextTick = time.After(tick)
		}
		select {
		case <-ctx.Done():
			return
		case <-engine.wake:
		case <-nextTick:
		}
	}
}

// step computes as much as the time since the last step allows. It returns false when there
// is nothing left to compute.
func (engine *Engine) step(ctx context.Context) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	passed := min(now.Sub(engine.process.lastStep), 20*tick).Seconds()
	if engine.process.idle {
		passed = 0
	}
	engine.process.lastStep = now
	if !engine.process.alive {
		return false
	}
	engine.removeExpired(now)
	engine.admit(now)
	if engine.overloadedWhileCold(now) {
		engine.crash(ctx)
		return false
	}
	slow := engine.faults.slowdown
	if now.Before(engine.process.coldUntil) {
		slow *= coldSlowdown
	}
	batch := engine.batch()
	if !engine.prefill(ctx, batch, passed*engine.options.PrefillTokensPerSecond/slow, now) {
		engine.crash(ctx)
		return false
	}
	engine.decode(batch, passed*engine.options.DecodeTokensPerSecond/slow, now)
	engine.process.idle = !engine.hasWork()
	return !engine.process.idle
}

// hasWork returns whether a request has not ended yet; the mutex must be held.
func (engine *Engine) hasWork() bool {
	for _, sequence := range engine.process.sequences {
		if !sequence.ended() {
			return true
		}
	}
	return false
}

// batch returns the requests being computed, highest priority first; the mutex must be held.
func (engine *Engine) batch() []*sequence {
	return engine.sequencesByPriority((*sequence).computing)
}

func (engine *Engine) sequencesByPriority(include func(*sequence) bool) []*sequence {
	var chosen []*sequence
	for _, sequence := range engine.process.sequences {
		if include(sequence) {
			chosen = append(chosen, sequence)
		}
	}
	slices.SortFunc(chosen, func(left, right *sequence) int {
		return cmp.Or(cmp.Compare(right.priority, left.priority), left.arrived.Compare(right.arrived), cmp.Compare(left.id, right.id))
	})
	return chosen
}

// removeExpired ends requests that exceeded their budget, and drops expired reservations,
// ended requests and cancellations. The mutex must be held.
func (engine *Engine) removeExpired(now time.Time) {
	for id, sequence := range engine.process.sequences {
		switch {
		case sequence.ended() && now.Sub(sequence.endedAt) > endedTTL:
			delete(engine.process.sequences, id)
		case !sequence.ended() && !sequence.deadline.IsZero() && now.After(sequence.deadline):
			sequence.end(dogwoodengine.PhaseFailed, "budget_exceeded", now)
		}
	}
	for id, at := range engine.process.cancelled {
		if now.Sub(at) > time.Minute {
			delete(engine.process.cancelled, id)
		}
	}
	engine.expireReservations(now)
}

// admit moves waiting requests into the batch. A request that does not fit yet does not
// block those behind it. The mutex must be held.
func (engine *Engine) admit(now time.Time) {
	running := len(engine.batch())
	waiting := engine.sequencesByPriority(func(sequence *sequence) bool { return sequence.phase == dogwoodengine.PhaseWaiting })
	for _, sequence := range waiting {
		if running >= engine.options.MaxBatch {
			return
		}
		if !engine.allocate(sequence) {
			continue
		}
		running++
		cached := min(engine.process.cache.cachedPrefix(sequence.blocks)*blockTokens, sequence.promptTokens)
		sequence.prefilled = float64(cached)
		sequence.phase = dogwoodengine.PhasePrefill
		sequence.notifyReaders()
		engine.counts.recordRun(sequence.id, sequence.tag, now)
	}
}

// allocate allocates a request's memory and returns false if it does not fit; the mutex must
// be held.
func (engine *Engine) allocate(sequence *sequence) bool {
	need := sequence.promptTokens + sequence.maxTokens
	if len(sequence.helpers) > 0 {
		need = sequence.tokensPerMember
	}
	if reserved, found := engine.process.reservations[sequence.id]; found {
		need = max(need, reserved.tokens)
		if !engine.makeRoom(need - reserved.tokens) {
			return false
		}
		engine.useReservation(sequence.id)
	} else if !engine.makeRoom(need) {
		return false
	}
	sequence.heldTokens = need
	return true
}

// overloadedWhileCold returns whether the engine is cold and runs so many requests that it
// crashes; the mutex must be held.
func (engine *Engine) overloadedWhileCold(now time.Time) bool {
	return now.Before(engine.process.coldUntil) && len(engine.batch()) > coldCrashFactor*engine.options.ColdLimit
}

// countOverrun counts a request that arrives at a cold engine and exceeds its limit. Requests
// that were already running when a warm engine turned cold are not counted, because they were
// sent to a warm engine. Arrivals before the engine could report that it is cold are counted
// separately. The mutex must be held.
func (engine *Engine) countOverrun(now time.Time) {
	if !now.Before(engine.process.coldUntil) {
		return
	}
	unfinished := 0
	for _, sequence := range engine.process.sequences {
		if !sequence.ended() {
			unfinished++
		}
	}
	switch {
	case unfinished <= engine.options.ColdLimit:
	case engine.process.coldReported:
		engine.counts.coldOverruns++
	default:
		engine.counts.unreportedColdOverruns++
	}
}

// prefill spends tokens on the batch's prompts. It returns false when a prompt crashes the
// engine. The mutex must be held.
func (engine *Engine) prefill(ctx context.Context, batch []*sequence, tokens float64, now time.Time) bool {
	for _, sequence := range batch {
		if sequence.phase != dogwoodengine.PhasePrefill {
			continue
		}
		spent := min(tokens, float64(sequence.promptTokens)-sequence.prefilled)
		sequence.prefilled += spent
		tokens -= spent
		engine.exportToHelpers(ctx, sequence, now)
		if sequence.prefilled < float64(sequence.promptTokens) {
			continue
		}
		if sequence.crashesEngine {
			return false
		}
		sequence.phase = dogwoodengine.PhaseDecode
		sequence.produced = 1
		sequence.writeChunk()
	}
	return true
}

// decode produces tokens for each stream; the mutex must be held.
func (engine *Engine) decode(batch []*sequence, tokens float64, now time.Time) {
	for _, sequence := range batch {
		if sequence.phase != dogwoodengine.PhaseDecode {
			continue
		}
		sequence.produced += tokens
		sequence.writeChunk()
		if sequence.written < sequence.maxTokens {
			continue
		}
		sequence.finish()
		sequence.end(dogwoodengine.PhaseDone, "", now)
		engine.cacheBlocks(sequence.blocks)
	}
}

func (engine *Engine) find(id dogwoodfleet.RequestID) *sequence {
	return engine.process.sequences[id]
}
