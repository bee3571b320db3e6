// Package dogwoodorders orders engines to load the models, versions and adapters that the
// operators' text lists. Each service is a shard. Only the daemon that holds the shard's lease
// issues orders; it checks the lease before each one and sends the lease's fencing number with
// it. The engines' reports are compared with the text periodically, so a lost order is issued
// again and no state has to be handed over when the lease changes hands.
//
// Leases need the platform's table service. While it is unavailable, no orders are issued and
// the engines continue to serve requests.
package dogwoodorders

import (
	"context"
	"errors"
	"expvar"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodplacement"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/state/dogwoodlease"
)

// Error is the class of this package's errors.
var Error = errs.Class("orders")

const (
	// DefaultPeriod is the interval between checks of a service's engines. A load takes
	// minutes, so a check every few seconds adds no noticeable delay.
	DefaultPeriod = 3 * time.Second
	// OrderTimeout is the timeout for sending one order. A new lease holder waits for this
	// time before it sends orders to engines that ignore fencing numbers.
	OrderTimeout = 3 * time.Second
	// maxConcurrentReports bounds the number of engines queried at the same time.
	maxConcurrentReports = 32
)

// counters count the issued orders by reason, the orders that failed or were refused, the
// loads that the weight store postponed, and the halted roll-outs.
var counters = expvar.NewMap("Orders")

// Report is an engine's report of what it holds and is loading.
type Report struct {
	Cold    bool
	Holds   dogwoodplacement.Holding
	Loading *dogwoodplacement.Holding
}

// Engines queries engines and sends orders to them.
type Engines interface {
	Report(ctx context.Context, endpoint dogwoodfleet.Endpoint) (Report, error)
	// Order orders an engine to hold wanted. It returns an *OldFence error if the engine has
	// seen a higher fencing number.
	Order(ctx context.Context, endpoint dogwoodfleet.Endpoint, fence uint64, wanted dogwoodplacement.Holding) error
}

// OldFence is the error for an order that an engine refused because it has received one from
// a later holder of the lease.
type OldFence struct{ Seen uint64 }

func (fence *OldFence) Error() string { return "the engine has seen a higher fencing number" }

// Weights is the weight store. All daemons share its limited rate, so each load needs its
// permission.
type Weights interface {
	// Allow returns 0 if the load may start now, otherwise the time to wait before the next query.
	Allow(ctx context.Context, model dogwoodfleet.Model, version string) (wait time.Duration, err error)
}

// Leases acquires the leases of shards and reports whether this daemon holds them.
type Leases interface {
	SetWanted(shards []string)
	Fence(shard string) (dogwoodlease.Fence, error)
}

// Options configures a Duty.
type Options struct {
	Self dogwoodfleet.InstanceID
	// Text returns the operators' text in force, or nil before there is one.
	Text func() *dogwoodsettings.Text
	// Endpoints returns all endpoints of the region.
	Endpoints func() []dogwoodfleet.Endpoint
	// Alive returns the daemons that may hold a lease, including this one.
	Alive   func() []dogwoodfleet.InstanceID
	Engines Engines
	Weights Weights
	Leases  Leases
	// Period is the interval between checks. 0 means DefaultPeriod.
	Period time.Duration
	Logger hclog.Logger
}

// Duty issues orders to the engines of the services whose leases this daemon holds.
type Duty struct {
	options Options
	shards  map[dogwoodfleet.Service]*shard
}

// shard is the state of a service whose lease this daemon holds.
type shard struct {
	fence   uint64
	planner *dogwoodplacement.Planner
	// noLoadBefore is the earliest time of the next request to the weight store.
	noLoadBefore time.Time
	halted       map[versionKey]bool // roll-outs that were halted at the last check
}

type versionKey struct {
	model   dogwoodfleet.Model
	version string
}

// New returns a Duty. Period and Logger have defaults.
func New(options Options) *Duty {
	if options.Period == 0 {
		options.Period = DefaultPeriod
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	return &Duty{options: options, shards: map[dogwoodfleet.Service]*shard{}}
}

// Run checks the engines and issues orders every Period until the context ends.
func (duty *Duty) Run(ctx context.Context) error {
	ticker := time.NewTicker(duty.options.Period)
	defer ticker.Stop()
	for {
		duty.reconcile(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (duty *Duty) reconcile(ctx context.Context) {
	text := duty.options.Text()
	if text == nil {
		return
	}
	var wanted []string
	for index := range text.Services {
		service := &text.Services[index]
		if service.Kind != dogwoodfleet.EnginePool || len(service.Models) == 0 {
			continue
		}
		if duty.preferred(service.Name) {
			wanted = append(wanted, string(service.Name))
		}
		duty.reconcileService(ctx, service)
	}
	duty.options.Leases.SetWanted(wanted)
}

// preferred reports whether this daemon should hold the service's lease. Rendezvous hashing
// spreads the shards over the daemons and moves them only when a daemon joins or leaves.
func (duty *Duty) preferred(service dogwoodfleet.Service) bool {
	var alive []string
	for _, instance := range duty.options.Alive() {
		alive = append(alive, string(instance))
	}
	if len(alive) == 0 {
		return false
	}
	slices.Sort(alive)
	return rendezvous.New(alive, xxhash.Sum64String).Lookup(string(service)) == string(duty.options.Self)
}

// reconcileService compares one service's engines with the text and issues the orders that
// are due, if this daemon holds the service's lease.
func (duty *Duty) reconcileService(ctx context.Context, service *dogwoodsettings.Service) {
	fence, err := duty.options.Leases.Fence(string(service.Name))
	if err != nil {
		delete(duty.shards, service.Name)
		return
	}
	held := duty.shards[service.Name]
	if held == nil || held.fence != fence.Number {
		held = &shard{fence: fence.Number, planner: dogwoodplacement.New(), halted: map[versionKey]bool{}}
		duty.shards[service.Name] = held
	}
	if !fence.Covers(service.ChecksFencing, time.Now()) {
		// The previous holder may only be paused, and its last order could reach an engine that
		// ignores fencing numbers after an order of this daemon. The fence gives the time by
		// which that order has ended; the engines are queried only after it.
		return
	}
	endpoints := duty.endpoints(service.Name)
	orders := held.planner.Plan(models(service), duty.queryEngines(ctx, endpoints), time.Now())
	duty.logHalted(service, held)
	for _, order := range orders {
		endpoint := endpoints[slices.IndexFunc(endpoints, func(endpoint dogwoodfleet.Endpoint) bool { return endpoint.ID == order.Endpoint })]
		if !duty.issue(ctx, service, held, endpoint, order) {
			return
		}
	}
}

func (duty *Duty) endpoints(service dogwoodfleet.Service) []dogwoodfleet.Endpoint {
	var chosen []dogwoodfleet.Endpoint
	for _, endpoint := range duty.options.Endpoints() {
		if endpoint.Service == service {
			chosen = append(chosen, endpoint)
		}
	}
	return chosen
}

func models(service *dogwoodsettings.Service) []dogwoodplacement.Model {
	var wanted []dogwoodplacement.Model
	for _, model := range service.Models {
		wanted = append(wanted, dogwoodplacement.Model{
			Holding:  dogwoodplacement.Holding{Model: model.Name, Version: model.Version, Adapters: model.Adapters},
			Replicas: model.Replicas,
		})
	}
	return wanted
}

// queryEngines queries all endpoints and returns the state of their engines.
func (duty *Duty) queryEngines(ctx context.Context, endpoints []dogwoodfleet.Endpoint) []dogwoodplacement.Engine {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	engines := make([]dogwoodplacement.Engine, len(endpoints))
	var group errgroup.Group
	group.SetLimit(maxConcurrentReports)
	for index, endpoint := range endpoints {
		group.Go(func() error {
			report, err := duty.options.Engines.Report(ctx, endpoint)
			engines[index] = dogwoodplacement.Engine{
				Endpoint:  endpoint.ID,
				InForce:   endpoint.InForce,
				Reachable: err == nil,
				Cold:      report.Cold,
				Holds:     report.Holds,
				Loading:   report.Loading,
			}
			return nil
		})
	}
	_ = group.Wait() // no function of the group returns an error
	return engines
}

// issue sends one order. It returns false if no further orders may be issued in this round.
func (duty *Duty) issue(ctx context.Context, service *dogwoodsettings.Service, held *shard, endpoint dogwoodfleet.Endpoint, order dogwoodplacement.Order) bool {
	if order.Why != dogwoodplacement.WhyAdapters && !duty.mayLoad(ctx, held, order.Wanted) {
		return false
	}
	fence, err := duty.options.Leases.Fence(string(service.Name))
	if err != nil || fence.Number != held.fence || !fence.Covers(service.ChecksFencing, time.Now()) {
		return false
	}
	ctx, cancel := context.WithDeadline(ctx, earlier(time.Now().Add(OrderTimeout), fence.Until))
	defer cancel()
	held.planner.RecordOrder(order, time.Now())
	err = duty.options.Engines.Order(ctx, endpoint, fence.Number, order.Wanted)
	var oldFence *OldFence
	switch {
	case errors.As(err, &oldFence):
		counters.Add("OldFence", 1)
		duty.options.Logger.Warn("order refused, another holds the lease", "service", service.Name, "endpoint", endpoint.ID, "fence", fence.Number, "seen", oldFence.Seen)
		return false
	case err != nil:
		// The engine may have accepted the order nevertheless; its next report shows that.
		counters.Add("Failed", 1)
		duty.options.Logger.Warn("order failed", "endpoint", endpoint.ID, "error", err)
	default:
		counters.Add(string(order.Why), 1)
		duty.options.Logger.Info("ordered", "endpoint", endpoint.ID, "model", order.Wanted.Model, "version", order.Wanted.Version, "why", order.Why)
	}
	return true
}

// mayLoad reports whether the weight store allows a load to start now.
func (duty *Duty) mayLoad(ctx context.Context, held *shard, wanted dogwoodplacement.Holding) bool {
	now := time.Now()
	if now.Before(held.noLoadBefore) {
		return false
	}
	wait, err := duty.options.Weights.Allow(ctx, wanted.Model, wanted.Version)
	if err != nil {
		duty.options.Logger.Warn("weight store not reached", "model", wanted.Model, "error", err)
		return false
	}
	if wait > 0 {
		counters.Add("HeldBack", 1)
		held.noLoadBefore = now.Add(wait)
		return false
	}
	return true
}

// logHalted logs each halted roll-out of a version once.
func (duty *Duty) logHalted(service *dogwoodsettings.Service, held *shard) {
	for _, model := range service.Models {
		key := versionKey{model: model.Name, version: model.Version}
		halted := held.planner.Halted(model.Name, model.Version)
		if halted && !held.halted[key] {
			counters.Add("Halted", 1)
			duty.options.Logger.Error("roll-out halted, an engine did not load the version", "service", service.Name, "model", model.Name, "version", model.Version)
		}
		held.halted[key] = halted
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
