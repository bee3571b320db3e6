package dogwoodpeer

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/netip"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/dogwoodprogress"
)

// calls counts calls to peers by method and is published as "PeerCalls". It shows how much
// control traffic there is and which methods cause it.
var calls = expvar.NewMap("PeerCalls")

// Client calls peers over one persistent connection for each peer.
type Client struct {
	key    []byte
	dialer Dialer
	logger hclog.Logger

	done   <-chan struct{}
	cancel context.CancelFunc
	group  sync.WaitGroup
	mutex  sync.Mutex
	closed bool
	links  map[netip.AddrPort]*link
}

// NewClient returns a client that works until the context ends or Close is called.
func NewClient(ctx context.Context, key string, dialer Dialer, logger hclog.Logger) *Client {
	running, cancel := context.WithCancel(ctx)
	client := &Client{
		key:    []byte(key),
		dialer: dialer,
		logger: logger,
		done:   running.Done(),
		cancel: cancel,
		links:  map[netip.AddrPort]*link{},
	}
	context.AfterFunc(running, client.closeLinks)
	return client
}

// Close ends all calls, closes all connections and waits for the client's goroutines.
func (client *Client) Close() {
	client.cancel()
	client.closeLinks()
	client.group.Wait()
}

func (client *Client) closeLinks() {
	client.mutex.Lock()
	client.closed = true
	links := client.links
	client.links = map[netip.AddrPort]*link{}
	client.mutex.Unlock()
	for _, link := range links {
		link.close()
	}
}

// Call calls "Name.Method" at the peer and waits for its reply until the context ends. It
// returns *UnreachableError when there is no answer and *RemoteError when the method
// failed. If the context ends first, the method keeps running at the peer, its reply is
// dropped and other calls on the connection are not affected. The caller must not change
// args afterwards. The bytes of the reply are reported to the context's dogwoodprogress.Progress.
func (client *Client) Call(ctx context.Context, peer netip.AddrPort, method string, args, reply any) error {
	calls.Add(method, 1)
	err := client.call(ctx, peer, method, args, reply)
	// If the peer closes an idle connection, only the next call detects it. No byte of that
	// call was sent, so a second call on a new connection can't run the method twice.
	if errors.Is(err, rpc.ErrShutdown) && ctx.Err() == nil {
		err = client.call(ctx, peer, method, args, reply)
	}
	return err
}

func (client *Client) call(ctx context.Context, peer netip.AddrPort, method string, args, reply any) error {
	link, err := client.link(ctx, peer)
	if err != nil {
		return Error.Wrap(&UnreachableError{Peer: peer, Err: err})
	}
	// The reply is decoded into a separate value. Otherwise a late answer to a call whose
	// context has ended would be written into memory that the caller already reuses.
	decoded := reflect.New(reflect.TypeOf(reply).Elem())
	if progress := dogwoodprogress.FromContext(ctx); progress != nil {
		args = watchedArguments{arguments: args, progress: progress}
	}
	calls := make(chan *rpc.Call, 1)
	link.pending.Add(1)
	// Sending blocks if the connection accepts no bytes, so it runs in a goroutine.
	started := client.start(func() {
		defer link.pending.Add(-1)
		select {
		case call := <-link.rpc.Go(method, args, decoded.Interface(), make(chan *rpc.Call, 1)).Done:
			calls <- call
		case <-link.closed:
		}
	})
	if !started {
		link.pending.Add(-1)
		return Error.Wrap(&UnreachableError{Peer: peer, Err: net.ErrClosed})
	}
	select {
	case call := <-calls:
		return client.finish(peer, link, call, reply, decoded)
	case <-ctx.Done():
		return Error.Wrap(&UnreachableError{Peer: peer, Sent: true, Err: ctx.Err()})
	case <-link.closed:
		return Error.Wrap(&UnreachableError{Peer: peer, Sent: true, Err: net.ErrClosed})
	}
}

func (client *Client) finish(peer netip.AddrPort, link *link, call *rpc.Call, reply any, decoded reflect.Value) error {
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(decoded.Elem())
		return nil
	}
	var server rpc.ServerError
	if errors.As(call.Error, &server) {
		return Error.Wrap(&RemoteError{Method: call.ServiceMethod, Text: string(server)})
	}
	link.close()
	sent := !errors.Is(call.Error, rpc.ErrShutdown)
	return Error.Wrap(&UnreachableError{Peer: peer, Sent: sent, Err: call.Error})
}

// start runs a function in a goroutine that Close waits for. It returns false, without
// running the function, if the client is closed.
func (client *Client) start(run func()) bool {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.closed {
		return false
	}
	client.group.Go(run)
	return true
}

// link returns the connection to the peer and dials it if there is no open one. Concurrent
// callers share one dial.
func (client *Client) link(ctx context.Context, peer netip.AddrPort) (*link, error) {
	client.mutex.Lock()
	if client.closed {
		client.mutex.Unlock()
		return nil, net.ErrClosed
	}
	found := client.links[peer]
	if found == nil || found.isClosed() {
		found = newLink()
		client.links[peer] = found
		client.group.Go(func() { client.connect(peer, found) }) //nolint:contextcheck,nolintlint // callers share the dial, so no caller's context may cancel it
	}
	client.mutex.Unlock()
	select {
	case <-found.ready:
		return found, nil
	case <-found.closed:
		return nil, found.closeErr()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connect dials the peer, then monitors the connection until it ends.
func (client *Client) connect(peer netip.AddrPort, link *link) {
	defer link.close()
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	conn, err := client.dial(ctx, peer, link)
	if err != nil {
		link.setErr(err)
		return
	}
	link.open(conn)
	link.watch(client.done, func(silence time.Duration) {
		client.logger.Warn("dropped a silent connection", "peer", peer, "silent", silence)
	})
}

func (client *Client) dial(ctx context.Context, peer netip.AddrPort, link *link) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	finished := make(chan struct{})
	defer close(finished)
	if !client.start(func() {
		select {
		case <-link.closed:
			cancel()
		case <-finished:
		}
	}) {
		return nil, net.ErrClosed
	}
	conn, err := client.dialer.Dial(ctx, peer)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := dialHandshake(conn, client.key); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// link is one connection to a peer.
type link struct {
	ready    chan struct{} // closed when rpc may be used
	closed   chan struct{} // closed when the connection has ended
	once     sync.Once
	rpc      *rpc.Client
	pending  atomic.Int64
	lastRead atomic.Int64 // time at which bytes last arrived, in nanoseconds since started
	started  time.Time

	mutex sync.Mutex
	conn  net.Conn
	err   error
}

func newLink() *link {
	return &link{ready: make(chan struct{}), closed: make(chan struct{}), started: time.Now()}
}

func (link *link) open(conn net.Conn) {
	link.mutex.Lock()
	link.conn = conn
	link.mutex.Unlock()
	if link.isClosed() {
		_ = conn.Close()
		return
	}
	link.lastRead.Store(int64(time.Since(link.started)))
	link.rpc = rpc.NewClientWithCodec(newClientCodec(&activityConn{Conn: conn, link: link}))
	close(link.ready)
}

func (link *link) close() {
	link.once.Do(func() { close(link.closed) })
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if link.conn != nil {
		_ = link.conn.Close()
	}
}

func (link *link) isClosed() bool {
	select {
	case <-link.closed:
		return true
	default:
		return false
	}
}

func (link *link) setErr(err error) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.err = err
}

func (link *link) closeErr() error {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if link.err == nil {
		return net.ErrClosed
	}
	return link.err
}

// watch pings the peer whenever calls are pending and no bytes arrive. It returns when done
// or the connection is closed, or when a ping fails; then it calls onSilent first.
func (link *link) watch(done <-chan struct{}, onSilent func(silence time.Duration)) {
	ticker := time.NewTicker(silenceBeforePing)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-link.closed:
			return
		case <-ticker.C:
		}
		silence := time.Since(link.started) - time.Duration(link.lastRead.Load())
		if link.pending.Load() == 0 || silence < silenceBeforePing {
			continue
		}
		if !link.ping() {
			onSilent(silence + pingTimeout)
			return
		}
	}
}

func (link *link) ping() bool {
	timer := time.NewTimer(pingTimeout)
	defer timer.Stop()
	var reply bool
	// Go can't block for longer than pingTimeout: activityConn puts a deadline on writes.
	call := link.rpc.Go(pingService+".Ping", true, &reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error == nil
	case <-link.closed:
		return false
	case <-timer.C:
		return false
	}
}

// activityConn records when bytes arrive and sets a deadline for each write.
type activityConn struct {
	net.Conn
	link *link
}

func (conn *activityConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		conn.link.lastRead.Store(int64(time.Since(conn.link.started)))
	}
	return count, err
}

func (conn *activityConn) Write(data []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(pingTimeout)); err != nil {
		return 0, err
	}
	return conn.Conn.Write(data)
}
