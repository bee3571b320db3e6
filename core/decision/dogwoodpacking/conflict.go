package dogwoodpacking

import (
	"time"

	"dogwoodmux.example/core/decision/dogwoodenginetime"
)

// Load pattern: a data centre's engines come back, or the engine fails that several joint prompts shared. All daemons
// learn of it within a millisecond, and each places the long prompts that wait at it onto the same idle engines,
// before it learns of the others' prompts. Each prompt was predicted to be prefilled in two seconds, and took five to
// nine behind the parts of the others, while its engines could take no short prompts. So a long prompt is sent only
// once the announcements of prompts that were placed at the same moment have arrived. Of two daemons' prompts that
// share an engine, one keeps its placement, and the other is placed again.

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
// placed on its engines at about the same moment go first and make it late. All daemons decide alike which prompts
// go first.
func (board *Board) Conflicts(id WorkID) bool {
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
	return false
}

// conflicting returns the prefill time of the listed prompts that conflict with the given one and go first.
func (workList workList) conflicting(work *Work) time.Duration {
	var ahead time.Duration
	for _, other := range workList {
		if other.conflictsWith(work) && other.ID < work.ID {
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
