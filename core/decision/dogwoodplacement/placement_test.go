package dogwoodplacement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
)

const (
	simulatedLoad = 40 * time.Second
	simulatedCold = 10 * time.Second
	simulatedStep = 2 * time.Second
)

// simulatedEngine loads what it is ordered to load and is cold for some time afterwards.
type simulatedEngine struct {
	Engine
	loadedAt, warmAt time.Time
	// stuck is true for an engine that never finishes loading.
	stuck bool
}

// simulation runs a planner with simulated engines.
type simulation struct {
	planner         *Planner
	models          []Model
	engines         []*simulatedEngine
	now             time.Time
	deliveredOrders int
	lossOneIn       int // one in this many orders is lost; 0 if none
	random          *rand.Rand
}

func holding(model, version string) Holding {
	return Holding{Model: dogwoodfleet.Model(model), Version: version}
}

func newSimulation(models []Model, holds ...Holding) *simulation {
	created := &simulation{planner: New(), models: models, now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(1, 1))}
	for index, held := range holds {
		created.engines = append(created.engines, &simulatedEngine{Engine: Engine{
			Endpoint: dogwoodfleet.EndpointID(fmt.Sprintf("engine-%02d", index)),
			InForce:  true, Reachable: true, Holds: held,
		}})
	}
	return created
}

func (simulation *simulation) step() []Order {
	simulation.now = simulation.now.Add(simulatedStep)
	var reported []Engine
	for _, engine := range simulation.engines {
		if engine.Loading != nil && !engine.stuck && !simulation.now.Before(engine.loadedAt) {
			engine.Holds, engine.Loading = *engine.Loading, nil
			engine.warmAt = simulation.now.Add(simulatedCold)
		}
		engine.Cold = simulation.now.Before(engine.warmAt)
		reported = append(reported, engine.Engine)
	}
	orders := simulation.planner.Plan(simulation.models, reported, simulation.now)
	for _, order := range orders {
		simulation.planner.RecordOrder(order, simulation.now)
		if simulation.lossOneIn > 0 && simulation.random.IntN(simulation.lossOneIn) == 0 {
			continue
		}
		simulation.deliveredOrders++
		for _, engine := range simulation.engines {
			if engine.Endpoint == order.Endpoint {
				wanted := order.Wanted
				engine.Loading, engine.loadedAt = &wanted, simulation.now.Add(simulatedLoad)
			}
		}
	}
	return orders
}

// run simulates the duration and returns the lowest number of engines that served the model
// during it.
func (simulation *simulation) run(model dogwoodfleet.Model, duration time.Duration) int {
	lowest := len(simulation.engines)
	for end := simulation.now.Add(duration); simulation.now.Before(end); {
		simulation.step()
		lowest = min(lowest, simulation.servingCount(model))
	}
	return lowest
}

func (simulation *simulation) servingCount(model dogwoodfleet.Model) int {
	count := 0
	for _, engine := range simulation.engines {
		if engine.Holds.Model == model && isServing(&engine.Engine) {
			count++
		}
	}
	return count
}

func (simulation *simulation) holdingCount(held Holding) int {
	count := 0
	for _, engine := range simulation.engines {
		if engine.Holds.equal(held) {
			count++
		}
	}
	return count
}

func repeat(held Holding, count int) []Holding {
	all := make([]Holding, count)
	for index := range all {
		all[index] = held
	}
	return all
}

// Guards against a roll-out that replaces a version on all engines at once, so that every request
// waits minutes for weights to load. The roll-out must keep the configured number of warm engines if
// there are surplus engines, else all but one, even if orders are lost.
func TestRollOutKeepsEnoughEnginesServing(t *testing.T) {
	tests := []struct {
		name      string
		engines   int
		replicas  int
		lossOneIn int
		wantMin   int
	}{
		{name: "one surplus engine", engines: 5, replicas: 4, wantMin: 4},
		{name: "two surplus engines", engines: 8, replicas: 6, wantMin: 6},
		{name: "no surplus engine", engines: 4, replicas: 4, wantMin: 3},
		{name: "lost orders", engines: 5, replicas: 4, lossOneIn: 2, wantMin: 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			wanted := Model{Holding: holding("m", "2"), Replicas: test.replicas}
			simulation := newSimulation([]Model{wanted}, repeat(holding("m", "1"), test.engines)...)
			simulation.lossOneIn = test.lossOneIn
			if got := simulation.run("m", time.Hour); got < test.wantMin {
				t.Errorf("got a minimum of %d serving, want %d", got, test.wantMin)
			}
			if got := simulation.holdingCount(wanted.Holding); got != test.engines {
				t.Errorf("got %d engines on the new version, want %d", got, test.engines)
			}
		})
	}
}

// Guards against losing all engines to a version that can't be loaded. The roll-out must halt at the
// first engine, and that engine must serve again once the operators restore the old version.
func TestRollOutHaltsAtFirstEngineAndReverts(t *testing.T) {
	simulation := newSimulation([]Model{{Holding: holding("m", "2"), Replicas: 4}}, repeat(holding("m", "1"), 5)...)
	for _, engine := range simulation.engines {
		engine.stuck = true
	}
	simulation.run("m", 2*LoadTimeout)
	if got := simulation.servingCount("m"); got != 4 {
		t.Errorf("got %d serving, want 4", got)
	}
	if !simulation.planner.Halted("m", "2") {
		t.Error("got the roll-out continuing, want it halted")
	}
	simulation.models = []Model{{Holding: holding("m", "1"), Replicas: 4}}
	for _, engine := range simulation.engines {
		engine.stuck = false
	}
	simulation.run("m", 5*time.Minute)
	if got := simulation.holdingCount(holding("m", "1")); got != 5 {
		t.Errorf("got %d engines on the old version, want 5", got)
	}
}

// Guards against moving engines between models when a data centre with half of one model's engines
// is unavailable for two minutes. Loading for the moves would take longer than the outage, and so
// would loading for their reversal.
func TestShortOutageMovesNoEngine(t *testing.T) {
	models := []Model{{Holding: holding("a", "1"), Replicas: 4}, {Holding: holding("b", "1"), Replicas: 2}}
	simulation := newSimulation(models, append(repeat(holding("a", "1"), 4), repeat(holding("b", "1"), 3)...)...)
	simulation.run("a", time.Minute)
	for _, engine := range simulation.engines[:2] {
		engine.InForce = false
	}
	simulation.run("a", 2*time.Minute)
	for _, engine := range simulation.engines[:2] {
		engine.InForce = true
	}
	simulation.run("a", time.Hour)
	if got := simulation.deliveredOrders; got != 0 {
		t.Errorf("got %d orders, want none", got)
	}
}

// Guards against models that stay short of engines, and against engines that keep moving between
// models: each load takes minutes, so no order may follow once the placement is complete.
func TestPlacementReachesConfiguration(t *testing.T) {
	models := []Model{{Holding: holding("a", "1"), Replicas: 3}, {Holding: holding("b", "1"), Replicas: 2}}
	tests := []struct {
		name         string
		holds        []Holding
		wantA, wantB int
	}{
		{name: "nothing loaded", holds: repeat(Holding{}, 5), wantA: 3, wantB: 2},
		{name: "a model with no engine gets one at once", holds: repeat(holding("a", "1"), 5), wantA: 3, wantB: 2},
		{name: "a model that is not configured is replaced", holds: append(repeat(holding("old", "1"), 2), repeat(holding("a", "1"), 3)...), wantA: 3, wantB: 2},
		{name: "too few engines are shared", holds: repeat(Holding{}, 3), wantA: 2, wantB: 1},
		{name: "surplus engines all serve", holds: repeat(Holding{}, 6), wantA: 3, wantB: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			simulation := newSimulation(models, test.holds...)
			simulation.run("a", time.Hour)
			if got := simulation.holdingCount(models[0].Holding); got != test.wantA {
				t.Errorf("got %d engines with a, want %d", got, test.wantA)
			}
			if got := simulation.holdingCount(models[1].Holding); got != test.wantB {
				t.Errorf("got %d engines with b, want %d", got, test.wantB)
			}
			moves := simulation.deliveredOrders
			simulation.run("a", time.Hour)
			if got := simulation.deliveredOrders; got != moves {
				t.Errorf("got %d more orders after the placement was complete, want none", got-moves)
			}
		})
	}
}
