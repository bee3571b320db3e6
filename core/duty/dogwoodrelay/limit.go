package dogwoodrelay

import (
	"sync"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

const (
	// maxLoggedEndpoints bounds the endpoints that are remembered; beyond that some are logged again.
	maxLoggedEndpoints = 1000
	// maxLimitRetryAfter bounds the mean wait sent to a caller when all endpoints name limits. They may take them back.
	maxLimitRetryAfter = 10 * time.Second
)

// loggedEndpoints remembers for which endpoints something was logged.
type loggedEndpoints struct {
	mutex  sync.Mutex
	logged map[dogwoodfleet.EndpointID]bool
}

// add adds an endpoint and reports whether it is new.
func (loggedEndpoints *loggedEndpoints) add(endpoint dogwoodfleet.EndpointID) bool {
	loggedEndpoints.mutex.Lock()
	defer loggedEndpoints.mutex.Unlock()
	if loggedEndpoints.logged[endpoint] {
		return false
	}
	if loggedEndpoints.logged == nil || len(loggedEndpoints.logged) >= maxLoggedEndpoints {
		loggedEndpoints.logged = map[dogwoodfleet.EndpointID]bool{}
	}
	loggedEndpoints.logged[endpoint] = true
	return true
}

// checkLimits returns a failure if all endpoints of the request's service name limits, and these leave no place for it
// until waitUntil. The request is one of those that wait.
func (attempt *attempt) checkLimits(waitUntil time.Time) error {
	service := attempt.request.Service
	perSecond, limited := attempt.relay.options.Places.LimitedRate(service)
	if !limited {
		return nil
	}
	wait := maxLimitRetryAfter
	if perSecond > 0 {
		waiting := float64(attempt.relay.queue.waitingFor(service))
		wait = min(time.Duration(waiting/perSecond*float64(time.Second)), maxLimitRetryAfter)
	}
	if time.Now().Add(wait).Before(waitUntil) {
		return nil
	}
	return attempt.newFailure(dogwoodfleet.ReasonLimit, dogwoodkernel.Jittered(wait), "all endpoints name limits")
}

// waitingFor returns the number of tries that wait for an endpoint of a service.
func (queue *queue) waitingFor(service dogwoodfleet.Service) int {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	count := 0
	for _, waiter := range queue.waiters {
		if waiter.placementRequest.Service == service {
			count++
		}
	}
	return count
}
