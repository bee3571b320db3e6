package dogwoodmember

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

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
		case peer.isDue(now):
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

// isDue tells whether a daemon that is not heard is to be tried now.
func (peer *peer) isDue(now time.Time) bool {
	if peer.sought.IsZero() {
		peer.sought = now
	}
	meets := peer.heard.IsZero() && now.Sub(peer.sought) < meetWithin
	return meets || now.Sub(peer.tried) >= probeEvery
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
