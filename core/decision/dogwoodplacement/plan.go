package dogwoodplacement

import (
	"slices"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

// plan is the working state of one Plan call.
type plan struct {
	planner *Planner
	models  []Model
	engines []*plannedEngine
	now     time.Time
}

// plannedEngine is an engine with the model assigned to it.
type plannedEngine struct {
	Engine
	// pending is what the engine will hold once its order is carried out; without an order, what
	// it holds now.
	pending Holding
	// waiting is true from the issue of an order until the engine holds what was ordered.
	waiting bool
	// resend is true if an order was issued and has not appeared in the engine's reports
	// within OrderResendInterval.
	resend bool
	model  *Model
}

func (planner *Planner) newPlan(models []Model, engines []Engine, now time.Time) *plan {
	created := &plan{planner: planner, models: slices.Clone(models), now: now}
	for _, engine := range engines {
		if !engine.InForce || !engine.Reachable {
			continue
		}
		planned := &plannedEngine{Engine: engine, pending: engine.Holds}
		if engine.Loading != nil {
			planned.pending, planned.waiting = *engine.Loading, true
		}
		if order, ordered := planner.orders[engine.Endpoint]; ordered && !planned.waiting {
			planned.pending, planned.waiting = order.wanted, true
			planned.resend = now.Sub(order.lastAt) > OrderResendInterval
		}
		created.engines = append(created.engines, planned)
	}
	created.shareShortage()
	return created
}

// shareShortage lowers the wanted replicas to the number of engines if that is smaller. It takes
// one replica at a time from the model with the most replicas. If several have the most, it takes
// from the one that is configured last.
func (plan *plan) shareShortage() {
	wanted := 0
	for index := range plan.models {
		wanted += plan.models[index].Replicas
	}
	for wanted > len(plan.engines) {
		largest := 0
		for index := range plan.models {
			if plan.models[index].Replicas >= plan.models[largest].Replicas {
				largest = index
			}
		}
		plan.models[largest].Replicas--
		wanted--
	}
}

func (plan *plan) modelNamed(name dogwoodfleet.Model) *Model {
	for index := range plan.models {
		if plan.models[index].Model == name {
			return &plan.models[index]
		}
	}
	return nil
}

// assign assigns each engine to the model that it holds or is loading. Surplus engines of a model
// stay assigned to it until another model is short.
func (plan *plan) assign() {
	for _, engine := range plan.engines {
		engine.model = plan.modelNamed(engine.pending.Model)
	}
}

func (plan *plan) assignedCount(model *Model) int {
	count := 0
	for _, engine := range plan.engines {
		if engine.model == model {
			count++
		}
	}
	return count
}

// servingCount returns the number of engines that serve the model now.
func (plan *plan) servingCount(model *Model) int {
	count := 0
	for _, engine := range plan.engines {
		if engine.model == model && isServing(&engine.Engine) && !engine.waiting && engine.Holds.Model == model.Model {
			count++
		}
	}
	return count
}

// fillShortages returns orders that move engines to models with too few of them. It takes engines
// without a configured model first, then surplus engines of other models.
func (plan *plan) fillShortages() []Order {
	var orders []Order
	for index := range plan.models {
		model := &plan.models[index]
		for plan.assignedCount(model) < model.Replicas {
			why := WhyMissing
			engine := plan.firstUnassigned()
			if engine == nil {
				why = WhyShort
				engine = plan.firstSurplus(plan.assignedCount(model) == 0)
			}
			if engine == nil {
				break
			}
			engine.model = model
			engine.waiting = true
			orders = append(orders, Order{Endpoint: engine.Endpoint, Wanted: model.Holding, Why: why})
		}
	}
	for _, engine := range plan.engines {
		if engine.model == nil && !engine.waiting && len(plan.models) > 0 {
			// There are more engines than configured: one without a configured model goes to
			// the model with the fewest engines.
			model := plan.modelWithFewestEngines()
			engine.model, engine.waiting = model, true
			orders = append(orders, Order{Endpoint: engine.Endpoint, Wanted: model.Holding, Why: WhyMissing})
		}
	}
	return append(orders, plan.resendOrders()...)
}

// resendOrders returns new orders for engines whose last order did not appear in their reports in
// time.
func (plan *plan) resendOrders() []Order {
	var orders []Order
	for _, engine := range plan.engines {
		if engine.resend && engine.model != nil {
			orders = append(orders, Order{Endpoint: engine.Endpoint, Wanted: engine.model.Holding, Why: WhyMissing})
		}
	}
	return orders
}

func (plan *plan) firstUnassigned() *plannedEngine {
	for _, engine := range plan.engines {
		if engine.model == nil && !engine.waiting {
			return engine
		}
	}
	return nil
}

// firstSurplus returns the first engine that its model can spare, or nil if there is none. Unless
// urgent is set, the engine must have held its model for MinDwell, so that engines aren't moved to
// another model and back when a data centre is unavailable for some minutes.
func (plan *plan) firstSurplus(urgent bool) *plannedEngine {
	for _, engine := range plan.engines {
		if engine.model == nil || engine.waiting || plan.assignedCount(engine.model) <= engine.model.Replicas {
			continue
		}
		if urgent || plan.now.Sub(plan.planner.modelSince[engine.Endpoint].at) >= MinDwell {
			return engine
		}
	}
	return nil
}

func (plan *plan) modelWithFewestEngines() *Model {
	fewest := &plan.models[0]
	for index := range plan.models {
		if plan.assignedCount(&plan.models[index]) < plan.assignedCount(fewest) {
			fewest = &plan.models[index]
		}
	}
	return fewest
}

// rollOut returns orders that bring engines to their model's configured version and adapters while
// enough other engines serve.
func (plan *plan) rollOut() []Order {
	var orders []Order
	for index := range plan.models {
		orders = append(orders, plan.rollOutModel(&plan.models[index])...)
	}
	return orders
}

func (plan *plan) rollOutModel(model *Model) []Order {
	key := versionKey{model: model.Model, version: model.Version}
	if plan.planner.failed[key] {
		return nil
	}
	var orders []Order
	spare := plan.servingCount(model) - minServing(model, plan.assignedCount(model))
	proven := plan.proven(key)
	for _, engine := range plan.engines {
		if engine.shouldAbortLoad(model) {
			engine.pending = model.Holding
			orders = append(orders, Order{Endpoint: engine.Endpoint, Wanted: model.Holding, Why: WhyVersion})
			continue
		}
		if engine.model != model || engine.waiting || engine.Holds.equal(model.Holding) {
			continue
		}
		why := WhyAdapters
		if engine.Holds.Version != model.Version {
			why = WhyVersion
			if !proven && plan.versionAssigned(model) {
				continue // the first engine on the version has not served for long enough
			}
		}
		// Only an engine that serves now reduces the capacity.
		if isServing(&engine.Engine) {
			if spare <= 0 {
				continue
			}
			spare--
		}
		engine.waiting, engine.pending = true, model.Holding
		orders = append(orders, Order{Endpoint: engine.Endpoint, Wanted: model.Holding, Why: why})
	}
	return orders
}

// shouldAbortLoad reports whether the engine is loading a holding that is no longer configured and
// still holds the configured one. A new order then stops the load, which may never finish.
func (engine *plannedEngine) shouldAbortLoad(model *Model) bool {
	return engine.model == model && engine.waiting && !engine.pending.equal(model.Holding) && engine.Holds.equal(model.Holding)
}

// minServing returns how many engines of a model must keep serving during a roll-out: the
// configured replicas if there are surplus engines, else all but one. A model's only engine may
// stop serving.
func minServing(model *Model, assigned int) int {
	if assigned > model.Replicas {
		return model.Replicas
	}
	return max(assigned-1, 0)
}

// proven reports whether the version has been served for at least BakeTime.
func (plan *plan) proven(key versionKey) bool {
	since, found := plan.planner.servingSince[key]
	return found && plan.now.Sub(since) >= BakeTime
}

// versionAssigned reports whether an engine holds or is about to hold the model's version.
func (plan *plan) versionAssigned(model *Model) bool {
	return slices.ContainsFunc(plan.engines, func(engine *plannedEngine) bool {
		return engine.model == model && engine.pending.Version == model.Version
	})
}
