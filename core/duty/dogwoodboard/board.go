// Package dogwoodboard replicates the work of all daemons: each daemon announces the work
// that it places to every other daemon, so that each places requests with a view of the
// whole pool.
//
// A single owner that places all requests would have the same view, but would cost a call
// for each request and an outage whenever it dies, freezes or is cut off. Announcements add
// no latency to a request, and the loss of a daemon hides only that daemon's work, until the
// deadlines of that work pass. The number of announcements grows with the square of the
// announcing daemons, so only hubs announce to each other (dogwoodhubs). While a leaf
// receives requests it polls its hub for the whole view, and it announces its own work to
// that hub, which forwards it to the other hubs.
package dogwoodboard

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodshare"
	"dogwoodmux.example/core/decision/dogwoodwaiting"
	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// Name is the name under which the receiver is registered with the peers' server.
	Name = "Board"
	// announceInterval is how often a hub announces whether it serves when it has no other
	// update. Callers may be sent to a daemon for this long after it has stopped serving.
	announceInterval = 300 * time.Millisecond
	// roleCheckInterval is how often a leaf's link checks whether its daemon has become a hub.
	roleCheckInterval = time.Second
	// announceTimeout bounds one announcement. After a failure the next one lists all work.
	announceTimeout = time.Second
	// batchDelay is how long an update waits for others before it is announced: a fraction
	// of the latency to another data centre.
	batchDelay = 300 * time.Microsecond
	// failureBackoff is the pause after an announcement that failed.
	failureBackoff = 200 * time.Millisecond
	// expireInterval is how often work whose end was never announced is expired.
	expireInterval = time.Second
	// reportTTL is how long a peer's announcement that it serves remains valid: several
	// announcement intervals and the duration of one announcement.
	reportTTL = 2 * time.Second
	// maxPeerWait is the time after the first peers are known in which a daemon waits for the first announcement of each
	// peer before it places long prompts.
	maxPeerWait = time.Second
)

// Caller calls other daemons.
type Caller interface {
	Call(ctx context.Context, peer netip.AddrPort, method string, args, reply any) error
}

// Peer is another daemon.
type Peer struct {
	Instance dogwoodfleet.InstanceID
	Address  netip.AddrPort
}

// Item is announced work. Times are sent as durations relative to now, since the daemons'
// clocks differ.
type Item struct {
	Work dogwoodpacking.Work
	Age  time.Duration
	Left time.Duration
}

// Avoid is an endpoint that a daemon could not reach, and for how long to avoid it.
type Avoid struct {
	Endpoint dogwoodfleet.EndpointID
	For      time.Duration
}

// Pace is the last measured time of a decoding step of an engine, relative to that of a
// healthy engine.
type Pace struct {
	Endpoint dogwoodfleet.EndpointID
	Pace     float64
}

// Limit is a limit that an endpoint named, or took back, some time ago.
type Limit struct {
	Endpoint dogwoodfleet.EndpointID
	Limit    dogwoodpacking.NamedLimit
	Age      time.Duration
}

// Batch is one announcement.
type Batch struct {
	From dogwoodfleet.InstanceID
	// Sequence increases with each announcement of the daemon; 0 from one that does not number them.
	Sequence uint64
	// Whole is true if Items lists all work of the daemon.
	Whole bool
	// Serves is false while the daemon can't serve callers.
	Serves bool
	// Leaves is the number of daemons that follow this one, Requests the number of requests
	// that it sent itself within the last second.
	Leaves, Requests int
	Items            []Item
	Ended            []dogwoodpacking.WorkID
	// NotRun lists the ended work that never ran and does not count as use.
	NotRun []dogwoodpacking.WorkID
	Avoid  []Avoid
	Paces  []Pace
	Limits []Limit
}

// Options configure a Duty.
type Options struct {
	Self   dogwoodfleet.InstanceID
	Board  *dogwoodpacking.Board
	Caller Caller
	// Peers lists the other hubs that are alive, or for a leaf its hub.
	Peers func() []Peer
	// IsLeaf reports whether this daemon is a leaf now. Leaves returns the number of daemons
	// that follow it. Both are nil for a fleet without leaves.
	IsLeaf func() bool
	Leaves func() int
	// Expected returns the number of daemons that should be running, this one included.
	Expected func() int
	// Senders returns the daemons that accept callers; nil if all do.
	Senders func() dogwoodpacking.Senders
	// Watch returns a channel that is closed when the peers change.
	Watch func() <-chan struct{}
	// Serves reports whether this daemon can serve callers.
	Serves func() bool
	Logger hclog.Logger
}

// Duty announces this daemon's work and applies the announcements of others.
type Duty struct {
	options Options
	// sequence is the number of this daemon's last announcement.
	sequence atomic.Uint64
	// applying is held while an announcement is applied.
	applying sync.Mutex

	mutex       sync.Mutex
	own         map[dogwoodpacking.WorkID]dogwoodpacking.Work
	links       map[dogwoodfleet.InstanceID]*link
	peerReports map[dogwoodfleet.InstanceID]peerReport
	view        leafView
	// peersSince is when the first peers were known. peersSettled is true once maxPeerWait has passed since then.
	peersSince   time.Time
	peersSettled bool
}

// peerReport is the state that a peer last announced.
type peerReport struct {
	received time.Time
	sequence uint64
	serves   bool
	// leaves and requests have the same meaning as in Batch.
	leaves, requests int
}

// New returns a Duty that announces once Run is called.
func New(options Options) *Duty {
	return &Duty{
		options:     options,
		own:         map[dogwoodpacking.WorkID]dogwoodpacking.Work{},
		links:       map[dogwoodfleet.InstanceID]*link{},
		peerReports: map[dogwoodfleet.InstanceID]peerReport{},
		view:        leafView{requested: make(chan struct{}, 1)},
	}
}

// Run connects to the peers and announces until the context ends.
func (duty *Duty) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	group.Go(func() error { return duty.refreshView(ctx) })
	for {
		changed := duty.options.Watch()
		peers := duty.options.Peers()
		duty.connect(ctx, group, peers)
		duty.updateAwaitedPeers(time.Now())
		duty.updateVisible(len(peers) + 1)
		if duty.options.Senders != nil {
			duty.options.Board.SetSenders(duty.options.Senders())
		} else {
			duty.options.Board.SetSenders(dogwoodpacking.Senders{Count: len(peers) + 1})
		}
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-changed:
		case now := <-ticker.C:
			duty.options.Board.Expire(now)
			duty.expireReports(now)
		}
	}
}

// connect starts a link to each new peer, and ends the links to peers that are gone and
// removes their work.
func (duty *Duty) connect(ctx context.Context, group *errgroup.Group, peers []Peer) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	alive := map[dogwoodfleet.InstanceID]bool{}
	for _, peer := range peers {
		alive[peer.Instance] = true
		if duty.links[peer.Instance] != nil {
			continue
		}
		linkContext, cancel := context.WithCancel(ctx)
		link := newLink(peer, cancel)
		duty.links[peer.Instance] = link
		group.Go(func() error {
			duty.runLink(linkContext, link)
			return nil
		})
	}
	for instance, link := range duty.links {
		if alive[instance] {
			continue
		}
		link.cancel()
		delete(duty.links, instance)
		delete(duty.peerReports, instance)
		duty.options.Board.RemoveHolder(instance, nil)
	}
}

// updateAwaitedPeers makes long prompts wait while a peer that became known just after the start has not announced its work. An engine
// may run out of memory under a prompt that is placed before. A leaf goes by its view.
func (duty *Duty) updateAwaitedPeers(now time.Time) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	if duty.peersSettled {
		return
	}
	if len(duty.links) == 0 || duty.isLeaf() {
		duty.options.Board.AwaitPeers(false)
		return
	}
	if duty.peersSince.IsZero() {
		duty.peersSince = now
	}
	duty.peersSettled = now.Sub(duty.peersSince) >= maxPeerWait
	missing := false
	for instance := range duty.links {
		missing = missing || duty.peerReports[instance].sequence == 0
	}
	duty.options.Board.AwaitPeers(missing && !duty.peersSettled)
}

// updateVisible sets the number of daemons whose work the board holds. For a leaf with a
// fresh view these are all daemons.
func (duty *Duty) updateVisible(daemons int) {
	if duty.isLeaf() && duty.view.isFresh(time.Now()) {
		daemons = duty.options.Expected()
	}
	duty.options.Board.SetVisibleDaemons(daemons, duty.options.Expected())
}

func (duty *Duty) isLeaf() bool {
	return duty.options.IsLeaf != nil && duty.options.IsLeaf()
}

// expireReports drops old reports, such as those of leaves that no longer announce here.
func (duty *Duty) expireReports(now time.Time) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	maps.DeleteFunc(duty.peerReports, func(_ dogwoodfleet.InstanceID, report peerReport) bool { return now.Sub(report.received) > reportTTL })
}

// OtherLeaves returns the number of daemons that follow the other hubs.
func (duty *Duty) OtherLeaves() int {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	leaves := 0
	for instance := range duty.links {
		leaves += duty.peerReports[instance].leaves
	}
	return leaves
}

// Requests returns the number of requests that each hub sent within the last second. The
// requests of leaves are not counted, since the leaves handle them.
func (duty *Duty) Requests(now time.Time) map[dogwoodfleet.InstanceID]int {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	requests := map[dogwoodfleet.InstanceID]int{duty.options.Self: duty.options.Board.RecentOwnSends(now)}
	for instance := range duty.links {
		requests[instance] = duty.peerReports[instance].requests
	}
	return requests
}

// Place assigns a request to an endpoint and announces the work.
func (duty *Duty) Place(now time.Time, request *dogwoodpacking.PlacementRequest) (dogwoodpacking.Placement, dogwoodpacking.Refusal) {
	if duty.isLeaf() && (request.Prompt > 0 || duty.options.Board.HasLimits()) {
		duty.view.request(now)
	}
	request.Holder = duty.options.Self
	placement, refusal := duty.options.Board.Place(now, request)
	if refusal == dogwoodpacking.Placed {
		duty.recordWork(placement.Work)
	}
	return placement, refusal
}

// ConflictWindow returns how long after its placement a prompt must be checked with Conflicts; 0 for no check.
func (duty *Duty) ConflictWindow(prompt int) time.Duration {
	return duty.options.Board.ConflictWindow(prompt)
}

// Conflicts reports whether a placed prompt must be placed again, since another daemon's goes first.
func (duty *Duty) Conflicts(now time.Time, id dogwoodpacking.WorkID) bool {
	return duty.options.Board.Conflicts(now, id)
}

// Writes records the first token of a request and announces it.
func (duty *Duty) Writes(id dogwoodpacking.WorkID, predicted, seen time.Duration) {
	if work, ok := duty.options.Board.Writes(time.Now(), id, predicted, seen); ok {
		duty.recordWork(work)
	}
}

// End records the end of a request and announces it.
func (duty *Duty) End(id dogwoodpacking.WorkID) {
	duty.options.Board.End(id)
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	delete(duty.own, id)
	for _, link := range duty.links {
		link.end(id)
	}
}

// Cancel records the end of a request that never ran and announces it. The request then does not count as use.
func (duty *Duty) Cancel(id dogwoodpacking.WorkID) {
	duty.options.Board.RemoveUse(time.Now(), id)
	duty.mutex.Lock()
	for _, link := range duty.links {
		link.endNotRun(id)
	}
	duty.mutex.Unlock()
	duty.End(id)
}

// Failed records that an endpoint failed a request of this daemon.
func (duty *Duty) Failed(now time.Time, endpoint dogwoodfleet.EndpointID) {
	duty.options.Board.Failed(now, endpoint)
}

// RecordPace records a short pause between two events of an engine's answer. The resulting pace is
// announced: otherwise each daemon would have to send a few requests to an engine that has
// become slow before it detects that.
func (duty *Duty) RecordPace(endpoint dogwoodfleet.EndpointID, pause time.Duration) {
	pace := duty.options.Board.RecordPace(endpoint, pause)
	if pace <= 0 {
		return
	}
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	for _, link := range duty.links {
		link.setPace(endpoint, pace)
	}
}

// Avoid makes all daemons avoid an unreachable endpoint for new work, for the duration given.
func (duty *Duty) Avoid(now time.Time, endpoint dogwoodfleet.EndpointID, duration time.Duration) {
	duty.options.Board.Avoid(now, endpoint, duration)
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	for _, link := range duty.links {
		link.avoid(Avoid{Endpoint: endpoint, For: duration})
	}
}

// SetLimit records what an answer says about its endpoint's limit, and announces a change. sent is when the answer's
// request was sent.
func (duty *Duty) SetLimit(sent time.Time, endpoint dogwoodfleet.EndpointID, limit dogwoodpacking.NamedLimit) {
	changed, ok := duty.options.Board.SetLimit(time.Now(), sent, endpoint, limit)
	if !ok {
		return
	}
	duty.options.Logger.Info("An endpoint changed its limit.", "endpoint", endpoint, "named", limit.Named, "persecond", limit.PerSecond)
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	for _, link := range duty.links {
		link.setLimit(changed)
	}
}

// LimitedRate returns this daemon's share of the requests a second that a service's endpoints take, and true if all of
// them name a limit.
func (duty *Duty) LimitedRate(service dogwoodfleet.Service) (perSecond float64, limited bool) {
	return duty.options.Board.LimitedRate(service)
}

// Changed returns a channel that is closed when a slot may have become free.
func (duty *Duty) Changed() <-chan struct{} {
	return duty.options.Board.Changed()
}

// HasOtherEndpoint reports whether the service has an endpoint to which the request can be sent and that is not in
// request.Avoid.
func (duty *Duty) HasOtherEndpoint(now time.Time, request *dogwoodpacking.PlacementRequest) bool {
	return duty.options.Board.HasOtherEndpoint(now, request)
}

// Backoff records that an endpoint has asked this daemon for no requests for a while. The other daemons are not told, since an
// endpoint asks each for itself.
func (duty *Duty) Backoff(now time.Time, endpoint *dogwoodfleet.Endpoint, until time.Time) {
	if duty.options.Board.Backoff(now, endpoint, until) {
		duty.options.Logger.Info("An endpoint asked for a back-off.", "endpoint", endpoint.ID, "for", until.Sub(now))
	}
}

// Leave records that an endpoint has said in an answer that it leaves. The other daemons learn it from its answers to them, or
// from its entry.
func (duty *Duty) Leave(now time.Time, endpoint *dogwoodfleet.Endpoint) {
	if duty.options.Board.Leave(now, endpoint) {
		duty.options.Logger.Info("An endpoint says that it leaves.", "endpoint", endpoint.ID, "instance", endpoint.Instance)
	}
}

// IsOpen reports whether a request may be sent to an endpoint now: it is in force and has neither said that it leaves nor asked
// for a back-off.
func (duty *Duty) IsOpen(now time.Time, endpoint *dogwoodfleet.Endpoint) bool {
	return duty.options.Board.IsOpen(now, endpoint)
}

// Reopenings returns how a service's endpoints take requests again if all have asked for none; else nil.
func (duty *Duty) Reopenings(now time.Time, service dogwoodfleet.Service) []dogwoodwaiting.Reopening {
	return duty.options.Board.Reopenings(now, service)
}

// Standings compares the recent use of engine time of the requests' customers with their shares, for requests that wait.
func (duty *Duty) Standings(now time.Time, claims []dogwoodshare.Claim) []dogwoodshare.Standing {
	return duty.options.Board.Standings(now, claims)
}

// RankUses returns the recent use of engine time of a service's ranks, the most urgent one first.
func (duty *Duty) RankUses(now time.Time, service dogwoodfleet.Service) []dogwoodshare.RankUse {
	return duty.options.Board.RankUses(now, service)
}

// UntilFair returns the time until a customer's use of engine time falls to its share.
func (duty *Duty) UntilFair(now time.Time, claim dogwoodshare.Claim) time.Duration {
	return duty.options.Board.UntilFair(now, claim)
}

// Serves reports whether a peer recently announced that it serves callers.
func (duty *Duty) Serves(instance dogwoodfleet.InstanceID) bool {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	report := duty.peerReports[instance]
	return report.serves && time.Since(report.received) < reportTTL
}

// recordWork stores this daemon's work and queues it for each peer.
func (duty *Duty) recordWork(work dogwoodpacking.Work) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.own[work.ID] = work
	for _, link := range duty.links {
		link.put(work)
	}
}

// ownWork lists all work of this daemon.
func (duty *Duty) ownWork() []dogwoodpacking.Work {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	works := make([]dogwoodpacking.Work, 0, len(duty.own))
	for _, work := range duty.own {
		works = append(works, work)
	}
	return works
}
