package dogwoodboard

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"
)

// frozenNode is a daemon whose process is frozen. Calls to it reach its connections, where they wait until it runs
// again, though their callers have given up by then.
type frozenNode struct {
	address netip.AddrPort
	thawed  chan struct{}

	mutex sync.Mutex
	held  []func()
}

func (frozen *frozenNode) hold(ctx context.Context, deliver func()) error {
	frozen.mutex.Lock()
	frozen.held = append(frozen.held, deliver)
	frozen.mutex.Unlock()
	select {
	case <-frozen.thawed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// freeze freezes a daemon until the function that it returns is called. That delivers the calls in the worst order,
// the latest first, since each is served in a goroutine of its own.
func (mesh *mesh) freeze(index int) (thaw func()) {
	frozen := &frozenNode{address: addressOf(index), thawed: make(chan struct{})}
	mesh.mutex.Lock()
	mesh.frozen = frozen
	mesh.mutex.Unlock()
	return func() {
		mesh.mutex.Lock()
		mesh.frozen = nil
		mesh.mutex.Unlock()
		frozen.mutex.Lock()
		defer frozen.mutex.Unlock()
		for _, deliver := range slices.Backward(frozen.held) {
			deliver()
		}
		close(frozen.thawed)
	}
}

// Guards against a daemon that was frozen and applies the announcements that waited for it in the wrong order: ended
// work would then take slots until its deadline, and work in progress none.
func TestAnnouncementsDelayedByAFreezeKeepTheirOrder(t *testing.T) {
	runMesh(t, 2, func(t *testing.T, nodes []*node, mesh *mesh) {
		thaw := mesh.freeze(1)
		nodes[0].place("ended")
		time.Sleep(3 * time.Second)
		nodes[0].duty.End("ended")
		nodes[0].place("running")
		time.Sleep(announceTimeout + failureBackoff + 50*time.Millisecond)
		thaw()
		time.Sleep(2 * time.Second)
		if got := nodes[1].board.WorkExcept("1"); len(got) != 1 || got[0].ID != "running" {
			t.Errorf("got %v on the board of the daemon that was frozen, want the running request alone", got)
		}
	})
}
