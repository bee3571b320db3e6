package dogwoodpacking

import (
	"math"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// failureHalfLife is the half-life of a failure's weight: an endpoint that has recovered
	// from a failure gets its full share again within about ten seconds.
	failureHalfLife = 3 * time.Second
	// paceWeight is the weight of one pace observation in the learned slowness: about four are
	// enough to detect an engine that became slower or faster, and a stream yields one about
	// every half second.
	paceWeight = 0.3
	// firstTokenWeight is the weight of a long prompt's first token in the learned slowness.
	firstTokenWeight = 0.2
	// maxSlowness limits the learned slowness, so that an engine that recovers is tried again.
	maxSlowness = 6
)

// health is the observed condition of an endpoint.
type health struct {
	failures        float64 // decayed weight of recent failures, as of failuresAt
	failuresAt      time.Time
	learnedSlowness float64 // observed time over predicted time; 0 before the first observation
	avoidUntil      time.Time
	// unreachable is true from a failure to reach an engine to its next answer.
	unreachable bool
}

func (health *health) recentFailures(now time.Time) float64 {
	if health.failures == 0 {
		return 0
	}
	return health.failures * math.Exp2(-float64(now.Sub(health.failuresAt))/float64(failureHalfLife))
}

func (health *health) recordFailure(now time.Time) {
	health.failures = health.recentFailures(now) + 1
	health.failuresAt = now
}

// learnFirstToken updates the slowness with the ratio of the observed to the predicted time to the
// first token of a long prompt. This ratio is the only indication that an engine which only
// prefills is slow. Other prompts that are prefilled before it can multiply this time, so it has
// less weight than the pace of decoding.
func (health *health) learnFirstToken(predicted, observed time.Duration) {
	if predicted <= 0 {
		return
	}
	health.learn(float64(observed)/float64(predicted), firstTokenWeight)
}

// learnPace updates the slowness with the pace at which an engine decodes: a short pause between
// two events of one answer divided by the time of a pass without prefill; 0 if unknown. First
// tokens of short prompts are not used: after a restart of all daemons they are late for seconds
// because the engines continue with old answers, and engines that were considered slow got no
// requests.
func (health *health) learnPace(pace float64) {
	if pace <= 0 {
		return
	}
	health.learn(pace, paceWeight)
}

func (health *health) learn(ratio, weight float64) {
	slowness := health.slowness()
	health.learnedSlowness = slowness + weight*(min(max(ratio, 1), maxSlowness)-slowness)
}

func (health *health) slowness() float64 {
	return max(health.learnedSlowness, 1)
}

// Failed records that an endpoint failed a request.
func (board *Board) Failed(now time.Time, id dogwoodfleet.EndpointID) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if state := board.endpoints[id]; state != nil {
		state.health.recordFailure(now)
	}
}

// RecordPace records a short pause between two events of an answer that an engine decodes. It returns
// the pace, which the other daemons record with RecordPeerPace.
func (board *Board) RecordPace(id dogwoodfleet.EndpointID, pause time.Duration) float64 {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	state := board.endpoints[id]
	if state == nil || state.Engine == nil {
		return 0
	}
	pass := state.Engine.PassTime(1, 0)
	if pass <= 0 {
		return 0
	}
	pace := float64(pause) / float64(pass)
	state.health.learnPace(pace)
	return pace
}

// RecordPeerPace records the pace that another daemon observed. Failures are not shared: a daemon
// whose own network fails sees all endpoints fail. Nor are the first tokens of long prompts: a
// delay by prompts that are prefilled before them would count at each daemon.
func (board *Board) RecordPeerPace(id dogwoodfleet.EndpointID, pace float64) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if state := board.endpoints[id]; state != nil {
		state.health.learnPace(pace)
	}
}

// Avoid records a failure of an endpoint that could not be reached and assigns it no new work
// for the given duration, as long as another endpoint is available.
func (board *Board) Avoid(now time.Time, id dogwoodfleet.EndpointID, duration time.Duration) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if state := board.endpoints[id]; state != nil {
		state.health.recordFailure(now)
		state.health.unreachable = state.Engine != nil
		if until := now.Add(duration); until.After(state.health.avoidUntil) {
			state.health.avoidUntil = until
		}
	}
}
