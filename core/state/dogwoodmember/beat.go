package dogwoodmember

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// Beat is a heartbeat. It carries updates about the sender itself, first, and about all other
// daemons that the sender considers alive. Each update consists of the id (4 bytes), the count
// and the age in hundredths of a second (varints).
type Beat struct {
	News []byte
}

// BeatReply is the reply to a heartbeat. It carries the receiver's own updates, so that one
// call transmits heartbeats in both directions.
type BeatReply struct {
	News []byte
	// Unknown are the ids in the heartbeat whose records the receiver lacks; the sender
	// introduces them.
	Unknown []uint32
}

// Target is a daemon to which a heartbeat is sent.
type Target struct {
	VM   dogwoodfleet.VM
	Peer netip.AddrPort
}

// ageUnit is the unit of the ages in a heartbeat.
const ageUnit = 10 * time.Millisecond

// NextHeartbeat increments this daemon's count and returns the next heartbeat and the daemons to
// which it must be sent now.
func (members *Members) NextHeartbeat(now time.Time) (Beat, []Target) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	members.counter++
	targets := members.targets(now)
	members.urgent = false
	return Beat{News: members.encodeUpdates(now)}, targets
}

// encodeUpdates returns the updates about this daemon, first, and about those that it considers
// alive. The caller holds the mutex.
func (members *Members) encodeUpdates(now time.Time) []byte {
	updates := appendUpdate(nil, members.self.id(), members.counter, 0)
	for _, peer := range members.peers {
		if members.isAlive(peer, now) {
			updates = appendUpdate(updates, peer.record.id(), peer.counter, now.Sub(peer.lastSeen))
		}
	}
	return updates
}

// targets returns the living neighbours to which this daemon sends heartbeats, the living
// daemons whose latest update is old, and the silent daemons that are due for a probe. The
// caller holds the mutex.
func (members *Members) targets(now time.Time) []Target {
	living := []dogwoodfleet.VM{members.self.VM}
	var targets []Target
	for vm, peer := range members.peers {
		switch {
		case peer.region != members.self.Place.Region || !peer.address.IsValid():
		case members.isAlive(peer, now):
			living = append(living, vm)
			// Updates arrive over up to five hops and may be lost on any of them. Without direct
			// heartbeats, a living daemon is considered dead once in thirty minutes at 25 daemons
			// and 2 % loss.
			if now.Sub(peer.lastSeen) > directHeartbeatAge {
				targets = append(targets, Target{VM: vm, Peer: peer.address})
			}
		case peer.probeIsDue(now):
			peer.lastProbe = now
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
		added := ok && now.Sub(peer.lastSeen) > directHeartbeatAge
		if ok && !added && (members.urgent || members.isInitiator(peer, now)) {
			targets = append(targets, Target{VM: vm, Peer: peer.address})
		}
	}
	return targets
}

// probeIsDue reports whether a silent daemon must be probed now. The first call records the
// start of probing.
func (peer *peer) probeIsDue(now time.Time) bool {
	if peer.firstProbe.IsZero() {
		peer.firstProbe = now
	}
	starting := peer.lastSeen.IsZero() && now.Sub(peer.firstProbe) < startupProbeWindow
	return starting || now.Sub(peer.lastProbe) >= probeInterval
}

// isInitiator reports whether this daemon calls a neighbour, rather than only replying to its
// calls. The daemon with the lower name calls, since the reply is the heartbeat in the other
// direction. The other daemon calls too if it has received no call for a while.
func (members *Members) isInitiator(peer *peer, now time.Time) bool {
	return members.self.VM < peer.vm || now.Sub(peer.lastCall) > inboundHeartbeatTTL
}

// ApplyHeartbeat applies a received heartbeat and returns the reply.
func (members *Members) ApplyHeartbeat(beat Beat, now time.Time) BeatReply {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	if id, _, _, _, ok := cutUpdate(beat.News); ok {
		if vm, known := members.vmsByID[id]; known {
			members.peers[vm].lastCall = now
		}
	}
	unknown := members.applyUpdates(beat.News, now)
	members.refreshAlive(now)
	return BeatReply{News: members.encodeUpdates(now), Unknown: unknown}
}

// ApplyReply applies the reply to a heartbeat. It returns the records to introduce to the peer
// and the ids to request from it.
func (members *Members) ApplyReply(reply BeatReply, now time.Time) Introduction {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	wanted := members.applyUpdates(reply.News, now)
	members.refreshAlive(now)
	return Introduction{Members: members.records(reply.Unknown), Wanted: wanted}
}

// applyUpdates applies all updates and returns the ids whose records are not known. The caller
// holds the mutex.
func (members *Members) applyUpdates(updates []byte, now time.Time) (unknown []uint32) {
	for len(updates) > 0 {
		id, count, age, rest, ok := cutUpdate(updates)
		if !ok {
			break
		}
		updates = rest
		if members.applyUpdate(id, count, now.Add(-age)) || id == members.self.id() {
			continue
		}
		if _, retired := members.retired[id]; !retired {
			unknown = append(unknown, id)
		}
	}
	return unknown
}

// applyUpdate records the count of a daemon. It returns false if the id is unknown. The caller
// holds the mutex.
func (members *Members) applyUpdate(id, count uint32, at time.Time) bool {
	vm, ok := members.vmsByID[id]
	if !ok {
		return false
	}
	peer := members.peers[vm]
	if count > peer.counter {
		peer.counter = count
		if at.After(peer.lastSeen) {
			peer.lastSeen = at
		}
	}
	return true
}

func appendUpdate(updates []byte, id, count uint32, age time.Duration) []byte {
	updates = binary.BigEndian.AppendUint32(updates, id)
	updates = binary.AppendUvarint(updates, uint64(count))
	return binary.AppendUvarint(updates, uint64(max(age, 0)/ageUnit))
}

// cutUpdate decodes the first update and returns the rest. It returns false if the update is
// malformed or older than peerTTL.
func cutUpdate(updates []byte) (id, count uint32, age time.Duration, rest []byte, ok bool) {
	const idBytes = 4
	if len(updates) < idBytes {
		return 0, 0, 0, nil, false
	}
	id = binary.BigEndian.Uint32(updates)
	updates = updates[idBytes:]
	counted, read := binary.Uvarint(updates)
	if read <= 0 {
		return 0, 0, 0, nil, false
	}
	updates = updates[read:]
	units, read := binary.Uvarint(updates)
	if read <= 0 || units > uint64(peerTTL/ageUnit) {
		return 0, 0, 0, nil, false
	}
	return id, uint32(counted), time.Duration(units) * ageUnit, updates[read:], true
}
