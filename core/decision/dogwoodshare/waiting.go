package dogwoodshare

import (
	"math"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// RefusalExcess is the excess from which a customer's waiting requests are refused while other customers' wait.
const RefusalExcess = 2

const (
	// chanceDeviations is the number of standard deviations by which the use of customers that send alike may differ from
	// their share by chance. Without it, ten equal customers at 1.2 times the capacity had 0.74 of their requests in time
	// instead of 0.83, since those just above their share went after late ones.
	chanceDeviations = 2
	// standingWait is the wait from which engines count as short. Shorter ones occur by chance with room left: at seven
	// tenths of the capacity, 39 of some 530 requests of a customer that sent half of them were refused without it.
	standingWait = 100 * time.Millisecond
)

// Claim is a customer with a rank in which it has a request that waits.
type Claim struct {
	Service  dogwoodfleet.Service
	Rank     int
	Customer dogwoodfleet.Customer
}

// Standing compares a customer's use with its share. The zero value is that of a customer without any use.
type Standing struct {
	// Used is what it used within Window, Share an equal share among the customers that were active in that time.
	Used, Share time.Duration
	// Excess is Used as a multiple of Share.
	Excess float64
	// QueueExcess is the same with a share among the active customers and those that wait, and 1 if chance may explain the
	// difference. It orders waiting requests: a customer that has used everything alone is otherwise within its share until
	// another one has been served.
	QueueExcess float64
}

// standing compares a customer's use with an equal share among the active customers and some newcomers.
func (ledger *Ledger) standing(customer dogwoodfleet.Customer, number, newcomers int) Standing {
	rank := ledger.ranks[number]
	if rank == nil || rank.accounts[customer] == nil {
		return Standing{}
	}
	used, active := rank.accounts[customer].used, len(rank.accounts)
	// Computed without the rounded share, so that equal customers get exactly 1.
	multiple := func(customers int) float64 { return float64(used) * float64(customers) / float64(rank.total) }
	standing := Standing{Used: used, Share: rank.total / time.Duration(active), Excess: multiple(active), QueueExcess: multiple(active + newcomers)}
	if chance := rank.chance(active + newcomers); used <= rank.total/time.Duration(active+newcomers)+chance {
		standing.QueueExcess = min(standing.QueueExcess, 1)
	}
	return standing
}

// chance returns how far the use of one of a number of customers that send alike is above its share by chance. With
// arrivals at random the variance of their total is the sum of the squared times of its requests.
func (rank *rankUse) chance(customers int) time.Duration {
	return time.Duration(chanceDeviations * math.Sqrt(rank.squareSum/float64(customers)) * float64(time.Second))
}

// Standings returns the standings of the customers of waiting requests, one for each claim. The claims are of the ledger's
// service.
func (ledger *Ledger) Standings(now time.Time, claims []Claim) []Standing {
	ledger.advance(now)
	newcomers, counted := map[int]int{}, map[Claim]bool{}
	for _, claim := range claims {
		rank := ledger.ranks[claim.Rank]
		if claim.Customer == "" || rank != nil && rank.accounts[claim.Customer] != nil || counted[claim] {
			continue
		}
		counted[claim] = true
		newcomers[claim.Rank]++
	}
	standings := make([]Standing, len(claims))
	for i, claim := range claims {
		standings[i] = ledger.standing(claim.Customer, claim.Rank, newcomers[claim.Rank])
	}
	return standings
}

// Waiting is a request that waits.
type Waiting struct {
	Claim
	Standing
	// Since is when it began to wait.
	Since time.Time
}

// Refusals returns which waiting requests are to be refused: those of customers with an excess of RefusalExcess or more,
// not by chance alone, if another customer with a smaller excess waits for the same service in the same rank, and if
// requests there have waited for standingWait. The customer with the smallest excess is never refused, since a slot that
// becomes free would then stay unused.
func Refusals(now time.Time, waiting []Waiting) []bool {
	refused := make([]bool, len(waiting))
	var lines map[Claim]*line
	for i := range waiting {
		request := &waiting[i]
		if request.Excess < RefusalExcess || request.QueueExcess <= 1 {
			continue
		}
		if lines == nil {
			lines = newLines(waiting)
		}
		line := lines[request.line()]
		refused[i] = line.hasLess(request) && now.Sub(line.since) >= standingWait
	}
	return refused
}

// line is what waits for one service in one rank.
type line struct {
	// since is when the request that has waited the longest began to wait.
	since time.Time
	// least is a request of the customer with the smallest excess; nil for none.
	least *Waiting
}

func (waiting *Waiting) line() Claim { return Claim{Service: waiting.Service, Rank: waiting.Rank} }

// hasLess reports whether a request of another customer with a smaller excess waits.
func (line *line) hasLess(request *Waiting) bool {
	return line.least != nil && line.least.Customer != request.Customer && line.least.Excess < request.Excess
}

func newLines(waiting []Waiting) map[Claim]*line {
	lines := map[Claim]*line{}
	for i := range waiting {
		request := &waiting[i]
		known := lines[request.line()]
		if known == nil {
			known = &line{since: request.Since}
			lines[request.line()] = known
		}
		if request.Since.Before(known.since) {
			known.since = request.Since
		}
		if request.Customer != "" && (known.least == nil || request.Excess < known.least.Excess) {
			known.least = request
		}
	}
	return lines
}

// Contend reports whether requests of different customers are among the claims. Shares have no effect otherwise.
func Contend(claims []Claim) bool {
	var first dogwoodfleet.Customer
	for _, claim := range claims {
		switch {
		case claim.Customer == "" || claim.Customer == first:
		case first != "":
			return true
		default:
			first = claim.Customer
		}
	}
	return false
}
