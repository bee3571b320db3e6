package dogwoodsuspect

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	crashing = dogwoodfleet.PromptPart("s/m/bad")
	popular  = dogwoodfleet.PromptPart("s/m/f1")
)

// partHistory is what a ledger has seen, in steps of a second unless pause is set.
type partHistory struct {
	ledger  *PartLedger
	digests *Ledger
	now     time.Time
	number  int
}

func newPartHistory() *partHistory {
	return &partHistory{ledger: NewPartLedger(), digests: NewLedger(), now: start}
}

// ended records the end of another endpoint under another request of a customer, and returns the history.
func (partHistory *partHistory) ended(customer dogwoodfleet.Customer, parts ...dogwoodfleet.PromptPart) *partHistory {
	partHistory.now = partHistory.now.Add(time.Second)
	partHistory.endedTogether(customer, parts...)
	return partHistory
}

// endedTogether is ended without a pause before it.
func (partHistory *partHistory) endedTogether(customer dogwoodfleet.Customer, parts ...dogwoodfleet.PromptPart) *partHistory {
	partHistory.number++
	return partHistory.endedUnder(dogwoodfleet.Digest{byte(partHistory.number)}, customer, parts...)
}

// endedInTrial is ended under a request that was the only one with the part.
func (partHistory *partHistory) endedInTrial(customer dogwoodfleet.Customer, parts ...dogwoodfleet.PromptPart) *partHistory {
	return partHistory.trialBroke(true, customer, parts...)
}

// trialBroke records that a trial broke off. The end of its endpoint is confirmed or not.
func (partHistory *partHistory) trialBroke(confirmed bool, customer dogwoodfleet.Customer, parts ...dogwoodfleet.PromptPart) *partHistory {
	partHistory.now = partHistory.now.Add(time.Second)
	partHistory.number++
	subject := Subject{Digest: dogwoodfleet.Digest{byte(partHistory.number)}, Customer: customer, Parts: parts}
	endpoint := dogwoodfleet.EndpointID(fmt.Sprint("e", partHistory.number))
	partHistory.ledger.Learn(partHistory.now, []Notice{subject.PartStrikeNotice(endpoint, 0, confirmed, true)})
	return partHistory
}

func (partHistory *partHistory) endedUnder(digest dogwoodfleet.Digest, customer dogwoodfleet.Customer, parts ...dogwoodfleet.PromptPart) *partHistory {
	subject := Subject{Digest: digest, Customer: customer, Parts: parts}
	endpoint := dogwoodfleet.EndpointID(fmt.Sprint("e", partHistory.number))
	partHistory.ledger.Learn(partHistory.now, []Notice{subject.PartStrikeNotice(endpoint, 0, true, false)})
	return partHistory
}

// beside records that the latest endpoint also ended under another request.
func (partHistory *partHistory) beside(parts ...dogwoodfleet.PromptPart) *partHistory {
	return partHistory.endedUnder(dogwoodfleet.Digest{byte(partHistory.number), 1}, "a", parts...)
}

// began records that an answer began.
func (partHistory *partHistory) began(customer dogwoodfleet.Customer, parts ...dogwoodfleet.PromptPart) *partHistory {
	partHistory.now = partHistory.now.Add(time.Millisecond)
	subject := Subject{Customer: customer, Parts: parts}
	partHistory.ledger.Began(partHistory.now, partHistory.now, &subject, func(dogwoodfleet.PromptPart) bool { return false })
	return partHistory
}

// othersBegan records that answers to prompts with other parts began.
func (partHistory *partHistory) othersBegan() *partHistory {
	for number := range minOtherBegins {
		partHistory.began("other", dogwoodfleet.PromptPart(fmt.Sprint("s/m/other", number)))
	}
	return partHistory
}

func (partHistory *partHistory) standing(customer dogwoodfleet.Customer, parts ...dogwoodfleet.PromptPart) Standing {
	worst := Clear
	for _, refusal := range partHistory.ledger.Refusals(partHistory.now, partHistory.digests) {
		if slices.Contains(parts, refusal.Part) {
			worst = max(worst, refusal.Standing(partHistory.now, &Subject{Customer: customer, Parts: parts}))
		}
	}
	return worst
}

// Guards against a part that ends one endpoint after the other under requests of which no two are alike, and against refusing
// prompts that only share parts with those.
func TestPartStandings(t *testing.T) {
	tests := []struct {
		name    string
		history *partHistory
		// want is the standing of a prompt of customer a with the crashing part, harmless that of one with the popular part,
		// and other that of a prompt of customer b with the crashing part.
		want, harmless, other Standing
	}{
		{name: "two ends", history: newPartHistory().ended("a", crashing).ended("a", crashing).othersBegan()},
		{
			name:    "three ends while other answers begin",
			history: newPartHistory().ended("a", popular, crashing).othersBegan().ended("a", "s/m/f2", crashing).ended("a", popular, crashing),
			want:    Convicted, other: Suspect,
		},
		{name: "three ends, and no answer begins", history: newPartHistory().ended("a", crashing).ended("a", crashing).ended("a", crashing)},
		{
			name:    "four ends, and no answer begins",
			history: newPartHistory().ended("a", crashing).ended("a", crashing).ended("a", crashing).ended("a", crashing),
			want:    Suspect, other: Suspect,
		},
		{
			name: "four ends, no answer begins, and its trials end endpoints too",
			history: newPartHistory().ended("a", crashing).ended("a", crashing).ended("a", crashing).ended("a", crashing).
				endedInTrial("a", crashing).endedInTrial("a", crashing),
			want: Convicted, other: Suspect,
		},
		{
			name: "only prompts of another pool are answered",
			history: newPartHistory().ended("a", crashing).began("a", "t/m/1").began("a", "t/m/2").began("a", "t/m/3").
				ended("a", crashing).ended("a", crashing),
		},
		{
			name: "copies of one request",
			history: newPartHistory().ended("a", crashing).ended("b", "s/m/f2").othersBegan().endedUnder(dogwoodfleet.Digest{1}, "a", crashing).
				ended("b", "s/m/f3").endedUnder(dogwoodfleet.Digest{1}, "a", crashing),
		},
		{
			name:    "a rack fails",
			history: newPartHistory().ended("a", crashing).endedTogether("a", crashing).endedTogether("a", crashing).endedTogether("a", crashing).othersBegan(),
		},
		{
			name:    "its answers begin in between",
			history: newPartHistory().ended("a", crashing).ended("a", crashing).othersBegan().began("a", crashing).ended("a", crashing).ended("a", crashing),
		},
		{
			name:    "it was answered before it ended endpoints",
			history: newPartHistory().began("a", crashing).ended("a", crashing).ended("a", crashing).ended("a", crashing).othersBegan(),
			want:    Convicted, other: Suspect,
		},
		{
			name: "a part that all prompts with it share, and harmless ones too",
			history: newPartHistory().ended("a", popular, crashing).ended("a", popular, crashing).othersBegan().began("a", popular).
				ended("a", popular, crashing).ended("a", popular, crashing),
			want: Convicted, other: Suspect,
		},
		{
			name: "harmless prompts of three requests were beside it",
			history: newPartHistory().ended("a", crashing).beside(popular).ended("a", crashing).beside(popular).ended("a", crashing).othersBegan().
				ended("a", crashing).beside(popular),
			want: Convicted, other: Suspect,
		},
		{
			name: "two crashing parts in turn",
			history: newPartHistory().ended("a", crashing).ended("a", popular).othersBegan().ended("a", crashing).ended("a", popular).
				ended("a", crashing).ended("a", popular).ended("a", popular).ended("a", crashing),
			want: Convicted, harmless: Convicted, other: Suspect,
		},
		{
			name:    "prompts of two customers",
			history: newPartHistory().ended("a", crashing).ended("c", crashing).othersBegan().ended("a", crashing).ended("c", crashing),
			want:    Convicted, other: Convicted,
		},
		{
			name: "another customer's answers begin",
			history: newPartHistory().ended("a", crashing).ended("a", crashing).othersBegan().began("b", crashing).ended("a", crashing).
				began("b", crashing).ended("a", crashing),
			want: Convicted,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.history.standing("a", popular, crashing); got != max(test.want, test.harmless) {
				t.Errorf("the crashing part: got %v, want %v", got, test.want)
			}
			if got := test.history.standing("a", popular, "s/m/f2"); got != test.harmless {
				t.Errorf("the popular part: got %v, want %v", got, test.harmless)
			}
			if got := test.history.standing("b", crashing); got != test.other {
				t.Errorf("another customer: got %v, want %v", got, test.other)
			}
		})
	}
}

// Load: all prompts share their first part. Endpoints end under a request, under prompts with a crashing part and by chance, and each
// end is one of the first part too, which has more of them than any cause. Prompts of other customers are answered in between.
// Guards against refusing the first part for them, and so all prompts of the customers that were not answered since, and against
// a crashing part that stays hidden behind it.
func TestPartOfAllPromptsIsNotTakenForTheCause(t *testing.T) {
	// others records answers to other customers' prompts, all of them with the part.
	others := func(history *partHistory) *partHistory {
		return history.began("c", popular).began("d", popular).began("c", popular)
	}
	byChance := func() *partHistory {
		return others(newPartHistory().ended("a", popular).ended("b", popular)).ended("a", popular).ended("b", popular)
	}
	refusedTogether := func() *partHistory {
		history := newPartHistory().ended("a", popular, crashing).ended("a", popular, crashing).ended("a", popular, crashing).othersBegan()
		history.standing("a", popular, crashing)
		for range keptBegins {
			history.began("c", popular)
		}
		return history
	}
	refusedBeside := func() *partHistory {
		history := others(newPartHistory()).ended("a", popular, crashing)
		for range keptBegins {
			history.began("c", popular)
		}
		history.ended("a", popular, crashing).ended("a", popular, crashing)
		history.standing("a", popular, crashing)
		return history
	}
	tests := []struct {
		name    string
		history *partHistory
		// crashing is the standing of prompts with the crashing part, harmless that of prompts of a customer that was not answered.
		crashing, harmless Standing
	}{
		{"three ends by chance", others(newPartHistory().ended("a", popular).ended("b", popular).ended("a", popular)), Clear, Clear},
		{"four ends by chance", others(byChance()), Clear, Clear},
		{"four ends of one customer, beside answers to others", others(newPartHistory().ended("a", popular).ended("a", popular)).ended("a", popular).ended("a", popular), Suspect, Suspect},
		{
			"ends of several customers between which another one was answered, and answers to prompts with other parts",
			newPartHistory().ended("a", popular).ended("b", popular).began("c", popular).ended("a", popular).ended("b", popular).othersBegan(), Clear, Clear,
		},
		{
			"a crashing part whose trials end endpoints, after two other ends",
			others(newPartHistory().ended("b", popular).ended("b", popular).ended("a", popular, crashing).ended("a", popular, crashing)).
				endedInTrial("a", popular, crashing).endedInTrial("a", popular, crashing),
			Convicted, Clear,
		},
		{
			"a crashing part, with harmless prompts of all customers beside it",
			others(newPartHistory().ended("b", popular).ended("b", popular).ended("a", popular, crashing).beside(popular).ended("a", popular, crashing)).
				ended("a", popular, crashing).endedTogether("c", popular).endedTogether("d", popular).
				began("e", popular).began("e", popular).began("e", popular),
			Convicted, Clear,
		},
		{
			"a crashing part whose trials end endpoints, after four other ends",
			others(newPartHistory().ended("b", popular).ended("b", popular).ended("b", popular).ended("b", popular).
				ended("a", popular, crashing).ended("a", popular, crashing)).endedInTrial("a", popular, crashing).endedInTrial("c", popular, crashing),
			Convicted, Suspect,
		},
		{
			"three ends by chance after a refusal together with a crashing part and answers",
			refusedTogether().ended("a", popular).ended("b", popular).ended("a", popular), Convicted, Suspect,
		},
		{
			"an end by chance after a refusal together with a crashing part",
			refusedBeside().ended("b", popular), Convicted, Suspect,
		},
		{
			"trials beside earlier prompts with a crashing part, after four other ends",
			newPartHistory().ended("a", popular).ended("b", popular).ended("a", popular).ended("b", popular).
				endedInTrial("a", popular).beside(popular, crashing).endedInTrial("b", popular).beside(popular, crashing), Suspect, Suspect,
		},
		{
			"an answer between earlier ends shows nothing",
			others(newPartHistory().ended("b", popular)).ended("b", popular).ended("a", popular, crashing).ended("a", popular, crashing).
				ended("a", popular, crashing).othersBegan(),
			Convicted, Convicted,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.history.standing("a", popular, crashing); got != max(test.crashing, test.harmless) {
				t.Errorf("the crashing part: got %v, want %v", got, test.crashing)
			}
			if got := test.history.standing("b", popular); got != test.harmless {
				t.Errorf("the part of all prompts: got %v, want %v", got, test.harmless)
			}
		})
	}
}

// Guards against refusing harmless prompts with a part that came only together with the crashing one: a prompt with one of them
// tells which it is.
func TestPartsThatComeTogether(t *testing.T) {
	together := func() *partHistory {
		return newPartHistory().ended("a", crashing, popular).othersBegan().ended("a", crashing, popular).ended("a", crashing, popular)
	}
	tests := []struct {
		name    string
		history *partHistory
		// both, alone and harmless are the standings of prompts with both parts, the crashing one and the other one.
		both, alone, harmless Standing
	}{
		{name: "only together", history: together(), both: Convicted},
		{name: "an end without the other", history: together().ended("a", crashing), both: Convicted, alone: Convicted},
		{name: "an answer to the other alone", history: together().began("a", popular), both: Convicted, alone: Convicted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, prompt := range []struct {
				name  string
				parts []dogwoodfleet.PromptPart
				want  Standing
			}{
				{"both", []dogwoodfleet.PromptPart{popular, crashing}, test.both},
				{"the crashing one", []dogwoodfleet.PromptPart{crashing}, test.alone},
				{"the other one", []dogwoodfleet.PromptPart{popular}, test.harmless},
			} {
				if got := test.history.standing("a", prompt.parts...); got != prompt.want {
					t.Errorf("%s: got %v, want %v", prompt.name, got, prompt.want)
				}
			}
		})
	}
}

// copyEnded records that the latest endpoint also ended under a copy of one request.
func (partHistory *partHistory) copyEnded(trial bool) *partHistory {
	notice := sharedEnd(digest, dogwoodfleet.EndpointID(fmt.Sprint("e", partHistory.number)), trial, true)
	partHistory.digests.Learn(partHistory.now, []Notice{notice})
	return partHistory
}

// Guards against a popular part that is taken for the cause of the ends under a request that is refused already, which then runs
// again, and against a crashing part that such a request hides for longer than until its next end.
func TestPartBesideARequest(t *testing.T) {
	tests := []struct {
		name    string
		history *partHistory
		// wantSoon is the part's standing at the last end, want that once all runs are reported.
		wantSoon, want Standing
		// wantShown is true if the ledger has marked the part as one that was refused.
		wantShown bool
	}{
		{
			"the request is refused and ended all endpoints",
			newPartHistory().ended("a", popular).copyEnded(false).othersBegan().ended("a", popular).copyEnded(true).ended("a", popular).copyEnded(true),
			Clear, Clear, false,
		},
		{
			"a fourth end, without the request",
			newPartHistory().ended("a", popular).copyEnded(false).othersBegan().ended("a", popular).copyEnded(true).ended("a", popular).copyEnded(true).
				ended("a", popular),
			Clear, Convicted, true,
		},
		{
			"the request is not refused",
			newPartHistory().ended("a", popular).copyEnded(false).othersBegan().ended("a", popular).copyEnded(false).ended("a", popular).copyEnded(false),
			Convicted, Convicted, true,
		},
		{
			"the request was not at the first end",
			newPartHistory().ended("a", popular).othersBegan().ended("a", popular).copyEnded(false).ended("a", popular).copyEnded(true),
			Convicted, Convicted, true,
		},
		{
			"no answer begins, and the request ended all endpoints",
			newPartHistory().ended("a", popular).copyEnded(false).ended("a", popular).copyEnded(true).ended("a", popular).copyEnded(true).
				ended("a", popular).copyEnded(true),
			Clear, Clear, false,
		},
		{
			"the request is not refused, and may have been at the last end",
			newPartHistory().ended("a", popular).copyEnded(false).othersBegan().ended("a", popular).copyEnded(false).ended("a", popular),
			Clear, Convicted, true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.history.standing("a", popular); got != test.wantSoon {
				t.Errorf("got %v at the last end, want %v", got, test.wantSoon)
			}
			test.history.now = test.history.now.Add(SettleTime)
			if got := test.history.standing("a", popular); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
			if got := test.history.ledger.records[popular].shown; got != test.wantShown {
				t.Errorf("got the part marked %t, want %t", got, test.wantShown)
			}
		})
	}
}

// Guards against a refusal that never ends, and against one whose end costs as many endpoints as the part cost at first.
func TestPartIsOnProbationAfterItsRefusal(t *testing.T) {
	refused := func() *partHistory {
		history := newPartHistory().ended("a", crashing).othersBegan().ended("a", crashing).ended("a", crashing).ended("a", crashing)
		history.now = history.now.Add(firstPartRefusal)
		return history
	}
	if got := refused().standing("a", crashing); got != Suspect {
		t.Errorf("after the refusal: got %v, want one prompt at a time", got)
	}
	again := refused().endedInTrial("a", crashing)
	if got := again.standing("a", crashing); got != Convicted {
		t.Errorf("after another end: got %v, want it refused again", got)
	}
	again.now = again.now.Add(ConvictionTTL - time.Second)
	if got := again.standing("a", crashing); got != Convicted {
		t.Errorf("later: got %v, want it refused for longer", got)
	}
	if got := refused().began("a", crashing).standing("a", crashing); got != Clear {
		t.Errorf("after an answer: got %v, want it clear", got)
	}
	history := refused()
	history.now = history.now.Add(ConvictionTTL + probationTime)
	if got := history.standing("a", crashing); got != Clear {
		t.Errorf("after the probation: got %v, want it clear", got)
	}
}

// Guards against refusing a part for long because one daemon can't reach endpoints: their ends are not confirmed.
func TestUnconfirmedEndsRefuseAPartOnlyForAMoment(t *testing.T) {
	history := newPartHistory()
	for number := range minLonePartEnds {
		if number == 1 {
			history.othersBegan()
		}
		history.now = history.now.Add(time.Second)
		subject := Subject{Digest: dogwoodfleet.Digest{byte(number)}, Customer: "a", Parts: []dogwoodfleet.PromptPart{crashing}}
		history.ledger.Learn(history.now, []Notice{subject.PartStrikeNotice(endpoint(number), 0, false, false)})
	}
	last := history.now
	if got := history.standing("a", crashing); got != Convicted {
		t.Errorf("got %v, want it refused", got)
	}
	history.now = last.Add(ProvisionalTTL)
	if got := history.standing("a", crashing); got != Clear {
		t.Errorf("got %v later, want it clear", got)
	}
	history.ledger.Confirm(history.now, func(endpoint dogwoodfleet.EndpointID) bool { return endpoint != "a" && endpoint != "b" })
	if got := history.standing("a", crashing); got != Convicted {
		t.Errorf("got %v after two ends are confirmed, want it refused", got)
	}
}

// Load: endpoints are so slow that they answer neither the trials of a part of all prompts nor the question whether they still run.
// Guards against taking that for their ends, which refused all prompts for ten minutes.
func TestTrialsAtSilentEndpointsRefuseAPartOnlyForAMoment(t *testing.T) {
	tests := []struct {
		name string
		// listed is false if the endpoints' entries go in time.
		listed bool
		want   Standing
	}{
		{"the endpoints stay", true, Suspect},
		{"the endpoints ended", false, Convicted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			history := newPartHistory().ended("a", popular).ended("b", popular).ended("a", popular).ended("b", popular).
				trialBroke(false, "a", popular).trialBroke(false, "b", popular)
			if got := history.standing("a", popular); got != Convicted {
				t.Errorf("just after: got %v, want it refused", got)
			}
			history.now = history.now.Add(ProvisionalTTL / 2)
			history.ledger.Confirm(history.now, func(dogwoodfleet.EndpointID) bool { return test.listed })
			// The endpoints leave long after, and a later trial ends another one.
			history.now = history.now.Add(ProvisionalTTL)
			history.ledger.Confirm(history.now, func(dogwoodfleet.EndpointID) bool { return false })
			history.endedInTrial("a", popular)
			history.now = history.now.Add(ProvisionalTTL)
			if got := history.standing("a", popular); got != test.want {
				t.Errorf("later: got %v, want %v", got, test.want)
			}
		})
	}
}

// Load: all prompts of a pool have a part, so that no answer to others can tell whether it ends endpoints. Guards against refusing
// all of them for ten minutes because two trials met something else, and against trying a part that does end endpoints too often.
func TestPausesOfAPartOfAllPromptsGrow(t *testing.T) {
	history := newPartHistory().ended("a", popular).ended("b", popular).ended("a", popular).ended("b", popular).endedInTrial("a", popular)
	for _, want := range []time.Duration{6 * time.Second, 12 * time.Second, 24 * time.Second, 48 * time.Second} {
		history.endedInTrial("a", popular)
		ended := history.now
		history.now = ended.Add(want - time.Millisecond)
		if got := history.standing("b", popular); got != Convicted {
			t.Errorf("before %s: got %v, want it refused", want, got)
		}
		history.now = ended.Add(want)
		if got := history.standing("b", popular); got != Suspect {
			t.Errorf("after %s: got %v, want it tried", want, got)
		}
	}
	history.began("a", popular)
	if got := history.standing("a", popular); got != Clear {
		t.Errorf("after an answer to a trial: got %v, want it clear", got)
	}
}

// Guards against a hub that has just started and judges otherwise than the one whose ledger it has learnt, in any order.
func TestPartNoticesCarryRefusals(t *testing.T) {
	tests := []struct {
		name    string
		history *partHistory
	}{
		{
			"four ends", newPartHistory().ended("a", crashing, popular).ended("a", crashing, popular).othersBegan().began("b", crashing).
				began("a", popular).ended("a", crashing).ended("a", crashing, "s/m/f2"),
		},
		{"three ends while others began here", newPartHistory().ended("a", crashing).ended("a", crashing).othersBegan().ended("a", crashing)},
		{"two ends", newPartHistory().ended("a", crashing).ended("a", crashing).othersBegan()},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { checkLearner(t, test.history) })
	}
}

// checkLearner checks that a ledger that learns another one's notices gives the same standings.
func checkLearner(t *testing.T, history *partHistory) {
	t.Helper()
	for _, customer := range []dogwoodfleet.Customer{"a", "b", "c"} {
		history.standing(customer, crashing) // the ledger has judged its strikes before another one asks
	}
	learner := newPartHistory()
	learner.now = history.now
	notices := history.ledger.Notices(history.now)
	learner.ledger.Learn(history.now, notices)
	version := learner.ledger.Version()
	learner.ledger.Learn(history.now, notices)
	if got := learner.ledger.Version(); got != version {
		t.Errorf("got version %d after the same notices again, want %d", got, version)
	}
	for _, customer := range []dogwoodfleet.Customer{"a", "b", "c"} {
		for _, parts := range [][]dogwoodfleet.PromptPart{{crashing}, {popular}, {crashing, popular}, {"s/m/f2"}} {
			if got, want := learner.standing(customer, parts...), history.standing(customer, parts...); got != want {
				t.Errorf("customer %s, parts %v: got %v, want %v", customer, parts, got, want)
			}
		}
	}
}

// Guards against an operator who can't lift the refusal of a part.
func TestLiftedPartIsClear(t *testing.T) {
	history := newPartHistory().ended("a", crashing).othersBegan().ended("a", crashing).ended("a", crashing).ended("a", crashing)
	history.ledger.Learn(history.now, []Notice{{Kind: Lift, Parts: []dogwoodfleet.PromptPart{crashing}}})
	if got := history.standing("a", crashing); got != Clear {
		t.Errorf("got %v, want it clear", got)
	}
}

// Guards against a ledger that grows without bound, and against parts that never come again and push out one that is refused.
func TestPartRecordsAreBounded(t *testing.T) {
	history := newPartHistory().ended("a", crashing).othersBegan().ended("a", crashing).ended("a", crashing).ended("a", crashing)
	history.now = history.now.Add(time.Second)
	for number := range 2 * MaxPartRecords / dogwoodfleet.MaxPromptParts {
		var parts []dogwoodfleet.PromptPart
		for index := range dogwoodfleet.MaxPromptParts {
			parts = append(parts, dogwoodfleet.PromptPart(fmt.Sprintf("s/m/%d-%d", number, index)))
		}
		history.endedTogether("b", parts...)
	}
	if got := history.standing("a", crashing); got != Convicted {
		t.Errorf("got %v, want the part still refused", got)
	}
	for range 3 * maxPartStrikes {
		history.ended("a", crashing)
	}
	if got := len(history.ledger.records); got > MaxPartRecords {
		t.Errorf("got %d records, want at most %d", got, MaxPartRecords)
	}
	if got := len(history.ledger.records[crashing].strikes); got > maxPartStrikes {
		t.Errorf("got %d strikes, want at most %d", got, maxPartStrikes)
	}
}
