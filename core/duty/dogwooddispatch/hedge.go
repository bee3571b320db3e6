package dogwooddispatch

import (
	"context"
	"time"

	"dogwoodmux.example/core/decision/dogwoodadmission"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

// hedgeDelay is how long a short request waits at one owner before an acquire request is sent to
// a second one. A queue that makes progress grants a slot within tens of milliseconds. A request
// that waits longer is blocked by long requests. The delay is about the time in which a short
// request is answered completely.
const hedgeDelay = 250 * time.Millisecond

// hedgeSuffix is appended to the request ID of the second acquire request.
const hedgeSuffix = "-h"

// acquireResult is an owner's reply to one of two acquire requests for the same request.
type acquireResult struct {
	member  Member
	request dogwoodfleet.RequestID
	grant   dogwoodowner.Grant
	err     error
}

// acquireHedged acquires a slot from an owner. If that owner keeps a short request waiting
// while another owner has free slots, it sends an acquire request to the other one too.
//
// This is needed when a few long prompts fill the engines of one owner. Its summary still shows
// free slots, so short requests are sent there and wait for seconds while the engines of other
// owners are idle.
//
// The second acquire request goes only to an owner with free slots, so that it never
// lengthens a queue; in an overload there is no such owner. It has a separate ID, which
// becomes the request's ID if it is granted. With a shared ID, the end of the acquire request
// that wasn't granted would count as the end of the request. That matters most for a suspect,
// of which only one copy may run at a time.
func (owners *Owners) acquireHedged(ctx context.Context, member Member, acquireRequest *dogwoodowner.AcquireRequest) (dogwoodowner.Grant, error) {
	if owners.options.Policy == dogwoodowner.PolicyBaseline || dogwoodadmission.ClassOf(acquireRequest.Request.PromptTokens).Long() {
		return owners.acquireFrom(ctx, member, *acquireRequest)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // withdraws the acquire request that was not granted
	results := make(chan acquireResult, 2)
	owners.acquireInBackground(ctx, member, *acquireRequest, results)
	pending := 1
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	for {
		select {
		case result := <-results:
			pending--
			if result.err != nil && pending > 0 {
				continue // the other owner may still grant a slot
			}
			if pending > 0 {
				cancel()
				owners.releaseLateGrant(ctx, results)
			}
			acquireRequest.Request.ID = result.request
			return result.grant, result.err
		case <-timer.C:
			if second, ok := owners.idleOwner(acquireRequest, member); ok {
				counters.Add("Hedges", 1)
				secondAsk := *acquireRequest
				secondAsk.Request.ID += hedgeSuffix
				secondAsk.Budget = time.Until(acquireRequest.Request.Deadline)
				owners.acquireInBackground(ctx, second, secondAsk, results)
				pending++
			}
		}
	}
}

func (owners *Owners) acquireInBackground(ctx context.Context, member Member, acquireRequest dogwoodowner.AcquireRequest, results chan<- acquireResult) {
	started := owners.runInBackground(func() {
		grant, err := owners.acquireFrom(ctx, member, acquireRequest)
		results <- acquireResult{member: member, request: acquireRequest.Request.ID, grant: grant, err: err}
	})
	if !started {
		results <- acquireResult{member: member, request: acquireRequest.Request.ID, err: shutdownRefusal()}
	}
}

// releaseLateGrant releases the grant of the slower of two owners.
func (owners *Owners) releaseLateGrant(ctx context.Context, results <-chan acquireResult) {
	owners.runInBackground(func() {
		if late := <-results; late.err == nil {
			for _, part := range late.grant.Parts() {
				owners.releaseAt(context.WithoutCancel(ctx), late.member, dogwoodowner.Release{
					ID: part.ID, Result: contextRelease(ctx).Result,
				})
			}
		}
	})
}

// idleOwner returns the nearest owner, and among equally near ones the least loaded, that has
// free slots and isn't the excluded one.
func (owners *Owners) idleOwner(acquireRequest *dogwoodowner.AcquireRequest, excluded Member) (Member, bool) {
	groups := owners.ownership().groupsServing(acquireRequest.Request.Service, acquireRequest.Request.Model)
	loads := owners.loads(groups, acquireRequest.Request.Service)
	best := -1
	for i := range loads {
		load := &loads[i]
		used := load.Running + load.Asked
		if groups[i].member.Instance == excluded.Instance || load.Waiting > 0 || load.Slots > 0 && used >= load.Slots {
			continue
		}
		if best < 0 || load.Distance < loads[best].Distance ||
			load.Distance == loads[best].Distance && used*loads[best].Slots < (loads[best].Running+loads[best].Asked)*load.Slots {
			best = i
		}
	}
	if best < 0 {
		return Member{}, false
	}
	return groups[best].member, true
}
