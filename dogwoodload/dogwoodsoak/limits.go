package dogwoodsoak

import (
	"context"
	"fmt"
	"time"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/dogwoodload/dogwoodsoakprocess"
	"dogwoodmux.example/platform/dogwoodstandin"
)

// namedLimits are the limits that an endpoint names one after the other, in requests a second.
var namedLimits = []float64{1.8, 0.5}

// limitEndpoint makes an endpoint name limits and take them back. It stops early if its process ends.
func (site *site) limitEndpoint(ctx context.Context, endpoint *endpoint, duration time.Duration) error {
	endpoint.limitMutex.Lock()
	defer endpoint.limitMutex.Unlock()
	var process *dogwoodsoakprocess.Process
	for _, perSecond := range namedLimits {
		limited, id, err := site.setLimit(ctx, endpoint, process, fmt.Sprint(perSecond))
		if err != nil || limited == nil {
			return err
		}
		process = limited
		site.awaitLimit(ctx, process, dogwoodsoakcheck.Limit{Endpoint: id, PerSecond: perSecond}, duration/time.Duration(len(namedLimits)))
	}
	_, _, err := site.setLimit(ctx, endpoint, process, "")
	return err
}

// awaitLimit waits for a duration, or until the process that names a limit ends, and records the limit.
func (site *site) awaitLimit(ctx context.Context, process *dogwoodsoakprocess.Process, limit dogwoodsoakcheck.Limit, duration time.Duration) {
	limit.From = time.Now()
	for time.Since(limit.From) < duration && process.Running() && dogwoodkernel.Sleep(ctx, superviseInterval) {
	}
	limit.To = time.Now().Add(-2 * superviseInterval)
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.recorded.Limits = append(site.recorded.Limits, limit)
}

// setLimit makes the process at an address name a limit, as configure does.
func (site *site) setLimit(ctx context.Context, endpoint *endpoint, process *dogwoodsoakprocess.Process, limit string) (*dogwoodsoakprocess.Process, string, error) {
	return endpoint.configure(ctx, process, func() error { return dogwoodstandin.SetLimitAt(ctx, endpoint.address, limit) })
}

// configure calls set while the process at an address runs, and returns the process and the endpoint's ID. If another process
// than the given one runs there, or if it has just crashed, it returns nil.
func (endpoint *endpoint) configure(ctx context.Context, process *dogwoodsoakprocess.Process, set func() error) (*dogwoodsoakprocess.Process, string, error) {
	endpoint.processMutex.Lock()
	defer endpoint.processMutex.Unlock()
	if process != nil && endpoint.process != process || !endpoint.process.Running() {
		return nil, "", nil
	}
	waitUntilListening(ctx, endpoint.address)
	if err := set(); err != nil {
		if endpoint.endsSoon(ctx) {
			return nil, "", nil
		}
		return nil, "", err
	}
	return endpoint.process, endpoint.id, nil
}
