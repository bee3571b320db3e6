// Package dogwoodreader reads the tables of a store: from the store itself, from a peer that
// reads it, or, on a leaf, from the updates that the leaf's hub sends (dogwoodhub). A daemon that
// receives its tables from a hub is called fed.
//
// Load pattern: every daemon must learn of each change almost at once and confirm every second
// that it has missed none. If each daemon queried the store, the store would receive as many
// queries as daemons times changes. So a few daemons read the store, and the others query one
// of these, which answers as soon as it learns of a change.
//
// A peer's answer is as good a confirmation as the store's own, but it is older by the network
// latency: the querying daemon dates it to the time at which it sent the query, on its own
// clock, minus the age that the store's last confirmation had at the peer when the query
// arrived. So neither latency nor a suspended daemon can make a confirmation look younger than
// it is. A peer forwards only what it received from the store itself, and nothing once that is
// older than staleAfter.
//
// A reader that dies, freezes or loses the store is detected within maxHold plus
// answerAllowance, or within answerAllowance while its answer arrives; from then on the daemon queries the store itself and tries another reader
// later. So no daemon depends on another one to serve. A daemon that must query the store itself
// and gets no answer queries the others for as long as that lasts.
package dogwoodreader

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodfreshness"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/dogwoodprogress"
	"dogwoodmux.example/core/state/dogwoodcopy"
)

// Error is the class of this package's errors.
var Error = errs.Class("reader")

// errStale reports that a reader, or the hub of a fed daemon, has no recent answer from the
// store.
var errStale = errors.New("no recent answer from the store")

const (
	// Name is the name under which the receiver is registered with the peers' server.
	Name = "Reader"
	// maxHold is how long a reader holds a query while nothing changes. A reader queries the
	// store again after a second, so a confirmation is at most 1.4 s old. That is below 1.6 s,
	// the age up to which a daemon may reject a request because the operators' text does not
	// allow it.
	maxHold = 400 * time.Millisecond
	// answerAllowance is the time that an answer may take in addition to maxHold: network
	// latency and the delay of a busy small VM. A frozen reader is dropped after both, well
	// before the two seconds within which a change must be in force.
	answerAllowance = 400 * time.Millisecond
	// feedCheckInterval is how often a fed daemon checks the age of its last confirmation.
	feedCheckInterval = 200 * time.Millisecond
	// staleAfter is the age of the store's last answer to a reader at which the reader stops
	// answering others: a second's wait in the store, the 0.4 s for which changes are gathered
	// before that, and the duration of a slow answer.
	staleAfter = 1800 * time.Millisecond
	// fedStaleAfter is the age of the last confirmation at which a fed daemon considers the
	// store lost: the greatest age at its hub, plus the time for which the hub may hold its
	// answer.
	fedStaleAfter = 3 * time.Second
	// failedBackoff is how long a reader that failed is not queried again. staleBackoff is that
	// time for a reader without a recent answer from the store: it may have lost its own reader
	// a moment ago.
	failedBackoff = 5 * time.Second
	staleBackoff  = time.Second
	// storeBackoff is how long the store is not queried after it has failed, as long as another daemon answers
	// instead.
	storeBackoff = time.Second
	// staleWait is how long a query waits for a change if the last confirmation is older than staleAfter, as after a
	// suspension.
	staleWait = 50 * time.Millisecond
	// storeFailureTTL is how long a failed query shows that the store is away: it covers the longest time between
	// two queries that go unanswered.
	storeFailureTTL = 4 * time.Second
)

// Source answers queries for the tables of a store.
type Source interface {
	// Whole returns a whole table.
	Whole(ctx context.Context, table string) (dogwoodcopy.Answer, error)
	// Changes waits up to the given time for changes of a table after a version.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (dogwoodcopy.Answer, error)
}

// Caller calls other daemons. Calls report the bytes of their answers to the context's dogwoodprogress.Progress.
type Caller interface {
	Call(ctx context.Context, peer netip.AddrPort, method string, args, reply any) error
}

// Peer is a daemon that reads the store.
type Peer struct {
	Instance dogwoodfleet.InstanceID
	Address  netip.AddrPort
}

// Options configure a Reader.
type Options struct {
	Store  Source
	Caller Caller
	// Clock is the clock by which confirmations are dated.
	Clock dogwoodfreshness.Clock
	// Readers lists the daemons that this one may query, in order of preference; none if it
	// must query the store.
	Readers func() []Peer
	// Fallbacks lists further daemons to query while the store does not answer this one, in order of
	// preference; nil for none.
	Fallbacks func() []Peer
	// Fed reports whether this daemon is fed: answers arrive through Apply, and it queries neither
	// the store nor a peer. It also returns a channel that is closed when that may have changed.
	// Fed is nil for a daemon that is never fed.
	Fed    func() (fed bool, changed <-chan struct{})
	Logger hclog.Logger
}

// Reader is a Source that queries the store or a peer, or is fed. It is safe for concurrent
// use.
type Reader struct {
	options Options

	mutex        sync.Mutex
	copies       map[string]*dogwoodcopy.Copy
	answeredAt   map[string]time.Duration              // when the store itself last answered a query for a table
	backoffUntil map[dogwoodfleet.InstanceID]time.Time // when readers that failed may be queried again
	lastQueried  dogwoodfleet.InstanceID               // the reader queried last, for the log
	storeFailed  time.Time                             // when a query to the store last failed; zero since it last answered
	failedAt     map[string]time.Duration              // when the store last failed a query for a table that it has not answered since
}

// New returns a Reader without any table yet.
func New(options Options) *Reader {
	return &Reader{
		options: options, copies: map[string]*dogwoodcopy.Copy{}, answeredAt: map[string]time.Duration{}, backoffUntil: map[dogwoodfleet.InstanceID]time.Time{},
		failedAt: map[string]time.Duration{},
	}
}

// Whole returns a whole table: as fed if this daemon is fed, otherwise from a peer that reads
// the store or else from the store.
func (reader *Reader) Whole(ctx context.Context, table string) (dogwoodcopy.Answer, error) {
	const noVersion = -1
	if answer, fed, err := reader.awaitFeed(ctx, table, noVersion, fedStaleAfter); fed {
		return answer, err
	}
	if answer, _, ok := reader.queryPeer(ctx, table, noVersion); ok {
		return answer, nil
	}
	return reader.queryStore(ctx, table, noVersion, 0, func(ctx context.Context, _ time.Duration) (dogwoodcopy.Answer, error) {
		return reader.options.Store.Whole(ctx, table)
	})
}

// Changes waits for changes of a table after a version: as fed if this daemon is fed, otherwise
// from a peer that reads the store or else from the store.
func (reader *Reader) Changes(ctx context.Context, table string, after int64, wait time.Duration) (dogwoodcopy.Answer, error) {
	if answer, fed, err := reader.awaitFeed(ctx, table, after, wait); fed {
		return answer, err
	}
	answer, queried, ok := reader.queryPeer(ctx, table, after)
	if ok {
		return answer, nil
	}
	// If the last confirmation is already old, this query must not wait for a change.
	if queried {
		wait = 0
	} else if _, age := reader.Position(table); age > staleAfter {
		wait = min(wait, staleWait)
	}
	return reader.queryStore(ctx, table, after, wait, func(ctx context.Context, wait time.Duration) (dogwoodcopy.Answer, error) {
		return reader.options.Store.Changes(ctx, table, after, wait)
	})
}

// storeQuery queries the store for a table and waits up to the given time for a change.
type storeQuery func(ctx context.Context, wait time.Duration) (dogwoodcopy.Answer, error)

// queryStore queries the store. While the store fails, it queries the fallbacks: a daemon that
// alone has lost the store would otherwise serve an old text, together with all daemons that it feeds.
func (reader *Reader) queryStore(ctx context.Context, table string, after int64, wait time.Duration, query storeQuery) (dogwoodcopy.Answer, error) {
	if reader.storeFailedRecently(time.Now()) {
		if answer, ok := reader.queryFallbacks(ctx, table, after); ok {
			return answer, nil
		}
	}
	answer, err := reader.queryStoreOnce(ctx, table, wait, query)
	switch {
	case err == nil, ctx.Err() != nil:
		return answer, err
	case errors.Is(err, dogwoodprogress.ErrSilent):
		return reader.queryAgain(ctx, table, after, query)
	}
	if told, ok := reader.queryFallbacks(ctx, table, after); ok {
		return told, nil
	}
	return answer, err
}

// queryStoreOnce queries the store and records whether it has answered.
func (reader *Reader) queryStoreOnce(ctx context.Context, table string, wait time.Duration, query storeQuery) (dogwoodcopy.Answer, error) {
	answer, err := query(ctx, wait)
	switch {
	case err == nil:
		reader.applyStoreAnswer(table, answer)
	case ctx.Err() == nil:
		reader.recordStoreFailure(time.Now(), table)
	}
	return answer, err
}

// queryAgain queries the fallbacks after a query to which the store was silent, and at the same time the store, as only the
// connection may have been silent. So may those to the fallbacks, each of which costs its time limit. It returns the first answer.
func (reader *Reader) queryAgain(ctx context.Context, table string, after int64, query storeQuery) (dogwoodcopy.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var told, answer dogwoodcopy.Answer
	var isTold bool
	var err error
	var group errgroup.Group
	run := func(query func() bool) {
		group.Go(func() error {
			return dogwoodkernel.Recovered(func() error {
				if query() {
					cancel()
				}
				return nil
			})
		})
	}
	run(func() bool {
		told, isTold = reader.queryFallbacks(ctx, table, after)
		return isTold
	})
	run(func() bool {
		answer, err = reader.queryStoreOnce(ctx, table, 0, query)
		return err == nil
	})
	if panicked := group.Wait(); panicked != nil {
		return answer, Error.Wrap(panicked)
	}
	if err != nil && isTold {
		return told, nil
	}
	return answer, err
}

func (reader *Reader) storeFailedRecently(now time.Time) bool {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return !reader.storeFailed.IsZero() && now.Sub(reader.storeFailed) < storeBackoff
}

func (reader *Reader) recordStoreFailure(now time.Time, table string) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	reader.storeFailed, reader.failedAt[table] = now, reader.options.Clock()
}

// StoreAway reports whether the store, as far as this daemon knows, answers no daemon's queries for a table: it
// has failed this one's, and the others that this one queries have nothing newer.
func (reader *Reader) StoreAway(table string) bool {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	failedAt, failed := reader.failedAt[table]
	return failed && reader.options.Clock()-failedAt < storeFailureTTL
}

// queryFallbacks queries the fallbacks that have not failed recently until one answers.
func (reader *Reader) queryFallbacks(ctx context.Context, table string, after int64) (dogwoodcopy.Answer, bool) {
	if reader.options.Fallbacks == nil {
		return dogwoodcopy.Answer{}, false
	}
	fallbacks := reader.options.Fallbacks()
	for range fallbacks {
		if ctx.Err() != nil {
			break
		}
		answer, queried, ok := reader.queryFirst(ctx, fallbacks, table, after)
		if ok || !queried {
			return answer, ok
		}
	}
	return dogwoodcopy.Answer{}, false
}

// applyStoreAnswer applies an answer of the store itself.
func (reader *Reader) applyStoreAnswer(table string, answer dogwoodcopy.Answer) {
	reader.mutex.Lock()
	reader.answeredAt[table], reader.storeFailed = reader.options.Clock(), time.Time{}
	delete(reader.failedAt, table)
	reader.mutex.Unlock()
	reader.copyOf(table).Apply(answer, true)
}

// freshFor returns how much longer this daemon may forward its copy of a table; zero or less if
// it may not.
func (reader *Reader) freshFor(table string) time.Duration {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return staleAfter - (reader.options.Clock() - reader.answeredAt[table])
}

// queryPeer queries the first of the readers that has not failed recently. It reports whether there is
// one, and whether it answered.
func (reader *Reader) queryPeer(ctx context.Context, table string, after int64) (answer dogwoodcopy.Answer, queried, ok bool) {
	return reader.queryFirst(ctx, reader.options.Readers(), table, after)
}

// queryFirst queries the first of some peers that has not failed recently.
func (reader *Reader) queryFirst(ctx context.Context, peers []Peer, table string, after int64) (answer dogwoodcopy.Answer, queried, ok bool) {
	peer, found := reader.choosePeer(time.Now(), peers)
	if !found {
		return answer, false, false
	}
	answer, err := reader.query(ctx, peer, table, after)
	if err != nil {
		if ctx.Err() == nil {
			reader.backOff(peer, err)
		}
		return answer, true, false
	}
	reader.copyOf(table).Apply(answer, false)
	return answer, true, true
}

// awaitFeed waits until Apply has applied changes or a later confirmation. It returns false if
// this daemon is not fed or is no longer fed.
func (reader *Reader) awaitFeed(ctx context.Context, table string, after int64, wait time.Duration) (dogwoodcopy.Answer, bool, error) {
	tableCopy := reader.copyOf(table)
	started, ticker := time.Now(), time.NewTicker(feedCheckInterval)
	defer ticker.Stop()
	_, lastConfirmed := tableCopy.Known()
	for {
		fed, changed := reader.isFed()
		if !fed {
			return dogwoodcopy.Answer{}, false, nil
		}
		answer, updated, ok := tableCopy.Latest(after)
		if ok && (answer.Whole || len(answer.Rows) > 0 || answer.Proven > lastConfirmed) {
			return answer, true, nil
		}
		if time.Since(started) >= wait && (!ok || reader.options.Clock()-answer.Proven > fedStaleAfter) {
			return answer, true, Error.Wrap(errStale)
		}
		// A daemon that becomes a hub must query the store at once: until it has an answer it
		// rejects all callers, and after a power loss of the whole fleet every hub does so.
		select {
		case <-updated:
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return answer, true, ctx.Err()
		}
	}
}

func (reader *Reader) isFed() (bool, <-chan struct{}) {
	if reader.options.Fed == nil {
		return false, nil
	}
	return reader.options.Fed()
}

// Apply applies an answer that the hub sent for a table.
func (reader *Reader) Apply(table string, answer dogwoodcopy.Answer) {
	reader.copyOf(table).Apply(answer, false)
}

// Position returns the version of a table that this daemon has, -1 for none, and the age of the
// last confirmation.
func (reader *Reader) Position(table string) (version int64, age time.Duration) {
	version, confirmed := reader.copyOf(table).Known()
	return version, reader.options.Clock() - confirmed
}

// Latest returns the changes of a table that this daemon has, and a channel that is closed at the
// next answer. Send the result only to daemons that don't forward it.
func (reader *Reader) Latest(table string, after int64) (dogwoodcopy.Answer, <-chan struct{}, bool) {
	return reader.copyOf(table).Latest(after)
}

// query queries a peer for changes.
func (reader *Reader) query(ctx context.Context, peer Peer, table string, after int64) (dogwoodcopy.Answer, error) {
	sentAt := reader.options.Clock()
	var told Told
	transfer := dogwoodcopy.Transfer{First: maxHold + answerAllowance, Step: answerAllowance}
	err := transfer.Run(ctx, func(ctx context.Context) error {
		return reader.options.Caller.Call(ctx, peer.Address, Name+".Changes", Query{Table: table, After: after, Compressed: true}, &told)
	})
	if err != nil {
		return dogwoodcopy.Answer{}, Error.Wrap(err)
	}
	if told.Stale {
		return dogwoodcopy.Answer{}, Error.Wrap(errStale)
	}
	decompressed, err := told.Decompress()
	if err != nil {
		return dogwoodcopy.Answer{}, Error.Wrap(err)
	}
	return decompressed.ToLocalClock(sentAt, after), nil
}

// choosePeer returns the first peer that has not failed recently.
func (reader *Reader) choosePeer(now time.Time, peers []Peer) (Peer, bool) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	for _, peer := range peers {
		if now.After(reader.backoffUntil[peer.Instance]) {
			if peer.Instance != reader.lastQueried {
				reader.lastQueried = peer.Instance
				reader.options.Logger.Info("Asking another daemon for changes.", "peer", peer.Instance)
			}
			return peer, true
		}
	}
	reader.lastQueried = ""
	return Peer{}, false
}

// backOff excludes a reader that failed from queries for a while.
func (reader *Reader) backOff(peer Peer, err error) {
	reader.options.Logger.Info("A daemon that reads the store does not answer.", "peer", peer.Instance, "error", err)
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	now := time.Now()
	for instance, until := range reader.backoffUntil {
		if now.After(until) {
			delete(reader.backoffUntil, instance)
		}
	}
	pause := failedBackoff
	if errors.Is(err, errStale) {
		pause = staleBackoff
	}
	reader.backoffUntil[peer.Instance] = now.Add(pause)
}

// copyOf returns this daemon's copy of a table.
func (reader *Reader) copyOf(name string) *dogwoodcopy.Copy {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	tableCopy := reader.copies[name]
	if tableCopy == nil {
		tableCopy = dogwoodcopy.New()
		reader.copies[name] = tableCopy
	}
	return tableCopy
}
