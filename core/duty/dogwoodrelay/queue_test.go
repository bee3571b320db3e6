package dogwoodrelay

import (
	"expvar"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodpacking"
)

// panickingPlaces panics when it places the request with the ID id.
type panickingPlaces struct {
	places
	id string
}

func (panicking panickingPlaces) Place(now time.Time, placementRequest *dogwoodpacking.PlacementRequest) (dogwoodpacking.Placement, dogwoodpacking.Refusal) {
	if strings.HasPrefix(string(placementRequest.ID), panicking.id) {
		panic("unplaceable request")
	}
	return panicking.places.Place(now, placementRequest)
}

// Guards against a daemon that crashes because placing one request panics.
func TestARequestThatPanicsLeavesTheLine(t *testing.T) {
	board := dogwoodpacking.NewBoard("me")
	queue := &queue{places: panickingPlaces{places: places{board}, id: "odd"}}
	join := func(id string) (panicked bool) {
		defer func() { panicked = recover() != nil }()
		queue.add(newTestWaiter(id))
		return false
	}
	if !join("odd") {
		t.Fatal("got no panic, want one for the unplaceable request")
	}
	if join("other") {
		t.Error("got a panic for another request, want none")
	}
}

// Guards against a request that fails because another one, which was waiting, can't be placed any more.
func TestAWaitingRequestThatPanicsEndsItself(t *testing.T) {
	panicking := &panickingPlaces{places: places{dogwoodpacking.NewBoard("me")}, id: "none yet"}
	queue := &queue{places: panicking}
	odd, other := newTestWaiter("odd"), newTestWaiter("other")
	queue.add(odd)
	panicking.id = "odd"
	queue.add(other)
	if got := len(queue.waiters); got != 1 || queue.waiters[0] != other {
		t.Errorf("got %d waiters, want the other request alone", got)
	}
	select {
	case <-odd.result:
	default:
		t.Error("got no result for the request that panicked, want one")
	}
	defer func() {
		if recover() == nil {
			t.Error("got no panic in the request that can't be placed, want one")
		}
	}()
	odd.repeatPanic()
}

// Guards against an urgent request that gets a slot only after less urgent ones, which began to wait earlier, and whose ranks have had
// their minimums.
func TestUrgentRequestGetsTheNextSlot(t *testing.T) {
	runRelayTest(t, testEngine, []step{delayed(10*time.Millisecond, responds(http.StatusOK, firstEvents))}, func(t *testing.T, fixture *fixture) {
		fixture.takeSlots(t, 12)
		fixture.useByRanks(1, 2)
		answered := make(chan int, 3)
		var group sync.WaitGroup
		for _, rank := range []int{2, 1, 0} {
			group.Go(func() {
				request := streamRequest()
				request.ID, request.Rank = fmt.Sprint("rank-", rank), rank
				if err := fixture.relay.Serve(t.Context(), request, &recorder{}); err != nil {
					t.Errorf("rank %d: got %v, want an answer", rank, err)
				}
				answered <- rank
			})
			time.Sleep(time.Millisecond)
		}
		fixture.board.End("0")
		group.Wait()
		for want := range 3 {
			if got := <-answered; got != want {
				t.Errorf("got rank %d answered, want rank %d next", got, want)
			}
		}
	})
}

// Load: one slot becomes free at a time, and a customer of an urgent rank always has more requests that wait. Guards against a
// request of a less urgent rank that gets none of the slots until the others stop, and against one that gets more than its
// minimum. The slots were taken by 12 urgent requests, so that the rank is due at once.
func TestLessUrgentRankGetsItsMinimum(t *testing.T) {
	runRelayTest(t, testEngine, []step{delayed(10*time.Millisecond, responds(http.StatusOK, firstEvents))}, func(t *testing.T, fixture *fixture) {
		const urgentRequests, lowerRequests = 25, 3
		fixture.takeSlots(t, 12)
		counter, before := "MinimumStartsRank2", int64(0)
		if known, ok := counters.Get(counter).(*expvar.Int); ok {
			before = known.Value()
		}
		var mutex sync.Mutex
		var answered []int
		var group sync.WaitGroup
		for i := range urgentRequests + lowerRequests {
			rank := 0
			if i < lowerRequests {
				rank = 2
			}
			group.Go(func() {
				request := streamRequest()
				request.ID, request.Rank = fmt.Sprint("request-", i), rank
				if err := fixture.relay.Serve(t.Context(), request, &recorder{}); err != nil {
					t.Errorf("rank %d: got %v, want an answer", rank, err)
				}
				mutex.Lock()
				defer mutex.Unlock()
				answered = append(answered, rank)
			})
		}
		time.Sleep(time.Millisecond)
		fixture.board.End("0")
		group.Wait()
		var got []int
		for i, rank := range answered {
			if rank == 2 {
				got = append(got, i)
			}
		}
		if want := []int{1, 11, 22}; !slices.Equal(got, want) {
			t.Errorf("got the less urgent requests answered at %v, want %v", got, want)
		}
		if count, ok := counters.Get(counter).(*expvar.Int); !ok || count.Value()-before != lowerRequests {
			t.Errorf("got %v counted for the minimum, want %d", counters.Get(counter), lowerRequests)
		}
	})
}

// useByRanks puts as many requests of each rank on the board as takeSlots does of rank 0, each with more engine time.
func (fixture *fixture) useByRanks(ranks ...int) {
	for _, rank := range ranks {
		for i := range 12 {
			id := dogwoodpacking.WorkID(fmt.Sprint("rank-", rank, "-", i))
			fixture.board.Put(time.Now(), dogwoodpacking.Work{ID: id, Service: "s", Rank: streamRequest().Route.Urgency(rank), Reading: 10 * time.Second, Begun: time.Now(), Until: time.Now().Add(time.Second)})
		}
	}
}

func newTestWaiter(id string) *waiter {
	return &waiter{placementRequest: &dogwoodpacking.PlacementRequest{ID: dogwoodpacking.WorkID(id), Service: "s"}, result: make(chan placementResult, 1)}
}
