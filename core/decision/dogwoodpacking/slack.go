package dogwoodpacking

import "time"

// slack returns how long the prompts that wait here can be delayed beyond the queued prefill time,
// or 0 once a prompt is late. A helper prefills parts of other engines' prompts before the prompts
// that wait at it. Without this limit, each additional part delayed a prompt that was already late,
// for up to eight seconds.
func (state *endpointState) slack(now time.Time, queued time.Duration) time.Duration {
	slack := unlimitedSlack
	include := func(work *Work) {
		left := time.Duration(slackShare*float64(work.Aim)) - now.Sub(work.Begun)
		if !work.Writing {
			slack = min(slack, max(left-queued, 0))
		}
	}
	for _, work := range state.work {
		include(work)
	}
	for _, work := range state.helpedWork {
		include(work)
	}
	return slack
}

// hasWaiting reports whether a prompt whose answer will be decoded here has not been prefilled yet.
func (state *endpointState) hasWaiting() bool {
	for _, work := range state.work {
		if !work.Writing {
			return true
		}
	}
	return false
}

// pauseLimit returns the shortest of the acceptable pauses of the requests here; 0 if there is
// no limit.
func (state *endpointState) pauseLimit() time.Duration {
	var limit time.Duration
	for _, work := range state.work {
		if work.Pause > 0 && (limit == 0 || work.Pause < limit) {
			limit = work.Pause
		}
	}
	return limit
}
