package dogwooddispatch

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/dogwoodfleet"
)

// health records which endpoints can't be connected to. It is used to refuse requests early
// if a dependency is down. It doesn't affect which endpoints the owners choose.
type health struct {
	down map[dogwoodfleet.EndpointID]bool
}

func newHealth() health {
	return health{down: map[dogwoodfleet.EndpointID]bool{}}
}

func (health *health) markReachable(endpoint dogwoodfleet.EndpointID) {
	delete(health.down, endpoint)
}

const (
	// probeInterval is the interval between probes of endpoints that other services depend on.
	probeInterval = dependencyRetryAfter
	// probeTimeout bounds connecting to an endpoint. It is far above any link's round trip.
	probeTimeout = time.Second
	// maxConcurrentProbes bounds concurrent probes, as there may be many services.
	maxConcurrentProbes = 16
)

// Down reports whether none of a service's endpoints in force can be connected to.
func (owners *Owners) Down(service dogwoodfleet.Service) bool {
	endpoints := owners.options.Members.Endpoints()
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	for _, endpoint := range endpoints {
		if endpoint.Service == service && endpoint.InForce && !owners.health.down[endpoint.ID] {
			return false
		}
	}
	return true
}

// probe connects once to each endpoint in force of the services that others depend on.
func (owners *Owners) probe(ctx context.Context) {
	dependencies := map[dogwoodfleet.Service]bool{}
	for _, service := range owners.options.Text().Services {
		for _, dependency := range service.DependsOn {
			dependencies[dependency] = true
		}
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	for _, endpoint := range owners.options.Members.Endpoints() {
		if !dependencies[endpoint.Service] || !endpoint.InForce {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			err := owners.options.Probe(ctx, endpoint)
			owners.mutex.Lock()
			defer owners.mutex.Unlock()
			owners.health.down[endpoint.ID] = err != nil
			return nil
		})
	}
	_ = group.Wait() // the probes return no errors
}
