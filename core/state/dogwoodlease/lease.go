// Package dogwoodlease decides which daemon may issue orders (load a model, change a role)
// to the endpoints of a shard, and with which fencing number.
//
// Each daemon renews one session row. The row of a shard is written only when its holder
// changes, so the number of writes grows with the number of daemons and not of endpoints.
// The version of a shard's row is its fencing number. A session counts as expired only
// after a conditional write has ended it. That write fails if the session was renewed in
// the meantime, so stale reads can't end a live session.
//
// Without leases, a holder that was paused past the end of its lease would resume and undo
// the orders of its successor, or two daemons would alternately load different models onto
// one engine.
package dogwoodlease

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/state/dogwoodtable"
)

// Error is the class of this package's errors.
var Error = errs.Class("lease")

const (
	// SessionTable is the table of the daemons' sessions.
	SessionTable = "sessions"
	// ShardTable is the table that records which session holds each shard.
	ShardTable = "shards"
	// DefaultTerm is how long a session lasts after its renewal was sent. Orders are not
	// urgent, so it is acceptable that the shards of a dead holder are taken over only
	// after about two terms. With this term, 500 daemons write 50 rows a second.
	DefaultTerm = 30 * time.Second
	// renewalsPerTerm is the number of renewals in a term: two may fail before the third is late.
	renewalsPerTerm = 3
	// marginDivisor sets the safety margin at the end of a term, which is Term/marginDivisor.
	// The margin covers the time between the check of a lease and the arrival of the order,
	// and clocks that run at different rates.
	marginDivisor = 10
	// checkInterval is the time between checks for shards to take or release.
	checkInterval = 2 * time.Second
	// maxTakesPerCheck bounds the shards that one check tries to take. When a data centre is
	// lost, it spreads the reads of its shards' rows over half a minute.
	maxTakesPerCheck = 16
	// sessionRowTTL is how long the store keeps a session's row after the last write, so that
	// a late renewal of an ended session still conflicts with the write that ended it.
	sessionRowTTL = 24 * time.Hour
	callTimeout   = 2 * time.Second
)

// Store is the part of the table service that leases use.
type Store interface {
	Read(ctx context.Context, table, key string) (dogwoodtable.Row, bool, error)
	Commit(ctx context.Context, writes ...dogwoodtable.Write) ([]uint64, error)
}

// Options configures a Holder.
type Options struct {
	Store Store
	Self  dogwoodfleet.InstanceID
	// Term defaults to DefaultTerm if 0. It must be the same on all daemons.
	Term time.Duration
	// OrderTimeout is the longest time from the check of a lease until the order sent under
	// it has ended or was abandoned.
	OrderTimeout time.Duration
	// Logger may be nil to disable logging.
	Logger hclog.Logger
}

// Fence is the right to issue orders to a shard's endpoints.
type Fence struct {
	// Number is higher than the number of every previous holder.
	Number uint64
	// Until is when the right ends. Get a new Fence just before each order.
	Until time.Time
	// UncheckedFrom is the earliest time for orders to endpoints that ignore fencing numbers:
	// by then the last order of the previous holder has ended.
	UncheckedFrom time.Time
}

// Covers reports whether an order may be sent now to an endpoint. checksFencing is true if the
// endpoint checks fencing numbers.
func (fence Fence) Covers(checksFencing bool, now time.Time) bool {
	return now.Before(fence.Until) && (checksFencing || !now.Before(fence.UncheckedFrom))
}

// NotHeld is the error for a shard for which this daemon may not issue orders.
type NotHeld struct {
	Shard  string
	Reason string
}

func (notHeld *NotHeld) Error() string {
	return fmt.Sprintf("shard %s: %s", notHeld.Shard, notHeld.Reason)
}

// session is the value of a session's row.
type session struct {
	Holder dogwoodfleet.InstanceID
	// Renewal is a random value by which a daemon recognizes its own write.
	Renewal string
	Ended   bool
}

// shardRow is the value of a shard's row.
type shardRow struct {
	// Session is the session that holds the shard; empty if the shard was released.
	Session string
	Holder  dogwoodfleet.InstanceID
	// Settled is true if all orders of the previous holder had ended when it released the shard.
	Settled bool
}

// Holder acquires and holds leases for one daemon while Run is running. It is safe for
// concurrent use.
type Holder struct {
	options Options

	mutex  sync.Mutex
	wanted map[string]bool
	held   map[string]*heldShard
	// own is this daemon's current session. It is replaced by one with a new key after
	// another daemon has ended it.
	own ownSession
	// observed records for sessions of other daemons the latest version read, and when it was
	// first read.
	observed map[string]observedSession
}

type ownSession struct {
	key     string
	version uint64
	// sent is when the latest renewal known to be stored was sent; the term starts then.
	// The monotonic and the wall clock are both used, see termIsOver.
	sent time.Time
}

type heldShard struct {
	number    uint64
	unchecked time.Time
	// unwantedSince is when the shard ceased to be wanted; zero while it is wanted.
	unwantedSince time.Time
}

type observedSession struct {
	version uint64
	since   time.Time
}

// New returns a Holder without leases.
func New(options Options) *Holder {
	if options.Term == 0 {
		options.Term = DefaultTerm
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	return &Holder{
		options:  options,
		wanted:   map[string]bool{},
		held:     map[string]*heldShard{},
		observed: map[string]observedSession{},
		own:      ownSession{key: newSessionKey(options.Self)},
	}
}

func newSessionKey(self dogwoodfleet.InstanceID) string {
	return string(self) + "-" + uuid.NewString()[:8]
}

// SetWanted sets the shards that this daemon should hold. For shards that are no longer wanted,
// no more orders are permitted; they are released after the last order sent has ended.
func (holder *Holder) SetWanted(shards []string) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holder.wanted = map[string]bool{}
	for _, shard := range shards {
		holder.wanted[shard] = true
	}
	now := time.Now()
	for name, held := range holder.held {
		switch {
		case holder.wanted[name] && !held.unwantedSince.IsZero() && now.Sub(held.unwantedSince) < holder.options.OrderTimeout:
			held.unwantedSince = time.Time{}
		case !holder.wanted[name] && held.unwantedSince.IsZero():
			held.unwantedSince = now
		}
	}
}

// Held returns the shards for which this daemon may issue orders now, sorted.
func (holder *Holder) Held() []string {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	var shards []string
	for name, held := range holder.held {
		if held.unwantedSince.IsZero() && !holder.termIsOver(time.Now()) {
			shards = append(shards, name)
		}
	}
	slices.Sort(shards)
	return shards
}

// Fence returns the right to issue an order now. Call it just before each order, and send
// the order only if the fence covers its endpoint. The error is *NotHeld.
func (holder *Holder) Fence(shard string) (Fence, error) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	held, ok := holder.held[shard]
	now := time.Now()
	switch {
	case !ok:
		return Fence{}, &NotHeld{Shard: shard, Reason: "not held"}
	case !held.unwantedSince.IsZero():
		return Fence{}, &NotHeld{Shard: shard, Reason: "being released"}
	case holder.termIsOver(now):
		return Fence{}, &NotHeld{Shard: shard, Reason: "the session's term is over"}
	}
	return Fence{Number: held.number, Until: holder.leaseEnd(), UncheckedFrom: held.unchecked}, nil
}

// leaseEnd returns when the leases end: the end of the session's term less the margin.
func (holder *Holder) leaseEnd() time.Time {
	return holder.own.sent.Add(holder.options.Term - holder.options.Term/marginDivisor)
}

// termIsOver reports whether the session's term, less the margin, is over. It compares the
// monotonic clock, which is not affected by clock adjustments, and also the wall clock:
// the monotonic clock stops while a VM is suspended, so a holder that resumes would still
// treat its leases as valid. The caller holds the mutex.
func (holder *Holder) termIsOver(now time.Time) bool {
	end := holder.leaseEnd()
	return holder.own.sent.IsZero() || !now.Before(end) || !now.Round(0).Before(end.Round(0))
}

func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(Error.Wrap(err)) // can't happen: all row types can be encoded as JSON
	}
	return encoded
}

func decode[T any](value []byte) (T, error) {
	var decoded T
	err := json.Unmarshal(value, &decoded)
	return decoded, Error.Wrap(err)
}
