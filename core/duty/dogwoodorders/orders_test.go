package dogwoodorders

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/decision/dogwoodplacement"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/state/dogwoodlease"
)

// fakeFleet simulates engines that need 20 seconds for a load, and the weight store.
type fakeFleet struct {
	mutex         sync.Mutex
	checksFencing bool
	engines       map[dogwoodfleet.EndpointID]*fakeEngine
	orders        []uint64 // the fencing numbers of the accepted orders
	loads         []time.Time
	loadInterval  time.Duration // the shortest time between loads
}

type fakeEngine struct {
	holds    dogwoodplacement.Holding
	loading  *dogwoodplacement.Holding
	loadedAt time.Time
	fence    uint64
}

func newFakeFleet(count int) *fakeFleet {
	fleet := &fakeFleet{engines: map[dogwoodfleet.EndpointID]*fakeEngine{}}
	for index := range count {
		fleet.engines[dogwoodfleet.EndpointID(fmt.Sprintf("engine-%d", index))] = &fakeEngine{}
	}
	return fleet
}

func (fleet *fakeFleet) endpoints() []dogwoodfleet.Endpoint {
	var endpoints []dogwoodfleet.Endpoint
	for id := range fleet.engines {
		endpoints = append(endpoints, dogwoodfleet.Endpoint{ID: id, Service: "pool", InForce: true})
	}
	return endpoints
}

func (fleet *fakeFleet) Report(_ context.Context, endpoint dogwoodfleet.Endpoint) (Report, error) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	engine := fleet.engines[endpoint.ID]
	if engine.loading != nil && !time.Now().Before(engine.loadedAt) {
		engine.holds, engine.loading = *engine.loading, nil
	}
	return Report{Holds: engine.holds, Loading: engine.loading}, nil
}

func (fleet *fakeFleet) Order(_ context.Context, endpoint dogwoodfleet.Endpoint, fence uint64, wanted dogwoodplacement.Holding) error {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	engine := fleet.engines[endpoint.ID]
	if fleet.checksFencing && fence < engine.fence {
		return &OldFence{Seen: engine.fence}
	}
	engine.fence = max(engine.fence, fence)
	engine.loading, engine.loadedAt = &wanted, time.Now().Add(20*time.Second)
	fleet.orders = append(fleet.orders, fence)
	return nil
}

func (fleet *fakeFleet) Allow(context.Context, dogwoodfleet.Model, string) (time.Duration, error) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	now := time.Now()
	if count := len(fleet.loads); count > 0 && now.Sub(fleet.loads[count-1]) < fleet.loadInterval {
		return fleet.loadInterval - now.Sub(fleet.loads[count-1]), nil
	}
	fleet.loads = append(fleet.loads, now)
	return 0, nil
}

// fakeLease is one daemon's view of its lease, which may be out of date.
type fakeLease struct {
	mutex sync.Mutex
	fence dogwoodlease.Fence
}

func (lease *fakeLease) SetWanted([]string) {}

func (lease *fakeLease) Fence(string) (dogwoodlease.Fence, error) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	if lease.fence.Number == 0 {
		return dogwoodlease.Fence{}, errors.New("not held")
	}
	return lease.fence, nil
}

func (lease *fakeLease) set(fence dogwoodlease.Fence) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.fence = fence
}

func newDuty(fleet *fakeFleet, leases Leases, version string) *Duty {
	text := &dogwoodsettings.Text{Services: []dogwoodsettings.Service{{
		Name: "pool", Kind: dogwoodfleet.EnginePool, ChecksFencing: fleet.checksFencing,
		Models: []dogwoodsettings.Model{{Name: "m", Version: version, Replicas: len(fleet.engines)}},
	}}}
	return New(Options{
		Self: "daemon", Text: func() *dogwoodsettings.Text { return text }, Endpoints: fleet.endpoints,
		Alive:   func() []dogwoodfleet.InstanceID { return []dogwoodfleet.InstanceID{"daemon"} },
		Engines: fleet, Weights: fleet, Leases: leases,
	})
}

// run runs the duties concurrently for the given time.
func run(t *testing.T, length time.Duration, duties ...*Duty) {
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	var group sync.WaitGroup
	for _, duty := range duties {
		group.Go(func() {
			if err := duty.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
}

// A lease holder is paused, another daemon takes over and rolls out the next version, and then
// the first one resumes with a lease that it still considers valid. Engines that check fencing
// numbers must refuse its orders. Engines that don't are protected by the wait of the new holder
// (see TestNewHolderWaitsIfEnginesIgnoreFencing).
func TestEnginesRefuseOrdersOfPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(3)
		fleet.checksFencing = true
		hour := time.Now().Add(time.Hour)
		oldLease, newLease := &fakeLease{}, &fakeLease{}
		newLease.set(dogwoodlease.Fence{Number: 8, Until: hour})
		run(t, 5*time.Minute, newDuty(fleet, newLease, "2"))
		oldLease.set(dogwoodlease.Fence{Number: 7, Until: hour})
		run(t, 5*time.Minute, newDuty(fleet, oldLease, "1"))
		for id, engine := range fleet.engines {
			if got := engine.holds.Version; got != "2" {
				t.Errorf("%s: got version %q, want 2", id, got)
			}
		}
	})
}

// Engines that ignore fencing numbers could accept a late order of the previous lease holder, so
// the new holder must not send orders before the time that its fence gives for such engines.
func TestNewHolderWaitsIfEnginesIgnoreFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(3)
		start := time.Now()
		lease := &fakeLease{}
		lease.set(dogwoodlease.Fence{Number: 8, Until: start.Add(time.Hour), UncheckedFrom: start.Add(time.Minute)})
		run(t, 5*time.Minute, newDuty(fleet, lease, "1"))
		if got := fleet.loads[0].Sub(start); got < time.Minute {
			t.Errorf("got the first order after %v, want at least a minute", got)
		}
	})
}

// Two edits of the operators' text make many engines load at once, and the weight store serves
// all daemons at a limited rate. Loads beyond that rate would time out before they are complete
// and leave engines that serve nothing.
func TestLoadsRespectWeightStoreRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(6)
		fleet.loadInterval = 30 * time.Second
		lease := &fakeLease{}
		lease.set(dogwoodlease.Fence{Number: 1, Until: time.Now().Add(time.Hour)})
		run(t, 10*time.Minute, newDuty(fleet, lease, "1"))
		if got := len(fleet.orders); got != 6 {
			t.Errorf("got %d orders, want 6", got)
		}
		for index := 1; index < len(fleet.loads); index++ {
			if got := fleet.loads[index].Sub(fleet.loads[index-1]); got < fleet.loadInterval {
				t.Errorf("got %v between loads, want at least %v", got, fleet.loadInterval)
			}
		}
	})
}

// The lease changes hands while the orders of one plan are being issued. The remaining orders
// must not be issued.
func TestNoOrderAfterLeaseChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(4)
		lease := &fakeLease{}
		lease.set(dogwoodlease.Fence{Number: 1, Until: time.Now().Add(time.Hour)})
		duty := newDuty(fleet, lease, "1")
		duty.options.Weights = allowFunc(func() {
			if len(fleet.orders) == 2 {
				lease.set(dogwoodlease.Fence{Number: 3, Until: time.Now().Add(time.Hour), UncheckedFrom: time.Now().Add(time.Hour)})
			}
		})
		run(t, 30*time.Second, duty)
		if got, want := fleet.orders, []uint64{1, 1}; !slices.Equal(got, want) {
			t.Errorf("got orders with fences %v, want %v", got, want)
		}
	})
}

type allowFunc func()

func (allow allowFunc) Allow(context.Context, dogwoodfleet.Model, string) (time.Duration, error) {
	allow()
	return 0, nil
}
