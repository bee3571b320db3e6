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
	dogwoodkernel.Register(dogwoodkernel.NewPlugin(pluginReconcile, []string{pluginOwner, pluginMembers}, startReconcile))
}

func startReconcile(_ context.Context, kernel *dogwoodkernel.Kernel, _ *environment) (*dogwoodkernel.ValuePart[*dogwoodreconcile.Duty], error) {
	needs := dogwoodkernel.Needs{Kernel: kernel}
	ownership := dogwoodkernel.Need[*ownership](&needs, pluginOwner)
	client := dogwoodkernel.Need[*dogwoodengine.Client](&needs, pluginEngine)
	members := dogwoodkernel.Need[members](&needs, pluginMembers)
	if needs.Err != nil {
		return nil, needs.Err
	}
	duty := dogwoodreconcile.New(dogwoodreconcile.Options{
		Owned:   ownership.owners.Owned,
		Engines: reconcileEngines{dispatchEngines: dispatchEngines{client: client}, members: members.Members},
		Owner:   reconcileOwner{Owner: ownership.local, owners: ownership.owners},
		Logger:  kernel.Named(pluginReconcile),
	})
	kernel.Go("reconcile", duty.Run)
	return &dogwoodkernel.ValuePart[*dogwoodreconcile.Duty]{Value: duty}, nil
}

// reconcileOwner is the local owner, with load reports sent through the directory of owners.
type reconcileOwner struct {
	*dogwoodowner.Owner
	owners *dogwooddispatch.Owners
}

// Report forwards an endpoint's load report.
func (owner reconcileOwner) Report(id dogwoodfleet.EndpointID, report dogwoodowner.LoadReport) {
	owner.owners.Report(id, report)
}

// reconcileEngines adapts the engine client to the reconcile duty.
type reconcileEngines struct {
	dispatchEngines
	members *dogwoodmember.Members
}

// State queries an engine for its list of requests, which is current, and for its load
// report, which lags.
func (engines reconcileEngines) State(ctx context.Context, endpoint dogwoodfleet.Endpoint) (dogwoodreconcile.State, error) {
	listed, err := engines.client.State(ctx, endpoint)
	if err != nil {
		return dogwoodreconcile.State{}, Error.Wrap(err)
	}
	engines.members.SetEndpointLeaving(endpoint.ID, listed.Leaving)
	state := dogwoodreconcile.State{
		Instance:     listed.Instance,
		Cold:         listed.Cold,
		MemoryTokens: listed.MemoryTokens,
		Listed:       listedMemory(&listed, engines.members.AliveInstance),
	}
	load, err := engines.client.Load(ctx, endpoint)
	if err != nil || load.Instance != listed.Instance {
		return state, nil //nolint:nilerr // the list is useful without the load report
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

// Cache queries an engine for the cache events after a sequence number.
func (engines reconcileEngines) Cache(ctx context.Context, endpoint dogwoodfleet.Endpoint, after uint64) (dogwoodreconcile.CacheReport, error) {
	answer, gap, err := engines.client.CacheEvents(ctx, endpoint, after)
	if err != nil {
		return dogwoodreconcile.CacheReport{}, Error.Wrap(err)
	}
	cache := dogwoodreconcile.CacheReport{Instance: answer.Instance, Gap: gap, Last: answer.Last}
	for _, event := range answer.Events {
		if event.Kind == dogwoodengine.CacheCleared {
			// Earlier events no longer apply, as after a gap; later ones do.
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
