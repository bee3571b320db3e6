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
	"encoding/binary"
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
	tried time.Time
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

// Beat is a heartbeat: the sender's news of itself, first, and of all it hears, each as id (4
// bytes), count and age in hundredths of a second (varints).
type Beat struct {
	News []byte
}

// BeatReply is the answer to a beat: a beat itself, so that one call serves both.
type BeatReply struct {
	News []byte
	// Unknown are ids in the beat whose record the receiver lacks; the sender introduces them.
	Unknown []uint32
}

// Introduction carries records of daemons, and asks for some.
type Introduction struct {
	Members []Member
	// Wanted are ids whose records the sender lacks.
	Wanted []uint32
}

// IsEmpty tells whether there is nothing to say.
func (introduction Introduction) IsEmpty() bool {
	return len(introduction.Members) == 0 && len(introduction.Wanted) == 0
}

// Target is a neighbour that a beat goes to.
type Target struct {
	VM   dogwoodfleet.VM
	Peer netip.AddrPort
}

const ageUnit = 10 * time.Millisecond

// NextBeat counts a beat and returns it with the neighbours it goes to now.
func (members *Members) NextBeat(now time.Time) (Beat, []Target) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	members.counter++
	targets := members.targets(now)
	members.urgent = false
	return Beat{News: members.news(now)}, targets
}

// news is what this daemon tells of itself, first, and of those that it takes for alive.
// The caller holds the mutex.
func (members *Members) news(now time.Time) []byte {
	news := appendNews(nil, members.self.id(), members.counter, 0)
	for _, peer := range members.peers {
		if members.isAlive(peer, now) {
			news = appendNews(news, peer.record.id(), peer.counter, now.Sub(peer.heard))
		}
	}
	return news
}

// targets returns the living neighbours, and those of the silent daemons whose turn it is
// to be tried. The caller holds the mutex.
func (members *Members) targets(now time.Time) []Target {
	living := []dogwoodfleet.VM{members.self.VM}
	var targets []Target
	for vm, peer := range members.peers {
		switch {
		case peer.region != members.self.Place.Region || !peer.address.IsValid():
		case members.isAlive(peer, now):
			living = append(living, vm)
			// Without asking, news that comes over five hops and is lost on one of them is taken
			// for a death: one in thirty minutes at 25 daemons and 2 % loss.
			if now.Sub(peer.heard) > askAfter {
				targets = append(targets, Target{VM: vm, Peer: peer.address})
			}
		case now.Sub(peer.tried) >= probeEvery:
			peer.tried = now
			targets = append(targets, Target{VM: vm, Peer: peer.address})
		}
	}
	slices.Sort(living)
	chosen := living
	if members.options.Neighbours != nil {
		chosen = members.options.Neighbours.Neighbours(members.self.VM, living)
	}
	for _, vm := range chosen {
		peer, ok := members.peers[vm]
		asked := ok && now.Sub(peer.heard) > askAfter
		if ok && !asked && (members.urgent || members.isCaller(peer, now)) {
			targets = append(targets, Target{VM: vm, Peer: peer.address})
		}
	}
	return targets
}

// isCaller tells whether this daemon makes the calls between itself and a neighbour: the
// one with the lower name does, since a call and its answer are a beat each way, and the
// other one too when no call has come for a while.
func (members *Members) isCaller(peer *peer, now time.Time) bool {
	return members.self.VM < peer.vm || now.Sub(peer.called) > calledWithin
}

// Hear takes in a beat.
func (members *Members) Hear(beat Beat, now time.Time) BeatReply {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	if id, _, _, _, ok := cutNews(beat.News); ok {
		if vm, known := members.ids[id]; known {
			members.peers[vm].called = now
		}
	}
	unknown := members.hearAll(beat.News, now)
	members.refresh(now)
	return BeatReply{News: members.news(now), Unknown: unknown}
}

// HearReply takes in the answer to a beat and returns what to introduce and to ask for.
func (members *Members) HearReply(reply BeatReply, now time.Time) Introduction {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	wanted := members.hearAll(reply.News, now)
	members.refresh(now)
	return Introduction{Members: members.records(reply.Unknown), Wanted: wanted}
}

// hearAll notes all news and returns the ids whose record is not known. The caller holds
// the mutex.
func (members *Members) hearAll(news []byte, now time.Time) (unknown []uint32) {
	for len(news) > 0 {
		id, count, age, rest, ok := cutNews(news)
		if !ok {
			break
		}
		news = rest
		if members.hear(id, count, now.Add(-age)) || id == members.self.id() {
			continue
		}
		if _, old := members.retired[id]; !old {
			unknown = append(unknown, id)
		}
	}
	return unknown
}

// records returns the records of the ids that are known.
func (members *Members) records(ids []uint32) []Member {
	var records []Member
	for _, id := range ids {
		if id == members.self.id() {
			records = append(records, members.self)
		} else if vm, ok := members.ids[id]; ok {
			records = append(records, members.peers[vm].record)
		}
	}
	return records
}

// hear notes a count of a daemon. It returns false if the id is unknown.
func (members *Members) hear(id, count uint32, at time.Time) bool {
	vm, ok := members.ids[id]
	if !ok {
		return false
	}
	peer := members.peers[vm]
	if count > peer.counter {
		peer.counter = count
		if at.After(peer.heard) {
			peer.heard = at
		}
	}
	return true
}

// Introduce takes in records of daemons and answers with those that are wanted. An older
// start does not replace a later one.
func (members *Members) Introduce(introduction Introduction) Introduction {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	members.learn(introduction.Members)
	return Introduction{Members: members.records(introduction.Wanted)}
}

func (members *Members) learn(records []Member) {
	for _, record := range records {
		if record.VM == members.self.VM {
			continue
		}
		known, ok := members.peers[record.VM]
		if !ok {
			known = &peer{vm: record.VM, learnt: time.Now()}
			members.peers[record.VM] = known
		}
		if known.known {
			if record.Instance != known.record.Instance {
				members.lost = time.Now()
			}
			if !record.later(known.record) {
				if record != known.record {
					members.retired[record.id()] = time.Now()
				}
				continue
			}
			delete(members.ids, known.record.id())
			members.retired[known.record.id()] = time.Now()
		}
		if known.record.Instance != record.Instance {
			known.counter, known.heard = 0, time.Time{}
		}
		known.known, known.record = true, record
		known.address, known.region = record.Peer, record.Place.Region
		members.ids[record.id()] = record.VM
	}
}

func appendNews(news []byte, id, count uint32, age time.Duration) []byte {
	news = binary.BigEndian.AppendUint32(news, id)
	news = binary.AppendUvarint(news, uint64(count))
	return binary.AppendUvarint(news, uint64(max(age, 0)/ageUnit))
}

func cutNews(news []byte) (id, count uint32, age time.Duration, rest []byte, ok bool) {
	const idBytes = 4
	if len(news) < idBytes {
		return 0, 0, 0, nil, false
	}
	id = binary.BigEndian.Uint32(news)
	news = news[idBytes:]
	counted, read := binary.Uvarint(news)
	if read <= 0 {
		return 0, 0, 0, nil, false
	}
	news = news[read:]
	units, read := binary.Uvarint(news)
	if read <= 0 || units > uint64(forgetAfter/ageUnit) {
		return 0, 0, 0, nil, false
	}
	return id, uint32(counted), time.Duration(units) * ageUnit, news[read:], true
}
