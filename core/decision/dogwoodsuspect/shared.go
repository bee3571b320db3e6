package dogwoodsuspect

import (
	"slices"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// ProvisionalTTL is how long a digest stays convicted while the ends of its endpoints are not confirmed. A
	// daemon that can't reach an endpoint takes it for dead; the store drops the entry of one that is dead
	// well within this time.
	ProvisionalTTL = 6 * time.Second
	// minSharedEndpoints is the number of endpoints that must end under a digest, the last one during a trial,
	// before the digest is convicted, and maxAmbiguousEndpoints the number from which it is convicted although
	// another digest ran on the same endpoints.
	minSharedEndpoints    = 2
	maxAmbiguousEndpoints = 3
	// maxSharedStrikes bounds the strikes that a record keeps: the first ones, those of trials and the latest.
	maxSharedStrikes = 16
	// momentInterval is the time from which two ends are not ends of one rack, and maxProvenMoments the number of
	// moments with ends, none of which a finished run has followed, at which a digest that finished before counts as one
	// that never did.
	momentInterval   = time.Second
	maxProvenMoments = 3
	// rackWindow is the time within which endpoints of one rack end. maxRackTrials ends of trials together with other
	// endpoints convict all the same: several crashing requests at a time must not hide each other.
	rackWindow    = 500 * time.Millisecond
	maxRackTrials = 3
	// SettleTime is how long after the end of an endpoint its other runs, and the ends of its rack, are still being reported.
	SettleTime = 200 * time.Millisecond
)

// sharedStrike is the end of an endpoint that ran a request beside others.
type sharedStrike struct {
	request  dogwoodfleet.RequestID
	endpoint dogwoodfleet.EndpointID
	at       time.Time
	// trial is true if the request ran with a permit because its digest was a suspect.
	trial bool
	// confirmed is true once the endpoint's entry is gone or another instance has its address.
	confirmed bool
	// oneOfARack is true once an endpoint is known to have ended together with this one. The ledger forgets that endpoint
	// when its requests have finished elsewhere.
	oneOfARack bool
}

// endedEndpoint is an endpoint that ended under requests beside others.
type endedEndpoint struct {
	at      time.Time
	digests []dogwoodfleet.Digest
}

// strikeShared records the end of an endpoint that ran a request beside others.
func (ledger *Ledger) strikeShared(at, now time.Time, notice *Notice) {
	found := ledger.records[notice.Digest]
	if found == nil {
		found = ledger.add(now, notice.Digest)
	}
	if at.Before(found.clearedAt) {
		return
	}
	if notice.Request == found.permitHolder {
		found.permitHolder = ""
	}
	i := slices.IndexFunc(found.shared, func(strike sharedStrike) bool { return strike.endpoint == notice.Endpoint })
	if i >= 0 {
		ledger.mergeShared(&found.shared[i], notice)
		return
	}
	if len(found.shared) == maxSharedStrikes && !ledger.dropLatestOutsideTrials(notice.Digest, found) {
		return
	}
	found.shared = append(found.shared, sharedStrike{
		request: notice.Request, endpoint: notice.Endpoint, at: at, trial: notice.Trial, confirmed: notice.Confirmed,
	})
	found.expires = at.Add(StrikeTTL)
	ledger.version++
	ended := ledger.ended[notice.Endpoint]
	if ended == nil {
		ended = &endedEndpoint{at: at}
		ledger.ended[notice.Endpoint] = ended
	}
	ended.digests = append(ended.digests, notice.Digest)
}

// mergeShared adds to a strike what another notice of it reports.
func (ledger *Ledger) mergeShared(known *sharedStrike, notice *Notice) {
	merged := *known
	merged.trial, merged.confirmed = known.trial || notice.Trial, known.confirmed || notice.Confirmed
	if merged != *known {
		*known = merged
		ledger.version++
	}
}

// StruckOnlyBy reports whether all strikes of a digest are those of one request.
func (ledger *Ledger) StruckOnlyBy(digest dogwoodfleet.Digest, request dogwoodfleet.RequestID) bool {
	found := ledger.records[digest]
	return found != nil && len(found.strikes) == 0 && !slices.ContainsFunc(found.shared, func(strike sharedStrike) bool {
		return strike.request != request
	})
}

// Version increases whenever the shared strikes change.
func (ledger *Ledger) Version() uint64 { return ledger.version }

// Confirm records that the end of an endpoint is certain.
func (ledger *Ledger) Confirm(endpoint dogwoodfleet.EndpointID) {
	ended := ledger.ended[endpoint]
	if ended == nil {
		return
	}
	for _, digest := range ended.digests {
		strikes := ledger.records[digest].shared
		for i := range strikes {
			if strikes[i].endpoint == endpoint {
				strikes[i].confirmed = true
			}
		}
	}
}

// Forget removes the strikes at an endpoint whose end is explained: it says nothing of the requests that ran there.
func (ledger *Ledger) Forget(endpoint dogwoodfleet.EndpointID) {
	ended := ledger.ended[endpoint]
	if ended == nil {
		return
	}
	delete(ledger.ended, endpoint)
	for _, digest := range ended.digests {
		found := ledger.records[digest]
		found.shared = slices.DeleteFunc(found.shared, func(strike sharedStrike) bool { return strike.endpoint == endpoint })
	}
	ledger.version++
}

// Ended returns the endpoints that ended under requests beside others.
func (ledger *Ledger) Ended() []dogwoodfleet.EndpointID {
	endpoints := make([]dogwoodfleet.EndpointID, 0, len(ledger.ended))
	for endpoint := range ledger.ended {
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// dropShared removes the strikes that a record has from before the time.
func (ledger *Ledger) dropShared(digest dogwoodfleet.Digest, found *record, before time.Time) {
	found.shared = slices.DeleteFunc(found.shared, func(strike sharedStrike) bool {
		if !strike.at.Before(before) {
			return false
		}
		ledger.version++
		ledger.unlink(digest, strike.endpoint)
		return true
	})
}

// dropLatestOutsideTrials drops the latest strike of a record whose run was no trial. It reports whether there was one.
func (ledger *Ledger) dropLatestOutsideTrials(digest dogwoodfleet.Digest, found *record) bool {
	for i, strike := range slices.Backward(found.shared) {
		if !strike.trial {
			ledger.unlink(digest, strike.endpoint)
			found.shared = slices.Delete(found.shared, i, i+1)
			return true
		}
	}
	return false
}

// unlink removes a digest from those with a shared strike at the endpoint.
func (ledger *Ledger) unlink(digest dogwoodfleet.Digest, endpoint dogwoodfleet.EndpointID) {
	ended := ledger.ended[endpoint]
	if ended == nil {
		return
	}
	ended.digests = slices.DeleteFunc(ended.digests, func(other dogwoodfleet.Digest) bool { return other == digest })
	if len(ended.digests) == 0 {
		delete(ledger.ended, endpoint)
	}
}

// isHarmless reports whether a digest finished recently and has not ended endpoints again and again since. A finished run
// removes the strikes before it, so those of a popular harmless request are of one moment, or two.
func (ledger *Ledger) isHarmless(digest dogwoodfleet.Digest, found *record) bool {
	if !ledger.Proven(digest) {
		return false
	}
	moments, latest := 0, time.Time{}
	for i := range found.shared {
		if at := found.shared[i].at; at.Sub(latest) >= momentInterval {
			moments, latest = moments+1, at
		}
	}
	return moments < maxProvenMoments
}

// sharedConviction returns the time until which a digest is convicted by the ends of endpoints that it shared with
// other requests; zero if it is not.
//
// Every request of a batch gets a strike, so strikes alone show little: the copies of a popular request run on
// nearly every endpoint of a rack that fails. A digest is convicted only if an endpoint ended during a trial, which
// began after the first strike, and not as one of a rack, and if it is not known as harmless. Of the digests that ended the same endpoints
// the one that ended the most is taken for the cause: a harmless request that was retried beside it twice has fewer.
func (ledger *Ledger) sharedConviction(digest dogwoodfleet.Digest, found *record) time.Time {
	if len(found.shared) < minSharedEndpoints || ledger.isHarmless(digest, found) || ledger.isDominated(digest, found) {
		return time.Time{}
	}
	var last time.Time
	trials, confirmed, endedAlone := 0, 0, false
	for i := range found.shared {
		strike := &found.shared[i]
		if strike.at.After(last) {
			last = strike.at
		}
		if strike.trial {
			trials++
			strike.oneOfARack = strike.oneOfARack || ledger.isOneOfARack(strike, found)
			endedAlone = endedAlone || !strike.oneOfARack
		}
		if strike.confirmed {
			confirmed++
		}
	}
	switch {
	case !endedAlone && trials < maxRackTrials:
		return time.Time{}
	case confirmed >= minSharedEndpoints:
		return last.Add(ConvictionTTL)
	default:
		return last.Add(ProvisionalTTL)
	}
}

// isOneOfARack reports whether the endpoint of a strike ended together with one that did not run the digest. The others of a
// rack may have run nothing.
func (ledger *Ledger) isOneOfARack(strike *sharedStrike, found *record) bool {
	for endpoint, ended := range ledger.ended {
		if ended.at.Sub(strike.at).Abs() <= rackWindow && !found.ranAt(endpoint) {
			return true
		}
	}
	return false
}

// ranAt reports whether a record has a strike at an endpoint.
func (found *record) ranAt(endpoint dogwoodfleet.EndpointID) bool {
	return slices.ContainsFunc(found.shared, func(strike sharedStrike) bool { return strike.endpoint == endpoint })
}

// Unsettled returns how much longer a digest's standing may change because ends beside that of its latest trial's endpoint
// are still being reported.
func (ledger *Ledger) Unsettled(now time.Time, digest dogwoodfleet.Digest) time.Duration {
	remaining := time.Duration(0)
	if found := ledger.records[digest]; found != nil {
		for i := range found.shared {
			if strike := &found.shared[i]; strike.trial {
				remaining = max(remaining, strike.at.Add(SettleTime).Sub(now))
			}
		}
	}
	return remaining
}

// isDominated reports whether another digest, which has not finished recently, explains the ends of all endpoints that
// ended under a digest.
func (ledger *Ledger) isDominated(digest dogwoodfleet.Digest, found *record) bool {
	for _, other := range ledger.ended[found.shared[0].endpoint].digests {
		if other == digest || ledger.Proven(other) {
			continue
		}
		record := ledger.records[other]
		if slices.ContainsFunc(found.shared, func(strike sharedStrike) bool { return !record.ranAt(strike.endpoint) }) {
			continue
		}
		if len(record.shared) > len(found.shared) || len(found.shared) < maxAmbiguousEndpoints {
			return true
		}
	}
	return false
}

// mayExplain reports whether a request explains the ends of endpoints: all of them ended under a digest that is convicted. The
// other runs of an endpoint that has just ended are still being reported, so a suspect may be found to have been there too.
func (ledger *Ledger) mayExplain(now time.Time, ends map[dogwoodfleet.EndpointID]time.Time) bool {
	var settled, recent []dogwoodfleet.EndpointID
	for endpoint, at := range ends {
		if now.Sub(at) < SettleTime {
			recent = append(recent, endpoint)
		} else {
			settled = append(settled, endpoint)
		}
	}
	if len(settled) == 0 || ledger.ended[settled[0]] == nil {
		return false
	}
	return slices.ContainsFunc(ledger.ended[settled[0]].digests, func(digest dogwoodfleet.Digest) bool {
		found := ledger.records[digest]
		lacks := func(endpoint dogwoodfleet.EndpointID) bool { return !found.ranAt(endpoint) }
		if slices.ContainsFunc(settled, lacks) {
			return false
		}
		standing, _ := ledger.Standing(now, digest)
		return standing == Convicted || standing == Suspect && slices.ContainsFunc(recent, lacks)
	})
}

// sharedNotices returns the notices of a record's shared strikes.
func sharedNotices(now time.Time, digest dogwoodfleet.Digest, found *record) []Notice {
	notices := make([]Notice, 0, len(found.shared))
	for i := range found.shared {
		strike := &found.shared[i]
		notices = append(notices, Notice{
			Kind: Strike, Digest: digest, Request: strike.request, Endpoint: strike.endpoint, Age: now.Sub(strike.at),
			Shared: true, Trial: strike.trial, Confirmed: strike.confirmed,
		})
	}
	return notices
}
