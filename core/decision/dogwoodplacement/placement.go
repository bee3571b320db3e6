// Package dogwoodplacement decides which engine of a service holds which model, version and
// adapters, following the operators' text. An order states the holding that an engine shall load.
// The planner repeatedly compares the engines' reports with the text, so an order that was lost or
// only partly carried out is issued again.
//
// Load pattern: several models share a pool of engines. Engines fail and return, data centres
// are taken out and brought back, and new versions of a model are rolled out under full load.
//
// Without this package, an engine that restarts holds what its image contains, and callers of
// its previous model wait forever. A roll-out that replaces all engines at once leaves the model
// without a warm engine. When a data centre is unavailable for minutes, engines are moved from one
// model to another and back, and each move loads many gigabytes from a store that sustains few
// loads at a time.
//
// An engine counts as serving a model while it is in force, reachable and warm, is not loading,
// and has no pending order. An order that takes an engine out of service is only issued while
// enough other engines serve.
package dogwoodplacement

import (
	"cmp"
	"slices"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	// MinDwell is how long an engine keeps its model before it may be moved to another model that
	// is short of engines. It exceeds the outages from which engines recover without help
	// (restarts of minutes), because loading takes minutes and an undone move costs two loads.
	MinDwell = 10 * time.Minute
	// BakeTime is how long the first engine on a new version serves before others follow. It covers
	// a few hundred requests, enough to expose a version that can't serve.
	BakeTime = 30 * time.Second
	// LoadTimeout is how long an engine may take to carry out an order. Weights of 140 GB at
	// 1 GB/s take over two minutes; after more than four times that, the order has failed.
	LoadTimeout = 10 * time.Minute
	// OrderResendInterval is how long the planner waits for an order to appear in an engine's report
	// before it issues the order again. Reports lag by about a second.
	OrderResendInterval = 10 * time.Second
)

// Holding is the model, version and adapters that an engine holds.
type Holding struct {
	Model    dogwoodfleet.Model
	Version  string
	Adapters []dogwoodfleet.Adapter
}

func (holding Holding) equal(other Holding) bool {
	return holding.Model == other.Model && holding.Version == other.Version && slices.Equal(holding.Adapters, other.Adapters)
}

// Model is the configured placement of a model.
type Model struct {
	Holding
	// Replicas is the number of engines that shall hold the model.
	Replicas int
}

// Engine is the reported state of an engine.
type Engine struct {
	Endpoint dogwoodfleet.EndpointID
	// InForce is false for an engine that gets no new work; it counts for no model.
	InForce bool
	// Reachable is false if the engine did not answer.
	Reachable bool
	Cold      bool
	Holds     Holding
	// Loading is the holding that the engine is loading; nil if none.
	Loading *Holding
}

// Why is the reason for an order.
type Why string

// The reasons for an order.
const (
	WhyMissing  Why = "Missing"  // the engine holds no configured model
	WhyShort    Why = "Short"    // another model has fewer engines than configured
	WhyVersion  Why = "Version"  // another version is configured
	WhyAdapters Why = "Adapters" // other adapters are configured
)

// Order states the holding that an engine shall load.
type Order struct {
	Endpoint dogwoodfleet.EndpointID
	Wanted   Holding
	Why      Why
}

// issuedOrder is the last order issued to an engine.
type issuedOrder struct {
	wanted Holding
	// firstAt is when the order was first issued, lastAt when it was last issued.
	firstAt, lastAt time.Time
}

type versionKey struct {
	model   dogwoodfleet.Model
	version string
}

// Planner plans the placement of one service. It tracks the issued orders and since when each
// engine has held its model. A new planner treats all holdings as just changed.
type Planner struct {
	orders map[dogwoodfleet.EndpointID]issuedOrder
	// modelSince is when each engine was first seen with its current model.
	modelSince map[dogwoodfleet.EndpointID]observedModel
	// servingSince is when the first engine was seen serving each version.
	servingSince map[versionKey]time.Time
	// failed holds the versions that an engine did not load within LoadTimeout.
	failed map[versionKey]bool
}

// observedModel is an engine's model and when the engine was first seen with it.
type observedModel struct {
	model dogwoodfleet.Model
	at    time.Time
}

// New returns a planner without any recorded state.
func New() *Planner {
	return &Planner{
		orders:       map[dogwoodfleet.EndpointID]issuedOrder{},
		modelSince:   map[dogwoodfleet.EndpointID]observedModel{},
		servingSince: map[versionKey]time.Time{},
		failed:       map[versionKey]bool{},
	}
}

// RecordOrder records that an order was issued.
func (planner *Planner) RecordOrder(order Order, now time.Time) {
	first := now
	if previous, found := planner.orders[order.Endpoint]; found && previous.wanted.equal(order.Wanted) {
		first = previous.firstAt
	}
	planner.orders[order.Endpoint] = issuedOrder{wanted: order.Wanted, firstAt: first, lastAt: now}
}

// Halted reports whether a version's roll-out stopped because an engine did not load the version
// in time. The roll-out resumes once another version is configured.
func (planner *Planner) Halted(model dogwoodfleet.Model, version string) bool {
	return planner.failed[versionKey{model: model, version: version}]
}

// Plan returns the orders to issue now, the most urgent first.
func (planner *Planner) Plan(models []Model, engines []Engine, now time.Time) []Order {
	engines = slices.SortedFunc(slices.Values(engines), func(left, right Engine) int {
		return cmp.Compare(left.Endpoint, right.Endpoint)
	})
	planner.observe(models, engines, now)
	plan := planner.newPlan(models, engines, now)
	plan.assign()
	orders := plan.fillShortages()
	return append(orders, plan.rollOut()...)
}

// observe updates the state that is kept between plans.
func (planner *Planner) observe(models []Model, engines []Engine, now time.Time) {
	for _, engine := range engines {
		if !engine.Reachable {
			// The engine may have failed and lost the order, so it is planned afresh on return.
			delete(planner.orders, engine.Endpoint)
			continue
		}
		if known, found := planner.modelSince[engine.Endpoint]; !found || known.model != engine.Holds.Model {
			planner.modelSince[engine.Endpoint] = observedModel{model: engine.Holds.Model, at: now}
		}
		order, ordered := planner.orders[engine.Endpoint]
		switch {
		case !ordered:
		case engine.Holds.equal(order.wanted):
			delete(planner.orders, engine.Endpoint)
		case now.Sub(order.firstAt) > LoadTimeout:
			planner.failed[versionKey{model: order.wanted.Model, version: order.wanted.Version}] = true
			delete(planner.orders, engine.Endpoint)
		}
		key := versionKey{model: engine.Holds.Model, version: engine.Holds.Version}
		if _, found := planner.servingSince[key]; !found && isServing(&engine) {
			planner.servingSince[key] = now
		}
	}
	configured := map[versionKey]bool{}
	for _, model := range models {
		configured[versionKey{model: model.Model, version: model.Version}] = true
	}
	for key := range planner.failed {
		if !configured[key] {
			delete(planner.failed, key)
		}
	}
}

// isServing reports whether an engine can take full load now, regardless of pending orders.
func isServing(engine *Engine) bool {
	return engine.InForce && engine.Reachable && !engine.Cold && engine.Loading == nil
}
