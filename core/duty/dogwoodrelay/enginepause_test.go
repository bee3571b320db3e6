package dogwoodrelay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// enginePause is how long all engines are silent, enginePauseInterval the time from the start of one silence to the next.
	enginePause, enginePauseInterval = 1300 * time.Millisecond, 3 * time.Second
	// enginePauses is the number of silences.
	enginePauses = 6
)

// pausingEngines answer nothing while they pause, and then go on. An answer breaks off when memory that its prompt uses at a helper
// has expired.
type pausingEngines struct {
	*fakeEndpoints
	// firstPause is when the first pause begins.
	firstPause time.Time
	prefill    time.Duration
	events     int
}

// pauseLeft returns how long the engines are still silent; 0 while they are not.
func (engines *pausingEngines) pauseLeft() time.Duration {
	since := time.Since(engines.firstPause)
	if since < 0 || since >= enginePauses*enginePauseInterval {
		return 0
	}
	return max(enginePause-since%enginePauseInterval, 0)
}

// work waits until the engines have worked for a time. Time while they are silent does not count.
func (engines *pausingEngines) work(ctx context.Context, duration time.Duration) error {
	const step = 10 * time.Millisecond
	for worked := time.Duration(0); worked < duration || engines.pauseLeft() > 0; {
		if engines.pauseLeft() == 0 {
			worked += step
		}
		select {
		case <-time.After(step):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Send prefills a prompt and then writes its events.
func (engines *pausingEngines) Send(ctx context.Context, endpointRequest *EndpointRequest) (*Response, error) {
	engines.mutex.Lock()
	engines.sends = append(engines.sends, sentRequest{endpoint: endpointRequest.Endpoint.ID, helpers: endpointRequest.Helpers})
	engines.mutex.Unlock()
	reader, writer := io.Pipe()
	var group sync.WaitGroup
	group.Go(func() {
		_ = writer.CloseWithError(engines.write(ctx, endpointRequest, writer)) // it returns no error
	})
	return &Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {eventStream}}, Genuine: true, EndMarked: true, Body: reader}, nil
}

func (engines *pausingEngines) write(ctx context.Context, endpointRequest *EndpointRequest, writer io.Writer) error {
	if err := engines.work(ctx, engines.prefill); err != nil {
		return err
	}
	for number := range engines.events {
		if err := engines.work(ctx, 100*time.Millisecond); err != nil {
			return err
		}
		if err := engines.checkMemory(endpointRequest.Helpers); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: x\n\n", number+1); err != nil {
			return err
		}
	}
	return nil
}

func (engines *pausingEngines) checkMemory(helpers []Helper) error {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	for _, helper := range helpers {
		if helper.Ticket == "" {
			continue
		}
		// Each engine's address ends with its number.
		id := dogwoodfleet.EndpointID(rune('a' + int(helper.Address.Addr().As4()[3]) - 1))
		if !time.Now().Before(engines.leases[string(id)+"/"+helper.Ticket]) {
			return fmt.Errorf("the memory at %s has expired", id)
		}
	}
	return nil
}

func (engines *pausingEngines) Reserve(ctx context.Context, endpoint dogwoodfleet.Endpoint, ticket string, tokens int, lease time.Duration) error {
	if err := engines.work(ctx, 0); err != nil {
		return err
	}
	return engines.fakeEndpoints.Reserve(ctx, endpoint, ticket, tokens, lease)
}

func (engines *pausingEngines) Check(ctx context.Context, _ dogwoodfleet.Endpoint) error {
	return engines.work(ctx, 0)
}

func (engines *pausingEngines) MemoryUsed(ctx context.Context, _ dogwoodfleet.Endpoint, _ string) (bool, error) {
	return true, engines.work(ctx, 0)
}

// Guards against joint prompts that are refused, cut or sent twice because all engines pause: while orders for memory and
// questions get no answer, the daemon must neither give up engines nor let the memory that they use expire.
func TestPauseOfAllEnginesEndsNoJointPrompt(t *testing.T) {
	const offsets, offsetStep = 30, 100 * time.Millisecond
	resumable := promptOn(dogwoodroute.Stream)
	once := func() *Request {
		request := resumable()
		request.Route.Resumable = false
		return request
	}
	tests := []struct {
		name    string
		request func() *Request
		engines int
		prefill time.Duration
		events  int
	}{
		{"resumable, prefills for long", resumable, 8, 3 * time.Second, 5},
		{"resumable, decodes for long", resumable, 8, time.Second, 60},
		{"may run once, prefills for long", once, 8, 3 * time.Second, 5},
		{"may run once, decodes for long", once, 8, time.Second, 60},
		{"may run once, needs all engines", once, 2, 3 * time.Second, 60},
		{"may run once, prefills for longer than memory may stay unused", once, 8, 10 * time.Second, 5},
	}
	for _, test := range tests {
		for offset := range offsets {
			t.Run(fmt.Sprintf("%s, %s before a pause", test.name, time.Duration(offset)*offsetStep), func(t *testing.T) {
				slow := *testEngine
				slow.TokensPerSecond = 20_000
				runRelayTest(t, &slow, nil, func(t *testing.T, fixture *fixture) {
					fixture.setEndpoints(test.engines, &slow)
					engines := &pausingEngines{
						fakeEndpoints: fixture.endpoints, firstPause: time.Now().Add(time.Duration(offset)*offsetStep - enginePause),
						prefill: test.prefill, events: test.events,
					}
					fixture.relay.options.Endpoints = engines
					fixture.relay.options.UnusedMemoryTimeout = always(9 * time.Second)
					request := test.request()
					request.Prompt, request.Route.Aim, request.Route.Attempts = 150_000, 10*time.Second, 3
					request.Deadline = time.Now().Add(40 * time.Second)
					err := fixture.relay.Serve(t.Context(), request, fixture.answer)
					want := ""
					for number := range test.events {
						want += fmt.Sprintf("id: %d\ndata: x\n\n", number+1)
					}
					if got := fixture.answer.body.String(); err != nil || got != want {
						t.Errorf("got %v and %d of %d bytes, want the whole answer", err, len(got), len(want))
					}
					if got := len(engines.sends); !request.Repeatable() && got != 1 {
						t.Errorf("got %d runs, want 1", got)
					}
					synctest.Wait()
				})
			})
		}
	}
}
