package dogwoodrelay

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodpacking"
	"dogwoodmux.example/core/decision/dogwoodshare"
	"dogwoodmux.example/core/dogwoodfleet"
)

// useEngines records that a customer used engine time at a peer, in some requests that have ended.
func (fixture *fixture) useEngines(customer dogwoodfleet.Customer, requests int) {
	for i := range requests {
		id := dogwoodpacking.WorkID(fmt.Sprint(customer, time.Now(), i))
		fixture.board.Put(time.Now(), dogwoodpacking.Work{
			ID: id, Holder: "peer", Service: "s", Endpoint: "a", Customer: customer, Prompt: 2000,
			Reading: 20 * time.Millisecond, Begun: time.Now(), Until: time.Now().Add(time.Second),
		})
		fixture.board.Remove(id)
	}
}

func requestOf(customer dogwoodfleet.Customer, id int) *Request {
	request := streamRequest()
	request.ID, request.Customer = fmt.Sprint(customer, "-", id), customer
	return request
}

// waits reports whether a request is in the queue.
func (fixture *fixture) waits(id string) bool {
	queue := &fixture.relay.queue
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return slices.ContainsFunc(queue.waiters, func(waiter *waiter) bool {
		return strings.HasPrefix(string(waiter.placementRequest.ID), id+".")
	})
}

// countingPlaces counts the standings that are computed.
type countingPlaces struct {
	places
	count *int
}

func (counting countingPlaces) Standings(now time.Time, claims []dogwoodshare.Claim) []dogwoodshare.Standing {
	*counting.count++
	return counting.places.Standings(now, claims)
}

// Guards against a customer that keeps others waiting: while engines are short, its requests go after those that came later
// and are refused, with a wait after which its use has fallen to its share.
func TestHotCustomerIsRefusedWhileOthersWait(t *testing.T) {
	runRelayTest(t, testEngine, []step{delayed(10*time.Millisecond, responds(http.StatusOK, firstEvents))}, func(t *testing.T, fixture *fixture) {
		var lines strings.Builder
		fixture.relay.options.Logger = hclog.New(&hclog.LoggerOptions{Output: &lines, Level: hclog.Info})
		fixture.takeSlots(t, 12)
		fixture.useEngines("hot", 100)
		for _, customer := range []dogwoodfleet.Customer{"b", "c", "d"} {
			fixture.useEngines(customer, 5)
		}
		const hotRequests = 3
		var group sync.WaitGroup
		for i := range hotRequests {
			group.Go(func() {
				began := time.Now()
				failure := failureOf(t, fixture.relay.Serve(t.Context(), requestOf("hot", i), &recorder{}))
				if failure.Reason != dogwoodfleet.ReasonLimit || failure.Run != dogwoodfleet.NotRun {
					t.Errorf("got %+v, want a refusal that has not run", failure)
				}
				if took, limit := time.Since(began), 200*time.Millisecond; took > limit {
					t.Errorf("got a refusal after %s, want at most %s", took, limit)
				}
				time.Sleep(failure.RetryAfter)
				if failure.RetryAfter > dogwoodshare.Window+2*overShareSpread {
					t.Errorf("got a wait of %s, want at most the window", failure.RetryAfter)
				}
				if got := fixture.board.Excess(time.Now(), dogwoodshare.Claim{Service: "s", Customer: "hot"}); got > 1 {
					t.Errorf("got an excess of %g after the wait, want at most 1", got)
				}
			})
		}
		time.Sleep(time.Millisecond)
		group.Go(func() {
			if err := fixture.relay.Serve(t.Context(), requestOf("b", 0), &recorder{}); err != nil {
				t.Errorf("got %v for another customer, want an answer", err)
			}
		})
		time.Sleep(300 * time.Millisecond)
		fixture.board.End("0")
		group.Wait()
		if got := strings.Count(lines.String(), "over its share"); got != hotRequests {
			t.Errorf("got %d lines, want one for each refusal: %s", got, &lines)
		}
		for _, want := range []string{"customer=hot", "request=hot-1", "used=2s", "share="} {
			if !strings.Contains(lines.String(), want) {
				t.Errorf("got no %q in %s", want, &lines)
			}
		}
	})
}

// Guards against a free slot that a customer over its share gets before another one, because it waits longer or sends its
// refused request again at once.
func TestFreeSlotGoesToTheCustomerWithinItsShare(t *testing.T) {
	runRelayTest(t, testEngine, []step{delayed(10*time.Millisecond, responds(http.StatusOK, firstEvents))}, func(t *testing.T, fixture *fixture) {
		fixture.takeSlots(t, 12)
		// Excess 1.5: it waits, and is not refused.
		fixture.useEngines("hot", 300)
		fixture.useEngines("b", 100)
		answered := make(chan dogwoodfleet.Customer, 4)
		var group sync.WaitGroup
		for i, customer := range []dogwoodfleet.Customer{"hot", "b", "hot", "c"} {
			group.Go(func() {
				if err := fixture.relay.Serve(t.Context(), requestOf(customer, i), &recorder{}); err != nil {
					t.Errorf("%s: got %v, want an answer", customer, err)
				}
				answered <- customer
			})
			time.Sleep(time.Millisecond)
		}
		fixture.board.End("0")
		group.Wait()
		var got []dogwoodfleet.Customer
		for range 4 {
			got = append(got, <-answered)
		}
		if want := []dogwoodfleet.Customer{"b", "c", "hot", "hot"}; !slices.Equal(got, want) {
			t.Errorf("got %v answered, want %v", got, want)
		}
	})
}

// Guards against the refusal of requests where no other customer of the rank is kept waiting, and of those that have run, may
// have run or have begun.
func TestHotCustomerIsNotRefusedWithoutNeed(t *testing.T) {
	tests := []struct {
		name       string
		customer   dogwoodfleet.Customer
		rank       int
		mayHaveRun bool
		wantKept   bool
	}{
		{"another customer waits", "b", 0, false, false},
		{"its own requests wait", "hot", 0, false, true},
		{"another rank waits", "b", 1, false, true},
		{"a request without a customer waits", "", 0, false, true},
		{"it may have run", "b", 0, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRelayTest(t, testEngine, nil, func(t *testing.T, fixture *fixture) {
				fixture.takeSlots(t, 12)
				fixture.useEngines("hot", 100)
				for _, customer := range []dogwoodfleet.Customer{"b", "c", "d"} {
					fixture.useEngines(customer, 5)
				}
				queue := &fixture.relay.queue
				hot, other := customersWaiter("hot", 0), customersWaiter(test.customer, test.rank)
				hot.mayHaveRun = test.mayHaveRun
				queue.add(hot)
				queue.add(other)
				time.Sleep(500 * time.Millisecond)
				if got := queue.remove(hot); got != test.wantKept {
					t.Errorf("got kept %t, want %t", got, test.wantKept)
				}
				if !queue.remove(other) {
					t.Error("got the other request refused, want it to wait")
				}
			})
		})
	}
}

// Guards against a stream that has begun, or a request that may have run, and is refused as if it had never run.
func TestMayHaveRunIsTakenFromTheAttempt(t *testing.T) {
	dies := func(body string) []step {
		return []step{breaksOff(body), delayed(10*time.Millisecond, responds(http.StatusOK, lastEvents))}
	}
	for _, body := range []string{firstEvents, ""} {
		runRelayTest(t, testEngine, dies(body), func(t *testing.T, fixture *fixture) {
			fixture.useEngines("hot", 100)
			for _, customer := range []dogwoodfleet.Customer{"b", "c", "d"} {
				fixture.useEngines(customer, 5)
			}
			fixture.takeSlots(t, 11)
			fixture.relay.options.Places = &fillingPlaces{places: places{fixture.board}, fixture: fixture, t: t}
			fixture.relay.queue.places = fixture.relay.options.Places
			var group sync.WaitGroup
			group.Go(func() {
				if err := fixture.relay.Serve(t.Context(), requestOf("hot", 0), &recorder{}); err != nil {
					t.Errorf("%q: got %v, want an answer", body, err)
				}
			})
			time.Sleep(300 * time.Millisecond)
			if !fixture.waits("hot-0") {
				t.Errorf("%q: got no second try that waits, want one", body)
			}
			fixture.board.End("0")
			fixture.board.End("1")
			group.Wait()
		})
	}
}

// fillingPlaces gives the slot of the first try that ends to another request, and lets a request of another customer wait.
type fillingPlaces struct {
	places
	fixture *fixture
	t       *testing.T
	filled  bool
}

func (filling *fillingPlaces) End(id dogwoodpacking.WorkID) {
	filling.places.End(id)
	if filling.filled {
		return
	}
	filling.filled = true
	now := time.Now()
	other := &dogwoodpacking.PlacementRequest{ID: "filler", Service: "s", Prompt: 10, Until: now.Add(time.Second)}
	if _, refusal := filling.Place(now, other); refusal != dogwoodpacking.Placed {
		filling.t.Errorf("got %q for the filler, want a slot", refusal)
	}
	filling.fixture.relay.queue.add(customersWaiter("b", 0))
}

func customersWaiter(customer dogwoodfleet.Customer, rank int) *waiter {
	waiter := newTestWaiter("waiter-" + string(customer))
	request := waiter.placementRequest
	request.Customer, request.Rank, request.Prompt, request.Until = customer, rank, 2000, time.Now().Add(10*time.Second)
	request.CanWait = true
	waiter.request.Rank, waiter.request.Prompt, waiter.request.Arrived = rank, 2000, time.Now()
	waiter.request.Aim = 250 * time.Millisecond
	return waiter
}

// Guards against shares that cost something on the path of requests that get a slot at once, or where requests of one
// customer alone wait, or of none, and against an order that is not as before there.
func TestNoSharesWithoutContention(t *testing.T) {
	for _, customers := range [][]dogwoodfleet.Customer{{"a"}, {"a", "a", "a"}, {"", "", ""}, {"", "a", "a"}} {
		runRelayTest(t, testEngine, nil, func(t *testing.T, fixture *fixture) {
			fixture.takeSlots(t, 12)
			fixture.useEngines("a", 100)
			fixture.useEngines("b", 5)
			count := 0
			queue := &queue{places: countingPlaces{places: places{fixture.board}, count: &count}}
			var want []*waiter
			for _, customer := range customers {
				waiter := customersWaiter(customer, 0)
				want = append(want, waiter)
				queue.add(waiter)
				time.Sleep(time.Millisecond)
			}
			if count != 0 {
				t.Errorf("%q: got %d standings computed, want none", customers, count)
			}
			if !slices.Equal(queue.waiters, want) {
				t.Errorf("%q: got another order than that of arrival", customers)
			}
			queue.add(customersWaiter("c", 0))
			if got, want := count > 0, slices.Contains(customers, "a"); got != want {
				t.Errorf("%q and another one: got standings computed %t, want %t", customers, got, want)
			}
		})
	}
}
