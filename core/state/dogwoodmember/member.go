// Package dogwoodmember tracks which daemons are alive and which endpoints are in force.
//
// The platform's list of VMs lags, so it is used only to find daemons; heartbeats decide
// whether they are alive. A daemon counts its own heartbeats and sends its neighbours the
// latest count of every living daemon that it knows, with the age of that count. A daemon
// is alive while the youngest update about it, from any daemon, is not older than the
// allowed silence. So a lost heartbeat or a link that works in one direction only does not
// make a daemon count as dead while others receive its heartbeats, and no daemon needs a
// link to every other.
//
// Without heartbeats, a dead daemon would own endpoints until the platform's list is
// updated, and requests for these endpoints would wait for minutes.
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
	// HeartbeatInterval is the time between two heartbeats to a neighbour.
	HeartbeatInterval = 500 * time.Millisecond
	// DefaultSilence is the maximum age of the latest update about a living daemon. It is four
	// and a half heartbeats: three heartbeats lost in a row are tolerated, and a dead daemon is
	// detected in less than 3 s, including the latency of the last update and of the next tick.
	DefaultSilence = 2250 * time.Millisecond
	// directHeartbeatAge is the age of the latest update about a daemon after which it is sent
	// heartbeats directly, neighbour or not. Few living daemons reach this age (five hops take
	// 1.25 s on average), and it leaves time for one or two heartbeats before the daemon counts
	// as dead.
	directHeartbeatAge = 1500 * time.Millisecond
	// TickInterval is the time between two calls of Tick.
	TickInterval = 100 * time.Millisecond
	// probeInterval is the time between two heartbeats to a daemon that is listed but silent.
	// It is long, so that regions that lost their connection don't reconnect with a thundering
	// herd.
	probeInterval = 2 * time.Second
	// startupProbeWindow is how long a daemon without any heartbeat so far is probed with every
	// heartbeat: after a power failure, other daemons may start to listen some moments after
	// this daemon's first probe.
	startupProbeWindow = 3 * time.Second
	// inboundHeartbeatTTL is how long after a neighbour's heartbeat this daemon need not send its
	// own to that neighbour. It is slightly more than the time of two heartbeats.
	inboundHeartbeatTTL = 2*HeartbeatInterval + 200*time.Millisecond
	// peerTTL is how long a daemon is kept that is neither listed nor sends heartbeats.
	peerTTL = 10 * time.Minute
	// leavingTTL is how long an endpoint's report that it is leaving stays valid. Its owner
	// receives the report about every second; without a limit, a former owner would use an
	// old report for ever.
	leavingTTL = 10 * time.Second
)

// Member is the record of one instance of a daemon.
type Member struct {
	VM       dogwoodfleet.VM
	Instance dogwoodfleet.InstanceID
	Place    dogwoodfleet.Place
	Serve    netip.AddrPort
	Peer     netip.AddrPort
	Admin    netip.AddrPort
	// Cores is the number of processor cores available to the daemon; 0 if unknown.
	Cores float64
	// Started is the start time on the daemon's own clock; of two instances on one VM the
	// later one counts.
	Started time.Time
	// Leaving is true when the daemon accepts no more new work.
	Leaving bool
}

// id returns a short id for the record, since it is sent with every heartbeat. Two daemons of
// one region have the same id in one of some hundred thousand fleets of today's size; one of
// the two then stays undetected until it restarts.
func (member Member) id() uint32 {
	text := string(member.VM) + "\x00" + string(member.Instance)
	if member.Leaving {
		text += "\x00leaving"
	}
	return uint32(xxhash.Sum64String(text))
}

// supersedes reports whether the record replaces another one of the same VM.
func (member Member) supersedes(other Member) bool {
	if member.Instance == other.Instance {
		return member.Leaving && !other.Leaving
	}
	return member.Started.After(other.Started)
}

// Neighbours selects the daemons to which a daemon sends heartbeats. The members are sorted
// and include self. The relation must be symmetric and must connect all members.
type Neighbours interface {
	Neighbours(self dogwoodfleet.VM, members []dogwoodfleet.VM) []dogwoodfleet.VM
}

// Options configures Members.
type Options struct {
	Self Member
	// Silence defaults to DefaultSilence if 0.
	Silence time.Duration
	// Neighbours may be nil for a full mesh.
	Neighbours Neighbours
	// Logger may be nil to disable logging.
	Logger hclog.Logger
}

// Members holds one daemon's records of the others. It is safe for concurrent use.
type Members struct {
	options Options
	alive   atomic.Pointer[[]Member]
	fleet   atomic.Pointer[fleet]

	mutex    sync.Mutex
	self     Member
	counter  uint32
	peers    map[dogwoodfleet.VM]*peer
	vmsByID  map[uint32]dogwoodfleet.VM // by the ids of current records
	retired  map[uint32]time.Time       // when the records with these ids were replaced
	listed   []dogwoodfleet.ListedVM
	view     dogwoodchange.View
	leaving  map[dogwoodfleet.EndpointID]time.Time // when each endpoint last reported that it is leaving
	changed  chan struct{}
	lastTick time.Time
	// urgent makes the next heartbeat go to all neighbours, also to those that send heartbeats
	// to this daemon.
	urgent bool
	// lastLoss is when an instance of a daemon was last replaced or dropped, and the state in
	// its memory lost with it.
	lastLoss time.Time
}

// peer is another daemon that is listed, was introduced, or both.
type peer struct {
	vm      dogwoodfleet.VM
	address netip.AddrPort
	region  dogwoodfleet.Region
	listed  bool
	// hasRecord is true once record is set.
	hasRecord bool
	record    Member
	counter   uint32
	// lastSeen is when the first daemon received the peer's heartbeat with the latest count. It
	// is computed from the age in the update.
	lastSeen time.Time
	// firstProbe and lastProbe are when the peer was first and last probed while silent.
	firstProbe, lastProbe time.Time
	// lastCall is when the peer last sent a heartbeat to this daemon.
	lastCall time.Time
	// introduced is when the peer's record was first received. The peer is kept for peerTTL
	// from then, even if it is neither listed nor sends heartbeats.
	introduced time.Time
}

// fleet holds the platform's list and the endpoints derived from it and the operators'
// changes.
type fleet struct {
	listed    []dogwoodfleet.ListedVM
	endpoints []dogwoodfleet.Endpoint
}

// New returns Members that contain only this daemon.
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
		vmsByID: map[uint32]dogwoodfleet.VM{},
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

// Alive returns the living daemons, this one included, sorted by VM name. Callers must not
// change the slice.
func (members *Members) Alive() []Member {
	return *members.alive.Load()
}

// Lost returns when an instance of another daemon was last replaced or dropped, and the state
// in its memory lost with it. It returns the zero time if that never happened.
func (members *Members) Lost() time.Time {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.lastLoss
}

// AliveInstance reports whether an instance of a daemon is alive.
func (members *Members) AliveInstance(instance dogwoodfleet.InstanceID) bool {
	return slices.ContainsFunc(members.Alive(), func(member Member) bool { return member.Instance == instance })
}

// Watch returns a channel that is closed when the living daemons or the endpoints change.
func (members *Members) Watch() <-chan struct{} {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.changed
}

// Leave marks this daemon as leaving. The next heartbeat notifies all neighbours.
func (members *Members) Leave() {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	members.self.Leaving = true
	members.urgent = true
	members.refreshAlive(time.Now())
}

// Tick updates the living daemons by the ages of the updates about them, and drops expired
// records.
func (members *Members) Tick(now time.Time) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	members.compensatePause(now)
	members.dropExpired(now)
	members.expireLeaving(now)
	members.refreshAlive(now)
}

// compensatePause prevents wrong results after a pause of this daemon's process: all updates
// would be old, so the daemon would consider all others dead and itself the owner of every
// endpoint. A late tick shows such a pause; the updates that were recent before the pause
// are then aged only by the time that the process was running. The caller holds the mutex.
func (members *Members) compensatePause(now time.Time) {
	late := now.Sub(members.lastTick) - TickInterval
	if !members.lastTick.IsZero() && late > HeartbeatInterval {
		for _, peer := range members.peers {
			if peer.lastSeen.After(members.lastTick.Add(-members.options.Silence)) {
				peer.lastSeen = peer.lastSeen.Add(late)
			}
		}
	}
	members.lastTick = now
}

// dropExpired drops peers that are neither listed nor send heartbeats, and old ids. The caller
// holds the mutex.
func (members *Members) dropExpired(now time.Time) {
	for vm, peer := range members.peers {
		if !peer.listed && now.Sub(peer.lastSeen) > peerTTL && now.Sub(peer.introduced) > peerTTL {
			if peer.hasRecord {
				members.lastLoss = now
			}
			delete(members.peers, vm)
			delete(members.vmsByID, peer.record.id())
		}
	}
	maps.DeleteFunc(members.retired, func(_ uint32, at time.Time) bool { return now.Sub(at) > peerTTL })
}

// refreshAlive publishes the living daemons if they changed. The caller holds the mutex.
func (members *Members) refreshAlive(now time.Time) {
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
	members.logAliveChanges(before, living)
	members.alive.Store(&living)
	members.notifyWatchers()
}

// isAlive reports whether the peer's latest update is young enough. The caller holds the mutex.
func (members *Members) isAlive(peer *peer, now time.Time) bool {
	return peer.hasRecord && now.Sub(peer.lastSeen) <= members.options.Silence
}

func (members *Members) logAliveChanges(before, after []Member) {
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

// notifyWatchers closes the channel returned by Watch and replaces it. The caller holds the
// mutex.
func (members *Members) notifyWatchers() {
	close(members.changed)
	members.changed = make(chan struct{})
}
