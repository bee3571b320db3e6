package dogwooddaemon

import (
	"context"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/duty/dogwoodburncounts"
)

func init() {
	dogwoodkernel.Register(dogwoodkernel.NewPlugin(pluginBurn, []string{pluginPeer, pluginChanges, pluginMembers}, startBurn))
}

func startBurn(_ context.Context, kernel *dogwoodkernel.Kernel, environment *environment) (*dogwoodkernel.ValuePart[*dogwoodburncounts.Keeper], error) {
	needs := dogwoodkernel.Needs{Kernel: kernel}
	peer := dogwoodkernel.Need[*peerRPC](&needs, pluginPeer)
	changes := dogwoodkernel.Need[*changes](&needs, pluginChanges)
	members := dogwoodkernel.Need[members](&needs, pluginMembers)
	if needs.Err != nil {
		return nil, needs.Err
	}
	keeper := dogwoodburncounts.New(dogwoodburncounts.Options{
		Self: dogwoodburncounts.Member{
			VM: environment.settings.VM, Instance: environment.instance, Peer: environment.settings.Peer,
		},
		Caller:  peer,
		Members: func() []dogwoodburncounts.Member { return otherBurnMembers(members, environment) },
		Text:    changes.Text,
		Logger:  kernel.Named(pluginBurn),
	})
	if err := peer.server.Register("Burn", keeper.Service()); err != nil {
		return nil, Error.Wrap(err)
	}
	kernel.Go("burn", keeper.Run)
	return &dogwoodkernel.ValuePart[*dogwoodburncounts.Keeper]{Value: keeper, OnStop: func(ctx context.Context) error {
		if ctx.Err() == nil {
			keeper.Exchange(ctx)
		}
		return nil
	}}, nil
}

// otherBurnMembers lists the other daemons that are alive.
func otherBurnMembers(members members, environment *environment) []dogwoodburncounts.Member {
	var others []dogwoodburncounts.Member
	for _, member := range members.Members.Alive() {
		if member.VM != environment.settings.VM {
			others = append(others, dogwoodburncounts.Member{VM: member.VM, Instance: member.Instance, Peer: member.Peer})
		}
	}
	return others
}
