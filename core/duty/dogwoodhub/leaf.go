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

// The reasons for which Leaf.Run ends before its context does.
var (
	// ErrPromoted means that a hub asked the leaf to become a hub.
	ErrPromoted = errors.New("promoted to a hub")
	// ErrNoHub means that no hub is listed or that none answered in time.
	ErrNoHub = errors.New("no hub answers")
)

const (
	// startSearchTimeout is how long a leaf that starts searches for a hub before it gives up
	// with ErrNoHub. Hubs that lost power together with it are back within this time.
	startSearchTimeout = 1200 * time.Millisecond
	// failoverTimeout is how long a leaf searches after its hub has failed. It is shorter than
	// startSearchTimeout because detecting the failure has taken a while already.
	failoverTimeout = 400 * time.Millisecond
	// searchPause is the mean pause between two rounds of a search: hubs that are starting
	// refuse connections.
	searchPause = 100 * time.Millisecond
	// maxLocalCandidates and maxRemoteCandidates bound the hubs that are polled at once, first
	// in the leaf's own data centre and then in the others.
	maxLocalCandidates  = 3
	maxRemoteCandidates = 2
	// ineligibleFor is how long a leaf that could not be listed must not be promoted: most such
	// faults last some seconds, and another leaf can be a hub meanwhile.
	ineligibleFor = 10 * time.Second
)

// Feed receives the updates of tables.
type Feed interface {
	// Position returns the version of a table that is known, and the age of its last confirmation.
	Position(table string) (version int64, age time.Duration)
	// Apply applies an update of a table.
	Apply(table string, answer dogwoodcopy.Answer)
}

// LeafOptions configure a Leaf.
type LeafOptions struct {
	// Self returns this daemon, with Away set while it is leaving.
	Self   func() dogwoodhubs.Daemon
	Caller Caller
	Feed   Feed
	// TableNames are the tables that the leaf follows. The first is the one whose confirmations matter.
	TableNames []string
	Clock      dogwoodfreshness.Clock
	// SeeRefused is called with the version of a hub's list of refused requests, and when the hub was asked on Clock; nil if
	// it doesn't matter.
	SeeRefused func(hub dogwoodhubs.Daemon, version uint64, asked time.Duration)
	Logger     hclog.Logger
}

// Leaf follows one hub at a time. It is safe for concurrent use.
type Leaf struct {
	options LeafOptions

	mutex sync.Mutex
	fleet Fleet
	hub   dogwoodhubs.Daemon // the hub that answered last
	// storeAway is what that hub said of the store, answeredAt when it was asked.
	storeAway  bool
	answeredAt time.Duration
	// ineligibleUntil is the time until which the leaf must not be promoted.
	ineligibleUntil time.Time
	// localHubsAsked is when the leaf, while following a remote hub, last asked the local ones, and
	// localHubInterval how often it does so.
	localHubsAsked   time.Time
	localHubInterval time.Duration
}

// NewLeaf returns a leaf that follows no hub yet.
func NewLeaf(options LeafOptions) *Leaf {
	return &Leaf{options: options, localHubInterval: localHubInterval}
}

// markIneligible records that this daemon could not be listed as a hub.
func (leaf *Leaf) markIneligible(now time.Time) {
	leaf.mutex.Lock()
	defer leaf.mutex.Unlock()
	leaf.ineligibleUntil = now.Add(ineligibleFor)
}

// self returns this daemon, with Away set also while it is ineligible as a hub.
func (leaf *Leaf) self() dogwoodhubs.Daemon {
	self := leaf.options.Self()
	leaf.mutex.Lock()
	defer leaf.mutex.Unlock()
	self.Away = self.Away || time.Now().Before(leaf.ineligibleUntil)
	return self
}

// Fleet returns the fleet as the hub that answered last reported it.
func (leaf *Leaf) Fleet() Fleet {
	leaf.mutex.Lock()
	defer leaf.mutex.Unlock()
	return leaf.fleet
}

// Hub returns the hub that answered last, or false if none has.
func (leaf *Leaf) Hub() (dogwoodhubs.Daemon, bool) {
	leaf.mutex.Lock()
	defer leaf.mutex.Unlock()
	return leaf.hub, leaf.hub.Instance != ""
}

// StoreAway reports whether the store answers no daemon, as far as the hub knows that answered last.
func (leaf *Leaf) StoreAway() bool {
	leaf.mutex.Lock()
	defer leaf.mutex.Unlock()
	return leaf.storeAway && leaf.options.Clock()-leaf.answeredAt < leafTTL
}

// Run follows one hub after another, beginning with the listed ones. It returns
// ErrPromoted, ErrNoHub or the context's error.
func (leaf *Leaf) Run(ctx context.Context, listed []dogwoodhubs.Daemon) error {
	leaf.reset()
	if len(listed) == 0 {
		return ErrNoHub
	}
	begun, timeout := time.Now(), startSearchTimeout
	var failed dogwoodfleet.VM // the hub that failed last
	for ctx.Err() == nil {
		answer, found := leaf.findHub(ctx, listed, failed)
		if found {
			hub, err := leaf.follow(ctx, answer)
			if errors.Is(err, ErrPromoted) {
				return err
			}
			leaf.options.Logger.Info("Looking for another hub.", "hub", hub.VM, "error", err)
			begun, timeout, failed = time.Now(), failoverTimeout, hub.VM
			continue
		}
		if time.Since(begun) > timeout {
			return ErrNoHub
		}
		failed = "" // it may be back
		if !dogwoodkernel.Sleep(ctx, dogwoodkernel.Jittered(searchPause)) {
			break
		}
	}
	return ctx.Err()
}

// reset drops the hubs that remain from an earlier time as a leaf.
func (leaf *Leaf) reset() {
	leaf.mutex.Lock()
	defer leaf.mutex.Unlock()
	leaf.fleet, leaf.hub, leaf.storeAway = Fleet{}, dogwoodhubs.Daemon{}, false
}

// findHub returns a hub that answers: a random one in the leaf's own data centre, or else one of
// the highest-ranked hubs of the others. All leaves of a data centre without a hub go to these
// few, which therefore see all of the leaves and can promote the best.
func (leaf *Leaf) findHub(ctx context.Context, listed []dogwoodhubs.Daemon, failed dogwoodfleet.VM) (hubAnswer, bool) {
	hubs := leaf.Fleet().Hubs
	if len(hubs) == 0 {
		hubs = listed
	}
	self := leaf.options.Self()
	hubs = slices.DeleteFunc(slices.Clone(hubs), func(hub dogwoodhubs.Daemon) bool { return hub.VM == failed || hub.VM == self.VM })
	local := inPlace(hubs, self.Place)
	rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	if answer, found := leaf.pollAny(ctx, local[:min(len(local), maxLocalCandidates)]); found {
		return answer, true
	}
	remote := slices.DeleteFunc(hubs, func(hub dogwoodhubs.Daemon) bool { return hub.Place == self.Place })
	slices.SortFunc(remote, dogwoodhubs.Compare)
	return leaf.pollAny(ctx, remote[:min(len(remote), maxRemoteCandidates)])
}

// pollAny polls some hubs at once and returns the first that answers. Hubs answer a first poll
// without waiting for an update, so those that are gone are detected soon. The polls ask for no table: several
// answers with a large one would delay each other beyond the time limit, and so would all searches that follow.
func (leaf *Leaf) pollAny(ctx context.Context, hubs []dogwoodhubs.Daemon) (hubAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	answers := make(chan hubAnswer, len(hubs))
	var group errgroup.Group
	for _, hub := range hubs {
		group.Go(func() error {
			news, err := leaf.poll(ctx, hub, FollowRequest{})
			if err != nil {
				leaf.options.Logger.Debug("A hub does not answer.", "hub", hub.VM, "error", err)
				return nil
			}
			answers <- hubAnswer{hub: hub, news: news}
			cancel()
			return nil
		})
	}
	_ = group.Wait() // errors are logged above
	select {
	case earliest := <-answers:
		return earliest, true
	default:
		return hubAnswer{}, false
	}
}

// follow polls a hub that has answered, or a local one that answers later, until it fails or the leaf should stop
// following it. It returns the hub that was followed last.
func (leaf *Leaf) follow(ctx context.Context, first hubAnswer) (dogwoodhubs.Daemon, error) {
	search := newLocalSearch()
	defer search.stop()
	hub, news, since := first.hub, first.news, time.Now()
	leaf.options.Logger.Info("Following a hub.", "hub", hub.VM)
	var version uint64 // each hub numbers the versions of its own list
	for {
		if news.Fleet != nil {
			version = news.Fleet.Version
		}
		leaf.recordFleet(hub, news.Fleet)
		if news.Promoted {
			return hub, ErrPromoted
		}
		search.start(ctx, leaf, hub)
		var err error
		news, err = leaf.pollWithTimeout(ctx, hub, version)
		if local, found := search.result(); found && !news.Promoted {
			hub, news, version, since = local.hub, local.news, 0, time.Now()
			leaf.options.Logger.Info("Following a hub.", "hub", hub.VM)
			continue
		}
		if err != nil {
			if hub.Place == leaf.options.Self().Place {
				leaf.recordLocalFailure(time.Since(since))
			}
			return hub, err
		}
	}
}

// pollWithTimeout polls a hub for updates of the tables until it does not answer in time.
func (leaf *Leaf) pollWithTimeout(ctx context.Context, hub dogwoodhubs.Daemon, version uint64) (News, error) {
	var news News
	transfer := dogwoodcopy.Transfer{First: maxHold + answerTimeout, Step: answerTimeout, Patience: transferPatience}
	err := transfer.Run(ctx, func(ctx context.Context) error {
		var err error
		news, err = leaf.poll(ctx, hub, FollowRequest{Tables: leaf.positions(), Fleet: version})
		return err
	})
	return news, err
}

// positions returns the versions of the tables that this daemon has.
func (leaf *Leaf) positions() []Position {
	positions := make([]Position, 0, len(leaf.options.TableNames))
	for _, name := range leaf.options.TableNames {
		after, age := leaf.options.Feed.Position(name)
		positions = append(positions, Position{Table: name, After: after, Age: age})
	}
	return positions
}

// recordFleet records the fleet that a hub reported, and that hub as the one followed. The hub's
// record is taken from its own report, because the list of hubs does not contain the instance.
func (leaf *Leaf) recordFleet(hub dogwoodhubs.Daemon, fleet *Fleet) {
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

// poll sends one poll to the hub and feeds the table updates of its answer.
func (leaf *Leaf) poll(ctx context.Context, hub dogwoodhubs.Daemon, request FollowRequest) (News, error) {
	request.Leaf, request.Compressed = leaf.self(), true
	sent := leaf.options.Clock()
	var news News
	if err := leaf.options.Caller.Call(ctx, hub.Peer, Name+".Follow", request, &news); err != nil {
		return news, Error.Wrap(err)
	}
	for _, update := range news.Tables {
		if err := leaf.feed(request.Tables, update, sent); err != nil {
			return news, err
		}
	}
	leaf.mutex.Lock()
	leaf.storeAway, leaf.answeredAt = news.StoreAway, sent
	leaf.mutex.Unlock()
	if leaf.options.SeeRefused != nil {
		leaf.options.SeeRefused(hub, news.Refused, sent)
	}
	return news, nil
}

// feed feeds an update of a table that was requested at a time.
func (leaf *Leaf) feed(requested []Position, update TableUpdate, sent time.Duration) error {
	i := slices.IndexFunc(requested, func(position Position) bool { return position.Table == update.Table })
	if i < 0 {
		return nil
	}
	told, err := update.Decompress()
	if err != nil {
		return Error.Wrap(err)
	}
	leaf.options.Feed.Apply(update.Table, told.ToLocalClock(sent, requested[i].After))
	return nil
}
