package dogwoodpacking

import "time"

const (
	// lateLoss is the loss of a request that is late, compared with one that is in time.
	// lateGrowth is added for each multiple of its aim that its first token takes, up to
	// maxLateShare.
	lateLoss     = 0.7
	lateGrowth   = 0.05
	maxLateShare = 6.0
	// inTimeLoss is the loss of a request that uses up its whole aim. It makes the earlier of
	// two placements in time preferable.
	inTimeLoss = 0.1
	// toleratedLoss bounds the loss beyond lateLoss at which a late request still accepts a
	// placement. The additional loss comes from a later first token or from harm to other requests.
	// A first token after three times the aim adds this much.
	toleratedLoss = 0.15
	// waitShare is the share of a request's aim during which the request waits for a placement in
	// time.
	waitShare = 0.5
	// avoidLoss is the additional loss of a primary engine that failed recently or is already
	// packed.
	avoidLoss = 0.3
	// unitWeightTokens is the largest prompt with the weight of the shortest ones. Longer
	// prompts weigh more, since they cost the caller and the engines more.
	unitWeightTokens = 10_000
)

// leastBad is used when no placement keeps all limits. It returns the choice with the lowest
// total loss, which is the weighted sum of the losses of the new request and of all requests that
// are already assigned. A new request that can wait does so if the total loss is at least that of
// its own lateness: engines become free within a second or two, and a request that is committed to
// a busy engine can't use the first one that becomes free.
func (search *search) leastBad() (choice, bool) {
	var best choice
	var bestLoss float64
	for i := range search.engines {
		primary := &search.engines[i]
		for parts := search.minEngines; parts <= 1+maxHelpers; parts++ {
			prefill := primary.state.Engine.PrefillTime(search.request.Prompt, parts)
			if primary.hasUrgent && !primary.keepsPauses(prefill, search.request.Pause) || !search.hasHelpers(&search.breaking, parts, prefill, search.mayBreakLimits) {
				continue // with more parts, each is smaller and more helpers may be suitable
			}
			found, ok := search.assign(primary, parts, search.mayBreakLimits)
			if !ok {
				continue
			}
			loss := search.loss(&found, prefill)
			if best.primary == nil || loss < bestLoss {
				best, bestLoss = found, loss
			}
		}
	}
	return best, best.primary != nil && !(search.request.CanWait && search.prefersWaiting(bestLoss))
}

// prefersWaiting reports whether a new request that can wait should wait instead of taking a
// placement with the given loss. Up to waitShare of its aim, it rejects a placement that makes it
// late or causes an equal loss to others. After that, it accepts any placement that is soon enough
// and harms few requests.
func (search *search) prefersWaiting(loss float64) bool {
	weight := weight(search.request.Prompt)
	if float64(search.waited) < waitShare*float64(search.request.Aim) {
		return loss >= lateLoss*weight
	}
	return loss >= (lateLoss+toleratedLoss)*weight
}

func (search *search) loss(found *choice, prefill time.Duration) float64 {
	loss := weight(search.request.Prompt) * lateness(search.waited+found.predicted, search.request.Aim)
	if found.primary.failing || found.primary.packed {
		loss += avoidLoss
	}
	loss += search.lossToOthers(found.primary, prefill, 1)
	for _, helper := range found.helpers {
		loss += search.lossToOthers(helper, prefill, 0)
	}
	return loss
}

func weight(prompt int) float64 {
	return max(float64(prompt)/unitWeightTokens, 1)
}

// lateness returns the loss of a request whose first token is predicted after the given time.
func lateness(predicted, aim time.Duration) float64 {
	if aim <= 0 {
		return 0
	}
	share := float64(predicted) / float64(aim)
	if share <= 1 {
		return inTimeLoss * share
	}
	return lateLoss + lateGrowth*min(share, maxLateShare)
}

// lossToOthers returns the loss of the requests whose answers an engine decodes or whose prompts
// wait there, if the engine prefills one more part. joining is the number of answers that it will
// decode in addition.
func (search *search) lossToOthers(engine *engine, prefill time.Duration, joining int) float64 {
	load := engine.load
	load.DecodingRequests += joining
	pause := time.Duration(engine.slowness * float64(engine.state.Engine.Pause(load, prefill)))
	loss := 0.0
	for _, work := range engine.state.work {
		switch left := work.Aim - search.now.Sub(work.Begun) - load.Queued; {
		case work.Writing && work.Pause > 0 && pause > work.Pause,
			!work.Writing && left > 0 && prefill > left:
			loss += lateLoss * weight(work.Prompt) * search.rankWeight(work)
		}
	}
	for _, work := range engine.state.helpedWork {
		left := work.Aim - search.now.Sub(work.Begun) - load.Queued
		if !work.Writing && left > 0 && prefill > left {
			loss += lateLoss * weight(work.Prompt) * search.rankWeight(work)
		}
	}
	return loss
}
