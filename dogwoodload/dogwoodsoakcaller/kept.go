package dogwoodsoakcaller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/platform/dogwoodstandin"
)

// keptIntervals are the mean times between two requests of kept callers. Those with the longest one have open connections that
// were not used for some time.
var keptIntervals = []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 4 * time.Second}

const (
	// longShare is the share of the requests of kept callers that ask for a long stream.
	longShare = 0.6
	// splitShare is the share of their requests that are sent in two parts with a pause of at most maxSplitPause.
	splitShare    = 0.4
	maxSplitPause = 600 * time.Millisecond
)

// SetKept makes kept callers send or stop sending.
func (callers *Callers) SetKept(kept bool) {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	callers.kept = kept
}

func (callers *Callers) keptSend() bool {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	return callers.kept
}

// RunKept runs one further caller until the context ends, as Run does. It sends all requests to one daemon, whatever the directory
// answers, and keeps its connection until the daemon closes it.
func (callers *Callers) RunKept(ctx context.Context, number int, seed uint64) {
	split := &splitter{}
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, DialContext: split.dial}
	defer transport.CloseIdleConnections()
	caller := callers.newCaller(number, rand.New(rand.NewPCG(seed+1, uint64(number))), transport)
	daemon := callers.options.Daemons[number%len(callers.options.Daemons)]
	interval := keptIntervals[number/len(callers.options.Daemons)%len(keptIntervals)]
	for dogwoodkernel.Sleep(ctx, idleInterval+time.Duration(caller.random.ExpFloat64()*float64(interval))) {
		if callers.keptSend() {
			caller.callKept(context.WithoutCancel(ctx), &daemon, split)
		}
	}
}

// callKept sends a request of any kind, most of the times a prompt whose answer takes up to most of its time limit.
func (caller *caller) callKept(ctx context.Context, daemon *Daemon, split *splitter) {
	kind := *caller.pickKind()
	if caller.random.Float64() < longShare {
		kind = caller.options.Long
		kind.Events = caller.options.LongEvents[caller.random.IntN(len(caller.options.LongEvents))]
	}
	caller.sent++
	call := dogwoodsoakcheck.Call{
		ID: fmt.Sprintf("k%d-%d", caller.number, caller.sent), Kind: kind.Kind, Service: kind.Service, Daemon: daemon.Name, Wait: kind.Wait,
		Key: caller.options.Keys[caller.random.IntN(len(caller.options.Keys))],
	}
	target := fmt.Sprintf("%s%d?q=%d", kind.Prefix, caller.number, caller.sent)
	if kind.Events > 0 {
		target = dogwoodstandin.LongTarget(target, kind.Events)
	}
	split.draw(caller.random)
	caller.send(ctx, &call, &kind, daemon.Address, target, strings.Repeat("x", 1+caller.random.IntN(maxSplitBody)))
}

// maxSplitBody bounds the bodies of kept callers. The head of a request is of about that size.
const maxSplitBody = 500

// splitter makes connections that send some requests in two parts.
type splitter struct {
	mutex    sync.Mutex
	fraction float64 // of the next request, before the pause
	pause    time.Duration
}

// draw draws how the next request is sent.
func (splitter *splitter) draw(random *rand.Rand) {
	splitter.mutex.Lock()
	defer splitter.mutex.Unlock()
	splitter.fraction, splitter.pause = random.Float64(), 0
	if random.Float64() < splitShare {
		splitter.pause = time.Duration(random.Float64() * float64(maxSplitPause))
	}
}

func (splitter *splitter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &splitConn{Conn: connection, splitter: splitter}, nil
}

// splitConn is a connection that sends some requests in two parts.
type splitConn struct {
	net.Conn
	splitter *splitter
}

// Write sends a request, which net/http writes at once since it is small.
func (conn *splitConn) Write(request []byte) (int, error) {
	conn.splitter.mutex.Lock()
	first, pause := int(conn.splitter.fraction*float64(len(request))), conn.splitter.pause
	conn.splitter.mutex.Unlock()
	if pause == 0 {
		return conn.Conn.Write(request) //nolint:wrapcheck // net/http looks at it
	}
	if count, err := conn.Conn.Write(request[:first]); err != nil {
		return count, err //nolint:wrapcheck // as above
	}
	time.Sleep(pause)
	count, err := conn.Conn.Write(request[first:])
	return first + count, err //nolint:wrapcheck // as above
}
