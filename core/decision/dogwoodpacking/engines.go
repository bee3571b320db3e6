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
	// aimShare is the share of a prompt's aim within which its prefill must be predicted to end.
	// The rest is for network latency and for effects that the prediction does not cover.
	aimShare = 0.5
	// pauseShare is the share of the longest acceptable pause that may be used up.
	pauseShare = 0.75
	// maxHelpers is the maximum number of engines that help to prefill one prompt.
	maxHelpers = 15
	// memoryShare is the share of an engine's memory that is assigned: answers grow while they
	// are decoded, and an engine that runs out of memory suspends a request.
	memoryShare = 0.92
	// minSeenShare is the share of the daemons whose work must be on the board before long
	// prompts are placed. After all daemons were killed, the callers of all long prompts retry
	// at almost the same time. Daemons that did not see each other's work placed them on every
	// engine at once, ahead of all short prompts, which got no answer for five seconds.
	minSeenShare = 0.5
	// slackShare is the share of a waiting prompt's aim within which its prefill must be predicted
	// to end if a later prompt is prefilled ahead of it. Later prompts can be ahead because helpers
	// prefill their parts before their own prompts. The rest is for effects that the prediction
	// does not cover.
	slackShare = 0.55
	// unlimitedSlack is the slack of an engine where no prompt waits.
	unlimitedSlack = time.Hour
)

// engine is a candidate with a snapshot of its work.
type engine struct {
	state *endpointState
	load  dogwoodenginetime.Load
	// helperLoad is the load that precedes a part which this engine prefills as a helper.
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
	// hasWaiting is true while a prompt whose answer will be decoded here has not been prefilled
	// yet.
	hasWaiting bool
	// packed is true once the engine has as many requests as this daemon packs on one engine.
	// inOwnGroup is true if the engine belongs to this daemon's group.
	packed, inOwnGroup bool
	// taken is true if a part that is prefilled here takes the engine from more urgent ranks, hasUrgent if the engine holds more
	// urgent requests. Both are false for a prompt that yields to none.
	taken, hasUrgent bool
}

func (board *Board) survey(now time.Time, request *PlacementRequest, candidates []*endpointState, allowance int) []engine {
	engines, groups := board.scratch.engines[:0], board.groupCount(now, request, board.scratch.requestCount, candidates[0].Slots)
	for _, state := range candidates {
		load := state.load(now)
		engines = append(engines, engine{
			state: state, load: load, helperLoad: state.helperLoad(now, load), requestCount: len(state.work), usedTokens: state.usedTokens(),
			pauseLimit: state.pauseLimit(), slack: state.slack(now, load.Queued), slowness: state.health.slowness(), failing: state.health.recentFailures(now) >= 1,
			hasWaiting: state.hasWaiting(), inOwnGroup: board.inOwnGroup(state, groups), packed: float64(len(state.work)) >= board.seenShare*packShare*float64(state.Slots),
		})
		if allowance != unlimitedEngines {
			last := &engines[len(engines)-1]
			last.taken, last.hasUrgent = state.isTakenBy(request.Rank, nil), state.hasMoreUrgent(request.Rank)
		}
	}
	board.scratch.engines = engines
	return engines
}

// predictOwnPart predicts when the primary engine has prefilled its part of a prompt.
func (engine *engine) predictOwnPart(tokens int, prefill time.Duration) time.Duration {
	return engine.predictPrefill(engine.load, tokens, prefill)
}

// predictHelperPart predicts when a helper has prefilled its part of a prompt.
func (engine *engine) predictHelperPart(tokens int, prefill time.Duration) time.Duration {
	return engine.predictPrefill(engine.helperLoad, tokens, prefill)
}

func (engine *engine) predictPrefill(load dogwoodenginetime.Load, tokens int, prefill time.Duration) time.Duration {
	slowed := time.Duration(engine.slowness * float64(prefill))
	return engine.state.Engine.FirstToken(load, tokens, slowed)
}

// mayHelpLate reports whether a part may be prefilled here when no placement keeps all limits:
// the engine decodes nothing and every prompt that waits here can be delayed.
func (engine *engine) mayHelpLate() bool {
	return engine.load.DecodingRequests == 0 && engine.slack > 0
}

// keepsPauses reports whether a part can be prefilled here without delaying a waiting prompt beyond
// its slack or an answer beyond its longest acceptable pause. pause is the longest acceptable pause
// of an answer that will also be decoded here; 0 if there is none or it has no limit.
func (engine *engine) keepsPauses(prefill, pause time.Duration) bool {
	if prefill > engine.slack {
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
	longest := float64(engine.state.Engine.Pause(engine.load, prefill)) * engine.slowness
	return longest <= pauseShare*float64(limit)
}

// choice is one way to prefill a prompt: the primary engine, which also decodes the answer, and
// its helpers.
type choice struct {
	primary   *engine
	helpers   []*engine
	predicted time.Duration
}

// search holds the state of the search for the best way to prefill one prompt.
type search struct {
	now     time.Time
	request *PlacementRequest
	// waited is how long the request has waited.
	waited  time.Duration
	engines []engine
	// primaries may decode the answer. Engines that are not packed come first, then those of the
	// daemon's own group, then the fullest.
	primaries []*engine
	// helpers may help to prefill. Engines that do not decode come first, then those without
	// waiting prompts that would be delayed, then those that are free soonest.
	helpers []*engine
	// minEngines is the number of engines needed to hold the prompt and its answer in memory.
	minEngines int
	// allowance is the number of engines that the prompt may take from more urgent ranks now, attainable the most that it may take while
	// it waits.
	allowance    int
	attainable   int
	prefillLimit time.Duration
	// keeping and breaking count the engines that can help while all limits are kept, and when no placement keeps them.
	keeping, breaking [1 + maxHelpers + 1]helperCount
}

// chooseEngines selects the engine that decodes an answer and those that help to prefill its
// prompt: the fullest engine on which all answers keep their pauses and the prompt is prefilled in
// time, with as few helpers as possible. Helpers must also keep the pauses of the answers that they
// will decode soon: an engine that only prefills now starts to decode once its own prompt is
// prefilled.
func (board *Board) chooseEngines(now time.Time, request *PlacementRequest, candidates []*endpointState) (Placement, Refusal) {
	if (board.awaitsPeers || board.seenShare < minSeenShare) && request.CanWait && request.Prompt >= dogwoodenginetime.LongPrompt {
		return Placement{}, Full
	}
	search := board.newSearch(now, request, candidates)
	if search.minEngines > 1+maxHelpers {
		return Placement{}, TooLarge
	}
	if !search.canEnd() {
		return Placement{}, TooLate
	}
	for _, primary := range search.primaries {
		if found, ok := search.fewestHelpers(primary); ok {
			return search.placement(found), Placed
		}
	}
	found, ok := search.leastBad()
	switch {
	case ok:
		return search.placement(found), Placed
	case search.isHeldUp():
		return Placement{}, Yields
	default:
		return Placement{}, Full
	}
}

func (board *Board) newSearch(now time.Time, request *PlacementRequest, candidates []*endpointState) *search {
	demand := board.rankDemand(now, request, nil)
	allowance := demand.allowance()
	search := &search{
		now: now, request: request, engines: board.survey(now, request, candidates, allowance), allowance: allowance, attainable: demand.attainable(), prefillLimit: time.Duration(aimShare * float64(request.Aim)),
		primaries: board.scratch.primaries[:0], helpers: board.scratch.helpers[:0],
	}
	if !request.Arrived.IsZero() {
		search.waited = now.Sub(request.Arrived)
	}
	search.minEngines = minEngines(request.Prompt+request.Answer, candidates[0])
	for i := range search.engines {
		engine := &search.engines[i]
		if !engine.failing {
			search.primaries = append(search.primaries, engine)
		}
		if !engine.state.limit.Named && engine.state.isProven(search.now) { // a part is a request that the limit does not count
			search.helpers = append(search.helpers, engine)
		}
	}
	board.scratch.primaries, board.scratch.helpers = search.primaries, search.helpers
	slices.SortStableFunc(search.primaries, func(a, b *engine) int {
		return cmp.Or(compareBool(a.hasUrgent, b.hasUrgent), compareBool(a.packed, b.packed), compareBool(b.inOwnGroup, a.inOwnGroup), cmp.Compare(b.requestCount, a.requestCount))
	})
	slices.SortStableFunc(search.helpers, func(a, b *engine) int {
		return cmp.Or(
			compareBool(a.failing, b.failing), compareBool(a.hasUrgent, b.hasUrgent), compareBool(a.load.DecodingRequests > 0, b.load.DecodingRequests > 0),
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

// minEngines returns the number of engines like the given one whose memory a prompt and its answer need.
func minEngines(tokens int, state *endpointState) int {
	memory := usableMemory(state)
	return max((tokens+memory-1)/memory, 1)
}

// memoryPerEngine returns the tokens that each of minEngines engines holds in its memory.
func (search *search) memoryPerEngine() int {
	return (search.request.Prompt + search.request.Answer + search.minEngines - 1) / search.minEngines
}

// fewestHelpers finds the fewest helpers with which the primary engine prefills the prompt in time
// while all answers keep their pauses.
func (search *search) fewestHelpers(primary *engine) (choice, bool) {
	for parts := search.minEngines; parts <= 1+maxHelpers; parts++ {
		prefill := primary.state.Engine.PrefillTime(search.request.Prompt, parts)
		if !primary.keepsPauses(prefill, search.request.Pause) || !search.hasHelpers(&search.keeping, parts, prefill, search.keepsLimits) {
			continue
		}
		if found, ok := search.assign(primary, parts, search.keepsLimits); ok && found.predicted <= search.prefillLimit {
			return found, true
		}
	}
	return choice{}, false
}

// assign splits the prompt into parts for the primary engine and the first suitable helpers. It
// returns false if there are too few helpers or the engines have too little memory.
func (search *search) assign(primary *engine, parts int, suits func(helper *engine, prefill time.Duration) bool) (choice, bool) {
	share := search.memoryPerEngine()
	allowance := search.allowance
	if primary.usedTokens+share > usableMemory(primary.state) || primary.taken && allowance == 0 {
		return choice{}, false
	}
	if primary.taken {
		allowance--
	}
	prefill := primary.state.Engine.PrefillTime(search.request.Prompt, parts)
	found := choice{primary: primary, predicted: primary.predictOwnPart(search.request.Prompt/parts, prefill)}
	for _, helper := range search.helpers {
		if len(found.helpers) == parts-1 {
			break
		}
		holds := len(found.helpers) < search.minEngines-1
		if helper == primary || holds && helper.usedTokens+share > usableMemory(helper.state) || helper.taken && allowance == 0 || !suits(helper, prefill) {
			continue
		}
		if helper.taken {
			allowance--
		}
		found.helpers = append(found.helpers, helper)
		found.predicted = max(found.predicted, helper.predictHelperPart(search.request.Prompt/parts, prefill))
	}
	return found, len(found.helpers) == parts-1
}

func (search *search) placement(found choice) Placement {
	placement := Placement{Endpoint: found.primary.state.Endpoint, Predicted: found.predicted}
	for i, helper := range found.helpers {
		chosen := Helper{Endpoint: helper.state.Endpoint}
		if i < search.minEngines-1 {
			chosen.Tokens = search.memoryPerEngine()
		}
		placement.Helpers = append(placement.Helpers, chosen)
	}
	return placement
}
