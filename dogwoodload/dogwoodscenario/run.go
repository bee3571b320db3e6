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
	// warmUp is longer than stand-ins are cold after their start.
	warmUp = 3200 * time.Millisecond
	// leakWait is how long after the load memory may still be held.
	leakWait = 5 * time.Second
)

// Options say how a scenario is run.
type Options struct {
	Scenario *Scenario
	Seed     uint64
	// Policy is "product" or "baseline".
	Policy string
	// Daemons is how many; 0 is the site's default.
	Daemons int
	// Recorded replaces the scenario's own trace.
	Recorded *dogwoodtrace.Trace
	Logger   hclog.Logger
	// Base is the network below the site's; nil is the loopback.
	Base dogwoodsite.Base
	// Begin is told the number of requests before the first; Done is called after each.
	Begin func(requests int)
	Done  func()
}

// The policies.
const (
	PolicyProduct  = "product"
	PolicyBaseline = "baseline"
)

// Run starts a site, runs the scenario against it and judges.
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
	if closing := site.Close(ctx); err == nil {
		err = Error.Wrap(closing)
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
		Edit: func(text *dogwoodsettings.Text) {
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
	stage := newStage(site)
	stage.start = time.Now()
	var playing sync.WaitGroup
	playing.Go(func() { stage.play(ctx, options.Scenario.Steps) })
	samples := sender.Send(ctx)
	playing.Wait()
	if err := wait(ctx, leakWait); err != nil {
		return nil, err
	}
	stage.closeTakeOuts()
	return judge(options, stage, samples), nil
}

// Fleet is a site whose trace is sent when its caller says so.
type Fleet struct {
	options Options
	site    *dogwoodsite.Site
	trace   *dogwoodtrace.Trace
}

// Begin starts a site and sends nothing yet.
func Begin(ctx context.Context, options Options) (*Fleet, error) {
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

// Send sends the trace and returns the number of requests when the last has ended.
func (fleet *Fleet) Send(ctx context.Context) int {
	sender := dogwoodsender.New(senderOptions(&fleet.options, fleet.site, fleet.trace))
	return len(sender.Send(ctx))
}

// End closes the site.
func (fleet *Fleet) End(ctx context.Context) error {
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
	made := dogwoodsender.Options{
		Trace: trace,
		Dial:  site.CallerDial,
		Check: check,
		Done:  options.Done,
	}
	for _, daemon := range site.Daemons() {
		made.Seeds = append(made.Seeds, daemon.Serve)
	}
	for _, customer := range site.Shape.Customers {
		made.Accounts = append(made.Accounts, dogwoodsender.Account{Customer: customer, Key: site.Keys(customer)})
	}
	return made
}

// check returns an error if an answer is not wholly the arrival's own.
func check(arrival *dogwoodtrace.Arrival, content string) error {
	if arrival.Kind == dogwoodtrace.Chat {
		return dogwoodenginestandin.CheckAnswer(content, arrival.LoadID, arrival.MaxTokens)
	}
	return dogwoodsender.CheckPlain(arrival, content)
}

func judge(options *Options, stage *Stage, samples []dogwoodsender.Sample) *dogwoodresult.Result {
	site := stage.site
	result := &dogwoodresult.Result{
		Scenario:            options.Scenario.Name,
		Seed:                options.Seed,
		Policy:              options.Policy,
		Daemons:             len(site.Daemons()),
		Endpoints:           len(site.Engines) + len(site.Plain),
		NewWorkAfterTakeOut: dogwoodresult.Duration(stage.newWorkAfterTakeOut),
		ConfigSpread:        dogwoodresult.Duration(stage.configSpread),
		CutByShutdown:       dogwoodjudge.CutBy(stage.stops, samples),
		LostWithEntry:       dogwoodjudge.LostWith(stage.kills, samples),
		Events:              stage.events,
		StepsFailed:         stage.failures,
	}
	dogwoodjudge.Judge(result, samples, whatRan(site), dogwoodjudge.Speed{Prefill: enginePrefill, Decode: engineDecode})
	return result
}

// whatRan asks the stand-ins.
func whatRan(site *dogwoodsite.Site) *dogwoodjudge.Ran {
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

func later(one, other time.Time) time.Time {
	if other.After(one) {
		return other
	}
	return one
}
