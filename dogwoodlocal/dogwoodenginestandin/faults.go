package dogwoodenginestandin

import (
	"bytes"
	"context"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// faults are the faults that are switched on; a restart does not reset them.
type faults struct {
	slowdown     float64
	crashMarkers []string
	// dead is true between Die and Revive.
	dead bool
}

// Die stops the engine as a crash does: connections break and all memory is lost. It stays
// down until Revive.
func (engine *Engine) Die() {
	engine.mutex.Lock()
	engine.faults.dead = true
	engine.endProcess()
	engine.mutex.Unlock()
	engine.host.Down()
}

// Revive restarts an engine after Die, at the same address, cold and with a new instance ID.
// It returns when the engine listens.
func (engine *Engine) Revive(ctx context.Context) error {
	engine.mutex.Lock()
	engine.faults.dead = false
	engine.mutex.Unlock()
	return engine.restart(ctx)
}

func (engine *Engine) restart(ctx context.Context) error {
	engine.mutex.Lock()
	dead := engine.faults.dead
	if !engine.process.alive && !dead {
		engine.startProcess()
	}
	engine.mutex.Unlock()
	if dead {
		return nil
	}
	return Error.Wrap(engine.host.Up(ctx))
}

// crash stops the engine and restarts it after RestartAfter; the mutex must be held.
func (engine *Engine) crash(ctx context.Context) {
	engine.counts.crashes++
	engine.endProcess()
	engine.background.Go(func() {
		engine.host.Down()
		restart := time.NewTimer(engine.options.RestartAfter)
		defer restart.Stop()
		select {
		case <-restart.C:
			// restart fails only if the engine's context ends before its port is free.
			_ = engine.restart(ctx)
		case <-ctx.Done():
		}
	})
}

// SetLeaving sets whether the engine reports that it is leaving. It keeps running its requests.
func (engine *Engine) SetLeaving(leaving bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.process.leaving = leaving
}

// TurnCold makes a warm engine cold without a restart: its cache is lost, and its cold limit
// applies as after a start.
func (engine *Engine) TurnCold() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.process.coldUntil = time.Now().Add(engine.options.ColdDuration)
	engine.process.coldReported = false
	engine.process.cache.clear()
}

// Silence makes the open connections permanently silent while new ones work; Silence(false)
// closes the silent ones.
func (engine *Engine) Silence(on bool) {
	engine.host.Silence(on)
}

// Slow divides the engine's rates by the factor; 1 is its normal speed.
func (engine *Engine) Slow(factor float64) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.faults.slowdown = factor
}

// KillOn makes every prompt that contains the marker crash the engine when its prefill is complete.
func (engine *Engine) KillOn(marker string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.faults.crashMarkers = append(engine.faults.crashMarkers, marker)
}

// crashesOn returns whether a prompt crashes the engine; the mutex must be held.
func (engine *Engine) crashesOn(prompt []byte) bool {
	for _, marker := range engine.faults.crashMarkers {
		if bytes.Contains(prompt, []byte(marker)) {
			return true
		}
	}
	return false
}

// RunRecord records that the engine began a request.
type RunRecord struct {
	RequestID dogwoodfleet.RequestID
	// Tag is the tag of the request's answer, its load ID if it has one.
	Tag string
	At  time.Time
}

// counts are counters that restarts don't reset.
type counts struct {
	runs                   []RunRecord
	byRequest              map[dogwoodfleet.RequestID]int
	byTag                  map[string]int
	coldOverruns           int
	unreportedColdOverruns int
	crashes                int
	orders                 int
	lastNewWork            time.Time
}

func newCounts() counts {
	return counts{byRequest: map[dogwoodfleet.RequestID]int{}, byTag: map[string]int{}}
}

func (counts *counts) recordRun(id dogwoodfleet.RequestID, tag string, now time.Time) {
	counts.runs = append(counts.runs, RunRecord{RequestID: id, Tag: tag, At: now})
	counts.byRequest[id]++
	counts.byTag[tag]++
}

// Runs returns how often the engine began the request with an ID.
func (engine *Engine) Runs(id dogwoodfleet.RequestID) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.counts.byRequest[id]
}

// RunsByTag returns how often the engine began a caller's request, identified by its tag.
func (engine *Engine) RunsByTag(tag string) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.counts.byTag[tag]
}

// Ran returns the requests that the engine began, in order.
func (engine *Engine) Ran() []RunRecord {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]RunRecord(nil), engine.counts.runs...)
}

// UntoldColdOverruns returns how many requests exceeded the engine's cold limit before any
// answer could report that it is cold.
func (engine *Engine) UntoldColdOverruns() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.counts.unreportedColdOverruns
}

// ColdOverruns returns how many requests exceeded the engine's cold limit after callers could
// learn that it is cold.
func (engine *Engine) ColdOverruns() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.counts.coldOverruns
}

// Crashes returns how often a request or overload crashed the engine.
func (engine *Engine) Crashes() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.counts.crashes
}

// HeldTokens returns the KV memory in use, in tokens.
func (engine *Engine) HeldTokens() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.removeExpired(time.Now())
	return engine.heldTokens()
}

// LastNewWork returns when the latest request arrived; zero if none has arrived.
func (engine *Engine) LastNewWork() time.Time {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.counts.lastNewWork
}

// Instance returns the ID of the engine's present instance.
func (engine *Engine) Instance() dogwoodfleet.InstanceID {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.process.instance
}

// Version returns the version of the model that the engine holds.
func (engine *Engine) Version() string {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.finishLoading(time.Now())
	return engine.process.holding.Version
}
