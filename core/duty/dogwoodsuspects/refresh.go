package dogwoodsuspects

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

const (
	// hubInterval is how often a hub compares its ledger with another hub's, firstInterval how often until the first
	// comparison succeeds.
	hubInterval   = 2 * time.Second
	firstInterval = 200 * time.Millisecond
	// leafInterval is how often a leaf compares its ledger with its hub's while it serves requests, and until
	// leafIdleTimeout after the last one.
	leafInterval    = 500 * time.Millisecond
	leafIdleTimeout = 3 * time.Second
	// maxLeafAge is the age of a leaf's last comparison up to which it admits requests without another one, and
	// maxRefreshWait how long a request waits for that.
	maxLeafAge     = 1500 * time.Millisecond
	maxRefreshWait = 100 * time.Millisecond
	// refreshTimeout bounds one comparison.
	refreshTimeout = 500 * time.Millisecond
)

// refresh tracks the comparisons with other ledgers.
type refresh struct {
	requested chan struct{}

	mutex sync.Mutex
	// known holds the version of each hub's ledger at the last comparison.
	known map[dogwoodfleet.InstanceID]uint64
	used  time.Time // when the last request was admitted
	done  time.Time // when the last comparison began that succeeded
	// next is closed when the next comparison has ended.
	next chan struct{}
}

func newRefresh() refresh {
	return refresh{requested: make(chan struct{}, 1), known: map[dogwoodfleet.InstanceID]uint64{}, next: make(chan struct{})}
}

// use records a request. It returns the end of the next comparison and the age of the last one.
func (refresh *refresh) use(now time.Time) (next <-chan struct{}, age time.Duration) {
	refresh.mutex.Lock()
	defer refresh.mutex.Unlock()
	refresh.used = now
	select {
	case refresh.requested <- struct{}{}:
	default:
	}
	return refresh.next, now.Sub(refresh.done)
}

func (refresh *refresh) isUsed(now time.Time) bool {
	refresh.mutex.Lock()
	defer refresh.mutex.Unlock()
	return now.Sub(refresh.used) < leafIdleTimeout
}

func (refresh *refresh) knownVersion(peer dogwoodfleet.InstanceID) uint64 {
	refresh.mutex.Lock()
	defer refresh.mutex.Unlock()
	return refresh.known[peer]
}

// end records the end of a comparison that began at the given time.
func (refresh *refresh) end(peer dogwoodfleet.InstanceID, version uint64, began time.Time, succeeded bool) {
	refresh.mutex.Lock()
	defer refresh.mutex.Unlock()
	if succeeded {
		refresh.known[peer], refresh.done = version, began
	}
	close(refresh.next)
	refresh.next = make(chan struct{})
}

// awaitRefresh lets a request at a leaf that was idle wait until the ledger is up to date, but not for long: the hub
// may be dead, and most requests are harmless.
func (duty *Duty) awaitRefresh(ctx context.Context) {
	if !duty.options.IsLeaf() {
		return
	}
	next, age := duty.refresh.use(time.Now())
	if age <= maxLeafAge {
		return
	}
	timer := time.NewTimer(maxRefreshWait)
	defer timer.Stop()
	select {
	case <-next:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Run compares the ledger with those of other daemons, and records the ends of endpoints that show later, until the
// context ends.
func (duty *Duty) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return duty.runComparisons(ctx) })
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case run := <-duty.resolved:
				duty.endpointEnded(ctx, run, true)
			}
		}
	})
	return group.Wait()
}

func (duty *Duty) runComparisons(ctx context.Context) error {
	succeeded := false
	for {
		pause := firstInterval
		switch {
		case duty.options.IsLeaf():
			pause = leafInterval
			if !duty.awaitUse(ctx) {
				return nil
			}
		case succeeded:
			pause = dogwoodkernel.Jittered(hubInterval)
		}
		succeeded = duty.compare(ctx)
		duty.forgetExpired()
		if !dogwoodkernel.Sleep(ctx, pause) {
			return nil
		}
	}
}

// awaitUse waits until a leaf serves requests. It returns false if the context ends first.
func (duty *Duty) awaitUse(ctx context.Context) bool {
	if duty.refresh.isUsed(time.Now()) {
		return true
	}
	timer := time.NewTimer(hubInterval) // the daemon may become a hub
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-duty.refresh.requested:
	case <-timer.C:
	}
	return true
}

// compare fetches the notices of another ledger if that has changed since the last comparison.
func (duty *Duty) compare(ctx context.Context) bool {
	peer, ok := duty.refreshPeer()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	began, version := time.Now(), duty.refresh.knownVersion(peer.Instance)
	var list NoticeList
	err := duty.options.Caller.Call(ctx, peer.Address, Name+".List", version, &list)
	if err != nil {
		duty.options.Logger.Debug("The ledger of suspects could not be compared.", "peer", peer.Instance, "error", err)
	} else if len(list.Notices) > 0 {
		duty.learn(list.Notices)
	}
	duty.refresh.end(peer.Instance, list.Version, began, err == nil)
	return err == nil
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
