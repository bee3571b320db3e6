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
	// queueShare is how much more than its slots a plain endpoint is given, over its slots:
	// its calls are so short that a slot is free before another daemon could say so. What an
	// engine can't run now waits at the daemon, where it can still go to the first engine that
	// is free.
	queueShare = 0.5
	// mostLooked is how many engines with room a decision looks at. In a pool of thousands they are
	// a draw of its own for each daemon: enough to find a full engine with room and readers at
	// rest, and a decision for each of thousands of requests a second takes no longer than in a
	// pool of hundreds.
	mostLooked = 256
	// badWeight is what a recent failure counts in requests when plain endpoints are chosen.
	badWeight = 6
)

// Ask is a request that wants a place.
type Ask struct {
	ID      WorkID
	Holder  dogwoodfleet.InstanceID
	Service dogwoodfleet.Service
	// Prompt and Answer are tokens; 0 for plain calls.
	Prompt, Answer int
	// Aim is the time of a good first token, Pause the longest good one between two events.
	Aim, Pause time.Duration
	// Arrived is when the caller sent it; zero for now.
	Arrived time.Time
	// CanWait has the request wait for a better place than one that makes it late.
	CanWait bool
	// Until is the request's deadline.
	Until time.Time
	// Avoid lists endpoints that were tried before.
	Avoid []dogwoodfleet.EndpointID
	// Origin is where the daemon runs.
	Origin dogwoodfleet.Place
}

// Refusal says why there is no place.
type Refusal string

// The refusals.
const (
	// Placed means that there is a place.
	Placed Refusal = ""
	// NoEndpoint means that no endpoint of the service is in force.
	NoEndpoint Refusal = "NoEndpoint"
	// Full means that all endpoints have as much as they bear now.
	Full Refusal = "Full"
	// TooLarge means that the prompt fits no number of engines.
	TooLarge Refusal = "TooLarge"
)

// Placement is where a request goes.
type Placement struct {
	Endpoint Endpoint
	// Helpers read with it; those with tokens keep a part of the prompt.
	Helpers []Helper
	Work    Work
	// Predicted is the time to the first token; 0 if nothing is known.
	Predicted time.Duration
	// Load is the work that the endpoint had before.
	Load dogwoodenginetime.Load
}

// Helper is an engine that helps reading a prompt.
type Helper struct {
	Endpoint Endpoint
	Tokens   int
}

// Place finds a place and counts the request there, so that the next one sees it.
func (board *Board) Place(now time.Time, ask *Ask) (Placement, Refusal) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	candidates, refusal := board.candidates(now, ask)
	if refusal != Placed {
		return Placement{}, refusal
	}
	var placement Placement
	if engine := candidates[0].Engine; engine == nil || !engine.Known() || ask.Prompt == 0 {
		placement = choosePlain(now, ask, candidates)
	} else {
		placement, refusal = board.chooseEngines(now, ask, candidates)
	}
	if refusal != Placed {
		return Placement{}, refusal
	}
	placement.Load = board.places[placement.Endpoint.ID].load(now)
	placement.Work = newWork(now, ask, &placement)
	board.put(now, placement.Work)
	return placement, Placed
}

func newWork(now time.Time, ask *Ask, placement *Placement) Work {
	work := Work{
		ID: ask.ID, Holder: ask.Holder, Service: ask.Service, Endpoint: placement.Endpoint.ID,
		Tokens: ask.Prompt + ask.Answer, Prompt: ask.Prompt, Begun: now, Until: ask.Until,
	}
	if engine := placement.Endpoint.Engine; engine != nil {
		work.Reading = engine.Read(ask.Prompt, 1+len(placement.Helpers))
		work.Aim, work.Pause = ask.Aim, ask.Pause
	}
	for _, helper := range placement.Helpers {
		work.Helpers = append(work.Helpers, Part{Endpoint: helper.Endpoint.ID, Tokens: helper.Tokens})
	}
	return work
}

// Other reports whether the service has an endpoint in force that the ask does not avoid.
func (board *Board) Other(ask *Ask) bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	for _, place := range board.places {
		if place.Service == ask.Service && place.InForce && !slices.Contains(ask.Avoid, place.ID) {
			return true
		}
	}
	return false
}

// candidates are the places that may get the request now, in the daemon's own order.
func (board *Board) candidates(now time.Time, ask *Ask) ([]*place, Refusal) {
	known, held := false, 0
	open, well := board.scratch.open[:0], board.scratch.well[:0]
	for _, place := range board.ranked {
		if len(open) == mostLooked && open[0].Engine != nil {
			break
		}
		if place.Service != ask.Service || !place.InForce || slices.Contains(ask.Avoid, place.ID) {
			continue
		}
		known = true
		held += len(place.work)
		if len(place.work) >= place.most() || !board.bears(place, now) {
			continue
		}
		open = append(open, place)
		if !now.Before(place.health.avoidTil) {
			well = append(well, place)
		}
	}
	board.scratch.open, board.scratch.well, board.scratch.held = open, well, held
	switch {
	case !known:
		return nil, NoEndpoint
	case len(open) == 0:
		return nil, Full
	case len(well) == 0:
		well = open
	}
	return well, Placed
}

func (place *place) most() int {
	if place.Engine != nil {
		return place.Slots
	}
	return place.Slots + int(float64(place.Slots)*queueShare)
}

// choosePlain takes the endpoint with the fewest requests, where a recent failure counts
// as several; among equals one in the daemon's own data centre, else any.
func choosePlain(now time.Time, ask *Ask, candidates []*place) Placement {
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	best := slices.MinFunc(candidates, func(one, other *place) int {
		return cmp.Or(
			cmp.Compare(one.plainCost(now), other.plainCost(now)),
			cmp.Compare(distance(ask, one), distance(ask, other)),
		)
	})
	return Placement{Endpoint: best.Endpoint}
}

func (place *place) plainCost(now time.Time) float64 {
	return float64(len(place.work)) + badWeight*place.health.badness(now)
}

func distance(ask *Ask, place *place) int {
	if place.Place.DataCentre == ask.Origin.DataCentre {
		return 0
	}
	return 1
}
