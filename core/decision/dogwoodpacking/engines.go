package dogwoodpacking

import (
	"cmp"
	"slices"
	"time"

	"dogwoodmux.example/core/decision/dogwoodenginetime"
)

const (
	// packShare is the part of an engine's slots that answers are packed into; the rest is
	// for arrivals that other daemons have not announced yet.
	packShare = 0.85
	// aimShare is the part of its aim by which a prompt is read as predicted; the rest is for
	// the way and for what the prediction does not see.
	aimShare = 0.5
	// pauseShare is the part of the longest good pause that may be used up.
	pauseShare = 0.75
	// mostHelpers is the most engines that may help with one prompt.
	mostHelpers = 15
	// memoryShare is the part of an engine's memory that is given out: answers grow while
	// they are written, and an engine that runs out puts a request off.
	memoryShare = 0.92
	// settledShare is the part of the daemons whose work must be on the board for long prompts
	// to be placed. After all daemons were killed the callers of all long prompts come back
	// within a moment; placed by daemons that see nothing of each other they were read on
	// every engine at once, ahead of all short ones, which got nothing for five seconds.
	settledShare = 0.5
	// spareShare is the part of its aim by which a prompt that waits must be read, as predicted,
	// for a later one to go ahead of it: helpers read their parts before what they had to read.
	// The rest is for what the prediction does not see.
	spareShare = 0.55
	// noWait is the spare time where nothing waits.
	noWait = time.Hour
)

// engine is a candidate with what is known of its work.
type engine struct {
	place *place
	load  dogwoodenginetime.Load
	// parts is the load that a part finds here which it reads as a helper.
	parts dogwoodenginetime.Load
	count int
	used  int
	// pause is the shortest of the good pauses of those who are there; 0 if any is good.
	pause time.Duration
	// spare is how much later the prompts that wait here may be read and be in time.
	spare time.Duration
	slow  float64
	bad   bool
	// waits is true while a prompt that will be written here is not read.
	waits bool
	// packed is true if the engine has as many answers as are packed on one, own if it is of
	// this daemon's group.
	packed, own bool
}

func (board *Board) survey(now time.Time, candidates []*place) []engine {
	engines, groups := board.scratch.engines[:0], board.groups(now, board.scratch.held, candidates[0].Slots)
	for _, place := range candidates {
		load := place.load(now)
		engines = append(engines, engine{
			place: place, load: load, parts: place.partsLoad(now, load), count: len(place.work), used: place.used(),
			pause: place.tightest(), spare: place.spare(now, load.Queued), slow: place.health.slowness(), bad: place.health.badness(now) >= 1,
			waits: place.waits(), own: board.isOwn(place, groups), packed: float64(len(place.work)) >= board.seen*packShare*float64(place.Slots),
		})
	}
	board.scratch.engines = engines
	return engines
}

// firstToken predicts when a prompt's own part is read at its first engine.
func (engine *engine) firstToken(tokens int, reading time.Duration) time.Duration {
	return engine.read(engine.load, tokens, reading)
}

// partToken predicts when a part is read here by a helper.
func (engine *engine) partToken(tokens int, reading time.Duration) time.Duration {
	return engine.read(engine.parts, tokens, reading)
}

func (engine *engine) read(load dogwoodenginetime.Load, tokens int, reading time.Duration) time.Duration {
	slowed := time.Duration(engine.slow * float64(reading))
	return engine.place.Engine.FirstToken(load, tokens, slowed)
}

// helpsLate reports whether a part may be read here although no place is good: where nothing
// is written, and no prompt waits that could not be put off.
func (engine *engine) helpsLate() bool {
	return engine.load.Writers == 0 && engine.spare > 0
}

// flows reports whether the answers here, and one more with the given longest pause, go on
// without too long pauses while a part is read.
func (engine *engine) flows(reading, pause time.Duration) bool {
	if reading > engine.spare {
		return false
	}
	if engine.count == 0 {
		return true
	}
	limit := engine.pause
	if pause > 0 && (limit == 0 || pause < limit) {
		limit = pause
	}
	if limit == 0 {
		return true
	}
	longest := float64(engine.place.Engine.Pause(engine.load, reading)) * engine.slow
	return longest <= pauseShare*float64(limit)
}

// choice is a way to read a prompt.
type choice struct {
	first     *engine
	helpers   []*engine
	predicted time.Duration
}

// search looks for the best way to read one prompt.
type search struct {
	now time.Time
	ask *Ask
	// waited is how long the request has waited already.
	waited  time.Duration
	engines []engine
	// firsts may write the answer: those of the daemon's own group first, of these the fullest
	// that has room, and those that are packed last.
	firsts []*engine
	// readers may help: those first that do not write, of these the ones where no prompt
	// waits that would be put off, and then those that are free soonest.
	readers []*engine
	// holders is how many engines the prompt's memory needs.
	holders int
	within  time.Duration
}

// chooseEngines finds the engine that writes an answer and those that help to read its
// prompt: the fullest engine on which all answers flow and the prompt is read in time, with
// as few helpers as that takes. Helpers keep the pauses of what they write, and of what they
// are about to write: one that only reads now writes as soon as its own prompt is read.
func (board *Board) chooseEngines(now time.Time, ask *Ask, candidates []*place) (Placement, Refusal) {
	if board.seen < settledShare && ask.CanWait && ask.Prompt >= dogwoodenginetime.LongPrompt {
		return Placement{}, Full
	}
	search := board.newSearch(now, ask, candidates)
	if search.holders > 1+mostHelpers {
		return Placement{}, TooLarge
	}
	for _, first := range search.firsts {
		if found, ok := search.with(first); ok {
			return search.placement(found), Placed
		}
	}
	found, ok := search.leastBad()
	if !ok {
		return Placement{}, Full
	}
	return search.placement(found), Placed
}

func (board *Board) newSearch(now time.Time, ask *Ask, candidates []*place) *search {
	search := &search{
		now: now, ask: ask, engines: board.survey(now, candidates), within: time.Duration(aimShare * float64(ask.Aim)),
		firsts: board.scratch.firsts[:0], readers: board.scratch.readers[:0],
	}
	if !ask.Arrived.IsZero() {
		search.waited = now.Sub(ask.Arrived)
	}
	memory := memoryOf(candidates[0])
	search.holders = max((ask.Prompt+ask.Answer+memory-1)/memory, 1)
	for i := range search.engines {
		engine := &search.engines[i]
		if !engine.bad {
			search.firsts = append(search.firsts, engine)
		}
		search.readers = append(search.readers, engine)
	}
	board.scratch.firsts, board.scratch.readers = search.firsts, search.readers
	slices.SortStableFunc(search.firsts, func(one, other *engine) int {
		return cmp.Or(compareBool(one.packed, other.packed), compareBool(other.own, one.own), cmp.Compare(other.count, one.count))
	})
	slices.SortStableFunc(search.readers, func(one, other *engine) int {
		return cmp.Or(
			compareBool(one.bad, other.bad), compareBool(one.load.Writers > 0, other.load.Writers > 0),
			compareBool(one.waits, other.waits), cmp.Compare(one.load.Queued, other.load.Queued),
		)
	})
	return search
}

func compareBool(one, other bool) int {
	switch {
	case one == other:
		return 0
	case other:
		return -1
	default:
		return 1
	}
}

func memoryOf(place *place) int {
	return max(int(memoryShare*float64(place.Engine.MemoryTokens)), 1)
}

// share is the memory that one of the holders gives.
func (search *search) share() int {
	return (search.ask.Prompt + search.ask.Answer + search.holders - 1) / search.holders
}

// with finds the fewest helpers with which the first engine reads the prompt in time, all
// answers flowing.
func (search *search) with(first *engine) (choice, bool) {
	for parts := search.holders; parts <= 1+mostHelpers; parts++ {
		reading := first.place.Engine.Read(search.ask.Prompt, parts)
		found, ok := search.try(first, parts, func(helper *engine) bool { return helper.flows(reading, 0) })
		if ok && found.predicted <= search.within && first.flows(reading, search.ask.Pause) {
			return found, true
		}
	}
	return choice{}, false
}

// try reads the prompt in parts with the first helpers that suit, or returns false if there
// are too few or they have too little memory.
func (search *search) try(first *engine, parts int, suits func(helper *engine) bool) (choice, bool) {
	share := search.share()
	if first.used+share > memoryOf(first.place) {
		return choice{}, false
	}
	reading := first.place.Engine.Read(search.ask.Prompt, parts)
	found := choice{first: first, predicted: first.firstToken(search.ask.Prompt/parts, reading)}
	for _, helper := range search.readers {
		if len(found.helpers) == parts-1 {
			break
		}
		holds := len(found.helpers) < search.holders-1
		if helper == first || holds && helper.used+share > memoryOf(helper.place) || !suits(helper) {
			continue
		}
		found.helpers = append(found.helpers, helper)
		found.predicted = max(found.predicted, helper.partToken(search.ask.Prompt/parts, reading))
	}
	return found, len(found.helpers) == parts-1
}

func (search *search) placement(found choice) Placement {
	placement := Placement{Endpoint: found.first.place.Endpoint, Predicted: found.predicted}
	for i, helper := range found.helpers {
		chosen := Helper{Endpoint: helper.place.Endpoint}
		if i < search.holders-1 {
			chosen.Tokens = search.share()
		}
		placement.Helpers = append(placement.Helpers, chosen)
	}
	return placement
}
