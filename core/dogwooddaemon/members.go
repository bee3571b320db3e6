package dogwooddaemon

import (
	"context"
	"sync/atomic"
	"time"

	"dogwoodmux.example/core/decision/dogwoodentry"
	"dogwoodmux.example/core/decision/dogwoodtopology"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/duty/dogwooddispatch"
	"dogwoodmux.example/core/duty/dogwoodmembership"
	"dogwoodmux.example/core/edge/dogwoodplatform"
	"dogwoodmux.example/core/state/dogwoodmember"
)

func init() {
	dogwoodkernel.Register(dogwoodkernel.NewPlugin(pluginMembers, []string{pluginPeer, pluginPlatform}, startMembers))
}

// members lists the live daemons and the endpoints.
type members struct {
	*dogwoodmember.Members
	// alive caches the last result of Alive, so that Alive returns the same slice while the
	// members are unchanged.
	alive *atomic.Pointer[aliveCache]
}

// aliveCache holds a list of members and its converted form.
type aliveCache struct {
	source  []dogwoodmember.Member
	members []dogwooddispatch.Member
}

func startMembers(_ context.Context, kernel *dogwoodkernel.Kernel, environment *environment) (*dogwoodkernel.ValuePart[members], error) {
	needs := dogwoodkernel.Needs{Kernel: kernel}
	platform := dogwoodkernel.Need[*dogwoodplatform.Client](&needs, pluginPlatform)
	peer := dogwoodkernel.Need[*peerRPC](&needs, pluginPeer)
	if needs.Err != nil {
		return nil, needs.Err
	}
	settings, logger := environment.settings, kernel.Named(pluginMembers)
	memberList := dogwoodmember.New(dogwoodmember.Options{
		Self: dogwoodmember.Member{
			VM: settings.VM, Instance: environment.instance, Place: environment.place,
			Serve: settings.Serve, Peer: settings.Peer, Admin: settings.Admin, Started: time.Now(),
		},
		Neighbours: neighbours{},
		Logger:     logger,
	})
	duty := dogwoodmembership.New(dogwoodmembership.Options{Members: memberList, Caller: peer, List: platform, Logger: logger})
	if err := peer.server.Register(dogwoodmembership.Name, duty.Receiver()); err != nil {
		return nil, Error.Wrap(err)
	}
	environment.leaveHooks.add(duty.Leave)
	kernel.Go("membership", duty.Run)
	return &dogwoodkernel.ValuePart[members]{Value: members{Members: memberList, alive: &atomic.Pointer[aliveCache]{}}}, nil
}

// neighbours selects a daemon's neighbours: all daemons while there are few, else some of them.
type neighbours struct{}

// Neighbours returns the daemons to which a daemon sends its heartbeats.
func (neighbours) Neighbours(self dogwoodfleet.VM, members []dogwoodfleet.VM) []dogwoodfleet.VM {
	return dogwoodtopology.Neighbours(self, members)
}

// Alive lists the live daemons, including this one.
func (members members) Alive() []dogwooddispatch.Member {
	source := members.Members.Alive()
	if cached := members.alive.Load(); cached != nil && len(cached.source) == len(source) && &cached.source[0] == &source[0] {
		return cached.members
	}
	alive := make([]dogwooddispatch.Member, len(source))
	for i, member := range source {
		alive[i] = dogwooddispatch.Member{Instance: member.Instance, Place: member.Place, Peer: member.Peer, Leaving: member.Leaving}
	}
	members.alive.Store(&aliveCache{source: source, members: alive})
	return alive
}

// Entries lists the daemons whose addresses callers may be given.
func (members members) Entries() []dogwoodentry.Member {
	alive := members.Members.Alive()
	entries := make([]dogwoodentry.Member, len(alive))
	for i, member := range alive {
		entries[i] = dogwoodentry.Member{Serve: member.Serve, Place: member.Place, Leaving: !members.InService(member)}
	}
	return entries
}
