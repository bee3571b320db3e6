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
)

// calls counts calls to peers by method, under "PeerCalls": what control costs, and which
// part of it.
var calls = expvar.NewMap("PeerCalls")

// Client calls peers over one kept connection each.
type Client struct {
	key    []byte
	dialer Dialer
	logger hclog.Logger

	done     <-chan struct{}
	duration context.CancelFunc
	group    sync.WaitGroup
	mutex    sync.Mutex
	closed   bool
	links    map[netip.AddrPort]*link
}

// NewClient returns a client that ends with the context or Close.
func NewClient(ctx context.Context, key string, dialer Dialer, logger hclog.Logger) *Client {
	running, cancel := context.WithCancel(ctx)
	client := &Client{
		key:      []byte(key),
		dialer:   dialer,
		logger:   logger,
		done:     running.Done(),
		duration: cancel,
		links:    map[netip.AddrPort]*link{},
	}
	context.AfterFunc(running, client.drop)
	return client
}

// Close ends all calls and connections and waits for them.
func (client *Client) Close() {
	client.duration()
	client.drop()
	client.group.Wait()
}

func (client *Client) drop() {
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
// failed. A call given up goes on at the peer; its reply is dropped and other calls on
// the connection are not touched. The args must not be changed after a call given up.
func (client *Client) Call(ctx context.Context, peer netip.AddrPort, method string, args, reply any) error {
	calls.Add(method, 1)
	err := client.call(ctx, peer, method, args, reply)
	// A connection that the peer closed while it was idle shows only at the next call.
	// No byte of that call left, so one more try on a new connection repeats nothing.
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
	// The reply is decoded into a value of our own: a late answer to a call given up
	// would otherwise be written into memory that the caller already uses again.
	own := reflect.New(reflect.TypeOf(reply).Elem())
	calls := make(chan *rpc.Call, 1)
	link.pending.Add(1)
	// Sending may block on a connection that takes no bytes, so it has its own goroutine.
	started := client.start(func() {
		defer link.pending.Add(-1)
		select {
		case call := <-link.rpc.Go(method, args, own.Interface(), make(chan *rpc.Call, 1)).Done:
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
		return client.finish(peer, link, call, reply, own)
	case <-ctx.Done():
		return Error.Wrap(&UnreachableError{Peer: peer, Sent: true, Err: ctx.Err()})
	case <-link.closed:
		return Error.Wrap(&UnreachableError{Peer: peer, Sent: true, Err: net.ErrClosed})
	}
}

func (client *Client) finish(peer netip.AddrPort, link *link, call *rpc.Call, reply any, own reflect.Value) error {
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(own.Elem())
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

// start runs a function in the client's group unless the client is closed.
func (client *Client) start(run func()) bool {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.closed {
		return false
	}
	client.group.Go(run)
	return true
}

// link returns the peer's connection, dialling it if there is none that works. Callers
// that need it at the same time share one dialling.
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
		client.group.Go(func() { client.connect(peer, found) }) //nolint:contextcheck,nolintlint // callers share the dialling, so none of theirs ends it
	}
	client.mutex.Unlock()
	select {
	case <-found.ready:
		return found, nil
	case <-found.closed:
		return nil, found.failure()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connect dials the peer, then reads its answers and watches the connection until it ends.
func (client *Client) connect(peer netip.AddrPort, link *link) {
	defer link.close()
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	conn, err := client.dial(ctx, peer, link)
	if err != nil {
		link.fail(err)
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
	watching := make(chan struct{})
	defer close(watching)
	if !client.start(func() {
		select {
		case <-link.closed:
			cancel()
		case <-watching:
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
	ready   chan struct{} // closed when rpc may be used
	closed  chan struct{} // closed when the connection has ended
	once    sync.Once
	rpc     *rpc.Client
	pending atomic.Int64
	heard   atomic.Int64 // when a byte last arrived, in nanoseconds since started
	started time.Time

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
	link.heard.Store(int64(time.Since(link.started)))
	link.rpc = rpc.NewClient(&heardConn{Conn: conn, link: link})
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

func (link *link) fail(err error) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.err = err
}

func (link *link) failure() error {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if link.err == nil {
		return net.ErrClosed
	}
	return link.err
}

// watch pings while calls wait in silence, until the connection is closed or silent.
func (link *link) watch(done <-chan struct{}, silent func(silence time.Duration)) {
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
		silence := time.Since(link.started) - time.Duration(link.heard.Load())
		if link.pending.Load() == 0 || silence < silenceBeforePing {
			continue
		}
		if !link.ping() {
			silent(silence + pingTimeout)
			return
		}
	}
}

func (link *link) ping() bool {
	timer := time.NewTimer(pingTimeout)
	defer timer.Stop()
	var reply bool
	// A connection that takes no bytes fails its writes after pingTimeout (heardConn),
	// so Go returns.
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

// heardConn notes when bytes arrive and bounds each write.
type heardConn struct {
	net.Conn
	link *link
}

func (conn *heardConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		conn.link.heard.Store(int64(time.Since(conn.link.started)))
	}
	return count, err
}

func (conn *heardConn) Write(data []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(pingTimeout)); err != nil {
		return 0, err
	}
	return conn.Conn.Write(data)
}
