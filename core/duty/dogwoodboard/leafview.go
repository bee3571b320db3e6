package dogwoodboard

import (
	"context"
	"sync"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/dogwoodkernel"
)

const (
	// viewEvery is how often a leaf to which callers come asks for the view.
	viewEvery = 500 * time.Millisecond
	// viewFor is how long after its last request it goes on.
	viewFor = 3 * time.Second
	// viewWithin bounds one question.
	viewWithin = 500 * time.Millisecond
	// viewFresh is the age up to which a leaf places by its view as a hub does.
	viewFresh = 1500 * time.Millisecond
)

// leafView is a leaf's view of the pool, which it has only while prompts come to it: two
// hundred leaves that are each told of every request would cost more than the requests. Plain
// calls are short and go by what the leaf itself gave out: the platform's own tests are such
// calls, come to each daemon every second, and had all leaves ask for the view all the time.
type leafView struct {
	wanted chan struct{}

	mutex  sync.Mutex
	used   time.Time // when a request last wanted it
	pulled time.Time // when it was last taken in
}

// want notes that a request is placed.
func (view *leafView) want(now time.Time) {
	view.mutex.Lock()
	view.used = now
	view.mutex.Unlock()
	select {
	case view.wanted <- struct{}{}:
	default:
	}
}

func (view *leafView) isUsed(now time.Time) bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return now.Sub(view.used) < viewFor
}

func (view *leafView) isFresh(now time.Time) bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return now.Sub(view.pulled) < viewFresh
}

func (view *leafView) took(now time.Time) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.pulled = now
}

// keepView asks the hub for its view while requests want one, until the context ends.
func (duty *Duty) keepView(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-duty.view.wanted:
		}
		for duty.isLeaf() && duty.view.isUsed(time.Now()) {
			duty.pullView(ctx)
			if !dogwoodkernel.Sleep(ctx, viewEvery) {
				return nil
			}
		}
	}
}

func (duty *Duty) pullView(ctx context.Context) {
	peers := duty.options.Peers()
	if len(peers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, viewWithin)
	defer cancel()
	var view View
	if err := duty.options.Caller.Call(ctx, peers[0].Address, Name+".View", duty.options.Self, &view); err != nil {
		duty.options.Logger.Debug("The hub did not tell its view.", "peer", peers[0].Instance, "error", err)
		return
	}
	now := time.Now()
	works := make([]dogwoodpacking.Work, 0, len(view.Items))
	for _, item := range view.Items {
		works = append(works, item.work(now))
	}
	duty.view.took(now)
	duty.setSeen(len(peers) + 1)
	duty.options.Board.Replace(now, works)
}
