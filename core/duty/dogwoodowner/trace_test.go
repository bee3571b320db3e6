package dogwoodowner_test

import (
	"context"
	"encoding/json"
	"flag"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tailscale/hujson"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

var record = flag.Bool("record", false, "regenerate the traces of testdata/traces from their seeds")

// trace is a recorded load with the outcome that it must have.
type trace struct {
	// About describes the load pattern and what fails without the decisions.
	About   string
	Seed    uint64
	Engines int
	Engine  engineSettings
	// Faults are injected into engines at their times.
	Faults []fault `json:",omitempty"`
	// Weights holds the customers' weights; 1 if missing.
	Weights  map[dogwoodfleet.Customer]float64 `json:",omitempty"`
	Outcome  expectations
	Arrivals []arrival
}

// fault is an event that makes an engine fail or slow down.
type fault struct {
	At     dogwoodsettings.Duration
	Engine int // -1 for all
	Kind   string
	For    dogwoodsettings.Duration `json:",omitzero"`
	Factor float64                  `json:",omitempty"`
}

// expectations bounds what callers receive. Zero values aren't checked, except for MaxLate and
// MaxCrashes.
type expectations struct {
	MinInTime      float64                                            `json:",omitempty"` // share of all sent
	MinInTimeOf    map[dogwoodfleet.Customer]float64                  `json:",omitempty"`
	MinLongInTime  float64                                            `json:",omitempty"` // share of the prompts over 64,000 tokens
	ShortFirstP99  dogwoodsettings.Duration                           `json:",omitzero"`
	BetterGoodput  float64                                            `json:",omitempty"` // ratio of answers in time to the baseline's
	BetterSlowdown float64                                            `json:",omitempty"` // ratio of the baseline's p99 slowdown of short requests to ours
	MaxPrefilled   float64                                            `json:",omitempty"` // prefilled tokens as a share of all prompts' tokens
	MaxRetries     float64                                            `json:",omitempty"` // further tries as a share of first tries
	MaxFailed      float64                                            `json:",omitempty"` // failed calls as a share of all sent
	MaxSlowRefused float64                                            `json:",omitempty"` // calls refused after 100 ms or more as a share of all sent
	MaxLate        int                                                `json:",omitempty"`
	MaxCrashes     int                                                `json:",omitempty"`
	MaxShareOfOne  float64                                            `json:",omitempty"` // the busiest engine's share of all runs
	MaxWaitOf      map[dogwoodfleet.Customer]dogwoodsettings.Duration `json:",omitempty"`
}

// arrival is a call of a trace.
type arrival struct {
	At       dogwoodsettings.Duration
	Customer dogwoodfleet.Customer
	Prompt   int
	Output   int
	Deadline dogwoodsettings.Duration
	// Prefix is the number of leading blocks shared with all arrivals of the same Family.
	Prefix int `json:",omitempty"`
	Family int `json:",omitempty"`
}

// outcome is what the callers of a trace received under one policy.
type outcome struct {
	sent, inTime, refused, failed, late int
	inWindow                            int // answered in time before the last arrival
	longSent, longInTime                int
	sentOf, inTimeOf                    map[dogwoodfleet.Customer]int
	shortFirst, shortSlowdown           []time.Duration // a slowdown of 1 is stored as a second
	waits                               map[dogwoodfleet.Customer]time.Duration
	retries, overruns, crashes          int
	prefilled, prompts                  float64
	slowRefused                         int
	busiest                             float64
	leaked                              int
}

// slowdown returns the p99 slowdown of short requests.
func (outcome *outcome) slowdown() float64 {
	return percentile(outcome.shortSlowdown, 0.99).Seconds()
}

// replay runs a trace under a policy on the fake clock and returns the outcome.
func replay(t *testing.T, trace *trace, policy string) outcome {
	t.Helper()
	result := outcome{
		sentOf: map[dogwoodfleet.Customer]int{}, inTimeOf: map[dogwoodfleet.Customer]int{}, waits: map[dogwoodfleet.Customer]time.Duration{},
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var customers []dogwoodsettings.Customer
		for name, weight := range trace.Weights {
			customers = append(customers, dogwoodsettings.Customer{Name: name, Weight: weight})
		}
		site := newSite(ctx, policy, trace.Engine, trace.Engines, 1, customers)
		site.warm(ctx)
		begin := time.Now()
		for _, fault := range trace.Faults {
			site.background.Go(func() { site.injectFault(ctx, begin, fault) })
		}
		var group sync.WaitGroup
		var mutex sync.Mutex
		for i, arrival := range trace.Arrivals {
			group.Go(func() {
				time.Sleep(time.Until(begin.Add(time.Duration(arrival.At))))
				got := site.send(ctx, 0, arrival.call(i))
				mutex.Lock()
				defer mutex.Unlock()
				result.add(&site.settings, &got)
				if got.answered && !got.late() && time.Duration(arrival.At)+got.took <= time.Duration(trace.Arrivals[len(trace.Arrivals)-1].At) {
					result.inWindow++
				}
			})
		}
		group.Wait()
		time.Sleep(5 * time.Second)
		result.leaked = site.running()
		result.addEngines(site, trace)
		cancel()
		site.background.Wait()
	})
	return result
}

// warm makes the engines warm and sends requests until the owners have raised the limits.
func (site *site) warm(ctx context.Context) {
	for _, engine := range site.engines {
		engine.warm()
	}
	for range 12 {
		var group sync.WaitGroup
		for range len(site.engines) * site.settings.MaxBatch {
			group.Go(func() {
				site.send(ctx, 0, call{Customer: "warming", Prompt: 1000, Output: 20, Deadline: 20 * time.Second})
			})
		}
		group.Wait()
		time.Sleep(time.Second)
	}
	for _, engine := range site.engines {
		engine.runs, engine.prefilled, engine.overruns, engine.crashes = 0, 0, 0, 0
	}
	site.tries = 0
}

func (site *site) injectFault(ctx context.Context, begin time.Time, fault fault) {
	time.Sleep(time.Until(begin.Add(time.Duration(fault.At))))
	if ctx.Err() != nil {
		return
	}
	for i, engine := range site.engines {
		if fault.Engine >= 0 && fault.Engine != i {
			continue
		}
		switch fault.Kind {
		case "Crash":
			engine.crash(time.Duration(fault.For))
		case "Cold":
			engine.turnCold()
		case "Slow":
			engine.setSlowFactor(fault.Factor)
		}
	}
}

func (arrival *arrival) call(number int) call {
	blocks := make([]uint64, 0, arrival.Prefix)
	for i := range arrival.Prefix {
		blocks = append(blocks, uint64(arrival.Family)<<32|uint64(i+1))
	}
	return call{
		Customer: arrival.Customer, Prompt: arrival.Prompt, Output: arrival.Output,
		Deadline: time.Duration(arrival.Deadline), Digest: digestOf(number), Blocks: blocks,
	}
}

// shortTokens is the length up to which a prompt counts as short in an outcome.
const shortTokens = 4000

func (outcome *outcome) add(settings *engineSettings, got *callResult) {
	long := got.Prompt > 64_000
	outcome.sent++
	outcome.sentOf[got.Customer]++
	outcome.retries += got.tries - 1
	outcome.prompts += float64(got.Prompt)
	if long {
		outcome.longSent++
	}
	if got.late() {
		outcome.late++
	}
	switch {
	case got.answered && !got.late():
		outcome.inTime++
		outcome.inTimeOf[got.Customer]++
		if long {
			outcome.longInTime++
		}
		outcome.waits[got.Customer] = max(outcome.waits[got.Customer], got.firstToken)
		if got.Prompt <= shortTokens {
			outcome.shortFirst = append(outcome.shortFirst, got.firstToken)
			slowdown := got.took.Seconds() / settings.idleDuration(got.Prompt, got.Output).Seconds()
			outcome.shortSlowdown = append(outcome.shortSlowdown, time.Duration(slowdown*float64(time.Second)))
		}
	case got.state == dogwoodfleet.NotRun:
		outcome.refused++
		if got.took >= 100*time.Millisecond {
			outcome.slowRefused++
		}
	default:
		outcome.failed++
	}
}

func (outcome *outcome) addEngines(site *site, trace *trace) {
	total, busiest := 0, 0
	for _, engine := range site.engines {
		total += engine.runs
		busiest = max(busiest, engine.runs)
		outcome.overruns += engine.overruns
		outcome.crashes += engine.crashes
		outcome.prefilled += float64(engine.prefilled)
	}
	for _, fault := range trace.Faults {
		if fault.Kind == "Crash" && fault.Engine < 0 {
			outcome.crashes -= trace.Engines
		} else if fault.Kind == "Crash" {
			outcome.crashes--
		}
	}
	outcome.busiest = float64(busiest) / float64(max(total, 1))
	outcome.prefilled /= max(outcome.prompts, 1)
}

func (outcome *outcome) log(t *testing.T, policy string) {
	t.Helper()
	t.Logf("%-8s sent %d in time %d (long %d/%d) refused %d (slowly %d) failed %d late %d | short first p50 %v p99 %v slowdown p99 %.1f | retries %d overruns %d crashes %d prefilled %.2f busiest %.2f leaked %d",
		policy, outcome.sent, outcome.inTime, outcome.longInTime, outcome.longSent, outcome.refused, outcome.slowRefused, outcome.failed, outcome.late,
		percentile(outcome.shortFirst, 0.5).Round(time.Millisecond), percentile(outcome.shortFirst, 0.99).Round(time.Millisecond), outcome.slowdown(),
		outcome.retries, outcome.overruns, outcome.crashes, outcome.prefilled, outcome.busiest, outcome.leaked)
}

func atLeast(t *testing.T, what string, got, want float64) {
	t.Helper()
	if want > 0 && got < want {
		t.Errorf("%s: got %.3f, want at least %.3f", what, got, want)
	}
}

func atMost(t *testing.T, what string, got, want float64) {
	t.Helper()
	if want > 0 && got > want {
		t.Errorf("%s: got %.3f, want at most %.3f", what, got, want)
	}
}

func (expectations *expectations) check(t *testing.T, got, baseline *outcome) {
	t.Helper()
	atLeast(t, "in time", float64(got.inTime)/float64(got.sent), expectations.MinInTime)
	atLeast(t, "long in time", float64(got.longInTime)/math.Max(float64(got.longSent), 1), expectations.MinLongInTime)
	for customer, minimum := range expectations.MinInTimeOf {
		atLeast(t, "in time of "+string(customer), float64(got.inTimeOf[customer])/float64(got.sentOf[customer]), minimum)
	}
	for customer, maximum := range expectations.MaxWaitOf {
		atMost(t, "longest first token of "+string(customer), got.waits[customer].Seconds(), time.Duration(maximum).Seconds())
	}
	atMost(t, "short first token p99", percentile(got.shortFirst, 0.99).Seconds(), time.Duration(expectations.ShortFirstP99).Seconds())
	atMost(t, "refused after 100 ms or more", float64(got.slowRefused)/float64(got.sent), expectations.MaxSlowRefused)
	atLeast(t, "goodput over baseline", float64(got.inTime)/math.Max(float64(baseline.inTime), 1), expectations.BetterGoodput)
	atLeast(t, "baseline's slowdown over ours", baseline.slowdown()/got.slowdown(), expectations.BetterSlowdown)
	atMost(t, "prefilled", got.prefilled, expectations.MaxPrefilled)
	atMost(t, "retries", float64(got.retries)/float64(got.sent), expectations.MaxRetries)
	atMost(t, "busiest engine", got.busiest, expectations.MaxShareOfOne)
	if got.late > expectations.MaxLate {
		t.Errorf("late: got %d, want at most %d", got.late, expectations.MaxLate)
	}
	if got.crashes > expectations.MaxCrashes {
		t.Errorf("engine crashes: got %d, want at most %d", got.crashes, expectations.MaxCrashes)
	}
	atMost(t, "failed", float64(got.failed)/float64(got.sent), expectations.MaxFailed)
	if got.leaked != 0 {
		t.Errorf("grants after the end: got %d, want 0", got.leaked)
	}
}

func readTrace(t *testing.T, name string) *trace {
	t.Helper()
	source, err := os.ReadFile(filepath.Join("testdata", "traces", name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	standard, err := hujson.Standardize(source)
	if err != nil {
		t.Fatal(err)
	}
	var read trace
	if err := json.Unmarshal(standard, &read); err != nil {
		t.Fatal(err)
	}
	return &read
}

// writeTrace writes a trace with one arrival per line, so that diffs stay readable.
func writeTrace(t *testing.T, name string, written trace) {
	t.Helper()
	arrivals := written.Arrivals
	written.Arrivals = []arrival{}
	head, err := json.MarshalIndent(written, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	head = head[:len(head)-len("[]\n}")]
	head = append(head, "[\n"...)
	for i, arrival := range arrivals {
		line, err := json.Marshal(arrival)
		if err != nil {
			t.Fatal(err)
		}
		head = append(append(head, "    "...), line...)
		if i < len(arrivals)-1 {
			head = append(head, ',')
		}
		head = append(head, '\n')
	}
	head = append(head, "  ]\n}\n"...)
	if err := os.WriteFile(filepath.Join("testdata", "traces", name+".json"), head, 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestTraces replays each recorded trace on a fake clock, under the product's policy and under
// the baseline, and checks the product's outcome against the trace's expectations. The About of
// each trace describes the failure that it guards against.
func TestTraces(t *testing.T) {
	if *record {
		for _, named := range makeTraces() {
			writeTrace(t, named.name, named.trace)
		}
	}
	names, err := filepath.Glob(filepath.Join("testdata", "traces", "*.json"))
	if err != nil || len(names) == 0 {
		t.Fatalf("got %d traces, %v; want some", len(names), err)
	}
	for _, path := range names {
		name := filepath.Base(path[:len(path)-len(".json")])
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			trace := readTrace(t, name)
			baseline := replay(t, trace, dogwoodowner.PolicyBaseline)
			got := replay(t, trace, "")
			baseline.log(t, "baseline")
			got.log(t, "product")
			trace.Outcome.check(t, &got, &baseline)
		})
	}
}

// poisson adds arrivals of a Poisson process with the given rate.
func (trace *trace) poisson(random *rand.Rand, from, to time.Duration, perSecond float64, draw func(*rand.Rand) arrival) {
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= to {
			return
		}
		arrival := draw(random)
		arrival.At = dogwoodsettings.Duration(at.Round(time.Millisecond))
		trace.Arrivals = append(trace.Arrivals, arrival)
	}
}
