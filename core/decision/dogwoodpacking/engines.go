package dogwoodpacking

import (
	"cmp"
	"slices"
	"time"

	"dogwoodmux.example/core/decision/dogwoodenginetime"
)

const (
	// packShare is the share of an engine's slots that answers are packed into. The rest is for
	// requests that other daemons have not announced yet.
	packShare = 0.85
	// aimShare is the share of its aim within which a prompt must be read as predicted. The rest
	// is for network latency and for effects that the prediction does not cover.
	aimShare = 0.5
	// pauseShare is the share of the longest acceptable pause that may be used up.
	pauseShare = 0.75
	// maxHelpers is the maximum number of engines that help to read one prompt.
	maxHelpers = 15
	// memoryShare is the share of an engine's memory that is assigned: answers grow while they
	// are written, and an engine that runs out of memory suspends a request.
	memoryShare = 0.92
	// minSeenShare is the share of the daemons whose work must be on the board before long
	// prompts are placed. After all daemons were killed, the callers of all long prompts retry
	// at almost the same time. Daemons that did not see each other's work placed them on every
	// engine at once, ahead of all short prompts, which got no answer for five seconds.
	minSeenShare = 0.5
	// slackShare is the share of its aim within which a waiting prompt must be read, as
	// predicted, for a later one to be read before it: helpers read their parts before their own
	// prompts. The rest is for effects that the prediction does not cover.
	slackShare = 0.55
	// unlimitedSlack is the slack of an engine where no prompt waits.
	unlimitedSlack = time.Hour
)

// engine is a candidate with a snapshot of its work.
type engine struct {
	state *endpointState
	load  dogwoodenginetime.Load
	// helperLoad is the load that is read before a part which this engine reads as a helper.
	helperLoad   dogwoodenginetime.Load
	requestCount int
	usedTokens   int
	// pauseLimit is the shortest of the acceptable pauses of the requests here; 0 if there is no
	// limit.
	pauseLimit time.Duration
	// slack is how much longer the prompts that wait here can be delayed and still be in time.
	slack    time.Duration
	slowness float64
	failing  bool
	// hasWaiting is true while a prompt whose answer will be written here has not been read.
	hasWaiting bool
	// packed is true if the engine has as many answers as are packed on one engine, inOwnGroup
	// if it belongs to this daemon's group.
	packed, inOwnGroup bool
}

func (board *Board) survey(now time.Time, candidates []*endpointState) []engine {
	engines, groups := board.scratch.engines[:0], board.groupCount(now, board.scratch.requestCount, candidates[0].Slots)
	for _, state := range candidates {
		load := state.load(now)
		engines = append(engines, engine{
			state: state, load: load, helperLoad: state.helperLoad(now, load), requestCount: len(state.work), usedTokens: state.usedTokens(),
			pauseLimit: state.pauseLimit(), slack: state.slack(now, load.Queued), slowness: state.health.slowness(), failing: state.health.recentFailures(now) >= 1,
			hasWaiting: state.hasWaiting(), inOwnGroup: board.inOwnGroup(state, groups), packed: float64(len(state.work)) >= board.seenShare*packShare*float64(state.Slots),
		})
	}
	board.scratch.engines = engines
	return engines
}

// predictOwnPart predicts when the primary engine has read its part of a prompt.
func (engine *engine) predictOwnPart(tokens int, reading time.Duration) time.Duration {
	return engine.predictRead(engine.load, tokens, reading)
}

// predictHelperPart predicts when a helper has read its part of a prompt.
func (engine *engine) predictHelperPart(tokens int, reading time.Duration) time.Duration {
	return engine.predictRead(engine.helperLoad, tokens, reading)
}

func (engine *engine) predictRead(load dogwoodenginetime.Load, tokens int, reading time.Duration) time.Duration {
	slowed := time.Duration(engine.slowness * float64(reading))
	return engine.state.Engine.FirstToken(load, tokens, slowed)
}

// mayHelpLate reports whether a part may be read here when no placement keeps all limits: the
// engine writes nothing and every prompt that waits here can be delayed.
func (engine *engine) mayHelpLate() bool {
	return engine.load.Writers == 0 && engine.slack > 0
}

// keepsPauses reports whether the answers here, and one more with the given longest acceptable
// pause, continue without exceeding their limits while a part is read.
func (engine *engine) keepsPauses(reading, pause time.Duration) bool {
	if reading > engine.slack {
		return false
	}
	if engine.requestCount == 0 {
		return true
	}
	limit := engine.pauseLimit
	if pause > 0 && (limit == 0 || pause < limit) {
		limit = pause
	}
	if limit == 0 {
		return true
	}
	longest := float64(engine.state.Engine.Pause(engine.load, reading)) * engine.slowness
	return longest <= pauseShare*float64(limit)
}

// choice is one way to read a prompt: the primary engine, which also writes the answer, and its
// helpers.
type choice struct {
	primary   *engine
	helpers   []*engine
	predicted time.Duration
}

// search holds the state of finding the best way to read one prompt.
type search struct {
	now time.Time
	ask *Ask
	// waited is how long the request has waited.
	waited  time.Duration
	engines []engine
	// primaries may write the answer. Engines that are not packed come first, then those of the
	// daemon's own group, then the fullest.
	primaries []*engine
	// readers may help to read. Engines that do not write come first, then those without waiting
	// prompts that would be delayed, then those that are free soonest.
	readers []*engine
	// holders is the number of engines needed to hold the prompt and its answer in memory.
	holders   int
	readLimit time.Duration
}

// chooseEngines selects the engine that writes an answer and those that help to read its prompt:
// the fullest engine on which all answers keep their pauses and the prompt is read in time, with
// as few helpers as possible. Helpers must also keep the pauses of the answers that they will
// write soon: an engine that only reads now starts to write once its own prompt is read.
func (board *Board) chooseEngines(now time.Time, ask *Ask, candidates []*endpointState) (Placement, Refusal) {
	if board.seenShare < minSeenShare && ask.CanWait && ask.Prompt >= dogwoodenginetime.LongPrompt {
		return Placement{}, Full
	}
	search := board.newSearch(now, ask, candidates)
	if search.holders > 1+maxHelpers {
		return Placement{}, TooLarge
	}
	for _, primary := range search.primaries {
		if found, ok := search.fewestHelpers(primary); ok {
			return search.placement(found), Placed
		}
	}
	found, ok := search.leastBad()
	if !ok {
		return Placement{}, Full
	}
	return search.placement(found), Placed
}

func (board *Board) newSearch(now time.Time, ask *Ask, candidates []*endpointState) *search {
	search := &search{
		now: now, ask: ask, engines: board.survey(now, candidates), readLimit: time.Duration(aimShare * float64(ask.Aim)),
		primaries: board.scratch.primaries[:0], readers: board.scratch.readers[:0],
	}
	if !ask.Arrived.IsZero() {
		search.waited = now.Sub(ask.Arrived)
	}
	memory := usableMemory(candidates[0])
	search.holders = max((ask.Prompt+ask.Answer+memory-1)/memory, 1)
	for i := range search.engines {
		engine := &search.engines[i]
		if !engine.failing {
			search.primaries = append(search.primaries, engine)
		}
		search.readers = append(search.readers, engine)
	}
	board.scratch.primaries, board.scratch.readers = search.primaries, search.readers
	slices.SortStableFunc(search.primaries, func(a, b *engine) int {
		return cmp.Or(compareBool(a.packed, b.packed), compareBool(b.inOwnGroup, a.inOwnGroup), cmp.Compare(b.requestCount, a.requestCount))
	})
	slices.SortStableFunc(search.readers, func(a, b *engine) int {
		return cmp.Or(
			compareBool(a.failing, b.failing), compareBool(a.load.Writers > 0, b.load.Writers > 0),
			compareBool(a.hasWaiting, b.hasWaiting), cmp.Compare(a.load.Queued, b.load.Queued),
		)
	})
	return search
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func usableMemory(state *endpointState) int {
	return max(int(memoryShare*float64(state.Engine.MemoryTokens)), 1)
}

// memoryPerHolder returns the tokens that each holder keeps in its memory.
func (search *search) memoryPerHolder() int {
	return (search.ask.Prompt + search.ask.Answer + search.holders - 1) / search.holders
}

// fewestHelpers finds the fewest helpers with which the primary engine reads the prompt in time
// while all answers keep their pauses.
func (search *search) fewestHelpers(primary *engine) (choice, bool) {
	for parts := search.holders; parts <= 1+maxHelpers; parts++ {
		reading := primary.state.Engine.Read(search.ask.Prompt, parts)
		found, ok := search.assign(primary, parts, func(helper *engine) bool { return helper.keepsPauses(reading, 0) })
		if ok && found.predicted <= search.readLimit && primary.keepsPauses(reading, search.ask.Pause) {
			return found, true
		}
	}
	return choice{}, false
}

// assign splits the prompt into parts for the primary engine and the first suitable helpers. It
// returns false if there are too few helpers or the engines have too little memory.
func (search *search) assign(primary *engine, parts int, suits func(helper *engine) bool) (choice, bool) {
	share := search.memoryPerHolder()
	if primary.usedTokens+share > usableMemory(primary.state) {
		return choice{}, false
	}
	reading := primary.state.Engine.Read(search.ask.Prompt, parts)
	found := choice{primary: primary, predicted: primary.predictOwnPart(search.ask.Prompt/parts, reading)}
	for _, helper := range search.readers {
		if len(found.helpers) == parts-1 {
			break
		}
		holds := len(found.helpers) < search.holders-1
		if helper == primary || holds && helper.usedTokens+share > usableMemory(helper.state) || !suits(helper) {
			continue
		}
		found.helpers = append(found.helpers, helper)
		found.predicted = max(found.predicted, helper.predictHelperPart(search.ask.Prompt/parts, reading))
	}
	return found, len(found.helpers) == parts-1
}

func (search *search) placement(found choice) Placement {
	placement := Placement{Endpoint: found.primary.state.Endpoint, Predicted: found.predicted}
	for i, helper := range found.helpers {
		chosen := Helper{Endpoint: helper.state.Endpoint}
		if i < search.holders-1 {
			chosen.Tokens = search.memoryPerHolder()
		}
		placement.Helpers = append(placement.Helpers, chosen)
	}
	return placement
}
