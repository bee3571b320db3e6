package dogwoodhub

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodfreshness"
	"dogwoodmux.example/core/decision/dogwoodhubs"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/state/dogwoodcopy"
)

// The reasons for which a leaf stops being one.
var (
	// ErrPromoted means that a hub asked it to become one.
	ErrPromoted = errors.New("promoted to a hub")
	// ErrAlone means that no hub answers.
	ErrAlone = errors.New("no hub answers")
)

const (
	// startPatience is how long a leaf that starts looks for a hub in vain before it takes itself
	// for alone: it spans the time in which hubs that lost power together with it are back.
	startPatience = 1200 * time.Millisecond
	// lostPatience is the same after its hub has failed, which took a while to show.
	lostPatience = 400 * time.Millisecond
	// againPause is the mean pause between two rounds: hubs that start refuse connections.
	againPause = 100 * time.Millisecond
	// askedNear and askedFar are how many hubs are asked at once, in the leaf's own data centre
	// and then in others.
	askedNear = 3
	askedFar  = 2
	// unfitFor is how long a leaf that the store turned away is not to be promoted: most such
	// troubles last some seconds, and another leaf can be a hub meanwhile.
	unfitFor = 10 * time.Second
)

// Feed is where news of tables goes.
type Feed interface {
	// Position is how much is known of a table.
	Position(table string) (version int64, age time.Duration)
	// Feed takes in news of a table.
	Feed(table string, answer dogwoodcopy.Answer)
}

// LeafOptions are what a leaf is made from.
type LeafOptions struct {
	// Self is this daemon; Away while it is leaving.
	Self   func() dogwoodhubs.Daemon
	Caller Caller
	Feed   Feed
	// Names are the tables that it follows, that whose proofs matter first.
	Names  []string
	Clock  dogwoodfreshness.Clock
	Logger hclog.Logger
}

// Leaf follows one hub at a time. It is safe for concurrent use.
type Leaf struct {
	options LeafOptions

	mutex sync.Mutex
	fleet Fleet
	hub   dogwoodhubs.Daemon // the one that answered last
	// unfitUntil is until when it can't become a hub.
	unfitUntil time.Time
}

// NewLeaf returns a leaf that knows no hub.
func NewLeaf(options LeafOptions) *Leaf {
	return &Leaf{options: options}
}

// unfit notes that the store turned this daemon away.
func (leaf *Leaf) unfit(now time.Time) {
	leaf.mutex.Lock()
	defer leaf.mutex.Unlock()
	leaf.unfitUntil = now.Add(unfitFor)
}

// self is this daemon, away while it can't become a hub.
func (leaf *Leaf) self() dogwoodhubs.Daemon {
	self := leaf.options.Self()
	leaf.mutex.Lock()
	defer leaf.mutex.Unlock()
	self.Away = self.Away || time.Now().Before(leaf.unfitUntil)
	return self
}

// Fleet is what the last hub told of the others.
func (leaf *Leaf) Fleet() Fleet {
	leaf.mutex.Lock()
	defer leaf.mutex.Unlock()
	return leaf.fleet
}

// Hub is the hub that answered last, if there is one.
func (leaf *Leaf) Hub() (dogwoodhubs.Daemon, bool) {
	leaf.mutex.Lock()
	defer leaf.mutex.Unlock()
	return leaf.hub, leaf.hub.Instance != ""
}

// Run follows one hub after the other, beginning with those that are listed. It returns
// ErrPromoted, ErrAlone or the context's error.
func (leaf *Leaf) Run(ctx context.Context, listed []dogwoodhubs.Daemon) error {
	leaf.forget()
	if len(listed) == 0 {
		return ErrAlone
	}
	since, patience := time.Now(), startPatience
	var left dogwoodfleet.VM // the hub that failed last
	for ctx.Err() == nil {
		hub, news, found := leaf.attach(ctx, listed, left)
		if found {
			err := leaf.follow(ctx, hub, news)
			if errors.Is(err, ErrPromoted) {
				return err
			}
			leaf.options.Logger.Info("Looking for another hub.", "hub", hub.VM, "error", err)
			since, patience, left = time.Now(), lostPatience, hub.VM
			continue
		}
		if time.Since(since) > patience {
			return ErrAlone
		}
		left = "" // it may be back
		if !dogwoodkernel.Sleep(ctx, dogwoodkernel.Jittered(againPause)) {
			break
		}
	}
	return ctx.Err()
}

// forget drops what was known of hubs when this daemon last was a leaf.
func (leaf *Leaf) forget() {
	leaf.mutex.Lock()
	defer leaf.mutex.Unlock()
	leaf.fleet, leaf.hub = Fleet{}, dogwoodhubs.Daemon{}
}

// attach finds a hub that answers: one of the leaf's own data centre, drawn by chance, or one of
// the first ones of the others. Leaves of a data centre without a hub all go to these, so that
// they see them all and promote the best.
func (leaf *Leaf) attach(ctx context.Context, listed []dogwoodhubs.Daemon, left dogwoodfleet.VM) (dogwoodhubs.Daemon, News, bool) {
	hubs := leaf.Fleet().Hubs
	if len(hubs) == 0 {
		hubs = listed
	}
	self := leaf.options.Self()
	hubs = slices.DeleteFunc(slices.Clone(hubs), func(hub dogwoodhubs.Daemon) bool { return hub.VM == left || hub.VM == self.VM })
	near := inPlace(hubs, self.Place)
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	if hub, news, found := leaf.askAny(ctx, near[:min(len(near), askedNear)]); found {
		return hub, news, true
	}
	far := slices.DeleteFunc(hubs, func(hub dogwoodhubs.Daemon) bool { return hub.Place == self.Place })
	slices.SortFunc(far, dogwoodhubs.Compare)
	return leaf.askAny(ctx, far[:min(len(far), askedFar)])
}

// askAny asks some hubs at once and returns the first that answers. A first question is
// answered without waiting for news, so those that are gone show soon.
func (leaf *Leaf) askAny(ctx context.Context, hubs []dogwoodhubs.Daemon) (dogwoodhubs.Daemon, News, bool) {
	type answer struct {
		hub  dogwoodhubs.Daemon
		news News
	}
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	answers := make(chan answer, len(hubs))
	var group errgroup.Group
	for _, hub := range hubs {
		group.Go(func() error {
			news, err := leaf.ask(ctx, hub, 0)
			if err != nil {
				leaf.options.Logger.Debug("A hub does not answer.", "hub", hub.VM, "error", err)
				return nil
			}
			answers <- answer{hub: hub, news: news}
			cancel()
			return nil
		})
	}
	_ = group.Wait() // its functions log their errors
	select {
	case first := <-answers:
		return first.hub, first.news, true
	default:
		return dogwoodhubs.Daemon{}, News{}, false
	}
}

// follow asks one hub until it fails.
func (leaf *Leaf) follow(ctx context.Context, hub dogwoodhubs.Daemon, news News) error {
	leaf.options.Logger.Info("Following a hub.", "hub", hub.VM)
	var version uint64 // each hub counts its own lists
	for {
		if news.Fleet != nil {
			version = news.Fleet.Version
		}
		leaf.take(hub, news.Fleet)
		if news.Promoted {
			return ErrPromoted
		}
		if leaf.shouldMove(hub) {
			return Error.New("there is a hub in the leaf's own data centre")
		}
		var err error
		if news, err = leaf.askInTime(ctx, hub, version); err != nil {
			return err
		}
	}
}

func (leaf *Leaf) askInTime(ctx context.Context, hub dogwoodhubs.Daemon, version uint64) (News, error) {
	ctx, cancel := context.WithTimeout(ctx, holdFor+answerWithin)
	defer cancel()
	return leaf.ask(ctx, hub, version)
}

// take notes what a hub told of the fleet. The list of hubs does not say which start of a hub
// it is; the hub itself does.
func (leaf *Leaf) take(hub dogwoodhubs.Daemon, fleet *Fleet) {
	leaf.mutex.Lock()
	defer leaf.mutex.Unlock()
	if fleet != nil {
		leaf.fleet = *fleet
	}
	for _, known := range leaf.fleet.Hubs {
		if known.VM == hub.VM {
			hub = known
		}
	}
	leaf.hub = hub
}

// shouldMove tells whether the leaf follows a hub of another data centre although its own has
// one.
func (leaf *Leaf) shouldMove(hub dogwoodhubs.Daemon) bool {
	return hub.Place != leaf.options.Self().Place && len(inPlace(leaf.Fleet().Hubs, leaf.options.Self().Place)) > 0
}

// ask asks the hub once and feeds what it tells.
func (leaf *Leaf) ask(ctx context.Context, hub dogwoodhubs.Daemon, version uint64) (News, error) {
	question := Question{Leaf: leaf.self(), Fleet: version}
	asked, known := leaf.options.Clock(), map[string]int64{}
	for _, name := range leaf.options.Names {
		after, age := leaf.options.Feed.Position(name)
		known[name] = after
		question.Tables = append(question.Tables, Position{Table: name, After: after, Age: age})
	}
	var news News
	if err := leaf.options.Caller.Call(ctx, hub.Peer, Name+".Follow", question, &news); err != nil {
		return news, Error.Wrap(err)
	}
	for _, table := range news.Tables {
		if after, wanted := known[table.Table]; wanted {
			leaf.options.Feed.Feed(table.Table, table.Heard(asked, after))
		}
	}
	return news, nil
}
