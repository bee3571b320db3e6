package dogwoodwaiting_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodmux.example/core/decision/dogwoodshare"
	"dogwoodmux.example/core/decision/dogwoodwaiting"
	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	simulatedTime = 15 * time.Second
	// runTime is how long a request holds its slot on average; simulatedSlots slots make 13 starts a second.
	runTime        = 2 * time.Second
	simulatedSlots = 26
	prefillTime    = 30 * time.Millisecond
	// maxWait is how long a request waits before its caller is refused and sends another one.
	maxWait    = 2200 * time.Millisecond
	frozenTime = 2 * time.Second
	// lookInterval is how often a daemon looks for slots that others freed, leafInterval how often a leaf fetches its view.
	lookInterval = 20 * time.Millisecond
	leafInterval = 500 * time.Millisecond
	service      = "s"
)

// minimumLoad is a customer of rank 1 with more callers than there are slots, beside callers of less urgent ranks.
type minimumLoad struct {
	daemons int
	// urgent is the number of callers of rank 0.
	urgent int
	// lower is the number of callers of each less urgent rank, from rank 2 on.
	lower []int
	// lowerDaemons is the number of daemons at which these callers arrive; 0 for all.
	lowerDaemons int
	// leaves is the number of daemons that see the others' work as leaves do, cutOff that of those that see only their own.
	leaves, cutOff int
	// restartAt is when the first daemon, or all of them with restartAll, lose what they know.
	restartAt  time.Duration
	restartAll bool
	// frozenAt is when the first daemon stands still for frozenTime, and textAt when less urgent ranks become less urgent by one.
	frozenAt, textAt time.Duration
}

type minimumDaemon struct {
	ledger   *dogwoodshare.Ledger
	minimums *dogwoodwaiting.Minimums
	queue    []*minimumRequest
	// seenShare is the share of the daemons that this one sees.
	seenShare float64
}

type minimumRequest struct {
	rank  int
	until time.Duration
}

type minimumRun struct {
	rank, daemon int
	ends         time.Duration
}

type minimumStart struct {
	at   time.Duration
	rank int
}

type minimumSimulation struct {
	minimumLoad
	random  *rand.Rand
	now     time.Duration
	pool    []*minimumDaemon
	running []minimumRun
	news    map[time.Duration][]func()
	starts  []minimumStart
}

// RankUses returns the use of the ledger as a board does.
func (daemon *minimumDaemon) RankUses(now time.Time, _ dogwoodfleet.Service) []dogwoodshare.RankUse {
	uses := daemon.ledger.RankUses(now)
	for i := range uses {
		uses[i].Own = time.Duration(daemon.seenShare * float64(uses[i].Own))
	}
	return uses
}

func (simulation *minimumSimulation) time() time.Time { return time.Unix(1_000, 0).Add(simulation.now) }

// simulateMinimum returns the starts in their order.
func simulateMinimum(load minimumLoad, seed uint64) []minimumStart {
	simulation := &minimumSimulation{minimumLoad: load, random: rand.New(rand.NewPCG(seed, 9)), news: map[time.Duration][]func(){}}
	for range load.daemons {
		simulation.pool = append(simulation.pool, &minimumDaemon{})
	}
	for daemon := range load.daemons {
		simulation.restart(daemon)
	}
	for range 96 {
		simulation.send(1)
	}
	for range load.urgent {
		simulation.send(0)
	}
	for i, callers := range load.lower {
		for range callers {
			simulation.send(2 + i)
		}
	}
	for range simulatedSlots {
		simulation.running = append(simulation.running, minimumRun{1, simulation.random.IntN(load.daemons), time.Duration(simulation.random.Int64N(int64(runTime)))})
	}
	for ; simulation.now < simulatedTime; simulation.now += time.Millisecond {
		simulation.step()
	}
	return simulation.starts
}

func (simulation *minimumSimulation) step() {
	if simulation.restartAt > 0 && simulation.now == simulation.restartAt {
		for daemon := range simulation.pool {
			if daemon == 0 || simulation.restartAll {
				simulation.restart(daemon)
			}
		}
	}
	for _, learn := range simulation.news[simulation.now] {
		learn()
	}
	delete(simulation.news, simulation.now)
	for i, daemon := range simulation.pool {
		if time.Duration(i)*time.Millisecond != simulation.now%lookInterval {
			continue
		}
		daemon.queue = slices.DeleteFunc(daemon.queue, func(request *minimumRequest) bool {
			if simulation.now >= request.until {
				simulation.news[simulation.now+lookInterval] = append(simulation.news[simulation.now+lookInterval], func() { simulation.send(request.rank) })
				return true
			}
			return false
		})
		simulation.serve(i)
	}
	ended := slices.Clone(simulation.running)
	simulation.running = slices.DeleteFunc(simulation.running, func(run minimumRun) bool { return run.ends <= simulation.now })
	for _, run := range ended {
		if run.ends <= simulation.now { // its daemon's own requests use the slot first, and its caller sends the next request
			simulation.serve(run.daemon)
			simulation.send(run.rank)
		}
	}
}

func (simulation *minimumSimulation) restart(daemon int) {
	seenShare := 1.0
	if daemon < simulation.cutOff {
		seenShare = 1 / float64(simulation.daemons)
	}
	*simulation.pool[daemon] = minimumDaemon{
		ledger: &dogwoodshare.Ledger{}, minimums: &dogwoodwaiting.Minimums{FirstTurn: simulation.random.Float64()},
		queue: simulation.pool[daemon].queue, seenShare: seenShare,
	}
}

func (simulation *minimumSimulation) send(rank int) {
	daemons := simulation.daemons
	if rank > 1 && simulation.lowerDaemons > 0 {
		daemons = simulation.lowerDaemons
	}
	if rank == 2 && simulation.textAt > 0 && simulation.now >= simulation.textAt {
		rank = 3
	}
	daemon := simulation.pool[simulation.random.IntN(daemons)]
	daemon.queue = append(daemon.queue, &minimumRequest{rank, simulation.now + maxWait})
}

// serve places a daemon's requests as its queue does.
func (simulation *minimumSimulation) serve(number int) {
	if number == 0 && simulation.frozenAt > 0 && simulation.now >= simulation.frozenAt && simulation.now < simulation.frozenAt+frozenTime {
		return
	}
	daemon := simulation.pool[number]
	slices.SortStableFunc(daemon.queue, func(a, b *minimumRequest) int { return a.rank - b.rank })
	var claims []dogwoodwaiting.RankClaim
	for _, request := range daemon.queue {
		claims = append(claims, dogwoodwaiting.RankClaim{Service: service, Rank: request.rank})
	}
	daemon.minimums.SetWaiting(simulation.time(), claims, daemon)
	for len(daemon.queue) > 0 && len(simulation.running) < simulatedSlots {
		next := max(slices.IndexFunc(daemon.queue, func(request *minimumRequest) bool {
			return daemon.minimums.IsDue(dogwoodwaiting.RankClaim{Service: service, Rank: request.rank})
		}), 0)
		rank := daemon.queue[next].rank
		daemon.queue = slices.Delete(daemon.queue, next, next+1)
		simulation.running = append(simulation.running, minimumRun{rank, number, simulation.now + runTime/2 + time.Duration(simulation.random.Int64N(int64(runTime))).Truncate(time.Millisecond)})
		simulation.starts = append(simulation.starts, minimumStart{simulation.now, rank})
		simulation.announce(number, rank)
		daemon.minimums.Started(simulation.time(), dogwoodwaiting.RankClaim{Service: service, Rank: rank}, daemon)
	}
}

// announce records a start at its daemon, and at the others when they learn of it.
func (simulation *minimumSimulation) announce(from, rank int) {
	at := simulation.time()
	for number, daemon := range simulation.pool {
		use := dogwoodshare.Use{Rank: rank, Time: prefillTime, At: at, Own: number == from}
		learnt := simulation.now + 2*time.Millisecond
		switch {
		case number == from:
			daemon.ledger.Record(at, use)
			continue
		case number < simulation.cutOff:
			continue
		case number < simulation.cutOff+simulation.leaves:
			offset := leafInterval * time.Duration(number) / time.Duration(simulation.daemons) // leaves don't fetch at the same time
			learnt = ((simulation.now-offset)/leafInterval+1)*leafInterval + offset
		}
		simulation.news[learnt] = append(simulation.news[learnt], func() { daemon.ledger.Record(simulation.time(), use) })
	}
}

// lowerShares returns the least and the largest share of the starts of less urgent ranks in any 5 s.
func lowerShares(starts []minimumStart) (least, most float64) {
	least = 1
	for from := time.Duration(0); from+dogwoodshare.Window <= simulatedTime; from += 100 * time.Millisecond {
		lower, all := 0, 0
		for _, start := range starts {
			if start.at >= from && start.at < from+dogwoodshare.Window {
				all++
				if start.rank > 1 {
					lower++
				}
			}
		}
		share := float64(lower) / float64(max(all, 1))
		least, most = min(least, share), max(most, share)
	}
	return least, most
}

// Load: ten daemons with 13 starts a second in all, a customer of rank 1 that sends more than all slots can run, and callers of less
// urgent ranks. Guards against a rank that starves until each daemon alone has started ten requests, and against daemons that all
// give a rank that is due a start.
func TestMinimumOverAllDaemons(t *testing.T) {
	const seeds = 4
	tests := []struct {
		name string
		load minimumLoad
		// least is the least share in any 5 s.
		least float64
	}{
		{"hubs", minimumLoad{daemons: 10, lower: []int{12}}, 0.05},
		{"two less urgent ranks", minimumLoad{daemons: 10, lower: []int{12, 12}}, 0.05},
		{"many requests of the less urgent rank", minimumLoad{daemons: 10, lower: []int{96}}, 0.05},
		{"at four daemons only", minimumLoad{daemons: 10, lower: []int{12}, lowerDaemons: 4}, 0.04},
		{"a leaf with an old view", minimumLoad{daemons: 10, lower: []int{12}, leaves: 1}, 0.05},
		{"three leaves", minimumLoad{daemons: 10, lower: []int{12}, leaves: 3}, 0.04},
		{"six leaves", minimumLoad{daemons: 10, lower: []int{12}, leaves: 6}, 0.04},
		{"leaves only", minimumLoad{daemons: 10, lower: []int{96}, leaves: 10}, 0.04},
		{"a daemon that has just started", minimumLoad{daemons: 10, lower: []int{12}, restartAt: 7 * time.Second}, 0.05},
		{"a daemon that is cut off", minimumLoad{daemons: 10, lower: []int{12}, cutOff: 1}, 0.05},
		{"all daemons killed at once", minimumLoad{daemons: 10, lower: []int{12}, restartAt: 7 * time.Second, restartAll: true}, 0.05},
		{"a frozen daemon", minimumLoad{daemons: 10, lower: []int{12}, frozenAt: 7 * time.Second}, 0.05},
		{"a text changes ranks", minimumLoad{daemons: 10, lower: []int{12}, textAt: 7 * time.Second}, 0.04},
		{"a more urgent rank than the hot customer's", minimumLoad{daemons: 10, urgent: 3, lower: []int{12}}, 0.04},
		{"one daemon", minimumLoad{daemons: 1, lower: []int{12}}, 0.05},
		{"three daemons", minimumLoad{daemons: 3, lower: []int{12}}, 0.05},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			least, most := 1.0, 0.0
			for seed := range uint64(seeds) {
				low, high := lowerShares(simulateMinimum(test.load, seed))
				least, most = min(least, low), max(most, high)
			}
			t.Logf("from %.3f to %.3f of the starts in any 5 s, %d seeds", least, most, seeds)
			if least < test.least || most > 0.2 {
				t.Errorf("got %.3f to %.3f of the starts in any 5 s for the less urgent ranks, want %.2f to 0.2", least, most, test.least)
			}
		})
	}
}
