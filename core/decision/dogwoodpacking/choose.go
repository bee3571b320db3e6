package dogwoodpacking

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"dogwoodmux.example/core/decision/dogwoodenginetime"
	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// plainOvercommit is the number of requests that a plain endpoint may get beyond its slots, as
	// a share of its slots. Its calls are so short that a slot is free before another daemon could
	// announce it. Engines are not overcommitted; requests that they can't run now wait at the
	// daemon, which can still send them to the first engine that becomes free.
	plainOvercommit = 0.5
	// maxSurveyed is the number of available engines that a decision examines. In a pool of
	// thousands, each daemon examines a different subset, which is large enough to contain a
	// nearly full engine with room and idle helpers. A decision then takes no longer than in a
	// pool of hundreds, at thousands of requests a second.
	maxSurveyed = 256
	// failureCost is the number of requests that a recent failure counts as when a plain
	// endpoint is selected.
	failureCost = 6
)

// PlacementRequest is a request to be placed.
type PlacementRequest struct {
	ID      WorkID
	Holder  dogwoodfleet.InstanceID
	Service dogwoodfleet.Service
	// Rank orders requests by urgency; lower goes first. Customer is empty for requests without a key.
	Rank     int
	Customer dogwoodfleet.Customer
	// Prompt and Answer are token counts; 0 for plain calls.
	Prompt, Answer int
	// Aim is the target time to the first token, Pause the longest acceptable pause between two
	// events.
	Aim, Pause time.Duration
	// Arrived is when the caller sent the request; zero means now.
	Arrived time.Time
	// Resumed is true for the rest of an answer that its caller has begun to receive.
	Resumed bool
	// CanWait lets the request wait for a better placement instead of taking one that makes it
	// late.
	CanWait bool
	// Until is the request's deadline.
	Until time.Time
	// Avoid lists endpoints that were already tried.
	Avoid []dogwoodfleet.EndpointID
	// Origin is the location of the daemon.
	Origin dogwoodfleet.Place
}

// isRepeated reports whether the request was tried before.
func (request *PlacementRequest) isRepeated() bool {
	return request.Resumed || len(request.Avoid) > 0
}

// Refusal is the reason why a request was not placed.
type Refusal string

// Reasons for not placing a request.
const (
	// Placed means that the request was placed.
	Placed Refusal = ""
	// NoEndpoint means that no endpoint of the service is in force.
	NoEndpoint Refusal = "NoEndpoint"
	// Full means that no endpoint can take more requests now, or that the request should wait.
	Full Refusal = "Full"
	// Yields means that the endpoints that could take the prompt are needed for more urgent ones. It may wait.
	Yields Refusal = "Yields"
	// TooLate means that the prompt has waited for more urgent ones and can't be answered until its deadline any more.
	TooLate Refusal = "TooLate"
	// TooLarge means that the prompt does not fit into the combined memory of as many engines as
	// may share it.
	TooLarge Refusal = "TooLarge"
)

// Placement is the decision on where a request is sent.
type Placement struct {
	Endpoint Endpoint
	// Helpers prefill the prompt together with Endpoint; those with tokens also hold a part of it.
	Helpers []Helper
	Work    Work
	// Predicted is the time to the first token; 0 if unknown.
	Predicted time.Duration
	// Load is the endpoint's load before this request.
	Load dogwoodenginetime.Load
}

// Helper is an engine that helps to prefill a prompt.
type Helper struct {
	Endpoint Endpoint
	Tokens   int
}

// Place selects an endpoint and records the request there, so that later decisions take it into
// account.
func (board *Board) Place(now time.Time, request *PlacementRequest) (Placement, Refusal) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	candidates, refusal := board.candidates(now, request)
	if refusal != Placed {
		return Placement{}, refusal
	}
	var placement Placement
	if engine := candidates[0].Engine; engine == nil || !engine.Known() || request.Prompt == 0 {
		placement = choosePlain(now, request, candidates)
	} else {
		placement, refusal = board.chooseEngines(now, request, candidates)
	}
	if refusal != Placed {
		return Placement{}, refusal
	}
	placement.Load = board.endpoints[placement.Endpoint.ID].load(now)
	placement.Work = newWork(now, request, &placement)
	board.put(now, placement.Work)
	if request.isRepeated() && request.Prompt > 0 {
		board.ownRepeats = append(board.ownRepeats, now)
		board.ownRepeats.countRecent(now)
	}
	return placement, Placed
}

func newWork(now time.Time, request *PlacementRequest, placement *Placement) Work {
	work := Work{
		ID: request.ID, Holder: request.Holder, Service: request.Service, Endpoint: placement.Endpoint.ID,
		Rank: request.Rank, Customer: request.Customer,
		Tokens: request.Prompt + request.Answer, Prompt: request.Prompt, Begun: now, Until: request.Until,
	}
	if engine := placement.Endpoint.Engine; engine != nil {
		work.Reading = engine.PrefillTime(request.Prompt, 1+len(placement.Helpers))
		work.Aim, work.Pause = request.Aim, request.Pause
	}
	for _, helper := range placement.Helpers {
		work.Helpers = append(work.Helpers, Part{Endpoint: helper.Endpoint.ID, Tokens: helper.Tokens})
	}
	return work
}

// HasOtherEndpoint reports whether the service has an endpoint in force that is not in request.Avoid, names no limit and has
// asked for no back-off.
func (board *Board) HasOtherEndpoint(now time.Time, request *PlacementRequest) bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	for _, state := range board.endpoints {
		if state.Service == request.Service && state.takesRequests() && !state.limit.Named && !slices.Contains(request.Avoid, state.ID) &&
			!board.isBackedOff(now, &state.Endpoint.Endpoint) {
			return true
		}
	}
	return false
}

// candidates returns the endpoints that may get the request now, sorted by the daemon's ranks.
func (board *Board) candidates(now time.Time, request *PlacementRequest) ([]*endpointState, Refusal) {
	found, requestCount := false, 0
	available, healthy := board.scratch.available[:0], board.scratch.healthy[:0]
	for _, state := range board.ranked {
		if len(available) == maxSurveyed && available[0].Engine != nil {
			break
		}
		if state.Service != request.Service || !state.takesRequests() || slices.Contains(request.Avoid, state.ID) {
			continue
		}
		found = true
		requestCount += len(state.work)
		if len(state.work) >= state.capacity() || !board.admits(state, now) {
			continue
		}
		available = append(available, state)
		if state.isProven(now) && !state.isAvoided(now) {
			healthy = append(healthy, state)
		}
	}
	healthy = board.addProbe(now, request, available, healthy)
	board.scratch.available, board.scratch.healthy, board.scratch.requestCount = available, healthy, requestCount
	switch {
	case !found:
		return nil, NoEndpoint
	case len(available) == 0:
		return nil, Full
	case len(healthy) == 0:
		healthy = available
	}
	return healthy, Placed
}

func (state *endpointState) capacity() int {
	if state.Engine != nil {
		return state.Slots
	}
	return state.Slots + int(float64(state.Slots)*plainOvercommit)
}

// choosePlain selects the endpoint with the fewest requests, where a recent failure counts as
// several. Ties are resolved in favour of the daemon's own data centre, then at random.
func choosePlain(now time.Time, request *PlacementRequest, candidates []*endpointState) Placement {
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	best := slices.MinFunc(candidates, func(a, b *endpointState) int {
		return cmp.Or(
			cmp.Compare(a.plainCost(now), b.plainCost(now)),
			cmp.Compare(distance(request, a), distance(request, b)),
		)
	})
	return Placement{Endpoint: best.Endpoint}
}

func (state *endpointState) plainCost(now time.Time) float64 {
	return float64(len(state.work)) + failureCost*state.health.recentFailures(now)
}

func distance(request *PlacementRequest, state *endpointState) int {
	if state.Place.DataCentre == request.Origin.DataCentre {
		return 0
	}
	return 1
}
