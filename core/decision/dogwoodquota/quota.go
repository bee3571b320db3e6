// Package dogwoodquota enforces a customer's rate limit, in requests and tokens a second,
// across all entry daemons: the daemons that receive the customer's requests, called entries
// below.
//
// Load pattern: a customer with a limit sends through any of 500 entries, today through
// three, tomorrow through others. Without sharing, a limit at each entry is either 500
// times too high or, divided by 500, far too low for a customer that uses three.
//
// Each limited customer has a home, a daemon chosen by hash. An entry reports its demand to
// the home and receives a share of the limit that expires. The home never grants more than
// the limit minus a reserve. An entry without a share uses a floor, its equal part of the
// reserve, so the sum stays within the limit even while the home is unreachable.
//
// Entries report only as often as needed: never if the customer sends nothing, every two
// minutes for customers far below their limit or at once when their share is used up, and
// every two seconds or less often for those near it. The control traffic therefore grows
// with the changes in demand and not with the number of customers.
package dogwoodquota

import "time"

const (
	// Reserve is the fraction of a limit kept for entries without a share. An eighth spread
	// over 500 entries lets each admit an occasional request, after which it reports.
	Reserve = 0.125
	// Headroom is the ratio of an entry's share to its demand far from the limit, so that
	// ordinary growth needs no new report.
	Headroom = 1.5
	// nearHeadroom is Headroom near the limit. It is smaller because what an entry doesn't
	// use of its share is unavailable to the others until its next report.
	nearHeadroom = 1.1
	// nearLimit is the fraction of a limit above which demand counts as near it. Below it,
	// shares including headroom take at most half of the limit. Callers that move to other
	// entries then find capacity there while the shares of the old entries are still valid.
	nearLimit = 1.0 / 3
	// farInterval and nearInterval are the times between reports far from the limit and near
	// it.
	farInterval  = 2 * time.Minute
	nearInterval = 2 * time.Second
	// intervalPerEntry extends the time between reports near the limit for each entry that
	// the customer uses, so that its home receives at most four reports a second.
	intervalPerEntry = 250 * time.Millisecond
	// minInterval is the minimum time between reports of an entry that used up its share.
	minInterval = 500 * time.Millisecond
	// ValidFor is the validity of a share in report intervals, so that a lost report has no
	// effect.
	ValidFor = 3
	// burst is the time for which unused rate accumulates. Requests arrive in clusters of
	// seconds.
	burst = 2 * time.Second
	// minBurst is the number of requests that an entry without a share admits at once. It is
	// enough for a customer that rarely calls and bounds the overrun of all entries together.
	minBurst = 2
	// idleTimeout is the time after which an entry drops its state for a customer without
	// traffic.
	idleTimeout = 5 * time.Minute
)

// Rate is a number of requests and of tokens a second. In a limit, zero means unlimited.
type Rate struct {
	Requests, Tokens float64
}

func (rate Rate) scaled(factor float64) Rate {
	return Rate{Requests: rate.Requests * factor, Tokens: rate.Tokens * factor}
}

func (rate Rate) add(other Rate) Rate {
	return Rate{Requests: rate.Requests + other.Requests, Tokens: rate.Tokens + other.Tokens}
}

func (rate Rate) sub(other Rate) Rate {
	return Rate{Requests: max(rate.Requests-other.Requests, 0), Tokens: max(rate.Tokens-other.Tokens, 0)}
}

func (rate Rate) minimum(other Rate) Rate {
	return Rate{Requests: min(rate.Requests, other.Requests), Tokens: min(rate.Tokens, other.Tokens)}
}

// fractionOf returns the rate as a fraction of the limit, for requests or tokens, whichever is
// larger.
func (rate Rate) fractionOf(limit Rate) float64 {
	fraction := 0.0
	if limit.Requests > 0 {
		fraction = rate.Requests / limit.Requests
	}
	if limit.Tokens > 0 {
		fraction = max(fraction, rate.Tokens/limit.Tokens)
	}
	return fraction
}
