// Package dogwoodreconcile periodically queries the engines that this daemon owns for their
// streams, their state and the events of their prefix caches, and reports the results to the
// owner. The owner's record of its grants is always newer than these reports. The reports correct
// what grants can't show: streams of entry daemons that died, engines that restarted, and memory
// that was never released.
package dogwoodreconcile

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodmemory"
	"dogwoodmux.example/core/decision/dogwoodprefix"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

const (
	// DefaultPeriod is the interval between the queries to an engine, and so the time within
	// which a cold or restarted engine is detected. A daemon with the twelve engines of the
	// largest plan sends 24 queries a second.
	DefaultPeriod = time.Second
	// queryTimeout bounds all queries to one engine in one round.
	queryTimeout = 4 * time.Second
	// maxConcurrentQueries bounds the number of engines queried at the same time. The queries
	// to a dead engine last for the whole queryTimeout.
	maxConcurrentQueries = 32
)

// counters count the queries that failed, the orphaned streams and the gaps in cache events.
var counters = expvar.NewMap("Reconcile")

// State is an engine's report of its streams, its memory and its models.
type State struct {
	Instance     dogwoodfleet.InstanceID
	Cold         bool
	MemoryTokens int
	// Listed holds the streams that have not ended, and the reservations.
	Listed   []dogwoodmemory.Listed
	Models   []dogwoodfleet.Model
	Adapters []dogwoodfleet.Adapter
}

// CacheReport holds the events of an engine's prefix cache since the previous query.
type CacheReport struct {
	Instance dogwoodfleet.InstanceID
	Events   []dogwoodprefix.Event
	Gap      bool
	// Last is the number of the latest event, after which the next query starts.
	Last uint64
}

// Engines queries engines and cancels their streams.
type Engines interface {
	State(ctx context.Context, endpoint dogwoodfleet.Endpoint) (State, error)
	Cancel(ctx context.Context, endpoint dogwoodfleet.Endpoint, id dogwoodfleet.RequestID) error
	Cache(ctx context.Context, endpoint dogwoodfleet.Endpoint, after uint64) (CacheReport, error)
}

// Owner receives the engines' reports.
type Owner interface {
	Report(id dogwoodfleet.EndpointID, report dogwoodowner.LoadReport)
	Reconcile(id dogwoodfleet.EndpointID, report dogwoodmemory.Report) []dogwoodowner.Orphan
	Cancelled(id dogwoodowner.GrantID)
	CacheEvents(id dogwoodfleet.EndpointID, instance dogwoodfleet.InstanceID, events []dogwoodprefix.Event, gap bool)
}

// Options configures a Duty.
type Options struct {
	// Owned returns the engines that this daemon owns now.
	Owned   func() []dogwoodfleet.Endpoint
	Engines Engines
	Owner   Owner
	// Period is the interval between queries. 0 means DefaultPeriod.
	Period time.Duration
	Logger hclog.Logger
}

// Duty queries the engines and reports the results to the owner.
type Duty struct {
	options Options

	mutex   sync.Mutex
	engines map[dogwoodfleet.EndpointID]*engineProgress
}

// engineProgress is the progress of the queries to one engine.
type engineProgress struct {
	querying bool
	instance dogwoodfleet.InstanceID
	// lastEvent is the number of the last cache event received from this instance.
	lastEvent uint64
}

// New returns a Duty. Period and Logger have defaults.
func New(options Options) *Duty {
	if options.Period == 0 {
		options.Period = DefaultPeriod
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	return &Duty{options: options, engines: map[dogwoodfleet.EndpointID]*engineProgress{}}
}

// Run queries the engines every Period until the context ends.
func (duty *Duty) Run(ctx context.Context) error {
	// This is an errgroup because stopping a pond pool uses a process-wide pool, which tests in
	// synctest bubbles can't share.
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	ticker := time.NewTicker(duty.options.Period)
	defer ticker.Stop()
	for {
		for _, query := range duty.dueQueries() {
			group.Go(func() error {
				duty.queryEngine(ctx, query)
				return nil
			})
		}
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
		}
	}
}

// query is a query to one engine.
type query struct {
	endpoint dogwoodfleet.Endpoint
	progress *engineProgress
}

// dueQueries returns a query for each owned engine that has none in progress, and marks these
// engines as being queried.
func (duty *Duty) dueQueries() []query {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	var due []query
	owned := map[dogwoodfleet.EndpointID]*engineProgress{}
	for _, endpoint := range duty.options.Owned() {
		if endpoint.Kind != dogwoodfleet.EnginePool {
			continue
		}
		progress := duty.engines[endpoint.ID]
		if progress == nil {
			progress = &engineProgress{}
		}
		owned[endpoint.ID] = progress
		if !progress.querying {
			progress.querying = true
			due = append(due, query{endpoint: endpoint, progress: progress})
		}
	}
	duty.engines = owned
	return due
}

// queryEngine queries one engine, reports the results to the owner and cancels orphaned streams.
func (duty *Duty) queryEngine(ctx context.Context, query query) {
	endpoint, progress := query.endpoint, query.progress
	defer func() {
		duty.mutex.Lock()
		defer duty.mutex.Unlock()
		progress.querying = false
	}()
	queriedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	state, err := duty.options.Engines.State(ctx, endpoint)
	if err != nil {
		counters.Add("Unanswered", 1)
		duty.options.Logger.Debug("engine does not answer", "endpoint", endpoint.ID, "error", err)
		return
	}
	// The age counts from the start of the query, so that the owner doesn't treat a grant that it
	// has made since then as missing.
	duty.options.Owner.Report(endpoint.ID, dogwoodowner.LoadReport{
		Age:          time.Since(queriedAt),
		Instance:     state.Instance,
		Cold:         state.Cold,
		MemoryTokens: state.MemoryTokens,
		Models:       state.Models,
		Adapters:     state.Adapters,
	})
	orphans := duty.options.Owner.Reconcile(endpoint.ID, dogwoodmemory.Report{
		Asked:        queriedAt,
		Instance:     state.Instance,
		MemoryTokens: state.MemoryTokens,
		Listed:       state.Listed,
	})
	duty.cancelOrphans(ctx, endpoint, orphans)
	duty.queryCache(ctx, endpoint, progress, state.Instance)
}

// cancelOrphans cancels streams that have no holder. If a cancel fails, the owner returns the
// stream again after the next query.
func (duty *Duty) cancelOrphans(ctx context.Context, endpoint dogwoodfleet.Endpoint, orphans []dogwoodowner.Orphan) {
	for _, orphan := range orphans {
		counters.Add("Orphans", 1)
		duty.options.Logger.Warn("cancelling a stream without a holder", "endpoint", endpoint.ID, "request", orphan.Request)
		if err := duty.options.Engines.Cancel(ctx, endpoint, orphan.Request); err != nil {
			duty.options.Logger.Warn("cancel failed", "endpoint", endpoint.ID, "request", orphan.Request, "error", err)
			continue
		}
		if orphan.Grant != (dogwoodowner.GrantID{}) {
			duty.options.Owner.Cancelled(orphan.Grant)
		}
	}
}

func (duty *Duty) queryCache(ctx context.Context, endpoint dogwoodfleet.Endpoint, progress *engineProgress, instance dogwoodfleet.InstanceID) {
	if progress.instance != instance {
		progress.instance, progress.lastEvent = instance, 0
	}
	cache, err := duty.options.Engines.Cache(ctx, endpoint, progress.lastEvent)
	if err != nil {
		counters.Add("Unanswered", 1)
		return
	}
	if cache.Instance != progress.instance {
		progress.instance, progress.lastEvent = cache.Instance, 0
		return // the engine restarted between the two queries
	}
	progress.lastEvent = cache.Last
	if cache.Gap {
		counters.Add("CacheGaps", 1)
	}
	if len(cache.Events) > 0 || cache.Gap {
		duty.options.Owner.CacheEvents(endpoint.ID, cache.Instance, cache.Events, cache.Gap)
	}
}
