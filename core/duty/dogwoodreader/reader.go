// Package dogwoodreader reads the tables of a store, or has a peer tell what it read.
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
	// staleAfter is the age of the store's last proof at which a reader tells others nothing:
	// a second's wait in the store, and the time that a slow answer takes.
	staleAfter = 1400 * time.Millisecond
	// leaveFor is how long a reader that failed is not asked again.
	leaveFor = 5 * time.Second
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
	Logger  hclog.Logger
}

// Reader is a Source that asks the store or a peer. It is safe for concurrent use.
type Reader struct {
	options Options

	mutex  sync.Mutex
	copies map[string]*dogwoodcopy.Copy
	left   map[dogwoodfleet.InstanceID]time.Time // readers that failed, and when they may be asked again
	asked  dogwoodfleet.InstanceID               // the reader asked last, for the log
}

// New returns a reader.
func New(options Options) *Reader {
	return &Reader{options: options, copies: map[string]*dogwoodcopy.Copy{}, left: map[dogwoodfleet.InstanceID]time.Time{}}
}

// Whole reads a table from the store.
func (reader *Reader) Whole(ctx context.Context, table string) (dogwoodcopy.Answer, error) {
	answer, err := reader.options.Store.Whole(ctx, table)
	if err != nil {
		return answer, err
	}
	reader.table(table).Take(answer, true)
	return answer, nil
}

// Changes waits for changes of a table, at a peer that reads it or else in the store.
func (reader *Reader) Changes(ctx context.Context, table string, after int64, wait time.Duration) (dogwoodcopy.Answer, error) {
	if peer, ok := reader.choose(time.Now()); ok {
		answer, err := reader.ask(ctx, peer, table, after)
		if err == nil {
			reader.table(table).Take(answer, false)
			return answer, nil
		}
		reader.leave(peer, err)
	}
	answer, err := reader.options.Store.Changes(ctx, table, after, wait)
	if err != nil {
		return answer, err
	}
	reader.table(table).Take(answer, true)
	return answer, nil
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
	answer := told.Answer
	answer.Proven = asked + told.ProvenAfter
	if answer.Version < after {
		// This daemon knew more than the reader does, from the store or another reader.
		answer.Whole, answer.Rows, answer.Version = false, nil, after
	}
	return answer, nil
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
	reader.left[peer.Instance] = now.Add(leaveFor)
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
