package dogwoodrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/decision/dogwoodretry"
	"dogwoodmux.example/core/decision/dogwoodroute"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
)

// The ways in which an endpoint of a random play ends a request.
const (
	sound = iota
	breaksAt
	dark
	declines
	unsent
	failsAt
	rejects
	closes
)

const (
	playedEvents = 6
	rejected     = "rejected"
	failed       = "failed"
)

// play is what an endpoint does with one request.
type play struct {
	kind  int
	begun time.Time
	// opens is the time until it answers, pauses those before its events.
	opens  time.Duration
	pauses [playedEvents]time.Duration
	// at is the event before which it breaks off or goes dark.
	at int
	// wrote is true once a part of an answer was written.
	wrote bool
	// ended is true once the endpoint has ended, left tells whether its caller has left.
	ended bool
	left  func() bool
}

func randomPlay(random *rand.Rand) *play {
	kinds := []int{sound, sound, sound, breaksAt, breaksAt, breaksAt, dark, dark, declines, unsent, failsAt, rejects, closes}
	made := &play{kind: kinds[random.IntN(len(kinds))], opens: randomPause(random), at: random.IntN(playedEvents)}
	for i := range made.pauses {
		made.pauses[i] = randomPause(random)
	}
	return made
}

// randomPause is short in most cases. Its steps let events of two endpoints come at the same moment.
func randomPause(random *rand.Rand) time.Duration {
	const step = 100 * time.Millisecond
	if random.IntN(5) == 0 {
		return time.Duration(random.IntN(60)) * step
	}
	return time.Duration(random.IntN(2)) * step
}

// takes is how long a sound endpoint takes for the whole answer.
func (play *play) takes() time.Duration {
	whole := play.opens
	for _, pause := range play.pauses {
		whole += pause
	}
	return whole
}

// playedEndpoints draws a play for each request from its seed.
type playedEndpoints struct {
	*fakeEndpoints
	seed uint64

	mutex sync.Mutex
	plays []*play
	// ran counts the requests that may have run, arrived those that reached an endpoint.
	ran, arrived int
	// most is how many were under way at once.
	most int
}

func (played *playedEndpoints) begin(ctx context.Context) *play {
	played.mutex.Lock()
	defer played.mutex.Unlock()
	made := randomPlay(rand.New(rand.NewPCG(played.seed, uint64(len(played.plays)+1))))
	made.begun, made.left = time.Now(), func() bool { return ctx.Err() != nil }
	played.plays = append(played.plays, made)
	if made.kind != unsent {
		played.arrived++
	}
	if made.kind != unsent && made.kind != declines {
		played.ran++
	}
	played.most = max(played.most, len(played.underWay()))
	return made
}

// underWay lists the plays that have not ended and whose callers have not left. The caller holds the mutex.
func (played *playedEndpoints) underWay() []*play {
	return slices.DeleteFunc(slices.Clone(played.plays), func(play *play) bool { return play.ended || play.left() })
}

func (played *playedEndpoints) end(play *play) {
	played.mutex.Lock()
	defer played.mutex.Unlock()
	play.ended = true
}

func (played *playedEndpoints) Send(ctx context.Context, order *Order) (*Response, error) {
	play := played.begin(ctx)
	if play.kind == unsent {
		played.end(play)
		return nil, &NotSent{Cause: errors.New("refused")}
	}
	if !dogwoodkernel.Sleep(ctx, play.opens) {
		played.end(play)
		return nil, &Broken{Cause: ctx.Err()}
	}
	if play.kind == closes {
		played.end(play)
		return nil, &Broken{Cause: io.EOF}
	}
	response := &Response{Status: http.StatusOK, Header: http.Header{}, Genuine: true}
	switch play.kind {
	case declines:
		response.Status, response.NotRun = http.StatusServiceUnavailable, true
	case failsAt:
		response.Status = http.StatusInternalServerError
	case rejects:
		response.Status = http.StatusBadRequest
	}
	reader, writer := io.Pipe()
	response.Body = reader
	var group sync.WaitGroup
	group.Go(func() {
		err := played.write(ctx, play, order, writer)
		played.end(play)
		_ = writer.CloseWithError(err) // it returns no error
	})
	return response, nil
}

// write writes the answer, and returns how it ends.
func (played *playedEndpoints) write(ctx context.Context, play *play, order *Order, writer io.Writer) error {
	if play.kind == failsAt || play.kind == rejects || play.kind == declines {
		_, err := io.WriteString(writer, bodyOf(play.kind))
		return err
	}
	last, _ := strconv.Atoi(order.LastEvent) // none is 0
	for i := last; i < playedEvents; i++ {
		if !dogwoodkernel.Sleep(ctx, play.pauses[i]) {
			return ctx.Err()
		}
		whole := playedEvent(i + 1)
		if i >= play.at && play.kind == dark {
			<-ctx.Done()
			return ctx.Err()
		}
		if i >= play.at && play.kind == breaksAt {
			_, _ = io.WriteString(writer, whole[:len(whole)/2]) // the reader may have left
			return errors.New("reset")
		}
		if _, err := io.WriteString(writer, whole); err != nil {
			return err
		}
		played.mutex.Lock()
		play.wrote = true
		played.mutex.Unlock()
	}
	return nil
}

func bodyOf(kind int) string {
	return map[int]string{failsAt: failed, rejects: rejected}[kind]
}

func playedEvent(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

// eventsUpTo is what a caller has after a number of events.
func eventsUpTo(count int) string {
	var whole strings.Builder
	for id := range count {
		whole.WriteString(playedEvent(id + 1))
	}
	return whole.String()
}

// randomCase is one request of a random play.
type randomCase struct {
	request *Request
	// leaves is when the caller leaves, takes how long it takes each event.
	leaves, takes time.Duration
	stale         time.Duration
	taken         int
	allowance     float64
	unused        time.Duration
}

func newRandomCase(random *rand.Rand) *randomCase {
	made := &randomCase{request: streamRequest(), leaves: time.Hour, stale: time.Hour}
	request, route := made.request, made.request.Route
	switch random.IntN(6) {
	case 0:
		made.request = plainRequest(dogwoodroute.Idempotent)
		request, route = made.request, made.request.Route
	case 1:
		made.request = plainRequest(dogwoodroute.Once)
		request, route = made.request, made.request.Route
	case 2:
		route.Resumable = false
	case 3:
		request.Prompt, route.Aim = 150_000, 10*time.Second
		made.unused = time.Duration(random.IntN(2)) * 9 * time.Second
	}
	route.Attempts = 1 + random.IntN(4)
	request.Deadline = time.Now().Add(time.Second + time.Duration(random.Int64N(int64(15*time.Second))))
	made.allowance = float64(random.IntN(5))
	made.taken = random.IntN(2 * testEngine.Slots)
	switch random.IntN(6) {
	case 0:
		made.leaves = time.Duration(random.Int64N(int64(8 * time.Second)))
	case 1:
		made.takes = time.Duration(random.Int64N(int64(500 * time.Millisecond)))
	case 2:
		made.stale = time.Duration(random.Int64N(int64(4 * time.Second)))
	}
	return made
}

// Guards against a run, a place, memory or a part of an answer that is lost, comes twice or stays when
// endpoints pause, break off, refuse and go dark in any order.
func TestRandomPlays(t *testing.T) {
	const seeds = 2000
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { randomStory(t, seed) })
	}
}

func randomStory(t *testing.T, seed uint64) {
	story(t, testEngine, nil, func(t *testing.T, fixture *fixture) {
		played := &playedEndpoints{fakeEndpoints: fixture.endpoints, seed: seed}
		randomly := newRandomCase(rand.New(rand.NewPCG(seed, 0)))
		options := &fixture.relay.options
		options.Endpoints, options.UnusedMemory = played, randomly.unused
		options.Retries = &dogwoodretry.Shared{Allowance: randomly.allowance, Window: time.Minute}
		fixture.setEndpoints(6, testEngine)
		fixture.take(t, randomly.taken)
		ctx, leave := context.WithCancel(t.Context())
		defer leave()
		defer time.AfterFunc(randomly.leaves, leave).Stop()
		defer time.AfterFunc(randomly.stale, func() { fixture.stale.Store(true) }).Stop()
		caller := &slowCaller{recorder: fixture.answer, takes: randomly.takes}
		err := fixture.relay.Serve(ctx, randomly.request, caller)
		late := time.Since(randomly.request.Arrived)
		fixture.relay.Wait()
		checkEnd(t, randomly, played, fixture.answer, err)
		checkTime(t, randomly, late)
		checkSends(t, randomly, played)
		checkLeft(t, fixture, played)
		if t.Failed() {
			t.Logf("attempts %d, ended with %v after %s", randomly.request.Route.Attempts, err, late)
			for _, play := range played.plays {
				t.Logf("kind %d, begun %s, opens %s, pauses %s, at %d", play.kind, play.begun, play.opens, play.pauses, play.at)
			}
		}
	})
}

// checkEnd tells whether the caller has the whole answer, or was told truly that it has not.
func checkEnd(t *testing.T, randomly *randomCase, played *playedEndpoints, answer *recorder, err error) {
	t.Helper()
	body := answer.body.String()
	switch answer.status {
	case http.StatusInternalServerError, http.StatusBadRequest:
		if err != nil || body != failed && body != rejected {
			t.Errorf("got %d, %q and %v, want an endpoint's own failure", answer.status, body, err)
		}
		return
	}
	if whole := eventsUpTo(playedEvents); !strings.HasPrefix(whole, body) || len(body)%len(playedEvent(1)) != 0 {
		t.Errorf("got %q, want events in order", body)
	} else if (err == nil) != (body == whole) && (err == nil || !errors.Is(err, ErrCallerGone)) {
		t.Errorf("got %v with %q", err, body)
	}
	if err == nil {
		return
	}
	if errors.Is(err, ErrCallerGone) {
		if randomly.leaves == time.Hour {
			t.Errorf("got %v, want that the caller is there", err)
		}
		return
	}
	if got, want := errors.Is(err, ErrCut), answer.status != 0; got != want {
		t.Errorf("got cut %t, want %t", got, want)
	}
	if failure := failureIn(err); failure != nil && failure.Run == dogwoodfleet.NotRun && played.ran > 0 {
		t.Errorf("got %v after %d runs, want no promise", failure, played.ran)
	}
	if played.firstSuffices(randomly) {
		t.Errorf("got %v, want the answer of the first endpoint", err)
	}
}

func failureIn(err error) *Failure {
	var failure *Failure
	_ = errors.As(err, &failure)
	return failure
}

// firstSuffices tells whether the first endpoint had the whole answer in time and no other one wrote.
func (played *playedEndpoints) firstSuffices(randomly *randomCase) bool {
	if len(played.plays) == 0 || randomly.unused > 0 || randomly.takes > 0 {
		return false
	}
	for _, other := range played.plays[1:] {
		if other.wrote {
			return false
		}
	}
	first := played.plays[0]
	return first.kind == sound && first.begun.Add(first.takes()).Before(randomly.request.Deadline)
}

// checkTime tells whether the request ended when its time was over or its caller left.
func checkTime(t *testing.T, randomly *randomCase, late time.Duration) {
	t.Helper()
	limit := randomly.request.Deadline.Sub(randomly.request.Arrived)
	if most := min(limit, randomly.leaves) + playedEvents*randomly.takes; late > most {
		t.Errorf("got the end after %s, want it within %s", late, most)
	}
}

// checkSends tells whether the request was sent as often as it may be.
func checkSends(t *testing.T, randomly *randomCase, played *playedEndpoints) {
	t.Helper()
	request := randomly.request
	most := request.Route.Attempts
	if !request.repeatable() {
		most = 1
	}
	if played.ran > most {
		t.Errorf("got %d runs, want at most %d", played.ran, most)
	}
	if played.most > 2 {
		t.Errorf("got %d runs at once, want at most two", played.most)
	}
	if repeats := played.arrived - 1; float64(repeats) > randomly.allowance {
		t.Errorf("got %d repeats, want at most %g", repeats, randomly.allowance)
	}
}

// checkLeft tells whether anything is left of a request that ended.
func checkLeft(t *testing.T, fixture *fixture, played *playedEndpoints) {
	t.Helper()
	synctest.Wait()
	for _, play := range played.plays {
		if !play.ended {
			t.Errorf("got the run of %s left, want that it has ended", play.begun)
		}
	}
	if got := len(fixture.endpoints.held); got != 0 {
		t.Errorf("got %d reservations left, want none", got)
	}
	for _, work := range fixture.board.Works("") {
		if strings.HasPrefix(string(work.ID), "r1.") {
			t.Errorf("got the place of %s left, want it free", work.ID)
		}
	}
}
