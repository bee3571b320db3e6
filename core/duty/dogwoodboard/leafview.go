package dogwoodboard

import (
	"context"
	"sync"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/dogwoodkernel"
)

const (
	// viewInterval is how often a leaf that receives requests queries its hub's view.
	viewInterval = 500 * time.Millisecond
	// viewIdleTimeout is how long after its last request a leaf continues to query.
	viewIdleTimeout = 3 * time.Second
	// viewTimeout bounds one query.
	viewTimeout = 500 * time.Millisecond
	// maxViewAge is the age up to which a leaf's view counts as complete, like a hub's.
	maxViewAge = 1500 * time.Millisecond
)

// leafView tracks a leaf's view of the pool, which the leaf fetches only while it receives
// prompts: announcing every request to two hundred leaves would cost more than the requests.
// Plain calls are short and need no view, so the leaf places them by the work that it
// placed itself. The platform probes each daemon with a plain call every second: when plain
// calls needed a view, all leaves queried their hubs permanently.
type leafView struct {
	requested chan struct{}

	mutex   sync.Mutex
	used    time.Time // when a request last needed the view
	fetched time.Time // when the view was last fetched
}

// request records that a request needs the view, and starts the queries.
func (view *leafView) request(now time.Time) {
	view.mutex.Lock()
	view.used = now
	view.mutex.Unlock()
	select {
	case view.requested <- struct{}{}:
	default:
	}
}

func (view *leafView) isUsed(now time.Time) bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return now.Sub(view.used) < viewIdleTimeout
}

func (view *leafView) isFresh(now time.Time) bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return now.Sub(view.fetched) < maxViewAge
}

func (view *leafView) setFetched(now time.Time) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.fetched = now
}

// refreshView queries the hub's view while requests need it, until the context ends.
func (duty *Duty) refreshView(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-duty.view.requested:
		}
		for duty.isLeaf() && duty.view.isUsed(time.Now()) {
			duty.fetchView(ctx)
			if !dogwoodkernel.Sleep(ctx, viewInterval) {
				return nil
			}
		}
	}
}

func (duty *Duty) fetchView(ctx context.Context) {
	peers := duty.options.Peers()
	if len(peers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	var view View
	if err := duty.options.Caller.Call(ctx, peers[0].Address, Name+".View", duty.options.Self, &view); err != nil {
		duty.options.Logger.Debug("The hub's view could not be fetched.", "peer", peers[0].Instance, "error", err)
		return
	}
	now := time.Now()
	works := make([]dogwoodpacking.Work, 0, len(view.Items))
	for _, item := range view.Items {
		works = append(works, item.work(now))
	}
	duty.view.setFetched(now)
	duty.updateVisible(len(peers) + 1)
	duty.options.Board.ReplacePeerWork(now, works)
	for _, limit := range view.Limits {
		duty.options.Board.LearnLimit(now, limit.learned(now))
	}
}
