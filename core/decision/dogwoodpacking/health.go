package dogwoodpacking

import (
	"math"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// badHalf is the half-life of a failure's weight: an endpoint that failed and is well
	// again gets its full share back within some ten seconds.
	badHalf = 3 * time.Second
	// slowWeight is the weight of one observation in the learnt slowness: some four show an
	// engine that has turned slow or fast, and a stream gives one about every half second.
	slowWeight = 0.3
	// readWeight is that of a long prompt's first token.
	readWeight = 0.2
	// slowMost bounds the learnt slowness, so that one that recovers is tried again.
	slowMost = 6
)

// health is what was seen of an endpoint.
type health struct {
	bad      float64 // weight of recent failures
	badAt    time.Time
	slow     float64 // seen over predicted pace; 0 until something was seen
	avoidTil time.Time
}

func (health *health) badness(now time.Time) float64 {
	if health.bad == 0 {
		return 0
	}
	return health.bad * math.Exp2(-float64(now.Sub(health.badAt))/float64(badHalf))
}

func (health *health) failed(now time.Time) {
	health.bad = health.badness(now) + 1
	health.badAt = now
}

// took learns from the time to the first token of a long prompt, over the predicted one: it
// is the one sign of an engine that is slow and only reads. Other prompts that are read
// ahead make as much as a few times, so it counts less than the pace of writing does.
func (health *health) took(predicted, seen time.Duration) {
	if predicted <= 0 {
		return
	}
	health.learn(float64(seen)/float64(predicted), readWeight)
}

// paced learns from the pace at which an engine writes: a short pause between two events of
// one answer over the time of a pass in which nothing is read; 0 if that is not known. First
// tokens say nothing of an engine's speed: after a restart of all daemons they are late for
// seconds because the engines go on with old answers, and engines that were taken for slow
// got nothing.
func (health *health) paced(pace float64) {
	if pace <= 0 {
		return
	}
	health.learn(pace, slowWeight)
}

func (health *health) learn(ratio, weight float64) {
	slow := health.slowness()
	health.slow = slow + weight*(min(max(ratio, 1), slowMost)-slow)
}

func (health *health) slowness() float64 {
	return max(health.slow, 1)
}

// Failed notes that an endpoint failed a request.
func (board *Board) Failed(now time.Time, id dogwoodfleet.EndpointID) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if place := board.places[id]; place != nil {
		place.health.failed(now)
	}
}

// Paced notes a short pause between two events of an answer that an engine wrote. It
// returns the pace, which is what PeerPaced takes at the other daemons.
func (board *Board) Paced(id dogwoodfleet.EndpointID, pause time.Duration) float64 {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	place := board.places[id]
	if place == nil || place.Engine == nil {
		return 0
	}
	pass := place.Engine.Pass(1, 0)
	if pass <= 0 {
		return 0
	}
	pace := float64(pause) / float64(pass)
	place.health.paced(pace)
	return pace
}

// PeerPaced notes the pace that another daemon has seen. Failures are not taken over: a
// daemon whose own network fails sees all endpoints fail. Nor are the first tokens of long
// prompts: what is read ahead of them would count at each daemon.
func (board *Board) PeerPaced(id dogwoodfleet.EndpointID, pace float64) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if place := board.places[id]; place != nil {
		place.health.paced(pace)
	}
}

// Avoid keeps new work from an endpoint that could not be reached, as long as there is
// another one.
func (board *Board) Avoid(now time.Time, id dogwoodfleet.EndpointID, how time.Duration) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if place := board.places[id]; place != nil {
		place.health.failed(now)
		if until := now.Add(how); until.After(place.health.avoidTil) {
			place.health.avoidTil = until
		}
	}
}
