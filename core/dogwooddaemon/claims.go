package dogwooddaemon

import (
	"context"
	"time"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/duty/dogwoodrecall"
	"dogwoodmux.example/core/edge/dogwoodplatform"
	"dogwoodmux.example/core/state/dogwoodclaim"
)

func init() {
	dogwoodkernel.Register(dogwoodkernel.NewPlugin(pluginClaims, []string{pluginPlatform, pluginPeer, pluginMembers}, startClaims))
}

func startClaims(_ context.Context, kernel *dogwoodkernel.Kernel, environment *environment) (*dogwoodkernel.ValuePart[*dogwoodclaim.Claims], error) {
	needs := dogwoodkernel.Needs{Kernel: kernel}
	platform := dogwoodkernel.Need[*dogwoodplatform.Client](&needs, pluginPlatform)
	members := dogwoodkernel.Need[members](&needs, pluginMembers)
	peer := dogwoodkernel.Need[*peerRPC](&needs, pluginPeer)
	if needs.Err != nil {
		return nil, needs.Err
	}
	claims := dogwoodclaim.New(dogwoodclaim.Options{
		Store: platform, Objects: platform, Self: environment.instance, Logger: kernel.Named(pluginClaims),
		Alive: members.AliveInstance,
		Peers: dogwoodrecall.New(dogwoodrecall.Options{Members: members.Members, Caller: peer, KeepFor: dogwoodclaim.DefaultKeepFor}),
	})
	if err := peer.server.Register(dogwoodrecall.Name, dogwoodrecall.NewReceiver(claims, members.Members)); err != nil {
		return nil, Error.Wrap(err)
	}
	kernel.Go("claims", claims.Run)
	return &dogwoodkernel.ValuePart[*dogwoodclaim.Claims]{Value: claims, OnStop: func(ctx context.Context) error {
		return awaitPostponed(ctx, claims)
	}}, nil
}

// postponedInterval is how often a daemon that shuts down checks whether its answers are stored.
const postponedInterval = 100 * time.Millisecond

// postponedTimeout is how long a daemon that shuts down waits for the store: most outages of
// the store are shorter, and a longer one must not delay a replacement for hours.
const postponedTimeout = 10 * time.Minute

// awaitPostponed waits until the answers of calls that ran are stored. Otherwise a caller that
// retries such a call would get the error that its outcome is unknown.
func awaitPostponed(ctx context.Context, claims *dogwoodclaim.Claims) error {
	ctx, cancel := context.WithTimeout(ctx, postponedTimeout)
	defer cancel()
	for claims.Postponed() > 0 {
		select {
		case <-ctx.Done():
			return Error.New("%d answers could not be stored", claims.Postponed())
		case <-time.After(postponedInterval):
		}
	}
	return nil
}
