package dogwooddispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodretry"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

var errTest = errors.New("test error")

// fakes implements the dispatcher's dependencies. It records calls in order and ends each send
// with the next error of the script.
type fakes struct {
	log     []string
	script  []error
	claim   Claim
	takeErr error
	// refuse is the reply to acquire requests from try number refuseFrom on.
	refuse     *dogwoodowner.Refusal
	refuseFrom int
	down       bool
}

func (fakes *fakes) record(format string, arguments ...any) {
	fakes.log = append(fakes.log, fmt.Sprintf(format, arguments...))
}

func (fakes *fakes) Acquire(_ context.Context, acquireRequest *dogwoodowner.AcquireRequest) (dogwoodowner.Grant, error) {
	if fakes.refuse != nil && acquireRequest.Try >= fakes.refuseFrom {
		return dogwoodowner.Grant{}, fakes.refuse
	}
	id := dogwoodfleet.EndpointID(fmt.Sprintf("e%d", len(acquireRequest.Avoid)))
	return dogwoodowner.Grant{Endpoint: dogwoodfleet.Endpoint{ID: id}}, nil
}

func (fakes *fakes) Release(_ context.Context, grant dogwoodowner.Grant, release dogwoodowner.Release) {
	fakes.record("release %s %s", grant.Endpoint.ID, release.Result)
}

func (fakes *fakes) ToldCold(context.Context, dogwoodfleet.Endpoint, dogwoodfleet.InstanceID) {}

func (fakes *fakes) Began(dogwoodowner.Grant, time.Time) {}

func (fakes *fakes) Do(ctx context.Context, endpoint dogwoodfleet.Endpoint, _ ServiceRequest) (*ServiceAnswer, error) {
	fakes.record("send %s", endpoint.ID)
	var err error
	if len(fakes.script) > 0 {
		err, fakes.script = fakes.script[0], fakes.script[1:]
	}
	if errors.Is(err, context.DeadlineExceeded) {
		<-ctx.Done()
		return nil, &Broken{Cause: ctx.Err()}
	}
	if err != nil {
		return nil, err
	}
	return &ServiceAnswer{Status: http.StatusCreated, Body: io.NopCloser(strings.NewReader("held"))}, nil
}

func (fakes *fakes) Take(context.Context, ClaimKey, dogwoodfleet.Digest, string) (Claim, error) {
	fakes.record("take")
	return fakes.claim, fakes.takeErr
}

func (fakes *fakes) Finish(_ context.Context, _ ClaimKey, _ string, answer *WholeAnswer) error {
	fakes.record("finish %s", answer.Body)
	return nil
}

func (fakes *fakes) Free(ctx context.Context, _ ClaimKey, _ string) error {
	fakes.record("free %v", ctx.Err())
	return nil
}

func (fakes *fakes) dispatcher() *Dispatcher {
	text := &dogwoodsettings.Text{Services: []dogwoodsettings.Service{
		{Name: "desk", DependsOn: []dogwoodfleet.Service{"other"}}, {Name: "other"},
	}}
	dispatcher := New(Options{
		Text:  func() *dogwoodsettings.Text { return text },
		Slots: fakes, Services: fakes, Claims: fakes, Logger: hclog.NewNullLogger(),
		Down: func(dogwoodfleet.Service) bool { return fakes.down },
	})
	dispatcher.retryBudget = dogwoodretry.NewBudget(time.Now().Add(-time.Hour)) // the daemon has run for long
	return dispatcher
}

// Checks, for each outcome of a plain call, the steps in order and the result for the caller.
// The result may say "not run" only if no send of the call can have begun at an endpoint.
func TestOutcomesOfPlainCalls(t *testing.T) {
	unsent, broken := &NotStarted{Cause: errTest}, &Broken{Cause: errTest}
	tests := []struct {
		name       string
		repeatable bool
		noKey      bool
		fakes      fakes
		wantLog    []string
		wantReason dogwoodfleet.Reason // empty: answered
		wantRun    dogwoodfleet.RunState
	}{
		{
			name:    "a hold is claimed, sent and stored",
			fakes:   fakes{claim: Claim{State: ClaimFresh}},
			wantLog: []string{"take", "send e0", "release e0 Done", "finish held"},
		},
		{
			name: "a hold without a key", noKey: true,
			wantReason: dogwoodfleet.ReasonKeyMissing, wantRun: dogwoodfleet.NotRun,
		},
		{
			name:       "a hold whose claim fails is not sent",
			fakes:      fakes{takeErr: errTest},
			wantLog:    []string{"take"},
			wantReason: dogwoodfleet.ReasonStore, wantRun: dogwoodfleet.NotRun,
		},
		{
			name:    "a hold that was not sent goes to another endpoint under its claim",
			fakes:   fakes{claim: Claim{State: ClaimFresh}, script: []error{unsent}},
			wantLog: []string{"take", "send e0", "release e0 Refused", "send e1", "release e1 Done", "finish held"},
		},
		{
			name:       "a hold whose connection broke is neither sent again nor freed",
			fakes:      fakes{claim: Claim{State: ClaimFresh}, script: []error{broken}},
			wantLog:    []string{"take", "send e0", "release e0 Died"},
			wantReason: dogwoodfleet.ReasonEndpointDied, wantRun: dogwoodfleet.RunUnknown,
		},
		{
			name:       "a hold that was refused a slot is freed",
			fakes:      fakes{claim: Claim{State: ClaimFresh}, refuse: &dogwoodowner.Refusal{Reason: dogwoodfleet.ReasonShare, NotRun: true}},
			wantLog:    []string{"take", "free <nil>"},
			wantReason: dogwoodfleet.ReasonShare, wantRun: dogwoodfleet.NotRun,
		},
		{
			name:       "a hold whose deadline passes may have run",
			fakes:      fakes{claim: Claim{State: ClaimFresh}, script: []error{context.DeadlineExceeded}},
			wantLog:    []string{"take", "send e0", "release e0 TimedOut"},
			wantReason: dogwoodfleet.ReasonDeadline, wantRun: dogwoodfleet.RunUnknown,
		},
		{
			name:    "a hold that was answered before gets the stored answer",
			fakes:   fakes{claim: Claim{State: ClaimAnswered, Answer: &WholeAnswer{Body: []byte("held")}}},
			wantLog: []string{"take"},
		},
		{
			name:       "a hold that is running",
			fakes:      fakes{claim: Claim{State: ClaimRunning}},
			wantLog:    []string{"take"},
			wantReason: dogwoodfleet.ReasonRunning, wantRun: dogwoodfleet.RunUnknown,
		},
		{
			name:       "a hold whose holder died",
			fakes:      fakes{claim: Claim{State: ClaimUnknown}},
			wantLog:    []string{"take"},
			wantReason: dogwoodfleet.ReasonOutcome, wantRun: dogwoodfleet.RunUnknown,
		},
		{
			name: "a lookup whose connection broke is sent to another endpoint", repeatable: true,
			fakes:   fakes{script: []error{broken}},
			wantLog: []string{"send e0", "release e0 Died", "send e1", "release e1 Done"},
		},
		{
			name: "a lookup whose connection broke may have run although its second try is refused", repeatable: true,
			fakes: fakes{
				script: []error{broken}, refuseFrom: 2,
				refuse: &dogwoodowner.Refusal{Reason: dogwoodfleet.ReasonShare, NotRun: true},
			},
			wantLog:    []string{"send e0", "release e0 Died"},
			wantReason: dogwoodfleet.ReasonShare, wantRun: dogwoodfleet.RunUnknown,
		},
		{
			name: "a dependency that is down", repeatable: true,
			fakes:      fakes{down: true},
			wantReason: dogwoodfleet.ReasonDependency, wantRun: dogwoodfleet.NotRun,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				call := &Call{Key: "hold-1", Request: dogwoodfleet.Request{
					Service: "desk", Customer: "customer", Deadline: time.Now().Add(5 * time.Second), Repeatable: test.repeatable,
				}}
				if test.noKey {
					call.Key = ""
				}
				ctx, cancel := context.WithDeadline(t.Context(), call.Request.Deadline)
				defer cancel()
				answer, err := test.fakes.dispatcher().Service(ctx, call)
				if !slices.Equal(test.fakes.log, test.wantLog) {
					t.Errorf("got %q, want %q", test.fakes.log, test.wantLog)
				}
				checkOutcome(t, answer, err, test.wantReason, test.wantRun)
			})
		})
	}
}

func checkOutcome(t *testing.T, answer *WholeAnswer, err error, wantReason dogwoodfleet.Reason, wantRun dogwoodfleet.RunState) {
	t.Helper()
	if wantReason == "" {
		if err != nil || string(answer.Body) != "held" {
			t.Errorf("got %v %v, want the answer", answer, err)
		}
		return
	}
	var failure *Failure
	if !errors.As(err, &failure) || failure.Reason != wantReason || failure.Run != wantRun {
		t.Errorf("got %v, want %s (%s)", err, wantReason, wantRun)
	}
}

// A caller keeps sending lookups during an outage in which every connection is refused.
// Retries must stay a small share of first tries, as they would otherwise prolong the outage.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakes := &fakes{}
		const calls = 400
		for range 4 * calls {
			fakes.script = append(fakes.script, &NotStarted{Cause: errTest})
		}
		dispatcher := fakes.dispatcher()
		for range calls {
			call := &Call{Request: dogwoodfleet.Request{Service: "desk", Deadline: time.Now().Add(5 * time.Second), Repeatable: true}}
			_, _ = dispatcher.Service(t.Context(), call)
		}
		sends := 0
		for _, line := range fakes.log {
			if strings.HasPrefix(line, "send") {
				sends++
			}
		}
		if maxSends := calls + calls/10 + 10; sends > maxSends {
			t.Errorf("got %d sends for %d calls, want at most %d", sends, calls, maxSends)
		}
	})
}

// Without owners, each daemon grants its share of an endpoint's limit. The shares must add up
// to exactly the limit for any number of daemons.
func TestFallbackSharesAddUpToTheLimit(t *testing.T) {
	for _, limit := range []int{1, 3, 16, 32} {
		for daemons := 1; daemons <= 25; daemons++ {
			sum := 0
			for rank := range daemons {
				sum += limitShare(limit, daemons, rank, "engine-1")
			}
			if sum != limit {
				t.Errorf("%d daemons: got %d slots, want %d", daemons, sum, limit)
			}
		}
	}
}

// Guards against a refusal that says that the caller has left if the deadline has passed, and the timer of the context has not
// fired yet.
func TestPassedDeadlineIsNoCallerThatLeft(t *testing.T) {
	tests := []struct {
		name string
		// left is true if the caller has left, expired if the context's timer has fired.
		left, expired bool
		remaining     time.Duration
		want          dogwoodfleet.Reason
	}{
		{"the deadline has passed", false, false, 0, dogwoodfleet.ReasonDeadline},
		{"the deadline has passed, and the timer has fired", false, true, 0, dogwoodfleet.ReasonDeadline},
		{"the caller has left", true, false, time.Minute, dogwoodfleet.ReasonCancelled},
		{"the caller has left, and the deadline has passed", true, false, 0, dogwoodfleet.ReasonCancelled},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			if test.left {
				leave()
			}
			deadline := time.Now().Add(test.remaining)
			if test.expired {
				var cancel context.CancelFunc
				ctx, cancel = context.WithDeadline(ctx, deadline)
				defer cancel()
			}
			_, err := (&fakes{}).dispatcher().acquire(ctx, &dogwoodfleet.Request{Service: "desk", Deadline: deadline}, nil, 1)
			var got *dogwoodowner.Refusal
			if !errors.As(err, &got) || got.Reason != test.want || !got.NotRun {
				t.Errorf("got %v, want %s, not run", err, test.want)
			}
		})
	}
}
