package dogwoodsoakcaller

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/platform/dogwoodstandin"
)

const (
	// idleInterval is the time after which a further caller looks again whether it has something to send.
	idleInterval = 50 * time.Millisecond
	// hotInterval is the time between an answer or a refusal and the next request of a hot caller. It keeps refusals from
	// taking the machine's processors from the daemons.
	hotInterval = 20 * time.Millisecond
	// slowInterval is the time between two requests of a slow caller.
	slowInterval = 100 * time.Millisecond
	// stopShare is the share of the slow calls that stop reading once; the others pause after each chunk.
	stopShare        = 0.5
	minStop, maxStop = time.Second, 4 * time.Second
	chunkBytes       = 32 << 10
	chunkPause       = 60 * time.Millisecond
	// largeBodyShare is the share of the slow calls with a large body, of maxBodyBytes at most.
	largeBodyShare = 0.3
	maxBodyBytes   = dogwoodstandin.MaxBodyBytes / 2
	// receiveBufferBytes is the size of a slow caller's receive buffer. The kernel's default takes whole answers.
	receiveBufferBytes = 16 << 10
)

// SetSlow makes slow callers send or stop sending.
func (callers *Callers) SetSlow(slow bool) {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	callers.slow = slow
}

// SetHot makes hot callers send with a key, or stop sending if it is empty.
func (callers *Callers) SetHot(key string) {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	callers.hotKey = key
}

func (callers *Callers) load() (slow bool, hotKey string) {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	return callers.slow, callers.hotKey
}

// RunFurther runs one further caller, a slow or a hot one, until the context ends, as Run does. It draws from a random source of
// its own, so that the requests of the others do not depend on it.
func (callers *Callers) RunFurther(ctx context.Context, number int, seed uint64, slow bool) {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	if slow {
		transport.DialContext = dialWithSmallBuffer
	}
	defer transport.CloseIdleConnections()
	caller := callers.newCaller(number, rand.New(rand.NewPCG(^seed, uint64(number))), transport)
	interval := hotInterval
	if slow {
		interval = slowInterval
	}
	for dogwoodkernel.Sleep(ctx, interval) {
		nowSlow, hotKey := callers.load()
		if slow && !nowSlow || !slow && hotKey == "" {
			dogwoodkernel.Sleep(ctx, idleInterval)
			continue
		}
		caller.refreshAddresses(ctx)
		if len(caller.addresses) == 0 {
			continue
		}
		if slow {
			caller.callSlowly(context.WithoutCancel(ctx))
		} else {
			caller.callHot(context.WithoutCancel(ctx), hotKey)
		}
	}
}

// RunText runs one further caller that sends prompts which are answered with a text, as Run does. It draws from a random source of
// its own.
func (callers *Callers) RunText(ctx context.Context, number int, seed uint64) {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	caller := callers.newCaller(number, rand.New(rand.NewPCG(seed, ^uint64(number))), transport)
	kind := &callers.options.Text
	for dogwoodkernel.Sleep(ctx, time.Duration(caller.random.ExpFloat64()*float64(callers.options.MeanInterval))) {
		caller.refreshAddresses(ctx)
		daemon, ok := Daemon{}, false
		if len(caller.addresses) > 0 {
			daemon, ok = caller.pickDaemon()
		}
		if !ok {
			continue // as in call
		}
		caller.sent++
		call := dogwoodsoakcheck.Call{
			ID: fmt.Sprintf("t%d-%d", number, caller.sent), Kind: kind.Kind, Service: kind.Service, Daemon: daemon.Name,
			Key: callers.options.Keys[caller.random.IntN(len(callers.options.Keys))], Wait: kind.Wait,
		}
		target := dogwoodstandin.TextTarget(fmt.Sprintf("%s%d?q=%d", kind.Prefix, number, caller.sent))
		caller.send(context.WithoutCancel(ctx), &call, kind, daemon.ProxyAddress, target, "x")
	}
}

func dialWithSmallBuffer(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		err = tcp.SetReadBuffer(receiveBufferBytes)
	}
	return connection, Error.Wrap(err)
}

// callHot sends a short prompt with the key of the hot customer.
func (caller *caller) callHot(ctx context.Context, key string) {
	daemon, ok := caller.pickDaemon()
	if !ok {
		return // as in call
	}
	caller.sent++
	kind := &caller.options.Crashing // a short prompt, here with a path that crashes nothing
	call := dogwoodsoakcheck.Call{ID: fmt.Sprintf("h%d-%d", caller.number, caller.sent), Kind: kind.Kind, Service: kind.Service, Daemon: daemon.Name, Key: key, Wait: kind.Wait}
	caller.send(ctx, &call, kind, daemon.ProxyAddress, fmt.Sprintf("%s%d?q=%d", kind.Prefix, caller.number, caller.sent), "x")
}

// callSlowly asks for a large answer, which it reads slowly, some of the times with a large body.
func (caller *caller) callSlowly(ctx context.Context) {
	daemon, ok := caller.pickDaemon()
	if !ok {
		return // as in call
	}
	kind := caller.pickKind()
	for kind.Kind == dogwoodsoakcheck.Once {
		kind = caller.pickKind()
	}
	caller.sent++
	call := dogwoodsoakcheck.Call{
		ID: fmt.Sprintf("s%d-%d", caller.number, caller.sent), Kind: kind.Kind, Service: kind.Service, Daemon: daemon.Name, Wait: kind.Wait,
		Key: caller.options.Keys[caller.random.IntN(len(caller.options.Keys))], Slow: true,
		LargeBytes: caller.options.SlowBytes[caller.random.IntN(len(caller.options.SlowBytes))],
	}
	body := "x"
	if caller.random.Float64() < largeBodyShare {
		body = strings.Repeat("x", 1+caller.random.IntN(maxBodyBytes))
	}
	target := dogwoodstandin.LargeTarget(fmt.Sprintf("%s%d?q=%d", kind.Prefix, caller.number, caller.sent), call.LargeBytes)
	caller.send(ctx, &call, kind, daemon.ProxyAddress, target, body)
}

// reader returns the reader with which the caller reads an answer.
func (caller *caller) reader(ctx context.Context, call *dogwoodsoakcheck.Call, body io.Reader) io.Reader {
	if !call.Slow {
		return body
	}
	reader := &slowReader{Reader: body, ctx: ctx, call: call}
	if caller.random.Float64() < stopShare {
		reader.stop = minStop + time.Duration(caller.random.Float64()*float64(maxStop-minStop))
	}
	return reader
}

// slowReader reads an answer slowly.
type slowReader struct {
	io.Reader
	ctx  context.Context //nolint:containedctx // a reader's method has no context
	call *dogwoodsoakcheck.Call
	// stop is for how long it stops reading after the first chunk; 0 if it pauses after each chunk instead.
	stop time.Duration
}

// Read reads a part of the answer.
func (reader *slowReader) Read(target []byte) (int, error) {
	count, err := reader.Reader.Read(target[:min(len(target), chunkBytes)])
	pause := chunkPause
	if reader.stop > 0 {
		pause = reader.stop
		if reader.call.Paused > 0 {
			pause = 0
		}
	}
	if err == nil && pause > 0 {
		dogwoodkernel.Sleep(reader.ctx, pause)
		reader.call.Paused += pause
	}
	return count, err //nolint:wrapcheck // io.EOF must stay itself
}
