// Package dogwoodmember knows which daemons are alive and which endpoints are in force.
//
// The platform's list of VMs lags, so it serves to find daemons; whether they live is
// decided by heartbeats. A daemon counts its own beats and tells its neighbours the latest
// count of every daemon it knows, with the time since that count was news. A daemon is
// alive while anyone's news of it is younger than the silence allowed. So a lost beat, or
// a link that carries only one direction, does not make a daemon dead while others hear it,
// and no daemon needs a link to every other.
//
// Without it, a dead daemon keeps owning endpoints until the platform's list catches up,
// and requests for these wait for minutes.
package dogwoodmember

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/state/dogwoodchange"
)

// Error is the class of this package's errors.
var Error = errs.Class("member")

const (
	// BeatEvery is the time between two heartbeats to a neighbour.
	BeatEvery = 500 * time.Millisecond
	// DefaultSilence is how old the latest news of a daemon may be: four beats and a half, so
	// that three lost in a row are borne, and a dead daemon is seen in less than 3 s with
	// the way of the last news and the next tick.
	DefaultSilence = 2250 * time.Millisecond
	// askAfter is the age of the latest news of a daemon at which it is asked directly, whoever
	// else is its neighbour: late enough that few living daemons reach it (five hops take
	// 1.25 s on average), and soon enough for one beat or two before they count as dead.
	askAfter = 1500 * time.Millisecond
	// TickEvery is how often ages are looked at.
	TickEvery = 100 * time.Millisecond
	// probeEvery is how often a daemon that is listed but not heard is tried: rarely, so
	// that regions that lost each other don't meet in a herd.
	probeEvery = 2 * time.Second
	// meetWithin is for how long one that was never heard is tried with every beat: after a loss of
	// power the others listen some moments later than this daemon looks for them.
	meetWithin = 3 * time.Second
	// calledWithin is how recent the last beat of a neighbour must be for this daemon to leave
	// the beats between them to it: two beats and a bit.
	calledWithin = 2*BeatEvery + 200*time.Millisecond
	// forgetAfter is when a daemon that is neither heard nor listed is forgotten.
	forgetAfter = 10 * time.Minute
	// leavingHolds is how long an endpoint's own word that it leaves counts. Its owner hears it
	// every second or so; a daemon that owned it before must not go by it for ever.
	leavingHolds = 10 * time.Second
)

// Member is one start of a daemon.
type Member struct {
	VM       dogwoodfleet.VM
	Instance dogwoodfleet.InstanceID
	Place    dogwoodfleet.Place
	Serve    netip.AddrPort
	Peer     netip.AddrPort
	Admin    netip.AddrPort
	// Cores is the processor that the daemon has; 0 if unknown.
	Cores float64
	// Started is on the daemon's own clock; of two starts on one VM the later counts.
	Started time.Time
	// Leaving is true when the daemon takes no more new work.
	Leaving bool
}

// id is short, since it is sent with every beat. Two daemons of one region share an id
// once in some hundred thousand fleets of today's size; one of them then goes unseen
// until it starts again.
func (member Member) id() uint32 {
	text := string(member.VM) + "\x00" + string(member.Instance)
	if member.Leaving {
		text += "\x00leaving"
	}
	return uint32(xxhash.Sum64String(text))
}

// later tells whether a member's record replaces the other of the same VM.
func (member Member) later(other Member) bool {
	if member.Instance == other.Instance {
		return member.Leaving && !other.Leaving
	}
	return member.Started.After(other.Started)
}

// Neighbours chooses whom a daemon sends its heartbeats. The members are sorted and
// include self. The choice must be mutual and must connect all.
type Neighbours interface {
	Neighbours(self dogwoodfleet.VM, members []dogwoodfleet.VM) []dogwoodfleet.VM
}

// Options configure members.
type Options struct {
	Self Member
	// Silence is 0 for DefaultSilence.
	Silence time.Duration
	// Neighbours is nil for all, the full mesh.
	Neighbours Neighbours
	// Logger is nil for none.
	Logger hclog.Logger
}

// Members is what one daemon knows of the others. It is safe for concurrent use.
type Members struct {
	options Options
	alive   atomic.Pointer[[]Member]
	fleet   atomic.Pointer[fleet]

	mutex   sync.Mutex
	self    Member
	counter uint32
	peers   map[dogwoodfleet.VM]*peer
	ids     map[uint32]dogwoodfleet.VM // of known records
	retired map[uint32]time.Time       // ids of records that were replaced
	listed  []dogwoodfleet.ListedVM
	view    dogwoodchange.View
	leaving map[dogwoodfleet.EndpointID]time.Time // by the endpoint's own word, and when it last said so
	changed chan struct{}
	ticked  time.Time
	// urgent has the next beat go to all neighbours, also to those that beat this daemon.
	urgent bool
	// lost is when a start of a daemon was last replaced or forgotten, with all it knew.
	lost time.Time
}

// peer is another daemon, listed, heard or both.
type peer struct {
	vm      dogwoodfleet.VM
	address netip.AddrPort
	region  dogwoodfleet.Region
	listed  bool
	// known is true once the record of this start is known.
	known   bool
	record  Member
	counter uint32
	// heard is when the latest count was news at the daemon that heard it directly.
	heard time.Time
	// sought is when it was first tried, tried when it was last.
	sought, tried time.Time
	// called is when its latest beat came here.
	called time.Time
	// learnt is when it was introduced: until it is heard or listed, it is remembered from then.
	learnt time.Time
}

// fleet is what is derived from the list and the changes.
type fleet struct {
	listed    []dogwoodfleet.ListedVM
	endpoints []dogwoodfleet.Endpoint
}

// New returns members that know only of themselves.
func New(options Options) *Members {
	if options.Silence == 0 {
		options.Silence = DefaultSilence
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	members := &Members{
		options: options,
		self:    options.Self,
		peers:   map[dogwoodfleet.VM]*peer{},
		ids:     map[uint32]dogwoodfleet.VM{},
		retired: map[uint32]time.Time{},
		leaving: map[dogwoodfleet.EndpointID]time.Time{},
		changed: make(chan struct{}),
	}
	members.alive.Store(&[]Member{options.Self})
	members.fleet.Store(&fleet{})
	return members
}

// Self returns this daemon's own record.
func (members *Members) Self() Member {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.self
}

// Alive returns the daemons that live, this one included, in the order of their VMs'
// names. Callers must not change the slice.
func (members *Members) Alive() []Member {
	return *members.alive.Load()
}

// Lost returns when a start of another daemon was last replaced or forgotten, and what it
// held in memory with it; zero for never.
func (members *Members) Lost() time.Time {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.lost
}

// AliveInstance tells whether that start of a daemon lives.
func (members *Members) AliveInstance(instance dogwoodfleet.InstanceID) bool {
	return slices.ContainsFunc(members.Alive(), func(member Member) bool { return member.Instance == instance })
}

// Watch returns a channel that is closed when the living daemons or the endpoints change.
func (members *Members) Watch() <-chan struct{} {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.changed
}

// Leave marks this daemon as leaving; its neighbours learn it with the next beat.
func (members *Members) Leave() {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	members.self.Leaving = true
	members.urgent = true
	members.refresh(time.Now())
}

// Tick looks at the ages of all news.
func (members *Members) Tick(now time.Time) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	members.forgivePause(now)
	members.forget(now)
	members.forgetLeaving(now)
	members.refresh(now)
}

// forgivePause guards against this daemon's own pause: it wakes, finds all news old, takes
// all others for dead and itself for the owner of every endpoint. A late tick shows that
// the silence was its own, so the news is aged only by the time that it was awake.
func (members *Members) forgivePause(now time.Time) {
	late := now.Sub(members.ticked) - TickEvery
	if !members.ticked.IsZero() && late > BeatEvery {
		for _, peer := range members.peers {
			if peer.heard.After(members.ticked.Add(-members.options.Silence)) {
				peer.heard = peer.heard.Add(late)
			}
		}
	}
	members.ticked = now
}

// forget drops peers that are neither listed nor heard, and old ids.
func (members *Members) forget(now time.Time) {
	for vm, peer := range members.peers {
		if !peer.listed && now.Sub(peer.heard) > forgetAfter && now.Sub(peer.learnt) > forgetAfter {
			if peer.known {
				members.lost = now
			}
			delete(members.peers, vm)
			delete(members.ids, peer.record.id())
		}
	}
	maps.DeleteFunc(members.retired, func(_ uint32, at time.Time) bool { return now.Sub(at) > forgetAfter })
}

// refresh publishes the living daemons if they changed. The caller holds the mutex.
func (members *Members) refresh(now time.Time) {
	living := []Member{members.self}
	for _, peer := range members.peers {
		if members.isAlive(peer, now) {
			living = append(living, peer.record)
		}
	}
	slices.SortFunc(living, func(a, b Member) int { return strings.Compare(string(a.VM), string(b.VM)) })
	before := *members.alive.Load()
	if slices.Equal(before, living) {
		return
	}
	members.logDifference(before, living)
	members.alive.Store(&living)
	members.announce()
}

func (members *Members) isAlive(peer *peer, now time.Time) bool {
	return peer.known && now.Sub(peer.heard) <= members.options.Silence
}

func (members *Members) logDifference(before, after []Member) {
	for _, member := range after {
		if !slices.Contains(before, member) {
			members.options.Logger.Info("Daemon is alive.", "vm", member.VM, "leaving", member.Leaving)
		}
	}
	for _, member := range before {
		gone := !slices.ContainsFunc(after, func(other Member) bool { return other.VM == member.VM })
		if gone {
			members.options.Logger.Warn("Daemon is silent.", "vm", member.VM)
		}
	}
}

func (members *Members) announce() {
	close(members.changed)
	members.changed = make(chan struct{})
}
