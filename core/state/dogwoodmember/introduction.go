package dogwoodmember

import "time"

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
