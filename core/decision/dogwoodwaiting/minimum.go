package dogwoodwaiting

import (
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Load pattern: a customer of an urgent rank sends more requests than all slots of a service can run. Its rank alone takes every
// slot that becomes free, its customers' shares don't bound it since they hold within a rank, and no request of a less urgent rank
// starts until the customer stops. Therefore each rank keeps a minimum of the starts while it waits.

const (
	// MinRankShare is the share that a rank may get ahead of more urgent ones, as a multiple of their starts while it waits. It
	// is the one of the engines that a rank may always prefill on. Urgent requests lose one start in eleven to a rank at most.
	MinRankShare = 0.1
	// maxMinimumShares bounds what all less urgent ranks together get, so that many ranks leave the urgent ones most starts.
	maxMinimumShares = 0.2
	// creditTTL is how long a credit outlasts the last request that waited for it. Requests of a rank that come one at a time
	// each wait for some seconds, in which a daemon may start fewer requests than earn one.
	creditTTL = 10 * time.Second
)

// RankClaim is the service and the rank of a request that waits.
type RankClaim struct {
	Service dogwoodfleet.Service
	Rank    int
}

// credit is what a rank has earned by waiting for more urgent ones.
type credit struct {
	// starts is 1 at most: a rank that could not use its minimum does not save it.
	starts   float64
	lastWait time.Time
}

// Minimums keeps the starts that less urgent ranks have earned at one daemon. The zero value is empty. It is not safe for
// concurrent use.
type Minimums struct {
	credits map[RankClaim]*credit
	// waiting counts the waiting requests by rank.
	waiting map[RankClaim]int
}

// SetWaiting sets the requests that wait. Nothing is earned where all requests of a service have one rank.
func (minimums *Minimums) SetWaiting(now time.Time, claims []RankClaim) {
	minimums.waiting = nil
	for key, credit := range minimums.credits {
		if now.Sub(credit.lastWait) > creditTTL {
			delete(minimums.credits, key)
		}
	}
	if !differ(claims) {
		return
	}
	minimums.waiting = map[RankClaim]int{}
	for _, claim := range claims {
		minimums.waiting[claim]++
		if credit := minimums.credits[claim]; credit != nil {
			credit.lastWait = now
		}
	}
}

// differ reports whether requests of one service have different ranks.
func differ(claims []RankClaim) bool {
	ranks := map[dogwoodfleet.Service]int{}
	for _, claim := range claims {
		if rank, known := ranks[claim.Service]; known && rank != claim.Rank {
			return true
		}
		ranks[claim.Service] = claim.Rank
	}
	return false
}

// Started records that a waiting request got its slot. The less urgent ranks that go on waiting earn a part of a start.
func (minimums *Minimums) Started(now time.Time, started RankClaim) {
	if len(minimums.waiting) == 0 {
		return
	}
	minimums.waiting[started]--
	if credit := minimums.credits[started]; credit != nil {
		credit.starts = max(credit.starts-1, 0)
	}
	earning := 0
	for key, count := range minimums.waiting {
		if minimums.earns(key, started, count) {
			earning++
		}
	}
	for key, count := range minimums.waiting {
		if !minimums.earns(key, started, count) {
			continue
		}
		if minimums.credits == nil {
			minimums.credits = map[RankClaim]*credit{}
		}
		earned := minimums.credits[key]
		if earned == nil {
			earned = &credit{}
			minimums.credits[key] = earned
		}
		earned.lastWait = now
		earned.starts = min(earned.starts+min(MinRankShare, maxMinimumShares/float64(earning)), 1)
	}
}

func (minimums *Minimums) earns(key, started RankClaim, count int) bool {
	return count > 0 && key.Service == started.Service && key.Rank > started.Rank
}

// AnyDue reports whether some rank that waits has earned the next start.
func (minimums *Minimums) AnyDue() bool {
	for key := range minimums.credits {
		if minimums.IsDue(key) {
			return true
		}
	}
	return false
}

// roundingSlack is far less than a part of a start and more than the rounding errors of their sum.
const roundingSlack = 1e-6

// IsDue reports whether a rank that waits has earned the next start.
func (minimums *Minimums) IsDue(claim RankClaim) bool {
	credit := minimums.credits[claim]
	return credit != nil && credit.starts >= 1-roundingSlack && minimums.waiting[claim] > 0
}
