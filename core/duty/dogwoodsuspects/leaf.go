package dogwoodsuspects

import (
	"context"
	"sync"
	"time"

	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

// fetchRetryInterval is the pause before a leaf tries again to fetch its hub's list.
const fetchRetryInterval = 200 * time.Millisecond

// refusedList is a leaf's copy of its hub's list of refused requests.
type refusedList struct {
	fetch chan struct{}
	// ended receives a value when an endpoint has ended under a request of this daemon and the hubs know of it: they may refuse
	// a part of its prompt since.
	ended chan struct{}

	mutex sync.Mutex
	// hub is the hub that the leaf follows, and seen the latest version of its list.
	hub  Peer
	seen uint64
	// from and version identify the copy.
	from    dogwoodfleet.InstanceID
	version uint64
	ends    map[dogwoodfleet.Digest]time.Time
	parts   dogwoodsuspect.PartRefusals
}

// until returns the end of a digest's refusal; zero if it is not refused.
func (refusedList *refusedList) until(digest dogwoodfleet.Digest) time.Time {
	refusedList.mutex.Lock()
	defer refusedList.mutex.Unlock()
	return refusedList.ends[digest]
}

// outdated returns the hub whose list must be fetched, and false if the copy is up to date.
func (refusedList *refusedList) outdated() (Peer, bool) {
	refusedList.mutex.Lock()
	defer refusedList.mutex.Unlock()
	return refusedList.hub, refusedList.from != refusedList.hub.Instance || refusedList.version != refusedList.seen
}

// clear drops the copy.
func (refusedList *refusedList) clear() {
	refusedList.mutex.Lock()
	defer refusedList.mutex.Unlock()
	refusedList.from, refusedList.version, refusedList.ends, refusedList.parts = "", 0, nil, nil
}

// SeeRefused records the version of the list of the hub that this leaf follows, from the answer to a poll that was sent at asked.
func (duty *Duty) SeeRefused(hub Peer, version uint64, asked time.Duration) {
	duty.refused.mutex.Lock()
	duty.refused.hub, duty.refused.seen = hub, version
	duty.refused.mutex.Unlock()
	if _, outdated := duty.refused.outdated(); !outdated {
		duty.knowledge.confirm(asked)
		return
	}
	select {
	case duty.refused.fetch <- struct{}{}:
	default: // a fetch is due already
	}
}

// RefusedVersion returns the version of this daemon's list of refused requests.
func (duty *Duty) RefusedVersion() uint64 {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	return duty.refusedVersion
}

// runFetches fetches the hub's list whenever its version changes.
func (duty *Duty) runFetches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-duty.refused.fetch:
		case <-duty.refused.ended:
			duty.fetchAfterEnd(ctx)
		}
		for hub, outdated := duty.refused.outdated(); outdated; hub, outdated = duty.refused.outdated() {
			if !duty.fetchRefused(ctx, hub) && !dogwoodkernel.Sleep(ctx, fetchRetryInterval) {
				return nil
			}
		}
	}
}

// fetchAfterEnd fetches the hub's list at a leaf. Its next poll may come after many more ends.
func (duty *Duty) fetchAfterEnd(ctx context.Context) {
	isLeaf, _ := duty.options.Role()
	if hub, _ := duty.refused.outdated(); isLeaf && hub.Address.IsValid() {
		duty.fetchRefused(ctx, hub)
	}
}

func (duty *Duty) fetchRefused(ctx context.Context, hub Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	asked := duty.knowledge.tracker.Now()
	var refused RefusedList
	if err := duty.options.Caller.Call(ctx, hub.Address, Name+".Refused", duty.options.Self, &refused); err != nil {
		duty.options.Logger.Debug("The hub's list of refused requests could not be fetched.", "peer", hub.Instance, "error", err)
		return false
	}
	now, ends := time.Now(), make(map[dogwoodfleet.Digest]time.Time, len(refused.Requests))
	for _, request := range refused.Requests {
		ends[request.Digest] = now.Add(request.Left)
	}
	parts := make(dogwoodsuspect.PartRefusals, len(refused.Parts))
	for _, part := range refused.Parts {
		part.Refusal.Until, part.Refusal.ProbationUntil = now.Add(part.Left), now.Add(part.ProbationLeft)
		parts[part.Refusal.Part] = &part.Refusal
		duty.forget(part.Refusal.Ends)
	}
	list := &duty.refused
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.from, list.version, list.ends, list.parts = hub.Instance, refused.Version, ends, parts
	if list.hub.Instance == hub.Instance {
		list.seen = max(list.seen, refused.Version)
		duty.knowledge.confirm(asked)
	}
	return true
}

// RefusedList lists the requests that a hub refuses.
type RefusedList struct {
	Version  uint64
	Requests []RefusedRequest
	Parts    []RefusedPart
}

// RefusedRequest is a digest whose requests are refused, and for how much longer.
type RefusedRequest struct {
	Digest dogwoodfleet.Digest
	Left   time.Duration
}

// RefusedPart is a part whose prompts are refused, and for how much longer. The refusal's own times are those of the hub's clock.
type RefusedPart struct {
	Refusal             dogwoodsuspect.PartRefusal
	Left, ProbationLeft time.Duration
}

// Refused returns the list of refused requests to a leaf.
func (receiver *Receiver) Refused(_ dogwoodfleet.InstanceID, list *RefusedList) error {
	duty := receiver.duty
	if !duty.compared.Load() {
		return Error.New("this daemon does not know yet what the hubs refuse")
	}
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	now := time.Now()
	list.Version = duty.refusedVersion
	for _, conviction := range duty.ledger.Convictions(now) {
		list.Requests = append(list.Requests, RefusedRequest{Digest: conviction.Digest, Left: conviction.Until.Sub(now)})
	}
	for _, refusal := range duty.refusedParts {
		list.Parts = append(list.Parts, RefusedPart{
			Refusal: *refusal, Left: refusal.Until.Sub(now), ProbationLeft: refusal.ProbationUntil.Sub(now),
		})
	}
	return nil
}
