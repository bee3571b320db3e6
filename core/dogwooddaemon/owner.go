package dogwooddaemon

import (
	"context"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/duty/dogwooddispatch"
	"dogwoodmux.example/core/duty/dogwoodowner"
	"dogwoodmux.example/core/edge/dogwoodengine"
	"dogwoodmux.example/core/edge/dogwoodservice"
)

func init() {
	dogwoodkernel.Register(dogwoodkernel.NewPlugin(pluginOwner, []string{pluginPeer, pluginChanges, pluginMembers, pluginEngine}, startOwner))
}

// ownership holds this daemon's owner and the clients for the owners of other daemons and
// for plain services.
type ownership struct {
	local         *dogwoodowner.Owner
	owners        *dogwooddispatch.Owners
	serviceClient *dogwoodservice.Client
}

func startOwner(ctx context.Context, kernel *dogwoodkernel.Kernel, environment *environment) (*dogwoodkernel.ValuePart[*ownership], error) {
	needs := dogwoodkernel.Needs{Kernel: kernel}
	peer := dogwoodkernel.Need[*peerRPC](&needs, pluginPeer)
	changes := dogwoodkernel.Need[*changes](&needs, pluginChanges)
	members := dogwoodkernel.Need[members](&needs, pluginMembers)
	client := dogwoodkernel.Need[*dogwoodengine.Client](&needs, pluginEngine)
	if needs.Err != nil {
		return nil, needs.Err
	}
	started := &ownership{serviceClient: dogwoodservice.New(environment.network.DialContext)}
	suspects := newSuspectPeers(started, members, peer, environment.instance, kernel.Named(pluginOwner))
	gangs := &dogwooddispatch.Gangs{}
	started.local = dogwoodowner.New(dogwoodowner.Options{
		Text: changes.Text(), Policy: environment.settings.Policy, Place: environment.place, Self: environment.instance,
		Suspects: suspects, Gangs: gangs, Logger: kernel.Named(pluginOwner),
	})
	started.owners = dogwooddispatch.NewOwners(dogwooddispatch.OwnersOptions{
		Self: environment.instance, Place: environment.place, Policy: environment.settings.Policy,
		Text: changes.Text, Members: members,
		Local: started.local, Caller: peer, Cancel: dispatchEngines{client: client}.Cancel, Probe: started.serviceClient.Probe,
		Logger: kernel.Named(pluginOwner),
	})
	gangs.Owners = started.owners
	if err := peer.server.Register("Owner", dogwooddispatch.NewReceiver(ctx, started.owners)); err != nil {
		return nil, Error.Wrap(err)
	}
	kernel.Go("own endpoints", started.owners.RunOwnedUpdates)
	kernel.Go("renew grants", started.owners.RunRenewals)
	kernel.Go("expire grants", started.owners.RunExpiry)
	kernel.Go("probe dependencies", started.owners.RunProbes)
	kernel.Go("announce parts of prompts", started.local.RunAnnouncements)
	kernel.Go("lifted convictions", func(ctx context.Context) error {
		return changes.applyLifts(ctx, started.local.LiftConviction)
	})
	kernel.Go("known suspects", func(ctx context.Context) error {
		select {
		case <-changes.duty.Ready():
			suspects.runFetches(ctx)
		case <-ctx.Done():
		}
		return nil
	})
	return &dogwoodkernel.ValuePart[*ownership]{Value: started, OnStop: func(context.Context) error {
		started.owners.Wait()
		return nil
	}}, nil
}
