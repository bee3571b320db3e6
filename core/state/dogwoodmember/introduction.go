package dogwoodmember

import "time"

// Introduction carries records of daemons and requests others.
type Introduction struct {
	Members []Member
	// Wanted are the ids of records that the sender lacks.
	Wanted []uint32
}

// IsEmpty reports whether the introduction carries and requests no records.
func (introduction Introduction) IsEmpty() bool {
	return len(introduction.Members) == 0 && len(introduction.Wanted) == 0
}

// records returns the records of those ids that are known. The caller holds the mutex.
func (members *Members) records(ids []uint32) []Member {
	var records []Member
	for _, id := range ids {
		if id == members.self.id() {
			records = append(records, members.self)
		} else if vm, ok := members.vmsByID[id]; ok {
			records = append(records, members.peers[vm].record)
		}
	}
	return records
}

// Introduce applies the records of an introduction and returns those that it requests. The
// record of an older instance does not replace that of a later one.
func (members *Members) Introduce(introduction Introduction) Introduction {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	members.applyRecords(introduction.Members)
	return Introduction{Members: members.records(introduction.Wanted)}
}

// applyRecords adds or replaces the records of other daemons. The caller holds the mutex.
func (members *Members) applyRecords(records []Member) {
	for _, record := range records {
		if record.VM == members.self.VM {
			continue
		}
		known, ok := members.peers[record.VM]
		if !ok {
			known = &peer{vm: record.VM, introduced: time.Now()}
			members.peers[record.VM] = known
		}
		if known.hasRecord {
			if record.Instance != known.record.Instance {
				members.lastLoss = time.Now()
			}
			if !record.supersedes(known.record) {
				if record != known.record {
					members.retired[record.id()] = time.Now()
				}
				continue
			}
			delete(members.vmsByID, known.record.id())
			members.retired[known.record.id()] = time.Now()
		}
		if known.record.Instance != record.Instance {
			known.counter, known.lastSeen = 0, time.Time{}
		}
		known.hasRecord, known.record = true, record
		known.address, known.region = record.Peer, record.Place.Region
		members.vmsByID[record.id()] = record.VM
	}
}
