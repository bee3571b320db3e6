package dogwoodsite

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodprefix"
)

// block returns text that fills blocks of a prompt exactly.
func block(word string, blocks int) string {
	return strings.Repeat(word, blocks*dogwoodprefix.BlockBytes/len(word)+1)[:blocks*dogwoodprefix.BlockBytes]
}

// Guards against prompts of which no two are alike and whose shared prefix crashes each engine that begins an answer to one.
// Copies of a request are refused by its digest, which tells nothing here: without a ledger of parts each prompt takes down an
// engine, and a second one when it is tried again alone. Harmless prompts share the first block and must be answered. Crashes stop
// also if a daemon, with the strikes that its owner has, is killed after the second one, and if no single owner sees enough harmless
// answers begin to tell the cause from an outage: since they are few, or long and reported only with renewals.
func TestPromptsThatShareACrashingPrefix(t *testing.T) {
	const prompts, maxCrashes, maxLate = 24, 5, 4 * time.Second
	tests := []struct {
		name      string
		interval  time.Duration // between crashing prompts
		harmless  int           // prompts in each interval
		tokens    int           // of their answers
		killAfter int           // crashes, none if 0
	}{
		{name: "no other failure", interval: 400 * time.Millisecond, harmless: 8, tokens: 20},
		{name: "a daemon is killed after two crashes", interval: 400 * time.Millisecond, harmless: 8, tokens: 20, killAfter: 2},
		{name: "few harmless prompts", interval: time.Second, harmless: 2, tokens: 20},
		{name: "long answers", interval: 400 * time.Millisecond, harmless: 3, tokens: 1000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, Options{}, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
				time.Sleep(warmUpTime)
				for _, engine := range site.Engines {
					engine.KillOn("cursed")
				}
				shared := block("shared ", 1)
				var group sync.WaitGroup
				for n := range prompts {
					group.Go(func() {
						time.Sleep(time.Duration(n) * test.interval)
						text := shared + block("cursed ", 3) + block(fmt.Sprintf("crash %d ", n), 2)
						if answer := caller.sendPrompt(ctx, site.Daemons()[1+n%5], text, 20, false); answer.status == http.StatusOK {
							t.Errorf("crashing prompt %d: got an answer", n)
						}
					})
				}
				for n := range test.harmless * prompts {
					group.Go(func() {
						time.Sleep(time.Duration(n) * test.interval / time.Duration(test.harmless))
						text := shared + block(fmt.Sprintf("good %d ", n), 2)
						if answer := caller.sendPrompt(ctx, site.Daemons()[1+n%5], text, test.tokens, false); answer.status != http.StatusOK {
							t.Errorf("harmless prompt %d: got %d %+v %v, want an answer", n, answer.status, answer.problem, answer.err)
						}
					})
				}
				var times []time.Duration
				for start := time.Now(); time.Since(start) < (prompts+5)*test.interval; time.Sleep(10 * time.Millisecond) {
					crashes := 0
					for _, engine := range site.Engines {
						crashes += engine.Crashes()
					}
					for len(times) < crashes {
						times = append(times, time.Since(start))
						if len(times) == test.killAfter {
							site.Daemons()[0].Kill()
						}
					}
				}
				group.Wait()
				if len(times) > maxCrashes {
					t.Errorf("got %d crashes, want at most %d", len(times), maxCrashes)
				}
				if last := len(times) - 1; last < 2 || times[last]-times[2] > maxLate {
					t.Errorf("got crashes at %v, want three and none more than %v after the third", times, maxLate)
				}
				t.Log("crashes at", times)
			})
		})
	}
}
