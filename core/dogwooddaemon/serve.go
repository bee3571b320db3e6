package dogwooddaemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/edge/dogwoodcaller"
)

func init() {
	dogwoodkernel.Register(dogwoodkernel.NewPlugin(pluginServe, []string{pluginCaller, pluginAdmin, pluginReconcile, pluginOrders}, startServe))
}

// startServe listens on the daemon's addresses, after the plug-ins that handle the requests
// are started.
func startServe(ctx context.Context, kernel *dogwoodkernel.Kernel, environment *environment) (*dogwoodkernel.ValuePart[*http.Server], error) {
	needs := dogwoodkernel.Needs{Kernel: kernel}
	edge := dogwoodkernel.Need[*dogwoodcaller.Edge](&needs, pluginCaller)
	peer := dogwoodkernel.Need[*peerRPC](&needs, pluginPeer)
	changes := dogwoodkernel.Need[*changes](&needs, pluginChanges)
	if needs.Err != nil {
		return nil, needs.Err
	}
	peerListener, err := environment.network.Listen(ctx, environment.settings.Peer)
	if err != nil {
		return nil, err
	}
	kernel.Go("peers", func(ctx context.Context) error { return peer.server.Serve(ctx, peerListener) })
	listener, err := environment.network.Listen(ctx, environment.settings.Serve)
	if err != nil {
		return nil, err
	}
	server := edge.Server()
	kernel.Go("callers", func(ctx context.Context) error {
		// Until the daemon has the operators' latest changes, it might admit requests under a
		// text that was replaced long ago. Callers wait in the listener's backlog meanwhile.
		select {
		case <-changes.duty.Ready():
			return serveUntil(ctx, server, listener)
		case <-ctx.Done():
			return Error.Wrap(listener.Close())
		}
	})
	return &dogwoodkernel.ValuePart[*http.Server]{Value: server, OnStop: func(ctx context.Context) error {
		return drain(ctx, server)
	}}, nil
}

// serveHTTP starts a background task that runs a server until the kernel stops.
func serveHTTP(kernel *dogwoodkernel.Kernel, name string, server *http.Server, listener net.Listener) {
	kernel.Go(name, func(ctx context.Context) error { return serveUntil(ctx, server, listener) })
}

func serveUntil(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
		return Error.Wrap(err)
	}
	return nil
}

// drain keeps serving until the address given to callers has expired, then accepts no new
// requests and waits for the running ones.
func drain(ctx context.Context, server *http.Server) error {
	select {
	case <-time.After(entryTTL):
	case <-ctx.Done():
		return Error.Wrap(server.Close())
	}
	if err := server.Shutdown(ctx); err != nil {
		return errors.Join(Error.Wrap(err), server.Close())
	}
	return nil
}
