package dogwoodsender

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/dogwoodload/dogwoodtrace"
)

// startServer starts a server that answers requests with the handler. Its entry path returns an
// address that refuses connections and the server's address.
func startServer(t *testing.T, answer http.HandlerFunc) netip.AddrPort {
	t.Helper()
	var address netip.AddrPort
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entry", func(writer http.ResponseWriter, _ *http.Request) {
		dead := netip.MustParseAddrPort("127.0.0.1:1") // nobody listens on port 1
		_, _ = fmt.Fprintf(writer, `{"Addresses":[%q,%q],"KeepSeconds":60}`, dead, address)
	})
	mux.HandleFunc("/", answer)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address = netip.MustParseAddrPort(server.Listener.Addr().String())
	return address
}

var errOtherContent = errors.New("another answer")

func sendArrival(t *testing.T, arrival dogwoodtrace.Arrival, address netip.AddrPort) Sample {
	t.Helper()
	arrival.Customer, arrival.LoadID = "a", "load-1"
	arrival.Deadline = dogwoodsettings.Duration(10 * time.Second)
	sender := New(Options{
		Trace:    &dogwoodtrace.Trace{Arrivals: []dogwoodtrace.Arrival{arrival}},
		Accounts: []Account{{Customer: "a", Key: "k"}},
		Seeds:    []netip.AddrPort{address},
		Check: func(_ *dogwoodtrace.Arrival, content string) error {
			if content != "mine" {
				return errOtherContent
			}
			return nil
		},
		Done: func() {},
	})
	return sender.Send(t.Context())[0]
}

func TestSampleRecordsWhatTheCallerReceived(t *testing.T) {
	event := func(text string) string {
		return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", text)
	}
	tests := []struct {
		name    string
		kind    string
		status  int
		body    string
		whole   bool
		wrong   bool
		broken  bool
		problem string
	}{
		{name: "a whole stream", kind: "text/event-stream", status: 200, body: event("mi") + event("ne") + "data: [DONE]\n\n", whole: true},
		{name: "another's bytes", kind: "text/event-stream", status: 200, body: event("yours") + "data: [DONE]\n\n", whole: true, wrong: true},
		{name: "a truncated stream", kind: "text/event-stream", status: 200, body: event("mine"), broken: true},
		{name: "a stream that fails", kind: "text/event-stream", status: 200, body: event("mi") + "event: error\ndata: {\"NotRun\":\"false\"}\n\n", problem: "false"},
		{name: "a refusal", kind: "application/problem+json", status: 429, body: `{"NotRun":"true"}`, problem: "true"},
		{name: "one object", kind: "application/json", status: 200, body: `{"choices":[{"message":{"content":"mine"}}]}`, whole: true},
		{name: "not a completion", kind: "application/json", status: 200, body: `{}`, broken: true},
		{name: "an error without a problem", kind: "text/plain", status: 500, body: "oh", whole: true},
	}
	for _, test := range tests {
		address := startServer(t, func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Content-Type", test.kind)
			writer.WriteHeader(test.status)
			_, _ = writer.Write([]byte(test.body))
		})
		got := sendArrival(t, dogwoodtrace.Arrival{Kind: dogwoodtrace.Chat, PromptTokens: 100, MaxTokens: 5, Stream: true}, address)
		if got.Status != test.status || got.Whole != test.whole || (got.Wrong != nil) != test.wrong || (got.Broken != nil) != test.broken {
			t.Errorf("%s: got status %d, whole %v, wrong %v, broken %v", test.name, got.Status, got.Whole, got.Wrong, got.Broken)
		}
		if problem := got.Problem; (problem == nil) != (test.problem == "") || problem != nil && problem.NotRun != test.problem {
			t.Errorf("%s: problem got %+v, want NotRun %q", test.name, problem, test.problem)
		}
	}
}

// Guards against a hot customer that gives up after one refusal: it sends a refused prompt again until that is answered, and others
// do not.
func TestRefusedPromptIsRepeated(t *testing.T) {
	for _, repeats := range []bool{true, false} {
		var received atomic.Int32
		address := startServer(t, func(writer http.ResponseWriter, _ *http.Request) {
			if received.Add(1) < 3 {
				writer.Header().Set("Content-Type", "application/problem+json")
				writer.WriteHeader(http.StatusTooManyRequests)
				_, _ = writer.Write([]byte(`{"NotRun":"true"}`))
				return
			}
			_, _ = writer.Write([]byte(`{"choices":[{"message":{"content":"mine"}}]}`))
		})
		got := sendArrival(t, dogwoodtrace.Arrival{Kind: dogwoodtrace.Chat, PromptTokens: 100, MaxTokens: 5, RepeatsRefused: repeats}, address)
		if got.Whole != repeats || got.Resent.IsZero() == repeats || (received.Load() == 3) != repeats {
			t.Errorf("repeats %t: got whole %t after %d requests", repeats, got.Whole, received.Load())
		}
	}
}

// The server closes a caller's idle connection just as the caller sends a hold on it. By default
// net/http resends a request with an Idempotency-Key, and the result would count this second hold as
// one that the system had sent.
func TestHoldIsSentOnce(t *testing.T) {
	var holds atomic.Int32
	address := startServer(t, func(writer http.ResponseWriter, request *http.Request) {
		if !strings.HasSuffix(request.URL.Path, "/holds") || request.Header.Get("Idempotency-Key") != "key-1" {
			t.Errorf("got %s with key %q", request.URL.Path, request.Header.Get("Idempotency-Key"))
		}
		holds.Add(1)
		connection, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_ = connection.Close()
	})
	got := sendArrival(t, dogwoodtrace.Arrival{Kind: dogwoodtrace.Hold, Service: "lot-desk", Key: "key-1"}, address)
	if got.Broken == nil {
		t.Error("got an answer, want a broken connection")
	}
	if got := holds.Load(); got != 1 {
		t.Errorf("holds sent: got %d, want 1", got)
	}
}
