package dogwoodowner_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

// partRun is a run of a request, or several equal ones, whose requests differ in their digests and last blocks.
type partRun struct {
	blocks []uint64
	result dogwoodfleet.Result
	// firstToken is the time to the first token of a run that takes 300 ms; 0 for none.
	firstToken time.Duration
	isCopy     bool // of the first run's request
}

// Guards against refusing parts of prompts that crash nothing: those that all prompts share, that have been answered since, whose
// answers had begun, or under which one request alone ended endpoints.
func TestWhichPartsAreRefused(t *testing.T) {
	const first = 10 * time.Millisecond
	died := partRun{blocks: []uint64{1, 2}, result: dogwoodfleet.ResultDied}
	copied := partRun{blocks: []uint64{1, 2}, result: dogwoodfleet.ResultDied, isCopy: true}
	begun := partRun{blocks: []uint64{1, 2}, result: dogwoodfleet.ResultDied, firstToken: first}
	atFirst := partRun{blocks: []uint64{1, 2}, result: dogwoodfleet.ResultDied, firstToken: 250 * time.Millisecond}
	answered := partRun{blocks: []uint64{1, 2}, result: dogwoodfleet.ResultDone, firstToken: first}
	other := partRun{blocks: []uint64{1}, result: dogwoodfleet.ResultDone, firstToken: first}
	diedOther := partRun{blocks: []uint64{1}, result: dogwoodfleet.ResultDied}
	tests := []struct {
		name        string
		runs        []partRun
		wantRefused bool // of a prompt with the blocks 1 and 2; one with block 1 alone is always granted
	}{
		{name: "three ends", runs: []partRun{died, other, died, other, other, died}, wantRefused: true},
		{name: "three ends at the first token", runs: []partRun{atFirst, other, atFirst, other, other, atFirst}, wantRefused: true},
		{name: "two ends", runs: []partRun{died, other, died, other, other}},
		{name: "an answer in between", runs: []partRun{died, other, died, other, answered, other, died}},
		{name: "the answers had begun", runs: []partRun{begun, other, begun, other, other, begun}},
		{name: "copies of one request", runs: []partRun{died, other, copied, other, other, copied}},
		{name: "ends under a part of all prompts", runs: []partRun{diedOther, other, diedOther, other, other, diedOther}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				text := &dogwoodsettings.Text{Services: []dogwoodsettings.Service{{Name: pool, Kind: dogwoodfleet.EnginePool, ColdLimit: 4, WarmLimit: 4}}}
				owner := dogwoodowner.New(dogwoodowner.Options{Text: text, Self: "owner", Seed: 1})
				var endpoints []dogwoodfleet.Endpoint
				for i := range 12 {
					endpoints = append(endpoints, dogwoodfleet.Endpoint{
						ID: dogwoodfleet.EndpointID(fmt.Sprintf("engine-%d", i)), Service: pool, Kind: dogwoodfleet.EnginePool, InForce: true, MemoryTokens: 400_000,
					})
				}
				owner.SetEndpoints(endpoints, text)
				time.Sleep(5 * time.Second)
				number := 0
				acquire := func(number int, blocks []uint64) (dogwoodowner.Grant, error) {
					return owner.Acquire(t.Context(), dogwoodowner.AcquireRequest{Holder: "entry", Budget: 20 * time.Second, Request: dogwoodfleet.Request{
						ID: dogwoodfleet.RequestID(fmt.Sprint(number)), Customer: "customer", Service: pool, Digest: digestOf(number), PromptTokens: 100, MaxTokens: 10,
						Blocks: append(blocks[:len(blocks):len(blocks)], uint64(1000+number)),
					}})
				}
				for _, run := range test.runs {
					number++
					request := number
					if run.isCopy {
						request = 1
					}
					grant, err := acquire(request, run.blocks)
					if err != nil {
						if run.isCopy {
							continue // refused by its digest
						}
						t.Fatalf("run %d: got %v, want a grant", number, err)
					}
					time.Sleep(300 * time.Millisecond)
					owner.Release(dogwoodowner.Release{ID: grant.ID, Result: run.result, FirstToken: run.firstToken, Took: 300 * time.Millisecond})
				}
				_, err := acquire(100, []uint64{1, 2})
				var refusal *dogwoodowner.Refusal
				if got := errors.As(err, &refusal) && refusal.Reason == dogwoodfleet.ReasonSuspect; got != test.wantRefused {
					t.Errorf("got the refusal %v, want one: %v", err, test.wantRefused)
				}
				if _, err := acquire(101, []uint64{1}); err != nil {
					t.Errorf("a prompt without the part: got %v, want a grant", err)
				}
			})
		})
	}
}

// Guards against refusing a harmless prefix that was in prefill at the same ends as a crashing one.
func TestPrefixesWithTheSameEndsAreNotTakenForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		text := &dogwoodsettings.Text{Services: []dogwoodsettings.Service{{Name: pool, Kind: dogwoodfleet.EnginePool, ColdLimit: 4, WarmLimit: 4}}}
		owner := dogwoodowner.New(dogwoodowner.Options{Text: text, Self: "owner", Seed: 1})
		owner.SetEndpoints([]dogwoodfleet.Endpoint{{ID: "engine", Service: pool, Kind: dogwoodfleet.EnginePool, InForce: true, MemoryTokens: 400_000}}, text)
		time.Sleep(5 * time.Second)
		number := 0
		learn := func(blocks []uint64, notice func(subject *dogwoodsuspect.Subject) dogwoodsuspect.Notice) {
			number++
			subject := &dogwoodsuspect.Subject{Request: dogwoodfleet.RequestID(fmt.Sprint(number)), Digest: digestOf(number), Customer: dogwoodfleet.Customer(fmt.Sprint(blocks[0]))}
			for i, block := range blocks {
				subject.Parts = append(subject.Parts, dogwoodfleet.NewPromptPart(pool, "", "")+dogwoodfleet.PromptPart(fmt.Sprintf("%02d.%x", i, block)))
			}
			owner.Learn([]dogwoodsuspect.Notice{notice(subject)})
		}
		for end := range 3 {
			strike := func(subject *dogwoodsuspect.Subject) dogwoodsuspect.Notice {
				return subject.PartStrikeNotice(dogwoodfleet.EndpointID(fmt.Sprint("engine@", end)), 0, true, false)
			}
			learn([]uint64{1, 2, uint64(1000 + end)}, strike)
			learn([]uint64{50, 51, 52, 53, uint64(2000 + end)}, strike)
			for other := range uint64(4) {
				learn([]uint64{70 + other}, func(subject *dogwoodsuspect.Subject) dogwoodsuspect.Notice {
					return dogwoodsuspect.Notice{Kind: dogwoodsuspect.Begun, Request: subject.Request, Customer: subject.Customer, Parts: subject.Parts, Whole: true}
				})
			}
			time.Sleep(time.Second)
		}
		_, err := owner.Acquire(t.Context(), dogwoodowner.AcquireRequest{Holder: "entry", Budget: 20 * time.Second, Request: dogwoodfleet.Request{
			ID: "harmless", Customer: "50", Service: pool, Digest: digestOf(99), PromptTokens: 100, MaxTokens: 10, Blocks: []uint64{50, 51, 52, 53, 99},
		}})
		if err != nil {
			t.Errorf("got %v for a harmless prompt, want a grant", err)
		}
	})
}
