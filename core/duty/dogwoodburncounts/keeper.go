// Package dogwoodburncounts counts the outcomes of one daemon's requests, sends copies of the
// counters to peers and collects the counters of all daemons for the burn report.
//
// Daemons store nothing on disk and can be replaced at any time. Without copies, the report
// would lack the minutes before a crash, which are the ones that operators ask about. Each
// daemon therefore sends the buckets that changed to two peers once a minute and once more
// when it stops.
package dogwoodburncounts

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"dogwoodmux.example/core/decision/dogwoodburn"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
)

// Error is the class of this package's errors.
var Error = errs.Class("burn")

const (
	// exchangeInterval is the time between two copies. A crash loses the outcomes that were
	// counted since the last copy.
	exchangeInterval = time.Minute
	// callTimeout bounds one exchange with one peer.
	callTimeout = 3 * time.Second
	// copiesPerDaemon is the number of peers that hold a daemon's counters. With two, one copy
	// remains if a rack failure takes down the daemon and one of these peers.
	copiesPerDaemon = 2
)

// Member identifies a daemon and the address of its peer server.
type Member struct {
	VM       dogwoodfleet.VM
	Instance dogwoodfleet.InstanceID
	Peer     netip.AddrPort
}

// Caller calls other daemons.
type Caller interface {
	Call(ctx context.Context, peer netip.AddrPort, method string, args, reply any) error
}

// Options configures a Keeper.
type Options struct {
	Self   Member
	Caller Caller
	// Members returns the other daemons that should be alive, including those that do not
	// answer, because the report names them.
	Members func() []Member
	// Text returns the operators' text in force, or nil before there is one.
	Text   func() *dogwoodsettings.Text
	Logger hclog.Logger
}

// Keeper holds a daemon's own counters and its copies of other daemons' counters. It is safe
// for concurrent use.
type Keeper struct {
	options Options

	mutex  sync.Mutex
	ledger *dogwoodburn.Ledger
	// kept holds the copies of other daemons' counters.
	kept map[dogwoodfleet.InstanceID]dogwoodburn.Snapshot
	// sent is the time of the last snapshot of this daemon's counters that each peer has received.
	sent map[dogwoodfleet.InstanceID]time.Time
}

// New returns a Keeper whose counters start now.
func New(options Options) *Keeper {
	return &Keeper{
		options: options,
		ledger:  dogwoodburn.NewLedger(options.Self.VM, options.Self.Instance, time.Now()),
		kept:    map[dogwoodfleet.InstanceID]dogwoodburn.Snapshot{},
		sent:    map[dogwoodfleet.InstanceID]time.Time{},
	}
}

// Record counts an outcome. It does no network I/O.
func (keeper *Keeper) Record(outcome dogwoodburn.Outcome) {
	var objectives dogwoodsettings.Objectives
	if text := keeper.options.Text(); text != nil {
		if service, known := text.Service(outcome.Service); known {
			objectives = service.Objectives
		}
	}
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.ledger.Record(time.Now(), outcome, objectives)
}

// Run sends copies to peers once a minute until the context ends.
func (keeper *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			keeper.Exchange(ctx)
			keeper.expire(time.Now())
		}
	}
}

// Exchange sends the changed counters to the peers that hold this daemon's copies. A daemon
// that stops calls it once more, so that a graceful stop loses no counts.
func (keeper *Keeper) Exchange(ctx context.Context) {
	for _, member := range CopyHolders(keeper.options.Self, keeper.options.Members()) {
		if err := keeper.send(ctx, member); err != nil {
			keeper.options.Logger.Debug("failed to send a copy to a peer", "vm", member.VM, "error", err)
		}
	}
}

func (keeper *Keeper) send(ctx context.Context, member Member) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	keeper.mutex.Lock()
	snapshot := keeper.ledger.Snapshot(time.Now(), keeper.sent[member.Instance])
	keeper.mutex.Unlock()
	var answer Kept
	if err := keeper.options.Caller.Call(callCtx, member.Peer, "Burn.Keep", snapshot, &answer); err != nil {
		return Error.Wrap(err)
	}
	keeper.mutex.Lock()
	keeper.sent[member.Instance] = snapshot.TakenAt
	keeper.mutex.Unlock()
	return nil
}

// CopyHolders returns the members that hold the copies of self's counters. These are the ones that
// follow it in the order of VM names, so that copies are spread evenly over the daemons.
func CopyHolders(self Member, members []Member) []Member {
	others := slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return member.VM == self.VM })
	slices.SortFunc(others, func(a, b Member) int {
		return compareAfter(self.VM, a.VM, b.VM)
	})
	return others[:min(copiesPerDaemon, len(others))]
}

// compareAfter compares a and b by their position after self in the order of names, which wraps
// around at the end.
func compareAfter(self, a, b dogwoodfleet.VM) int {
	aWraps, bWraps := a < self, b < self
	switch {
	case aWraps != bWraps && aWraps:
		return 1
	case aWraps != bWraps:
		return -1
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// keep stores or updates the copy of another daemon's counters.
func (keeper *Keeper) keep(snapshot dogwoodburn.Snapshot) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	held := keeper.kept[snapshot.Instance]
	held.Update(snapshot)
	keeper.kept[snapshot.Instance] = held
}

// expire deletes the copies that are older than every window of the report, and the send times
// of peers that are no longer members.
func (keeper *Keeper) expire(now time.Time) {
	members := keeper.options.Members()
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	for instance, snapshot := range keeper.kept {
		if snapshot.Expired(now) {
			delete(keeper.kept, instance)
		}
	}
	for instance := range keeper.sent {
		if !slices.ContainsFunc(members, func(member Member) bool { return member.Instance == instance }) {
			delete(keeper.sent, instance)
		}
	}
}

// holdings returns this daemon's own counters and the copies that it holds.
func (keeper *Keeper) holdings(now time.Time) Holdings {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	holdings := Holdings{Own: keeper.ledger.Snapshot(now, time.Time{})}
	for _, snapshot := range keeper.kept {
		holdings.Kept = append(holdings.Kept, snapshot)
	}
	return holdings
}
