package dogwoodadmission

import (
	"math"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Capacity is the number of requests that the queue's endpoints can run at once.
type Capacity struct {
	// Slots is the sum of the endpoints' limits. LongSlots is how many of them long prompts
	// may occupy.
	Slots, LongSlots int
}

// Verdict is the result of Queue.Offer.
type Verdict struct {
	Admitted bool
	// Reason is why the work was rejected.
	Reason dogwoodfleet.Reason
	// RetryAfter is the delay after which the work would probably be admitted.
	RetryAfter time.Duration
	// Wait is the predicted wait.
	Wait time.Duration
	// Shed is the waiting work removed to make room, or nil. The caller rejects it.
	Shed *Work
}

// Queue holds the waiting work for a set of interchangeable endpoints. It is not safe for
// concurrent use.
type Queue struct {
	rates    *Rates
	weight   func(dogwoodfleet.Customer) float64
	accounts map[dogwoodfleet.Customer]*account
	active   []*account
	bands    [2]band
	waiting  int
	limit    int
	// correction is the moving mean of the ratio of actual to predicted waits.
	correction float64
}

// NewQueue returns an empty queue for at most limit waiting requests. The weight function
// returns a customer's weight; a weight that isn't positive counts as 1.
func NewQueue(rates *Rates, limit int, weight func(dogwoodfleet.Customer) float64) *Queue {
	return &Queue{
		rates: rates, weight: weight, limit: limit, correction: 1,
		accounts: map[dogwoodfleet.Customer]*account{},
		bands:    [2]band{{share: 1 - MinLongShare}, {share: MinLongShare}},
	}
}

// Len returns the number of waiting requests.
func (queue *Queue) Len() int {
	return queue.waiting
}

// Predict returns how long work would wait if it arrived now: the time that the customer's
// work ahead of it takes at the customer's share of the slots, bounded by the time that all
// waiting work takes on all slots.
func (queue *Queue) Predict(work *Work, capacity Capacity) time.Duration {
	queue.estimateWork(work)
	return queue.correctedWait(queue.predictWait(queue.accounts[work.Customer], work, capacity))
}

// Backlog returns how long the waiting short work takes on all slots.
func (queue *Queue) Backlog(capacity Capacity) time.Duration {
	return queue.correctedWait(queue.bands[0].service / time.Duration(max(capacity.Slots, 1)))
}

// estimateWork sets the work's class, cost, service times and rank.
func (queue *Queue) estimateWork(work *Work) {
	work.class = ClassOf(work.PromptTokens)
	work.cost = Cost(work.PromptTokens, queue.rates.Output(work.PromptTokens, work.MaxTokens))
	work.expected, work.service = queue.rates.Predict(work.PromptTokens, work.MaxTokens)
	work.rank = work.computeRank()
}

func (queue *Queue) correctedWait(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * queue.correction)
}

func (queue *Queue) predictWait(account *account, work *Work, capacity Capacity) time.Duration {
	index := bandOf(work.class)
	band := &queue.bands[index]
	if band.service == 0 {
		return 0
	}
	slots := float64(capacity.Slots)
	if index == 1 {
		slots = float64(capacity.LongSlots)
	} else if queue.bands[1].service > 0 {
		slots = max(slots*band.share, slots-float64(capacity.LongSlots))
	}
	weights, ahead, weight := band.weight, time.Duration(0), 0.0
	if account != nil {
		weight = account.weight
		ahead = account.flows[index].serviceAhead(work.rank)
	}
	if account == nil || account.flows[index].waiting == 0 {
		weight = queue.weightOf(work.Customer)
		weights += weight
	}
	before := min(float64(ahead)*weights/weight, float64(band.service))
	return time.Duration(before / max(slots, 1))
}

// Offer admits work to the queue or rejects it.
func (queue *Queue) Offer(now time.Time, work *Work, capacity Capacity) Verdict {
	queue.estimateWork(work)
	account := queue.account(work.Customer)
	work.predicted = queue.predictWait(account, work, capacity)
	wait := queue.correctedWait(work.predicted)
	if late := now.Add(time.Duration(WaitMargin * float64(wait))).Add(work.service).Sub(work.Deadline); late > 0 {
		return Verdict{Reason: dogwoodfleet.ReasonDeadline, RetryAfter: RetryAfter(late), Wait: wait}
	}
	verdict := Verdict{Admitted: true, Wait: wait}
	if queue.waiting >= queue.limit {
		shedFrom := queue.mostOverShare(account, work.cost)
		if shedFrom == account {
			return Verdict{Reason: dogwoodfleet.ReasonShare, RetryAfter: RetryAfter(wait), Wait: wait}
		}
		verdict.Shed = shedFrom.newest()
		queue.Remove(verdict.Shed)
	}
	queue.insert(account, work)
	return verdict
}

// RetryAfter clamps a predicted delay to the range from MinRetryAfter to MaxRetryAfter.
func RetryAfter(delay time.Duration) time.Duration {
	return min(max(delay, MinRetryAfter), MaxRetryAfter)
}

func (account *account) newest() *Work {
	short, long := account.flows[0].newest(), account.flows[1].newest()
	if short == nil || long != nil && long.Arrived.After(short.Arrived) {
		return long
	}
	return short
}

// mostOverShare returns the account with the highest waiting cost per weight, with the cost
// of the arriving work added to its account. If the arriving work's account is below its
// share, another account is above its own, so the arriving work isn't rejected.
func (queue *Queue) mostOverShare(arriving *account, cost float64) *account {
	highest, highestCost := arriving, (arriving.cost+cost)/arriving.weight
	for _, account := range queue.active {
		if costPerWeight := account.cost / account.weight; costPerWeight > highestCost && account != arriving {
			highest, highestCost = account, costPerWeight
		}
	}
	return highest
}

func bandOf(class Class) int {
	if class.Long() {
		return 1
	}
	return 0
}

func (queue *Queue) weightOf(customer dogwoodfleet.Customer) float64 {
	if weight := queue.weight(customer); weight > 0 {
		return weight
	}
	return 1
}

func (queue *Queue) account(customer dogwoodfleet.Customer) *account {
	if existing := queue.accounts[customer]; existing != nil {
		if existing.waiting == 0 {
			existing.weight = queue.weightOf(customer)
		}
		return existing
	}
	added := &account{customer: customer, weight: queue.weightOf(customer), activeIndex: -1}
	for i := range added.flows {
		added.flows[i].account = added
		added.flows[i].heapIndex = -1
	}
	queue.accounts[customer] = added
	return added
}

func (queue *Queue) insert(account *account, work *Work) {
	index := bandOf(work.class)
	band, flow := &queue.bands[index], &account.flows[index]
	if flow.waiting == 0 {
		flow.startTag = max(flow.startTag, band.virtualTime)
		if len(band.flows) == 0 {
			// A band that was idle catches up with the other, so that it accumulates no credit.
			band.servedPerShare = max(band.servedPerShare, queue.bands[1-index].servedPerShare)
		}
		band.push(flow)
		band.weight += account.weight
	}
	flow.lists[work.class].insert(work)
	flow.service[work.class] += work.expected
	flow.waiting++
	work.flow = flow
	band.service += work.expected
	account.cost += work.cost
	account.waiting++
	if account.activeIndex < 0 {
		account.activeIndex = len(queue.active)
		queue.active = append(queue.active, account)
	}
	queue.waiting++
}

// Remove removes withdrawn work from the queue. It ignores work that isn't waiting.
func (queue *Queue) Remove(work *Work) {
	flow := work.flow
	if flow == nil {
		return
	}
	work.flow = nil
	account := flow.account
	band := &queue.bands[bandOf(work.class)]
	flow.lists[work.class].remove(work)
	flow.service[work.class] -= work.expected
	flow.waiting--
	band.service -= work.expected
	account.cost -= work.cost
	account.waiting--
	queue.waiting--
	if flow.waiting == 0 {
		band.removeAt(flow.heapIndex)
		band.weight -= account.weight
		if len(band.flows) == 0 {
			band.weight, band.service = 0, 0
		}
	}
	if account.waiting == 0 {
		account.cost = 0
		last := len(queue.active) - 1
		queue.active[account.activeIndex] = queue.active[last]
		queue.active[account.activeIndex].activeIndex = account.activeIndex
		queue.active[last] = nil
		queue.active = queue.active[:last]
		account.activeIndex = -1
	}
}

// maxFlowsTried bounds how many customers are tried when the first one's work fits no
// endpoint. A few requests at the front, such as retries that avoid the only free endpoint,
// then don't block the rest, and a full fleet doesn't cause a scan of all customers.
const maxFlowsTried = 8

// Next returns the next work to grant for which fits returns true, or nil. The work stays in
// the queue: the caller calls Take once it has granted it, or Remove if it rejects it.
func (queue *Queue) Next(fits func(*Work) bool) *Work {
	first := 0
	if queue.bands[1].servedPerShare < queue.bands[0].servedPerShare || len(queue.bands[0].flows) == 0 {
		first = 1
	}
	if work := queue.bands[first].nextWork(fits); work != nil {
		return work
	}
	return queue.bands[1-first].nextWork(fits)
}

// NextLong returns the long work that is next by share and rank, or nil. It doesn't check
// whether an endpoint has room for it.
func (queue *Queue) NextLong() *Work {
	if flows := queue.bands[1].flows; len(flows) > 0 {
		return flows[0].lowestRanked()
	}
	return nil
}

// All returns the waiting work in unspecified order.
func (queue *Queue) All() []*Work {
	all := make([]*Work, 0, queue.waiting)
	for _, account := range queue.active {
		for i := range account.flows {
			for class := range account.flows[i].lists {
				for work := account.flows[i].lists[class].first; work != nil; work = work.next {
					all = append(all, work)
				}
			}
		}
	}
	return all
}

// nextWork returns the first work that fits, or nil. It tries flows in heap order; after the
// first flow this is only roughly the order of the start tags.
func (band *band) nextWork(fits func(*Work) bool) *Work {
	for i := range min(len(band.flows), maxFlowsTried) {
		flow := band.flows[i]
		work := flow.lowestRanked()
		if fits(work) {
			return work
		}
		for class := range flow.lists {
			candidate := flow.lists[class].first
			if candidate != nil && candidate != work && fits(candidate) {
				return candidate
			}
		}
	}
	return nil
}

// Take removes granted work from the queue and charges its cost to its customer and band.
func (queue *Queue) Take(now time.Time, work *Work) {
	flow := work.flow
	band := &queue.bands[bandOf(work.class)]
	band.virtualTime = max(band.virtualTime, flow.startTag)
	flow.startTag += work.cost / flow.account.weight
	band.servedPerShare += work.cost / band.share
	if flow.heapIndex >= 0 {
		band.fix(flow.heapIndex)
	}
	queue.Remove(work)
	queue.updateCorrection(now.Sub(work.Arrived), work.predicted)
	if band.virtualTime > rebaseThreshold {
		queue.rebase()
	}
}

const (
	// minLearnedWait is the shortest predicted wait that updates the correction. Shorter
	// ones stand for a request or two, where rounding dominates.
	minLearnedWait = 200 * time.Millisecond
	// correctionGain is the weight of a new observation. It is small because a wait is
	// observed a whole wait after its prediction: with a higher gain the number of admitted
	// requests oscillates.
	correctionGain = 1.0 / 128
	// maxCorrection bounds the observed ratio, and its inverse.
	maxCorrection = 2
)

// updateCorrection updates the correction from an actual wait and its uncorrected prediction.
// Comparing with the corrected prediction would feed past corrections back into the loop.
func (queue *Queue) updateCorrection(actual, predicted time.Duration) {
	if predicted < minLearnedWait {
		return
	}
	ratio := float64(actual) / float64(predicted)
	ratio = min(max(ratio, 1.0/maxCorrection), maxCorrection)
	queue.correction += correctionGain * (ratio - queue.correction)
}

// Expire removes work that can no longer meet its deadline and updates the correction with
// its wait. If only served work updated it, the wait in an overlong queue would be
// underestimated.
func (queue *Queue) Expire(now time.Time, work *Work) {
	if work.flow == nil {
		return
	}
	queue.Remove(work)
	queue.updateCorrection(now.Sub(work.Arrived), work.predicted)
}

// rebaseThreshold keeps virtual times in the range where a float64 resolves single tokens.
const rebaseThreshold = 1 << 50

// rebase shifts the virtual times back towards zero and drops idle customers.
func (queue *Queue) rebase() {
	for i := range queue.bands {
		band := &queue.bands[i]
		for _, account := range queue.accounts {
			account.flows[i].startTag = max(0, account.flows[i].startTag-band.virtualTime)
		}
		band.virtualTime = 0
	}
	lowest := math.Min(queue.bands[0].servedPerShare, queue.bands[1].servedPerShare)
	queue.bands[0].servedPerShare -= lowest
	queue.bands[1].servedPerShare -= lowest
	queue.DropIdle()
}

// DropIdle drops customers that have no waiting work and whose start tags aren't ahead of the
// virtual time, so that customers that never return hold no memory. Call it periodically.
func (queue *Queue) DropIdle() {
	for customer, account := range queue.accounts {
		idle := account.waiting == 0 &&
			account.flows[0].startTag <= queue.bands[0].virtualTime && account.flows[1].startTag <= queue.bands[1].virtualTime
		if idle {
			delete(queue.accounts, customer)
		}
	}
}
