// Package dogwoodretry decides whether a request may be retried after a failed try.
//
// Load pattern: after an outage, or while an endpoint keeps failing, each failure causes
// a retry, and the retries keep the fleet overloaded. A token bucket for each customer and
// service limits retries to a tenth of first tries. A request that is not repeatable is
// retried only if it certainly did not run, and no request is retried that can't finish by
// its deadline. Without these rules a fault of seconds becomes an overload of minutes, and
// a reservation is held twice.
package dogwoodretry

import (
	"math/rand/v2"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// Share is the number of retries that each first try adds to the budget. At 0.1,
	// retries add at most a tenth to the load, which is less than the headroom that any
	// service runs with.
	Share = 0.1
	// Burst is the capacity of a bucket, and thus the number of retries available at once to
	// a customer that seldom calls. It covers the requests of a few callers on one endpoint
	// that died.
	Burst = 10
	// startBurst is the number of retries that a process has at its start, for all customers and services together.
	startBurst = 10
	// fillTime is the time after the start of a process within which its buckets fill.
	fillTime = 10 * time.Second
	// Backoff is the mean wait before the first retry; it doubles with each retry. The first
	// wait can be short because a retry goes to another endpoint.
	Backoff = 20 * time.Millisecond
	// MaxBackoff bounds the mean wait before a retry.
	MaxBackoff = 2 * time.Second
	// MaxTries bounds the tries of a request. With the doubling backoff, eight tries span
	// about 2.5 s, roughly the time that an engine takes to restart. With four, a request
	// that met two restarting engines failed after 0.3 s, long before its deadline.
	MaxTries = 8
	// bucketTTL is the time after its last use at which a bucket is dropped.
	bucketTTL = 10 * time.Minute
)

// Failure describes a failed try.
type Failure struct {
	Customer   dogwoodfleet.Customer
	Service    dogwoodfleet.Service
	State      dogwoodfleet.RunState
	Reason     dogwoodfleet.Reason
	Repeatable bool
	// Streamed is true if part of the answer was sent to the caller. The answer of another
	// run can't continue it.
	Streamed bool
	// Try is the number of the try, starting at 1.
	Try int
	// Left is the time until the deadline; PredictedRun is the predicted duration of a run.
	Left, PredictedRun time.Duration
	// After is the minimum wait that the refusal asked for; 0 if it asked for none.
	After time.Duration
}

// Verdict is the decision on a retry.
type Verdict struct {
	Retry bool
	Wait  time.Duration
	// Why is the reason for denying the retry.
	Why string
}

type bucketKey struct {
	customer dogwoodfleet.Customer
	service  dogwoodfleet.Service
}

type bucket struct {
	tokens   float64
	lastUsed time.Time
}

// Budget holds the token buckets that limit the retries of an entry daemon. It is not
// safe for concurrent use.
type Budget struct {
	started time.Time
	// startTokens are what is left of startBurst.
	startTokens int
	buckets     map[bucketKey]*bucket
	lastSweep   time.Time
}

// NewBudget returns the budget of a process that starts now. Its buckets fill in the course of fillTime: a process that
// starts in place of one that ended does not know what that had spent. Until then all of them share a few more retries.
func NewBudget(now time.Time) *Budget {
	return &Budget{started: now, startTokens: startBurst, buckets: map[bucketKey]*bucket{}}
}

// First records a first try, which adds Share to the bucket of its customer and service.
func (budget *Budget) First(now time.Time, customer dogwoodfleet.Customer, service dogwoodfleet.Service) {
	bucket := budget.bucket(now, bucketKey{customer, service})
	bucket.tokens = min(bucket.tokens+Share, Burst)
}

// Decide returns whether the request may be retried after the failed try, and if so takes a
// token from the bucket of its customer and service.
func (budget *Budget) Decide(now time.Time, failure Failure, random *rand.Rand) Verdict {
	if reason := denialReason(failure); reason != "" {
		return Verdict{Why: reason}
	}
	wait := backoff(failure, random)
	if wait+failure.PredictedRun >= failure.Left {
		return Verdict{Why: "no time left for another try"}
	}
	if !budget.take(now, bucketKey{failure.Customer, failure.Service}) {
		return Verdict{Why: "the retry budget of the customer is used up"}
	}
	return Verdict{Retry: true, Wait: wait}
}

// take takes a token of the bucket, or one of those that a process has at its start.
func (budget *Budget) take(now time.Time, key bucketKey) bool {
	bucket := budget.bucket(now, key)
	switch {
	case bucket.tokens >= 1:
		bucket.tokens--
	case now.Sub(budget.started) < fillTime && budget.startTokens > 0:
		budget.startTokens--
	default:
		return false
	}
	return true
}

// denialReason returns why the failure itself rules out a retry, or "" if it doesn't.
func denialReason(failure Failure) string {
	switch {
	case failure.Streamed:
		return "part of the answer was sent"
	case failure.State != dogwoodfleet.NotRun && !failure.Repeatable:
		return "it may have run and is not repeatable"
	case failure.Try >= MaxTries:
		return "the maximum number of tries is reached"
	}
	switch failure.Reason {
	case dogwoodfleet.ReasonEndpointDied, dogwoodfleet.ReasonNoEndpoint, dogwoodfleet.ReasonShutdown,
		dogwoodfleet.ReasonInternal, dogwoodfleet.ReasonDependency:
		return ""
	default:
		return "another try would fail in the same way"
	}
}

// backoff returns the wait before the next try. It is uniformly distributed between 0.5
// and 1.5 times its mean, so that requests that failed together aren't retried together.
func backoff(failure Failure, random *rand.Rand) time.Duration {
	mean := min(Backoff<<max(failure.Try-1, 0), MaxBackoff)
	return max(failure.After, mean/2+time.Duration(random.Int64N(int64(mean))))
}

func (budget *Budget) bucket(now time.Time, key bucketKey) *bucket {
	budget.sweep(now)
	found := budget.buckets[key]
	if found == nil {
		found = &bucket{tokens: min(Burst, Burst*now.Sub(budget.started).Seconds()/fillTime.Seconds())}
		budget.buckets[key] = found
	}
	found.lastUsed = now
	return found
}

func (budget *Budget) sweep(now time.Time) {
	if now.Sub(budget.lastSweep) < bucketTTL {
		return
	}
	budget.lastSweep = now
	for key, bucket := range budget.buckets {
		if now.Sub(bucket.lastUsed) > bucketTTL {
			delete(budget.buckets, key)
		}
	}
}
