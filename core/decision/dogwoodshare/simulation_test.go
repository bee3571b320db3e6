package dogwoodshare_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodshare"
	"dogwoodmux.example/core/decision/dogwoodwaiting"
	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// shortPrompt and longPrompt are the prefill times of 4,960 and 220,000 tokens on one engine of the deployment G.
	shortPrompt, longPrompt = 30 * time.Millisecond, 5700 * time.Millisecond
	simulatedTime           = 18 * time.Second
	// settled is when the first effects of an empty pool are over.
	settled = 8 * time.Second
	// placementInterval is how often the requests that wait are looked at while no engine is idle.
	placementInterval = 20 * time.Millisecond
	// resendDelay is the time of a refusal's way to the caller and back.
	resendDelay = 20 * time.Millisecond
)

// load is what the customers of a simulation send.
type load struct {
	engines int
	// perSecond is the number of requests a second of each customer.
	perSecond []float64
	// took is the prefill time of each customer's requests, which come at regular times; 0 for short prompts at random.
	took []time.Duration
	// anonymous is true if the requests name no customer.
	anonymous bool
	// resends is true if the first customer sends each request again at once after it was refused.
	resends bool
	// daemons is the number of daemons, each of which learns of the others' work after delay.
	daemons int
	delay   time.Duration
	// leaf is true if the last daemon learns of the others' work as a leaf: what is still running at each fetch.
	leaf bool
	// restartAt is when all daemons lose their ledgers; 0 for never.
	restartAt time.Duration
}

// result is what a customer got in a simulation after settled.
type result struct {
	sent, placed, inTime, refused int
	engineTime                    time.Duration
}

type simulatedRequest struct {
	dogwoodwaiting.Request
	customer int
	daemon   int
	arrived  time.Duration
	until    time.Time
}

type running struct {
	use   dogwoodshare.Use
	until time.Duration
	from  int
}

type simulation struct {
	load
	random  *rand.Rand
	start   time.Time
	now     time.Duration
	ledgers []*dogwoodshare.Ledger
	queues  [][]*simulatedRequest
	busy    []time.Duration // until when each engine is busy
	news    map[time.Duration][]func()
	running []running
	known   map[string]bool
	results []result
	shares  bool
}

// simulate returns what each customer gets, with or without the customers' shares.
func simulate(load load, seed uint64, shares bool) []result {
	load.daemons = max(load.daemons, 1)
	simulation := &simulation{
		load: load, random: rand.New(rand.NewPCG(seed, 7)), start: time.Unix(1_000, 0), shares: shares,
		queues: make([][]*simulatedRequest, load.daemons), busy: make([]time.Duration, load.engines),
		news: map[time.Duration][]func(){}, results: make([]result, len(load.perSecond)), known: map[string]bool{},
	}
	simulation.loseLedgers()
	next := make([]time.Duration, len(load.perSecond))
	for customer := range next {
		next[customer] = simulation.pause(customer)
	}
	for ; simulation.now < simulatedTime; simulation.now += time.Millisecond {
		if load.restartAt > 0 && simulation.now == load.restartAt {
			simulation.loseLedgers()
		}
		for _, learn := range simulation.news[simulation.now] {
			learn()
		}
		delete(simulation.news, simulation.now)
		if load.leaf && simulation.now%(500*time.Millisecond) == 0 {
			simulation.fetchView()
		}
		for customer := range next {
			for ; next[customer] <= simulation.now; next[customer] += simulation.pause(customer) {
				simulation.arrive(customer)
			}
		}
		if simulation.hasIdleEngine() || simulation.now%placementInterval == 0 {
			for _, daemon := range simulation.random.Perm(load.daemons) {
				simulation.serve(daemon)
			}
		}
	}
	return simulation.results
}

func (simulation *simulation) hasIdleEngine() bool {
	return slices.ContainsFunc(simulation.busy, func(until time.Duration) bool { return until <= simulation.now })
}

func (simulation *simulation) loseLedgers() {
	simulation.ledgers = nil
	for range simulation.daemons {
		simulation.ledgers = append(simulation.ledgers, &dogwoodshare.Ledger{})
	}
}

func (simulation *simulation) pause(customer int) time.Duration {
	if simulation.perSecond[customer] == 0 {
		return time.Hour
	}
	if simulation.took != nil && simulation.took[customer] > 0 {
		return time.Duration(float64(time.Second) / simulation.perSecond[customer])
	}
	return time.Duration(simulation.random.ExpFloat64() / simulation.perSecond[customer] * float64(time.Second))
}

func (simulation *simulation) time() time.Time { return simulation.start.Add(simulation.now) }

func (simulation *simulation) arrive(customer int) {
	if simulation.now >= settled {
		simulation.results[customer].sent++
	}
	simulation.wait(customer)
}

func (simulation *simulation) wait(customer int) {
	request := &simulatedRequest{customer: customer, daemon: simulation.random.IntN(simulation.daemons), arrived: simulation.now}
	request.Request = dogwoodwaiting.Request{
		Arrived: simulation.time(), Deadline: simulation.time().Add(10 * time.Second), Aim: 250 * time.Millisecond, Pause: 250 * time.Millisecond, Prompt: 4_960,
	}
	request.until = simulation.time().Add(dogwoodwaiting.MaxWait(simulation.time(), &request.Request))
	simulation.queues[request.daemon] = append(simulation.queues[request.daemon], request)
}

func (simulation *simulation) serve(daemon int) {
	queue := simulation.queues[daemon]
	list := func() []dogwoodshare.Claim {
		var claims []dogwoodshare.Claim
		for _, request := range queue {
			claims = append(claims, dogwoodshare.Claim{Customer: simulation.name(request.customer)})
		}
		return claims
	}
	claims := list()
	if simulation.shares {
		for i, standing := range simulation.ledgers[daemon].Standings(simulation.time(), claims) {
			queue[i].Excess = standing.QueueExcess
		}
	}
	slices.SortStableFunc(queue, func(a, b *simulatedRequest) int {
		return dogwoodwaiting.Compare(simulation.time(), &a.Request, &b.Request)
	})
	queue = slices.DeleteFunc(queue, simulation.place)
	claims = list()
	refused := make([]bool, len(queue))
	if simulation.shares {
		var waiting []dogwoodshare.Waiting
		for i, standing := range simulation.ledgers[daemon].Standings(simulation.time(), claims) {
			waiting = append(waiting, dogwoodshare.Waiting{Claim: claims[i], Standing: standing, Since: queue[i].Arrived})
		}
		refused = dogwoodshare.Refusals(simulation.time(), waiting)
	}
	kept := queue[:0:0]
	resent := 0
	for i, request := range queue {
		if !refused[i] && simulation.time().Before(request.until) {
			kept = append(kept, request)
			continue
		}
		if request.arrived >= settled {
			simulation.results[request.customer].refused++
		}
		if request.customer == 0 && simulation.resends {
			resent++
		}
	}
	simulation.queues[daemon] = kept
	for range resent {
		due := simulation.now + resendDelay
		simulation.news[due] = append(simulation.news[due], func() { simulation.wait(0) })
	}
}

func (simulation *simulation) place(request *simulatedRequest) bool {
	engine := slices.IndexFunc(simulation.busy, func(until time.Duration) bool { return until <= simulation.now })
	if engine < 0 {
		return false
	}
	took := shortPrompt
	if simulation.took != nil && simulation.took[request.customer] > 0 {
		took = simulation.took[request.customer]
	}
	simulation.busy[engine] = simulation.now + took
	use := dogwoodshare.Use{Customer: simulation.name(request.customer), Time: took, At: simulation.time()}
	simulation.ledgers[request.daemon].Record(simulation.time(), use)
	simulation.running = append(simulation.running, running{use: use, until: simulation.now + took, from: request.daemon})
	for daemon := range simulation.daemons {
		if daemon != request.daemon && (!simulation.leaf || daemon != simulation.daemons-1) {
			due := simulation.now + simulation.delay
			simulation.news[due] = append(simulation.news[due], func() { simulation.ledgers[daemon].Record(simulation.time(), use) })
		}
	}
	result := &simulation.results[request.customer]
	if request.arrived >= settled {
		result.placed++
		result.engineTime += took
		if simulation.now-request.arrived+took <= request.Aim {
			result.inTime++
		}
	}
	return true
}

// fetchView tells the leaf of the work that is still running.
func (simulation *simulation) fetchView() {
	simulation.running = slices.DeleteFunc(simulation.running, func(running running) bool { return running.until < simulation.now })
	for i, running := range simulation.running {
		id := fmt.Sprint(running.use, i)
		if running.from != simulation.daemons-1 && !simulation.known[id] {
			simulation.known[id] = true
			simulation.ledgers[simulation.daemons-1].Record(simulation.time(), running.use)
		}
	}
}

func (load *load) name(customer int) dogwoodfleet.Customer {
	if load.anonymous {
		return ""
	}
	return dogwoodfleet.Customer(fmt.Sprint("customer-", customer))
}

// hotLoad is one customer that sends ten times as much as nine others, to engines for 133 short prompts a second.
func hotLoad(others float64) load {
	load := load{engines: 4, perSecond: []float64{10 * others}}
	for range 9 {
		load.perSecond = append(load.perSecond, others)
	}
	return load
}

func inTime(results []result) float64 {
	sent, good := 0, 0
	for _, result := range results {
		sent, good = sent+result.sent, good+result.inTime
	}
	return float64(good) / float64(max(sent, 1))
}

func engineTime(results []result) time.Duration {
	total := time.Duration(0)
	for _, result := range results {
		total += result.engineTime
	}
	return total
}

// with returns the load with other settings.
func (load load) with(change func(load *load)) load {
	change(&load)
	return load
}

func equalLoad(perSecond float64) load {
	load := load{engines: 4}
	for range 10 {
		load.perSecond = append(load.perSecond, perSecond)
	}
	return load
}

// Guards against a customer that takes the engines from others by sending more. Four engines prefill 133 short prompts a
// second. One customer sends ten times as much as nine others while engines are short: all that the others send gets its
// engine time, where without shares a third of it is refused or late.
func TestHotCustomerTakesOnlyWhatIsLeft(t *testing.T) {
	hot := hotLoad(10.5)
	tests := []struct {
		name string
		load load
		// leastInTime is the least share in time of the requests of the nine others.
		leastInTime float64
	}{
		{"one daemon", hot, 0.99},
		{"the hot customer sends again at once", hot.with(func(load *load) { load.resends = true }), 0.99},
		{"two daemons that see each other's work 2 ms late", hot.with(func(load *load) { load.daemons, load.delay = 2, 2*time.Millisecond }), 0.97},
		{"a leaf that sees what runs each 500 ms", hot.with(func(load *load) { load.daemons, load.delay, load.leaf = 3, 2*time.Millisecond, true }), 0.9},
		{"the ledger is lost with a restart", hot.with(func(load *load) { load.restartAt = 12 * time.Second }), 0.97},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			before, after := simulate(test.load, 1, false), simulate(test.load, 1, true)
			logShares(t, before, after)
			if got := inTime(after[1:]); got < test.leastInTime {
				t.Errorf("got %.3f of the others' requests in time, want %.2f", got, test.leastInTime)
			}
			if got, limit := inTime(before[1:]), 0.8; got > limit {
				t.Errorf("got %.3f in time without shares, want at most %.2f: the load must make engines short", got, limit)
			}
			// The part must not leave engines idle that the hot customer could use.
			if got, want := engineTime(after), engineTime(before)*98/100; got < want {
				t.Errorf("got %s of engine time used, want at least %s", got, want)
			}
		})
	}
}

// Guards against unequal shares where every customer sends more than its share.
func TestSharesAreEqualWhereAllWantMore(t *testing.T) {
	before, after := simulate(hotLoad(20), 1, false), simulate(hotLoad(20), 1, true)
	logShares(t, before, after)
	share := engineTime(after) / 10
	for customer, result := range after {
		if got := float64(result.engineTime) / float64(share); got < 0.7 || got > 1.4 {
			t.Errorf("customer %d: got %.2f of an equal share, want 0.7 to 1.4", customer, got)
		}
	}
	if got := float64(before[0].engineTime) / float64(engineTime(before)/10); got < 4 {
		t.Errorf("got %.1f shares for the hot customer without the part, want at least 4", got)
	}
}

// Guards against customers' shares that change what they are not for: equal customers, a single one, none, and a customer
// that uses what the others leave.
func TestNothingChangesWithoutAnUnfairCustomer(t *testing.T) {
	tests := []struct {
		name string
		load load
		// same is true if each customer must get exactly what it gets without shares.
		same bool
	}{
		{"equal customers, short of engines", equalLoad(16), false},
		{"equal customers, nearly short of engines", equalLoad(12.5), false},
		{"a hot customer with room left", hotLoad(5), false},
		{"one customer only", load{engines: 4, perSecond: []float64{180}}, true},
		{"no customers, short of engines", hotLoad(10.5).with(func(load *load) { load.anonymous = true }), true},
		{"no requests", load{engines: 4}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			before, after := simulate(test.load, 1, false), simulate(test.load, 1, true)
			logShares(t, before, after)
			if test.same && !slices.Equal(before, after) {
				t.Errorf("got %v, want %v as without shares", after, before)
			}
			for customer := range before {
				if got, want := after[customer].refused, before[customer].refused; got > want+want/5 {
					t.Errorf("customer %d: got %d requests refused, want about %d as without the part", customer, got, want)
				}
			}
			if got, want := inTime(after), inTime(before)-0.01; got < want {
				t.Errorf("got %.3f in time, want at least %.3f", got, want)
			}
		})
	}
}

// Guards against the starvation of a customer whose single request is larger than its whole share. It has used nothing for
// Window whenever it sends the next one, so that this one goes before the requests of all who use more than their share.
func TestRequestLargerThanAShareIsServed(t *testing.T) {
	tests := []struct {
		name   string
		others float64
		// least is the least part of these requests that must be served.
		least float64
	}{
		{"one customer wants more than its share", 9, 1},
		{"all want more than their share", 20, 0.5},
	}
	for _, test := range tests {
		load := hotLoad(test.others)
		load.took = make([]time.Duration, 10)
		load.perSecond[9], load.took[9] = 1/5.2, longPrompt
		var sent, without, with int
		for seed := range uint64(3) {
			before, after := simulate(load, seed, false), simulate(load, seed, true)
			sent, without, with = sent+after[9].sent, without+before[9].placed, with+after[9].placed
		}
		t.Logf("%s: %d of %d requests are served, %d without shares", test.name, with, sent, without)
		if float64(with) < test.least*float64(sent) || with <= without {
			t.Errorf("%s: got %d of %d requests served, want at least %.1f of them, and more than %d", test.name, with, sent, test.least, without)
		}
	}
}

func logShares(t *testing.T, before, after []result) {
	t.Helper()
	for _, part := range []struct {
		name    string
		results []result
	}{{"without", before}, {"with", after}} {
		if len(part.results) == 0 {
			continue
		}
		first, others := part.results[:1], part.results[1:]
		t.Logf("%s shares: the first customer has %.1f s of the engines, %.3f in time, %d refused; each of the others %.1f s, %.3f in time",
			part.name, engineTime(first).Seconds(), inTime(first), first[0].refused, engineTime(others).Seconds()/float64(max(len(others), 1)), inTime(others))
	}
}
