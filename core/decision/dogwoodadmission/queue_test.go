package dogwoodadmission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func equalWeights(dogwoodfleet.Customer) float64 { return 1 }

func alwaysFits(*Work) bool { return true }

// trainedRates returns rates that predict a quarter of a second for a short request with 50
// output tokens.
func trainedRates() *Rates {
	rates := &Rates{}
	for range 50 {
		rates.Observe(Sample{PromptTokens: 1000, OutputTokens: 50, MaxTokens: 50, FirstToken: 10 * time.Millisecond, Took: 260 * time.Millisecond})
		rates.Observe(Sample{PromptTokens: 200_000, OutputTokens: 50, MaxTokens: 50, FirstToken: 2 * time.Second, Took: 2250 * time.Millisecond})
	}
	return rates
}

func newWork(customer string, promptTokens int, arrived time.Time, budget time.Duration) *Work {
	return &Work{Customer: dogwoodfleet.Customer(customer), PromptTokens: promptTokens, MaxTokens: 50, Arrived: arrived, Deadline: arrived.Add(budget)}
}

// takeWork takes count pieces of work and returns how many each customer had.
func takeWork(t *testing.T, queue *Queue, count int) map[dogwoodfleet.Customer]int {
	t.Helper()
	served := map[dogwoodfleet.Customer]int{}
	for range count {
		work := queue.Next(alwaysFits)
		if work == nil {
			t.Fatal("got no work, want waiting work")
		}
		queue.Take(start, work)
		served[work.Customer]++
	}
	return served
}

// One customer sends ten times as many requests as another, and sends them earlier. The served
// requests must still follow the customers' weights.
func TestSharesByWeight(t *testing.T) {
	tests := []struct {
		name    string
		weights map[dogwoodfleet.Customer]float64
		want    map[dogwoodfleet.Customer]int
	}{
		{name: "equal", want: map[dogwoodfleet.Customer]int{"hot": 20, "quiet": 20}},
		{name: "three to one", weights: map[dogwoodfleet.Customer]float64{"hot": 1, "quiet": 3}, want: map[dogwoodfleet.Customer]int{"hot": 10, "quiet": 30}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			queue := NewQueue(trainedRates(), 1000, func(customer dogwoodfleet.Customer) float64 { return test.weights[customer] })
			for i := range 400 {
				queue.Offer(start, newWork("hot", 1000, start.Add(time.Duration(i)), time.Hour), Capacity{Slots: 10, LongSlots: 2})
			}
			for i := range 40 {
				queue.Offer(start, newWork("quiet", 1000, start.Add(time.Duration(i)), time.Hour), Capacity{Slots: 10, LongSlots: 2})
			}
			got := takeWork(t, queue, 40)
			for customer, want := range test.want {
				if got[customer] < want-1 || got[customer] > want+1 {
					t.Errorf("%s: got %d of 40, want %d", customer, got[customer], want)
				}
			}
		})
	}
}

// A customer without waiting work must not hold back slots that other customers could use.
func TestIdleCustomersLeaveTheirShareToOthers(t *testing.T) {
	queue := NewQueue(trainedRates(), 1000, equalWeights)
	queue.Offer(start, newWork("gone", 1000, start, time.Hour), Capacity{Slots: 1})
	takeWork(t, queue, 1)
	for i := range 100 {
		queue.Offer(start, newWork("here", 1000, start.Add(time.Duration(i)), time.Hour), Capacity{Slots: 1})
	}
	if got, want := takeWork(t, queue, 100)["here"], 100; got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}

// The queue is full of one customer's work when another customer sends its first request.
// Rejecting it would let one customer's flood block all others.
func TestFullQueueShedsCustomerMostOverShare(t *testing.T) {
	queue := NewQueue(trainedRates(), 100, equalWeights)
	for i := range 100 {
		queue.Offer(start, newWork("hot", 1000, start.Add(time.Duration(i)), time.Hour), Capacity{Slots: 1000})
	}
	verdict := queue.Offer(start, newWork("quiet", 1000, start, time.Hour), Capacity{Slots: 1000})
	if !verdict.Admitted || verdict.Shed == nil || verdict.Shed.Customer != "hot" || !verdict.Shed.Arrived.Equal(start.Add(99)) {
		t.Errorf("got %+v, want it admitted and the newest of hot shed", verdict)
	}
	verdict = queue.Offer(start, newWork("hot", 1000, start, time.Hour), Capacity{Slots: 1000})
	if verdict.Admitted || verdict.Reason != dogwoodfleet.ReasonShare || verdict.RetryAfter <= 0 {
		t.Errorf("got %+v, want a rejection by share with a retry delay", verdict)
	}
}

// Work that can't finish by its deadline arrives at a queue of known length. If admitted, it
// would finish late and take a slot from other work.
func TestRejectsWorkThatCannotFinish(t *testing.T) {
	tests := []struct {
		name    string
		waiting int
		budget  time.Duration
		want    bool
	}{
		{name: "empty queue", waiting: 0, budget: time.Second, want: true},
		{name: "budget shorter than the service time", waiting: 0, budget: 100 * time.Millisecond, want: false},
		{name: "queue of 2.6 s, budget of 10 s", waiting: 100, budget: 10 * time.Second, want: true},
		{name: "queue of 2.6 s, budget of 2 s", waiting: 100, budget: 2 * time.Second, want: false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			queue := NewQueue(trainedRates(), 1000, equalWeights)
			capacity := Capacity{Slots: 10, LongSlots: 2}
			for i := range test.waiting {
				queue.Offer(start, newWork("one", 1000, start.Add(time.Duration(i)-time.Second), time.Hour), capacity)
			}
			verdict := queue.Offer(start, newWork("one", 1000, start, test.budget), capacity)
			if got := verdict.Admitted; got != test.want {
				t.Errorf("got %v (predicted %v), want %v", got, verdict.Wait, test.want)
			}
		})
	}
}

// Long prompts wait while short prompts of several customers fill the queue. The long ones
// must get their minimum share of the served cost.
func TestLongWorkGetsMinimumShare(t *testing.T) {
	queue := NewQueue(trainedRates(), 100_000, equalWeights)
	for i := range 20_000 {
		queue.Offer(start, newWork(fmt.Sprint("short-", i%5), 1000, start.Add(time.Duration(i)), time.Hour), Capacity{Slots: 100_000, LongSlots: 1000})
	}
	for i := range 40 {
		queue.Offer(start, newWork("long", 200_000, start.Add(time.Duration(i)), time.Hour), Capacity{Slots: 100_000, LongSlots: 1000})
	}
	var short, long float64
	for range 10_000 {
		work := queue.Next(alwaysFits)
		queue.Take(start, work)
		if work.Long() {
			long += work.cost
		} else {
			short += work.cost
		}
	}
	if got, want := long/(long+short), MinLongShare; got < want-0.02 || got > want+0.02 {
		t.Errorf("long share of the cost: got %.3f, want %.3f", got, want)
	}
}

// TestQueueAccounting runs random operations on a queue and checks that no work is lost or
// served twice and that no customer stays counted after its work is gone.
func TestQueueAccounting(t *testing.T) {
	seed := uint64(11)
	random := rand.New(rand.NewPCG(seed, seed))
	queue := NewQueue(trainedRates(), 50, equalWeights)
	waiting := map[*Work]bool{}
	for step := range 20_000 {
		switch random.IntN(3) {
		case 0:
			work := newWork(fmt.Sprint(random.IntN(9)), 1+random.IntN(300_000), start.Add(time.Duration(step)), time.Duration(random.IntN(100))*time.Second)
			verdict := queue.Offer(start, work, Capacity{Slots: 20, LongSlots: 4})
			waiting[work] = verdict.Admitted
			delete(waiting, verdict.Shed)
		case 1:
			if work := queue.Next(alwaysFits); work != nil {
				if !waiting[work] {
					t.Fatalf("seed %d step %d: got work that isn't waiting", seed, step)
				}
				queue.Take(start, work)
				delete(waiting, work)
			}
		default:
			for work, admitted := range waiting {
				queue.Remove(work)
				delete(waiting, work)
				if admitted {
					break
				}
			}
		}
		count := 0
		for work, admitted := range waiting {
			if admitted {
				count++
			} else {
				delete(waiting, work)
			}
		}
		if got := queue.Len(); got != count {
			t.Fatalf("seed %d step %d: got %d waiting, want %d", seed, step, got, count)
		}
	}
	for work := range waiting {
		queue.Remove(work)
	}
	if len(queue.active) != 0 || len(queue.bands[0].flows) != 0 || len(queue.bands[1].flows) != 0 {
		t.Errorf("seed %d: %d customers still counted in an empty queue", seed, len(queue.active))
	}
}

// BenchmarkDecision measures one arrival and one service in a queue of constant length, the
// full cost of a request in this package.
func BenchmarkDecision(b *testing.B) {
	for _, customers := range []int{10, 300, 2700} {
		for _, length := range []int{16, 512, 4095} {
			b.Run(fmt.Sprintf("customers=%d/waiting=%d", customers, length), func(b *testing.B) {
				random := rand.New(rand.NewPCG(1, 1))
				queue := NewQueue(trainedRates(), MaxWaiting, equalWeights)
				names := make([]string, customers)
				for i := range names {
					names[i] = fmt.Sprint("customer-", i)
				}
				works := make([]*Work, length)
				capacity := Capacity{Slots: 192, LongSlots: 48}
				for i := range works {
					works[i] = newWork(names[random.IntN(customers)], 500+random.IntN(3000), start, time.Hour)
					queue.Offer(start, works[i], capacity)
				}
				spare := newWork("", 1000, start, time.Hour)
				for _, name := range names {
					queue.account(dogwoodfleet.Customer(name))
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					spare.Customer = dogwoodfleet.Customer(names[i%customers])
					spare.PromptTokens = 500 + i%3000
					spare.Arrived = start.Add(time.Duration(i))
					spare.Deadline = spare.Arrived.Add(time.Hour)
					queue.Offer(start, spare, capacity)
					spare = queue.Next(alwaysFits)
					queue.Take(start, spare)
				}
			})
		}
	}
}

// BenchmarkFullQueue measures an arrival at a full queue, which searches for the customer
// furthest above its share.
func BenchmarkFullQueue(b *testing.B) {
	for _, customers := range []int{10, 300, 2700} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			queue := NewQueue(trainedRates(), MaxWaiting, equalWeights)
			capacity := Capacity{Slots: 1 << 20, LongSlots: 1 << 20}
			for i := range MaxWaiting {
				queue.Offer(start, newWork(fmt.Sprint("customer-", i%customers), 1000, start, time.Hour), capacity)
			}
			spare := newWork("customer-0", 1000, start, time.Hour)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				spare.Arrived = start.Add(time.Duration(i))
				if verdict := queue.Offer(start, spare, capacity); verdict.Shed != nil {
					spare = verdict.Shed
				}
			}
		})
	}
}
