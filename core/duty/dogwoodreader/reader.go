// Package dogwoodreader reads the tables of a store, or has a peer tell what it read, or is
// fed by the hub of a daemon that is a leaf (dogwoodhub).
//
// Load pattern: every daemon must know of each change within moments and prove every second
// that it has missed none. Asked by each daemon, the store has as many questions as daemons
// times changes. So a few daemons read the store, and the others ask one of these, which
// answers as soon as it knows of a change.
//
// What a peer tells is as good a proof as the store's own answer, if it is older by the way:
// the asking daemon takes the moment at which it asked, on its own clock, less the age that
// the store's last proof then had at the peer. So neither the way nor a daemon that stands
// still can make a proof look younger than it is. A peer passes on only what the store told
// it itself, and nothing once that is older than staleAfter.
//
// A reader that dies, freezes or loses the store shows within holdFor and answerWithin; from
// then on the daemon asks the store itself and tries another reader later. So no daemon
// needs another one to serve.
package dogwoodreader

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"dogwoodmux.example/core/decision/dogwoodfreshness"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/state/dogwoodcopy"
)

// Error is the class of this package's errors.
var Error = errs.Class("reader")

// errStale is a reader's answer when it has not heard from the store lately.
var errStale = errors.New("not heard from the store lately")

const (
	// Name is what the receiver is registered as with the peers' server.
	Name = "Reader"
	// holdFor is how long a reader holds a question back while nothing changes. With the
	// second after which a reader asks the store again, a proof is 1.4 s old at most, under
	// the 1.6 s up to which a daemon tells callers that the text does not allow a request.
	holdFor = 400 * time.Millisecond
	// answerWithin is the time that an answer may take besides: ways and a busy small VM. A
	// reader that is frozen is left after this and holdFor, well before the two seconds in
	// which a change must be in force.
	answerWithin = 400 * time.Millisecond
	// awaitSlice is how often a daemon that is fed looks how old its last proof is.
	awaitSlice = 200 * time.Millisecond
	// staleAfter is how long ago the store may last have answered a reader for it to tell others:
	// a second's wait in the store, the 0.4 s for which changes are gathered before that, and the
	// time that a slow answer takes.
	staleAfter = 1800 * time.Millisecond
	// fedStaleAfter is the age of the last proof at which a daemon that is fed takes the store for
	// lost: that at its hub, and the time for which the hub may hold back its answer.
	fedStaleAfter = 3 * time.Second
	// leaveFor is how long a reader that failed is not asked again, leaveStaleFor one that has
	// not heard from the store lately: it may have lost its own reader a moment ago.
	leaveFor      = 5 * time.Second
	leaveStaleFor = time.Second
)

// Source is a store.
type Source interface {
	// Whole reads a table.
	Whole(ctx context.Context, table string) (dogwoodcopy.Answer, error)
	// Changes waits for changes of a table after a version.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (dogwoodcopy.Answer, error)
}

// Caller calls other daemons.
type Caller interface {
	Call(ctx context.Context, peer netip.AddrPort, method string, args, reply any) error
}

// Peer is a daemon that reads the store.
type Peer struct {
	Instance dogwoodfleet.InstanceID
	Address  netip.AddrPort
}

// Options are what a reader is made from.
type Options struct {
	Store  Source
	Caller Caller
	// Clock is the one that proofs are on.
	Clock dogwoodfreshness.Clock
	// Readers lists the daemons that this one may ask, the best first; none if it is to ask
	// the store.
	Readers func() []Peer
	// Fed tells whether answers come by Feed, so that nobody is to be asked, with a channel that is
	// closed when that may have changed; nil for never.
	Fed    func() (fed bool, changed <-chan struct{})
	Logger hclog.Logger
}

// Reader is a Source that asks the store or a peer. It is safe for concurrent use.
type Reader struct {
	options Options

	mutex    sync.Mutex
	copies   map[string]*dogwoodcopy.Copy
	answered map[string]time.Duration              // when the store itself last answered about a table
	left     map[dogwoodfleet.InstanceID]time.Time // readers that failed, and when they may be asked again
	asked    dogwoodfleet.InstanceID               // the reader asked last, for the log
}

// New returns a reader.
func New(options Options) *Reader {
	return &Reader{
		options: options, copies: map[string]*dogwoodcopy.Copy{}, answered: map[string]time.Duration{}, left: map[dogwoodfleet.InstanceID]time.Time{},
	}
}

// Whole reads a table, as it is fed, or from a peer that reads it or else from the store.
func (reader *Reader) Whole(ctx context.Context, table string) (dogwoodcopy.Answer, error) {
	const never = -1
	if answer, fed, err := reader.await(ctx, table, never, fedStaleAfter); fed {
		return answer, err
	}
	if answer, _, ok := reader.askPeer(ctx, table, never); ok {
		return answer, nil
	}
	answer, err := reader.options.Store.Whole(ctx, table)
	if err != nil {
		return answer, err
	}
	reader.takeDirect(table, answer)
	return answer, nil
}

// Changes waits for changes of a table, as it is fed, at a peer that reads it or else in the
// store.
func (reader *Reader) Changes(ctx context.Context, table string, after int64, wait time.Duration) (dogwoodcopy.Answer, error) {
	if answer, fed, err := reader.await(ctx, table, after, wait); fed {
		return answer, err
	}
	answer, asked, ok := reader.askPeer(ctx, table, after)
	if ok {
		return answer, nil
	}
	if asked {
		// The last proof is old already, so this question must not wait for a change.
		wait = 0
	}
	answer, err := reader.options.Store.Changes(ctx, table, after, wait)
	if err != nil {
		return answer, err
	}
	reader.takeDirect(table, answer)
	return answer, nil
}

// takeDirect takes in what the store itself answered.
func (reader *Reader) takeDirect(table string, answer dogwoodcopy.Answer) {
	reader.mutex.Lock()
	reader.answered[table] = reader.options.Clock()
	reader.mutex.Unlock()
	reader.table(table).Take(answer, true)
}

// staleIn is how long what this daemon knows of a table may still be told to others; zero or
// less if it may not.
func (reader *Reader) staleIn(table string) time.Duration {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return staleAfter - (reader.options.Clock() - reader.answered[table])
}

// askPeer asks the first peer that has not failed lately. It returns whether there is one,
// and whether it answered.
func (reader *Reader) askPeer(ctx context.Context, table string, after int64) (answer dogwoodcopy.Answer, asked, ok bool) {
	peer, found := reader.choose(time.Now())
	if !found {
		return answer, false, false
	}
	answer, err := reader.ask(ctx, peer, table, after)
	if err != nil {
		reader.leave(peer, err)
		return answer, true, false
	}
	reader.table(table).Take(answer, false)
	return answer, true, true
}

// await waits for news that are fed, or for a later proof. It returns false once this daemon
// is not fed any more.
func (reader *Reader) await(ctx context.Context, table string, after int64, wait time.Duration) (dogwoodcopy.Answer, bool, error) {
	known := reader.table(table)
	begun, slice := time.Now(), time.NewTicker(awaitSlice)
	defer slice.Stop()
	_, proven := known.Known()
	for {
		fed, changed := reader.fed()
		if !fed {
			return dogwoodcopy.Answer{}, false, nil
		}
		answer, took, ok := known.Latest(after)
		if ok && (answer.Whole || len(answer.Rows) > 0 || answer.Proven > proven) {
			return answer, true, nil
		}
		if time.Since(begun) >= wait && (!ok || reader.options.Clock()-answer.Proven > fedStaleAfter) {
			return answer, true, Error.Wrap(errStale)
		}
		// A daemon that becomes a hub must ask the store at that moment: until it has, it refuses
		// all callers, and after a loss of power everywhere each hub does.
		select {
		case <-took:
		case <-changed:
		case <-slice.C:
		case <-ctx.Done():
			return answer, true, ctx.Err()
		}
	}
}

func (reader *Reader) fed() (bool, <-chan struct{}) {
	if reader.options.Fed == nil {
		return false, nil
	}
	return reader.options.Fed()
}

// Feed takes in what the hub told of a table.
func (reader *Reader) Feed(table string, answer dogwoodcopy.Answer) {
	reader.table(table).Take(answer, false)
}

// Position is how much is known of a table: its version, -1 for nothing, and the age of the
// last proof.
func (reader *Reader) Position(table string) (version int64, age time.Duration) {
	version, proven := reader.table(table).Known()
	return version, reader.options.Clock() - proven
}

// Latest returns what changed of a table as far as this daemon knows, and a channel that is
// closed when it is told more. It is for daemons that tell nobody else.
func (reader *Reader) Latest(table string, after int64) (dogwoodcopy.Answer, <-chan struct{}, bool) {
	return reader.table(table).Latest(after)
}

// ask asks a peer for changes.
func (reader *Reader) ask(ctx context.Context, peer Peer, table string, after int64) (dogwoodcopy.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, holdFor+answerWithin)
	defer cancel()
	asked := reader.options.Clock()
	var told Told
	if err := reader.options.Caller.Call(ctx, peer.Address, Name+".Changes", Question{Table: table, After: after}, &told); err != nil {
		return dogwoodcopy.Answer{}, Error.Wrap(err)
	}
	if told.Stale {
		return dogwoodcopy.Answer{}, Error.Wrap(errStale)
	}
	return told.Heard(asked, after), nil
}

// choose returns the first reader that has not failed lately.
func (reader *Reader) choose(now time.Time) (Peer, bool) {
	readers := reader.options.Readers()
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	for _, peer := range readers {
		if now.After(reader.left[peer.Instance]) {
			if peer.Instance != reader.asked {
				reader.asked = peer.Instance
				reader.options.Logger.Info("Asking another daemon for changes.", "peer", peer.Instance)
			}
			return peer, true
		}
	}
	reader.asked = ""
	return Peer{}, false
}

// leave has a reader that failed not be asked for a while.
func (reader *Reader) leave(peer Peer, err error) {
	reader.options.Logger.Info("A daemon that reads the store does not answer.", "peer", peer.Instance, "error", err)
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	now := time.Now()
	for instance, until := range reader.left {
		if now.After(until) {
			delete(reader.left, instance)
		}
	}
	pause := leaveFor
	if errors.Is(err, errStale) {
		pause = leaveStaleFor
	}
	reader.left[peer.Instance] = now.Add(pause)
}

func (reader *Reader) table(name string) *dogwoodcopy.Copy {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	known := reader.copies[name]
	if known == nil {
		known = dogwoodcopy.New()
		reader.copies[name] = known
	}
	return known
}
