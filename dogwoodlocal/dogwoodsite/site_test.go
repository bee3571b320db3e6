package dogwoodsite

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/dogwoodproblem"
)

// inBubble runs body with a whole site on in-memory pipes, inside a synctest bubble.
func inBubble(t *testing.T, options Options, body func(ctx context.Context, t *testing.T, site *Site, caller *testCaller)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		options.Base = InMemory()
		options.Logger = hclog.New(&hclog.LoggerOptions{Level: hclog.Error, Output: testWriter{t}})
		options.Seed = 1
		site, err := Start(t.Context(), options)
		if err != nil {
			t.Fatal(err)
		}
		transport := &http.Transport{DialContext: site.CallerDial, DisableKeepAlives: true}
		body(t.Context(), t, site, &testCaller{site: site, transport: transport})
		if err := site.Close(t.Context()); err != nil {
			t.Error(err)
		}
	})
}

type testWriter struct{ t *testing.T }

func (writer testWriter) Write(line []byte) (int, error) {
	writer.t.Log(strings.TrimSpace(string(line)))
	return len(line), nil
}

// testCaller sends requests with the API key of the site's first customer.
type testCaller struct {
	site      *Site
	transport *http.Transport
}

// testAnswer is the result of a call: an error, or an answer, with problem set if the body
// is a problem.
type testAnswer struct {
	status  int
	header  http.Header
	body    string
	problem dogwoodproblem.Problem
	err     error
}

func (caller *testCaller) do(ctx context.Context, daemon *Daemon, method, path, body string, header ...string) testAnswer {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+daemon.Serve.String()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return testAnswer{err: err}
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+caller.site.Keys(caller.site.Shape.Customers[0]))
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := caller.transport.RoundTrip(request)
	if err != nil {
		return testAnswer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	answer := testAnswer{status: response.StatusCode, header: response.Header, body: string(read), err: err}
	if response.Header.Get("Content-Type") == dogwoodproblem.ContentType {
		if err := json.Unmarshal(read, &answer.problem); err != nil {
			answer.err = err
		}
	}
	return answer
}

func (caller *testCaller) sendPrompt(ctx context.Context, daemon *Daemon, text string, tokens int, stream bool, header ...string) testAnswer {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, caller.site.Shape.Model, stream, tokens, text)
	return caller.do(ctx, daemon, http.MethodPost, "/v1/chat/completions", body, header...)
}

func (caller *testCaller) sendHold(ctx context.Context, daemon *Daemon, key, car string) testAnswer {
	return caller.do(ctx, daemon, http.MethodPost, "/services/"+string(caller.site.Shape.Plain)+"/holds", car, "Idempotency-Key", key)
}

// heldTokens returns the tokens of memory held on all engines.
func (caller *testCaller) heldTokens() int {
	held := 0
	for _, engine := range caller.site.Engines {
		held += engine.HeldTokens()
	}
	return held
}

// holdRuns returns how often all servers together ran the call with an idempotency key.
func (caller *testCaller) holdRuns(key string) int {
	runs := 0
	for _, server := range caller.site.Plain {
		runs += server.Runs(key)
	}
	return runs
}

// One daemon must answer a streamed prompt, a plain prompt, and a hold that is sent twice
// with the same key and runs once.
func TestWholeSite(t *testing.T) {
	inBubble(t, Options{}, func(ctx context.Context, t *testing.T, site *Site, caller *testCaller) {
		daemon := site.Daemons()[0]
		streamed := caller.sendPrompt(ctx, daemon, "a blue van", 8, true)
		if streamed.status != http.StatusOK || !strings.HasSuffix(streamed.body, "data: [DONE]\n\n") {
			t.Errorf("got %d %q %v", streamed.status, streamed.body, streamed.err)
		}
		whole := caller.sendPrompt(ctx, daemon, "a blue van", 8, false)
		if whole.status != http.StatusOK || !strings.Contains(whole.body, `"finish_reason":"stop"`) {
			t.Errorf("got %d %q %v", whole.status, whole.body, whole.err)
		}
		for range 2 {
			held := caller.sendHold(ctx, daemon, "hold-1", `{"Car":"7"}`)
			if got, want := strings.TrimSpace(held.body), `{"Car":"7"}`; held.status != http.StatusCreated || got != want {
				t.Errorf("got %d %q %v, want %q", held.status, got, held.err, want)
			}
		}
		if runs := caller.holdRuns("hold-1"); runs != 1 {
			t.Errorf("got %d runs of one hold, want 1", runs)
		}
	})
}
