package dogwoodpacking

import (
	"cmp"
	"slices"
	"time"

	"dogwoodmux.example/core/decision/dogwoodshare"
	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// maxLedgers bounds the services whose use is recorded. Peers may announce work of services that this daemon's text
	// does not name yet.
	maxLedgers = 64
	// maxDroppedWorks bounds the dropped work that is remembered. Beyond it, work that comes back counts again.
	maxDroppedWorks = 4096
)

// shares records the use of engine time by service, customer and rank: engines of one service don't run another's requests. It is
// guarded by the board's mutex.
type shares struct {
	ledgers map[dogwoodfleet.Service]*dogwoodshare.Ledger
	// dropped holds work that was dropped without its end having been announced, such as the work of a peer whose link broke.
	// If it comes back it must not count a second time.
	dropped map[WorkID]*Work
}

// record counts work that is put on the board for the first time.
func (shares *shares) record(now time.Time, work *Work, own bool) {
	if dropped := shares.dropped[work.ID]; dropped != nil {
		work.countedAt = dropped.countedAt
		return
	}
	ledger := shares.ledgers[work.Service]
	if ledger == nil {
		if ledger = shares.open(now, work.Service); ledger == nil {
			return
		}
	}
	work.countedAt = work.Begun
	ledger.Record(now, work.use(own))
}

// remove takes work that never ran out of its service's ledger, once.
func (shares *shares) remove(now time.Time, work *Work, own bool) {
	if ledger := shares.ledgers[work.Service]; ledger != nil && !work.countedAt.IsZero() {
		ledger.Remove(now, work.use(own))
		work.countedAt = time.Time{}
	}
}

// use returns the engine time for which counted work counts.
func (work *Work) use(own bool) dogwoodshare.Use {
	return dogwoodshare.Use{
		Customer: work.Customer, Rank: work.Rank, Time: work.Reading * time.Duration(1+len(work.Helpers)), At: work.countedAt, Own: own,
	}
}

// open adds a ledger. It returns nil if there are too many that are in use.
func (shares *shares) open(now time.Time, service dogwoodfleet.Service) *dogwoodshare.Ledger {
	if len(shares.ledgers) >= maxLedgers {
		for other, ledger := range shares.ledgers {
			if ledger.IsEmpty(now) {
				delete(shares.ledgers, other)
			}
		}
	}
	if len(shares.ledgers) >= maxLedgers {
		return nil
	}
	if shares.ledgers == nil {
		shares.ledgers = map[dogwoodfleet.Service]*dogwoodshare.Ledger{}
	}
	ledger := &dogwoodshare.Ledger{}
	shares.ledgers[service] = ledger
	return ledger
}

// ledger returns the ledger of a service, an empty one if nothing of it was counted.
func (shares *shares) ledger(service dogwoodfleet.Service) *dogwoodshare.Ledger {
	if ledger := shares.ledgers[service]; ledger != nil {
		return ledger
	}
	return &dogwoodshare.Ledger{}
}

// recordDropped remembers counted work that is dropped although it may not have ended.
func (shares *shares) recordDropped(work *Work) {
	if shares.dropped == nil {
		shares.dropped = map[WorkID]*Work{}
	}
	if len(shares.dropped) < maxDroppedWorks {
		shares.dropped[work.ID] = work
	}
}

// forgetDropped forgets dropped work that would no longer count.
func (shares *shares) forgetDropped(now time.Time) {
	for id, work := range shares.dropped {
		if now.Sub(work.Begun) > dogwoodshare.Window {
			delete(shares.dropped, id)
		}
	}
}

// Standings compares the recent use of engine time of the requests' customers with their shares, for requests that wait.
func (board *Board) Standings(now time.Time, claims []dogwoodshare.Claim) []dogwoodshare.Standing {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	standings := make([]dogwoodshare.Standing, len(claims))
	indexes := map[dogwoodfleet.Service][]int{}
	for i, claim := range claims {
		indexes[claim.Service] = append(indexes[claim.Service], i)
	}
	for service, indexes := range indexes {
		own := make([]dogwoodshare.Claim, len(indexes))
		for i, index := range indexes {
			own[i] = claims[index]
		}
		for i, standing := range board.shares.ledger(service).Standings(now, own) {
			standings[indexes[i]] = standing
		}
	}
	return standings
}

// RankUses returns the use of engine time of each rank of a service. Own is scaled by the share of the daemons that are seen: one that
// sees few others would otherwise take itself for the sender of most requests.
func (board *Board) RankUses(now time.Time, service dogwoodfleet.Service) []dogwoodshare.RankUse {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	uses := board.shares.ledger(service).RankUses(now)
	for i := range uses {
		uses[i].Own = time.Duration(board.seenShare * float64(uses[i].Own))
	}
	return uses
}

// Excess returns a customer's use of engine time as a multiple of an equal share; at most 1 within its share.
func (board *Board) Excess(now time.Time, claim dogwoodshare.Claim) float64 {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	return board.shares.ledger(claim.Service).Excess(now, claim.Customer, claim.Rank)
}

// UntilFair returns the time until a customer's use falls to its share.
func (board *Board) UntilFair(now time.Time, claim dogwoodshare.Claim) time.Duration {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	return board.shares.ledger(claim.Service).UntilFair(now, claim.Customer, claim.Rank)
}

// CustomerUse is the engine time that a customer has used recently.
type CustomerUse struct {
	Customer dogwoodfleet.Customer
	Used     time.Duration
}

// LargestUses returns the use of the customers that have used the most engine time recently, the largest first.
func (board *Board) LargestUses(now time.Time, count int) []CustomerUse {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	used := map[dogwoodfleet.Customer]time.Duration{}
	for _, ledger := range board.shares.ledgers {
		ledger.AddUses(now, used)
	}
	uses := make([]CustomerUse, 0, len(used))
	for customer, took := range used {
		uses = append(uses, CustomerUse{Customer: customer, Used: took})
	}
	slices.SortFunc(uses, func(a, b CustomerUse) int {
		return cmp.Or(cmp.Compare(b.Used, a.Used), cmp.Compare(a.Customer, b.Customer))
	})
	return uses[:min(count, len(uses))]
}
