package dogwoodscenario

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/dogwoodload/dogwoodjudge"
	"dogwoodmux.example/dogwoodload/dogwoodresult"
	"dogwoodmux.example/dogwoodload/dogwoodsender"
	"dogwoodmux.example/dogwoodload/dogwoodtrace"
	"dogwoodmux.example/dogwoodlocal/dogwoodenginestandin"
	"dogwoodmux.example/dogwoodlocal/dogwoodsite"
)

const (
	// warmUp is longer than the cold phase of the stand-ins after their start.
	warmUp = 3200 * time.Millisecond
	// leakWait is how long engines may still hold memory after the load has ended.
	leakWait = 5 * time.Second
)

// Options configure a run of a scenario.
type Options struct {
	Scenario *Scenario
	Seed     uint64
	// Policy is PolicyProduct or PolicyBaseline.
	Policy string
	// Daemons is the number of daemons; 0 means the site's default.
	Daemons int
	// Recorded replaces the scenario's own trace.
	Recorded *dogwoodtrace.Trace
	Logger   hclog.Logger
	// Base is the network that the site uses; nil means the loopback.
	Base dogwoodsite.Base
	// Begin is called before the first request with the number of requests; Done is called after
	// each request.
	Begin func(requests int)
	Done  func()
}

// The values of Options.Policy.
const (
	PolicyProduct  = "product"
	PolicyBaseline = "baseline"
)

// Run starts a site, runs the scenario against it and evaluates the outcomes.
func Run(ctx context.Context, options Options) (*dogwoodresult.Result, error) {
	trace, err := options.trace()
	if err != nil {
		return nil, err
	}
	site, err := dogwoodsite.Start(ctx, options.site())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	result, err := run(ctx, &options, site, trace)
	if closeErr := site.Close(ctx); err == nil {
		err = Error.Wrap(closeErr)
	}
	return result, err
}

func (options *Options) trace() (*dogwoodtrace.Trace, error) {
	if options.Recorded != nil {
		return options.Recorded, Error.Wrap(options.Recorded.Check())
	}
	return options.Scenario.Trace(options.Seed)
}

func (options *Options) site() dogwoodsite.Options {
	policy := ""
	if options.Policy == PolicyBaseline {
		policy = dogwoodsettings.PolicyBaseline
	}
	return dogwoodsite.Options{
		Shape:   options.Scenario.Shape,
		Daemons: options.Daemons,
		Policy:  policy,
		Logger:  options.Logger,
		Seed:    options.Seed,
		Base:    options.Base,
		Engine:  engineOptions(),
		EditText: func(text *dogwoodsettings.Text) {
			for i := range text.Services {
				if text.Services[i].Kind == dogwoodfleet.EnginePool {
					text.Services[i].WarmLimit = engineBatch
				}
			}
		},
	}
}

func run(ctx context.Context, options *Options, site *dogwoodsite.Site, trace *dogwoodtrace.Trace) (*dogwoodresult.Result, error) {
	if options.Scenario.Prepare != nil {
		options.Scenario.Prepare(site)
	}
	if err := wait(ctx, warmUp); err != nil {
		return nil, err
	}
	options.Begin(len(trace.Arrivals))
	sender := dogwoodsender.New(senderOptions(options, site, trace))
	execution := newExecution(site)
	execution.start = time.Now()
	var steps sync.WaitGroup
	steps.Go(func() { execution.runSteps(ctx, options.Scenario.Steps) })
	samples := sender.Send(ctx)
	steps.Wait()
	if err := wait(ctx, leakWait); err != nil {
		return nil, err
	}
	execution.finishTakeOuts()
	return evaluate(options, execution, samples), nil
}

// Fleet is a running site and a trace, which Send sends to it.
type Fleet struct {
	options Options
	site    *dogwoodsite.Site
	trace   *dogwoodtrace.Trace
}

// StartFleet starts a site without sending the trace.
func StartFleet(ctx context.Context, options Options) (*Fleet, error) {
	trace, err := options.trace()
	if err != nil {
		return nil, err
	}
	site, err := dogwoodsite.Start(ctx, options.site())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Fleet{options: options, site: site, trace: trace}, nil
}

// Site returns the running site.
func (fleet *Fleet) Site() *dogwoodsite.Site {
	return fleet.site
}

// Send sends the trace, waits until the last request has ended and returns the number of requests.
func (fleet *Fleet) Send(ctx context.Context) int {
	sender := dogwoodsender.New(senderOptions(&fleet.options, fleet.site, fleet.trace))
	return len(sender.Send(ctx))
}

// Close closes the site.
func (fleet *Fleet) Close(ctx context.Context) error {
	return Error.Wrap(fleet.site.Close(ctx))
}

func wait(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

func senderOptions(options *Options, site *dogwoodsite.Site, trace *dogwoodtrace.Trace) dogwoodsender.Options {
	result := dogwoodsender.Options{
		Trace: trace,
		Dial:  site.CallerDial,
		Check: checkAnswer,
		Done:  options.Done,
	}
	for _, daemon := range site.Daemons() {
		result.Seeds = append(result.Seeds, daemon.Serve)
	}
	for _, customer := range site.Shape.Customers {
		result.Accounts = append(result.Accounts, dogwoodsender.Account{Customer: customer, Key: site.Keys(customer)})
	}
	return result
}

// checkAnswer returns an error unless the content is exactly the answer to the arrival.
func checkAnswer(arrival *dogwoodtrace.Arrival, content string) error {
	if arrival.Kind == dogwoodtrace.Chat {
		return dogwoodenginestandin.CheckAnswer(content, arrival.LoadID, arrival.MaxTokens)
	}
	return dogwoodsender.CheckPlain(arrival, content)
}

func evaluate(options *Options, execution *Execution, samples []dogwoodsender.Sample) *dogwoodresult.Result {
	site := execution.site
	result := &dogwoodresult.Result{
		Scenario:            options.Scenario.Name,
		Seed:                options.Seed,
		Policy:              options.Policy,
		Daemons:             len(site.Daemons()),
		Endpoints:           len(site.Engines) + len(site.Plain),
		NewWorkAfterTakeOut: dogwoodresult.Duration(execution.newWorkAfterTakeOut),
		ConfigSpread:        dogwoodresult.Duration(execution.configSpread),
		CutByShutdown:       dogwoodjudge.CountCutByStops(execution.stops, samples),
		LostWithEntry:       dogwoodjudge.CountLostToKills(execution.kills, samples),
		Events:              execution.events,
		StepsFailed:         execution.failures,
	}
	dogwoodjudge.Judge(result, samples, collectRuns(site), dogwoodjudge.Speed{Prefill: enginePrefill, Decode: engineDecode})
	return result
}

// collectRuns reads from the stand-ins which requests they ran, and their counters.
func collectRuns(site *dogwoodsite.Site) *dogwoodjudge.Ran {
	ran := &dogwoodjudge.Ran{Runs: map[string]int{}, RunsOfKey: map[string]int{}, LastRun: map[string]time.Time{}}
	for _, engine := range site.Engines {
		for _, run := range engine.Ran() {
			ran.Runs[run.Tag]++
			ran.LastRun[run.Tag] = later(ran.LastRun[run.Tag], run.At)
		}
		ran.LeakedMemory += engine.HeldTokens()
		ran.ColdOverruns += engine.ColdOverruns()
		ran.UntoldColdOverruns += engine.UntoldColdOverruns()
	}
	for _, server := range site.Plain {
		for _, run := range server.Ran() {
			ran.Runs[run.LoadID]++
			ran.LastRun[run.LoadID] = later(ran.LastRun[run.LoadID], run.At)
			if run.Key != "" {
				ran.RunsOfKey[run.Key]++
			}
		}
		ran.ColdOverruns += server.ColdOverruns()
	}
	return ran
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
