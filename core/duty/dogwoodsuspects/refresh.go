package dogwoodsuspects

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodkernel"
)

const (
	// compareInterval is how often a hub compares its ledger with another hub's, and retryInterval how soon after a failure.
	compareInterval = 2 * time.Second
	retryInterval   = 200 * time.Millisecond
	// compareTimeout bounds one comparison, and the fetch of a list by a leaf.
	compareTimeout = 500 * time.Millisecond
)

// Run compares the ledger with those of other hubs, fetches the list of refused requests at a leaf, and records the ends
// of endpoints that show later, until the context ends.
func (duty *Duty) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return duty.runComparisons(ctx) })
	group.Go(func() error { return duty.runFetches(ctx) })
	group.Go(func() error { return duty.runSettling(ctx) })
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case run := <-duty.resolved:
				duty.exchange.Notify(ctx, duty.recordEnd(run.Run, run.at, true))
			}
		}
	})
	return group.Wait()
}

// runSettling updates the refusals whenever all runs of an endpoint that ended are reported.
func (duty *Duty) runSettling(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case settled := <-duty.settling:
			if !dogwoodkernel.Sleep(ctx, time.Until(settled)) {
				return nil
			}
			duty.updateConvictions()
		}
	}
}

// Wait waits until the hubs are notified of all that requests have shown. No request may run any more.
func (duty *Duty) Wait() {
	_ = duty.background.Wait() // its functions return no errors
}

func (duty *Duty) runComparisons(ctx context.Context) error {
	for {
		isLeaf, roleChanged := duty.options.Role()
		duty.updateConvictions()
		pause := retryInterval
		switch {
		case isLeaf:
			duty.compared.Store(false)
		case duty.compare(ctx):
			pause = dogwoodkernel.Jittered(compareInterval)
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-roleChanged:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// compare fetches the notices of another hub's ledger if that has changed since the last comparison. A daemon that has just
// become a hub asks all that are alive or listed, since it does not know yet which are alive. It reports whether one answered.
func (duty *Duty) compare(ctx context.Context) bool {
	asked, isFirst := duty.knowledge.tracker.Now(), !duty.compared.Load()
	hubs := duty.otherHubs()
	if isFirst {
		hubs = appendUnknown(hubs, duty.options.Listed())
	} else if len(hubs) > 1 {
		hubs = []Peer{hubs[rand.IntN(len(hubs))]}
	}
	answered, current := duty.fetchNotices(ctx, hubs)
	if ctx.Err() != nil {
		return false
	}
	if answered || isFirst || len(hubs) == 0 {
		duty.compared.Store(true)
		duty.knowledge.confirm(asked)
	}
	if current {
		duty.refused.clear()
	}
	return answered
}

// appendUnknown appends the listed hubs whose addresses are not among those of the hubs.
func appendUnknown(hubs, listed []Peer) []Peer {
	for _, peer := range listed {
		if !slices.ContainsFunc(hubs, func(hub Peer) bool { return hub.Address == peer.Address }) {
			hubs = append(hubs, peer)
		}
	}
	return hubs
}

// fetchNotices fetches the notices of the hubs' ledgers, until one has answered that knows the others', or all have answered
// or failed. It reports whether any has answered, and whether one of them knows the others' ledgers.
func (duty *Duty) fetchNotices(ctx context.Context, hubs []Peer) (answered, current bool) {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	var group errgroup.Group
	var anyAnswered, anyCurrent atomic.Bool
	for _, hub := range hubs {
		group.Go(func() error {
			var list NoticeList
			if err := duty.options.Caller.Call(ctx, hub.Address, Name+".List", duty.knownVersion(hub), &list); err != nil {
				duty.options.Logger.Debug("The ledger of suspects could not be compared.", "peer", hub.Instance, "address", hub.Address, "error", err)
				return nil
			}
			duty.learn(list.Notices)
			duty.recordKnown(hub, list.Version)
			anyAnswered.Store(true)
			if list.Current {
				anyCurrent.Store(true)
				cancel()
			}
			return nil
		})
	}
	_ = group.Wait() // errors are logged above
	return anyAnswered.Load(), anyCurrent.Load()
}

// knownVersion returns the version of a hub's ledger that this daemon has learnt, 0 for none.
func (duty *Duty) knownVersion(hub Peer) uint64 {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	return duty.known[hub.Instance]
}

// recordKnown records the version of a hub's ledger that this daemon has learnt.
func (duty *Duty) recordKnown(hub Peer, version uint64) {
	if hub.Instance == "" {
		return
	}
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.known[hub.Instance] = version
}

// NoticeList is what a daemon's ledger holds.
type NoticeList struct {
	Version uint64
	// Current is true if the daemon knows what the other hubs' ledgers hold.
	Current bool
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
	list.Version, list.Current = duty.ledger.Version()+duty.parts.Version(), duty.compared.Load() && duty.knowledge.isRecent()
	if known != list.Version {
		list.Notices = append(duty.ledger.Notices(time.Now()), duty.parts.Notices(time.Now())...)
	}
	return nil
}
