package dogwoodpacking

import "time"

const (
	// lateLoss is what a request loses that is late, over one that is in time, and lateMore
	// what it loses besides for each time its aim that it is late, up to lateMost.
	lateLoss = 0.7
	lateMore = 0.05
	lateMost = 6.0
	// earlyLoss is what a request loses that takes its whole aim: enough to choose the
	// sooner of two that are in time.
	earlyLoss = 0.1
	// soonLoss is what a late request may lose more, by a later first token or to others, and
	// take a place all the same: three times its aim.
	soonLoss = 0.15
	// hopeShare is the part of its aim for which a request hopes to be in time.
	hopeShare = 0.5
	// badLoss is what an endpoint counts that failed lately or is packed already.
	badLoss = 0.3
	// weightTokens is the prompt that weighs as much as the shortest ones. A longer one cost
	// its caller, and the engines, more.
	weightTokens = 10_000
)

// leastBad is the choice when none is good: the one by which the fewest requests become
// late, the newcomer and all who are there, each by its weight. A newcomer that can wait
// does so rather than lose as much as it would by being late: the engines are read and
// written free in a second or two, and one that is committed to a busy engine can't go to
// the first that is free.
func (search *search) leastBad() (choice, bool) {
	var best choice
	var bestLoss float64
	for i := range search.engines {
		first := &search.engines[i]
		for parts := search.holders; parts <= 1+mostHelpers; parts++ {
			reading := first.place.Engine.Read(search.ask.Prompt, parts)
			found, ok := search.try(first, parts, func(helper *engine) bool {
				return helper.helpsLate() || helper.flows(reading, 0)
			})
			if !ok {
				continue // a smaller part may suit more helpers
			}
			loss := search.loss(&found, reading)
			if best.first == nil || loss < bestLoss {
				best, bestLoss = found, loss
			}
		}
	}
	return best, best.first != nil && !(search.ask.CanWait && search.waits(bestLoss))
}

// waits reports whether a newcomer that can wait does so. While it can still be in time it
// does not take a place that makes it late, or others as much; once it is late it takes any
// that is soon and harms few.
func (search *search) waits(loss float64) bool {
	weight := weight(search.ask.Prompt)
	if float64(search.waited) < hopeShare*float64(search.ask.Aim) {
		return loss >= lateLoss*weight
	}
	return loss >= (lateLoss+soonLoss)*weight
}

func (search *search) loss(found *choice, reading time.Duration) float64 {
	loss := weight(search.ask.Prompt) * lateness(search.waited+found.predicted, search.ask.Aim)
	if found.first.bad || found.first.packed {
		loss += badLoss
	}
	loss += search.harm(found.first, reading, 1)
	for _, helper := range found.helpers {
		loss += search.harm(helper, reading, 0)
	}
	return loss
}

func weight(prompt int) float64 {
	return max(float64(prompt)/weightTokens, 1)
}

// lateness is what a request loses whose first token comes after the predicted time.
func lateness(predicted, aim time.Duration) float64 {
	if aim <= 0 {
		return 0
	}
	share := float64(predicted) / float64(aim)
	if share <= 1 {
		return earlyLoss * share
	}
	return lateLoss + lateMore*min(share, lateMost)
}

// harm is what those lose who write or wait at an engine that reads one part more.
func (search *search) harm(engine *engine, reading time.Duration, joining int) float64 {
	load := engine.load
	load.Writers += joining
	pause := time.Duration(engine.slow * float64(engine.place.Engine.Pause(load, reading)))
	loss := 0.0
	for _, work := range engine.place.work {
		switch left := work.Aim - search.now.Sub(work.Begun) - load.Queued; {
		case work.Writing && work.Pause > 0 && pause > work.Pause,
			!work.Writing && left > 0 && reading > left:
			loss += lateLoss * weight(work.Prompt)
		}
	}
	for _, work := range engine.place.parts {
		left := work.Aim - search.now.Sub(work.Begun) - load.Queued
		if !work.Writing && left > 0 && reading > left {
			loss += lateLoss * weight(work.Prompt)
		}
	}
	return loss
}
