package dogwoodrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodbuffer"
	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/decision/dogwoodsuspect"
	"dogwoodmux.example/core/dogwoodkernel"
)

// pausedCaller reads nothing until it is told to, as a caller with a full receive buffer does.
type pausedCaller struct {
	recorder
	// reads is closed once the caller reads; aborted once the daemon has aborted the answer.
	reads, aborted chan struct{}
	once           sync.Once
	// panics is true if a write panics.
	panics bool
}

func newPausedCaller() *pausedCaller {
	return &pausedCaller{reads: make(chan struct{}), aborted: make(chan struct{})}
}

func (caller *pausedCaller) Write(data []byte) error {
	if caller.panics {
		panic("odd answer")
	}
	select {
	case <-caller.reads:
		return caller.recorder.Write(data)
	case <-caller.aborted:
		return errors.New("aborted")
	}
}

func (caller *pausedCaller) Abort() { caller.once.Do(func() { close(caller.aborted) }) }

// served is a request that is being served.
type served struct {
	group sync.WaitGroup
	err   error
	// after is when Serve returned, counted from its call.
	after time.Duration
}

func (fixture *fixture) serve(ctx context.Context, request *Request, answer Answer) *served {
	served := &served{}
	start := time.Now()
	served.group.Go(func() {
		served.err = fixture.relay.Serve(ctx, request, answer)
		served.after = time.Since(start)
	})
	return served
}

func (served *served) wait() error {
	served.group.Wait()
	return served.err
}

// setBounds sets the bounds of an idle relay.
func (fixture *fixture) setBounds(bounds dogwoodbuffer.Bounds) {
	fixture.relay.options.Buffers.SetBounds(bounds)
}

// held returns the bytes that are held for answers.
func (fixture *fixture) held() int64 {
	held, _ := fixture.relay.options.Buffers.Held()
	return held
}

// endless answers with events until its context ends.
func endless(pause time.Duration) step {
	return func(ctx context.Context) (*Response, error) {
		reader, writer := io.Pipe()
		var group sync.WaitGroup
		context.AfterFunc(ctx, func() { _ = reader.CloseWithError(ctx.Err()) })
		group.Go(func() {
			for id := 1; ; id++ {
				if _, err := io.WriteString(writer, fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", 1000))); err != nil {
					return
				}
				if !dogwoodkernel.Sleep(ctx, pause) {
					return
				}
			}
		})
		return &Response{Status: http.StatusOK, Header: http.Header{}, Body: reader, Genuine: true}, nil
	}
}

// Guards against an endpoint's slot that stays taken, and an answer that the endpoint cuts off, while the caller does not read.
func TestCallerThatReadsNothingHoldsNoSlot(t *testing.T) {
	tests := []struct {
		name    string
		request func() *Request
		answer  string
	}{
		{"a stream", streamRequest, eventsUpTo(10_000)},
		{"a plain answer", func() *Request { return plainRequest(dogwoodroute.Once) }, strings.Repeat("x", 400_000)},
		{"an empty stream", streamRequest, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, testEngine, []step{responds(200, test.answer)}, func(t *testing.T, fixture *fixture) {
				caller, request := newPausedCaller(), test.request()
				var bodySent atomic.Bool
				request.BodySent = func() { bodySent.Store(true) }
				served := fixture.serve(t.Context(), request, caller)
				synctest.Wait()
				if !bodySent.Load() {
					t.Error("got the body still held, want it released with the last try")
				}
				fixture.takeSlots(t, 3*testEngine.Slots)
				time.Sleep(time.Until(request.Deadline) + time.Second) // an answer that is ready is delivered also when late
				close(caller.reads)
				if err := served.wait(); err != nil || caller.body.String() != test.answer {
					t.Errorf("got %v and %d bytes, want all %d", err, caller.body.Len(), len(test.answer))
				}
				if got := fixture.held(); got != 0 {
					t.Errorf("got %d bytes still held, want none", got)
				}
			})
		})
	}
}

// Guards against an answer that grows without a bound while its caller does not read, and against the cut of one whose caller
// only pauses.
func TestAnswerAtItsBoundIsCutUnlessTheCallerReads(t *testing.T) {
	large := eventsUpTo(10_000)
	tests := []struct {
		name     string
		request  func() *Request
		answer   string
		pause    time.Duration
		complete bool
	}{
		{"a stream, and a caller that reads nothing", streamRequest, large, time.Hour, false},
		{"a stream, and a caller that pauses", streamRequest, large, maxStall - time.Millisecond, true},
		{"a large plain answer, and a caller that reads nothing", func() *Request { return plainRequest(dogwoodroute.Once) }, strings.Repeat("x", 3*maxHeldBytes), time.Hour, false},
		{"a large plain answer, and a caller that pauses", func() *Request { return plainRequest(dogwoodroute.Once) }, strings.Repeat("x", 3*maxHeldBytes), maxStall - time.Millisecond, true},
		{"an event above the bound", streamRequest, eventsUpTo(3) + "id: 4\ndata: " + strings.Repeat("x", 100_000) + "\n\n", time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, testEngine, []step{responds(200, test.answer)}, func(t *testing.T, fixture *fixture) {
				log := &lockedBuffer{}
				fixture.relay.options.Logger = hclog.New(&hclog.LoggerOptions{Output: log})
				fixture.setBounds(dogwoodbuffer.Bounds{Daemon: 4 << 20, Answer: 64 << 10})
				caller := newPausedCaller()
				served := fixture.serve(t.Context(), test.request(), caller)
				time.AfterFunc(test.pause, func() { close(caller.reads) })
				err := served.wait()
				if test.complete {
					if err != nil || caller.body.String() != test.answer {
						t.Errorf("got %v and %d bytes, want all %d", err, caller.body.Len(), len(test.answer))
					}
					return
				}
				if !errors.Is(err, ErrCut) || served.after != maxStall || caller.body.Len() != 0 {
					t.Errorf("got %v after %s, want ErrCut after %s", err, served.after, maxStall)
				}
				lines := strings.Count(log.String(), "An answer was cut")
				if !strings.Contains(log.String(), "request=r1 bytes=") || !strings.Contains(log.String(), "for=1s bound=Answer by=r1") || lines != 1 {
					t.Errorf("got the log %s, want one line for the cut", log.String())
				}
				fixture.takeSlots(t, 3*testEngine.Slots)
				time.Sleep(time.Hour) // the timer of the test
			})
		})
	}
}

// Guards against the cut of an answer at its bound whose caller reads all the time, though slowly.
func TestSteadyCallerIsNotCutAtTheBound(t *testing.T) {
	answer := eventsUpTo(10_000)
	runRelayTest(t, testEngine, []step{responds(200, answer)}, func(t *testing.T, fixture *fixture) {
		fixture.setBounds(dogwoodbuffer.Bounds{Daemon: 4 << 20, Answer: 64 << 10})
		served := fixture.serve(t.Context(), streamRequest(), &slowCaller{recorder: fixture.answer, delay: maxStall * 3 / 5})
		if err := served.wait(); err != nil || fixture.answer.body.String() != answer || served.after < 2*maxStall {
			t.Errorf("got %v and %d bytes after %s, want all %d", err, fixture.answer.body.Len(), served.after, len(answer))
		}
	})
}

// Guards against an event above the bound that waits for a chunk which is kept for later events.
func TestEventAboveTheBoundFollowsOthers(t *testing.T) {
	large := "id: 3\ndata: " + strings.Repeat("x", 100_000) + "\n\n"
	runRelayTest(t, testEngine, []step{pauses(firstEvents, 100*time.Millisecond, large)}, func(t *testing.T, fixture *fixture) {
		fixture.setBounds(dogwoodbuffer.Bounds{Daemon: 4 << 20, Answer: 64 << 10})
		served := fixture.serve(t.Context(), streamRequest(), fixture.answer)
		if err := served.wait(); err != nil || fixture.answer.body.String() != firstEvents+large {
			t.Errorf("got %v and %d bytes, want all %d", err, fixture.answer.body.Len(), len(firstEvents+large))
		}
	})
}

// Guards against bytes that stay counted for a run that has failed while the next one is waited for.
func TestFailedRunReleasesWhatItRead(t *testing.T) {
	script := []step{breaksOff(strings.Repeat("x", 100_000)), fallsSilent("")}
	runRelayTest(t, nil, script, func(t *testing.T, fixture *fixture) {
		served := fixture.serve(t.Context(), plainRequest(dogwoodroute.Idempotent), fixture.answer)
		synctest.Wait()
		if got := fixture.held(); len(fixture.endpoints.sent()) != 2 || got > 1000 {
			t.Errorf("got %d sends and %d bytes held, want two and those of the second alone", len(fixture.endpoints.sent()), got)
		}
		_ = served.wait() // it fails at its time limit
	})
}

// Guards against a slow caller who delays the reading of its answer, or gets its events in another order or in parts.
func TestCallerThatReadsSlowlyGetsTheWholeAnswer(t *testing.T) {
	answer := eventsUpTo(5000)
	runRelayTest(t, testEngine, []step{responds(200, answer)}, func(t *testing.T, fixture *fixture) {
		caller := &wholeEvents{slowCaller: slowCaller{recorder: fixture.answer, delay: 20 * time.Millisecond}}
		served := fixture.serve(t.Context(), streamRequest(), caller)
		synctest.Wait()
		fixture.takeSlots(t, 3*testEngine.Slots)
		if err := served.wait(); err != nil || fixture.answer.body.String() != answer || caller.parts > 0 {
			t.Errorf("got %v, %d bytes and %d parts of events, want all %d and none", err, fixture.answer.body.Len(), caller.parts, len(answer))
		}
	})
}

// wholeEvents counts the writes that don't end with an event.
type wholeEvents struct {
	slowCaller
	parts int
}

func (caller *wholeEvents) Write(data []byte) error {
	if !strings.HasSuffix(string(data), "\n\n") {
		caller.parts++
	}
	return caller.slowCaller.Write(data)
}

// lockedCaller records an answer that is read while it is written.
type lockedCaller struct{ received lockedBuffer }

func (*lockedCaller) Begin(int, http.Header) error { return nil }

func (caller *lockedCaller) Write(data []byte) error {
	_, err := caller.received.Write(data)
	return err
}

// Guards against an event that waits for the next one, or for a timer, before a fast caller gets it.
func TestFastCallerGetsEachEventAtOnce(t *testing.T) {
	const pause = 100 * time.Millisecond
	runRelayTest(t, testEngine, []step{endless(pause)}, func(t *testing.T, fixture *fixture) {
		ctx, leave := context.WithCancel(t.Context())
		caller := &lockedCaller{}
		served := fixture.serve(ctx, streamRequest(), caller)
		for want := 1; want <= 10; want++ {
			synctest.Wait()
			if got := strings.Count(caller.received.String(), "id: "); got != want {
				t.Errorf("got %d events, want %d", got, want)
			}
			time.Sleep(pause)
		}
		leave()
		_ = served.wait() // the caller has left
	})
}

// Guards against the run, the slot and the bytes of a caller that has left while the daemon held a part of its answer, and
// against a handler that waits for the caller's connection until its time limit.
func TestCallerThatLeavesReleasesItsBuffer(t *testing.T) {
	for _, first := range []step{fallsSilent(firstEvents), responds(200, firstEvents), endless(time.Millisecond)} {
		runRelayTest(t, testEngine, []step{first}, func(t *testing.T, fixture *fixture) {
			ctx, leave := context.WithCancel(t.Context())
			served := fixture.serve(ctx, streamRequest(), newPausedCaller())
			time.Sleep(100 * time.Millisecond)
			if fixture.held() == 0 {
				t.Error("got no bytes held before the caller left, want some")
			}
			leave()
			if err := served.wait(); !errors.Is(err, ErrCallerGone) || served.after != 100*time.Millisecond {
				t.Errorf("got %v after %s, want ErrCallerGone at once", err, served.after)
			}
			if got := fixture.held(); got != 0 {
				t.Errorf("got %d bytes still held, want none", got)
			}
			fixture.takeSlots(t, 3*testEngine.Slots)
		})
	}
}

// leavingCaller disconnects once it has received a number of bytes.
type leavingCaller struct {
	recorder
	after int
	leave context.CancelFunc
	// isSeenLate is true if the daemon sees only after the write that the caller has left.
	isSeenLate bool
	left       chan struct{}
	once       sync.Once
}

func (caller *leavingCaller) Write(data []byte) error {
	if isDone(caller.left) {
		return errors.New("reset")
	}
	err := caller.recorder.Write(data)
	if caller.body.Len() >= caller.after {
		caller.leave()
		if !caller.isSeenLate {
			<-caller.left
		}
	}
	return err
}

func (caller *leavingCaller) Abort() { caller.once.Do(func() { close(caller.left) }) }

func isDone(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// slowSuspects takes note of the end of a request only once its caller has left.
type slowSuspects struct{ Suspects }

func (slow slowSuspects) Finished(ctx context.Context, subject *dogwoodsuspect.Subject) {
	<-ctx.Done()
	slow.Suspects.Finished(ctx, subject)
}

// Guards against an answer that is counted and logged as not delivered since its caller, which has all of it, closes the
// connection before the daemon has ended the request, and against one that is counted as delivered without its last part.
func TestCallerThatLeavesWithTheWholeAnswerIsAnswered(t *testing.T) {
	const large = 2 * maxWriteBytes
	tests := []struct {
		name       string
		bytes      int
		after      int
		isSeenLate bool
		want       error
	}{
		{"after the write", 10, 10, true, nil},
		{"during the write", 10, 10, false, nil},
		{"during the last of several writes", large, large, false, nil},
		{"before the last write", large, maxWriteBytes, false, ErrCallerGone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, testEngine, []step{responds(200, strings.Repeat("x", test.bytes))}, func(t *testing.T, fixture *fixture) {
				fixture.relay.options.Suspects = slowSuspects{fixture.suspects}
				ctx, leave := context.WithCancel(t.Context())
				caller := &leavingCaller{after: test.after, leave: leave, isSeenLate: test.isSeenLate, left: make(chan struct{})}
				if err := fixture.relay.Serve(ctx, plainRequest(dogwoodroute.Once), caller); !errors.Is(err, test.want) {
					t.Errorf("got %v, want %v", err, test.want)
				}
				if got := fixture.held(); got != 0 {
					t.Errorf("got %d bytes still held, want none", got)
				}
			})
		})
	}
}

// failingCaller fails at a write.
type failingCaller struct{ recorder }

func (*failingCaller) Write([]byte) error { return errors.New("reset") }

// Guards against a run that goes on after its caller's connection has failed, while its endpoint sends no event.
func TestFailedWriteEndsTheRun(t *testing.T) {
	runRelayTest(t, testEngine, []step{fallsSilent(firstEvents)}, func(t *testing.T, fixture *fixture) {
		served := fixture.serve(t.Context(), streamRequest(), &failingCaller{})
		if err := served.wait(); !errors.Is(err, ErrCallerGone) || served.after != 0 {
			t.Errorf("got %v after %s, want ErrCallerGone at once", err, served.after)
		}
		fixture.takeSlots(t, 3*testEngine.Slots)
	})
}

// Guards against a gap or a repeat in a stream that resumes at another endpoint while its caller has not read the events of
// the first one.
func TestStreamResumesWhileTheCallerIsBehind(t *testing.T) {
	script := []step{breaksOff(firstEvents + "id: 3\nda"), responds(200, "id: 2\ndata: b\n\n"+lastEvents)}
	runRelayTest(t, testEngine, script, func(t *testing.T, fixture *fixture) {
		caller := newPausedCaller()
		served := fixture.serve(t.Context(), streamRequest(), caller)
		synctest.Wait()
		fixture.endpoints.mutex.Lock()
		sends := slices.Clone(fixture.endpoints.sends)
		fixture.endpoints.mutex.Unlock()
		if len(sends) != 2 || sends[1].lastEvent != "2" {
			t.Errorf("got sends %v, want a second one after event 2 before the caller reads", sends)
		}
		close(caller.reads)
		if got, err := caller, served.wait(); err != nil || got.body.String() != firstEvents+lastEvents || got.header.Get("X-From") != "first" {
			t.Errorf("got %v, %q and headers of %q, want the whole answer with the first engine's", err, got.body.String(), got.header.Get("X-From"))
		}
	})
}

// Guards against a stream that can't be completed and looks complete to a caller that was behind, or that loses the events
// that came before the break.
func TestCutStreamIsDeliveredUpToItsCut(t *testing.T) {
	runRelayTest(t, testEngine, []step{breaksOff(firstEvents)}, func(t *testing.T, fixture *fixture) {
		caller := newPausedCaller()
		served := fixture.serve(t.Context(), streamRequest(), caller)
		time.AfterFunc(5*time.Second, func() { close(caller.reads) })
		if err := served.wait(); !errors.Is(err, ErrCut) || caller.body.String() != firstEvents {
			t.Errorf("got %v and %q, want ErrCut after the first events", err, caller.body.String())
		}
	})
}

// Guards against a daemon that ends, and a slot that stays taken, because writing to one caller panics.
func TestPanicOfTheWriterCutsTheAnswer(t *testing.T) {
	runRelayTest(t, testEngine, []step{fallsSilent(firstEvents)}, func(t *testing.T, fixture *fixture) {
		caller := newPausedCaller()
		caller.panics = true
		served := fixture.serve(t.Context(), streamRequest(), caller)
		if err := served.wait(); !errors.Is(err, ErrCut) || errors.Is(err, ErrCallerGone) || served.after != 0 {
			t.Errorf("got %v after %s, want ErrCut at once", err, served.after)
		}
		if got := fixture.held(); got != 0 {
			t.Errorf("got %d bytes still held, want none", got)
		}
		fixture.takeSlots(t, 3*testEngine.Slots)
	})
}

// Guards against a daemon that is killed for its memory, since many callers stop reading at once, and against the cut of those
// that read.
func TestManySlowCallersStayWithinTheDaemonsBound(t *testing.T) {
	const callers, fast = 1000, 100
	answer := eventsUpTo(500)
	engine := *testEngine
	engine.Slots = callers
	runRelayTest(t, &engine, []step{responds(200, answer)}, func(t *testing.T, fixture *fixture) {
		fixture.setEndpoints(1, &engine)
		fixture.relay.options.Endpoints = &checkingEndpoints{fakeEndpoints: fixture.endpoints, check: func() {
			if got, most := fixture.held(), int64(3<<20); got > most {
				t.Errorf("got %d bytes held, want at most %d", got, most)
			}
		}}
		fixture.setBounds(dogwoodbuffer.Bounds{Daemon: 4 << 20, Answer: 256 << 10})
		var slow, quick []*served
		var paused []*pausedCaller
		for i := range callers {
			request := plainRequest(dogwoodroute.Once)
			request.ID = fmt.Sprint("r", i)
			caller := newPausedCaller()
			if i%(callers/fast) == 0 {
				close(caller.reads)
				quick = append(quick, fixture.serve(t.Context(), request, caller))
			} else {
				slow, paused = append(slow, fixture.serve(t.Context(), request, caller)), append(paused, caller)
			}
			synctest.Wait()
		}
		if got, most := fixture.held(), int64(3<<20); got > most || got < most/2 {
			t.Errorf("got %d bytes held, want up to %d", got, most)
		}
		for i, caller := range paused {
			select {
			case <-caller.aborted:
				if err := slow[i].wait(); !errors.Is(err, ErrCut) {
					t.Errorf("got %v for a caller that was cut, want ErrCut", err)
				}
			default:
				close(caller.reads)
				if err := slow[i].wait(); err != nil || caller.body.String() != answer {
					t.Errorf("got %v and %d bytes for a caller that was kept, want all", err, caller.body.Len())
				}
			}
		}
		for _, served := range quick {
			if err := served.wait(); err != nil {
				t.Errorf("got %v for a caller that reads, want its answer", err)
			}
		}
		if got := fixture.held(); got != 0 {
			t.Errorf("got %d bytes still held, want none", got)
		}
	})
}

// checkingEndpoints calls a function before each send.
type checkingEndpoints struct {
	*fakeEndpoints
	check func()
}

func (checking *checkingEndpoints) Send(ctx context.Context, endpointRequest *EndpointRequest) (*Response, error) {
	checking.check()
	return checking.fakeEndpoints.Send(ctx, endpointRequest)
}

// Guards against a daemon that does not stop in its grace period, since it waits for callers that read nothing.
func TestStoppedDaemonDropsItsBuffers(t *testing.T) {
	runRelayTest(t, testEngine, []step{endless(0)}, func(t *testing.T, fixture *fixture) {
		fixture.setBounds(dogwoodbuffer.Bounds{Daemon: 4 << 20, Answer: 64 << 10})
		ctx, stop := context.WithCancel(t.Context())
		var all []*served
		for i := range 8 {
			request := streamRequest()
			request.ID = fmt.Sprint("r", i)
			all = append(all, fixture.serve(ctx, request, newPausedCaller()))
		}
		synctest.Wait() // all buffers are full, and no time has passed
		if got := fixture.held(); got < 8*(60<<10) {
			t.Errorf("got %d bytes held, want full buffers", got)
		}
		stop()
		for _, served := range all {
			if err := served.wait(); !errors.Is(err, ErrCallerGone) || served.after != 0 {
				t.Errorf("got %v after %s, want ErrCallerGone at once", err, served.after)
			}
		}
		if got := fixture.held(); got != 0 {
			t.Errorf("got %d bytes still held, want none", got)
		}
		fixture.takeSlots(t, 3*testEngine.Slots)
	})
}

// allowOneRequest makes the request r1 the only one that may be in progress. It returns the budget and the relay's log from now on.
func (fixture *fixture) allowOneRequest(t *testing.T) (*dogwoodbuffer.Budget, *lockedBuffer) {
	t.Helper()
	log := &lockedBuffer{}
	fixture.relay.options.Logger = hclog.New(&hclog.LoggerOptions{Output: log})
	fixture.setBounds(dogwoodbuffer.Bounds{Daemon: 32 << 20, Answer: 2 << 20, Requests: 1})
	if err := fixture.relay.options.Buffers.BeginRequest("r1"); err != nil {
		t.Fatal(err)
	}
	return fixture.relay.options.Buffers, log
}

// Guards against the cut of a stream whose caller takes each byte, for a request that the daemon could refuse before it runs.
func TestCallersThatReadAreNotCutForRequests(t *testing.T) {
	const observed, answerTime = 20 * time.Second, 10 * time.Second
	largeEvents := func() step {
		large := "id: %d\ndata: " + strings.Repeat("x", 10*maxWriteBytes) + "\n\n"
		return pauses(fmt.Sprintf(large, 1), answerTime/2, fmt.Sprintf(large, 2))
	}
	plain := func() *Request { return plainRequest(dogwoodroute.Once) }
	tests := []struct {
		name    string
		request func() *Request
		answer  step
		// delay is how long the caller takes for each write.
		delay time.Duration
	}{
		{"events one at a time", streamRequest, endless(200 * time.Millisecond), 0},
		{"events further apart than a caller may be behind", streamRequest, endless(maxStall * 6 / 5), 0},
		{"a queue that is never empty", streamRequest, endless(time.Millisecond), 3 * time.Millisecond},
		{"large events in many parts", streamRequest, largeEvents(), maxStall / 5},
		{"a large stream over a slow link", streamRequest, responds(200, eventsUpTo(60_000)), maxStall / 10},
		{"a whole answer in many parts", plain, responds(200, strings.Repeat("x", maxHeldBytes)), maxStall * 4 / 5},
		{"a large plain answer in many parts", plain, responds(200, strings.Repeat("x", 3*maxHeldBytes)), maxStall / 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, testEngine, []step{test.answer}, func(t *testing.T, fixture *fixture) {
				budget, log := fixture.allowOneRequest(t)
				ctx, leave := context.WithCancel(t.Context())
				request := test.request()
				request.Deadline = time.Now().Add(2 * observed)
				served := fixture.serve(ctx, request, &slowCaller{recorder: fixture.answer, delay: test.delay})
				for began := time.Now(); time.Since(began) < observed; time.Sleep(maxStall / 50) {
					if err := budget.BeginRequest("r2"); !errors.Is(err, dogwoodbuffer.ErrDaemonBound) {
						t.Errorf("got %v after %s, want the new request refused; the log is %s", err, time.Since(began), log)
						break
					}
				}
				leave()
				if err := served.wait(); err != nil && !errors.Is(err, ErrCallerGone) || strings.Contains(log.String(), "was cut") {
					t.Errorf("got %v and the log %s, want no cut", err, log)
				}
			})
		})
	}
}

// Guards against callers that stop reading, or read little, and keep the places of new requests, and against a line that does not
// say what decided the cut.
func TestCallersThatDoNotReadAreCutForRequests(t *testing.T) {
	tests := []struct {
		name  string
		delay time.Duration
		// after is how long the answer has been written when it is cut first.
		after time.Duration
		want  string
	}{
		{"reads nothing", time.Hour, maxStall, "untaken=145180 for=1s bound=Requests by=r2"},
		{"reads less than the least", maxStall * 9 / 10, 0, "bound=Requests by=r2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, testEngine, []step{endless(7 * time.Millisecond)}, func(t *testing.T, fixture *fixture) {
				budget, log := fixture.allowOneRequest(t)
				served := fixture.serve(t.Context(), streamRequest(), &slowCaller{recorder: fixture.answer, delay: test.delay})
				began := time.Now()
				for budget.BeginRequest("r2") != nil {
					time.Sleep(time.Millisecond)
					if time.Since(began) > 2*maxStall {
						t.Fatal("got the place kept, want the answer cut")
					}
				}
				if after := time.Since(began); test.after > 0 && after != test.after {
					t.Errorf("got the answer cut after %s, want %s", after, test.after)
				}
				if err := served.wait(); !errors.Is(err, ErrCut) {
					t.Errorf("got %v, want ErrCut", err)
				}
				if !strings.Contains(log.String(), "reads too slowly") || !strings.Contains(log.String(), test.want) {
					t.Errorf("got the log %s, want %s", log, test.want)
				}
				time.Sleep(2 * test.delay) // until the last write of the test has returned
			})
		})
	}
}
