package dogwoodshare

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// MinRankShare is the share that a rank may have whatever more urgent ranks need: of the engines in force on which it prefills, and
// of the engine time of more urgent ranks while it waits for a slot.
const MinRankShare = 0.1

const (
	// maxRanks bounds the ranks whose use is recorded. Peers may announce work of any rank. When as many are in use, the least urgent
	// ones share a count.
	maxRanks = 256
	// minSharingRanks is the number of ranks in use at which they stop sharing. It is well below maxRanks, as the use in a shared count
	// stays with its most urgent rank until it is older than Window.
	minSharingRanks = maxRanks / 2
)

// RankUse is the engine time that the requests of a rank have taken within Window, those without a customer included.
type RankUse struct {
	Rank int
	// Used is what was sent by all daemons, Own the part that was sent by this one.
	Used, Own time.Duration
	// Starts is the number of requests that were sent by all daemons.
	Starts int
	// Shared is true if this is the use of Rank and all less urgent ranks.
	Shared bool
}

// rankTotal is the use of one rank. A rank without any use is dropped.
type rankTotal struct {
	used, own           time.Duration
	starts              int
	usedSlots, ownSlots [slotCount]time.Duration
	startSlots          [slotCount]int
}

// recordRank adds use to its rank.
func (ledger *Ledger) recordRank(use *Use, slot int64, took time.Duration) {
	total := ledger.totals[ledger.countOf(use.Rank)]
	if total == nil && len(ledger.totals) >= maxRanks {
		ledger.share(use.Rank)
		total = ledger.totals[ledger.countOf(use.Rank)]
	}
	if total == nil {
		if ledger.totals == nil {
			ledger.totals = map[int]*rankTotal{}
		}
		total = &rankTotal{}
		ledger.totals[ledger.countOf(use.Rank)] = total
	}
	total.used += took
	total.usedSlots[indexOf(slot)] += took
	total.starts++
	total.startSlots[indexOf(slot)]++
	if use.Own {
		total.own += took
		total.ownSlots[indexOf(slot)] += took
	}
}

// removeRank takes use back from its rank.
func (ledger *Ledger) removeRank(use *Use, slot int64, took time.Duration) {
	rank, i := ledger.countOf(use.Rank), indexOf(slot)
	total := ledger.totals[rank]
	if total == nil || total.startSlots[i] == 0 {
		return
	}
	total.starts--
	total.startSlots[i]--
	took = min(took, total.usedSlots[i])
	total.used -= took
	total.usedSlots[i] -= took
	if use.Own {
		took = min(took, total.ownSlots[i])
		total.own -= took
		total.ownSlots[i] -= took
	}
	if total.used == 0 {
		ledger.deleteRank(rank)
	}
}

// forgetRanks forgets the ranks' use in the slots from one to another.
func (ledger *Ledger) forgetRanks(first, latest int64) {
	for rank, total := range ledger.totals {
		for slot := first; slot <= latest; slot++ {
			i := indexOf(slot)
			total.used -= total.usedSlots[i]
			total.own -= total.ownSlots[i]
			total.starts -= total.startSlots[i]
			total.usedSlots[i], total.ownSlots[i], total.startSlots[i] = 0, 0, 0
		}
		if total.used == 0 {
			ledger.deleteRank(rank)
		}
	}
}

// countOf returns the rank under which the use of a rank is counted.
func (ledger *Ledger) countOf(rank int) int {
	if ledger.sharing {
		return min(rank, ledger.sharedFrom)
	}
	return rank
}

// share makes room for a rank: of the ranks in use and the new one, the two least urgent ones, and all that are less urgent, share a
// count. It does not depend on the order in which ranks come into use.
func (ledger *Ledger) share(newRank int) {
	ranks := append(slices.Collect(maps.Keys(ledger.totals)), newRank)
	slices.Sort(ranks)
	from, least := ranks[len(ranks)-2], ranks[len(ranks)-1]
	ledger.sharing, ledger.sharedFrom = true, from
	if least == newRank {
		return
	}
	total, added := ledger.totals[from], ledger.totals[least]
	delete(ledger.totals, least)
	if total == nil {
		ledger.totals[from] = added
		return
	}
	total.used, total.own, total.starts = total.used+added.used, total.own+added.own, total.starts+added.starts
	for i := range slotCount {
		total.usedSlots[i] += added.usedSlots[i]
		total.ownSlots[i] += added.ownSlots[i]
		total.startSlots[i] += added.startSlots[i]
	}
}

// deleteRank drops a rank without use. Ranks no longer share a count once it is empty, or few are in use.
func (ledger *Ledger) deleteRank(rank int) {
	delete(ledger.totals, rank)
	if rank == ledger.sharedFrom || len(ledger.totals) <= minSharingRanks {
		ledger.sharing = false
	}
}

// RankUses returns the use of each rank that has had any within Window, the most urgent one first.
func (ledger *Ledger) RankUses(now time.Time) []RankUse {
	ledger.advance(now)
	uses := make([]RankUse, 0, len(ledger.totals))
	for rank, total := range ledger.totals {
		uses = append(uses, RankUse{Rank: rank, Used: total.used, Own: total.own, Starts: total.starts, Shared: ledger.sharing && rank == ledger.sharedFrom})
	}
	slices.SortFunc(uses, func(a, b RankUse) int { return cmp.Compare(a.Rank, b.Rank) })
	return uses
}
