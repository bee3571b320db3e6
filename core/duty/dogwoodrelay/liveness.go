package dogwoodrelay

import (
	"context"
	"sync"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// liveness tracks when each endpoint last sent an event on any of this daemon's streams. A busy
// engine may delay one stream while it serves others; a dead one is silent on all. Without this
// distinction a burst would move streams away from busy engines, whose prompts would then be
// prefilled a second time without need.
type liveness struct {
	mutex    sync.Mutex
	lastSeen map[dogwoodfleet.EndpointID]time.Time
}

// livenessWindow is the age up to which an endpoint's last event shows that the endpoint is alive.
// It covers several passes of a busy engine.
const livenessWindow = 700 * time.Millisecond

// checkTimeout bounds a question to an engine on a new connection. It covers a lost packet's retransmission.
const checkTimeout = 400 * time.Millisecond

// livenessTTL is the age at which the time of an endpoint's last event is dropped.
const livenessTTL = time.Minute

func (liveness *liveness) record(now time.Time, endpoint dogwoodfleet.EndpointID) {
	liveness.mutex.Lock()
	defer liveness.mutex.Unlock()
	if liveness.lastSeen == nil {
		liveness.lastSeen = map[dogwoodfleet.EndpointID]time.Time{}
	}
	if _, known := liveness.lastSeen[endpoint]; !known {
		for id, at := range liveness.lastSeen {
			if now.Sub(at) > livenessTTL {
				delete(liveness.lastSeen, id)
			}
		}
	}
	liveness.lastSeen[endpoint] = now
}

func (liveness *liveness) seenRecently(now time.Time, endpoint dogwoodfleet.EndpointID) bool {
	liveness.mutex.Lock()
	defer liveness.mutex.Unlock()
	at, known := liveness.lastSeen[endpoint]
	return known && now.Sub(at) < livenessWindow
}

// check returns an error if the engine does not respond on a new connection.
func (relay *Relay) check(ctx context.Context, endpoint dogwoodfleet.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return relay.options.Endpoints.Check(ctx, endpoint)
}
