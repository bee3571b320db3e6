package dogwoodsuspect

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// partPool simulates endpoints that end as they begin an answer to a prompt with the crashing part. Harmless prompts have one of many
// first parts, as those with the crashing part do.
type partPool struct {
	endpoints, slots int
	// harmlessRate and crashingRate are prompts a second.
	harmlessRate, crashingRate float64
	// popularShare is the share of all prompts that have the same first part.
	popularShare float64
	// endRate is how many endpoints a second end of something else.
	endRate float64
	// copyRate is how many copies a second of one harmless request are sent beside the other prompts, and copyBegin the time until
	// the answer to one begins.
	copyRate  float64
	copyBegin time.Duration
}

const (
	poolStep  = 5 * time.Millisecond
	poolTime  = 10 * time.Second
	poolAway  = 4 * time.Second
	firstPart = 60
)

// simulatedPrompt is a prompt at an endpoint.
type simulatedPrompt struct {
	subject         Subject
	isCrashing      bool
	isCopy          bool
	beginsAt, endAt time.Time
	begun           bool
}

// partPolicy decides which prompts are refused.
type partPolicy interface {
	refuses(now time.Time, subject *Subject) bool
	began(now time.Time, subject *Subject)
	finished(now time.Time, subject *Subject)
	ended(now time.Time, endpoint dogwoodfleet.EndpointID, pending []*simulatedPrompt)
}

// ledgerPolicy is the ledgers' own.
type ledgerPolicy struct {
	ledger  *PartLedger
	digests *Ledger
	// forgetsAlways takes a part for the cause also if a refused request has ended all its endpoints, as an earlier rule did.
	forgetsAlways bool
	trials        map[dogwoodfleet.RequestID]bool
}

func newLedgerPolicy() *ledgerPolicy {
	return &ledgerPolicy{ledger: NewPartLedger(), digests: NewLedger(), trials: map[dogwoodfleet.RequestID]bool{}}
}

// refusals returns the parts that are refused, whose ends are not those of requests.
func (policy *ledgerPolicy) refusals(now time.Time) []PartRefusal {
	digests := policy.digests
	if policy.forgetsAlways {
		digests = NewLedger()
	}
	refusals := policy.ledger.Refusals(now, digests)
	for i := range refusals {
		for _, endpoint := range refusals[i].Ends {
			policy.digests.Forget(endpoint)
		}
	}
	return refusals
}

func (policy *ledgerPolicy) refuses(now time.Time, subject *Subject) bool {
	if slices.ContainsFunc(policy.refusals(now), func(refusal PartRefusal) bool { return refusal.Standing(now, subject) == Convicted }) {
		return true
	}
	if standing, _ := policy.digests.Standing(now, subject.Digest); standing == Clear {
		return false
	}
	policy.trials[subject.Request] = true
	return !policy.digests.Judge(now, PermitRequest{Digest: subject.Digest, Request: subject.Request, Lease: 2 * time.Second}).Allowed
}

func (policy *ledgerPolicy) finished(now time.Time, subject *Subject) {
	policy.digests.Finished(now, Run{Digest: subject.Digest, Request: subject.Request, Shared: true})
}

func (policy *ledgerPolicy) began(now time.Time, subject *Subject) {
	policy.ledger.Began(now, now, subject, func(dogwoodfleet.PromptPart) bool { return false })
}

func (policy *ledgerPolicy) ended(now time.Time, endpoint dogwoodfleet.EndpointID, pending []*simulatedPrompt) {
	for _, prompt := range pending {
		subject := &prompt.subject
		run := Run{Digest: subject.Digest, Request: subject.Request, Shared: true, Trial: policy.trials[subject.Request], Confirmed: true}
		policy.digests.Died(now, endpoint, []Run{run})
		policy.ledger.Learn(now, []Notice{subject.PartStrikeNotice(endpoint, 0, true, false)})
	}
	policy.refusals(now)
}

// commonPolicy refuses the parts that were pending at each of the latest ends, as a simpler way to judge.
type commonPolicy struct {
	ends    [][]dogwoodfleet.PromptPart
	refused []dogwoodfleet.PromptPart
}

func (policy *commonPolicy) refuses(_ time.Time, subject *Subject) bool {
	return slices.ContainsFunc(subject.Parts, func(part dogwoodfleet.PromptPart) bool { return slices.Contains(policy.refused, part) })
}

func (policy *commonPolicy) began(time.Time, *Subject) {}

func (policy *commonPolicy) finished(time.Time, *Subject) {}

func (policy *commonPolicy) ended(_ time.Time, _ dogwoodfleet.EndpointID, pending []*simulatedPrompt) {
	var parts []dogwoodfleet.PromptPart
	for _, prompt := range pending {
		parts = append(parts, prompt.subject.Parts...)
	}
	policy.ends = append(policy.ends, parts)
	if len(policy.ends) < minPartEnds {
		return
	}
	latest := policy.ends[len(policy.ends)-minPartEnds:]
	for _, part := range latest[0] {
		isCommon := !slices.ContainsFunc(latest, func(parts []dogwoodfleet.PromptPart) bool { return !slices.Contains(parts, part) })
		if isCommon && !slices.Contains(policy.refused, part) {
			policy.refused = append(policy.refused, part)
		}
	}
}

// partResult is what a simulation shows.
type partResult struct {
	ends, crashingSent, lateCrashing, harmless, harmlessRefused int
	// copies counts the copies of the harmless request that was sent again and again, copiesRefused those that did not run, and
	// copiesAnswered those that finished.
	copies, copiesRefused, copiesAnswered int
}

// run simulates a pool with a policy.
func (partPool *partPool) run(seed uint64, policy partPolicy) partResult {
	random := rand.New(rand.NewPCG(seed, 1))
	running := make([][]*simulatedPrompt, partPool.endpoints)
	backAt := make([]time.Time, partPool.endpoints)
	lifetime := make([]int, partPool.endpoints)
	var result partResult
	var fifth time.Time
	number := 0
	end := func(now time.Time, index int) {
		pending := slices.DeleteFunc(slices.Clone(running[index]), func(prompt *simulatedPrompt) bool { return prompt.begun })
		policy.ended(now, dogwoodfleet.EndpointID(fmt.Sprint(index, "-", lifetime[index])), pending)
		running[index], backAt[index] = nil, now.Add(poolAway)
		lifetime[index]++
		if result.ends++; result.ends == 5 {
			fifth = now
		}
	}
	send := func(now time.Time, isCrashing, isCopy bool) {
		number++
		first := dogwoodfleet.PromptPart(fmt.Sprint("s/m/first", random.IntN(firstPart)))
		if random.Float64() < partPool.popularShare {
			first = popular
		}
		parts := []dogwoodfleet.PromptPart{first, dogwoodfleet.PromptPart(fmt.Sprint("s/m/middle", random.IntN(firstPart))), dogwoodfleet.PromptPart(fmt.Sprint("s/m/own", number))}
		if isCrashing {
			parts[1] = crashing
		}
		prompt := &simulatedPrompt{
			subject: Subject{
				Customer: "a", Request: dogwoodfleet.RequestID(fmt.Sprint(number)),
				Digest: dogwoodfleet.NewDigester("", fmt.Sprint(number)).Digest(), Parts: parts,
			}, isCrashing: isCrashing, isCopy: isCopy,
			beginsAt: now.Add(time.Duration(50+random.IntN(300)) * time.Millisecond),
		}
		prompt.endAt = prompt.beginsAt.Add(time.Duration(500+random.IntN(2000)) * time.Millisecond)
		if isCopy {
			prompt.subject.Digest, prompt.subject.Parts = digest, []dogwoodfleet.PromptPart{"s/m/copy"}
			prompt.beginsAt = now.Add(partPool.copyBegin)
			prompt.endAt = prompt.beginsAt.Add(time.Second)
		}
		refused := policy.refuses(now, &prompt.subject)
		result.countSent(prompt, refused)
		start := random.IntN(partPool.endpoints)
		for offset := range partPool.endpoints {
			index := (start + offset) % partPool.endpoints
			if refused || now.Before(backAt[index]) || len(running[index]) >= partPool.slots {
				continue
			}
			running[index] = append(running[index], prompt)
			if isCrashing {
				result.crashingSent++
				if !fifth.IsZero() && now.Sub(fifth) > 3*time.Second {
					result.lateCrashing++
				}
			}
			return
		}
	}
	for now := start; now.Sub(start) < poolTime; now = now.Add(poolStep) {
		if random.Float64() < partPool.harmlessRate*poolStep.Seconds() {
			send(now, false, false)
		}
		if random.Float64() < partPool.crashingRate*poolStep.Seconds() {
			send(now, true, false)
		}
		if partPool.copyRate > 0 && random.Float64() < partPool.copyRate*poolStep.Seconds() {
			send(now, false, true)
		}
		if random.Float64() < partPool.endRate*poolStep.Seconds() {
			end(now, random.IntN(partPool.endpoints))
		}
		for index := range running {
			for _, prompt := range running[index] {
				if prompt.begun || now.Before(prompt.beginsAt) {
					continue
				}
				if prompt.isCrashing {
					end(now, index)
					break
				}
				prompt.begun = true
				policy.began(now, &prompt.subject)
			}
			running[index] = slices.DeleteFunc(running[index], func(prompt *simulatedPrompt) bool {
				if !prompt.begun || now.Before(prompt.endAt) {
					return false
				}
				policy.finished(now, &prompt.subject)
				if prompt.isCopy {
					result.copiesAnswered++
				}
				return true
			})
		}
	}
	return result
}

// Guards against refusing harmless prompts, or running crashing ones on and on, where each end of an endpoint names the parts of all
// prompts that had not begun there, one of which is crashing or none.
func TestLedgerTellsTheCrashingPart(t *testing.T) {
	const seeds = 6
	tests := []struct {
		name string
		pool partPool
	}{
		{"16 endpoints, 4 slots", partPool{endpoints: 16, slots: 4, harmlessRate: 30, crashingRate: 3}},
		{"16 endpoints, 16 slots", partPool{endpoints: 16, slots: 16, harmlessRate: 60, crashingRate: 3}},
		{"16 endpoints, 64 slots", partPool{endpoints: 16, slots: 64, harmlessRate: 150, crashingRate: 3}},
		{"a popular first part", partPool{endpoints: 16, slots: 16, harmlessRate: 60, crashingRate: 3, popularShare: 0.3}},
		{"the crashing part comes seldom", partPool{endpoints: 54, slots: 12, harmlessRate: 150, crashingRate: 1}},
		{"the crashing part comes often", partPool{endpoints: 54, slots: 12, harmlessRate: 150, crashingRate: 20}},
		{"endpoints end of something else too", partPool{endpoints: 54, slots: 12, harmlessRate: 150, crashingRate: 5, endRate: 2}},
		{"endpoints end of something else", partPool{endpoints: 54, slots: 12, harmlessRate: 150, endRate: 6}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var ledger, common partResult
			for seed := range uint64(seeds) {
				result := test.pool.run(seed, newLedgerPolicy())
				if result.lateCrashing > 3 {
					t.Errorf("seed %d: got %d crashing prompts later than 3s after the fifth end, want at most 3", seed, result.lateCrashing)
				}
				if result.harmlessRefused > result.harmless/50 {
					t.Errorf("seed %d: got %d of %d harmless prompts refused, want at most one in fifty", seed, result.harmlessRefused, result.harmless)
				}
				ledger.add(result)
				common.add(test.pool.run(seed, &commonPolicy{}))
			}
			t.Logf("ledger: %s", ledger)
			t.Logf("common: %s", common)
		})
	}
}

// countSent counts a prompt that is sent, and whether it is refused.
func (result *partResult) countSent(prompt *simulatedPrompt, refused bool) {
	switch {
	case prompt.isCopy:
		result.copies++
		if refused {
			result.copiesRefused++
		}
	case !prompt.isCrashing:
		result.harmless++
		if refused {
			result.harmlessRefused++
		}
	}
}

// Guards against a crashing part that stays hidden while copies of a harmless request are sent beside it: the request is refused
// after two ends, and all ends of the part lie within those of the request until the next one.
func TestHarmlessCopiesHideACrashingPartOnlyUntilItsNextEnd(t *testing.T) {
	const seeds = 40
	tests := []struct {
		name string
		pool partPool
	}{
		{"2 endpoints", partPool{endpoints: 2, slots: 16, harmlessRate: 20, crashingRate: 3, copyRate: 5, copyBegin: 2 * time.Second}},
		{"4 endpoints", partPool{endpoints: 4, slots: 16, harmlessRate: 30, crashingRate: 3, copyRate: 10, copyBegin: 2 * time.Second}},
		{"16 endpoints", partPool{endpoints: 16, slots: 16, harmlessRate: 60, crashingRate: 3, copyRate: 30, copyBegin: 2 * time.Second}},
		{"16 endpoints, copies begin soon", partPool{endpoints: 16, slots: 16, harmlessRate: 60, crashingRate: 3, copyRate: 30, copyBegin: 300 * time.Millisecond}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var kept, forgotten partResult
			for seed := range uint64(seeds) {
				result := test.pool.run(seed, newLedgerPolicy())
				if result.lateCrashing > 3 {
					t.Errorf("seed %d: got %d crashing prompts later than 3s after the fifth end, want at most 3", seed, result.lateCrashing)
				}
				kept.add(result)
				policy := newLedgerPolicy()
				policy.forgetsAlways = true
				forgotten.add(test.pool.run(seed, policy))
			}
			t.Logf("ends stay a refused request's: %s", kept)
			t.Logf("ends are always the part's: %s", forgotten)
		})
	}
}

func (result *partResult) add(other partResult) {
	result.ends += other.ends
	result.crashingSent += other.crashingSent
	result.lateCrashing += other.lateCrashing
	result.harmless += other.harmless
	result.harmlessRefused += other.harmlessRefused
	result.copies += other.copies
	result.copiesRefused += other.copiesRefused
	result.copiesAnswered += other.copiesAnswered
}

// String returns the sums of all seeds.
func (result partResult) String() string {
	return fmt.Sprintf("%d ends, %d crashing prompts sent, %d late; %d of %d harmless ones refused; of %d copies %d refused or held, %d answered",
		result.ends, result.crashingSent, result.lateCrashing, result.harmlessRefused, result.harmless, result.copies, result.copiesRefused, result.copiesAnswered)
}
