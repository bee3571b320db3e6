package dogwoodwaiting

import (
	"cmp"
	"slices"
	"time"

	"dogwoodmux.example/core/decision/dogwoodshare"
	"dogwoodmux.example/core/dogwoodfleet"
)

// Load pattern: a customer of an urgent rank sends more requests than all slots of a service can run. Its rank alone takes every
// slot that becomes free, its customers' shares don't bound it since they hold within a rank, and no request of a less urgent rank
// starts until the customer stops. Therefore each rank keeps a minimum of the engine time while it waits, over all daemons: with a
// minimum for each daemon alone, a rank got its first start after 8 to 10 s where ten daemons had 13 starts a second in all.
//
// A rank is due while it has used less than its minimum; the starts that it lacks are owed to it. All daemons see that a rank is due,
// and some have slots that become free before they learn of the others' starts. Therefore a daemon offers only a part of its
// starts to ranks that are due: the parts add up, and each time that they reach a whole one, it is its turn to start one.

const (
	// maxMinimumShares bounds what all less urgent ranks together get, as a multiple of the most urgent one's starts, so that many
	// ranks leave the urgent ones most.
	maxMinimumShares = 0.2
	// starvingShare is the part of its share of starts below which a rank is due although others have used up maxMinimumShares, or
	// too few requests start for a share: a rank that takes idle slots must not starve another one.
	starvingShare = 0.5
	// minOffer is the part of its starts that a daemon offers at least. All offers of a fifth are a fifth of all starts, whatever the
	// daemons know of each other.
	minOffer = 0.2
	// offerPerStart is how many starts all daemons together offer for each start that is owed. Daemons without requests of
	// the rank, and those without a slot, offer in vain. In the simulation a rank got at least 0.045 of the starts with 5 instead of 8,
	// and from 0.016 to 0.209 with 16 where all ten daemons are leaves.
	offerPerStart = 8
	// maxOffer leaves the urgent ranks a part of a daemon's starts however much is owed. Leaves see others' starts up to 500 ms late.
	maxOffer = 0.75
	// turnTTL is how long a daemon's turn outlasts the last requests that waited. Requests of a rank that come one at a time each wait
	// for some seconds, in which a daemon may start few requests.
	turnTTL = 10 * time.Second
)

// RankClaim is the service and the rank of a request that waits.
type RankClaim struct {
	Service dogwoodfleet.Service
	// Rank is made of the customer's rank and the route's, as that of a Request.
	Rank int
}

// RankUses returns the recent use of engine time of a service's ranks, at all daemons that this one knows of.
type RankUses interface {
	RankUses(now time.Time, service dogwoodfleet.Service) []dogwoodshare.RankUse
}

// MinimumUse is why a rank is due: what it and more urgent ranks used within dogwoodshare.Window.
type MinimumUse struct {
	Used, Urgent time.Duration
}

// waitingRank is a rank with requests that wait.
type waitingRank struct {
	rank, count int
	due         bool
	MinimumUse
}

// serviceMinimum is the state of one service.
type serviceMinimum struct {
	// waiting holds the ranks that wait, the most urgent one first; it is empty while all requests have one rank.
	waiting []waitingRank
	// ownShare is this daemon's share in the use of the ranks that are more urgent than the least urgent one that waits.
	ownShare float64
	// hasRoom is true while one more start leaves less urgent ranks within maxMinimumShares.
	hasRoom bool
	// owed is the number of starts that the rank that is due lacks; the largest number of several ranks.
	owed float64
	// turn adds up the offered parts of starts. Each time it reaches 1, the next start is for a rank that is due.
	turn     float64
	lastWait time.Time
}

// Minimums decides when a rank that waits goes before more urgent ones. It is not safe for concurrent use.
type Minimums struct {
	// FirstTurn is what a daemon begins with, from 0 up to 1. It is to differ between daemons, whose turns would otherwise come at
	// the same time.
	FirstTurn float64
	services  map[dogwoodfleet.Service]*serviceMinimum
}

// SetWaiting sets the requests that wait. Nothing is due where all requests of a service have one rank.
func (minimums *Minimums) SetWaiting(now time.Time, claims []RankClaim, uses RankUses) {
	for service, minimum := range minimums.services {
		minimum.waiting = minimum.waiting[:0]
		if now.Sub(minimum.lastWait) > turnTTL {
			delete(minimums.services, service)
		}
	}
	if !differ(claims) {
		return
	}
	for _, claim := range claims {
		minimums.service(claim.Service).add(claim.Rank)
	}
	for service, minimum := range minimums.services {
		if len(minimum.waiting) < 2 {
			minimum.waiting = minimum.waiting[:0]
			continue
		}
		minimum.lastWait = now
		minimum.update(uses.RankUses(now, service))
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

func (minimums *Minimums) service(service dogwoodfleet.Service) *serviceMinimum {
	minimum := minimums.services[service]
	if minimum == nil {
		if minimums.services == nil {
			minimums.services = map[dogwoodfleet.Service]*serviceMinimum{}
		}
		minimum = &serviceMinimum{turn: minimums.FirstTurn}
		minimums.services[service] = minimum
	}
	return minimum
}

// add counts a request that waits.
func (minimum *serviceMinimum) add(rank int) {
	i, found := slices.BinarySearchFunc(minimum.waiting, rank, func(waiting waitingRank, rank int) int { return cmp.Compare(waiting.rank, rank) })
	if !found {
		minimum.waiting = slices.Insert(minimum.waiting, i, waitingRank{rank: rank})
	}
	minimum.waiting[i].count++
}

// update sets which ranks are due, by the use of all ranks, the most urgent one first.
func (minimum *serviceMinimum) update(uses []dogwoodshare.RankUse) {
	waiting := minimum.waiting
	topStarts, lessStarts := 0, 0
	for _, use := range uses {
		if use.Rank <= waiting[0].rank {
			topStarts += use.Starts
		} else {
			lessStarts += use.Starts
		}
	}
	minimum.hasRoom = float64(lessStarts+1) <= maxMinimumShares*float64(topStarts)
	share := min(dogwoodshare.MinRankShare, maxMinimumShares/float64(len(waiting)-1))
	var urgent dogwoodshare.RankUse // the sum of the ranks that are more urgent
	minimum.owed = 0
	for i := range waiting {
		rank := &waiting[i]
		for len(uses) > 0 && uses[0].Rank < rank.rank && !uses[0].Shared {
			urgent.Used, urgent.Own, urgent.Starts = urgent.Used+uses[0].Used, urgent.Own+uses[0].Own, urgent.Starts+uses[0].Starts
			uses = uses[1:]
		}
		starts := 0
		rank.MinimumUse = MinimumUse{Urgent: urgent.Used}
		if len(uses) > 0 && uses[0].Rank <= rank.rank { // its own, or one that it shares
			rank.Used, starts = uses[0].Used, uses[0].Starts
		}
		minStarts := share * float64(urgent.Starts)
		rank.due = i > 0 && rank.count > 0 && float64(rank.Used) < share*float64(urgent.Used) &&
			(minimum.hasRoom || float64(starts) < starvingShare*minStarts)
		if rank.due {
			minimum.owed = max(minimum.owed, minStarts-float64(starts))
		}
	}
	minimum.ownShare = float64(urgent.Own) / float64(max(urgent.Used, 1))
}

// offer returns the part of its starts that this daemon offers to ranks that are due. A daemon offers by its share in the starts, so
// that many daemons don't offer more than a few do; one that sends everything itself offers all.
func (minimum *serviceMinimum) offer() float64 {
	if !minimum.hasRoom {
		return minOffer
	}
	return max(minOffer, minimum.ownShare, min(offerPerStart*minimum.ownShare*minimum.owed, maxOffer))
}

// Started records that a waiting request got its slot.
func (minimums *Minimums) Started(now time.Time, started RankClaim, uses RankUses) {
	minimum := minimums.services[started.Service]
	if minimum == nil || len(minimum.waiting) == 0 {
		return
	}
	rank := minimum.find(started.Rank)
	if rank == nil {
		return
	}
	minimum.turn += minimum.offer()
	if minimum.turn >= 1 && (rank.due || !minimum.anyDue()) { // a turn is kept while nothing of a rank that is due fits
		minimum.turn--
	}
	minimum.turn = min(minimum.turn, 1)
	rank.count--
	minimum.update(uses.RankUses(now, started.Service))
}

func (minimum *serviceMinimum) anyDue() bool {
	return slices.ContainsFunc(minimum.waiting, func(waiting waitingRank) bool { return waiting.due })
}

func (minimum *serviceMinimum) find(rank int) *waitingRank {
	i := slices.IndexFunc(minimum.waiting, func(waiting waitingRank) bool { return waiting.rank == rank })
	if i < 0 {
		return nil
	}
	return &minimum.waiting[i]
}

// AnyDue reports whether some rank that waits gets the next start.
func (minimums *Minimums) AnyDue() bool {
	for service, minimum := range minimums.services {
		for _, waiting := range minimum.waiting {
			if minimums.IsDue(RankClaim{Service: service, Rank: waiting.rank}) {
				return true
			}
		}
	}
	return false
}

// IsDue reports whether a rank that waits gets the next start: it has used less than its minimum, and it is this daemon's turn.
func (minimums *Minimums) IsDue(claim RankClaim) bool {
	minimum := minimums.services[claim.Service]
	if minimum == nil || minimum.turn+minimum.offer() < 1 {
		return false
	}
	rank := minimum.find(claim.Rank)
	return rank != nil && rank.due
}

// Turn returns what this daemon has of the next turn of a service's less urgent ranks; 1 is a whole one.
func (minimums *Minimums) Turn(service dogwoodfleet.Service) float64 {
	if minimum := minimums.services[service]; minimum != nil {
		return minimum.turn
	}
	return minimums.FirstTurn
}

// Use returns the use by which a rank is due, the zero value if it is not.
func (minimums *Minimums) Use(claim RankClaim) MinimumUse {
	if !minimums.IsDue(claim) {
		return MinimumUse{}
	}
	return minimums.services[claim.Service].find(claim.Rank).MinimumUse
}
