package dogwoodsite

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/dogwoodlocal/dogwoodenginestandin"
)

// streamedText returns the text of a streamed answer.
func streamedText(t *testing.T, body string) string {
	t.Helper()
	var text strings.Builder
	for line := range strings.Lines(body) {
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !found || data == "[DONE]" {
			continue
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatalf("chunk %q: %v", data, err)
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return text.String()
}

// sendPrompts sends one prompt of the given size for each tag, through the daemons in
// rotation, and waits for all answers.
func sendPrompts(ctx context.Context, site *Site, caller *testCaller, tags []string, tokens, answer int) []testAnswer {
	answers := make([]testAnswer, len(tags))
	var callers sync.WaitGroup
	for index, tag := range tags {
		text := "load-id=" + tag + " " + strings.Repeat("x", 4*tokens)
		daemon := site.Daemons()[index%len(site.Daemons())]
		callers.Go(func() {
			answers[index] = caller.sendPrompt(ctx, daemon, text, answer, true, "Dogwood-Deadline", "60s")
		})
	}
	callers.Wait()
	return answers
}

func makeTags(prefix string, count int) []string {
	tags := make([]string, count)
	for index := range tags {
		tags[index] = fmt.Sprintf("%s-%d", prefix, index)
	}
	return tags
}

// checkAllWhole fails the test unless each answer is complete and belongs to its request.
func checkAllWhole(t *testing.T, answers []testAnswer, tags []string, tokens int) {
	t.Helper()
	for index, answer := range answers {
		if answer.status != http.StatusOK || !strings.HasSuffix(answer.body, "data: [DONE]\n\n") {
			t.Errorf("%s: got %d %.300q %v, want a whole stream", tags[index], answer.status, tail(answer.body), answer.err)
			continue
		}
		if err := dogwoodenginestandin.CheckAnswer(streamedText(t, answer.body), tags[index], tokens); err != nil {
			t.Error(err)
		}
	}
}

func tail(text string) string {
	return text[max(0, len(text)-300):]
}

// checkFreed waits for the given time and fails the test if an engine still holds memory.
func checkFreed(t *testing.T, site *Site, after time.Duration) {
	t.Helper()
	time.Sleep(after)
	for _, engine := range site.Engines {
		if got := engine.HeldTokens(); got != 0 {
			t.Errorf("%s: got %d tokens held %v after the end, want 0", engine.ID(), got, after)
		}
	}
}

// All open connections to the engines fall silent while drafts (short prompts) stream and a
// review (a long prompt, here of a million tokens) is prefilled. Every caller must get its
// complete answer.
func TestAllEngineConnectionsFallSilentUnderLoad(t *testing.T) {
	inBubble(t, Options{}, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
		time.Sleep(5 * time.Second) // until the engines are warm
		for _, after := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond} {
			time.AfterFunc(after, func() {
				for _, engine := range site.Engines {
					engine.Silence(true)
				}
			})
		}
		long, short := makeTags("long", 1), makeTags("short", 20)
		var callers sync.WaitGroup
		callers.Go(func() {
			checkAllWhole(t, sendPrompts(ctx, site, caller, long, 1_000_000, 64), long, 64)
		})
		checkAllWhole(t, sendPrompts(ctx, site, caller, short, 1000, 300), short, 300)
		callers.Wait()
		checkFreed(t, site, 5*time.Second)
	})
}

// An engine that runs part of a million-token review dies. The review must still get a
// complete answer, and all memory must be released within seconds.
func TestEngineOfAGangDies(t *testing.T) {
	inBubble(t, Options{}, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
		time.Sleep(5 * time.Second)
		time.AfterFunc(1500*time.Millisecond, func() {
			for _, engine := range site.Engines {
				if engine.HeldTokens() > 100_000 {
					engine.Die()
					return
				}
			}
		})
		long := makeTags("long", 1)
		checkAllWhole(t, sendPrompts(ctx, site, caller, long, 1_000_000, 64), long, 64)
		checkFreed(t, site, 5*time.Second)
	})
}

// Six reviews of a million tokens arrive at once, and drafts while they run. Guards against
// a deadlock: one review held engine 4 and waited for engine 7 behind another that waited
// for engine 4. Three reviews then failed at their deadline while the engines were idle, and
// the drafts took five seconds.
func TestConcurrentReviewsAndDrafts(t *testing.T) {
	inBubble(t, Options{}, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
		time.Sleep(5 * time.Second)
		for range 5 { // until the owners detect that the engines are warm
			warming := makeTags("warming", 40)
			checkAllWhole(t, sendPrompts(ctx, site, caller, warming, 1000, 64), warming, 64)
		}
		long, short := makeTags("long", 6), makeTags("short", 40)
		var callers sync.WaitGroup
		callers.Go(func() {
			checkAllWhole(t, sendPrompts(ctx, site, caller, long, 1_000_000, 64), long, 64)
		})
		time.Sleep(time.Second)
		start := time.Now()
		checkAllWhole(t, sendPrompts(ctx, site, caller, short, 1000, 64), short, 64)
		if got := time.Since(start); got > 3*time.Second {
			t.Errorf("got %v for the drafts, want at most 3s", got)
		}
		callers.Wait()
		if got := time.Since(start); got > 20*time.Second {
			t.Errorf("got %v for the reviews, want at most 20s, as if they ran one by one", got)
		}
		checkFreed(t, site, 5*time.Second)
	})
}

// Operators set a new version of the model. Every engine must load it, callers must be
// answered meanwhile, and restoring the text must restore the old version.
func TestModelVersionRollOut(t *testing.T) {
	inBubble(t, Options{Shape: Laurentide}, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
		for _, version := range []string{"2", "1"} {
			editText(ctx, t, site, func(text *dogwoodsettings.Text) { text.Services[0].Models[0].Version = version })
			for end := time.Now().Add(10 * time.Minute); time.Now().Before(end) && enginesByVersion(site)[version] < len(site.Engines); {
				short := makeTags("short", 4)
				checkAllWhole(t, sendPrompts(ctx, site, caller, short, 1000, 64), short, 64)
				time.Sleep(time.Second)
			}
			if got := enginesByVersion(site)[version]; got != len(site.Engines) {
				t.Errorf("got %d engines on version %s, want %d", got, version, len(site.Engines))
			}
		}
	})
}

func enginesByVersion(site *Site) map[string]int {
	count := map[string]int{}
	for _, engine := range site.Engines {
		count[engine.Version()]++
	}
	return count
}

// editText applies an edited copy of the current operators' text.
func editText(ctx context.Context, t *testing.T, site *Site, edit func(text *dogwoodsettings.Text)) {
	t.Helper()
	current, err := site.Admin().Text(ctx)
	if err != nil {
		t.Fatal(err)
	}
	text, err := dogwoodsettings.ParseText([]byte(current.Source))
	if err != nil {
		t.Fatal(err)
	}
	edit(text)
	source, err := json.Marshal(text)
	if err != nil {
		t.Fatal(err)
	}
	change := dogwoodadminapi.Apply{
		ID: fmt.Sprintf("edit-%d", current.Version), Author: "test", BasedOn: current.Version, Source: string(source),
	}
	if _, err := site.Admin().Apply(ctx, change); err != nil {
		t.Fatal(err)
	}
}

// Twelve of sixteen engines report that they are leaving; the platform's VM list shows it
// only minutes later. A draft that is sent to one of them meanwhile would be cut when its VM
// stops.
func TestLeavingEnginesGetNoNewWork(t *testing.T) {
	inBubble(t, Options{}, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
		time.Sleep(warmUpTime)
		leaving := site.Engines[:12]
		for _, engine := range leaving {
			engine.SetLeaving(true)
		}
		const detectTimeout = 3 * time.Second
		time.Sleep(detectTimeout)
		reported := time.Now()
		whileLeaving := makeTags("after", 40)
		checkAllWhole(t, sendPrompts(ctx, site, caller, whileLeaving, 100, 8), whileLeaving, 8)
		for i, engine := range leaving {
			if got := engine.LastNewWork(); got.After(reported) {
				t.Errorf("engine %d: got new work %s after it reported that it is leaving", i, got.Sub(reported)+detectTimeout)
			}
		}
		for _, engine := range leaving {
			engine.SetLeaving(false)
		}
		time.Sleep(detectTimeout)
		back := time.Now()
		afterReturn := makeTags("back", 80)
		checkAllWhole(t, sendPrompts(ctx, site, caller, afterReturn, 100, 8), afterReturn, 8)
		used := 0
		for _, engine := range leaving {
			if engine.LastNewWork().After(back) {
				used++
			}
		}
		if used == 0 {
			t.Error("got no work on engines that no longer leave")
		}
	})
}

// The entry daemon of a million-token review dies. Three engines hold the review's memory,
// each for a different owner, and none of them is notified. All must release it long before
// the deadline.
func TestEntryDaemonOfAGangDies(t *testing.T) {
	inBubble(t, Options{}, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
		time.Sleep(5 * time.Second)
		first := site.Daemons()[0]
		time.AfterFunc(2*time.Second, first.Kill)
		text := "load-id=lost " + strings.Repeat("x", 4_000_000)
		caller.sendPrompt(ctx, first, text, 20_000, true, "Dogwood-Deadline", "200s")
		held := 0
		for _, engine := range site.Engines {
			held += engine.HeldTokens()
		}
		if held < 1_000_000 {
			t.Errorf("got %d tokens held when the entry daemon died, want a million", held)
		}
		checkFreed(t, site, 16*time.Second)
	})
}
