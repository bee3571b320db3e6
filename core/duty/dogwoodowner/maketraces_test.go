package dogwoodowner_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
)

// namedTrace is a generated trace and the name of its file.
type namedTrace struct {
	name  string
	trace trace
}

// smallEngine returns the settings of an engine with a slower prefill than the stand-in's, so that
// long prompts delay other requests.
func smallEngine() engineSettings {
	settings := defaultSettings()
	settings.PrefillTokensPerSecond = 100_000
	return settings
}

func seconds(count float64) dogwoodsettings.Duration {
	return dogwoodsettings.Duration(count * float64(time.Second))
}

// shortRequests returns a generator of requests of up to 2,000 tokens. An engine of 16 slots
// completes about 50 of them a second.
func shortRequests(customer string, deadline float64) func(*rand.Rand) arrival {
	return func(random *rand.Rand) arrival {
		return arrival{
			Customer: dogwoodfleet.Customer(customer), Prompt: 500 + random.IntN(1500), Output: 40 + random.IntN(40), Deadline: seconds(deadline),
		}
	}
}

// longRequests returns a generator of requests with prompts of tokens/2 up to tokens.
func longRequests(customer string, tokens int, deadline float64) func(*rand.Rand) arrival {
	return func(random *rand.Rand) arrival {
		return arrival{
			Customer: dogwoodfleet.Customer(customer), Prompt: tokens/2 + random.IntN(tokens/2), Output: 100, Deadline: seconds(deadline),
		}
	}
}

// fourEnginesRate is how many short requests a second four engines of 16 slots complete in a
// replay at full load.
const fourEnginesRate = 200

func makeTraces() []namedTrace {
	traces := []namedTrace{
		makeBurst(), makeHotCustomer(), makeHotPrefix(), makeSlow(), makeLongAmongShort(),
		makeLoad("capacity", 1), makeLoad("overload", 2), makeColdAgain("coldagain", true), makeColdAgain("colduntold", false), makeOutage(), makeMillion(),
	}
	for i := range traces {
		slices.SortStableFunc(traces[i].trace.Arrivals, func(a, b arrival) int { return cmp.Compare(a.At, b.At) })
	}
	return traces
}

func makeBurst() namedTrace {
	trace := trace{
		About: "Sixteen times the usual load for two seconds. First come, first served makes all that comes later late as well; here what can't be served in time is refused at once and the rest is in time.",
		Seed:  1, Engines: 4, Engine: smallEngine(),
		Outcome: expectations{MinInTime: 0.55, MaxSlowRefused: 0.02, MaxFailed: 0.001, BetterGoodput: 1},
	}
	random := rand.New(rand.NewPCG(trace.Seed, 0))
	trace.poisson(random, 0, 10*time.Second, fourEnginesRate/4, shortRequests("dealers", 3))
	trace.poisson(random, 2*time.Second, 4*time.Second, fourEnginesRate*4, shortRequests("dealers", 3))
	return namedTrace{"burst", trace}
}

func makeHotCustomer() namedTrace {
	trace := trace{
		About: "One customer sends three times what the fleet can do; five others send a tenth each. First come, first served gives the hot one nearly all; here the others don't notice.",
		Seed:  2, Engines: 4, Engine: smallEngine(),
		Outcome: expectations{MinInTimeOf: map[dogwoodfleet.Customer]float64{}, BetterGoodput: 1.0},
	}
	random := rand.New(rand.NewPCG(trace.Seed, 0))
	trace.poisson(random, time.Second, 7*time.Second, fourEnginesRate*2.5, shortRequests("hot", 4))
	for i := range 5 {
		name := fmt.Sprintf("quiet-%d", i)
		trace.poisson(random, 0, 8*time.Second, fourEnginesRate/10, shortRequests(name, 4))
		trace.Outcome.MinInTimeOf[dogwoodfleet.Customer(name)] = 0.98
	}
	return namedTrace{"hotcustomer", trace}
}

func makeHotPrefix() namedTrace {
	trace := trace{
		About: "Half of the requests share a prefix of 16,000 tokens. At random each engine reads it again and again, or one engine gets them all; here it is read a few times and no engine has much more than the others.",
		Seed:  3, Engines: 4, Engine: smallEngine(),
		Outcome: expectations{MinInTime: 0.99, MaxPrefilled: 0.45, MaxShareOfOne: 0.45},
	}
	random := rand.New(rand.NewPCG(trace.Seed, 0))
	trace.poisson(random, 0, 10*time.Second, fourEnginesRate/4, func(random *rand.Rand) arrival {
		arrival := shortRequests("readers", 5)(random)
		if random.IntN(2) == 0 {
			arrival.Prompt += 16_000
			arrival.Prefix, arrival.Family = 62, 1
		}
		return arrival
	})
	return namedTrace{"hotprefix", trace}
}

func makeSlow() namedTrace {
	trace := trace{
		About: "One of four engines becomes ten times slower. At random a quarter of the requests is ten times slower or late; here the engine is left but for a probe now and then.",
		Seed:  4, Engines: 4, Engine: smallEngine(),
		Faults:  []fault{{At: seconds(3), Engine: 1, Kind: "Slow", Factor: 10}},
		Outcome: expectations{MinInTime: 0.97, BetterGoodput: 1.02},
	}
	random := rand.New(rand.NewPCG(trace.Seed, 0))
	trace.poisson(random, 0, 15*time.Second, fourEnginesRate*0.4, shortRequests("dealers", 3))
	return namedTrace{"slowendpoint", trace}
}

func makeLongAmongShort() namedTrace {
	trace := trace{
		About: "Reviews of 125,000 to 250,000 tokens run beside short drafts. First come, first served makes drafts wait behind whole prefills; here drafts stay fast and the reviews are in time too.",
		Seed:  5, Engines: 4, Engine: smallEngine(),
		Outcome: expectations{MinInTime: 0.99, MinLongInTime: 0.95, ShortFirstP99: seconds(0.3), BetterSlowdown: 5},
	}
	random := rand.New(rand.NewPCG(trace.Seed, 0))
	trace.poisson(random, 0, 20*time.Second, fourEnginesRate*0.3, shortRequests("dealers", 10))
	trace.poisson(random, 0, 18*time.Second, 0.9, longRequests("reviews", 250_000, 60))
	return namedTrace{"longamongshort", trace}
}

func makeLoad(name string, factor float64) namedTrace {
	trace := trace{
		About: fmt.Sprintf("%g times what the fleet can do, from six customers. TestOverloadGoodput compares capacity and overload.", factor),
		Seed:  6, Engines: 4, Engine: smallEngine(),
	}
	if factor > 1 {
		trace.Outcome = expectations{MaxSlowRefused: 0.02, BetterGoodput: 2}
	}
	random := rand.New(rand.NewPCG(trace.Seed, 0))
	for i := range 6 {
		trace.poisson(random, 0, 12*time.Second, fourEnginesRate*factor/6, shortRequests(fmt.Sprintf("customer-%d", i), 3))
	}
	return namedTrace{name, trace}
}

func makeColdAgain(name string, reportsCold bool) namedTrace {
	trace := trace{
		About: "All engines turn cold at once, without a restart, under more than half of the full load; their answers say so as they begin. Sent what they bore a moment before they fall over again and again; here the limit falls on the first sign, none falls over, and the limit rises on good answers.",
		Seed:  7, Engines: 4, Engine: smallEngine(),
		Faults:  []fault{{At: seconds(4), Engine: -1, Kind: "Cold"}},
		Outcome: expectations{MinInTime: 0.7, BetterGoodput: 1.2},
	}
	trace.Engine.TellsCold = reportsCold
	if !reportsCold {
		trace.About = "As coldagain, but the engines say it only in their lagging reports: each may fall over once before it is seen, and not again."
		trace.Outcome = expectations{MinInTime: 0.6, MaxCrashes: 4, BetterGoodput: 1.2}
	}
	random := rand.New(rand.NewPCG(trace.Seed, 0))
	trace.poisson(random, 0, 20*time.Second, fourEnginesRate*0.6, shortRequests("dealers", 4))
	return namedTrace{name, trace}
}

func makeOutage() namedTrace {
	trace := trace{
		About: "All engines die and come back, cold, five seconds later. Retries of all that failed would keep them down; here retries stay within a tenth of first tries and a burst, no engine is overrun, and service comes back.",
		Seed:  8, Engines: 4, Engine: smallEngine(),
		Faults:  []fault{{At: seconds(4), Engine: -1, Kind: "Crash", For: seconds(5)}},
		Outcome: expectations{MinInTime: 0.4, MaxRetries: 0.12, BetterGoodput: 1.2},
	}
	random := rand.New(rand.NewPCG(trace.Seed, 0))
	trace.poisson(random, 0, 24*time.Second, fourEnginesRate*0.5, shortRequests("dealers", 4))
	return namedTrace{"outage", trace}
}

func makeMillion() namedTrace {
	trace := trace{
		About: "Prompts of half a million to a million tokens, each more than one engine holds, among short ones. They need two or three engines at once: without reserving they never find them free; without a bound they would starve the short ones.",
		Seed:  9, Engines: 4, Engine: defaultSettings(),
		Outcome: expectations{MinInTime: 0.99, MinLongInTime: 1, ShortFirstP99: seconds(0.1)},
	}
	random := rand.New(rand.NewPCG(trace.Seed, 0))
	trace.poisson(random, 0, 30*time.Second, fourEnginesRate*0.5, shortRequests("dealers", 10))
	trace.poisson(random, 0, 25*time.Second, 0.25, longRequests("archive", 1_000_000, 60))
	return namedTrace{"million", trace}
}
