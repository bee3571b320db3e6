// Package dogwoodadmission decides which requests are admitted to the queue, which one is
// served next and which are rejected.
//
// Load patterns it handles, and what would happen otherwise:
//
//   - Overload. Work that can't finish by its deadline is rejected on arrival, because
//     serving it would spend capacity on an answer that nobody uses. Without this check a
//     queue at twice the capacity holds only late work and goodput falls to zero.
//   - A hot customer. Start-time fair queueing over customers, by cost, gives each active
//     customer a share proportional to its weight. Without it the customer that sends the
//     most gets the most.
//   - Long prompts among short ones. Within a customer, short work goes before long work,
//     whose priority rises as it ages. The short and the long band share the slots, with a
//     guaranteed minimum share for long work. Without this a short draft waits behind a
//     long review of a thousand times its cost, or the reviews never start.
//   - A full queue. The customer furthest above its share loses its newest waiting work.
//     Without this the queue fills with the hot customer's work and all others are rejected.
//
// The queue is deterministic: the caller passes in the time and the free capacity. It
// allocates only when it sees a customer for the first time.
package dogwoodadmission

import "time"

const (
	// MinLongShare is the minimum share of the served cost that waiting long work gets while
	// short work waits too. A fiftieth of the requests, at a hundred times the median cost,
	// makes up two thirds of the demand by cost. A fifth lets each long prompt start within
	// its deadline of minutes and leaves four fifths of the slots to short ones.
	MinLongShare = 0.2
	// DecodeCost is the engine time of one output token, in prompt tokens. On the engine
	// stand-in prefill runs at 400,000 tokens a second and a full batch decodes 3,200, a
	// ratio of 125; published price ratios lie between 3 and 5. The geometric mean of these
	// extremes is about 24.
	DecodeCost = 24
	// MaxDelayFactor bounds, as a multiple of a request's predicted service time, how long later
	// and shorter work of the same customer may delay it. Users of interactive systems
	// still attribute a fourfold slowdown to the answer itself. With it a 0.3 s draft goes
	// before a 5 s review that arrived up to 19 s earlier.
	MaxDelayFactor = 4
	// WaitMargin multiplies the predicted wait when checking whether work meets its
	// deadline. On the overload trace actual waits lie within an eighth of the corrected
	// prediction. Work rejected on arrival can go elsewhere; work rejected after waiting
	// can't.
	WaitMargin = 1.125
	// MaxWaiting bounds the length of a queue. At 150 requests a second for each daemon it
	// holds 27 s of arrivals, longer than a short request may wait, and each waiting call
	// takes about 8 KB.
	MaxWaiting = 4096
	// MinRetryAfter is the shortest retry delay given to a rejected caller. With less than
	// a second callers return to the same queue.
	MinRetryAfter = time.Second
	// MaxRetryAfter is the longest retry delay. Predictions beyond half a minute are
	// unreliable.
	MaxRetryAfter = 30 * time.Second
)
