package dogwoodinterleave

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/state/dogwoodclaim"
	"dogwoodmux.example/core/state/dogwoodtable"
	"dogwoodmux.example/dogwoodlocal/dogwoodplatformstandin"
)

// entryDaemon simulates the claims of a daemon, which is alive until its context ends.
type entryDaemon struct {
	name   dogwoodfleet.InstanceID
	claims *dogwoodclaim.Claims
	ctx    context.Context //nolint:containedctx // the lifetime of a simulated process
	kill   context.CancelFunc
}

// plainService simulates the plain service that runs the calls. It counts the runs of each key.
type plainService struct {
	mutex    sync.Mutex
	runs     map[string]int
	answers  map[string][]byte
	freed    map[string]int
	attempts int
}

func (plainService *plainService) run(key string, size int) []byte {
	plainService.mutex.Lock()
	defer plainService.mutex.Unlock()
	plainService.runs[key]++
	answer := append([]byte("hold for "+key+" "), bytes.Repeat([]byte("x"), size)...)
	plainService.answers[key] = answer
	return answer
}

func (plainService *plainService) nextAttempt() string {
	plainService.mutex.Lock()
	defer plainService.mutex.Unlock()
	plainService.attempts++
	return fmt.Sprintf("try-%d", plainService.attempts)
}

type claimScenario struct {
	store   *dogwoodplatformstandin.Store
	random  *lockedRandom
	service *plainService
	group   sync.WaitGroup
	mutex   sync.Mutex
	entries []*entryDaemon
	deaths  int
}

func newClaimScenario(random *rand.Rand) *claimScenario {
	return &claimScenario{
		store:  dogwoodplatformstandin.NewStore(random.Uint64()),
		random: &lockedRandom{random: random},
		service: &plainService{
			runs: map[string]int{}, answers: map[string][]byte{}, freed: map[string]int{},
		},
	}
}

func (scenario *claimScenario) start(t *testing.T) {
	scenario.mutex.Lock()
	defer scenario.mutex.Unlock()
	name := dogwoodfleet.InstanceID(fmt.Sprintf("entry-%d", len(scenario.entries)+1))
	ctx, cancel := context.WithCancel(t.Context())
	claims := dogwoodclaim.New(dogwoodclaim.Options{
		Store: scenario.store, Objects: scenario.store, Self: name, Alive: scenario.alive,
	})
	scenario.entries = append(scenario.entries, &entryDaemon{name: name, claims: claims, ctx: ctx, kill: cancel})
	scenario.group.Go(func() { _ = claims.Run(ctx) })
}

func (scenario *claimScenario) alive(instance dogwoodfleet.InstanceID) bool {
	scenario.mutex.Lock()
	defer scenario.mutex.Unlock()
	for _, entry := range scenario.entries {
		if entry.name == instance {
			return entry.ctx.Err() == nil
		}
	}
	return false
}

func (scenario *claimScenario) pick() *entryDaemon {
	scenario.mutex.Lock()
	defer scenario.mutex.Unlock()
	var living []*entryDaemon
	for _, entry := range scenario.entries {
		if entry.ctx.Err() == nil {
			living = append(living, entry)
		}
	}
	return living[scenario.random.intN(len(living))]
}

func (scenario *claimScenario) kill(victim *entryDaemon) {
	scenario.mutex.Lock()
	defer scenario.mutex.Unlock()
	victim.kill()
	scenario.deaths++
}

// call handles one caller's request at a random entry daemon, which may pause or die between
// the steps. It checks an answer that was stored before.
func (scenario *claimScenario) call(t *testing.T, name string, digest dogwoodfleet.Digest) {
	entry := scenario.pick()
	key := dogwoodclaim.Key{Customer: "kurume", Service: "lot-desk", Key: name}
	attempt := scenario.service.nextAttempt()
	ctx, cancel := context.WithTimeout(entry.ctx, 10*time.Second)
	defer cancel()
	taken, err := entry.claims.Take(ctx, key, digest, attempt)
	if err != nil {
		var unavailable *dogwoodclaim.Unavailable
		if !errors.As(err, &unavailable) {
			t.Errorf("got %v, want *Unavailable", err)
		}
		return
	}
	if taken.Outcome == dogwoodclaim.Answered {
		scenario.checkAnswer(t, name, taken.Answer.Body)
	}
	if taken.Outcome != dogwoodclaim.Fresh {
		return
	}
	// A pause of the holder, which can be longer than any lease.
	time.Sleep(scenario.random.duration(20 * time.Second))
	switch {
	case scenario.random.chance(0.1):
		scenario.kill(entry)
		return
	case scenario.random.chance(0.2):
		_ = entry.claims.Free(entry.ctx, key, attempt)
		return
	}
	answer := scenario.service.run(name, scenario.random.intN(2)*40_000)
	if scenario.random.chance(0.1) {
		scenario.kill(entry)
		return
	}
	_ = entry.claims.Finish(entry.ctx, key, attempt, dogwoodclaim.Answer{Status: 201, Body: answer})
}

func (scenario *claimScenario) checkAnswer(t *testing.T, name string, got []byte) {
	t.Helper()
	scenario.service.mutex.Lock()
	want := scenario.service.answers[name]
	scenario.service.mutex.Unlock()
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got an answer of %d bytes, want the %d of its run", name, len(got), len(want))
	}
}

// A caller's connection breaks, and it sends the same call again through other entry daemons
// at the same time. If the call ran twice, two buyers could get the same car. Meanwhile the
// store loses answers and has outages, and entry daemons die between the claim, the run and the
// answer.
func TestCallsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	forSeeds(t, 600, func(t *testing.T, random *rand.Rand) {
		scenario := newClaimScenario(random)
		scenario.store.SetFaults(randomFaults(random))
		for range 3 {
			scenario.start(t)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var outage, callers sync.WaitGroup
		outage.Go(func() { toggleStore(ctx, scenario.store, scenario.random) })
		keys := []string{"a", "b", "c"}
		for i := range 15 {
			callers.Go(func() {
				time.Sleep(scenario.random.duration(40 * time.Second))
				scenario.call(t, keys[i%len(keys)], dogwoodfleet.Digest{1})
			})
			if i%5 == 4 {
				scenario.start(t)
			}
		}
		callers.Wait()
		cancel()
		outage.Wait()
		scenario.store.SetFaults(dogwoodplatformstandin.Faults{})
		for _, key := range keys {
			if got := scenario.service.runs[key]; got > 1 {
				t.Errorf("key %s: got %d runs, want at most 1", key, got)
			}
		}
		if scenario.deaths == 0 {
			scenario.checkSettled(t, keys)
		}
		for _, entry := range scenario.entries {
			entry.kill()
		}
		scenario.group.Wait()
	})
}

// checkSettled checks that no key stays blocked when no entry daemon died: answers whose write
// was postponed are stored, and the rows of abandoned attempts are removed.
func (scenario *claimScenario) checkSettled(t *testing.T, keys []string) {
	time.Sleep(6 * time.Minute)
	for _, name := range keys {
		key := dogwoodclaim.Key{Customer: "kurume", Service: "lot-desk", Key: name}
		taken, err := scenario.entries[0].claims.Take(t.Context(), key, dogwoodfleet.Digest{1}, "last-"+name)
		want := dogwoodclaim.Fresh
		if scenario.service.runs[name] > 0 {
			want = dogwoodclaim.Answered
		}
		if err != nil || taken.Outcome != want {
			t.Errorf("key %s after the faults ended: got %v %v, want %v", name, taken.Outcome, err, want)
			continue
		}
		if want == dogwoodclaim.Answered {
			scenario.checkAnswer(t, name, taken.Answer.Body)
		}
	}
}

// A caller uses the same key for two calls with different bodies. Returning the first call's
// answer to the second would hide that the second call never ran.
func TestSameKeyWithAnotherBodyIsMismatch(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		scenario := newClaimScenario(rand.New(rand.NewPCG(1, 1)))
		scenario.start(t)
		entry := scenario.entries[0]
		key := dogwoodclaim.Key{Customer: "laval", Service: "registre", Key: "k"}
		steps := []struct {
			name    string
			digest  dogwoodfleet.Digest
			attempt string
			want    dogwoodclaim.Outcome
		}{
			{name: "first", digest: dogwoodfleet.Digest{1}, attempt: "1", want: dogwoodclaim.Fresh},
			{name: "resend", digest: dogwoodfleet.Digest{1}, attempt: "2", want: dogwoodclaim.Running},
			{name: "another body", digest: dogwoodfleet.Digest{2}, attempt: "3", want: dogwoodclaim.Mismatch},
		}
		for _, step := range steps {
			taken, err := entry.claims.Take(t.Context(), key, step.digest, step.attempt)
			if err != nil || taken.Outcome != step.want {
				t.Errorf("%s: got %v, %v, want %v", step.name, taken.Outcome, err, step.want)
			}
		}
		entry.kill()
		scenario.group.Wait()
	})
}

// The holder of a claim dies. A resend must neither run the call again nor get "not run" as its
// outcome, because the call may have run.
func TestDeadHolderLeavesTheOutcomeUnknown(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		scenario := newClaimScenario(rand.New(rand.NewPCG(1, 1)))
		scenario.start(t)
		scenario.start(t)
		key := dogwoodclaim.Key{Customer: "kurume", Service: "lot-desk", Key: "k"}
		first, second := scenario.entries[0], scenario.entries[1]
		if taken, err := first.claims.Take(t.Context(), key, dogwoodfleet.Digest{1}, "1"); err != nil || taken.Outcome != dogwoodclaim.Fresh {
			t.Fatalf("got %v, %v, want Fresh", taken.Outcome, err)
		}
		scenario.kill(first)
		taken, err := second.claims.Take(t.Context(), key, dogwoodfleet.Digest{1}, "2")
		if err != nil || taken.Outcome != dogwoodclaim.OutcomeUnknown {
			t.Errorf("got %v, %v, want OutcomeUnknown", taken.Outcome, err)
		}
		second.kill()
		scenario.group.Wait()
	})
}

// The store goes down after a call ran and before its answer is stored. A resend through the
// same entry daemon must get the answer, not "not run". After the outage the answer must be
// stored, so that the other entry daemons return it too.
func TestResendDuringOutageGetsAnswerHeldByEntryDaemon(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		scenario := newClaimScenario(rand.New(rand.NewPCG(1, 1)))
		scenario.start(t)
		scenario.start(t)
		first, second := scenario.entries[0], scenario.entries[1]
		key := dogwoodclaim.Key{Customer: "kurume", Service: "lot-desk", Key: "k"}
		if _, err := first.claims.Take(t.Context(), key, dogwoodfleet.Digest{1}, "1"); err != nil {
			t.Fatal(err)
		}
		scenario.store.SetDown(true)
		answer := dogwoodclaim.Answer{Status: 201, Body: []byte("hold 7")}
		var postponed *dogwoodclaim.Postponed
		if err := first.claims.Finish(t.Context(), key, "1", answer); !errors.As(err, &postponed) {
			t.Errorf("got %v, want *Postponed", err)
		}
		taken, err := first.claims.Take(t.Context(), key, dogwoodfleet.Digest{1}, "2")
		if err != nil || taken.Outcome != dogwoodclaim.Answered || string(taken.Answer.Body) != "hold 7" {
			t.Errorf("during the outage: got %v, %v, want Answered", taken.Outcome, err)
		}
		var unavailable *dogwoodclaim.Unavailable
		if _, err := second.claims.Take(t.Context(), key, dogwoodfleet.Digest{1}, "3"); !errors.As(err, &unavailable) {
			t.Errorf("at another entry daemon: got %v, want *Unavailable", err)
		}
		time.Sleep(time.Hour)
		scenario.store.SetDown(false)
		time.Sleep(2 * time.Minute)
		taken, err = second.claims.Take(t.Context(), key, dogwoodfleet.Digest{1}, "4")
		if err != nil || taken.Outcome != dogwoodclaim.Answered || string(taken.Answer.Body) != "hold 7" {
			t.Errorf("after the outage: got %v, %v, want Answered", taken.Outcome, err)
		}
		first.kill()
		second.kill()
		scenario.group.Wait()
	})
}

// gatedStore holds back the write of the claim "paused" until released is closed, as a pause of
// the writer does.
type gatedStore struct {
	*dogwoodplatformstandin.Store
	released chan struct{}
	once     sync.Once
}

func (gatedStore *gatedStore) Commit(ctx context.Context, writes ...dogwoodtable.Write) ([]uint64, error) {
	if strings.Contains(string(writes[0].Value), `"Try":"paused"`) {
		gatedStore.once.Do(func() { <-gatedStore.released })
	}
	return gatedStore.Store.Commit(ctx, writes...)
}

// An entry daemon is paused before it sends its claim to the store. Meanwhile the caller gives
// up and another entry daemon claims the call. When the first one resumes, it sends its claim
// and must not run the call a second time.
func TestClaimSentAfterPauseIsNotFresh(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		scenario := newClaimScenario(rand.New(rand.NewPCG(1, 1)))
		scenario.start(t)
		gate := &gatedStore{Store: scenario.store, released: make(chan struct{})}
		paused := dogwoodclaim.New(dogwoodclaim.Options{Store: gate, Objects: scenario.store, Self: "paused", Alive: scenario.alive})
		ctx, cancel := context.WithCancel(t.Context())
		scenario.group.Go(func() { _ = paused.Run(ctx) })
		key := dogwoodclaim.Key{Customer: "kurume", Service: "lot-desk", Key: "k"}
		scenario.group.Go(func() {
			taken, err := paused.Take(ctx, key, dogwoodfleet.Digest{1}, "paused")
			if err == nil && taken.Outcome == dogwoodclaim.Fresh {
				t.Error("got Fresh for the paused entry daemon, want another outcome")
			}
		})
		synctest.Wait()
		first := scenario.entries[0]
		taken, err := first.claims.Take(t.Context(), key, dogwoodfleet.Digest{1}, "1")
		if err != nil || taken.Outcome != dogwoodclaim.Fresh {
			t.Fatalf("got %v, %v, want Fresh", taken.Outcome, err)
		}
		close(gate.released)
		time.Sleep(time.Minute)
		cancel()
		first.kill()
		scenario.group.Wait()
	})
}

// One entry daemon receives 400 calls a second that must not run twice. If each needed two write
// calls, eight entry daemons would exceed the limit of the table service several times over.
func TestStoreWritesPerCall(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		scenario := newClaimScenario(rand.New(rand.NewPCG(1, 1)))
		scenario.store.SetFaults(dogwoodplatformstandin.Faults{Delay: 10 * time.Millisecond})
		scenario.start(t)
		entry := scenario.entries[0]
		const calls, perSecond = 2000, 400
		var group sync.WaitGroup
		for i := range calls {
			group.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / perSecond)
				key := dogwoodclaim.Key{Customer: "kurume", Service: "lot-desk", Key: fmt.Sprint(i)}
				attempt := fmt.Sprint("try", i)
				if _, err := entry.claims.Take(t.Context(), key, dogwoodfleet.Digest{1}, attempt); err != nil {
					t.Error(err)
				}
				if err := entry.claims.Finish(t.Context(), key, attempt, dogwoodclaim.Answer{Status: 201}); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
		writes, rows := scenario.store.Writes()
		reads := scenario.store.Reads()
		if rows != 2*calls || reads != 0 {
			t.Errorf("got %d rows written and %d reads for %d calls, want 2 rows each and no read", rows, reads, calls)
		}
		const seconds = calls / perSecond
		if limit := 100*seconds + 10; writes > limit {
			t.Errorf("got %d write calls in %d s, want at most %d", writes, seconds, limit)
		}
		t.Logf("%d calls at %d/s: %.2f write calls, %.2f rows, %.2f reads for each call; %d write calls/s",
			calls, perSecond, float64(writes)/calls, float64(rows)/calls, float64(reads)/calls, writes/seconds)
		entry.kill()
		scenario.group.Wait()
	})
}
