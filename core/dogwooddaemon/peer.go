package dogwooddaemon

import (
	"context"
	"net"
	"net/netip"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/edge/dogwoodpeer"
)

func init() {
	dogwoodkernel.Register(dogwoodkernel.NewPlugin(pluginPeer, nil, startPeer))
}

// peerRPC is the client and the server for the calls between daemons.
type peerRPC struct {
	*dogwoodpeer.Client
	server *dogwoodpeer.Server
}

func startPeer(ctx context.Context, kernel *dogwoodkernel.Kernel, environment *environment) (*dogwoodkernel.ValuePart[*peerRPC], error) {
	dialer := dogwoodpeer.DialerFunc(func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		return environment.network.DialContext(ctx, "tcp", address.String())
	})
	logger := kernel.Named(pluginPeer)
	peer := &peerRPC{
		Client: dogwoodpeer.NewClient(ctx, environment.peerKey, dialer, logger),
		server: dogwoodpeer.NewServer(environment.peerKey, logger),
	}
	peer.server.LimitHandshakes(func() int { return environment.limits.connections.Handshakes })
	return &dogwoodkernel.ValuePart[*peerRPC]{Value: peer, OnStop: func(context.Context) error {
		peer.Close()
		return nil
	}}, nil
}
