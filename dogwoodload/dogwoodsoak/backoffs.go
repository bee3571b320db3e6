package dogwoodsoak

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/dogwoodload/dogwoodsoakplan"
	"dogwoodmux.example/platform/dogwoodstandin"
)

// asksForBackoff is the state of an endpoint that turns requests away and asks for a back-off.
var asksForBackoff = dogwoodstandin.EndpointState{Shedding: true, RetryAfter: fmt.Sprint(checkBounds.Backoff.Seconds())}

// serviceStep makes all endpoints of a service turn requests away, or busy.
func (site *site) serviceStep(ctx context.Context, step dogwoodsoakplan.Step, service string) error {
	if step.Kind == dogwoodsoakplan.ServiceBusy {
		return site.makeServiceBusy(ctx, service, step.For)
	}
	state := asksForBackoff
	if step.Kind == dogwoodsoakplan.ServiceSheds {
		state.RetryAfter = ""
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, endpoint := range site.endpoints {
		if endpoint.service == service {
			group.Go(func() error { return site.keepState(ctx, endpoint, state, step.For) })
		}
	}
	return group.Wait()
}

// keepState sets the state of an endpoint for a while, unless its process ends before.
func (site *site) keepState(ctx context.Context, endpoint *endpoint, state dogwoodstandin.EndpointState, duration time.Duration) error {
	endpoint.stateMutex.Lock()
	defer endpoint.stateMutex.Unlock()
	set := func(state dogwoodstandin.EndpointState) func() error {
		return func() error { return dogwoodstandin.SetStateAt(ctx, endpoint.address, state) }
	}
	process, _, err := endpoint.configure(ctx, nil, set(state))
	if err != nil || process == nil {
		return err
	}
	for began := time.Now(); time.Since(began) < duration && process.Running() && dogwoodkernel.Sleep(ctx, superviseInterval); {
	}
	_, _, err = endpoint.configure(ctx, process, set(dogwoodstandin.EndpointState{}))
	return err
}

// leaveByAnswers makes an endpoint say in its answers that it leaves, and then replaces it.
func (site *site) leaveByAnswers(ctx context.Context, endpoint *endpoint, duration time.Duration) error {
	endpoint.stateMutex.Lock()
	leaving := dogwoodstandin.EndpointState{Leaving: true}
	process, _, err := endpoint.configure(ctx, nil, func() error { return dogwoodstandin.SetStateAt(ctx, endpoint.address, leaving) })
	endpoint.stateMutex.Unlock()
	if err != nil || process == nil {
		return err
	}
	dogwoodkernel.Sleep(ctx, duration)
	if ctx.Err() != nil || !process.Running() {
		return ctx.Err()
	}
	return site.replaceEndpoint(ctx, endpoint)
}
