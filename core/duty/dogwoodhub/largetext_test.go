package dogwoodhub

import (
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	largeLink = 25_000_000 // bytes a second of a VM with 0.8 cores
	smallLink = 2_500_000  // bytes a second of a VM with 0.192 cores
	// partInterval is how often the bytes of an answer are reported.
	partInterval = 20 * time.Millisecond
)

// links simulates the daemons' network links. Answers share the links of both daemons, one after another, also
// those for which the asking daemon no longer waits.
type links struct {
	mutex     sync.Mutex
	busyUntil map[netip.AddrPort]time.Time
	// latest is the latest answer between two daemons.
	latest map[[2]netip.AddrPort]transfer
}

// transfer is an answer that crosses the links between two times.
type transfer struct {
	begin, end time.Time
	bytes      int
}

// arrivedBy returns how many bytes have arrived at a time.
func (transfer transfer) arrivedBy(now time.Time) int {
	passed, takes := now.Sub(transfer.begin), transfer.end.Sub(transfer.begin)
	if takes <= 0 {
		return 0
	}
	return int(float64(transfer.bytes) * min(max(passed.Seconds()/takes.Seconds(), 0), 1))
}

func newLinks() *links {
	return &links{busyUntil: map[netip.AddrPort]time.Time{}, latest: map[[2]netip.AddrPort]transfer{}}
}

func linkSpeed(cores float64) float64 {
	if cores > 0.5 {
		return largeLink
	}
	return smallLink
}

// send sends an answer. It also returns when the answer before it between the same daemons has arrived.
func (links *links) send(from, to *node, answer *News) (sent transfer, earlier time.Time) {
	var size countingWriter
	if err := gob.NewEncoder(&size).Encode(answer); err != nil {
		panic(err) // can't happen: real answers are sent in this encoding
	}
	links.mutex.Lock()
	defer links.mutex.Unlock()
	begin, speed := time.Now(), linkSpeed(from.self.Cores)
	for _, end := range []*node{from, to} {
		speed = min(speed, linkSpeed(end.self.Cores))
		if busy := links.busyUntil[end.self.Peer]; busy.After(begin) {
			begin = busy
		}
	}
	arrival := begin.Add(time.Duration(float64(size) / speed * float64(time.Second)))
	for _, end := range []*node{from, to} {
		used := time.Duration(float64(size) / linkSpeed(end.self.Cores) * float64(time.Second))
		links.busyUntil[end.self.Peer] = begin.Add(used)
	}
	pair := [2]netip.AddrPort{from.self.Peer, to.self.Peer}
	earlier = links.latest[pair].end
	links.latest[pair] = transfer{begin: begin, end: arrival, bytes: int(size)}
	return links.latest[pair], earlier
}

// countingWriter counts the bytes written to it.
type countingWriter int

func (writer *countingWriter) Write(data []byte) (int, error) {
	*writer += countingWriter(len(data))
	return len(data), nil
}

// largeText returns an operators' text with many routes, some 200 bytes each.
func largeText(routes int) []byte {
	var text strings.Builder
	for i := range routes {
		name := uint64(i) * 0x9e3779b97f4a7c15
		fmt.Fprintf(&text, `{"name":"r-%x","host":"h%x.example","prefix":"/p%x/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":300,"attempts":3,"priority":2,"service":"s%x"},`,
			name>>32, name>>48, name>>40, i%3)
	}
	return []byte(text.String())
}

// randomText returns a text that can't be compressed.
func randomText(size int) []byte {
	text := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{}).Read(text) // never returns an error
	return text
}

// Guards against a large text that reaches some daemons half a minute late: a third of the daemons, hubs too, stand
// still for two seconds while it comes into force, and their leaves look for other hubs.
func TestLargeTextReachesAllDaemonsInTime(t *testing.T) {
	const limit = 3 * time.Second // the bound within which a change must be in force everywhere
	tests := []struct {
		name                  string
		centres, large, small int
		text                  []byte
	}{
		{name: "78 daemons", centres: 3, large: 2, small: 24, text: largeText(4200)},
		{name: "300 daemons", centres: 5, large: 3, small: 57, text: largeText(4200)},
		{name: "500 daemons", centres: 5, large: 3, small: 97, text: largeText(4200)},
		{name: "78 daemons, not compressible", centres: 3, large: 2, small: 24, text: randomText(800_000)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runFleet(t, test.centres, test.large, test.small, func(t *testing.T, fleet *testFleet) {
				fleet.links.Store(newLinks())
				fleet.freezeThird(true)
				fleet.update(func(fleet *testFleet) { fleet.version, fleet.text = 2, test.text })
				time.Sleep(2 * time.Second)
				fleet.freezeThird(false)
				time.Sleep(limit)
				if late := fleet.daemonsBefore(2); len(late) > 0 {
					t.Errorf("got %d of %d daemons without the text %s after all run again, want none: %v", len(late), len(fleet.nodes), limit, late)
				}
			})
		})
	}
}

// freezeThird freezes or wakes each third daemon.
func (fleet *testFleet) freezeThird(frozen bool) {
	for i, node := range fleet.nodes {
		if i%3 == 0 {
			node.mutex.Lock()
			node.frozen = frozen
			node.mutex.Unlock()
		}
	}
}

// daemonsBefore returns the VMs whose text is older than the version.
func (fleet *testFleet) daemonsBefore(version int64) []dogwoodfleet.VM {
	var before []dogwoodfleet.VM
	for _, node := range fleet.nodes {
		if known, _ := node.Position(tableNames[0]); known < version {
			before = append(before, node.self.VM)
		}
	}
	return before
}
