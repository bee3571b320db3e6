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

// Members tells who is alive and which endpoints there are. Its slices are never changed;
// when one is the same as before, so is all in it.
type Members interface {
	// Alive lists the daemons alive, this one among them.
	Alive() []Member
	// Endpoints lists all endpoints, with InForce as the operators and the VM list say.
	Endpoints() []dogwoodfleet.Endpoint
	// Watch returns a channel that is closed when either of them changes.
	Watch() <-chan struct{}
}

// Caller calls other daemons.
type Caller interface {
	Call(ctx context.Context, peer netip.AddrPort, method string, args, reply any) error
}

// OwnersOptions are what Owners is made from.
type OwnersOptions struct {
	Self  dogwoodfleet.InstanceID
	Place dogwoodfleet.Place
	// Policy is "" or dogwoodowner.PolicyBaseline, which chooses owners by chance.
	Policy  string
	Text    func() *dogwoodsettings.Text
	Members Members
	Local   *dogwoodowner.Owner
	Caller  Caller
	// Cancel ends a stream at its engine.
	Cancel func(ctx context.Context, endpoint dogwoodfleet.Endpoint, id dogwoodfleet.RequestID) error
	// Probe tries to connect to an endpoint.
	Probe  func(ctx context.Context, endpoint dogwoodfleet.Endpoint) error
	Logger hclog.Logger
}

// Owners finds the soft owner for a request among all daemons and keeps the grants that
// this daemon holds. It is safe for concurrent use.
type Owners struct {
	options OwnersOptions
	group   sync.WaitGroup
	table   atomic.Pointer[ownership]

	mutex     sync.Mutex
	ended     bool
	held      map[dogwoodowner.GrantID]*heldGrant
	summaries map[dogwoodfleet.InstanceID]*ownerState
	fallback  fallback
	health    health
	owned     []dogwoodfleet.Endpoint
	// told is what owned engines said of themselves last.
	told   map[dogwoodfleet.EndpointID]dogwoodowner.LoadReport
	random *rand.Rand
}

// heldGrant is a grant whose request runs for a caller of this daemon.
type heldGrant struct {
	dogwoodowner.Held
	// keeper is the owner that counts the grant now: the endpoint's present owner.
	keeper dogwoodfleet.InstanceID
	sent   time.Time
}

// ownerState is what is known of an owner's work.
type ownerState struct {
	summary dogwoodowner.Summary
	at      time.Time
	// asked counts this daemon's asks since the summary: what was just sent counts before
	// it is reported, else all entries would run to the owner that reported last.
	asked map[dogwoodfleet.Service]int
}

// NewOwners returns the directory of owners.
func NewOwners(options OwnersOptions) *Owners {
	return &Owners{
		options:   options,
		held:      map[dogwoodowner.GrantID]*heldGrant{},
		summaries: map[dogwoodfleet.InstanceID]*ownerState{},
		fallback:  newFallback(),
		health:    newHealth(),
		told:      map[dogwoodfleet.EndpointID]dogwoodowner.LoadReport{},
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

const (
	// acquireAgain is the pause before owners that were all unreachable are asked anew;
	// members need up to three seconds to agree on a dead daemon's successor.
	acquireAgain = 250 * time.Millisecond
	// ownersAsked bounds how many owners one request asks in a row. The second choice has
	// most of the gain of choosing among all; the third is for a daemon that just died.
	ownersAsked = 3
	// emptyOwnersAsked bounds how many owners without an endpoint in force are asked besides.
	// Only the owner hears at once that an endpoint leaves; an entry that gave up after three
	// of these would refuse while others have endpoints. They answer without a wait.
	emptyOwnersAsked = 8
	// releaseTime bounds telling an owner of a request's end. A release that is lost
	// costs its slot until the grant's lease has run out.
	releaseTime = 2 * time.Second
)

// Acquire asks the owners that suit the request, best first, until one grants a slot. The
// request's ID is the granted ask's afterwards.
func (owners *Owners) Acquire(ctx context.Context, ask *dogwoodowner.Ask) (dogwoodowner.Grant, error) {
	for {
		grant, err := owners.acquireOnce(ctx, ask)
		if err == nil {
			owners.hold(ask, grant)
			return grant, nil
		}
		var refusal *dogwoodowner.Refusal
		if errors.As(err, &refusal) {
			return grant, err
		}
		counters.Add("OwnersUnreachable", 1)
		if grant, ok := owners.takeFallback(ask); ok {
			counters.Add("Fallbacks", 1)
			// Held like any other: it is announced to the owner as soon as there is one, which
			// would else take the stream for one that no one holds and cancel it.
			owners.hold(ask, grant)
			return grant, nil
		}
		select {
		case <-ctx.Done():
			failure := ended(ctx, dogwoodfleet.NotRun)
			return dogwoodowner.Grant{}, &dogwoodowner.Refusal{Reason: failure.Reason, NotRun: true, Detail: "no owner could be reached: " + err.Error()}
		case <-time.After(acquireAgain):
		}
		ask.Budget = time.Until(ask.Request.Deadline)
	}
}

// acquireOnce asks up to ownersAsked owners, not counting those that turn out to have no
// endpoint in force. The error is the last refusal, or that of the transport when no owner
// answered at all.
func (owners *Owners) acquireOnce(ctx context.Context, ask *dogwoodowner.Ask) (dogwoodowner.Grant, error) {
	var transport error
	refusal := &dogwoodowner.Refusal{Reason: dogwoodfleet.ReasonNoEndpoint, NotRun: true, RetryAfter: time.Second, Detail: "no endpoint of the service is in force"}
	refused := false
	chooser := owners.chooser(ask)
	started, budget := time.Now(), ask.Budget
	for asked, empty := 0, 0; asked < ownersAsked && empty < emptyOwnersAsked; {
		candidate, more := chooser.next()
		if !more {
			break
		}
		// What one owner took is no longer left at the next: told the whole budget, it would
		// let the request wait until its caller is gone.
		ask.Budget = budget - time.Since(started)
		owners.asked(candidate.Instance, ask.Request.Service)
		grant, err := owners.acquireHedged(ctx, candidate, ask)
		if err == nil {
			return grant, nil
		}
		answered := errors.As(err, &refusal)
		refused = refused || answered
		switch {
		case !answered:
			owners.forget(candidate.Instance)
			transport = err
			asked++
		case !elsewhere(refusal) || ctx.Err() != nil:
			return dogwoodowner.Grant{}, refusal
		case refusal.Reason == dogwoodfleet.ReasonNoEndpoint:
			empty++
		default:
			asked++
		}
	}
	if refused || transport == nil {
		return dogwoodowner.Grant{}, refusal
	}
	return dogwoodowner.Grant{}, transport
}

// refusalEnded refuses at this daemon's own end.
func refusalEnded() *dogwoodowner.Refusal {
	return &dogwoodowner.Refusal{Reason: dogwoodfleet.ReasonShutdown, NotRun: true, Detail: "this daemon is ending"}
}

// elsewhere is true when another owner may grant what this one refused: its endpoints
// differ, the customer's share and the suspects do not.
func elsewhere(refusal *dogwoodowner.Refusal) bool {
	switch refusal.Reason {
	case dogwoodfleet.ReasonNoEndpoint, dogwoodfleet.ReasonTooLarge, dogwoodfleet.ReasonDeadline, dogwoodfleet.ReasonShutdown:
		return true
	default:
		return false
	}
}

func (owners *Owners) acquireFrom(ctx context.Context, member Member, ask dogwoodowner.Ask) (dogwoodowner.Grant, error) {
	if member.Instance == owners.options.Self {
		return owners.options.Local.Acquire(ctx, ask)
	}
	var reply AcquireReply
	err := owners.options.Caller.Call(ctx, member.Peer, "Owner.Acquire", ask, &reply)
	if err != nil {
		owners.withdraw(ctx, member.Peer, ask.Request.ID)
		if ctx.Err() != nil {
			failure := ended(ctx, dogwoodfleet.NotRun)
			return dogwoodowner.Grant{}, &dogwoodowner.Refusal{Reason: failure.Reason, NotRun: true, Detail: failure.Detail}
		}
		return dogwoodowner.Grant{}, Error.Wrap(err)
	}
	owners.note(reply.Summary)
	if reply.Refusal != nil {
		return dogwoodowner.Grant{}, reply.Refusal
	}
	return reply.Grant, nil
}

// withdraw tells an owner that a request no longer waits. Without it a caller that left
// would keep its place in the queue, and later a slot until its lease ran out.
func (owners *Owners) withdraw(ctx context.Context, peer netip.AddrPort, id dogwoodfleet.RequestID) {
	owners.inBackground(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTime)
		defer cancel()
		var reply bool
		if err := owners.options.Caller.Call(ctx, peer, "Owner.Withdraw", id, &reply); err != nil {
			owners.options.Logger.Debug("withdrawing failed", "request", id, "error", err)
		}
	})
}

func (owners *Owners) hold(ask *dogwoodowner.Ask, grant dogwoodowner.Grant) {
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	parts := grant.Parts()
	for _, part := range parts {
		owners.held[part.ID] = &heldGrant{
			Held: dogwoodowner.Held{
				Grant: part, Holder: ask.Holder, Request: ask.Request.ID, Customer: ask.Request.Customer,
				Digest: ask.Request.Digest, PromptTokens: ask.Request.PromptTokens / len(parts), MaxTokens: ask.Request.MaxTokens / len(parts),
			},
			keeper: part.ID.Owner,
			sent:   time.Now(),
		}
	}
}

// Release ends a grant and tells the endpoints' present owners how the request went. After
// an endpoint's death it returns only when the owner knows of it: a caller that sends the
// same request again at once must be known to all owners by then.
func (owners *Owners) Release(ctx context.Context, grant dogwoodowner.Grant, release dogwoodowner.Release) {
	owners.observe(&grant, &release)
	parts := grant.Parts()
	var telling sync.WaitGroup
	for i, part := range parts {
		told := release
		told.ID = part.ID
		if i > 0 && told.Result == dogwoodfleet.ResultDied {
			told.Result = dogwoodfleet.ResultCancelled // the first engine ran it; the others lent memory
		}
		member, keep := owners.drop(part.ID)
		if !keep {
			continue
		}
		if member.Instance == owners.options.Self {
			owners.options.Local.Release(told) //nolint:contextcheck,nolintlint // it bounds itself, also when the caller left; seen only with some states of the cache
			continue
		}
		telling.Add(1)
		begun := owners.inBackground(func() {
			defer telling.Done()
			owners.releaseAt(context.WithoutCancel(ctx), member, told)
		})
		if !begun {
			telling.Done()
		}
	}
	if release.Result == dogwoodfleet.ResultDied {
		telling.Wait()
	}
}

// drop forgets a held grant and returns its keeper. There is none for a fallback's grant
// or when the keeper is dead: its successor counts the grant for one lease at most.
func (owners *Owners) drop(id dogwoodowner.GrantID) (Member, bool) {
	owners.mutex.Lock()
	held := owners.held[id]
	delete(owners.held, id)
	owners.mutex.Unlock()
	if held == nil {
		return Member{}, false
	}
	return owners.member(held.keeper)
}

// releaseAt tells one owner of a request's end.
func (owners *Owners) releaseAt(ctx context.Context, member Member, release dogwoodowner.Release) {
	if member.Instance == owners.options.Self {
		owners.options.Local.Release(release) //nolint:contextcheck,nolintlint // it bounds itself, also when the caller left; seen only with some states of the cache
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTime)
	defer cancel()
	var reply dogwoodowner.Summary
	if err := owners.options.Caller.Call(ctx, member.Peer, "Owner.Release", release, &reply); err != nil {
		owners.options.Logger.Debug("release failed", "grant", release.ID, "error", err)
		return
	}
	owners.note(reply)
}

// observe learns from a result which endpoints are warm and which can't be reached.
func (owners *Owners) observe(grant *dogwoodowner.Grant, release *dogwoodowner.Release) {
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	owners.fallback.observe(grant, release, time.Now())
	switch release.Result {
	case dogwoodfleet.ResultDone, dogwoodfleet.ResultFailed:
		owners.health.reached(grant.Endpoint.ID)
	default:
	}
}

func (owners *Owners) member(instance dogwoodfleet.InstanceID) (Member, bool) {
	for _, member := range owners.options.Members.Alive() {
		if member.Instance == instance {
			return member, true
		}
	}
	return Member{}, false
}

// ownerOf returns the endpoint's present owner.
func (owners *Owners) ownerOf(endpoint *dogwoodfleet.Endpoint) (Member, bool) {
	return owners.ownership().ownerOf(endpoint)
}

// Local returns this daemon's own owner.
func (owners *Owners) Local() *dogwoodowner.Owner {
	return owners.options.Local
}

// ToldCold passes on an endpoint's word that it is cold to its owner, at once: by the end
// of the answer, or by the next report, it would have been given more than it bears.
func (owners *Owners) ToldCold(ctx context.Context, endpoint dogwoodfleet.Endpoint, instance dogwoodfleet.InstanceID) {
	owners.mutex.Lock()
	delete(owners.fallback.warm, endpoint.ID)
	owners.mutex.Unlock()
	member, ok := owners.ownerOf(&endpoint)
	if !ok {
		return
	}
	if member.Instance == owners.options.Self {
		owners.options.Local.ToldCold(endpoint.ID, instance)
		return
	}
	owners.inBackground(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTime)
		defer cancel()
		var reply bool
		if err := owners.options.Caller.Call(ctx, member.Peer, "Owner.ToldCold", Cold{Endpoint: endpoint.ID, Instance: instance}, &reply); err != nil {
			owners.options.Logger.Debug("telling of a cold endpoint failed", "endpoint", endpoint.ID, "error", err)
		}
	})
}

// Owned lists the endpoints that this daemon owns.
func (owners *Owners) Owned() []dogwoodfleet.Endpoint {
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	return owners.owned
}

// Report passes on what an owned engine said of itself.
func (owners *Owners) Report(id dogwoodfleet.EndpointID, report dogwoodowner.LoadReport) {
	owners.mutex.Lock()
	if report.MemoryTokens > 0 {
		owners.told[id] = report
	}
	owners.mutex.Unlock()
	owners.options.Local.Report(id, report)
}

// engines lists the owned engines whose memory is known.
func (owners *Owners) engines() []dogwoodowner.GangEngine {
	var engines []dogwoodowner.GangEngine
	for _, endpoint := range owners.Owned() {
		owners.mutex.Lock()
		told := owners.told[endpoint.ID]
		owners.mutex.Unlock()
		if told.MemoryTokens > 0 && endpoint.Kind == dogwoodfleet.EnginePool {
			endpoint.MemoryTokens = told.MemoryTokens
			endpoint.Models, endpoint.Adapters = told.Models, told.Adapters
			engines = append(engines, owners.options.Local.Lendable(endpoint))
		}
	}
	return engines
}

// note keeps what an owner told of its work.
func (owners *Owners) note(summary dogwoodowner.Summary) {
	if summary.Owner == "" {
		return
	}
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	owners.summaries[summary.Owner] = &ownerState{summary: summary, at: time.Now(), asked: map[dogwoodfleet.Service]int{}}
}

func (owners *Owners) forget(instance dogwoodfleet.InstanceID) {
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	delete(owners.summaries, instance)
}

// inBackground runs what outlives its request, unless the daemon is at its end: then a
// grant that is not released lapses.
func (owners *Owners) inBackground(work func()) bool {
	owners.mutex.Lock()
	defer owners.mutex.Unlock()
	if owners.ended {
		return false
	}
	owners.group.Go(work)
	return true
}

// Wait returns when the calls under way in the background have ended. None begins after it.
func (owners *Owners) Wait() {
	owners.mutex.Lock()
	owners.ended = true
	owners.mutex.Unlock()
	owners.group.Wait()
}
