package dogwooddispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

// Member is a daemon that is alive.
type Member struct {
	Instance dogwoodfleet.InstanceID
	Place    dogwoodfleet.Place
	Peer     netip.AddrPort
	Leaving  bool
}

// Members lists the daemons alive and all endpoints. The slices that it returns are never
// modified: the same slice always has the same contents.
type Members interface {
	// Alive lists the daemons alive, including this one.
	Alive() []Member
	// Endpoints lists all endpoints. InForce is set from the operators' text and the list of
	// VMs.
	Endpoints() []dogwoodfleet.Endpoint
	// Watch returns a channel that is closed when either list changes.
	Watch() <-chan struct{}
}

// Caller sends calls to other daemons.
type Caller interface {
	Call(ctx context.Context, peer netip.AddrPort, method string, args, reply any) error
}

// OwnersOptions configures Owners.
type OwnersOptions struct {
	Self  dogwoodfleet.InstanceID
	Place dogwoodfleet.Place
	// Policy is "" or dogwoodowner.PolicyBaseline, which chooses owners at random.
	Policy  string
	Text    func() *dogwoodsettings.Text
	Members Members
	Local   *dogwoodowner.Owner
	Caller  Caller
	// Cancel cancels a stream at its engine.
	Cancel func(ctx context.Context, endpoint dogwoodfleet.Endpoint, id dogwoodfleet.RequestID) error
	// Probe tries to connect to an endpoint.
	Probe  func(ctx context.Context, endpoint dogwoodfleet.Endpoint) error
	Logger hclog.Logger
}

// Owners acquires slots from the daemons that own endpoints and keeps the grants that this
// daemon holds. It is safe for concurrent use.
type Owners struct {
	options         OwnersOptions
	background      sync.WaitGroup
	cachedOwnership atomic.Pointer[ownership]

	mutex       sync.Mutex
	closed      bool
	held        map[dogwoodowner.GrantID]*heldGrant
	ownerStates map[dogwoodfleet.InstanceID]*ownerState
	fallback    fallback
	health      health
	owned       []dogwoodfleet.Endpoint
	// loadReports holds the last report of each owned engine.
	loadReports map[dogwoodfleet.EndpointID]dogwoodowner.LoadReport
	random      *rand.Rand
}

// heldGrant is a grant whose request runs for a caller of this daemon.
type heldGrant struct {
	dogwoodowner.Held
	// owner is the endpoint's current owner, which accounts for the grant.
	owner     dogwoodfleet.InstanceID
	heldSince time.Time
	// begun is when the answer began; zero if it has not or if the owner knows.
	begun time.Time
}

// ownerState is the last known load of an owner.
type ownerState struct {
	summary dogwoodowner.Summary
	// acquires counts this daemon's acquire requests since the summary, which doesn't include
	// them. Without this count, all entry daemons would choose the owner whose last summary
	// showed the lowest load.
	acquires map[dogwoodfleet.Service]int
}

// NewOwners returns Owners without any grants.
func NewOwners(options OwnersOptions) *Owners {
	return &Owners{
		options:     options,
		held:        map[dogwoodowner.GrantID]*heldGrant{},
		ownerStates: map[dogwoodfleet.InstanceID]*ownerState{},
		fallback:    newFallback(),
		health:      newHealth(),
		loadReports: map[dogwoodfleet.EndpointID]dogwoodowner.LoadReport{},
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

const (
	// acquireRetryInterval is the pause before another round if no owner could be reached.
	// Daemons need up to three seconds to agree on the successor of a dead one.
	acquireRetryInterval = 250 * time.Millisecond
	// maxOwnersAsked bounds the owners that an acquire request is sent to in one round. Two give
	// most of the benefit of choosing among all. The third is for the case that a daemon just died.
	maxOwnersAsked = 3
	// maxEmptyOwnersAsked bounds the additional owners that turn out to have no endpoint in
	// force. Only the owner is notified immediately that an endpoint leaves, so an entry daemon
	// that gave up after three of these would refuse requests although other owners have
	// endpoints. Owners without endpoints reply without waiting.
	maxEmptyOwnersAsked = 8
	// releaseTimeout bounds notifying an owner of the end of a request. If a release is lost,
	// its slot stays occupied until the grant's lease expires.
	releaseTimeout = 2 * time.Second
)

// Acquire sends an acquire request to the owners that have suitable endpoints, best first,
// until one grants a slot. It sets acquireRequest.Request.ID to the ID under which the slot was granted.
func (owners *Owners) Acquire(ctx context.Context, acquireRequest *dogwoodowner.AcquireRequest) (dogwoodowner.Grant, error) {
	for {
		grant, err := owners.acquireOnce(ctx, acquireRequest)
		if err == nil {
			owners.hold(acquireRequest, grant)
			return grant, nil
		}
		var refusal *dogwoodowner.Refusal
		if errors.As(err, &refusal) {
			return grant, err
		}
		counters.Add("OwnersUnreachable", 1)
		if grant, ok := owners.acquireFallback(acquireRequest); ok {
			counters.Add("Fallbacks", 1)
			// The grant is held like any other and is announced to the owner as soon as there is
			// one. Otherwise that owner would treat the stream as orphaned and cancel it.
			owners.hold(acquireRequest, grant)
			return grant, nil
		}
		select {
		case <-ctx.Done():
			failure := contextFailure(ctx, dogwoodfleet.NotRun)
			return dogwoodowner.Grant{}, &dogwoodowner.Refusal{Reason: failure.Reason, NotRun: true, Detail: "no owner could be reached: " + err.Error()}
		case <-time.After(acquireRetryInterval):
		}
		acquireRequest.Budget = time.Until(acquireRequest.Request.Deadline)
	}
}

// acquireOnce sends an acquire request to up to maxOwnersAsked owners, not counting those that
// turn out to have no endpoint in force. The error is the last refusal, or the transport error
// if no owner answered.
func (owners *Owners) acquireOnce(ctx context.Context, acquireRequest *dogwoodowner.AcquireRequest) (dogwoodowner.Grant, error) {
	var transportErr error
	refusal := &dogwoodowner.Refusal{Reason: dogwoodfleet.ReasonNoEndpoint, NotRun: true, RetryAfter: time.Second, Detail: "no endpoint of the service is in force"}
	refused := false
	chooser := owners.chooser(acquireRequest)
	started, budget := time.Now(), acquireRequest.Budget
	for asked, empty := 0, 0; asked < maxOwnersAsked && empty < maxEmptyOwnersAsked; {
		candidate, ok := chooser.nextOwner()
		if !ok {
			break
		}
		// Subtract the time spent at earlier owners. With the whole budget, this owner could
		// keep the request waiting beyond its deadline, until the caller has disconnected.
		acquireRequest.Budget = budget - time.Since(started)
		owners.countAcquire(candidate.Instance, acquireRequest.Request.Service)
		grant, err := owners.acquireHedged(ctx, candidate, acquireRequest)
		if err == nil {
			return grant, nil
		}
		answered := errors.As(err, &refusal)
		refused = refused || answered
		switch {
		case !answered:
			owners.dropSummary(candidate.Instance)
			transportErr = err
			asked++
		case !otherOwnerMayGrant(refusal) || ctx.Err() != nil:
			return dogwoodowner.Grant{}, refusal
		case refusal.Reason == dogwoodfleet.ReasonNoEndpoint:
			empty++
		default:
			asked++
		}
	}
	if refused || transportErr == nil {
		return dogwoodowner.Grant{}, refusal
	}
	return dogwoodowner.Grant{}, transportErr
}

// shutdownRefusal returns the refusal of a daemon that is shutting down.
func shutdownRefusal() *dogwoodowner.Refusal {
	return &dogwoodowner.Refusal{Reason: dogwoodfleet.ReasonShutdown, NotRun: true, Detail: "this daemon is ending"}
}

// otherOwnerMayGrant reports whether another owner may grant what this one refused. Owners
// have different endpoints, but the customer's share and the suspects are the same for all.
func otherOwnerMayGrant(refusal *dogwoodowner.Refusal) bool {
	switch refusal.Reason {
	case dogwoodfleet.ReasonNoEndpoint, dogwoodfleet.ReasonTooLarge, dogwoodfleet.ReasonDeadline, dogwoodfleet.ReasonShutdown:
		return true
	default:
		return false
	}
}

func (owners *Owners) acquireFrom(ctx context.Context, member Member, acquireRequest dogwoodowner.AcquireRequest) (dogwoodowner.Grant, error) {
	if member.Instance == owners.options.Self {
		return owners.options.Local.Acquire(ctx, acquireRequest)
	}
	var reply AcquireReply
	err := owners.options.Caller.Call(ctx, member.Peer, "Owner.Acquire", acquireRequest, &reply)
	if err != nil {
		owners.withdraw(ctx, member.Peer, acquireRequest.Request.ID)
		if ctx.Err() != nil {
			failure := contextFailure(ctx, dogwoodfleet.NotRun)
			return dogwoodowner.Grant{}, &dogwoodowner.Refusal{Reason: failure.Reason, NotRun: true, Detail: failure.Detail}
		}
		return dogwoodowner.Grant{}, Error.Wrap(err)
	}
	owners.recordSummary(reply.Summary)
	if reply.Refusal != nil {
		return dogwoodowner.Grant{}, reply.Refusal
	}
	return reply.Grant, nil
}

// withdraw notifies an owner that a request no longer waits. Otherwise the request of a
// caller that disconnected would stay in the queue and later occupy a slot until the lease
// expires.
func (owners *Owners) withdraw(ctx context.Context, peer netip.AddrPort, id dogwoodfleet.RequestID) {
	owners.runInBackground(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancel()
		var reply bool
		if err := owners.options.Caller.Call(ctx, peer, "Owner.Withdraw", id, &reply); err != nil {
			owners.options.Logger.Debug("failed to withdraw a waiting request", "request", id, "error", err)
		}
	})
}

func (owners *Owners) hold(acquireRequest *dogwoodowner.AcquireRequest, grant dogwoodowner.Grant) {
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	parts := grant.Parts()
	var blocks []uint64
	if len(parts) == 1 {
		blocks = acquireRequest.Request.Blocks
	}
	for _, part := range parts {
		owners.held[part.ID] = &heldGrant{
			Held: dogwoodowner.Held{
				Grant: part, Holder: acquireRequest.Holder, Request: acquireRequest.Request.ID, Customer: acquireRequest.Request.Customer,
				Digest: acquireRequest.Request.Digest, Model: acquireRequest.Request.Model, Blocks: blocks, PromptTokens: acquireRequest.Request.PromptTokens / len(parts), MaxTokens: acquireRequest.Request.MaxTokens / len(parts),
			},
			owner:     part.ID.Owner,
			heldSince: time.Now(),
		}
	}
}

// Began notes that the answer to the request of a grant has begun. The owner learns of it with the next renewal.
func (owners *Owners) Began(grant dogwoodowner.Grant, begun time.Time) {
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	if held := owners.held[grant.ID]; held != nil {
		held.begun = begun
	}
}

// takeBegins returns the answers to the requests of grants that have begun since it was last called. A begin whose renewal is lost
// is seen again at the release.
func (owners *Owners) takeBegins(grants []dogwoodowner.GrantID) []dogwoodowner.Begin {
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	var begins []dogwoodowner.Begin
	for _, id := range grants {
		if held := owners.held[id]; held != nil && !held.begun.IsZero() {
			begins = append(begins, dogwoodowner.Begin{Grant: id, Age: time.Since(held.begun)})
			held.begun = time.Time{}
		}
	}
	return begins
}

// Release ends a grant and reports the request's result to the endpoints' current owners. If
// the endpoint died, Release waits for the owners' replies: a caller may send the same request
// again immediately, and by then all owners must have a record of it.
func (owners *Owners) Release(ctx context.Context, grant dogwoodowner.Grant, release dogwoodowner.Release) {
	owners.recordResult(&grant, &release)
	parts := grant.Parts()
	var reports sync.WaitGroup
	for i, part := range parts {
		partRelease := release
		partRelease.ID = part.ID
		if i > 0 && partRelease.Result == dogwoodfleet.ResultDied {
			partRelease.Result = dogwoodfleet.ResultCancelled // the primary engine ran it; the helpers only lent memory
		}
		member, ok := owners.dropGrant(part.ID)
		if !ok {
			continue
		}
		if member.Instance == owners.options.Self {
			owners.options.Local.Release(partRelease) //nolint:contextcheck,nolintlint // it sets a time limit that also applies after the caller disconnected; reported only with some states of the linter's cache
			continue
		}
		reports.Add(1)
		started := owners.runInBackground(func() {
			defer reports.Done()
			owners.releaseAt(context.WithoutCancel(ctx), member, partRelease)
		})
		if !started {
			reports.Done()
		}
	}
	if release.Result == dogwoodfleet.ResultDied {
		reports.Wait()
	}
}

// dropGrant removes a held grant and returns its owner. It returns false if the grant is a
// fallback grant that hasn't been announced to an owner, or if the owner is dead. The dead
// owner's successor accounts for the grant for at most one lease.
func (owners *Owners) dropGrant(id dogwoodowner.GrantID) (Member, bool) {
	owners.mutex.Lock()
	held := owners.held[id]
	delete(owners.held, id)
	owners.mutex.Unlock()
	if held == nil {
		return Member{}, false
	}
	return owners.findMember(held.owner)
}

// releaseAt reports the end of a request to one owner.
func (owners *Owners) releaseAt(ctx context.Context, member Member, release dogwoodowner.Release) {
	if member.Instance == owners.options.Self {
		owners.options.Local.Release(release) //nolint:contextcheck,nolintlint // it sets a time limit that also applies after the caller disconnected; reported only with some states of the linter's cache
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var reply dogwoodowner.Summary
	if err := owners.options.Caller.Call(ctx, member.Peer, "Owner.Release", release, &reply); err != nil {
		owners.options.Logger.Debug("failed to release a grant", "grant", release.ID, "error", err)
		return
	}
	owners.recordSummary(reply)
}

// recordResult updates from a result which endpoints are warm and which can be reached.
func (owners *Owners) recordResult(grant *dogwoodowner.Grant, release *dogwoodowner.Release) {
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	owners.fallback.recordResult(grant, release, time.Now())
	switch release.Result {
	case dogwoodfleet.ResultDone, dogwoodfleet.ResultFailed:
		owners.health.markReachable(grant.Endpoint.ID)
	default:
	}
}

func (owners *Owners) findMember(instance dogwoodfleet.InstanceID) (Member, bool) {
	for _, member := range owners.options.Members.Alive() {
		if member.Instance == instance {
			return member, true
		}
	}
	return Member{}, false
}

// ownerOf returns the endpoint's current owner.
func (owners *Owners) ownerOf(endpoint *dogwoodfleet.Endpoint) (Member, bool) {
	return owners.ownership().ownerOf(endpoint)
}

// Local returns the owner that runs in this daemon.
func (owners *Owners) Local() *dogwoodowner.Owner {
	return owners.options.Local
}

// ToldCold immediately notifies an endpoint's owner that the endpoint reported itself as cold.
// At the end of the answer, or at the next load report, the owner would already have exceeded
// the endpoint's limit.
func (owners *Owners) ToldCold(ctx context.Context, endpoint dogwoodfleet.Endpoint, instance dogwoodfleet.InstanceID) {
	owners.mutex.Lock()
	delete(owners.fallback.lastGood, endpoint.ID)
	owners.mutex.Unlock()
	member, ok := owners.ownerOf(&endpoint)
	if !ok {
		return
	}
	if member.Instance == owners.options.Self {
		owners.options.Local.ToldCold(endpoint.ID, instance)
		return
	}
	owners.runInBackground(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancel()
		var reply bool
		if err := owners.options.Caller.Call(ctx, member.Peer, "Owner.ToldCold", Cold{Endpoint: endpoint.ID, Instance: instance}, &reply); err != nil {
			owners.options.Logger.Debug("failed to report a cold endpoint", "endpoint", endpoint.ID, "error", err)
		}
	})
}

// Owned lists the endpoints that this daemon owns.
func (owners *Owners) Owned() []dogwoodfleet.Endpoint {
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	return owners.owned
}

// Report records an owned engine's load report and forwards it to the local owner.
func (owners *Owners) Report(id dogwoodfleet.EndpointID, report dogwoodowner.LoadReport) {
	owners.mutex.Lock()
	if report.MemoryTokens > 0 {
		owners.loadReports[id] = report
	}
	owners.mutex.Unlock()
	owners.options.Local.Report(id, report)
}

// ownedEngines lists the owned engines whose memory size is known.
func (owners *Owners) ownedEngines() []dogwoodowner.GangEngine {
	var engines []dogwoodowner.GangEngine
	for _, endpoint := range owners.Owned() {
		owners.mutex.Lock()
		report := owners.loadReports[endpoint.ID]
		owners.mutex.Unlock()
		if report.MemoryTokens > 0 && endpoint.Kind == dogwoodfleet.EnginePool {
			endpoint.MemoryTokens = report.MemoryTokens
			endpoint.Models, endpoint.Adapters = report.Models, report.Adapters
			engines = append(engines, owners.options.Local.GangEngine(endpoint))
		}
	}
	return engines
}

// recordSummary records the summary that an owner sent.
func (owners *Owners) recordSummary(summary dogwoodowner.Summary) {
	if summary.Owner == "" {
		return
	}
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	owners.ownerStates[summary.Owner] = &ownerState{summary: summary, acquires: map[dogwoodfleet.Service]int{}}
}

func (owners *Owners) dropSummary(instance dogwoodfleet.InstanceID) {
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	delete(owners.ownerStates, instance)
}

// runInBackground runs work that outlives its request. It returns false if the daemon is
// shutting down. A grant that isn't released because of that expires with its lease.
func (owners *Owners) runInBackground(work func()) bool {
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	if owners.closed {
		return false
	}
	owners.background.Go(work)
	return true
}

// Wait waits until the calls in the background have ended. No more are started afterwards.
func (owners *Owners) Wait() {
	owners.mutex.Lock()
	owners.closed = true
	owners.mutex.Unlock()
	owners.background.Wait()
}
