package dogwoodshare

import (
	"cmp"
	"slices"
	"time"
)

// MinRankShare is the share that a rank may have whatever more urgent ranks need: of the engines in force on which it prefills, and
// of the engine time of more urgent ranks while it waits for a slot.
const MinRankShare = 0.1

// maxRanks bounds the ranks whose use is recorded. Peers may announce work of any rank.
const maxRanks = 256

// RankUse is the engine time that the requests of a rank have taken within Window, those without a customer included.
type RankUse struct {
	Rank int
	// Used is what was sent by all daemons, Own the part that was sent by this one.
	Used, Own time.Duration
	// Starts is the number of requests that were sent by all daemons.
	Starts int
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
	total := ledger.totals[use.Rank]
	if total == nil {
		if len(ledger.totals) >= maxRanks {
			return
		}
		if ledger.totals == nil {
			ledger.totals = map[int]*rankTotal{}
		}
		total = &rankTotal{}
		ledger.totals[use.Rank] = total
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
	total, i := ledger.totals[use.Rank], indexOf(slot)
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
		delete(ledger.totals, use.Rank)
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
			delete(ledger.totals, rank)
		}
	}
}

// RankUses returns the use of each rank that has had any within Window, the most urgent one first.
func (ledger *Ledger) RankUses(now time.Time) []RankUse {
	ledger.advance(now)
	uses := make([]RankUse, 0, len(ledger.totals))
	for rank, total := range ledger.totals {
		uses = append(uses, RankUse{Rank: rank, Used: total.used, Own: total.own, Starts: total.starts})
	}
	slices.SortFunc(uses, func(a, b RankUse) int { return cmp.Compare(a.Rank, b.Rank) })
	return uses
}
