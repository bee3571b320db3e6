package dogwoodenginestandin

import (
	"bytes"
	"context"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// faults are the troubles switched on; they outlive a restart.
type faults struct {
	slow  float64
	kills []string
	// dead is true between Die and Revive.
	dead bool
}

// Die ends the engine as a crash does: connections break and all memory is lost. It stays
// down until Revive.
func (engine *Engine) Die() {
	engine.mutex.Lock()
	engine.faults.dead = true
	engine.perish()
	engine.mutex.Unlock()
	engine.host.Down()
}

// Revive starts a dead engine again at the same address, cold and with a new instance id.
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
	if !engine.life.alive && !dead {
		engine.born()
	}
	engine.mutex.Unlock()
	if dead {
		return nil
	}
	return Error.Wrap(engine.host.Up(ctx))
}

// crash ends the engine for RestartAfter; the mutex is held.
func (engine *Engine) crash(ctx context.Context) {
	engine.counts.crashes++
	engine.perish()
	engine.duties.Go(func() {
		engine.host.Down()
		restart := time.NewTimer(engine.options.RestartAfter)
		defer restart.Stop()
		select {
		case <-restart.C:
			// It fails only when the engine's context ends before its port is free.
			_ = engine.restart(ctx)
		case <-ctx.Done():
		}
	})
}

// Leave makes the engine say that it is leaving, or no longer. It goes on with its work.
func (engine *Engine) Leave(leaving bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.life.leaving = leaving
}

// TurnCold makes a warm engine cold without a restart: its cache is lost and it bears as
// little as after a start.
func (engine *Engine) TurnCold() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.life.coldUntil = time.Now().Add(engine.options.ColdFor)
	engine.life.coldTold = false
	engine.life.cache.clear()
}

// Silence makes the connections now open fall silent for good while new ones work;
// Silence(false) closes the silent ones.
func (engine *Engine) Silence(on bool) {
	engine.host.Silence(on)
}

// Slow divides the engine's rates by the factor; 1 is its normal speed.
func (engine *Engine) Slow(factor float64) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.faults.slow = factor
}

// KillOn makes a prompt that contains the marker crash the engine at its first token.
func (engine *Engine) KillOn(marker string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.faults.kills = append(engine.faults.kills, marker)
}

// kills tells whether a prompt crashes the engine; the mutex is held.
func (engine *Engine) kills(prompt []byte) bool {
	for _, marker := range engine.faults.kills {
		if bytes.Contains(prompt, []byte(marker)) {
			return true
		}
	}
	return false
}

// RanRecord is one request that the engine began.
type RanRecord struct {
	RequestID dogwoodfleet.RequestID
	// Tag is the request's load id, or what else its answer consists of.
	Tag string
	At  time.Time
}

// counts outlive the engine's deaths.
type counts struct {
	runs               []RanRecord
	byRequest          map[dogwoodfleet.RequestID]int
	byTag              map[string]int
	coldOverruns       int
	untoldColdOverruns int
	crashes            int
	orders             int
	lastNewWork        time.Time
}

func newCounts() counts {
	return counts{byRequest: map[dogwoodfleet.RequestID]int{}, byTag: map[string]int{}}
}

func (counts *counts) ran(id dogwoodfleet.RequestID, tag string, now time.Time) {
	counts.runs = append(counts.runs, RanRecord{RequestID: id, Tag: tag, At: now})
	counts.byRequest[id]++
	counts.byTag[tag]++
}

// Runs returns how often the engine began a try.
func (engine *Engine) Runs(id dogwoodfleet.RequestID) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.counts.byRequest[id]
}

// RunsOf returns how often the engine began a caller's request, by its load id.
func (engine *Engine) RunsOf(tag string) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.counts.byTag[tag]
}

// Ran returns what the engine began, in order.
func (engine *Engine) Ran() []RanRecord {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]RanRecord(nil), engine.counts.runs...)
}

// UntoldColdOverruns returns how often the engine got more than it bears while cold before
// any answer could tell that it turned cold.
func (engine *Engine) UntoldColdOverruns() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.counts.untoldColdOverruns
}

// ColdOverruns returns how often the engine got more than it bears while cold, after it had
// given a sign of that.
func (engine *Engine) ColdOverruns() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.counts.coldOverruns
}

// Crashes returns how often a request or overload ended the engine.
func (engine *Engine) Crashes() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.counts.crashes
}

// HeldTokens returns the KV memory held now.
func (engine *Engine) HeldTokens() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.clean(time.Now())
	return engine.held()
}

// LastNewWork returns when the latest request arrived; zero if none has.
func (engine *Engine) LastNewWork() time.Time {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.counts.lastNewWork
}

// Instance returns the id of the engine's present life.
func (engine *Engine) Instance() dogwoodfleet.InstanceID {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.life.instance
}

// Version returns the version of the model that the engine holds.
func (engine *Engine) Version() string {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.finishLoading(time.Now())
	return engine.life.holds.Version
}
