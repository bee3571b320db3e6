package dogwoodowner

import (
	"context"
	"slices"
	"time"

	"dogwoodmux.example/core/decision/dogwoodadmission"
	"dogwoodmux.example/core/decision/dogwoodlimit"
	"dogwoodmux.example/core/decision/dogwoodmemory"
	"dogwoodmux.example/core/dogwoodfleet"
)

// grant is a live grant, or an expired one whose stream may still be running.
type grant struct {
	Grant
	endpoint    *endpoint
	lane        *lane
	waiter      *waiter // set only while the grant is being made
	holder      dogwoodfleet.InstanceID
	request     dogwoodfleet.Request
	tokens      int
	long        bool
	aheadTokens int  // prompt tokens that the endpoint has to prefill first
	member      bool // part of a gang: its engine prefills only a share of the prompt
	takenOver   bool // made by another owner, so aheadTokens is unknown
	begun       bool // its holder has reported that the answer began
	permits     []dogwoodfleet.Digest
	backfilled  *reservation
	grantedAt   time.Time
	renewedAt   time.Time
	expired     bool
	expiredAt   time.Time
}

// isPartTrial reports whether the run had a permit to try a part of its prompt.
func (grant *grant) isPartTrial() bool {
	return slices.ContainsFunc(grant.permits, func(gate dogwoodfleet.Digest) bool { return gate != grant.request.Digest })
}

// countTrial counts the run of a grant that ends, if it was a trial of a part. Runs are counted at their end, since only then is it
// known that the caller did not withdraw and that the endpoint did not refuse the request.
func countTrial(grant *grant) {
	if grant.isPartTrial() {
		counters.Add("Trials", 1)
	}
}

// Release ends a grant and records the result. If the endpoint died, it returns only after the
// other owners have received the strike or a timeout has passed. The entry daemon reports
// the failure to its caller after that, so that a request sent again at once is a known suspect
// everywhere.
func (owner *Owner) Release(release Release) {
	update := owner.release(release)
	if update != nil {
		owner.notifyPeers(context.Background(), *update)
	}
}

func (owner *Owner) release(release Release) *peerUpdate {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	grant := owner.grants[release.ID]
	if grant == nil {
		return nil
	}
	now := time.Now()
	if release.Result != dogwoodfleet.ResultRefused {
		countTrial(grant)
	}
	cut := release.Result == dogwoodfleet.ResultCancelled || release.Result == dogwoodfleet.ResultTimedOut
	owner.removeGrantLocked(release.ID, grant, cut)
	var update *peerUpdate
	if !owner.baseline() {
		owner.observeLocked(now, grant, release)
		update = owner.judgeReleaseLocked(now, grant, release)
	}
	owner.grantWaitingLocked(now)
	owner.scheduleWakeLocked(grant.endpoint.limiter.BlockedUntil())
	return update
}

// removeGrantLocked removes the grant. If its stream was cut off it may still run for a moment.
func (owner *Owner) removeGrantLocked(id GrantID, grant *grant, cut bool) {
	delete(owner.grants, id)
	grant.endpoint.removeGrant(time.Now(), grant, cut)
	owner.untrackRunLocked(grant)
}

// observeLocked updates the lane's rates and the endpoint's limiter from the result.
func (owner *Owner) observeLocked(now time.Time, grant *grant, release Release) {
	prompt := release.PromptTokens
	if prompt == 0 || grant.member {
		prompt = grant.request.PromptTokens
	}
	if release.Result == dogwoodfleet.ResultDone && grant.lane != nil {
		grant.lane.rates.Observe(dogwoodadmission.Sample{
			PromptTokens: prompt, OutputTokens: release.OutputTokens, MaxTokens: grant.maxTokens(),
			FirstToken: release.FirstToken, Took: release.Took,
		})
	}
	state := grant.endpoint
	if grant.member {
		// The instance, the cold flag and the times are those of the gang's primary engine, which
		// runs the request. Applied to another member's engine they would cut the limit of a
		// healthy engine. Only a death is reported for the engine that died.
		if release.Result != dogwoodfleet.ResultDied {
			return
		}
		release.Instance, release.Cold = "", false
	}
	if release.Instance != "" && release.Instance != state.description.Instance {
		if state.description.Instance != "" {
			owner.prefixes.RemoveEngine(state.description.ID)
		}
		state.description.Instance = release.Instance
	}
	if grant.takenOver && release.Result == dogwoodfleet.ResultDone {
		return
	}
	state.limiter.Observe(now, dogwoodlimit.Answer{
		PromptTokens: prompt, OutputTokens: release.OutputTokens, Ahead: grant.aheadTokens,
		FirstToken: release.FirstToken, Took: release.Took, Result: release.Result,
		Instance: release.Instance, Cold: release.Cold, Sent: grant.grantedAt,
	})
	if release.Result == dogwoodfleet.ResultDied {
		owner.prefixes.RemoveEngine(state.description.ID)
	}
}

// maxTokens returns the longest answer that the request may have, or 0 for a member of a gang:
// the members share the answer's memory, but each release reports the whole answer.
func (grant *grant) maxTokens() int {
	if grant.member {
		return 0
	}
	return grant.request.MaxTokens
}

// Renew extends a holder's grants by another lease. It returns those that this owner doesn't
// have: their endpoint moved to another owner, or they expired. The holder announces a lost
// grant to the endpoint's current owner; it need not end the stream.
func (owner *Owner) Renew(holder dogwoodfleet.InstanceID, grants []GrantID) (lost []GrantID) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	for _, id := range grants {
		grant := owner.grants[id]
		if grant == nil || grant.holder != holder || grant.expired {
			lost = append(lost, id)
			continue
		}
		grant.renewedAt = now
		grant.endpoint.memory.Renew(grant.request.ID, now.Add(GrantLease))
	}
	return lost
}

// Announce takes over live grants that another owner made before the endpoint moved here. It
// also restores grants of this owner that expired although their holders are alive.
func (owner *Owner) Announce(held []Held) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	for i := range held {
		owner.takeOverLocked(now, &held[i])
	}
	for _, state := range owner.endpointList {
		if now.Before(state.settlingUntil) {
			state.entriesReported = state.entriesReported || len(held) > 0
		}
	}
}

// takeOverLocked adds or restores an announced grant.
func (owner *Owner) takeOverLocked(now time.Time, held *Held) {
	state := owner.endpoints[held.Grant.Endpoint.ID]
	if state == nil {
		return
	}
	if known := owner.grants[held.Grant.ID]; known != nil {
		known.renewedAt, known.expired = now, false
		state.memory.Renew(held.Request, now.Add(GrantLease))
		return
	}
	request := dogwoodfleet.Request{
		ID: held.Request, Customer: held.Customer, Service: state.description.Service, Model: held.Model, Digest: held.Digest, Blocks: held.Blocks,
		PromptTokens: held.PromptTokens, MaxTokens: held.MaxTokens,
	}
	taken := &grant{
		Grant: held.Grant, endpoint: state, holder: held.Holder, request: request,
		tokens: held.Grant.ReservedTokens, long: dogwoodadmission.ClassOf(held.PromptTokens).Long(),
		grantedAt: now.Add(-held.Age), renewedAt: now, takenOver: true,
	}
	state.addGrant(now, taken, held.PromptTokens)
	owner.grants[held.Grant.ID] = taken
	owner.byRequest[held.Request] = taken
	owner.trackRunLocked(taken)
	if state.unknownStreams > 0 {
		state.unknownStreams-- // the engine's list included it before its holder announced it
	}
}

// Expire marks the grants whose holders stopped renewing them and, after a grace period,
// returns their streams. It returns them at each call until Cancelled is called or the engine
// no longer lists them. Their slots and memory stay taken until then; an engine that still
// runs them would otherwise be overloaded. A holder that returns within the grace period
// restores its grant by announcing it. Expire must be called about once a second.
func (owner *Owner) Expire(now time.Time) (orphans []Orphan) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	for id, grant := range owner.grants {
		if !grant.expired && now.Sub(grant.renewedAt) > GrantLease {
			grant.expired, grant.expiredAt = true, now
		}
		if grant.expired && now.Sub(grant.expiredAt) >= dogwoodmemory.ExpiryGrace {
			orphans = append(orphans, Orphan{Grant: id, Endpoint: grant.Endpoint, Gang: grant.Gang, Request: grant.request.ID})
		}
	}
	for _, lane := range owner.laneList {
		lane.queue.DropIdle()
	}
	owner.updatePartsLocked(now)
	owner.grantWaitingLocked(now)
	return orphans
}

// Cancelled frees the slot and memory of an orphan whose cancellation the engine confirmed.
func (owner *Owner) Cancelled(id GrantID) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	grant := owner.grants[id]
	if grant == nil || !grant.expired {
		return
	}
	countTrial(grant)
	owner.removeGrantLocked(id, grant, true)
	owner.grantWaitingLocked(time.Now())
}
