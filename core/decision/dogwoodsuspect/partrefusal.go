package dogwoodsuspect

import (
	"maps"
	"slices"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// minPartEnds is the number of independent ends from which a part is refused if other answers began meanwhile. Where none
	// begins, one that does not shows little: from minLonePartEnds on the part is tried, and minTrialEnds ends of trials refuse it.
	minPartEnds     = 3
	minLonePartEnds = 4
	minTrialEnds    = 2
	// minOtherBegins is the number of answers to prompts without a part that must have begun since its first strike.
	minOtherBegins = 3
	// firstPartRefusal is how long a part is refused before its first trial, and ConvictionTTL after one that ended an endpoint. A part
	// that only trials speak against is refused as trialPause says.
	firstPartRefusal = 30 * time.Second
	// partMoment is the time between ends that count separately. Endpoints of one rack end within it.
	partMoment = 200 * time.Millisecond
	// minPartShare is the share of all ends between a part's first and last strike that it must explain, one in this many.
	minPartShare = 4
)

// PartRefusal is the decision that prompts with a part are not run.
type PartRefusal struct {
	Part dogwoodfleet.PromptPart
	// With are the parts that were in all prompts under which endpoints ended as well. Only prompts with all of them are
	// refused: one that lacks some tells which part it is.
	With []dogwoodfleet.PromptPart
	// Customers are those whose prompts are refused: the single one whose requests ended endpoints, or those with enough ends of their
	// own if the part was answered meanwhile. It is nil for all customers.
	Customers []dogwoodfleet.Customer
	// Cleared are the customers whose answers have begun since.
	Cleared []dogwoodfleet.Customer
	// Until is the end of the refusal. One request at a time may run from then until ProbationUntil.
	Until, ProbationUntil time.Time
	// Ends are the endpoints that ended, which says nothing of the other requests that they ran. It is nil while that is uncertain.
	Ends []dogwoodfleet.EndpointID
}

// Standing returns the standing that the refusal gives to a request.
func (partRefusal *PartRefusal) Standing(now time.Time, subject *Subject) Standing {
	lacks := func(part dogwoodfleet.PromptPart) bool { return !slices.Contains(subject.Parts, part) }
	hasAll := !lacks(partRefusal.Part) && !slices.ContainsFunc(partRefusal.With, lacks)
	switch {
	case partRefusal.IsOver(now) || !hasAll || slices.Contains(partRefusal.Cleared, subject.Customer):
		return Clear
	case !now.Before(partRefusal.Until):
		return Suspect
	case partRefusal.Customers == nil || slices.Contains(partRefusal.Customers, subject.Customer):
		return Convicted
	default:
		return Suspect // another customer may use the name for something else
	}
}

// IsTrial reports whether no prompt is refused: they run one at a time until that shows whether the part is the cause.
func (partRefusal *PartRefusal) IsTrial() bool { return partRefusal.Until.IsZero() }

// IsOver reports whether the refusal and the probation after it have ended.
func (partRefusal *PartRefusal) IsOver(now time.Time) bool {
	return !now.Before(partRefusal.Until) && !now.Before(partRefusal.ProbationUntil)
}

// Equal reports whether two refusals have the same effect.
func (partRefusal *PartRefusal) Equal(other *PartRefusal) bool {
	return partRefusal.Part == other.Part && partRefusal.Until.Equal(other.Until) && partRefusal.ProbationUntil.Equal(other.ProbationUntil) &&
		slices.Equal(partRefusal.With, other.With) && slices.Equal(partRefusal.Customers, other.Customers) &&
		slices.Equal(partRefusal.Cleared, other.Cleared) && slices.Equal(partRefusal.Ends, other.Ends)
}

// partCandidate is a part with the ends that no refused part explains.
type partCandidate struct {
	part   dogwoodfleet.PromptPart
	record *partRecord
	// strikes are those of the record that are not void.
	strikes []partStrike
	ends    map[dogwoodfleet.EndpointID]time.Time
	// independent is the number of ends under different requests at different moments.
	independent int
	// answered is true if an answer to a prompt with the part, of any customer, has begun since the first of its latest minPartEnds
	// independent ends.
	answered bool
	examined bool
}

// Refusals returns the parts whose prompts are not run.
//
// Of all parts the one that explains the most ends is refused first; its ends then count against no other part. So a part that
// harmless requests share with those that end endpoints is not refused beside the crashing one, and two crashing ones are found one
// after the other. A part that was answered between its latest ends comes after those that were not.
//
// A part whose ends all lie within those of a request that digests refuses already says nothing new: it is not refused, and its
// ends stay that request's. Otherwise a popular part that is beside the copies of a crashing request at each end would be taken
// for the cause, and the request would run again. What is not known for SettleTime after the last end is decided after it.
func (ledger *PartLedger) Refusals(now time.Time, digests *Ledger) []PartRefusal {
	var refusals []PartRefusal
	candidates, endTimes := ledger.candidates(now)
	for {
		best := strongest(candidates)
		if best == nil {
			return refusals
		}
		best.examined = true
		evidence := ledger.evidence(best)
		isShown := evidence != noEvidence
		if !best.explains(endTimes) || !isShown && best.independent < minLonePartEnds {
			continue
		}
		if digests.mayExplain(now, best.ends) {
			continue
		}
		group := inseparable(best, candidates)
		ends := slices.Sorted(maps.Keys(best.ends))
		for _, member := range group {
			member.examined = true
			// A member's refusal together with the others shows nothing of prompts that have the member alone.
			if ledger.evidence(member) == distinguished {
				ledger.markShown(member.record)
			}
			if refusal := member.refusal(group, ends, evidence); !refusal.IsOver(now) {
				refusals = append(refusals, refusal)
			}
		}
		if !isShown {
			continue // what is only tried explains nothing yet
		}
		for _, endpoint := range ends {
			delete(endTimes, endpoint)
		}
		for _, candidate := range candidates {
			if !candidate.examined {
				candidate.exclude(ends)
			}
		}
	}
}

// candidates returns the parts with enough strikes, and when the endpoints with strikes ended.
func (ledger *PartLedger) candidates(now time.Time) ([]*partCandidate, map[dogwoodfleet.EndpointID]time.Time) {
	var candidates []*partCandidate
	endTimes := map[dogwoodfleet.EndpointID]time.Time{}
	for part, record := range ledger.records {
		if now.After(record.expires) {
			continue
		}
		for i := range record.strikes {
			if strike := &record.strikes[i]; !strike.isVoid(now) {
				endTimes[strike.endpoint] = strike.at
			}
		}
		if len(record.strikes) < minPartEnds {
			continue
		}
		candidates = append(candidates, newPartCandidate(now, part, record))
	}
	return candidates, endTimes
}

func newPartCandidate(now time.Time, part dogwoodfleet.PromptPart, record *partRecord) *partCandidate {
	candidate := &partCandidate{part: part, record: record, strikes: record.strikes, ends: map[dogwoodfleet.EndpointID]time.Time{}}
	isVoid := func(strike partStrike) bool { return strike.isVoid(now) }
	if slices.ContainsFunc(record.strikes, isVoid) {
		candidate.strikes = slices.DeleteFunc(slices.Clone(record.strikes), isVoid)
	}
	for i := range candidate.strikes {
		candidate.ends[candidate.strikes[i].endpoint] = candidate.strikes[i].at
	}
	candidate.count()
	return candidate
}

// strongest returns the candidate with the most ends that can be refused, nil if there is none.
func strongest(candidates []*partCandidate) *partCandidate {
	var best *partCandidate
	for _, candidate := range candidates {
		if candidate.examined || candidate.independent < minPartEnds {
			continue
		}
		if best == nil || candidate.isBefore(best) {
			best = candidate
		}
	}
	return best
}

// isBefore orders candidates, at all daemons alike. A part that all prompts share is in the prompts of several crashing parts and
// requests, and so has more ends than each of them. Answers to prompts with it tell it from those.
func (candidate *partCandidate) isBefore(other *partCandidate) bool {
	if candidate.answered != other.answered {
		return other.answered
	}
	if candidate.independent != other.independent {
		return candidate.independent > other.independent
	}
	if len(candidate.ends) != len(other.ends) {
		return len(candidate.ends) > len(other.ends)
	}
	return candidate.part < other.part
}

// explains reports whether a candidate explains a good share of the ends between its first strike and its last.
func (candidate *partCandidate) explains(endTimes map[dogwoodfleet.EndpointID]time.Time) bool {
	strikes := candidate.strikes
	if len(strikes) == maxPartStrikes {
		strikes = strikes[:maxPartStrikes-1] // others were dropped before the last one
	}
	first, last := strikes[0].at, strikes[len(strikes)-1].at
	meanwhile := 0
	for _, at := range endTimes {
		if !at.Before(first) && !at.After(last) {
			meanwhile++
		}
	}
	return len(candidate.ends)*minPartShare >= meanwhile
}

// evidence says what shows that a candidate's ends are more than those of a pool in which no answer begins, whatever its part.
type evidence int

const (
	noEvidence evidence = iota
	// uncertainTrials is that endpoints did not answer during trials.
	uncertainTrials
	// endedTrials is that endpoints ended while nothing else with the part ran. A part that all prompts have gets no better evidence,
	// and its refusal rejects all of them.
	endedTrials
	// distinguished is that answers to prompts without the part began meanwhile, now or when it was refused before.
	distinguished
)

func (ledger *PartLedger) evidence(candidate *partCandidate) evidence {
	switch {
	case candidate.record.shown, ledger.begins[candidate.part.Pool()].haveOthersSince(candidate.strikes[0].at, candidate.part):
		return distinguished
	case candidate.trialEnds(true) >= minTrialEnds:
		return endedTrials
	case candidate.trialEnds(false) >= minTrialEnds:
		return uncertainTrials
	default:
		return noEvidence
	}
}

// trialEnds counts the endpoints that ended during trials and that no refused part explains, or only those whose end is certain. If
// an endpoint also ran a prompt with the part that was no trial, sent before the part was tried, that one may have ended it.
func (candidate *partCandidate) trialEnds(certain bool) int {
	ends := map[dogwoodfleet.EndpointID]bool{}
	for i := range candidate.strikes {
		strike := &candidate.strikes[i]
		if _, ok := candidate.ends[strike.endpoint]; ok && strike.trial && (strike.confirmed || !certain) {
			ends[strike.endpoint] = true
		}
	}
	for i := range candidate.strikes {
		if strike := &candidate.strikes[i]; !strike.trial {
			delete(ends, strike.endpoint)
		}
	}
	return len(ends)
}

// inseparable returns the candidates with the same ends as one of them, that one included.
func inseparable(best *partCandidate, candidates []*partCandidate) []*partCandidate {
	var group []*partCandidate
	for _, candidate := range candidates {
		isSame := len(candidate.ends) == len(best.ends)
		for endpoint := range candidate.ends {
			_, shared := best.ends[endpoint]
			isSame = isSame && shared
		}
		if candidate == best || isSame && !candidate.examined {
			group = append(group, candidate)
		}
	}
	return group
}

// exclude removes ends that another part explains.
func (candidate *partCandidate) exclude(ends []dogwoodfleet.EndpointID) {
	for _, endpoint := range ends {
		delete(candidate.ends, endpoint)
	}
	candidate.count()
}

// count counts the independent ends and determines whether the part was answered between the latest ones. If it was, not to all
// customers it ends endpoints, so those of different customers show nothing together: the customer with the most of them counts.
func (candidate *partCandidate) count() {
	ends := candidate.independentEnds(anyCustomer)
	candidate.independent, candidate.answered = len(ends), false
	if len(ends) < minPartEnds {
		return
	}
	since := ends[len(ends)-minPartEnds]
	for _, begun := range candidate.record.cleared {
		candidate.answered = candidate.answered || begun.After(since)
	}
	if !candidate.answered {
		return
	}
	candidate.independent = 0
	for _, customer := range candidate.customers() {
		candidate.independent = max(candidate.independent, len(candidate.independentEnds(of(customer))))
	}
}

// customers returns the customers whose requests ended endpoints.
func (candidate *partCandidate) customers() []dogwoodfleet.Customer {
	customers := map[dogwoodfleet.Customer]bool{}
	for i := range candidate.strikes {
		customers[candidate.strikes[i].customer] = true
	}
	return slices.Sorted(maps.Keys(customers))
}

// blamed returns the customers whose prompts a refusal rejects, nil for all.
func (candidate *partCandidate) blamed() []dogwoodfleet.Customer {
	customers := candidate.customers()
	if candidate.answered {
		return slices.DeleteFunc(customers, func(customer dogwoodfleet.Customer) bool {
			return len(candidate.independentEnds(of(customer))) < minPartEnds
		})
	}
	if len(customers) > 1 {
		return nil
	}
	return customers
}

// anyCustomer and of select the strikes of all customers and of one.
func anyCustomer(dogwoodfleet.Customer) bool { return true }

func of(customer dogwoodfleet.Customer) func(dogwoodfleet.Customer) bool {
	return func(other dogwoodfleet.Customer) bool { return other == customer }
}

// independentEnds returns the times of the ends under different requests of the selected customers at different moments: neither the
// copies and retries of one request nor the endpoints of one rack count twice.
func (candidate *partCandidate) independentEnds(isSelected func(dogwoodfleet.Customer) bool) []time.Time {
	var ends []time.Time
	counted := map[dogwoodfleet.Digest]bool{}
	for i := range candidate.strikes {
		strike := &candidate.strikes[i]
		if _, ok := candidate.ends[strike.endpoint]; !ok || counted[strike.digest] || !isSelected(strike.customer) {
			continue
		}
		if len(ends) > 0 && strike.at.Sub(ends[len(ends)-1]) < partMoment {
			continue
		}
		counted[strike.digest] = true
		ends = append(ends, strike.at)
	}
	return ends
}

// refusal returns the refusal of a candidate that ended endpoints, always together with the others of its group. Without evidence
// its prompts only run one at a time.
func (candidate *partCandidate) refusal(group []*partCandidate, ends []dogwoodfleet.EndpointID, evidence evidence) PartRefusal {
	refusal := PartRefusal{Part: candidate.part}
	for _, member := range group {
		if member != candidate {
			refusal.With = append(refusal.With, member.part)
		}
	}
	slices.Sort(refusal.With)
	confirmed := map[dogwoodfleet.EndpointID]bool{}
	for i := range candidate.strikes {
		if strike := &candidate.strikes[i]; strike.confirmed {
			confirmed[strike.endpoint] = true
		}
	}
	refusal.Customers = candidate.blamed()
	struck := candidate.customers()
	for customer := range candidate.record.cleared {
		if !slices.Contains(struck, customer) {
			refusal.Cleared = append(refusal.Cleared, customer)
		}
	}
	slices.Sort(refusal.Cleared)
	last := candidate.strikes[len(candidate.strikes)-1].at
	trialEnds := candidate.trialEnds(true)
	switch {
	case evidence == noEvidence:
		refusal.ProbationUntil = last.Add(ConvictionTTL)
		return refusal
	case evidence == uncertainTrials:
		refusal.Until = last.Add(ProvisionalTTL)
		return refusal
	case len(confirmed) < minSharedEndpoints:
		refusal.Until = last.Add(ProvisionalTTL)
	case evidence == endedTrials:
		refusal.Until, refusal.ProbationUntil = last.Add(trialPause(trialEnds)), candidate.record.expires
	case trialEnds == 0:
		refusal.Until, refusal.ProbationUntil = last.Add(firstPartRefusal), candidate.record.expires
	default:
		refusal.Until, refusal.ProbationUntil = last.Add(ConvictionTTL), candidate.record.expires
	}
	refusal.Ends = ends
	return refusal
}

// trialPause returns how long a part that only trials speak against is refused after the last of them. An answer to a trial is the
// only thing that can speak for it, so the first pauses are short.
func trialPause(trialEnds int) time.Duration {
	pause := ProvisionalTTL
	for range trialEnds - minTrialEnds {
		pause = min(2*pause, ConvictionTTL)
	}
	return pause
}
