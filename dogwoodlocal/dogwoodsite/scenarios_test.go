package dogwoodsite

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodproblem"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/dogwoodlocal/dogwoodenginestandin"
	"dogwoodmux.example/dogwoodlocal/dogwoodplainstandin"
)

// warmUpTime is the time after which a started site has warm endpoints and stable owners.
const warmUpTime = 10 * time.Second

// streamedContent returns the text of a streamed answer, the problem of its error event if
// there is one, and whether the stream ended with [DONE].
func streamedContent(t *testing.T, body string) (content string, failure *dogwoodproblem.Problem, done bool) {
	t.Helper()
	for event := range strings.SplitSeq(body, "\n\n") {
		name, data, _ := strings.Cut(event, "data: ")
		switch {
		case strings.HasPrefix(name, "event: error"):
			failure = &dogwoodproblem.Problem{}
			if err := json.Unmarshal([]byte(data), failure); err != nil {
				t.Errorf("got the error event %q: %v", event, err)
			}
		case data == "[DONE]":
			done = true
		case data != "":
			var chunk struct {
				Choices []struct{ Delta struct{ Content string } }
			}
			if err := json.Unmarshal([]byte(data), &chunk); err != nil {
				t.Errorf("got the event %q: %v", event, err)
			}
			for _, choice := range chunk.Choices {
				content += choice.Delta.Content
			}
		}
	}
	return content, failure, done
}

func checkWhole(t *testing.T, answer testAnswer, tag string, tokens int) {
	t.Helper()
	if answer.err != nil || answer.status != http.StatusOK {
		t.Errorf("%s: got %d %q %v, want an answer", tag, answer.status, answer.body, answer.err)
		return
	}
	content, failure, done := streamedContent(t, answer.body)
	if failure != nil || !done {
		t.Errorf("%s: got the problem %v, done %v, want the end of the stream", tag, failure, done)
	}
	if err := dogwoodenginestandin.CheckAnswer(content, tag, tokens); err != nil {
		t.Error(err)
	}
}

// An entry daemon dies after it sent a hold to a server and before it answered. The caller
// sends the hold again through the other entry daemons. None of them may run it a second
// time or report that it was not run.
func TestEntryDaemonDiesAfterSendingAHold(t *testing.T) {
	options := Options{Plain: dogwoodplainstandin.Options{Latency: time.Second}}
	inBubble(t, options, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
		time.Sleep(warmUpTime)
		var group sync.WaitGroup
		group.Go(func() {
			if answer := caller.sendHold(ctx, site.Daemons()[0], "hold-1", `{"Car":"7"}`); answer.err == nil {
				t.Errorf("got %d %q from a daemon that died", answer.status, answer.body)
			}
		})
		time.Sleep(500 * time.Millisecond)
		site.Daemons()[0].Kill()
		group.Wait()
		for _, daemon := range site.Daemons()[1:] {
			answer := caller.sendHold(ctx, daemon, "hold-1", `{"Car":"7"}`)
			if answer.status != http.StatusConflict || answer.problem.NotRun == dogwoodproblem.True {
				t.Errorf("got %d %+v, want a conflict that does not say not run", answer.status, answer.problem)
			}
			time.Sleep(time.Second)
		}
		if got := caller.holdRuns("hold-1"); got != 1 {
			t.Errorf("got %d runs, want 1", got)
		}
	})
}

// A server dies while it runs a hold. The caller must get the answer that the outcome is
// unknown, and another server must not run the same call when it is sent again.
func TestServerDiesDuringAHold(t *testing.T) {
	inBubble(t, Options{}, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
		time.Sleep(warmUpTime)
		for _, server := range site.Plain {
			server.KillOn("cursed")
		}
		for _, daemon := range site.Daemons()[:3] {
			answer := caller.sendHold(ctx, daemon, "hold-2", `{"Car":"cursed"}`)
			if answer.err != nil || answer.problem.NotRun != dogwoodproblem.Unknown {
				t.Errorf("got %d %+v %v, want NotRun unknown", answer.status, answer.problem, answer.err)
			}
		}
		if got := caller.holdRuns("hold-2"); got != 1 {
			t.Errorf("got %d runs, want 1", got)
		}
	})
}

// The same hold is sent several times at once through every entry daemon. It must run once;
// the other attempts get its answer or a conflict that says that it is running.
func TestConcurrentHoldsWithTheSameKey(t *testing.T) {
	inBubble(t, Options{}, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
		time.Sleep(warmUpTime)
		var group sync.WaitGroup
		for _, daemon := range site.Daemons() {
			for range 4 {
				group.Go(func() {
					answer := caller.sendHold(ctx, daemon, "hold-1", `{"Car":"7"}`)
					stored := answer.status == http.StatusCreated && strings.TrimSpace(answer.body) == `{"Car":"7"}`
					running := answer.status == http.StatusConflict && answer.problem.Reason == dogwoodfleet.ReasonRunning
					if !stored && !running {
						t.Errorf("got %d %q %v", answer.status, answer.body, answer.err)
					}
				})
			}
		}
		group.Wait()
		if got := caller.holdRuns("hold-1"); got != 1 {
			t.Errorf("got %d runs, want 1", got)
		}
		mismatch := caller.sendHold(ctx, site.Daemons()[2], "hold-1", `{"Car":"8"}`)
		if mismatch.status != http.StatusUnprocessableEntity || mismatch.problem.NotRun != dogwoodproblem.True {
			t.Errorf("got %d %+v, want the key rejected for another body", mismatch.status, mismatch.problem)
		}
	})
}

// The platform's table service is down. Holds must be rejected quickly and correctly as not
// run; prompts and lookups, which need no claim, must still be answered.
func TestStoreDown(t *testing.T) {
	inBubble(t, Options{}, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
		time.Sleep(warmUpTime)
		site.Platform.Down(true)
		start := time.Now()
		answer := caller.sendHold(ctx, site.Daemons()[0], "hold-1", `{"Car":"7"}`)
		if answer.status != http.StatusServiceUnavailable || answer.problem.NotRun != dogwoodproblem.True || answer.header.Get("Retry-After") == "" {
			t.Errorf("got %d %+v %v, want an error response with not run and Retry-After", answer.status, answer.problem, answer.err)
		}
		if took, want := time.Since(start), 4*time.Second; took > want {
			t.Errorf("rejected after %v, want at most %v", took, want)
		}
		checkWhole(t, caller.sendPrompt(ctx, site.Daemons()[1], "load-id=p1 a van", 8, true), "p1", 8)
		site.Platform.Down(false)
		time.Sleep(5 * time.Second)
		if answer := caller.sendHold(ctx, site.Daemons()[0], "hold-1", `{"Car":"7"}`); answer.status != http.StatusCreated {
			t.Errorf("got %d %+v %v after the store was up again", answer.status, answer.problem, answer.err)
		}
		if got := caller.holdRuns("hold-1"); got != 1 {
			t.Errorf("got %d runs, want 1", got)
		}
	})
}

// A caller disconnects while a long draft streams. The engine must stop and release the
// memory, or the fleet fills up with drafts that nobody reads.
func TestCallerDisconnects(t *testing.T) {
	inBubble(t, Options{}, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
		time.Sleep(warmUpTime)
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		answer := caller.sendPrompt(callCtx, site.Daemons()[0], strings.Repeat("a long draft ", 1000), 4000, true)
		if answer.err == nil {
			t.Errorf("got the complete answer: %d", answer.status)
		}
		time.Sleep(3 * time.Second)
		if got := caller.heldTokens(); got != 0 {
			t.Errorf("got %d tokens held, want 0", got)
		}
	})
}

// A draft's deadline passes while the answer streams. The caller must get an error event, not
// just the end of the stream, and the engine's memory must be released.
func TestDeadlinePassesDuringAStream(t *testing.T) {
	inBubble(t, Options{}, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
		time.Sleep(warmUpTime)
		for _, engine := range site.Engines {
			engine.Slow(20)
		}
		answer := caller.sendPrompt(ctx, site.Daemons()[0], "load-id=late a draft", 60, true, "Dogwood-Deadline", "2s")
		_, failure, done := streamedContent(t, answer.body)
		streamed := answer.status == http.StatusOK && failure != nil && failure.Reason == dogwoodfleet.ReasonDeadline && failure.NotRun == dogwoodproblem.False
		rejected := answer.problem.Reason == dogwoodfleet.ReasonDeadline
		if done || !streamed && !rejected {
			t.Errorf("got %d %q, want the deadline as a problem", answer.status, answer.body)
		}
		time.Sleep(3 * time.Second)
		if got := caller.heldTokens(); got != 0 {
			t.Errorf("got %d tokens held, want 0", got)
		}
	})
}

// Two engines die while they run streams. A stream that has begun must end with an error
// event that says that it ran; a request that has not begun must run at another engine and
// get a complete answer.
func TestEngineDiesUnderStreams(t *testing.T) {
	inBubble(t, Options{}, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
		time.Sleep(warmUpTime)
		var group sync.WaitGroup
		var mutex sync.Mutex
		cut, whole := 0, 0
		for n := range 32 {
			group.Go(func() {
				tag := fmt.Sprintf("s%d", n)
				answer := caller.sendPrompt(ctx, site.Daemons()[n%6], "load-id="+tag+" a draft", 400, true)
				content, failure, done := streamedContent(t, answer.body)
				mutex.Lock()
				defer mutex.Unlock()
				switch {
				case answer.status == http.StatusOK && done && failure == nil:
					whole++
					if err := dogwoodenginestandin.CheckAnswer(content, tag, 400); err != nil {
						t.Error(err)
					}
				case answer.status == http.StatusOK && failure != nil && failure.NotRun == dogwoodproblem.False:
					cut++
				default:
					t.Errorf("got %d %q %v", answer.status, answer.body, answer.err)
				}
			})
		}
		time.Sleep(time.Second)
		site.Engines[0].Die()
		site.Engines[1].Die()
		group.Wait()
		if cut == 0 || whole == 0 {
			t.Errorf("got %d cut and %d whole, want some of each", cut, whole)
		}
		time.Sleep(5 * time.Second)
		if got := caller.heldTokens(); got != 0 {
			t.Errorf("got %d tokens held, want 0", got)
		}
	})
}

// A device between daemons and engines loses the state of all open connections, while new
// ones work. Running streams must resume where they stopped, so that callers get complete
// answers.
func TestConnectionsToEnginesFallSilent(t *testing.T) {
	inBubble(t, Options{}, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
		time.Sleep(warmUpTime)
		var group sync.WaitGroup
		for n := range 12 {
			group.Go(func() {
				tag := fmt.Sprintf("s%d", n)
				checkWhole(t, caller.sendPrompt(ctx, site.Daemons()[n%6], "load-id="+tag+" a draft", 400, true), tag, 400)
			})
		}
		time.Sleep(time.Second)
		for _, engine := range site.Engines {
			engine.Silence(true)
		}
		group.Wait()
	})
}

// A daemon dies that owns engines and serves callers. The connections of its own callers
// break; all other callers must be answered, also with new requests, and no memory may stay
// held on an engine.
func TestDaemonDiesUnderLoad(t *testing.T) {
	inBubble(t, Options{}, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
		time.Sleep(warmUpTime)
		var group sync.WaitGroup
		for n := range 60 {
			group.Go(func() {
				time.Sleep(time.Duration(n) * 100 * time.Millisecond)
				tag := fmt.Sprintf("s%d", n)
				daemon := site.Daemons()[1+n%5]
				checkWhole(t, caller.sendPrompt(ctx, daemon, "load-id="+tag+" a draft", 200, true), tag, 200)
			})
			group.Go(func() { // callers of the daemon that dies: both an answer and a broken connection are fine
				time.Sleep(time.Duration(n) * 40 * time.Millisecond)
				caller.sendPrompt(ctx, site.Daemons()[0], fmt.Sprintf("load-id=d%d a draft", n), 200, true)
			})
		}
		time.Sleep(2 * time.Second)
		site.Daemons()[0].Kill()
		group.Wait()
		time.Sleep(8 * time.Second)
		if got := caller.heldTokens(); got != 0 {
			t.Errorf("got %d tokens held, want 0", got)
		}
	})
}

// A prompt crashes every engine that runs it, and its caller sends it again through the
// other entry daemons. After two engines have crashed it must be rejected, and harmless
// prompts must be served.
func TestPoisonedPrompt(t *testing.T) {
	inBubble(t, Options{}, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
		time.Sleep(warmUpTime)
		for _, engine := range site.Engines {
			engine.KillOn("cursed")
		}
		for round := range 12 {
			answer := caller.sendPrompt(ctx, site.Daemons()[round%6], "cursed", 20, false)
			if answer.err != nil || answer.status == http.StatusOK {
				t.Errorf("got %d %v, want a problem", answer.status, answer.err)
			}
		}
		crashes := 0
		for _, engine := range site.Engines {
			crashes += engine.Crashes()
		}
		if crashes > 2 {
			t.Errorf("got %d engines killed, want at most 2", crashes)
		}
		checkWhole(t, caller.sendPrompt(ctx, site.Daemons()[0], "load-id=good a draft", 20, true), "good", 20)
	})
}

// An engine pool depends on the plain service, and all servers of that are down. Prompts
// must be rejected early with the dependency as the reason, not at their deadline, and be
// served again when the servers are up.
func TestDependencyDown(t *testing.T) {
	options := Options{EditText: func(text *dogwoodsettings.Text) {
		text.Services[0].DependsOn = []dogwoodfleet.Service{text.Services[1].Name}
	}}
	inBubble(t, options, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
		time.Sleep(warmUpTime)
		for _, server := range site.Plain {
			server.Die()
		}
		time.Sleep(5 * time.Second)
		start := time.Now()
		answer := caller.sendPrompt(ctx, site.Daemons()[0], "load-id=p a draft", 20, true)
		if answer.problem.Reason != dogwoodfleet.ReasonDependency || answer.problem.NotRun != dogwoodproblem.True {
			t.Errorf("got %d %+v %v, want the dependency named", answer.status, answer.problem, answer.err)
		}
		if took, want := time.Since(start), 100*time.Millisecond; took > want {
			t.Errorf("rejected after %v, want at most %v", took, want)
		}
		for _, server := range site.Plain {
			if err := server.Revive(ctx); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(5 * time.Second)
		checkWhole(t, caller.sendPrompt(ctx, site.Daemons()[0], "load-id=p a draft", 20, true), "p", 20)
	})
}

// Operators restart all daemons one by one while callers send drafts and holds. Each caller
// queries the entry addresses and uses them for KeepSeconds. No request may be cut.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	inBubble(t, Options{}, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
		time.Sleep(warmUpTime)
		var group sync.WaitGroup
		ended := make(chan struct{})
		for n := range 20 {
			group.Go(func() { keepCalling(ctx, t, site, caller, n, ended) })
		}
		for _, daemon := range site.Daemons() {
			time.Sleep(2 * time.Second)
			stopping, cancel := context.WithTimeout(ctx, 2*time.Minute)
			if err := daemon.Stop(stopping); err != nil {
				t.Errorf("%s: %v", daemon.VM, err)
			}
			cancel()
			if err := daemon.Restart(ctx); err != nil {
				t.Errorf("%s: %v", daemon.VM, err)
			}
		}
		close(ended)
		group.Wait()
	})
}

// keepCalling sends drafts and holds to the entry address that the directory returns, until
// ended is closed.
func keepCalling(ctx context.Context, t *testing.T, site *Site, caller *testCaller, n int, ended <-chan struct{}) {
	var entries struct {
		Addresses   []string
		KeepSeconds int
	}
	entry := site.Daemons()[n%6]
	for round := 0; ; round++ {
		select {
		case <-ended:
			return
		default:
		}
		answer := caller.do(ctx, entry, http.MethodGet, "/v1/entry", "")
		if err := json.Unmarshal([]byte(answer.body), &entries); err != nil || len(entries.Addresses) == 0 {
			t.Errorf("got %d %q %v, want addresses", answer.status, answer.body, answer.err)
			return
		}
		for _, daemon := range site.Daemons() {
			if daemon.Serve.String() == entries.Addresses[0] {
				entry = daemon
			}
		}
		expires := time.Now().Add(time.Duration(entries.KeepSeconds) * time.Second)
		for time.Now().Before(expires.Add(-time.Second)) {
			tag := fmt.Sprintf("c%d-%d-%d", n, round, time.Now().UnixNano())
			checkWhole(t, caller.sendPrompt(ctx, entry, "load-id="+tag+" a draft", 100, true), tag, 100)
			if held := caller.sendHold(ctx, entry, tag, `{"Car":"7"}`); held.status != http.StatusCreated {
				t.Errorf("got %d %+v %v for a hold", held.status, held.problem, held.err)
			}
		}
	}
}

// A caller sends a hold's header and then its body at one byte a second. After a time it must
// get the answer that the call was not run, whether its API key is known or not, and it must
// hold neither a slot nor a claim meanwhile. net/http reads the body of a rejected request to
// its end before it sends the response, so that without a time limit such a caller would get
// no response and its request would stay open.
func TestSlowSender(t *testing.T) {
	tests := []struct {
		name, key  string
		wantStatus int
	}{
		{name: "known key", key: Key("hinokuni"), wantStatus: http.StatusBadRequest},
		{name: "unknown key", key: "guess", wantStatus: http.StatusUnauthorized},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, Options{}, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
				conn, err := site.CallerDial(ctx, "tcp", site.Daemons()[0].Serve.String())
				if err != nil {
					t.Fatal(err)
				}
				var group sync.WaitGroup
				defer group.Wait()
				defer func() { _ = conn.Close() }()
				group.Go(func() { sendSlowly(conn, site, test.key) })
				start := time.Now()
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = response.Body.Close() }()
				var problem dogwoodproblem.Problem
				if err := json.NewDecoder(response.Body).Decode(&problem); err != nil || problem.Status != test.wantStatus || problem.NotRun != dogwoodproblem.True {
					t.Errorf("got %+v %v, want %d, not run", problem, err, test.wantStatus)
				}
				if took, limit := time.Since(start), 40*time.Second; took > limit {
					t.Errorf("rejected after %v, want at most %v", took, limit)
				}
				if answer := caller.sendHold(ctx, site.Daemons()[1], "slow", `{"Car":"7"}`); answer.status != http.StatusCreated {
					t.Errorf("got %d %+v, want the key to be free", answer.status, answer.problem)
				}
			})
		})
	}
}

func sendSlowly(conn net.Conn, site *Site, key string) {
	_, err := fmt.Fprintf(conn, "POST /services/%s/holds HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: slow\r\nContent-Length: 1000\r\n\r\n", site.Shape.Plain, key)
	for range 1000 {
		if err != nil {
			return
		}
		time.Sleep(time.Second)
		_, err = conn.Write([]byte("x"))
	}
}
