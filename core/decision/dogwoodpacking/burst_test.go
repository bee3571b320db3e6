package dogwoodpacking

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// hubPool simulates a pool in which several hubs place requests. Each hub receives the others'
// announcements late.
type hubPool struct {
	random  *rand.Rand
	now     time.Time
	boards  []*Board
	due     map[int][]func() // by millisecond
	held    map[dogwoodfleet.EndpointID]int
	maxHeld map[dogwoodfleet.EndpointID]int
	placed  int
	queued  int // requests that found no free slot at the endpoint
}

const (
	slotsPerEngine = 10
	// announceDelay is the delay in milliseconds until a hub learns of another hub's request.
	announceDelay = 2
	// firstTokenAfter and answeredAfter are the milliseconds until the first token of an answer
	// and until its end.
	firstTokenAfter, answeredAfter = 150, 550
)

func newHubPool(hubs, engines int) *hubPool {
	hubPool := &hubPool{
		random: rand.New(rand.NewPCG(1, 1)), now: time.Now(), due: map[int][]func(){},
		held: map[dogwoodfleet.EndpointID]int{}, maxHeld: map[dogwoodfleet.EndpointID]int{},
	}
	var endpoints []Endpoint
	for i := range engines {
		endpoint := engineEndpoint(i)
		endpoint.Slots = slotsPerEngine
		endpoints = append(endpoints, endpoint)
	}
	for i := range hubs {
		board := NewBoard(dogwoodfleet.InstanceID(fmt.Sprint("hub", i)))
		board.SetEndpoints(endpoints)
		board.SetSenders(Senders{Count: hubs, Index: i})
		hubPool.boards = append(hubPool.boards, board)
	}
	return hubPool
}

// run simulates the arrival of perSecond requests in each second, each at a random hub.
func (hubPool *hubPool) run(perSecond float64, seconds int) {
	begun := hubPool.now
	for tick := range seconds * 1000 {
		hubPool.now = begun.Add(time.Duration(tick) * time.Millisecond)
		for _, due := range hubPool.due[tick] {
			due()
		}
		delete(hubPool.due, tick)
		for range hubPool.arrivals(perSecond / 1000) {
			hubPool.place(tick)
		}
	}
}

// arrivals draws the number of requests in one millisecond from a Poisson distribution.
func (hubPool *hubPool) arrivals(mean float64) int {
	count := 0
	for left := hubPool.random.ExpFloat64(); left < mean; left += hubPool.random.ExpFloat64() {
		count++
	}
	return count
}

func (hubPool *hubPool) place(tick int) {
	hub := hubPool.random.IntN(len(hubPool.boards))
	request := short(hubPool.now, 1_000+hubPool.random.IntN(6_000))
	request.Holder = dogwoodfleet.InstanceID(fmt.Sprint("hub", hub))
	request.Aim = 400 * time.Millisecond
	placement, refusal := hubPool.boards[hub].Place(hubPool.now, request)
	if refusal != Placed {
		return
	}
	endpoint := placement.Endpoint.ID
	hubPool.placed++
	hubPool.held[endpoint]++
	if hubPool.held[endpoint] > slotsPerEngine {
		hubPool.queued++
	}
	hubPool.announce(tick, hub, func(board *Board) { board.Put(hubPool.now, placement.Work) })
	hubPool.schedule(tick+firstTokenAfter, func() {
		work, _ := hubPool.boards[hub].Writes(hubPool.now, request.ID, 0, 0)
		hubPool.announce(tick+firstTokenAfter, hub, func(board *Board) { board.Put(hubPool.now, work) })
	})
	hubPool.schedule(tick+answeredAfter, func() {
		hubPool.held[endpoint]--
		hubPool.boards[hub].End(request.ID)
		hubPool.announce(tick+answeredAfter, hub, func(board *Board) { board.Remove(request.ID) })
	})
}

func (hubPool *hubPool) schedule(tick int, action func()) {
	hubPool.due[tick] = append(hubPool.due[tick], action)
}

func (hubPool *hubPool) announce(tick, except int, update func(board *Board)) {
	hubPool.schedule(tick+announceDelay, func() {
		for i, board := range hubPool.boards {
			if i != except {
				update(board)
			}
		}
	})
}

// Ten hubs get a burst of short prompts. All of them packed answers on the same fullest engine,
// which had one or two free slots: of five requests within two milliseconds, three found no free
// slot and waited half a second for one, while dozens of engines were idle. At most one request
// in a hundred may find no free slot.
func TestHubsDoNotOverfillTheFullestEngine(t *testing.T) {
	tests := []struct {
		name          string
		hubs, engines int
		perSecond     float64
	}{
		{"440 requests a second on 135 engines", 10, 135, 440},
		{"200 requests a second on 54 engines", 10, 54, 200},
		{"80 requests a second on 16 engines", 8, 16, 80},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			hubPool := newHubPool(test.hubs, test.engines)
			hubPool.run(test.perSecond, 4)
			if limit := hubPool.placed / 100; hubPool.queued > limit {
				t.Errorf("got %d of %d requests that found no free slot, want at most %d", hubPool.queued, hubPool.placed, limit)
			}
			t.Logf("%d of %d requests found no free slot", hubPool.queued, hubPool.placed)
		})
	}
}

// A pool of 5,900 engines gets thousands of requests a second. A decision that examined each
// engine took milliseconds, so that the daemons did nothing else. A decision must examine at
// most a few hundred engines and find room while there is any, and the daemons must not all
// examine the same engines.
func TestDecisionSurveysAFewHundredEngines(t *testing.T) {
	const engines = 5_900
	now := time.Now()
	var endpoints []Endpoint
	for i := range engines {
		endpoints = append(endpoints, engineEndpoint(i))
	}
	used := map[dogwoodfleet.EndpointID]bool{}
	for hub := range 4 {
		board := NewBoard(dogwoodfleet.InstanceID(fmt.Sprint("hub", hub)))
		board.SetEndpoints(endpoints)
		placement, refusal := board.Place(now, short(now, 3_000))
		if refusal != Placed {
			t.Fatalf("got refusal %q in an idle pool", refusal)
		}
		used[placement.Endpoint.ID] = true
		if got := len(board.scratch.engines); got > maxSurveyed {
			t.Errorf("got %d engines examined, want at most %d", got, maxSurveyed)
		}
		// Fill all engines but one.
		for _, endpoint := range endpoints[1:] {
			for i := range endpoint.Slots {
				board.Put(now, Work{
					ID: WorkID(fmt.Sprintf("%s/%d", endpoint.ID, i)), Service: "models", Endpoint: endpoint.ID, Tokens: 1_000, Prompt: 900,
					Writing: true, Begun: now, Until: now.Add(time.Minute),
				})
			}
		}
		if placement, refusal := board.Place(now, short(now, 3_000)); refusal != Placed || placement.Endpoint.ID != endpoints[0].ID {
			t.Errorf("got %q and refusal %q, want the one engine with room", placement.Endpoint.ID, refusal)
		}
	}
	if len(used) < 2 {
		t.Errorf("got all hubs on the same engine %v", used)
	}
}
