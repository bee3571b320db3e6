// Package dogwoodsoakcaller implements the callers of a soak: they query the directory for daemons, send requests of
// all kinds, reuse open connections and record the answers.
package dogwoodsoakcaller

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"dogwoodmux.example/dogwoodload/dogwoodsoakcheck"
	"dogwoodmux.example/platform/dogwoodstandin"
)

// Error is the class of this package's errors.
var Error = errs.Class("caller")

// Daemon holds the addresses of a daemon that callers use.
type Daemon struct {
	Name string
	// Address is the address that the directory returns; callers connect to the proxy at ProxyAddress instead, except for those that
	// send whatever the directory answers: a proxy takes a request also where the daemon no longer takes a connection.
	Address, ProxyAddress netip.AddrPort
	// Directory is the address of the daemon's directory, which callers query without a proxy.
	Directory netip.AddrPort
}

// Kind is a kind of request that callers send.
type Kind struct {
	Kind    dogwoodsoakcheck.CallKind
	Service string
	// Prefix is the path prefix of its route.
	Prefix string
	// Wait is the time limit of such requests, Weight their relative frequency.
	Wait   time.Duration
	Weight int
	// Events is the length of a stream, 0 for plain answers.
	Events int
	// PromptTokens are the sizes of prompts; each is equally likely.
	PromptTokens []int
}

// Options configure the callers.
type Options struct {
	Host        string
	DataCentres []string
	Daemons     []Daemon
	Kinds       []Kind
	Keys        []string
	// MeanInterval is the mean time between two requests of one caller.
	MeanInterval time.Duration
	// Crashing is the kind of requests that crash endpoints, and CrashingKey their key.
	Crashing    Kind
	CrashingKey string
	// Text is the kind of prompts that are answered with a text.
	Text Kind
	// SlowBytes are the sizes of the answers that slow callers ask for; each is equally likely.
	SlowBytes []int
	// Long is the kind of prompts with a long answer that kept callers send, and LongEvents the lengths of these answers; each is
	// equally likely.
	Long       Kind
	LongEvents []int
	// Version is the kind of requests on routes that only one version of the operators' text has, and LatestVersion returns the
	// version that was published last.
	Version       Kind
	LatestVersion func() int64
}

const (
	// directoryTTL is how long the addresses from a directory are used.
	directoryTTL = 2 * time.Second
	// directoryTimeout bounds a query to a directory.
	directoryTimeout = time.Second
	// maxDirectoryQueries bounds the directories that a caller queries in a row without an answer.
	maxDirectoryQueries = 3
	// giveUpDelay is how long after its time limit a caller cancels a request that has not ended.
	giveUpDelay = 4 * time.Second
	// closeShare is the share of the requests that close their connection.
	closeShare = 0.3
	// crashingShare is the share of the calls that are copies of a crashing request while there is one.
	crashingShare = 0.15
)

// Callers send requests and record the answers. They are safe for concurrent use.
type Callers struct {
	options Options

	mutex sync.Mutex
	calls []dogwoodsoakcheck.Call
	// crashing is what callers send now to crash endpoints; empty for nothing.
	crashing dogwoodsoakcheck.Crashing
	// slow is true while further callers read slowly, and hotKey the key of the hot customer; empty for none.
	slow   bool
	hotKey string
	// kept is true while kept callers send.
	kept bool
}

// New returns callers.
func New(options Options) *Callers {
	return &Callers{options: options}
}

// SetCrashing makes callers send copies of a request that crashes endpoints, or prompts with a part that does so and of which no
// two are alike. An empty value ends that.
func (callers *Callers) SetCrashing(crashing dogwoodsoakcheck.Crashing) {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	callers.crashing = crashing
}

// drawCrashing returns what crashes endpoints for some of the calls, and an empty value for the others.
func (caller *caller) drawCrashing() dogwoodsoakcheck.Crashing {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	if caller.crashing == (dogwoodsoakcheck.Crashing{}) || caller.random.Float64() >= crashingShare {
		return dogwoodsoakcheck.Crashing{}
	}
	return caller.crashing
}

// Calls returns all requests that have ended.
func (callers *Callers) Calls() []dogwoodsoakcheck.Call {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	return append([]dogwoodsoakcheck.Call{}, callers.calls...)
}

// caller is one of the callers, with its connections.
type caller struct {
	*Callers
	number     int
	sent       int
	dataCentre string
	random     *rand.Rand
	client     *http.Client

	addresses   []netip.AddrPort
	refreshedAt time.Time
}

// newCaller returns a caller with connections of its own.
func (callers *Callers) newCaller(number int, random *rand.Rand, transport *http.Transport) *caller {
	return &caller{
		Callers: callers, number: number, random: random, client: &http.Client{Transport: transport},
		dataCentre: callers.options.DataCentres[number%len(callers.options.DataCentres)],
	}
}

// Run runs one caller until the context ends. A request that is in transit then is not cancelled; Run waits for its
// end.
func (callers *Callers) Run(ctx context.Context, number int, seed uint64) {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	caller := callers.newCaller(number, rand.New(rand.NewPCG(seed, uint64(number))), transport)
	for {
		wait := time.Duration(caller.random.ExpFloat64() * float64(callers.options.MeanInterval))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		caller.refreshAddresses(ctx)
		if len(caller.addresses) > 0 {
			caller.call(context.WithoutCancel(ctx))
		}
	}
}

// refreshAddresses queries up to maxDirectoryQueries daemons for addresses when the current ones are older than
// directoryTTL. If none answers, the current addresses stay in use.
func (caller *caller) refreshAddresses(ctx context.Context) {
	if time.Since(caller.refreshedAt) < directoryTTL {
		return
	}
	for range maxDirectoryQueries {
		daemon := caller.options.Daemons[caller.random.IntN(len(caller.options.Daemons))]
		addresses, err := caller.queryDirectory(ctx, daemon.Directory)
		if err == nil && len(addresses) > 0 {
			caller.addresses, caller.refreshedAt = addresses, time.Now()
			return
		}
	}
}

func (caller *caller) queryDirectory(ctx context.Context, address netip.AddrPort) ([]netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	target := "http://" + address.String() + dogwoodstandin.DirectoryTarget(caller.options.Host, caller.dataCentre)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	response, err := caller.client.Do(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }() // the body was read
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return dogwoodstandin.Addresses(body)
}

// pickDaemon returns the daemon at a random one of the addresses that the directory returned.
func (caller *caller) pickDaemon() (Daemon, bool) {
	address := caller.addresses[caller.random.IntN(len(caller.addresses))]
	for _, daemon := range caller.options.Daemons {
		if daemon.Address == address {
			return daemon, true
		}
	}
	return Daemon{}, false
}

func (caller *caller) pickKind() *Kind {
	sum := 0
	for i := range caller.options.Kinds {
		sum += caller.options.Kinds[i].Weight
	}
	drawn := caller.random.IntN(sum)
	for i := range caller.options.Kinds {
		if drawn -= caller.options.Kinds[i].Weight; drawn < 0 {
			return &caller.options.Kinds[i]
		}
	}
	return &caller.options.Kinds[0]
}

// crashingBody is the body of requests that crash endpoints.
const crashingBody = "crash"

// call sends one request and records its result.
func (caller *caller) call(ctx context.Context) {
	daemon, ok := caller.pickDaemon()
	if !ok {
		return // the directory returned an address that no daemon has; it is queried again after directoryTTL
	}
	kind := caller.pickKind()
	caller.sent++
	call := dogwoodsoakcheck.Call{
		ID: fmt.Sprintf("c%d-%d", caller.number, caller.sent), Kind: kind.Kind, Service: kind.Service, Daemon: daemon.Name,
		Key: caller.options.Keys[caller.random.IntN(len(caller.options.Keys))], Wait: kind.Wait,
	}
	target := fmt.Sprintf("%s%d?q=%d", kind.Prefix, caller.number, caller.sent)
	body := strings.Repeat("x", 1+caller.random.IntN(200))
	if crashing := caller.drawCrashing(); crashing != (dogwoodsoakcheck.Crashing{}) {
		kind = &caller.options.Crashing
		call.Kind, call.Service, call.Wait, call.Key, call.Crashing = kind.Kind, kind.Service, kind.Wait, caller.options.CrashingKey, crashing
		if crashing.Part == "" {
			target, body = crashing.Target, crashingBody
		} else {
			target = fmt.Sprintf("%s%d?q=%d", kind.Prefix, caller.number, caller.sent)
		}
	}
	caller.send(ctx, &call, kind, daemon.ProxyAddress, target, body)
}

// send sends a request and records its result.
func (caller *caller) send(ctx context.Context, call *dogwoodsoakcheck.Call, kind *Kind, address netip.AddrPort, target, body string) {
	call.Sent = time.Now()
	var written atomic.Pointer[time.Time]
	caller.exchange(withWritten(ctx, &written), call, kind, address, target, body)
	call.Ended = time.Now()
	if at := written.Load(); at != nil {
		call.Written = *at
	}
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.calls = append(caller.calls, *call)
}

// withWritten returns a context for a request that stores the time at which its last byte had been sent.
func withWritten(ctx context.Context, written *atomic.Pointer[time.Time]) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if now := time.Now(); info.Err == nil {
			written.Store(&now)
		}
	}})
}

// unrepeatableBody is a request body that net/http can't resend, so that each request is one attempt.
type unrepeatableBody struct{ io.Reader }

// Close does nothing: the body is in memory.
func (unrepeatableBody) Close() error { return nil }

func (caller *caller) exchange(ctx context.Context, call *dogwoodsoakcheck.Call, kind *Kind, address netip.AddrPort, target, body string) {
	ctx, cancel := context.WithTimeout(ctx, call.Wait+giveUpDelay)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+target, unrepeatableBody{strings.NewReader(body)})
	if err != nil {
		call.Error = err.Error()
		return
	}
	sentCall := dogwoodstandin.Call{ID: call.ID, Key: call.Key, Wait: call.Wait}
	if len(kind.PromptTokens) > 0 {
		sentCall.PromptTokens = kind.PromptTokens[caller.random.IntN(len(kind.PromptTokens))]
		sentCall.AnswerTokens = kind.Events
		sentCall.Parts = caller.parts(call.Crashing.Part)
	}
	request.Header = sentCall.Header()
	request.Host = caller.options.Host
	request.ContentLength = int64(len(body))
	request.Close = caller.random.Float64() < closeShare
	response, err := caller.client.Do(request)
	if err != nil {
		call.Error = err.Error()
		return
	}
	defer func() { _ = response.Body.Close() }() // the body was read completely, or reading it failed
	call.Status, call.Sealed = response.StatusCode, dogwoodstandin.HasSeal(response.Header)
	call.NotRun = dogwoodstandin.PromisesNotRun(response.StatusCode)
	received, err := io.ReadAll(caller.reader(ctx, call, response.Body))
	if err != nil {
		call.Error = err.Error()
		return
	}
	call.Whole = true
	if response.StatusCode == http.StatusOK {
		call.Wrong = describeError(call.ID, kind, target, body, string(received))
	}
}

// parts returns the parts of a prompt: one that all share, one that some share or that crashes endpoints, and its own.
func (caller *caller) parts(crashing string) []string {
	middle := fmt.Sprintf("c%x", caller.number%sharedParts)
	if crashing != "" {
		middle = crashing
	}
	return []string{"f1", middle, fmt.Sprintf("e%x%08x", caller.number, caller.sent)}
}

// sharedParts is the number of parts of which each prompt has one.
const sharedParts = 5

// describeError describes the error in an answer that looks complete; it returns "" for a correct answer.
func describeError(id string, kind *Kind, target, body, received string) string {
	want := dogwoodstandin.Answer(id, target, body, kind.Events)
	switch {
	case received == want:
		return ""
	case strings.HasPrefix(want, received):
		return fmt.Sprintf("%d of %d bytes, and it looks whole", len(received), len(want))
	default:
		return describeDifference(received, want)
	}
}

// describeDifference describes the first difference between an answer and the one that belongs to the request.
func describeDifference(received, want string) string {
	for i := range min(len(received), len(want)) {
		if received[i] != want[i] {
			return fmt.Sprintf("byte %d of %d is not the answer's own: %.60q in place of %.60q", i, len(received), received[i:], want[i:])
		}
	}
	return fmt.Sprintf("%d bytes after the whole answer", len(received)-len(want))
}
