package dogwoodengine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// breakingEngine closes the connection of a request after it has read it, or refuses the request
// if status is set.
type breakingEngine struct {
	instance string
	posts    atomic.Int32
	// listsRequest is whether the engine returns the request's stream on a reconnect; begun is what
	// it answers to a cancel.
	listsRequest, begun bool
	status              int
	header              string
}

func (engine *breakingEngine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(HeaderInstance, engine.instance)
	writer.Header().Set("Content-Type", "application/json")
	switch request.Method {
	case http.MethodPost:
		engine.posts.Add(1)
		if _, err := io.ReadAll(request.Body); err != nil || engine.status == 0 {
			panic(http.ErrAbortHandler)
		}
		if engine.header != "" {
			writer.Header().Set(engine.header, "true")
		}
		writer.WriteHeader(engine.status)
	case http.MethodDelete:
		_, _ = fmt.Fprintf(writer, `{"Instance":%q,"Begun":%t}`, engine.instance, engine.begun)
	case http.MethodGet:
		if !engine.listsRequest {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		writer.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(writer, "id: r1/0\ndata: {}\n\nid: r1/1\ndata: [DONE]\n\n")
	}
}

// If a request that ran is reported as not run, its caller sends it again and it runs twice. The
// client may return NotStarted only if the engine process that was recorded before the start confirms
// it, and the transport must not resend the request.
func TestStartOnBrokenConnection(t *testing.T) {
	tests := []struct {
		name   string
		engine *breakingEngine
		// recorded is the engine process that the owner had recorded before the start.
		recorded dogwoodfleet.InstanceID
		want     any // a pointer to the type of the error, nil for a stream
	}{
		{name: "the engine did not begin", engine: &breakingEngine{instance: "i1"}, recorded: "i1", want: new(*NotStarted)},
		{name: "the engine began", engine: &breakingEngine{instance: "i1", begun: true}, recorded: "i1", want: new(*Broken)},
		{name: "another process responds", engine: &breakingEngine{instance: "i2"}, recorded: "i1", want: new(*Broken)},
		{name: "no process was recorded", engine: &breakingEngine{instance: "i1"}, recorded: "", want: new(*Broken)},
		{name: "the engine has the stream", engine: &breakingEngine{instance: "i1", listsRequest: true}, recorded: "i1"},
		{name: "refused with not-run header", engine: &breakingEngine{instance: "i1", status: 503, header: HeaderNotRun}, recorded: "i1", want: new(*NotStarted)},
		{name: "refused without not-run header", engine: &breakingEngine{instance: "i1", status: 503}, recorded: "i1", want: new(*Answered)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(test.engine)
			defer server.Close()
			client := New(Options{SilenceTimeout: 10 * time.Second})
			defer client.Close(t.Context())
			endpoint := dogwoodfleet.Endpoint{ID: "engine", Instance: test.recorded, Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
			stream, err := client.Start(t.Context(), endpoint, Run{ID: "r1", Path: PathChat, Body: []byte(`{}`)})
			if stream != nil {
				defer stream.Close()
			}
			if test.want == nil && err != nil || test.want != nil && !errors.As(err, test.want) {
				t.Errorf("got error %v, want %T", err, test.want)
			}
			if got := test.engine.posts.Load(); got != 1 {
				t.Errorf("got the request sent %d times, want once", got)
			}
		})
	}
}

// A dead VM does not respond to a dial. As no byte of the request was sent, it certainly did not
// run and may be sent to another engine at once.
func TestFailedConnectionIsNotStarted(t *testing.T) {
	client := New(Options{
		SilenceTimeout: 50 * time.Millisecond,
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	})
	defer client.Close(t.Context())
	endpoint := dogwoodfleet.Endpoint{ID: "engine", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	_, err := client.Start(t.Context(), endpoint, Run{ID: "r1", Path: PathChat, Body: []byte(`{}`)})
	var notStarted *NotStarted
	if !errors.As(err, &notStarted) {
		t.Errorf("got %v, want NotStarted", err)
	}
}
