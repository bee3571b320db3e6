package dogwoodhub

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodhubs"
)

const (
	// localHubInterval is how often a leaf that follows a hub of another data centre asks the listed ones of its own.
	localHubInterval = 3 * time.Second
	// maxLocalHubInterval bounds the interval, which doubles each time a local hub fails soon after it was followed.
	maxLocalHubInterval = 48 * time.Second
)

// hubAnswer is a hub with its answer to a first poll.
type hubAnswer struct {
	hub  dogwoodhubs.Daemon
	news News
}

// localSearch asks the hubs of a leaf's own data centre while the leaf follows a hub of another one. It runs beside
// the polls of that hub: a dead local hub, which shows by its silence only, would delay their updates.
type localSearch struct {
	group  errgroup.Group
	cancel context.CancelFunc
	// running is true from the start of the search until its result was taken.
	running bool
	// done receives the answer, or an empty one if no hub answered.
	done chan hubAnswer
}

func newLocalSearch() *localSearch {
	return &localSearch{done: make(chan hubAnswer, 1), cancel: func() {}}
}

// start searches for a local hub if the leaf follows a remote one and a search is due.
func (search *localSearch) start(ctx context.Context, leaf *Leaf, hub dogwoodhubs.Daemon) {
	place := leaf.options.Self().Place
	local := inPlace(leaf.Fleet().Hubs, place)
	if search.running || hub.Place == place || len(local) == 0 || !leaf.mayAskLocalHubs(time.Now()) {
		return
	}
	// A few are asked at random, as dead ones may be listed for a while.
	rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	ctx, search.cancel = context.WithCancel(ctx)
	search.running = true
	search.group.Go(func() error {
		answer, _ := leaf.pollAny(ctx, local[:min(len(local), maxLocalCandidates)])
		search.done <- answer
		return nil
	})
}

// result returns the answer of a local hub, or false if none has answered yet.
func (search *localSearch) result() (hubAnswer, bool) {
	select {
	case answer := <-search.done:
		search.running = false
		search.cancel()
		return answer, answer.hub.VM != ""
	default:
		return hubAnswer{}, false
	}
}

// stop ends the search.
func (search *localSearch) stop() {
	search.cancel()
	_ = search.group.Wait() // the search returns no error
}

// mayAskLocalHubs returns true once in the interval.
func (leaf *Leaf) mayAskLocalHubs(now time.Time) bool {
	leaf.mutex.Lock()
	defer leaf.mutex.Unlock()
	if now.Sub(leaf.localHubsAsked) < leaf.localHubInterval {
		return false
	}
	leaf.localHubsAsked = now
	return true
}

// recordLocalFailure doubles the interval if a local hub failed sooner than that after it was first followed, and
// resets it otherwise. A hub may answer first polls and no others.
func (leaf *Leaf) recordLocalFailure(followed time.Duration) {
	leaf.mutex.Lock()
	defer leaf.mutex.Unlock()
	if followed > leaf.localHubInterval {
		leaf.localHubInterval = localHubInterval
		return
	}
	leaf.localHubInterval = min(2*leaf.localHubInterval, maxLocalHubInterval)
}
