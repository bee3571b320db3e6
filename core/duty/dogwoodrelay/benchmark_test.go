package dogwoodrelay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/duty/dogwoodsuspects"
)

// admitAll admits all requests.
type admitAll struct{}

func (admitAll) Admit(context.Context, *dogwoodsuspect.Subject) (*dogwoodsuspects.Permit, error) {
	return nil, nil //nolint:nilnil // only suspects have permits
}

func (admitAll) StillAdmitted(*dogwoodsuspects.Permit, *dogwoodsuspect.Subject) bool { return true }

func (admitAll) Broke(context.Context, dogwoodsuspects.Run, dogwoodsuspects.Condition) <-chan struct{} {
	return nil
}

func (admitAll) Began(context.Context, *dogwoodsuspect.Subject, time.Time) {}

func (admitAll) Finished(context.Context, *dogwoodsuspect.Subject) {}

// eventBody is a stream of a number of equal events, one for each read.
type eventBody struct {
	event string
	left  int
	// received is sent a value for each event that the caller has received; the next event follows then. It is nil for
	// an endpoint that does not wait for the caller.
	received chan struct{}
}

func (body *eventBody) Read(buffer []byte) (int, error) {
	if body.left == 0 {
		return 0, io.EOF
	}
	body.left--
	if body.received != nil {
		<-body.received
	}
	return copy(buffer, body.event), nil
}

func (*eventBody) Close() error { return nil }

// countingCaller counts the bytes of an answer.
type countingCaller struct {
	bytes    int
	received chan struct{}
}

func (*countingCaller) Begin(int, http.Header) error { return nil }

func (caller *countingCaller) Write(data []byte) error {
	caller.bytes += len(data)
	if caller.received != nil {
		caller.received <- struct{}{}
	}
	return nil
}

// BenchmarkStream measures the path of one event from an endpoint to a caller that reads at once. In the first case the
// endpoint always has the next event ready. In the second one it sends the next event when the caller has the last one,
// which is how long an event takes through the daemon.
func BenchmarkStream(b *testing.B) {
	event := "data: " + strings.Repeat("x", 300) + "\n\n"
	for _, test := range []struct {
		name     string
		received chan struct{}
	}{{"events that are ready", nil}, {"events one at a time", make(chan struct{}, 1)}} {
		b.Run(test.name, func(b *testing.B) {
			if test.received != nil {
				test.received <- struct{}{}
				defer func() { <-test.received }()
			}
			board := dogwoodpacking.NewBoard("me")
			endpoints := &fakeEndpoints{script: []step{func(context.Context) (*Response, error) {
				return &Response{Status: http.StatusOK, Header: http.Header{}, Genuine: true, Body: &eventBody{event: event, left: b.N, received: test.received}}, nil
			}}, reservations: map[string]int{}, leases: map[string]time.Time{}}
			fixture := &fixture{board: board, endpoints: endpoints, suspects: dogwoodsuspects.New(dogwoodsuspects.Options{Self: "me", Logger: hclog.NewNullLogger()})}
			fixture.setEndpoints(1, testEngine)
			relay := New(Options{
				Places: places{board}, Endpoints: endpoints, Suspects: admitAll{}, Retries: newRetryBudget(0.2, 10),
				Fresh: func() bool { return true }, Logger: hclog.NewNullLogger(),
			})
			request := streamRequest()
			request.Deadline = time.Now().Add(time.Hour)
			caller := &countingCaller{received: test.received}
			b.ReportAllocs()
			b.SetBytes(int64(len(event)))
			b.ResetTimer()
			if err := relay.Serve(b.Context(), request, caller); err != nil || caller.bytes != b.N*len(event) {
				b.Errorf("got %v and %d bytes, want %d", err, caller.bytes, b.N*len(event))
			}
		})
	}
}
