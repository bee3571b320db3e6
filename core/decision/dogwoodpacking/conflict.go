package dogwoodpacking

import (
	"cmp"
	"slices"
	"time"

	"dogwoodmux.example/core/decision/dogwoodenginetime"
	"dogwoodmux.example/core/dogwoodfleet"
)

// Load pattern: a data centre's engines come back, or the engine fails that several joint prompts shared. All daemons
// learn of it within a millisecond, and each places the long prompts that wait at it onto the same idle engines,
// before it learns of the others' prompts. Each prompt was predicted to be prefilled in two seconds, and took five to
// nine behind the parts of the others, while its engines could take no short prompts. So a long prompt is sent only
// once the announcements of prompts that were placed at the same moment have arrived. Of two daemons' prompts that
// share an engine, one keeps its placement, and the other is placed again.
//
// Prompts that yield to more urgent requests also share the engines that these leave. Several daemons that place such
// prompts at the same moment each take all of them, on different engines. Of these prompts, only those keep their
// placements that together take no more engines than are left.

// announceTime is the time within which the other daemons learn of a placement.
const announceTime = 5 * time.Millisecond

// ConflictWindow returns how long after its placement a prompt of the given length must be checked for conflicts; 0
// if it needs no check.
func (board *Board) ConflictWindow(prompt int) time.Duration {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if prompt < dogwoodenginetime.LongPrompt || board.senders.Count <= 1 {
		return 0
	}
	return announceTime
}

// Conflicts reports whether a prompt of this daemon has to be placed again, because prompts that other daemons
// placed at about the same moment go first, and make it late on its engines or have taken the engines that more urgent
// requests leave. All daemons decide alike which prompts go first.
func (board *Board) Conflicts(now time.Time, id WorkID) bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	work := board.workByID[id]
	if work == nil {
		return false
	}
	slack := time.Duration(aimShare*float64(work.Aim)) - work.Reading
	for _, engine := range work.engines() {
		state := board.endpoints[engine]
		if state == nil {
			continue
		}
		if ahead := state.work.conflicting(work) + state.helpedWork.conflicting(work); ahead > 0 && ahead > slack {
			return true
		}
	}
	return board.exceedsAllowance(now, work)
}

// exceedsAllowance reports whether the prompts of a rank that were placed at about the same moment take more engines than
// more urgent requests leave, and the given prompt goes after those that have them. The caller holds the mutex.
func (board *Board) exceedsAllowance(now time.Time, work *Work) bool {
	request := &PlacementRequest{Service: work.Service, Rank: work.Rank, Prompt: work.Prompt, Answer: work.Tokens - work.Prompt}
	if !board.yields(now, request) {
		return false
	}
	// The engines are counted without these prompts and without less urgent ones that did not know of them.
	same, except := []*Work{work}, map[WorkID]bool{work.ID: true}
	for id, other := range board.workByID {
		if other.Service == work.Service && other.Rank >= work.Rank && other.conflictsWith(work) {
			except[id] = true
			if other.Rank == work.Rank {
				same = append(same, other)
			}
		}
	}
	slices.SortFunc(same, func(a, b *Work) int { return cmp.Compare(a.ID, b.ID) })
	if same[0] == work {
		return false
	}
	demand, held := board.rankDemand(now, request, except), map[dogwoodfleet.EndpointID]bool{}
	for _, other := range same {
		taken := board.takenBy(other, except, held)
		if state := board.endpoints[other.Endpoint]; state != nil && state.Engine != nil {
			demand.minEngines = minEngines(other.Tokens, state)
		}
		fits := len(taken) <= demand.allowance()
		if other == work {
			return !fits
		}
		if fits {
			demand.own += len(taken)
			for _, engine := range taken {
				held[engine] = true
			}
		}
	}
	return false
}

// takenBy returns the engines that a prompt takes from more urgent ranks, without those that are held already. The caller holds the mutex.
func (board *Board) takenBy(work *Work, except map[WorkID]bool, held map[dogwoodfleet.EndpointID]bool) []dogwoodfleet.EndpointID {
	var taken []dogwoodfleet.EndpointID
	for _, engine := range work.engines() {
		if state := board.endpoints[engine]; state != nil && !held[engine] && state.isTakenBy(work.Rank, except) {
			taken = append(taken, engine)
		}
	}
	return taken
}

// goesBefore reports whether a prompt keeps its placement if it conflicts with the other one.
func (work *Work) goesBefore(other *Work) bool {
	return cmp.Or(cmp.Compare(work.Rank, other.Rank), cmp.Compare(work.ID, other.ID)) < 0
}

// conflicting returns the prefill time of the listed prompts that conflict with the given one and go first.
func (workList workList) conflicting(work *Work) time.Duration {
	var ahead time.Duration
	for _, other := range workList {
		if other.conflictsWith(work) && other.goesBefore(work) {
			ahead += other.Reading
		}
	}
	return ahead
}

// conflictsWith reports whether neither of two prompts was known when the other one was placed.
func (work *Work) conflictsWith(other *Work) bool {
	if work.Holder == other.Holder || work.Writing || work.Prompt < dogwoodenginetime.LongPrompt {
		return false
	}
	return work.Begun.Sub(other.Begun).Abs() <= announceTime
}
