package dogwoodowner

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
)

// partWaiters holds the waiters whose prompts have a refused part, by part. A change of refusals then checks these only: with
// thousands of waiters and refusals that change every few milliseconds, checking all of them under the owner's lock delayed grants.
type partWaiters map[dogwoodfleet.PromptPart]map[*waiter]struct{}

// add records a waiter under those of its prompt's parts that are refused.
func (partWaiters partWaiters) add(added *waiter) {
	if len(partWaiters) == 0 {
		return
	}
	for _, part := range added.promptSubject().Parts {
		if waiters := partWaiters[part]; waiters != nil {
			waiters[added] = struct{}{}
		}
	}
}

// remove removes a waiter that waits no longer. One whose subject was never needed is recorded nowhere.
func (partWaiters partWaiters) remove(removed *waiter) {
	if len(partWaiters) == 0 || removed.subject == nil {
		return
	}
	for _, part := range removed.subject.Parts {
		delete(partWaiters[part], removed)
	}
}

// promptSubject returns the waiter's subject, which is made when it is first needed.
func (waiter *waiter) promptSubject() *dogwoodsuspect.Subject {
	if waiter.subject == nil {
		waiter.subject = newSubject(&waiter.acquireRequest.Request)
	}
	return waiter.subject
}

// setRefusedPartsLocked replaces the refusals, and evicts the waiters that may not run as they wait now. Only those are checked whose
// prompts have a part whose refusal is new, changed or gone.
func (owner *Owner) setRefusedPartsLocked(now time.Time, refused dogwoodsuspect.PartRefusals) {
	known := owner.refusedParts
	owner.refusedParts = refused
	affected := map[*waiter]struct{}{}
	for part := range known {
		if refused[part] == nil {
			maps.Copy(affected, owner.partWaiters[part])
			delete(owner.partWaiters, part)
		}
	}
	var added []dogwoodfleet.PromptPart
	for part, refusal := range refused {
		if known[part] == nil {
			added = append(added, part)
		} else if !known[part].Equal(refusal) {
			maps.Copy(affected, owner.partWaiters[part])
		}
	}
	owner.findPartWaitersLocked(added)
	for _, part := range added {
		maps.Copy(affected, owner.partWaiters[part])
	}
	owner.evictRefusedLocked(now, affected)
}

// findPartWaitersLocked records which waiters have parts that were not refused before. It compares one block of each waiter's prompt
// with each part, since names of parts are costly to make for thousands of prompts.
func (owner *Owner) findPartWaitersLocked(added []dogwoodfleet.PromptPart) {
	if len(added) == 0 {
		return
	}
	var waiters []*waiter
	for _, lane := range owner.laneList {
		waiters = append(waiters, lane.suspects...)
		for _, work := range lane.queue.All() {
			waiters = append(waiters, work.Value.(*waiter))
		}
	}
	for _, part := range added {
		found := map[*waiter]struct{}{}
		owner.partWaiters[part] = found
		index, block, ok := parsePart(part)
		if !ok {
			continue // no prompt's part has such a name
		}
		for _, waiter := range waiters {
			blocks := waiter.acquireRequest.Request.Blocks
			if index < len(blocks) && blocks[index] == block && slices.Contains(waiter.promptSubject().Parts, part) {
				found[waiter] = struct{}{}
			}
		}
	}
}

// parsePart returns the position and the hash of the block that newSubject named a part by.
func parsePart(part dogwoodfleet.PromptPart) (index int, block uint64, ok bool) {
	const digits = 2
	id := string(part[len(part.Pool()):])
	if len(id) <= digits || id[digits] != '.' {
		return 0, 0, false
	}
	position, err := strconv.ParseUint(id[:digits], 10, 8)
	if err != nil {
		return 0, 0, false
	}
	block, err = strconv.ParseUint(id[digits+1:], 16, 64)
	return int(position), block, err == nil
}

// evictRefusedLocked removes those of some waiters whose prompts have parts that are refused. Their calls are rejected, or queued
// anew as suspects.
func (owner *Owner) evictRefusedLocked(now time.Time, waiters map[*waiter]struct{}) {
	type eviction struct {
		waiter  *waiter
		refusal *Refusal
	}
	var evictions []eviction
	for waiter := range waiters {
		if refusal := owner.partRefusalLocked(now, waiter); refusal != nil {
			evictions = append(evictions, eviction{waiter, refusal})
		}
	}
	// The order of a map is random, which would make simulations differ from run to run.
	slices.SortFunc(evictions, func(a, b eviction) int {
		return cmp.Or(a.waiter.Arrived.Compare(b.waiter.Arrived), cmp.Compare(a.waiter.acquireRequest.Request.ID, b.waiter.acquireRequest.Request.ID))
	})
	for _, eviction := range evictions {
		eviction.waiter.lane.remove(eviction.waiter)
		eviction.waiter.reject(eviction.refusal)
		owner.hasEvicted = true
	}
}

// grantEvictedLocked grants what evicted waiters have freed: endpoints that were reserved for them, and their places before others.
func (owner *Owner) grantEvictedLocked(now time.Time) {
	if owner.hasEvicted {
		owner.grantWaitingLocked(now)
	}
}
