package dogwooddaemon

import (
	"context"
	"errors"
	"time"

	"dogwoodmux.example/core/decision/dogwoodplacement"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/duty/dogwoodorders"
	"dogwoodmux.example/core/edge/dogwoodengine"
	"dogwoodmux.example/core/edge/dogwoodplatform"
	"dogwoodmux.example/core/state/dogwoodlease"
)

func init() {
	dogwoodkernel.Register(dogwoodkernel.NewPlugin(pluginOrders, []string{pluginPlatform, pluginChanges, pluginMembers, pluginEngine}, startOrders))
}

func startOrders(_ context.Context, kernel *dogwoodkernel.Kernel, environment *environment) (*dogwoodkernel.ValuePart[*dogwoodorders.Duty], error) {
	needs := dogwoodkernel.Needs{Kernel: kernel}
	platform := dogwoodkernel.Need[*dogwoodplatform.Client](&needs, pluginPlatform)
	changes := dogwoodkernel.Need[*changes](&needs, pluginChanges)
	members := dogwoodkernel.Need[members](&needs, pluginMembers)
	client := dogwoodkernel.Need[*dogwoodengine.Client](&needs, pluginEngine)
	if needs.Err != nil {
		return nil, needs.Err
	}
	logger := kernel.Named(pluginOrders)
	leases := dogwoodlease.New(dogwoodlease.Options{
		Store: platform, Self: environment.instance, OrderTimeout: dogwoodorders.OrderTimeout, Logger: logger,
	})
	duty := dogwoodorders.New(dogwoodorders.Options{
		Self:      environment.instance,
		Text:      changes.Text,
		Endpoints: members.Endpoints,
		Alive:     func() []dogwoodfleet.InstanceID { return stayingInstances(members) },
		Engines:   ordersEngines{client: client},
		Weights:   weights{platform: platform},
		Leases:    leases,
		Logger:    logger,
	})
	kernel.Go("leases", leases.Run)
	kernel.Go("orders", duty.Run)
	return &dogwoodkernel.ValuePart[*dogwoodorders.Duty]{Value: duty, OnStop: leases.Release}, nil
}

// stayingInstances lists the live daemons that aren't shutting down.
func stayingInstances(members members) []dogwoodfleet.InstanceID {
	var instances []dogwoodfleet.InstanceID
	for _, member := range members.Members.Alive() {
		if !member.Leaving {
			instances = append(instances, member.Instance)
		}
	}
	return instances
}

// ordersEngines adapts the engine client to the orders duty.
type ordersEngines struct {
	client *dogwoodengine.Client
}

// Report queries an engine for the models and adapters that it holds or loads.
func (engines ordersEngines) Report(ctx context.Context, endpoint dogwoodfleet.Endpoint) (dogwoodorders.Report, error) {
	load, err := engines.client.Load(ctx, endpoint)
	if err != nil {
		return dogwoodorders.Report{}, Error.Wrap(err)
	}
	report := dogwoodorders.Report{Cold: load.Cold, Holds: placementHolding(load.Holds)}
	if load.Loading != nil {
		loading := placementHolding(*load.Loading)
		report.Loading = &loading
	}
	return report, nil
}

func placementHolding(holding dogwoodengine.Holding) dogwoodplacement.Holding {
	return dogwoodplacement.Holding{Model: holding.Model, Version: holding.Version, Adapters: holding.Adapters}
}

// Order sends an engine the model and the adapters that it must hold. The operators' text
// has no roles yet, so every engine does both prefill and decode.
func (engines ordersEngines) Order(ctx context.Context, endpoint dogwoodfleet.Endpoint, fence uint64, wanted dogwoodplacement.Holding) error {
	err := engines.client.Order(ctx, endpoint, dogwoodengine.Order{Fence: fence, Wanted: dogwoodengine.Holding{
		Model: wanted.Model, Version: wanted.Version, Adapters: wanted.Adapters, Role: dogwoodengine.RoleBoth,
	}})
	var old *dogwoodengine.OldFence
	if errors.As(err, &old) {
		return &dogwoodorders.OldFence{Seen: old.Seen}
	}
	return Error.Wrap(err)
}

// weights queries the platform's weight store.
type weights struct {
	platform *dogwoodplatform.Client
}

// Allow returns how long to wait before a load may start.
func (weights weights) Allow(ctx context.Context, model dogwoodfleet.Model, version string) (time.Duration, error) {
	_, err := weights.platform.Weights(ctx, model, version)
	var limited *dogwoodplatform.RateLimited
	if errors.As(err, &limited) {
		return limited.RetryAfter, nil
	}
	return 0, Error.Wrap(err)
}
