package dogwoodpacking

import (
	"slices"
	"time"

	"dogwoodmux.example/core/decision/dogwoodenginetime"
)

// pendingPrefill is a prompt, or a part of one, that an engine has to prefill.
type pendingPrefill struct {
	begun   time.Time
	prefill time.Duration
	tokens  int
	// end is when it is predicted to be prefilled.
	end time.Time
}

// load estimates an engine's load from the requests sent there that have not ended. Prompts are
// assumed to be prefilled one after another, starting from the latest time at which one is known
// to have been prefilled. Prompts that should have been prefilled by now no longer count, although
// a joint prompt yields its first token only when its last part is prefilled.
func (state *endpointState) load(now time.Time) dogwoodenginetime.Load {
	var load dogwoodenginetime.Load
	state.pendingPrefills = state.pendingPrefills[:0]
	var waiting time.Duration
	for _, work := range state.work {
		if work.Writing {
			load.DecodingRequests++
			load.ContextTokens += work.Tokens / (1 + len(work.Helpers))
			continue
		}
		waiting += work.Reading
		state.addPending(work)
	}
	load.Queued, load.QueuedTokens = state.backlog(now)
	load.Queued = max(load.Queued, time.Duration(waitingShare*float64(waiting)))
	return load
}

// helperLoad estimates what an engine prefills before a new part that it gets as a helper. These
// are only the earlier parts of other engines' prompts, since an engine prefills parts before its
// own prompts. When parts and own prompts were treated as one queue, a helper with a prompt of its
// own looked busy for seconds, and joint prompts were prefilled only by the few engines without
// one.
func (state *endpointState) helperLoad(now time.Time, load dogwoodenginetime.Load) dogwoodenginetime.Load {
	state.pendingPrefills = state.pendingPrefills[:0]
	load.Queued, load.QueuedTokens = state.backlog(now)
	return load
}

// backlog adds the parts that the engine prefills as a helper to pendingPrefills. It returns the
// time until all of pendingPrefills are prefilled and the number of tokens in those that are not
// prefilled yet.
func (state *endpointState) backlog(now time.Time) (queued time.Duration, tokens int) {
	for _, work := range state.helpedWork {
		if !work.Writing {
			state.addPending(work)
		}
	}
	freeAt := state.pendingEnd()
	for _, pending := range state.pendingPrefills {
		if pending.end.After(now) {
			tokens += pending.tokens
		}
	}
	return max(freeAt.Sub(now), 0), tokens
}

// pendingEnd sets the ends of pendingPrefills, which are prefilled one after another in the order in which they
// were sent, and returns the last one.
func (state *endpointState) pendingEnd() time.Time {
	slices.SortFunc(state.pendingPrefills, func(a, b pendingPrefill) int { return a.begun.Compare(b.begun) })
	freeAt := state.lastPrefillAt
	for i := range state.pendingPrefills {
		pending := &state.pendingPrefills[i]
		if pending.begun.After(freeAt) {
			freeAt = pending.begun
		}
		freeAt = freeAt.Add(time.Duration(float64(pending.prefill) * state.health.slowness()))
		pending.end = freeAt
	}
	return freeAt
}

// recordPart records that this engine has prefilled its part of another engine's prompt: when that was predicted to
// end, or else now. Its own prompts began no earlier. If they seemed to have been prefilled meanwhile, short prompts
// would be sent there and wait behind them.
func (state *endpointState) recordPart(now time.Time, id WorkID) {
	state.pendingPrefills = state.pendingPrefills[:0]
	part := state.helpedWork.index(id)
	if part < 0 {
		return
	}
	last := state.helpedWork[part]
	for _, work := range state.helpedWork {
		if !work.Writing && !work.Begun.After(last.Begun) {
			state.addPending(work)
		}
	}
	state.lastPrefillAt = earlier(now, state.pendingEnd())
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// waitingShare is the minimum share of the prefill time of all unanswered prompts that counts as
// queued. It is needed because the engine may have become slower.
const waitingShare = 0.1

func (state *endpointState) addPending(work *Work) {
	state.pendingPrefills = append(state.pendingPrefills, pendingPrefill{
		begun: work.Begun, prefill: work.Reading, tokens: work.Prompt / (1 + len(work.Helpers)),
	})
}

// usedTokens returns the occupied memory, in tokens.
func (state *endpointState) usedTokens() int {
	used := 0
	for _, work := range state.work {
		used += work.Tokens
		for _, part := range work.Helpers {
			used -= part.Tokens
		}
	}
	for _, work := range state.helpedWork {
		for _, part := range work.Helpers {
			if part.Endpoint == state.ID {
				used += part.Tokens
			}
		}
	}
	return used
}
