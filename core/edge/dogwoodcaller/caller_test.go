package dogwoodcaller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodproblem"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/duty/dogwooddispatch"
)

// fakeDispatcher records the last call and answers it with the given events, answer or error.
type fakeDispatcher struct {
	call   *dogwooddispatch.Call
	events []string
	answer *dogwooddispatch.WholeAnswer
	err    error
}

func (fake *fakeDispatcher) NewID() dogwoodfleet.RequestID { return "request-1" }

func (fake *fakeDispatcher) Prompt(_ context.Context, call *dogwooddispatch.Call, answer dogwooddispatch.PromptAnswerWriter) error {
	fake.call = call
	for i, event := range fake.events {
		if err := answer.Event(dogwooddispatch.Event{Index: i, Data: []byte(event)}); err != nil {
			return err
		}
	}
	return fake.err
}

func (fake *fakeDispatcher) Service(_ context.Context, call *dogwooddispatch.Call) (*dogwooddispatch.WholeAnswer, error) {
	fake.call = call
	return fake.answer, fake.err
}

type fakeEntries struct{}

func (fakeEntries) Entry(dogwoodfleet.Customer) Entry {
	return Entry{Addresses: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:80")}, KeepSeconds: 5}
}

func newTestEdge(fake *fakeDispatcher) *Edge {
	digest, unlistedDigest := sha256.Sum256([]byte("key")), sha256.Sum256([]byte("unlisted"))
	text := &dogwoodsettings.Text{
		Services: []dogwoodsettings.Service{
			{
				Name: "pool", Kind: dogwoodfleet.EnginePool, Models: []dogwoodsettings.Model{{Name: "model", MaxPromptTokens: 100}},
				Deadline: dogwoodsettings.Duration(30 * time.Second), MaxDeadline: dogwoodsettings.Duration(time.Minute),
			},
			{
				Name: "desk", Kind: dogwoodfleet.PlainService, Deadline: dogwoodsettings.Duration(5 * time.Second),
				MaxDeadline: dogwoodsettings.Duration(10 * time.Second),
				Calls: []dogwoodsettings.Call{
					{Method: "POST", Path: "/search/{ID}", Repeatable: true},
					{Method: "GET", Path: "/counter", Repeatable: false},
				},
			},
			{Name: "secret", Kind: dogwoodfleet.PlainService},
		},
		Customers: []dogwoodsettings.Customer{
			{Name: "customer", KeySHA256: []string{hex.EncodeToString(digest[:])}, Services: []dogwoodfleet.Service{"pool", "desk"}},
			{Name: "unlisted", KeySHA256: []string{hex.EncodeToString(unlistedDigest[:])}, Services: []dogwoodfleet.Service{}},
		},
	}
	return New(Options{
		Text: func() *dogwoodsettings.Text { return text }, Dispatcher: fake, Entries: fakeEntries{}, Logger: hclog.NewNullLogger(),
	})
}

func send(edge *Edge, method, target, body string, header ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer key")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	recorder := httptest.NewRecorder()
	edge.ServeHTTP(recorder, request)
	return recorder
}

const promptBody = `{"model":"model","messages":[{"role":"user","content":"hello"}]}`

// Guards against a request that is dispatched although the daemon must reject it, and against a
// rejection that does not state that the request was not run.
func TestRejectionsBeforeDispatch(t *testing.T) {
	tests := []struct {
		name                 string
		method, target, body string
		header               []string
		wantStatus           int
		wantReason           dogwoodfleet.Reason
	}{
		{name: "no key", method: "GET", target: "/v1/entry", header: []string{"Authorization", ""}, wantStatus: 401, wantReason: dogwoodfleet.ReasonKey},
		{name: "unknown key", method: "GET", target: "/v1/entry", header: []string{"Authorization", "Bearer kez"}, wantStatus: 401, wantReason: dogwoodfleet.ReasonKey},
		{name: "no such path", method: "GET", target: "/v2", wantStatus: 400, wantReason: dogwoodfleet.ReasonBadRequest},
		{name: "dotted path", method: "POST", target: "/services/desk/search/../holds", wantStatus: 400, wantReason: dogwoodfleet.ReasonBadRequest},
		{name: "encoded slash", method: "POST", target: "/services/desk/search%2fholds", wantStatus: 400, wantReason: dogwoodfleet.ReasonBadRequest},
		{name: "invalid JSON", method: "POST", target: "/v1/chat/completions", body: "{", wantStatus: 400, wantReason: dogwoodfleet.ReasonBadRequest},
		{name: "no such model", method: "POST", target: "/v1/chat/completions", body: `{"model":"other"}`, wantStatus: 400, wantReason: dogwoodfleet.ReasonBadRequest},
		{name: "bad deadline", method: "POST", target: "/v1/completions", body: promptBody, header: []string{"Dogwood-Deadline", "soon"}, wantStatus: 400, wantReason: dogwoodfleet.ReasonBadRequest},
		{name: "long prompt", method: "POST", target: "/v1/completions", body: `{"model":"model","prompt":"` + strings.Repeat("x", 500) + `"}`, wantStatus: 413, wantReason: dogwoodfleet.ReasonTooLarge},
		{name: "large body", method: "POST", target: "/services/desk/holds", body: strings.Repeat("x", maxCallBytes+1), wantStatus: 413, wantReason: dogwoodfleet.ReasonTooLarge},
		{name: "service of another customer", method: "GET", target: "/services/secret/x", wantStatus: 401, wantReason: dogwoodfleet.ReasonKey},
		{name: "service of a customer with an empty list", method: "GET", target: "/services/desk/counter", header: []string{"Authorization", "Bearer unlisted"}, wantStatus: 401, wantReason: dogwoodfleet.ReasonKey},
		{name: "model of a customer with an empty list", method: "POST", target: "/v1/chat/completions", body: promptBody, header: []string{"Authorization", "Bearer unlisted"}, wantStatus: 401, wantReason: dogwoodfleet.ReasonKey},
		{name: "no such service", method: "GET", target: "/services/none/x", wantStatus: 400, wantReason: dogwoodfleet.ReasonBadRequest},
		{name: "engine pool as plain service", method: "GET", target: "/services/pool/x", wantStatus: 400, wantReason: dogwoodfleet.ReasonBadRequest},
		{name: "long idempotency key", method: "POST", target: "/services/desk/holds", header: []string{"Idempotency-Key", strings.Repeat("k", maxKeyLength+1)}, wantStatus: 400, wantReason: dogwoodfleet.ReasonBadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fake := &fakeDispatcher{}
			recorder := send(newTestEdge(fake), test.method, test.target, test.body, test.header...)
			var problem dogwoodproblem.Problem
			if err := json.Unmarshal(recorder.Body.Bytes(), &problem); err != nil {
				t.Fatalf("got %d %q: %v", recorder.Code, recorder.Body, err)
			}
			if recorder.Code != test.wantStatus || problem.Reason != test.wantReason || problem.NotRun != dogwoodproblem.True {
				t.Errorf("got %d %+v, want %d %s, not run", recorder.Code, problem, test.wantStatus, test.wantReason)
			}
			if got, want := problem.RequestID, dogwoodfleet.RequestID("request-1"); got != want || recorder.Header().Get(HeaderRequestID) != string(want) {
				t.Errorf("got request ID %q, want %q", got, want)
			}
			if fake.call != nil {
				t.Errorf("got a dispatched call, want none: %+v", fake.call)
			}
		})
	}
}

// Guards against an API key or a header of the caller's connection that is forwarded to the
// endpoint, and against an answer that reaches the caller changed.
func TestPlainCallIsForwarded(t *testing.T) {
	fake := &fakeDispatcher{answer: &dogwooddispatch.WholeAnswer{
		Status: http.StatusCreated, Header: http.Header{"X-Answer": {"1"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}}, Body: []byte("held"), Stored: true,
	}}
	recorder := send(newTestEdge(fake), "POST", "/services/desk/holds?day=1&a=b%20c", `{"Car":"7"}`,
		"Idempotency-Key", "hold-1", "Dogwood-Deadline", "1h", "X-Mine", "yes", "Te", "trailers")
	call := fake.call
	if got, want := call.Target, "/holds?day=1&a=b%20c"; call.Method != "POST" || got != want || string(call.Body) != `{"Car":"7"}` {
		t.Errorf("got %s %s %s, want POST %s", call.Method, got, call.Body, want)
	}
	for name, want := range map[string]string{"Authorization": "", "Te": "", "Dogwood-Deadline": "", "X-Mine": "yes", "Idempotency-Key": "hold-1"} {
		if got := call.Header.Get(name); got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
	if got, want := call.Request.Deadline.Sub(call.Request.Arrived), 10*time.Second; got != want {
		t.Errorf("got a deadline after %v, want the cap of %v", got, want)
	}
	if recorder.Code != http.StatusCreated || recorder.Body.String() != "held" || recorder.Header().Get("X-Answer") != "1" ||
		recorder.Header().Get("X-Hop") != "" || recorder.Header().Get(HeaderStoredAnswer) != "true" {
		t.Errorf("got %d %q %v", recorder.Code, recorder.Body, recorder.Header())
	}
}

// Guards against a call with side effects that counts as repeatable and is therefore run twice.
func TestRepeatable(t *testing.T) {
	tests := []struct {
		method, path string
		want         bool
	}{
		{method: "GET", path: "/stock/7", want: true},
		{method: "HEAD", path: "/stock/7", want: true},
		{method: "GET", path: "/counter", want: false},
		{method: "POST", path: "/search/7", want: true},
		{method: "POST", path: "/search/7/more", want: false},
		{method: "POST", path: "/holds", want: false},
		{method: "PUT", path: "/holds/7", want: false},
		{method: "DELETE", path: "/holds/7", want: false},
	}
	for _, test := range tests {
		t.Run(test.method+" "+test.path, func(t *testing.T) {
			fake := &fakeDispatcher{answer: &dogwooddispatch.WholeAnswer{Status: http.StatusOK}}
			send(newTestEdge(fake), test.method, "/services/desk"+test.path, "")
			if got := fake.call.Request.Repeatable; got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// An engine dies after the first events of a stream. The stream must end with an error event
// and without [DONE], so that the caller does not take the partial answer for a complete one.
func TestBrokenStreamEndsWithErrorEvent(t *testing.T) {
	fake := &fakeDispatcher{events: []string{`{"n":1}`}, err: &dogwooddispatch.Failure{Reason: dogwoodfleet.ReasonEndpointDied, Run: dogwoodfleet.WasRun}}
	recorder := send(newTestEdge(fake), "POST", "/v1/chat/completions", `{"model":"model","stream":true}`)
	want := "data: {\"n\":1}\n\nevent: error\ndata: {"
	if got := recorder.Body.String(); recorder.Code != http.StatusOK || !strings.HasPrefix(got, want) || strings.Contains(got, "[DONE]") || !strings.Contains(got, `"NotRun":"false"`) {
		t.Errorf("got %d %q", recorder.Code, got)
	}
}

func TestRejectionCarriesRetryAfter(t *testing.T) {
	fake := &fakeDispatcher{err: &dogwooddispatch.Failure{Reason: dogwoodfleet.ReasonShare, Run: dogwoodfleet.NotRun, RetryAfter: 1500 * time.Millisecond}}
	recorder := send(newTestEdge(fake), "POST", "/v1/chat/completions", promptBody)
	if got, want := recorder.Header().Get("Retry-After"), "2"; recorder.Code != http.StatusTooManyRequests || got != want {
		t.Errorf("got %d, Retry-After %q, want 429 and %q", recorder.Code, got, want)
	}
}

func TestEveryReasonHasAStatus(t *testing.T) {
	reasons := []dogwoodfleet.Reason{
		dogwoodfleet.ReasonDeadline, dogwoodfleet.ReasonShare, dogwoodfleet.ReasonLimit, dogwoodfleet.ReasonSuspect, dogwoodfleet.ReasonTooLarge,
		dogwoodfleet.ReasonNoEndpoint, dogwoodfleet.ReasonDependency, dogwoodfleet.ReasonStore, dogwoodfleet.ReasonEndpointDied,
		dogwoodfleet.ReasonEndpointError, dogwoodfleet.ReasonCancelled, dogwoodfleet.ReasonShutdown, dogwoodfleet.ReasonInternal,
		dogwoodfleet.ReasonBadRequest, dogwoodfleet.ReasonKey, dogwoodfleet.ReasonKeyMissing, dogwoodfleet.ReasonKeyReused,
		dogwoodfleet.ReasonRunning, dogwoodfleet.ReasonOutcome,
	}
	for _, reason := range reasons {
		if _, ok := problemKinds[reason]; !ok {
			t.Errorf("%s has no status", reason)
		}
	}
}
