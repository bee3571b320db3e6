package dogwooddispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

// AcquireReply is the reply to Owner.Acquire. It holds a grant or a refusal, and the owner's
// summary, which saves entry daemons a separate call.
type AcquireReply struct {
	Grant   dogwoodowner.Grant
	Refusal *dogwoodowner.Refusal
	Summary dogwoodowner.Summary
}

// RenewArgs lists the grants that a holder renews.
type RenewArgs struct {
	Holder dogwoodfleet.InstanceID
	Grants []dogwoodowner.GrantID
	// Begun are the answers that have begun since the last renewal.
	Begun []dogwoodowner.Begin
}

// RenewReply lists the grants that the owner has no record of.
type RenewReply struct {
	Lost    []dogwoodowner.GrantID
	Summary dogwoodowner.Summary
}

// Receiver lets other daemons call this daemon's owner through net/rpc.
type Receiver struct {
	owners *Owners
	owner  *dogwoodowner.Owner
	// withBudget returns a context that ends after an acquire request's budget or with the
	// daemon. It is needed because net/rpc passes no context to methods.
	withBudget func(budget time.Duration) (context.Context, context.CancelFunc)

	mutex   sync.Mutex
	waiting map[dogwoodfleet.RequestID]context.CancelFunc
}

// NewReceiver returns a receiver whose acquire requests end at the latest with the context.
func NewReceiver(ctx context.Context, owners *Owners) *Receiver {
	return &Receiver{
		owners: owners,
		owner:  owners.options.Local,
		withBudget: func(budget time.Duration) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, budget)
		},
		waiting: map[dogwoodfleet.RequestID]context.CancelFunc{},
	}
}

// Acquire waits for a slot.
func (receiver *Receiver) Acquire(acquireRequest dogwoodowner.AcquireRequest, reply *AcquireReply) error {
	ctx, cancel := receiver.withBudget(acquireRequest.Budget)
	defer cancel()
	receiver.mutex.Lock()
	receiver.waiting[acquireRequest.Request.ID] = cancel
	receiver.mutex.Unlock()
	grant, err := receiver.owner.Acquire(ctx, acquireRequest)
	receiver.mutex.Lock()
	delete(receiver.waiting, acquireRequest.Request.ID)
	receiver.mutex.Unlock()
	reply.Summary = receiver.owner.Summary()
	if err == nil && ctx.Err() != nil {
		// The acquire request was withdrawn or timed out at the moment of the grant. Its sender
		// won't release the slot.
		receiver.owner.Release(dogwoodowner.Release{ID: grant.ID, Result: dogwoodfleet.ResultCancelled})
		reply.Refusal = &dogwoodowner.Refusal{Reason: dogwoodfleet.ReasonCancelled, NotRun: true, Detail: "withdrawn"}
		return nil
	}
	var refusal *dogwoodowner.Refusal
	if errors.As(err, &refusal) {
		reply.Refusal = refusal
		return nil
	}
	reply.Grant = grant
	return err
}

// Withdraw cancels a waiting request.
func (receiver *Receiver) Withdraw(id dogwoodfleet.RequestID, _ *bool) error {
	receiver.mutex.Lock()
	defer receiver.mutex.Unlock()
	if cancel := receiver.waiting[id]; cancel != nil {
		cancel()
	}
	return nil
}

// Release ends a grant.
func (receiver *Receiver) Release(release dogwoodowner.Release, reply *dogwoodowner.Summary) error {
	receiver.owner.Release(release)
	*reply = receiver.owner.Summary()
	return nil
}

// Renew extends a holder's grants by another lease.
func (receiver *Receiver) Renew(args RenewArgs, reply *RenewReply) error {
	reply.Lost = receiver.owner.Renew(args.Holder, args.Grants)
	receiver.owner.Began(args.Holder, args.Begun)
	reply.Summary = receiver.owner.Summary()
	return nil
}

// Announce records grants that were not issued by this owner, or that it lost.
func (receiver *Receiver) Announce(held []dogwoodowner.Held, reply *dogwoodowner.Summary) error {
	receiver.owner.Announce(held)
	*reply = receiver.owner.Summary()
	return nil
}

// Cold identifies an endpoint that reported itself as cold.
type Cold struct {
	Endpoint dogwoodfleet.EndpointID
	Instance dogwoodfleet.InstanceID
}

// ToldCold records that an endpoint reported itself as cold to another daemon.
func (receiver *Receiver) ToldCold(cold Cold, _ *bool) error {
	receiver.owner.ToldCold(cold.Endpoint, cold.Instance)
	return nil
}

// Engines lists the engines owned by this daemon whose memory size is known, for gangs.
func (receiver *Receiver) Engines(_ bool, reply *[]dogwoodowner.GangEngine) error {
	*reply = receiver.owners.ownedEngines()
	return nil
}

// Judge responds to a permit request for a suspect whose home is this daemon.
func (receiver *Receiver) Judge(permitRequest dogwoodsuspect.PermitRequest, reply *dogwoodsuspect.PermitResponse) error {
	*reply = receiver.owner.Judge(permitRequest)
	return nil
}

// Learn records other owners' notices of suspects.
func (receiver *Receiver) Learn(notices []dogwoodsuspect.Notice, _ *bool) error {
	receiver.owner.Learn(notices)
	return nil
}

// Notices returns all notices of suspects, for a daemon that just started.
func (receiver *Receiver) Notices(_ bool, reply *[]dogwoodsuspect.Notice) error {
	*reply = receiver.owner.Notices()
	return nil
}
