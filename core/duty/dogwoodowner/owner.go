// Package dogwoodowner queues the requests for the endpoints that this daemon owns, grants
// the endpoints' slots and memory, and updates its estimates from the results. All requests
// to an endpoint pass through its owner, so that their sum is known. The owner's state is
// lost with the daemon, and the next owner rebuilds it from reports and announcements.
// The package uses no network; the daemon exposes its owner to other daemons through net/rpc.
//
// The decisions are made by the packages under core/decision. The owner holds their state
// under one lock and wakes the requests that they choose.
package dogwoodowner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"dogwoodmux.example/core/decision/dogwoodmemory"
	"dogwoodmux.example/core/decision/dogwoodprefix"
	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
)

// Error is the class of this package's errors.
var Error = errs.Class("owner")

// PolicyBaseline names the policy that serves as a baseline for comparisons: first come,
// first served, a random endpoint, and the static warm limit only.
const PolicyBaseline = "Baseline"

const (
	// GrantLease is how long a grant lasts without renewal: three missed heartbeats, which
	// are sent once a second.
	GrantLease = 3 * time.Second
	// SettleTimeout is how long a new owner of an endpoint grants no more than the cold limit
	// unless the engine and an entry daemon report earlier. It is the heartbeat timeout, by which
	// every entry daemon has announced the grants that it holds.
	SettleTimeout = 3 * time.Second
	// noGrantsTimeout is how long a new owner grants nothing unless the engine's list of streams
	// arrives earlier: the previous owner may just have granted the whole cold limit.
	noGrantsTimeout = 500 * time.Millisecond
)

// SuspectPeers exchanges information about suspects with the other owners. The daemon
// implements it.
type SuspectPeers interface {
	// RequestPermit requests or returns a permit at the digest's home, the owner that
	// dogwoodsuspect.Home returns. That may be this owner.
	RequestPermit(ctx context.Context, permitRequest dogwoodsuspect.PermitRequest) (dogwoodsuspect.PermitResponse, error)
	// Notify sends the notices to all other owners and returns when they have confirmed them
	// or the context ends.
	Notify(ctx context.Context, notices []dogwoodsuspect.Notice)
}

// GangPeers acquires and releases engines of any owner for gangs. The daemon implements it.
type GangPeers interface {
	// Engines lists the engines that a gang may include, those of this owner among them.
	// The memory of each is known.
	Engines(service dogwoodfleet.Service, model dogwoodfleet.Model) []GangEngine
	// Acquire acquires a slot on the endpoint from its owner. acquireRequest.Pin is the endpoint's ID.
	Acquire(ctx context.Context, endpoint dogwoodfleet.Endpoint, acquireRequest AcquireRequest) (Grant, error)
	// Release ends a grant at the owner of the endpoint.
	Release(ctx context.Context, endpoint dogwoodfleet.Endpoint, release Release)
}

// Options configures an owner.
type Options struct {
	Text   *dogwoodsettings.Text
	Policy string
	Place  dogwoodfleet.Place
	Self   dogwoodfleet.InstanceID
	// Suspects may be nil if there is no other owner.
	Suspects SuspectPeers
	// Gangs may be nil: prompts that exceed one engine are rejected then.
	Gangs GangPeers
	// Logger may be nil.
	Logger hclog.Logger
	// Seed makes the random choices repeatable in tests; 0 selects a random seed.
	Seed uint64
}

// Owner holds the queues and the grants of the endpoints it owns. It is safe for
// concurrent use.
type Owner struct {
	options Options

	mutex           sync.Mutex
	text            *dogwoodsettings.Text
	weights         map[dogwoodfleet.Customer]float64
	endpoints       map[dogwoodfleet.EndpointID]*endpoint
	endpointList    []*endpoint
	lanes           map[laneKey]*lane
	laneList        []*lane
	grants          map[GrantID]*grant
	byRequest       map[dogwoodfleet.RequestID]*grant
	unprovenRuns    map[dogwoodfleet.Digest]unprovenRun
	lastGrantNumber uint64
	suspects        *dogwoodsuspect.Ledger
	parts           *dogwoodsuspect.PartLedger
	// refusedParts holds the refusals of parts at partsUpdated.
	refusedParts dogwoodsuspect.PartRefusals
	// partWaiters has an entry for each of refusedParts.
	partWaiters partWaiters
	// hasEvicted is true if waiters were evicted since grantWaitingLocked ran.
	hasEvicted bool
	// undecided holds the parts for which answers to other prompts are needed, at partsUpdated.
	undecided []dogwoodfleet.PromptPart
	// announced holds the refused parts of which all owners have been told.
	announced     map[dogwoodfleet.PromptPart]bool
	partsUpdated  time.Time
	lastEndNumber uint64
	prefixes      *dogwoodprefix.Index
	random        *rand.Rand
	timer         *time.Timer
	wakeAt        time.Time
	// announcements holds what RunAnnouncements sends. What finds it full is left to the exchange of notices.
	announcements chan partAnnouncement
}

// New returns an owner without endpoints.
func New(options Options) *Owner {
	seed := options.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	owner := &Owner{
		options:       options,
		endpoints:     map[dogwoodfleet.EndpointID]*endpoint{},
		lanes:         map[laneKey]*lane{},
		grants:        map[GrantID]*grant{},
		byRequest:     map[dogwoodfleet.RequestID]*grant{},
		unprovenRuns:  map[dogwoodfleet.Digest]unprovenRun{},
		suspects:      dogwoodsuspect.NewLedger(),
		parts:         dogwoodsuspect.NewPartLedger(),
		partWaiters:   partWaiters{},
		announced:     map[dogwoodfleet.PromptPart]bool{},
		announcements: make(chan partAnnouncement, maxAnnouncements),
		prefixes:      dogwoodprefix.NewIndex(),
		random:        rand.New(rand.NewPCG(seed, seed)),
	}
	owner.setTextLocked(options.Text)
	return owner
}

func (owner *Owner) baseline() bool {
	return owner.options.Policy == PolicyBaseline
}

func (owner *Owner) setTextLocked(text *dogwoodsettings.Text) {
	if text == nil {
		text = &dogwoodsettings.Text{}
	}
	owner.text = text
	owner.weights = make(map[dogwoodfleet.Customer]float64, len(text.Customers))
	for i := range text.Customers {
		owner.weights[text.Customers[i].Name] = text.Customers[i].Weight
	}
}

func (owner *Owner) weightLocked(customer dogwoodfleet.Customer) float64 {
	return owner.weights[customer]
}

// SetEndpoints sets the endpoints that this owner owns from now on, and the text in force.
// The grants of endpoints that moved to another owner are dropped; their holders announce
// them to that owner.
func (owner *Owner) SetEndpoints(endpoints []dogwoodfleet.Endpoint, text *dogwoodsettings.Text) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	owner.setTextLocked(text)
	owned := make(map[dogwoodfleet.EndpointID]*endpoint, len(endpoints))
	owner.endpointList = owner.endpointList[:0]
	for _, description := range endpoints {
		state := owner.endpoints[description.ID]
		service, known := owner.text.Service(description.Service)
		if !known {
			service = &dogwoodsettings.Service{ColdLimit: 1, WarmLimit: 1}
		}
		if state == nil {
			state = newEndpoint(service, now)
			owner.scheduleWakeLocked(state.noGrantsUntil)
			owner.scheduleWakeLocked(state.settlingUntil)
		}
		state.update(description, service)
		owned[description.ID] = state
		owner.endpointList = append(owner.endpointList, state)
	}
	for id, state := range owner.endpoints {
		if owned[id] == nil {
			owner.dropEndpointLocked(state)
		}
	}
	owner.endpoints = owned
	owner.assignLanesLocked()
	owner.grantWaitingLocked(now)
}

// dropEndpointLocked drops the grants and prefixes of an endpoint that moved to another owner.
func (owner *Owner) dropEndpointLocked(state *endpoint) {
	for id, grant := range owner.grants {
		if grant.endpoint == state {
			countTrial(grant) // its end is reported to the other owner, which does not know its permits
			delete(owner.grants, id)
			owner.untrackRunLocked(grant)
		}
	}
	owner.prefixes.RemoveEngine(state.description.ID)
}

// assignLanesLocked assigns the endpoints to their lanes. Requests that wait in a lane
// without endpoints in force are queued anew if another lane can serve them, for example because
// the engines have reported their models. Otherwise they are rejected, so that the entry daemons
// can try another owner at once.
func (owner *Owner) assignLanesLocked() {
	for _, lane := range owner.laneList {
		lane.endpoints = lane.endpoints[:0]
	}
	for _, state := range owner.endpointList {
		models := state.description.Models
		if len(models) == 0 {
			owner.laneLocked(laneKey{service: state.description.Service}).add(state)
		}
		for _, model := range models {
			owner.laneLocked(laneKey{service: state.description.Service, model: model}).add(state)
		}
	}
	for _, lane := range owner.laneList {
		if lane.inForceCount() == 0 {
			lane.rejectAll(func(request *dogwoodfleet.Request) *Refusal {
				if substitute := owner.findLaneLocked(request); substitute != nil && substitute.inForceCount() > 0 {
					return acquireAgain
				}
				return refusalNoEndpoint()
			})
		}
	}
}

func (owner *Owner) laneLocked(key laneKey) *lane {
	found := owner.lanes[key]
	if found == nil {
		found = newLane(owner, key)
		owner.lanes[key] = found
		owner.laneList = append(owner.laneList, found)
	}
	return found
}

// findLaneLocked returns the lane of the request's model if it has an endpoint in force, else
// the lane of the service's endpoints whose models aren't known, or nil.
func (owner *Owner) findLaneLocked(request *dogwoodfleet.Request) *lane {
	found := owner.lanes[laneKey{service: request.Service, model: request.Model}]
	if found != nil && found.inForceCount() > 0 {
		return found
	}
	return owner.lanes[laneKey{service: request.Service}]
}

// grantWaitingLocked grants what can be granted in all lanes.
func (owner *Owner) grantWaitingLocked(now time.Time) {
	owner.hasEvicted = false
	if len(owner.laneList) == 0 {
		return
	}
	// A random start gives lanes that share endpoints equal chances to be first.
	start := owner.random.IntN(len(owner.laneList))
	for i := range owner.laneList {
		owner.laneList[(start+i)%len(owner.laneList)].grantWaiting(now)
	}
}

// scheduleWakeLocked schedules a pass over the queues at the given time. It is needed for
// changes that no call reports: the end of settling, or of the time for which a failed endpoint
// is blocked.
func (owner *Owner) scheduleWakeLocked(at time.Time) {
	now := time.Now()
	if !at.After(now) || owner.wakeAt.After(now) && !at.Before(owner.wakeAt) {
		return
	}
	owner.wakeAt = at
	if owner.timer == nil {
		owner.timer = time.AfterFunc(at.Sub(now), owner.wake)
		return
	}
	owner.timer.Reset(at.Sub(now))
}

// wake grants what can be granted and schedules the next pass.
func (owner *Owner) wake() {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	owner.grantWaitingLocked(now)
	owner.wakeAt = time.Time{}
	for _, state := range owner.endpointList {
		for _, at := range []time.Time{state.noGrantsUntil, state.settlingUntil, state.limiter.BlockedUntil()} {
			owner.scheduleWakeLocked(at)
		}
	}
}

// Report applies an engine's load report.
func (owner *Owner) Report(id dogwoodfleet.EndpointID, report LoadReport) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	state := owner.endpoints[id]
	if state == nil {
		return
	}
	now := time.Now()
	restarted := state.description.Instance != "" && report.Instance != "" && state.description.Instance != report.Instance
	if state.report(now, report) {
		owner.assignLanesLocked()
	}
	if restarted {
		owner.prefixes.RemoveEngine(id)
	}
	owner.grantWaitingLocked(now)
}

// ToldCold records that an endpoint reported, at the beginning of an answer, that it is cold.
// The limit is cut at once, since the endpoint would otherwise be sent more than it can handle
// until the end of that answer or the next report.
func (owner *Owner) ToldCold(id dogwoodfleet.EndpointID, instance dogwoodfleet.InstanceID) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	if state := owner.endpoints[id]; state != nil && !owner.baseline() {
		state.limiter.ToldCold(time.Now(), instance)
	}
}

// Reconcile compares the owner's account of an engine's memory with the engine's list of
// streams, and returns the streams to cancel there. Streams that match no grant count against
// the engine's limit; the memory of an expired grant whose stream is no longer listed is freed.
func (owner *Owner) Reconcile(id dogwoodfleet.EndpointID, report dogwoodmemory.Report) (orphans []Orphan) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	state := owner.endpoints[id]
	if state == nil {
		return nil
	}
	now := time.Now()
	for _, unclaimed := range state.memory.Reconcile(report, now) {
		orphan := Orphan{Endpoint: state.description, Request: unclaimed.Request}
		if grant := owner.byRequest[unclaimed.Request]; grant != nil && grant.endpoint == state {
			orphan.Grant = grant.ID
		}
		orphans = append(orphans, orphan)
	}
	state.reconciled = now
	state.unknownStreams = 0
	listed := make(map[dogwoodfleet.RequestID]bool, len(report.Listed))
	for _, entry := range report.Listed {
		listed[entry.Request] = true
		unknown := owner.byRequest[entry.Request] == nil && !state.endedAfter(entry.Request, report.Asked)
		if unknown && !entry.Reserved {
			state.unknownStreams++
		}
	}
	for grantID, grant := range owner.grants {
		if grant.endpoint == state && grant.expired && report.Asked.After(grant.expiredAt) && !listed[grant.request.ID] {
			countTrial(grant)
			owner.removeGrantLocked(grantID, grant, false)
		}
	}
	if report.Asked.After(state.settlingUntil.Add(-SettleTimeout)) {
		state.engineReported = true
		state.shortenSettling(now)
	}
	owner.grantWaitingLocked(now)
	return orphans
}

// CacheEvents applies an engine's cache events. They may be late, and gap reports that some
// are missing.
func (owner *Owner) CacheEvents(id dogwoodfleet.EndpointID, instance dogwoodfleet.InstanceID, events []dogwoodprefix.Event, gap bool) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	if owner.endpoints[id] != nil {
		owner.prefixes.Apply(id, instance, events, gap)
	}
}

// Summary returns the owner's load by service.
func (owner *Owner) Summary() Summary {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	summary := Summary{Owner: owner.options.Self}
	index := map[dogwoodfleet.Service]int{}
	for _, state := range owner.endpointList {
		i, ok := index[state.description.Service]
		if !ok {
			i = len(summary.Services)
			index[state.description.Service] = i
			summary.Services = append(summary.Services, ServiceSummary{Service: state.description.Service})
		}
		service := &summary.Services[i]
		summary.Settling = summary.Settling || now.Before(state.settlingUntil)
		if !state.description.InForce {
			continue
		}
		service.Endpoints++
		if state.serving(now) {
			service.Slots += state.limit(now)
		}
		service.Running += state.running
		service.LargestTokens = max(service.LargestTokens, state.usableTokens())
	}
	for _, lane := range owner.laneList {
		if i, ok := index[lane.key.service]; ok {
			summary.Services[i].Waiting += lane.waitingCount()
			summary.Services[i].Wait = max(summary.Services[i].Wait, lane.queue.Backlog(lane.capacity(now)))
		}
	}
	return summary
}
