package dogwoodrelay

import (
	"fmt"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodshare"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

// overShareSpread is the mean time after its customer's use has fallen to its share at which a caller that was refused
// comes back. Many of a customer's requests are refused at the same moment.
const overShareSpread = 250 * time.Millisecond

// overShare says why a waiting try was refused while requests of other customers wait.
type overShare struct {
	standing dogwoodshare.Standing
	// untilFair is the time until the customer's use falls to its share.
	untilFair time.Duration
}

func (waiter *waiter) claim() dogwoodshare.Claim {
	request := waiter.placementRequest
	return dogwoodshare.Claim{Service: request.Service, Rank: request.Rank, Customer: request.Customer}
}

// claims returns the claims of all waiters, nil if fewer than two customers wait: their use is of no interest then, and
// the request that waits is mostly one that gets a slot at once.
func (queue *queue) claims() []dogwoodshare.Claim {
	if len(queue.waiters) < 2 {
		return nil
	}
	claims := make([]dogwoodshare.Claim, len(queue.waiters))
	for i, waiter := range queue.waiters {
		claims[i] = waiter.claim()
	}
	if !dogwoodshare.Contend(claims) {
		return nil
	}
	return claims
}

// refreshExcess sets the standing and the excess of each waiter before the waiters are sorted. The caller holds the mutex.
func (queue *queue) refreshExcess(now time.Time) {
	claims := queue.claims()
	var standings []dogwoodshare.Standing
	if claims != nil {
		standings = queue.places.Standings(now, claims)
	}
	for i, waiter := range queue.waiters {
		waiter.standing = dogwoodshare.Standing{}
		if standings != nil {
			waiter.standing = standings[i]
		}
		waiter.request.Excess = waiter.standing.QueueExcess
	}
}

// refuseOverShare refuses waiters of customers that have used far more than their share while those of other customers
// wait, too. It goes by the standings of refreshExcess. The caller holds the mutex.
func (queue *queue) refuseOverShare(now time.Time) {
	claims := queue.claims()
	if claims == nil {
		return
	}
	waiting := make([]dogwoodshare.Waiting, len(claims))
	for i, waiter := range queue.waiters {
		waiting[i] = dogwoodshare.Waiting{Claim: claims[i], Standing: waiter.standing, Since: waiter.since}
	}
	refused := dogwoodshare.Refusals(now, waiting)
	kept := queue.waiters[:0]
	for i, waiter := range queue.waiters {
		if !refused[i] || waiter.mayHaveRun {
			kept = append(kept, waiter)
			continue
		}
		waiter.result <- placementResult{refusal: dogwoodpacking.Full, overShare: &overShare{
			standing: waiter.standing, untilFair: queue.places.UntilFair(now, claims[i]),
		}}
	}
	clear(queue.waiters[len(kept):])
	queue.waiters = kept
}

// overShareError logs the refusal of a request whose customer is over its share, and returns the failure.
func (attempt *attempt) overShareError(overShare *overShare) error {
	request, standing := attempt.request, overShare.standing
	counters.Add("OverShare", 1)
	attempt.relay.options.Logger.Info("A customer is over its share of engine time.", "request", request.ID, "customer", request.Customer,
		"rank", request.Rank, "used", standing.Used, "share", standing.Share, "untilfair", overShare.untilFair)
	return attempt.newFailure(dogwoodfleet.ReasonLimit, overShare.untilFair+dogwoodkernel.Jittered(overShareSpread),
		fmt.Sprintf("the customer has used %s of engine time within %s, and an equal share is %s",
			standing.Used.Round(time.Millisecond), dogwoodshare.Window, standing.Share.Round(time.Millisecond)))
}
