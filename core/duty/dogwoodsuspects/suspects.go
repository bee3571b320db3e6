// Package dogwoodsuspects keeps requests that crash endpoints from running again, for daemons that place requests
// without owners. Each daemon has a ledger of dogwoodsuspect. It sends what it observes to all hubs before the
// caller learns of the failure, and asks the digest's home, one of the hubs, before it runs a suspect.
//
// A hub that starts, continues after a freeze or missed a notice compares its ledger with another hub's. A leaf gets no
// notices: the answers to its polls have the version of its hub's list of refused requests, which it fetches when that
// changes. Requests wait for a moment at a daemon that has not done so for long.
package dogwoodsuspects

import (
	"expvar"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodfreshness"
	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// Name is the name under which the receiver is registered with the peers' server.
	Name = "Suspects"
	// permitTimeout bounds one request for a permit.
	permitTimeout = 300 * time.Millisecond
	// trialLease is how long a trial keeps other runs of its digest from starting. Requests that crash endpoints
	// do so soon after they begin; copies of a harmless one must not wait until a long answer ends.
	trialLease = 2 * time.Second
	// maxSuspectWait is how long a suspect waits for a permit before it is refused.
	maxSuspectWait = 2 * time.Second
	// maxUnresolved bounds the runs that broke off at endpoints of unknown condition.
	maxUnresolved = 256
	// maxSettling bounds the updates of refusals that are due.
	maxSettling = 64
	// waitRetryAfter is sent to the caller of a suspect that got no permit.
	waitRetryAfter = time.Second
)

// counters are published under "Suspects": Strikes, Convictions, Refused, Waited, Trials, Cleared, NoticesLost, RunsDropped,
// AwaitedKnowledge.
var counters = expvar.NewMap("Suspects")

// Options configure a Duty.
type Options struct {
	Self   dogwoodfleet.InstanceID
	Caller Caller
	// Hubs lists the live hubs, this daemon included if it is one.
	Hubs func() []Peer
	// Listed lists the other hubs of the fleet's list, live or not. Their instances may be unknown.
	Listed func() []Peer
	// Role reports whether this daemon is a leaf, or has no role yet. The channel is closed when that may have changed.
	Role func() (isLeaf bool, changed <-chan struct{})
	// Clock includes the time that the machine is suspended.
	Clock  dogwoodfreshness.Clock
	Logger hclog.Logger
}

// Duty is one daemon's part. It is safe for concurrent use.
type Duty struct {
	options  Options
	exchange Exchange
	// background holds the goroutines that notify the hubs and return permits.
	background errgroup.Group
	refused    refusedList
	knowledge  *knowledge
	// settling receives the times at which all runs of endpoints are reported whose ends are strikes of parts of prompts: which
	// parts are refused may change then without a notice.
	settling chan time.Time
	// compared is true on a hub that has asked the others for their ledgers since it became one.
	compared atomic.Bool

	mutex sync.Mutex
	// known holds the version of each hub's ledger at the last comparison.
	known  map[dogwoodfleet.InstanceID]uint64
	ledger *dogwoodsuspect.Ledger
	parts  *dogwoodsuspect.PartLedger
	// inForce holds the listed endpoints, each by the ID of its lifetime, and whether it is in force; nil before they
	// are known.
	inForce map[dogwoodfleet.EndpointID]bool
	// unresolved are the runs that broke off at endpoints of unknown condition. resolved receives those whose endpoints
	// turn out to have ended.
	unresolved []unresolvedRun
	resolved   chan unresolvedRun
	// convicted holds the digests that were convicted when their standing was last checked, and until when. refusedVersion
	// increases whenever they change.
	convicted      map[dogwoodfleet.Digest]time.Time
	refusedVersion uint64
	// refusedParts holds the refusals of parts at the last check.
	refusedParts dogwoodsuspect.PartRefusals
}

// New returns a Duty with an empty ledger.
func New(options Options) *Duty {
	duty := &Duty{
		options: options, ledger: dogwoodsuspect.NewLedger(), parts: dogwoodsuspect.NewPartLedger(),
		convicted: map[dogwoodfleet.Digest]time.Time{}, known: map[dogwoodfleet.InstanceID]uint64{},
		refused: refusedList{fetch: make(chan struct{}, 1), ended: make(chan struct{}, 1)}, resolved: make(chan unresolvedRun, maxUnresolved),
		settling:  make(chan time.Time, maxSettling),
		knowledge: newKnowledge(options.Clock, options.Logger),
	}
	duty.exchange = Exchange{
		Receiver: Name, Self: options.Self, Caller: options.Caller, Peers: options.Hubs, Judge: duty.judge, Lost: duty.noticeLost,
	}
	return duty
}

// noticeLost records a notice that did not arrive. The hub gets it when it compares its ledger with another one.
func (duty *Duty) noticeLost(hub dogwoodfleet.InstanceID, err error) {
	counters.Add("NoticesLost", 1)
	duty.options.Logger.Debug("A hub did not get notices of suspects.", "peer", hub, "error", err)
}

// updateStandings updates what depends on notices: the standings of their digests, and those of digests that are convicted,
// since the end of one endpoint may explain that of another. The caller holds the mutex.
func (duty *Duty) updateStandings(notices []dogwoodsuspect.Notice) {
	if len(notices) == 0 {
		return
	}
	duty.confirm()
	duty.updateParts()
	for i := range notices {
		duty.updateConviction(notices[i].Digest)
	}
	duty.updateKnownConvictions()
	if slices.ContainsFunc(notices, func(notice dogwoodsuspect.Notice) bool { return notice.Kind == dogwoodsuspect.PartStrike }) {
		select {
		case duty.settling <- time.Now().Add(dogwoodsuspect.SettleTime):
		default: // the next comparison updates the refusals
		}
	}
}

// updateConviction updates whether a digest is convicted, and until when. The caller holds the mutex.
func (duty *Duty) updateConviction(digest dogwoodfleet.Digest) {
	now := time.Now()
	standing, until := duty.ledger.Standing(now, digest)
	known, wasConvicted := duty.convicted[digest]
	switch isConvicted := standing == dogwoodsuspect.Convicted; {
	case !isConvicted && !wasConvicted, isConvicted && wasConvicted && until.Equal(known):
		return
	case !isConvicted:
		delete(duty.convicted, digest)
		duty.options.Logger.Info("Requests with a digest are not refused any more.", "digest", digest.String(), "early", now.Before(known))
	default:
		duty.convicted[digest] = until
	}
	duty.refusedVersion++
	if standing == dogwoodsuspect.Convicted && !wasConvicted {
		counters.Add("Convictions", 1)
		duty.options.Logger.Warn("Requests with a digest are refused, since endpoints ended under them.",
			"digest", digest.String(), "for", until.Sub(now))
	}
}

// updateConvictions updates all convictions: they expire, and last longer once the ends of their endpoints are confirmed.
func (duty *Duty) updateConvictions() {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.updateParts()
	duty.updateKnownConvictions()
}

// updateKnownConvictions is updateConvictions for a caller that holds the mutex.
func (duty *Duty) updateKnownConvictions() {
	for _, digest := range slices.Collect(maps.Keys(duty.convicted)) {
		duty.updateConviction(digest)
	}
}

// Convictions returns the digests whose requests are refused now.
func (duty *Duty) Convictions() []dogwoodsuspect.ConvictedDigest {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	return duty.ledger.Convictions(time.Now())
}

// digestStanding returns the digest's standing and its end. At a leaf, a digest that its hub refuses is convicted, also once the
// leaf is promoted, until it has compared its ledger.
func (duty *Duty) digestStanding(digest dogwoodfleet.Digest) (dogwoodsuspect.Standing, time.Time) {
	if until := duty.refused.until(digest); time.Now().Before(until) {
		return dogwoodsuspect.Convicted, until
	}
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	return duty.ledger.Standing(time.Now(), digest)
}

func (duty *Duty) learn(notices []dogwoodsuspect.Notice) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.ledger.Learn(time.Now(), notices)
	duty.parts.Learn(time.Now(), notices)
	duty.updateStandings(notices)
}

// unsettled returns how much longer it may turn out that a digest's trial ended with a rack.
func (duty *Duty) unsettled(digest dogwoodfleet.Digest) time.Duration {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	return duty.ledger.Unsettled(time.Now(), digest)
}

func (duty *Duty) judge(request dogwoodsuspect.PermitRequest) dogwoodsuspect.PermitResponse {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	if len(request.Parts) > 0 {
		// A leaf that asks may not know yet how the last trial of the part ended.
		subject := &dogwoodsuspect.Subject{Customer: request.Customer, Parts: request.Parts}
		if _, standing := duty.refusedParts.Strictest(time.Now(), subject); standing != dogwoodsuspect.Suspect {
			return dogwoodsuspect.PermitResponse{Allowed: standing == dogwoodsuspect.Clear, Standing: standing}
		}
	}
	return duty.ledger.Judge(time.Now(), request)
}

// otherHubs returns the live hubs other than this daemon.
func (duty *Duty) otherHubs() []Peer {
	return slices.DeleteFunc(slices.Clone(duty.options.Hubs()), func(hub Peer) bool { return hub.Instance == duty.options.Self })
}
