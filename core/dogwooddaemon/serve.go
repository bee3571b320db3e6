package dogwooddaemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/edge/dogwoodcaller"
	"dogwoodmux.example/core/edge/dogwoodserver"
)

func init() {
	dogwoodkernel.Register(dogwoodkernel.NewPlugin(pluginServe, []string{pluginCaller, pluginAdmin, pluginReconcile, pluginOrders}, startServe))
}

// startServe listens on the daemon's addresses, after the plug-ins that handle the requests
// are started.
func startServe(ctx context.Context, kernel *dogwoodkernel.Kernel, environment *environment) (*dogwoodkernel.ValuePart[*dogwoodserver.Server], error) {
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
	server := newCallersServer(ctx, edge, environment.limits, kernel.Named(pluginServe))
	listener = server.Track(listener)
	environment.cutHooks.add(edge.Cut)
	ready, leaving := changes.duty.Ready(), make(chan struct{})
	kernel.Go("callers", func(ctx context.Context) error {
		return serveOnceReady(ctx, ready, leaving, edge, server, listener)
	})
	return &dogwoodkernel.ValuePart[*dogwoodserver.Server]{Value: server, OnStop: func(ctx context.Context) error {
		leave(ready, leaving, edge)
		return drain(ctx, entryTTL, edge, server)
	}}, nil
}

// serveOnceReady serves callers once the daemon is ready, and rejects those that wait if it leaves or the context ends before. Until it
// has the operators' latest changes, it might admit requests under a text that was replaced long ago. Callers wait in the listener's
// backlog meanwhile.
func serveOnceReady(ctx context.Context, ready, leaving <-chan struct{}, edge *dogwoodcaller.Edge, server *dogwoodserver.Server, listener net.Listener) error {
	select {
	case <-ready:
	case <-leaving:
		server.StartDraining()
	case <-ctx.Done():
		server.StartDraining()
		edge.RejectRequests()
	}
	return serveCallers(ctx, edge, server, listener)
}

// leave closes leaving. A daemon that is not ready rejects the callers that wait.
func leave(ready <-chan struct{}, leaving chan<- struct{}, edge *dogwoodcaller.Edge) {
	select {
	case <-ready:
	default:
		edge.RejectRequests()
	}
	close(leaving)
}

// errShutdown is the cause with which the contexts of requests end.
var errShutdown = errors.New("this daemon is ending")

func newCallersServer(ctx context.Context, edge *dogwoodcaller.Edge, limits *limits, logger hclog.Logger) *dogwoodserver.Server {
	options := limits.options(dogwoodcaller.MaxHeadBytes, limits.connections.Callers, logger)
	options.Copies = headCopies
	return dogwoodserver.New(ctx, edge.Server(), options)
}

// serveCallers serves callers until the context ends, then ends their requests.
func serveCallers(ctx context.Context, edge *dogwoodcaller.Edge, server *dogwoodserver.Server, listener net.Listener) error {
	return serveUntil(ctx, server, listener, func() { _ = endRequests(ctx, edge, server) })
}

// serveUntil runs a server until the context ends, and then end, which closes it.
func serveUntil(ctx context.Context, server *dogwoodserver.Server, listener net.Listener, end func()) error {
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		end()
	})
	err := server.Serve(listener)
	if !stop() {
		<-ended
	}
	if !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
		return Error.Wrap(err)
	}
	return nil
}

// answerTime is the time in which the callers of requests that are ended get their answers.
const answerTime = 500 * time.Millisecond

// drain keeps serving until the address given to callers has expired, then rejects new requests and waits for the running ones
// and for the connections of callers. The requests that still run shortly before the context ends are ended.
func drain(ctx context.Context, expiry time.Duration, edge *dogwoodcaller.Edge, server *dogwoodserver.Server) error {
	server.StartDraining()
	finishing, cancel := context.WithCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		finishing, cancel = context.WithDeadline(ctx, deadline.Add(-answerTime))
	}
	defer cancel()
	dogwoodkernel.Sleep(finishing, expiry)
	edge.RejectRequests()
	if !edge.Await(finishing) {
		return errors.Join(Error.Wrap(finishing.Err()), endRequests(ctx, edge, server))
	}
	if err := server.Drain(finishing); err != nil {
		return errors.Join(Error.Wrap(err), endRequests(ctx, edge, server))
	}
	return nil
}

// endRequests ends the requests in progress, waits until their callers have been told so and closes all connections. It
// returns once all requests are logged, since the process may end then.
func endRequests(ctx context.Context, edge *dogwoodcaller.Edge, server *dogwoodserver.Server) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTime)
	defer cancel()
	server.StartDraining()
	edge.EndRequests()
	_ = server.Drain(ctx) // what has not ended by then is closed
	return Error.Wrap(server.Close(ctx))
}
