package dogwoodadmission

import (
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Work is a waiting request. The caller embeds or stores it; the queue links it without
// allocating.
type Work struct {
	Customer                dogwoodfleet.Customer
	PromptTokens, MaxTokens int
	Arrived, Deadline       time.Time
	// Value belongs to the caller; the queue doesn't use it.
	Value any

	class          Class
	cost           float64
	service        time.Duration // cautious service time: the time it needs before its deadline
	expected       time.Duration // mean service time: what it adds to the waits of others
	rank           time.Time
	predicted      time.Duration // uncorrected wait predicted by Queue.Offer
	next, previous *Work
	flow           *flow
}

// Service returns the cautious prediction of how long the work takes once granted.
func (work *Work) Service() time.Duration {
	return work.service
}

// LatestStart returns the latest time at which the work can be granted and still finish by
// its deadline.
func (work *Work) LatestStart() time.Time {
	return work.Deadline.Add(-work.service)
}

// computeRank returns the rank that orders a customer's work: the arrival time plus MaxDelayFactor
// times the expected service time. Short work therefore goes before long work that arrived
// slightly earlier, and work that arrives after the rank of long work never overtakes it.
// Near its latest start, work is ranked by that time instead.
func (work *Work) computeRank() time.Time {
	rank := work.Arrived.Add(MaxDelayFactor * work.expected)
	if urgent := work.LatestStart().Add(-work.service); urgent.Before(rank) {
		return urgent
	}
	return rank
}

// Long reports whether the work belongs to the band of long prompts.
func (work *Work) Long() bool {
	return work.class.Long()
}

// list holds the waiting work of one class of one customer, in ascending order of rank.
type list struct {
	first, last *Work
}

// maxInsertSteps bounds how far new work is moved towards the front. Ranks within a class
// mostly follow the order of arrival, so work rarely moves far.
const maxInsertSteps = 16

func (list *list) insert(work *Work) {
	after := list.last
	for range maxInsertSteps {
		if after == nil || !work.rank.Before(after.rank) {
			break
		}
		after = after.previous
	}
	if after == nil {
		work.next = list.first
		list.first = work
	} else {
		work.next, work.previous = after.next, after
		after.next = work
	}
	if work.next == nil {
		list.last = work
	} else {
		work.next.previous = work
	}
}

func (list *list) remove(work *Work) {
	if work.previous == nil {
		list.first = work.next
	} else {
		work.previous.next = work.next
	}
	if work.next == nil {
		list.last = work.previous
	} else {
		work.next.previous = work.previous
	}
	work.next, work.previous = nil, nil
}
