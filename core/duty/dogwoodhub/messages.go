// Package dogwoodhub joins leaves to hubs (dogwoodhubs): a leaf keeps one link, to a hub, and
// one question there that the hub holds back until there is news. The answer holds what
// changed in the store's tables, with a proof of how old it is, and the hubs that callers may
// use. The question itself tells the hub that the leaf lives. So a leaf costs the same in a
// fleet of twenty and of five hundred, and the store is not asked by it at all.
//
// Nobody appoints hubs for good: a hub that sees too few in its data centre promotes the best
// of its leaves, one that is not needed any more becomes a leaf, and a daemon that finds no hub
// offers itself (Duty).
package dogwoodhub

import (
	"context"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"dogwoodmux.example/core/decision/dogwoodhubs"
	"dogwoodmux.example/core/state/dogwoodcopy"
)

// Error is the class of this package's errors.
var Error = errs.Class("hub")

// Name is what the receiver is registered as with the peers' server.
const Name = "Hub"

const (
	// holdFor is how long a hub holds a question back while there is no news. Each proof of the
	// store is news, and one comes every second, so an answer is seldom held back so long.
	holdFor = 1200 * time.Millisecond
	// answerWithin is the time that an answer may take besides: ways and a busy small VM. A hub
	// that is frozen is left after this and holdFor.
	answerWithin = 400 * time.Millisecond
	// silence is how long a leaf may ask nothing before its hub forgets it: two questions, and
	// the time in which it would have found another hub.
	silence = 3 * time.Second
)

// Position is how much of a table a leaf knows.
type Position struct {
	Table string
	// After is the version that it knows, -1 for nothing.
	After int64
	// Age is that of its last proof.
	Age time.Duration
}

// Question is what a leaf asks its hub. It also tells that the leaf lives.
type Question struct {
	Leaf   dogwoodhubs.Daemon
	Tables []Position
	// Fleet is the version of the list of hubs that it knows; 0 for none.
	Fleet uint64
}

// TableNews is what a hub knows of a table beyond the leaf's position.
type TableNews struct {
	Table string
	dogwoodcopy.Told
}

// Fleet is what a hub knows of the others.
type Fleet struct {
	Version uint64
	Hubs    []dogwoodhubs.Daemon
	// Daemons is how many there are, hubs and leaves.
	Daemons int
}

// News is a hub's answer.
type News struct {
	Tables []TableNews
	// Fleet is nil if the leaf knows it.
	Fleet *Fleet
	// Promoted asks the leaf to become a hub.
	Promoted bool
}

// Caller calls other daemons.
type Caller interface {
	Call(ctx context.Context, peer netip.AddrPort, method string, args, reply any) error
}
