package dogwooddaemon

import (
	"context"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/duty/dogwoodquotas"
)

func init() {
	dogwoodkernel.Register(dogwoodkernel.NewPlugin(pluginQuotas, []string{pluginPeer, pluginChanges, pluginMembers}, startQuotas))
}

func startQuotas(_ context.Context, kernel *dogwoodkernel.Kernel, environment *environment) (*dogwoodkernel.ValuePart[*dogwoodquotas.Quotas], error) {
	needs := dogwoodkernel.Needs{Kernel: kernel}
	peer := dogwoodkernel.Need[*peerRPC](&needs, pluginPeer)
	changes := dogwoodkernel.Need[*changes](&needs, pluginChanges)
	members := dogwoodkernel.Need[members](&needs, pluginMembers)
	if needs.Err != nil {
		return nil, needs.Err
	}
	quotas := dogwoodquotas.New(dogwoodquotas.Options{
		Self: environment.instance, Text: changes.Text, Caller: peer, Logger: kernel.Named(pluginQuotas),
		Alive: func() []dogwoodquotas.Member {
			alive := members.Alive()
			quotaMembers := make([]dogwoodquotas.Member, len(alive))
			for i, member := range alive {
				quotaMembers[i] = dogwoodquotas.Member{Instance: member.Instance, Peer: member.Peer}
			}
			return quotaMembers
		},
	})
	if err := peer.server.Register("Quota", dogwoodquotas.NewReceiver(quotas)); err != nil {
		return nil, Error.Wrap(err)
	}
	kernel.Go("report quotas", quotas.Keep)
	return &dogwoodkernel.ValuePart[*dogwoodquotas.Quotas]{Value: quotas}, nil
}
