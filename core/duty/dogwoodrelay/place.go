package dogwoodrelay

import (
	"context"
	"fmt"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodwaiting"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

// ask is what a new try wants of the pool.
func (attempt *attempt) ask() *dogwoodpacking.Ask {
	request, options := attempt.request, &attempt.relay.options
	ask := &dogwoodpacking.Ask{
		ID:      dogwoodpacking.WorkID(fmt.Sprintf("%s.%d", request.ID, tryNumber.Add(1))),
		Service: request.Service, Prompt: request.Prompt, Answer: request.Answer,
		Aim: request.Route.Aim, Pause: request.Route.Pause,
		Arrived: request.Arrived, Until: request.Deadline, CanWait: true,
		Avoid: attempt.tried, Origin: options.Place,
	}
	if len(attempt.tried) > 0 && !options.Places.Other(ask) {
		ask.Avoid = nil // each was tried: one of them may do better than none
	}
	return ask
}

// place waits for a place as long as that can help.
func (attempt *attempt) place(ctx context.Context, ask *dogwoodpacking.Ask) (dogwoodpacking.Placement, error) {
	request := attempt.request
	waiter := &waiter{ask: ask, told: make(chan told, 1), request: dogwoodwaiting.Request{
		Arrived: request.Arrived, Deadline: request.Deadline, Aim: request.Route.Aim, Pause: request.Route.Pause,
		Prompt: request.Prompt, Begun: attempt.stream.begun,
	}}
	line := &attempt.relay.line
	line.join(waiter)
	patience := time.NewTimer(dogwoodwaiting.Patience(time.Now(), &waiter.request))
	defer patience.Stop()
	var err error
	select {
	case told := <-waiter.told:
		return told.placement, attempt.unplaced(told.refusal)
	case <-patience.C:
		return attempt.atLast(line, waiter)
	case <-ctx.Done():
		err = ended(ctx, attempt.known)
	}
	if line.leave(waiter) {
		return dogwoodpacking.Placement{}, err
	}
	told := <-waiter.told
	return told.placement, attempt.unplaced(told.refusal)
}

// atLast takes any place for an attempt that has waited as long as it can, if its caller
// will still be there by the first event.
func (attempt *attempt) atLast(line *line, waiter *waiter) (dogwoodpacking.Placement, error) {
	if !line.leave(waiter) {
		told := <-waiter.told
		return told.placement, attempt.unplaced(told.refusal)
	}
	waiter.ask.CanWait = false
	placement, refusal := attempt.relay.options.Places.Place(time.Now(), waiter.ask)
	if refusal != dogwoodpacking.Placed {
		return placement, attempt.unplaced(refusal)
	}
	if placement.Predicted > dogwoodwaiting.Borne(time.Now(), &waiter.request) {
		attempt.relay.options.Places.End(waiter.ask.ID)
		return placement, attempt.refuse(dogwoodfleet.ReasonLimit, dogwoodkernel.Jittered(fullRetry),
			fmt.Sprintf("the first event would come after %s", placement.Predicted))
	}
	return placement, nil
}

// unplaced is the failure that a refusal of a place means, nil for none.
func (attempt *attempt) unplaced(refusal dogwoodpacking.Refusal) error {
	switch refusal {
	case dogwoodpacking.Placed:
		return nil
	case dogwoodpacking.TooLarge:
		return attempt.refuse(dogwoodfleet.ReasonTooLarge, 0, "the prompt fits no engines")
	case dogwoodpacking.NoEndpoint:
		return attempt.refuse(dogwoodfleet.ReasonNoEndpoint, awayRetry, "no endpoint of the service is in force")
	case dogwoodpacking.Full:
	}
	return attempt.refuse(dogwoodfleet.ReasonLimit, dogwoodkernel.Jittered(fullRetry), "all endpoints are full")
}
