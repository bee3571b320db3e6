package dogwoodsuspects

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodkernel"
)

const (
	// compareInterval is how often a hub compares its ledger with another hub's, and firstInterval how often until the
	// first comparison has succeeded.
	compareInterval = 2 * time.Second
	firstInterval   = 200 * time.Millisecond
	// compareTimeout bounds one comparison, and the fetch of a list by a leaf.
	compareTimeout = 500 * time.Millisecond
)

// Run compares the ledger with those of other hubs, fetches the list of refused requests at a leaf, and records the ends
// of endpoints that show later, until the context ends.
func (duty *Duty) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return duty.runComparisons(ctx) })
	group.Go(func() error { return duty.runFetches(ctx) })
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case run := <-duty.resolved:
				duty.exchange.Notify(ctx, duty.recordEnd(run, true))
			}
		}
	})
	return group.Wait()
}

// Wait waits until the hubs are notified of all that requests have shown. No request may run any more.
func (duty *Duty) Wait() {
	_ = duty.background.Wait() // its functions return no errors
}

func (duty *Duty) runComparisons(ctx context.Context) error {
	pause := firstInterval
	for dogwoodkernel.Sleep(ctx, pause) {
		duty.updateConvictions()
		if duty.options.IsLeaf() {
			continue
		}
		pause = firstInterval
		if duty.compare(ctx) {
			pause = dogwoodkernel.Jittered(compareInterval)
		}
	}
	return nil
}

// compare fetches the notices of another hub's ledger if that has changed since the last comparison.
func (duty *Duty) compare(ctx context.Context) bool {
	hub, ok := duty.otherHub()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	var list NoticeList
	if err := duty.options.Caller.Call(ctx, hub.Address, Name+".List", duty.known[hub.Instance], &list); err != nil {
		duty.options.Logger.Debug("The ledger of suspects could not be compared.", "peer", hub.Instance, "error", err)
		return false
	}
	duty.learn(list.Notices)
	duty.known[hub.Instance] = list.Version
	return true
}

// NoticeList is what a daemon's ledger holds.
type NoticeList struct {
	Version uint64
	// Notices is empty if the ledger has not changed since the version that was asked with.
	Notices []dogwoodsuspect.Notice
}

// Receiver handles the calls of other daemons.
type Receiver struct {
	duty *Duty
}

// Receiver returns the RPC receiver that other daemons call; register it as Name.
func (duty *Duty) Receiver() *Receiver { return &Receiver{duty: duty} }

// Learn applies notices of another daemon.
func (receiver *Receiver) Learn(notices []dogwoodsuspect.Notice, reply *bool) error {
	receiver.duty.learn(notices)
	*reply = true
	return nil
}

// Judge decides on a request for a permit, or on its return.
func (receiver *Receiver) Judge(request dogwoodsuspect.PermitRequest, response *dogwoodsuspect.PermitResponse) error {
	*response = receiver.duty.judge(request)
	return nil
}

// List returns the notices in force unless the asking daemon knows them.
func (receiver *Receiver) List(known uint64, list *NoticeList) error {
	duty := receiver.duty
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	list.Version = duty.ledger.Version()
	if known != list.Version {
		list.Notices = duty.ledger.Notices(time.Now())
	}
	return nil
}
