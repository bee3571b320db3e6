package dogwoodrelay

import (
	"sync"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/dogwoodfleet"
)

// leavingRetryAfter is how long a caller waits before it tries another daemon when this one shuts down. Its connection to this
// daemon is closed first.
const leavingRetryAfter = 50 * time.Millisecond

// drain is the end of a daemon that shuts down.
type drain struct {
	mutex sync.Mutex
	// begun is closed once the end is known.
	begun chan struct{}
	end   time.Time
}

func newDrain() *drain {
	return &drain{begun: make(chan struct{})}
}

// Drain makes the relay refuse requests that can't be answered until the end, when the daemon ends what still runs. Only the
// first call has an effect.
func (relay *Relay) Drain(end time.Time) {
	drain := relay.drain
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	if drain.end.IsZero() {
		drain.end = end
		close(drain.begun)
	}
}

// endTime returns the end, and false if there is none yet.
func (drain *drain) endTime() (time.Time, bool) {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	return drain.end, !drain.end.IsZero()
}

// latestStart returns until when a run of a service can start and still be answered before the end, and false if there is no end yet.
func (relay *Relay) latestStart(service dogwoodfleet.Service) (time.Time, bool) {
	end, drains := relay.drain.endTime()
	return end.Add(-relay.queue.shortestRun(service)), drains
}

// mayRun reports whether a run of a service that starts now can still be answered before the end.
func (relay *Relay) mayRun(service dogwoodfleet.Service) bool {
	latest, drains := relay.latestStart(service)
	return !drains || !time.Now().After(latest)
}

// latestPlacement returns until when the attempt can be placed and still be answered before the end. An answer that has begun
// waits until the end itself, as the rest of it may be short.
func (attempt *attempt) latestPlacement() time.Time {
	if attempt.stream.begun {
		end, _ := attempt.relay.drain.endTime()
		return end
	}
	latest, _ := attempt.relay.latestStart(attempt.request.Service)
	return latest
}

// mayRun reports whether a further run can still be answered before the end. The rest of an answer that has begun may be short.
func (attempt *attempt) mayRun() bool {
	return attempt.stream.begun || attempt.relay.mayRun(attempt.request.Service)
}

// finalError returns the outcome of an attempt after its last try. A request of which no run began, and which has no time for
// another try, is refused as one that waits, so that its caller asks another daemon at once.
func (attempt *attempt) finalError(tryResult tryResult) error {
	if attempt.runState == dogwoodfleet.NotRun && !attempt.mayRun() {
		return attempt.refuseDrained()
	}
	return tryResult.finalError()
}

// checkDrain returns a failure, and cancels the placement, if the answer would begin after the end. One that has begun goes on
// until then.
func (attempt *attempt) checkDrain(id dogwoodpacking.WorkID, placement *dogwoodpacking.Placement) error {
	end, drains := attempt.relay.drain.endTime()
	if !drains || attempt.stream.begun || time.Until(end) >= placement.Predicted {
		return nil
	}
	attempt.relay.options.Places.Cancel(id)
	return attempt.refuseDrained()
}

// refuseDrained returns the failure of an attempt that can't be answered before the end.
func (attempt *attempt) refuseDrained() error {
	return attempt.newFailure(dogwoodfleet.ReasonShutdown, leavingRetryAfter, "it can't be answered before the daemon shuts down")
}

// shortestRun returns how long the shortest of the latest runs of a service took, 0 if none is known.
func (queue *queue) shortestRun(service dogwoodfleet.Service) time.Duration {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.shortestRuns.Of(service)
}
