package dogwoodowner

import "time"

// grantBaseline grants by the baseline policy: first come, first served, a random endpoint
// of those under the static warm limit. It ignores sizes, customers, deadlines and faults.
func (lane *lane) grantBaseline(now time.Time) {
	for len(lane.baselineQueue) > 0 {
		waiter := lane.baselineQueue[0]
		lane.candidateEndpoints = lane.candidateEndpoints[:0]
		for _, state := range lane.endpoints {
			if state.description.InForce && state.running < state.warmLimit && waiter.accepts(state) {
				lane.candidateEndpoints = append(lane.candidateEndpoints, state)
			}
		}
		if len(lane.candidateEndpoints) == 0 {
			return
		}
		lane.baselineQueue = lane.baselineQueue[1:]
		lane.grant(now, waiter, lane.candidateEndpoints[lane.owner.random.IntN(len(lane.candidateEndpoints))], 0, false)
	}
}
