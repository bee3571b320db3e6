// Package dogwoodshare records how much engine time each customer has used recently, and compares it with an equal
// share among the customers that were active.
//
// Load pattern: engines are short, and one customer sends ten times as much as each of the others. In order of arrival
// it gets ten times as much engine time, and the requests of all others wait behind its own. The customers' use orders
// the requests that wait, and those of a customer far above its share are refused; while nothing waits, a customer may
// use what is left.
//
// The unit is engine time: the time in which one engine alone prefills the prompt. A count of requests would equate a
// prompt of 220,000 tokens with one of 5,000, which takes a fiftieth of its time.
package dogwoodshare

import (
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// Window is the time over which use is counted. A customer that has had nothing placed for this long is within its
	// share, however large its last request was.
	Window = 5 * time.Second
	// slotLength is the precision with which use is forgotten.
	slotLength = Window / slotCount
	slotCount  = 20
	// UnknownTime is what a request counts whose prefill time is unknown, such as a plain call. All such requests of a
	// service are equal, so that only their number matters.
	UnknownTime = 10 * time.Millisecond
	// maxAccounts bounds the accounts that a ledger keeps, one for each rank and customer, at some 250 bytes each.
	maxAccounts = 4096
)

// Use is engine time that a request takes.
type Use struct {
	// Customer is empty for requests without one, which count for their rank alone.
	Customer dogwoodfleet.Customer
	Rank     int
	// Time is 0 if it is unknown.
	Time time.Duration
	// At is when the request was sent to its engine.
	At time.Time
	// Own is true if this daemon sent it.
	Own bool
}

// Ledger holds the use of one service's engines over the last Window. Ranks are counted apart. The zero value is empty.
type Ledger struct {
	// start is the beginning of slot 0 and slot the number of the latest slot.
	start time.Time
	slot  int64
	ranks map[int]*rankUse
	// totals is the use by rank, with that of requests without a customer.
	totals map[int]*rankTotal
	// sharing is true while the ranks from sharedFrom on have one count, which is in totals as that of sharedFrom.
	sharing    bool
	sharedFrom int
	// accounts is the number of accounts of all ranks.
	accounts int
}

// rankUse is the use of one rank's customers.
type rankUse struct {
	total    time.Duration
	accounts map[dogwoodfleet.Customer]*account
	// squares holds the sums of the squared seconds of single requests by slot. The use of customers that send alike varies
	// by chance, and more with larger requests.
	squares   [slotCount]float64
	squareSum float64
}

// account is the use of one customer. An account without any use is dropped.
type account struct {
	used time.Duration
	// slots holds the use of slot n at n modulo slotCount.
	slots [slotCount]time.Duration
}

// Record adds use. Use that is learnt late counts at the time at which it began.
func (ledger *Ledger) Record(now time.Time, use Use) {
	slot, took, recent := ledger.locate(now, &use)
	if !recent {
		return
	}
	ledger.recordRank(&use, slot, took)
	if use.Customer == "" {
		return
	}
	rank := ledger.ranks[use.Rank]
	if rank == nil || rank.accounts[use.Customer] == nil {
		rank = ledger.open(use.Rank, use.Customer)
	}
	account := rank.accounts[use.Customer]
	account.slots[indexOf(slot)] += took
	account.used += took
	rank.total += took
	square := took.Seconds() * took.Seconds()
	rank.squares[indexOf(slot)] += square
	rank.squareSum += square
}

// locate returns the slot and the engine time of a use, and false if it is older than Window.
func (ledger *Ledger) locate(now time.Time, use *Use) (slot int64, took time.Duration, recent bool) {
	ledger.advance(now)
	slot, took = min(ledger.slotOf(use.At), ledger.slot), use.Time
	if took <= 0 {
		took = UnknownTime
	}
	return slot, took, slot > ledger.slot-slotCount
}

// Remove takes back use that was recorded with the same values, as its request never ran. An account that was dropped in the meantime
// may hold less than that.
func (ledger *Ledger) Remove(now time.Time, use Use) {
	slot, took, recent := ledger.locate(now, &use)
	if !recent {
		return
	}
	ledger.removeRank(&use, slot, took)
	rank := ledger.ranks[use.Rank]
	if rank == nil || rank.accounts[use.Customer] == nil {
		return
	}
	account, i := rank.accounts[use.Customer], indexOf(slot)
	square := min(took.Seconds()*took.Seconds(), rank.squares[i])
	rank.squares[i] -= square
	rank.squareSum = max(rank.squareSum-square, 0)
	took = min(took, account.slots[i])
	account.slots[i] -= took
	account.used -= took
	rank.total -= took
	if account.used == 0 {
		ledger.drop(use.Rank, use.Customer)
	}
}

// open adds an account, in place of the one with the least use if there are too many: the customers with the most use are
// those that the ledger must know.
func (ledger *Ledger) open(number int, customer dogwoodfleet.Customer) *rankUse {
	if ledger.accounts >= maxAccounts {
		ledger.dropLeast()
	}
	rank := ledger.ranks[number]
	if rank == nil {
		if ledger.ranks == nil {
			ledger.ranks = map[int]*rankUse{}
		}
		rank = &rankUse{accounts: map[dogwoodfleet.Customer]*account{}}
		ledger.ranks[number] = rank
	}
	rank.accounts[customer] = &account{}
	ledger.accounts++
	return rank
}

// dropLeast drops the account with the least use of the rank with the most accounts.
func (ledger *Ledger) dropLeast() {
	largest, most := 0, 0
	for number, rank := range ledger.ranks {
		if len(rank.accounts) > most {
			largest, most = number, len(rank.accounts)
		}
	}
	var leastCustomer dogwoodfleet.Customer
	least := time.Duration(-1)
	for customer, account := range ledger.ranks[largest].accounts {
		if least < 0 || account.used < least {
			least, leastCustomer = account.used, customer
		}
	}
	ledger.drop(largest, leastCustomer)
}

func (ledger *Ledger) drop(number int, customer dogwoodfleet.Customer) {
	rank := ledger.ranks[number]
	rank.total -= rank.accounts[customer].used
	delete(rank.accounts, customer)
	ledger.accounts--
	if len(rank.accounts) == 0 {
		delete(ledger.ranks, number)
	}
}

// advance forgets what is older than Window.
func (ledger *Ledger) advance(now time.Time) {
	if ledger.start.IsZero() {
		ledger.start = now.Add(-Window)
	}
	latest := ledger.slotOf(now)
	if latest <= ledger.slot {
		return
	}
	first := max(ledger.slot+1, latest-slotCount+1)
	ledger.slot = latest
	ledger.forgetRanks(first, latest)
	for number, rank := range ledger.ranks {
		for slot := first; slot <= latest; slot++ {
			rank.squares[indexOf(slot)] = 0
		}
		rank.squareSum = 0 // summed anew, so that rounding errors don't add up
		for _, square := range rank.squares {
			rank.squareSum += square
		}
		for customer, account := range rank.accounts {
			for slot := first; slot <= latest; slot++ {
				forgotten := &account.slots[indexOf(slot)]
				account.used -= *forgotten
				rank.total -= *forgotten
				*forgotten = 0
			}
			if account.used == 0 {
				ledger.drop(number, customer)
			}
		}
	}
}

// slotOf returns the number of the slot of a time. The times before slot 0 are in slot 0 or in negative ones.
func (ledger *Ledger) slotOf(at time.Time) int64 {
	return int64(at.Sub(ledger.start) / slotLength)
}

func indexOf(slot int64) int64 {
	return (slot%slotCount + slotCount) % slotCount
}

// IsEmpty reports whether nobody has used anything within Window.
func (ledger *Ledger) IsEmpty(now time.Time) bool {
	ledger.advance(now)
	return len(ledger.totals) == 0
}

// Excess returns a customer's use as a multiple of an equal share among the customers of the rank that were active within
// Window. It is at most 1 for a customer within its share.
func (ledger *Ledger) Excess(now time.Time, customer dogwoodfleet.Customer, rank int) float64 {
	ledger.advance(now)
	return ledger.standing(customer, rank, 0).Excess
}

// UntilFair returns the time until a customer's use falls to its share, if it uses nothing more and the other active
// customers use as much as before. It is at most Window.
func (ledger *Ledger) UntilFair(now time.Time, customer dogwoodfleet.Customer, number int) time.Duration {
	ledger.advance(now)
	rank := ledger.ranks[number]
	if rank == nil || rank.accounts[customer] == nil || len(rank.accounts) == 1 {
		return 0
	}
	// With u its use, o that of the others and n active customers, u is an equal share if u = (o+u)/n, that is u = o/(n-1).
	account := rank.accounts[customer]
	fair := (rank.total - account.used) / time.Duration(len(rank.accounts)-1)
	left, wait := account.used, time.Duration(0)
	for slot := ledger.slot - slotCount + 1; slot <= ledger.slot && left > fair; slot++ {
		left -= account.slots[indexOf(slot)]
		wait = ledger.start.Add(time.Duration(slot+slotCount) * slotLength).Sub(now)
	}
	return wait
}

// AddUses adds the use of each customer within Window, in all ranks, to a total by customer.
func (ledger *Ledger) AddUses(now time.Time, total map[dogwoodfleet.Customer]time.Duration) {
	ledger.advance(now)
	for _, rank := range ledger.ranks {
		for customer, account := range rank.accounts {
			total[customer] += account.used
		}
	}
}
