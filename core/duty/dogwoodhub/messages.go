// Package dogwoodhub connects leaves to hubs (dogwoodhubs). A leaf keeps one connection to one
// hub and one long poll there, which the hub holds until there is an update. The answer contains
// the changes in the store's tables, the time of the store's last confirmation, and the hubs that
// callers may use. The poll also serves as the leaf's heartbeat. A leaf therefore costs the same
// in a fleet of twenty daemons as in one of five hundred, and it does not query the store.
//
// The role of a hub is not permanent: a hub that sees too few hubs in a data centre promotes the
// best of its leaves there, a hub that is no longer needed becomes a leaf, and a daemon that
// finds no hub offers itself (Duty).
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

// Name is the name under which the receiver is registered with the peers' server.
const Name = "Hub"

const (
	// maxHold is how long a hub holds a poll while there is no update. Each confirmation by the
	// store is an update, and one arrives every second, so a poll is seldom held that long.
	maxHold = 1200 * time.Millisecond
	// answerTimeout is how long an answer may take in addition to the time for which it is held,
	// because of the network and of busy small VMs. A leaf leaves a frozen hub after the sum of
	// this and maxHold.
	answerTimeout = 400 * time.Millisecond
	// transferPatience is how long an answer may take as long as a part of it arrives within each answerTimeout, at any
	// rate. A large text takes long on the link of a small VM, and a poll that starts anew transfers it from the
	// beginning. An answer that takes longer must arrive at the rate that dogwoodcopy.Transfer requires.
	transferPatience = 8 * time.Second
	// leafTTL is the time without a poll after which a hub drops a leaf: it covers two polls and
	// the time in which the leaf would have found another hub.
	leafTTL = 3 * time.Second
)

// Position is a leaf's version of a table and how old that is.
type Position struct {
	Table string
	// After is the version that the leaf has, -1 for none.
	After int64
	// Age is the age of the last confirmation that the leaf has received.
	Age time.Duration
}

// FollowRequest is a leaf's poll of its hub. It is also the leaf's heartbeat.
type FollowRequest struct {
	Leaf dogwoodhubs.Daemon
	// Tables are the tables whose updates the leaf wants; none while it searches for a hub.
	Tables []Position
	// Fleet is the version of the list of hubs that the leaf has, 0 for none.
	Fleet uint64
	// Compressed allows the answer to contain compressed values.
	Compressed bool
}

// TableUpdate is an update of a table: the changes and the confirmation after the leaf's position.
type TableUpdate struct {
	Table string
	dogwoodcopy.Told
}

// Fleet is the fleet as a hub sees it.
type Fleet struct {
	Version uint64
	Hubs    []dogwoodhubs.Daemon
	// Daemons is the number of daemons, hubs and leaves together.
	Daemons int
}

// News is a hub's answer to a poll.
type News struct {
	Tables []TableUpdate
	// Fleet is nil if the leaf already has this version.
	Fleet *Fleet
	// Refused is the version of the hub's list of refused requests.
	Refused uint64
	// StoreAway is true if the store answers no daemon, as far as the hub knows.
	StoreAway bool
	// Promoted asks the leaf to become a hub.
	Promoted bool
}

// Caller calls other daemons. Calls report the bytes of their answers to the context's dogwoodprogress.Progress.
type Caller interface {
	Call(ctx context.Context, peer netip.AddrPort, method string, args, reply any) error
}
