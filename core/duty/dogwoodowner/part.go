package dogwoodowner

import (
	"context"
	"expvar"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"dogwoodmux.example/core/decision/dogwoodadmission"
	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

const (
	// BeginTime is how long an endpoint must run on after the first token before its answer counts as begun: an endpoint that
	// crashes as it begins an answer may still send that token.
	BeginTime = 100 * time.Millisecond
	// partUpdateInterval bounds how often answers that begin update the refusals of parts.
	partUpdateInterval = 50 * time.Millisecond
	// maxPartHold and partHoldDivisor bound how long a suspect is held back while a part of its prompt is near a refusal. In an
	// incident the next end comes within a second or two.
	maxPartHold          = 2 * time.Second
	partHoldDivisor      = 4
	partHoldPollInterval = 50 * time.Millisecond
	// maxAnnouncePause bounds the random pause before an owner tells the others that it refuses a part. Many owners refuse a part at
	// the same moment; with calls of some milliseconds, a few in a hundred of them tell the others before they have been told.
	maxAnnouncePause = 200 * time.Millisecond
	maxAnnouncements = 64
)

// counters are published under "Parts": Ends, Convictions, Refused, Trials, Held.
var counters = expvar.NewMap("Parts")

// newSubject returns what is known of a request whose run may end its endpoint. Each of the prompt's blocks is a part, which
// stands for the text up to its end. A part's name begins with the block's position, so that of several parts of one prompt the
// longest is the greatest name.
func newSubject(request *dogwoodfleet.Request) *dogwoodsuspect.Subject {
	subject := &dogwoodsuspect.Subject{Request: request.ID, Digest: request.Digest, Customer: request.Customer}
	blocks := request.Blocks[:min(len(request.Blocks), dogwoodfleet.MaxPromptParts)]
	if len(blocks) == 0 || request.Digest == (dogwoodfleet.Digest{}) {
		return subject
	}
	name := []byte(dogwoodfleet.NewPromptPart(request.Service, string(request.Model), ""))
	pool := len(name)
	subject.Parts = make([]dogwoodfleet.PromptPart, len(blocks))
	for i, block := range blocks {
		name = append(name[:pool], byte('0'+i/10), byte('0'+i%10), '.')
		subject.Parts[i] = dogwoodfleet.PromptPart(strconv.AppendUint(name, block, 16))
	}
	return subject
}

// judgePartsLocked records what a release shows about the parts of the request's prompt, and returns the notices of the
// endpoint's end.
func (owner *Owner) judgePartsLocked(now time.Time, grant *grant, release Release) []dogwoodsuspect.Notice {
	subject := newSubject(&grant.request)
	if len(subject.Parts) == 0 {
		return nil
	}
	sinceFirst := release.Took - release.FirstToken
	hasBegun := release.Result == dogwoodfleet.ResultDone || release.FirstToken > 0 && sinceFirst >= BeginTime
	switch {
	case hasBegun && !grant.begun:
		owner.beganLocked(now, now.Add(-sinceFirst), subject)
	case release.Result == dogwoodfleet.ResultDied && !grant.begun:
		return owner.strikePartsLocked(now, grant, subject)
	}
	return nil
}

// beganLocked records that an answer began at a time. The other owners are notified unless they know of an answer that shows the
// same, since a popular part has many. They are also notified while a part is undecided that the prompt lacks: each owner may see
// too few answers to tell alone.
func (owner *Owner) beganLocked(now, begun time.Time, subject *dogwoodsuspect.Subject) {
	known := owner.parts.KnownAnswered(subject)
	isRefused := func(part dogwoodfleet.PromptPart) bool { return owner.refusedParts[part] != nil }
	notices := owner.parts.Began(now, begun, subject, isRefused)
	for i := range notices {
		notices[i].Parts = slices.DeleteFunc(notices[i].Parts, func(part dogwoodfleet.PromptPart) bool { return slices.Contains(known, part) })
	}
	notices = slices.DeleteFunc(notices, func(notice dogwoodsuspect.Notice) bool { return len(notice.Parts) == 0 })
	lacks := func(part dogwoodfleet.PromptPart) bool {
		return part.Pool() == subject.Parts[0].Pool() && !slices.Contains(subject.Parts, part)
	}
	if slices.ContainsFunc(owner.undecided, lacks) {
		notices = append(notices, dogwoodsuspect.Notice{
			Kind: dogwoodsuspect.Begun, Request: subject.Request, Customer: subject.Customer, Parts: subject.Parts, Age: now.Sub(begun), Whole: true,
		})
	}
	if len(notices) > 0 {
		owner.announceLocked(partAnnouncement{begun: notices})
	}
	if len(notices) > 0 || now.Sub(owner.partsUpdated) >= partUpdateInterval {
		owner.updatePartsLocked(now)
	}
}

// strikePartsLocked records that an endpoint ended before it had begun its answer, and returns the notices for the other owners.
// If that refuses a part here, they are told at once.
func (owner *Owner) strikePartsLocked(now time.Time, grant *grant, subject *dogwoodsuspect.Subject) []dogwoodsuspect.Notice {
	counters.Add("Ends", 1)
	end := owner.endIDLocked(now, grant)
	notices := mergeBegins(owner.parts.RecentBegins(now, subject))
	notices = append(notices, subject.PartStrikeNotice(end, 0, true, grant.isPartTrial()))
	owner.parts.Learn(now, notices)
	owner.options.Logger.Info("An endpoint ended under a request.", "digest", subject.Digest.String(), "request", subject.Request,
		"endpoint", end, "trial", grant.Alone, "begun", false, "parts", len(subject.Parts))
	refused := owner.updatePartsLocked(now)
	return append(notices, owner.refusalNoticesLocked(now, refused)...)
}

// refusalNoticesLocked returns the notices that some parts are refused here, without those that the other owners have been told of.
func (owner *Owner) refusalNoticesLocked(now time.Time, refused []dogwoodfleet.PromptPart) []dogwoodsuspect.Notice {
	refused = slices.DeleteFunc(slices.Clone(refused), func(part dogwoodfleet.PromptPart) bool {
		return owner.announced[part] || owner.refusedParts[part] == nil
	})
	if len(refused) == 0 {
		return nil
	}
	notices := slices.DeleteFunc(owner.parts.Notices(now), func(notice dogwoodsuspect.Notice) bool {
		return !notice.Refused || !slices.ContainsFunc(notice.Parts, func(part dogwoodfleet.PromptPart) bool { return slices.Contains(refused, part) })
	})
	owner.recordAnnouncedLocked(notices)
	return notices
}

// recordAnnouncedLocked records of which refused parts all owners are told.
func (owner *Owner) recordAnnouncedLocked(notices []dogwoodsuspect.Notice) {
	for i := range notices {
		if notices[i].Refused {
			for _, part := range notices[i].Parts {
				owner.announced[part] = true
			}
		}
	}
}

// partAnnouncement is what the other owners are notified of while nobody waits: answers that began, or parts that this owner
// refuses now.
type partAnnouncement struct {
	begun   []dogwoodsuspect.Notice
	refused []dogwoodfleet.PromptPart
}

func (owner *Owner) announceLocked(announcement partAnnouncement) {
	select {
	case owner.announcements <- announcement:
	default:
	}
}

// RunAnnouncements notifies the other owners of answers that began and of refused parts, until the context ends. A refusal is
// announced after a pause, unless another owner has announced it meanwhile: an owner at which few answers begin can't tell by
// itself that a part is the cause.
func (owner *Owner) RunAnnouncements(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case announcement := <-owner.announcements:
			for range len(owner.announcements) {
				next := <-owner.announcements
				announcement.begun = append(announcement.begun, next.begun...)
				announcement.refused = append(announcement.refused, next.refused...)
			}
			if len(announcement.begun) > 0 {
				owner.notifyPeers(ctx, peerUpdate{notices: announcement.begun})
			}
			if len(announcement.refused) > 0 {
				owner.announceRefusals(ctx, announcement.refused)
			}
		}
	}
}

func (owner *Owner) announceRefusals(ctx context.Context, refused []dogwoodfleet.PromptPart) {
	if !dogwoodkernel.Sleep(ctx, rand.N(maxAnnouncePause)) {
		return
	}
	owner.mutex.Lock()
	notices := owner.refusalNoticesLocked(time.Now(), refused)
	owner.mutex.Unlock()
	if len(notices) > 0 {
		owner.notifyPeers(ctx, peerUpdate{notices: notices})
	}
}

// mergeBegins merges the notices of one answer, which differ in the part only.
func mergeBegins(notices []dogwoodsuspect.Notice) []dogwoodsuspect.Notice {
	var merged []dogwoodsuspect.Notice
	for _, notice := range notices {
		if last := len(merged) - 1; last >= 0 && merged[last].Age == notice.Age {
			merged[last].Parts = append(merged[last].Parts, notice.Parts...)
			continue
		}
		merged = append(merged, notice)
	}
	return merged
}

// endIDLocked names the end of an endpoint under a grant. All runs that were granted before the first of them broke off are of the
// same end. An endpoint keeps its ID when it restarts, and its instance may not be known.
func (owner *Owner) endIDLocked(now time.Time, grant *grant) dogwoodfleet.EndpointID {
	state := grant.endpoint
	if state.endID == "" || grant.grantedAt.After(state.endedAt) {
		owner.lastEndNumber++
		state.endID = dogwoodfleet.EndpointID(fmt.Sprintf("%s@%s/%d", state.description.ID, owner.options.Self, owner.lastEndNumber))
		state.endedAt = now
	}
	return state.endID
}

// updatePartsLocked updates which parts are refused, and returns those that were not before. Of parts that are refused only
// together the longest is kept, for prompts that have all of them: in one prompt's chain that has the others too. Prompts of two
// chains with the same ends run until an end tells which chain it is.
func (owner *Owner) updatePartsLocked(now time.Time) []dogwoodfleet.PromptPart {
	owner.partsUpdated = now
	if !owner.parts.HasStrikes() && len(owner.refusedParts) == 0 {
		owner.undecided = nil
		return nil
	}
	owner.undecided = owner.parts.Undecided(now)
	refused := dogwoodsuspect.PartRefusals{}
	var added []dogwoodfleet.PromptPart
	for _, refusal := range owner.parts.Refusals(now, owner.suspects) {
		if slices.ContainsFunc(refusal.With, func(other dogwoodfleet.PromptPart) bool { return other > refusal.Part }) {
			continue
		}
		refused[refusal.Part] = &refusal
		known := owner.refusedParts[refusal.Part]
		if known == nil {
			added = append(added, refusal.Part)
		}
		if known == nil || known.IsTrial() && !refusal.IsTrial() {
			owner.logPartRefusedLocked(&refusal, now)
		}
	}
	for part := range owner.refusedParts {
		if refused[part] == nil {
			owner.options.Logger.Info("Prompts with a part are not refused any more.", "part", part)
		}
	}
	owner.setRefusedPartsLocked(now, refused)
	maps.DeleteFunc(owner.announced, func(part dogwoodfleet.PromptPart, _ bool) bool { return refused[part] == nil })
	if len(added) > 0 {
		owner.announceLocked(partAnnouncement{refused: added})
	}
	return added
}

func (owner *Owner) logPartRefusedLocked(refusal *dogwoodsuspect.PartRefusal, now time.Time) {
	if refusal.IsTrial() {
		owner.options.Logger.Warn("Prompts with a part run one at a time, since endpoints ended under them.", "part", refusal.Part,
			"customers", refusal.Customers)
		return
	}
	counters.Add("Convictions", 1)
	owner.options.Logger.Warn("Prompts with a part are refused, since endpoints ended under them.", "part", refusal.Part,
		"customers", refusal.Customers, "for", refusal.Until.Sub(now), "endpoints", refusal.Ends)
}

// partStandingLocked returns the standing of a waiter's request by the parts of its prompt, and the refusal that gives it.
func (owner *Owner) partStandingLocked(now time.Time, waiter *waiter) (*dogwoodsuspect.PartRefusal, dogwoodsuspect.Standing) {
	if len(owner.refusedParts) == 0 {
		return nil, dogwoodsuspect.Clear
	}
	return owner.refusedParts.Strictest(now, waiter.promptSubject())
}

// partRefusalLocked returns why the waiter may not run as it waits now, nil if it may: a part of its prompt is refused, or on
// probation and the waiter has no permit to try it.
func (owner *Owner) partRefusalLocked(now time.Time, waiter *waiter) *Refusal {
	refusal, standing := owner.partStandingLocked(now, waiter)
	switch {
	case standing == dogwoodsuspect.Convicted:
		counters.Add("Refused", 1)
		return refusalPart(now, refusal)
	case standing == dogwoodsuspect.Suspect && !slices.Contains(waiter.permits, dogwoodsuspect.PartGate(refusal.Part)):
		return acquireAgain
	default:
		return nil
	}
}

func refusalPart(now time.Time, refusal *dogwoodsuspect.PartRefusal) *Refusal {
	return &Refusal{
		Reason: dogwoodfleet.ReasonSuspect, NotRun: true, RetryAfter: max(refusal.Until.Sub(now), dogwoodadmission.MinRetryAfter),
		Detail: "endpoints died running prompts that begin as it does",
	}
}

// awaitPartDecision holds a suspect back while one more end would refuse a part of its prompt. Its run alone would be no such
// end, since an earlier run of the request counts already, but would cost an endpoint.
func (owner *Owner) awaitPartDecision(ctx context.Context, waiter *waiter) {
	request := &waiter.acquireRequest.Request
	subject := waiter.promptSubject()
	if len(subject.Parts) == 0 {
		return
	}
	giveUp := request.Arrived.Add(min(maxPartHold, waiter.acquireRequest.Budget/partHoldDivisor))
	for first := true; time.Now().Before(giveUp) && owner.isNearRefusal(subject); first = false {
		if first {
			counters.Add("Held", 1)
		}
		if !dogwoodkernel.Sleep(ctx, partHoldPollInterval) {
			return
		}
	}
}

// isNearRefusal reports whether a part of a prompt is near a refusal and none is refused.
func (owner *Owner) isNearRefusal(subject *dogwoodsuspect.Subject) bool {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	_, standing := owner.refusedParts.Strictest(now, subject)
	return standing == dogwoodsuspect.Clear && owner.parts.IsNearRefusal(now, subject)
}

// Begin is the beginning of an answer whose request still runs.
type Begin struct {
	Grant GrantID
	// Age is the time since the first token.
	Age time.Duration
}

// Began records that answers have begun, long before their grants are released.
func (owner *Owner) Began(holder dogwoodfleet.InstanceID, begins []Begin) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	for _, begin := range begins {
		grant := owner.grants[begin.Grant]
		if grant == nil || grant.begun || grant.holder != holder || owner.baseline() {
			continue
		}
		grant.begun = true
		if subject := newSubject(&grant.request); len(subject.Parts) > 0 {
			owner.beganLocked(now, now.Add(-begin.Age), subject)
		}
	}
	owner.grantEvictedLocked(now)
}
