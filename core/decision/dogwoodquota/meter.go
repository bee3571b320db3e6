package dogwoodquota

import (
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Report is sent by an entry to a customer's home.
type Report struct {
	Customer dogwoodfleet.Customer
	// Demand is the rate of arrivals, both admitted and rejected.
	Demand Rate
}

// Share is the home's reply to a report.
type Share struct {
	Customer dogwoodfleet.Customer
	Rate     Rate
	// Next is the time until the next report. The share is valid for ValidFor times as long.
	Next time.Duration
	// Pressed is true if the customer's demand is near its limit, so that an early report
	// wouldn't bring a larger share.
	Pressed bool
}

// Meter admits requests at one entry. It is not safe for concurrent use.
type Meter struct {
	limit     func(dogwoodfleet.Customer) Rate
	customers map[dogwoodfleet.Customer]*usage
}

// usage tracks one customer's traffic at this entry.
type usage struct {
	limit        Rate
	remaining    Rate // left to admit now; tokens may be negative
	filledAt     time.Time
	share        Rate
	shareExpires time.Time
	demand       Rate // counts since the last report
	reportedAt   time.Time
	reportDue    time.Time
	exhausted    bool
	pressed      bool // Share.Pressed: no early report when exhausted
	lastSeen     time.Time
}

// NewMeter returns a meter. The limit function returns a customer's limit over all entries.
func NewMeter(limit func(dogwoodfleet.Customer) Rate) *Meter {
	return &Meter{limit: limit, customers: map[dogwoodfleet.Customer]*usage{}}
}

// Admit admits a request or returns the delay before a retry. A request with more tokens than
// are left is admitted and the later ones wait until the debt is paid off; otherwise a long
// prompt would never be admitted.
func (meter *Meter) Admit(now time.Time, customer dogwoodfleet.Customer, tokens, daemons int) (retryAfter time.Duration, ok bool) {
	limit := meter.limit(customer)
	if limit == (Rate{}) {
		return 0, true
	}
	usage := meter.customers[customer]
	if usage == nil {
		usage = newUsage(now, limit, daemons)
		meter.customers[customer] = usage
	}
	usage.limit, usage.lastSeen = limit, now
	usage.refill(now, daemons)
	usage.demand = usage.demand.add(Rate{Requests: 1, Tokens: float64(tokens)})
	lacksRequests := limit.Requests > 0 && usage.remaining.Requests < 1
	lacksTokens := limit.Tokens > 0 && usage.remaining.Tokens <= 0
	if lacksRequests || lacksTokens {
		usage.exhausted = true
		return usage.retryAfter(now, daemons), false
	}
	usage.remaining.Requests--
	usage.remaining.Tokens -= float64(tokens)
	if limit.Requests > 0 && usage.remaining.Requests < 1 || limit.Tokens > 0 && usage.remaining.Tokens <= 0 {
		usage.exhausted = true // the next request would be rejected: report before it arrives
	}
	return 0, true
}

// newUsage starts with a full bucket at the floor rate. An entry that sees a customer for the
// first time can then admit requests before it has a share, and needs no share for a customer
// that rarely calls.
func newUsage(now time.Time, limit Rate, daemons int) *usage {
	usage := &usage{limit: limit, filledAt: now, reportedAt: now, reportDue: now.Add(farInterval)}
	usage.remaining = usage.bucketSize(now, daemons)
	return usage
}

// bucketSize returns the maximum that may be admitted at once.
func (usage *usage) bucketSize(now time.Time, daemons int) Rate {
	size := usage.rate(now, daemons).scaled(burst.Seconds())
	size.Requests = max(size.Requests, minBurst)
	size.Tokens = max(size.Tokens, 1)
	return size
}

// floorRate returns an entry's equal part of the reserve.
func floorRate(limit Rate, daemons int) Rate {
	return limit.scaled(Reserve / float64(max(daemons, 1)))
}

func (usage *usage) rate(now time.Time, daemons int) Rate {
	floor := floorRate(usage.limit, daemons)
	if now.After(usage.shareExpires) {
		return floor
	}
	return usage.share.add(floor)
}

func (usage *usage) refill(now time.Time, daemons int) {
	rate := usage.rate(now, daemons)
	elapsed := now.Sub(usage.filledAt).Seconds()
	usage.filledAt = now
	usage.remaining = usage.remaining.add(rate.scaled(elapsed)).minimum(usage.bucketSize(now, daemons))
}

// retryAfter returns the time until the bucket covers a request again, at least a second, since
// a new share can't arrive sooner.
func (usage *usage) retryAfter(now time.Time, daemons int) time.Duration {
	rate := usage.rate(now, daemons)
	lackSeconds := 0.0
	if usage.limit.Requests > 0 {
		lackSeconds = (1 - usage.remaining.Requests) / rate.Requests
	}
	if usage.limit.Tokens > 0 && usage.remaining.Tokens <= 0 {
		lackSeconds = max(lackSeconds, -usage.remaining.Tokens/rate.Tokens)
	}
	const maxSeconds = 30.0 // longer predictions are unreliable
	return max(time.Second, time.Duration(min(lackSeconds, maxSeconds)*float64(time.Second)))
}

// Due returns the reports to send now and drops idle customers.
func (meter *Meter) Due(now time.Time) []Report {
	var reports []Report
	for customer, usage := range meter.customers {
		if now.Sub(usage.lastSeen) > idleTimeout {
			delete(meter.customers, customer)
			continue
		}
		elapsed := now.Sub(usage.reportedAt)
		if now.Before(usage.reportDue) && (!usage.exhausted || usage.pressed || elapsed < minInterval) || usage.demand == (Rate{}) {
			continue
		}
		reports = append(reports, Report{Customer: customer, Demand: usage.demand.scaled(1 / max(elapsed, minInterval).Seconds())})
		usage.demand, usage.reportedAt, usage.exhausted = Rate{}, now, false
		usage.reportDue = now.Add(nearInterval) // replaced by the reply
	}
	return reports
}

// Learn records a share received from a home.
func (meter *Meter) Learn(now time.Time, share Share, daemons int) {
	usage := meter.customers[share.Customer]
	if usage == nil {
		return
	}
	usage.refill(now, daemons)
	hadNoShare := now.After(usage.shareExpires)
	usage.pressed = share.Pressed
	usage.share, usage.shareExpires, usage.reportDue = share.Rate, now.Add(ValidFor*share.Next), now.Add(share.Next)
	if hadNoShare {
		usage.remaining = usage.remaining.add(share.Rate)
	}
}
