// Package dogwoodchanges distributes the change log to every daemon: the daemon that accepts
// a change pushes it to all others, each daemon exchanges updates with a random peer, and all
// read the store at a low rate. So two mechanisms repair a push that failed.
//
// Load pattern: the design load is 26,000 changes a day, or 0.3 a second, each to be in force
// everywhere within 3 s. Without the exchange between peers, 500 daemons would have to read
// the store twice a second, which is half of all the reads that the store can handle.
package dogwoodchanges

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/state/dogwoodchange"
	"dogwoodmux.example/core/state/dogwoodmember"
)

// Error is the class of this package's errors.
var Error = errs.Class("changes")

const (
	// Name is the name under which the receiver is registered with the peers' server.
	Name = "Change"
	// pushTimeout bounds one push. A peer that misses all tries receives the change through
	// the exchange.
	pushTimeout = 500 * time.Millisecond
	// pushTries is the number of tries of a push. Where one call in five was lost, the exchange
	// alone left a daemon behind for over 3 s in one of several thousand fleets.
	pushTries = 2
	// maxConcurrentCalls bounds the calls to peers in flight: a push to 500 daemons takes ten
	// rounds.
	maxConcurrentCalls = 50
	// exchangeInterval is how often a daemon exchanges updates with a random peer. The number of
	// daemons that have an update doubles with each round, so 8 daemons have it after three
	// rounds if the pusher died. The cost is two small calls a second, whatever the number of
	// daemons.
	exchangeInterval = 500 * time.Millisecond
	exchangeTimeout  = 500 * time.Millisecond
	// pollInterval is how often the store is read: 50 reads a second for 500 daemons.
	pollInterval = 10 * time.Second
	// storeInterval is how often a daemon tries to write provisional take-outs to the log. During
	// an outage the store's breaker makes such a try cost nothing.
	storeInterval = 2 * time.Second
	// startRetryInterval is the wait between tries to load the log at the start.
	startRetryInterval = 200 * time.Millisecond
	// peerLookupTries is how often a daemon without known peers checks for one at the start.
	peerLookupTries = 5
	callTimeout     = 2 * time.Second
)

// Caller calls other daemons.
type Caller interface {
	Call(ctx context.Context, peer netip.AddrPort, method string, args, reply any) error
}

// Members lists the daemons and receives the view in force.
type Members interface {
	Self() dogwoodmember.Member
	Alive() []dogwoodmember.Member
	// Peers returns all other daemons in every region that are listed or that send heartbeats.
	Peers() []dogwoodmember.Target
	SetView(view dogwoodchange.View)
}

// Options configure a Duty.
type Options struct {
	Log     *dogwoodchange.Log
	Members Members
	Caller  Caller
	// Logger may be nil to disable logging.
	Logger hclog.Logger
}

// Duty distributes the log while Run runs.
type Duty struct {
	options     Options
	ready       chan struct{}
	once        sync.Once
	replication replication
}

// New returns a Duty.
func New(options Options) *Duty {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	return &Duty{options: options, ready: make(chan struct{}), replication: newReplication()}
}

// Ready returns a channel that is closed once this daemon has the latest state of the store and
// its peers. The daemon must not serve before that, or it might admit requests by an operators'
// text that was replaced long ago.
func (duty *Duty) Ready() <-chan struct{} {
	return duty.ready
}

// Run loads the log, then distributes and repairs it until the context ends.
func (duty *Duty) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return duty.publishViews(ctx) })
	group.Go(func() error { return duty.pushAccepted(ctx) })
	group.Go(func() error {
		if duty.loadLog(ctx) != nil {
			return nil
		}
		var repairs errgroup.Group
		repairs.Go(func() error { return runPeriodically(ctx, exchangeInterval, duty.exchangeWithRandom) })
		repairs.Go(func() error { return runPeriodically(ctx, pollInterval, duty.poll) })
		repairs.Go(func() error { return runPeriodically(ctx, storeInterval, duty.storeProvisional) })
		return repairs.Wait()
	})
	return group.Wait()
}

// publishViews passes each new view to the members, which derive the endpoints from it.
func (duty *Duty) publishViews(ctx context.Context) error {
	for {
		changed := duty.options.Log.Watch()
		duty.options.Members.SetView(duty.options.Log.Current())
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// loadLog retries until it has loaded the log from the store or, while the store is down, from
// a ready peer.
func (duty *Duty) loadLog(ctx context.Context) error {
	for range peerLookupTries {
		// The list of daemons may not have been read yet, and the store alone may return an
		// older state than the peers have.
		if len(duty.options.Members.Peers()) > 0 {
			break
		}
		if err := sleep(ctx, startRetryInterval); err != nil {
			return err
		}
	}
	for {
		fromStore := duty.catchUp(ctx) == nil
		fromPeer := duty.exchangeWithAll(ctx)
		if fromStore || fromPeer {
			duty.once.Do(func() { close(duty.ready) })
			duty.options.Logger.Info("The log is loaded.",
				"version", duty.options.Log.Current().Version, "store", fromStore, "peer", fromPeer)
			return nil
		}
		if err := sleep(ctx, jittered(startRetryInterval)); err != nil {
			return err
		}
	}
}

func (duty *Duty) catchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return Error.Wrap(duty.options.Log.CatchUp(ctx))
}

// exchangeWithAll exchanges updates with all peers and reports whether a ready one answered.
func (duty *Duty) exchangeWithAll(ctx context.Context) bool {
	var mutex sync.Mutex
	readyAnswered := false
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, peer := range duty.options.Members.Peers() {
		group.Go(func() error {
			if ready, err := duty.exchange(ctx, peer.Peer); err == nil && ready {
				mutex.Lock()
				defer mutex.Unlock()
				readyAnswered = true
			}
			return nil
		})
	}
	_ = group.Wait()
	return readyAnswered
}

// exchangeWithRandom exchanges updates with a random daemon that is alive.
func (duty *Duty) exchangeWithRandom(ctx context.Context) {
	others := duty.aliveOthers()
	if len(others) == 0 {
		return
	}
	peer := others[rand.IntN(len(others))]
	if _, err := duty.exchange(ctx, peer.Peer); err != nil {
		duty.options.Logger.Trace("Exchange failed.", "vm", peer.VM, "error", err)
	}
}

// exchange merges a peer's update and reports whether the peer is ready. A peer that is behind
// is sent what it lacks in a second call.
func (duty *Duty) exchange(ctx context.Context, peer netip.AddrPort) (ready bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	current := duty.options.Log.Current()
	request := ExchangeRequest{Version: current.Version, Provisional: len(current.Provisional)}
	var told Told
	if err := duty.options.Caller.Call(ctx, peer, Name+".Exchange", request, &told); err != nil {
		return false, Error.Wrap(err)
	}
	duty.options.Log.Merge(told.News)
	if told.News.Version < current.Version || len(told.News.Provisional) < len(current.Provisional) {
		news := duty.options.Log.Since(told.News.Version)
		var version uint64
		if err := duty.options.Caller.Call(ctx, peer, Name+".Push", news, &version); err != nil {
			return told.Ready, Error.Wrap(err)
		}
	}
	return told.Ready, nil
}

// pushAccepted pushes the changes that this daemon accepts to all others until the context ends.
func (duty *Duty) pushAccepted(ctx context.Context) error {
	pushed := duty.options.Log.Current().Version
	for {
		select {
		case <-duty.options.Log.Accepted():
		case <-ctx.Done():
			return nil
		}
		news := duty.options.Log.Since(pushed)
		pushed = news.Version
		var group errgroup.Group
		group.SetLimit(maxConcurrentCalls)
		for _, peer := range duty.options.Members.Peers() {
			group.Go(func() error {
				for range pushTries {
					if duty.pushTo(ctx, peer, news) {
						duty.replication.record(news)
						break
					}
				}
				return nil
			})
		}
		_ = group.Wait()
	}
}

// pushTo pushes an update and reports whether the peer has it. A peer that lacks earlier changes
// returns a lower version than that of the update, and is then sent all changes after its own.
func (duty *Duty) pushTo(ctx context.Context, peer dogwoodmember.Target, news dogwoodchange.News) bool {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var version uint64
	err := duty.options.Caller.Call(ctx, peer.Peer, Name+".Push", news, &version)
	if err == nil && version < news.Version {
		err = duty.options.Caller.Call(ctx, peer.Peer, Name+".Push", duty.options.Log.Since(version), &version)
	}
	if err != nil {
		duty.options.Logger.Debug("Push failed.", "vm", peer.VM, "error", err)
	}
	return err == nil
}

func (duty *Duty) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := duty.options.Log.Poll(ctx); err != nil {
		duty.options.Logger.Debug("Store not read.", "error", err)
	}
}

func (duty *Duty) storeProvisional(ctx context.Context) {
	if len(duty.options.Log.Current().Provisional) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	duty.options.Log.StoreProvisional(ctx)
}

func (duty *Duty) aliveOthers() []dogwoodmember.Member {
	self := duty.options.Members.Self().VM
	return slices.DeleteFunc(slices.Clone(duty.options.Members.Alive()), func(member dogwoodmember.Member) bool {
		return member.VM == self
	})
}

// Status is what a daemon has in force.
type Status struct {
	VM          dogwoodfleet.VM
	Instance    dogwoodfleet.InstanceID
	Version     uint64
	TextVersion uint64
	// Provisional counts take-outs in force there that the log does not hold yet.
	Provisional  int
	InForceSince time.Time
	// Leaving is true if the daemon takes no new work.
	Leaving bool
	// Behind is true if another daemon has a higher version in force.
	Behind bool
	// Problem is the error if the daemon could not be queried; all other fields but VM are then
	// empty.
	Problem string `json:",omitempty"`
}

// Statuses queries every daemon for its status and returns them sorted by the VMs' names.
func (duty *Duty) Statuses(ctx context.Context) []Status {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	statuses := []Status{duty.status()}
	var mutex sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, peer := range duty.options.Members.Peers() {
		group.Go(func() error {
			status := Status{VM: peer.VM}
			if err := duty.options.Caller.Call(ctx, peer.Peer, Name+".Status", true, &status); err != nil {
				status = Status{VM: peer.VM, Problem: err.Error()}
			}
			mutex.Lock()
			defer mutex.Unlock()
			statuses = append(statuses, status)
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(statuses, func(a, b Status) int { return strings.Compare(string(a.VM), string(b.VM)) })
	markBehind(statuses)
	return statuses
}

func markBehind(statuses []Status) {
	var highest uint64
	for _, status := range statuses {
		highest = max(highest, status.Version)
	}
	for i := range statuses {
		statuses[i].Behind = statuses[i].Problem == "" && statuses[i].Version < highest
	}
}

func (duty *Duty) status() Status {
	self, view := duty.options.Members.Self(), duty.options.Log.Current()
	return Status{
		VM:           self.VM,
		Instance:     self.Instance,
		Version:      view.Version,
		TextVersion:  view.TextVersion,
		Provisional:  len(view.Provisional),
		InForceSince: view.InForceSince,
		Leaving:      self.Leaving,
	}
}

func runPeriodically(ctx context.Context, period time.Duration, step func(ctx context.Context)) error {
	for sleep(ctx, jittered(period)) == nil {
		step(ctx)
	}
	return nil
}

func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// jittered varies a period randomly by up to a tenth in both directions, so that daemons do not
// act in lockstep.
func jittered(period time.Duration) time.Duration {
	const jitterDivisor = 10
	return period - period/jitterDivisor + rand.N(2*period/jitterDivisor)
}
