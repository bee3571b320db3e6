package dogwoodsuspects

import (
	"time"

	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
)

// updateParts updates which parts are refused. A leaf gets that from its hub, which knows what all daemons have seen. The caller
// holds the mutex.
func (duty *Duty) updateParts() {
	if isLeaf, _ := duty.options.Role(); isLeaf {
		duty.refusedParts = nil
		return
	}
	now := time.Now()
	refused := dogwoodsuspect.PartRefusals{}
	for _, refusal := range duty.parts.Refusals(now, duty.ledger) {
		refused[refusal.Part] = &refusal
		for _, endpoint := range refusal.Ends {
			duty.ledger.Forget(endpoint)
		}
	}
	changed := len(refused) != len(duty.refusedParts)
	for part, refusal := range refused {
		known := duty.refusedParts[part]
		if known != nil && known.Equal(refusal) {
			continue
		}
		changed = true
		if known == nil || known.IsTrial() && !refusal.IsTrial() {
			duty.logPartRefused(refusal, now)
		}
	}
	for part := range duty.refusedParts {
		if refused[part] == nil {
			duty.options.Logger.Info("Prompts with a part are not refused any more.", "part", part)
		}
	}
	duty.refusedParts = refused
	if changed {
		duty.refusedVersion++
	}
}

func (duty *Duty) logPartRefused(refusal *dogwoodsuspect.PartRefusal, now time.Time) {
	if refusal.IsTrial() {
		duty.options.Logger.Warn("Prompts with a part run one at a time, since endpoints ended under them.", "part", refusal.Part,
			"with", refusal.With, "customers", refusal.Customers)
		return
	}
	counters.Add("PartConvictions", 1)
	duty.options.Logger.Warn("Prompts with a part are refused, since endpoints ended under them.", "part", refusal.Part, "with", refusal.With,
		"customers", refusal.Customers, "for", refusal.Until.Sub(now), "endpoints", refusal.Ends)
}

// isPartRefused reports whether prompts with a part are refused or run as suspects, here or at the hub. The caller holds the mutex.
func (duty *Duty) isPartRefused(part dogwoodfleet.PromptPart) bool {
	return duty.refusedParts[part] != nil || duty.refused.hasPart(part)
}

// forget forgets the ends of endpoints that refused parts explain.
func (duty *Duty) forget(endpoints []dogwoodfleet.EndpointID) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	for _, endpoint := range endpoints {
		duty.ledger.Forget(endpoint)
	}
	duty.updateKnownConvictions()
}

// partStanding returns the standing of a request by the parts of its prompt, and the refusal that gives it.
func (duty *Duty) partStanding(subject *dogwoodsuspect.Subject) (*dogwoodsuspect.PartRefusal, dogwoodsuspect.Standing) {
	if len(subject.Parts) == 0 {
		return nil, dogwoodsuspect.Clear
	}
	now := time.Now()
	if refusal, standing := duty.refused.strictest(now, subject); refusal != nil {
		return refusal, standing
	}
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	return duty.refusedParts.Strictest(now, subject)
}

// RefusedParts returns the number of parts whose prompts are refused.
func (duty *Duty) RefusedParts() int {
	duty.mutex.Lock()
	own := len(duty.refusedParts)
	duty.mutex.Unlock()
	duty.refused.mutex.Lock()
	defer duty.refused.mutex.Unlock()
	return max(own, len(duty.refused.parts))
}

func (refusedList *refusedList) strictest(now time.Time, subject *dogwoodsuspect.Subject) (*dogwoodsuspect.PartRefusal, dogwoodsuspect.Standing) {
	refusedList.mutex.Lock()
	defer refusedList.mutex.Unlock()
	return refusedList.parts.Strictest(now, subject)
}

func (refusedList *refusedList) hasPart(part dogwoodfleet.PromptPart) bool {
	refusedList.mutex.Lock()
	defer refusedList.mutex.Unlock()
	return refusedList.parts[part] != nil
}
