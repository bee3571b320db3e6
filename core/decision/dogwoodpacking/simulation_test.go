package dogwoodpacking

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodwaiting"
)

// simulatedEngine is an engine on virtual time. It prefills its prompts one after another. While
// it decodes answers, it prefills prompts within its passes, each of which takes longer by the time
// of the prefill.
type simulatedEngine struct {
	queue    []*job
	decoding []*job
	now      time.Duration
}

// job is a request in the simulation.
type job struct {
	placementRequest *PlacementRequest
	arrived          time.Duration
	parts            int // engines that have not prefilled their part yet
	eventsLeft       int // events still to be decoded
	lastEvent        time.Duration
	firstEvent       time.Duration
	longestPause     time.Duration
	primary          *simulatedEngine
}

const answerEvents = 38

// step runs one pass, or prefills one prompt if nothing is being decoded. It returns false once
// there is nothing to do before until.
func (simulatedEngine *simulatedEngine) step(until time.Duration) bool {
	if simulatedEngine.now >= until || len(simulatedEngine.queue)+len(simulatedEngine.decoding) == 0 {
		simulatedEngine.now = max(simulatedEngine.now, until)
		return false
	}
	took := time.Duration(0)
	if len(simulatedEngine.decoding) > 0 {
		took = testEngine.PassTime(len(simulatedEngine.decoding), 0)
	}
	var prefilled []*job
	for tokens := 0; len(simulatedEngine.queue) > 0 && tokens < testEngine.Chunk*testEngine.Stride; {
		head := simulatedEngine.queue[0]
		simulatedEngine.queue = simulatedEngine.queue[1:]
		parts := head.partCount()
		took += testEngine.PrefillTime(head.placementRequest.Prompt, parts)
		tokens += head.placementRequest.Prompt / parts
		prefilled = append(prefilled, head)
		if len(simulatedEngine.decoding) == 0 {
			break
		}
	}
	simulatedEngine.now += took
	simulatedEngine.decode()
	for _, request := range prefilled {
		if request.parts--; request.parts == 0 {
			request.firstEvent, request.lastEvent = simulatedEngine.now, simulatedEngine.now
			request.primary.decoding = append(request.primary.decoding, request)
		}
	}
	return true
}

func (job *job) partCount() int { return job.placementRequest.Answer >> 16 }

func (simulatedEngine *simulatedEngine) decode() {
	simulatedEngine.decoding = slices.DeleteFunc(simulatedEngine.decoding, func(job *job) bool {
		job.longestPause = max(job.longestPause, simulatedEngine.now-job.lastEvent)
		job.lastEvent = simulatedEngine.now
		job.eventsLeft--
		return job.eventsLeft == 0
	})
}

// policy places a request and returns the indexes of the primary engine, which decodes the
// answer, and of the helpers. If the index of the primary engine is negative, the request waits.
type policy func(now time.Duration, placementRequest *PlacementRequest, engines []*simulatedEngine) (primary int, helpers []int)

// retryInterval is the interval at which the placement of waiting requests is tried again.
const retryInterval = 20 * time.Millisecond

// alternatingBursts returns the traffic that the policies are compared on: short prompts
// (drafts) at any time, with bursts of them that alternate every ten seconds with bursts of long
// prompts (reviews).
func alternatingBursts(seed uint64) []*job {
	random := rand.New(rand.NewPCG(seed, 1))
	var jobs []*job
	for now := time.Duration(0); now < 30*time.Second; {
		drafts, reviews := 12.0, 2.3
		if int(now/(10*time.Second))%2 == 1 {
			drafts, reviews = 80, 0.1
		}
		now += time.Duration(random.ExpFloat64() / (drafts + reviews) * float64(time.Second))
		prompt, aim, pause := 4960.0, 300*time.Millisecond, 250*time.Millisecond
		if random.Float64() < reviews/(drafts+reviews) {
			prompt, aim, pause = 182_000, 3*time.Second, time.Second
		}
		size := min(prompt*math.Exp(0.5*random.NormFloat64()-0.125), 390_000)
		placementRequest := &PlacementRequest{ID: WorkID(fmt.Sprint(len(jobs))), Service: "models", Prompt: int(size), Aim: aim, Pause: pause}
		jobs = append(jobs, &job{placementRequest: placementRequest, arrived: now, eventsLeft: answerEvents})
	}
	return jobs
}

// shareInTime simulates the traffic and returns the shares of drafts and of reviews whose
// callers got the first event within their aim and no pause above the acceptable one.
func shareInTime(jobs []*job, choose policy) (drafts, reviews float64) {
	engines := make([]*simulatedEngine, 16)
	for i := range engines {
		engines[i] = &simulatedEngine{}
	}
	var waiting []*job
	place := func(now time.Duration, request *job) bool {
		primary, helpers := choose(now, request.placementRequest, engines)
		if primary < 0 {
			return false
		}
		request.parts = 1 + len(helpers)
		request.placementRequest.Answer = request.parts << 16 // stores the number of parts; all answers have the same length
		request.primary = engines[primary]
		engines[primary].queue = append(engines[primary].queue, request)
		for _, helper := range helpers {
			engines[helper].queue = append([]*job{request}, engines[helper].queue...)
		}
		return true
	}
	now := time.Duration(0)
	advance := func(until time.Duration) {
		for now < until {
			now = min(now+retryInterval, until)
			for _, engine := range engines {
				for engine.step(now) {
				}
			}
			sortWaiting(now, waiting)
			waiting = slices.DeleteFunc(waiting, func(request *job) bool { return place(now, request) })
		}
	}
	for _, request := range jobs {
		advance(request.arrived)
		if len(waiting) > 0 || !place(now, request) {
			waiting = append(waiting, request)
		}
	}
	advance(2 * time.Minute)
	for _, engine := range engines {
		for engine.step(time.Hour) {
		}
	}
	var good, all [2]float64
	for _, request := range jobs {
		kind := 0
		if request.placementRequest.Aim > time.Second {
			kind = 1
		}
		all[kind]++
		if request.firstEvent-request.arrived <= request.placementRequest.Aim && request.longestPause <= request.placementRequest.Pause {
			good[kind]++
		}
	}
	return good[0] / all[0], good[1] / all[1]
}

// sortWaiting sorts requests that can still be in time first, as the daemons do.
func sortWaiting(now time.Duration, waiting []*job) {
	epoch := time.Unix(0, 0)
	queued := func(request *job) *dogwoodwaiting.Request {
		return &dogwoodwaiting.Request{Arrived: epoch.Add(request.arrived), Aim: request.placementRequest.Aim, Pause: request.placementRequest.Pause}
	}
	slices.SortStableFunc(waiting, func(a, b *job) int {
		return dogwoodwaiting.Compare(epoch.Add(now), queued(a), queued(b))
	})
}

// leastRequests is the baseline policy: the engine with the fewest requests.
func leastRequests(_ time.Duration, _ *PlacementRequest, engines []*simulatedEngine) (int, []int) {
	least := slices.MinFunc(engines, func(a, b *simulatedEngine) int {
		return cmp.Compare(len(a.queue)+len(a.decoding), len(b.queue)+len(b.decoding))
	})
	return slices.Index(engines, least), nil
}

// packingPolicy is the policy of this package. It learns of first tokens and ends in the same
// way as the daemons do.
func packingPolicy(jobs []*job) policy {
	board, start := pool(16), time.Now()
	running := map[*job]bool{}
	byID := map[WorkID]*job{}
	for _, request := range jobs {
		byID[request.placementRequest.ID] = request
	}
	return func(now time.Duration, placementRequest *PlacementRequest, _ []*simulatedEngine) (int, []int) {
		for request := range running {
			if request.firstEvent > 0 && request.firstEvent <= now {
				board.Writes(start.Add(request.firstEvent), request.placementRequest.ID, 0, 0)
			}
			if request.eventsLeft == 0 && request.lastEvent <= now {
				board.End(request.placementRequest.ID)
				delete(running, request)
			}
		}
		placementRequest.Until, placementRequest.Answer, placementRequest.CanWait = start.Add(now+time.Minute), 1300, true
		placement, refusal := board.Place(start.Add(now), placementRequest)
		if refusal != Placed {
			return -1, nil
		}
		running[byID[placementRequest.ID]] = true
		indexOf := func(id string) (index int) { _, _ = fmt.Sscanf(id, "e%02d", &index); return index }
		var helpers []int
		for _, helper := range placement.Helpers {
			helpers = append(helpers, indexOf(string(helper.Endpoint.ID)))
		}
		return indexOf(string(placement.Endpoint.ID)), helpers
	}
}

// Bursts of drafts and of reviews alternate. When engines are chosen by the number of requests
// alone, reviews are placed on engines that decode drafts: these drafts pause for seconds, and
// the reviews are late. Measured by what callers get, packing must keep far more of both in time.
func TestAlternatingBurstsOfDraftsAndReviews(t *testing.T) {
	const seeds = 5
	var drafts, reviews, draftsBaseline, reviewsBaseline float64
	for seed := uint64(1); seed <= seeds; seed++ {
		baselineDrafts, baselineReviews := shareInTime(alternatingBursts(seed), leastRequests)
		jobs := alternatingBursts(seed)
		packedDrafts, packedReviews := shareInTime(jobs, packingPolicy(jobs))
		t.Logf("seed %d: in time: drafts %.2f (baseline %.2f), reviews %.2f (baseline %.2f)", seed, packedDrafts, baselineDrafts, packedReviews, baselineReviews)
		drafts, draftsBaseline = drafts+packedDrafts/seeds, draftsBaseline+baselineDrafts/seeds
		reviews, reviewsBaseline = reviews+packedReviews/seeds, reviewsBaseline+baselineReviews/seeds
	}
	if drafts < 0.8 || drafts < 1.1*draftsBaseline {
		t.Errorf("got %.2f of the drafts in time, want 0.8 and a tenth more than %.2f", drafts, draftsBaseline)
	}
	if reviews < 0.6 || reviews < 1.5*reviewsBaseline {
		t.Errorf("got %.2f of the reviews in time, want 0.6 and half more than %.2f", reviews, reviewsBaseline)
	}
}
