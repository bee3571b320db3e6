package dogwooddaemon

import (
	"context"

	"dogwoodmux.example/core/decision/dogwoodmemory"
	"dogwoodmux.example/core/decision/dogwoodprefix"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/duty/dogwooddispatch"
	"dogwoodmux.example/core/duty/dogwoodowner"
	"dogwoodmux.example/core/duty/dogwoodreconcile"
	"dogwoodmux.example/core/edge/dogwoodengine"
	"dogwoodmux.example/core/state/dogwoodmember"
)

func init() {
	dogwoodkernel.Register(dogwoodkernel.MakePlugin(pluginReconcile, []string{pluginOwner, pluginMembers}, startReconcile))
}

func startReconcile(_ context.Context, kernel *dogwoodkernel.Kernel, _ *environment) (*dogwoodkernel.Made[*dogwoodreconcile.Duty], error) {
	needs := dogwoodkernel.Needs{Kernel: kernel}
	owning := dogwoodkernel.Need[*owning](&needs, pluginOwner)
	client := dogwoodkernel.Need[*dogwoodengine.Client](&needs, pluginEngine)
	members := dogwoodkernel.Need[members](&needs, pluginMembers)
	if needs.Err != nil {
		return nil, needs.Err
	}
	duty := dogwoodreconcile.New(dogwoodreconcile.Options{
		Owned:   owning.owners.Owned,
		Engines: askedEngines{engines: engines{client: client}, members: members.Members},
		Owner:   toldOwner{Owner: owning.local, owners: owning.owners},
		Logger:  kernel.Named(pluginReconcile),
	})
	kernel.Go("reconcile", duty.Run)
	return &dogwoodkernel.Made[*dogwoodreconcile.Duty]{Value: duty}, nil
}

// toldOwner is the local owner; what engines tell of themselves goes to its directory too.
type toldOwner struct {
	*dogwoodowner.Owner
	owners *dogwooddispatch.Owners
}

// Report passes a report on.
func (owner toldOwner) Report(id dogwoodfleet.EndpointID, report dogwoodowner.LoadReport) {
	owner.owners.Report(id, report)
}

// askedEngines makes the engine client's answers the reconcile duty's.
type askedEngines struct {
	engines
	members *dogwoodmember.Members
}

// State asks for the list, which does not lag, and for the report, which does.
func (asked askedEngines) State(ctx context.Context, endpoint dogwoodfleet.Endpoint) (dogwoodreconcile.State, error) {
	listed, err := asked.client.State(ctx, endpoint)
	if err != nil {
		return dogwoodreconcile.State{}, Error.Wrap(err)
	}
	asked.members.SetEndpointLeaving(endpoint.ID, listed.Leaving)
	state := dogwoodreconcile.State{
		Instance:     listed.Instance,
		Cold:         listed.Cold,
		MemoryTokens: listed.MemoryTokens,
		Listed:       listedMemory(&listed, asked.members.AliveInstance),
	}
	load, err := asked.client.Load(ctx, endpoint)
	if err != nil || load.Instance != listed.Instance {
		return state, nil //nolint:nilerr // the list alone is worth telling
	}
	state.Cold = state.Cold || load.Cold
	if load.Holds.Model != "" {
		state.Models = []dogwoodfleet.Model{load.Holds.Model}
		state.Adapters = load.Holds.Adapters
	}
	return state, nil
}

func listedMemory(state *dogwoodengine.State, alive func(dogwoodfleet.InstanceID) bool) []dogwoodmemory.Listed {
	var listed []dogwoodmemory.Listed
	for _, running := range state.Running {
		if running.HeldTokens > 0 || running.Phase == dogwoodengine.PhaseWaiting {
			holder := running.ID.Holder()
			listed = append(listed, dogwoodmemory.Listed{
				Request: running.ID, Tokens: running.HeldTokens, HolderGone: holder != "" && !alive(holder),
			})
		}
	}
	for _, reservation := range state.Reservations {
		listed = append(listed, dogwoodmemory.Listed{Request: reservation.ID, Tokens: reservation.Tokens, Reserved: true})
	}
	return listed
}

// Cache asks for the cache events after a number.
func (asked askedEngines) Cache(ctx context.Context, endpoint dogwoodfleet.Endpoint, after uint64) (dogwoodreconcile.Cache, error) {
	answer, gap, err := asked.client.CacheEvents(ctx, endpoint, after)
	if err != nil {
		return dogwoodreconcile.Cache{}, Error.Wrap(err)
	}
	cache := dogwoodreconcile.Cache{Instance: answer.Instance, Gap: gap, Last: answer.Last}
	for _, event := range answer.Events {
		if event.Kind == dogwoodengine.CacheCleared {
			// All that was told before is void, as after a gap; what follows counts again.
			cache.Gap, cache.Events = true, nil
			continue
		}
		cache.Events = append(cache.Events, dogwoodprefix.Event{
			Sequence: event.Sequence,
			Evicted:  event.Kind == dogwoodengine.BlockRemoved,
			Blocks:   []uint64{event.Block},
		})
	}
	return cache, nil
}
